//! Policies of queues and workspaces that the configuration in force no longer has.

use crate::fixture::{Harness, definition, id, starts, step};
use celerythread_engine::cell::policies::Stored;
use celerythread_engine::cell::{Cell, EndReason, Event, Queue, Settings, StartResult};
use celerythread_engine::job::{
    Accepted, AdviceLatency, Origin, Progress, Resources, State, Terms, Workspace, decode, encode,
};
use std::time::Duration;

/// A queue that no configuration of a later owner has.
const REMOVED: &str = "removed";

const TEAM: &str = "team";

fn attempts(attempts: u32) -> Queue {
    Queue { attempts, ..Queue::default() }
}

fn terms(configuration: u64, queue: Queue) -> Option<Terms> {
    Some(Terms { configuration, workspace: None, queue })
}

fn accepted(terms: Option<Terms>) -> Accepted {
    Accepted {
        queue: REMOVED.into(),
        at_ms: 0,
        definition: definition(vec![step(1)]),
        origin: Origin::Public,
        terms,
        service: None,
    }
}

/// A cell's owner, and the rows that it leaves to the next one.
struct Owner {
    harness: Harness,
    stored: Stored,
    progress: Progress,
}

impl Owner {
    /// The next owner of a cell whose former owner stored these policies, without jobs.
    fn new(generation: u32, stored: &Stored) -> Self {
        let cell = Cell::new(Settings::default(), generation, None);
        let mut harness = Harness::with_cell(cell, 2);
        // As the store returns them.
        let restored: Stored = decode(&encode(stored)).unwrap();
        harness.cell.restore_policies(restored, harness.now);
        Self { harness, stored: stored.clone(), progress: Progress::default() }
    }

    /// Adds the stored job.
    fn add(&mut self, accepted: &Accepted, progress: &Progress) {
        let accepted = Accepted::decode(&encode(accepted)).unwrap();
        let now = self.harness.now;
        self.harness.cell.add_job(id(1), accepted, Some(progress), false, Duration::ZERO, now);
    }

    fn configure(&mut self, queue: Queue, configuration: u64) {
        self.harness.cell.configure([(REMOVED.into(), queue)], configuration);
    }

    /// Stores what is pending; returns whether that included policies.
    fn store(&mut self) -> bool {
        let mut includes_policies = false;
        while let Some(batch) = self.harness.cell.unpersisted_batch(90) {
            self.harness.cell.record_persisted(&batch);
            if let Some((.., progress)) = batch.rows.into_iter().next() {
                self.progress = progress;
            }
            if let Some(policies) = batch.policies {
                includes_policies = true;
                self.stored = policies;
            }
        }
        includes_policies
    }

    /// The next owner, which reads the job and the stored rows.
    fn succeed(&mut self, generation: u32, accepted: &Accepted) -> Self {
        self.store();
        let mut next = Self::new(generation, &self.stored);
        next.add(accepted, &self.progress);
        next
    }

    /// Lets the job's task fail this many times; returns the job's state.
    fn fail_task(&mut self, times: usize) -> Option<State> {
        for _ in 0..times {
            let (minion, task, run) = self.harness.next_start();
            let (cell, now) = (&mut self.harness.cell, self.harness.now);
            cell.process_start_result(&minion, &task, run, StartResult::Started, now);
            self.harness.report_end(&minion, task, run, EndReason::Failed);
            self.store();
            self.harness.advance_ms(1000);
        }
        self.harness.cell.state(&id(1))
    }
}

/// Guards against failing a job of a removed queue before its queue's attempts are used up, after its
/// cell got an owner that never saw the queue.
#[test]
fn a_successor_allows_the_attempts_of_a_removed_queue() {
    let job = accepted(terms(1, attempts(4)));
    let mut first = Owner::new(0, &Stored::default());
    first.configure(attempts(4), 1);
    first.add(&job, &Progress::default());
    assert_eq!(first.fail_task(1), Some(State::Running));
    let mut second = first.succeed(1, &job);
    assert_eq!(second.fail_task(1), Some(State::Running));
    let mut third = second.succeed(2, &job);
    assert_eq!(third.fail_task(1), Some(State::Running));
    assert_eq!(third.fail_task(1), Some(State::Failed));
}

/// Guards against allowing more attempts than a removed queue did.
#[test]
fn a_successor_allows_no_more_than_the_attempts_of_a_removed_queue() {
    let mut owner = Owner::new(1, &Stored::default());
    owner.add(&accepted(terms(1, attempts(2))), &Progress::default());
    assert_eq!(owner.fail_task(2), Some(State::Failed));
}

