//! Tests of which minions of a former owner a new owner waits for.

use celerythread_engine::maintenance::Machine;
use celerythread_engine::termination::has_terminated;
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
