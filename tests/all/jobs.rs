//! Jobs on workers: submission, placement, preemption, cancellation and recovery from faults.

use crate::cluster::{Cluster, FAULTS, Shape, has_code, spawn_thread, wait_until};
use celerythread_model::code::Code;
use celerythread_model::job::{Job, Stage};
use celerythread_model::table::Space;
use celerythread_model::unit::Revision;
use celerythread_platform::Table;
use celerythread_platform::memory::Behaviour;
use celerythread_standin::fault::Fault;
use celerythread_standin::faulty::{Call, Plan};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn workers_only(count: usize) -> Shape {
    Shape { minions: vec![("alpha", 1)], floor: 0, workers: count, ..Shape::default() }
}

struct Submission<'a> {
    name: &'a str,
    cpu: u32,
    patient: bool,
    non_idempotent: bool,
}

fn submission(name: &str) -> Submission<'_> {
    Submission { name, cpu: 1000, patient: false, non_idempotent: false }
}

async fn submit(
    cluster: &Cluster,
    index: usize,
    submission: Submission<'_>,
) -> Result<Value, celerythread::Error> {
    let body = json!({
        "job": submission.name, "team": "t", "kind": "k",
        "class": if submission.patient { "patient" } else { "urgent" },
        "idempotence": if submission.non_idempotent { "NonIdempotent" } else { "Idempotent" },
        "size": { "cpu": submission.cpu, "memory": 1 << 30, "accelerators": 0 },
        "duration": "1s",
    });
    cluster.post(index, "/v1/jobs", &body).await
}

async fn jobs(cluster: &Cluster) -> BTreeMap<String, Job> {
    let changes = cluster.memory.table.changes(Space::Job, Revision(0)).await.unwrap();
    let rows = changes.rows.iter().filter_map(|row| row.decode::<Job>());
    rows.map(|job| (job.spec.job.to_string(), job)).collect()
}

async fn stage(cluster: &Cluster, name: &str) -> Option<Stage> {
    jobs(cluster).await.get(name).map(|job| job.stage)
}

async fn wait_until_stage(cluster: &Cluster, name: &str, expected: Stage) {
    wait_until(&format!("{name} is {expected}"), async || {
        stage(cluster, name).await == Some(expected)
    })
    .await;
}

fn start_count(cluster: &Cluster, name: &str) -> usize {
    cluster.memory.workers.starts().iter().filter(|(_, job, _)| job.as_str() == name).count()
}

fn set_behaviour(cluster: &Cluster, worker: &str, behaviour: Behaviour) {
    cluster.memory.workers.set_behaviour(worker.parse().unwrap(), behaviour);
}

fn minute_long() -> Behaviour {
    Behaviour { duration: Duration::from_secs(60), ..Behaviour::default() }
}

#[async_std::test]
async fn jobs_run_and_finish() {
    let cluster = Cluster::start(workers_only(3)).await;
    for n in 0..20 {
        let name = format!("j{n}");
        submit(&cluster, n % 2, submission(&name)).await.unwrap();
    }
    wait_until("all done", async || {
        jobs(&cluster).await.values().filter(|job| job.stage == Stage::Done).count() == 20
    })
    .await;
    assert_eq!(cluster.memory.workers.starts().len(), 20);
    cluster.stop().await;
}

/// Guards against a job that runs twice: the first answer was lost, and the operator submits it
/// again.
#[async_std::test]
async fn a_repeated_submission_is_one_job() {
    let cluster = Cluster::start(workers_only(1)).await;
    let switch = &cluster.entries[0].switch;
    let from = switch.count(Call::Commit);
    switch.plan(Plan { call: Call::Commit, from, count: 2, fault: Fault::LoseAnswer });
    submit(&cluster, 0, submission("j")).await.unwrap();
    submit(&cluster, 1, submission("j")).await.unwrap();
    wait_until_stage(&cluster, "j", Stage::Done).await;
    assert_eq!(start_count(&cluster, "j"), 1);
    let other = submit(&cluster, 1, Submission { cpu: 2000, ..submission("j") }).await.unwrap_err();
    assert!(has_code(&other, Code::ChangeReused), "{other:?}");
    cluster.stop().await;
}