/// Guards against losing the policy of a queue whose jobs a release accepted that didn't store it.
#[test]
fn the_policy_of_a_job_without_terms_is_stored() {
    let job = accepted(None);
    let mut first = Owner::new(0, &Stored::default());
    first.configure(attempts(5), 1);
    first.add(&job, &Progress::default());
    assert!(first.store());
    let mut second = first.succeed(1, &job);
    let mut third = second.succeed(2, &job);
    assert_eq!(third.fail_task(4), Some(State::Running));
    assert_eq!(third.fail_task(1), Some(State::Failed));
}

/// Guards against going back to the policy by which a job was accepted: it was changed while the job
/// was active, and the queue was removed before the next owner saw the change.
#[test]
fn a_changed_policy_outlives_its_owner() {
    let job = accepted(terms(1, attempts(2)));
    let mut first = Owner::new(0, &Stored::default());
    first.configure(attempts(2), 1);
    first.add(&job, &Progress::default());
    first.configure(attempts(4), 2);
    assert!(first.store());
    let mut second = first.succeed(1, &job);
    assert_eq!(second.fail_task(3), Some(State::Running));
    let mut third = second.succeed(2, &job);
    assert_eq!(third.fail_task(1), Some(State::Failed));
}

/// Guards against a write for each change of the configuration, of which most change no policy that
/// an active job depends on.
#[test]
fn policies_that_no_active_job_needs_are_not_stored() {
    let mut owner = Owner::new(0, &Stored::default());
    owner.configure(attempts(4), 1);
    owner.add(&accepted(terms(1, attempts(4))), &Progress::default());
    assert!(!owner.store(), "the job has it");
    owner.harness.cell.configure([("other".into(), attempts(2))], 2);
    owner.configure(attempts(4), 2);
    assert!(!owner.store(), "unchanged");
    owner.configure(attempts(5), 3);
    assert!(owner.store(), "changed");
    owner.configure(attempts(5), 4);
    assert!(!owner.store(), "stored already");
}

/// Guards against an older policy replacing a newer one, for jobs that entries accept before they
/// know the newest configuration.
#[test]
fn the_newest_policy_applies_whichever_arrives_first() {
    for newest_first in [true, false] {
        let mut owner = Owner::new(0, &Stored::default());
        let job = accepted(terms(1, attempts(2)));
        if newest_first {
            owner.configure(attempts(3), 2);
        }
        owner.add(&job, &Progress::default());
        if !newest_first {
            owner.configure(attempts(3), 2);
        }
        let mut next = owner.succeed(1, &job);
        assert_eq!(next.fail_task(2), Some(State::Running), "newest first: {newest_first}");
        assert_eq!(next.fail_task(1), Some(State::Failed));
    }
}

/// Guards against forgetting that the stored policy is older than the one by which a job was
/// accepted meanwhile, where the owner knows a newer configuration with the stored one.
#[test]
fn a_policy_that_was_changed_and_changed_back_is_stored_again() {
    let old = accepted(terms(1, attempts(3)));
    let mut owner = Owner::new(0, &Stored::default());
    owner.configure(attempts(4), 2);
    owner.add(&old, &Progress::default());
    assert!(owner.store());
    owner.configure(attempts(4), 4);
    let between = accepted(terms(3, attempts(2)));
    let now = owner.harness.now;
    owner.harness.cell.add_job(id(2), between.clone(), None, false, Duration::ZERO, now);
    assert!(owner.store(), "a later owner would apply the policy of the second job");
    let mut next = owner.succeed(1, &old);
    next.harness.cell.add_job(id(2), between, None, false, Duration::ZERO, now);
    assert!(next.harness.cell.unpersisted_batch(90).is_none(), "it applies the stored one");
}

/// Guards against starting tasks of a removed queue with advice without a ticket, which minions refuse
/// for ever.
#[test]
fn a_successor_asks_for_the_tickets_of_a_removed_queue() {
    let millis = Duration::from_millis;
    let advice = AdviceLatency { per_query: millis(400), per_minion: millis(20) };
    let mut owner = Owner::new(1, &Stored::default());
    let queue = Queue { advice: Some(advice), ..Queue::default() };
    owner.add(&accepted(terms(1, queue)), &Progress::default());
    assert!(starts(&owner.harness.plan()).is_empty());
    let queries = owner.harness.cell.take_queries();
    assert_eq!(queries.len(), 1);
    assert_eq!(owner.harness.cell.query_time(5), millis(500));
    let tickets = vec![(Harness::minion(1), "ticket".into())];
    let until = owner.harness.now + millis(3000);
    owner.harness.cell.record_advice(&queries[0], tickets, until);
    assert_eq!(starts(&owner.harness.plan()).len(), 1);
}

