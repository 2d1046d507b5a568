//! Faults of the platform's store.

use super::*;
use celerythread_standin::site::check;
use celerythread_standin::site::store::FaultMode;

/// Submits jobs one after the other, with the store failing from the tenth to the thirtieth.
async fn submit_during(
    test: &'static str,
    trouble: FaultMode,
) -> (Deployment, BTreeMap<String, u16>) {
    let deployment = Deployment::start(test, 2, 2).await;
    let mut answers = BTreeMap::new();
    for number in 0..40 {
        match number {
            10 => deployment.site.store.set_fault_mode(trouble),
            30 => deployment.site.store.set_fault_mode(FaultMode::None),
            _ => {}
        }
        let status = deployment.submit(number as usize % 2, &id(number), 2, "ms=150").await;
        answers.insert(id(number), status);
    }
    (deployment, answers)
}

/// Refused jobs never ran, and accepted jobs ran once.  A job whose caller got no outcome may be
/// either.
async fn check_outcomes(deployment: &Deployment, answers: &BTreeMap<String, u16>) {
    for (job, _) in answers.iter().filter(|(_, status)| **status == 200) {
        deployment.wait_for_state(0, job, "completed").await;
    }
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
    assert_eq!(check::all_done(&history, &accepted(answers, 2)), Vec::<String>::new());
    for (job, _) in answers.iter().filter(|(_, status)| **status == 503) {
        let ran = history.iter().any(|record| record.task.starts_with(job.as_str()));
        assert!(!ran, "{job} was refused and ran");
    }
}

#[async_std::test]
async fn jobs_refused_while_the_store_refuses_never_run() {
    let (deployment, answers) = submit_during("store-refuses", FaultMode::Refuses).await;
    assert!(answers.values().any(|status| *status == 503), "{answers:?}");
    check_outcomes(&deployment, &answers).await;
}

#[async_std::test]
async fn a_silent_store_leaves_no_job_half_accepted() {
    let (deployment, answers) = submit_during("store-silent", FaultMode::Silent).await;
    check_outcomes(&deployment, &answers).await;
}

/// Guards against reporting a job as refused when its transaction was committed and the answer
/// lost.  Callers must get an unknown outcome.
#[async_std::test]
async fn lost_answers_of_the_store_are_not_taken_for_refusals() {
    let (deployment, answers) = submit_during("store-loses", FaultMode::LosesAnswers).await;
    check_outcomes(&deployment, &answers).await;
}

#[async_std::test]
async fn a_lost_feed_history_is_recovered_by_rereading() {
    let deployment = Deployment::start("store-forgets", 2, 2).await;
    for version in 2..6 {
        deployment.site.store.forget_history();
        deployment.site.configure(version);
        let number = version as u32;
        assert_eq!(deployment.submit(0, &id(number), 1, "ms=50").await, 200);
        deployment.wait_for_state(1, &id(number), "completed").await;
    }
}

/// Guards against running a job that was cancelled while its owner was paused.  The owner has had no
/// message about either, and rereads the table, which has the cancellation before the job.
#[async_std::test]
async fn a_job_cancelled_while_the_history_is_lost_does_not_run_on() {
    let deployment = Deployment::start("store-withdrawn", 3, 3).await;
    let owner = deployment.owner().unwrap();
    let other = (owner + 1) % 3;
    // The link to the owner is open before the pause.
    assert_eq!(deployment.submit(other, &id(1), 1, "ms=50").await, 200);
    deployment.wait_for_state(other, &id(1), "completed").await;
    deployment.entries[owner].signal("-STOP");
    assert_eq!(deployment.submit(other, &id(2), 1, "ms=50").await, 200);
    // The message about this job stays unanswered, after which no others are sent for a while.
    task::sleep(Duration::from_millis(450)).await;
    assert_eq!(deployment.submit(other, &id(3), 2, "ms=60000").await, 200);
    let path = format!("/q/{}", id(3));
    let callers = deployment.entries[other].callers;
    let (status, _) = call(callers, Method::Delete, &path, None).await.unwrap();
    assert_eq!(status, 200);
    deployment.site.store.forget_history();
    deployment.entries[owner].signal("-CONT");
    eventually("the jobs are read again", async || {
        let is_read = |entry: &Entry| {
            let lines = entry.lines.lock().unwrap();
            lines.iter().any(|line| line.contains("\"history_gone\"") && line.contains("\"jobs\""))
        };
        // A paused process that gets no processor time afterwards may lose the cell.
        let has_new_owner = deployment.owner() != Some(owner);
        (has_new_owner || is_read(&deployment.entries[owner])).then_some(())
    })
    .await;
    deployment.wait_for_state(other, &id(2), "completed").await;
    task::sleep(Duration::from_millis(500)).await;
    let withdrawn = id(3);
    eventually("nothing of the cancelled job runs", async || {
        let history = deployment.site.history();
        let mut runs = history.iter().filter(|run| run.task.starts_with(&withdrawn));
        runs.all(|run| run.ended.is_some()).then_some(())
    })
    .await;
    assert_eq!(deployment.state(other, &id(3)).await.as_deref(), Some("cancelled"));
}

