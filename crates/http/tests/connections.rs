//! The places of connections.

use celerythread_http::connections::{Phase, Place, Places};
use futures::FutureExt;
use std::time::{Duration, Instant};

fn is_closed(place: &Place) -> bool {
    place.closed().now_or_never().is_some()
}

fn take_all(places: &Places, count: usize, now: Instant) -> Vec<Place> {
    (0..count).map(|_| places.take(now).unwrap()).collect()
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against idle connections that keep a new one from being served.
#[test]
fn the_connection_that_waits_longest_loses_its_place() {
    let places = Places::new(3);
    let begin = Instant::now();
    let open = take_all(&places, 3, begin);
    open[0].enter(Phase::Answering, begin + SECOND);
    open[1].enter(Phase::Waiting, begin + SECOND);
    let new = places.take(begin + 2 * SECOND).unwrap();
    assert!(!is_closed(&open[0]) && !is_closed(&open[1]) && is_closed(&open[2]));
    assert!(!is_closed(&new));
}

/// Guards against an answer that is lost because another connection arrives.
#[test]
fn a_connection_that_is_answered_keeps_its_place() {
    let places = Places::new(2);
    let begin = Instant::now();
    let open = take_all(&places, 2, begin);
    open.iter().for_each(|place| place.enter(Phase::Answering, begin));
    assert!(places.take(begin + 60 * SECOND).is_none());
    assert!(!open.iter().any(is_closed));
}

/// Guards against a crowd of new connections that closes requests which have just begun.
#[test]
fn a_request_that_has_just_begun_keeps_its_place() {
    let places = Places::new(2);
    let begin = Instant::now();
    let open = take_all(&places, 2, begin);
    open[0].enter(Phase::Head, begin);
    open[1].enter(Phase::Body, begin);
    assert!(places.take(begin + SECOND / 2).is_none());
    places.take(begin + SECOND).unwrap();
    assert!(is_closed(&open[0]) && !is_closed(&open[1]));
}

/// Guards against descriptors beyond the limit while closed connections have not ended yet.
#[test]
fn connections_that_are_being_closed_are_bounded() {
    let places = Places::new(16);
    let begin = Instant::now();
    let mut open = take_all(&places, 16, begin);
    for _ in 0..100 {
        open.extend(places.take(begin + SECOND));
    }
    assert_eq!(places.open_count(), 18);
    open.retain(|place| !is_closed(place));
    assert_eq!(places.open_count(), 16);
    assert!(places.take(begin + SECOND).is_some());
    drop(open);
    assert_eq!(places.open_count(), 0);
}
