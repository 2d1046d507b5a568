//! Minions that restart under their ids and execute calls that were sent to their former incarnations.

use crate::model::simulation::{Fault, Simulation};
use proptest::prelude::*;
use std::collections::BTreeMap;
use strum::VariantArray;

fn twice_at_once(faults: impl IntoIterator<Item = (usize, Fault)>) -> Vec<String> {
    let failures = Simulation::with_former_calls(faults.into_iter().collect()).run().failures();
    failures.into_iter().filter(|failure| failure.contains("twice at once")).collect()
}

/// Fails with the plans under which a task runs twice at once.
fn assert_never_twice(plans: impl IntoIterator<Item = Vec<(usize, Fault)>>) {
    let found: Vec<_> = plans
        .into_iter()
        .map(|plan| (twice_at_once(plan.iter().copied()), plan))
        .filter(|(found, _)| !found.is_empty())
        .collect();
    assert!(
        found.is_empty(),
        "{} plans, the first: {:?}",
        found.len(),
        &found[..found.len().min(3)]
    );
}

/// Guards against reckoning with the term that was asked for after a restart: a call to the former
/// incarnation has a deadline far ahead on the new clock, which gives the longest lease.
#[test]
fn a_minion_that_restarts_and_is_cut_off_is_waited_for() {
    let plans = (5..150).step_by(3).flat_map(|call| {
        [1, 2, 4, 8, 16, 30]
            .map(|gap| vec![(call, Fault::Restart), (call + gap, Fault::Partitioned)])
    });
    assert_never_twice(plans);
}

/// Guards against a lease by a call that the next incarnation executes after its owner has noticed the
/// restart.
#[test]
fn a_call_that_is_executed_after_the_restart_was_noticed_is_refused_or_reckoned_with() {
    let plans = (5..120).step_by(4).flat_map(|call| {
        [2, 6, 12].into_iter().flat_map(move |gap| {
            [80, 110, 125, 150].map(|cut| {
                let restart = (call + gap, Fault::Restart);
                vec![(call, Fault::Delayed), restart, (call + gap + cut, Fault::Partitioned)]
            })
        })
    });
    assert_never_twice(plans);
}

/// Guards against a successor that reckons with the leases that it grants itself, while a call of its
/// predecessor to the former incarnation gave a longer one.
#[test]
fn a_successor_waits_for_leases_by_calls_to_the_former_incarnation() {
    let plans = (5..60).step_by(3).flat_map(|call| {
        [1, 3].into_iter().flat_map(move |kill| {
            (10..130).step_by(15).map(move |cut| {
                let killed = (call + kill, Fault::KilledBefore);
                vec![(call, Fault::Restart), killed, (call + kill + cut, Fault::Partitioned)]
            })
        })
    });
    assert_never_twice(plans);
}

/// The same if the minion is cut off before the owner is lost, so that it never answers the successor.
#[test]
fn a_successor_waits_for_a_restarted_minion_that_never_answers_it() {
    let plans = (5..120).step_by(4).flat_map(|call| {
        [(2, 3), (4, 6), (10, 12)].map(|(cut, kill)| {
            let killed = (call + kill, Fault::KilledBefore);
            vec![(call, Fault::Restart), (call + cut, Fault::Partitioned), killed]
        })
    });
    assert_never_twice(plans);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Guards against tasks that run twice at once under any faults.
    #[test]
    fn no_task_runs_twice_at_once_under_several_faults(
        plan in prop::collection::btree_map(0..400_usize, prop::sample::select(Fault::VARIANTS), 2..6)
    ) {
        let found = twice_at_once(BTreeMap::from_iter(plan));
        prop_assert!(found.is_empty(), "{found:?}");
    }
}
