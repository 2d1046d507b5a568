//! Callers get complete answers to their own requests, and "not run" only if nothing was run.

use crate::cluster::{Cluster, Shape, loopback, single, wait_until};
use assert_matches::assert_matches;
use celerythread_model::code::Code;
use celerythread_model::request::{Class, Outcome};
use celerythread_model::unit::Span;
use celerythread_platform::message::{Instance, Role};
use celerythread_standin::history::Told;
use celerythread_standin::link::{Link, Mode as LinkMode};
use celerythread_standin::load::{self, Plan, RequestSpec};
use celerythread_standin::minion::{Minion, Mode};
use std::time::{Duration, Instant};

fn one_minion() -> Shape {
    Shape { entries: 1, minions: vec![("alpha", 1)], floor: 0, ..Shape::default() }
}

fn non_idempotent(id: &str) -> RequestSpec {
    RequestSpec { idempotent: false, ..single(id, "alpha") }
}

#[async_std::test]
async fn mixed_load_through_every_entry_is_all_answered() {
    // Queues and deadlines large enough for all requests: each must be answered, even if the
    // machine that runs the test is slow.
    let shape = Shape {
        entries: 3,
        zones: 3,
        service_settings: "queue_per_slot = 1000",
        ..Shape::default()
    };
    let cluster = Cluster::start(shape).await;
    let plan = Plan {
        entries: cluster.entries.iter().map(|entry| entry.callers).collect(),
        service: "alpha".into(),
        rate: 300.0,
        count: 600,
        deadline: Span::secs(120),
        ..Plan::default()
    };
    let report = load::run(&plan).await;
    assert_eq!(cluster.breaches(&report.asked()), []);
    let answered = report.answered(Class::Urgent) + report.answered(Class::Patient);
    assert_eq!(answered, 600, "{}", report.table());
    cluster.stop().await;
}

/// Guards against a report whose end is missing being passed on as complete.  The minion closes its
/// connection within the answer; the caller must not get a 200.  An idempotent request may be sent
/// to another minion, a non-idempotent one must be refused with the outcome run.
#[async_std::test]
async fn a_truncated_answer_is_never_passed_on_as_complete() {
    let cluster = Cluster::start(one_minion()).await;
    cluster.minions["alpha-0"].set_mode(Mode::Truncate);
    let done = cluster.send(0, &non_idempotent("a")).await;
    assert_matches!(done.asked.told, Told::Refused(1020, Some(Outcome::Run)));
    let again = cluster.send(0, &single("b", "alpha")).await;
    assert_matches!(again.asked.told, Told::Refused(_, Some(Outcome::Run)));
    cluster.stop().await;
}

#[async_std::test]
async fn an_idempotent_request_goes_to_another_minion_after_a_broken_answer() {
    let cluster = Cluster::start(Shape { entries: 1, ..Shape::default() }).await;
    cluster.minions["alpha-0"].set_mode(Mode::Truncate);
    let mut asked = Vec::new();
    for n in 0..6 {
        let done = cluster.send(0, &single(&format!("r{n}"), "alpha")).await;
        assert_matches!(done.asked.told, Told::Answer(200, _));
        asked.push(done.asked);
    }
    assert_eq!(cluster.breaches(&asked), []);
    cluster.stop().await;
}

/// Guards against a truncated answer that looks complete: an answer too large to buffer is streamed
/// to the caller, and the minion closes its connection before the end.  The entry must break the
/// caller's connection instead of ending the answer properly.
#[async_std::test]
async fn a_long_answer_that_breaks_off_breaks_the_callers_connection() {
    let cluster = Cluster::start(one_minion()).await;
    let minion = &cluster.minions["alpha-0"];
    minion.set_filling(6 << 20);
    let whole = cluster.send(0, &single("whole", "alpha")).await;
    assert_matches!(&whole.asked.told, Told::Answer(200, body) if body.len() > 6 << 20);
    assert_eq!(cluster.breaches(&[whole.asked]), []);
    minion.set_mode(Mode::Truncate);
    let broken = cluster.send(0, &non_idempotent("broken")).await;
    assert_matches!(broken.asked.told, Told::Broken);
    cluster.stop().await;
}

/// If the entry can't connect to the minion, nothing was sent and the caller must be told "not
/// run", so that it can safely send the request again.
#[async_std::test]
async fn a_refused_connection_is_not_run() {
    let mut cluster = Cluster::start(one_minion()).await;
    cluster.minions.clear();
    let done = cluster.send(0, &non_idempotent("a")).await;
    assert_matches!(done.asked.told, Told::Refused(1014, Some(Outcome::NotRun)));
    cluster.stop().await;
}

