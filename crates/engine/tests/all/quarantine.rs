//! Which minions get no tasks for some time because runs fail there.

use crate::fixture::{CAPACITY, Harness, definition, id, step, task};
use celerythread_engine::cell::{EndReason, Event, MinionId};
use celerythread_engine::job::{Step, TaskName};
use celerythread_engine::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);

/// A step of `count` long-running tasks.
fn lasting(count: u32) -> Step {
    Step { long_running: true, max_unavailable: Some(1), estimate_ms: 60_000, ..step(count) }
}

/// A cell whose runs end as tests decide.
struct Simulation {
    harness: Harness,
    /// Runs with their minion, number and start.
    running: BTreeMap<TaskName, (MinionId, u32, Time)>,
    /// When each task last had a run.
    last_run: BTreeMap<TaskName, Time>,
    longest_pause: Duration,
    quarantined: BTreeSet<MinionId>,
    lifted: usize,
}

impl Simulation {
    fn new(minions: usize) -> Self {
        Self {
            harness: Harness::new(minions),
            running: BTreeMap::new(),
            last_run: BTreeMap::new(),
            longest_pause: Duration::ZERO,
            quarantined: BTreeSet::new(),
            lifted: 0,
        }
    }

    /// Runs for a time.  `end` says how a run ends that has worked for so long, if it does.
    fn run(
        &mut self,
        duration: Duration,
        end: impl Fn(&MinionId, &TaskName, Duration) -> Option<EndReason>,
    ) {
        let until = self.harness.now + duration;
        while self.harness.now < until {
            self.harness.now = self.harness.now + STEP;
            let now = self.harness.now;
            for (task, (minion, run, began)) in self.running.clone() {
                if let Some(reason) = end(&minion, &task, now.since(began)) {
                    self.running.remove(&task);
                    self.harness.report_end(&minion, task, run, reason);
                }
            }
            self.harness.store_progress();
            for (minion, task, run) in self.harness.start_all() {
                self.running.insert(task, (minion, run, now));
            }
            for task in self.running.keys() {
                self.last_run.insert(*task, now);
            }
            let pauses = self.last_run.values().map(|at| now.since(*at));
            self.longest_pause = self.longest_pause.max(pauses.max().unwrap_or_default());
            for event in self.harness.cell.take_events() {
                match event {
                    Event::Quarantined { minion, .. } => drop(self.quarantined.insert(minion)),
                    Event::QuarantineLifted { .. } => self.lifted += 1,
                    _ => {}
                }
            }
        }
    }
}

/// Long-running tasks may fail at any time, and never end as done.  If their failures were summed up,
/// all sound minions of their service would be quarantined, and no task had a run.
#[test]
fn long_running_tasks_that_fail_now_and_then_have_a_run_again_soon() {
    for minions in 1..=4 {
        let mut simulation = Simulation::new(minions);
        for job in 1..=2 {
            simulation.harness.submit(job, definition(vec![lasting(3)]));
        }
        simulation.run(Duration::from_secs(120), |_, task, worked| {
            let time = Duration::from_millis(3000 + u64::from(task.index) * 700);
            (worked >= time).then_some(EndReason::Failed)
        });
        let pause = simulation.longest_pause;
        assert!(pause <= Duration::from_secs(2), "{pause:?} with {minions} minions");
    }
}

/// The same with rare failures, which take longer to add up.
#[test]
fn failures_after_long_work_are_no_evidence_against_a_minion() {
    let mut simulation = Simulation::new(2);
    for job in 1..=3 {
        simulation.harness.submit(job, definition(vec![lasting(2)]));
    }
    simulation.run(Duration::from_secs(240), |_, task, worked| {
        let time = Duration::from_millis(11_000 + u64::from(task.index) * 900);
        (worked >= time).then_some(EndReason::Failed)
    });
    assert_eq!(simulation.quarantined, BTreeSet::new());
}

/// Two failures long apart say nothing about a minion.
#[test]
fn failures_count_for_a_limited_time() {
    for (pause_s, expected) in [(5, 1), (31, 0)] {
        let mut harness = Harness::new(2);
        harness.submit(9, definition(vec![Step { need: CAPACITY, ..lasting(1) }]));
        harness.start_all();
        for job in 1..=2 {
            harness.submit(job, definition(vec![step(1)]));
            let (minion, name, run) = harness.start_all().remove(0);
            harness.report_end(&minion, name, run, EndReason::Failed);
            harness.cell.cancel(&id(job), harness.now);
            harness.store_progress();
            if job == 1 {
                harness.advance_ms(pause_s * 1000);
            }
        }
        let unavailable = harness.cell.load(harness.now).unavailable.len();
        assert_eq!(unavailable, expected, "{pause_s} s apart");
    }
}

