//! Jobs of queues that the configuration sends to another service.

use super::*;
use celerythread_standin::site::check;

/// Time after which a configuration is in force everywhere.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Longest time for cancelling a job and stopping its runs.
const CANCEL_TIME: Duration = Duration::from_secs(4);

/// A deployment with two workers of each service and the queue on `desk`.
async fn deployment(test: &'static str, entries: usize) -> Deployment {
    let mut deployment = Deployment::start(test, entries, 2).await;
    for number in 0..2 {
        let (id, machine) = (format!("hall-{number}"), format!("hall-machine-{number}"));
        deployment.site.add_worker_to("hall", &id, &machine).await.unwrap();
    }
    deployment
}

impl Deployment {
    async fn send_queue_to(&self, service: &str, version: u64) {
        self.site.send_queue_to(service, version);
        task::sleep(APPLY_TIME).await;
    }

    async fn pending(&self, entry: usize) -> Option<u64> {
        let (_, body) = call(self.entries[entry].callers, Method::Get, "/q/", None).await?;
        serde_json::from_slice::<Value>(&body).ok()?["pending"].as_u64()
    }

    /// Checks that all entries show a job as running, and that it remains one job when it is submitted
    /// again at any of them.
    async fn assert_is_one_running_job(&self, id: &str, tasks: u32) {
        for entry in 0..self.entries.len() {
            assert_eq!(self.state(entry, id).await.as_deref(), Some("running"), "{entry}");
            assert_eq!(self.submit(entry, id, tasks, "ms=60000").await, 200);
        }
        task::sleep(Duration::from_secs(1)).await;
        assert_eq!(check::at_most_once(&self.site.history()), [""; 0]);
    }

    async fn cancel_and_assert_stopped(&self, entry: usize, ids: &[&str]) {
        for id in ids {
            let callers = self.entries[entry].callers;
            let answer = call(callers, Method::Delete, &format!("/q/{id}"), None).await;
            assert_eq!(answer.map(|(status, _)| status), Some(200));
        }
        task::sleep(CANCEL_TIME).await;
        let history = self.site.history();
        let running: Vec<_> = history.iter().filter(|run| run.ended.is_none()).collect();
        assert!(running.is_empty(), "{running:?}");
    }
}

/// Guards against a submission that is repeated after its queue was sent to another service and starts
/// its tasks a second time there.
#[async_std::test]
async fn a_job_that_is_submitted_again_after_its_queue_was_moved_remains_one() {
    let deployment = deployment("moved-again", 3).await;
    assert_eq!(deployment.submit(0, &id(1), 2, "ms=60000").await, 200);
    deployment.wait_for_state(1, &id(1), "running").await;
    deployment.send_queue_to("hall", 2).await;
    deployment.assert_is_one_running_job(&id(1), 2).await;
    // A new job runs on the new service.
    assert_eq!(deployment.submit(2, &id(2), 2, "ms=60000").await, 200);
    deployment.wait_for_state(0, &id(2), "running").await;
    // The job is running as soon as the first of its tasks is.
    eventually("both of its tasks run there", async || {
        let workers = deployment.site.workers.iter();
        let hall = workers.filter(|(id, _)| id.starts_with("hall"));
        let running = hall.map(|(_, entry)| entry.worker.running().len()).sum::<usize>();
        (running == 2).then_some(())
    })
    .await;
    deployment.cancel_and_assert_stopped(1, &[&id(1), &id(2)]).await;
}

/// Guards against losing sight of jobs of either service when a queue is moved back and forth.
#[async_std::test]
async fn jobs_of_both_services_are_known_after_a_queue_was_moved_back() {
    let deployment = deployment("moved-back", 2).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=60000").await, 200);
    deployment.wait_for_state(1, &id(1), "running").await;
    deployment.send_queue_to("hall", 2).await;
    assert_eq!(deployment.submit(1, &id(2), 1, "ms=60000").await, 200);
    deployment.wait_for_state(0, &id(2), "running").await;
    deployment.send_queue_to("desk", 3).await;
    deployment.assert_is_one_running_job(&id(1), 1).await;
    deployment.assert_is_one_running_job(&id(2), 1).await;
    deployment.cancel_and_assert_stopped(0, &[&id(1), &id(2)]).await;
}

