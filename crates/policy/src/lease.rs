//! Leases of duties, stored as rows of the table.  A duty is a role that one entry holds at a time.
//!
//! The holder increments the row's `beat` counter.  Clocks of different entries are never compared:
//! an observer that has seen the same counter for the whole lease term, by its own monotonic clock,
//! may acquire the duty with the next fencing token.  The writes of a holder that was paused are
//! refused, because each is conditional on the row's revision.

use crate::time::Moment;
use celerythread_model::fleet::Lease;
use celerythread_model::id;
use celerythread_model::unit::{Revision, Token};
use std::time::Duration;

/// What to do about a duty's lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Renew the lease: write this row if the revision is unchanged.
    Renew(Lease),
    /// Acquire the duty: write this row if the revision is unchanged.
    Acquire(Lease),
    /// Do nothing: another entry holds the duty.
    Wait,
}

/// One entry's observations of one duty's lease.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    last_change: Option<(Revision, Moment)>,
}

impl Observer {
    /// Decides by the row as just read.
    pub fn observe(
        &mut self,
        entry: &id::Entry,
        row: Option<&Lease>,
        revision: Revision,
        now: Moment,
        term: Duration,
    ) -> Action {
        let changed = self.last_change.is_none_or(|(last, _)| last != revision);
        if changed {
            self.last_change = Some((revision, now));
        }
        let Some(lease) = row else {
            return Action::Acquire(Lease {
                holder: Some(entry.clone()),
                token: Token(1),
                beat: 0,
            });
        };
        if lease.holder.as_ref() == Some(entry) {
            return Action::Renew(Lease { beat: lease.beat + 1, ..lease.clone() });
        }
        let unchanged_for = self.last_change.map_or(Duration::ZERO, |(_, since)| now.since(since));
        if lease.holder.is_none() || unchanged_for >= term {
            let token = lease.token.next();
            return Action::Acquire(Lease { holder: Some(entry.clone()), token, beat: 0 });
        }
        Action::Wait
    }
}

/// A lease, as its holder knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: Token,
    /// The revision of the lease's row, on which each write under it is conditional.
    pub revision: Revision,
    /// When the holder last confirmed the lease.
    pub confirmed_at: Moment,
}

impl HeldLease {
    /// Whether the holder may act on the duty.  This only avoids useless work; safety depends on
    /// the conditional writes.
    pub fn is_fresh(&self, now: Moment, term: Duration) -> bool {
        now.since(self.confirmed_at) < term
    }
}
