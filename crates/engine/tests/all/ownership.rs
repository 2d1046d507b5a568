//! Ownership of cells.

use assert_matches::assert_matches;
use celerythread_engine::ownership::{
    Decision, Entry, Holding, Settings, decide, rank, record_read, renewal_interval, reread_delay,
    successor, term, with_missing_holder,
};
use celerythread_engine::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const TERM: Duration = Duration::from_millis(2500);

fn entries(now: u64, silent: &[&str], names: &[&str]) -> BTreeMap<String, Entry> {
    let entry = |name: &&str| {
        let last_renewal = if silent.contains(name) { Time(0) } else { Time(now) };
        let entry = Entry {
            version: 7,
            last_renewal,
            first_seen: Time(0),
            term: TERM,
            stopping: false,
            millicores: 250,
            is_outdated: false,
        };
        (name.to_string(), entry)
    };
    names.iter().map(entry).collect()
}

fn decision(
    me: &str,
    holder: Option<&str>,
    entries: &BTreeMap<String, Entry>,
    now: u64,
) -> Decision {
    let holding = holder.map(|holder| Holding { holder: holder.into(), version: 3 });
    let owned = BTreeMap::new();
    decide("cell", me, holding.as_ref(), entries, &owned, Time(now), &Settings::default())
}

#[test]
fn a_living_holder_keeps_its_cell() {
    let entries = entries(10_000, &[], &["a", "b"]);
    assert_eq!(decision("a", Some("b"), &entries, 11_000), Decision::Decline);
    assert_eq!(decision("b", Some("b"), &entries, 11_000), Decision::Own);
}

/// The takeover requires the silent holder's row to be unchanged, so a holder that renews at the
/// last moment keeps its cell.
#[test]
fn a_silent_holder_is_replaced_on_condition_that_it_stays_silent() {
    let entries = entries(10_000, &["b"], &["a", "b"]);
    let taken = decision("a", Some("b"), &entries, 10_000);
    assert_eq!(taken, Decision::TakeOver { cell_version: 3, former: Some(("b".into(), 7)) });
}

/// Guards against taking a cell from a live holder whose row has not been read yet: it may have
/// become a member while the table was read.
#[test]
fn a_holder_without_a_row_is_replaced_at_once_on_condition_that_it_has_none() {
    let entries = entries(10_000, &[], &["a"]);
    let taken = decision("a", Some("b"), &entries, 10_000);
    assert_eq!(taken, Decision::TakeOver { cell_version: 3, former: Some(("b".into(), 0)) });
}

#[test]
fn only_the_first_candidate_takes_a_vacant_cell() {
    let entries = entries(10_000, &[], &["a", "b", "c"]);
    let takers = ["a", "b", "c"]
        .iter()
        .filter(|me| matches!(decision(me, None, &entries, 10_000), Decision::TakeOver { .. }))
        .count();
    assert_eq!(takers, 1);
}

#[test]
fn a_cell_is_handed_to_a_living_entry_that_stays() {
    let mut entries = entries(10_000, &["b"], &["a", "b", "c", "d"]);
    entries.get_mut("c").unwrap().stopping = true;
    let owned = BTreeMap::new();
    let to = successor("cell", "a", &entries, &owned, Time(10_000));
    assert_eq!(to.as_deref(), Some("d"));
}

#[test]
fn cells_spread_over_entries() {
    let names: Vec<String> = (0..9).map(|number| format!("entry-{number}")).collect();
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    for cell in 0..900 {
        let cell = format!("cell-{cell}");
        let first = names.iter().min_by_key(|name| rank(&cell, name)).unwrap();
        *held.entry(first).or_default() += 1;
    }
    assert_eq!(held.len(), 9);
    assert!(held.values().all(|count| (60..150).contains(count)), "{held:?}");
}

/// During a rolling restart, a cell handed to an entry that is yet to be restarted changes owners
/// again, each time with a pause.
#[test]
fn a_cell_is_handed_to_the_entry_that_started_last() {
    let mut entries = entries(10_000, &[], &["a", "b", "c", "d"]);
    entries.get_mut("b").unwrap().first_seen = Time(9_000);
    let owned = BTreeMap::new();
    let to = successor("cell", "a", &entries, &owned, Time(10_000));
    assert_eq!(to.as_deref(), Some("b"));
}

/// Entries differ in their share of a processor; on the smallest, a cell gets too little of it.
#[test]
fn the_largest_entry_is_the_first_candidate() {
    let mut entries = entries(10_000, &[], &["a", "b", "c", "d"]);
    entries.get_mut("c").unwrap().millicores = 500;
    let takes =
        |me: &str| matches!(decision(me, None, &entries, 10_000), Decision::TakeOver { .. });
    assert!(takes("c") && !takes("a") && !takes("b") && !takes("d"));
}

