//! The owner of a cell: takes it over, carries out its plans, and persists its progress.
//!
//! [`load`] reads the stored rows, and [`reread`] the jobs again while their feed lags,
//! [`foreign`] those of queues that were sent to this service;
//! [`cancellation`] applies cancellations and deletes expired ones, [`supervisor`] polls and commands
//! one minion, [`persist`] writes progress, [`advice`] asks for tickets, [`quota`] enforces workspaces'
//! limits, [`events`] logs the cell's events, [`activity`] the owner's load and [`capacity`] what its
//! cell could still run.  [`calls`] are made to minions with the leases of [`grant`], at peak load
//! through the entries of [`delegation`]; [`starts`] limits how many starts are unanswered, and
//! [`release`] answers requests to empty minions; [`terminated`] records which minions have
//! terminated.  [`answer`] answers other entries' questions.  This file
//! holds what they share and the planning loop.

mod activity;
mod advice;
mod answer;
mod calls;
mod cancellation;
mod capacity;
pub(crate) mod delegation;
mod events;
pub(crate) mod foreign;
mod grant;
pub(crate) mod load;
pub(crate) mod persist;
mod quota;
mod release;
mod reread;
mod starts;
pub(crate) mod supervisor;
mod terminated;

use crate::clock;
use crate::fleet;
use crate::metrics::Counter;
use crate::node::Node;
use crate::rows;
use crate::terms;
use activity::Activity;
use calls::OrderTimeout;
use celerythread_adapter::configuration::Configuration;
use celerythread_adapter::minion::Entry;
use celerythread_engine::absence::Absence;
use celerythread_engine::cell::{Cell, Order, Permit, Refusal, StartResult};
use celerythread_engine::job::{Accepted, Id, TaskName};
use celerythread_engine::lease;
use celerythread_engine::ownership::former::EarlierOwners;
use celerythread_engine::recency::Recency;
use celerythread_sync::Wake;
use delegation::Delegation;
use foreign::Foreign;
use parking_lot::Mutex;
use release::Releases;
use starts::Starts;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use stop_token::future::FutureExt;
use stop_token::{StopSource, StopToken};
use supervisor::Supervisor;
use terminated::TerminatedMinions;

/// Longest time between two plans, for changes that only time causes, such as leases that expire.
const MAX_PLAN_WAIT: Duration = Duration::from_millis(100);

/// Shortest time between two plans, so that ended runs and jobs that arrive together are planned
/// together; well below what a caller notices.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(3);

/// Pause after a plan, as a multiple of the plan's duration.
///
/// The first plan with 5,000 jobs and 120 minions takes 15 ms of a core (in the recovery bench,
/// with the reading of their rows), so a tenth of a second on an eighth of a core, and every event
/// requests another plan.  Without a pause that grows with the duration, an overloaded owner does
/// nothing but plan, and its input becomes stale because no processor time is left for accepting
/// jobs, cancellations and answers.
const PLAN_PAUSE_FACTOR: u32 = 2;

/// Longest time between updates of the cell's minions when no change was reported: a message that a
/// minion is to be emptied counts only for a time.
const MAX_MINION_SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the view of the jobs from which on starts are logged in addition: lines of ordinary starts
/// are left out in bursts.
const LOGGED_JOBS_AGE: Duration = Duration::from_millis(1000);

/// How the former owner ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum FormerOwner {
    /// There was none.
    None,
    /// It sent its last order before the cell was taken over.
    Stopped {
        /// The owners before it that may still extend leases.
        earlier: EarlierOwners,
    },
    /// It may continue to send orders until minions refuse them, and to extend leases for a time.
    Silent {
        /// The latest time on the store's clock at which it can have renewed its row; 0 if unknown.
        renewed_by_ms: u64,
        /// Jobs with a higher version can't have been started by it; 0 if none are known.
        known_version: u64,
    },
}

impl FormerOwner {
    /// The owners before it that may still extend leases, as far as they are told apart from it.
    fn earlier(self) -> EarlierOwners {
        match self {
            Self::None => EarlierOwners::None,
            Self::Stopped { earlier } => earlier,
            Self::Silent { renewed_by_ms: 0, .. } => EarlierOwners::Unknown,
            Self::Silent { renewed_by_ms, .. } => EarlierOwners::RenewedBy(renewed_by_ms),
        }
    }
}

