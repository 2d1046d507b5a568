//! A model of minions and of the platform's table that records the actual runs.

pub(crate) mod owner;
pub(crate) mod simulation;

use celerythread_engine::cell::{End, EndReason, Incarnation, MinionId, Refusal, Report, Running};
use celerythread_engine::job::{Id, Progress, Resources, TaskName};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// A run as it actually happened.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) task: TaskName,
    pub(crate) run: u32,
    pub(crate) began_at: Time,
    pub(crate) ended: Option<(Time, EndReason)>,
    /// Whether its end was acknowledged to its minion.
    pub(crate) acknowledged: bool,
    /// Whether its minion crashed while it ran.
    pub(crate) crashed: bool,
}

/// A run on a minion.
#[derive(Clone, Debug)]
struct Work {
    run: u32,
    need: Resources,
    /// Index of its record in the history.
    record: usize,
    /// When it is done; none for a long-running task.
    done_at: Option<Time>,
    /// Whether it fails then.
    fails: bool,
    /// When a stop takes effect.
    stops_at: Option<Time>,
    began_at: Time,
}

/// One incarnation of a minion.
#[derive(Debug)]
pub(crate) struct Minion {
    pub(crate) id: MinionId,
    pub(crate) incarnation: Incarnation,
    pub(crate) capacity: Resources,
    token: u64,
    /// When its clock began, and the longest lease that it grants; none if its clock is that of the
    /// simulation.
    clock: Option<(Time, Duration)>,
    deadline: Time,
    running: BTreeMap<TaskName, Work>,
    /// The highest run number of each task that was stopped or ended here.
    last_ended_runs: BTreeMap<TaskName, u32>,
    ends: Vec<End>,
    last_end: u64,
}

/// The order to start a task.
#[derive(Clone, Debug)]
pub(crate) struct Start {
    pub(crate) task: TaskName,
    pub(crate) run: u32,
    /// Whether its owner knows that the task was never started before.
    pub(crate) first: bool,
    pub(crate) need: Resources,
    /// How long the task runs; none for a long-running task.
    pub(crate) work: Option<Duration>,
    /// Whether the run fails instead of being done.
    pub(crate) fails: bool,
    pub(crate) deadline: Time,
    pub(crate) token: u64,
}

/// Time from the order to stop a run until the run ends.
const STOP_DURATION: Duration = Duration::from_millis(60);

impl Minion {
    pub(crate) fn new(id: &str, incarnation: Incarnation, capacity: Resources) -> Self {
        Self {
            id: id.into(),
            incarnation,
            capacity,
            token: 0,
            clock: None,
            deadline: Time(0),
            running: BTreeMap::new(),
            last_ended_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    /// The same with a clock of its own that begins now.
    pub(crate) fn with_clock(self, now: Time, limit: Duration) -> Self {
        Self { clock: Some((now, limit)), ..self }
    }

    /// The time on its clock.
    pub(crate) fn clock_ms(&self, now: Time) -> u64 {
        self.clock.map_or(now.0, |(began, _)| now.since(began).as_millis() as u64)
    }

    /// The end of a lease with a deadline on its clock.
    fn lease_end(&self, deadline: Time, now: Time) -> Time {
        let Some((_, limit)) = self.clock else { return deadline };
        let left = deadline.0.saturating_sub(self.clock_ms(now));
        now + Duration::from_millis(left).min(limit)
    }

    pub(crate) fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, work| sum.plus(&work.need))
    }

    pub(crate) fn start(
        &mut self,
        start: &Start,
        now: Time,
        history: &mut Vec<RunRecord>,
    ) -> Result<(), Refusal> {
        self.fence(start.token)?;
        if start.deadline.0 <= self.clock_ms(now) {
            return Err(Refusal::TooLate);
        }
        self.deadline = self.deadline.max(self.lease_end(start.deadline, now));
        let running = self.running.get(&start.task).map(|work| work.run);
        if running == Some(start.run) {
            return Ok(());
        }
        let last_ended = self.last_ended_runs.get(&start.task).copied().unwrap_or(0);
        if running.is_some() || start.run <= last_ended {
            return Err(Refusal::StaleRun);
        }
        let work = Work {
            run: start.run,
            need: start.need,
            record: history.len(),
            done_at: start.work.map(|work| now + work),
            fails: start.fails,
            stops_at: None,
            began_at: now,
        };
        history.push(RunRecord {
            task: start.task,
            run: start.run,
            began_at: now,
            ended: None,
            acknowledged: false,
            crashed: false,
        });
        self.running.insert(start.task, work);
        Ok(())
    }

