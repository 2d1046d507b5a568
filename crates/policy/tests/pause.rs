//! A peer's silence counts only while this process itself runs.

use celerythread_policy::pause::Detector;
use celerythread_policy::time::Moment;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(2);
const TAKEOVER_AFTER: Duration = Duration::from_secs(6);

/// Guards against drains that wait for former owners without need: a wave over all minions took
/// half a minute longer than it should.  An entry resumed after a pause of seconds, took over the
/// minions of healthy peers because it hadn't heard them, and the drains waited for the requests
/// that the former owners might still have had there.
#[test]
fn a_process_that_wakes_up_takes_nobody_for_lost() {
    let mut detector = Detector::new(LIMIT);
    let heard = Moment(10_000);
    (0..=50).for_each(|n| assert!(!detector.observe(Moment(n * 200))));

    let woken = Moment(25_000);
    assert!(detector.observe(woken));
    assert!(detector.silence(heard, woken) < TAKEOVER_AFTER);
}

#[test]
fn a_peer_that_stays_silent_after_the_pause_is_lost_in_time() {
    let mut detector = Detector::new(LIMIT);
    let heard = Moment(0);
    let woken = Moment(25_000);
    detector.observe(woken);
    let later = woken + TAKEOVER_AFTER;
    (0..30).for_each(|n| assert!(!detector.observe(woken + Duration::from_millis(n * 200))));
    assert!(detector.silence(heard, later) >= TAKEOVER_AFTER);
}

#[test]
fn short_gaps_are_no_pause() {
    let mut detector = Detector::new(LIMIT);
    assert!((0..20).all(|n| !detector.observe(Moment(n * 1900))));
    assert_eq!(detector.silence(Moment(100), Moment(7100)), Duration::from_secs(7));
}
