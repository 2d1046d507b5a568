//! Standby entries of availability zones.

use celerythread_engine::ownership::Entry;
use celerythread_engine::ownership::standby::{
    Candidate, Claims, Decision, Listing, MemberCheck, Occupied, SLOTS_PER_ZONE, is_deletion_due,
};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

type Slots = [Option<Listing>; SLOTS_PER_ZONE];

const VACANT: Slots = [const { None }; SLOTS_PER_ZONE];

fn candidate(id: &str, millicores: u32) -> Candidate<'_> {
    Candidate { id, millicores, is_unavailable: false }
}

fn listing(entry: &str, millicores: u32, version: u64) -> Option<Listing> {
    Some(Listing { entry: entry.into(), millicores, version, is_former: false })
}

/// The decision of an entry that has known the slots for long enough.
fn settled(me: Candidate<'_>, slots: &Slots) -> Decision {
    let mut claims = Claims::default();
    claims.decide(me, slots, Time(0), || 0.5);
    claims.decide(me, slots, Time(60_000), || 0.5)
}

/// A zone whose entries all see the slots a time after they change.
struct Zone {
    slots: Slots,
    /// The slots as entries see them, with the times from which on they do.
    seen: Vec<(u64, Slots)>,
    version: u64,
    attempts: usize,
}

impl Zone {
    const FEED_DELAY_MS: u64 = 250;
    /// Time after a claim before its entry decides again.
    const WRITE_INTERVAL_MS: u64 = 300;

    fn seen_at(&self, now: u64) -> Slots {
        let seen = self.seen.iter().rev().find(|(from, _)| *from <= now);
        seen.map_or(VACANT, |(_, slots)| slots.clone())
    }

    fn claim(&mut self, id: &str, slot: usize, version: u64, now: u64) {
        self.attempts += 1;
        if self.slots[slot].as_ref().map_or(0, |listing| listing.version) == version {
            self.version += 1;
            self.slots[slot] = listing(id, 120, self.version);
            self.seen.push((now + Self::FEED_DELAY_MS, self.slots.clone()));
        }
    }
}

/// Attempts to claim a slot until both slots of a zone with `entries` equal entries are occupied.
fn attempts_until_occupied(entries: usize) -> usize {
    let ids: Vec<String> = (0..entries).map(|number| format!("entry-{number}")).collect();
    let mut claims: Vec<Claims> = ids.iter().map(|_| Claims::default()).collect();
    let mut zone = Zone { slots: VACANT, seen: Vec::new(), version: 0, attempts: 0 };
    // Evenly distributed draws in an arbitrary order.
    let draw = |entry: usize| (entry * 7919 % entries) as f64 / entries as f64;
    let mut decides_from = vec![0; entries];
    for now in (0..6_000).step_by(10) {
        let seen = zone.seen_at(now);
        for entry in 0..entries {
            if decides_from[entry] > now {
                continue;
            }
            let me = candidate(&ids[entry], 120);
            let decision = claims[entry].decide(me, &seen, Time(now), || draw(entry));
            if let Decision::Claim { slot, version } = decision {
                zone.claim(&ids[entry], slot, version, now);
                decides_from[entry] = now + Zone::WRITE_INTERVAL_MS;
            }
        }
    }
    assert!(zone.slots.iter().all(Option::is_some));
    zone.attempts
}

/// Guards against claims by all entries at once when a fleet starts.
#[test]
fn claims_grow_no_faster_than_the_fleet() {
    let (few, many) = (attempts_until_occupied(120), attempts_until_occupied(240));
    assert!(few < 120 / 3, "{few} attempts of 120 entries");
    assert!(many <= few * 5 / 2, "{few} attempts of 120 entries, {many} of 240");
}

#[test]
fn an_idle_entry_claims_a_vacant_slot_only() {
    let slots = [listing("a", 250, 7), None];
    assert_eq!(settled(candidate("b", 250), &slots), Decision::Claim { slot: 1, version: 0 });
    let slots = [listing("a", 250, 7), listing("c", 250, 8)];
    assert_eq!(settled(candidate("b", 250), &slots), Decision::None { check_after: None });
}

/// Guards against a cell on an instance that is too small for it while larger ones are idle.
#[test]
fn a_larger_entry_replaces_a_smaller_standby() {
    let slots = [listing("a", 120, 7), listing("c", 1000, 8)];
    assert_eq!(settled(candidate("b", 1000), &slots), Decision::Claim { slot: 0, version: 7 });
    assert_eq!(settled(candidate("b", 200), &slots), Decision::None { check_after: None });
}

