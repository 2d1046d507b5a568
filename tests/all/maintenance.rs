//! Maintenance waves: floors of services, conflicts, windows, cancellation, and faults within a wave.

use crate::cluster::{Cluster, Shape, has_code, instance, wait_until};
use celerythread_model::code::Code;
use celerythread_model::fleet::State;
use celerythread_platform::message::{Instance, Role};
use serde_json::{Value, json};
use std::time::Duration;

fn six_minions() -> Shape {
    Shape { minions: vec![("alpha", 6)], floor: 4, ..Shape::default() }
}

async fn declare_wave(
    cluster: &Cluster,
    index: usize,
    wave: &str,
) -> Result<Value, celerythread::Error> {
    cluster.post(index, "/v1/maintenance", &json!({ "wave": wave, "author": "test" })).await
}

async fn wave_progress(cluster: &Cluster, index: usize, wave: &str) -> String {
    let waves = cluster.get(index, "/v1/maintenance").await.unwrap_or_default();
    let found = waves.as_array().into_iter().flatten().find(|w| w["wave"] == wave).cloned();
    found.map_or_else(String::new, |w| w["progress"].as_str().unwrap_or_default().into())
}

/// Fails if more minions are out of service than the floor allows.
async fn assert_within_floor(cluster: &Cluster) {
    let out = cluster.minion_rows().await.iter().filter(|m| m.state != State::Active).count();
    assert!(out <= 2, "{out} of 6 are out at a floor of 4");
}

#[async_std::test]
async fn a_wave_maintains_everything_within_the_floor() {
    let cluster = Cluster::start(six_minions()).await;
    let declared = declare_wave(&cluster, 0, "w").await.unwrap();
    assert_eq!((&declared["parallel"], &declared["binding"]), (&json!(2), &json!("alpha")));
    wait_until("done", async || {
        assert_within_floor(&cluster).await;
        wave_progress(&cluster, 0, "w").await == "done"
    })
    .await;
    for row in cluster.minion_rows().await {
        assert_eq!((row.state, row.epoch.0), (State::Active, 2), "{}", row.minion);
    }
    assert!(cluster.disruption("alpha").await.out.is_empty());
    cluster.stop().await;
}

/// Guards against a service that falls below its floor because a wave takes out instances although
/// others fail (a rack is lost): the wave must pause, and continue by itself once they are back.
#[async_std::test]
async fn a_failure_within_a_wave_pauses_it() {
    let cluster = Cluster::start(six_minions()).await;
    // Two fail before the wave, so that the floor allows no more to be taken out.
    let gone: Vec<Instance> = cluster
        .memory
        .roster
        .current()
        .into_iter()
        .filter(|i| i.name == "alpha-4" || i.name == "alpha-5")
        .collect();
    for instance in &gone {
        cluster.memory.roster.put(Instance { leaving: true, ..instance.clone() });
    }
    wait_until("both are seen as failed", async || {
        let rows = cluster.minion_rows().await;
        rows.iter().filter(|row| row.state == State::Draining).count() == 2
    })
    .await;
    let refused = declare_wave(&cluster, 0, "w").await;
    assert!(has_code(refused.as_ref().unwrap_err(), Code::WaveTooLate), "{refused:?}");
    // They come back, the wave is declared, and both fail again within it.
    for instance in &gone {
        cluster.memory.roster.remove(&instance.name);
    }
    wait_until("their rows are removed", async || cluster.minion_rows().await.len() == 4).await;
    for instance in &gone {
        cluster.memory.roster.put(instance.clone());
    }
    wait_until("they are back", async || cluster.minion_rows().await.len() == 6).await;
    cluster.wait_until_owned().await;
    declare_wave(&cluster, 0, "w").await.unwrap();
    for instance in &gone {
        cluster.memory.roster.put(Instance { leaving: true, ..instance.clone() });
    }
    wait_until("paused", async || wave_progress(&cluster, 0, "w").await == "paused").await;
    let active = cluster.minion_rows().await.iter().filter(|m| m.state == State::Active).count();
    assert!(active >= 4, "only {active} serve at a floor of 4");
    for instance in &gone {
        cluster.memory.roster.remove(&instance.name);
    }
    wait_until("their rows are removed", async || cluster.minion_rows().await.len() == 4).await;
    for instance in &gone {
        cluster.memory.roster.put(instance.clone());
    }
    wait_until("the wave continues by itself and ends", async || {
        wave_progress(&cluster, 0, "w").await == "done"
    })
    .await;
    cluster.stop().await;
}

