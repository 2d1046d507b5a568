//! What is started and stopped now.

use crate::cell::crash::Certainty;
use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::work::Phase;
use crate::cell::{Cell, Event, Job, Permit};
use crate::job::{Id, Step, TaskName};
use crate::time::Time;
use smallvec::smallvec;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unanswered stop is ordered again: two round trips of the slowest link
/// and a slow answer.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// How long a look is waited for that tells what became of an unanswered start, before it is stopped
/// unseen: the look is sent at once and repeated once.
///
/// Most starts without an answer were carried out, and only the answer was lost or late.  Stopped at
/// once, the work was thrown away, and where a lasting task was at work by then, its users lost it while
/// others of its step were away: on an entry with a thin link 117 times in a minute.
const UNANSWERED_START_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two looks at all runs for what must stop or slow down, where nothing says that something
/// must at once.  At a turn's peak plans follow each other by milliseconds, and a cell has a thousand
/// runs; the shortest of the waits that are looked for is ten times this.  It saves two fifths of a plan's
/// time at 85 minions and 400 jobs (0.46 ms for 0.75 ms, the owner bench).
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// With less than this left, a leaving minion's lasting tasks go whatever their step may miss:
/// they end with it in any case.
const FORCED_EVACUATION_MS: u64 = 1200;

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
        self.expire_leases(now);
        if self.last_sweep.is_none_or(|swept| now.since(swept) >= SWEEP_INTERVAL) {
            self.last_sweep = Some(now);
            self.stop_unwanted(now, &mut orders);
            self.stop_broken_gangs(now, &mut orders);
            self.stop_stalled(now, &mut orders);
            self.adjust_paces(now, &mut orders);
        }
        if permit == Permit::All {
            self.stop_stragglers(now, &mut orders);
            self.evacuate(now, &mut orders);
        }
        if permit != Permit::Nothing {
            self.start_waiting_jobs(now, wall_ms, permit, &mut orders);
            self.record_idle_job(now, wall_ms);
        }
        orders
    }

    /// Gives up all runs of minions whose leases must have lapsed, and forgets such minions
    /// once they are no longer listed.
    fn expire_leases(&mut self, now: Time) {
        let is_expired = |minion: &&crate::cell::Minion| {
            let may_expire = minion.answered
                || !minion.inherited
                || self.former_lease_expiry.is_none_or(|expiry| now >= expiry);
            may_expire && now >= minion.lease_expiry && !minion.is_reachable()
        };
        let is_removable = |minion: &&crate::cell::Minion| !minion.is_empty() || !minion.listed;
        let expired =
            self.minions.values().filter(|minion| is_removable(minion) && is_expired(minion));
        let ids: Vec<MinionId> = expired.map(|minion| minion.id.clone()).collect();
        for id in ids {
            let Some(mut minion) = self.minions.remove(&id) else { continue };
            self.record_loss(&minion, Certainty::Possible, now);
            let runs = minion.take_runs();
            let at = minion.lease_expiry;
            if minion.listed {
                self.minions.insert(id.clone(), minion);
            }
            for (task, run) in runs {
                let run = run.number;
                self.record_event(Event::Lapsed { minion: id.clone(), task, run, at });
                self.requeue_task(&id, &task, run, now);
            }
        }
    }

    /// Stops runs of jobs that have ended, and repeats stops that were not answered.
    fn stop_unwanted(&mut self, now: Time, orders: &mut Vec<Order>) {
        let jobs = &self.jobs;
        for minion in self.minions.values_mut() {
            for (task, run) in &mut minion.runs {
                let ended = jobs.get(&task.job).is_none_or(Job::is_end_persisted);
                let due = match run.phase {
                    RunPhase::Ordered | RunPhase::Active => ended,
                    RunPhase::Unanswered { since } => {
                        ended || now.since(since) >= UNANSWERED_START_TIMEOUT
                    }
                    RunPhase::Stopping { ordered, confirmed } => {
                        // A confirmed stop that its minion still lists long after is repeated.
                        let retry_after = confirmed
                            .map_or(STOP_RETRY_INTERVAL, |_| self.settings.stop_timeout * 2);
                        now.since(ordered) >= retry_after.max(STOP_RETRY_INTERVAL)
                    }
                };
                if due {
                    orders.push(stop_run(&minion.id, task, run, now));
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
        if !self.is_takeover_complete(now) {
            return;
        }
        let gangs: Vec<TaskName> = self
            .active_jobs
            .iter()
            .filter_map(|id| Some((*id, self.jobs.get(id)?)))
            .flat_map(|(id, job)| job.open_gangs(id))
            .collect();
        for first in gangs {
            let Some(job) = self.jobs.get(&first.job) else { continue };
            let count = job.accepted.definition.steps[first.step as usize].count;
            let members = || (0..count).map(|index| TaskName { index, ..first });
            let is_waiting =
                |name: &TaskName| job.task(name).is_some_and(|task| task.phase == Phase::Waiting);
            if !members().any(|name| is_waiting(&name)) {
                continue;
            }
            for minion in self.minions.values_mut() {
                for name in members() {
                    let Some(run) = minion.runs.get_mut(&name) else { continue };
                    if !matches!(run.phase, RunPhase::Stopping { .. }) {
                        orders.push(stop_run(&minion.id, &name, run, now));
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
        let (factor, min_stall) = (self.settings.stall_factor, self.settings.min_stall);
        let quarantine = self.settings.quarantine;
        for minion in self.minions.values_mut() {
            // Without an answer there is no news of progress either.
            if !minion.is_reachable() {
                continue;
            }
            let mut is_minion_suspect = false;
            for (task, run) in &mut minion.runs {
                let Some(job) = self.jobs.get_mut(&task.job) else { continue };
                let step = &job.accepted.definition.steps[task.step as usize];
                let estimate = Duration::from_millis(step.estimate_ms).mul_f64(factor);
                let bound = estimate.max(min_stall);
                // Judged by what the minion told: an owner that is late with its looks has no news of
                // progress, and would stop whatever it looks at next.
                let has_stalled = minion.reported_at.since(run.progressed_at) > bound;
                if run.phase == RunPhase::Active
                    && has_stalled
                    && !(step.lasting && run.percent >= 100)
                {
                    let percent = run.percent;
                    let minion = minion.id.clone();
                    self.events.push(Event::Stalled {
                        minion: minion.clone(),
                        task: *task,
                        percent,
                    });
                    orders.push(stop_run(&minion, task, run, now));
                    is_minion_suspect |= job.record_stall(task, minion);
                }
            }
            if is_minion_suspect {
                minion.quarantined_until = minion.quarantined_until.max(now + quarantine * 2);
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
            let is_forced = self.minions.get(&id).is_some_and(|minion| {
                let remaining_ms = minion.listing.remaining_ms.unwrap_or(u64::MAX);
                minion.listing.draining && remaining_ms < FORCED_EVACUATION_MS
            });
            if !step.lasting || !(is_forced || self.can_evacuate(job, &task, step)) {
                continue;
            }
            // Only when another place is free: otherwise the stop gains nothing.
            let mut moved = job.task(&task).cloned().unwrap_or_default();
            moved.avoid = Some(id.clone());
            let spread = self.spread(&task);
            if self.find_minion(step, &moved, &spread, now, |_| true).is_none() {
                continue;
            }
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            if let Some(run) = minion.runs.get_mut(&task) {
                orders.push(stop_run(&id, &task, run, now));
                self.record_event(Event::Evacuated { minion: id, task });
            }
        }
    }

    /// Whether one more task of a lasting step may be taken away on purpose: all others of it
    /// but fewer than its allowance must be at work.
    fn can_evacuate(&self, job: &Job, name: &TaskName, step: &Step) -> bool {
        let allowance = step.may_be_away.unwrap_or(0);
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

    fn start_waiting_jobs(
        &mut self,
        now: Time,
        wall_ms: u64,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) {
        let takeover_complete = self.is_takeover_complete(now);
        let mut ranked: Vec<_> = self
            .active_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id).map(|job| (id, job)))
            .filter(|(_, job)| (takeover_complete || !job.inherited) && permit.covers(job))
            .map(|(id, job)| (self.rank(job, now), *id))
            .collect();
        ranked.sort();
        self.minions.values_mut().for_each(|minion| minion.reserved = false);
        self.unmet_needs.clear();
        self.count_runs(now);
        let mut may_reserve = true;
        for (rank, id) in ranked {
            let accepts = |minion: &Minion| minion.accepts_tasks(now) || minion.is_fallback(now);
            if !self.minions.values().any(accepts) {
                return;
            }
            let waiting = self.start_job(id, now, wall_ms, permit, orders);
            if let Some(task) = waiting.filter(|_| may_reserve) {
                self.reserve_minion(&task, now);
                may_reserve = rank.class == 0;
            }
        }
    }

    /// Keeps a minion free of further tasks until one that found no room fits on it.
    ///
    /// The room that comes free bit by bit would otherwise go to smaller tasks each time, and a
    /// task that needs several cores would wait for as long as there are any: for a lasting task
    /// its users are without it all the while, and a large job is late for certain.
    fn reserve_minion(&mut self, name: &TaskName, now: Time) {
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
        let mut unplaced_task = None;
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
                    let unplaced = self.start_step(first, now, permit, orders);
                    unplaced_task = unplaced_task.or(unplaced);
                }
            }
        }
        unplaced_task
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
        let needs_ticket = self.needs_ticket(&job.accepted.queue);
        let need = step.counted_need();
        if self.unmet_needs.covers(&need) && !(step.gang || step.lasting || needs_ticket) {
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
            let suspected = suspicion.is_likely_cause();
            if suspected && !self.may_start_suspect(job, &name) {
                continue;
            }
            if !self.is_within_limit(job, &step.need, 1, now) {
                let waiting = u64::from(step.count - index);
                self.record_held_back(&name, &step.need, waiting, now);
                return None;
            }
            if (step.per_minion.is_some() || step.lasting) && spread.is_none() {
                spread = Some(self.spread(&name));
            }
            let no_spread = Default::default();
            let used = spread.as_ref().unwrap_or(&no_spread);
            let can_try = |id: &str| {
                let minion = || self.minions.get(id);
                !suspected || minion().is_some_and(|minion| minion.can_host_suspect(suspicion, now))
            };
            let has_ticket = |id: &str| !needs_ticket || self.ticket(&name, id, now).is_some();
            let may_run = |id: &str| can_try(id) && has_ticket(id);
            let minion = self.find_minion(&step, task, used, now, may_run);
            let minion = minion.or_else(|| self.find_fallback(&step, task, used, now, may_run));
            let Some(minion) = minion else {
                if needs_ticket {
                    self.request_advice(&name, (step.count - index) as usize, now);
                    return None;
                }
                // There may be room, and others need not wait.
                if suspected {
                    self.set_possible_crash(smallvec![name], false);
                    continue;
                }
                // A label or a limit for each minion may be what it lacks.
                if step.requires.is_none() && step.per_minion.is_none() {
                    self.unmet_needs.add(need);
                }
                return Some(name);
            };
            if suspicion.needs_isolation() && !suspicion.has_possible_crash() {
                // Kept before it is started: an owner lost during the trial would leave a successor that knows
                // nothing of it.
                self.set_possible_crash(smallvec![name], true);
                continue;
            }
            if let Some(spread) = &mut spread {
                *spread.entry(minion.clone()).or_default() += 1;
            }
            let (last, checkpoint) = (task.last_run, task.checkpoint.clone());
            orders.extend(self.place_task(name, minion, last, checkpoint, now));
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
            self.record_held_back(&first, &step.need.times(count), 1, now);
            return;
        }
        let members: Vec<TaskName> =
            (0..step.count).map(|index| TaskName { index, ..first }).collect();
        let tasks = || members.iter().filter_map(|name| job.task(name));
        let last = tasks().map(|task| task.last_run).max().unwrap_or(0);
        // A checkpoint of any member holds for all, and all must resume from the same one.
        let checkpoint = tasks().filter_map(|task| task.checkpoint.clone()).max();
        let needs_ticket = self.needs_ticket(&job.accepted.queue);
        let may_run = |id: &str| !needs_ticket || self.ticket(&first, id, now).is_some();
        let Some(places) = self.find_gang(job, &first, step, now, &may_run) else {
            if needs_ticket {
                self.request_advice(&first, step.count as usize, now);
            }
            return;
        };
        for (name, minion) in members.into_iter().zip(places) {
            orders.extend(self.place_task(name, minion, last, checkpoint.clone(), now));
        }
    }

    /// Places a task, whose highest run so far is `last`, on a minion; returns the order to start it.
    fn place_task(
        &mut self,
        name: TaskName,
        id: MinionId,
        last: u32,
        checkpoint: Option<Box<str>>,
        now: Time,
    ) -> Option<Order> {
        let number = self.next_run_number(last);
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
            minion.insert_run(name, Run { suspicion, charge, ..run });
            self.accounts.charge_run(charge);
        }
        Some(Order::Start {
            minion: id,
            task: name,
            run: number,
            first: last == 0,
            suspected: suspicion.is_likely_cause(),
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
pub(crate) fn stop_run(id: &MinionId, task: &TaskName, run: &mut Run, now: Time) -> Order {
    let confirmed = match run.phase {
        RunPhase::Stopping { confirmed, .. } => confirmed,
        RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Active => None,
    };
    run.phase = RunPhase::Stopping { ordered: now, confirmed };
    Order::Stop { minion: id.clone(), task: *task, run: run.number }
}
