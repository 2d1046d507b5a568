//! Expiry of leases whose deadlines are given on a minion's clock.

use celerythread_engine::cell::Incarnation;
use celerythread_engine::lease::{Answer, Grants, MinionClock, Terms, max_duration};
use celerythread_engine::time::Time;
use std::time::Duration;

const AT: Time = Time(50_000);

/// Guards against counting a lease as expired while it still holds on a slow clock.
#[test]
fn a_lease_lasts_longer_on_a_slow_clock() {
    assert!(max_duration(Duration::from_millis(4900)) >= Duration::from_millis(5000));
    let clock = MinionClock::new(1000, AT);
    assert!(clock.latest_time_of(5900) >= AT + Duration::from_millis(5000));
    assert_eq!(clock.now_ms(Time(50_020)), 1020);
}

/// Guards against a task running twice after an undetected restart: the new process shortens a
/// deadline on the former clock to the lease limit, which exceeds the requested term.
#[test]
fn a_clock_that_runs_back_belongs_to_another_process() {
    let clock = MinionClock::new(80_000, AT);
    assert!(clock.is_reset(700, Time(50_100)));
    assert!(!clock.is_reset(80_000, Time(50_100)));
    assert!(!clock.is_reset(79_990, AT), "the call was sent before the last reading arrived");
}

const TERMS: Terms = Terms { term: Duration::from_millis(4500), limit: Duration::from_secs(10) };

/// The token of an owner, and versions of the store at which it held its cell.
const TOKEN: u64 = 100;
const HELD: [u64; 2] = [140, 180];

fn answer(clock_ms: u64, token: u64, sent_ms: u64) -> Answer {
    let received = Time(sent_ms + 5);
    Answer { clock_ms, token, sent: Time(sent_ms), received, incarnation: None, age: None }
}

/// Grants on a minion whose clock has read 80 s.
fn grants(has_predecessor: bool) -> Grants {
    let mut grants = Grants::new(TERMS, TOKEN, has_predecessor);
    assert_eq!(grants.next(AT), None, "the clock is unknown");
    assert_eq!(grants.record_answer(&answer(80_000, TOKEN, 50_000)), None);
    grants
}

/// Guards against a call to the former incarnation that the next one executes after its restart was
/// noticed: leases are uncertain until a call is answered whose token that call hasn't.
#[test]
fn leases_are_uncertain_until_a_call_with_a_higher_token_is_answered() {
    let mut grants = grants(false);
    let longest = |sent_ms: u64| Some(Time(sent_ms + 5) + max_duration(TERMS.limit));
    assert_eq!(grants.record_answer(&answer(700, TOKEN, 51_000)), longest(51_000));
    assert_eq!(grants.record_answer(&answer(1700, TOKEN, 52_000)), longest(52_000));
    assert!(!grants.raise_token(TOKEN), "former calls have that token");
    assert!(grants.raise_token(HELD[0]));
    assert_eq!(grants.token(), HELD[0]);
    let overtaken = answer(2600, TOKEN, 52_900);
    assert_eq!(grants.record_answer(&overtaken), longest(52_900));
    assert_eq!(grants.record_answer(&answer(2700, HELD[0], 53_000)), longest(53_000));
    assert_eq!(grants.record_answer(&answer(3700, HELD[0], 54_000)), None);
    assert!(!grants.raise_token(HELD[1]), "the minion hasn't restarted since");
    assert_eq!(grants.record_answer(&answer(100, HELD[0], 55_000)), longest(55_000));
    assert!(grants.raise_token(HELD[1]), "it has restarted again");
}

/// Guards against a restart that isn't noticed because the first answer of the new process is to a call
/// that was sent before the last reading.
#[test]
fn a_reset_is_noticed_in_the_answer_to_an_earlier_call() {
    let mut grants = grants(false);
    assert!(grants.record_answer(&answer(30, TOKEN, 49_800)).is_some());
    let mut grants = self::grants(false);
    let overtaken = answer(79_850, TOKEN, 49_800);
    assert_eq!(grants.record_answer(&overtaken), None, "the same process, 150 ms before");
}

/// Guards against a successor that takes the leases on a recently restarted minion for its own: calls of
/// its predecessor to the former incarnation may have given longer ones.
#[test]
fn a_successor_reckons_with_the_longest_lease_on_a_recent_incarnation() {
    let first = |age_s: u64, has_predecessor: bool| {
        let mut grants = Grants::new(TERMS, TOKEN, has_predecessor);
        let age = Some(Duration::from_secs(age_s));
        grants.record_answer(&Answer { age, ..answer(2000, TOKEN, 50_000) }).is_some()
    };
    assert!(first(2, true));
    assert!(!first(2, false), "nobody made calls to it before");
    assert!(!first(60, true), "its former calls are too old");
}

/// Guards against a restart that isn't noticed because the next clock reads more than the former one did.
#[test]
fn another_incarnation_is_a_restart_whatever_its_clock_reads() {
    let incarnation = |born| Some(Incarnation(born));
    let mut grants = Grants::new(TERMS, TOKEN, false);
    let first = Answer { incarnation: incarnation(1), ..answer(80_000, TOKEN, 50_000) };
    assert_eq!(grants.record_answer(&first), None);
    let next = Answer { incarnation: incarnation(2), ..answer(80_100, TOKEN, 51_000) };
    assert!(grants.record_answer(&next).is_some());
}
