//! The owner of a cell freezes for a moment, in which a job is accepted and cancelled through another
//! entry, and the platform's store forgets its history.

use crate::harness::{Deployment, Record, has_trouble, wait};
use async_std::task;
use serde_json::json;
use std::path::Path;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["med-a", "med-b", "rio-c"];

/// `bounds` of the site: a machine is in touch this long after a disruption.
const CONTACT: Duration = Duration::from_millis(3000);

/// `cancel_ms` of the site.
const CANCEL: Duration = Duration::from_millis(3000);

/// `stopTimeoutMs` of the site.
const STOP_TIMEOUT: Duration = Duration::from_millis(900);

/// How long the owner stands still, less than the silence after which its cells are taken over.
const FREEZE: Duration = Duration::from_millis(700);

/// When the second job is handed in, after the freeze has begun.
const SECOND_JOB_AT: Duration = Duration::from_millis(450);

/// The job handed in first, and the job that is cancelled.
const FIRST_JOB: &str = "00000000000000b1";
const JOB: &str = "00000000000000b2";

pub async fn run(path: &Path) -> Result<Vec<String>, String> {
    let record = Record::create(path)?;
    let deployment = Deployment::start(record.clone(), &ZONES, 2, 3).await?;
    deployment.watch_minions();
    task::sleep(Duration::from_secs(6)).await;
    let (owner, token) = deployment.owner().ok_or("no owner")?;
    let entry = (0..deployment.entries.len()).find(|index| *index != owner).unwrap_or(0);
    record.line(format!("{} owns the cell", deployment.entries[owner].name));
    let short = json!({
        "spec": "ms=640",
        "steps": [{ "count": 6, "cpu": 880, "memMb": 2300, "estimateMs": 640 }],
    });
    let long = json!({
        "spec": "ms=6500",
        "steps": [
            { "count": 2, "cpu": 1900, "memMb": 7000, "estimateMs": 6500 },
            { "count": 2, "cpu": 1900, "memMb": 7000, "estimateMs": 6500, "after": [0] },
        ],
    });
    // The entries' link is open before the freeze.
    if deployment.submit(entry, "00000000000000b0", &short).await != 200 {
        return Err("the first job was not accepted".into());
    }
    task::sleep(Duration::from_secs(2)).await;

    let began = Instant::now();
    if has_trouble() {
        record.line(format!("{} freezes", deployment.entries[owner].name));
        deployment.entries[owner].signal("-STOP");
    }
    if deployment.submit(entry, FIRST_JOB, &short).await != 200 {
        return Err("a job was not accepted".into());
    }
    task::sleep(SECOND_JOB_AT.saturating_sub(began.elapsed())).await;
    if deployment.submit(entry, JOB, &long).await != 200 {
        return Err("the job was not accepted".into());
    }
    let cancelled = deployment.cancel(entry, JOB).await;
    let cancelled_at = Instant::now();
    if cancelled != 200 {
        return Err(format!("the cancelling was answered {cancelled}"));
    }
    if has_trouble() {
        deployment.site.store.forget_history();
        record.line("the platform's store forgets its history");
        task::sleep(FREEZE.saturating_sub(began.elapsed())).await;
        deployment.entries[owner].signal("-CONT");
        record.line(format!("{} wakes", deployment.entries[owner].name));
    }
    let calm_at = Instant::now();
    task::sleep(CONTACT + CANCEL + STOP_TIMEOUT + Duration::from_secs(2)).await;
    let running: Vec<String> = deployment
        .minions
        .iter()
        .flat_map(|minion| minion.worker.running())
        .filter(|task| task.starts_with(JOB))
        .collect();
    record.line(format!(
        "{} ms after the last disruption, tasks of {JOB} that run: {running:?}",
        calm_at.elapsed().as_millis()
    ));
    deployment.state(entry, JOB).await;
    wait("the first job is shown as completed", async || {
        (deployment.state(entry, FIRST_JOB).await == "completed").then_some(())
    })
    .await?;
    let is_same_owner = deployment.owner() == Some((owner, token));
    record.line(format!("the cell has the same owner: {is_same_owner}"));
    deployment.record_owners();
    deployment.record_runs();

    let mut violations: Vec<String> = running
        .iter()
        .map(|task| {
            let ms = calm_at.elapsed().as_millis();
            format!("{task} of a cancelled job runs on {ms} ms after the last disruption")
        })
        .collect();
    for run in deployment.minions.iter().flat_map(|minion| minion.worker.records()) {
        let late = run.began.saturating_duration_since(cancelled_at);
        let is_in_touch = run.began.saturating_duration_since(calm_at) >= CONTACT;
        if run.task.starts_with(JOB) && late > CANCEL && is_in_touch {
            violations.push(format!(
                "{} was started {} ms after the cancelling of its job was acknowledged",
                run.task,
                late.as_millis()
            ));
        }
    }
    violations.iter().for_each(|violation| record.line(format!("UNASKED {violation}")));
    Ok(violations)
}
