//! Cancellations that an owner learns of late, and orders that it sends late.

use super::*;
use celerythread_standin::site::worker::FaultMode;

async fn cancel(deployment: &Deployment, entry: usize, id: &str) -> Instant {
    let callers = deployment.entries[entry].callers;
    let (status, _) = call(callers, Method::Delete, &format!("/q/{id}"), None).await.unwrap();
    assert_eq!(status, 200);
    Instant::now()
}

/// The tasks of a job that were started after a time.
fn started_after(deployment: &Deployment, id: &str, time: Instant) -> Vec<String> {
    let history = deployment.site.history();
    let runs = history.iter().filter(|run| run.task.starts_with(id) && run.began > time);
    runs.map(|run| format!("{} {:?} after it", run.task, run.began - time)).collect()
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
