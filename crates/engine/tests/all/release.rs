//! Orders for machines while the store is unavailable.

use celerythread_engine::release::{
    Basis, Candidate, MAX_PERMISSION_AGE, MAX_RENEWAL_AGE, PERMISSION_TERM, Permissions, Standing,
    Unrecorded,
};
use celerythread_engine::time::Time;
use proptest::prelude::*;
use std::time::Duration;

const LEASE: Duration = Duration::from_millis(3000);

/// Time at which the owners of these tests took their cells over.
const TAKEN_OVER: Time = Time(10_000);

/// A time at which nothing of a former owner counts any more.
const LATER: Time = Time(20_000);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// An owner, and a minion that has just answered that it is empty.
fn owner() -> Permissions {
    Permissions::new(TAKEN_OVER, LEASE)
}

fn empty_minion(now: Time) -> Candidate<'static> {
    Candidate {
        minion: "i-1",
        is_empty: true,
        polled_at: now,
        answering_since: TAKEN_OVER,
        is_inherited: false,
    }
}

fn admit_and_permit(owner: &mut Permissions, token: u64, now: Time) -> bool {
    owner.admit(token) && owner.permit(&empty_minion(now), token, now)
}

/// A holder whose store has been unavailable for some seconds.
fn alone() -> Standing {
    Standing {
        is_stopped: false,
        renewal_age: ms(4000),
        outage: Some(ms(4000)),
        max_outage: ms(10_000),
    }
}

/// Guards against pools that stay without machines for as long as the store is unavailable,
/// although the holder, the owners and the platform's machine interface reach each other.
#[test]
fn machines_move_during_an_outage_of_the_store() {
    let mut owner = owner();
    assert!(admit_and_permit(&mut owner, 5, LATER));
    assert_eq!(alone().basis(), Some(Basis::Permission));
    assert_eq!(alone().may_order(false, Some(ms(20))), Some(Basis::Permission));
    // A machine whose row was written before the outage is ordered in the same way.
    assert_eq!(alone().may_order(true, Some(ms(20))), Some(Basis::Permission));
}

/// Guards against moves that are cancelled in the first second of an outage, when the holder's last
/// renewal is recent and the row couldn't be written.
#[test]
fn a_machine_without_a_row_needs_a_permission_also_after_a_recent_renewal() {
    let standing = Standing { renewal_age: ms(700), ..alone() };
    assert_eq!(standing.may_order(true, None), Some(Basis::Row));
    assert_eq!(standing.may_order(false, None), None);
    assert_eq!(standing.may_order(false, Some(ms(20))), Some(Basis::Permission));
    let store_is_back = Standing { outage: None, ..standing };
    assert_eq!(store_is_back.may_order(false, Some(ms(20))), None);
}

/// Guards against orders of a holder that can't renew although the store is available: another
/// entry may have taken the cell over.
#[test]
fn an_old_renewal_without_an_outage_permits_nothing() {
    let standing = Standing { outage: None, ..alone() };
    assert_eq!(standing.basis(), None);
    assert_eq!(standing.may_order(true, Some(ms(20))), None);
    let renewed = Standing { renewal_age: MAX_RENEWAL_AGE, ..standing };
    assert_eq!(renewed.may_order(true, None), Some(Basis::Row));
}

/// Guards against orders of a holder that has been stopped or has lost its cell.
#[test]
fn a_stopped_holder_orders_nothing() {
    let stopped = Standing { is_stopped: true, ..alone() };
    assert_eq!(stopped.basis(), None);
    assert_eq!(stopped.may_order(true, Some(ms(0))), None);
    let renewed = Standing { renewal_age: ms(100), outage: None, ..stopped };
    assert_eq!(renewed.may_order(true, None), None);
    assert!(!stopped.is_alone());
}

/// Guards against an order by a permission that has expired at the owner, which may have started
/// tasks on the minion or reported it to another holder since.
#[test]
fn a_permission_that_is_too_old_is_not_used() {
    assert_eq!(alone().may_order(false, None), None);
    let just = MAX_PERMISSION_AGE + ms(1);
    assert_eq!(alone().may_order(false, Some(MAX_PERMISSION_AGE)), Some(Basis::Permission));
    assert_eq!(alone().may_order(false, Some(just)), None);
    assert!(MAX_PERMISSION_AGE < PERMISSION_TERM, "time is left for the order's transit");
}

