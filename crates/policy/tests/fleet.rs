//! Tests of the fleet's decisions: view, leases, ownership, availability budgets, waves, moves and
//! pool sizes.

use assert_matches::assert_matches;
use celerythread_model::config::{Document, Ratio};
use celerythread_model::fleet::{
    self, Config, Disruption, Errand, Lease, Minion, Ownership, State,
};
use celerythread_model::id;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::{Epoch, Revision, Token};
use celerythread_policy::availability::Availability;
use celerythread_policy::lease::{Action, Observer};
use celerythread_policy::movement::{self, Action as MovementAction, Facts};
use celerythread_policy::ownership::{self, Candidate};
use celerythread_policy::sizing::{Pool, Settings, Sizer};
use celerythread_policy::time::Moment;
use celerythread_policy::view::View;
use celerythread_policy::wave::{self, Target};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn row(key: &str, revision: u64, value: Option<String>) -> Row {
    Row { space: Space::Fleet, key: key.into(), revision: Revision(revision), value }
}

fn config(number: u64) -> String {
    serde_json::to_string(&Config {
        number: Revision(number),
        change: id("c"),
        author: "a".into(),
        template: format!("[workspace]\nname = n{number}\n"),
        parameters: String::new(),
    })
    .unwrap()
}

/// Guards against an entry that returns to an older configuration, because a peer that was cut off
/// relays an old row.
#[test]
fn an_older_configuration_is_never_applied() {
    let mut view = View::default();
    assert!(view.apply(&[row("config/current", 7, Some(config(2)))], Revision(7)).config);
    assert!(!view.apply(&[row("config/current", 5, Some(config(1)))], Revision(5)).config);
    assert_eq!((view.config_number(), view.upto()), (Revision(2), Revision(7)));
    assert_eq!(view.document().workspace, "n2");
}

#[test]
fn an_unreadable_configuration_leaves_the_one_in_force() {
    let mut view = View::default();
    view.apply(&[row("config/current", 1, Some(config(1)))], Revision(1));
    view.apply(&[row("config/current", 2, Some("{}".into()))], Revision(2));
    assert_eq!(view.config_number(), Revision(1));
}

proptest! {
    /// Rows may arrive late, duplicated and in any order: the view ends with the newest, and its
    /// configuration number never decreases on the way.
    #[test]
    fn rows_in_any_order_end_alike(order in prop::collection::vec(1u64..20, 1..60)) {
        let mut view = View::default();
        let mut highest = 0;
        for revision in &order {
            view.apply(&[row("config/current", *revision, Some(config(*revision)))], Revision(*revision));
            prop_assert!(view.config_number().0 >= highest);
            highest = view.config_number().0;
        }
        prop_assert_eq!(highest, *order.iter().max().unwrap());
    }
}

#[test]
fn a_deleted_row_is_relayed_and_stays_deleted() {
    let mut view = View::default();
    let minion = serde_json::to_string(&minion("m0", "s", State::Active)).unwrap();
    view.apply(&[row("minion/m0", 1, Some(minion.clone()))], Revision(1));
    view.apply(&[row("minion/m0", 3, None)], Revision(3));
    view.apply(&[row("minion/m0", 1, Some(minion))], Revision(1));
    assert!(view.minions().is_empty());
    assert_eq!(view.revision("minion/m0"), Revision(0));
    assert_eq!(view.rows_since(Revision(1)).len(), 1);
}

const TERM: Duration = Duration::from_millis(100);

