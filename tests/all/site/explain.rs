//! The cause of a failed request is found from its id and the log lines alone.

use super::*;
use celerythread::explain::Trace;
use celerythread::logs::Line;
use celerythread_standin::site::store::FaultMode as StoreTrouble;
use celerythread_standin::site::worker::FaultMode as WorkerTrouble;

/// The log lines that the entries have written so far.
fn lines(deployment: &Deployment) -> Vec<Line> {
    let read = |(index, entry): (usize, &Entry)| {
        let source = format!("entry-{index}");
        let lines = entry.lines.lock().unwrap().clone();
        lines.iter().filter_map(|line| Line::parse(line, &source)).collect::<Vec<_>>()
    };
    deployment.entries.iter().enumerate().flat_map(read).collect()
}

/// Waits until the explained cause of a job contains all words.
pub(super) async fn wait_for_cause(deployment: &Deployment, job: &str, words: &[&str]) {
    let mut explanation = String::new();
    eventually(&format!("the cause names {words:?}"), async || {
        explanation = Trace::collect(job, &lines(deployment)).cause();
        words.iter().all(|word| explanation.contains(word)).then_some(())
    })
    .await;
}

/// Guards against a held job being explained by a lack of capacity instead of its workspace's
/// limit.  That happened when the owner logged the limit a millisecond before the accepting entry
/// logged the job.
#[test]
fn a_held_job_is_explained_in_any_order_of_log_lines() {
    let line = |ms: u32, event: &str, kvs: Value| {
        let at = format!("2026-12-03T09:00:00.{ms:03}Z");
        let text = json!({ "timestamp": at, "message": event, "kvs": kvs }).to_string();
        Line::parse(&text, "entry-0").unwrap()
    };
    let job = id(7);
    let held =
        json!({ "job": job, "workspace": "team", "limit": "2000m/any/any", "used": "2000m/1MB/0" });
    let mut lines = vec![
        line(10, "job_known", json!({ "job": job })),
        line(11, "job_held", held),
        line(12, "job_accepted", json!({ "job": job })),
    ];
    let cause = Trace::collect(&job, &lines).cause();
    assert!(cause.contains("limit of workspace team"), "{cause}");
    let mut started = line(13, "start_ordered", json!({ "job": job }));
    started.at_ms += 2000;
    let mut ended = line(14, "job_ended", json!({ "job": job, "state": "completed" }));
    ended.at_ms += 2000;
    lines.extend([started, ended]);
    let cause = Trace::collect(&job, &lines).cause();
    assert!(cause.contains("its workspace's limit"), "{cause}");
}

/// A submission is refused while the store refuses every call.  The explanation names the store.
#[async_std::test]
async fn a_refused_request_is_explained_by_the_store() {
    let deployment = Deployment::start("explain-refused", 2, 1).await;
    deployment.site.store.set_fault_mode(StoreTrouble::Refuses);
    task::sleep(Duration::from_millis(300)).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 503);
    wait_for_cause(&deployment, &id(1), &["refused as not run", "had lost the store", "503"]).await;
}

/// A job is late because its minion stopped answering and its lease had to expire.
#[async_std::test]
async fn a_late_job_is_explained_by_the_minion_that_stopped_answering() {
    let deployment = Deployment::start("explain-late", 1, 2).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=1500").await, 200);
    let worker = eventually("the task runs", async || {
        let mut workers = deployment.site.workers.iter();
        workers.find(|(_, w)| !w.worker.running().is_empty()).map(|(id, _)| id.clone())
    })
    .await;
    deployment.site.workers[&worker].worker.set_fault_mode(WorkerTrouble::Silent);
    deployment.wait_for_state(0, &id(1), "completed").await;
    wait_for_cause(&deployment, &id(1), &["completed, after", "until the lease", &worker]).await;
}

/// A job fails because its task crashed the minions that started it.
#[async_std::test]
async fn a_job_that_failed_by_crashes_is_explained_by_the_crashed_minions() {
    let deployment = Deployment::start("explain-crash", 1, 4).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "crash").await, 200);
    deployment.wait_for_state(0, &id(1), "failed").await;
    wait_for_cause(&deployment, &id(1), &["was given up after 2 minions", "i-"]).await;
}

/// A job fails because its task failed on every minion that ran it.
#[async_std::test]
async fn a_failed_job_is_explained_by_its_own_runs() {
    let deployment = Deployment::start("explain-failed", 1, 3).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=20 fail").await, 200);
    deployment.wait_for_state(0, &id(1), "failed").await;
    wait_for_cause(&deployment, &id(1), &["failed 2 times", "the job's own fault"]).await;
}

/// Guards against an entry that blocks while its output isn't read.  It must drop log lines
/// instead.
#[async_std::test]
async fn an_entry_keeps_serving_while_its_output_is_not_read() {
    let deployment = Deployment::start("explain-unread", 1, 2).await;
    // Holds the lock that the reading thread needs for the next line.
    let lines = deployment.entries[0].lines.clone();
    let (release, released) = std::sync::mpsc::channel::<()>();
    let lock_holder = std::thread::spawn(move || {
        let _guard = lines.lock().unwrap();
        let _ = released.recv();
    });
    let callers = deployment.entries[0].callers;
    for number in 0..150 {
        assert_eq!(submit(callers, &id(number), 3, "ms=1").await, Some(200));
    }
    eventually("the last job is completed", async || {
        (state(callers, &id(149)).await? == "completed").then_some(())
    })
    .await;
    drop(release);
    lock_holder.join().unwrap();
}
