//! Moves between pools: a minion belongs to exactly one pool, and no request in flight is cut off.

use crate::cluster::{Cluster, FAULTS, Shape, has_code, single, spawn_thread, wait_until};
use celerythread_model::code::Code;
use celerythread_model::fleet::State;
use celerythread_standin::fault::Fault;
use celerythread_standin::faulty::{Call, Plan};
use celerythread_standin::history::Told;
use celerythread_standin::load;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

async fn order_move(
    cluster: &Cluster,
    index: usize,
) -> Result<serde_json::Value, celerythread::Error> {
    let body = json!({ "minion": "alpha-0", "target": "beta" });
    cluster.post(index, "/v1/pools/move", &body).await
}

async fn is_moved(cluster: &Cluster) -> bool {
    let row = cluster.minion_row("alpha-0").await;
    row.state == State::Active && row.pool.as_str() == "beta"
}

/// Sends requests to both services until the flag is set; the id of each names its service, so
/// that a minion's record shows for which pool it was used.
fn start_traffic(
    cluster: &Cluster,
) -> (Arc<AtomicBool>, async_std::task::JoinHandle<Vec<load::RequestResult>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let entries: Vec<_> = cluster.entries.iter().map(|entry| entry.callers).collect();
    let flag = stop.clone();
    let task = async_std::task::spawn(async move {
        let mut done = Vec::new();
        let mut n = 0;
        while !flag.load(Ordering::SeqCst) {
            for (index, entry) in entries.iter().enumerate() {
                let service = if n % 2 == 0 { "alpha" } else { "beta" };
                let mut one = single(&format!("{service}-{index}-{n}"), service);
                one.idempotent = n % 3 != 0;
                let sending =
                    async_std::future::timeout(Duration::from_secs(8), load::send(*entry, &one));
                if let Ok(answer) = sending.await {
                    done.push(answer);
                }
            }
            n += 1;
            async_std::task::sleep(Duration::from_millis(2)).await;
        }
        done
    });
    (stop, task)
}

#[async_std::test]
async fn a_move_under_load_loses_and_misroutes_no_request() {
    let cluster = Cluster::start(Shape::default()).await;
    let (stop, traffic) = start_traffic(&cluster);
    order_move(&cluster, 0).await.unwrap();
    wait_until("moved", async || is_moved(&cluster).await).await;
    let at = cluster.minions["alpha-0"].record().runs.len();
    wait_until("the minion serves its new pool", async || {
        cluster.minions["alpha-0"].record().runs.len() > at + 3
    })
    .await;
    stop.store(true, Ordering::SeqCst);
    let done = traffic.await;
    for one in &done {
        assert!(
            matches!(one.asked.told, Told::Answer(200, _)),
            "{}: {:?}",
            one.asked.id,
            one.asked.told
        );
    }
    let asked: Vec<_> = done.into_iter().map(|one| one.asked).collect();
    assert_eq!(cluster.breaches(&asked), []);
    // Only requests of alpha at first, and only those of beta from the first of beta on.
    let runs = cluster.minions["alpha-0"].record().runs;
    let first = runs.iter().position(|run| run.id.starts_with("beta")).unwrap_or(runs.len());
    let (before, after) = runs.split_at(first);
    assert!(
        before.iter().all(|run| run.id.starts_with("alpha")),
        "request of beta before the move"
    );
    assert!(after.iter().all(|run| run.id.starts_with("beta")), "request of alpha after the move");
    assert_eq!(cluster.disruption("alpha").await.out.len(), 0);
    cluster.stop().await;
}

/// Guards against a service without minions: two operators move its last two at the same time.
#[async_std::test]
async fn racing_moves_never_break_the_floor() {
    let cluster = Cluster::start(Shape::default()).await;
    let body = |minion: &str| json!({ "minion": minion, "target": "beta" });
    let (body0, body1) = (body("alpha-0"), body("alpha-1"));
    let (a, b) = futures::join!(
        cluster.post(0, "/v1/pools/move", &body0),
        cluster.post(1, "/v1/pools/move", &body1),
    );
    assert_eq!([&a, &b].iter().filter(|answer| answer.is_ok()).count(), 1, "{a:?} {b:?}");
    let out: usize =
        cluster.minion_rows().await.iter().filter(|row| row.state != State::Active).count();
    assert!(out <= 1);
    cluster.stop().await;
}

#[async_std::test]
async fn an_impossible_move_is_refused_with_its_number() {
    let cluster = Cluster::start(Shape { floor: 2, ..Shape::default() }).await;
    let at_floor = order_move(&cluster, 0).await.unwrap_err();
    assert!(has_code(&at_floor, Code::WrongState), "{at_floor:?}");
    let nobody = json!({ "minion": "nobody", "target": "beta" });
    let unknown = cluster.post(0, "/v1/pools/move", &nobody).await.unwrap_err();
    assert!(has_code(&unknown, Code::NotFound));
    cluster.stop().await;
}

