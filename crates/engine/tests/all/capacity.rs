//! Tests of the report of unused capacity beside waiting tasks.

use crate::fixture::*;
use celerythread_engine::cell::capacity::{Capacity, Usability, WaitReason, Waiting};
use celerythread_engine::cell::{Cell, EndReason, Permit, Queue, Settings};
use celerythread_engine::job::{
    Accepted, AdviceLatency, Definition, Id, Origin, Resources, Schedule, Step,
};
use celerythread_engine::quota::Limit;
use celerythread_engine::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use strum::VariantArray;

/// Millicores of a minion.
const MINION: u64 = CAPACITY.cpu;

fn capacity(harness: &Harness) -> Capacity {
    harness.cell.capacity(harness.now, harness.now.0, Permit::All)
}

/// The unused millicores by usability, without those that are 0.
fn unused(capacity: &Capacity) -> Vec<(Usability, u64)> {
    let all = Usability::VARIANTS.iter().map(|kind| (*kind, capacity.unused(*kind)));
    all.filter(|(_, millicores)| *millicores > 0).collect()
}

/// Number of waiting tasks and millicores by reason, without reasons that don't apply.
fn waiting(capacity: &Capacity) -> Vec<(WaitReason, u64, u64)> {
    let all = WaitReason::VARIANTS.iter().map(|reason| (*reason, capacity.waiting(*reason)));
    all.filter(|(_, waiting)| *waiting != Waiting::default())
        .map(|(reason, waiting)| (reason, waiting.tasks, waiting.millicores))
        .collect()
}

fn cores(count: u64) -> Resources {
    Resources { cpu: 1000 * count, ..step(1).need }
}

/// Guards against idle capacity that looks as if no task could use it.
#[test]
fn capacity_that_fits_a_waiting_task_is_usable() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![step(4)]));
    harness.advance_ms(250);
    let report = capacity(&harness);
    assert_eq!((report.minions, report.millicores), (2, 2 * MINION));
    assert_eq!(unused(&report), [(Usability::Usable, 2 * MINION)]);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 4, 4000)]);
    assert_eq!(report.oldest_ready_ms, 250);
    harness.start_all();
    let report = capacity(&harness);
    assert!(!report.has_waiting());
    assert_eq!(unused(&report), [(Usability::Unneeded, 2 * MINION - 4000)]);
    assert_eq!(report.oldest_ready_ms, 0);
}

/// Guards against fragments that count as usable.  A pool whose minions each have fewer cores left
/// than a task needs is full for that task, however many cores these are together.
#[test]
fn fragments_smaller_than_every_waiting_task_are_too_small() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![Step { need: cores(13), ..step(2) }]));
    assert_eq!(harness.start_all().len(), 2);
    harness.submit(2, definition(vec![Step { need: cores(4), ..step(3) }]));
    let report = capacity(&harness);
    assert_eq!(unused(&report), [(Usability::TooSmall, 6000)]);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 3, 12_000)]);
    harness.submit(3, definition(vec![Step { need: cores(3), ..step(1) }]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::Usable, 6000)]);
}

/// Guards against cores that count as usable on minions whose memory or accelerators are used up.
#[test]
fn cores_without_memory_or_accelerators_are_too_small() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![Step { need: Resources { gpu: 1, ..cores(1) }, ..step(1) }]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::TooSmall, MINION)]);
    let large = Resources { memory_mb: CAPACITY.memory_mb + 1, ..cores(1) };
    harness.submit(2, definition(vec![Step { need: large, ..step(1) }]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::TooSmall, MINION)]);
    // Neither of the two needs is smaller than the other, and only the second one fits.
    let wide = Resources { memory_mb: CAPACITY.memory_mb, ..cores(16) };
    harness.submit(3, definition(vec![Step { need: wide, ..step(1) }]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::Usable, MINION)]);
}

