//! Decides which calls to minions a cell's owner makes itself, and which ones other entries make
//! for it.
//!
//! A cell has one owner, and each task takes some calls to its minion.  Without delegates, the calls
//! of a service at its peak take more processor time than any one entry has, while other entries
//! are idle.  Delegates only make calls; every decision stays with the owner, so nothing has to be
//! agreed when they change.

use crate::ownership;
use crate::time::Time;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;
use std::num::ParseFloatError;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

/// Time over which calls are counted for a rate.
const WINDOW: Duration = Duration::from_millis(250);

/// Calls a second that an entry makes for a cell with each core that it has.  The rest of its
/// processor is for decisions and callers.
const CALLS_PER_CORE: f64 = 4000.0;

/// How long an entry is no delegate after it was lost or late as one.
const FAILURE_BACKOFF: Duration = Duration::from_secs(5);

/// Delegates of a cell that are kept without an allocation.
const INLINE_DELEGATES: usize = 8;

/// Calls a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl Rate {
    /// The calls that an entry with this processor capacity makes for a cell.
    pub fn of_entry(millicores: u32) -> Self {
        Self(CALLS_PER_CORE * f64::from(millicores) / 1000.0)
    }
}

impl Add for Rate {
    type Output = Rate;

    fn add(self, other: Rate) -> Rate {
        Rate(self.0 + other.0)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        text.parse().map(Self)
    }
}

/// Measures the rate of a cell's calls, whoever makes them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    window_began: Time,
    /// Calls in the current window.
    calls: u32,
    /// Rate at the end of the last window.
    rate: Rate,
}

impl Meter {
    /// Records a call.
    pub fn record(&mut self, now: Time) {
        self.end_window(now);
        self.calls += 1;
    }

    /// The current rate.  It follows a rise at once, and falls by half in each window at most, so
    /// that minions don't change hands with every pause.
    pub fn rate(&mut self, now: Time) -> Rate {
        self.end_window(now);
        Rate(self.rate.0.max(f64::from(self.calls) / WINDOW.as_secs_f64()))
    }

    fn end_window(&mut self, now: Time) {
        let elapsed = now.since(self.window_began);
        if elapsed < WINDOW {
            return;
        }
        let measured = f64::from(self.calls) / elapsed.as_secs_f64();
        *self = Self {
            window_began: now,
            calls: 0,
            rate: Rate(measured.max((measured + self.rate.0) / 2.0)),
        };
    }
}

/// An entry that may make calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub id: String,
    /// Its processor capacity in millicores.
    pub millicores: u32,
    /// Whether it is in the owner's zone.
    pub is_in_zone: bool,
}

/// The choice among the entries that may be delegates of a cell.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Entries that were lost or late, with the time.
    failed: HashMap<String, Time>,
}

impl Candidates {
    /// Records that an entry was lost or late as a delegate.
    pub fn record_failure(&mut self, id: &str, now: Time) {
        self.failed.insert(id.into(), now);
    }

    /// Sorts the entries that may be delegates, the preferred ones first: those of the owner's zone,
    /// which a network partition separates from the owner last, then in an order that differs by
    /// cell.  Leaves out those that failed recently.
    pub fn sort(&mut self, cell: &str, entries: &mut Vec<Candidate>, now: Time) {
        self.failed.retain(|_, at| now.since(*at) < FAILURE_BACKOFF);
        entries.retain(|entry| !self.failed.contains_key(&entry.id));
        entries.sort_by_cached_key(|entry| {
            (Reverse(entry.is_in_zone), ownership::rank(cell, &entry.id))
        });
    }
}

/// Who makes the calls to each minion.
#[derive(Clone, Debug, Default)]
pub struct Assignment {
    /// For the owner and then each delegate, the end of its part of the minions, from 0 to 1.
    ends: SmallVec<[f64; INLINE_DELEGATES]>,
}

impl Assignment {
    /// Assigns as many delegates as the rate requires, the first ones of `candidates`, and to each
    /// of them a part of the minions in proportion to its processor capacity in millicores.
    ///
    /// The owner's decisions take more of its processor as the rate rises, so it makes fewer calls
    /// itself: all that it can at its own rate, and none from twice that rate on, unless there are
    /// too few delegates.
    pub fn new(rate: Rate, own_millicores: u32, candidates: &[u32]) -> Self {
        let own = Rate::of_entry(own_millicores);
        let mut parts: SmallVec<[Rate; INLINE_DELEGATES]> = SmallVec::new();
        parts.push(if rate <= own { own } else { Rate((own.0 * 2.0 - rate.0).max(0.0)) });
        let mut total = parts[0];
        for millicores in candidates {
            if total >= rate {
                break;
            }
            let part = Rate::of_entry(*millicores);
            parts.push(part);
            total = total + part;
        }
        if total < rate {
            total = Rate(total.0 - parts[0].0 + own.0);
            parts[0] = own;
        }
        let mut end = 0.0;
        let ends = parts.iter().map(|part| {
            end += part.0 / total.0.max(f64::MIN_POSITIVE);
            end
        });
        Self { ends: ends.collect() }
    }

    /// Number of delegates.
    pub fn delegates(&self) -> usize {
        self.ends.len().saturating_sub(1)
    }

    /// The index of the delegate that makes the calls to a minion; `None` if the owner makes them.
    pub fn delegate_of(&self, minion: &str) -> Option<usize> {
        let position = ownership::rank("", minion) as f64 / u64::MAX as f64;
        let part = self.ends.iter().position(|end| position < *end);
        part.unwrap_or(self.ends.len().saturating_sub(1)).checked_sub(1)
    }
}
