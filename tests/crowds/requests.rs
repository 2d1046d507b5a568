//! Crowds of whole requests, and single requests that can't be served.

use crate::client::{self, Crowd, submission};
use crate::deployment::{Deployment, Machine, eventually};
use celerythread_standin::site::store::FaultMode;

/// Connections of a crowd.
const CROWD: usize = 200;

/// Most bytes of a job's `spec`, by the platform's protocol.
const SPEC_LIMIT: usize = 4000;

/// The default of the setting `caller.body_limit`.
const BODY_LIMIT: usize = 262_144;

/// Bytes that each connection sends in turn: all of them.
const AT_ONCE: usize = usize::MAX / 2;

/// Time until a task of a job that must not run is due, in milliseconds.
const LATER_MS: u64 = 3_600_000;

fn id(number: usize) -> String {
    format!("{number:016x}")
}

/// A job that is due later, with this many steps of one task each.
pub(crate) fn scheduled_job(steps: usize, spec: &str) -> Vec<u8> {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let start = now.as_millis() as u64 + LATER_MS;
    let steps = vec![r#"{"count":1}"#; steps].join(",");
    format!(r#"{{"spec":"{spec}","steps":[{steps}],"repetitions":1,"startAtMs":{start}}}"#)
        .into_bytes()
}

/// Sends whole requests with one body to the first of two entries; returns the statuses.
fn play(deployment: &mut Deployment, body: &[u8], count: usize) -> Vec<u16> {
    let messages = (0..count).map(|number| submission(&id(number), body));
    let mut crowd = Crowd::connect(deployment.entries[0].callers, messages);
    crowd.send(AT_ONCE);
    crowd.receive_answers();
    crowd.statuses()
}

/// Questions for the states of as many jobs that were never submitted.
fn questions(count: usize) -> impl Iterator<Item = Vec<u8>> {
    let question = |id| format!("GET /q/{id} HTTP/1.1\r\nHost: jobs.example\r\n\r\n").into_bytes();
    (0..count).map(move |number| question(id(number)))
}

/// Guards against a process that runs out of memory because it encodes and stores jobs that the
/// platform's protocol doesn't allow.
#[test]
fn jobs_with_a_spec_beyond_the_protocol_are_refused() {
    let mut deployment = Deployment::start(2, Machine::default());
    let body = format!(r#"{{"steps":[{{"count":1}}],"spec":"{}"}}"#, "x".repeat(262_000));
    let statuses = play(&mut deployment, body.as_bytes(), CROWD);
    assert!(!statuses.contains(&200), "a job with a longer spec was accepted");
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against the same with jobs whose row is larger than the store keeps.
#[test]
fn jobs_beyond_a_row_of_the_store_are_refused() {
    let mut deployment = Deployment::start(2, Machine::default());
    let body = scheduled_job(20_000, "");
    let statuses = play(&mut deployment, &body, CROWD);
    assert!(!statuses.contains(&200), "a job that the store doesn't keep was accepted");
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against a decoded form that is many times larger than its text.
#[test]
fn bodies_of_empty_steps_are_decoded_within_the_memory() {
    let mut deployment = Deployment::start(2, Machine::default());
    let count = (BODY_LIMIT - 20) / 3;
    let body = format!(r#"{{"steps":[{}]}}"#, vec!["{}"; count].join(","));
    let statuses = play(&mut deployment, body.as_bytes(), CROWD);
    assert!(!statuses.contains(&200), "a job with empty steps was accepted");
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against requests that hold their jobs in several forms while the store doesn't answer.
#[test]
fn requests_that_wait_for_the_store_are_held_within_the_memory() {
    let mut deployment = Deployment::start(2, Machine::default());
    let body = scheduled_job(2500, &"x".repeat(SPEC_LIMIT));
    deployment.site.store.set_fault_mode(FaultMode::Silent);
    play(&mut deployment, &body, CROWD);
    deployment.site.store.set_fault_mode(FaultMode::None);
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against a deadline that no clock can reach.
#[test]
fn a_request_with_the_longest_deadline_is_answered() {
    let mut deployment = Deployment::start(2, Machine::default());
    let head = format!(
        "Content-Length: 23\r\nX-Celerythread-Deadline-Ms: {}\r\nConnection: close",
        u64::MAX
    );
    let mut message = client::submission_head(&id(1), &head).into_bytes();
    message.extend(br#"{"steps":[{"count":1}]}"#);
    let mut crowd = Crowd::connect(deployment.entries[0].callers, std::iter::once(message));
    crowd.send(AT_ONCE);
    crowd.receive_answers();
    assert_eq!(crowd.statuses(), [200]);
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against a process that runs out of descriptors because each request that waits for the
/// store has a connection to it.
#[test]
fn requests_that_read_the_store_leave_descriptors() {
    let machine = Machine { descriptors: 700, ..Machine::default() };
    let mut deployment = Deployment::start(2, machine);
    deployment.site.store.set_fault_mode(FaultMode::Silent);
    let mut crowd = Crowd::connect(deployment.entries[0].callers, questions(370));
    crowd.send(AT_ONCE);
    crowd.receive_answers();
    deployment.site.store.set_fault_mode(FaultMode::None);
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against operators who can't tell which client sends more requests than an entry processes
/// at the same time.
///
/// The store answers slowly rather than not at all: an entry that knows of an outage refuses requests
/// at once, and then few overlap.  On a slow machine it may take several crowds until enough do.
#[test]
fn requests_beyond_the_limit_are_logged_with_their_client() {
    let machine = Machine { descriptors: 360, ..Machine::default() };
    let mut deployment = Deployment::start(2, machine);
    deployment.site.store.set_fault_mode(FaultMode::Slow);
    let limit = eventually("more requests than the limit overlap", || {
        let mut crowd = Crowd::connect(deployment.entries[0].callers, questions(110));
        crowd.send(AT_ONCE);
        crowd.receive_answers();
        deployment.entries[0].process.logged("limit_reached", "limit")
    });
    assert_eq!(limit, "requests");
    deployment.site.store.set_fault_mode(FaultMode::None);
    deployment.check_limit_line(0, "callers");
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against sums of callers' numbers that overflow at an owner: of numbers without bound, and of
/// the largest that are accepted.
#[test]
fn jobs_with_the_largest_numbers_are_held() {
    let mut deployment = Deployment::start(2, Machine::default());
    let step = |amount: u64| {
        format!(
            r#"{{"count":500,"cpu":{amount},"memMb":{amount},"gpu":{amount},"estimateMs":1e300,"targetMs":1e300}}"#
        )
    };
    let times = [
        String::new(),
        format!(r#","repetitions":3,"startAtMs":1e300,"intervalMs":{LATER_MS}"#),
        r#","repetitions":3,"intervalMs":1e300"#.to_owned(),
    ];
    let messages = (0..30).map(|number| {
        let step = step([u64::MAX, 1 << 32][number % 2]);
        let body = format!(r#"{{"steps":[{step},{step}]{}}}"#, times[number % times.len()]);
        submission(&id(number), body.as_bytes())
    });
    let mut crowd = Crowd::connect(deployment.entries[0].callers, messages);
    crowd.send(AT_ONCE);
    crowd.receive_answers();
    assert_eq!(crowd.statuses().len(), 30, "each is answered");
    deployment.check_ordinary_request();
    deployment.check_machines();
}
