//! An owner of a cell, which drives the engine like the daemon: it plans calls and handles answers.

use super::Start;
use super::simulation::step_of;
use celerythread_engine::cell::{
    Batch, Cell, Incarnation, Listing, MinionId, Order, Permit, Refusal, Report, StartResult,
};
use celerythread_engine::job::{Resources, TaskName};
use celerythread_engine::lease::{self, Grants, Terms};
use celerythread_engine::recency::Recency;
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

// The daemon's default settings, and the margin that it adds to leases.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time after its last renewal from which an owner starts only tasks that were never started.
const START_ALONE_LIMIT: Duration = Duration::from_millis(1000);
/// Time after its last renewal from which an owner starts nothing and extends no lease.
pub(crate) const EXTEND_ALONE_LIMIT: Duration = Duration::from_millis(3000);
pub(crate) const LEASE_DURATION: Duration = Duration::from_millis(4500);
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(150);

/// Age of its view of the jobs from which on an owner starts nothing.
const MAX_JOBS_AGE: Duration = Duration::from_millis(2250);

/// Time between two polls of a minion.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) const CAPACITY: Resources = Resources { cpu: 4000, memory_mb: 4096, gpu: 0 };

#[derive(Clone, Debug)]
pub(crate) enum Call {
    Renew {
        /// When it is sent for the first time.
        sent: Option<Time>,
    },
    Hold {
        minion: MinionId,
        /// The incarnation that last answered on the connection; none if it is new.
        connected_to: Option<Incarnation>,
        acknowledged: u64,
        deadline: Option<Time>,
        token: u64,
    },
    Start {
        minion: MinionId,
        start: Start,
    },
    Stop {
        minion: MinionId,
        task: TaskName,
        run: u32,
        token: u64,
    },
    /// Stores progress if the ledger still has the version that the owner knows, so that a delayed
    /// write can't overwrite a newer one.
    Store {
        batch: Batch,
        version: u64,
    },
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    Unknown,
    Done,
    Report(Report),
    Refused(Refusal),
    OtherIncarnation,
    Superseded,
}

/// An owner of the cell.
pub(crate) struct Owner {
    pub(crate) cell: Cell,
    pub(crate) token: u64,
    pub(crate) last_renewal: Time,
    pub(crate) next_renewal: Time,
    pub(crate) next_poll: BTreeMap<MinionId, Time>,
    pub(crate) missed: BTreeSet<MinionId>,
    /// The incarnation that last answered on each open connection.
    connections: BTreeMap<MinionId, Incarnation>,
    /// Planned calls that haven't been made.
    pub(crate) calls: VecDeque<Call>,
    pub(crate) paused_until: Option<Time>,
    /// While isolated: until when, and the only minion that it can reach.
    pub(crate) isolation: Option<(Time, MinionId)>,
    pub(crate) is_stopped: bool,
    /// How recent its view of the jobs is.
    pub(crate) jobs_recency: Recency,
    /// Whether it has read the cancellations of the withdrawn jobs.
    pub(crate) has_read_withdrawal: bool,
    /// The leases on its minions, if these have clocks of their own.
    grants: Option<BTreeMap<MinionId, Grants>>,
    /// The latest version of the table at which it held the cell.
    held_version: u64,
}

/// Longest lease that a minion with a clock of its own grants.
pub(crate) const LEASE_LIMIT: Duration = Duration::from_secs(10);

/// Versions of the table between two takeovers.
const VERSIONS_PER_OWNER: u64 = 1 << 32;

impl Call {
    pub(crate) fn minion(&self) -> Option<MinionId> {
        match self {
            Call::Renew { .. } | Call::Store { .. } => None,
            Call::Hold { minion, .. } | Call::Start { minion, .. } | Call::Stop { minion, .. } => {
                Some(minion.clone())
            }
        }
    }
}

impl Call {
    /// The fencing token of a call to a minion.
    fn token(&self) -> Option<u64> {
        match self {
            Call::Renew { .. } | Call::Store { .. } => None,
            Call::Hold { token, .. } | Call::Stop { token, .. } => Some(*token),
            Call::Start { start, .. } => Some(start.token),
        }
    }
}

