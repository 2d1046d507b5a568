//! The platform's store in trouble.

use super::*;
use celerythread_standin::site::check;
use celerythread_standin::site::store::FaultMode;

/// Jobs sent one after the other with the store in trouble from the tenth to the thirtieth.
async fn through(test: &'static str, trouble: FaultMode) -> (Deployment, BTreeMap<String, u16>) {
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

/// What was refused never ran, what was accepted is done once; a job whose fate its caller
/// wasn't told may be either.
async fn check_all(deployment: &Deployment, answers: &BTreeMap<String, u16>) {
    for (job, _) in answers.iter().filter(|(_, status)| **status == 200) {
        deployment.until(0, job, "completed").await;
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
async fn a_store_that_refuses_leads_to_refusals_that_are_true() {
    let (deployment, answers) = through("store-refuses", FaultMode::Refuses).await;
    assert!(answers.values().any(|status| *status == 503), "{answers:?}");
    check_all(&deployment, &answers).await;
}

#[async_std::test]
async fn a_silent_store_leaves_nothing_half_accepted() {
    let (deployment, answers) = through("store-silent", FaultMode::Silent).await;
    check_all(&deployment, &answers).await;
}

/// Transactions are carried out and their answers lost: callers hear that nobody knows, never
/// that the job doesn't run.
#[async_std::test]
async fn lost_answers_of_the_store_are_not_taken_for_refusals() {
    let (deployment, answers) = through("store-loses", FaultMode::LosesAnswers).await;
    check_all(&deployment, &answers).await;
}

#[async_std::test]
async fn a_forgotten_history_is_made_good_by_reading_again() {
    let deployment = Deployment::start("store-forgets", 2, 2).await;
    for version in 2..6 {
        deployment.site.store.forget_history();
        deployment.site.configure(version);
        let number = version as u32;
        assert_eq!(deployment.submit(0, &id(number), 1, "ms=50").await, 200);
        deployment.until(1, &id(number), "completed").await;
    }
}

/// Callers of a burst are refused or left in doubt for as long as the store is slow.  Each
/// unanswered write was sent again, each copy took its partition's turn, and soon no write was
/// answered within its caller's time.
#[async_std::test]
async fn a_slow_store_takes_in_a_burst() {
    const JOBS: u32 = 60;
    /// Each partition gets two of the jobs, and carries out two and a half in this time.
    const GAP: Duration = Duration::from_millis(40);
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
        task::sleep(GAP).await;
    }
    let mut answers = BTreeMap::new();
    for one in sent {
        let (job, status) = one.await;
        answers.insert(job, status);
    }
    deployment.site.store.set_fault_mode(FaultMode::None);
    let accepted = answers.values().filter(|status| **status == 200).count();
    assert!(accepted as u32 >= JOBS * 9 / 10, "{accepted} of {JOBS}: {answers:?}");
    check_all(&deployment, &answers).await;
}

/// Nothing is started for as long as the store is slow, and cells change hands.  A renewal that
/// was given up and sent again took its cell's partition's turn several times over, so that none
/// of them was answered before the last one was too old to start anything by.
#[async_std::test]
async fn a_slow_store_keeps_its_owners_at_work() {
    let deployment = Deployment::start("store-slow-owner", 2, 2).await;
    let owner = deployment.owner();
    deployment.site.store.set_fault_mode(FaultMode::Slow);
    for number in 0..8 {
        let status = deployment.submit(number as usize % 2, &id(number), 2, "ms=50").await;
        assert_eq!(status, 200, "job {number}");
        deployment.until(0, &id(number), "completed").await;
    }
    deployment.site.store.set_fault_mode(FaultMode::None);
    assert_eq!(deployment.owner(), owner);
    assert!(deployment.entries.iter().all(|entry| !entry.noted("cell_lost")));
}

/// Callers wait for good: another writer's entries stand among the minions', with fields missing or of
/// another type, states that nobody knows, keys that no header can hold, and bytes that can't be read,
/// and nothing of that page is taken in; or tasks are sent to minions that aren't there.
#[async_std::test]
async fn entries_of_another_writer_name_no_minions() {
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
        deployment.until(1, &id(number), "completed").await;
    }
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
}

/// Machines that were to be emptied once get no work any more.  A former holder of the duty left more
/// rows than one transaction may drop; the next one sent it all the same, and it was refused each time.
#[async_std::test]
async fn any_number_of_machines_is_released() {
    let deployment = Deployment::start("store-many", 1, 2).await;
    for number in 0..130 {
        let key = format!("emptying/old-{number}");
        deployment.site.store.put("control", "", &key, b"i-gone");
    }
    let began = Instant::now();
    while deployment.site.store.count("control", "emptying/") > 0 {
        assert!(began.elapsed() < PATIENCE, "rows are left");
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// The store is away for some seconds at a turn's peak.  Callers were told that nobody knows whether their
/// jobs run, because each was sent to the store although it was known to be away, and they could not ask
/// again.  Told that it didn't run, they come back and are served.
#[async_std::test]
async fn while_the_store_is_away_callers_are_told_that_nothing_ran() {
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
        deployment.until(0, &id(number), "completed").await;
    }
    assert_eq!(check::at_most_once(&deployment.site.history()), Vec::<String>::new());
}
