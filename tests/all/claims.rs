//! Keyed requests run at most once, whatever faults the platform has.

use crate::cluster::{Cluster, FAULTS, Shape, single, spawn_thread, wait_until};
use assert_matches::assert_matches;
use celerythread_model::request::Outcome;
use celerythread_standin::fault::Fault;
use celerythread_standin::faulty::{Call, Plan};
use celerythread_standin::history::Told;
use celerythread_standin::load::RequestSpec;
use celerythread_standin::minion::Mode;
use std::time::{Duration, Instant};

fn keyed(id: &str, key: &str) -> RequestSpec {
    // The body is the key, so that every repeat under the key is the same request.
    RequestSpec {
        key: Some(key.into()),
        idempotent: false,
        body: key.as_bytes().to_vec(),
        ..single(id, "alpha")
    }
}

/// Guards against a second run when a client repeats a request at another entry because the first
/// answer was late: the repeat must get the first run's answer.
#[async_std::test]
async fn a_repeat_at_another_entry_gets_the_stored_answer() {
    let cluster = Cluster::start(Shape::default()).await;
    let first = cluster.send(0, &keyed("a", "k")).await;
    assert_matches!(&first.asked.told, Told::Answer(200, _));
    let mut last = None;
    wait_until("the answer is stored", async || {
        last = Some(cluster.send(1, &keyed("b", "k")).await);
        matches!(last.as_ref().unwrap().asked.told, Told::Answer(200, _))
    })
    .await;
    let asked = [first.asked, last.unwrap().asked];
    assert_eq!(cluster.breaches(&asked), []);
    assert_eq!(cluster.runs().len(), 1);
    cluster.stop().await;
}

#[async_std::test]
async fn a_large_answer_is_stored_in_the_object_store() {
    let cluster = Cluster::start(Shape::default()).await;
    for minion in cluster.minions.values() {
        minion.set_filling(100_000);
    }
    let first = cluster.send(0, &keyed("a", "k")).await;
    let Told::Answer(200, body) = &first.asked.told else { panic!("{:?}", first.asked.told) };
    wait_until("the answer is stored", async || {
        let again = cluster.send(1, &keyed("b", "k")).await;
        matches!(&again.asked.told, Told::Answer(200, stored) if stored == body)
    })
    .await;
    assert_eq!(cluster.runs().len(), 1);
    cluster.stop().await;
}

#[async_std::test]
async fn a_repeat_is_refused_while_the_first_request_runs() {
    let cluster =
        Cluster::start(Shape { duration: Duration::from_millis(500), ..Shape::default() }).await;
    let entry = cluster.entries[0].callers;
    let first = async_std::task::spawn(async move {
        celerythread_standin::load::send(entry, &keyed("a", "k")).await
    });
    wait_until("the first request runs", async || !cluster.runs().is_empty()).await;
    let repeat = cluster.send(1, &keyed("b", "k")).await;
    assert_matches!(repeat.asked.told, Told::Refused(1017, Some(Outcome::Unknown)));
    assert!(repeat.retry_after_ms.is_some());
    assert_matches!(first.await.asked.told, Told::Answer(200, _));
    cluster.stop().await;
}

#[async_std::test]
async fn a_key_used_for_another_request_is_refused() {
    let cluster = Cluster::start(Shape::default()).await;
    cluster.send(0, &keyed("a", "k")).await;
    let other = RequestSpec { body: b"other".to_vec(), ..keyed("b", "k") };
    let refused = cluster.send(1, &other).await;
    assert_matches!(refused.asked.told, Told::Refused(1018, Some(Outcome::NotRun)));
    assert_eq!(cluster.runs().len(), 1);
    cluster.stop().await;
}

