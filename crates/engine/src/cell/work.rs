//! A job and its tasks, as held by the cell's owner.

use crate::cell::crash::Suspicion;
use crate::cell::footprint;
use crate::cell::minion::MinionId;
use crate::cell::quarantine::Outcomes;
use crate::cell::quota::{AccountId, Charge};
use crate::job::{
    Accepted, Definition, Id, Progress, State, Step, TaskName, TrialPlace, Trials, core_ms,
    total_core_ms,
};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Phase {
    /// It waits for its turn or for capacity.
    #[default]
    Waiting,
    /// A run of it is on a minion, or may be.
    Placed {
        /// The minion.
        minion: MinionId,
        /// The run's number.  It is not always the highest one: a run whose start was carried out
        /// late is older than those that failed meanwhile.  When it was compared with the highest,
        /// its end was taken for that of an older run, and the task counted as placed forever.
        run: u32,
    },
    /// It is done.
    Done,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Its state.
    pub phase: Phase,
    /// The highest known run number; the next run gets a higher one.
    pub last_run: u32,
    /// Numbers of the runs that failed.
    pub failed: SmallVec<[u32; 2]>,
    /// Its latest checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// Earliest time of its next start.
    pub not_before: Time,
    /// When it was last requeued, or its job was accepted.
    pub waiting_since: Time,
    /// Minion where it failed last, so that another one is tried next.
    pub avoid: Option<MinionId>,
    /// Whether it was stopped once on a slow minion, to be restarted elsewhere.
    pub was_straggler: bool,
    /// Minion where it stalled last.
    pub stalled_on: Option<MinionId>,
    /// Suspicion of crashing its minions.
    pub suspicion: Suspicion,
    /// Number of its job's change that last changed its suspicion.
    pub(crate) suspicion_change: u64,
    /// Where a crash is possible or, until the result is known, where a former owner persisted that
    /// one is.
    pub(crate) trial_place: Option<Box<TrialPlace>>,
}

impl Task {
    /// Whether it is suspected of crashing a minion, or a crash is possible.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspicion != Suspicion::default()
    }
}

/// A job.
#[derive(Debug)]
pub struct Job {
    /// The accepted submission.
    pub accepted: Accepted,
    /// Whether a former owner may have started tasks of it.
    pub inherited: bool,
    /// When it was accepted, on this process's clock.
    pub accepted_at: Time,
    /// When this owner learned of it.
    pub known_since: Time,
    /// The account that its tasks are charged to; `None` if nothing limits them.
    pub(crate) account: Option<AccountId>,
    /// Whether a task of it has waited for its workspace's limit.
    pub(crate) held_back: bool,
    /// Whether it was ever passed over because its workspace used its share of the pool.
    pub(crate) over_share: bool,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
    /// Its outcome, once it has completed or failed.
    pub outcome: Option<State>,
    /// Whether any task has been started.
    pub started: bool,
    /// When it ended.
    pub ended_at: Option<Time>,
    /// Number of changes to persist so far; `persisted_changes` is how many of them are persisted.
    pub changes: u64,
    pub(crate) persisted_changes: u64,
    pub(crate) tasks: Vec<Task>,
    /// Flat index of each step's first task within an occurrence.
    offsets: SmallVec<[u32; 8]>,
    /// Number of tasks that are not done, by occurrence and step.
    pub(crate) open_counts: Vec<u32>,
    /// When this owner learned that a step's last task was done, by occurrence and step; 0 before
    /// that, and for steps restored as done.
    done_at: Vec<Time>,
    /// How its runs ended on each minion.
    pub(crate) outcomes: Outcomes,
    /// Estimate of all of its work.
    pub(crate) total: Estimate,
    /// Estimate of its remaining work.
    pub(crate) remaining: Estimate,
    /// Memory that it takes, in bytes.
    pub(crate) footprint: u64,
}

/// Estimated work of a job's steps, or of those that are not done.
///
/// Cached, since every plan ranks every waiting job, and it changes only when a task is done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Estimate {
    /// Length of the critical path.
    pub(crate) critical_path_ms: u64,
    /// Work in core-milliseconds.
    pub(crate) core_ms: u64,
}

impl Estimate {
    fn of(definition: &Definition, open_counts: &[u32]) -> Self {
        let steps = definition.steps.len();
        let count_open =
            |step: usize| -> u32 { open_counts.iter().skip(step).step_by(steps).sum() };
        let step_core_ms = |(number, step): (usize, &Step)| core_ms(count_open(number), step);
        Self {
            critical_path_ms: definition.critical_path_ms(|step| count_open(step) > 0),
            core_ms: total_core_ms(definition.steps.iter().enumerate().map(step_core_ms)),
        }
    }
}

