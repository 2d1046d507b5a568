//! Leases that an owner grants to the runs of one minion, with deadlines on the minion's clock.

use crate::clock;
use crate::owner::Owner;
use celerythread_engine::lease::{self, MinionClock};
use celerythread_engine::time::Time;
use parking_lot::Mutex;

/// The last reading of a minion's clock, by which lease deadlines are given.
#[derive(Debug, Default)]
pub(crate) struct Grants(Mutex<Option<MinionClock>>);

impl Grants {
    /// The lease deadline to send to a minion, recorded in the cell beforehand; none while leases
    /// must not be extended or its clock is unknown.
    pub(crate) fn next_deadline(&self, owner: &Owner, minion: &str) -> Option<u64> {
        if !owner.node.may_extend_leases() || owner.is_stopped() {
            return None;
        }
        let known = (*self.0.lock())?;
        let term_ms = owner.node.settings.run_lease.0.as_millis() as u64;
        let deadline_ms = known.now_ms(clock::now()) + term_ms;
        owner.with(|cell| cell.extend_lease_expiry(minion, known.latest_time_of(deadline_ms)));
        Some(deadline_ms)
    }

    /// Records a reading of a minion's clock; false if it shows that another process has taken over.
    ///
    /// In that case, the new process may have received deadlines on the former clock and shortened
    /// them to the lease limit, so leases are assumed to last that long.
    pub(crate) fn update_clock(
        &self,
        owner: &Owner,
        minion: &str,
        clock_ms: u64,
        sent: Time,
    ) -> bool {
        let now = clock::now();
        let former = self.0.lock().replace(MinionClock::new(clock_ms, now));
        let is_reset = former.is_some_and(|former| former.is_reset(clock_ms, sent));
        if is_reset {
            let until = now + lease::max_duration(owner.node.settings.lease_limit.0);
            owner.with(|cell| cell.extend_lease_expiry(minion, until));
        }
        !is_reset
    }
}
