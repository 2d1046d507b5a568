//! What is started and stopped now.

use crate::cell::crash::Certainty;
use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::work::Phase;
use crate::cell::{Cell, Job, Note, Permit};
use crate::job::{Id, Step, TaskName};
use crate::time::Time;
use smallvec::smallvec;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unanswered stop is ordered again: two round trips of the slowest link
/// and a slow answer.
const STOP_AGAIN: Duration = Duration::from_millis(700);

/// How long a look is waited for that tells what became of an unanswered start, before it is stopped
/// unseen: the look is sent at once and repeated once.
///
/// Most starts without an answer were carried out, and only the answer was lost or late.  Stopped at
/// once, the work was thrown away, and where a lasting task was at work by then, its users lost it while
/// others of its step were away: on an entry with a thin link 117 times in a minute.
const LOOK_FIRST: Duration = Duration::from_millis(900);

/// Time between two looks at all runs for what must stop or slow down, where nothing says that something
/// must at once.  At a turn's peak plans follow each other by milliseconds, and a cell has a thousand
/// runs; the shortest of the waits that are looked for is ten times this.  It saves two fifths of a plan's
/// time at 85 minions and 400 jobs (0.46 ms for 0.75 ms, the owner bench).
const SWEEP: Duration = Duration::from_millis(50);

/// With less than this left, a leaving minion's lasting tasks go whatever their step may miss:
/// they end with it in any case.
const LAST_MOMENT_MS: u64 = 1200;

/// An order to a minion.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run of a task.
    Start {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Whether no run of the task was started before.
        first: bool,
        /// Whether its task may crash its minion, so that it is to be looked at when its trial is over.
        suspected: bool,
        /// Passed on from the definition.
        spec: Arc<str>,
        /// Where to resume.
        checkpoint: Option<Box<str>>,
        /// The leave to run it there, where the queue needs one.
        ticket: Option<Box<str>>,
    },
    /// Let a run work only at a share of its pace.
    Pace {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// The share in percent.
        percent: u8,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
    },
}

impl Cell {
    /// Decides what to order now.  `wall_ms` is the time of day in milliseconds since 1970, for
    /// scheduled occurrences.  Nothing is moved unless everything may be started.
    pub fn plan(&mut self, now: Time, wall_ms: u64, permit: Permit) -> Vec<Order> {
        let mut orders = Vec::new();
        self.lapse(now);
        if self.swept.is_none_or(|swept| now.since(swept) >= SWEEP) {
            self.swept = Some(now);
            self.stop_unwanted(now, &mut orders);
            self.stop_broken_gangs(now, &mut orders);
            self.stop_stalled(now, &mut orders);
            self.pace(now, &mut orders);
        }
        if permit == Permit::All {
            self.stop_stragglers(now, &mut orders);
            self.evacuate(now, &mut orders);
        }
        if permit != Permit::Nothing {
            self.start_waiting(now, wall_ms, permit, &mut orders);
            self.note_idle(now, wall_ms);
        }
        orders
    }

    /// Gives up all runs of minions whose leases must have lapsed, and forgets such minions
    /// once they are no longer listed.
    fn lapse(&mut self, now: Time) {
        let over = |minion: &&crate::cell::Minion| {
            let known = minion.answered
                || !minion.inherited
                || self.former_lapse.is_none_or(|lapse| now >= lapse);
            known && now >= minion.lapse && !minion.is_reachable()
        };
        let has_something = |minion: &&crate::cell::Minion| !minion.is_empty() || !minion.listed;
        let over = self.minions.values().filter(|minion| has_something(minion) && over(minion));
        let ids: Vec<MinionId> = over.map(|minion| minion.id.clone()).collect();
        for id in ids {
            let Some(mut minion) = self.minions.remove(&id) else { continue };
            self.note_loss(&minion, Certainty::Possible, now);
            let runs = minion.clear();
            let at = minion.lapse;
            if minion.listed {
                self.minions.insert(id.clone(), minion);
            }
            for (task, run) in runs {
                let run = run.number;
                self.note(Note::Lapsed { minion: id.clone(), task, run, at });
                self.give_up(&id, &task, run, now);
            }
        }
    }

