//! Tests of cancellations that arrive before their jobs.

use crate::fixture::*;
use celerythread_engine::cancellation::{Limiter, MAX_EARLY_CANCELLATIONS};
use celerythread_engine::cell::Settings;
use celerythread_engine::cell::cancellation::Effect;
use celerythread_engine::job::{Accepted, Cancellation, Origin, State, encode};
use celerythread_engine::time::Time;
use std::time::Duration;

fn workspace(name: &str) -> Origin {
    Origin::Workspace(name.into())
}

/// The cancellation of an id under which no job is stored, by a workspace.
fn early(name: &str) -> Cancellation {
    Cancellation::early(&workspace(name), 5, None)
}

fn past_retention() -> Duration {
    Settings::default().retention + Duration::from_millis(1)
}

impl Harness {
    fn apply(&mut self, job: u8, cancellation: &Cancellation, version: u64) -> Effect {
        self.cell.apply_cancellation(&id(job), cancellation, version, self.now)
    }

    fn submit_for(&mut self, job: u8, origin: Origin) {
        let definition = definition(vec![step(1)]);
        let accepted = Accepted {
            queue: "queue".into(),
            at_ms: 5,
            definition,
            origin,
            terms: None,
            service: None,
        };
        self.cell.add_job(id(job), accepted, None, false, Duration::ZERO, self.now);
    }

    fn state(&self, job: u8) -> Option<State> {
        self.cell.state(&id(job))
    }
}

/// Guards against a workspace that cancels another one's job by its id before it is submitted, and
/// against running a job that its own workspace has cancelled before.
#[test]
fn an_early_cancellation_applies_to_jobs_that_its_caller_may_access() {
    let mut harness = Harness::new(1);
    let both = Cancellation::early(&workspace("team"), 6, Some(&early("other")));
    for (job, cancellation) in
        [(1, early("other")), (2, early("team")), (3, both), (4, early("other"))]
    {
        assert_eq!(harness.apply(job, &cancellation, 1), Effect::Kept);
    }
    (1..=3).for_each(|job| harness.submit_for(job, workspace("team")));
    harness.submit_for(4, Origin::Public);
    assert_eq!(harness.state(1), Some(State::Queued));
    for job in 2..=4 {
        assert_eq!(harness.state(job), Some(State::Cancelled), "{job}");
    }
    // The row may arrive after the job, too.
    harness.submit_for(5, workspace("team"));
    assert_eq!(harness.apply(5, &early("other"), 2), Effect::Inaccessible);
    assert_eq!(harness.apply(1, &early("other"), 1), Effect::Inaccessible);
    assert_eq!((harness.state(1), harness.state(5)), (Some(State::Queued), Some(State::Queued)));
    assert_eq!(harness.apply(5, &early("team"), 3), Effect::Cancelled);
    assert_eq!(harness.state(5), Some(State::Cancelled));
}

/// Guards against forgetting a cancellation whose row still exists: a job that is stored before the
/// row is deleted would run.
#[test]
fn an_early_cancellation_is_forgotten_once_its_row_is_deleted() {
    let mut harness = Harness::new(1);
    harness.apply(1, &early("team"), 7);
    harness.now = harness.now + past_retention();
    for _ in 0..2 {
        harness.cell.remove_expired_jobs(harness.now);
        assert_eq!(harness.cell.expired_cancellations(harness.now), [(id(1), 7)]);
    }
    harness.cell.forget_cancellation(&id(1), 6);
    harness.submit_for(1, workspace("team"));
    assert_eq!(harness.state(1), Some(State::Cancelled));
    assert_eq!(harness.cell.early_cancellations(), 0, "it belongs to the job");

    harness.apply(2, &early("team"), 8);
    harness.now = harness.now + past_retention();
    assert_eq!(harness.cell.expired_cancellations(harness.now), [(id(2), 8)]);
    harness.cell.forget_cancellation(&id(2), 8);
    harness.submit_for(2, workspace("team"));
    assert_eq!(harness.state(2), Some(State::Queued));
}

/// Guards against losing a cancellation that was accepted while the row of an earlier one was being
/// deleted, and against keeping one for good because its row is read again and again.
#[test]
fn a_repeated_cancellation_is_kept_from_its_last_version_on() {
    let mut harness = Harness::new(1);
    let half = past_retention() / 2;
    harness.apply(1, &early("team"), 7);
    harness.now = harness.now + half;
    assert_eq!(harness.apply(1, &early("team"), 7), Effect::Known);
    harness.now = harness.now + half + Duration::from_millis(1);
    assert_eq!(harness.cell.expired_cancellations(harness.now), [(id(1), 7)]);
    assert_eq!(harness.apply(1, &early("team"), 9), Effect::Kept);
    harness.cell.forget_cancellation(&id(1), 7);
    assert_eq!(harness.cell.expired_cancellations(harness.now), []);
    assert_eq!(harness.cell.early_cancellations(), 1);
}

/// Guards against a memory of cancellations that only grows: one that another workspace's job hasn't
/// used is forgotten without a deletion, as its row is deleted with the job's.
#[test]
fn a_cancellation_beside_another_workspaces_job_is_forgotten_after_the_retention() {
    let mut harness = Harness::new(1);
    harness.apply(1, &early("other"), 7);
    harness.submit_for(1, workspace("team"));
    assert_eq!(harness.state(1), Some(State::Queued));
    assert_eq!(harness.cell.early_cancellations(), 1);
    harness.now = harness.now + past_retention();
    assert_eq!(harness.cell.expired_cancellations(harness.now), []);
    assert_eq!(harness.cell.early_cancellations(), 0);
}

/// Guards against ignoring cancellations that older releases stored, whose rows end before the callers
/// or before the time.
#[test]
fn cancellations_of_older_releases_are_read() {
    for bytes in [&[1_u8][..], &[1, 5]] {
        let cancellation = Cancellation::decode(bytes).unwrap();
        assert_eq!(cancellation.layout, 1);
        assert!(cancellation.applies_to(&workspace("team")));
        assert!(cancellation.applies_to(&Origin::Unknown));
    }
    let stored = Cancellation::of_stored_job(5);
    assert_eq!(encode(&stored), [1, 5, 0]);
    let early = early("team");
    assert_eq!(Cancellation::decode(&encode(&early)).unwrap(), early);
    assert!(!early.applies_to(&workspace("other")));
    let public = Cancellation::early(&Origin::Public, 5, None);
    assert!(public.applies_to(&workspace("other")));
}

/// Guards against memory and rows that grow without limit with the cancellations of unknown ids that
/// callers send.
#[test]
fn the_cancellations_of_unknown_jobs_are_limited() {
    let retention = Duration::from_secs(120);
    let mut limiter = Limiter::default();
    let now = Time(10_000);
    for _ in 0..MAX_EARLY_CANCELLATIONS {
        assert!(limiter.admit(retention, now));
    }
    assert!(!limiter.admit(retention, now + retention));
    assert!(limiter.admit(retention, now + retention + Duration::from_millis(1)));
}
