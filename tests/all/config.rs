//! Configuration: an accepted one comes into force at every entry and is never reverted.

use crate::cluster::{Cluster, Shape, has_code, spawn_thread, wait_until};
use celerythread_model::code::Code;
use celerythread_model::unit::Revision;
use celerythread_standin::fault::Fault;
use celerythread_standin::faulty::{Call, Plan};

/// Polls the number of the configuration in force at each entry; fails if one decreases.
struct ConfigWatch {
    highest: Vec<u64>,
}

impl ConfigWatch {
    fn new(cluster: &Cluster) -> Self {
        Self { highest: vec![0; cluster.entries.len()] }
    }

    async fn poll(&mut self, cluster: &Cluster) {
        for index in 0..self.highest.len() {
            if cluster.entries[index].daemon.is_none() {
                continue;
            }
            let number = cluster.config_number(index).await;
            assert!(
                number >= self.highest[index],
                "entry {index} reverted to configuration {number}"
            );
            self.highest[index] = number;
        }
    }

    async fn wait_for_all(&mut self, cluster: &Cluster, number: u64) {
        wait_until("in force everywhere", async || {
            self.poll(cluster).await;
            let alive = cluster.entries.iter().map(|entry| entry.daemon.is_some());
            self.highest.iter().zip(alive).all(|(at, alive)| !alive || *at >= number)
        })
        .await;
    }
}

#[async_std::test]
async fn an_accepted_configuration_is_in_force_everywhere() {
    let cluster = Cluster::start(Shape { entries: 3, zones: 3, ..Shape::default() }).await;
    let mut watch = ConfigWatch::new(&cluster);
    for number in 2..6 {
        let index = number as usize % 3;
        let base = Revision(number - 1);
        cluster
            .apply_config(index, &format!("c{number}"), base, &format!("n{number}"))
            .await
            .unwrap();
        watch.wait_for_all(&cluster, number).await;
    }
    cluster.stop().await;
}

/// Guards against a lost update: of several operators who change the same configuration
/// concurrently, all but the first must be refused with a diff of what the first has changed.
#[async_std::test]
async fn only_one_of_several_concurrent_changes_is_accepted() {
    let cluster = Cluster::start(Shape { entries: 3, ..Shape::default() }).await;
    let results = apply_concurrently(&cluster).await;
    let accepted = results.iter().filter(|answer| answer.is_ok()).count();
    assert_eq!(accepted, 1, "{results:?}");
    for answer in &results {
        if let Err(error) = answer {
            assert!(has_code(error, Code::StaleBase), "{error:?}");
            let celerythread::Error::Refused { extra, .. } = error else { unreachable!() };
            assert!(extra["diff"].as_str().unwrap().contains("-name = first"), "{extra}");
        }
    }
    let mut watch = ConfigWatch::new(&cluster);
    watch.wait_for_all(&cluster, 2).await;
    cluster.stop().await;
}

async fn apply_concurrently(
    cluster: &Cluster,
) -> Vec<Result<serde_json::Value, celerythread::Error>> {
    let (a, b, c) = futures::join!(
        cluster.apply_config(0, "ca", Revision(1), "na"),
        cluster.apply_config(1, "cb", Revision(1), "nb"),
        cluster.apply_config(2, "cc", Revision(1), "nc"),
    );
    vec![a, b, c]
}

/// Guards against a change that is applied twice, the second time over another operator's change:
/// the first answer was lost and the operator repeated the change.  A change id stands for the same
/// change forever.
#[async_std::test]
async fn a_repeated_change_is_applied_once() {
    let cluster = Cluster::start(Shape::default()).await;
    let switch = &cluster.entries[0].switch;
    let from = switch.count(Call::Commit);
    switch.plan(Plan { call: Call::Commit, from, count: 3, fault: Fault::LoseAnswer });
    let first = cluster.apply_config(0, "mine", Revision(1), "mine").await.unwrap();
    assert_eq!(first["number"], 2);
    cluster.apply_config(1, "theirs", Revision(2), "theirs").await.unwrap();
    let repeated = cluster.apply_config(1, "mine", Revision(1), "mine").await.unwrap();
    assert_eq!(repeated["number"], 2);
    let mut watch = ConfigWatch::new(&cluster);
    watch.wait_for_all(&cluster, 3).await;
    let other = cluster.apply_config(0, "mine", Revision(3), "other").await.unwrap_err();
    assert!(has_code(&other, Code::ChangeReused), "{other:?}");
    cluster.stop().await;
}

