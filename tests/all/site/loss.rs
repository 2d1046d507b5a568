//! Loss of owners and workers.

use super::*;
use celerythread_engine::job::encode;
use celerythread_standin::site::check;
use celerythread_standin::site::worker::FaultMode;

/// Submits jobs one after the other to entries that answer, while `fault` injects faults.
async fn submit_through(
    deployment: &mut Deployment,
    count: u32,
    tasks: u32,
    spec: &str,
    mut fault: impl FnMut(&mut Deployment, u32),
) -> BTreeMap<String, u16> {
    let mut answers = BTreeMap::new();
    for number in 0..count {
        fault(deployment, number);
        let job = id(number);
        for entry in deployment.entries.iter().cycle().skip(number as usize).take(6) {
            // A job whose outcome is unknown is submitted again, as callers do.
            if let Some(status) = submit(entry.callers, &job, tasks, spec).await {
                answers.insert(job.clone(), status);
                if status == 200 {
                    break;
                }
            }
        }
        task::sleep(Duration::from_millis(30)).await;
    }
    answers
}

async fn all_completed(deployment: &Deployment, entry: usize, answers: &BTreeMap<String, u16>) {
    for (id, status) in answers {
        assert_eq!(*status, 200, "job {id}");
        deployment.wait_for_state(entry, id, "completed").await;
    }
}

fn assert_once(deployment: &Deployment, answers: &BTreeMap<String, u16>, tasks: u32) {
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
    assert_eq!(check::all_done(&history, &accepted(answers, tasks)), Vec::<String>::new());
}

/// Guards against lost and repeated runs when the owner is killed while tasks run and reports of
/// ended runs are under way.  The successor must adopt current runs, retain the results of ended
/// ones, and run nothing a second time.
#[async_std::test]
async fn a_killed_owner_is_replaced_and_nothing_runs_twice() {
    let mut deployment = Deployment::start("kill", 3, 3).await;
    let answers = submit_through(&mut deployment, 30, 3, "ms=300", |deployment, number| {
        if number == 10 {
            let owner = deployment.owner().unwrap();
            deployment.entries.remove(owner);
        }
    })
    .await;
    all_completed(&deployment, 0, &answers).await;
    assert_once(&deployment, &answers, 3);
}

/// Guards against repeated runs when the owner is paused for longer than the takeover term and
/// resumes without knowing it.  Minions must refuse its orders by their fencing token.
#[async_std::test]
async fn a_paused_owner_that_wakes_runs_nothing_twice() {
    let mut deployment = Deployment::start("pause", 3, 3).await;
    let mut paused = 0;
    let answers = submit_through(&mut deployment, 40, 3, "ms=200", |deployment, number| {
        if number == 8 {
            paused = deployment.owner().unwrap();
            deployment.entries[paused].signal("-STOP");
            // Its callers would wait for it; a load balancer would have removed it.
            let owner = deployment.entries.remove(paused);
            deployment.entries.push(owner);
        }
        if number == 30 {
            deployment.entries.last().unwrap().signal("-CONT");
        }
    })
    .await;
    all_completed(&deployment, 0, &answers).await;
    assert_once(&deployment, &answers, 3);
}

/// A planned stop hands the cell over to a named successor, which takes over in a fraction of the
/// time that a silent owner's takeover needs.  The process exits successfully.
#[async_std::test]
async fn a_stopping_owner_hands_over_and_ends() {
    let mut deployment = Deployment::start("term", 2, 2).await;
    let owner = deployment.owner().unwrap();
    assert_eq!(deployment.submit(owner, &id(1), 2, "ms=1500").await, 200);
    deployment.wait_for_state(owner, &id(1), "running").await;
    deployment.entries[owner].signal("-TERM");
    let other = 1 - owner;
    eventually("the other entry owns the cell", async || {
        deployment.entries[other].has_logged("cell_loaded").then_some(())
    })
    .await;
    deployment.wait_for_state(other, &id(1), "completed").await;
    let ended = eventually("the process ends", async || {
        deployment.entries[owner].child.try_wait().unwrap()
    })
    .await;
    assert!(ended.success());
    assert!(deployment.entries[owner].has_logged("cell_handed_over"));
    assert_eq!(deployment.site.history().len(), 2, "both runs went on");
}

