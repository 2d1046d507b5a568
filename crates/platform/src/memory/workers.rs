//! In-memory workers whose tasks end after a set time.

use crate::message::{Order, Phase, Task};
use crate::{Error, traits};
use async_trait::async_trait;
use celerythread_model::id;
use celerythread_model::job::Size;
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Boot count of a worker that was never restarted.
const INITIAL_BOOT_COUNT: u64 = 1;

/// The actual behaviour of a worker's tasks, independent of what was declared.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// How long a task runs.
    pub duration: Duration,
    /// Whether every task fails immediately.
    pub fails: bool,
    /// Actual resource use of a task, as a multiple of its allocation.
    pub usage: f64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { duration: Duration::from_millis(200), fails: false, usage: 1.0 }
    }
}

/// Workers that record every start.
#[derive(Default)]
pub struct Workers {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    behaviours: HashMap<id::Worker, Behaviour>,
    tasks: HashMap<(id::Worker, id::Job), Running>,
    highest_token: HashMap<id::Worker, u64>,
    starts: Vec<(id::Worker, id::Job, u32)>,
    /// Boots beyond the first, of workers that were restarted.
    reboots: HashMap<id::Worker, u64>,
    removed: HashSet<id::Worker>,
}

/// The contents of a start order.
struct Start {
    job: id::Job,
    attempt: u32,
    token: u64,
    boot: u64,
    size: Size,
}

struct Running {
    attempt: u32,
    phase: Phase,
    size: Size,
    ends_at: Instant,
    remaining: Duration,
}

impl Workers {
    /// Sets the behaviour of a worker's tasks.
    pub fn set_behaviour(&self, worker: id::Worker, behaviour: Behaviour) {
        self.state.lock().behaviours.insert(worker, behaviour);
    }

    /// Every start that was carried out, in order; checks of duplicate starts read this record.
    pub fn starts(&self) -> Vec<(id::Worker, id::Job, u32)> {
        self.state.lock().starts.clone()
    }

    /// Removes a worker with all its tasks.
    pub fn remove(&self, worker: &id::Worker) {
        let mut state = self.state.lock();
        state.tasks.retain(|(assigned, _), _| assigned != worker);
        state.removed.insert(worker.clone());
    }

    /// Restarts a worker, which loses its tasks and its highest fencing token.
    pub fn restart(&self, worker: &id::Worker) {
        let mut state = self.state.lock();
        state.tasks.retain(|(assigned, _), _| assigned != worker);
        state.highest_token.remove(worker);
        *state.reboots.entry(worker.clone()).or_default() += 1;
    }
}

impl State {
    fn start(&mut self, worker: &id::Worker, order: Start) -> Result<(), Error> {
        let Start { job, attempt, token, boot, size } = order;
        let refuse = |reason: &str| Err(Error::Refused { reason: reason.into() });
        let reboots = self.reboots.get(worker).copied().unwrap_or(0);
        if boot != INITIAL_BOOT_COUNT + reboots {
            return refuse("the order is for another boot");
        }
        let highest = self.highest_token.entry(worker.clone()).or_default();
        if token < *highest {
            return refuse("the fencing token is old");
        }
        *highest = token;
        let key = (worker.clone(), job.clone());
        if self.tasks.get(&key).is_some_and(|task| task.attempt >= attempt) {
            return refuse("the attempt is not new");
        }
        let behaviour = self.behaviours.get(worker).cloned().unwrap_or_default();
        let phase = if behaviour.fails { Phase::Failed } else { Phase::Running };
        let used = |n: u64| (n as f64 * behaviour.usage) as u64;
        let mut real = size;
        real.cpu.0 = used(size.cpu.0.into()) as u32;
        real.memory.0 = used(size.memory.0);
        let ends_at = Instant::now() + behaviour.duration;
        let running =
            Running { attempt, phase, size: real, ends_at, remaining: behaviour.duration };
        self.tasks.insert(key, running);
        self.starts.push((worker.clone(), job, attempt));
        Ok(())
    }

    fn complete_due_tasks(&mut self) {
        let now = Instant::now();
        for task in self.tasks.values_mut() {
            if task.phase == Phase::Running && task.ends_at <= now {
                task.phase = Phase::Done;
            }
        }
    }

    fn task(worker: &id::Worker, job: &id::Job, running: &Running) -> Task {
        Task {
            job: job.clone(),
            worker: worker.clone(),
            attempt: running.attempt,
            phase: running.phase,
            cpu: running.size.cpu,
            memory: running.size.memory,
        }
    }
}

#[async_trait]
impl traits::Workers for Workers {
    async fn order(&self, worker: &id::Worker, order: Order) -> Result<(), Error> {
        let mut state = self.state.lock();
        if state.removed.contains(worker) {
            return Err(Error::Refused { reason: "there is no such worker".into() });
        }
        state.complete_due_tasks();
        match order {
            Order::Start { job, attempt, token, boot, size } => {
                state.start(worker, Start { job, attempt, token, boot, size })
            }
            Order::Throttle { job } => {
                if let Some(task) = state.tasks.get_mut(&(worker.clone(), job))
                    && task.phase == Phase::Running
                {
                    task.phase = Phase::Throttled;
                    task.remaining = task.ends_at.saturating_duration_since(Instant::now());
                }
                Ok(())
            }
            Order::Checkpoint { job } => {
                if let Some(task) = state.tasks.get_mut(&(worker.clone(), job))
                    && matches!(task.phase, Phase::Running | Phase::Throttled)
                {
                    task.phase = Phase::Checkpointed;
                }
                Ok(())
            }
            Order::Stop { job } => {
                state.tasks.remove(&(worker.clone(), job));
                Ok(())
            }
        }
    }

    async fn tasks(&self) -> Result<Vec<Task>, Error> {
        let mut state = self.state.lock();
        state.complete_due_tasks();
        let tasks = state.tasks.iter();
        Ok(tasks.map(|((worker, job), running)| State::task(worker, job, running)).collect())
    }

    async fn inspect(&self, worker: &id::Worker, job: &id::Job) -> Result<Option<Task>, Error> {
        let mut state = self.state.lock();
        state.complete_due_tasks();
        if state.removed.contains(worker) {
            return Err(Error::Unavailable { reason: "there is no such worker".into() });
        }
        let found = state.tasks.get(&(worker.clone(), job.clone()));
        Ok(found.map(|running| State::task(worker, job, running)))
    }
}
