//! A job in the hands of its cell's owner.

use crate::cell::crash::Suspicion;
use crate::cell::minion::MinionId;
use crate::cell::quota::{AccountId, Charge};
use crate::job::{Accepted, Definition, Id, Progress, State, Step, TaskName};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::BTreeSet;

/// Where a task stands.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Phase {
    /// It waits for its turn or for room.
    #[default]
    Waiting,
    /// A run of it is on a minion, or may be.
    Placed {
        /// Where.
        minion: MinionId,
        /// The run's number.  It isn't always the highest one: a run whose start was carried out late is
        /// older than those that failed meanwhile.  Compared with the highest, its end was taken for that
        /// of an older run, and the task counted as placed for ever.
        run: u32,
    },
    /// It has ended as done.
    Done,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// The highest number of a run known; the next one is higher.
    pub last_run: u32,
    /// Runs that failed.
    pub failed: SmallVec<[u32; 2]>,
    /// The newest checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// It isn't started before.
    pub not_before: Time,
    /// When its last run was given up, or its job was accepted.
    pub waits_since: Time,
    /// Where it failed last, to try another minion next.
    pub avoid: Option<MinionId>,
    /// Whether it was stopped once on a slow minion, to be begun anew elsewhere.
    pub begun_anew: bool,
    /// Where it stood still last.
    pub stood_on: Option<MinionId>,
    /// What crashes of its minions hold against it.
    pub suspicion: Suspicion,
}

impl Task {
    /// Whether a crash of a minion is held against it, or may be.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspicion != Suspicion::default()
    }
}

/// A job.
#[derive(Debug)]
pub struct Job {
    /// What was accepted.
    pub accepted: Accepted,
    /// Whether a former owner may have started some of it.
    pub inherited: bool,
    /// When it was accepted, on this process's clock.
    pub since: Time,
    /// When this owner came to know it.
    pub known: Time,
    /// What its workspace may have running; none where nothing limits it.
    pub(crate) account: Option<AccountId>,
    /// Whether tasks of it have waited for that.
    pub(crate) held_back: bool,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// Completed or failed.
    pub outcome: Option<State>,
    /// Whether any task has been started.
    pub started: bool,
    /// When it ended.
    pub ended: Option<Time>,
    /// Counts changes that must be kept, and the last of them that is.
    pub changes: u64,
    pub(crate) kept: u64,
    pub(crate) tasks: Vec<Task>,
    /// Flat number of each step's first task within an occurrence.
    offsets: SmallVec<[u32; 8]>,
    /// Tasks of each occurrence and step that are not done.
    pub(crate) open: Vec<u32>,
    /// All of its estimated work, and what is left of it.
    pub(crate) whole: Estimate,
    /// See [`Job::whole`].
    pub(crate) left: Estimate,
}

/// What a job's steps, or those that are left, take as estimated.
///
/// Kept, since every plan ranks every job that waits, and it changes only when a task is done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Estimate {
    /// Milliseconds of the longest chain.
    pub(crate) chain_ms: u64,
    /// Core-milliseconds.
    pub(crate) work: u64,
}

impl Estimate {
    fn of(definition: &Definition, open: &[u32]) -> Self {
        let steps = definition.steps.len();
        let open_of = |step: usize| -> u32 { open.iter().skip(step).step_by(steps).sum() };
        let work_of = |(number, step): (usize, &Step)| {
            u64::from(open_of(number)) * step.need.cpu * step.estimate_ms / 1000
        };
        Self {
            chain_ms: definition.critical_path_ms(|step| open_of(step) > 0),
            work: definition.steps.iter().enumerate().map(work_of).sum(),
        }
    }
}

