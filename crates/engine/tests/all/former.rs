//! Tests of what a successor concludes about the former owner of a cell.

use celerythread_engine::job::{decode_extended, encode};
use celerythread_engine::lease;
use celerythread_engine::ownership::former::{
    Bound, EarlierOwners, Evidence, Predecessors, Renewal, Sending, Source, Terms, Watch,
    is_inherited, lease_expiry, lease_expiry_after_stop, renewed_by_ms,
};
use celerythread_engine::store_clock::{Reading, StoreClock};
use celerythread_engine::time::Time;
use std::time::Duration;

const CELL: &str = "svc";
const TERM: Duration = Duration::from_millis(1300);
const TERMS: Terms = Terms {
    extend_alone: Duration::from_millis(3000),
    takeover_after: TERM,
    run_lease: Duration::from_millis(4500),
};

/// The store's clock shows this much more than the successor's.
const AHEAD_MS: u64 = 70_000;

/// The token of the holder at the beginning.
const TOKEN: u64 = 40;

/// A successor that follows the control table.
struct Successor {
    watch: Watch,
    clock: StoreClock,
    now: Time,
}

impl Successor {
    /// A successor that has seen the holder `a` take the cell at 0.
    fn new() -> Self {
        let mut successor =
            Self { watch: Watch::default(), clock: StoreClock::default(), now: Time(0) };
        successor.read_clock();
        successor.watch.record_holder(CELL, "a", TOKEN, Time(0));
        successor
    }

    fn read_clock(&mut self) {
        let now_ms = self.now.0 + AHEAD_MS;
        self.clock.record(Reading { now_ms, sent: self.now, received: self.now });
    }

    fn at(&mut self, ms: u64) -> &mut Self {
        self.now = Time(ms);
        self
    }

    /// Sees the row of a renewal that states that it was sent by `sent` on the successor's clock.
    fn see(&mut self, entry: &str, version: u64, number: u64, sent: u64) {
        self.see_from(Source::Feed, entry, version, number, sent + AHEAD_MS);
    }

    fn see_from(&mut self, source: Source, entry: &str, version: u64, number: u64, by_ms: u64) {
        let renewal = Renewal { version, term: TERM, number, renewed_by_ms: by_ms };
        self.watch.record_renewal(entry, renewal, source, self.now, &self.clock);
    }

    /// The store's clock, read now.
    fn read_store_clock(&mut self) -> StoreClock {
        self.read_clock();
        self.clock
    }

    fn send(&self) -> Sending {
        Sending::new(self.now, &self.clock)
    }

    /// A read that is sent and answered now, if one is due.
    fn read_version(&mut self, version: u64) {
        let sending = self.send();
        if self.watch.is_read_due(sending) {
            self.watch.record_read(sending, version);
        }
    }

    fn evidence(&self, renewal: u64) -> Evidence {
        self.watch.evidence(CELL, TOKEN, renewal)
    }

    /// The latest time of the last renewal, on the successor's clock.
    fn renewed_by(&self, renewal: u64) -> Option<u64> {
        self.evidence(renewal).renewed_by_ms.map(|ms| ms - AHEAD_MS)
    }
}

/// Guards against waiting for jobs that were accepted after an outage of the store: their former
/// owner fell silent before it and can't have started them.
#[test]
fn jobs_stored_after_an_outage_are_not_inherited() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    // The store is away from 600 to 4400, which restarts the time of silence.
    successor.at(4_450).read_version(60);
    let evidence = successor.evidence(50);
    assert_eq!(evidence.known_version, 60);
    assert!(is_inherited(evidence.known_version, 60, false), "stored before the read");
    assert!(!is_inherited(evidence.known_version, 61, false));
}

/// Guards against running a task twice: a job stored within the holder's term may be started by it.
#[test]
fn no_version_counts_before_the_term_has_passed() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    // After the term in the row, but the holder may count by a longer one: a renewal that was sent
    // before its last one and committed after it can have put this row into the table.
    successor.at(1_900).read_version(60);
    assert_eq!(successor.evidence(50).known_version, 0);
    assert!(is_inherited(0, u64::MAX, false), "without a version all jobs are inherited");
}

/// Guards against running a task twice: the store produced the answer when it received the call,
/// and the answer took seconds, in which the holder learned of a job with a higher version.
#[test]
fn an_answer_produced_before_the_moment_does_not_count() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    let early = successor.at(3_000).send();
    successor.at(5_000).watch.record_read(early, 60);
    assert_eq!(successor.evidence(50).known_version, 0);
}

