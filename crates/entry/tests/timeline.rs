//! The order in which a process notes its events.

use celerythread_entry::Timeline;
use celerythread_model::event::{Clock, Kind, merge};
use celerythread_model::unit::Revision;

const CAPACITY: usize = 16;
const NUMBER: Revision = Revision(2);

fn timeline(process: &str) -> Timeline {
    Timeline::new(process.parse().unwrap(), CAPACITY)
}

/// An operator reads that a configuration was in force before it was accepted.  The entry that
/// wrote it sees the row through its feed and puts it in force before the answer to its write
/// arrives; the acceptance, noted last, stood behind what it had caused.
#[test]
fn an_acceptance_noted_late_stands_before_its_effects() {
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

/// The same, when what happened at the writing entry alone has carried its position far beyond
/// the table's revision.
#[test]
fn local_events_do_not_move_an_acceptance_behind_its_effects() {
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