/// A minion that fails each run always has free capacity, and would use up the attempts of job after
/// job.
#[test]
fn a_minion_that_fails_everything_is_quarantined() {
    let mut simulation = Simulation::new(4);
    let bad = Harness::minion(2);
    for job in 1..=3 {
        simulation.harness.submit(job, definition(vec![lasting(6)]));
    }
    simulation.run(Duration::from_secs(20), |minion, _, worked| {
        (*minion == bad && worked >= Duration::from_secs(1)).then_some(EndReason::Failed)
    });
    assert_eq!(simulation.quarantined, BTreeSet::from([bad.clone()]));
    assert_eq!(simulation.lifted, 0);
    assert!(simulation.running.values().all(|(minion, ..)| *minion != bad));
}

/// The same for several minions at once, for example of one rack, where tasks fail that succeed on the
/// others.
#[test]
fn several_minions_that_fail_everything_are_quarantined() {
    let mut simulation = Simulation::new(6);
    let bad = [Harness::minion(1), Harness::minion(4)];
    for job in 1..=12 {
        simulation.harness.submit(job, definition(vec![step(16)]));
    }
    simulation.run(Duration::from_secs(8), |minion, _, worked| {
        let reason = if bad.contains(minion) { EndReason::Failed } else { EndReason::Done };
        (worked >= Duration::from_millis(500)).then_some(reason)
    });
    assert_eq!(simulation.quarantined, BTreeSet::from(bad));
}

/// If every minion seems to be at fault, the tasks are, and their service needs its minions.
#[test]
fn half_of_the_minions_get_tasks_whatever_fails() {
    for minions in [1, 2, 3, 8] {
        let mut simulation = Simulation::new(minions);
        for job in 1..=40 {
            simulation.harness.submit(job, definition(vec![step(2)]));
        }
        for _ in 0..40 {
            simulation.run(STEP, |_, _, worked| {
                (worked >= Duration::from_millis(300)).then_some(EndReason::Failed)
            });
            let load = simulation.harness.cell.load(simulation.harness.now);
            let available = minions - load.unavailable.len();
            assert!(available >= minions.div_ceil(2), "{available} of {minions}");
        }
    }
}

/// Tasks that fail wherever they run must not have one sound minion after the other quarantined, while
/// other tasks wait for capacity.
#[test]
fn jobs_that_fail_everywhere_keep_no_minion_from_others() {
    let mut simulation = Simulation::new(4);
    for job in 1..=2 {
        simulation.harness.submit(job, definition(vec![lasting(1)]));
    }
    simulation.harness.submit(3, definition(vec![lasting(8)]));
    simulation.run(Duration::from_secs(120), |_, task, worked| {
        let is_hopeless = task.job != id(3);
        (is_hopeless && worked >= Duration::from_millis(400)).then_some(EndReason::Failed)
    });
    assert!(simulation.longest_pause <= Duration::from_secs(2), "{:?}", simulation.longest_pause);
}

/// A quarantine ends early once it is known that what failed there fails elsewhere, too.
#[test]
fn a_quarantine_is_lifted_when_its_jobs_fail_elsewhere() {
    let mut harness = Harness::new(3);
    for job in 1..=2 {
        harness.submit(job, definition(vec![step(1)]));
    }
    let started = harness.start_all();
    assert_eq!(started[0].0, started[1].0, "both are placed on one minion");
    let suspect = started[0].0.clone();
    for (minion, name, run) in &started {
        harness.report_end(minion, *name, *run, EndReason::Failed);
    }
    assert_eq!(harness.cell.load(harness.now).unavailable, [suspect.to_string()]);
    harness.store_progress();
    let (minion, name, run) = harness.start_all().remove(0);
    assert_ne!(minion, suspect);
    harness.report_end(&minion, name, run, EndReason::Failed);
    assert!(harness.cell.load(harness.now).unavailable.is_empty());
}

/// A long-running task that fits nowhere else runs on a quarantined minion rather than nowhere.
#[test]
fn a_long_running_task_without_another_place_goes_to_a_quarantined_minion() {
    let mut harness = Harness::new(2);
    harness.submit(1, definition(vec![Step { need: CAPACITY, ..lasting(1) }]));
    let (full, ..) = harness.start_all().remove(0);
    for job in 2..=3 {
        harness.submit(job, definition(vec![step(1)]));
    }
    let started = harness.start_all();
    assert_ne!(started[0].0, full);
    for (minion, name, run) in &started {
        harness.report_end(minion, *name, *run, EndReason::Failed);
    }
    harness.submit(4, definition(vec![lasting(1)]));
    let is_task = |(_, name, _): &(MinionId, TaskName, u32)| *name == task(4, 0, 0);
    assert!(!harness.start_all().iter().any(is_task));
    harness.advance_ms(1600);
    assert!(harness.start_all().iter().any(is_task));
}