/// Guards against two entries that hold the same duty at once, and so drive waves twice: the holder
/// was paused, another entry acquired the lease, and the first one resumed.
#[test]
fn a_lease_is_taken_only_after_a_whole_term_unchanged() {
    let me = id("e2");
    let held = Lease { holder: Some(id("e1")), token: Token(4), beat: 9 };
    let mut observer = Observer::default();
    let observe = |observer: &mut Observer, revision, now| {
        observer.observe(&me, Some(&held), Revision(revision), Moment(now), TERM)
    };
    assert_eq!(observe(&mut observer, 1, 0), Action::Wait);
    assert_eq!(observe(&mut observer, 1, 99), Action::Wait);
    // The lease was renewed, so the term starts again.
    assert_eq!(observe(&mut observer, 2, 100), Action::Wait);
    assert_eq!(observe(&mut observer, 2, 199), Action::Wait);
    assert_matches!(observe(&mut observer, 2, 200), Action::Acquire(lease) if lease.token == Token(5));
}

proptest! {
    /// A simulated table with conditional writes; the entries' clocks differ and pauses occur
    /// anywhere.
    #[test]
    fn tokens_only_grow_and_each_has_one_holder(
        events in prop::collection::vec((0usize..3, 0u64..80), 1..200)
    ) {
        let entries: Vec<id::Entry> = (0..3).map(|n| id(&format!("e{n}"))).collect();
        let mut observers = vec![Observer::default(); 3];
        let mut row: Option<Lease> = None;
        let mut revision = 0;
        let mut clocks = [0u64; 3];
        let mut holders: BTreeMap<u64, id::Entry> = BTreeMap::new();
        for (who, passed) in events {
            // Each entry has its own clock; a pause is a long step of it.
            clocks[who] += passed;
            let now = Moment(clocks[who]);
            let action =
                observers[who].observe(&entries[who], row.as_ref(), Revision(revision), now, TERM);
            if let Action::Renew(next) | Action::Acquire(next) = action {
                let before = row.as_ref().map_or(0, |lease| lease.token.0);
                prop_assert!(next.token.0 >= before);
                let holder = holders.entry(next.token.0).or_insert_with(|| entries[who].clone());
                prop_assert_eq!(&*holder, &entries[who]);
                row = Some(next);
                revision += 1;
            }
        }
    }
}

fn candidate(entry: &str, serves: bool, silent: bool) -> Candidate {
    Candidate { entry: id(entry), zone: id("z"), serves, silent }
}

fn minions_by_place(count: usize) -> BTreeMap<id::Minion, (id::Service, id::Zone)> {
    (0..count).map(|n| (id(&format!("m{n:03}")), (id("s"), id("z")))).collect()
}

#[test]
fn minions_are_spread_evenly_and_move_little() {
    let three: Vec<Candidate> =
        ["e0", "e1", "e2"].iter().map(|e| candidate(e, true, false)).collect();
    let chosen = ownership::assign(&minions_by_place(12), &three);
    for entry in &three {
        assert_eq!(chosen.values().filter(|owner| **owner == entry.entry).count(), 4);
    }
    // One entry leaves: the others keep most of their minions.
    let two = ownership::assign(&minions_by_place(12), &three[..2]);
    let kept = chosen.iter().filter(|(m, owner)| **owner != id("e2") && two[*m] == **owner);
    assert!(kept.count() >= 6);
    assert_eq!(two.len(), 12);
}

#[test]
fn only_silent_or_unregistered_owners_are_taken_over() {
    let owned_by = |owner: Option<&str>| Ownership {
        minion: id("m"),
        owner: owner.map(id),
        former: Default::default(),
        idle_at: None,
    };
    let me = id("e1");
    let by_id = |list: &[Candidate]| -> BTreeMap<id::Entry, Candidate> {
        list.iter().map(|c| (c.entry.clone(), c.clone())).collect()
    };
    let decide = |row: &Ownership, assigned: &str, candidates: &[Candidate]| {
        ownership::decide(&me, &id("m"), Some(row), Some(&id(assigned)), &by_id(candidates))
    };
    let both = [candidate("e1", true, false), candidate("e2", false, false)];
    let held = owned_by(Some("e2"));
    assert_eq!(decide(&held, "e1", &both), ownership::Action::Keep);
    let silent = [candidate("e1", true, false), candidate("e2", false, true)];
    let taken = decide(&held, "e1", &silent);
    assert_matches!(&taken, ownership::Action::Acquire(row) if row.former.contains(&id("e2")));
    assert_matches!(decide(&held, "e1", &silent[..1]), ownership::Action::Acquire(_));
    let free = owned_by(None);
    assert_matches!(decide(&free, "e1", &both), ownership::Action::Acquire(row) if row.former.is_empty());
    assert_eq!(decide(&free, "e2", &both), ownership::Action::Keep);
    assert_matches!(
        decide(&owned_by(Some("e1")), "e2", &both),
        ownership::Action::Release(row) if row.owner.is_none()
    );
}

