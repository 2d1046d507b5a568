//! Adaptive timeouts of calls.

use celerythread_engine::timeout::{Settings, Timeout, is_write_lost};
use std::time::Duration;

/// Half of the answers are lost.  With a timeout of a second each, callers would miss their
/// deadlines, although a retry is answered within milliseconds.
#[test]
fn a_lost_answer_times_out_soon_while_others_are_fast() {
    let mut timeout = Timeout::default();
    for _ in 0..20 {
        timeout.record_answer(Duration::from_millis(8));
        assert!(timeout.current() <= Duration::from_millis(200));
        timeout.record_timeout();
        assert!(timeout.current() <= Duration::from_millis(400));
    }
}

/// The store becomes sixty times slower; if every call timed out, nothing would ever be written.
#[test]
fn the_timeout_reaches_a_slow_stores_latency_after_a_few_calls() {
    let mut timeout = Timeout::default();
    timeout.record_answer(Duration::from_millis(5));
    let slow = Duration::from_millis(500);
    let tries = (0..10).take_while(|_| {
        let gave_up = timeout.current() < slow;
        if gave_up {
            timeout.record_timeout();
        }
        gave_up
    });
    assert!(tries.count() <= 3);
    timeout.record_answer(slow);
    timeout.record_answer(slow);
    assert!(timeout.current() >= slow, "further calls don't time out");
}

/// Guards against an unanswered order that costs its job the longest wait, however fast the other
/// orders are answered.
#[test]
fn an_unanswered_order_times_out_soon_while_others_are_answered_fast() {
    let mut timeout = Timeout::new(Settings::ORDER);
    for _ in 0..20 {
        timeout.record_answer(Duration::from_millis(8));
        assert!(timeout.current() <= Duration::from_millis(100));
        timeout.record_timeout();
    }
}

/// Guards against orders that all time out because the owner or its minions are slow.
#[test]
fn the_timeout_of_orders_follows_slow_answers() {
    let mut timeout = Timeout::new(Settings::ORDER);
    for _ in 0..10 {
        timeout.record_answer(Duration::from_millis(60));
    }
    assert_eq!(timeout.current(), Settings::ORDER.max);
}

/// Each repetition of a write queues in its partition.  While the store is slow, an overdue write
/// is still queued and must not be sent again; while reads are answered at once, it is lost.
#[test]
fn a_write_is_lost_only_by_the_measure_of_a_read() {
    let overdue = Duration::from_millis(300);
    assert!(is_write_lost(overdue, Duration::from_millis(6)));
    assert!(!is_write_lost(overdue, Duration::from_millis(240)));
    assert!(
        !is_write_lost(Duration::from_millis(1400), Duration::from_millis(400)),
        "it may still be queued"
    );
    assert!(
        !is_write_lost(Duration::from_millis(20), Duration::from_millis(1)),
        "it isn't overdue"
    );
}