#[async_std::test]
async fn an_impossible_job_is_refused_with_the_reason() {
    let cluster = Cluster::start(workers_only(2)).await;
    let refused =
        submit(&cluster, 0, Submission { cpu: 5000, ..submission("big") }).await.unwrap_err();
    assert!(has_code(&refused, Code::JobImpossible), "{refused:?}");
    assert!(stage(&cluster, "big").await.is_none());
    cluster.stop().await;
}

/// Guards against urgent work that waits behind a batch of patient jobs filling the fleet: patient
/// jobs are preempted for it, and finish afterwards.
#[async_std::test]
async fn urgent_jobs_preempt_patient_jobs_which_finish_later() {
    let cluster = Cluster::start(workers_only(1)).await;
    set_behaviour(
        &cluster,
        "w0",
        Behaviour { duration: Duration::from_secs(2), ..Behaviour::default() },
    );
    for n in 0..4 {
        let name = format!("audit{n}");
        submit(&cluster, 0, Submission { patient: true, ..submission(&name) }).await.unwrap();
    }
    wait_until("the worker is full", async || cluster.memory.workers.starts().len() == 4).await;
    let started_at = Instant::now();
    submit(&cluster, 1, Submission { cpu: 2000, ..submission("revaluation") }).await.unwrap();
    wait_until("urgent work starts", async || start_count(&cluster, "revaluation") == 1).await;
    assert!(started_at.elapsed() < Duration::from_millis(5200), "{:?}", started_at.elapsed());
    wait_until("all done", async || {
        jobs(&cluster).await.values().filter(|job| job.stage == Stage::Done).count() == 5
    })
    .await;
    cluster.stop().await;
}

/// Guards against a worker that attracts all jobs because it fails each at once and is free again.
#[async_std::test]
async fn a_worker_that_fails_every_job_is_ejected() {
    let cluster = Cluster::start(workers_only(3)).await;
    set_behaviour(&cluster, "w0", Behaviour { fails: true, ..Behaviour::default() });
    for n in 0..30 {
        let name = format!("j{n}");
        submit(&cluster, 0, submission(&name)).await.unwrap();
    }
    wait_until("all done", async || {
        jobs(&cluster).await.values().all(|job| job.stage == Stage::Done)
    })
    .await;
    let starts = cluster.memory.workers.starts();
    let on_failing = starts.iter().filter(|(worker, _, _)| worker.as_str() == "w0").count();
    assert!(on_failing <= 16, "{on_failing} of {} starts went to the failing worker", starts.len());
    cluster.stop().await;
}

/// A worker is lost while it runs a non-idempotent job, and whether the job ran can't be known: the
/// job is shown to the operator as unknown and not run again; an idempotent job is queued again.
#[async_std::test]
async fn a_lost_worker_leaves_a_non_idempotent_job_unknown() {
    let cluster = Cluster::start(workers_only(1)).await;
    set_behaviour(&cluster, "w0", minute_long());
    submit(&cluster, 0, Submission { non_idempotent: true, ..submission("once") }).await.unwrap();
    submit(&cluster, 0, submission("again")).await.unwrap();
    wait_until("both run", async || cluster.memory.workers.starts().len() == 2).await;
    cluster.memory.workers.remove(&"w0".parse().unwrap());
    cluster.memory.roster.remove("w0");
    wait_until_stage(&cluster, "once", Stage::Unknown).await;
    wait_until_stage(&cluster, "again", Stage::Queued).await;
    assert_eq!(start_count(&cluster, "once"), 1);
    cluster.stop().await;
}

/// Guards against a non-idempotent job that runs twice: its worker restarts and no longer knows
/// that it ran the job.  The platform's list still shows the old boot, so the placer finds no task
/// and would order the same attempt again.
#[async_std::test]
async fn a_restarted_worker_never_runs_a_non_idempotent_job_twice() {
    let cluster = Cluster::start(workers_only(1)).await;
    set_behaviour(&cluster, "w0", minute_long());
    submit(&cluster, 0, Submission { non_idempotent: true, ..submission("once") }).await.unwrap();
    wait_until("it runs", async || start_count(&cluster, "once") == 1).await;
    cluster.memory.workers.restart(&"w0".parse().unwrap());
    wait_until_stage(&cluster, "once", Stage::Unknown).await;
    assert_eq!(start_count(&cluster, "once"), 1);
    cluster.stop().await;
}