/// Guards against refusing callers of a burst, or giving them unknown outcomes, for as long as the
/// store is slow.  Each unanswered write was sent again and each copy queued in its partition,
/// until no write was answered in time for its caller.
#[async_std::test]
async fn a_slow_store_takes_in_a_burst() {
    const JOBS: u32 = 60;
    /// Each partition gets two of the jobs, and executes two and a half in this time.
    const SUBMIT_INTERVAL: Duration = Duration::from_millis(40);
    let deployment = Deployment::start("store-slow", 2, 2).await;
    deployment.site.store.set_fault_mode(FaultMode::Slow);
    let mut sent = Vec::new();
    for number in 0..JOBS {
        let entry = deployment.entries[number as usize % 2].callers;
        let job = id(number);
        sent.push(task::spawn(async move {
            let status = submit(entry, &job, 2, "ms=50").await.unwrap_or(0);
            (job, status)
        }));
        task::sleep(SUBMIT_INTERVAL).await;
    }
    let mut answers = BTreeMap::new();
    for submission in sent {
        let (job, status) = submission.await;
        answers.insert(job, status);
    }
    deployment.site.store.set_fault_mode(FaultMode::None);
    let accepted = answers.values().filter(|status| **status == 200).count();
    assert!(accepted as u32 >= JOBS * 9 / 10, "{accepted} of {JOBS}: {answers:?}");
    check_outcomes(&deployment, &answers).await;
}

/// Guards against owners that start nothing and lose their cells for as long as the store is slow.
/// Renewals that timed out and were sent again queued several times in the cell's partition, so
/// that none was answered before the last one was too old to permit starts.
#[async_std::test]
async fn a_slow_store_keeps_its_owners_at_work() {
    let deployment = Deployment::start("store-slow-owner", 2, 2).await;
    let owner = deployment.owner();
    deployment.site.store.set_fault_mode(FaultMode::Slow);
    for number in 0..8 {
        let status = deployment.submit(number as usize % 2, &id(number), 2, "ms=50").await;
        assert_eq!(status, 200, "job {number}");
        deployment.wait_for_state(0, &id(number), "completed").await;
    }
    deployment.site.store.set_fault_mode(FaultMode::None);
    assert_eq!(deployment.owner(), owner);
    assert!(deployment.entries.iter().all(|entry| !entry.has_logged("cell_lost")));
}

