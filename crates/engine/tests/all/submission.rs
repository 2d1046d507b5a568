//! Tests of when an entry stops retrying a submission.

use celerythread_engine::submission::{Attempt, retry_after_s, usable_time};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against holding callers until their deadline in a zone that is disconnected from the
/// store.  They got the outcome `unknown` after 2.85 s, had a tenth of a second left to ask an
/// entry of another zone, and were refused for lack of time.
#[test]
fn a_caller_of_a_disconnected_entry_has_time_to_ask_another_one() {
    let attempt = |elapsed| Attempt {
        elapsed,
        remaining: ms(2850) - elapsed,
        is_store_unresponsive: true,
        unanswered: true,
        ..Attempt::default()
    };
    let elapsed = (0..2850).step_by(50).map(ms).find(|elapsed| attempt(*elapsed).should_give_up());
    let elapsed = elapsed.expect("gives up before the deadline");
    assert!(elapsed * 4 <= ms(2850), "four attempts fit into a caller's time: {elapsed:?}");
}

/// Guards against stopping too early.  A store that is a hundred times slower than usual answers
/// reads after 0.4 s and writes a little later.  Treated as unresponsive, it would never complete a
/// submission.
#[test]
fn a_slow_store_is_waited_for() {
    let slow =
        Attempt { elapsed: ms(2000), remaining: ms(850), unanswered: true, ..Attempt::default() };
    assert!(!slow.should_give_up());
    assert_eq!(slow.write_timeout(), ms(850));
}

/// The store may refuse one entry and serve others, so a submission is retried as long as there is
/// another entry to ask.
#[test]
fn peers_are_asked_before_a_submission_fails() {
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

/// Guards against refusing a caller that retries with 120 ms left.  A write takes 10 ms, but the
/// margin for the response took all of the caller's time.
#[test]
fn a_caller_with_little_time_is_served() {
    assert!(usable_time(ms(120)) >= ms(90));
    assert_eq!(usable_time(ms(3000)), ms(2850));
    assert_eq!(usable_time(ms(0)), ms(0));
}

/// A caller that is asked to retry after a second, but has less time than that, never retries.
#[test]
fn retry_after_fits_the_remaining_time() {
    assert_eq!(retry_after_s(ms(2500)), 1);
    assert_eq!(retry_after_s(ms(900)), 0);
}