impl Job {
    pub(crate) fn new(accepted: Accepted, inherited: bool, accepted_at: Time) -> Self {
        let definition = &accepted.definition;
        let mut offsets = SmallVec::new();
        let mut next = 0;
        for step in &definition.steps {
            offsets.push(next);
            next += step.count;
        }
        let occurrences = definition.occurrences();
        let counts: Vec<u32> = definition.steps.iter().map(|step| step.count).collect();
        let open_counts = counts.repeat(occurrences as usize);
        let done_at = vec![Time(0); open_counts.len()];
        let task = Task { waiting_since: accepted_at, ..Task::default() };
        let tasks = vec![task; (next * occurrences) as usize];
        let total = Estimate {
            critical_path_ms: definition.critical_path_ms(|_| true),
            core_ms: definition.core_ms(),
        };
        let remaining = Estimate::of(definition, &open_counts);
        let footprint = footprint::of(definition);
        Self {
            accepted,
            inherited,
            accepted_at,
            known_since: accepted_at,
            account: None,
            held_back: false,
            over_share: false,
            cancelled: false,
            outcome: None,
            started: false,
            ended_at: None,
            changes: 0,
            persisted_changes: 0,
            tasks,
            offsets,
            open_counts,
            done_at,
            outcomes: Outcomes::default(),
            total,
            remaining,
            footprint,
        }
    }

    /// Its state as known to this owner.
    pub fn state(&self) -> State {
        match self.outcome {
            Some(outcome) => outcome,
            None if self.cancelled => State::Cancelled,
            None if self.started => State::Running,
            None => State::Queued,
        }
    }

    /// What a task of a step is charged; for a best-effort task this includes its cores.
    pub(crate) fn charge(&self, step: &Step) -> Option<Charge> {
        self.account.map(|account| Charge { account, need: step.need })
    }

    /// Whether the job was cancelled or its outcome is persisted.
    ///
    /// An outcome that is not persisted must not stop the job's runs, since a new owner would
    /// resume the job.
    pub(crate) fn is_end_persisted(&self) -> bool {
        self.cancelled || (self.outcome.is_some() && self.is_persisted())
    }

    /// Whether everything that must outlive this owner is persisted.
    pub fn is_persisted(&self) -> bool {
        self.persisted_changes >= self.changes
    }

    /// Records a change to persist.  Once there is an outcome, nothing else is persisted, so a later
    /// change must not make the outcome count as unpersisted.
    pub(crate) fn mark_changed(&mut self) {
        if self.outcome.is_none() {
            self.changes += 1;
        }
    }

    /// Sets a task's suspicion, which is to be persisted.
    pub(crate) fn set_suspicion(&mut self, name: &TaskName, suspicion: Suspicion) {
        self.mark_changed();
        let change = self.changes;
        if let Some(task) = self.task_mut(name) {
            task.suspicion = suspicion;
            task.suspicion_change = change;
            if !suspicion.has_possible_crash() {
                task.trial_place = None;
            }
        }
    }

    /// Whether the possible crash of a task about to start is recorded and persisted, on whichever
    /// minion.
    pub(crate) fn is_possible_crash_persisted(&self, task: &Task) -> bool {
        task.suspicion.has_possible_crash() && self.persisted_changes >= task.suspicion_change
    }

    /// Records that a task stalled on a minion.  Returns whether the minion may be the cause, as
    /// far as is known.
    pub(crate) fn record_stall(&mut self, name: &TaskName, minion: MinionId) -> bool {
        let Some(task) = self.task_mut(name) else { return true };
        task.avoid = Some(minion.clone());
        let previous = task.stalled_on.replace(minion.clone());
        previous.is_none_or(|previous| previous == minion)
    }

    /// Whether a task of it that does not run has crashed so many minions that the job must fail.
    pub(crate) fn crashes_minions(&self) -> bool {
        let is_crashing =
            |task: &Task| task.phase == Phase::Waiting && task.suspicion.is_conclusive();
        self.tasks.iter().any(is_crashing)
    }

    /// Marks it as failed.
    pub(crate) fn fail(&mut self, now: Time) {
        self.mark_changed();
        self.outcome = Some(State::Failed);
        self.ended_at = Some(now);
    }

    /// Number of tasks of one occurrence.
    fn tasks_per_occurrence(&self) -> u32 {
        self.accepted.definition.tasks_per_occurrence()
    }

    /// Flat index of a task.
    pub(crate) fn flat_index(&self, name: &TaskName) -> Option<usize> {
        let step = self.accepted.definition.steps.get(name.step as usize)?;
        let exists =
            name.index < step.count && name.occurrence < self.accepted.definition.occurrences();
        let offset = self.offsets.get(name.step as usize)?;
        exists
            .then(|| (name.occurrence * self.tasks_per_occurrence() + offset + name.index) as usize)
    }

    /// Occurrence, step and index of the task at a flat index.
    pub(crate) fn position_of(&self, flat: u32) -> (u32, u32, u32) {
        let occurrence = flat / self.tasks_per_occurrence();
        let within = flat % self.tasks_per_occurrence();
        let step = self.offsets.iter().rposition(|offset| *offset <= within).unwrap_or(0);
        (occurrence, step as u32, within - self.offsets[step])
    }

    pub(crate) fn task(&self, name: &TaskName) -> Option<&Task> {
        self.flat_index(name).map(|flat| &self.tasks[flat])
    }

    pub(crate) fn task_mut(&mut self, name: &TaskName) -> Option<&mut Task> {
        let flat = self.flat_index(name)?;
        self.tasks.get_mut(flat)
    }

