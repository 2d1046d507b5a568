//! Taking a minion out of its pool and into one again, so that it is in exactly one throughout.
//!
//! `Active(pool)` → `Draining` → `Rebooting` → `Active(pool or another, epoch + 1)`.  Each
//! arrow is one conditional transaction.  The pool's name changes only in the last, when the
//! owner has confirmed that no entry has work on the minion and the platform has rebooted it.

use celerythread_model::fleet::{Errand, Minion, Ownership, State};

/// What the driver knows about a minion that is out.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// Its row.
    pub minion: &'a Minion,
    /// Who hands out its slots.
    pub ownership: Option<&'a Ownership>,
    /// Whether the owner is registered: an unregistered one is gone for certain.
    pub owner_registered: bool,
    /// How often it has booted by the platform's list; none when it is not listed.
    pub boot: Option<u64>,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// The next step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Wait: work may still be on it, or it has not come back yet.
    Wait,
    /// Write this row, conditional on the minion's row, its ownership and the lease.
    Write(Minion),
    /// Ask the platform for a reboot from this boot count.
    Reboot(u64),
}

/// Begins an errand.
pub fn drain(minion: &Minion, errand: Option<Errand>, boot: u64) -> Minion {
    Minion { state: State::Draining, errand, boot, ..minion.clone() }
}

/// Whether no entry can have work on the minion, nor send any.
///
/// Only the owner hands out slots.  It states `idle_at` for the present epoch in the table and
/// hands out nothing after.  Former owners that were taken over, and may be paused with work in
/// flight, must be gone.  An unowned minion gets no work; whoever takes it finds it draining.
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

/// Decides the next step of a minion that is out.
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
            // Rebooted: whatever a stale sender may still have had on it is gone.
            Some(boot) if boot > minion.boot => Action::Write(back_in_service(minion)),
            // Asking again is harmless: the platform compares the boot count.
            Some(_) => Action::Reboot(minion.boot),
        },
    }
}

/// The minion back in service, in the pool that its errand was for.
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
