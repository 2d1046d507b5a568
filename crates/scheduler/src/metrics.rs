//! Counters and latency histograms, served as a text page.

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use std::fmt::Write;
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

/// All counters and histograms of a process.
pub struct Metrics {
    counters: Vec<AtomicU64>,
    timings: Vec<Mutex<Histogram<u32>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || {
            Mutex::new(
                Histogram::new_with_bounds(1, MAX_RECORDED_MS, 2).expect("fixed, valid bounds"),
            )
        };
        Self {
            counters: (0..Counter::COUNT).map(|_| AtomicU64::new(0)).collect(),
            timings: (0..Timing::COUNT).map(|_| histogram()).collect(),
        }
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.counters[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The value of a counter.
    pub fn value(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Records a duration, of at least 1 ms.
    pub fn time(&self, timing: Timing, took: Duration) {
        self.timings[timing as usize].lock().saturating_record((took.as_millis() as u64).max(1));
    }

    /// All values as text, one a line.
    pub fn page(&self) -> String {
        let mut page = String::new();
        for counter in Counter::VARIANTS {
            let value = self.value(*counter);
            let _ = writeln!(page, "celerythread_{counter}_total {value}");
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
        page
    }
}