/// Guards against callers that wait forever because of another writer's rows in the minion table:
/// with missing fields, fields of another type, unknown states, keys that no header can hold, or
/// unreadable bytes.  Either nothing of their page was applied, or tasks were sent to minions that
/// don't exist.
#[async_std::test]
async fn minion_entries_of_another_writer_are_ignored() {
    let deployment = Deployment::start("store-others", 2, 2).await;
    let entry = |state: &str| {
        json!({
            "service": "svc", "address": "127.0.0.1:9", "zone": "zone", "state": state,
            "capacity": { "cpu": 16000, "memMb": 32768 }, "labels": ["a", "rack-1"],
        })
    };
    let store = &deployment.site.store;
    store.put("servers", "", "i-unknown", entry("retired").to_string().as_bytes());
    store.put("servers", "", "i-bad\r\nkey", entry("ready").to_string().as_bytes());
    store.put("servers", "", "i-bytes", &[0xff, 0x00, 0x7b]);
    store.put("servers", "", "i-part", br#"{"state":"ready"}"#);
    store.put("servers", "", "i-type", br#"{"service":5,"address":[],"state":{}}"#);
    for number in 0..10 {
        assert_eq!(deployment.submit(0, &id(number), 2, "ms=50").await, 200);
    }
    for number in 0..10 {
        deployment.wait_for_state(1, &id(number), "completed").await;
    }
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
}

/// Guards against machines that get no work after a request to empty them.  A former fleet
/// controller left more rows than one transaction may delete; the next one sent them in one
/// transaction all the same, and the transaction was refused each time.
#[async_std::test]
async fn any_number_of_stale_emptying_rows_is_deleted() {
    let deployment = Deployment::start("store-many", 1, 2).await;
    for number in 0..130 {
        let key = format!("emptying/old-{number}");
        deployment.site.store.put("control", "", &key, b"i-gone");
    }
    let began = Instant::now();
    while deployment.site.store.count("control", "emptying/") > 0 {
        assert!(began.elapsed() < WAIT_TIMEOUT, "rows are left");
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against reporting unknown outcomes while the store is unavailable for some seconds at
/// peak load.  Each job was sent to the store although it was known to be unavailable, so callers
/// could not submit it again.  Callers whose job is refused as not run retry and are served.
#[async_std::test]
async fn jobs_are_refused_during_a_store_outage() {
    let deployment = Deployment::start("store-away", 2, 2).await;
    assert_eq!(deployment.submit(0, &id(1), 1, "ms=50").await, 200);
    deployment.site.store.set_fault_mode(FaultMode::Silent);
    let ready = async |entry: usize| {
        let callers = deployment.entries[entry].callers;
        Some(call(callers, Method::Get, "/-/ready", None).await?.0 == 200)
    };
    let seen = async || (!ready(0).await? && !ready(1).await?).then_some(());
    eventually("the outage is seen", seen).await;
    for number in 2..6 {
        assert_eq!(deployment.submit(0, &id(number), 1, "ms=50").await, 503);
    }
    deployment.site.store.set_fault_mode(FaultMode::None);
    eventually("its end is seen", async || ready(0).await?.then_some(())).await;
    for number in 2..6 {
        assert_eq!(deployment.submit(0, &id(number), 1, "ms=50").await, 200);
        deployment.wait_for_state(0, &id(number), "completed").await;
    }
    assert_eq!(check::at_most_once(&deployment.site.history()), Vec::<String>::new());
}

/// Guards against a wait for the former owner's leases before a job is started that was accepted
/// after an outage of the store, in which the former owner was lost.
#[async_std::test]
async fn jobs_accepted_after_an_outage_are_not_inherited() {
    let deployment = Deployment::start("store-after", 2, 2).await;
    let owner = deployment.owner().unwrap();
    let other = 1 - owner;
    assert_eq!(deployment.submit(owner, &id(1), 1, "ms=50").await, 200);
    deployment.wait_for_state(owner, &id(1), "completed").await;
    deployment.site.store.set_fault_mode(FaultMode::Refuses);
    deployment.entries[owner].signal("-STOP");
    // Longer than the longest term.
    task::sleep(Duration::from_millis(3_500)).await;
    deployment.site.store.set_fault_mode(FaultMode::None);
    let mut accepted = Vec::new();
    let mut number = 2;
    while !deployment.entries[other].has_logged("cell_loaded") {
        assert!(number < 400, "no takeover");
        if deployment.submit(other, &id(number), 1, "ms=50").await == 200 {
            accepted.push(id(number));
        }
        number += 1;
        task::sleep(Duration::from_millis(50)).await;
    }
    for job in &accepted {
        deployment.wait_for_state(other, job, "completed").await;
    }
    let lines = deployment.entries[other].lines.lock().unwrap().clone();
    let loaded = lines.iter().find(|line| line.contains("\"cell_loaded\"")).unwrap();
    let loaded: Value = serde_json::from_str(loaded).unwrap();
    let field = |name: &str| loaded["kvs"][name].to_string().trim_matches('"').to_owned();
    let number = |name: &str| field(name).parse::<u64>().unwrap();
    assert!(number("jobs") > number("inherited"), "{loaded}");
    assert_eq!(field("bound"), "store_clock", "{loaded}");
    assert!(number("wait_ms") < 1_500, "{loaded}");
    assert_eq!(check::at_most_once(&deployment.site.history()), Vec::<String>::new());
}
