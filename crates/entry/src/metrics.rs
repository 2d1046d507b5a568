//! Counters, served as a text page and sent to statsd.

use crate::settings::Settings;
use cadence::prelude::*;
use cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink};
use celerythread_model::code::Code;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use strum::{Display, VariantArray};

/// The counters.  `docs/operations/alarms.md` describes each and how to respond.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Requests completely received from callers.
    Requests,
    /// Answers of minions delivered to callers.
    Answers,
    /// Requests resent.
    Resends,
    /// Resends denied by the retry budget.
    ResendsDenied,
    /// Dispatches to minions.
    Dispatches,
    /// Dispatches that failed.
    DispatchFailures,
    /// Slots lent to peers.
    SlotsLent,
    /// Slots borrowed from peers.
    SlotsBorrowed,
    /// Claims committed.
    Claims,
    /// Repeats answered with a stored answer.
    Replays,
    /// Transactions committed to the table.
    TableWrites,
    /// Reads of the table.
    TableReads,
    /// Calls to the platform that failed.
    PlatformFailures,
    /// Rows fetched from a peer instead of the platform.
    RelayedRows,
    /// Heartbeats received from peers.
    Beats,
    /// Links to peers closed after a failed exchange of heartbeats.
    LinksLost,
    /// Ejections of unhealthy minions.
    Ejections,
    /// Detected pauses of this process.
    Pauses,
}

/// All counters of a process.
pub struct Metrics {
    counters: Vec<AtomicU64>,
    refused: Mutex<BTreeMap<u16, u64>>,
    client: Option<StatsdClient>,
    sent: Mutex<Vec<u64>>,
}

impl Metrics {
    /// Counters at zero, sent to the settings' statsd address if there is one.
    pub fn new(settings: &Settings) -> Self {
        let count = Counter::VARIANTS.len();
        let client = settings.statsd.and_then(|address| {
            let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            let sink = QueuingMetricSink::from(UdpMetricSink::from(address, socket).ok()?);
            Some(StatsdClient::from_sink("celerythread", sink))
        });
        Self {
            counters: (0..count).map(|_| AtomicU64::new(0)).collect(),
            refused: Mutex::default(),
            client,
            sent: Mutex::new(vec![0; count]),
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `n` to a counter.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counters[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Counts a refused request under its code.
    pub fn count_refusal(&self, code: Code) {
        *self.refused.lock().entry(code.number()).or_default() += 1;
    }

    /// A counter's value.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Refusals by code number.
    pub fn refused(&self) -> BTreeMap<u16, u64> {
        self.refused.lock().clone()
    }

    /// The text page: one counter per line, its name and value.
    pub fn page(&self) -> String {
        let mut page = String::new();
        for counter in Counter::VARIANTS {
            let _ = writeln!(page, "{counter} {}", self.get(*counter));
        }
        for (code, count) in self.refused() {
            let _ = writeln!(page, "refused_{code} {count}");
        }
        page
    }

    /// Sends what was counted since the last call to statsd.
    pub fn send(&self) {
        let Some(client) = &self.client else { return };
        let mut sent = self.sent.lock();
        for (index, counter) in Counter::VARIANTS.iter().enumerate() {
            let value = self.get(*counter);
            let new = value - sent[index];
            sent[index] = value;
            if new > 0 {
                // Best effort: a lost datagram only makes statsd's figure too low.
                let _ = client.count(&counter.to_string(), new as i64);
            }
        }
    }
}
