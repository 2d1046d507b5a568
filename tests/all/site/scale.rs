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
