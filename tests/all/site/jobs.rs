//! Lifecycle of a job, end to end.

use super::*;
use celerythread_standin::site::check;
use celerythread_standin::site::store::FaultMode;

#[async_std::test]
async fn a_job_is_accepted_run_and_shown_at_every_entry() {
    let deployment = Deployment::start("life", 3, 3).await;
    assert_eq!(deployment.submit(0, &id(1), 5, "ms=200").await, 200);
    for entry in 0..3 {
        let state = deployment.state(entry, &id(1)).await.unwrap();
        assert!(["queued", "running", "completed"].contains(&state.as_str()), "{state}");
    }
    for entry in 0..3 {
        deployment.wait_for_state(entry, &id(1), "completed").await;
    }
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
    assert_eq!(check::all_done(&history, &[(id(1), 5)]), Vec::<String>::new());
}

#[async_std::test]
async fn an_invalid_job_is_refused_with_the_matching_status() {
    let deployment = Deployment::start("refusals", 1, 1).await;
    let entry = deployment.entries[0].callers;
    let status = async |method, path: &str, body| call(entry, method, path, body).await.unwrap().0;
    assert_eq!(status(Method::Get, &format!("/q/{}", id(9)), None).await, 410);
    assert_eq!(status(Method::Delete, &format!("/q/{}", id(9)), None).await, 410);
    assert_eq!(status(Method::Get, &format!("/other/{}", id(9)), None).await, 404);
    assert_eq!(status(Method::Post, "/q/not-an-id", Some(json!({}))).await, 404);
    let path = format!("/q/{}", id(9));
    assert_eq!(status(Method::Post, &path, Some(json!({ "steps": 3 }))).await, 400);
    assert_eq!(status(Method::Post, &path, Some(json!({ "steps": [] }))).await, 400);
    let wide = json!({ "steps": [{ "count": 4_000_000 }] });
    assert_eq!(status(Method::Post, &path, Some(wide)).await, 413);
    let after_itself = json!({ "steps": [{ "count": 1, "after": [0] }] });
    assert_eq!(status(Method::Post, &path, Some(after_itself)).await, 400);
    assert_eq!(status(Method::Get, &path, None).await, 410);
}

/// Guards against running a job twice: the answer to its submission is lost, and its caller sends
/// it again to another entry.
#[async_std::test]
async fn a_job_submitted_again_runs_once() {
    let deployment = Deployment::start("again", 2, 2).await;
    assert_eq!(deployment.submit(0, &id(1), 2, "ms=100").await, 200);
    assert_eq!(deployment.submit(1, &id(1), 7, "ms=100 other").await, 200);
    deployment.wait_for_state(1, &id(1), "completed").await;
    assert_eq!(deployment.submit(1, &id(1), 2, "ms=100").await, 200);
    task::sleep(Duration::from_millis(500)).await;
    let history = deployment.site.history();
    assert_eq!(history.len(), 2, "{history:?}");
}

/// Guards against running a job other than the stored one, so that a later owner would run
/// something else under the same id.  An entry writes a job and is lost before it notifies the
/// owner.  The caller's next request with the same id has other content, finds the row, and is the
/// first to notify the owner.
#[async_std::test]
async fn the_owner_runs_what_is_stored_and_not_what_came_second() {
    let mut deployment = Deployment::start("second", 3, 2).await;
    let owner = deployment.owner().unwrap();
    let others: Vec<usize> = (0..3).filter(|index| *index != owner).collect();
    let (first, second) =
        (deployment.entries[others[0]].callers, deployment.entries[others[1]].callers);
    deployment.site.store.hold_feed(Some("jobs"));
    deployment.site.store.set_fault_mode(FaultMode::LosesAnswers);
    let lost = task::spawn(async move { submit(first, &id(1), 2, "ms=50").await });
    eventually("the job is written", async || {
        (deployment.site.store.count("jobs", "job/") == 1).then_some(())
    })
    .await;
    deployment.entries.remove(others[0]);
    deployment.site.store.set_fault_mode(FaultMode::None);
    assert_eq!(submit(second, &id(1), 7, "ms=50").await, Some(200));
    eventually("the job is completed", async || {
        (state(second, &id(1)).await? == "completed").then_some(())
    })
    .await;
    deployment.site.store.hold_feed(None);
    assert_eq!(lost.await, None, "the first request was not answered");
    assert_eq!(deployment.site.history().len(), 2);
}

#[async_std::test]
async fn a_cancelled_job_ends_and_stays_cancelled() {
    let deployment = Deployment::start("cancel", 2, 1).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=60000").await, 200);
    deployment.wait_for_state(0, &id(1), "running").await;
    let path = format!("/q/{}", id(1));
    let (status, _) =
        call(deployment.entries[1].callers, Method::Delete, &path, None).await.unwrap();
    assert_eq!(status, 200);
    deployment.wait_for_state(0, &id(1), "cancelled").await;
    eventually("the run is stopped", async || {
        deployment.site.workers["i-0"].worker.running().is_empty().then_some(())
    })
    .await;
}

#[async_std::test]
async fn a_job_that_always_fails_is_shown_as_failed() {
    let deployment = Deployment::start("poison", 1, 3).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=20 fail").await, 200);
    deployment.wait_for_state(0, &id(1), "failed").await;
    assert_eq!(deployment.site.history().len(), 2, "as often as the queue allows");
}

#[async_std::test]
async fn every_entry_reports_the_number_of_pending_jobs() {
    let deployment = Deployment::start("pending", 2, 1).await;
    for number in 1..=3 {
        assert_eq!(deployment.submit(0, &id(number), 16, "ms=30000").await, 200);
    }
    for entry in &deployment.entries {
        eventually("two of three jobs wait", async || {
            let (_, body) = call(entry.callers, Method::Get, "/q/", None).await?;
            let body: Value = serde_json::from_slice(&body).ok()?;
            (body["pending"] == 2).then_some(())
        })
        .await;
    }
}