    /// Stops runs of jobs that have ended, and repeats stops that were not answered.
    fn stop_unwanted(&mut self, now: Time, orders: &mut Vec<Order>) {
        let jobs = &self.jobs;
        for minion in self.minions.values_mut() {
            for (task, run) in &mut minion.runs {
                let ended = jobs.get(&task.job).is_none_or(Job::is_end_kept);
                let due = match run.phase {
                    RunPhase::Ordered | RunPhase::Active => ended,
                    RunPhase::Unanswered { since } => ended || now.since(since) >= LOOK_FIRST,
                    RunPhase::Stopping { ordered, confirmed } => {
                        // A confirmed stop that its minion still lists long after is repeated.
                        let slow = confirmed.map_or(STOP_AGAIN, |_| self.settings.stop_timeout * 2);
                        now.since(ordered) >= slow.max(STOP_AGAIN)
                    }
                };
                if due {
                    orders.push(stop(&minion.id, task, run, now));
                }
            }
        }
    }

    /// Stops the members of gangs of which others are not there.
    ///
    /// A member whose start was refused or not answered leaves the others waiting for it: they
    /// would hold their cores until they give up, seconds later, and the gang is tried again only
    /// then.  A new owner may still find the missing ones, so nothing is judged before it has
    /// asked everywhere.
    fn stop_broken_gangs(&mut self, now: Time, orders: &mut Vec<Order>) {
        if !self.is_settled(now) {
            return;
        }
        let gangs: Vec<TaskName> = self
            .active
            .iter()
            .filter_map(|id| Some((*id, self.jobs.get(id)?)))
            .flat_map(|(id, job)| job.gangs(id))
            .collect();
        for first in gangs {
            let Some(job) = self.jobs.get(&first.job) else { continue };
            let count = job.accepted.definition.steps[first.step as usize].count;
            let members = || (0..count).map(|index| TaskName { index, ..first });
            let waits =
                |name: &TaskName| job.task(name).is_some_and(|task| task.phase == Phase::Waiting);
            if !members().any(|name| waits(&name)) {
                continue;
            }
            for minion in self.minions.values_mut() {
                for name in members() {
                    let Some(run) = minion.runs.get_mut(&name) else { continue };
                    if !matches!(run.phase, RunPhase::Stopping { .. }) {
                        orders.push(stop(&minion.id, &name, run, now));
                    }
                }
            }
        }
    }

    /// Stops runs that stand still, and leaves their minion out for a while.
    ///
    /// A hanging minion keeps answering, so nothing else would show it: its tasks would hold
    /// their jobs until their callers gave up.  A task that stood still on another minion before is the cause
    /// itself: left out for it, one minion after the other would idle while others wait for room.
    fn stop_stalled(&mut self, now: Time, orders: &mut Vec<Order>) {
        let (factor, least) = (self.settings.stall_factor, self.settings.stall_least);
        let quarantine = self.settings.quarantine;
        for minion in self.minions.values_mut() {
            // Without an answer there is no news of progress either.
            if !minion.is_reachable() {
                continue;
            }
            let mut stalled = false;
            for (task, run) in &mut minion.runs {
                let Some(job) = self.jobs.get_mut(&task.job) else { continue };
                let step = &job.accepted.definition.steps[task.step as usize];
                let estimate = Duration::from_millis(step.estimate_ms).mul_f64(factor);
                let bound = estimate.max(least);
                // Judged by what the minion told: an owner that is late with its looks has no news of
                // progress, and would stop whatever it looks at next.
                let still = minion.reported.since(run.moved) > bound;
                if run.phase == RunPhase::Active
                    && still
                    && !(step.long_running && run.percent >= 100)
                {
                    let percent = run.percent;
                    let minion = minion.id.clone();
                    self.notes.push(Note::Stalled { minion: minion.clone(), task: *task, percent });
                    orders.push(stop(&minion, task, run, now));
                    stalled |= job.stood_still(task, minion);
                }
            }
            if stalled {
                minion.quarantined = minion.quarantined.max(now + quarantine * 2);
            }
        }
    }

