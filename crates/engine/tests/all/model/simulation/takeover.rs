//! Takeovers of the simulation: what the next owner observes, and the jobs that callers submit
//! meanwhile.

use super::{
    CANCELLED_JOB, EXTEND_ALONE_LIMIT, FAILING_JOB, FAILING_JOB_ATTEMPTS, LATE_JOBS,
    LEASE_DURATION, LEASE_LIMIT, Simulation, TAKEOVER_DELAY, WITHDRAWN_JOBS, base_jobs, late_job,
};
use crate::fixture::id;
use crate::model::owner::Owner;
use celerythread_engine::cell::{Cell, Queue, Settings};
use celerythread_engine::job::{self, Accepted, Definition, Id, Origin};
use celerythread_engine::lease;
use celerythread_engine::ownership::former::{
    EarlierOwners, Evidence, Predecessors, Renewal, Sending, Source, Terms, Watch, is_inherited,
    lease_expiry, lease_expiry_after_stop, renewed_by_ms,
};
use celerythread_engine::store_clock::{Reading, StoreClock};
use celerythread_engine::time::Time;
use std::time::Duration;

const CELL: &str = "svc";

/// The queue of all jobs but [`FAILING_JOB`], and its attempts.
const QUEUE: &str = "queue";
const ATTEMPTS: u32 = 2;

/// The queue that no owner has in its configuration.
const REMOVED_QUEUE: &str = "removed";

/// What the table's clock shows more than the others.
const TABLE_CLOCK_AHEAD_MS: u64 = 50_000;

/// Time between two jobs that callers submit.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(400);

/// By which rules a successor decides which jobs are inherited and how long it waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    /// The engine's.
    Bounded,
    /// The jobs stored by the time at which the former owner's last renewal was seen, which misses
    /// those that it learned of after that.
    SeenRenewal,
    /// A wait for the term of a lease from the last renewal, which ignores that the former owner
    /// extended leases after it.
    LeaseOnly,
    /// A wait that ignores the owners before one that stopped.
    LastStop,
}

/// How the owner of a cell ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Departure {
    /// It doesn't renew its row any more.
    Silent,
    /// It stopped, and handed the cell over.
    HandedOver {
        /// Whether its own takeover was complete.
        is_complete: bool,
    },
    /// It crashed, and the next process of its instance deleted its row.
    Replaced,
}

/// The candidate for the cell, and the rows of the table that it reads.
pub(crate) struct Candidate {
    watch: Watch,
    clock: StoreClock,
    /// Renewals that it hasn't read, with their tokens.
    unread: Vec<(u64, Renewal)>,
    /// Number of renewals of the present holder.
    renewals: u64,
    /// Version of the table's last change.
    version: u64,
    /// Version of the holder's row.
    holder_version: u64,
    /// Version of the table when the holder's row was last seen to change.
    seen_version: u64,
    /// What the cell's row states of the owners before its holder.
    predecessors: Predecessors,
    rule: Rule,
    /// Versions of the submitted jobs.
    submitted: Vec<u64>,
    late_jobs: u8,
    /// Whether a job of a removed queue runs, whose task fails.
    has_failing_job: bool,
}

impl Candidate {
    pub(super) fn new() -> Self {
        Self {
            watch: Watch::default(),
            clock: StoreClock::default(),
            unread: Vec::new(),
            renewals: 0,
            version: 0,
            holder_version: 0,
            seen_version: 0,
            predecessors: Predecessors {
                count: 0,
                is_last_stopped: true,
                renewed_by_ms: 0,
                earlier: EarlierOwners::None,
            },
            rule: Rule::Bounded,
            submitted: Vec::new(),
            late_jobs: 0,
            has_failing_job: false,
        }
    }
}

fn owner_name(token: u64) -> String {
    format!("owner-{token}")
}

fn table_ms(at: Time) -> u64 {
    at.0 + TABLE_CLOCK_AHEAD_MS
}

impl Simulation {
    /// Lets callers submit a job at regular intervals, from the beginning on.
    pub(crate) fn with_late_jobs(self, rule: Rule) -> Self {
        let candidate = Candidate { late_jobs: LATE_JOBS, ..self.candidate };
        Self { candidate, ..self }.with_rule(rule)
    }

    /// Lets a job of a removed queue run, whose task fails.
    pub(crate) fn with_failing_job(self) -> Self {
        Self { candidate: Candidate { has_failing_job: true, ..self.candidate }, ..self }
    }

    pub(super) fn has_failing_job(&self) -> bool {
        self.candidate.has_failing_job
    }

