//! States that callers read while owners change.

use super::*;

/// Pause between two readings of a job's state.
const READ_INTERVAL: Duration = Duration::from_millis(20);

impl Deployment {
    /// Reads a job's state at an entry until it is running again, with the entry as its owner;
    /// returns what was read before.
    async fn states_until_taken_over(&self, entry: usize, id: &str) -> Vec<String> {
        let mut states = Vec::new();
        eventually("the job is running under its new owner", async || {
            let is_taken_over = self.entries[entry].has_logged("cell_loaded");
            let state = self.state(entry, id).await?;
            task::sleep(READ_INTERVAL).await;
            let is_running = state == "running";
            states.push(state);
            (is_taken_over && is_running).then_some(())
        })
        .await;
        states
    }
}

/// Guards against a running job that reads as queued between the loss of its owner and the first
/// report to the next one: a job without ended tasks has no stored progress.
#[async_std::test]
async fn a_running_job_is_never_queued_again_after_its_owner_was_lost() {
    let mut deployment = Deployment::start("state-lost", 2, 2).await;
    let owner = deployment.owner().unwrap();
    assert_eq!(deployment.submit(owner, &id(1), 1, "ms=60000").await, 200);
    deployment.wait_for_state(1 - owner, &id(1), "running").await;
    drop(deployment.entries.remove(owner));
    let states = deployment.states_until_taken_over(0, &id(1)).await;
    assert!(!states.iter().any(|state| state == "queued"), "{states:?}");
}

/// The same, read at entries that were started after all others were lost.
#[async_std::test]
async fn a_running_job_is_never_queued_again_after_all_entries_were_lost() {
    let mut deployment = Deployment::start("state-all-lost", 2, 2).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=60000").await, 200);
    deployment.wait_for_state(1, &id(1), "running").await;
    deployment.entries.clear();
    deployment.add_entry("later-0").await;
    let states = deployment.states_until_taken_over(0, &id(1)).await;
    assert!(!states.iter().any(|state| state == "queued"), "{states:?}");
}

/// Guards against an unknown state where nothing is uncertain: a job that waits for capacity is
/// queued, at its owner and at other entries.
#[async_std::test]
async fn a_waiting_job_is_queued() {
    let deployment = Deployment::start("state-waits", 2, 0).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 200);
    for entry in 0..2 {
        deployment.wait_for_state(entry, &id(1), "queued").await;
    }
}

/// Guards against reads of the store that grow in number with the requests that wait for an owner:
/// after the loss of many owners at the same time the store couldn't answer them.
#[async_std::test]
async fn questions_without_an_owner_share_their_reads_of_its_successor() {
    const QUESTIONS: u64 = 200;
    let mut deployment = Deployment::start("state-reads", 2, 0).await;
    let owner = deployment.owner().unwrap();
    assert_eq!(deployment.submit(owner, &id(1), 1, "ms=50").await, 200);
    deployment.wait_for_state(1 - owner, &id(1), "queued").await;
    drop(deployment.entries.remove(owner));
    // The control table has the rows of the cells and of their holders.
    let before = deployment.site.store.traffic("control").calls;
    let job = id(1);
    let questions = (0..QUESTIONS).map(|_| deployment.state(0, &job));
    futures::future::join_all(questions).await;
    let reads = deployment.site.store.traffic("control").calls - before;
    assert!(reads <= QUESTIONS / 4, "{reads} reads for {QUESTIONS} questions");
}