fn minion(name: &str, pool: &str, state: State) -> Minion {
    Minion {
        minion: id(name),
        pool: id(pool),
        state,
        epoch: Epoch(3),
        zone: id("z"),
        rack: id("r"),
        address: "127.0.0.1:1".parse().unwrap(),
        errand: None,
        boot: 5,
    }
}

fn owned(owner: Option<&str>, former: &[&str], idle_at: Option<u64>) -> Ownership {
    Ownership {
        minion: id("m"),
        owner: owner.map(id),
        former: former.iter().map(|f| id(f)).collect(),
        idle_at: idle_at.map(Epoch),
    }
}

/// Guards against a move that goes on while work may still be on the minion or be sent to it.
#[test]
fn a_drain_is_complete_only_when_nobody_can_have_work_on_it() {
    let draining = minion("m", "s", State::Draining);
    let is_idle = |row: Option<&Ownership>, registered| {
        movement::is_idle(Facts {
            minion: &draining,
            ownership: row,
            owner_registered: registered,
            boot: Some(5),
            leaving: false,
        })
    };
    assert!(
        !is_idle(Some(&owned(Some("e1"), &[], None)), true),
        "the owner has not confirmed the drain"
    );
    assert!(
        !is_idle(Some(&owned(Some("e1"), &[], Some(2))), true),
        "the owner confirmed an earlier epoch"
    );
    assert!(!is_idle(Some(&owned(Some("e1"), &["e2"], Some(3))), true), "a former owner is left");
    assert!(!is_idle(Some(&owned(None, &["e2"], None)), false), "a former owner is left");
    assert!(is_idle(Some(&owned(Some("e1"), &[], Some(3))), true));
    assert!(is_idle(Some(&owned(Some("e1"), &[], None)), false), "the owner has ended");
    assert!(is_idle(Some(&owned(None, &[], None)), false));
}

#[test]
fn the_pool_changes_only_after_the_reboot() {
    let errand = Some(Errand { wave: None, target: id("t") });
    let mut row = movement::drain(&minion("m", "s", State::Active), errand, 5);
    let ownership = owned(None, &[], None);
    let step = |row: &Minion, boot| {
        movement::step(Facts {
            minion: row,
            ownership: Some(&ownership),
            owner_registered: false,
            boot,
            leaving: false,
        })
    };
    assert_eq!((row.state, row.pool.as_str()), (State::Draining, "s"));
    let MovementAction::Write(next) = step(&row, Some(5)) else { panic!() };
    row = next;
    assert_eq!((row.state, row.pool.as_str()), (State::Rebooting, "s"));
    assert_eq!(step(&row, Some(5)), MovementAction::Reboot(5));
    assert_eq!(step(&row, None), MovementAction::Wait);
    let MovementAction::Write(back) = step(&row, Some(6)) else { panic!() };
    assert_eq!((back.state, back.pool.as_str(), back.epoch), (State::Active, "t", Epoch(4)));
}

fn service(minions: u32, floor: u32) -> Document {
    let text = format!("[service s]\nminions = {minions}\nfloor = {floor}\n");
    Document::read(&text, "").unwrap()
}

