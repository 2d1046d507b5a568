//! Cancellations that an owner learns of late, and orders that it sends late.

use super::*;
use celerythread_standin::site::machine::ListMode;
use celerythread_standin::site::worker::{FaultMode, Record};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

/// Time after an acknowledged cancellation from which no task of the job may be started.
pub(super) const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// Longest time that a worker takes to stop a run, by the default settings.
pub(super) const STOP_TIMEOUT: Duration = Duration::from_millis(900);

pub(super) async fn cancel(deployment: &Deployment, entry: usize, id: &str) -> Instant {
    let callers = deployment.entries[entry].callers;
    let (status, _) = call(callers, Method::Delete, &format!("/q/{id}"), None).await.unwrap();
    assert_eq!(status, 200);
    Instant::now()
}

impl Entry {
    /// Whether it has taken the cell of the workers' service.
    fn has_taken_desk(&self) -> bool {
        let lines = self.lines.lock().unwrap();
        lines.iter().any(|line| line.contains("\"cell_taken\"") && line.contains("\"desk\""))
    }
}

/// The tasks of a job that were started after a time.
pub(super) fn started_after(deployment: &Deployment, id: &str, time: Instant) -> Vec<String> {
    let history = deployment.site.history();
    let runs = history.iter().filter(|run| run.task.starts_with(id) && run.began > time);
    let describe = |run: &Record| {
        format!("{} {:?} after it, ended {:?}", run.task, run.began - time, run.end_reason)
    };
    runs.map(describe).collect()
}