/// Guards against a request that runs on a minion of another pool: an entry is paused with a
/// request in flight, its peers take over the minion and move it, and the entry resumes and sends
/// the request.  The move must wait for the paused entry.
#[async_std::test]
async fn a_move_waits_for_a_former_owner_that_may_be_paused() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let owner = cluster.owner_index("alpha-0").await;
    let other = 1 - owner;
    // The owner's process is gone but its instance stays on the list, so that the peers can't
    // distinguish it from a paused one.
    let entry = &mut cluster.entries[owner];
    entry.switch.set_down(true);
    drop(entry.daemon.take());
    wait_until("taken over", async || {
        let row = cluster.ownership("alpha-0").await.unwrap();
        !row.former.is_empty()
    })
    .await;
    order_move(&cluster, other).await.unwrap();
    async_std::task::sleep(Duration::from_millis(1500)).await;
    assert_eq!(cluster.minion_row("alpha-0").await.state, State::Draining);
    // Once the list has omitted it for longer than the list can lag, it has terminated for certain.
    let name = cluster.entries[owner].name.clone();
    cluster.memory.roster.remove(&name);
    wait_until("moved", async || is_moved(&cluster).await).await;
    cluster.stop().await;
}

/// Guards against a minion that is rebooted while a request runs on it because its drain was
/// confirmed too early.
#[async_std::test]
async fn a_drain_waits_for_work_in_flight() {
    let cluster =
        Cluster::start(Shape { duration: Duration::from_millis(1500), ..Shape::default() }).await;
    // As many requests as alpha has slots, so that alpha-0 gets some.
    let entry = cluster.entries[0].callers;
    let sent: Vec<_> = (0..8)
        .map(|n| {
            let one =
                load::RequestSpec { idempotent: false, ..single(&format!("alpha-{n}"), "alpha") };
            async_std::task::spawn(async move { load::send(entry, &one).await })
        })
        .collect();
    wait_until("alpha-0 has requests in flight", async || {
        cluster.minions["alpha-0"].outstanding() > 0
    })
    .await;
    order_move(&cluster, 1).await.unwrap();
    wait_until("idle", async || {
        let state = cluster.minion_row("alpha-0").await.state;
        let outstanding = cluster.minions["alpha-0"].outstanding();
        assert!(
            state != State::Rebooting || outstanding == 0,
            "rebooted with {outstanding} requests in flight"
        );
        state == State::Rebooting || is_moved(&cluster).await
    })
    .await;
    for one in sent {
        assert!(matches!(one.await.asked.told, Told::Answer(200, _)));
    }
    cluster.stop().await;
}

/// Injects every fault at every call that the holder of the fleet lease makes during a move.  The
/// minion must end in exactly one pool, be rebooted once, and no longer count as disrupted.
#[async_std::test]
async fn every_fault_at_every_call_of_a_move() {
    let calls = count_calls().await;
    let mut cases = Vec::new();
    for (call, count) in calls {
        for at in 0..count {
            for fault in FAULTS {
                cases.push((call, at, fault));
            }
        }
    }
    // A batch at a time, since each case starts a deployment of its own.
    for batch in cases.chunks(12) {
        let running: Vec<_> = batch
            .iter()
            .copied()
            .map(|case| spawn_thread(move || run_move_with_fault(case)))
            .collect();
        for (case, one) in batch.iter().zip(running) {
            let failures = one.join().unwrap();
            assert!(failures.is_empty(), "{} at {} {}: {failures:?}", case.2, case.0, case.1);
        }
    }
}

/// Counts the calls of each kind that the holder makes during a move without faults, up to a
/// maximum per kind: further calls only repeat the first ones.
async fn count_calls() -> Vec<(Call, u64)> {
    let cluster = Cluster::start(Shape::default()).await;
    let holder = cluster.lease_holder("fleet").await;
    let switch = cluster.entries[holder].switch.clone();
    let kinds = [(Call::Commit, 6), (Call::List, 2), (Call::Reboot, 1), (Call::Changes, 2)];
    let before: Vec<u64> = kinds.iter().map(|(call, _)| switch.count(*call)).collect();
    order_move(&cluster, holder).await.unwrap();
    wait_until("moved", async || is_moved(&cluster).await).await;
    let counts = kinds
        .iter()
        .zip(before)
        .map(|((call, max_calls), before)| (*call, (switch.count(*call) - before).min(*max_calls)))
        .collect();
    cluster.stop().await;
    counts
}

async fn run_move_with_fault((call, at, fault): (Call, u64, Fault)) -> Vec<String> {
    let mut cluster = Cluster::start(Shape::default()).await;
    let holder = cluster.lease_holder("fleet").await;
    let other = 1 - holder;
    let switch = cluster.entries[holder].switch.clone();
    order_move(&cluster, other).await.unwrap();
    let from = switch.count(call) + at;
    switch.plan(Plan { call, from, count: 1, fault });
    let mut failures = Vec::new();
    let started_at = std::time::Instant::now();
    while !is_moved(&cluster).await {
        cluster.reap();
        if started_at.elapsed() > Duration::from_secs(25) {
            failures.push("never moved".into());
            break;
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
    }
    let row = cluster.minion_row("alpha-0").await;
    if row.epoch.0 != 2 {
        failures.push(format!("epoch {}", row.epoch));
    }
    let boots = cluster.memory.roster.current().iter().find(|i| i.name == "alpha-0").unwrap().boot;
    if boots != 2 {
        failures.push(format!("booted {boots} times"));
    }
    for service in ["alpha", "beta"] {
        let out = cluster.disruption(service).await.out;
        if !out.is_empty() {
            failures.push(format!("{service} still counts {out:?} as out"));
        }
    }
    cluster.reap();
    cluster.stop().await;
    failures
}