/// Guards against capacity without the label that every waiting task requires being reported as a
/// lack of capacity.
#[test]
fn minions_without_a_required_label_are_unsuitable() {
    let mut harness = Harness::new(8);
    let labelled = Step { required_label: Some("rack-1".into()), ..step(1) };
    harness.submit(1, definition(vec![labelled.clone()]));
    let expected = [(Usability::Usable, 4 * MINION), (Usability::Unsuitable, 4 * MINION)];
    assert_eq!(unused(&capacity(&harness)), expected);
    harness.submit(2, definition(vec![Step { need: cores(16), ..step(4) }]));
    harness.submit(3, definition(vec![Step { need: cores(17), ..labelled }]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::Usable, 8 * MINION)]);
}

/// Guards against capacity that counts as usable although the only waiting step already has as many
/// tasks on each minion as it may, and against a full step that hides another one with the same
/// need.
#[test]
fn minions_at_a_steps_limit_are_unsuitable() {
    let mut harness = Harness::new(2);
    let limited = Step { max_per_minion: Some(1), ..step(3) };
    harness.submit(1, definition(vec![limited.clone()]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::Usable, 2 * MINION)]);
    assert_eq!(harness.start_all().len(), 2);
    let report = capacity(&harness);
    assert_eq!(unused(&report), [(Usability::Unsuitable, 2 * (MINION - 1000))]);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 1, 1000)]);
    harness.submit(2, definition(vec![limited]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::Usable, 2 * (MINION - 1000))]);
}

/// Guards against a reserved minion that looks idle for no reason.
#[test]
fn capacity_reserved_for_a_larger_task_is_reported_as_such() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![Step { need: cores(12), ..step(1) }]));
    harness.start_all();
    harness.submit(2, definition(vec![Step { need: cores(8), ..step(1) }]));
    harness.plan();
    harness.submit(3, definition(vec![step(1)]));
    let report = capacity(&harness);
    assert_eq!(unused(&report), [(Usability::Reserved, 4000)]);
    assert_eq!(report.free(), 4000, "a reserved minion still accepts a task");
}

/// Guards against capacity of minions that get no tasks being counted as free.
#[test]
fn minions_that_get_no_tasks_are_not_accepting() {
    let mut harness = Harness::new(5);
    harness.cell.set_leaving(&Harness::minion(0), true);
    harness.cell.record_missed_answer(&Harness::minion(1), harness.now);
    harness.list_minion(5);
    let mut listing = harness.cell.minion("minion-2").unwrap().listing.clone();
    listing.draining = true;
    harness.cell.update_listing(&Harness::minion(2), listing);
    harness.cell.mark_unlisted(&Harness::minion(3));
    harness.submit(1, definition(vec![step(1)]));
    let report = capacity(&harness);
    assert_eq!(report.minions, 5, "an unlisted minion is no longer part of the pool");
    let expected = [(Usability::Usable, MINION), (Usability::NotAccepting, 4 * MINION)];
    assert_eq!(unused(&report), expected);
    assert_eq!(report.free(), MINION);
}

/// Guards against inherited tasks that count as ready during a takeover: nothing may start them, so
/// idle capacity beside them is no fault.
#[test]
fn inherited_tasks_wait_for_the_takeover() {
    let cell = Cell::new(Settings::default(), 1, Some(Time(30_000)));
    let mut harness = Harness::with_cell(cell, 1);
    harness.cell.inherit_minion(&"silent".into());
    harness.add_job(1, definition(vec![step(3)]), true);
    harness.submit(2, definition(vec![step(1)]));
    harness.start_all();
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Inherited, 3, 3000)]);
    assert_eq!(unused(&report), [(Usability::Unneeded, MINION - 1000)]);
    harness.now = Time(30_000);
    harness.cell.plan(harness.now, harness.now.0, Permit::Nothing);
    harness.advance_ms(20);
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 3, 3000)]);
    assert_eq!(report.oldest_ready_ms, 20, "counted from the end of the takeover");
}

/// Guards against tasks of later steps that count as ready, or as having waited since their job was
/// accepted.
#[test]
fn tasks_of_a_later_step_are_blocked() {
    let mut harness = Harness::new(1);
    let second = Step { after: [0].into_iter().collect(), ..step(5) };
    harness.submit(1, definition(vec![step(1), second]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.advance_ms(700);
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Blocked, 5, 5000)]);
    assert_eq!(unused(&report), [(Usability::Unneeded, MINION - 1000)]);
    harness.report_end(&minion, name, run, EndReason::Done);
    harness.advance_ms(30);
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 5, 5000)]);
    assert_eq!(report.oldest_ready_ms, 30);
}