    /// Lets successors decide by this rule.
    pub(crate) fn with_rule(self, rule: Rule) -> Self {
        Self { candidate: Candidate { rule, ..self.candidate }, ..self }
    }

    /// The rule of its successors.
    pub(super) fn rule(&self) -> Rule {
        self.candidate.rule
    }

    /// The late jobs that are submitted in this simulation.
    pub(super) fn late_jobs(&self) -> impl Iterator<Item = u8> {
        (0..self.candidate.late_jobs).map(late_job)
    }

    /// Writes the row of a renewal by the owner with this token, sent at `sent`.
    pub(super) fn write_renewal(&mut self, token: u64, sent: Time) {
        let candidate = &mut self.candidate;
        candidate.version += 1;
        candidate.renewals += 1;
        candidate.holder_version = candidate.version;
        let (version, number) = (candidate.version, candidate.renewals);
        let renewed_by_ms = table_ms(sent);
        let renewal = Renewal { version, term: TAKEOVER_DELAY, number, renewed_by_ms };
        candidate.unread.push((token, renewal));
    }

    /// Submits the jobs that are due.  Every running owner learns of them at once, also those that
    /// can't reach the table.
    pub(super) fn submit_late_jobs(&mut self) {
        let now = self.now;
        let next = self.candidate.submitted.len() as u8;
        let due = super::START_TIME + SUBMISSION_INTERVAL * u32::from(next);
        if next < self.candidate.late_jobs && now >= due && now >= self.outage_until {
            self.candidate.version += 1;
            self.candidate.submitted.push(self.candidate.version);
        }
        let submitted = self.candidate.submitted.len() as u8;
        for owner in self.owners.iter_mut() {
            if owner.paused_until.is_some_and(|until| now < until) {
                continue;
            }
            let late = (0..submitted).map(late_job);
            if submitted > 0 && !owner.has_read_withdrawal {
                owner.has_read_withdrawal = true;
                for (job, _) in WITHDRAWN_JOBS {
                    owner.cell.cancel(&id(job), now);
                }
            }
            let stored = WITHDRAWN_JOBS.into_iter().filter(|(_, before)| submitted >= *before);
            let unknown = stored.filter(|(job, _)| owner.cell.job(&id(*job)).is_none());
            let withdrawn: Vec<u8> = unknown.map(|(job, _)| job).collect();
            let failing = self.candidate.has_failing_job.then_some(FAILING_JOB);
            for (job, definition) in late.chain(withdrawn).chain(failing).map(definition_of) {
                let accepted = accepted(job, definition);
                owner.cell.add_job(job, accepted, None, false, Duration::ZERO, now);
            }
        }
    }

    /// When the leases of all former owners must have expired, for the owner that takes over now.
    fn former_lease_expiry(&self, row: &Predecessors) -> Option<Time> {
        let (now, clock, rule) = (self.now, self.candidate.clock, self.candidate.rule);
        let extend_alone = match rule {
            Rule::LeaseOnly => Duration::ZERO,
            _ => EXTEND_ALONE_LIMIT,
        };
        let terms =
            Terms { extend_alone, takeover_after: TAKEOVER_DELAY, run_lease: LEASE_DURATION };
        let earlier = match rule {
            Rule::LastStop => EarlierOwners::None,
            _ => row.earlier,
        };
        let (expiry, _) = match row.is_last_stopped {
            true => lease_expiry_after_stop(&terms, earlier, now, &clock),
            false => lease_expiry(&terms, row.renewed_by_ms, now, &clock),
        };
        (row.count > 0).then_some(expiry)
    }

    /// What the row that a takeover writes states of the owners before the new one.
    fn next_predecessors(&self, departure: Departure, holder: Option<u64>) -> Predecessors {
        let (now, clock, row) = (self.now, self.candidate.clock, self.candidate.predecessors);
        let is_complete = departure == Departure::HandedOver { is_complete: true };
        let renewed_by_ms = match departure {
            Departure::HandedOver { .. } => clock.latest_ms(now).unwrap_or(0),
            _ => renewed_by_ms(holder, row.all(), now, &clock),
        };
        Predecessors {
            count: self.table.token as u32,
            is_last_stopped: departure != Departure::Silent,
            renewed_by_ms,
            earlier: row.unstopped(is_complete),
        }
    }