/// Guards against a bound by the renewal that the holder knows of: one that was committed but never
/// answered is later.  Its row is what other entries see, so both bounds move with it.
#[test]
fn a_renewal_that_was_committed_but_unanswered_counts() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    successor.at(4_450).read_version(60);
    successor.at(4_500).see("a", 61, 2, 4_490);
    assert_eq!(successor.evidence(61).known_version, 0, "the read was before this renewal's term");
    assert_eq!(successor.evidence(50), Evidence::default(), "the takeover would fail");
    assert!(successor.renewed_by(61).unwrap() >= 4_490);
}

/// Guards against running a task twice: a delayed transaction of an earlier renewal is committed
/// after a newer one, by which the holder counts, and states an earlier time.
#[test]
fn a_renewal_committed_late_does_not_shorten_the_wait() {
    let mut successor = Successor::new();
    successor.at(300).see("a", 50, 1, 290);
    successor.at(2_300).see("a", 58, 3, 2_290);
    successor.at(2_301).see("a", 59, 2, 600);
    assert!(successor.renewed_by(59).unwrap() >= 2_290);
}

/// Guards against the same when the newer renewal was not seen: after a full read of the table, and
/// in an entry that has begun to follow it.
#[test]
fn a_stated_time_does_not_count_if_versions_may_have_been_missed() {
    let mut successor = Successor::new();
    successor.at(300).see("a", 50, 1, 290);
    successor.at(2_300).see_from(Source::FullRead, "a", 59, 2, 600 + AHEAD_MS);
    assert!(successor.renewed_by(59).unwrap() >= 2_300, "when the row was seen");
    let mut newcomer = Successor::new();
    newcomer.at(2_300).see("a", 59, 2, 600);
    assert!(newcomer.renewed_by(59).unwrap() >= 2_300, "an earlier row may have been replaced");
}

/// Guards against waits from the end of an outage for a renewal that was committed right before it:
/// its row shows up only after the outage, but states when it was sent.
#[test]
fn a_renewal_first_seen_after_an_outage_counts_from_when_it_was_sent() {
    let mut successor = Successor::new();
    successor.at(300).see("a", 50, 1, 290);
    successor.at(4_450).read_clock();
    successor.see("a", 59, 2, 600);
    assert!(successor.renewed_by(59).unwrap() <= 700);
    successor.at(4_460).read_version(70);
    assert_eq!(successor.evidence(59).known_version, 70);
}

/// Guards against a version that an earlier read returned: the gap between reads hides a renewal
/// that is read only afterwards.
#[test]
fn a_renewal_in_a_gap_between_reads_voids_the_version() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    successor.at(4_450).read_version(60);
    // Sent in the gap; shown by a feed that answers after the read.
    successor.at(4_700).see("a", 55, 2, 4_000);
    assert_eq!(successor.evidence(55).known_version, 0);
    successor.at(5_000).read_version(66);
    assert_eq!(successor.evidence(55).known_version, 0, "too early after the second renewal");
    successor.at(8_000).read_version(80);
    assert_eq!(successor.evidence(55).known_version, 80);
}

/// Guards against running a task twice after a second takeover.  The holder renewed its row long
/// ago, but the owner before it renewed later, and learned of jobs until the takeover.
#[test]
fn a_version_read_before_the_holder_took_the_cell_does_not_count() {
    let mut successor = Successor::new();
    successor.at(500).see("b", 50, 1, 490);
    successor.at(4_000).read_version(60);
    successor.watch.record_holder(CELL, "b", TOKEN + 10, Time(4_000));
    let evidence = |successor: &Successor| successor.watch.evidence(CELL, TOKEN + 10, 50);
    let early = Sending::new(Time(4_000), &successor.clock);
    successor.watch.record_read(early, 60);
    assert_eq!(evidence(&successor).known_version, 0);
    successor.at(4_001).read_version(61);
    assert_eq!(evidence(&successor).known_version, 61);
}

/// Guards against the same for leases: those of the first owner expire after the second owner's.
#[test]
fn the_wait_covers_the_owners_before_the_former_one() {
    let clock = Successor::new().clock;
    let by = |holder, earlier| renewed_by_ms(holder, earlier, Time(9_000), &clock);
    assert_eq!(by(Some(71_000), EarlierOwners::None), 71_000);
    assert_eq!(by(Some(71_000), EarlierOwners::RenewedBy(72_500)), 72_500);
    assert_eq!(by(Some(73_000), EarlierOwners::RenewedBy(72_500)), 73_000);
    assert!(by(Some(73_000), EarlierOwners::RenewedBy(0)) >= 79_000, "before this takeover");
    assert!(by(Some(73_000), EarlierOwners::Unknown) >= 79_000, "before this takeover");
    assert!(by(None, EarlierOwners::RenewedBy(72_500)) >= 79_000);
    let unknown = StoreClock::default();
    assert_eq!(renewed_by_ms(None, EarlierOwners::None, Time(9_000), &unknown), 0);
}

