//! Tests of which minions of a former owner a new owner waits for.

use celerythread_engine::absence::{Absence, Reading};
use celerythread_engine::maintenance::Machine;
use celerythread_engine::termination;
use celerythread_engine::time::Time;
use std::collections::BTreeMap;

fn machines(minions: &[(&str, Option<&str>)]) -> BTreeMap<String, Machine> {
    let machine = |(name, minion): &(&str, Option<&str>)| {
        let minion = minion.map(Into::into);
        (
            name.to_string(),
            Machine { minion, up: true, in_maintenance: false, ..Machine::default() },
        )
    };
    minions.iter().map(machine).collect()
}

/// Whether a minion has terminated after one reading of this list in one page.
fn has_terminated(
    minion: &str,
    machines: &BTreeMap<String, Machine>,
    listed: bool,
    drained_machine: Option<&str>,
) -> bool {
    let mut absence = Absence::default();
    record(&mut absence, minion, machines, 1);
    termination::has_terminated(minion, machines, &absence, listed, drained_machine)
}

fn record(absence: &mut Absence, minion: &str, machines: &BTreeMap<String, Machine>, pages: usize) {
    let is_on = |id: &str| machines.values().any(|machine| machine.minion.as_deref() == Some(id));
    let reading = Reading { sent: Time(0), pages, is_complete: true };
    absence.record([minion].into_iter(), is_on, reading);
}

/// A machine that changes its place in the list between the readings of two pages is on neither.  If
/// its minion counted as terminated, the tasks that it runs would be started elsewhere.
#[test]
fn a_minion_that_one_reading_in_pages_lacks_is_waited_for() {
    let machines = machines(&[("m1", Some("new"))]);
    let mut absence = Absence::default();
    record(&mut absence, "old", &machines, 3);
    assert!(!termination::has_terminated("old", &machines, &absence, false, None));
    record(&mut absence, "old", &machines, 3);
    assert!(termination::has_terminated("old", &machines, &absence, false, None));
}

/// Guards against a new owner that waits for a minion which was shut down for maintenance.  If its
/// machine goes down just before the cell changes owner, the minion stays listed for some seconds;
/// nothing of the inherited jobs was started for six seconds, with thirty machines in the pool.
#[test]
fn a_minion_whose_machine_has_another_one_is_over() {
    let machines = machines(&[("m1", Some("new")), ("m2", None)]);
    assert!(has_terminated("old", &machines, true, Some("m1")));
    assert!(
        has_terminated("old", &machines, true, Some("m2")),
        "the machine is down or on its way up"
    );
}

#[test]
fn a_minion_that_neither_list_has_is_terminated() {
    assert!(has_terminated("old", &machines(&[("m1", Some("new"))]), false, None));
}

#[test]
fn a_minion_that_may_live_is_waited_for() {
    let list = machines(&[("m1", Some("old"))]);
    assert!(!has_terminated("old", &list, false, Some("m1")), "its machine still has it");
    let other = machines(&[("m2", Some("new"))]);
    assert!(!has_terminated("old", &other, true, None), "it is listed and its machine is unknown");
    assert!(!has_terminated("old", &other, true, Some("m1")), "its machine isn't listed");
    assert!(
        !has_terminated("old", &BTreeMap::new(), false, Some("m1")),
        "an empty list proves nothing"
    );
}
