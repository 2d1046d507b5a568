//! When callers get their time back.

use celerythread_engine::submission::{Attempt, retry_after_s, usable_time};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A zone is cut off from the store.  Its callers are told that nobody knows after 2.85 s, ask an
/// entry of another zone with a tenth of a second left, and are turned away for want of time.
#[test]
fn a_caller_of_an_entry_that_is_cut_off_has_time_left_for_another_one() {
    let attempt = |elapsed| Attempt {
        elapsed,
        remaining: ms(2850) - elapsed,
        is_store_unresponsive: true,
        unanswered: true,
        ..Attempt::default()
    };
    let over = (0..2850).step_by(50).map(ms).find(|elapsed| attempt(*elapsed).should_give_up());
    let over = over.expect("is given back");
    assert!(over * 4 <= ms(2850), "four tries fit into a caller's time: {over:?}");
}

/// A store that is a hundred times slower answers reads after 0.4 s and writes after some more.  Given
/// back as if it were silent, no submission would ever be answered.
#[test]
fn a_slow_store_is_waited_for() {
    let slow =
        Attempt { elapsed: ms(2000), remaining: ms(850), unanswered: true, ..Attempt::default() };
    assert!(!slow.should_give_up());
    assert_eq!(slow.write_timeout(), ms(850));
}

/// The store turns one entry away and serves the others: as long as another one can be asked, the
/// submission isn't over.
#[test]
fn peers_are_asked_before_a_submission_is_given_up() {
    let silent = Attempt {
        elapsed: ms(2000),
        remaining: ms(800),
        is_store_unresponsive: true,
        unanswered: true,
        ..Attempt::default()
    };
    assert!(silent.should_give_up());
    assert!(!Attempt { has_peers: true, ..silent }.should_give_up());
    assert!(silent.write_timeout() < ms(300));
}

#[test]
fn an_unwritten_submission_is_refused_after_a_few_tries() {
    let refused = Attempt { elapsed: ms(300), remaining: ms(2500), ..Attempt::default() };
    assert!(!refused.should_give_up());
    assert!(Attempt { elapsed: ms(400), ..refused }.should_give_up());
}

/// A caller comes back with 120 ms left.  A write takes ten, but all of its time was kept for the
/// answer's way, and it was refused unheard.
#[test]
fn a_caller_with_little_time_is_served() {
    assert!(usable_time(ms(120)) >= ms(90));
    assert_eq!(usable_time(ms(3000)), ms(2850));
    assert_eq!(usable_time(ms(0)), ms(0));
}

/// Told to come back in a second, a caller with less than that left never does.
#[test]
fn retry_after_fits_the_remaining_time() {
    assert_eq!(retry_after_s(ms(2500)), 1);
    assert_eq!(retry_after_s(ms(900)), 0);
}
