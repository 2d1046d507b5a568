//! Decides which runs to start and stop.

use crate::cell::availability::StopReason;
use crate::cell::crash::Certainty;
use crate::cell::minion::{Minion, MinionId, Run, RunPhase};
use crate::cell::share::GroupId;
use crate::cell::work::Phase;
use crate::cell::{Cell, Event, Job, Permit};
use crate::job::{Step, TaskName};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unanswered stop is sent again: two round trips of the slowest link and a
/// slow answer.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// How long to wait for a poll that shows the result of an unanswered start, before the run is
/// stopped without it.  The poll is sent at once and repeated once.
///
/// Most unanswered starts were carried out, and only the answer was lost or late.  Stopping them at
/// once lost their work.  Where a long-running task was already active, its users lost it while
/// other tasks of its step were unavailable: 117 times in a minute on an entry with a slow link.
const UNANSWERED_START_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two checks of all runs for what must stop or slow down, unless an event requires
/// one at once.  At peak load plans follow each other within milliseconds and a cell has a thousand
/// runs, while the shortest timeout checked is ten times this.  It saves two fifths of a plan's
/// time at 85 minions and 400 jobs (0.46 ms instead of 0.75 ms).
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// An order to a minion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
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
        /// Whether the task may crash its minion, so that the minion is to be polled when the trial
        /// ends.
        suspected: bool,
        /// The task's specification, passed on from the definition.
        spec: Arc<str>,
        /// Checkpoint to resume from.
        checkpoint: Option<Box<str>>,
        /// Permission to run the task there, if the queue needs one.
        ticket: Option<Box<str>>,
    },
    /// Limit the speed of a run.
    Pace {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Percentage of full speed.
        percent: u8,
    },
    /// Stop a run, or ensure that it never starts.
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
    /// Limits the starts that the next plan orders, apart from those of gangs.
    pub fn limit_starts(&mut self, count: usize) {
        self.starts_left = count;
    }

    /// Whether the last plan ordered as many starts as it was limited to.
    pub fn is_start_limited(&self) -> bool {
        self.starts_left == 0
    }

    /// Returns the orders to send now.  `wall_ms` is the wall-clock time in milliseconds since the
    /// Unix epoch, for scheduled occurrences.  Tasks are moved only with [`Permit::All`].
    pub fn plan(&mut self, now: Time, wall_ms: u64, permit: Permit) -> Vec<Order> {
        let mut orders = Vec::new();
        self.expire_leases(now);
        self.update_takeover(now);
        self.mark_silent_zones();
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
            // Changes outside of a plan don't update it.
            self.placement_index = None;
            if !self.is_start_limited() {
                self.record_idle_job(now, wall_ms);
            }
        }
        orders
    }

    /// Requeues the tasks of all runs on minions whose leases must have expired, and removes such
    /// minions once they are unlisted.
    fn expire_leases(&mut self, now: Time) {
        let is_expired = |minion: &&crate::cell::Minion| {
            let may_expire = minion.answered
                || !minion.inherited
                || self.have_former_leases_expired(minion, now);
            may_expire && now >= minion.lease_expiry && !minion.is_reachable()
        };
        let is_removable = |minion: &&crate::cell::Minion| !minion.is_empty() || !minion.listed;
        let expired =
            self.minions.values().filter(|minion| is_removable(minion) && is_expired(minion));
        let ids: Vec<MinionId> = expired.map(|minion| minion.id.clone()).collect();
        for id in ids {
            let Some(mut minion) = self.minions.remove(&id) else { continue };
            self.record_loss(&minion, Certainty::Possible, now);
            self.record_former_loss(&minion);
            self.add_lapsed_trials(&minion, now);
            let runs = minion.take_runs();
            let at = minion.lease_expiry;
            if minion.listed {
                self.minions.insert(id.clone(), minion);
            }
            for (task, run) in runs {
                let run = run.number;
                self.record_event(Event::LeaseExpired { minion: id.clone(), task, run, at });
                self.requeue_task(&id, &task, run, now);
            }
        }
    }

    /// Stops runs of jobs that have ended and of starts that stayed unanswered, and repeats stops
    /// that had no effect.
    fn stop_unwanted(&mut self, now: Time, orders: &mut Vec<Order>) {
        let contested = self.contested_starts(now);
        let jobs = &self.jobs;
        let mut stopped: Vec<(MinionId, TaskName, u32, StopReason)> = Vec::new();
        for minion in self.minions.values_mut() {
            for (task, run) in &mut minion.runs {
                let ended = jobs.get(&task.job).is_none_or(Job::is_end_persisted);
                let due = match run.phase {
                    RunPhase::Ordered | RunPhase::Active => ended,
                    RunPhase::Unanswered { since } => {
                        let is_overdue = now.since(since) >= UNANSWERED_START_TIMEOUT;
                        ended || (is_overdue && !contested.contains(task))
                    }
                    RunPhase::Stopping { ordered, confirmed } => {
                        // A confirmed stop is repeated if the minion still lists the run long
                        // after.
                        let retry_after = confirmed
                            .map_or(STOP_RETRY_INTERVAL, |_| self.settings.stop_timeout * 2);
                        now.since(ordered) >= retry_after.max(STOP_RETRY_INTERVAL)
                    }
                };
                if !due {
                    continue;
                }
                if run.long_running && !matches!(run.phase, RunPhase::Stopping { .. }) {
                    let reason =
                        if ended { StopReason::JobEnded } else { StopReason::UnansweredStart };
                    stopped.push((minion.id.clone(), *task, run.number, reason));
                }
                orders.push(stop_run(&minion.id, task, run, now));
            }
        }
        for (minion, task, run, reason) in stopped {
            self.record_long_running_stop(&minion, task, run, reason, now);
        }
    }

    /// Long-running tasks whose start was not answered, and whose stop would exceed the allowance of
    /// their step if they are at work.  A poll or the end of the lease shows whether they are.
    fn contested_starts(&self, now: Time) -> BTreeSet<TaskName> {
        let runs = self.minions.values().flat_map(|minion| &minion.runs);
        let is_unanswered =
            |run: &Run| run.long_running && matches!(run.phase, RunPhase::Unanswered { .. });
        let unanswered = runs.filter(|(_, run)| is_unanswered(run)).map(|(task, _)| *task);
        unanswered.filter(|task| !self.availability(task, now).permits_stop()).collect()
    }

    /// Stops the members of gangs that have other members without a run.
    ///
    /// If a member's start was refused or not answered, the others would wait for it and occupy
    /// their cores until they time out, seconds later, and only then would the gang be started
    /// again.  A new owner may still find the missing members, so it stops none before every minion
    /// has answered.
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

    /// Starts the tasks of a step that can be started; returns the first one that found no
    /// capacity.
    pub(crate) fn start_step(
        &mut self,
        first: TaskName,
        now: Time,
        permit: Permit,
        orders: &mut Vec<Order>,
    ) -> Option<TaskName> {
        let job = self.jobs.get(&first.job)?;
        let step = &job.accepted.definition.steps[first.step as usize];
        let needs_ticket = self.needs_ticket(&job.accepted.queue);
        // A gang needs its cores at the same time, so it would lose its place to single tasks each
        // time.
        if let Some(shares) = &mut self.shares.current
            && !step.gang
            && job.first_waiting(first, now).is_some()
            && shares.interrupt_at(first, &step.reserved_resources())
        {
            return None;
        }
        let need = step.reserved_resources();
        if self.unmet_needs.covers(&need) && !(step.gang || step.long_running || needs_ticket) {
            return job.first_waiting(first, now);
        }
        if !step.gang && job.first_waiting(first, now).is_none() {
            return None;
        }
        let step = step.clone();
        if step.gang {
            // Otherwise two owners could each start a part of the gang, and its members would wait
            // for each other.
            if permit == Permit::All {
                self.start_gang(first, &step, now, orders);
            }
            return None;
        }
        self.index_minions();
        let mut spread = None;
        for index in 0..step.count {
            if self.is_start_limited() {
                return None;
            }
            let name = TaskName { index, ..first };
            let job = self.jobs.get(&first.job)?;
            let task = job.task(&name)?;
            if task.phase != Phase::Waiting || now < task.not_before || !permit.covers_task(task) {
                continue;
            }
            if let Some(shares) = &mut self.shares.current
                && shares.interrupt_at(first, &need)
            {
                return None;
            }
            let suspicion = task.suspicion;
            let suspected = suspicion.is_likely_cause();
            if suspected && !self.may_start_suspect(job, &name, now) {
                // A trial that is not next must not count against it if the owner is lost.
                self.set_possible_crash(smallvec![name], false);
                continue;
            }
            if !self.is_within_limit(job, &step.need, 1, now) {
                let waiting = u64::from(step.count - index);
                self.record_held_back(&name, &step.need, waiting, now);
                return None;
            }
            if (step.max_per_minion.is_some() || step.long_running) && spread.is_none() {
                spread = Some(self.spread(&name));
            }
            let no_spread = Default::default();
            let used = spread.as_ref().unwrap_or(&no_spread);
            let can_host = |id: &str| {
                if !suspected && permit == Permit::All {
                    return true;
                }
                let can_host_suspect =
                    |minion: &Minion| !suspected || minion.can_host_suspect(suspicion, now);
                let minion = self.minions.get(id);
                minion
                    .is_some_and(|minion| permit.covers_minion(minion) && can_host_suspect(minion))
            };
            let has_ticket = |id: &str| !needs_ticket || self.ticket(&name, id, now).is_some();
            let may_run = |id: &str| can_host(id) && has_ticket(id);
            let Some(minion) = self.find_for_start(&step, task, used, now, may_run) else {
                if needs_ticket {
                    self.request_advice(&name, (step.count - index) as usize, now);
                    return None;
                }
                // There may be capacity, so other tasks need not wait.
                if suspected {
                    self.set_possible_crash(smallvec![name], false);
                    continue;
                }
                // Otherwise a label or a limit per minion may be the reason.
                if step.required_label.is_none() && step.max_per_minion.is_none() {
                    self.unmet_needs.add(need);
                }
                return Some(name);
            };
            if suspicion.needs_persisted_trial() && !job.is_trial_persisted(task, &minion) {
                // Persisted before the start: if the owner were lost during the trial, its
                // successor would not know of the possible crash.
                self.record_trial(&name, &minion);
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
        // A checkpoint of any member is valid for all, and all must resume from the same one.
        let checkpoint = tasks().filter_map(|task| task.checkpoint.clone()).max();
        let suspects: SmallVec<[TaskName; 4]> = members
            .iter()
            .filter(|name| {
                job.task(name).is_some_and(|task| task.suspicion.needs_persisted_trial())
            })
            .copied()
            .collect();
        let needs_ticket = self.needs_ticket(&job.accepted.queue);
        let may_run = |id: &str| !needs_ticket || self.ticket(&first, id, now).is_some();
        let Some(places) = self.find_gang(job, &first, step, now, &may_run) else {
            if needs_ticket {
                self.request_advice(&first, step.count as usize, now);
            }
            self.set_possible_crash(suspects, false);
            return;
        };
        let is_persisted = |name: &TaskName| {
            job.task(name).is_some_and(|task| job.is_possible_crash_persisted(task))
        };
        if !suspects.iter().all(is_persisted) {
            self.set_possible_crash(suspects, true);
            return;
        }
        for (name, minion) in members.into_iter().zip(places) {
            orders.extend(self.place_task(name, minion, last, checkpoint.clone(), now));
        }
    }

    /// Places a task on a minion and returns the order to start it.  `last` is its highest run
    /// number so far.
    fn place_task(
        &mut self,
        name: TaskName,
        id: MinionId,
        last: u32,
        checkpoint: Option<Box<str>>,
        now: Time,
    ) -> Option<Order> {
        self.starts_left = self.starts_left.saturating_sub(1);
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
            let former = minion.free();
            minion.insert_run(name, Run { suspicion, charge, ..run });
            if let Some(index) = &mut self.placement_index {
                index.update(&id, &former, minion.free());
            }
            self.accounts.charge_run(charge);
            if let (Some(shares), Some(step)) = (&mut self.shares.current, step) {
                shares.count_start(GroupId::of(job.account), &step.reserved_resources());
            }
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
/// A stop that is sent again stays confirmed: once it is confirmed the run cannot start, and the
/// next poll that does not list the run proves that it has ended.  Where minions stop runs within
/// 0.2 s, the stop was repeated before that poll and its confirmation was lost each time, so that a
/// task whose start was not answered was never restarted.
pub(crate) fn stop_run(id: &MinionId, task: &TaskName, run: &mut Run, now: Time) -> Order {
    let confirmed = match run.phase {
        RunPhase::Stopping { confirmed, .. } => confirmed,
        RunPhase::Ordered | RunPhase::Unanswered { .. } | RunPhase::Active => None,
    };
    run.phase = RunPhase::Stopping { ordered: now, confirmed };
    Order::Stop { minion: id.clone(), task: *task, run: run.number }
}