    /// Moves lasting tasks off minions that are leaving, within what their steps may miss.
    fn evacuate(&mut self, now: Time, orders: &mut Vec<Order>) {
        let leaving = |minion: &&crate::cell::Minion| minion.leaving || minion.listing.draining;
        let candidates: Vec<(MinionId, TaskName)> = self
            .minions
            .values()
            .filter(leaving)
            .flat_map(|minion| {
                let active = minion.runs.iter().filter(|(_, run)| run.phase == RunPhase::Active);
                active.map(|(task, _)| (minion.id.clone(), *task))
            })
            .collect();
        for (id, task) in candidates {
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let step = &job.accepted.definition.steps[task.step as usize];
            let hasty = self.minions.get(&id).is_some_and(|minion| {
                let left = minion.listing.remaining_ms.unwrap_or(u64::MAX);
                minion.listing.draining && left < LAST_MOMENT_MS
            });
            if !step.long_running || !(hasty || self.can_miss(job, &task, step)) {
                continue;
            }
            // Only when another place is free: otherwise the stop gains nothing.
            let mut probe = job.task(&task).cloned().unwrap_or_default();
            probe.avoid = Some(id.clone());
            let spread = self.spread(&task);
            if self.find_minion(step, &probe, &spread, now, |_| true).is_none() {
                continue;
            }
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            if let Some(run) = minion.runs.get_mut(&task) {
                orders.push(stop(&id, &task, run, now));
                self.note(Note::Evacuated { minion: id, task });
            }
        }
    }

    /// Whether one more task of a lasting step may be taken away on purpose: all others of it
    /// but fewer than its allowance must be at work.
    fn can_miss(&self, job: &Job, name: &TaskName, step: &Step) -> bool {
        let allowance = step.max_unavailable.unwrap_or(0);
        let at_work = |index: u32| {
            let other = TaskName { index, ..*name };
            let Some(task) = job.task(&other) else { return false };
            let Phase::Placed { minion, run } = &task.phase else { return false };
            let Some(minion) = self.minions.get(minion) else { return false };
            let run = minion.run(&other, *run);
            minion.is_reachable()
                && run.is_some_and(|run| run.phase == RunPhase::Active && run.percent >= 100)
        };
        let away = (0..step.count).filter(|index| *index != name.index && !at_work(*index)).count();
        (away as u32) < allowance
    }

    fn start_waiting(&mut self, now: Time, wall_ms: u64, permit: Permit, orders: &mut Vec<Order>) {
        let settled = self.is_settled(now);
        let mut ranked: Vec<_> = self
            .active
            .iter()
            .filter_map(|id| self.jobs.get(id).map(|job| (id, job)))
            .filter(|(_, job)| (settled || !job.inherited) && permit.covers(job))
            .map(|(id, job)| (self.rank(job, now), *id))
            .collect();
        ranked.sort();
        self.minions.values_mut().for_each(|minion| minion.reserved = false);
        self.full.clear();
        self.count_runs(now);
        let mut reserves = true;
        for (rank, id) in ranked {
            let takes = |minion: &Minion| minion.takes_work(now) || minion.is_refuge(now);
            if !self.minions.values().any(takes) {
                return;
            }
            let waiting = self.start_job(id, now, wall_ms, permit, orders);
            if let Some(task) = waiting.filter(|_| reserves) {
                self.reserve(&task, now);
                reserves = rank.class == 0;
            }
        }
    }

