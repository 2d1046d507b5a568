//! Maintenance waves with real processes.

use super::*;
use celerythread_standin::site::check;

/// A wave covers all machines while a long-running job runs that may have one task unavailable.
/// Guards against maintenance that ends running tasks, or takes more machines down at once than the
/// wave allows.
#[async_std::test]
async fn a_wave_is_completed_without_ending_what_runs() {
    let deployment = Deployment::start("wave", 2, 5).await;
    assert_eq!(deployment.submit(0, &id(1), 2, "lasts").await, 200);
    deployment.wait_for_state(0, &id(1), "running").await;
    deployment.site.request_upkeep(1, &["m-0", "m-1", "m-2", "m-3", "m-4"], 2);
    for number in 2..30 {
        assert_eq!(deployment.submit(1, &id(number), 2, "ms=100").await, 200);
        task::sleep(Duration::from_millis(40)).await;
    }
    eventually("the wave is reported as completed", async || {
        let status = deployment.site.store.value("status", "", "wave/1")?;
        let status: Value = serde_json::from_slice(&status).ok()?;
        (status["state"] == "completed").then_some(())
    })
    .await;
    let maintenances = deployment.site.machines.upkeeps();
    assert_eq!(maintenances.len(), 5);
    assert!(maintenances.iter().all(|maintenance| maintenance.down <= 2), "{maintenances:?}");
    assert!(
        maintenances.iter().all(|maintenance| maintenance.ended.is_empty()),
        "{maintenances:?}"
    );
    for number in 2..30 {
        deployment.wait_for_state(0, &id(number), "completed").await;
    }
}

/// The entry that runs the fleet controller is killed during a wave.  Guards against a wave that
/// stops then, and against a machine that is maintained twice.
#[async_std::test]
async fn a_wave_continues_after_its_controller_is_killed() {
    let mut deployment = Deployment::start("wave-kill", 3, 4).await;
    deployment.site.request_upkeep(1, &["m-0", "m-1", "m-2", "m-3"], 1);
    eventually("a machine has had its maintenance", async || {
        (!deployment.site.machines.upkeeps().is_empty()).then_some(())
    })
    .await;
    let holder = deployment.site.machines.upkeeps()[0].holder.clone();
    let index = deployment.entries.iter().position(|entry| {
        entry
            .lines
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains(&format!("\"entry\":\"{holder}\"")))
    });
    deployment.entries.remove(index.unwrap());
    eventually("the wave is completed", async || {
        let status = deployment.site.store.value("status", "", "wave/1")?;
        let status: Value = serde_json::from_slice(&status).ok()?;
        (status["state"] == "completed").then_some(())
    })
    .await;
    let maintenances = deployment.site.machines.upkeeps();
    assert_eq!(maintenances.len(), 4, "{maintenances:?}");
}

/// Entries are stopped and replaced one after the other while a wave empties all machines.  Guards
/// against a new owner that evacuates a task of a step while a stop that its predecessor ordered is
/// under way.
#[async_std::test]
async fn evacuations_stay_within_the_allowance_while_owners_change() {
    let mut deployment = Deployment::start("wave-handover", 3, 8).await;
    for number in 1..=4 {
        assert_eq!(deployment.submit(0, &id(number), 4, "lasts stop=600").await, 200);
        deployment.wait_for_state(0, &id(number), "running").await;
    }
    task::sleep(Duration::from_secs(1)).await;
    let machines: Vec<String> = (0..8).map(|number| format!("m-{number}")).collect();
    let machines: Vec<&str> = machines.iter().map(String::as_str).collect();
    for number in 1..=5 {
        let orders = |deployment: &Deployment| {
            let history = deployment.site.history();
            history.iter().filter(|record| record.stop_ordered.is_some()).count()
        };
        let ordered = orders(&deployment);
        deployment.site.request_upkeep(number, &machines, 4);
        eventually("a task is evacuated", async || (orders(&deployment) > ordered).then_some(()))
            .await;
        let owner = deployment.owner().unwrap();
        deployment.entries[owner].signal("-TERM");
        eventually("another entry owns the cell", async || {
            deployment.owner().filter(|now| *now != owner)
        })
        .await;
        deployment.entries.remove(owner);
        deployment.add_entry(&format!("entry-{}", number + 2)).await;
    }
    task::sleep(Duration::from_secs(2)).await;
    assert_eq!(check::within_allowance(&deployment.site.history(), 1), Vec::<String>::new());
}
