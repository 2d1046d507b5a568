//! Detects minions that have certainly terminated, among those that a former owner used.
//!
//! A new owner starts no inherited task until every minion that its predecessor used has answered.
//! Each move or maintenance of a machine gives it a new minion, and the old one never answers.
//! Without this check, every inherited job of the cell would wait until that minion's lease has
//! certainly expired.

use crate::absence::Absence;
use crate::maintenance::Machine;
use std::collections::BTreeMap;

/// Whether a minion, and with it every run on it, has terminated.
///
/// `machines` is the platform's list, read after the takeover; it names the minion of each machine.
/// A minion that is on no machine has terminated if by `absence` it is gone from that list and it
/// isn't `listed` among the minions either, or if the machine that it was drained from
/// (`drained_machine`) is on the list.  Its listing expires
/// only seconds later, and a refused connection proves nothing because a network partition may
/// refuse connections, too.
pub fn has_terminated(
    minion: &str,
    machines: &BTreeMap<String, Machine>,
    absence: &Absence,
    listed: bool,
    drained_machine: Option<&str>,
) -> bool {
    if machines.is_empty() {
        return false;
    }
    let is_on_machine = machines.values().any(|machine| machine.minion.as_deref() == Some(minion));
    let was_replaced = drained_machine.is_some_and(|machine| machines.contains_key(machine));
    let is_gone = !listed && absence.is_gone(minion);
    !is_on_machine && (is_gone || was_replaced)
}
