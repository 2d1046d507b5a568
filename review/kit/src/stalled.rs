//! A few of the jobs whose tasks last can never be done: their tasks fail wherever they run.  All
//! minions are healthy.

use crate::harness::{Deployment, Record, has_trouble, wait};
use async_std::task;
use celerythread_standin::site::worker;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["med-a", "med-b", "rio-c"];

/// Jobs whose tasks last, and how many of them can never be done: the share of the site's `poison`.
const JOBS: usize = 40;
const POISON_JOBS: usize = 2;

/// Some tasks of the other jobs fail once, as a task that lasts may at any time: the job and how long
/// its first run lasts.
const FAILURES_MS: [(usize, u64); 4] = [(0, 16_000), (3, 17_500), (6, 32_500), (9, 34_000)];

/// How long these jobs are watched, in which nothing else happens.
const DURATION: Duration = Duration::from_secs(55);

/// From when on a task that lasts must run again: 6 s after its last run, and 3 s more.
const MAX_PAUSE: Duration = Duration::from_secs(9);

pub async fn run(path: &Path) -> Result<Vec<String>, String> {
    let record = Record::create(path)?;
    let deployment = Deployment::start(record.clone(), &ZONES, 2, 3).await?;
    deployment.watch_minions();
    task::sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    for number in 0..JOBS - POISON_JOBS {
        let failure = FAILURES_MS.iter().find(|(job, _)| *job == number);
        let spec = failure.map_or("lasts".into(), |(_, ms)| format!("ms={ms} once"));
        submit(&deployment, number, &healthy(&spec, number % ZONES.len() + 1)).await?;
    }
    wait("all tasks are at work", async || {
        let runs = deployment.minions.iter().map(|minion| minion.worker.running().len());
        (runs.sum::<usize>() == JOBS - POISON_JOBS).then_some(())
    })
    .await?;
    task::sleep(Duration::from_secs(3).saturating_sub(began.elapsed())).await;
    if has_trouble() {
        for number in JOBS - POISON_JOBS..JOBS {
            submit(&deployment, number, &poison()).await?;
        }
    }
    task::sleep(DURATION.saturating_sub(began.elapsed())).await;
    deployment.record_owners();
    deployment.record_runs();
    let runs = deployment.minions.iter().flat_map(|minion| minion.worker.records()).collect();
    let violations = pauses(runs);
    violations.iter().for_each(|violation| record.line(format!("LOST {violation}")));
    Ok(violations)
}

fn id(number: usize) -> String {
    format!("{:016x}", 0xd000 + number)
}

/// A job of one task that lasts, on a rack.
fn healthy(spec: &str, rack: usize) -> Value {
    json!({
        "spec": spec,
        "steps": [{
            "count": 1, "cpu": 900, "memMb": 1500, "estimateMs": 500, "longRunning": true,
            "mayMiss": 1, "requires": format!("rack-{rack}"),
        }],
    })
}

/// A job whose tasks should last and fail after 0.2 s wherever they run.
fn poison() -> Value {
    json!({
        "spec": "ms=200 fail",
        "steps": [{
            "count": 8, "cpu": 500, "memMb": 500, "estimateMs": 500, "longRunning": true,
            "mayMiss": 1,
        }],
    })
}

async fn submit(deployment: &Deployment, number: usize, body: &Value) -> Result<(), String> {
    match deployment.submit(number % deployment.entries.len(), &id(number), body).await {
        200 => Ok(()),
        status => Err(format!("a job was answered {status}")),
    }
}

/// Tasks of the jobs that can be done, and that don't run for too long.
fn pauses(runs: Vec<worker::Record>) -> Vec<String> {
    let mut by_task: BTreeMap<String, Vec<worker::Record>> = BTreeMap::new();
    for run in runs {
        by_task.entry(run.task.clone()).or_default().push(run);
    }
    let mut found = Vec::new();
    for number in 0..JOBS - POISON_JOBS {
        let task = format!("{}.0.0.0", id(number));
        let mut runs = by_task.remove(&task).unwrap_or_default();
        runs.sort_by_key(|run| run.began);
        for (index, run) in runs.iter().enumerate() {
            let Some(ended) = run.ended else { continue };
            let next = runs.get(index + 1).map_or_else(Instant::now, |next| next.began);
            let pause = next.saturating_duration_since(ended);
            if pause >= MAX_PAUSE {
                found.push(format!("{task} doesn't run for {} ms", pause.as_millis()));
            }
        }
    }
    found
}
