//! Counters, latency histograms and the capacity of owned cells, served as a text page.

use celerythread_engine::cell::FailureReason;
use celerythread_engine::cell::capacity::{Capacity, Usability, WaitReason};
use celerythread_http::Limit;
use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use strum::{Display, EnumCount, VariantArray};

/// A counter.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Jobs accepted.
    JobsAccepted,
    /// Submissions refused; the job is certainly not run.
    JobsRefused,
    /// Submissions refused because there is too little memory for their request or their job.
    SubmissionsOverLimit,
    /// Submissions whose acceptance is unknown.
    JobsUnknown,
    /// Calls without a valid key.
    KeysRefused,
    /// Cancellations accepted.
    JobsCancelled,
    /// Runs ordered to start.
    Starts,
    /// Starts that a minion refused.
    StartsRefused,
    /// Starts without an answer.
    StartsUnknown,
    /// Starts that were not sent because their job had ended, their run was to stop, their minion was
    /// draining or had another supervisor, or their owner had stopped.
    StartsDropped,
    /// Runs ordered to stop.
    Stops,
    /// Runs lost with their minion.
    RunsLost,
    /// Incarnation changes in answers under the same minion id.
    MinionsRestarted,
    /// Runs ordered to another pace.
    Paces,
    /// Polls of minions, which also extend leases.
    Holds,
    /// Calls that this entry made to minions.
    MinionCalls,
    /// Calls to minions that this entry, as an owner, had delegates make.
    DelegatedCalls,
    /// Such calls without an answer because the delegate was lost or late.
    DelegatedCallsLost,
    /// Polls without an answer.
    HoldsMissed,
    /// Successful transactions of owners, such as those that store the ends of runs.
    Keeps,
    /// Transactions that change cells' shares of workspaces' limits.
    ShareWrites,
    /// Such transactions that conflicted with another cell's change.
    ShareConflicts,
    /// Jobs that were passed over because their workspace used its share of a pool.
    JobsOverShare,
    /// Cells taken over.
    CellsTaken,
    /// Cells lost to another entry.
    CellsLost,
    /// Cells handed to another entry.
    CellsHandedOver,
    /// Takeovers whose wait for the former owner's leases was bounded by the store's clock.
    WaitsByStoreClock,
    /// Jobs found at takeovers that the former owner can't have started.
    JobsNotInherited,
    /// Standby slots that this entry occupied.
    StandbysClaimed,
    /// Calls to the store that failed.
    StoreFailures,
    /// Requests to peers that were not answered.
    PeerFailures,
    /// Machines moved to another pool.
    Moves,
    /// Such moves ordered by a permission of the machine's owner, without the store.
    MovesWithoutStore,
    /// Machines whose maintenance began.
    Maintenances,
}

/// A latency, in milliseconds.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Timing {
    /// From the arrival of a submission to its response.
    Accept,
    /// A transaction of the store.
    Commit,
    /// An order to start a run.
    Start,
    /// From a job's acceptance to its end.
    Job,
}

/// Largest recorded time: two minutes.  Longer ones count as this.
const MAX_RECORDED_MS: u64 = 120_000;

/// The latest capacity report of a cell that this entry owns.
struct CellCapacity {
    /// The owner's fencing token.
    token: u64,
    capacity: Capacity,
}