/// Guards against waves of two operators over the same instances, which together would violate the
/// floor: only one is accepted.
#[async_std::test]
async fn racing_waves_are_refused() {
    let cluster = Cluster::start(six_minions()).await;
    let (a, b) = futures::join!(declare_wave(&cluster, 0, "a"), declare_wave(&cluster, 1, "b"));
    assert_eq!([&a, &b].iter().filter(|answer| answer.is_ok()).count(), 1, "{a:?} {b:?}");
    let refused = a.err().or(b.err()).unwrap();
    assert!(has_code(&refused, Code::WaveConflict), "{refused:?}");
    wait_until("the accepted wave is done", async || {
        assert_within_floor(&cluster).await;
        wave_progress(&cluster, 0, "a").await == "done"
            || wave_progress(&cluster, 0, "b").await == "done"
    })
    .await;
    cluster.stop().await;
}

#[async_std::test]
async fn a_wave_that_cannot_finish_in_time_is_refused_with_its_bottleneck() {
    let cluster = Cluster::start(six_minions()).await;
    let body = json!({ "wave": "w", "author": "test", "within": "10s" });
    let refused = cluster.post(0, "/v1/maintenance", &body).await.unwrap_err();
    assert!(has_code(&refused, Code::WaveTooLate), "{refused:?}");
    let celerythread::Error::Refused { detail, .. } = &refused else { unreachable!() };
    assert!(detail.contains("forecast") && detail.contains("alpha binds"), "{detail}");
    cluster.stop().await;
}

#[async_std::test]
async fn cancelling_a_wave_leaves_every_minion_active() {
    let cluster = Cluster::start(six_minions()).await;
    declare_wave(&cluster, 0, "w").await.unwrap();
    wait_until("a minion is out of service", async || {
        cluster.minion_rows().await.iter().any(|m| m.state != State::Active)
    })
    .await;
    cluster.post(1, "/v1/maintenance/cancel", &json!({ "wave": "w" })).await.unwrap();
    wait_until("all minions are active", async || {
        cluster.minion_rows().await.iter().all(|m| m.state == State::Active)
    })
    .await;
    async_std::task::sleep(Duration::from_millis(600)).await;
    let maintained = cluster.minion_rows().await.iter().filter(|m| m.epoch.0 == 2).count();
    assert!(maintained <= 4, "{maintained} were maintained despite the cancellation");
    assert!(cluster.disruption("alpha").await.out.is_empty());
    cluster.stop().await;
}

/// A wave with a later start is shown as paused and takes nothing out until then; one that names an
/// unknown window is refused.
#[async_std::test]
async fn a_wave_waits_for_its_start_and_its_window() {
    let cluster = Cluster::start(six_minions()).await;
    let body = json!({ "wave": "w", "author": "test", "after": "1500ms" });
    cluster.post(0, "/v1/maintenance", &body).await.unwrap();
    wait_until("the wave waits for its start", async || {
        wave_progress(&cluster, 0, "w").await == "paused"
    })
    .await;
    assert!(cluster.minion_rows().await.iter().all(|row| row.state == State::Active));
    wait_until("done", async || wave_progress(&cluster, 0, "w").await == "done").await;
    let body = json!({ "wave": "x", "author": "test", "window": "nowhen" });
    let refused = cluster.post(0, "/v1/maintenance", &body).await.unwrap_err();
    assert!(has_code(&refused, Code::NotFound), "{refused:?}");
    cluster.stop().await;
}

