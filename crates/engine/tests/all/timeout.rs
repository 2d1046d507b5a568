//! How long answers are waited for.

use celerythread_engine::timeout::{Timeout, is_write_lost};
use std::time::Duration;

/// Half of the answers are lost.  A caller who waits a second for each waits through its whole
/// deadline, although asking again would have brought the answer within milliseconds.
#[test]
fn a_lost_answer_costs_little_while_others_come_fast() {
    let mut patience = Timeout::default();
    for _ in 0..20 {
        patience.record_answer(Duration::from_millis(8));
        assert!(patience.current() <= Duration::from_millis(200));
        patience.record_timeout();
        assert!(patience.current() <= Duration::from_millis(400));
    }
}

/// The store turns sixty times slower; given up on each time, nothing would ever be written.
#[test]
fn a_slow_store_is_waited_for_after_a_few_tries() {
    let mut patience = Timeout::default();
    patience.record_answer(Duration::from_millis(5));
    let slow = Duration::from_millis(500);
    let tries = (0..10).take_while(|_| {
        let gave_up = patience.current() < slow;
        if gave_up {
            patience.record_timeout();
        }
        gave_up
    });
    assert!(tries.count() <= 3);
    patience.record_answer(slow);
    patience.record_answer(slow);
    assert!(patience.current() >= slow, "and then at once");
}

/// Every copy of a write takes its partition's turn.  While the store is slow, an overdue write is
/// on its way and must not be sent again; while others are answered at once, it is lost.
#[test]
fn a_write_is_lost_only_by_the_measure_of_a_read() {
    let overdue = Duration::from_millis(300);
    assert!(is_write_lost(overdue, Duration::from_millis(6)));
    assert!(!is_write_lost(overdue, Duration::from_millis(240)));
    assert!(
        !is_write_lost(Duration::from_millis(1400), Duration::from_millis(400)),
        "its turn may come"
    );
    assert!(
        !is_write_lost(Duration::from_millis(20), Duration::from_millis(1)),
        "it isn't even late"
    );
}