/// Guards against a holder's loss with no free standby left in its zone.
#[test]
fn a_holder_gives_its_slot_up() {
    let slots = [listing("a", 250, 7), None];
    let holder = Candidate { is_unavailable: true, ..candidate("a", 250) };
    assert_eq!(settled(holder, &slots), Decision::Release { slot: 0, version: 7 });
    assert_eq!(settled(candidate("a", 250), &slots), Decision::None { check_after: None });
}

#[test]
fn an_entry_keeps_one_slot_only() {
    let slots = [listing("a", 250, 7), listing("a", 250, 9)];
    assert_eq!(settled(candidate("a", 250), &slots), Decision::Release { slot: 1, version: 9 });
}

/// Guards against a pause after all processes of a fleet were killed.
#[test]
fn the_next_process_of_a_standby_takes_its_slot_at_once() {
    let former = listing("a.1", 250, 7).map(|listing| Listing { is_former: true, ..listing });
    let slots = [listing("c", 250, 6), former];
    let decision = Claims::default().decide(candidate("a.2", 250), &slots, Time(0), || 1.0);
    assert_eq!(decision, Decision::Claim { slot: 1, version: 7 });
}

/// Guards against all members deleting a slot at once, and against a slot that stays with an entry
/// that is lost.
#[test]
fn the_slot_of_a_silent_standby_is_deleted_by_one_member_first() {
    let entry = |last_renewal| Entry {
        version: 3,
        last_renewal: Time(last_renewal),
        first_seen: Time(0),
        term: Duration::from_millis(1300),
        stopping: false,
        millicores: 250,
        is_outdated: false,
    };
    let mut entries = BTreeMap::from([("lost".to_owned(), entry(10_000))]);
    for member in ["a", "b", "c"] {
        entries.insert(member.into(), entry(11_500));
    }
    let occupied = Occupied { slot: "slot", entry: "lost", listed_at: Time(0) };
    let deleting = |entries: &BTreeMap<String, Entry>, now| {
        let due = |me: &&str| is_deletion_due(occupied, me, entries, Time(now));
        ["a", "b", "c", "lost", "idle"].iter().filter(|me| due(me)).count()
    };
    let by_time = [11_299, 11_300, 11_599, 11_600, 11_900].map(|now| deleting(&entries, now));
    assert_eq!(by_time, [0, 1, 1, 2, 3]);
    entries.remove("lost");
    let listed = Occupied { listed_at: Time(11_000), ..occupied };
    let unlisted =
        |now| ["a", "b", "c"].iter().any(|me| is_deletion_due(listed, me, &entries, Time(now)));
    assert!(!unlisted(11_999) && unlisted(12_000));
}

/// Guards against a fleet without members, after all of them were lost at once.
#[test]
fn an_idle_entry_notices_that_its_member_is_lost() {
    let mut check = MemberCheck::new(Time(0), 0.5);
    assert_eq!(check.due_in(Time(4_000)), Duration::from_secs(6));
    assert!(!check.record("m", 7, Time(10_000)));
    assert!(!check.record("m", 9, Time(20_000)), "it has renewed");
    assert!(check.record("m", 9, Time(30_000)));
}

/// Guards against a replacement of members that live, after a single call without an answer.
#[test]
fn a_suspicion_is_checked_soon_and_needs_two_equal_reads() {
    let mut check = MemberCheck::new(Time(0), 0.5);
    check.suspect();
    assert_eq!(check.due_in(Time(1_000)), Duration::from_millis(500));
    assert!(!check.record("m", 7, Time(1_500)));
    assert_eq!(check.due_in(Time(1_500)), Duration::from_millis(1500));
    assert!(!check.record("m", 8, Time(3_000)));
    assert_eq!(check.due_in(Time(3_000)), Duration::from_secs(10), "the suspicion is dropped");
}

/// Guards against an entry that the store turns away and that reads a member's row in a loop without
/// a pause, and against members taken for lost after an outage in which they could not renew.
#[test]
fn a_check_that_reads_nothing_is_repeated_later_and_proves_nothing() {
    let mut check = MemberCheck::new(Time(0), 0.5);
    assert!(!check.record("m", 7, Time(10_000)));
    assert_eq!(check.due_in(Time(20_000)), Duration::ZERO);
    check.record_unread(Time(20_000));
    assert_eq!(check.due_in(Time(20_000)), Duration::from_secs(10));
    assert!(!check.record("m", 7, Time(30_000)));
    assert!(check.record("m", 7, Time(40_000)));
}
