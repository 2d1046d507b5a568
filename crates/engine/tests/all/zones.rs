//! Availability zones of a cell's minions.

use crate::fixture::{Harness, definition, starts, step};
use celerythread_engine::cell::{Cell, MinionId, Report, Settings};
use celerythread_engine::time::Time;
use std::collections::BTreeSet;

const ZONES: [&str; 3] = ["north", "south", "west"];

const MINIONS_PER_ZONE: usize = 6;

/// A cell with minions in three zones; their numbers, modulo three, are those of the zones.
fn cell() -> Harness {
    with_minions(Harness::new(0))
}

fn with_minions(mut harness: Harness) -> Harness {
    for number in 0..ZONES.len() * MINIONS_PER_ZONE {
        harness.add_minion_in(number, ZONES[number % ZONES.len()]);
    }
    harness
}

fn zone(minion: &MinionId) -> &'static str {
    let number: usize = minion.rsplit_once('-').unwrap().1.parse().unwrap();
    ZONES[number % ZONES.len()]
}

/// The zones in which tasks of a job are started now.
fn zones_of_job(harness: &mut Harness, job: u8, tasks: u32) -> BTreeSet<&'static str> {
    harness.submit(job, definition(vec![step(tasks)]));
    starts(&harness.plan()).iter().map(|(minion, ..)| zone(minion)).collect()
}

/// Guards against starts on the idle minions of a zone that was disconnected: each is found silent
/// only when it is polled, and its task waits until its lease has expired.
#[test]
fn nothing_is_started_in_a_zone_that_fell_silent() {
    let mut harness = cell();
    harness.advance_ms(1000);
    for number in [0, 3, 6] {
        harness.cell.record_missed_answer(&Harness::minion(number), harness.now);
    }
    // More cores than the two other zones have.
    let zones = zones_of_job(&mut harness, 1, 250);
    assert_eq!(zones, BTreeSet::from(["south", "west"]));
    harness.answer(9, Report::default());
    let zones: BTreeSet<_> =
        starts(&harness.plan()).iter().map(|(minion, ..)| zone(minion)).collect();
    assert_eq!(zones, BTreeSet::from(["north"]), "the zone is back");
}

/// Guards against a whole zone without work because some of its minions crashed.
#[test]
fn a_zone_whose_other_minions_answer_goes_on() {
    let mut harness = cell();
    harness.advance_ms(1000);
    for number in [0, 3, 6] {
        harness.cell.record_missed_answer(&Harness::minion(number), harness.now);
    }
    harness.advance_ms(10);
    harness.answer(9, Report::default());
    assert!(zones_of_job(&mut harness, 1, 250).contains("north"));
}

/// Guards against a zone without work after a takeover because minions that the former owner used
/// are gone: their zone isn't known, and counted as the first one.
#[test]
fn minions_without_a_zone_silence_none() {
    let former_lease_expiry = Some(Time(60_000));
    let cell = Cell::new(Settings::default(), 1, former_lease_expiry);
    let mut harness = with_minions(Harness::with_cell(cell, 0));
    harness.advance_ms(1000);
    for number in 100..103 {
        harness.cell.inherit_minion(&Harness::minion(number));
        harness.cell.record_missed_answer(&Harness::minion(number), harness.now);
    }
    assert!(zones_of_job(&mut harness, 1, 250).contains("north"));
}