/// Entries of a zone that is cut off from the platform must get a new configuration from their
/// peers instead of staying with the old one.
#[async_std::test]
async fn an_entry_cut_off_from_the_platform_gets_the_configuration_from_its_peers() {
    let cluster = Cluster::start(Shape { entries: 3, zones: 3, ..Shape::default() }).await;
    cluster.entries[2].switch.set_down(true);
    cluster.apply_config(0, "c2", Revision(1), "n2").await.unwrap();
    let mut watch = ConfigWatch::new(&cluster);
    watch.wait_for_all(&cluster, 2).await;
    cluster.entries[2].switch.set_down(false);
    cluster.apply_config(2, "c3", Revision(2), "n3").await.unwrap();
    watch.wait_for_all(&cluster, 3).await;
    cluster.stop().await;
}

/// An entry that starts during an outage must not become ready, since it would serve without a
/// configuration or with an old one.
#[async_std::test]
async fn an_entry_that_starts_in_an_outage_is_not_ready() {
    let mut cluster = Cluster::start(Shape::default()).await;
    cluster.start_entry(2).await;
    cluster.entries[2].switch.set_down(true);
    // This entry may have read the table before the switch was set; the second one is cut off
    // right after its start and has no configuration to read.
    let ready = cluster.get(2, "/ready").await;
    let settings = celerythread_entry::Settings { name: "late".into(), ..cluster.settings(3) };
    let mut late = Cluster::without_entries(Shape { minions: vec![], ..Shape::default() }).await;
    late.start_with(0, settings).await;
    late.entries[0].switch.set_down(true);
    drop(ready);
    async_std::task::sleep(std::time::Duration::from_millis(300)).await;
    assert!(late.get(0, "/ready").await.is_err());
    late.entries[0].switch.set_down(false);
    cluster.stop().await;
}

/// Injects every fault at commits, reads and changes of an apply: the reported outcome is the
/// actual one.
#[async_std::test]
async fn every_fault_at_every_call_of_an_apply() {
    let mut threads = Vec::new();
    for fault in [
        Fault::FailBefore,
        Fault::LoseAnswer,
        Fault::Hang,
        Fault::Slow,
        Fault::LateEffect,
        Fault::Pause,
    ] {
        for call in [Call::Commit, Call::Read, Call::Changes] {
            threads.push(spawn_thread(move || run_apply_with_fault(fault, call)));
        }
    }
    for one in threads {
        one.join().unwrap();
    }
}

async fn run_apply_with_fault(fault: Fault, call: Call) {
    let cluster = Cluster::start(Shape::default()).await;
    let mut watch = ConfigWatch::new(&cluster);
    let switch = &cluster.entries[0].switch;
    let from = switch.count(call);
    switch.plan(Plan { call, from, count: 2, fault });
    let first = cluster.apply_config(0, "mine", Revision(1), "mine").await;
    watch.poll(&cluster).await;
    // Whatever the first answer was, the same change sent again through the other entry succeeds.
    let repeated = cluster.apply_config(1, "mine", Revision(1), "mine").await;
    let repeated = repeated.unwrap_or_else(|error| panic!("{fault} at {call}: {error:?}"));
    assert_eq!(repeated["number"], 2, "{fault} at {call}");
    if let Ok(first) = first {
        assert_eq!(first["number"], 2, "{fault} at {call}");
    }
    watch.wait_for_all(&cluster, 2).await;
    cluster.stop().await;
}
