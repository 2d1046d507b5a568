//! Crowds of accepted jobs, which their owner and each owner after it must hold.

use crate::client::{self, Crowd, submission};
use crate::deployment::{Deployment, Machine, eventually};
use crate::requests::scheduled_job;

/// Jobs of a crowd.
const CROWD: usize = 150;

/// Steps of each job: 30,000 bytes.
const STEPS: usize = 2500;

/// Jobs sent at the same time.
const BATCH: usize = 10;

/// Bytes that each connection sends in turn: all of them.
const AT_ONCE: usize = usize::MAX / 2;

/// Submits the crowd's jobs to an entry, a few at a time; returns the statuses.
fn submit_crowd(deployment: &Deployment, entry: usize) -> Vec<u16> {
    let body = scheduled_job(STEPS, "");
    let mut statuses = Vec::new();
    for first in (0..CROWD).step_by(BATCH) {
        let numbers = first..(first + BATCH).min(CROWD);
        let messages = numbers.map(|number| submission(&format!("{number:016x}"), &body));
        let mut crowd = Crowd::connect(deployment.entries[entry].callers, messages);
        crowd.send(AT_ONCE);
        crowd.receive_answers();
        statuses.extend(crowd.statuses());
    }
    statuses
}

/// Checks the entries under a crowd of jobs that is submitted to one of them.
fn play(choose: impl Fn(usize) -> usize) {
    let mut deployment = Deployment::start(2, Machine::default());
    let owner = deployment.owner().unwrap();
    let statuses = submit_crowd(&deployment, choose(owner));
    assert!(statuses.contains(&200), "no job was accepted: {statuses:?}");
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against an owner that runs out of memory because it accepts jobs without bound.
#[test]
fn an_owner_accepts_jobs_within_its_memory() {
    play(|owner| owner);
}

/// Guards against another entry that accepts more jobs than the owner can hold.
#[test]
fn another_entry_accepts_jobs_within_the_owners_memory() {
    play(|owner| 1 - owner);
}

/// Guards against jobs that end each owner in turn.
#[test]
fn the_next_owner_holds_the_accepted_jobs() {
    let mut deployment = Deployment::start(2, Machine::default());
    let owner = deployment.owner().unwrap();
    let statuses = submit_crowd(&deployment, owner);
    assert!(statuses.contains(&200), "no job was accepted: {statuses:?}");
    deployment.check_machines();
    deployment.lose(owner);
    eventually("the other entry owns the cell", || deployment.owner());
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against a limit that refuses a single job in calm.
#[test]
fn a_single_job_of_many_steps_is_accepted() {
    let mut deployment = Deployment::start(2, Machine::default());
    for entry in 0..2 {
        let callers = deployment.entries[entry].callers;
        let id = format!("{entry:016x}");
        let status = client::submit(callers, &id, &scheduled_job(STEPS, ""));
        assert_eq!(status, Some(200));
    }
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against a limit that refuses a single job at once because its owner was just lost and can't
/// be asked for memory: the next owner can, within the time that the client waits.
#[test]
fn a_single_job_of_many_steps_waits_for_the_next_owner() {
    let mut deployment = Deployment::start(2, Machine::default());
    deployment.check_ordinary_request();
    let owner = deployment.owner().unwrap();
    deployment.lose(owner);
    let callers = deployment.entries[0].callers;
    let status = client::submit_patiently(callers, &"1".repeat(16), &scheduled_job(STEPS, ""));
    assert_eq!(status, Some(200));
    deployment.check_ordinary_request();
    deployment.check_machines();
}