/// Guards against tasks that are not due, or that wait after a failure, counting as ready.
#[test]
fn tasks_that_are_not_due_are_delayed() {
    let mut harness = Harness::new(1);
    let start_at_ms = harness.now.0 + 100;
    let schedule = Schedule { repetitions: 3, start_at_ms, interval_ms: 1000 };
    let scheduled = Definition { schedule: Some(schedule), ..definition(vec![step(2)]) };
    harness.submit(1, scheduled);
    assert_eq!(waiting(&capacity(&harness)), [(WaitReason::Delayed, 6, 6000)]);
    harness.now = Time(start_at_ms + 40);
    let report = capacity(&harness);
    let expected = [(WaitReason::Delayed, 4, 4000), (WaitReason::Ready, 2, 2000)];
    assert_eq!(waiting(&report), expected);
    assert_eq!(report.oldest_ready_ms, 40, "counted from the time at which it was due");
}

/// Guards against a long-running task that failed a moment ago, and waits before its next start,
/// counting as ready.
#[test]
fn a_task_that_waits_after_a_failure_is_delayed() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![Step { long_running: true, ..step(1) }]));
    let (minion, name, run) = harness.start_all().remove(0);
    harness.report_end(&minion, name, run, EndReason::Failed);
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Delayed, 1, 1000)]);
    assert_eq!(unused(&report), [(Usability::Unneeded, MINION)]);
}

fn submit_for(harness: &mut Harness, job: u8, origin: Origin, definition: Definition) {
    let accepted = Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition,
        origin,
        terms: None,
        service: None,
    };
    harness.cell.add_job(id(job), accepted, None, false, Duration::ZERO, harness.now);
}

fn team() -> Origin {
    Origin::Workspace("team".into())
}

/// Limits the workspace to a number of cores, of which the cell has all.
fn limit_team(harness: &mut Harness, count: u64) {
    let limit = Limit(Resources { cpu: 1000 * count, ..Limit::UNLIMITED.0 });
    harness.cell.configure_limits([("team".into(), limit)], 1, harness.now);
    harness.cell.confirm_splits(harness.now);
}

/// Writes the shares that the tasks of the last plan ask for.
fn write_shares(harness: &mut Harness) {
    harness.plan();
    harness.advance_ms(50);
    let changes = harness.cell.split_changes(harness.now);
    harness.cell.record_split_changes(&changes, 1, harness.now);
}

/// Guards against tasks that only their workspace's limit keeps from starting counting as ready, and
/// against all of them counting as ready because each one alone would fit into the limit.
#[test]
fn tasks_beyond_a_workspaces_limit_are_held() {
    let mut harness = Harness::new(2);
    limit_team(&mut harness, 5);
    submit_for(&mut harness, 1, team(), definition(vec![step(8)]));
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Held, 8, 8000)], "the share is not written yet");
    assert_eq!(unused(&report), [(Usability::Unneeded, 2 * MINION)]);
    write_shares(&mut harness);
    let expected = [(WaitReason::Held, 3, 3000), (WaitReason::Ready, 5, 5000)];
    assert_eq!(waiting(&capacity(&harness)), expected);
    assert_eq!(harness.start_all().len(), 5);
    assert_eq!(waiting(&capacity(&harness)), [(WaitReason::Held, 3, 3000)]);
    submit_for(&mut harness, 2, Origin::Public, definition(vec![step(1)]));
    let report = capacity(&harness);
    assert_eq!(report.waiting(WaitReason::Ready).tasks, 1, "nothing limits a public job");
    assert_eq!(unused(&report), [(Usability::Usable, 2 * MINION - 5000)]);
}