/// A cell that this entry owns.
pub(crate) struct Owner {
    pub(crate) node: Arc<Node>,
    pub(crate) service: String,
    /// Fencing token: every order carries it, and minions refuse lower ones.
    pub(crate) token: u64,
    pub(crate) generation: u32,
    pub(crate) former: FormerOwner,
    /// The cell, once its stored rows are read.
    pub(crate) cell: Mutex<Option<Cell>>,
    /// Version of the ledger's row; the lock keeps the owner's transactions in order.
    pub(crate) ledger: async_std::sync::Mutex<u64>,
    /// Leases and fencing tokens of its minions.
    pub(crate) grants: grant::Registry,
    /// Where its jobs are stored that aren't in the partitions of its service.
    pub(crate) foreign: Foreign,
    /// Inherited minions that the platform's list of machines lacks.
    pub(crate) absence: Mutex<Absence>,
    /// Minions that the stored roster lists.
    pub(crate) roster: Mutex<BTreeSet<Arc<str>>>,
    pub(crate) supervisors: Mutex<BTreeMap<Arc<str>, Arc<Supervisor>>>,
    /// Minions that have terminated although they may still be listed.
    pub(crate) terminated_minions: Mutex<TerminatedMinions>,
    pub(crate) plan_wake: Wake,
    pub(crate) persist_wake: Wake,
    /// Whether the minions, or which of them are to be emptied, may have changed since the last
    /// plan.  Otherwise the listings need not be copied again.
    minions_changed: AtomicBool,
    /// Whether a change of shares is being written.
    pub(crate) writing_shares: AtomicBool,
    pub(crate) activity: Activity,
    pub(crate) delegation: Delegation,
    pub(crate) order_timeout: OrderTimeout,
    pub(crate) starts: Starts,
    /// How recent the cell's jobs and cancellations are.
    pub(crate) jobs_recency: Mutex<Recency>,
    /// Whether starts wait for a more recent view of the jobs.
    are_starts_held: AtomicBool,
    /// Permissions to order machines without the store; `None` if that is off.
    releases: Option<Releases>,
    stop_source: Mutex<Option<StopSource>>,
    pub(crate) stopped: StopToken,
}

impl Owner {
    pub(crate) fn new(
        node: Arc<Node>,
        service: &str,
        token: u64,
        generation: u32,
        former: FormerOwner,
    ) -> Arc<Self> {
        let stop_source = StopSource::new();
        let stopped = stop_source.token();
        let releases = Releases::new(&node.settings);
        Arc::new(Self {
            node,
            service: service.into(),
            token,
            generation,
            former,
            cell: Mutex::new(None),
            ledger: async_std::sync::Mutex::new(0),
            grants: grant::Registry::default(),
            foreign: Foreign::default(),
            absence: Mutex::default(),
            roster: Mutex::default(),
            supervisors: Mutex::default(),
            terminated_minions: Mutex::default(),
            plan_wake: Wake::default(),
            persist_wake: Wake::default(),
            minions_changed: AtomicBool::new(true),
            writing_shares: AtomicBool::new(false),
            activity: Activity::default(),
            delegation: Delegation::default(),
            order_timeout: OrderTimeout::default(),
            starts: Starts::default(),
            jobs_recency: Mutex::default(),
            are_starts_held: AtomicBool::new(false),
            releases,
            stop_source: Mutex::new(Some(stop_source)),
            stopped,
        })
    }

    /// Stops sending orders, and ends the owner's tasks.
    pub(crate) fn stop(&self) {
        self.stop_source.lock().take();
        self.supervisors.lock().clear();
        self.plan_wake.wake();
        self.persist_wake.wake();
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stop_source.lock().is_none()
    }

    /// Sleeps; false if the owner is stopped meanwhile.
    pub(crate) async fn pause(&self, time: Duration) -> bool {
        async_std::task::sleep(time).timeout_at(self.stopped.clone()).await.is_ok()
    }