    /// Number of a step's tasks that are not done.
    pub(crate) fn open_tasks(&self, occurrence: u32, step: u32) -> u32 {
        self.open_counts[occurrence as usize * self.accepted.definition.steps.len() + step as usize]
    }

    /// The first task of a step that could be started now, regardless of capacity.
    pub(crate) fn first_waiting(&self, first: TaskName, now: Time) -> Option<TaskName> {
        let count = self.accepted.definition.steps[first.step as usize].count;
        let mut names = (0..count).map(|index| TaskName { index, ..first });
        names.find(|name| {
            let is_waiting = |task: &Task| task.phase == Phase::Waiting && now >= task.not_before;
            self.task(name).is_some_and(is_waiting)
        })
    }

    /// Whether all steps that a step waits for are done.
    pub(crate) fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let after = &self.accepted.definition.steps[step as usize].after;
        after.iter().all(|earlier| self.open_tasks(occurrence, *earlier) == 0)
    }

    /// When all steps that a step waits for were done; 0 if it waits for none.
    pub(crate) fn step_ready_at(&self, occurrence: u32, step: u32) -> Time {
        let steps = &self.accepted.definition.steps;
        let first = occurrence as usize * steps.len();
        let after = steps[step as usize].after.iter();
        after.map(|earlier| self.done_at[first + *earlier as usize]).max().unwrap_or(Time(0))
    }

    /// The tasks of a step.
    pub(crate) fn step_tasks(&self, occurrence: u32, step: u32) -> &[Task] {
        let first = occurrence * self.tasks_per_occurrence() + self.offsets[step as usize];
        let count = self.accepted.definition.steps[step as usize].count;
        &self.tasks[first as usize..][..count as usize]
    }

    /// The first task of each gang step that is not done.
    pub(crate) fn open_gangs(&self, job: Id) -> Vec<TaskName> {
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

    /// Marks a task as done.  Returns whether it was not done before.
    pub(crate) fn finish_task(&mut self, name: &TaskName, now: Time) -> bool {
        self.flat_index(name).is_some_and(|flat| self.finish_task_at(flat, now))
    }

    /// Marks all tasks of a step as done.
    pub(crate) fn finish_step(&mut self, name: &TaskName, now: Time) {
        for index in 0..self.accepted.definition.steps[name.step as usize].count {
            self.finish_task(&TaskName { index, ..*name }, now);
        }
    }

    /// Number of different runs of a step's tasks that have failed.
    pub(crate) fn failed_runs(&self, name: &TaskName) -> usize {
        let count = self.accepted.definition.steps[name.step as usize].count;
        let tasks = (0..count).filter_map(|index| self.task(&TaskName { index, ..*name }));
        let runs: BTreeSet<u32> = tasks.flat_map(|task| task.failed.iter().copied()).collect();
        runs.len()
    }

    fn finish_task_at(&mut self, flat: usize, now: Time) -> bool {
        let Some(task) = self.tasks.get_mut(flat) else { return false };
        if task.phase == Phase::Done {
            return false;
        }
        task.phase = Phase::Done;
        task.checkpoint = None;
        let (occurrence, step, _) = self.position_of(flat as u32);
        let steps = self.accepted.definition.steps.len();
        let position = occurrence as usize * steps + step as usize;
        self.open_counts[position] -= 1;
        if self.open_counts[position] == 0 {
            self.done_at[position] = now;
        }
        self.remaining = Estimate::of(&self.accepted.definition, &self.open_counts);
        self.mark_changed();
        true
    }

    /// Whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.open_counts.iter().all(|open| *open == 0)
    }

    /// The progress to persist.
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
            if task.suspicion.persisted_points() > 0 && task.phase != Phase::Done {
                progress.suspicions.push((flat, task.suspicion.persisted_points()));
                progress.trials.push((flat, task.suspicion.persisted_trials()));
                progress.evidence.push((flat, task.suspicion.persisted_evidence()));
                let place = task.trial_place.as_deref().cloned();
                progress.trial_places.extend(place.map(|place| (flat, place)));
            }
        }
        progress
    }

    /// Restores persisted progress.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        self.outcome = progress.outcome;
        for flat in &progress.done {
            self.finish_task_at(*flat as usize, Time(0));
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
        let trials: BTreeMap<u32, Trials> = progress.trials.iter().copied().collect();
        let evidence: BTreeMap<u32, u8> = progress.evidence.iter().copied().collect();
        for (flat, points) in &progress.suspicions {
            if let Some(task) = self.tasks.get_mut(*flat as usize) {
                let trials =
                    trials.get(flat).copied().unwrap_or_else(|| Trials::from_points(*points));
                let evidence =
                    evidence.get(flat).copied().unwrap_or_else(|| trials.evidence(*points));
                task.suspicion = Suspicion::from_persisted(*points, trials, evidence);
                self.started = true;
            }
        }
        for (flat, place) in &progress.trial_places {
            if let Some(task) = self.tasks.get_mut(*flat as usize) {
                task.trial_place = Some(Box::new(place.clone()));
            }
        }
        self.persisted_changes = self.changes;
    }
}
