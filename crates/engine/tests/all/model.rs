//! A model of minions and of the platform's table, which write down what truly happened.

pub(crate) mod owner;
pub(crate) mod play;

use celerythread_engine::cell::{End, EndReason, Incarnation, MinionId, Refusal, Report, Running};
use celerythread_engine::job::{Id, Progress, Resources, TaskName};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// A run as it truly was.
#[derive(Clone, Debug)]
pub(crate) struct Lived {
    pub(crate) task: TaskName,
    pub(crate) run: u32,
    pub(crate) ended: Option<(Time, EndReason)>,
    /// Whether its end was acknowledged to its minion.
    pub(crate) noted: bool,
    /// Whether its minion crashed under it.
    pub(crate) crashed: bool,
}

/// What runs on a minion.
#[derive(Clone, Debug)]
struct Work {
    run: u32,
    need: Resources,
    /// Its place in the history.
    lived: usize,
    /// When it is done; never for a task that lasts.
    done: Option<Time>,
    /// When a stop takes effect.
    stops: Option<Time>,
    began: Time,
}

/// One incarnation of a minion.
#[derive(Debug)]
pub(crate) struct Minion {
    pub(crate) id: MinionId,
    pub(crate) incarnation: Incarnation,
    pub(crate) capacity: Resources,
    token: u64,
    deadline: Time,
    running: BTreeMap<TaskName, Work>,
    /// The highest run of each task that was stopped or ended here.
    over: BTreeMap<TaskName, u32>,
    ends: Vec<End>,
    count: u64,
}

/// A start as it is sent.
#[derive(Clone, Debug)]
pub(crate) struct Start {
    pub(crate) task: TaskName,
    pub(crate) run: u32,
    /// Whether the task was never started before, as its owner knows.
    pub(crate) first: bool,
    pub(crate) need: Resources,
    /// How long it works; none for a task that lasts.
    pub(crate) work: Option<Duration>,
    pub(crate) deadline: Time,
    pub(crate) token: u64,
}

/// Time that a stop takes.
const STOP: Duration = Duration::from_millis(60);

impl Minion {
    pub(crate) fn new(id: &str, incarnation: Incarnation, capacity: Resources) -> Self {
        Self {
            id: id.into(),
            incarnation,
            capacity,
            token: 0,
            deadline: Time(0),
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            ends: Vec::new(),
            count: 0,
        }
    }

    pub(crate) fn used(&self) -> Resources {
        self.running.values().fold(Resources::default(), |sum, work| sum.plus(&work.need))
    }

    pub(crate) fn start(
        &mut self,
        start: &Start,
        now: Time,
        lived: &mut Vec<Lived>,
    ) -> Result<(), Refusal> {
        self.fence(start.token)?;
        if start.deadline <= now {
            return Err(Refusal::TooLate);
        }
        self.deadline = self.deadline.max(start.deadline);
        let here = self.running.get(&start.task).map(|work| work.run);
        if here == Some(start.run) {
            return Ok(());
        }
        let over = self.over.get(&start.task).copied().unwrap_or(0);
        if here.is_some() || start.run <= over {
            return Err(Refusal::StaleRun);
        }
        let work = Work {
            run: start.run,
            need: start.need,
            lived: lived.len(),
            done: start.work.map(|work| now + work),
            stops: None,
            began: now,
        };
        lived.push(Lived {
            task: start.task,
            run: start.run,
            ended: None,
            noted: false,
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
        let over = self.over.entry(task).or_default();
        *over = run.max(*over);
        if let Some(work) = self.running.get_mut(&task).filter(|work| work.run <= run) {
            work.stops.get_or_insert(now + STOP);
        }
        Ok(())
    }

    pub(crate) fn hold(
        &mut self,
        token: u64,
        acknowledged: u64,
        deadline: Option<Time>,
        now: Time,
        lived: &mut [Lived],
    ) -> Result<Report, Refusal> {
        self.fence(token)?;
        if let Some(deadline) = deadline {
            self.deadline = self.deadline.max(deadline);
        }
        let (noted, ends) =
            std::mem::take(&mut self.ends).into_iter().partition(|end| end.number <= acknowledged);
        self.ends = ends;
        for end in Vec::from_iter::<Vec<End>>(noted) {
            let is_it = |run: &&mut Lived| run.task == end.task && run.run == end.run;
            lived.iter_mut().filter(is_it).for_each(|run| run.noted = true);
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

    /// Lets time pass.
    pub(crate) fn pass(&mut self, now: Time, lived: &mut [Lived]) {
        let expired = now >= self.deadline;
        let over = self.running.iter().filter_map(|(task, work)| {
            let done = work.done.is_some_and(|at| now >= at);
            let stopped = work.stops.is_some_and(|at| now >= at);
            let how = match (done, stopped, expired) {
                (true, ..) => EndReason::Done,
                (_, true, _) => EndReason::Stopped,
                (_, _, true) => EndReason::Expired,
                _ => return None,
            };
            Some((*task, how))
        });
        for (task, how) in over.collect::<Vec<_>>() {
            self.end(task, how, now, lived);
        }
    }

    fn end(&mut self, task: TaskName, how: EndReason, now: Time, lived: &mut [Lived]) {
        let Some(work) = self.running.remove(&task) else { return };
        lived[work.lived].ended = Some((now, how));
        let over = self.over.entry(task).or_default();
        *over = work.run.max(*over);
        self.count += 1;
        let end = End { number: self.count, task, run: work.run, reason: how, checkpoint: None };
        self.ends.push(end);
    }

    /// Ends everything at once: the minion has crashed.
    pub(crate) fn crash(&mut self, now: Time, lived: &mut [Lived]) {
        for work in std::mem::take(&mut self.running).into_values() {
            lived[work.lived].ended = Some((now, EndReason::Expired));
            lived[work.lived].crashed = true;
        }
    }
}

fn percent(work: &Work, now: Time) -> u8 {
    let Some(done) = work.done else { return 100 };
    let whole = done.since(work.began).as_millis().max(1);
    (now.since(work.began).as_millis() * 100 / whole).min(100) as u8
}

/// The platform's table, as far as an owner of a cell uses it.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// The fencing token of the cell's holder.
    pub(crate) token: u64,
    /// How often the holder has renewed.
    pub(crate) renewals: u64,
    /// The version of the row under whose condition the holder writes.
    pub(crate) ledger: u64,
    pub(crate) progress: BTreeMap<Id, Progress>,
    /// When each end that was kept as done was kept.
    pub(crate) done: BTreeMap<TaskName, Time>,
}