/// The entry that runs a wave dies; the next holder of its lease continues where it stopped.
#[async_std::test]
async fn a_new_lease_holder_continues_the_wave() {
    let mut cluster = Cluster::start(Shape { entries: 3, ..six_minions() }).await;
    let holder = cluster.lease_holder("fleet").await;
    let other = (holder + 1) % 3;
    declare_wave(&cluster, other, "w").await.unwrap();
    wait_until("the wave has begun", async || {
        cluster.minion_rows().await.iter().any(|m| m.state != State::Active)
    })
    .await;
    cluster.entries[holder].switch.set_down(true);
    cluster.kill(holder);
    wait_until("done", async || {
        assert_within_floor(&cluster).await;
        wave_progress(&cluster, other, "w").await == "done"
    })
    .await;
    for row in cluster.minion_rows().await {
        assert_eq!(row.epoch.0, 2, "{} was maintained {} times", row.minion, row.epoch.0 - 1);
    }
    cluster.stop().await;
}

/// During a long outage a wave takes nothing more out; it finishes afterwards.
#[async_std::test]
async fn no_disruption_begins_during_an_outage() {
    let cluster = Cluster::start(six_minions()).await;
    declare_wave(&cluster, 0, "w").await.unwrap();
    wait_until("the wave has begun", async || {
        cluster.minion_rows().await.iter().any(|m| m.state != State::Active)
    })
    .await;
    for entry in &cluster.entries {
        entry.switch.set_down(true);
    }
    async_std::task::sleep(Duration::from_millis(300)).await;
    let states = |rows: Vec<celerythread_model::fleet::Minion>| -> Vec<(State, u64)> {
        rows.iter().map(|row| (row.state, row.epoch.0)).collect()
    };
    let before = states(cluster.minion_rows().await);
    async_std::task::sleep(Duration::from_millis(1500)).await;
    assert_eq!(states(cluster.minion_rows().await), before);
    for entry in &cluster.entries {
        entry.switch.set_down(false);
    }
    wait_until("done", async || {
        assert_within_floor(&cluster).await;
        wave_progress(&cluster, 0, "w").await == "done"
    })
    .await;
    cluster.stop().await;
}

#[async_std::test]
async fn a_leaving_minion_gets_no_new_work_within_two_seconds() {
    let cluster = Cluster::start(six_minions()).await;
    let leaving =
        cluster.memory.roster.current().into_iter().find(|i| i.name == "alpha-3").unwrap();
    cluster.memory.roster.put(Instance { leaving: true, ..leaving });
    async_std::task::sleep(Duration::from_secs(2)).await;
    let before = cluster.minions["alpha-3"].record().runs.len();
    for n in 0..60 {
        let one = crate::cluster::single(&format!("r{n}"), "alpha");
        cluster.send(n % 2, &one).await;
    }
    assert_eq!(cluster.minions["alpha-3"].record().runs.len(), before);
    cluster.stop().await;
}

#[async_std::test]
async fn a_new_minion_joins_the_pool_in_its_listing() {
    let mut cluster = Cluster::start(six_minions()).await;
    let minion = celerythread_standin::minion::Minion::start(
        crate::cluster::loopback(),
        Duration::from_millis(5),
    )
    .await
    .unwrap();
    cluster.memory.roster.put(Instance {
        address: Some(minion.server.address()),
        pool: Some("alpha".parse().unwrap()),
        ..instance("alpha-new", Role::Minion, "z0")
    });
    cluster.minions.insert("alpha-new".into(), minion);
    cluster.wait_until_owned().await;
    assert_eq!(cluster.minion_row("alpha-new").await.pool.as_str(), "alpha");
    cluster.stop().await;
}
