//! A queue is removed from the configuration and added again unchanged.  In between, the entry that
//! owns its service's cell is restarted, as in a rolling restart.

use crate::harness::{Deployment, Record, has_trouble, wait};
use async_std::task;
use std::path::Path;
use std::time::Duration;

const ZONES: [&str; 3] = ["ba-hall", "tt-hall", "nr-hall"];

/// The queue's `attempts` in every configuration that has the queue.
const ATTEMPTS: u32 = 4;

/// The id of the job.
const JOB: &str = "00000000000000c3";

pub async fn run(path: &Path) -> Result<Vec<String>, String> {
    let record = Record::create(path)?;
    let deployment = Deployment::start(record.clone(), &ZONES, 1, 2).await?;
    deployment.watch_minions();
    deployment.configure(3, &[("queue", "/q/", ATTEMPTS), ("other", "/o/", ATTEMPTS)]);
    task::sleep(Duration::from_secs(3)).await;
    // A task that fails one time less than its queue allows, and then succeeds.
    let failures = ATTEMPTS - 1;
    let body = serde_json::json!({
        "spec": format!("ms=1500 flaky={failures}"),
        "steps": [{ "count": 1, "cpu": 2500, "memMb": 7100, "estimateMs": 1500 }],
    });
    if deployment.submit(0, JOB, &body).await != 200 {
        return Err("the job was not accepted".into());
    }
    let runs =
        || deployment.minions.iter().map(|minion| minion.worker.records().len()).sum::<usize>();
    wait("the first run", async || (runs() > 0).then_some(())).await?;
    deployment.configure(4, &[("other", "/o/", ATTEMPTS)]);
    let (owner, token) = deployment.owner().ok_or("no owner")?;
    let others: Vec<usize> =
        (0..deployment.entries.len()).filter(|index| *index != owner).collect();
    wait("the queue is removed everywhere", async || {
        for index in &others {
            if deployment.state(*index, JOB).await != "404" {
                return None;
            }
        }
        Some(())
    })
    .await?;
    if has_trouble() {
        record.line(format!("SIGTERM to {}", deployment.entries[owner].name));
        deployment.entries[owner].signal("-TERM");
        wait("another entry owns the cell", async || {
            deployment.owner().filter(|(_, newer)| *newer > token)
        })
        .await?;
    }
    // Enough for all runs that the queue allows.
    task::sleep(Duration::from_secs(10)).await;
    deployment.configure(5, &[("queue", "/q/", ATTEMPTS), ("other", "/o/", ATTEMPTS)]);
    task::sleep(Duration::from_secs(3)).await;
    let mut state = String::new();
    for _ in 0..10 {
        state = deployment.state(others[0], JOB).await;
        if state == "completed" || state == "failed" {
            break;
        }
        task::sleep(Duration::from_millis(500)).await;
    }
    deployment.record_owners();
    deployment.record_runs();
    let records = deployment.minions.iter().flat_map(|minion| minion.worker.records());
    let failed = records.filter(|run| run.end_reason == Some("failed")).count();
    let mut violations = Vec::new();
    if state == "failed" && failed < ATTEMPTS as usize {
        violations.push(format!(
            "job {JOB} is shown as failed after {failed} runs that ended failed; its queue allows {ATTEMPTS}"
        ));
    } else if state != "completed" {
        violations.push(format!("job {JOB} is {state} 20 s after it was accepted"));
    }
    violations.iter().for_each(|violation| record.line(format!("LOST {violation}")));
    Ok(violations)
}