/// Cancelling 200 jobs at once takes at most 20 writes, and their tasks stop.
#[async_std::test]
async fn a_batch_of_cancellations_takes_few_writes() {
    let cluster = Cluster::start(workers_only(2)).await;
    set_behaviour(&cluster, "w0", minute_long());
    set_behaviour(&cluster, "w1", minute_long());
    let names: Vec<String> = (0..200).map(|n| format!("j{n}")).collect();
    for name in &names {
        submit(&cluster, 0, Submission { patient: true, ..submission(name) }).await.unwrap();
    }
    wait_until("the workers are full", async || cluster.memory.workers.starts().len() == 8).await;
    let switch = &cluster.entries[1].switch;
    let before = switch.count(Call::Commit);
    cluster.post(1, "/v1/jobs/cancel", &json!({ "jobs": names })).await.unwrap();
    let writes = switch.count(Call::Commit) - before;
    assert!(writes <= 20, "{writes} writes for 200 jobs");
    wait_until("all cancelled", async || {
        jobs(&cluster).await.values().all(|job| job.stage == Stage::Cancelled)
    })
    .await;
    wait_until("their tasks are stopped", async || {
        use celerythread_platform::Workers;
        cluster.memory.workers.tasks().await.unwrap().is_empty()
    })
    .await;
    assert_eq!(cluster.memory.workers.starts().len(), 8);
    cluster.stop().await;
}

/// During a long outage running jobs continue and none is started; afterwards every job is
/// finished without running twice.
#[async_std::test]
async fn an_outage_starts_no_job_and_loses_none() {
    let cluster = Cluster::start(workers_only(1)).await;
    set_behaviour(
        &cluster,
        "w0",
        Behaviour { duration: Duration::from_millis(700), ..Behaviour::default() },
    );
    for n in 0..8 {
        let name = format!("j{n}");
        submit(&cluster, 0, Submission { non_idempotent: true, ..submission(&name) })
            .await
            .unwrap();
    }
    wait_until("four run", async || cluster.memory.workers.starts().len() == 4).await;
    cluster.entries.iter().for_each(|entry| entry.switch.set_down(true));
    async_std::task::sleep(Duration::from_millis(1500)).await;
    assert_eq!(cluster.memory.workers.starts().len(), 4);
    cluster.entries.iter().for_each(|entry| entry.switch.set_down(false));
    wait_until("all done", async || {
        jobs(&cluster).await.values().all(|job| job.stage == Stage::Done)
    })
    .await;
    assert_eq!(cluster.memory.workers.starts().len(), 8);
    cluster.stop().await;
}

/// Injects every fault at every call that the placer makes for a non-idempotent job: the job starts
/// exactly once and ends as done.
#[async_std::test]
async fn every_fault_at_every_call_of_a_job() {
    let calls = [(Call::Commit, 3), (Call::Order, 1), (Call::Tasks, 2), (Call::Inspect, 1)];
    let mut cases = Vec::new();
    for (call, count) in calls {
        for at in 0..count {
            cases.extend(FAULTS.map(|fault| (call, at, fault)));
        }
    }
    for batch in cases.chunks(12) {
        let running: Vec<_> = batch
            .iter()
            .copied()
            .map(|case| spawn_thread(move || run_job_with_fault(case)))
            .collect();
        for (case, one) in batch.iter().zip(running) {
            let failures = one.join().unwrap();
            assert!(failures.is_empty(), "{} at {} {}: {failures:?}", case.2, case.0, case.1);
        }
    }
}

async fn run_job_with_fault((call, at, fault): (Call, u64, Fault)) -> Vec<String> {
    let mut cluster = Cluster::start(workers_only(1)).await;
    let holder = cluster.lease_holder("jobs").await;
    let switch = cluster.entries[holder].switch.clone();
    submit(&cluster, 1 - holder, Submission { non_idempotent: true, ..submission("j") })
        .await
        .unwrap();
    switch.plan(Plan { call, from: switch.count(call) + at, count: 1, fault });
    let mut failures = Vec::new();
    let started_at = Instant::now();
    while stage(&cluster, "j").await != Some(Stage::Done) {
        cluster.reap();
        if started_at.elapsed() > Duration::from_secs(25) {
            failures.push(format!("still in stage {:?} after 25 s", stage(&cluster, "j").await));
            break;
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
    let starts = start_count(&cluster, "j");
    if starts != 1 {
        failures.push(format!("started {starts} times"));
    }
    cluster.reap();
    cluster.stop().await;
    failures
}
