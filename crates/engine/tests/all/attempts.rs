//! Tests of which failed runs count against the attempts of a task or a gang.

mod model;

use crate::fixture::*;
use celerythread_engine::cell::{
    Cell, End, EndReason, Incarnation, MinionId, Queue, Report, Settings,
};
use celerythread_engine::job::{
    Accepted, Definition, Origin, Progress, Schedule, State, Step, TaskName, Terms,
};
use model::Simulation;
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// Environment variable with the number of simulations.
const SEEDS_VARIABLE: &str = "ATTEMPTS_SEEDS";

const DEFAULT_SEEDS: u64 = 40;

/// Ends that are no failures of the task.
const HARMLESS: [EndReason; 4] =
    [EndReason::Stopped, EndReason::Expired, EndReason::PeerEnded, EndReason::PeersMissing];

fn gang(count: u32) -> Definition {
    definition(vec![Step { gang: true, ..step(count) }])
}

/// Jobs in a cell, and the progress that its owners have stored of the first one.
struct Fixture {
    harness: Harness,
    definition: Definition,
    stored: Progress,
    generation: u32,
}

impl Fixture {
    /// A job of a queue with two attempts.
    fn new(definition: Definition) -> Self {
        let mut harness = Harness::new(4);
        harness.submit(1, definition.clone());
        Self { harness, definition, stored: Progress::default(), generation: 0 }
    }

    fn store(&mut self) {
        while let Some(batch) = self.harness.cell.unpersisted_batch(90) {
            if let Some((.., progress)) = batch.rows.iter().find(|(job, ..)| *job == id(1)) {
                self.stored = progress.clone();
            }
            self.harness.cell.record_persisted(&batch);
        }
    }

    /// Replaces the owner by one that reads what is stored and to which all minions answer.
    fn replace_owner(&mut self) {
        self.generation += 1;
        let now = self.harness.now;
        let cell = Cell::new(Settings::default(), self.generation, Some(now));
        let mut harness = Harness::with_cell(cell, 4);
        harness.now = now;
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 0,
            definition: self.definition.clone(),
            origin: Origin::Public,
            terms: None,
            service: None,
        };
        harness.cell.add_job(id(1), accepted, Some(&self.stored), true, Duration::ZERO, now);
        self.harness = harness;
    }

    /// Starts all tasks that can be started.
    fn start(&mut self) -> Vec<(MinionId, TaskName, u32)> {
        for _ in 0..100 {
            self.store();
            let started = self.harness.start_all();
            if !started.is_empty() {
                return started;
            }
            self.harness.advance_ms(50);
        }
        panic!("nothing was started within five seconds");
    }

    fn end(&mut self, (minion, task, run): &(MinionId, TaskName, u32), reason: EndReason) {
        self.harness.report_end(minion, *task, *run, reason);
    }

    fn state(&mut self) -> Option<State> {
        self.store();
        self.harness.cell.state(&id(1))
    }
}

/// Guards against counting each member that failed in the same attempt of a gang.
#[test]
fn an_attempt_of_a_gang_in_which_two_members_fail_counts_once() {
    let mut fixture = Fixture::new(gang(3));
    let members = fixture.start();
    fixture.end(&members[0], EndReason::Failed);
    fixture.end(&members[1], EndReason::Failed);
    fixture.end(&members[2], EndReason::PeerEnded);
    assert_eq!(fixture.state(), Some(State::Running));
    let members = fixture.start();
    fixture.end(&members[2], EndReason::Failed);
    assert_eq!(fixture.state(), Some(State::Failed));
}

/// Guards against counting an attempt of a gang twice because its members' failures were reported to
/// different owners.
#[test]
fn an_attempt_of_a_gang_that_two_owners_see_fail_counts_once() {
    let mut fixture = Fixture::new(gang(3));
    let members = fixture.start();
    fixture.end(&members[0], EndReason::Failed);
    fixture.store();
    fixture.replace_owner();
    fixture.end(&members[0], EndReason::Failed);
    fixture.end(&members[1], EndReason::Failed);
    assert_eq!(fixture.state(), Some(State::Running));
    fixture.replace_owner();
    members.iter().for_each(|member| fixture.end(member, EndReason::Failed));
    assert_eq!(fixture.state(), Some(State::Running));
}

/// Guards against two run numbers for one attempt of a gang, of which each would count: a successor
/// finds some of the members, and the others fail where it doesn't see them.
#[test]
fn members_that_a_successor_finds_have_the_number_of_those_that_failed() {
    let mut fixture = Fixture::new(gang(3));
    let members = fixture.start();
    fixture.store();
    fixture.replace_owner();
    let (minion, task, run) = &members[0];
    let found = Report { running: vec![running(*task, *run, 5)], ..Report::default() };
    let now = fixture.harness.now;
    fixture.harness.cell.process_report(minion, &found, now, now);
    let stopped = stops(&fixture.harness.plan());
    assert_eq!(stopped, [members[0].clone()], "the others are gone");
    fixture.end(&members[0], EndReason::Failed);
    fixture.end(&members[1], EndReason::Failed);
    fixture.end(&members[2], EndReason::Failed);
    assert_eq!(fixture.state(), Some(State::Running));
    let again = fixture.start();
    assert_eq!(again.len(), 3);
    again.iter().for_each(|member| assert_eq!(member.2, again[0].2));
}