/// Guards against treating the row of an older release, which doesn't state the time, as sent at
/// the time 0, long ago.
#[test]
fn a_row_without_the_time_gives_no_bound_by_the_stores_clock() {
    let mut successor = Successor::new();
    successor.at(500).see_from(Source::Feed, "a", 50, 1, 0);
    assert_eq!(successor.evidence(50).renewed_by_ms, None);
    let (_, bound) = lease_expiry(&TERMS, 0, Time(9_000), &successor.clock);
    assert_eq!(bound, Bound::Takeover);
    successor.at(9_000).read_version(60);
    assert_eq!(successor.evidence(50).known_version, 60, "by the successor's own clock");
}

/// Guards against a bound from the row of a former owner that was deleted or replaced.
#[test]
fn a_deleted_row_gives_no_evidence() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    successor.at(4_450).read_version(60);
    successor.watch.forget_entry("a");
    assert_eq!(successor.evidence(50), Evidence::default());
    assert_eq!(successor.evidence(0), Evidence::default());
}

/// Guards against evidence about another holding of the cell than the one taken over.
#[test]
fn evidence_of_another_token_does_not_count() {
    let mut successor = Successor::new();
    successor.at(500).see("a", 50, 1, 490);
    successor.at(4_450).read_version(60);
    assert_eq!(successor.watch.evidence(CELL, TOKEN + 1, 50), Evidence::default());
    assert_eq!(successor.watch.evidence("other", TOKEN, 50), Evidence::default());
}

/// Guards against a job that is started twice because its progress shows that a former owner knew it
/// although its version says that it can't have.
#[test]
fn a_job_with_progress_is_inherited() {
    assert!(is_inherited(60, 61, true));
}

/// Guards against a wait of six seconds after an outage of four: the former owner's leases are
/// almost over when its cell is taken.
#[test]
fn the_wait_counts_from_the_last_renewal() {
    let mut successor = Successor::new();
    successor.at(6_800).read_clock();
    let wait = |renewed_by, now| {
        let (expiry, bound) =
            lease_expiry(&TERMS, renewed_by + AHEAD_MS, Time(now), &successor.clock);
        (expiry.since(Time(now)), bound)
    };
    let (short, bound) = wait(500, 6_800);
    assert_eq!(bound, Bound::StoreClock);
    assert!(short < Duration::from_millis(1_600), "{short:?}");
    let (long, bound) = wait(5_500, 6_800);
    assert_eq!(bound, Bound::Takeover, "the earlier one counts");
    let today = Time(0) + (Duration::from_millis(1_700) + lease::max_duration(TERMS.run_lease));
    assert_eq!(long, today.since(Time(0)));
    assert_eq!(wait(500, 60_000).0, Duration::from_millis(1), "all leases are over");
}

/// Guards against starting too early because the former owner's clock is slow and the successor's
/// is fast: the leases last 2% longer, and the wait seems over 2% sooner.
#[test]
fn the_wait_allows_for_clock_rates() {
    let extended = TERMS.extend_alone.div_f64(0.98);
    let expired_at = extended + lease::max_duration(TERMS.run_lease);
    for passed in [1_500_u64, 3_000, 5_000] {
        // The successor's clock gains 2%; it last read the store's clock when `passed` had passed.
        let now = Time((passed as f64 * 1.02) as u64);
        let mut clock = StoreClock::default();
        clock.record(Reading { now_ms: AHEAD_MS + passed, sent: now, received: now });
        let (expiry, _) = lease_expiry(&TERMS, AHEAD_MS, now, &clock);
        let waited = expiry.since(now).div_f64(1.02);
        let passed = Duration::from_millis(passed);
        // What the takeover's bound leaves out is covered by the silence before the takeover.
        let least = expired_at.saturating_sub(passed);
        let today = Duration::from_millis(1_700) + lease::max_duration(TERMS.run_lease);
        assert!(waited >= least || expiry == now + today, "{passed:?}: {waited:?} {least:?}");
    }
}