/// Guards against capacity that counts as usable because one member of a gang fits there, although
/// the gang can't start as a whole.
#[test]
fn a_gang_uses_capacity_only_if_it_fits_as_a_whole() {
    let mut harness = Harness::new(3);
    let gang = Step { gang: true, need: cores(10), ..step(4) };
    harness.submit(1, definition(vec![gang.clone()]));
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 4, 40_000)]);
    assert_eq!(unused(&report), [(Usability::TooSmall, 3 * MINION)]);
    let labelled = Step { required_label: Some("rack-7".into()), count: 3, ..gang };
    harness.submit(2, definition(vec![labelled]));
    assert_eq!(unused(&capacity(&harness)), [(Usability::Unsuitable, 3 * MINION)]);
    harness.add_minion(3);
    assert_eq!(unused(&capacity(&harness)), [(Usability::Usable, 4 * MINION)]);
    let started = harness.start_all();
    assert_eq!(started.len(), 4);
    let (minion, name, run) = &started[0];
    harness.report_end(minion, *name, *run, EndReason::Failed);
    let report = capacity(&harness);
    assert_eq!(report.waiting(WaitReason::Blocked).tasks, 1, "the others have to end first");
}

/// Guards against a gang within its workspace's limit only in part counting as ready.
#[test]
fn a_gang_beyond_a_workspaces_limit_is_held_as_a_whole() {
    let mut harness = Harness::new(2);
    limit_team(&mut harness, 5);
    submit_for(&mut harness, 1, team(), definition(vec![step(3)]));
    submit_for(&mut harness, 2, team(), definition(vec![Step { gang: true, ..step(4) }]));
    write_shares(&mut harness);
    let expected = [(WaitReason::Held, 4, 4000), (WaitReason::Ready, 3, 3000)];
    assert_eq!(waiting(&capacity(&harness)), expected);
}

/// Guards against tasks without a ticket counting as ready, and against minions for which no ticket
/// was issued counting as usable.
#[test]
fn tasks_without_a_ticket_are_restricted() {
    let mut harness = Harness::new(2);
    let queue = Queue { advice: Some(AdviceLatency::default()), public: true, ..Queue::default() };
    harness.cell.configure([("queue".into(), queue)], 1);
    harness.submit(1, definition(vec![step(2)]));
    harness.plan();
    assert_eq!(waiting(&capacity(&harness)), [(WaitReason::Restricted, 2, 2000)]);
    let query = harness.cell.take_queries().remove(0);
    let until = harness.now + Duration::from_millis(3000);
    harness.cell.record_advice(&query, vec![(Harness::minion(1), "ticket".into())], until);
    let report = capacity(&harness);
    assert_eq!(waiting(&report), [(WaitReason::Ready, 2, 2000)]);
    assert_eq!(unused(&report), [(Usability::Usable, MINION), (Usability::Unsuitable, MINION)]);
}

/// Guards against idle capacity during an outage of the store looking like a fault of the plan: the
/// owner can't confirm its ownership, and may start only a part of what waits.
#[test]
fn tasks_that_the_permit_excludes_are_restricted() {
    let mut harness = Harness::new(1);
    harness.submit(1, definition(vec![step(2)]));
    let known_by = harness.now;
    harness.advance_ms(10);
    harness.submit(2, definition(vec![step(3)]));
    let report =
        harness.cell.capacity(harness.now, harness.now.0, Permit::NeverStarted { known_by });
    let expected = [(WaitReason::Restricted, 3, 3000), (WaitReason::Ready, 2, 2000)];
    assert_eq!(waiting(&report), expected);
    assert_eq!(unused(&report), [(Usability::Usable, MINION)]);
    let report = harness.cell.capacity(harness.now, harness.now.0, Permit::Nothing);
    assert_eq!(waiting(&report), [(WaitReason::Restricted, 5, 5000)]);
    assert_eq!(unused(&report), [(Usability::NotAccepting, MINION)]);
}

fn wide_id(number: u32) -> Id {
    format!("{number:016x}").parse().unwrap()
}

