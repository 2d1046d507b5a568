//! Jobs on workers.

use crate::cluster::{Cluster, FAULTS, Shape, apart, is, until};
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

fn workers(count: usize) -> Shape {
    Shape { minions: vec![("alpha", 1)], floor: 0, workers: count, ..Shape::default() }
}

struct Order<'a> {
    name: &'a str,
    cpu: u32,
    patient: bool,
    once: bool,
}

fn order(name: &str) -> Order<'_> {
    Order { name, cpu: 1000, patient: false, once: false }
}

async fn submit(
    cluster: &Cluster,
    index: usize,
    order: Order<'_>,
) -> Result<Value, celerythread::Error> {
    let body = json!({
        "job": order.name, "team": "t", "kind": "k",
        "class": if order.patient { "patient" } else { "urgent" },
        "idempotence": if order.once { "NonIdempotent" } else { "Idempotent" },
        "size": { "cpu": order.cpu, "memory": 1 << 30, "accelerators": 0 },
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

async fn until_stage(cluster: &Cluster, name: &str, expected: Stage) {
    until(&format!("{name} is {expected}"), async || stage(cluster, name).await == Some(expected))
        .await;
}

fn starts_of(cluster: &Cluster, name: &str) -> usize {
    cluster.memory.workers.starts().iter().filter(|(_, job, _)| job.as_str() == name).count()
}

fn behave(cluster: &Cluster, worker: &str, behaviour: Behaviour) {
    cluster.memory.workers.set_behaviour(worker.parse().unwrap(), behaviour);
}

fn long() -> Behaviour {
    Behaviour { duration: Duration::from_secs(60), ..Behaviour::default() }
}

#[async_std::test]
async fn jobs_run_and_finish() {
    let cluster = Cluster::start(workers(3)).await;
    for n in 0..20 {
        let name = format!("j{n}");
        submit(&cluster, n % 2, order(&name)).await.unwrap();
    }
    until("all done", async || {
        jobs(&cluster).await.values().filter(|job| job.stage == Stage::Done).count() == 20
    })
    .await;
    assert_eq!(cluster.memory.workers.starts().len(), 20);
    cluster.stop().await;
}

/// The first answer was lost and the operator submits again; the job runs twice.
#[async_std::test]
async fn a_repeated_submission_is_one_job() {
    let cluster = Cluster::start(workers(1)).await;
    let switch = &cluster.entries[0].switch;
    let from = switch.count(Call::Commit);
    switch.plan(Plan { call: Call::Commit, from, count: 2, fault: Fault::LoseAnswer });
    submit(&cluster, 0, order("j")).await.unwrap();
    submit(&cluster, 1, order("j")).await.unwrap();
    until_stage(&cluster, "j", Stage::Done).await;
    assert_eq!(starts_of(&cluster, "j"), 1);
    let other = submit(&cluster, 1, Order { cpu: 2000, ..order("j") }).await.unwrap_err();
    assert!(is(&other, Code::ChangeReused), "{other:?}");
    cluster.stop().await;
}

#[async_std::test]
async fn an_impossible_job_is_refused_with_the_reason() {
    let cluster = Cluster::start(workers(2)).await;
    let refused = submit(&cluster, 0, Order { cpu: 5000, ..order("big") }).await.unwrap_err();
    assert!(is(&refused, Code::JobImpossible), "{refused:?}");
    assert!(stage(&cluster, "big").await.is_none());
    cluster.stop().await;
}

/// A shop's revaluation waits behind a year-end audit that fills the fleet.  Patient work is put
/// aside for it, and finishes afterwards.
#[async_std::test]
async fn urgent_work_goes_before_patient_work_which_finishes_at_last() {
    let cluster = Cluster::start(workers(1)).await;
    behave(&cluster, "w0", Behaviour { duration: Duration::from_secs(2), ..Behaviour::default() });
    for n in 0..4 {
        let name = format!("audit{n}");
        submit(&cluster, 0, Order { patient: true, ..order(&name) }).await.unwrap();
    }
    until("the worker is full", async || cluster.memory.workers.starts().len() == 4).await;
    let began = Instant::now();
    submit(&cluster, 1, Order { cpu: 2000, ..order("revaluation") }).await.unwrap();
    until("urgent work starts", async || starts_of(&cluster, "revaluation") == 1).await;
    assert!(began.elapsed() < Duration::from_millis(5200), "{:?}", began.elapsed());
    until("all done", async || {
        jobs(&cluster).await.values().filter(|job| job.stage == Stage::Done).count() == 5
    })
    .await;
    cluster.stop().await;
}

/// A worker fails everything it starts, is free again at once, and draws all the jobs.
#[async_std::test]
async fn a_worker_that_fails_everything_is_set_aside() {
    let cluster = Cluster::start(workers(3)).await;
    behave(&cluster, "w0", Behaviour { fails: true, ..Behaviour::default() });
    for n in 0..30 {
        let name = format!("j{n}");
        submit(&cluster, 0, order(&name)).await.unwrap();
    }
    until("all done", async || jobs(&cluster).await.values().all(|job| job.stage == Stage::Done))
        .await;
    let starts = cluster.memory.workers.starts();
    let on_sick = starts.iter().filter(|(worker, _, _)| worker.as_str() == "w0").count();
    assert!(on_sick <= 16, "{on_sick} of {} starts went to the sick worker", starts.len());
    cluster.stop().await;
}

/// A worker is gone with a write-down on it; nobody can tell whether it ran.  It is shown to the
/// operator and not run again; an idempotent job goes elsewhere.
#[async_std::test]
async fn a_lost_worker_leaves_a_non_idempotent_job_unknown() {
    let cluster = Cluster::start(workers(1)).await;
    behave(&cluster, "w0", long());
    submit(&cluster, 0, Order { once: true, ..order("once") }).await.unwrap();
    submit(&cluster, 0, order("again")).await.unwrap();
    until("both run", async || cluster.memory.workers.starts().len() == 2).await;
    cluster.memory.workers.remove(&"w0".parse().unwrap());
    cluster.memory.roster.remove("w0");
    until_stage(&cluster, "once", Stage::Unknown).await;
    until_stage(&cluster, "again", Stage::Queued).await;
    assert_eq!(starts_of(&cluster, "once"), 1);
    cluster.stop().await;
}

/// A worker restarts with a write-down on it and has forgotten that it ran.  The list still
/// shows its old boot; the placer finds no task and orders the attempt again, and it runs twice.
#[async_std::test]
async fn a_restarted_worker_never_runs_a_non_idempotent_job_twice() {
    let cluster = Cluster::start(workers(1)).await;
    behave(&cluster, "w0", long());
    submit(&cluster, 0, Order { once: true, ..order("once") }).await.unwrap();
    until("it runs", async || starts_of(&cluster, "once") == 1).await;
    cluster.memory.workers.restart(&"w0".parse().unwrap());
    until_stage(&cluster, "once", Stage::Unknown).await;
    assert_eq!(starts_of(&cluster, "once"), 1);
    cluster.stop().await;
}

/// A wave of cancellations: two hundred jobs at once are a few writes, and their tasks stop.
#[async_std::test]
async fn a_wave_of_cancellations_is_a_few_writes() {
    let cluster = Cluster::start(workers(2)).await;
    behave(&cluster, "w0", long());
    behave(&cluster, "w1", long());
    let names: Vec<String> = (0..200).map(|n| format!("j{n}")).collect();
    for name in &names {
        submit(&cluster, 0, Order { patient: true, ..order(name) }).await.unwrap();
    }
    until("the workers are full", async || cluster.memory.workers.starts().len() == 8).await;
    let switch = &cluster.entries[1].switch;
    let before = switch.count(Call::Commit);
    cluster.post(1, "/v1/jobs/cancel", &json!({ "jobs": names })).await.unwrap();
    let writes = switch.count(Call::Commit) - before;
    assert!(writes <= 20, "{writes} writes for 200 jobs");
    until("all cancelled", async || {
        jobs(&cluster).await.values().all(|job| job.stage == Stage::Cancelled)
    })
    .await;
    until("their tasks are stopped", async || {
        use celerythread_platform::Workers;
        cluster.memory.workers.tasks().await.unwrap().is_empty()
    })
    .await;
    assert_eq!(cluster.memory.workers.starts().len(), 8);
    cluster.stop().await;
}

/// A long outage: running jobs go on, none is started, and what was in flight is settled
/// afterwards without double work.
#[async_std::test]
async fn an_outage_starts_nothing_and_loses_nothing() {
    let cluster = Cluster::start(workers(1)).await;
    behave(
        &cluster,
        "w0",
        Behaviour { duration: Duration::from_millis(700), ..Behaviour::default() },
    );
    for n in 0..8 {
        let name = format!("j{n}");
        submit(&cluster, 0, Order { once: true, ..order(&name) }).await.unwrap();
    }
    until("four run", async || cluster.memory.workers.starts().len() == 4).await;
    cluster.entries.iter().for_each(|entry| entry.switch.set_down(true));
    async_std::task::sleep(Duration::from_millis(1500)).await;
    assert_eq!(cluster.memory.workers.starts().len(), 4);
    cluster.entries.iter().for_each(|entry| entry.switch.set_down(false));
    until("all done", async || jobs(&cluster).await.values().all(|job| job.stage == Stage::Done))
        .await;
    assert_eq!(cluster.memory.workers.starts().len(), 8);
    cluster.stop().await;
}

/// Every fault at every call that the placer makes over a non-idempotent job: it starts at most
/// once, and ends done.
#[async_std::test]
async fn every_fault_at_every_call_of_a_job() {
    let calls = [(Call::Commit, 3), (Call::Order, 1), (Call::Tasks, 2), (Call::Inspect, 1)];
    let mut cells = Vec::new();
    for (call, count) in calls {
        for at in 0..count {
            cells.extend(FAULTS.map(|fault| (call, at, fault)));
        }
    }
    for batch in cells.chunks(12) {
        let running: Vec<_> =
            batch.iter().copied().map(|cell| apart(move || job_under(cell))).collect();
        for (cell, one) in batch.iter().zip(running) {
            let wrong = one.join().unwrap();
            assert!(wrong.is_empty(), "{} at {} {}: {wrong:?}", cell.2, cell.0, cell.1);
        }
    }
}

async fn job_under((call, at, fault): (Call, u64, Fault)) -> Vec<String> {
    let mut cluster = Cluster::start(workers(1)).await;
    let holder = cluster.holder("jobs").await;
    let switch = cluster.entries[holder].switch.clone();
    submit(&cluster, 1 - holder, Order { once: true, ..order("j") }).await.unwrap();
    switch.plan(Plan { call, from: switch.count(call) + at, count: 1, fault });
    let mut wrong = Vec::new();
    let began = Instant::now();
    while stage(&cluster, "j").await != Some(Stage::Done) {
        cluster.reap();
        if began.elapsed() > Duration::from_secs(25) {
            wrong.push(format!("it is {:?}", stage(&cluster, "j").await));
            break;
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
    let starts = starts_of(&cluster, "j");
    if starts != 1 {
        wrong.push(format!("started {starts} times"));
    }
    cluster.reap();
    cluster.stop().await;
    wrong
}
