//! Duties that one entry carries at a time, through rows in the table.
//!
//! The holder counts the row's beat up.  Nobody compares clocks: an observer that has seen the
//! same beat for the whole term, by its own monotonic clock, may take the duty with the next
//! token.  A holder that was paused finds its writes refused, because each is conditional on
//! the row's revision.

use crate::time::Moment;
use celerythread_model::fleet::Lease;
use celerythread_model::id;
use celerythread_model::unit::{Revision, Token};
use std::time::Duration;

/// What to do about a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write this row if the revision still stands: it renews the lease.
    Renew(Lease),
    /// Write this row if the revision still stands: it takes the duty.
    Acquire(Lease),
    /// Another entry carries it.
    Wait,
}

/// What one entry has seen of one duty.
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

/// What a holder knows of its own lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: Token,
    /// The revision of the lease's row, on which each write under it is conditional.
    pub revision: Revision,
    /// When the holder last knew that it held it.
    pub confirmed_at: Moment,
}

impl HeldLease {
    /// Whether the duty may be acted on.  This only saves useless work: safety lies in the
    /// conditional writes.
    pub fn is_fresh(&self, now: Moment, term: Duration) -> bool {
        now.since(self.confirmed_at) < term
    }
}