/// The work for a report on a pool whose waiting jobs all have requirements of their own: single
/// tasks, tasks with a label, tasks with a limit per minion, and gangs.
fn work_for(minions: usize, jobs: u32) -> u64 {
    let mut harness = Harness::new(minions);
    for number in 0..jobs {
        // Larger needs come first, and need less memory, so that none is covered by another.
        let cpu = 15_000 - u64::from(number);
        let need = Resources { cpu, memory_mb: 1000 + u64::from(number), gpu: 0 };
        let plain = Step { need, ..step(2) };
        let steps = vec![match number % 4 {
            0 => plain,
            1 => Step { required_label: Some(format!("rack-{number}").into()), ..plain },
            2 => Step { max_per_minion: Some(1), ..plain },
            _ => Step { gang: true, ..plain },
        }];
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition: definition(steps),
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        let now = harness.now;
        harness.cell.add_job(wide_id(number), accepted, None, false, Duration::ZERO, now);
    }
    // Some tasks run, so that limits per minion are reached.
    harness.cell.limit_starts(minions / 2);
    harness.start_all();
    capacity(&harness).examined
}

/// Guards against a report whose cost grows with the product of minions and jobs.  At twice the size
/// of the largest deployment that would be 1,300 minions by 10,000 jobs each second, beside plans
/// that have an eighth of a core.
#[test]
fn the_work_doubles_when_the_pool_doubles() {
    let works = [1, 2, 4, 8].map(|factor| work_for(40 * factor, 200 * factor as u32));
    for pair in works.windows(2) {
        assert!(pair[1] <= pair[0] * 21 / 10, "{works:?}");
    }
    assert!(works[3] > works[0] * 4, "the work is counted: {works:?}");
}

/// Draws a job; the mix leaves some of the pool's capacity unusable.
fn draw_definition(random: &mut StdRng) -> Definition {
    let steps = (0..random.random_range(1..3)).map(|number| {
        let memory_mb = random.random_range(1..17) * 1024;
        let need = Resources { memory_mb, ..cores(random.random_range(1..13)) };
        let count = random.random_range(1..6);
        let rack = random.random_range(0..3);
        Step {
            need,
            gang: random.random_ratio(1, 6),
            required_label: random.random_ratio(1, 4).then(|| format!("rack-{rack}").into()),
            max_per_minion: random.random_ratio(1, 4).then(|| random.random_range(1..3)),
            after: if number > 0 { [0].into_iter().collect() } else { Default::default() },
            ..step(count)
        }
    });
    definition(steps.collect())
}

/// Guards against a report that disagrees with the plan: usable capacity where the plan starts
/// nothing, or none where it does.
#[test]
fn the_report_agrees_with_the_plan() {
    let (mut compared, mut started, mut idle) = (0, 0, 0);
    for seed in 0..400 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut harness = Harness::new(random.random_range(1..10));
        limit_team(&mut harness, 20);
        let mut job = 0;
        for _ in 0..6 {
            for _ in 0..random.random_range(0..4) {
                job += 1;
                let origin = if random.random_ratio(1, 3) { team() } else { Origin::Public };
                submit_for(&mut harness, job, origin, draw_definition(&mut random));
            }
            let before = capacity(&harness);
            let has_usable = before.unused(Usability::Usable) > 0;
            let has_starts = !harness.start_all().is_empty();
            let after = capacity(&harness);
            // A plan drops the reservations of the one before it, and makes its own before it has
            // tried all tasks.
            let reserved = |report: &Capacity| report.unused(Usability::Reserved);
            if reserved(&before) + reserved(&after) == 0 {
                assert_eq!(has_usable, has_starts, "seed {seed}: {before:?}");
                compared += 1;
            }
            assert_eq!(after.unused(Usability::Usable), 0, "seed {seed}: {after:?}");
            let all: u64 = Usability::VARIANTS.iter().map(|kind| after.unused(*kind)).sum();
            let free: u64 = harness.cell.minions().map(|minion| minion.free().cpu).sum();
            assert_eq!(all, free, "seed {seed}: every unused core is counted once");
            started += u64::from(has_starts);
            idle += u64::from(after.unused(Usability::TooSmall) > 0);
            write_shares(&mut harness);
        }
    }
    assert!(
        compared > 200 && started > 200 && idle > 200,
        "{compared} plans compared, {started} with starts, {idle} with fragments"
    );
}