    /// A new owner takes the cell and reads the table.
    pub(super) fn take_over(&mut self, departure: Departure) {
        let now = self.now;
        let token = self.table.token;
        let evidence = match departure {
            Departure::Silent => {
                self.candidate.watch.evidence(CELL, token, self.candidate.holder_version)
            }
            _ => Evidence::default(),
        };
        let known_version = match self.candidate.rule {
            Rule::SeenRenewal if departure == Departure::Silent => self.candidate.seen_version,
            _ => evidence.known_version,
        };
        let row = self.next_predecessors(departure, evidence.renewed_by_ms);
        let former_lease_expiry = self.former_lease_expiry(&row);
        self.candidate.predecessors = row;
        self.table.token += 1;
        let token = self.table.token;
        self.record(|| format!("owner {token} takes over until {former_lease_expiry:?}"));
        let generation = token as u32 - 1;
        let lease_excess = lease::max_duration(LEASE_LIMIT) - lease::max_duration(LEASE_DURATION);
        let settings = Settings { lease_excess, ..Settings::default() };
        let mut cell = Cell::new(settings, generation, former_lease_expiry);
        let queue = Queue { attempts: ATTEMPTS, ..Queue::default() };
        cell.configure([(QUEUE.into(), queue)], 1);
        let has_former = former_lease_expiry.is_some();
        if has_former {
            self.roster.iter().for_each(|minion| cell.inherit_minion(minion));
        }
        let late = self.candidate.submitted.iter().enumerate();
        let late = late.map(|(number, version)| (*version, definition_of(late_job(number as u8))));
        let failing = self.candidate.has_failing_job.then(|| definition_of(FAILING_JOB));
        let jobs = base_jobs().into_iter().chain(failing).map(|job| (0, job)).chain(late);
        for (version, (id, definition)) in jobs {
            let progress = self.table.progress.get(&id);
            let inherited = has_former && is_inherited(known_version, version, progress.is_some());
            cell.add_job(id, accepted(id, definition), progress, inherited, Duration::ZERO, now);
        }
        if self.cancelled {
            cell.cancel(&id(CANCELLED_JOB), now);
        }
        // Their jobs may not be stored yet.
        let is_withdrawn = !self.candidate.submitted.is_empty();
        if is_withdrawn {
            for (job, _) in WITHDRAWN_JOBS {
                cell.cancel(&id(job), now);
            }
        }
        let mut owner = Owner::new(cell, token, now);
        if self.executes_former_calls {
            owner = owner.with_minion_clocks();
        }
        owner.has_read_withdrawal = is_withdrawn;
        self.owners.push(owner);
        self.report_recent_restarts(self.owners.len() - 1);
        self.observed_renewals = (self.table.renewals, now);
        self.candidate.version += 1;
        self.candidate.watch.record_holder(CELL, &owner_name(token), token, now);
        // The new owner's permits count from its takeover.
        self.candidate.renewals = 0;
        self.write_renewal(token, now);
        self.observe();
    }

    /// Lets the candidate read the table.
    fn observe(&mut self) {
        let (now, candidate) = (self.now, &mut self.candidate);
        let sent = now - super::TICK;
        candidate.clock.record(Reading { now_ms: table_ms(now), sent, received: now });
        for (token, renewal) in std::mem::take(&mut candidate.unread) {
            let owner = owner_name(token);
            candidate.watch.record_renewal(&owner, renewal, Source::Feed, now, &candidate.clock);
            candidate.seen_version = candidate.version;
        }
        let sending = Sending::new(now, &candidate.clock);
        if candidate.watch.is_read_due(sending) {
            candidate.watch.record_read(sending, candidate.version);
        }
    }

    /// Lets another entry take over from an owner that doesn't renew.
    pub(super) fn take_over_if_silent(&mut self) {
        if self.now >= self.outage_until {
            self.observe();
        }
        let (observed, since) = self.observed_renewals;
        if self.now < self.outage_until || self.table.renewals != observed {
            self.observed_renewals = (self.table.renewals, self.now);
        } else if self.now.since(since) >= TAKEOVER_DELAY {
            self.take_over(Departure::Silent);
        }
    }
}

fn definition_of(job: u8) -> (Id, Definition) {
    super::jobs().into_iter().find(|(known, _)| *known == id(job)).unwrap()
}

/// A job as an entry accepts it.
fn accepted(job: Id, definition: Definition) -> Accepted {
    let (queue, attempts) = match job == id(FAILING_JOB) {
        true => (REMOVED_QUEUE, FAILING_JOB_ATTEMPTS),
        false => (QUEUE, ATTEMPTS),
    };
    let policy = Queue { attempts, ..Queue::default() };
    let terms = Some(job::Terms { configuration: 1, workspace: None, queue: policy });
    Accepted {
        queue: queue.into(),
        at_ms: 0,
        definition,
        origin: Origin::Public,
        terms,
        service: None,
    }
}
