//! Taking in what minions say, and what becomes of orders.

use crate::cell::crash::Certainty;
use crate::cell::minion::{Incarnation, Listing, Minion, MinionId, Run, RunPhase};
use crate::cell::work::{Phase, Task};
use crate::cell::{Cell, Note, Order};
use crate::job::{State, TaskName};
use crate::time::Time;
use smallvec::smallvec;
use std::time::Duration;
use strum::Display;

/// Failures of this many different jobs in a row, without a success between them, put a minion
/// in quarantine: one job may be hopeless by itself.
const FAILING_JOBS: usize = 2;

/// Longest quarantine, as a power of two of the first.
const MAX_STRIKES: u32 = 3;

/// Pause before a lasting task that failed is started again, so that one that fails at once
/// doesn't fill its minion's calls.
const LASTING_PAUSE: Duration = Duration::from_millis(100);

/// Pause for a task that its minion had no room for: the books differ, and the next report
/// sets them right.
const ROOM_PAUSE: Duration = Duration::from_millis(150);

/// Pause for a minion that says it is unhealthy.
const UNHEALTHY_PAUSE: Duration = Duration::from_millis(700);

/// Maximum number of ends in one answer.
const MAX_ENDS_PER_ANSWER: usize = 500;

/// To be stopped, and ordered so long ago that the next plan sends the stop.
pub(crate) const STOP_DUE: RunPhase = RunPhase::Stopping { ordered: Time(0), confirmed: None };

/// How a run ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum How {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the minion's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended.
    PeerEnded,
    /// The other members of its gang did not come in time.
    PeersMissing,
}

/// A run that a minion lists.
#[derive(Clone, Debug)]
pub struct Running {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub run: u32,
    /// Its newest checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// Percent done; for lasting tasks, 100 means at work.
    pub percent: u8,
    /// A rough figure for the last half second: for a serving task the tail of its response
    /// times in milliseconds, for others the thousandths of a core in use.
    pub load: Option<u64>,
}

/// An end that a minion lists.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Its number in the minion's list of ends.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Its last checkpoint.
    pub checkpoint: Option<Box<str>>,
}

/// What a minion answered to a hold.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Incarnation of the minion, if the answer contains one.
    pub incarnation: Option<Incarnation>,
    /// All that runs there.
    pub running: Vec<Running>,
    /// Ends that are not acknowledged, 500 at most.
    pub finished: Vec<End>,
}

/// Why a minion refused a start.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run with this number or a higher one was stopped or ended there.
    StaleRun,
    /// The order came after its deadline.
    TooLate,
    /// There is no room.
    NoRoom,
    /// The ticket is missing or out of date.
    NoTicket,
    /// The order can't be read.
    Malformed,
    /// It is unhealthy and has done nothing.
    Unhealthy,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartResult {
    /// It runs, or ran.
    Started,
    /// It was refused and won't run.
    Refused(Refusal),
    /// Nobody knows: it may run now or later.
    Unknown,
}

impl Minion {
    /// Returns the runs absent from the answer to a hold sent at `sent` that were active before
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
            RunPhase::Active => run.moved < sent && !listed(task, run.number),
            RunPhase::Stopping { confirmed, .. } => {
                confirmed.is_some_and(|at| at < sent) && !listed(task, run.number)
            }
        };
        let missing = self.runs.iter().filter(|(task, run)| is_missing(task, run));
        missing.map(|(task, run)| (*task, run.number)).collect()
    }
}

impl Cell {
    /// Takes in a minion as the platform lists it.
    pub fn list(&mut self, id: &MinionId, listing: Listing) {
        match self.minions.get_mut(id) {
            Some(minion) => {
                minion.listing = listing;
                minion.listed = true;
            }
            None => {
                self.minions.insert(id.clone(), Minion::new(id.clone(), listing, true));
            }
        }
    }

    /// Takes in a minion that a former owner used, whether it is still listed or not.
    pub fn inherit(&mut self, id: &MinionId) {
        let absent = || Minion::new(id.clone(), Listing::default(), false);
        self.minions.entry(id.clone()).or_insert_with(absent).inherited = true;
    }