impl Owner {
    /// An owner whose takeover has just been stored.
    pub(crate) fn new(cell: Cell, token: u64, now: Time) -> Self {
        let mut jobs_recency = Recency::default();
        jobs_recency.record_read(now, 0);
        Self {
            cell,
            token,
            last_renewal: now,
            next_renewal: now,
            next_poll: BTreeMap::new(),
            missed: BTreeSet::new(),
            connections: BTreeMap::new(),
            calls: VecDeque::new(),
            paused_until: None,
            isolation: None,
            is_stopped: false,
            jobs_recency,
            has_read_withdrawal: false,
            grants: None,
            held_version: token * VERSIONS_PER_OWNER,
        }
    }

    /// The same, of minions with clocks of their own.
    pub(crate) fn with_minion_clocks(self) -> Self {
        Self { grants: Some(BTreeMap::new()), ..self }
    }

    fn grants_of(&mut self, minion: &MinionId) -> Option<&mut Grants> {
        let token = self.token * VERSIONS_PER_OWNER;
        let terms = Terms { term: LEASE_DURATION, limit: LEASE_LIMIT };
        let new = || Grants::new(terms, token, self.token > 1);
        self.grants.as_mut().map(|grants| grants.entry(minion.clone()).or_insert_with(new))
    }

    /// The fencing token for a call to a minion.
    fn token_for(&mut self, minion: &MinionId) -> u64 {
        let token = self.token;
        self.grants_of(minion).map_or(token, |grants| grants.token())
    }

    /// Records the time on a minion's clock in its answer to a call.
    pub(crate) fn record_clock(&mut self, call: &Call, clock_ms: u64, age: Duration, now: Time) {
        let (Some(minion), Some(token)) = (call.minion(), call.token()) else { return };
        let held_version = self.held_version;
        let Some(grants) = self.grants_of(&minion) else { return };
        let (incarnation, age) = (None, Some(age));
        let answer = lease::Answer { clock_ms, token, sent: now, received: now, incarnation, age };
        let uncertain_until = grants.record_answer(&answer);
        grants.raise_token(held_version);
        if let Some(until) = uncertain_until {
            self.cell.extend_lease_expiry(&minion, until);
        }
    }

    fn permit(&self, now: Time) -> Permit {
        self.jobs_recency.restrict(self.ownership_permit(now), MAX_JOBS_AGE, None, now)
    }

    fn ownership_permit(&self, now: Time) -> Permit {
        match now.since(self.last_renewal) {
            silence if silence <= START_ALONE_LIMIT => Permit::All,
            silence if silence <= EXTEND_ALONE_LIMIT => {
                Permit::NeverStarted { known_by: self.last_renewal + START_ALONE_LIMIT }
            }
            _ => Permit::Nothing,
        }
    }

    /// Whether it can reach a minion, or the table for none.
    pub(crate) fn can_reach(&self, minion: Option<MinionId>, now: Time) -> bool {
        let Some((until, only)) = &self.isolation else { return true };
        now >= *until || minion.as_ref() == Some(only)
    }

    /// Whether a planned call is no longer allowed: starts are checked again right before they are
    /// sent.
    pub(crate) fn is_forbidden(&self, call: &Call, now: Time) -> bool {
        let Call::Start { start, .. } = call else { return false };
        match self.permit(now) {
            Permit::All => false,
            Permit::NeverStarted { .. } => !start.first,
            Permit::Nothing => true,
        }
    }

    /// Plans the calls that are due.
    pub(crate) fn plan_calls(&mut self, listed: &[MinionId], ledger_version: u64, now: Time) {
        if now >= self.next_renewal {
            self.next_renewal = now + RENEWAL_INTERVAL;
            self.calls.push_back(Call::Renew { sent: None });
        }
        for minion in listed {
            let listing = Listing { capacity: CAPACITY, ..Listing::default() };
            self.cell.update_listing(minion, listing);
        }
        let known: Vec<(MinionId, Option<Incarnation>, u64)> = self
            .cell
            .minions()
            .map(|minion| (minion.id.clone(), minion.incarnation, minion.acknowledged()))
            .collect();
        for (minion, incarnation, acknowledged) in known {
            if !listed.contains(&minion) {
                self.cell.mark_unlisted(&minion);
            }
            if self.next_poll.get(&minion).is_some_and(|at| now < *at) {
                continue;
            }
            self.next_poll.insert(minion.clone(), now + POLL_INTERVAL);
            let missed = self.missed.contains(&minion);
            let deadline = if missed { None } else { self.extend_lease(&minion, now) };
            // Acknowledges ends only on a connection that can't reach another incarnation.
            let connected_to = self.connections.get(&minion).copied();
            let is_current = connected_to.is_some() && connected_to == incarnation;
            let acknowledged = if is_current { acknowledged } else { 0 };
            let token = self.token_for(&minion);
            let hold = Call::Hold { minion, connected_to, acknowledged, deadline, token };
            self.calls.push_back(hold);
        }
        let orders = self.cell.plan(now, now.0, self.permit(now));
        self.queue_orders(orders, now);
        if let Some(batch) = self.cell.unpersisted_batch(90) {
            self.calls.push_back(Call::Store { batch, version: ledger_version });
        }
    }

