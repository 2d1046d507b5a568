//! How recent an owner's view of a table is, by the versions of the store.
//!
//! Every answer of the store has its version at that time.  A call that is sent after a change was
//! acknowledged shows at least the version of that change.  So a table that is known as of the
//! version that a call showed has all changes that were acknowledged before the call was sent.
//!
//! An owner must not start tasks of a job that was cancelled some seconds ago, and it learns of
//! cancellations from the table of jobs.  So it starts nothing while its view of them is old,
//! whatever the reason: a feed without answers, a lost history, or a slow takeover.

use crate::cell::Permit;
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of versions that are kept while the table is known as of an older one.  Owners see
/// a version several times a second, so these cover some seconds.
const MAX_SAMPLES: usize = 32;

/// A version of the store, and when the call that showed it was sent.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sent: Time,
    version: u64,
}

/// How recent the view of a table is.
#[derive(Clone, Debug, Default)]
pub struct Recency {
    /// All changes acknowledged before this time are known.
    as_of: Time,
    /// The table is known as of this version.
    version: u64,
    /// Newer versions of the store, in the order of their calls.
    samples: VecDeque<Sample>,
}

impl Recency {
    /// Records that a call sent at `sent` showed a version of the store.
    pub fn record_version(&mut self, sent: Time, version: u64) {
        if version <= self.version {
            self.as_of = self.as_of.max(sent);
            return;
        }
        // The oldest one shows longest that a read is out of date.
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_back();
        }
        self.samples.push_back(Sample { sent, version });
    }

    /// Records that the table is known as of a version, by a read or a call of its feed that was sent
    /// at `sent`.
    pub fn record_read(&mut self, sent: Time, version: u64) {
        self.version = self.version.max(version);
        let (known, newer) = self
            .samples
            .iter()
            .partition::<VecDeque<_>, _>(|sample| sample.version <= self.version);
        self.samples = newer;
        let known = known.iter().map(|sample| sample.sent).max().unwrap_or(self.as_of);
        self.as_of = self.as_of.max(known);
        // A version below one that was shown before is not the present one.
        if self.samples.iter().all(|sample| sample.sent > sent) {
            self.as_of = self.as_of.max(sent);
        }
    }

    /// Time since the moment up to which all changes are known.
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.as_of)
    }

    /// What an owner may start with this view of the jobs' cancellations, of what it may start by its
    /// ownership.
    ///
    /// `last_renewal_sent` is set while the store seems unavailable.  If it is unavailable to all
    /// entries, no cancellation is acknowledged, so what was never started goes on if the view was
    /// recent enough at the last successful renewal.
    pub fn restrict(
        &self,
        permit: Permit,
        max_age: Duration,
        last_renewal_sent: Option<Time>,
        now: Time,
    ) -> Permit {
        let required_at = match permit {
            Permit::NeverStarted { .. } => last_renewal_sent.unwrap_or(now),
            Permit::All | Permit::Nothing => now,
        };
        if self.age(required_at) <= max_age { permit } else { Permit::Nothing }
    }
}
