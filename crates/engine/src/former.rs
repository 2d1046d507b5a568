//! Which minions of a former owner are over for certain.
//!
//! A new owner starts no inherited task before each minion that its predecessor used has answered it.
//! Moves and maintenance give a machine a new minion each time, and the old one never answers:
//! waited for, it keeps every inherited job of the cell waiting until its lease must have lapsed.

use crate::maintenance::Machine;
use std::collections::BTreeMap;

/// Whether a minion's life is over, and with it all that it ran.
///
/// `machines` is the platform's list, read after the takeover: it names the minion of each machine.
/// A minion that none of them has is over if it isn't `listed` as a minion either, or if its
/// machine is known, from having been emptied of it, and is there without it.  Its own entry among
/// the minions lapses only seconds later, and a refused connection proves nothing: a partition may
/// refuse connections, too.
pub fn has_terminated(
    minion: &str,
    machines: &BTreeMap<String, Machine>,
    listed: bool,
    drained_machine: Option<&str>,
) -> bool {
    if machines.is_empty() {
        return false;
    }
    let is_on_machine = machines.values().any(|machine| machine.minion.as_deref() == Some(minion));
    let was_replaced = drained_machine.is_some_and(|machine| machines.contains_key(machine));
    !is_on_machine && (!listed || was_replaced)
}
