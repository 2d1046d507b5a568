//! Tests that need real processes: SIGKILL, SIGSTOP and SIGCONT, SIGTERM, memory of an idle daemon.

use crate::cluster::{single, wait_until};
use async_std::task;
use celerythread_platform::message::Role;
use celerythread_standin::fault::Fault;
use celerythread_standin::fleet::{Fleet, Shape, get, post};
use celerythread_standin::history::{self, Asked, Told};
use celerythread_standin::load;
use serde_json::json;
use std::collections::BTreeMap;
use std::fs;
use std::process::Command;
use std::time::Duration;

/// Starts a fleet whose intervals are shorter than in production, in the same proportions.
async fn start_fleet(name: &str, entries: usize, minions: usize) -> Fleet {
    let shape = Shape {
        daemon: env!("CARGO_BIN_EXE_celerythreadd").into(),
        name: name.into(),
        entries,
        minions,
        listed: 0,
        duration: Duration::from_millis(20),
        settings: BTreeMap::from([
            ("peer", "beat = 200ms\ntakeover_after = 1500ms"),
            ("platform", "poll = 100ms"),
            ("lease", "term = 1s"),
            ("stop", "notice = 200ms\nbound = 20s"),
        ]),
    };
    Fleet::start(shape).await.unwrap()
}

fn send_signal(fleet: &Fleet, index: usize, signal: &str) {
    let id = fleet.daemons[index].child.id().to_string();
    let done = Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(done.success());
}

/// Sends `count` requests one after the other, to the entries `alive` in turn.
async fn send_requests(fleet: &Fleet, prefix: &str, count: usize, alive: &[usize]) -> Vec<Asked> {
    let mut asked = Vec::new();
    for n in 0..count {
        let mut one = single(&format!("{prefix}-{n}"), "alpha");
        one.idempotent = n % 2 == 0;
        let entry = fleet.daemons[alive[n % alive.len()]].callers;
        asked.push(load::send(entry, &one).await.asked);
    }
    asked
}

/// An instance is lost.  Its requests in flight get no answer; all others are served, its minions
/// get new owners, and no non-idempotent request runs twice.
#[async_std::test]
async fn a_killed_entry_is_replaced() {
    let mut fleet = start_fleet("kill", 3, 3).await;
    let mut asked = send_requests(&fleet, "before", 30, &[0, 1, 2]).await;
    send_signal(&fleet, 0, "-KILL");
    let dead = fleet.daemons.remove(0);
    fleet.platform.memory.roster.remove(&dead.name);
    asked.extend(send_requests(&fleet, "during", 60, &[0, 1]).await);
    fleet.wait_until_owned().await.unwrap();
    asked.extend(send_requests(&fleet, "after", 60, &[0, 1]).await);
    let after: Vec<&Asked> = asked.iter().filter(|one| one.id.starts_with("after")).collect();
    for one in after {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    assert_eq!(history::check(&asked, &fleet.runs()), []);
    wait_until("the dead entry is removed from the registry", async || {
        let status = get(fleet.daemons[0].operators, "/v1/status").await.unwrap();
        status["entries"].as_array().unwrap().len() == 2
    })
    .await;
}

/// An entry is paused until all its leases have expired, then resumes: it must not control the
/// fleet under an old lease, grant slots of minions that were taken over, or revert to an old
/// configuration.
#[async_std::test]
async fn a_paused_entry_that_wakes_up_does_no_harm() {
    let fleet = start_fleet("pause", 3, 3).await;
    let mut asked = send_requests(&fleet, "before", 30, &[0, 1, 2]).await;
    send_signal(&fleet, 0, "-STOP");
    let paused = fleet.daemons[0].entry.clone();
    wait_until("what it owned is taken over", async || {
        let mut taken = true;
        for name in fleet.minions.keys() {
            let row = fleet.ownership(name).await.unwrap();
            taken &= row.owner.is_some_and(|owner| owner.as_str() != paused);
        }
        taken
    })
    .await;
    asked.extend(send_requests(&fleet, "during", 30, &[1, 2]).await);
    let body = json!({ "wave": "w", "author": "test" });
    let operators = fleet.daemons[1].operators;
    post(operators, "/v1/maintenance", &body).await.unwrap();
    task::sleep(Duration::from_secs(1)).await;
    send_signal(&fleet, 0, "-CONT");
    asked.extend(send_requests(&fleet, "woken", 60, &[0, 1, 2]).await);
    wait_until("the wave is done", async || {
        let waves = get(operators, "/v1/maintenance").await.unwrap_or_default();
        waves[0]["progress"] == "done"
    })
    .await;
    for one in asked.iter().filter(|one| one.id.starts_with("woken")) {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    assert_eq!(history::check(&asked, &fleet.runs()), []);
    // The resumed entry saw its peers as silent only because it was paused itself: it must not
    // have taken over their minions.
    let events = get(fleet.daemons[0].operators, "/v1/timeline").await.unwrap();
    let taken_over = events.as_array().unwrap().iter().filter(|event| event["takeover"] == true);
    assert_eq!(taken_over.count(), 0, "{events}");
    let rows = fleet.platform.memory.roster.current();
    for minion in rows.iter().filter(|i| i.role == Role::Minion) {
        assert_eq!(minion.boot, 2, "{} booted {} times", minion.name, minion.boot);
    }
}

/// After SIGTERM under load the daemon exits with status 0 and cuts off no request.
#[async_std::test]
async fn sigterm_under_load_cuts_off_nothing() {
    let mut fleet = start_fleet("term", 2, 2).await;
    let entry = fleet.daemons[0].callers;
    let sending: Vec<_> = (0..6)
        .map(|n| {
            task::spawn(async move {
                let mut one = single(&format!("flight-{n}"), "alpha");
                one.idempotent = false;
                load::send(entry, &one).await.asked
            })
        })
        .collect();
    wait_until("a minion has received a request", async || !fleet.runs().is_empty()).await;
    send_signal(&fleet, 0, "-TERM");
    let mut asked = Vec::new();
    for one in sending {
        asked.push(one.await);
    }
    let status = task::spawn_blocking({
        let mut process = fleet.daemons.remove(0);
        move || process.child.wait().unwrap()
    });
    assert!(status.await.success());
    for one in &asked {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    asked.extend(send_requests(&fleet, "after", 10, &[0]).await);
    assert_eq!(history::check(&asked, &fleet.runs()), []);
    let status = get(fleet.daemons[0].operators, "/v1/status").await.unwrap();
    assert_eq!(status["entries"].as_array().unwrap().len(), 1);
}

/// Every entry continues to serve during a platform outage and after it.
#[async_std::test]
async fn entries_serve_through_a_platform_outage() {
    let fleet = start_fleet("outage", 2, 2).await;
    fleet.platform.set_fault(Fault::Hang);
    let mut asked = send_requests(&fleet, "during", 60, &[0, 1]).await;
    for one in &asked {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    fleet.platform.set_fault(Fault::None);
    asked.extend(send_requests(&fleet, "after", 20, &[0, 1]).await);
    assert_eq!(history::check(&asked, &fleet.runs()), []);
}

/// The resident memory of an idle daemon stays below 40 MB, a limit that the product guarantees.
#[async_std::test]
async fn an_idle_daemon_stays_below_40_mb() {
    let fleet = start_fleet("idle", 2, 2).await;
    task::sleep(Duration::from_secs(1)).await;
    let statm = format!("/proc/{}/statm", fleet.daemons[0].child.id());
    let pages: u64 = fs::read_to_string(statm).unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    let resident = pages * 4096;
    assert!(resident < 40_000_000, "{resident} bytes resident");
}