/// A store that is a hundred times slower than usual needs 0.8 s for a renewal.  With a term that
/// suits its usual speed, cells would keep changing owners, and no tasks would be started.
#[test]
fn the_term_follows_the_renewals() {
    let least = Duration::from_millis(1300);
    let pause = Duration::from_millis(300);
    let after = |renewal| term(least, pause, renewal);
    let usual = after(Duration::from_millis(10));
    assert!(usual < least + Duration::from_millis(50), "a lost entry is noticed soon");
    let slow = Duration::from_millis(800);
    assert!(after(slow) > least + slow, "the next renewal and the read of it fit in");
    assert_eq!(after(Duration::from_secs(60)), after(Duration::from_secs(6)));
}

/// The term is taken from the holder's row.
#[test]
fn a_longer_term_delays_the_takeover() {
    let mut entries = entries(10_000, &["b"], &["a", "b"]);
    entries.get_mut("b").unwrap().term = Duration::from_millis(10_500);
    assert_eq!(decision("a", Some("b"), &entries, 10_000), Decision::Decline);
    assert_matches!(decision("a", Some("b"), &entries, 10_500), Decision::TakeOver { .. });
}

/// Guards against takeovers from live holders after a store outage of two seconds: the rows are
/// older than the term, because no entry could renew them, and are read before their holders renew
/// them.
#[test]
fn an_outage_of_the_store_is_nobodys_silence() {
    let mut entries = entries(10_000, &[], &["a", "b"]);
    let (before, after) = (Time(10_000), Time(12_600));
    record_read(&mut entries, before, after);
    assert_eq!(decision("a", Some("b"), &entries, after.0), Decision::Decline);
    let later = after + TERM;
    record_read(&mut entries, Time(later.0 - 600), later);
    assert_matches!(
        decision("a", Some("b"), &entries, later.0),
        Decision::TakeOver { .. },
        "it is lost"
    );
}

/// Every entry reads the renewals of all others.  At a fixed interval the traffic would grow with
/// the square of their number, beyond what an instance may spend on control.
#[test]
fn many_entries_renew_less_often_and_have_longer_terms() {
    let least = Duration::from_millis(300);
    assert_eq!(renewal_interval(least, 9, 5, false), least);
    assert_eq!(renewal_interval(least, 28, 5, false), Duration::from_millis(504));
    let pause = renewal_interval(least, 100, 5, false);
    assert!(term(Duration::from_millis(1300), pause, Duration::ZERO) >= pause * 3);
}

/// The owner of a large cell is lost while each large entry holds a cell.  An entry with an eighth
/// of a core must not take it over just because it has none: it would poll too few of the minions
/// in time, learn of jobs seconds late, and its callers would be told that jobs wait which it
/// doesn't count.
#[test]
fn a_strong_instance_with_a_cell_goes_before_a_weak_one_without() {
    let mut entries = entries(10_000, &[], &["strong", "weak"]);
    entries.get_mut("strong").unwrap().millicores = 500;
    entries.get_mut("weak").unwrap().millicores = 120;
    let take = |me: &str, cells: usize| {
        let owned = BTreeMap::from([("strong".to_owned(), cells)]);
        let decision =
            decide("cell", me, None, &entries, &owned, Time(10_000), &Settings::default());
        matches!(decision, Decision::TakeOver { .. })
    };
    assert!(take("strong", 1) && !take("weak", 1));
    assert!(take("strong", 3) && !take("weak", 3), "four on half a core: eight for each core");
    assert!(take("weak", 4) && !take("strong", 4), "ten for each core against eight");
}

/// One of 147 entries holds a cell and is disconnected.  If its term were as long as that of
/// entries without cells, its cell would stall for eight seconds.
#[test]
fn a_holder_among_many_entries_is_missed_as_soon_as_among_few() {
    let least = Duration::from_millis(300);
    let taken = Duration::from_millis(1300);
    let few = term(taken, renewal_interval(least, 9, 5, true), Duration::ZERO);
    let many = term(taken, renewal_interval(least, 147, 5, true), Duration::ZERO);
    assert_eq!(few, many);
    assert_eq!(
        renewal_interval(least, 147, 31, true),
        Duration::from_millis(558),
        "by the number of cells"
    );
}

