//! The budget of memory for requests.

use assert_matches::assert_matches;
use celerythread_http::memory::{Budget, Exhausted, FREE_BODY_LEN, Incoming};
use futures::FutureExt;
use proptest::prelude::*;
use std::time::{Duration, Instant};

const KIB: u64 = 1024;

/// Largest body of these tests.
const LIMIT: u64 = 256 * KIB;

/// Longer than the age from which on a body can be given up.
const LATER: Duration = Duration::from_secs(3);

fn receive(budget: &Budget, length: u64, now: Instant) -> Result<Incoming, Exhausted> {
    let mut incoming = budget.receive(LIMIT, now);
    incoming.append(&vec![0; length as usize], now)?;
    Ok(incoming)
}

fn is_given_up(incoming: &Incoming) -> bool {
    incoming.given_up().now_or_never().is_some()
}

/// Guards against a declared length that shuts others out although its bytes never arrive.
#[test]
fn nothing_is_reserved_before_bytes_arrive() {
    let budget = Budget::new(1024 * KIB);
    let now = Instant::now();
    let bodies: Vec<Incoming> = (0..100).map(|_| budget.receive(LIMIT, now)).collect();
    assert_eq!(budget.reserved(), 0);
    drop(bodies);
}

/// Guards against a large crowd that leaves no room for ordinary bodies.
#[test]
fn small_bodies_find_room_beside_large_ones() {
    let budget = Budget::new(1024 * KIB);
    let now = Instant::now();
    let mut large = Vec::new();
    while let Ok(incoming) = receive(&budget, 100 * KIB, now) {
        large.push(incoming);
    }
    assert!(large.len() >= 3, "{}", large.len());
    let small = receive(&budget, 10 * KIB, now).unwrap();
    let free = receive(&budget, FREE_BODY_LEN as u64, now).unwrap();
    assert_matches!(small.finish(), Ok((body, _)) if body.len() == 10 * KIB as usize);
    assert_matches!(free.finish(), Ok((body, _)) if body.len() == FREE_BODY_LEN);
}

/// Guards against bodies that never end and keep the memory for good.
#[test]
fn the_slowest_body_is_given_up_for_another() {
    let budget = Budget::new(1024 * KIB);
    let begin = Instant::now();
    let slow = receive(&budget, 200 * KIB, begin).unwrap();
    let slower = receive(&budget, 150 * KIB, begin).unwrap();
    let now = begin + LATER;
    let fast = receive(&budget, 200 * KIB, now).unwrap();
    let _other = receive(&budget, 250 * KIB, now).unwrap();
    assert!(is_given_up(&slower) && !is_given_up(&slow) && !is_given_up(&fast));
    assert_matches!(slower.finish(), Err(Exhausted));
    assert_matches!(fast.finish(), Ok((body, _)) if body.len() == 200 * KIB as usize);
}

/// Guards against a client that loses its body because its connection stalls for a second.
#[test]
fn a_body_that_stalls_for_a_second_is_not_given_up() {
    let budget = Budget::new(1024 * KIB);
    let begin = Instant::now();
    let mut stalled = Vec::new();
    while let Ok(incoming) = receive(&budget, 200 * KIB, begin) {
        stalled.push(incoming);
    }
    let now = begin + Duration::from_millis(1500);
    assert_matches!(receive(&budget, 200 * KIB, now), Err(Exhausted));
    assert!(stalled.iter().all(|incoming| !is_given_up(incoming)));
}

/// Guards against a request that is refused after it was received whole, and may have run.
#[test]
fn a_whole_body_is_never_given_up() {
    let budget = Budget::new(400 * KIB);
    let begin = Instant::now();
    let (body, reserved) = receive(&budget, 200 * KIB, begin).unwrap().finish().unwrap();
    assert_matches!(receive(&budget, 200 * KIB, begin + LATER), Err(Exhausted));
    assert_eq!(body.len(), 200 * KIB as usize);
    drop(reserved);
    receive(&budget, 200 * KIB, begin + LATER).unwrap();
}

proptest! {
    /// Guards against memory that is never given back: whatever happened to bodies and reservations,
    /// nothing is reserved once they are gone, and never more than the limit.
    #[test]
    fn all_that_was_reserved_is_given_back(
        steps in prop::collection::vec((0..6u8, 0..300u64, 0..4000u64), 0..60),
    ) {
        let limit = 1024 * KIB;
        let budget = Budget::new(limit);
        let mut now = Instant::now();
        let (mut bodies, mut reservations) = (Vec::new(), Vec::new());
        for (kind, size, wait) in steps {
            now += Duration::from_millis(wait);
            match kind {
                0 | 1 => bodies.extend(receive(&budget, size.min(256) * KIB, now)),
                2 => reservations.extend(budget.reserve(size * KIB, now)),
                3 => drop(bodies.pop()),
                4 => drop(reservations.pop()),
                _ => {
                    let whole = bodies.pop().and_then(|body| body.finish().ok());
                    reservations.extend(whole.map(|(_, reserved)| reserved));
                }
            }
            prop_assert!(budget.reserved() <= limit);
        }
        drop((bodies, reservations));
        prop_assert_eq!(budget.reserved(), 0);
    }
}