/// Guards against a new owner that doesn't find the jobs of its service in the partitions of another.
#[async_std::test]
async fn jobs_of_a_moved_queue_are_known_after_their_owners_were_lost() {
    let mut deployment = deployment("moved-lost", 2).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=60000").await, 200);
    deployment.wait_for_state(1, &id(1), "running").await;
    deployment.send_queue_to("hall", 2).await;
    assert_eq!(deployment.submit(1, &id(2), 1, "ms=60000").await, 200);
    deployment.wait_for_state(0, &id(2), "running").await;
    let row = format!("job/{}", id(2));
    let part = deployment.site.store.part_of("jobs", &row).unwrap();
    assert!(part.starts_with("desk/"), "{part}");
    deployment.entries.clear();
    deployment.add_entry("later-0").await;
    deployment.add_entry("later-1").await;
    deployment.wait_for_state(0, &id(1), "running").await;
    deployment.wait_for_state(1, &id(2), "running").await;
    deployment.assert_is_one_running_job(&id(1), 1).await;
    deployment.assert_is_one_running_job(&id(2), 1).await;
    deployment.cancel_and_assert_stopped(1, &[&id(1), &id(2)]).await;
}

/// Guards against two jobs from one submission, if one of the entries that receive it has the
/// configuration from before the move.
#[async_std::test]
async fn entries_with_different_configurations_accept_one_job() {
    let deployment = deployment("moved-late", 3).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 200);
    let owner = deployment.owner().unwrap();
    let [late, other] = [(owner + 1) % 3, (owner + 2) % 3];
    for round in 0..4 {
        deployment.entries[late].signal("-STOP");
        let service = if round % 2 == 0 { "hall" } else { "desk" };
        deployment.send_queue_to(service, 2 + round).await;
        let job = job_id(round);
        let first = deployment.submit(other, &job, 2, "ms=60000");
        let again = async {
            // The entry receives the request before it learns of the configuration.
            let callers = deployment.entries[late].callers;
            let sent =
                task::spawn(async move { submit(callers, &job_id(round), 2, "ms=60000").await });
            task::sleep(Duration::from_millis(30)).await;
            deployment.entries[late].signal("-CONT");
            sent.await
        };
        let (first, again) = futures::join!(first, again);
        assert_eq!([Some(first), again], [Some(200), Some(200)]);
        deployment.wait_for_state(late, &job, "running").await;
    }
    task::sleep(Duration::from_secs(1)).await;
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), [""; 0]);
    let running = history.iter().filter(|run| run.ended.is_none()).count();
    assert_eq!(running, 8);
}

fn job_id(round: u64) -> String {
    id(10 + round as u32)
}

/// Guards against a count of accepted jobs that omits those that wait for the former service.
#[async_std::test]
async fn jobs_that_wait_for_the_former_service_are_pending() {
    let deployment = deployment("moved-pending", 2).await;
    for number in 1..=3 {
        let step = json!({ "count": 1, "cpu": 1_000_000, "memMb": 64, "estimateMs": 100 });
        let body = json!({ "spec": "ms=100", "steps": [step] });
        let path = format!("/q/{}", id(number));
        let answer = call(deployment.entries[0].callers, Method::Post, &path, Some(body)).await;
        assert_eq!(answer.map(|(status, _)| status), Some(200));
    }
    deployment.send_queue_to("hall", 2).await;
    for entry in 0..2 {
        assert_eq!(deployment.pending(entry).await, Some(3));
    }
}

/// Guards against a cancellation that overtakes its job's submission and is stored where the service
/// to which the queue was moved in between doesn't find it.
#[async_std::test]
async fn a_cancellation_before_the_move_applies_to_a_job_submitted_after_it() {
    let deployment = deployment("moved-cancelled", 2).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 200);
    let path = format!("/q/{}", id(2));
    let answer = call(deployment.entries[0].callers, Method::Delete, &path, None).await;
    assert_eq!(answer.map(|(status, _)| status), Some(410));
    deployment.send_queue_to("hall", 2).await;
    assert_eq!(deployment.submit(1, &id(2), 1, "ms=60000").await, 200);
    deployment.wait_for_state(0, &id(2), "cancelled").await;
    task::sleep(CANCEL_TIME).await;
    let history = deployment.site.history();
    assert!(history.iter().all(|run| run.ended.is_some()), "{history:?}");
}