/// An availability zone is disconnected with the holder of a cell and thirty entries without one,
/// which renew rarely and still count as alive.  Each of them that precedes a reachable entry would
/// delay the takeover.
#[test]
fn entries_seen_since_the_holder_come_before_those_that_may_be_cut_off_with_it() {
    let names = ["a", "b", "c", "d", "e", "f", "holder"];
    let mut entries = entries(9000, &[], &names);
    let living = "d";
    let others = names.iter().filter(|name| **name != "holder");
    assert_eq!(others.filter(|name| rank("cell", name) < rank("cell", living)).count(), 3);
    for (name, entry) in &mut entries {
        entry.last_renewal = if name == living { Time(9000) } else { Time(8000) };
    }
    entries.get_mut("holder").unwrap().term = Duration::from_millis(1300);
    let decision = decision(living, Some("holder"), &entries, 9310);
    assert_matches!(decision, Decision::TakeOver { .. }, "at once, whatever its rank");
}

/// The store loses its history while 147 entries follow the table.  If all reread it at once, with
/// a call for each row, most calls would be refused by the rate limit and repeated, and no entry
/// would get updates any more.
#[test]
fn rereads_keep_within_the_stores_rate_limit() {
    for (entries, calls_a_second) in [(9, 2000), (41, 6000), (147, 16_000)] {
        let draws = (0..=100).map(|draw| reread_delay(entries, f64::from(draw) / 100.0));
        let mean = draws.sum::<Duration>().as_secs_f64() / 101.0;
        let calls = (entries * entries) as f64 / mean;
        assert!(calls <= f64::from(calls_a_second) / 2.0, "{calls} calls a second of {entries}");
    }
    assert!(reread_delay(9, 1.0) <= Duration::from_millis(400), "few entries reread soon");
}

/// Guards against a cell that stays without an owner because the first candidate is the row of an
/// entry that is gone: after all entries had lost power, new ones waited for a whole term.
#[test]
fn a_stale_row_does_not_hold_up_the_takeover_of_a_holder_without_a_row() {
    let stale = ["b", "c", "d"].into_iter().find(|name| rank("cell", name) < rank("cell", "a"));
    let stale = stale.expect("an entry that ranks before a");
    let present = entries(10_000, &[], &["a", stale]);
    assert_eq!(decision("a", Some("gone"), &present, 10_100), Decision::Decline);
    let with_holder = with_missing_holder(&present, "gone", Time(10_000));
    let taken = decision("a", Some("gone"), &with_holder, 10_100);
    let former = Some(("gone".to_owned(), 0));
    assert_eq!(taken, Decision::TakeOver { cell_version: 3, former }, "on condition of no row");
}

/// Guards against all entries trying to take a vacant cell at once: one that has renewed its row
/// since the vacancy was seen, and ranks first, goes first.
#[test]
fn candidates_that_renewed_since_the_vacancy_take_their_turn() {
    let first = ["b", "c", "d"].into_iter().find(|name| rank("cell", name) < rank("cell", "a"));
    let first = first.expect("an entry that ranks before a");
    let present = entries(10_100, &[], &["a", first]);
    let with_holder = with_missing_holder(&present, "gone", Time(10_000));
    assert_eq!(decision("a", Some("gone"), &with_holder, 10_200), Decision::Decline);
    assert_matches!(decision(first, Some("gone"), &with_holder, 10_200), Decision::TakeOver { .. });
    let stagger = Settings::default().stagger.as_millis() as u64;
    let later = decision("a", Some("gone"), &with_holder, 10_000 + stagger);
    assert_matches!(later, Decision::TakeOver { .. });
}

/// Guards against a small entry that takes the cell of a busy service because it notices first that
/// the holder has no row: the stronger entries have not renewed theirs since.
#[test]
fn a_small_entry_leaves_the_cell_of_a_holder_without_a_row_to_a_stronger_one() {
    let mut present = entries(10_000, &[], &["small", "strong"]);
    present.get_mut("small").unwrap().millicores = 120;
    present.get_mut("strong").unwrap().millicores = 500;
    let owned = BTreeMap::from([("strong".to_owned(), 2)]);
    let decision = |me, entries: &_, now| {
        let holding = Holding { holder: "gone".into(), version: 3 };
        decide("cell", me, Some(&holding), entries, &owned, Time(now), &Settings::default())
    };
    let noticed = with_missing_holder(&present, "gone", Time(10_000));
    assert_eq!(decision("small", &noticed, 10_000), Decision::Decline);
    assert_matches!(decision("strong", &noticed, 10_000), Decision::TakeOver { .. });
    let stagger = Settings::default().stagger.as_millis() as u64;
    let later = decision("small", &noticed, 10_000 + stagger);
    assert_matches!(later, Decision::TakeOver { .. }, "it takes the cell if nobody else does");
    // A row that was old already when it was first read delays nobody.
    present.get_mut("strong").unwrap().is_outdated = true;
    let noticed = with_missing_holder(&present, "gone", Time(10_000));
    assert_matches!(decision("small", &noticed, 10_000), Decision::TakeOver { .. });
}