/// Guards against a holder that moves machines for minutes without the store, by an old view of
/// everything else, and against orders without the store where the setting is off.
#[test]
fn orders_without_the_store_end_with_the_bound_of_the_outage() {
    let before = Standing { outage: Some(ms(9999)), ..alone() };
    assert_eq!(before.basis(), Some(Basis::Permission));
    let after = Standing { outage: Some(ms(10_000)), ..alone() };
    assert_eq!((after.basis(), after.may_order(false, Some(ms(0)))), (None, None));
    let off = Standing { outage: Some(ms(0)), max_outage: ms(0), ..alone() };
    assert_eq!((off.basis(), off.may_order(false, Some(ms(0)))), (None, None));
}

/// Guards against orders of two holders for one machine: the former one was isolated from the
/// store, and its successor asks the same owner.
#[test]
fn two_holders_never_both_have_a_permission() {
    let mut owner = owner();
    assert!(admit_and_permit(&mut owner, 5, LATER));
    // The successor must wait until the order of its predecessor and its lease are over.
    let exclusion = PERMISSION_TERM + LEASE;
    for after in [ms(0), ms(999), PERMISSION_TERM, exclusion - ms(1)] {
        let now = LATER + after;
        assert!(!admit_and_permit(&mut owner, 6, now), "{after:?}");
        assert!(!owner.may_report(&empty_minion(now), Some(6), now), "{after:?}");
        assert!(!owner.may_report(&empty_minion(now), None, now), "{after:?}");
    }
    assert!(owner.may_report(&empty_minion(LATER), Some(5), LATER), "it knows of its own order");
    let later = LATER + exclusion;
    assert!(owner.may_report(&empty_minion(later), None, later));
    assert!(admit_and_permit(&mut owner, 6, later));
}

/// Guards against permissions for a holder that has been replaced: once the owner knows a higher
/// token, it refuses the lower one, also for other minions.
#[test]
fn a_lower_token_is_refused() {
    let mut owner = owner();
    assert!(admit_and_permit(&mut owner, 5, LATER));
    assert!(owner.admit(6));
    assert!(!owner.admit(5));
    let other = Candidate { minion: "i-2", ..empty_minion(LATER) };
    assert!(!owner.permit(&other, 5, LATER), "not even without asking first");
    assert!(owner.permit(&other, 6, LATER));
}

/// Guards against a permission of a new owner while one of its predecessor may still be used.
#[test]
fn an_owner_permits_nothing_right_after_its_takeover() {
    for after in [0, 500, 999] {
        assert!(!admit_and_permit(&mut owner(), 5, TAKEN_OVER + ms(after)), "{after} ms");
    }
    assert!(admit_and_permit(&mut owner(), 5, TAKEN_OVER + PERMISSION_TERM));
}

/// Guards against orders of two holders by way of two owners.  A former owner that is isolated from
/// the store doesn't know of its successor, and permits until the minion answers the successor.
/// Until its last permission has expired, the successor neither permits nor reports.
#[test]
fn a_minion_of_the_former_owner_is_reported_only_after_its_permissions() {
    let inherited =
        |now: Time| Candidate { answering_since: LATER, is_inherited: true, ..empty_minion(now) };
    let mut owner = owner();
    for after in [0, 1000, 1599] {
        let now = LATER + ms(after);
        assert!(!owner.may_report(&inherited(now), None, now), "{after} ms");
        assert!(owner.admit(5) && !owner.permit(&inherited(now), 5, now), "{after} ms");
    }
    let now = LATER + ms(1600);
    assert!(owner.may_report(&inherited(now), None, now));
    assert!(owner.permit(&inherited(now), 5, now));
}

/// Guards against a permission for a minion on which something runs, or which has not answered
/// recently: it may obey another owner by now.
#[test]
fn a_permission_needs_a_recent_answer_of_an_empty_minion() {
    let mut owner = owner();
    assert!(owner.admit(5));
    let busy = Candidate { is_empty: false, ..empty_minion(LATER) };
    assert!(!owner.permit(&busy, 5, LATER));
    let silent = Candidate { polled_at: LATER - ms(501), ..empty_minion(LATER) };
    assert!(!owner.permit(&silent, 5, LATER));
    let recent = Candidate { polled_at: LATER - ms(500), ..empty_minion(LATER) };
    assert!(owner.permit(&recent, 5, LATER));
}