impl Job {
    pub(crate) fn new(accepted: Accepted, inherited: bool, since: Time) -> Self {
        let definition = &accepted.definition;
        let mut offsets = SmallVec::new();
        let mut next = 0;
        for step in &definition.steps {
            offsets.push(next);
            next += step.count;
        }
        let occurrences = definition.occurrences();
        let counts: Vec<u32> = definition.steps.iter().map(|step| step.count).collect();
        let open = counts.repeat(occurrences as usize);
        let task = Task { waits_since: since, ..Task::default() };
        let tasks = vec![task; (next * occurrences) as usize];
        let whole = Estimate {
            chain_ms: definition.critical_path_ms(|_| true),
            work: definition.core_ms(),
        };
        let left = Estimate::of(definition, &open);
        Self {
            accepted,
            inherited,
            since,
            known: since,
            account: None,
            held_back: false,
            cancelled: false,
            outcome: None,
            started: false,
            ended: None,
            changes: 0,
            kept: 0,
            tasks,
            offsets,
            open,
            whole,
            left,
        }
    }

    /// The state as far as it is known here.
    pub fn state(&self) -> State {
        match self.outcome {
            Some(outcome) => outcome,
            None if self.cancelled => State::Cancelled,
            None if self.started => State::Running,
            None => State::Queued,
        }
    }

    /// What a task of a step takes of its workspace's limit; also the cores of one that only fills.
    pub(crate) fn charge(&self, step: &Step) -> Option<Charge> {
        self.account.map(|account| Charge { account, need: step.need })
    }

    /// Whether the job was cancelled or its outcome is persisted.
    ///
    /// An outcome that is not persisted must not stop the job's runs, since a new owner would resume
    /// the job.
    pub(crate) fn is_end_kept(&self) -> bool {
        self.cancelled || (self.outcome.is_some() && self.is_kept())
    }

    /// Whether all that must outlive this owner is kept.
    pub fn is_kept(&self) -> bool {
        self.kept >= self.changes
    }

    pub(crate) fn change(&mut self) {
        self.changes += 1;
    }

    /// Notes that a task stood still on a minion; whether the minion may be the cause, as far as is known.
    pub(crate) fn stood_still(&mut self, name: &TaskName, minion: MinionId) -> bool {
        let Some(task) = self.task_mut(name) else { return true };
        task.avoid = Some(minion.clone());
        let before = task.stood_on.replace(minion.clone());
        before.is_none_or(|before| before == minion)
    }

    /// Whether a task of it has crashed so many minions that it is to be given up.
    pub(crate) fn crashes_minions(&self) -> bool {
        self.tasks.iter().any(|task| task.suspicion.is_proved())
    }

    /// Ends it as failed.
    pub(crate) fn fail(&mut self, now: Time) {
        self.outcome = Some(State::Failed);
        self.ended = Some(now);
        self.change();
    }

    /// Tasks of one occurrence.
    fn width(&self) -> u32 {
        self.accepted.definition.tasks_per_occurrence()
    }

    /// The flat number of a task.
    pub(crate) fn flat(&self, name: &TaskName) -> Option<usize> {
        let step = self.accepted.definition.steps.get(name.step as usize)?;
        let exists =
            name.index < step.count && name.occurrence < self.accepted.definition.occurrences();
        let offset = self.offsets.get(name.step as usize)?;
        exists.then(|| (name.occurrence * self.width() + offset + name.index) as usize)
    }

    /// Occurrence, step and index of a flat number.
    pub(crate) fn place_of(&self, flat: u32) -> (u32, u32, u32) {
        let occurrence = flat / self.width();
        let within = flat % self.width();
        let step = self.offsets.iter().rposition(|offset| *offset <= within).unwrap_or(0);
        (occurrence, step as u32, within - self.offsets[step])
    }

    pub(crate) fn task(&self, name: &TaskName) -> Option<&Task> {
        self.flat(name).map(|flat| &self.tasks[flat])
    }

    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut Task> {
        let flat = self.flat(name)?;
        self.tasks.get_mut(flat)
    }

    /// Tasks of a step that are not done.
    pub(crate) fn open_tasks(&self, occurrence: u32, step: u32) -> u32 {
        self.open[occurrence as usize * self.accepted.definition.steps.len() + step as usize]
    }

    /// The first task of a step that could be started now, room apart.
    pub(crate) fn first_waiting(&self, first: TaskName, now: Time) -> Option<TaskName> {
        let count = self.accepted.definition.steps[first.step as usize].count;
        let mut names = (0..count).map(|index| TaskName { index, ..first });
        names.find(|name| {
            let waits = |task: &Task| task.phase == Phase::Waiting && now >= task.not_before;
            self.task(name).is_some_and(waits)
        })
    }

