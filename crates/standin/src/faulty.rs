//! A wrapper of a platform that counts calls and injects faults into chosen ones.

use crate::fault::{Fault, PAUSE_MS, SLOW_MS};
use async_std::task;
use async_trait::async_trait;
use celerythread_model::id;
use celerythread_model::unit::Revision;
use celerythread_platform::message::{Changes, Listing, Order, Row, Space, Task, Transaction};
use celerythread_platform::{Error, Objects, Platform, Roster, Table, Workers};
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use strum::{Display, VariantArray};

/// Time until a hanging call returns as timed out.
const HANG_TIMEOUT: Duration = Duration::from_millis(200);

/// A method of the platform's traits.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, VariantArray)]
#[strum(serialize_all = "kebab-case")]
pub enum Call {
    /// `Table::commit`.
    Commit,
    /// `Table::read`.
    Read,
    /// `Table::changes`.
    Changes,
    /// `Objects::put`.
    PutObject,
    /// `Objects::get`.
    GetObject,
    /// `Roster::list`.
    List,
    /// `Roster::reboot`.
    Reboot,
    /// `Workers::order`.
    Order,
    /// `Workers::tasks`.
    Tasks,
    /// `Workers::inspect`.
    Inspect,
}

/// A fault to inject into a range of calls.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The method.
    pub call: Call,
    /// Index of the first affected call of the method, from 0.
    pub from: u64,
    /// Number of affected calls.
    pub count: u64,
    /// The fault.
    pub fault: Fault,
}

/// Counts calls and selects the fault of each by the plans.
#[derive(Default)]
pub struct FaultInjector {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    counts: BTreeMap<Call, u64>,
    plans: Vec<Plan>,
    down: bool,
    dead: bool,
    paused_until: Option<Instant>,
    injected: u64,
}

/// The effect on one call.
enum Injection {
    /// The call has this fault.
    Fault(Fault),
    /// The client process is dead: the call never returns.
    Dead,
    /// The client process is paused until then.
    Paused(Instant),
}

impl FaultInjector {
    /// Adds a plan.
    pub fn plan(&self, plan: Plan) {
        self.state.lock().plans.push(plan);
    }

    /// Removes all plans and resets the counts and the state of the process.
    pub fn clear(&self) {
        *self.state.lock() = State::default();
    }

    /// Sets whether every call fails without an effect.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Whether a fault has killed the client process.
    pub fn is_dead(&self) -> bool {
        self.state.lock().dead
    }

    /// Number of calls that a plan affected.
    pub fn injected(&self) -> u64 {
        self.state.lock().injected
    }

    fn mark_dead(&self) {
        self.state.lock().dead = true;
    }

    /// Number of calls of a method so far.
    pub fn count(&self, call: Call) -> u64 {
        self.state.lock().counts.get(&call).copied().unwrap_or(0)
    }

    fn next_injection(&self, call: Call) -> Injection {
        let mut state = self.state.lock();
        if state.dead {
            return Injection::Dead;
        }
        if let Some(until) = state.paused_until.filter(|until| *until > Instant::now()) {
            return Injection::Paused(until);
        }
        let count = state.counts.entry(call).or_default();
        let index = *count;
        *count += 1;
        if state.down {
            return Injection::Fault(Fault::FailBefore);
        }
        let applies = |plan: &&Plan| {
            plan.call == call && index >= plan.from && index < plan.from.saturating_add(plan.count)
        };
        let fault = state.plans.iter().find(applies).map_or(Fault::None, |plan| plan.fault);
        state.injected += u64::from(fault != Fault::None);
        if fault == Fault::Pause {
            let until = Instant::now() + Duration::from_millis(PAUSE_MS);
            state.paused_until = Some(until);
            return Injection::Paused(until);
        }
        Injection::Fault(fault)
    }
}

/// A platform whose calls go through a fault injector.
#[derive(Clone)]
pub struct FaultyPlatform {
    inner: Platform,
    injector: Arc<FaultInjector>,
}

impl FaultyPlatform {
    /// Wraps `inner` so that `injector` decides on the faults of its calls.
    pub fn platform(inner: Platform, injector: Arc<FaultInjector>) -> Platform {
        let faulty = Arc::new(Self { inner, injector });
        Platform {
            table: faulty.clone(),
            objects: faulty.clone(),
            roster: faulty.clone(),
            workers: faulty,
        }
    }