/// Guards against losing accepted jobs when all entries are killed at once and restarted: only the
/// stored rows remain.
#[async_std::test]
async fn accepted_jobs_survive_the_loss_of_all_entries() {
    let mut deployment = Deployment::start("all", 3, 2).await;
    let answers = submit_through(&mut deployment, 10, 2, "ms=400", |_, _| {}).await;
    deployment.entries.clear();
    for number in 0..3 {
        deployment.add_entry(&format!("entry-{number}")).await;
    }
    all_completed(&deployment, 1, &answers).await;
    assert_once(&deployment, &answers, 2);
}

/// Guards against failing a job before its queue's attempts are used up, when the queue was removed and
/// no entry is left that has seen it.  The attempts were changed after the job was accepted.
#[async_std::test]
async fn the_attempts_of_a_removed_queue_survive_the_loss_of_all_entries() {
    let mut deployment = Deployment::start("policy", 3, 4).await;
    let job = id(1);
    assert_eq!(deployment.submit(0, &job, 1, "ms=700 fail").await, 200);
    deployment.site.configure_attempts(2, Some(5));
    eventually("the changed policy is stored", async || {
        deployment.entries.iter().any(|entry| entry.has_logged("policies_stored")).then_some(())
    })
    .await;
    deployment.entries.clear();
    deployment.site.configure_attempts(3, None);
    for number in 0..3 {
        deployment.add_entry(&format!("entry-{number}")).await;
    }
    let failed = || {
        let runs = deployment.site.history();
        runs.iter().filter(|run| run.end_reason == Some("failed")).count()
    };
    eventually("all attempts are used up", async || (failed() == 5).then_some(())).await;
    deployment.site.configure_attempts(4, Some(5));
    deployment.wait_for_state(0, &job, "failed").await;
    assert_eq!(failed(), 5);
}

#[async_std::test]
async fn tasks_of_a_crashed_worker_run_elsewhere() {
    let mut deployment = Deployment::start("crash", 2, 3).await;
    let answers = submit_through(&mut deployment, 12, 3, "ms=250", |deployment, number| {
        if number == 4 {
            deployment.site.crash("i-0");
        }
    })
    .await;
    all_completed(&deployment, 0, &answers).await;
    assert_once(&deployment, &answers, 3);
}

/// Guards against starting a task elsewhere before its first start can no longer take effect.  A
/// worker carries out starts and its answers are lost, or it carries them out long after they were
/// sent.
#[async_std::test]
async fn unanswered_starts_run_nothing_twice() {
    let mut deployment = Deployment::start("late", 2, 3).await;
    let answers = submit_through(&mut deployment, 40, 2, "ms=150", |deployment, number| {
        let worker = |id: &str| deployment.site.workers[id].worker.clone();
        match number {
            5 => worker("i-0").set_fault_mode(FaultMode::LosesAnswers),
            10 => worker("i-1").set_fault_mode(FaultMode::Late(Duration::from_millis(1200))),
            20 => worker("i-0").set_fault_mode(FaultMode::None),
            30 => worker("i-1").set_fault_mode(FaultMode::None),
            _ => {}
        }
    })
    .await;
    all_completed(&deployment, 0, &answers).await;
    assert_once(&deployment, &answers, 2);
}

/// A worker is disconnected and continues to run; its tasks are restarted only after their leases
/// have expired.
#[async_std::test]
async fn a_silent_worker_keeps_its_tasks_until_their_lease_expires() {
    let mut deployment = Deployment::start("cut", 2, 2).await;
    let answers = submit_through(&mut deployment, 20, 2, "ms=900", |deployment, number| {
        if number == 5 {
            deployment.site.workers["i-0"].worker.set_fault_mode(FaultMode::Silent);
        }
        if number == 18 {
            deployment.site.workers["i-0"].worker.set_fault_mode(FaultMode::None);
        }
    })
    .await;
    all_completed(&deployment, 0, &answers).await;
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
}