    /// Whether all steps that a step waits for are done.
    pub(crate) fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let after = &self.accepted.definition.steps[step as usize].after;
        after.iter().all(|earlier| self.open_tasks(occurrence, *earlier) == 0)
    }

    /// The first tasks of all steps that are gangs and not done.
    pub(crate) fn gangs(&self, job: Id) -> Vec<TaskName> {
        let steps = &self.accepted.definition.steps;
        let gangs = (0..steps.len() as u32).filter(|step| steps[*step as usize].gang);
        let occurrences = 0..self.accepted.definition.occurrences();
        gangs
            .flat_map(|step| {
                let name = move |occurrence| TaskName { job, occurrence, step, index: 0 };
                occurrences.clone().map(name)
            })
            .filter(|name| self.open_tasks(name.occurrence, name.step) > 0)
            .collect()
    }

    /// Notes that a task is done; true if that was news.
    pub(crate) fn finish_task(&mut self, name: &TaskName) -> bool {
        self.flat(name).is_some_and(|flat| self.finish_flat(flat))
    }

    /// Notes that all tasks of a step are done.
    pub(crate) fn finish_step(&mut self, name: &TaskName) {
        for index in 0..self.accepted.definition.steps[name.step as usize].count {
            self.finish_task(&TaskName { index, ..*name });
        }
    }

    /// How many different runs of a step's tasks have failed.
    pub(crate) fn failed_runs(&self, name: &TaskName) -> usize {
        let count = self.accepted.definition.steps[name.step as usize].count;
        let tasks = (0..count).filter_map(|index| self.task(&TaskName { index, ..*name }));
        let runs: BTreeSet<u32> = tasks.flat_map(|task| task.failed.iter().copied()).collect();
        runs.len()
    }

    fn finish_flat(&mut self, flat: usize) -> bool {
        let Some(task) = self.tasks.get_mut(flat) else { return false };
        if task.phase == Phase::Done {
            return false;
        }
        task.phase = Phase::Done;
        task.checkpoint = None;
        let (occurrence, step, _) = self.place_of(flat as u32);
        let steps = self.accepted.definition.steps.len();
        self.open[occurrence as usize * steps + step as usize] -= 1;
        self.left = Estimate::of(&self.accepted.definition, &self.open);
        self.change();
        true
    }

    /// Whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.open.iter().all(|open| *open == 0)
    }

    /// What is to be kept.
    pub(crate) fn progress(&self) -> Progress {
        let mut progress = Progress { outcome: self.outcome, ..Progress::default() };
        if self.outcome.is_some() {
            return progress;
        }
        for (flat, task) in self.tasks.iter().enumerate() {
            let flat = flat as u32;
            if task.phase == Phase::Done {
                progress.done.push(flat);
            }
            if !task.failed.is_empty() {
                progress.failed.push((flat, task.failed.clone()));
            }
            if let Some(checkpoint) = &task.checkpoint {
                progress.checkpoints.push((flat, checkpoint.clone()));
            }
            if task.suspicion.kept() > 0 && task.phase != Phase::Done {
                progress.suspicions.push((flat, task.suspicion.kept()));
            }
        }
        progress
    }

    /// Takes over what was kept.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        self.outcome = progress.outcome;
        for flat in &progress.done {
            self.finish_flat(*flat as usize);
            self.started = true;
        }
        for (flat, failed) in &progress.failed {
            if let Some(task) = self.tasks.get_mut(*flat as usize) {
                task.failed = failed.clone();
                task.last_run = failed.iter().copied().max().unwrap_or(0);
                self.started = true;
            }
        }
        for (flat, checkpoint) in &progress.checkpoints {
            if let Some(task) = self.tasks.get_mut(*flat as usize) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
        for (flat, points) in &progress.suspicions {
            if let Some(task) = self.tasks.get_mut(*flat as usize) {
                task.suspicion = Suspicion::restored(*points);
                self.started = true;
            }
        }
        self.kept = self.changes;
    }
}