/// Guards against a write-down that is booked twice: the minion reads the request and never
/// answers.  The caller must be told "unknown" as soon as the progress timeout passes, and nothing
/// may be sent again.
#[async_std::test]
async fn a_silent_minion_leaves_the_outcome_unknown_at_once() {
    let shape = Shape { service_settings: "progress = 200ms", ..one_minion() };
    let cluster = Cluster::start(shape).await;
    cluster.minions["alpha-0"].set_mode(Mode::Hang);
    let started_at = Instant::now();
    let done = cluster.send(0, &non_idempotent("a")).await;
    assert_matches!(done.asked.told, Told::Refused(1021, Some(Outcome::Unknown)));
    assert!(started_at.elapsed() < Duration::from_secs(4), "answered only near the deadline");
    assert_eq!(cluster.runs().len(), 1);
    cluster.stop().await;
}

/// A firewall loses the state of open connections to a minion: they drop everything silently, while
/// new ones work.  Idempotent requests on pooled connections must be sent again on new ones;
/// non-idempotent ones must never use a pooled connection.
#[async_std::test]
async fn silently_dropped_connections_lose_no_request() {
    let shape = Shape {
        entries: 1,
        minions: vec![("alpha", 0)],
        floor: 0,
        service_settings: "progress = 200ms",
        ..Shape::default()
    };
    let mut cluster = Cluster::without_entries(shape).await;
    let minion = Minion::start(loopback(), Duration::from_millis(5)).await.unwrap();
    let link = Link::tcp(loopback(), minion.server.address()).await.unwrap();
    let listed = Instance {
        address: Some(link.address()),
        pool: Some("alpha".parse().unwrap()),
        ..instance()
    };
    cluster.memory.roster.put(listed);
    cluster.minions.insert("alpha-0".into(), minion);
    cluster.start_entry(0).await;
    cluster.configure().await;
    cluster.wait_until_owned().await;
    let mut asked = Vec::new();
    for round in 0..3 {
        for n in 0..4 {
            let warm = cluster.send(0, &single(&format!("warm{round}-{n}"), "alpha")).await;
            asked.push(warm.asked);
        }
        link.forget_flows();
        let unique = cluster.send(0, &non_idempotent(&format!("once{round}"))).await;
        assert_matches!(unique.asked.told, Told::Answer(200, _));
        asked.push(unique.asked);
    }
    for one in &asked {
        assert_matches!(one.told, Told::Answer(200, _), "{}", one.id);
    }
    assert_eq!(cluster.breaches(&asked), []);
    // With new connections silent too the caller is still answered, with the outcome unknown.
    link.set(LinkMode::Silent);
    let lost = cluster.send(0, &non_idempotent("lost")).await;
    assert_matches!(lost.asked.told, Told::Refused(1021, Some(Outcome::Unknown)));
    link.set(LinkMode::Pass);
    cluster.stop().await;
}

fn instance() -> Instance {
    crate::cluster::instance("alpha-0", Role::Minion, "z0")
}

/// A request reaches its deadline and its answer arrives afterwards: no other caller may get it.
#[async_std::test]
async fn a_late_answer_never_reaches_another_caller() {
    let shape = Shape { service_settings: "progress = 5s", ..one_minion() };
    let cluster = Cluster::start(shape).await;
    let minion = &cluster.minions["alpha-0"];
    minion.set_duration(Duration::from_millis(400));
    let short_deadline = RequestSpec { deadline: Span::millis(150), ..single("hasty", "alpha") };
    let abandoned = cluster.send(0, &short_deadline).await;
    assert_matches!(abandoned.asked.told, Told::Refused(_, Some(Outcome::Unknown)));
    minion.set_duration(Duration::from_millis(5));
    let mut asked = vec![abandoned.asked];
    for n in 0..20 {
        asked.push(cluster.send(0, &single(&format!("r{n}"), "alpha")).await.asked);
    }
    assert_eq!(cluster.breaches(&asked), []);
    cluster.stop().await;
}

#[async_std::test]
async fn invalid_request_headers_get_their_result_codes() {
    use celerythread_http::client;
    let cluster = Cluster::start(one_minion()).await;
    let address = cluster.entries[0].callers;
    for (name, value, code) in [
        ("celerythread-service", "nobody", Code::UnknownService),
        ("priority", "u=9", Code::UnknownClass),
        ("priority", "soon", Code::UnknownClass),
        ("celerythread-deadline", "tomorrow", Code::BadDeadline),
        ("celerythread-deadline", "0ms", Code::BadDeadline),
        ("idempotency-key", "\"\"", Code::BadKey),
        ("celerythread-team", "NOT A TEAM", Code::BadTeam),
    ] {
        let mut request = client::request(http_types::Method::Post, address, "/x").unwrap();
        request.insert_header("celerythread-service", "alpha");
        request.insert_header(name, value);
        let (head, body) =
            client::fetch(address, request, Duration::from_secs(5), 1 << 20).await.unwrap();
        let problem: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(problem["code"], code.number(), "{name}: {value}");
        assert_eq!(problem["outcome"], "not-run");
        assert_eq!(head.header("celerythread-outcome").unwrap().as_str(), "not-run");
    }
    assert_eq!(cluster.runs().len(), 0);
    cluster.stop().await;
}