/// Guards against a successor that doesn't learn which machines were ordered without the store.
/// Their rows are written by a holder that has renewed since, before it plans anything else.
#[test]
fn rows_are_written_after_an_outage_before_further_planning() {
    let mut unrecorded = Unrecorded::default();
    for machine in ["ordered", "pending", "cancelled"] {
        unrecorded.insert(machine.to_owned(), machine);
    }
    unrecorded.record_order("ordered", Time(5000));
    unrecorded.record_order("with a row", Time(5500));
    for machine in ["ordered", "cancelled"] {
        unrecorded.cancel(machine);
    }
    assert!(unrecorded.has_orders(), "an order can't be cancelled");
    let targets: Vec<&str> = unrecorded.targets().copied().collect();
    assert_eq!(targets, ["ordered", "pending"]);
    // A renewal from before the order doesn't show that this holder still held the cell.
    assert!(!unrecorded.may_record(Time(5000)));
    assert!(unrecorded.may_record(Time(5001)));
    unrecorded.record_rows(["ordered".to_owned()].iter());
    assert!(!unrecorded.has_orders() && !unrecorded.is_empty());
    unrecorded.record_rows(["pending".to_owned()].iter());
    assert!(unrecorded.is_empty() && unrecorded.may_record(Time(0)));
}

/// Guards against rows for machines that the platform certainly didn't move.
#[test]
fn a_refused_order_needs_no_row() {
    let mut unrecorded = Unrecorded::default();
    unrecorded.insert("m-1".to_owned(), ());
    unrecorded.record_order("m-1", Time(5000));
    unrecorded.revert_order("m-1");
    assert!(!unrecorded.has_orders() && unrecorded.contains("m-1"));
    unrecorded.cancel("m-1");
    assert!(unrecorded.is_empty());
}

/// One question of a holder to an owner.
#[derive(Clone, Copy, Debug)]
struct Ask {
    /// Time since the one before.
    after_ms: u64,
    token: u64,
    owner: usize,
    /// Time from the request to the sending of the order, and from there to its end.
    order_ms: (u64, u64),
}

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    begin: Time,
    end: Time,
    token: u64,
    owner: usize,
}

fn asks() -> impl Strategy<Value = Vec<Ask>> {
    let ask = (0_u64..900, 1_u64..4, 0_usize..2, 0_u64..700, 0_u64..1200);
    let ask = ask.prop_map(|(after_ms, token, owner, wait, transit)| Ask {
        after_ms,
        token,
        owner,
        order_ms: (wait, transit),
    });
    prop::collection::vec(ask, 1..60)
}

proptest! {
    /// Guards against orders for one machine from two holders that overlap or are out of order of
    /// their tokens, and against two within the lease by one owner's permissions, whatever the order
    /// of the holders' questions.  Two owners of the cell answer them: the second takes over at some
    /// moment without the first one's knowledge, and the minion obeys the first until it answers the
    /// second.
    #[test]
    fn orders_of_two_holders_are_at_least_the_lease_apart(
        asks in asks(),
        taken_over_ms in 0_u64..20_000,
        answers_after_ms in 0_u64..3000,
    ) {
        let taken_over = LATER + ms(taken_over_ms);
        let answers_second = taken_over + ms(answers_after_ms);
        let mut owners = [owner(), Permissions::new(taken_over, LEASE)];
        let mut orders: Vec<Ordered> = Vec::new();
        let mut now = LATER;
        for ask in asks {
            now = now + ms(ask.after_ms);
            let is_second = ask.owner == 1;
            if is_second && now < answers_second {
                continue;
            }
            // The minion refuses the first owner from its answer to the second one on.
            let polled_at = if is_second { now } else { Time(now.0.min(answers_second.0)) };
            let candidate = Candidate {
                minion: "i-1",
                is_empty: true,
                polled_at,
                answering_since: if is_second { answers_second } else { TAKEN_OVER },
                is_inherited: is_second,
            };
            let permissions = &mut owners[ask.owner];
            if !permissions.admit(ask.token) || !permissions.permit(&candidate, ask.token, now) {
                continue;
            }
            let (wait, transit) = (ms(ask.order_ms.0), ms(ask.order_ms.1));
            if alone().may_order(false, Some(wait)).is_some() {
                let end = now + PERMISSION_TERM.min(wait + transit);
                orders.push(Ordered { begin: now + wait, end, token: ask.token, owner: ask.owner });
            }
        }
        orders.sort_by_key(|order| order.begin);
        for (index, first) in orders.iter().enumerate() {
            let later = &orders[index + 1..];
            for second in later.iter().filter(|second| second.token != first.token) {
                prop_assert!(first.end <= second.begin, "{first:?} and {second:?} overlap");
                if first.owner == second.owner {
                    prop_assert!(second.begin.since(first.end) >= LEASE, "{first:?}, {second:?}");
                    prop_assert!(first.token < second.token, "{first:?}, {second:?}");
                }
            }
        }
    }
}