/// All counters, histograms and gauges of a process.
pub struct Metrics {
    counters: Vec<AtomicU64>,
    /// Failed jobs by reason.
    failures: Vec<AtomicU64>,
    /// Requests refused and connections closed, by the limit that was reached.
    limits: Vec<AtomicU64>,
    timings: Vec<Mutex<Histogram<u32>>>,
    /// By service.
    capacities: Mutex<BTreeMap<String, CellCapacity>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || {
            Mutex::new(
                Histogram::new_with_bounds(1, MAX_RECORDED_MS, 2).expect("fixed, valid bounds"),
            )
        };
        let zeros = |count: usize| (0..count).map(|_| AtomicU64::new(0)).collect();
        Self {
            counters: zeros(Counter::COUNT),
            failures: zeros(FailureReason::COUNT),
            limits: zeros(Limit::COUNT),
            timings: (0..Timing::COUNT).map(|_| histogram()).collect(),
            capacities: Mutex::default(),
        }
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// The value of a counter.
    pub fn value(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Counts a job that an owner failed.
    pub fn count_failure(&self, reason: FailureReason) {
        self.failures[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that was refused, or a connection that was closed, for a limit.
    pub fn count_limit(&self, limit: Limit) {
        self.limits[limit as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Records a duration, of at least 1 ms.
    pub fn time(&self, timing: Timing, took: Duration) {
        self.timings[timing as usize].lock().saturating_record((took.as_millis() as u64).max(1));
    }

    /// Sets the gauges of a service's cell to the report of its owner with this fencing token.  The
    /// report of an owner with a lower token than the last one's is ignored.
    pub fn set_capacity(&self, service: &str, token: u64, capacity: Capacity) {
        let mut capacities = self.capacities.lock();
        if capacities.get(service).is_none_or(|known| known.token <= token) {
            capacities.insert(service.into(), CellCapacity { token, capacity });
        }
    }

    /// Removes the gauges of a service's cell if the owner with this fencing token set them.
    pub fn remove_capacity(&self, service: &str, token: u64) {
        let mut capacities = self.capacities.lock();
        if capacities.get(service).is_some_and(|known| known.token == token) {
            capacities.remove(service);
        }
    }

    /// All values as text, one a line.
    pub fn page(&self) -> String {
        let mut page = String::new();
        for counter in Counter::VARIANTS {
            let value = self.value(*counter);
            let _ = writeln!(page, "celerythread_{counter}_total {value}");
        }
        for reason in FailureReason::VARIANTS {
            let value = self.failures[*reason as usize].load(Ordering::Relaxed);
            let _ = writeln!(page, "celerythread_jobs_failed_total{{reason=\"{reason}\"}} {value}");
        }
        for limit in Limit::VARIANTS {
            let value = self.limits[*limit as usize].load(Ordering::Relaxed);
            let _ = writeln!(page, "celerythread_limit_reached_total{{limit=\"{limit}\"}} {value}");
        }
        for timing in Timing::VARIANTS {
            let histogram = self.timings[*timing as usize].lock();
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    page,
                    "celerythread_{timing}_milliseconds{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(page, "celerythread_{timing}_milliseconds_count {}", histogram.len());
        }
        for (service, CellCapacity { capacity, .. }) in &*self.capacities.lock() {
            let _ = write_capacity(&mut page, service, capacity);
        }
        page
    }
}

/// Writes the gauges of a cell.
fn write_capacity(page: &mut String, service: &str, capacity: &Capacity) -> fmt::Result {
    let service = escape_label(service);
    let cores = |kind: &dyn fmt::Display, millicores: u64| {
        let cores = to_cores(millicores);
        format!("celerythread_capacity_cores{{service=\"{service}\",kind=\"{kind}\"}} {cores}\n")
    };
    writeln!(page, "celerythread_capacity_minions{{service=\"{service}\"}} {}", capacity.minions)?;
    page.push_str(&cores(&"total", capacity.millicores));
    page.push_str(&cores(&"free", capacity.free()));
    for usability in Usability::VARIANTS {
        page.push_str(&cores(usability, capacity.unused(*usability)));
    }
    for reason in WaitReason::VARIANTS {
        let waiting = capacity.waiting(*reason);
        let labels = format!("{{service=\"{service}\",reason=\"{reason}\"}}");
        let cores = to_cores(waiting.millicores);
        writeln!(page, "celerythread_capacity_waiting_tasks{labels} {}", waiting.tasks)?;
        writeln!(page, "celerythread_capacity_waiting_cores{labels} {cores}")?;
    }
    writeln!(
        page,
        "celerythread_capacity_oldest_ready_milliseconds{{service=\"{service}\"}} {}",
        capacity.oldest_ready_ms
    )
}

/// Cores of a number of millicores.
pub(crate) fn to_cores(millicores: u64) -> f64 {
    millicores as f64 / 1000.0
}

/// Escapes a label value.  The text format requires it for backslashes, quotes and line feeds, and
/// services may have any name that the configuration gives them: one with a line feed would
/// otherwise add a line to the page, and a quote make the page unreadable for scrapers.
fn escape_label(value: &str) -> String {
    let mut escaped = String::with_capacity(value.len());
    for letter in value.chars() {
        match letter {
            '\\' => escaped.push_str("\\\\"),
            '"' => escaped.push_str("\\\""),
            '\n' => escaped.push_str("\\n"),
            other => escaped.push(other),
        }
    }
    escaped
}
