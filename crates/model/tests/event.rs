//! The causal order of events.

use celerythread_model::event::{Clock, Event, Kind};
use celerythread_model::unit::Revision;
use proptest::prelude::*;

#[test]
fn the_clock_is_flattened_into_the_event() {
    let clock = Clock { revision: Revision(51), count: 3 };
    let event = Event { process: "a".parse().unwrap(), clock, at: 0, kind: Kind::Started };
    let written = serde_json::to_value(&event).unwrap();
    assert_eq!(written["clock"], 51);
    assert_eq!(written["count"], 3);
    assert_eq!(clock.to_string(), "51.3");
    assert_eq!(serde_json::from_value::<Event>(written).unwrap(), event);
}

#[derive(Clone, Debug)]
enum Step {
    Local(usize),
    Commit(usize),
    Follow(usize),
    Beat(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..3_usize;
    prop_oneof![
        process.clone().prop_map(Step::Local),
        process.clone().prop_map(Step::Commit),
        process.clone().prop_map(Step::Follow),
        (process.clone(), process).prop_map(|(from, to)| Step::Beat(from, to)),
    ]
}

proptest! {
    /// Whatever the order of commits, feeds and heartbeats: an event is ordered after the commits
    /// of all revisions known to its process, and after all earlier events of its process.
    #[test]
    fn no_event_precedes_a_known_position(steps in prop::collection::vec(step(), 1..60)) {
        let mut clocks = [Clock::default(); 3];
        let mut known = [Revision(0); 3];
        let mut table = Revision(0);
        for step in steps {
            match step {
                Step::Local(process) => {
                    let before = clocks[process];
                    let now = clocks[process].advance();
                    prop_assert!(now > before);
                    prop_assert!(now > Clock::at_revision(known[process]));
                }
                Step::Commit(process) => {
                    let before = clocks[process];
                    table = table.next();
                    prop_assert!(Clock::at_revision(table) > before);
                }
                Step::Follow(process) => {
                    known[process] = table;
                    clocks[process].witness(Clock::at_revision(table));
                }
                Step::Beat(from, to) => {
                    let heard = clocks[from];
                    clocks[to].witness(heard);
                    known[to] = known[to].max(known[from]);
                }
            }
        }
    }
}