/// Guards against a write-down that is booked twice: the entry dies while the request runs, and the
/// caller repeats it at another entry under the same key.  Whether it ran can't be known, so the
/// repeat must be refused with the outcome unknown.
#[async_std::test]
async fn a_dead_entrys_claim_is_never_run_again() {
    let mut cluster =
        Cluster::start(Shape { duration: Duration::from_secs(3), ..Shape::default() }).await;
    let entry = cluster.entries[0].callers;
    async_std::task::spawn(async move {
        celerythread_standin::load::send(entry, &keyed("a", "k")).await
    });
    wait_until("the first request runs", async || !cluster.runs().is_empty()).await;
    let dead = cluster.entries[0].daemon.as_ref().unwrap().id().to_string();
    cluster.entries[0].switch.set_down(true);
    cluster.kill(0);
    wait_until("the dead entry is removed from the registry", async || {
        let status = cluster.get(1, "/v1/status").await.unwrap();
        !status["entries"].to_string().contains(&dead)
    })
    .await;
    let repeat = cluster.send(1, &keyed("b", "k")).await;
    assert_matches!(repeat.asked.told, Told::Refused(1019, Some(Outcome::Unknown)));
    assert_eq!(cluster.runs().len(), 1);
    cluster.stop().await;
}

/// During a platform outage claims can't be recorded: a keyed request is refused as not run, at
/// once and with a Retry-After; requests without a key are still served.
#[async_std::test]
async fn an_outage_refuses_keyed_requests_and_serves_the_others() {
    let cluster = Cluster::start(Shape::default()).await;
    for entry in &cluster.entries {
        entry.switch.set_down(true);
    }
    let started_at = Instant::now();
    let refused = cluster.send(0, &keyed("a", "k")).await;
    assert_matches!(refused.asked.told, Told::Refused(1016, Some(Outcome::NotRun)));
    assert!(started_at.elapsed() < Duration::from_secs(3));
    assert!(refused.retry_after_ms.is_some());
    let mut asked = vec![refused.asked];
    for n in 0..20 {
        let idempotent =
            RequestSpec { idempotent: n % 2 == 0, ..single(&format!("r{n}"), "alpha") };
        let done = cluster.send(n % 2, &idempotent).await;
        assert_matches!(done.asked.told, Told::Answer(200, _));
        asked.push(done.asked);
    }
    for entry in &cluster.entries {
        entry.switch.set_down(false);
    }
    let after = cluster.send(0, &keyed("c", "k")).await;
    assert_matches!(after.asked.told, Told::Answer(200, _));
    asked.push(after.asked);
    assert_eq!(cluster.breaches(&asked), []);
    cluster.stop().await;
}

/// A request refused before it was sent releases its key, so that a retry can run.
#[async_std::test]
async fn a_request_that_was_not_run_releases_its_key() {
    let cluster = Cluster::start(Shape { entries: 1, ..Shape::default() }).await;
    let short_deadline =
        RequestSpec { deadline: celerythread_model::unit::Span::millis(1), ..keyed("a", "k") };
    let refused = cluster.send(0, &short_deadline).await;
    if let Told::Refused(_, Some(Outcome::NotRun)) = refused.asked.told {
        wait_until("the key is released", async || {
            let again = cluster.send(0, &keyed("b", "k")).await;
            matches!(again.asked.told, Told::Answer(200, _))
        })
        .await;
    }
    assert!(cluster.runs().len() <= 1);
    cluster.stop().await;
}

/// Injects every fault at every commit of a keyed request, then repeats it under the same key at
/// both entries until one is answered or refused with the outcome unknown.
#[async_std::test]
async fn every_fault_at_every_call_of_a_claim() {
    let mut outcomes = Vec::new();
    for fault in FAULTS {
        for at in 0..2 {
            outcomes.push((fault, at, spawn_thread(move || run_claim_with_fault(fault, at))));
        }
    }
    for (fault, at, outcome) in outcomes {
        let breaches = outcome.join().unwrap();
        assert!(breaches.is_empty(), "{fault} at commit {at}: {breaches:?}");
    }
}