/// Guards against a task that crashes every worker that starts it, with its owner killed after the
/// first crash.  The job must fail after a few workers, and all other jobs must complete.
#[async_std::test]
async fn a_task_that_crashes_its_workers_is_given_up_whoever_owns_it() {
    let mut deployment = Deployment::start("crashing", 3, 8).await;
    let crashing = id(900);
    assert_eq!(deployment.submit(0, &crashing, 1, "crash").await, 200);
    let answers = submit_through(&mut deployment, 30, 2, "ms=250", |deployment, number| {
        if number == 12 {
            let owner = deployment.owner().unwrap();
            deployment.entries.remove(owner);
        }
    })
    .await;
    deployment.wait_for_state(0, &crashing, "failed").await;
    all_completed(&deployment, 0, &answers).await;
    assert_once(&deployment, &answers, 2);
    let history = deployment.site.history();
    let starts = history.iter().filter(|run| run.task.starts_with(&crashing)).count();
    assert!((2..=4).contains(&starts), "{starts} workers for one task");
}

/// Guards against repeated runs and jobs that never end after workers restart under the same id.
#[async_std::test]
async fn a_worker_that_starts_again_under_its_id_runs_nothing_twice() {
    let mut deployment = Deployment::start("restart", 2, 2).await;
    let mut answers = BTreeMap::new();
    for number in 100..110 {
        answers.insert(id(number), deployment.submit(0, &id(number), 3, "ms=50").await);
    }
    all_completed(&deployment, 0, &answers).await;
    for worker in ["i-0", "i-1"] {
        deployment.site.restart(worker).await.unwrap();
    }
    answers.extend(submit_through(&mut deployment, 12, 3, "ms=50", |_, _| {}).await);
    all_completed(&deployment, 0, &answers).await;
    assert_once(&deployment, &answers, 3);
}

/// Guards against ignoring a worker for good once another one has answered at its address.
#[async_std::test]
async fn a_terminated_worker_is_used_again_after_a_restart_under_its_id() {
    let mut deployment = Deployment::start("back", 2, 1).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "crash").await, 200);
    eventually("the worker is known to have terminated", async || {
        deployment.entries.iter().any(|entry| entry.has_logged("minion_over")).then_some(())
    })
    .await;
    let path = format!("/q/{}", id(1));
    call(deployment.entries[0].callers, Method::Delete, &path, None).await.unwrap();
    deployment.site.restart("i-0").await.unwrap();
    assert_eq!(deployment.submit(0, &id(2), 2, "ms=50").await, 200);
    deployment.wait_for_state(0, &id(2), "completed").await;
}

/// Guards against orders being sent to the former address of a worker that restarted at another.
#[async_std::test]
async fn a_worker_restarted_at_another_address_is_used_there() {
    let mut deployment = Deployment::start("elsewhere", 2, 1).await;
    assert_eq!(deployment.submit(0, &id(1), 2, "ms=50").await, 200);
    deployment.wait_for_state(0, &id(1), "completed").await;
    deployment.site.restart_at_new_address("i-0").await.unwrap();
    assert_eq!(deployment.submit(0, &id(2), 2, "ms=50").await, 200);
    deployment.wait_for_state(0, &id(2), "completed").await;
}

/// Guards against a cell that nobody takes over from an entry of an older release, whose row doesn't
/// state when its renewal was sent, or that is taken over with a wait from the time 0.
#[async_std::test]
async fn a_cell_of_an_older_release_is_taken_over() {
    let site = Site::start(2).await.unwrap();
    let peer: SocketAddr = "127.0.0.1:9".parse().unwrap();
    // Name, address, millicores, term, number of the renewal, stopping.
    let entry = encode(&("old", peer, 1000_u32, 800_u32, 7_u64, false));
    // Holder, number of earlier holders, whether the former one had stopped.
    let cell = encode(&("old.1", 3_u32, false));
    site.store.put("control", "entry/old.1", "entry/old.1", &entry);
    site.store.put("control", "cell/desk", "cell/desk", &cell);
    let mut deployment = Deployment { site, entries: Vec::new(), test: "older" };
    deployment.add_entry("entry-0").await;
    eventually("the service has an owner", async || deployment.owner()).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 200);
    deployment.wait_for_state(0, &id(1), "completed").await;
    let lines = deployment.entries[0].lines.lock().unwrap().clone();
    let loaded = lines.iter().find(|line| line.contains("\"cell_loaded\"")).unwrap();
    assert!(loaded.contains("\"bound\":\"takeover\""), "{loaded}");
    let taken = lines.iter().find(|line| line.contains("\"cell_taken\"")).unwrap();
    assert!(
        taken.contains("\"generation\":\"4\"") || taken.contains("\"generation\":4"),
        "{taken}"
    );
}
