//! Processing of minions' answers and of the results of orders.

mod answer;
mod end;

use crate::cell::availability::StopReason;
use crate::cell::crash::Certainty;
use crate::cell::minion::{Listing, Minion, MinionId, Run, RunPhase};
use crate::cell::work::{Phase, Task};
use crate::cell::{Cell, Event, Order};
use crate::job::TaskName;
use crate::time::Time;
pub use answer::{End, EndReason, Refusal, Report, Running, StartResult};
use smallvec::smallvec;
use std::time::Duration;

/// Quarantine of a minion that had no capacity for a task.  Its accounting differs from this
/// owner's, which the next report corrects.
const NO_ROOM_QUARANTINE: Duration = Duration::from_millis(150);

/// Quarantine of a minion that reports to be unhealthy.
const UNHEALTHY_QUARANTINE: Duration = Duration::from_millis(700);

/// Maximum number of ends in one answer.
const MAX_ENDS_PER_ANSWER: usize = 500;

/// State of a run to be stopped, due for the next plan to send the stop.
pub(crate) const STOP_DUE: RunPhase = RunPhase::Stopping { ordered: Time(0), confirmed: None };

impl Minion {
    /// Returns the runs absent from the answer to a poll sent at `sent` that were active before
    /// then, or whose stop was confirmed before then.
    pub(crate) fn missing_runs(&self, report: &Report, sent: Time) -> Vec<(TaskName, u32)> {
        // A full list of ends may hide the end of a run that is no longer listed.
        if report.finished.len() >= MAX_ENDS_PER_ANSWER {
            return Vec::new();
        }
        let listed = |task: &TaskName, number: u32| {
            report.running.iter().any(|running| running.task == *task && running.run == number)
        };
        let is_missing = |task: &TaskName, run: &Run| match run.phase {
            RunPhase::Ordered | RunPhase::Unanswered { .. } => false,
            RunPhase::Active => run.progressed_at < sent && !listed(task, run.number),
            RunPhase::Stopping { confirmed, .. } => {
                confirmed.is_some_and(|at| at < sent) && !listed(task, run.number)
            }
        };
        let missing = self.runs.iter().filter(|(task, run)| is_missing(task, run));
        missing.map(|(task, run)| (*task, run.number)).collect()
    }
}

impl Cell {
    /// Records a minion as listed by the platform.
    pub fn update_listing(&mut self, id: &MinionId, listing: Listing) {
        let zone = self.zones.index(&listing.zone);
        let minion = self
            .minions
            .entry(id.clone())
            .or_insert_with(|| Minion::new(id.clone(), Listing::default(), true));
        minion.zone = zone;
        minion.listing = listing;
        minion.listed = true;
        self.withdraw_planned_crashes(id);
    }

    /// Clears the possible crashes on a minion whose end turns out to be planned.
    fn withdraw_planned_crashes(&mut self, id: &str) {
        let is_planned =
            |minion: &Minion| minion.silent_since.is_some() && minion.has_planned_end();
        if self.minions.get(id).is_some_and(is_planned) {
            self.clear_possible_crash(id);
        }
    }

    /// Adds a minion that a former owner used, whether it is still listed or not.
    pub fn inherit_minion(&mut self, id: &MinionId) {
        let absent = || Minion::new(id.clone(), Listing::default(), false);
        self.minions.entry(id.clone()).or_insert_with(absent).inherited = true;
    }