async fn run_claim_with_fault(fault: Fault, at: u64) -> Vec<String> {
    let mut cluster = Cluster::start(Shape::default()).await;
    let switch = cluster.entries[0].switch.clone();
    // The only commits are claims and occasional lease renewals; the fault hits two in a row, so
    // that the claim is hit in whichever order they come.
    let from = switch.count(Call::Commit) + at;
    switch.plan(Plan { call: Call::Commit, from, count: 2, fault });
    let mut asked = vec![cluster.send_with_timeout(0, &keyed("first", "k")).await];
    cluster.reap();
    let started_at = Instant::now();
    let mut resolved = false;
    let mut n = 0;
    while !resolved && started_at.elapsed() < Duration::from_secs(20) {
        cluster.reap();
        let index = if cluster.entries[0].daemon.is_some() { n % 2 } else { 1 };
        let done = cluster.send_with_timeout(index, &keyed(&format!("again{n}"), "k")).await;
        resolved = matches!(done.told, Told::Answer(200, _) | Told::Refused(1019, _));
        asked.push(done);
        n += 1;
        async_std::task::sleep(Duration::from_millis(50)).await;
    }
    let mut breaches: Vec<String> = cluster
        .breaches(&asked)
        .iter()
        // A killed entry can't answer its caller; this test doesn't check for that.
        .filter(|breach| !matches!(breach, celerythread_standin::history::Breach::NoAnswer(_)))
        .map(ToString::to_string)
        .collect();
    if !resolved {
        breaches.push("neither answered nor refused with the outcome unknown".into());
    }
    cluster.reap();
    cluster.stop().await;
    breaches
}

impl Cluster {
    /// Sends a request to an entry that may die while it handles it; without an answer within 8 s
    /// it counts as broken.
    pub(crate) async fn send_with_timeout(
        &mut self,
        index: usize,
        one: &RequestSpec,
    ) -> celerythread_standin::history::Asked {
        let sending = async_std::future::timeout(Duration::from_secs(8), self.send(index, one));
        let told = sending.await;
        match told {
            Ok(done) => done.asked,
            Err(_) => celerythread_standin::history::Asked {
                id: one.id.clone(),
                effect: one.key.clone().unwrap_or_else(|| one.id.clone()),
                idempotent: one.idempotent,
                body: one.body.clone(),
                told: Told::Broken,
            },
        }
    }
}

/// Claims are stored for as long as the configuration says, then deleted; recent ones remain.
#[async_std::test]
async fn expired_claims_are_deleted_and_recent_ones_remain() {
    use celerythread_model::table::Space;
    use celerythread_model::unit::Revision;
    use celerythread_platform::Table;
    use celerythread_platform::message::Transaction;
    let cluster = Cluster::without_entries(Shape::default()).await;
    let row = |made_at: u64| {
        serde_json::json!({
            "attempt": "a", "entry": "e", "fingerprint": "f", "made_at": made_at,
            "stage": { "stage": "unknown" },
        })
    };
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let mut transaction = Transaction::new();
    for n in 0..250 {
        transaction = transaction.put(Space::Claim, format!("claim/alpha/old{n}"), &row(1));
    }
    let recent = row(now.as_millis() as u64);
    transaction = transaction.put(Space::Claim, "claim/alpha/young", &recent);
    cluster.memory.table.commit(transaction).await.unwrap();
    let mut cluster = cluster;
    cluster.start_entry(0).await;
    wait_until("expired claims are deleted", async || {
        let rows = cluster.memory.table.changes(Space::Claim, Revision(0)).await.unwrap().rows;
        let left: Vec<&str> =
            rows.iter().filter(|row| row.value.is_some()).map(|row| row.key.as_str()).collect();
        left == ["claim/alpha/young"]
    })
    .await;
    cluster.stop().await;
}

/// A non-idempotent request without a key is sent once, whatever the answer.
#[async_std::test]
async fn an_unkeyed_request_is_sent_once() {
    let cluster =
        Cluster::start(Shape { service_settings: "progress = 200ms", ..Shape::default() }).await;
    let mut asked = Vec::new();
    for mode in [Mode::Hang, Mode::Truncate, Mode::FailFast, Mode::Unavailable] {
        for minion in cluster.minions.values() {
            minion.set_mode(mode);
        }
        let one = RequestSpec { idempotent: false, ..single(&format!("{mode}"), "alpha") };
        asked.push(cluster.send(0, &one).await.asked);
        async_std::task::sleep(Duration::from_millis(600)).await;
    }
    let runs = cluster.runs();
    for one in &asked {
        assert_eq!(runs.iter().filter(|run| run.id == one.id).count(), 1, "{}", one.id);
    }
    assert_eq!(cluster.breaches(&asked), []);
    cluster.stop().await;
}
