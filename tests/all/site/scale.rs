//! Load of the platform's store as a fleet grows, in counts of calls and rows.

use super::*;
use celerythread_standin::site::store::Traffic;

/// Heartbeats of each minion while reads are counted.
const HEARTBEATS: u32 = 30;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// What all entries read of a table while each minion sends [`HEARTBEATS`] heartbeats.
async fn reads_during_heartbeats(deployment: &Deployment, table: &str) -> Traffic {
    let store = &deployment.site.store;
    let before = store.traffic(table);
    for _ in 0..HEARTBEATS {
        deployment.site.send_heartbeats();
        task::sleep(HEARTBEAT_INTERVAL).await;
    }
    let after = store.traffic(table);
    Traffic { calls: after.calls - before.calls, rows: after.rows - before.rows }
}

/// Guards against reading entries times minions rows: every entry followed the heartbeats of all
/// minions, though only owners of cells use them.
#[async_std::test]
async fn entries_without_cells_read_no_heartbeats() {
    let mut deployment = Deployment::start("scale-minions", 3, 8).await;
    let few = reads_during_heartbeats(&deployment, "servers").await;
    for number in 3..6 {
        deployment.add_entry(&format!("entry-{number}")).await;
    }
    let many = reads_during_heartbeats(&deployment, "servers").await;
    assert!(few.rows >= u64::from(HEARTBEATS), "{few:?}");
    assert!(many.rows < few.rows * 3 / 2, "rows with three entries {few:?}, with six {many:?}");
    assert!(many.calls < few.calls * 3 / 2, "calls with three entries {few:?}, with six {many:?}");
}

/// Guards against reading the square of the entries: every entry renewed a row, and every entry
/// read them all.  With more entries than members, neither the rows nor the calls grow further.
#[async_std::test]
async fn renewals_are_read_by_members_only() {
    let mut deployment = Deployment::start("scale-control", 6, 2).await;
    settle().await;
    let few = reads_during_heartbeats(&deployment, "control").await;
    for number in 6..12 {
        deployment.add_entry(&format!("entry-{number}")).await;
    }
    settle().await;
    let many = reads_during_heartbeats(&deployment, "control").await;
    assert!(many.rows < few.rows * 3 / 2, "rows with six entries {few:?}, with twelve {many:?}");
    assert!(many.calls < few.calls * 3 / 2, "calls with six entries {few:?}, with twelve {many:?}");
}

/// Target for the calls of an entry without cells: 60,000 in a minute for 584 entries.
const MAX_IDLE_CALLS_PER_S: f64 = 60_000.0 / 60.0 / 584.0;

/// Guards against idle entries that call the store several times a second with nothing happening.
#[async_std::test]
async fn an_idle_entry_makes_few_calls() {
    const IDLE_ENTRIES: u32 = 6;
    const SAMPLE_TIME: Duration = Duration::from_secs(8);
    let mut deployment = Deployment::start("scale-idle", 6, 2).await;
    settle().await;
    let calls_in_sample = async |deployment: &Deployment| {
        let before = deployment.site.store.read_calls();
        task::sleep(SAMPLE_TIME).await;
        deployment.site.store.read_calls() - before
    };
    let without = calls_in_sample(&deployment).await;
    for number in 0..IDLE_ENTRIES {
        deployment.add_entry(&format!("idle-{number}")).await;
    }
    settle().await;
    let with = calls_in_sample(&deployment).await;
    let added = with.saturating_sub(without) as f64 / f64::from(IDLE_ENTRIES);
    let limit = MAX_IDLE_CALLS_PER_S * SAMPLE_TIME.as_secs_f64();
    assert!(added <= limit, "{added:.1} calls of an idle entry, at most {limit:.1}");
}

/// Waits until cells and standby slots are occupied.
async fn settle() {
    task::sleep(Duration::from_secs(5)).await;
}

/// Guards against a fleet that serves nobody any more after all members were lost at once: holders,
/// and the entries that would replace them.
#[async_std::test]
async fn lost_members_are_replaced_by_idle_entries() {
    let mut deployment = Deployment::start("scale-members", 8, 2).await;
    settle().await;
    let is_member =
        |entry: &Entry| entry.has_logged("standby_claimed") || entry.has_logged("cell_taken");
    let members = deployment.entries.iter().filter(|entry| is_member(entry)).count();
    deployment.entries.retain(|entry| !is_member(entry));
    assert!(members >= 2 && !deployment.entries.is_empty(), "{members} members of eight entries");
    let job = id(1);
    assert_eq!(deployment.submit(0, &job, 2, "ms=50").await, 200);
    deployment.wait_for_state(0, &job, "completed").await;
}

/// Guards against claims and routes that conflict forever with a row of another writer, and against
/// callers that are sent nowhere because of it.
#[async_std::test]
async fn unreadable_rows_of_the_directory_are_replaced() {
    const UNREADABLE: &[u8] = b"\xff{";
    let deployment = Deployment::start("scale-unreadable", 4, 2).await;
    settle().await;
    let store = &deployment.site.store;
    let keys = ["cell/desk", "standby/zone/0"];
    keys.iter().for_each(|key| store.put("directory", "", key, UNREADABLE));
    for key in keys {
        eventually(&format!("{key} is replaced"), async || {
            (store.value("directory", "", key)? != UNREADABLE).then_some(())
        })
        .await;
    }
    let job = id(1);
    assert_eq!(deployment.submit(0, &job, 2, "ms=50").await, 200);
    deployment.wait_for_state(0, &job, "completed").await;
}
