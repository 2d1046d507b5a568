//! Draining a minion and returning it to a pool, so that it is in exactly one pool at any time.
//!
//! `Active(pool)` → `Draining` → `Rebooting` → `Active(pool or another, epoch + 1)`.  Each
//! transition is one conditional transaction.  The pool's name changes only in the last one, after
//! the owner has confirmed that no entry has work on the minion and the platform has rebooted it.

use celerythread_model::fleet::{Errand, Minion, Ownership, State};

/// The state of a minion that is out, as known to the driver.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// The minion's row.
    pub minion: &'a Minion,
    /// The row of its ownership.
    pub ownership: Option<&'a Ownership>,
    /// Whether the owner is registered.  An unregistered entry has certainly ended.
    pub owner_registered: bool,
    /// The minion's boot count in the platform's list; none if it isn't listed.
    pub boot: Option<u64>,
    /// Whether the platform is removing the minion.
    pub leaving: bool,
}

/// The next action for a minion that is out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Wait: it may still have work, or it hasn't come back yet.
    Wait,
    /// Write this row, conditional on the minion's row, its ownership and the lease.
    Write(Minion),
    /// Ask the platform for a reboot, if the boot count is still this one.
    Reboot(u64),
}

/// Returns the row of a minion whose drain begins.  Without an errand it never returns to a pool.
pub fn drain(minion: &Minion, errand: Option<Errand>, boot: u64) -> Minion {
    Minion { state: State::Draining, errand, boot, ..minion.clone() }
}

/// Whether no entry can have work on the minion or send it any.
///
/// Only the owner hands out slots.  It confirms by writing the current epoch to `idle_at` in the
/// table, and hands out no slots afterwards.  Former owners whose minion was taken over may be
/// paused with work in flight, so the row must list none.  A minion without an owner gets no work,
/// and its next owner finds it draining.
pub fn is_idle(facts: Facts<'_>) -> bool {
    let Some(row) = facts.ownership else { return true };
    if !row.former.is_empty() {
        return false;
    }
    match row.owner {
        None => true,
        Some(_) => !facts.owner_registered || row.idle_at == Some(facts.minion.epoch),
    }
}

/// Decides the next action for a minion that is out.
pub fn step(facts: Facts<'_>) -> Action {
    let minion = facts.minion;
    match minion.state {
        State::Active => Action::Wait,
        State::Draining if facts.leaving || minion.errand.is_none() => Action::Wait,
        State::Draining if is_idle(facts) => {
            Action::Write(Minion { state: State::Rebooting, ..minion.clone() })
        }
        State::Draining => Action::Wait,
        State::Rebooting => match facts.boot {
            None => Action::Wait,
            // Rebooted: work that a stale sender may have had on it has ended.
            Some(boot) if boot > minion.boot => Action::Write(back_in_service(minion)),
            // A repeated request is harmless, because the platform compares the boot count.
            Some(_) => Action::Reboot(minion.boot),
        },
    }
}

/// The minion's row when it returns to service, in its errand's target pool.
fn back_in_service(minion: &Minion) -> Minion {
    let target = minion.errand.as_ref().map(|errand| errand.target.clone());
    Minion {
        pool: target.unwrap_or_else(|| minion.pool.clone()),
        state: State::Active,
        epoch: minion.epoch.next(),
        errand: None,
        ..minion.clone()
    }
}