    /// Records that the platform no longer lists a minion.  It may be disconnected and still
    /// execute its runs, so their tasks are requeued only when their leases must have expired.
    pub fn mark_unlisted(&mut self, id: &str) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.listed = false;
        }
    }

    /// Sets whether a minion is to be emptied.
    ///
    /// For a silent minion this is not cleared: its machine was ordered to shut down, and the mark
    /// for emptying is removed before the minion is known to have terminated.  Otherwise its end
    /// would be taken for a crash.
    pub fn set_leaving(&mut self, id: &str, leaving: bool) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.leaving = leaving || (minion.leaving && minion.silent_since.is_some());
        }
        self.withdraw_planned_crashes(id);
    }

    /// Records that a call about to be sent may extend leases up to `until`.
    pub fn extend_lease_expiry(&mut self, id: &str, until: Time) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.lease_expiry = minion.lease_expiry.max(until);
        }
    }

    /// Removes a minion that has certainly terminated, and requeues the tasks of its runs.
    pub fn remove_terminated_minion(&mut self, id: &str, now: Time) {
        let Some(minion) = self.minions.remove(id) else { return };
        self.record_loss(&minion, Certainty::Terminated, now);
        self.resolve_former_trials(&minion, None, now);
        self.resolve_lapsed_trials(&minion, now);
        self.requeue_lost_runs(&minion.id, minion.runs, now);
    }

    /// Records that a minion did not answer.
    pub fn record_missed_answer(&mut self, id: &str, now: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let since = minion.unanswered_since.unwrap_or(now);
        let is_first = minion.silent_since.replace(minion.silent_since.unwrap_or(since)).is_none();
        self.mark_possible_crash(id, now);
        if is_first {
            self.review_possible_crashes(id, now);
        }
    }

    /// Records that a poll sent at `sent`, which the minion was to answer at once, was not answered.
    ///
    /// One such poll does not make the minion silent, but if no answer follows, it had stopped
    /// answering by then.
    pub fn record_unanswered_poll(&mut self, id: &str, sent: Time) {
        // An answer after the poll shows that the minion went on.
        if let Some(minion) = self.minions.get_mut(id).filter(|minion| minion.reported_at <= sent) {
            minion.unanswered_since.get_or_insert(sent);
        }
    }

    /// Processes a minion's answer to a poll sent at `sent`; returns stops of unwanted runs.
    pub fn process_report(
        &mut self,
        id: &MinionId,
        report: &Report,
        sent: Time,
        now: Time,
    ) -> Vec<Order> {
        let Some(minion) = self.minions.get_mut(id) else { return Vec::new() };
        if minion.is_outdated(report.incarnation) {
            return Vec::new();
        }
        let restart = minion.update_incarnation(report.incarnation);
        if restart.is_some() || !minion.answered {
            minion.answering_since = now;
        }
        minion.answered = true;
        minion.reported_at = now;
        minion.polled_at = minion.polled_at.max(sent);
        minion.unanswered_since = None;
        let seen = minion.seen;
        if minion.silent_since.take().is_some() {
            self.clear_possible_crash(id);
        }
        for end in report.finished.iter().filter(|end| end.number > seen) {
            self.process_end(id, end, now);
        }
        let mut orders = Vec::new();
        for running in &report.running {
            self.process_running(id, running, now, &mut orders);
        }
        if report.incarnation.is_some() {
            self.resolve_trials_of_answering(id, now);
        }
        match restart {
            Some(restart) => self.drop_lost_runs(id, &restart, report, sent, now),
            None => {
                self.lapsed_trials.remove(id);
                self.drop_vanished_runs(id, report, sent, now);
            }
        }
        self.stop_unanswered(id, sent);
        orders
    }

    /// Stops runs with an unanswered start that are missing from an answer to a later poll, because
    /// they may still start.
    fn stop_unanswered(&mut self, id: &MinionId, sent: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        for run in minion.runs.values_mut() {
            if matches!(run.phase, RunPhase::Unanswered { since } if since <= sent) {
                run.phase = STOP_DUE;
                self.last_sweep = None;
            }
        }
    }

    /// Requeues the tasks of runs that the minion no longer lists although it had them when the
    /// poll was sent, and of unanswered starts that a confirmed stop keeps from running.
    fn drop_vanished_runs(&mut self, id: &MinionId, report: &Report, sent: Time, now: Time) {
        let Some(minion) = self.minions.get(id) else { return };
        let (seen, acknowledged) = (minion.seen, minion.acknowledged);
        for (task, number) in minion.missing_runs(report, sent) {
            if let Some(minion) = self.minions.get_mut(id) {
                minion.remove_run(&task);
            }
            self.record_event(Event::Vanished {
                minion: id.clone(),
                task,
                run: number,
                seen,
                acknowledged,
            });
            self.requeue_task(id, &task, number, now);
        }
    }

    /// Requeues the tasks of runs lost with their minion, or with its former incarnation, and
    /// records an [`Event::Lost`] for each.
    pub(crate) fn requeue_lost_runs(
        &mut self,
        id: &MinionId,
        runs: impl IntoIterator<Item = (TaskName, Run), IntoIter: ExactSizeIterator>,
        now: Time,
    ) {
        let runs = runs.into_iter();
        let other_runs = runs.len().saturating_sub(1);
        for (task, run) in runs {
            self.record_event(Event::Lost {
                minion: id.clone(),
                task,
                run: run.number,
                age: now.since(run.ordered_at),
                listed: run.listed_for.is_some(),
                other_runs,
            });
            self.requeue_task(id, &task, run.number, now);
        }
    }

    fn process_running(
        &mut self,
        id: &MinionId,
        running: &Running,
        now: Time,
        orders: &mut Vec<Order>,
    ) {
        let stop = Order::Stop { minion: id.clone(), task: running.task, run: running.run };
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(run) = minion.runs.get_mut(&running.task) {
            if run.number != running.run {
                let long_running = run.long_running;
                orders.push(stop);
                if long_running {
                    let reason = StopReason::OtherRun;
                    self.record_long_running_stop(id, running.task, running.run, reason, now);
                }
                return;
            }
            if matches!(run.phase, RunPhase::Ordered | RunPhase::Unanswered { .. }) {
                run.activate(now);
            }
            run.load = running.load;
            run.is_start_confirmed = true;
            run.listed_for = Some(running.min_run_time(now.since(run.ordered_at)));
            if run.percent != running.percent {
                run.percent = running.percent;
                run.progressed_at = now;
            }
            let Some(job) = self.jobs.get_mut(&running.task.job) else { return };
            job.started = true;
            if let (Some(task), Some(checkpoint)) =
                (job.task_mut(&running.task), &running.checkpoint)
            {
                task.checkpoint = Some(checkpoint.clone());
            }
            let is_suspected = job.task(&running.task).is_some_and(Task::is_suspected);
            self.record_speed(id, &running.task, running.percent.min(99), now);
            if is_suspected {
                self.record_run_time(id, &running.task);
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            // A former owner's run, of a job not known here yet or any more.  What it uses is
            // unknown too, so nothing is started beside it: a minion that does not enforce its
            // capacity would be overloaded.
            let phase = RunPhase::Stopping { ordered: now, confirmed: None };
            let need = minion.free();
            let run = Run { need, ..Run::new(running.run, phase, None, now) };
            minion.insert_run(running.task, run);
            orders.push(stop);
            // Whether the task is a long-running one is unknown.
            let reason = StopReason::UnknownJob;
            self.record_long_running_stop(id, running.task, running.run, reason, now);
            return;
        };
        let steps = &job.accepted.definition.steps;
        let step = steps.get(running.task.step as usize).cloned();
        let charge = step.as_ref().and_then(|step| job.charge(step));
        let is_wanted = !job.is_end_persisted();
        let Some(task) = job.task_mut(&running.task) else {
            orders.push(stop);
            return;
        };
        let number = running.run;
        if !is_wanted || task.phase != Phase::Waiting {
            // Unwanted, but it uses capacity until its end is listed.
            let phase = RunPhase::Stopping { ordered: now, confirmed: None };
            let run = Run { charge, ..Run::new(number, phase, step.as_ref(), now) };
            let long_running = run.long_running;
            minion.insert_run(running.task, run);
            orders.push(stop);
            if long_running {
                let reason =
                    if is_wanted { StopReason::DuplicateRun } else { StopReason::JobEnded };
                self.record_long_running_stop(id, running.task, number, reason, now);
            }
            return;
        }
        task.phase = Phase::Placed { minion: id.clone(), run: number };
        task.last_run = task.last_run.max(number);
        if let Some(checkpoint) = &running.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        job.started = true;
        let listed_for = running.min_run_time(Duration::ZERO);
        let run = Run {
            percent: running.percent,
            load: running.load,
            listed_for: Some(listed_for),
            charge,
            adopted: true,
            ..Run::new(number, RunPhase::Active, step.as_ref(), now)
        };
        minion.insert_run(running.task, run);
        self.record_found_run(&running.task);
        self.record_event(Event::Adopted { minion: id.clone(), task: running.task, run: number });
    }

    /// Requeues a task if its run on `minion` was the current one.
    pub(crate) fn requeue_task(&mut self, minion: &MinionId, name: &TaskName, run: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(name) else { return };
        let current = Phase::Placed { minion: minion.clone(), run };
        if task.phase == current {
            task.phase = Phase::Waiting;
            task.waiting_since = now;
        }
        // A possible crash of its minion has been counted before.
        self.set_possible_crash(smallvec![*name], false);
        // The other members of its gang must stop, or all runs of its job.
        self.last_sweep = None;
    }

    /// Processes the result of a start order.
    pub fn process_start_result(
        &mut self,
        id: &MinionId,
        task: &TaskName,
        run: u32,
        result: StartResult,
        now: Time,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(known) = minion.runs.get_mut(task).filter(|known| known.number == run) else {
            return;
        };
        match result {
            StartResult::Started => {
                known.is_start_confirmed = true;
                if known.phase == RunPhase::Ordered {
                    known.activate(now);
                }
            }
            StartResult::Unknown => {
                if known.phase == RunPhase::Ordered {
                    known.phase = RunPhase::Unanswered { since: now };
                }
            }
            StartResult::Refused(reason) => {
                minion.remove_run(task);
                match reason {
                    Refusal::NoRoom => {
                        minion.quarantined_until =
                            minion.quarantined_until.max(now + NO_ROOM_QUARANTINE)
                    }
                    Refusal::Unhealthy | Refusal::Malformed => {
                        minion.quarantined_until =
                            minion.quarantined_until.max(now + UNHEALTHY_QUARANTINE);
                    }
                    Refusal::NoTicket => self.drop_ticket(task, id),
                    _ => {}
                }
                self.requeue_task(id, task, run, now);
            }
        }
    }

    /// Records that a minion confirmed a stop at `now`.
    pub fn confirm_stop(&mut self, id: &MinionId, task: &TaskName, run: u32, now: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(known) = minion.runs.get_mut(task).filter(|known| known.number == run) else {
            return;
        };
        if let RunPhase::Stopping { confirmed, .. } = &mut known.phase {
            confirmed.get_or_insert(now);
        }
    }
}