    fn extend_lease(&mut self, minion: &MinionId, now: Time) -> Option<Time> {
        if now.since(self.last_renewal) > EXTEND_ALONE_LIMIT {
            return None;
        }
        if let Some(grants) = self.grants_of(minion) {
            let grant = grants.next(now)?;
            self.cell.extend_lease_expiry(minion, grant.expiry);
            return Some(Time(grant.deadline_ms));
        }
        self.cell.extend_lease_expiry(minion, now + LEASE_DURATION + LEASE_MARGIN);
        Some(now + LEASE_DURATION)
    }

    fn queue_orders(&mut self, orders: Vec<Order>, now: Time) {
        for order in orders {
            match order {
                Order::Start { minion, task, run, first, .. } => {
                    let step = step_of(&task);
                    let work = Duration::from_millis(step.estimate_ms);
                    let Some(deadline) = self.extend_lease(&minion, now) else {
                        let refused = StartResult::Refused(Refusal::Unhealthy);
                        self.cell.process_start_result(&minion, &task, run, refused, now);
                        continue;
                    };
                    let start = Start {
                        task,
                        run,
                        first,
                        need: step.need,
                        work: (!step.long_running).then_some(work),
                        fails: false,
                        deadline,
                        token: self.token_for(&minion),
                    };
                    self.calls.push_back(Call::Start { minion, start });
                }
                Order::Stop { minion, task, run } => {
                    let token = self.token_for(&minion);
                    self.calls.push_back(Call::Stop { minion, task, run, token });
                }
                Order::Pace { .. } => {}
            }
        }
    }

    /// Applies the answer to a call.
    pub(crate) fn handle_answer(&mut self, call: &Call, answer: Answer, now: Time) {
        if let Some(minion) = call.minion() {
            match answer {
                Answer::OtherIncarnation => {
                    return self.cell.remove_terminated_minion(&minion, now);
                }
                Answer::Unknown => {
                    self.connections.remove(&minion);
                    self.missed.insert(minion);
                }
                _ => _ = self.missed.remove(&minion),
            }
        }
        match (call, answer) {
            (_, Answer::Superseded) => self.is_stopped = true,
            (Call::Renew { .. }, Answer::Done) => {
                self.last_renewal = now;
                self.held_version += 1;
                let version = self.held_version;
                for grants in self.grants.iter_mut().flat_map(BTreeMap::values_mut) {
                    grants.raise_token(version);
                }
            }
            (Call::Store { batch, .. }, Answer::Done) => self.cell.record_persisted(batch),
            (Call::Hold { minion, .. }, Answer::Report(report)) => {
                if let Some(incarnation) = report.incarnation {
                    self.connections.insert(minion.clone(), incarnation);
                }
                let sent = now - Duration::from_millis(1);
                let orders = self.cell.process_report(minion, &report, sent, now);
                self.queue_orders(orders, now);
            }
            (Call::Hold { minion, .. }, _) => self.cell.record_missed_answer(minion, now),
            (Call::Start { minion, start }, answer) => {
                if matches!(answer, Answer::Unknown) {
                    self.cell.record_missed_answer(minion, now);
                }
                let result = match answer {
                    Answer::Done => StartResult::Started,
                    Answer::Refused(reason) => StartResult::Refused(reason),
                    _ => StartResult::Unknown,
                };
                self.cell.process_start_result(minion, &start.task, start.run, result, now);
            }
            (Call::Stop { minion, task, run, .. }, Answer::Done) => {
                self.cell.confirm_stop(minion, task, *run, now);
            }
            _ => {}
        }
    }
}