    pub(crate) fn stop(
        &mut self,
        task: TaskName,
        run: u32,
        token: u64,
        now: Time,
    ) -> Result<(), Refusal> {
        self.fence(token)?;
        let last_ended = self.last_ended_runs.entry(task).or_default();
        *last_ended = run.max(*last_ended);
        if let Some(work) = self.running.get_mut(&task).filter(|work| work.run <= run) {
            work.stops_at.get_or_insert(now + STOP_DURATION);
        }
        Ok(())
    }

    pub(crate) fn hold(
        &mut self,
        token: u64,
        acknowledged: u64,
        deadline: Option<Time>,
        now: Time,
        history: &mut [RunRecord],
    ) -> Result<Report, Refusal> {
        self.fence(token)?;
        if let Some(deadline) = deadline {
            self.deadline = self.deadline.max(self.lease_end(deadline, now));
        }
        let (acknowledged_ends, ends) =
            std::mem::take(&mut self.ends).into_iter().partition(|end| end.number <= acknowledged);
        self.ends = ends;
        for end in Vec::from_iter::<Vec<End>>(acknowledged_ends) {
            let is_it = |run: &&mut RunRecord| run.task == end.task && run.run == end.run;
            history.iter_mut().filter(is_it).for_each(|run| run.acknowledged = true);
        }
        let running = self.running.iter().map(|(task, work)| Running {
            task: *task,
            run: work.run,
            checkpoint: None,
            percent: percent(work, now),
            load: None,
        });
        let incarnation = Some(self.incarnation);
        Ok(Report { incarnation, running: running.collect(), finished: self.ends.clone() })
    }

    fn fence(&mut self, token: u64) -> Result<(), Refusal> {
        if token < self.token {
            return Err(Refusal::Fenced);
        }
        self.token = token;
        Ok(())
    }

    /// Ends the runs that are done, stopped or expired at `now`.
    pub(crate) fn advance(&mut self, now: Time, history: &mut [RunRecord]) {
        let expired = now >= self.deadline;
        let ended = self.running.iter().filter_map(|(task, work)| {
            let done = work.done_at.is_some_and(|at| now >= at);
            let stopped = work.stops_at.is_some_and(|at| now >= at);
            let reason = match (done, stopped, expired) {
                (true, ..) if work.fails => EndReason::Failed,
                (true, ..) => EndReason::Done,
                (_, true, _) => EndReason::Stopped,
                (_, _, true) => EndReason::Expired,
                _ => return None,
            };
            Some((*task, reason))
        });
        for (task, reason) in ended.collect::<Vec<_>>() {
            self.end(task, reason, now, history);
        }
    }

    fn end(&mut self, task: TaskName, reason: EndReason, now: Time, history: &mut [RunRecord]) {
        let Some(work) = self.running.remove(&task) else { return };
        history[work.record].ended = Some((now, reason));
        let last_ended = self.last_ended_runs.entry(task).or_default();
        *last_ended = work.run.max(*last_ended);
        self.last_end += 1;
        let end = End { number: self.last_end, task, run: work.run, reason, checkpoint: None };
        self.ends.push(end);
    }

    /// Crashes the minion, which ends all its runs.
    pub(crate) fn crash(&mut self, now: Time, history: &mut [RunRecord]) {
        self.running.values().for_each(|work| history[work.record].crashed = true);
        self.shut_down(now, history);
    }

    /// Shuts the minion down as planned, which ends all its runs.
    pub(crate) fn shut_down(&mut self, now: Time, history: &mut [RunRecord]) {
        for work in std::mem::take(&mut self.running).into_values() {
            history[work.record].ended = Some((now, EndReason::Expired));
        }
    }
}

fn percent(work: &Work, now: Time) -> u8 {
    let Some(done) = work.done_at else { return 100 };
    let whole = done.since(work.began_at).as_millis().max(1);
    (now.since(work.began_at).as_millis() * 100 / whole).min(100) as u8
}

/// The parts of the platform's table that an owner of a cell uses.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The fencing token of the cell's holder.
    pub(crate) token: u64,
    /// Number of renewals of the cell's lease.
    pub(crate) renewals: u64,
    /// Version of the ledger, the row that makes the holder's writes conditional.
    pub(crate) ledger_version: u64,
    pub(crate) progress: BTreeMap<Id, Progress>,
    /// When each task was stored as done.
    pub(crate) done_stored_at: BTreeMap<TaskName, Time>,
}
