//! The order of recorded events.

use celerythread_entry::Timeline;
use celerythread_model::event::{Clock, Kind, merge};
use celerythread_model::unit::Revision;

const CAPACITY: usize = 16;
const NUMBER: Revision = Revision(2);

fn timeline(process: &str) -> Timeline {
    Timeline::new(process.parse().unwrap(), CAPACITY)
}

/// Guards against a timeline that shows a configuration in force before it was accepted.  The
/// entry that wrote the configuration may read its row and put it in force before the answer to
/// the write arrives; the acceptance is then recorded last but must be listed first.
#[test]
fn an_acceptance_recorded_late_precedes_its_effects() {
    let committed = Revision(51);
    let [writer, other] = ["a", "b"].map(timeline);
    let accepted = Kind::ConfigAccepted { number: NUMBER, change: "c1".parse().unwrap() };

    for entry in [&writer, &other] {
        entry.witness(Clock::at_revision(committed));
        entry.record(0, Kind::ConfigInForce { number: NUMBER });
    }
    writer.record_committed(0, committed, accepted.clone());

    let merged = merge([writer.events(), other.events()].concat());
    let kinds: Vec<_> = merged.iter().map(|event| &event.kind).collect();
    let in_force = Kind::ConfigInForce { number: NUMBER };
    assert_eq!(kinds, [&accepted, &in_force, &in_force]);
}

/// As above, when local events of the writing entry have advanced its position far beyond the
/// table's revision.
#[test]
fn local_events_do_not_move_an_acceptance_after_its_effects() {
    let committed = Revision(51);
    let [writer, other] = ["a", "b"].map(timeline);
    let accepted = Kind::ConfigAccepted { number: NUMBER, change: "c1".parse().unwrap() };

    (0..100).for_each(|_| writer.record(0, Kind::Platform { reachable: true }));
    writer.record_committed(0, committed, accepted.clone());
    other.witness(Clock::at_revision(committed));
    other.record(0, Kind::ConfigInForce { number: NUMBER });

    let merged = merge([writer.events(), other.events()].concat());
    let last_two: Vec<_> = merged.iter().rev().take(2).map(|event| event.kind.clone()).collect();
    assert_eq!(last_two, [Kind::ConfigInForce { number: NUMBER }, accepted]);
}
