//! Which minions of a former owner are waited for.

use celerythread_engine::former::has_terminated;
use celerythread_engine::maintenance::Machine;
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

/// Nothing of a cell's inherited jobs is started for six seconds, with thirty machines in its pool.
/// A machine was ordered down just before its cell changed hands; its former minion's entry stood
/// among the minions for some seconds more, and the new owner waited for it to answer.
#[test]
fn a_minion_whose_machine_has_another_one_is_over() {
    let machines = machines(&[("m1", Some("new")), ("m2", None)]);
    assert!(has_terminated("old", &machines, true, Some("m1")));
    assert!(has_terminated("old", &machines, true, Some("m2")), "it is down, or on its way");
}

#[test]
fn a_minion_that_neither_list_has_is_terminated() {
    assert!(has_terminated("old", &machines(&[("m1", Some("new"))]), false, None));
}

#[test]
fn a_minion_that_may_live_is_waited_for() {
    let list = machines(&[("m1", Some("old"))]);
    assert!(!has_terminated("old", &list, false, Some("m1")), "its machine has it");
    let other = machines(&[("m2", Some("new"))]);
    assert!(
        !has_terminated("old", &other, true, None),
        "it is listed, and its machine isn't known"
    );
    assert!(!has_terminated("old", &other, true, Some("m1")), "its machine isn't listed");
    assert!(
        !has_terminated("old", &BTreeMap::new(), false, Some("m1")),
        "an empty list proves nothing"
    );
}