#[test]
fn failures_use_the_budget_and_leaving_minions_never_return() {
    let document = service(5, 3);
    let mut minions: Vec<Minion> =
        (0..5).map(|n| minion(&format!("m{n}"), "s", State::Active)).collect();
    minions[0].state = State::Draining;
    minions[0].errand = Some(Errand { wave: None, target: id("s") });
    minions[1].state = State::Draining;
    let mut disruption = Disruption::default();
    disruption.out.insert(id("m0"), "move".into());
    disruption.out.insert(id("m1"), "leaving".into());
    let count = |healthy: &dyn Fn(&id::Minion) -> bool| {
        let service = document.services.values().next().unwrap();
        Availability::count(service, minions.iter(), &disruption, healthy)
    };
    let availability = count(&|_| true);
    assert_eq!(
        (availability.serving, availability.out, availability.failed, availability.spare()),
        (3, 1, 1, 0)
    );
    let availability = count(&|name| *name != id("m4"));
    assert_eq!((availability.serving, availability.failed, availability.spare()), (2, 2, 0));
}

fn availability(serving: u32, floor: u32, out: u32, rack: u32) -> Availability {
    let by_rack = BTreeMap::from([(id::<id::Rack>("r"), rack)]);
    Availability { serving, floor, out, failed: 0, by_rack }
}

#[test]
fn the_weight_trades_roll_out_time_against_buffer() {
    let service = availability(12, 8, 0, 2);
    assert_eq!(wave::max_parallel(&service, Ratio(1.0)), 4);
    assert_eq!(wave::max_parallel(&service, Ratio(0.0)), 2);
    // One minion may be out whenever the service is above its floor, and none at the floor.
    assert_eq!(wave::max_parallel(&availability(9, 8, 0, 3), Ratio(0.0)), 1);
    assert_eq!(wave::max_parallel(&availability(8, 8, 0, 3), Ratio(1.0)), 0);
}

fn target(n: usize, service: &str, rack: &str) -> Target {
    Target { minion: id(&format!("m{n:04}")), service: id(service), zone: id("z"), rack: id(rack) }
}

#[test]
fn a_started_rack_is_finished_first() {
    let targets: Vec<Target> =
        (0..8).map(|n| target(n, "s", if n < 4 { "r1" } else { "r2" })).collect();
    let services = BTreeMap::from([(id("s"), availability(8, 6, 0, 4))]);
    let chosen = wave::next_targets(&targets, &services, Ratio(1.0), &[id("r2")]);
    assert_eq!(chosen, [id("m0004"), id("m0005")]);
}

#[test]
fn a_forecast_names_the_bottleneck() {
    let mut targets: Vec<Target> = (0..9).map(|n| target(n, "s", "r")).collect();
    targets.extend((9..12).map(|n| target(n, "t", "r")));
    let services =
        BTreeMap::from([(id("s"), availability(9, 7, 0, 2)), (id("t"), availability(3, 2, 0, 1))]);
    let downtime = Duration::from_secs(60);
    let forecast = wave::forecast(&targets, &services, Ratio(1.0), downtime);
    assert_eq!((forecast.duration, forecast.parallel), (downtime * 5, 2));
    assert_eq!(forecast.bottleneck, Some(id("s")));
    let blocked =
        BTreeMap::from([(id("s"), availability(7, 7, 0, 2)), (id("t"), availability(3, 2, 0, 1))]);
    let forecast = wave::forecast(&targets, &blocked, Ratio(1.0), downtime);
    assert_eq!(forecast.blocked_service, Some(id("s")));
}