/// Guards against counting ends that are no failures, of single tasks and of gangs, under one owner
/// and under several.
#[test]
fn ends_that_are_no_failures_never_count() {
    for definition in [definition(vec![step(2)]), gang(2)] {
        for reason in HARMLESS {
            let mut fixture = Fixture::new(definition.clone());
            for round in 0..12 {
                let started = fixture.start();
                started.iter().for_each(|run| fixture.end(run, reason));
                assert_eq!(fixture.state(), Some(State::Running), "{reason}");
                if round % 4 == 3 {
                    fixture.replace_owner();
                    started.iter().for_each(|run| fixture.end(run, reason));
                }
            }
        }
    }
}

/// Guards against counting a failure once more because its end is listed under another number or in
/// another incarnation, to a later owner, by another minion, or with another reason.
#[test]
fn a_failed_run_counts_once_however_it_is_listed_again() {
    let mut fixture = Fixture::new(definition(vec![step(1)]));
    let run = fixture.start().remove(0);
    fixture.end(&run, EndReason::Failed);
    let (minion, task, number) = run.clone();
    for incarnation in 1..=3 {
        let end = End { number: 1, task, run: number, reason: EndReason::Failed, checkpoint: None };
        let report = Report {
            incarnation: Some(Incarnation(incarnation)),
            finished: vec![end],
            ..Report::default()
        };
        let now = fixture.harness.now;
        fixture.harness.cell.process_report(&minion, &report, now, now);
    }
    HARMLESS.iter().for_each(|reason| fixture.end(&run, *reason));
    assert_eq!(fixture.state(), Some(State::Running));
    for _ in 0..3 {
        fixture.replace_owner();
        (0..4).for_each(|other| {
            fixture.end(&(Harness::minion(other), task, number), EndReason::Failed);
        });
        assert_eq!(fixture.state(), Some(State::Running));
    }
    let run = fixture.start().remove(0);
    fixture.end(&run, EndReason::Failed);
    assert_eq!(fixture.state(), Some(State::Failed), "the second one counts");
}

/// Guards against adding up the failures of different tasks: of a step, of its occurrences, and of
/// steps.
#[test]
fn failures_of_different_tasks_and_occurrences_do_not_add_up() {
    let second = Step { after: [0].into_iter().collect(), ..step(2) };
    let mut timed = definition(vec![step(2), second]);
    timed.schedule = Some(Schedule { repetitions: 6, start_at_ms: 0, interval_ms: 0 });
    for is_gang in [false, true] {
        let steps = timed.steps.iter().map(|step| Step { gang: is_gang, ..step.clone() }).collect();
        let mut fixture = Fixture::new(Definition { steps, ..timed.clone() });
        let mut failed = BTreeSet::new();
        while fixture.state() != Some(State::Completed) {
            let started = fixture.start();
            let attempt =
                |task: &TaskName| TaskName { index: task.index * !is_gang as u32, ..*task };
            for run in &started {
                let is_first = !failed.contains(&attempt(&run.1));
                fixture.end(run, if is_first { EndReason::Failed } else { EndReason::Done });
            }
            failed.extend(started.iter().map(|run| attempt(&run.1)));
            assert_ne!(fixture.state(), Some(State::Failed));
        }
        assert_eq!(failed.len(), if is_gang { 12 } else { 24 });
    }
}

/// Guards against taking a failure of a removed job for one of a later submission with its id.
#[test]
fn failures_of_a_removed_job_do_not_count_for_its_successor() {
    let mut fixture = Fixture::new(definition(vec![step(1)]));
    let run = fixture.start().remove(0);
    fixture.end(&run, EndReason::Failed);
    fixture.store();
    fixture.harness.cell.cancel(&id(1), fixture.harness.now);
    fixture.harness.now =
        fixture.harness.now + Settings::default().retention + Duration::from_millis(1);
    let now = fixture.harness.now;
    assert_eq!(fixture.harness.cell.remove_expired_jobs(now), [id(1)]);
    fixture.harness.submit_at(1, definition(vec![step(1)]), 1);
    let run = fixture.start().remove(0);
    fixture.end(&run, EndReason::Failed);
    assert_eq!(fixture.state(), Some(State::Running));
}