/// Guards against a minion that attracts all requests because it fails each at once and is free
/// again.
#[async_std::test]
async fn a_fast_failing_minion_gets_no_more_than_its_share() {
    let shape = Shape {
        entries: 1,
        minions: vec![("alpha", 4)],
        floor: 1,
        duration: Duration::from_millis(40),
        ..Shape::default()
    };
    let cluster = Cluster::start(shape).await;
    let plan = |seed| Plan {
        entries: vec![cluster.entries[0].callers],
        service: "alpha".into(),
        rate: 250.0,
        count: 250,
        non_idempotent_share: 0.0,
        seed,
        ..Plan::default()
    };
    // The comparison with its siblings needs their typical durations first.
    load::run(&plan(1)).await;
    cluster.minions["alpha-0"].set_mode(Mode::Truncate);
    cluster.minions["alpha-0"].set_duration(Duration::ZERO);
    let before = cluster.minions["alpha-0"].record().runs.len();
    load::run(&plan(2)).await;
    let received = cluster.minions["alpha-0"].record().runs.len() - before;
    assert!(received <= 63, "received {received} of 250, its share is 62");
    cluster.stop().await;
}

/// When a service is saturated, a request that can't start before its deadline is refused at once,
/// as not run and with a Retry-After.
#[async_std::test]
async fn overload_is_refused_at_once_with_retry_after() {
    let shape = Shape { duration: Duration::from_millis(200), slots: 1, ..one_minion() };
    let cluster = Cluster::start(shape).await;
    let plan = Plan {
        entries: vec![cluster.entries[0].callers],
        service: "alpha".into(),
        rate: 200.0,
        count: 200,
        deadline: Span::secs(2),
        ..Plan::default()
    };
    let report = load::run(&plan).await;
    assert_eq!(cluster.breaches(&report.asked()), []);
    let refused: Vec<_> = report
        .results
        .iter()
        .filter(|done| matches!(done.asked.told, Told::Refused(1011, Some(Outcome::NotRun))))
        .collect();
    assert!(refused.len() > 100, "{}", report.table());
    for done in &refused {
        assert!(done.retry_after_ms.is_some_and(|ms| ms > 0));
        // At once, not only near the deadline of 2 s.
        assert!(done.took < Duration::from_millis(1000), "{:?}", done.took);
    }
    cluster.stop().await;
}

/// A minion's slots bound its requests in flight from all entries together.
#[async_std::test]
async fn no_minion_has_more_than_its_slots_from_all_entries() {
    let shape = Shape { entries: 3, duration: Duration::from_millis(30), ..Shape::default() };
    let cluster = Cluster::start(shape).await;
    let plan = Plan {
        entries: cluster.entries.iter().map(|entry| entry.callers).collect(),
        service: "alpha".into(),
        rate: 600.0,
        count: 900,
        ..Plan::default()
    };
    let report = load::run(&plan).await;
    assert_eq!(cluster.breaches(&report.asked()), []);
    for (name, minion) in &cluster.minions {
        let max_outstanding = minion.record().most_outstanding;
        assert!(max_outstanding <= 4, "{name} had {max_outstanding} requests in flight");
    }
    cluster.stop().await;
}

#[async_std::test]
async fn a_teams_quota_bounds_its_requests_in_flight() {
    use celerythread_http::client;
    let cluster =
        Cluster::start(Shape { duration: Duration::from_millis(300), ..one_minion() }).await;
    let address = cluster.entries[0].callers;
    let ask = || {
        let mut request = client::request(http_types::Method::Post, address, "/x").unwrap();
        request.insert_header("celerythread-service", "alpha");
        request.insert_header("celerythread-team", "small");
        async_std::task::spawn(async move {
            let fetched = client::fetch(address, request, Duration::from_secs(5), 1 << 20).await;
            u16::from(fetched.unwrap().0.status())
        })
    };
    let all: Vec<_> = (0..5).map(|_| ask()).collect();
    let mut statuses = Vec::new();
    for one in all {
        statuses.push(one.await);
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 200, 429, 429, 429]);
    wait_until("the quota is released", async || ask().await == 200).await;
    cluster.stop().await;
}