proptest! {
    /// A whole wave with failures and repairs in any order: no step takes a service below its
    /// floor, and the wave finishes once nothing fails any more.
    #[test]
    fn no_order_of_failures_makes_a_wave_break_the_floor(
        events in prop::collection::vec((0usize..12, any::<bool>()), 0..80),
        floor in 1u32..11,
        weight in 0.0..1.0f64,
    ) {
        let mut healthy = [true; 12];
        let mut out: BTreeSet<usize> = BTreeSet::new();
        let mut remaining: BTreeSet<usize> = (0..12).collect();
        let mut events = events.into_iter();
        for round in 0..200 {
            match events.next() {
                Some((which, works)) => healthy[which] = works,
                None => healthy = [true; 12],
            }
            // The minion with the lowest number of those out returns every other round.
            if round % 2 == 0 {
                out.pop_first();
            }
            let serving = (0..12).filter(|n| healthy[*n] && !out.contains(n)).count() as u32;
            let now = Availability { serving, floor, out: out.len() as u32, failed: 0,
                by_rack: BTreeMap::from([(id("r"), 3)]) };
            let targets: Vec<Target> = remaining.iter().map(|n| target(*n, "s", "r")).collect();
            let services = BTreeMap::from([(id("s"), now)]);
            let chosen = wave::next_targets(&targets, &services, Ratio(weight), &[]);
            for name in &chosen {
                let n: usize = name.as_str()[1..].parse().unwrap();
                remaining.remove(&n);
                out.insert(n);
            }
            let after = (0..12).filter(|n| healthy[*n] && !out.contains(n)).count() as u32;
            prop_assert!(chosen.is_empty() || after >= floor, "{after} serve at a floor of {floor}");
        }
        prop_assert!(remaining.is_empty(), "{remaining:?} are left");
    }
}

fn pool(service: &str, serving: u32, wanted: u32, utilisation: f64) -> Pool {
    Pool { service: id(service), serving, wanted, floor: wanted - 2, utilisation, lends: false }
}

#[test]
fn a_move_needs_a_persistent_shortage_and_a_donor() {
    let settings = Settings {
        min_shortage_duration: Duration::from_secs(60),
        cooldown: Duration::from_secs(300),
    };
    let mut sizer = Sizer::default();
    let pools = [pool("short", 6, 9, 0.9), pool("rich", 12, 9, 0.2), pool("full", 9, 9, 0.5)];
    assert_eq!(sizer.decide(&pools, Moment(0), settings), None);
    assert_eq!(sizer.decide(&pools, Moment(59_000), settings), None);
    let decided = sizer.decide(&pools, Moment(60_000), settings).unwrap();
    assert_eq!((decided.from, decided.to), (id("rich"), id("short")));
    // The next move waits for the cooldown.
    assert_eq!(sizer.decide(&pools, Moment(120_000), settings), None);
    assert!(sizer.decide(&pools, Moment(360_000), settings).is_some());
}

/// Guards against minions that move back and forth while the load oscillates around the threshold.
#[test]
fn a_brief_shortage_causes_no_move() {
    let settings =
        Settings { min_shortage_duration: Duration::from_secs(60), cooldown: Duration::ZERO };
    let mut sizer = Sizer::default();
    for n in 0..100u64 {
        let utilisation = if n % 2 == 0 { 0.95 } else { 0.5 };
        let pools = [pool("a", 9, 9, utilisation), pool("b", 12, 9, 0.1)];
        assert_eq!(sizer.decide(&pools, Moment(n * 30_000), settings), None);
    }
}

#[test]
fn no_pool_donates_below_its_floor() {
    let settings = Settings { min_shortage_duration: Duration::ZERO, cooldown: Duration::ZERO };
    let mut sizer = Sizer::default();
    let lender = Pool { lends: true, ..pool("lender", 7, 9, 0.0) };
    let pools = [pool("short", 3, 9, 1.0), lender];
    assert_eq!(sizer.decide(&pools, Moment(0), settings), None);
    let pools = [pool("short", 3, 9, 1.0), Pool { lends: true, ..pool("lender", 8, 9, 0.0) }];
    assert!(sizer.decide(&pools, Moment(0), settings).is_some());
}

#[test]
fn row_keys_have_their_prefixes() {
    assert_eq!(fleet::key::<Minion>("m"), "minion/m");
    assert_eq!(fleet::key::<Ownership>("m"), "slots/m");
}
