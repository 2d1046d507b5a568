//! Cancellations that are acknowledged before their job is stored.

use super::cancellations::{CANCEL_BOUND, STOP_TIMEOUT, cancel, started_after};
use super::*;
use celerythread_engine::cancellation::MAX_EARLY_CANCELLATIONS;
use celerythread_standin::site::store::Deferral;

/// A deployment with three entries and a job whose submission to one of them isn't answered.
struct Unanswered {
    deployment: Deployment,
    owner: usize,
    /// The status of the answer to the submission, if any.
    answer: task::JoinHandle<Option<u16>>,
    /// The entry through which it is cancelled.
    cancelled_by: usize,
    job: String,
}

impl Unanswered {
    /// Submits the job.  Its caller gives up after `deadline`, and the store executes each write of its
    /// row only after `delay`.
    async fn submit(test: &'static str, deadline: Duration, delay: Duration) -> Self {
        let deployment = Deployment::start(test, 3, 3).await;
        let owner = deployment.owner().unwrap();
        let (submitted_to, cancelled_by, job) = ((owner + 1) % 3, (owner + 2) % 3, id(7));
        let deferral = Deferral { table: "jobs".into(), key_prefix: format!("job/{job}"), delay };
        deployment.site.store.defer_transactions(Some(deferral));
        let callers = deployment.entries[submitted_to].callers;
        let mut request = client::request(Method::Post, callers, &format!("/q/{job}")).unwrap();
        request.insert_header("host", "jobs.example");
        request.insert_header("x-celerythread-deadline-ms", deadline.as_millis().to_string());
        request.set_body(celerythread_standin::site::job(3, "ms=60000").to_string());
        // The entry doesn't learn that the caller stops waiting.
        let answer = task::spawn(async move {
            let timeout = Duration::from_secs(4);
            let answer = client::fetch(callers, request, timeout, 1 << 20).await.ok()?;
            Some(answer.0.status().into())
        });
        Self { deployment, owner, answer, cancelled_by, job }
    }

    /// Cancels the job; returns when that was acknowledged.
    async fn cancel(&self) -> Instant {
        assert!(!self.is_stored(), "cancelled before its row is written");
        let callers = self.deployment.entries[self.cancelled_by].callers;
        let path = format!("/q/{}", self.job);
        let (status, _) = call(callers, Method::Delete, &path, None).await.unwrap();
        assert!([200, 410].contains(&status), "{status}");
        Instant::now()
    }

    fn is_stored(&self) -> bool {
        self.deployment.site.store.count("jobs", &format!("job/{}", self.job)) == 1
    }

    /// Checks that the job is stored after its cancellation and cancelled all the same.
    ///
    /// Returns the deployment, and the status of the answer to the submission.
    async fn check(
        self,
        cancelled_at: Instant,
        checked_after: Duration,
    ) -> (Deployment, Option<u16>) {
        task::sleep(checked_after.saturating_sub(cancelled_at.elapsed())).await;
        assert!(self.is_stored(), "the late write was executed");
        let late = started_after(&self.deployment, &self.job, cancelled_at + CANCEL_BOUND);
        assert_eq!(late, Vec::<String>::new());
        let history = self.deployment.site.history();
        let runs = history.iter().filter(|run| run.task.starts_with(&self.job));
        let running: Vec<&str> =
            runs.filter(|run| run.ended.is_none()).map(|run| run.task.as_str()).collect();
        assert!(running.is_empty(), "{running:?} {:?} after it", cancelled_at.elapsed());
        self.deployment.wait_for_state(self.cancelled_by, &self.job, "cancelled").await;
        (self.deployment, self.answer.await)
    }
}

/// Guards against running a job whose cancellation was acknowledged before the store executed the
/// write of its row, which its entry had given up on.
#[async_std::test]
async fn a_job_that_is_stored_seconds_after_its_cancellation_does_not_run() {
    let delay = Duration::from_secs(4);
    let submission =
        Unanswered::submit("cancel-late-write", Duration::from_millis(600), delay).await;
    task::sleep(Duration::from_millis(700)).await;
    let cancelled_at = submission.cancel().await;
    let checked_after = delay + STOP_TIMEOUT + Duration::from_secs(1);
    let (_, answer) = submission.check(cancelled_at, checked_after).await;
    assert!([None, Some(504)].contains(&answer), "{answer:?} isn't known to be true");
}

/// Guards against running a job whose cancellation was acknowledged while the entry that it was
/// submitted to still repeated the write of its row.
#[async_std::test]
async fn a_job_that_its_entry_stores_after_its_cancellation_does_not_run() {
    let never = Duration::from_secs(600);
    let submission = Unanswered::submit("cancel-retry", Duration::from_secs(3), never).await;
    task::sleep(Duration::from_millis(300)).await;
    let cancelled_at = submission.cancel().await;
    submission.deployment.site.store.defer_transactions(None);
    let (_, answer) = submission.check(cancelled_at, CANCEL_BOUND + STOP_TIMEOUT).await;
    assert_eq!(answer, Some(200));
}

/// Guards against running a job that was cancelled before its row was written, by an owner that missed
/// the message and gets no changes of the table of jobs.
#[async_std::test]
async fn an_owner_that_reads_both_a_job_and_its_earlier_cancellation_does_not_run_it() {
    let submission = Unanswered::submit(
        "cancel-unheard",
        Duration::from_millis(600),
        Duration::from_millis(1_500),
    )
    .await;
    let deployment = &submission.deployment;
    deployment.site.store.hold_feed(Some("jobs"));
    task::sleep(Duration::from_millis(700)).await;
    deployment.entries[submission.owner].signal("-STOP");
    let cancelled_at = submission.cancel().await;
    task::sleep(Duration::from_millis(450)).await;
    deployment.entries[submission.owner].signal("-CONT");
    let owner = submission.owner;
    let (deployment, _) = submission.check(cancelled_at, Duration::from_secs(7)).await;
    assert_eq!(deployment.owner(), Some(owner), "the cell has kept its owner");
}