    /// Keeps a minion free of further tasks until one that found no room fits on it.
    ///
    /// The room that comes free bit by bit would otherwise go to smaller tasks each time, and a
    /// task that needs several cores would wait for as long as there are any: for a lasting task
    /// its users are without it all the while, and a large job is late for certain.
    fn reserve(&mut self, name: &TaskName, now: Time) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let step = &job.accepted.definition.steps[name.step as usize];
        let spread = self.spread(name);
        let Some(id) = self.find_reservation(step, &spread, now) else { return };
        if let Some(minion) = self.minions.get_mut(&id) {
            minion.reserved = true;
        }
    }

    /// Starts what can be started of a job; returns the first task that found no room.
    fn start_job(
        &mut self,
        id: Id,
        now: Time,
        wall_ms: u64,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) -> Option<TaskName> {
        let job = self.jobs.get(&id)?;
        let mut waiting = None;
        let steps = job.accepted.definition.steps.len() as u32;
        let occurrences = job.accepted.definition.occurrences();
        for occurrence in 0..occurrences {
            for step in 0..steps {
                let job = self.jobs.get(&id)?;
                let due = job.accepted.definition.due_ms(occurrence).is_none_or(|at| wall_ms >= at);
                if !due || job.open_tasks(occurrence, step) == 0 {
                    continue;
                }
                if job.is_step_ready(occurrence, step) {
                    let first = TaskName { job: id, occurrence, step, index: 0 };
                    let left = self.start_step(first, now, permit, orders);
                    waiting = waiting.or(left);
                }
            }
        }
        waiting
    }

    /// Starts what can be started of a step; returns the first task that found no room.
    fn start_step(
        &mut self,
        first: TaskName,
        now: Time,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) -> Option<TaskName> {
        let job = self.jobs.get(&first.job)?;
        let step = &job.accepted.definition.steps[first.step as usize];
        let advised = self.needs_ticket(&job.accepted.queue);
        let need = step.reserved_resources();
        if self.full.is_noted(&need) && !(step.gang || step.long_running || advised) {
            return job.first_waiting(first, now);
        }
        let step = step.clone();
        if step.gang {
            // Its members could be started by two owners in part, and wait for each other.
            if permit == Permit::All {
                self.start_gang(first, &step, now, orders);
            }
            return None;
        }
        let mut spread = None;
        for index in 0..step.count {
            let name = TaskName { index, ..first };
            let job = self.jobs.get(&first.job)?;
            let task = job.task(&name)?;
            if task.phase != Phase::Waiting || now < task.not_before || !permit.covers_task(task) {
                continue;
            }
            let suspicion = task.suspicion;
            let suspected = suspicion.is_likely();
            if suspected && !self.may_try(job, &name) {
                continue;
            }
            if !self.is_within_limit(job, &step.need, 1, now) {
                let waiting = u64::from(step.count - index);
                self.hold_back(&name, &step.need, waiting, now);
                return None;
            }
            if (step.max_per_minion.is_some() || step.long_running) && spread.is_none() {
                spread = Some(self.spread(&name));
            }
            let empty = Default::default();
            let used = spread.as_ref().unwrap_or(&empty);
            let can_try = |id: &str| {
                let minion = || self.minions.get(id);
                !suspected || minion().is_some_and(|minion| minion.can_try(suspicion, now))
            };
            let has_ticket = |id: &str| !advised || self.ticket(&name, id, now).is_some();
            let may_run = |id: &str| can_try(id) && has_ticket(id);
            let minion = self.find_minion(&step, task, used, now, may_run);
            let minion = minion.or_else(|| self.find_refuge(&step, task, used, now, may_run));
            let Some(minion) = minion else {
                if advised {
                    self.want_advice(&name, (step.count - index) as usize, now);
                    return None;
                }
                // There may be room, and others need not wait.
                if suspected {
                    self.set_doubt(smallvec![name], false);
                    continue;
                }
                // A label or a limit for each minion may be what it lacks.
                if step.required_label.is_none() && step.max_per_minion.is_none() {
                    self.full.note(need);
                }
                return Some(name);
            };
            if suspicion.is_guarded() && !suspicion.is_doubted() {
                // Kept before it is started: an owner lost during the trial would leave a successor that knows
                // nothing of it.
                self.set_doubt(smallvec![name], true);
                continue;
            }
            if let Some(spread) = &mut spread {
                *spread.entry(minion.clone()).or_default() += 1;
            }
            let (last, checkpoint) = (task.last_run, task.checkpoint.clone());
            orders.extend(self.place(name, minion, last, checkpoint, now));
        }
        None
    }

    fn start_gang(&mut self, first: TaskName, step: &Step, now: Time, orders: &mut Vec<Order>) {
        let Some(job) = self.jobs.get(&first.job) else { return };
        if !self.all_wait(job, &first, step) {
            return;
        }
        let count = u64::from(step.count);
        if !self.is_within_limit(job, &step.need, count, now) {
            self.hold_back(&first, &step.need.times(count), 1, now);
            return;
        }
        let members: Vec<TaskName> =
            (0..step.count).map(|index| TaskName { index, ..first }).collect();
        let tasks = || members.iter().filter_map(|name| job.task(name));
        let last = tasks().map(|task| task.last_run).max().unwrap_or(0);
        // A checkpoint of any member holds for all, and all must resume from the same one.
        let checkpoint = tasks().filter_map(|task| task.checkpoint.clone()).max();
        let advised = self.needs_ticket(&job.accepted.queue);
        let may_run = |id: &str| !advised || self.ticket(&first, id, now).is_some();
        let Some(places) = self.find_gang(job, &first, step, now, &may_run) else {
            if advised {
                self.want_advice(&first, step.count as usize, now);
            }
            return;
        };
        for (name, minion) in members.into_iter().zip(places) {
            orders.extend(self.place(name, minion, last, checkpoint.clone(), now));
        }
    }

    /// Places a task, whose highest run so far is `last`, on a minion; returns the order to start it.
    fn place(
        &mut self,
        name: TaskName,
        id: MinionId,
        last: u32,
        checkpoint: Option<Box<str>>,
        now: Time,
    ) -> Option<Order> {
        let number = self.next_run(last);
        let ticket = self.ticket(&name, &id, now);
        let job = self.jobs.get_mut(&name.job)?;
        job.started = true;
        let task = job.task_mut(&name)?;
        task.phase = Phase::Placed { minion: id.clone(), run: number };
        task.last_run = number;
        let suspicion = task.suspicion;
        let definition = &job.accepted.definition;
        let charge = definition.steps.get(name.step as usize).and_then(|step| job.charge(step));
        if let Some(minion) = self.minions.get_mut(&id) {
            let step = definition.steps.get(name.step as usize);
            let run = Run::new(number, RunPhase::Ordered, step, now);
            minion.insert(name, Run { suspicion, charge, ..run });
            self.accounts.take(charge);
        }
        Some(Order::Start {
            minion: id,
            task: name,
            run: number,
            first: last == 0,
            suspected: suspicion.is_likely(),
            spec: definition.spec.clone(),
            checkpoint,
            ticket,
        })
    }
}

/// Marks a run as being stopped and returns the order.
///
/// A stop that is ordered again stays confirmed: from then on the run can't begin, and the next look that
/// doesn't list it settles it.  Where minions stop runs within 0.2 s the stop was repeated before that look,
/// its confirmation was forgotten each time, and the task of a start that wasn't answered was never
/// started again.
pub(crate) fn stop(id: &MinionId, task: &TaskName, run: &mut Run, now: Time) -> Order {
    let confirmed = match run.phase {
        RunPhase::Stopping { confirmed, .. } => confirmed,
        RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Active => None,
    };
    run.phase = RunPhase::Stopping { ordered: now, confirmed };
    Order::Stop { minion: id.clone(), task: *task, run: run.number }
}
