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
    Take(Lease),
    /// Another entry carries it.
    Stand,
}

/// What one entry has seen of one duty.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    seen: Option<(Revision, Moment)>,
}

impl Observer {
    /// Decides by the row as just read.
    pub fn observe(
        &mut self,
        me: &id::Entry,
        row: Option<&Lease>,
        revision: Revision,
        now: Moment,
        term: Duration,
    ) -> Action {
        let changed = self.seen.is_none_or(|(seen, _)| seen != revision);
        if changed {
            self.seen = Some((revision, now));
        }
        let Some(lease) = row else {
            return Action::Take(Lease { holder: Some(me.clone()), token: Token(1), beat: 0 });
        };
        if lease.holder.as_ref() == Some(me) {
            return Action::Renew(Lease { beat: lease.beat + 1, ..lease.clone() });
        }
        let unchanged_for = self.seen.map_or(Duration::ZERO, |(_, since)| now.since(since));
        if lease.holder.is_none() || unchanged_for >= term {
            let token = lease.token.next();
            return Action::Take(Lease { holder: Some(me.clone()), token, beat: 0 });
        }
        Action::Stand
    }
}

/// What a holder knows of its own lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Held {
    /// The fencing token.
    pub token: Token,
    /// The revision of the lease's row, on which each write under it is conditional.
    pub revision: Revision,
    /// When the holder last knew that it held it.
    pub confirmed: Moment,
}

impl Held {
    /// Whether the duty may be acted on.  This only saves useless work: safety lies in the
    /// conditional writes.
    pub fn is_fresh(&self, now: Moment, term: Duration) -> bool {
        now.since(self.confirmed) < term
    }
}