/// Guards against applying the default attempts to jobs of queues that this owner's configuration
/// doesn't have, or an older configuration's while a newer one is known.
#[test]
fn the_newest_known_attempts_apply() {
    let queue = |attempts| Queue { attempts, ..Queue::default() };
    let accepted = |configuration, attempts| Accepted {
        queue: "moved".into(),
        at_ms: 0,
        definition: definition(vec![step(1)]),
        origin: Origin::Public,
        terms: Some(Terms { configuration, workspace: None, queue: queue(attempts) }),
        service: None,
    };
    let configure = |fixture: &mut Fixture, attempts, configuration| {
        fixture.harness.cell.configure([("moved".into(), queue(attempts))], configuration);
    };
    // Attempts of the accepting configuration, of a later one, and of an outdated one.
    for (at_acceptance, later, outdated) in [(5, 7, 1), (5, 6, 9)] {
        let mut fixture = Fixture::new(definition(vec![step(1)]));
        fixture.harness.cell.cancel(&id(1), fixture.harness.now);
        configure(&mut fixture, outdated, 1);
        let (job, now) = (accepted(3, at_acceptance), fixture.harness.now);
        fixture.harness.cell.add_job(id(2), job, None, false, Duration::ZERO, now);
        let fail = |fixture: &mut Fixture| {
            let run = fixture.start().remove(0);
            fixture.end(&run, EndReason::Failed);
            fixture.store();
            fixture.harness.cell.state(&id(2))
        };
        for _ in 1..at_acceptance {
            assert_eq!(fail(&mut fixture), Some(State::Running));
            configure(&mut fixture, outdated, 2);
        }
        configure(&mut fixture, later, 4);
        for _ in at_acceptance..later {
            assert_eq!(fail(&mut fixture), Some(State::Running));
            configure(&mut fixture, outdated, 2);
        }
        assert_eq!(fail(&mut fixture), Some(State::Failed));
    }
}

/// Guards against showing a failed job as running again, and against writing it again, when a task
/// that still ran when the job failed ends.
#[test]
fn a_job_that_was_shown_as_failed_stays_failed() {
    let mut fixture = Fixture::new(definition(vec![step(2)]));
    let first = fixture.start();
    first.iter().for_each(|run| fixture.end(run, EndReason::Failed));
    let second = fixture.start();
    assert_eq!(second.len(), 2);
    fixture.end(&second[0], EndReason::Failed);
    assert_eq!(fixture.harness.cell.state(&id(1)), Some(State::Running), "not stored yet");
    assert_eq!(fixture.state(), Some(State::Failed));
    for reason in [EndReason::Failed, EndReason::Done] {
        fixture.end(&second[1], reason);
        assert_eq!(fixture.harness.cell.state(&id(1)), Some(State::Failed), "after {reason}");
        let batch = fixture.harness.cell.unpersisted_batch(90).unwrap();
        assert!(batch.is_write_free(), "only the end is to be acknowledged");
        assert_eq!(fixture.state(), Some(State::Failed));
        assert_eq!(fixture.stored.outcome, Some(State::Failed));
    }
    fixture.replace_owner();
    assert_eq!(fixture.harness.cell.state(&id(1)), Some(State::Failed));
    second.iter().for_each(|run| fixture.end(run, EndReason::Done));
    assert_eq!(fixture.state(), Some(State::Failed));
}

/// The seeds of the simulations.
fn seeds() -> Range<u64> {
    let given = std::env::var(SEEDS_VARIABLE).ok();
    0..given.map_or(DEFAULT_SEEDS, |count| count.parse().unwrap())
}

/// Guards against failing a job for fewer failed runs than its queue allows, against showing a job as
/// failed before that is stored, and against replacing a stored outcome, while answers and writes are
/// lost or late, minions restart, and owners are replaced without knowing it.
#[test]
fn jobs_fail_only_for_failed_runs_whatever_is_lost() {
    let outcomes: Vec<_> = seeds().map(|seed| (seed, Simulation::run(seed))).collect();
    let faults: Vec<_> = outcomes
        .iter()
        .flat_map(|(seed, outcome)| outcome.faults.iter().map(move |fault| (seed, fault)))
        .collect();
    assert!(faults.is_empty(), "{} faults: {:#?}", faults.len(), &faults[..faults.len().min(10)]);
    let sum = |count: &dyn Fn(&model::Outcome) -> usize| -> usize {
        outcomes.iter().map(|(_, outcome)| count(outcome)).sum()
    };
    let (failed, completed) = (sum(&|outcome| outcome.failed), sum(&|outcome| outcome.completed));
    let exhausted = sum(&|outcome| outcome.exhausted);
    let owners = sum(&|outcome| outcome.owners as usize);
    let counts =
        format!("{exhausted} exhausted, {failed} failed, {completed} done, {owners} owners");
    println!("{counts}");
    assert!(exhausted > 40 && failed > 40 && completed > 40 && owners > 200, "{counts}");
}
