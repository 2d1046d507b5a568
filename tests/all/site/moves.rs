//! Moves of machines between pools with real processes.

use super::*;
use celerythread_standin::site::machine::MoveMode;
use celerythread_standin::site::store::FaultMode;
use celerythread_standin::site::{SECOND_SERVICE, Workspace, check};

const KEY: &str = "pqk8bdk9eevyxq2yyaza";

/// Longer than a holder orders by its last renewal, and than a move that began before the outage
/// waits for its order.  So the moves that follow were planned in the outage and have no rows.
const OUTAGE_BEFORE_MOVES: Duration = Duration::from_millis(4500);

/// How long moves are possible in the outage.
const OUTAGE_WITH_MOVES: Duration = Duration::from_millis(1500);

/// Lines of an event that an entry has logged, with their place in its log.
fn logged(entry: &Entry, event: &str) -> Vec<(usize, Value)> {
    let event = format!("\"message\":\"{event}\"");
    let lines = entry.lines.lock().unwrap();
    let found = lines.iter().enumerate().filter(|(_, line)| line.contains(&event));
    found.filter_map(|(at, line)| Some((at, serde_json::from_str(line).ok()?))).collect()
}

/// Orders for moves that were carried out on this basis, by their place in the log.
fn done(entry: &Entry, basis: &str) -> Vec<usize> {
    let orders = logged(entry, "move_ordered").into_iter();
    let is_done = |line: &Value| line["kvs"]["by"] == basis && line["kvs"]["outcome"] == "done";
    orders.filter(|(_, line)| is_done(line)).map(|(at, _)| at).collect()
}

/// What all entries have logged about the fleet's cell, the store and the rows of moves.
fn fleet_log(deployment: &Deployment) -> Vec<String> {
    let events = ["moves_recorded", "move_given_up", "store_lost", "store_back"];
    let cell_events = ["cell_taken", "cell_lost", "cell_handed_over"];
    let is_relevant = |line: &&String| {
        let has = |event: &&str| line.contains(&format!("\"message\":\"{event}\""));
        events.iter().any(has) || cell_events.iter().any(has) && line.contains("~fleet")
    };
    let relevant = |entry: &Entry| -> Vec<String> {
        entry.lines.lock().unwrap().iter().filter(is_relevant).cloned().collect()
    };
    deployment.entries.iter().flat_map(relevant).collect()
}

/// The demand of a pool rises, and the store doesn't answer anybody.  Guards against machines that
/// stay where they are for as long as that lasts, although owners and the machine interface can be
/// reached; against moves that end tasks; and against a holder that plans after the outage before it
/// has written which machines it ordered in it.
#[async_std::test]
async fn machines_move_while_the_store_is_unavailable() {
    let mut deployment = Deployment::start("moves-away", 3, 8).await;
    for number in 0..2 {
        let (id, machine) = (format!("i-hall-{number}"), format!("m-hall-{number}"));
        deployment.site.add_worker_to(SECOND_SERVICE, &id, &machine).await.unwrap();
    }
    let machines = &deployment.site.machines;
    machines.set_move_mode(MoveMode::Unavailable);
    let team = Workspace { name: "team", keys: &[KEY], cpu: 0 };
    deployment.site.configure_workspaces(2, &[team]);
    let credentials = format!("Token {KEY}");
    let path = format!("/h/{}", id(1));
    let body = celerythread_standin::site::job(400, "ms=300");
    eventually("the job is accepted", async || {
        let entry = deployment.entries[0].callers;
        let body = Some(body.clone());
        let answer = call_with(entry, Method::Post, &path, body, &[&credentials]).await;
        answer.filter(|(status, _)| *status == 200)
    })
    .await;
    let holder = eventually("moves are planned", async || {
        deployment.entries.iter().find(|entry| entry.has_logged("move_ordered"))
    })
    .await;

    deployment.site.store.set_fault_mode(FaultMode::Silent);
    task::sleep(OUTAGE_BEFORE_MOVES).await;
    assert!(machines.moves().is_empty());
    machines.set_move_mode(MoveMode::Accept);
    eventually("a machine moves", async || (!machines.moves().is_empty()).then_some(())).await;
    task::sleep(OUTAGE_WITH_MOVES).await;
    let count = machines.moves().len();
    deployment.site.store.set_fault_mode(FaultMode::None);
    assert!(count > 0 && done(holder, "permission").len() == count, "{:?}", machines.moves());

    eventually("the job is completed", async || {
        let entry = deployment.entries[0].callers;
        let answer = call_with(entry, Method::Get, &path, None, &[&credentials]).await?;
        let answer: Value = serde_json::from_slice(&answer.1).ok()?;
        (answer["state"] == "completed").then_some(())
    })
    .await;
    let recorded = logged(holder, "moves_recorded");
    let Some((recorded_at, _)) = recorded.first() else {
        panic!("no rows are written: {:#?}", fleet_log(&deployment));
    };
    let after =
        done(holder, "row").into_iter().find(|at| at > done(holder, "permission").last().unwrap());
    assert!(after.is_none_or(|at| at > *recorded_at), "planned before the rows were written");

    let moves = machines.moves();
    assert!(moves.iter().all(|one| one.ended.is_empty()), "{moves:?}");
    let history = deployment.site.history();
    for one in &moves {
        let starts = history.iter().filter(|run| run.worker == one.worker && run.began > one.began);
        assert_eq!(starts.count(), 0, "started on a machine that had left: {one:?}");
    }
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
}