    async fn call<T, F>(&self, call: Call, run: F) -> Result<T, Error>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, Error>> + Send + 'static,
    {
        let unavailable = || Error::Unavailable { reason: "planned fault".into() };
        let lost = || Error::Lost { reason: "planned fault".into() };
        let fault = match self.injector.next_injection(call) {
            Injection::Dead => std::future::pending().await,
            Injection::Paused(until) => {
                task::sleep(until.saturating_duration_since(Instant::now())).await;
                Fault::None
            }
            Injection::Fault(fault) => fault,
        };
        match fault {
            Fault::None | Fault::Pause => run.await,
            Fault::KillBefore => {
                self.injector.mark_dead();
                std::future::pending().await
            }
            Fault::KillAfter => {
                let _ = run.await;
                self.injector.mark_dead();
                std::future::pending().await
            }
            Fault::FailBefore => Err(unavailable()),
            Fault::LoseAnswer => {
                // The client can't know whether the lost answer was a refusal.
                let _ = run.await;
                Err(lost())
            }
            Fault::Hang => {
                task::sleep(HANG_TIMEOUT).await;
                Err(lost())
            }
            Fault::Slow => {
                task::sleep(Duration::from_millis(SLOW_MS)).await;
                run.await
            }
            Fault::LateEffect => {
                task::spawn(async move {
                    task::sleep(HANG_TIMEOUT * 2).await;
                    let _ = run.await;
                });
                task::sleep(HANG_TIMEOUT / 2).await;
                Err(lost())
            }
        }
    }

    /// Calls a method without side effects: a lost answer is the same as a call that wasn't made.
    async fn call_read<T, F>(&self, call: Call, run: F) -> Result<T, Error>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, Error>> + Send + 'static,
    {
        self.call(call, run).await.map_err(|error| match error {
            Error::Lost { reason } => Error::Unavailable { reason },
            other => other,
        })
    }
}

#[async_trait]
impl Table for FaultyPlatform {
    async fn commit(&self, transaction: Transaction) -> Result<Revision, Error> {
        let table = self.inner.table.clone();
        self.call(Call::Commit, async move { table.commit(transaction).await }).await
    }

    async fn read(&self, space: Space, keys: &[String]) -> Result<Vec<Row>, Error> {
        let (table, keys) = (self.inner.table.clone(), keys.to_vec());
        self.call_read(Call::Read, async move { table.read(space, &keys).await }).await
    }

    async fn changes(&self, space: Space, since: Revision) -> Result<Changes, Error> {
        let table = self.inner.table.clone();
        self.call_read(Call::Changes, async move { table.changes(space, since).await }).await
    }
}

#[async_trait]
impl Objects for FaultyPlatform {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), Error> {
        let (objects, name) = (self.inner.objects.clone(), name.to_owned());
        self.call(Call::PutObject, async move { objects.put(&name, body).await }).await
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let (objects, name) = (self.inner.objects.clone(), name.to_owned());
        self.call_read(Call::GetObject, async move { objects.get(&name).await }).await
    }
}

#[async_trait]
impl Roster for FaultyPlatform {
    async fn list(&self, known: &str) -> Result<Option<Listing>, Error> {
        let (roster, known) = (self.inner.roster.clone(), known.to_owned());
        self.call_read(Call::List, async move { roster.list(&known).await }).await
    }

    async fn reboot(&self, name: &str, boot: u64) -> Result<(), Error> {
        let (roster, name) = (self.inner.roster.clone(), name.to_owned());
        self.call(Call::Reboot, async move { roster.reboot(&name, boot).await }).await
    }
}

#[async_trait]
impl Workers for FaultyPlatform {
    async fn order(&self, worker: &id::Worker, order: Order) -> Result<(), Error> {
        let (workers, worker) = (self.inner.workers.clone(), worker.clone());
        self.call(Call::Order, async move { workers.order(&worker, order).await }).await
    }

    async fn tasks(&self) -> Result<Vec<Task>, Error> {
        let workers = self.inner.workers.clone();
        self.call_read(Call::Tasks, async move { workers.tasks().await }).await
    }

    async fn inspect(&self, worker: &id::Worker, job: &id::Job) -> Result<Option<Task>, Error> {
        let workers = self.inner.workers.clone();
        let (worker, job) = (worker.clone(), job.clone());
        self.call_read(Call::Inspect, async move { workers.inspect(&worker, &job).await }).await
    }
}