/// Guards against a wait that ends at once because the store's clock was set back: it is behind the
/// time at which the former owner renewed.
#[test]
fn a_clock_behind_the_renewal_gives_no_bound() {
    let successor = Successor::new();
    let by_ms = AHEAD_MS + 600_000;
    let (_, bound) = lease_expiry(&TERMS, by_ms, Time(9_000), &successor.clock);
    assert_eq!(bound, Bound::Takeover);
    let mut stepped = successor.clock;
    stepped.record(Reading { now_ms: 1_000, sent: Time(9_000), received: Time(9_001) });
    let (_, bound) = lease_expiry(&TERMS, 500, Time(9_100), &stepped);
    assert_eq!(bound, Bound::Takeover, "readings before and after can't be compared");
    let none = StoreClock::default();
    assert_eq!(lease_expiry(&TERMS, 500, Time(9_100), &none).1, Bound::Takeover);
}

/// What a row states after a takeover from an owner that fell silent, with `count` owners before.
fn after_silence(count: u32, renewed_by_ms: u64) -> Predecessors {
    let earlier = EarlierOwners::None;
    Predecessors { count, is_last_stopped: false, renewed_by_ms, earlier }
}

/// What the next row states when the holder stops.
fn after_stop(row: Predecessors, is_takeover_complete: bool, now: u64) -> Predecessors {
    Predecessors {
        count: row.count + 1,
        is_last_stopped: true,
        renewed_by_ms: now + AHEAD_MS,
        earlier: row.unstopped(is_takeover_complete),
    }
}

/// Until when an owner waits that takes over at `now` from one that stopped.
fn waits_until(row: Predecessors, now: u64) -> Time {
    let clock = Successor::new().at(now).read_store_clock();
    lease_expiry_after_stop(&TERMS, row.earlier, Time(now), &clock).0
}

/// The time from an owner's last renewal after which its leases must have expired.
fn longest_silent_lease() -> Duration {
    TERMS.extend_alone.div_f64(0.98) + lease::max_duration(TERMS.run_lease)
}

/// Guards against running a task twice: a silent owner that may still extend leases is forgotten when
/// the owner after it stops before its takeover is complete, and when further ones do.
#[test]
fn the_wait_covers_silent_owners_before_owners_that_stopped() {
    let renewed = 5_000;
    let mut row = after_silence(1, renewed + AHEAD_MS);
    for handover in [6_400, 6_800, 7_500] {
        row = after_stop(row, false, handover);
        let expiry = Time(renewed) + longest_silent_lease();
        assert!(waits_until(row, handover) >= expiry, "{:?}", waits_until(row, handover));
    }
}

/// Guards against longer waits after ordinary handovers: an owner whose takeover is complete, and the
/// first owner, leave only their own leases to wait for.
#[test]
fn owners_before_a_complete_takeover_are_not_waited_for() {
    let usual = |now| Time(now) + lease::max_duration(TERMS.run_lease);
    let silent = after_silence(1, 5_000 + AHEAD_MS);
    assert_eq!(waits_until(after_stop(silent, true, 6_400), 6_400), usual(6_400));
    let first = Predecessors { count: 0, ..silent };
    assert_eq!(waits_until(after_stop(first, false, 6_400), 6_400), usual(6_400));
    let unknown = Predecessors { earlier: EarlierOwners::Unknown, ..silent };
    assert_eq!(waits_until(after_stop(unknown, true, 6_400), 6_400), usual(6_400));
    // Also if it isn't known whether the takeover was complete, once the leases are over.
    assert_eq!(waits_until(after_stop(silent, false, 12_000), 12_000), usual(12_000));
}

/// Guards against a wait that leaves out earlier owners of which nothing is known, because an older
/// release wrote the row or the store's clock is unknown: each of them had been silent for the
/// takeover time.
#[test]
fn unknown_earlier_owners_are_waited_for_from_the_takeover() {
    let unknown = after_silence(1, 0);
    assert_eq!(unknown.unstopped(false), EarlierOwners::Unknown);
    let extends = TERMS.extend_alone - TERMS.takeover_after;
    let until = waits_until(after_stop(unknown, false, 6_400), 6_400);
    assert_eq!(until, Time(6_400) + extends + lease::max_duration(TERMS.run_lease));
}

/// Guards against reading the end of an older release's row as "no earlier owners".
#[test]
fn a_row_that_ends_before_the_earlier_owners_says_nothing_of_them() {
    let older = encode(&("holder", 3_u32));
    let row: (String, u32, EarlierOwners) = decode_extended(&older).unwrap();
    assert_eq!(row.2, EarlierOwners::Unknown);
    for earlier in [EarlierOwners::None, EarlierOwners::RenewedBy(u64::MAX)] {
        let (_, _, read): (String, u32, EarlierOwners) =
            decode_extended(&encode(&("holder", 3_u32, earlier))).unwrap();
        assert_eq!(read, earlier);
    }
}