    /// Calls `work` with the cell; none while the cell is not loaded.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Cell) -> T) -> Option<T> {
        self.cell.lock().as_mut().map(work)
    }

    /// Applies the queues and the workspaces of a configuration.
    pub(crate) fn configure(&self, configuration: &Configuration) {
        self.with(|cell| self.configure_cell(cell, configuration));
        self.plan_wake.wake();
    }

    fn configure_cell(&self, cell: &mut Cell, configuration: &Configuration) {
        let version = configuration.version;
        cell.configure(terms::queues(configuration, &self.service), version);
        cell.configure_workspaces(terms::workspaces(configuration), version, clock::now());
    }

    /// Adds an accepted job to the cell.
    pub(crate) fn add_job(&self, id: Id, row: &[u8], partition: Option<&str>) {
        let accepted = match Accepted::decode(row) {
            Ok(accepted) => accepted,
            Err(error) => {
                self.node.journal.warn("job_unreadable", &[("job", &id), ("reason", &error)]);
                return;
            }
        };
        let partition = partition.map_or_else(|| self.home_partition(&accepted.queue), Into::into);
        if accepted.service(&partition) != self.service {
            return;
        }
        self.foreign.record_job(id, &partition, &self.service);
        let job_age = Duration::from_millis(clock::wall_ms().saturating_sub(accepted.at_ms));
        let now = clock::now();
        let added = self.with(|cell| {
            let is_new = cell.add_job(id, accepted, None, false, job_age, now);
            cell.state(&id).filter(|_| is_new)
        });
        self.node.admission.lock().record_known(&id);
        if let Some(state) = added.flatten() {
            self.node.journal.info(
                "job_known",
                &[
                    ("job", &id),
                    ("service", &self.service),
                    ("age_ms", &job_age.as_millis()),
                    ("state", &state),
                ],
            );
            self.plan_wake.wake();
        }
    }

    /// The partition of a queue's jobs; that of this service if it isn't known.
    fn home_partition(&self, queue: &str) -> String {
        let directory = self.node.directory.read();
        let home = directory.homes.get(queue);
        home.map_or_else(|| self.service.clone(), |home| home.value.partition.clone())
    }

    /// What may be started now.
    pub(crate) fn permit(&self) -> Permit {
        let (now, permit) = (clock::now(), self.node.permit());
        let max_age = self.node.settings.max_jobs_age();
        let is_store_lost = self.node.is_outage_suspected();
        let last_renewal_sent = is_store_lost.then(|| self.node.last_renewal_sent());
        let recency = self.jobs_recency.lock().clone();
        let restricted = recency.restrict(permit, max_age, last_renewal_sent, now);
        let age = recency.age(now);
        let is_held = restricted != permit;
        if self.are_starts_held.swap(is_held, Ordering::SeqCst) != is_held {
            let event = if is_held { "starts_held" } else { "starts_resumed" };
            let fields: [(&'static str, &dyn Display); 2] =
                [("service", &self.service), ("jobs_age_ms", &age.as_millis())];
            self.node.journal.warn(event, &fields);
        }
        restricted
    }

    /// Time since the moment up to which all jobs and cancellations are known.
    pub(crate) fn jobs_age(&self) -> Duration {
        self.jobs_recency.lock().age(clock::now())
    }

    /// Records that the listed minions, or which of them are to be emptied, may have changed.
    pub(crate) fn notify_minions_changed(&self) {
        self.minions_changed.store(true, Ordering::SeqCst);
        self.plan_wake.wake();
    }

    /// Updates the cell's minions from the platform's list and the machines that are to be emptied.
    fn sync_minions(&self) {
        self.with(|cell| self.update_minions(cell));
    }

    /// Updates a cell's minions from the platform's list and the machines that are to be emptied.
    fn update_minions(&self, cell: &mut Cell) {
        let view = self.node.view.read();
        let minions = self.node.minions.read();
        let terminated_minions = self.terminated_minions.lock();
        let has_terminated =
            |id: &str, entry: &Entry| terminated_minions.contains(id, entry.listing.incarnation);
        let mine = minions
            .iter()
            .filter(|(id, entry)| entry.service == self.service && !has_terminated(id, entry));
        let known: Vec<Arc<str>> = cell.minions().map(|minion| minion.id.clone()).collect();
        for (id, entry) in mine {
            cell.update_listing(id, entry.listing.clone());
            let age = entry.listing.incarnation.map(grant::age);
            if age.is_some_and(|age| age < lease::MAX_FORMER_CALLS_AGE) {
                cell.record_recent_restart(id);
            }
        }
        for id in &known {
            if minions.get(id).is_none_or(|entry| entry.service != self.service) {
                cell.mark_unlisted(id);
            }
        }
        let all: Vec<Arc<str>> = cell.minions().map(|minion| minion.id.clone()).collect();
        let emptying = view.emptying_minions();
        for id in &all {
            cell.set_leaving(id, emptying.contains(&**id));
        }
    }
}

/// Starts the tasks of an owner.
pub(crate) fn start(owner: Arc<Owner>) {
    if owner.service == rows::FLEET_CELL {
        async_std::task::spawn(fleet::run(owner));
    } else {
        async_std::task::spawn(run_owner(owner));
    }
}

async fn run_owner(owner: Arc<Owner>) {
    let Some(version) = load::take_over(&owner).await else { return };
    async_std::task::spawn(load::follow_jobs(owner.clone(), version));
    async_std::task::spawn(reread::reread_forever(owner.clone()));
    async_std::task::spawn(foreign::follow_homes(owner.clone()));
    async_std::task::spawn(load::mark_terminated_until_settled(owner.clone()));
    async_std::task::spawn(persist::persist_forever(owner.clone()));
    async_std::task::spawn(cancellation::delete_expired_forever(owner.clone()));
    async_std::task::spawn(quota::follow_splits(owner.clone()));
    async_std::task::spawn(activity::log_forever(owner.clone()));
    events::log_first_plan(&owner);
    plan_forever(owner).await;
}

async fn plan_forever(owner: Arc<Owner>) {
    let mut synced = None;
    while !owner.is_stopped() {
        let began = clock::now();
        let changed = owner.minions_changed.swap(false, Ordering::SeqCst);
        if changed || synced.is_none_or(|at| began.since(at) >= MAX_MINION_SYNC_INTERVAL) {
            synced = Some(began);
            owner.sync_minions();
            if !supervisor::sync_supervisors(&owner).await {
                // Retried with the next plan.
                owner.minions_changed.store(true, Ordering::SeqCst);
            }
        }
        let began = clock::now();
        // An owner that may have been replaced starts and stops nothing.
        if owner.node.may_extend_leases() {
            let now = clock::now();
            let permit = owner.permit();
            let max_starts = owner.starts.available();
            let plan = |cell: &mut Cell| {
                cell.limit_starts(max_starts);
                (cell.plan(now, clock::wall_ms(), permit), cell.is_start_limited())
            };
            let (orders, is_limited) = owner.with(plan).unwrap_or_default();
            owner.starts.set_limited(is_limited);
            owner.activity.record_limit(is_limited);
            dispatch(&owner, orders);
            events::log_events(&owner);
            advice::send_queries(&owner);
            quota::write_shares(&owner);
            if owner.with(|cell| cell.has_unpersisted()).unwrap_or(false) {
                owner.persist_wake.wake();
            }
        }
        let took = clock::now().since(began);
        owner.activity.record_plan(took);
        if !owner.pause(MIN_PLAN_PAUSE.max(took * PLAN_PAUSE_FACTOR)).await {
            return;
        }
        owner.plan_wake.wait(MAX_PLAN_WAIT).await;
    }
}

/// Age of a job, and of the last report of a minion.
fn ages(cell: &Cell, job: &Id, minion: &str) -> (Duration, Duration) {
    let now = clock::now();
    let job_age = cell.job(job).map(|job| now.since(job.accepted_at)).unwrap_or_default();
    let report_age =
        cell.minion(minion).map(|minion| now.since(minion.reported_at)).unwrap_or_default();
    (job_age, report_age)
}

/// Passes orders to the minions' supervisors.
pub(crate) fn dispatch(owner: &Owner, orders: Vec<Order>) {
    let supervisors = owner.supervisors.lock();
    for order in orders {
        let (minion, event, counter) = match &order {
            Order::Start { minion, .. } => (minion, "start_ordered", Counter::Starts),
            Order::Stop { minion, .. } => (minion, "stop_ordered", Counter::Stops),
            Order::Pace { minion, .. } => (minion, "pace_ordered", Counter::Paces),
        };
        let (Order::Start { task, run, .. }
        | Order::Stop { task, run, .. }
        | Order::Pace { task, run, .. }) = order;
        owner.node.metrics.count(counter);
        let (job_age, report_age) =
            owner.with(|cell| ages(cell, &task.job, minion)).unwrap_or_default();
        let jobs_age = owner.jobs_age();
        owner.node.journal.info(
            event,
            &[
                ("job", &task.job),
                ("task", &task),
                ("run", &run),
                ("minion", minion),
                ("token", &owner.token),
                ("job_age_ms", &job_age.as_millis()),
                ("look_age_ms", &report_age.as_millis()),
                ("jobs_age_ms", &jobs_age.as_millis()),
            ],
        );
        if matches!(order, Order::Start { .. }) && jobs_age >= LOGGED_JOBS_AGE {
            owner.node.journal.info(
                "start_with_old_jobs",
                &[
                    ("job", &task.job),
                    ("task", &task),
                    ("run", &run),
                    ("jobs_age_ms", &jobs_age.as_millis()),
                ],
            );
        }
        let (minion, starts) = (minion.clone(), matches!(order, Order::Start { .. }));
        let unanswered = starts.then(|| owner.starts.add());
        let supervisor = supervisors.get(&minion);
        let queued = supervisor.is_some_and(|supervisor| supervisor.order(order, unanswered));
        if !queued && starts {
            revert_start(owner, &minion, &task, run);
        }
    }
}

/// Reverts a start that can't be carried out because its minion has no supervisor.
///
/// Otherwise its run would be neither listed nor answered by anyone, and the task would count as
/// placed until the minion terminates.
fn revert_start(owner: &Owner, minion: &Arc<str>, task: &TaskName, run: u32) {
    let fields: [(&'static str, &dyn Display); 4] =
        [("job", &task.job), ("task", task), ("run", &run), ("minion", minion)];
    owner.node.journal.warn("start_given_back", &fields);
    let refused = StartResult::Refused(Refusal::Unhealthy);
    owner.with(|cell| cell.process_start_result(minion, task, run, refused, clock::now()));
}