/// Guards against starting tasks of a job that was cancelled some seconds ago, by an owner that gets
/// no changes of the table of jobs and missed the message.
#[async_std::test]
async fn an_owner_without_the_changes_of_the_jobs_starts_no_cancelled_job() {
    let deployment = Deployment::start("cancel-feed", 3, 3).await;
    let owner = deployment.owner().unwrap();
    let other = (owner + 1) % 3;
    let job = id(2);
    let step = |after: Value| json!({ "count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 4500, "after": after });
    let body = json!({ "spec": "ms=4500", "steps": [step(json!([])), step(json!([0]))] });
    let callers = deployment.entries[other].callers;
    let accepted = call(callers, Method::Post, &format!("/q/{job}"), Some(body)).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    deployment.wait_for_state(other, &job, "running").await;
    deployment.site.store.hold_feed(Some("jobs"));
    // After a message that isn't answered, no others are sent for a while.
    deployment.entries[owner].signal("-STOP");
    assert_eq!(deployment.submit(other, &id(3), 1, "ms=50").await, 200);
    task::sleep(Duration::from_millis(450)).await;
    deployment.entries[owner].signal("-CONT");
    let cancelled_at = cancel(&deployment, other, &job).await;
    task::sleep(Duration::from_secs(7)).await;
    let late = started_after(&deployment, &job, cancelled_at + CANCEL_BOUND);
    assert_eq!(late, Vec::<String>::new());
    assert_eq!(deployment.owner(), Some(owner), "the cell has kept its owner");
    deployment.site.store.hold_feed(None);
    deployment.wait_for_state(other, &id(3), "completed").await;
    deployment.wait_for_state(other, &job, "cancelled").await;
}

/// Guards against tasks of a cancelled job that run on, under an owner that gets no changes of the
/// table of jobs and missed the message.
#[async_std::test]
async fn an_owner_without_the_changes_of_the_jobs_stops_a_cancelled_job() {
    let deployment = Deployment::start("cancel-running", 3, 3).await;
    let owner = deployment.owner().unwrap();
    let other = (owner + 1) % 3;
    let job = id(2);
    assert_eq!(deployment.submit(other, &job, 3, "ms=60000").await, 200);
    deployment.wait_for_state(other, &job, "running").await;
    deployment.site.store.hold_feed(Some("jobs"));
    deployment.entries[owner].signal("-STOP");
    assert_eq!(deployment.submit(other, &id(3), 1, "ms=50").await, 200);
    task::sleep(Duration::from_millis(450)).await;
    deployment.entries[owner].signal("-CONT");
    let cancelled_at = cancel(&deployment, other, &job).await;
    task::sleep(CANCEL_BOUND + STOP_TIMEOUT).await;
    let history = deployment.site.history();
    let runs = history.iter().filter(|run| run.task.starts_with(&job) && run.ended.is_none());
    let running: Vec<&str> = runs.map(|run| run.task.as_str()).collect();
    assert!(running.is_empty(), "{running:?} {:?} after it", cancelled_at.elapsed());
    assert_eq!(deployment.owner(), Some(owner), "the cell has kept its owner");
}

/// Guards against sending starts of a cancelled job that were ordered before the cancellation and
/// waited behind calls that the minion didn't answer.
#[async_std::test]
async fn starts_that_wait_behind_others_are_dropped_when_their_job_is_cancelled() {
    let deployment = Deployment::start("cancel-queue", 2, 1).await;
    let owner = deployment.owner().unwrap();
    let worker = deployment.site.workers.values().next().unwrap().worker.clone();
    worker.set_fault_mode(FaultMode::IgnoresStarts);
    let job = id(1);
    assert_eq!(deployment.submit(owner, &job, 16, "ms=300").await, 200);
    eventually("the starts are ordered", async || {
        (deployment.entries[owner].count_logged("start_ordered") == 16).then_some(())
    })
    .await;
    let cancelled_at = cancel(&deployment, owner, &job).await;
    // A plan has stopped the job's runs by then.
    task::sleep(Duration::from_millis(400)).await;
    let back_at = Instant::now();
    worker.set_fault_mode(FaultMode::None);
    task::sleep(Duration::from_secs(5)).await;
    let late = started_after(&deployment, &job, back_at);
    assert_eq!(late, Vec::<String>::new(), "{:?} after the cancellation", back_at - cancelled_at);
    deployment.wait_for_state(owner, &job, "cancelled").await;
}

/// Guards against orders of an owner that was stopped, which its successor doesn't expect and which a
/// worker that hasn't heard of the successor carries out: they wait behind calls that the worker
/// didn't answer.
#[async_std::test]
async fn an_owner_that_was_replaced_sends_none_of_its_queued_orders() {
    let deployment = Deployment::start("cancel-former", 2, 1).await;
    let owner = deployment.owner().unwrap();
    let worker = deployment.site.workers.values().next().unwrap().worker.clone();
    // Nothing is started on a worker that has never answered.
    assert_eq!(deployment.submit(owner, &id(9), 1, "ms=50").await, 200);
    deployment.wait_for_state(owner, &id(9), "completed").await;
    worker.set_fault_mode(FaultMode::Silent);
    assert_eq!(deployment.submit(owner, &id(1), 16, "ms=300").await, 200);
    eventually("the job's stops wait, too", async || {
        (deployment.entries[owner].count_logged("stop_ordered") >= 16).then_some(())
    })
    .await;
    let former_token = worker.calls().last().unwrap().token;
    deployment.entries[owner].signal("-STOP");
    eventually("the other entry owns the cell", async || {
        deployment.entries[1 - owner].has_logged("cell_loaded").then_some(())
    })
    .await;
    deployment.entries[owner].signal("-CONT");
    eventually("the owner knows", async || {
        deployment.entries[owner].has_logged("cell_lost").then_some(())
    })
    .await;
    // For what it was sending.
    task::sleep(Duration::from_millis(100)).await;
    let stopped_at = Instant::now();
    task::sleep(Duration::from_secs(4)).await;
    let calls = worker.calls();
    let late = calls.iter().filter(|call| call.token == former_token && call.at > stopped_at);
    let late: Vec<String> =
        late.map(|call| format!("{} {:?}", call.path, call.at - stopped_at)).collect();
    assert_eq!(late, Vec::<String>::new());
}

/// Guards against a task of a cancelled job that runs on while its stop waits behind starts of other
/// jobs that the worker doesn't answer.
#[async_std::test]
async fn a_stop_does_not_wait_behind_unanswered_starts() {
    let deployment = Deployment::start("cancel-behind", 2, 1).await;
    let owner = deployment.owner().unwrap();
    let worker = deployment.site.workers.values().next().unwrap().worker.clone();
    let (job, others) = (id(1), id(2));
    assert_eq!(deployment.submit(owner, &job, 1, "ms=60000").await, 200);
    eventually("the worker runs it", async || worker.running().first().map(drop)).await;
    worker.set_fault_mode(FaultMode::IgnoresStarts);
    let step = json!({ "count": 60, "cpu": 100, "memMb": 64, "estimateMs": 300 });
    let body = json!({ "spec": "ms=300", "steps": [step] });
    let callers = deployment.entries[owner].callers;
    let accepted = call(callers, Method::Post, &format!("/q/{others}"), Some(body)).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    eventually("the starts are ordered", async || {
        (deployment.entries[owner].count_logged("start_ordered") > 30).then_some(())
    })
    .await;
    let cancelled_at = cancel(&deployment, owner, &job).await;
    task::sleep(CANCEL_BOUND + STOP_TIMEOUT).await;
    let runs = deployment.site.history();
    let run = runs.iter().find(|run| run.task.starts_with(&job)).unwrap();
    let took = run.ended.map(|at| at - cancelled_at);
    assert!(took.is_some(), "it runs on {:?} after it", cancelled_at.elapsed());
}

/// Guards against starting tasks of a cancelled job again that were ordered on a worker which is gone
/// and refuses connections, and were given to another worker.
#[async_std::test]
async fn starts_on_a_lost_worker_are_not_repeated_once_their_job_is_cancelled() {
    let mut deployment = Deployment::start("cancel-gone", 2, 2).await;
    let owner = deployment.owner().unwrap();
    let (lost, other) = ("i-0", "i-1");
    for id in [lost, other] {
        deployment.site.workers[id].worker.set_fault_mode(FaultMode::IgnoresStarts);
    }
    let job = id(1);
    assert_eq!(deployment.submit(owner, &job, 32, "ms=300").await, 200);
    eventually("the starts are ordered", async || {
        (deployment.entries[owner].count_logged("start_ordered") >= 20).then_some(())
    })
    .await;
    deployment.site.crash(lost);
    task::sleep(Duration::from_millis(300)).await;
    let cancelled_at = cancel(&deployment, owner, &job).await;
    task::sleep(Duration::from_millis(400)).await;
    let back_at = Instant::now();
    deployment.site.workers[other].worker.set_fault_mode(FaultMode::None);
    task::sleep(Duration::from_secs(5)).await;
    let late = started_after(&deployment, &job, back_at);
    assert_eq!(late, Vec::<String>::new(), "{:?} after the cancellation", back_at - cancelled_at);
    deployment.wait_for_state(owner, &job, "cancelled").await;
}

/// Guards against cancellations that get lost between two owners of a cell: the former one is sent
/// them while it stands still, its successor while it loads the cell, and the former one goes on
/// before it knows that it was replaced.
#[async_std::test]
async fn jobs_cancelled_while_their_cell_changes_owner_are_neither_started_nor_left_running() {
    const JOBS: u32 = 40;
    const PAUSE: Duration = Duration::from_millis(60);
    let deployment = Deployment::start("cancel-takeover", 3, 3).await;
    let owner = deployment.owner().unwrap();
    let others = [(owner + 1) % 3, (owner + 2) % 3];
    let step = |after: Value| json!({ "count": 1, "cpu": 500, "memMb": 64, "estimateMs": 5000, "after": after });
    let body = json!({ "spec": "ms=5000", "steps": [step(json!([])), step(json!([0]))] });
    for number in 1..=JOBS {
        let callers = deployment.entries[others[0]].callers;
        let path = format!("/q/{}", id(number));
        let accepted = call(callers, Method::Post, &path, Some(body.clone())).await;
        assert_eq!(accepted.map(|(status, _)| status), Some(200));
    }
    deployment.entries[owner].signal("-STOP");
    let (mut cancelled, mut is_resumed) = (Vec::new(), false);
    for number in 1..=JOBS {
        let job = id(number);
        let by = others[number as usize % 2];
        cancelled.push((job.clone(), cancel(&deployment, by, &job).await));
        if !is_resumed && others.iter().any(|entry| deployment.entries[*entry].has_taken_desk()) {
            is_resumed = true;
            deployment.entries[owner].signal("-CONT");
        }
        task::sleep(PAUSE).await;
    }
    assert!(is_resumed, "another entry has taken the cell meanwhile");
    task::sleep(Duration::from_secs(7)).await;
    let history = deployment.site.history();
    for (job, cancelled_at) in cancelled {
        let late = started_after(&deployment, &job, cancelled_at + CANCEL_BOUND);
        assert_eq!(late, Vec::<String>::new());
        let end = cancelled_at + CANCEL_BOUND + STOP_TIMEOUT;
        let runs_on =
            |run: &&Record| run.task.starts_with(&job) && run.ended.is_none_or(|ended| ended > end);
        let running: Vec<&Record> = history.iter().filter(runs_on).collect();
        assert!(running.is_empty(), "{running:?}");
    }
}

/// Guards against starting tasks of a job that was cancelled while a new owner loaded its cell.  The
/// owner has read the jobs, waits for the list of machines, and drops messages meanwhile.
#[async_std::test]
async fn an_owner_with_a_slow_load_starts_no_job_that_was_cancelled_meanwhile() {
    let deployment = Deployment::start("cancel-load", 3, 2).await;
    let owner = deployment.owner().unwrap();
    let other = (owner + 1) % 3;
    let list_mode = ListMode { pages: 5, delay: Duration::from_millis(850) };
    deployment.site.machines.set_list_mode(list_mode);
    let progress_reads = || deployment.site.store.traffic("progress").calls;
    let before = progress_reads();
    deployment.entries[owner].signal("-KILL");
    let job = id(2);
    assert_eq!(deployment.submit(other, &job, 4, "ms=50").await, 200);
    eventually("the jobs are read", async || (progress_reads() > before).then_some(())).await;
    let cancelled_at = cancel(&deployment, other, &job).await;
    let has_loaded = async || (deployment.owner() != Some(owner)).then_some(());
    eventually("the cell is loaded", has_loaded).await;
    assert!(cancelled_at.elapsed() > CANCEL_BOUND, "loaded {:?} after it", cancelled_at.elapsed());
    task::sleep(Duration::from_secs(3)).await;
    let late = started_after(&deployment, &job, cancelled_at + CANCEL_BOUND);
    assert_eq!(late, Vec::<String>::new());
    deployment.wait_for_state(other, &job, "cancelled").await;
}

/// Guards against starting tasks of a cancelled job, which an old view of the jobs had prevented, as
/// soon as the store refuses all calls of their owner.
#[async_std::test]
async fn an_owner_with_an_old_view_starts_no_cancelled_job_when_it_loses_the_store() {
    let site = Site::start(2).await.unwrap();
    let mut deployment = Deployment { site, entries: Vec::new(), test: "cancel-refused" };
    let (proxy, store) = deployment.site.add_store_proxy().await.unwrap();
    let machines = deployment.site.machine_address();
    let additional = AdditionalSettings {
        run: "lease = 4500ms\nextend_alone = 3s",
        ..AdditionalSettings::default()
    };
    let start = async |store, name| {
        Entry::start_configured(store, machines, "cancel-refused", name, additional).await
    };
    deployment.add_started(start(store, "owner").await).await;
    eventually("the service has an owner", async || deployment.owner()).await;
    deployment.add_started(start(deployment.site.store_address(), "other").await).await;
    let (owner, other) = (0, 1);
    let job = id(2);
    let step = |after: Value| json!({ "count": 1, "cpu": 1000, "memMb": 64, "estimateMs": 3500, "after": after });
    let body = json!({ "spec": "ms=3500", "steps": [step(json!([])), step(json!([0]))] });
    let callers = deployment.entries[other].callers;
    let accepted = call(callers, Method::Post, &format!("/q/{job}"), Some(body)).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    deployment.wait_for_state(other, &job, "running").await;
    deployment.site.store.hold_feed(Some("jobs"));
    proxy.refuse_reads(Some("jobs"));
    // After a message that isn't answered, no others are sent for a while.
    deployment.entries[owner].signal("-STOP");
    assert_eq!(deployment.submit(other, &id(3), 1, "ms=50").await, 200);
    task::sleep(Duration::from_millis(450)).await;
    deployment.entries[owner].signal("-CONT");
    let cancelled_at = cancel(&deployment, other, &job).await;
    task::sleep(CANCEL_BOUND + Duration::from_millis(300)).await;
    assert!(deployment.entries[owner].has_logged("starts_held"));
    // Nobody takes the cell over.
    deployment.entries[other].signal("-STOP");
    proxy.set_unavailable(true);
    task::sleep(Duration::from_secs(4)).await;
    let late = started_after(&deployment, &job, cancelled_at + CANCEL_BOUND);
    assert_eq!(late, Vec::<String>::new());
}

/// Guards against tasks of a cancelled job that run on because its queue was moved to another service
/// after the job was accepted.
#[async_std::test]
async fn a_job_of_a_queue_that_was_moved_to_another_service_is_cancelled() {
    let deployment = Deployment::start("cancel-moved", 2, 2).await;
    let owner = deployment.owner().unwrap();
    let job = id(1);
    assert_eq!(deployment.submit(owner, &job, 2, "ms=60000").await, 200);
    deployment.wait_for_state(owner, &job, "running").await;
    deployment.site.move_queue(2);
    // A configuration is in force everywhere two seconds after it was written.
    task::sleep(Duration::from_secs(2)).await;
    let callers = deployment.entries[1 - owner].callers;
    let (status, _) = call(callers, Method::Delete, &format!("/q/{job}"), None).await.unwrap();
    assert!([200, 410].contains(&status), "{status}");
    task::sleep(CANCEL_BOUND + STOP_TIMEOUT).await;
    let history = deployment.site.history();
    let running = history.iter().filter(|run| run.ended.is_none()).count();
    assert_eq!(running, 0, "answered {status}");
}

/// Guards against starting tasks of a cancelled job that wait behind starts which the worker executes at
/// once and answers slowly.
#[async_std::test]
async fn starts_on_a_slow_worker_are_dropped_when_their_job_is_cancelled() {
    const ANSWER_DELAY: Duration = Duration::from_millis(250);
    let deployment = Deployment::start("cancel-slow", 2, 1).await;
    let owner = deployment.owner().unwrap();
    let worker = deployment.site.workers.values().next().unwrap().worker.clone();
    worker.set_fault_mode(FaultMode::Slow(ANSWER_DELAY));
    let job = id(1);
    let step = json!({ "count": 80, "cpu": 100, "memMb": 64, "estimateMs": 100 });
    let body = json!({ "spec": "ms=100", "steps": [step] });
    let callers = deployment.entries[owner].callers;
    let accepted = call(callers, Method::Post, &format!("/q/{job}"), Some(body)).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    eventually("a task runs", async || worker.running().first().map(drop)).await;
    let cancelled_at = cancel(&deployment, 1 - owner, &job).await;
    task::sleep(CANCEL_BOUND * 2).await;
    let history = deployment.site.history();
    let late = |run: &&Record| run.began > cancelled_at + CANCEL_BOUND;
    let late: Vec<&Record> = history.iter().filter(late).collect();
    assert!(late.is_empty(), "{late:?}");
}

/// Lets a process run for 3 ms in each tenth of a second, until the returned flag is cleared.
fn starve(entry: &Entry) -> (Arc<AtomicBool>, JoinHandle<()>) {
    const RUNNING: Duration = Duration::from_millis(3);
    const STOPPED: Duration = Duration::from_millis(97);
    let (process, is_starved) = (entry.child.id().to_string(), Arc::new(AtomicBool::new(true)));
    let flag = is_starved.clone();
    let starving = std::thread::spawn(move || {
        while flag.load(Ordering::SeqCst) {
            for (signal, time) in [("-STOP", STOPPED), ("-CONT", RUNNING)] {
                assert!(Command::new("kill").args([signal, &process]).status().unwrap().success());
                std::thread::sleep(time);
            }
        }
    });
    (is_starved, starving)
}

/// Guards against starting tasks of a cancelled job that wait for an owner with too little processor
/// time to send them.
#[async_std::test]
async fn an_owner_short_of_processor_time_starts_no_cancelled_job() {
    let deployment = Deployment::start("cancel-starved", 2, 3).await;
    let owner = deployment.owner().unwrap();
    let (is_starved, starving) = starve(&deployment.entries[owner]);
    let job = id(1);
    let step = json!({ "count": 400, "cpu": 100, "memMb": 64, "estimateMs": 100 });
    let body = json!({ "spec": "ms=100", "steps": [step] });
    let callers = deployment.entries[1 - owner].callers;
    let accepted = call(callers, Method::Post, &format!("/q/{job}"), Some(body)).await;
    assert_eq!(accepted.map(|(status, _)| status), Some(200));
    eventually("a task runs", async || deployment.site.history().first().map(drop)).await;
    let cancelled_at = cancel(&deployment, 1 - owner, &job).await;
    task::sleep(CANCEL_BOUND * 2).await;
    is_starved.store(false, Ordering::SeqCst);
    starving.join().unwrap();
    let late = started_after(&deployment, &job, cancelled_at + CANCEL_BOUND);
    assert_eq!(late, Vec::<String>::new());
}