fn of_team(limit: u64, configuration: u64) -> Accepted {
    let limit = Resources { cpu: limit * 1000, memory_mb: 1 << 40, gpu: 1 << 40 };
    let workspace = Some(Workspace { limit, weight: 1 });
    Accepted {
        definition: definition(vec![step(8)]),
        origin: Origin::Workspace(TEAM.into()),
        terms: Some(Terms { configuration, workspace, queue: attempts(2) }),
        ..accepted(None)
    }
}

/// Number of tasks that an owner starts once its share of the workspace's limit is written.
fn started(owner: &mut Owner) -> usize {
    let harness = &mut owner.harness;
    harness.cell.confirm_splits(harness.now);
    let mut count = starts(&harness.plan()).len();
    for version in 1..4 {
        harness.advance_ms(50);
        let changes = harness.cell.split_changes(harness.now);
        harness.cell.record_split_changes(&changes, version, harness.now);
        count += starts(&harness.plan()).len();
    }
    count
}

/// Guards against running the jobs of a removed workspace one task at a time, or beyond its limit,
/// after its cell got another owner.
#[test]
fn a_successor_applies_the_limit_of_a_removed_workspace() {
    let mut owner = Owner::new(1, &Stored::default());
    owner.add(&of_team(5, 1), &Progress::default());
    assert_eq!(started(&mut owner), 5);
    let unlimited = 1 << 40;
    let mut owner = Owner::new(1, &Stored::default());
    owner.add(&of_team(unlimited, 1), &Progress::default());
    assert_eq!(started(&mut owner), 8);
}

/// Guards against going back to the limit by which a job of a removed workspace was accepted.
#[test]
fn a_changed_limit_outlives_its_owner() {
    let job = of_team(2, 1);
    let mut first = Owner::new(0, &Stored::default());
    first.add(&job, &Progress::default());
    let Some(Terms { workspace: Some(changed), .. }) = of_team(6, 2).terms else { panic!() };
    let now = first.harness.now;
    first.harness.cell.configure_workspaces([(TEAM.into(), changed)], 2, now);
    assert!(first.store());
    let mut second = first.succeed(1, &job);
    assert_eq!(started(&mut second), 6);
    let held = |event: &Event| matches!(event, Event::Held { .. });
    assert!(second.harness.cell.take_events().iter().any(held), "it is limited");
}

/// Guards against a row that the store refuses because many policies changed at once.
#[test]
fn a_cell_stores_a_bounded_number_of_policies() {
    let mut owner = Owner::new(0, &Stored::default());
    for number in 0..200 {
        let name = format!("{number:0>200}");
        owner.harness.cell.configure([(name.as_str().into(), attempts(4))], 2);
        let job = Accepted { queue: name.into(), ..accepted(terms(1, attempts(3))) };
        let now = owner.harness.now;
        owner.harness.cell.add_job(id(number), job, None, false, Duration::ZERO, now);
    }
    assert!(owner.store());
    assert!(encode(&owner.stored).len() <= 48 * 1024, "as base64 within 64 KiB");
    assert!(!owner.store(), "not written again and again");
}

/// Rows of a release that stored no terms decode without them.
#[test]
fn a_job_without_terms_is_read() {
    let accepted = accepted(None);
    let mut bytes = encode(&accepted);
    assert_eq!(bytes.pop(), Some(0));
    assert_eq!(Accepted::decode(&bytes).unwrap(), accepted);
}

/// Guards against a release that doesn't know terms failing to read a job during an upgrade.
#[test]
fn a_job_with_terms_is_read_by_earlier_releases() {
    #[derive(serde::Deserialize)]
    struct Earlier {
        queue: Box<str>,
        _at_ms: u64,
        _definition: celerythread_engine::job::Definition,
        origin: Origin,
    }
    let job = of_team(5, 1);
    let earlier: Earlier = decode(&encode(&job)).unwrap();
    assert_eq!((earlier.queue, earlier.origin), (job.queue, job.origin));
}