/// Guards against running a job that was cancelled before its row was written, by an owner that takes
/// over after both.
#[async_std::test]
async fn a_new_owner_does_not_run_a_job_that_was_cancelled_before_it_was_stored() {
    let mut submission = Unanswered::submit(
        "cancel-takeover",
        Duration::from_millis(600),
        Duration::from_millis(1_200),
    )
    .await;
    task::sleep(Duration::from_millis(700)).await;
    let cancelled_at = submission.cancel().await;
    submission.deployment.entries[submission.owner].child.kill().unwrap();
    let former = submission.owner;
    eventually("another entry takes over", async || {
        let owner = submission.deployment.owner();
        owner.filter(|owner| *owner != former)
    })
    .await;
    assert!(submission.is_stored(), "before the takeover");
    submission.check(cancelled_at, Duration::from_secs(10)).await;
}

/// Guards against rows of cancellations that stay in the store for good because no job came, also
/// those of older releases, and against deleting one that a job or a repeated request still needs.
#[async_std::test]
async fn rows_of_early_cancellations_are_deleted_after_the_retention() {
    let site = Site::start(1).await.unwrap();
    // Owners keep rows for half a minute longer than that.
    let additional =
        AdditionalSettings { platform: "retention = 0s", ..AdditionalSettings::default() };
    let (store, machines) = (site.store_address(), site.machine_address());
    let test = "cancel-rows";
    let entry = Entry::start_configured(store, machines, test, "entry-0", additional).await;
    let mut deployment = Deployment { site, entries: Vec::new(), test };
    deployment.add_started(entry).await;
    eventually("the service has an owner", async || deployment.owner()).await;
    let callers = deployment.entries[0].callers;
    let delete = async |number: u32| {
        let path = format!("/q/{}", id(number));
        let (status, _) = call(callers, Method::Delete, &path, None).await.unwrap();
        assert_eq!(status, 410);
    };
    let rows = || deployment.site.store.count("jobs", "cancel/");
    for number in 1..=40 {
        delete(number).await;
    }
    // As a release without the callers of early cancellations writes it.
    let key = format!("cancel/{}", id(40));
    let part = deployment.site.store.part_of("jobs", &key).unwrap();
    deployment.site.store.put("jobs", &part, &key, &[1, 5]);
    task::sleep(Duration::from_secs(20)).await;
    assert_eq!(rows(), 40);
    delete(1).await;
    eventually("the rows are deleted", async || (rows() <= 1).then_some(())).await;
    let repeated = format!("cancel/{}", id(1));
    assert_eq!(deployment.site.store.count("jobs", &repeated), 1, "it was repeated");
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 200);
    deployment.wait_for_state(0, &id(1), "cancelled").await;
    assert_eq!(deployment.submit(0, &id(2), 1, "ms=50").await, 200);
    deployment.wait_for_state(0, &id(2), "completed").await;
    assert!(!deployment.entries[0].has_logged("rows_left"));
}

/// Guards against rows and memory that grow without limit with the cancellations of unknown ids, and
/// against refusing those of accepted jobs once the limit is reached.
#[async_std::test]
async fn an_entry_keeps_a_limited_number_of_early_cancellations() {
    const CALLERS: u32 = 16;
    const CALLS_PER_CALLER: u32 = 126;
    let deployment = Deployment::start("cancel-many", 1, 1).await;
    let entry = deployment.entries[0].callers;
    let calls = (0..CALLERS).map(|caller| {
        task::spawn(async move {
            let mut statuses = Vec::new();
            for number in 0..CALLS_PER_CALLER {
                let path = format!("/q/{}", id(1_000 + caller * CALLS_PER_CALLER + number));
                let answer = call(entry, Method::Delete, &path, None).await;
                statuses.push(answer.map_or(0, |(status, _)| status));
            }
            statuses
        })
    });
    let mut statuses = Vec::new();
    for caller in calls.collect::<Vec<_>>() {
        statuses.extend(caller.await);
    }
    let count = |wanted: u16| statuses.iter().filter(|status| **status == wanted).count();
    let rows = deployment.site.store.count("jobs", "cancel/");
    assert_eq!((count(410), count(503)), (rows, statuses.len() - rows));
    assert_eq!(rows, MAX_EARLY_CANCELLATIONS);
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=60000").await, 200);
    cancel(&deployment, 0, &id(1)).await;
    deployment.wait_for_state(0, &id(1), "cancelled").await;
}

/// Guards against an owner that applies a cancellation whose row is deleted, which a later owner
/// wouldn't know.
#[async_std::test]
async fn a_cancellation_whose_row_was_deleted_does_not_apply_to_a_later_job() {
    let deployment = Deployment::start("cancel-deleted", 1, 1).await;
    let callers = deployment.entries[0].callers;
    let job = id(1);
    let (status, _) = call(callers, Method::Delete, &format!("/q/{job}"), None).await.unwrap();
    assert_eq!(status, 410);
    let (store, key) = (&deployment.site.store, format!("cancel/{job}"));
    let part = store.part_of("jobs", &key).unwrap();
    // Until the owner has read the row.
    task::sleep(Duration::from_secs(2)).await;
    store.delete_row("jobs", &part, &key);
    task::sleep(Duration::from_secs(2)).await;
    assert_eq!(deployment.submit(0, &job, 1, "ms=50").await, 200);
    deployment.wait_for_state(0, &job, "completed").await;
}