    /// Notes that the platform's list no longer has a minion.  It may be cut off and still run
    /// what it has, so its runs are given up only when their lease must have lapsed.
    pub fn unlist(&mut self, id: &str) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.listed = false;
        }
    }

    /// Notes that a minion is to be emptied, or no longer.
    ///
    /// One that is silent stays so: its machine was ordered down, and what says that it is to be emptied is
    /// dropped before its life is known to be over.  Its end would be taken for a crash.
    pub fn set_leaving(&mut self, id: &str, leaving: bool) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.leaving = leaving || (minion.leaving && minion.silent_since.is_some());
        }
    }

    /// Notes that a call about to be sent may extend leases up to `until`.
    pub fn promise(&mut self, id: &str, until: Time) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.lapse = minion.lapse.max(until);
        }
    }

    /// Notes that a minion's life is over for certain: all that it ran is gone.
    pub fn bury(&mut self, id: &str, now: Time) {
        let Some(minion) = self.minions.remove(id) else { return };
        self.note_loss(&minion, Certainty::Certain, now);
        self.give_up_lost_runs(&minion.id, minion.runs, now);
    }

    /// Notes that a minion didn't answer.
    pub fn missed(&mut self, id: &str, now: Time) {
        if let Some(minion) = self.minions.get_mut(id) {
            minion.silent_since.get_or_insert(now);
            self.doubt(id);
        }
    }

    /// Takes in a minion's answer to a hold that was sent at `sent`; returns stops of runs that
    /// nobody wants.
    pub fn report(&mut self, id: &MinionId, report: &Report, sent: Time, now: Time) -> Vec<Order> {
        let Some(minion) = self.minions.get_mut(id) else { return Vec::new() };
        if minion.is_outdated(report.incarnation) {
            return Vec::new();
        }
        let restart = minion.update_incarnation(report.incarnation);
        minion.answered = true;
        minion.reported = now;
        let seen = minion.seen;
        if minion.silent_since.take().is_some() {
            self.trust(id);
        }
        for end in report.finished.iter().filter(|end| end.number > seen) {
            self.end(id, end, now);
        }
        let mut orders = Vec::new();
        for running in &report.running {
            self.running(id, running, now, &mut orders);
        }
        match restart {
            Some(restart) => self.drop_lost_runs(id, &restart, report, sent, now),
            None => self.drop_vanished(id, report, sent, now),
        }
        self.stop_unanswered(id, sent);
        orders
    }

    /// Has runs stopped whose start wasn't answered and that a look from after that doesn't list: they
    /// may still begin.
    fn stop_unanswered(&mut self, id: &MinionId, sent: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        for run in minion.runs.values_mut() {
            if matches!(run.phase, RunPhase::Unanswered { since } if since <= sent) {
                run.phase = STOP_DUE;
                self.swept = None;
            }
        }
    }

    /// Gives up runs that the minion no longer lists although it had them when the hold was
    /// sent, and unanswered starts of which a stop has made sure that they never run.
    fn drop_vanished(&mut self, id: &MinionId, report: &Report, sent: Time, now: Time) {
        let Some(minion) = self.minions.get(id) else { return };
        let (seen, acknowledged) = (minion.seen, minion.acknowledged);
        for (task, number) in minion.missing_runs(report, sent) {
            if let Some(minion) = self.minions.get_mut(id) {
                minion.remove(&task);
            }
            self.note(Note::Vanished { minion: id.clone(), task, run: number, seen, acknowledged });
            self.give_up(id, &task, number, now);
        }
    }

    /// Gives up runs lost with their minion, or with its former incarnation, and emits a
    /// [`Note::Lost`] for each.
    pub(crate) fn give_up_lost_runs(
        &mut self,
        id: &MinionId,
        runs: impl IntoIterator<Item = (TaskName, Run), IntoIter: ExactSizeIterator>,
        now: Time,
    ) {
        let runs = runs.into_iter();
        let beside = runs.len().saturating_sub(1);
        for (task, run) in runs {
            self.note(Note::Lost {
                minion: id.clone(),
                task,
                run: run.number,
                age: now.since(run.since),
                listed: run.listed_for.is_some(),
                beside,
            });
            self.give_up(id, &task, run.number, now);
        }
    }

    fn running(&mut self, id: &MinionId, running: &Running, now: Time, orders: &mut Vec<Order>) {
        let stop = Order::Stop { minion: id.clone(), task: running.task, run: running.run };
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(run) = minion.runs.get_mut(&running.task) {
            if run.number != running.run {
                orders.push(stop);
                return;
            }
            if matches!(run.phase, RunPhase::Ordered | RunPhase::Unanswered { .. }) {
                run.phase = RunPhase::Active;
                run.moved = now;
            }
            run.load = running.load;
            run.begun = true;
            run.listed_for = Some(running.life(now.since(run.since)));
            if run.percent != running.percent {
                run.percent = running.percent;
                run.moved = now;
            }
            let Some(job) = self.jobs.get_mut(&running.task.job) else { return };
            job.started = true;
            if let (Some(task), Some(checkpoint)) =
                (job.task_mut(&running.task), &running.checkpoint)
            {
                task.checkpoint = Some(checkpoint.clone());
            }
            let is_suspected = job.task(&running.task).is_some_and(Task::is_suspected);
            self.learn_speed(id, &running.task, running.percent.min(99), now);
            if is_suspected {
                self.note_life(id, &running.task);
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&running.task.job) else {
            // A former owner's, and not known here yet or any more.  What it takes isn't known either, so nothing
            // is started beside it: a minion that doesn't guard its capacity would be overloaded.
            let phase = RunPhase::Stopping { ordered: now, confirmed: None };
            let need = minion.free();
            let run = Run { need, ..Run::new(running.run, phase, None, now) };
            minion.insert(running.task, run);
            orders.push(stop);
            return;
        };
        let steps = &job.accepted.definition.steps;
        let step = steps.get(running.task.step as usize).cloned();
        let charge = step.as_ref().and_then(|step| job.charge(step));
        let wanted = !job.is_end_kept();
        let Some(task) = job.task_mut(&running.task) else {
            orders.push(stop);
            return;
        };
        let number = running.run;
        if !wanted || task.phase != Phase::Waiting {
            // Unwanted here, but it takes room until its end is listed.
            let phase = RunPhase::Stopping { ordered: now, confirmed: None };
            let run = Run { charge, ..Run::new(number, phase, step.as_ref(), now) };
            minion.insert(running.task, run);
            orders.push(stop);
            return;
        }
        task.phase = Phase::Placed { minion: id.clone(), run: number };
        task.last_run = task.last_run.max(number);
        if let Some(checkpoint) = &running.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        job.started = true;
        let listed_for = running.life(Duration::ZERO);
        let run = Run {
            percent: running.percent,
            load: running.load,
            listed_for: Some(listed_for),
            charge,
            ..Run::new(number, RunPhase::Active, step.as_ref(), now)
        };
        minion.insert(running.task, run);
        self.note(Note::Adopted { minion: id.clone(), task: running.task, run: number });
    }

    fn end(&mut self, id: &MinionId, end: &End, now: Time) {
        self.take_end(id, end, now);
        let Some(job) = self.jobs.get(&end.task.job) else { return };
        if !job.is_kept() {
            self.changed.insert(end.task.job);
        }
    }

    fn take_end(&mut self, id: &MinionId, end: &End, now: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.seen = end.number;
        let ours = minion.run(&end.task, end.run).is_some();
        if ours && end.how == How::Done {
            self.learn_speed(id, &end.task, 100, now);
        }
        if let Some(minion) = self.minions.get_mut(id).filter(|_| ours) {
            minion.remove(&end.task);
        }
        self.note(Note::Ended { minion: id.clone(), end: end.clone() });
        if !self.task_exists(&end.task) {
            return;
        }
        self.judge_minion(id, end, now);
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        let attempts = self
            .queues
            .get(&job.accepted.queue)
            .map_or(crate::cell::Queue::default().attempts, |queue| queue.attempts);
        let step = &job.accepted.definition.steps[end.task.step as usize];
        let (lasting, gang) = (step.long_running, step.gang);
        job.started = true;
        match end.how {
            How::Done if !lasting => {
                job.finish_task(&end.task);
                if gang {
                    // Its members end done together, so one such end stands for all.
                    job.finish_step(&end.task);
                }
                if job.is_done() && !job.state().is_final() {
                    job.outcome = Some(State::Completed);
                    job.ended = Some(now);
                    self.active.remove(&end.task.job);
                }
                return;
            }
            How::Failed if !lasting => {
                let cancelled = job.state().is_final();
                let Some(task) = job.task_mut(&end.task) else { return };
                if task.phase == Phase::Done {
                    return;
                }
                if !task.failed.contains(&end.run) {
                    task.failed.push(end.run);
                }
                task.avoid = Some(id.clone());
                let failed = task.failed.len();
                // A gang is tried as a whole: each of its runs that failed counts once.
                let failed = if gang { job.failed_runs(&end.task) } else { failed };
                let spent = failed >= attempts as usize;
                job.change();
                if spent && !cancelled {
                    job.fail(now);
                    self.active.remove(&end.task.job);
                }
            }
            How::Failed => {
                if let Some(task) = job.task_mut(&end.task) {
                    task.not_before = now + LASTING_PAUSE;
                    task.avoid = Some(id.clone());
                }
            }
            _ => {}
        }
        let Some(task) = job.task_mut(&end.task) else { return };
        if let Some(checkpoint) = &end.checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        self.give_up(id, &end.task, end.run, now);
    }

    /// Puts a task back to wait if its run on `minion` was the current one.
    pub(crate) fn give_up(&mut self, minion: &MinionId, name: &TaskName, run: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(name) else { return };
        let current = Phase::Placed { minion: minion.clone(), run };
        if task.phase == current {
            task.phase = Phase::Waiting;
            task.waits_since = now;
        }
        // What may have crashed its minion was counted before.
        self.set_doubt(smallvec![*name], false);
        // The rest of its gang must stop, or all of its job.
        self.swept = None;
    }

    /// Quarantines a minion that fails whatever it starts.
    ///
    /// Such a minion is always free, so without this it would draw task after task and use up
    /// their attempts: callers would see job after job fail.
    fn judge_minion(&mut self, id: &MinionId, end: &End, now: Time) {
        let quarantine = self.settings.quarantine;
        let Some(minion) = self.minions.get_mut(id) else { return };
        match end.how {
            How::Done => {
                minion.failing.clear();
                minion.strikes = 0;
            }
            How::Failed => {
                minion.failing.insert(end.task.job);
                if minion.failing.len() >= FAILING_JOBS {
                    minion.failing.clear();
                    minion.quarantined = now + quarantine * (1 << minion.strikes.min(MAX_STRIKES));
                    minion.strikes += 1;
                    let until = minion.quarantined;
                    self.note(Note::Quarantined { minion: id.clone(), until });
                }
            }
            _ => {}
        }
    }

    /// Takes in what became of a start.
    pub fn start_result(
        &mut self,
        id: &MinionId,
        task: &TaskName,
        run: u32,
        result: StartResult,
        now: Time,
    ) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(entry) = minion.runs.get_mut(task).filter(|entry| entry.number == run) else {
            return;
        };
        match result {
            StartResult::Started => {
                entry.begun = true;
                if entry.phase == RunPhase::Ordered {
                    entry.phase = RunPhase::Active;
                    entry.moved = now;
                }
            }
            StartResult::Unknown => {
                if entry.phase == RunPhase::Ordered {
                    entry.phase = RunPhase::Unanswered { since: now };
                }
            }
            StartResult::Refused(reason) => {
                minion.remove(task);
                match reason {
                    Refusal::NoRoom => {
                        minion.quarantined = minion.quarantined.max(now + ROOM_PAUSE)
                    }
                    Refusal::Unhealthy | Refusal::Malformed => {
                        minion.quarantined = minion.quarantined.max(now + UNHEALTHY_PAUSE);
                    }
                    Refusal::NoTicket => self.drop_ticket(task, id),
                    _ => {}
                }
                self.give_up(id, task, run, now);
            }
        }
    }

    /// Takes in that a minion answered a stop at `now`.
    pub fn stop_confirmed(&mut self, id: &MinionId, task: &TaskName, run: u32, now: Time) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(entry) = minion.runs.get_mut(task).filter(|entry| entry.number == run) else {
            return;
        };
        if let RunPhase::Stopping { confirmed, .. } = &mut entry.phase {
            confirmed.get_or_insert(now);
        }
    }
}
