//! Workspaces: keys, access to jobs, and limits.

use super::*;
use celerythread_standin::site::store::Deferral;
use celerythread_standin::site::{SECOND_SERVICE, Workspace, check};

const KEY: &str = "pqk8bdk9eevyxq2yyaza";
const SECOND_KEY: &str = "x6pwawxdmdejk7f92bqu";
const OTHER_KEY: &str = "h2m5rtb7ckvw9e4zq8ja";

/// Stricter than the time within which a configuration must be in force on all entries.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(2000);

const TEAM: Workspace<'static> = Workspace { name: "team", keys: &[KEY, SECOND_KEY], cpu: 0 };
const OTHER: Workspace<'static> = Workspace { name: "other", keys: &[OTHER_KEY], cpu: 0 };

async fn start(test: &'static str, entries: usize, workers: usize) -> Deployment {
    let deployment = Deployment::start(test, entries, workers).await;
    deployment.site.configure_workspaces(2, &[TEAM, OTHER]);
    for entry in &deployment.entries {
        wait_for_status(entry.callers, 401, "/q/", &[]).await;
    }
    deployment
}

/// Waits until a GET request of the path is answered with a status.
async fn wait_for_status(entry: SocketAddr, status: u16, path: &str, credentials: &[&str]) {
    let what = format!("{path} is answered with {status}");
    eventually(&what, async || {
        let (got, _) = call_with(entry, Method::Get, path, None, credentials).await?;
        (got == status).then_some(())
    })
    .await;
}

fn token(key: &str) -> String {
    format!("Token {key}")
}

async fn submit_as(entry: SocketAddr, key: &str, path: &str, tasks: u32, spec: &str) -> u16 {
    let body = celerythread_standin::site::job(tasks, spec);
    let answer = call_with(entry, Method::Post, path, Some(body), &[&token(key)]).await;
    answer.map_or(0, |(status, _)| status)
}

async fn status_as(entry: SocketAddr, key: &str, method: Method, path: &str) -> u16 {
    let answer = call_with(entry, method, path, None, &[&token(key)]).await;
    answer.map_or(0, |(status, _)| status)
}

async fn wait_for_completion(entry: SocketAddr, key: &str, path: &str) {
    eventually(&format!("{path} is completed"), async || {
        let (_, body) = call_with(entry, Method::Get, path, None, &[&token(key)]).await?;
        let body: Value = serde_json::from_slice(&body).ok()?;
        (body["state"] == "completed").then_some(())
    })
    .await;
}

/// Guards against a request being carried out although no workspace has its key, and against keys
/// in logs.
#[async_std::test]
async fn a_call_without_a_valid_key_is_refused() {
    let deployment = start("keys", 1, 1).await;
    let entry = deployment.entries[0].callers;
    let path = format!("/q/{}", id(1));
    let body = || Some(celerythread_standin::site::job(1, "ms=50"));
    let (good, unknown) = (token(KEY), token("nobody-has-this-key"));
    let wrong: [&[&str]; 8] = [
        &[],
        &[&unknown],
        &[KEY],
        &["Token"],
        &["Basic pqk8bdk9eevyxq2yyaza"],
        &[&good, &good],
        &["Token pqk8bdk9eevyxq2yyaza x6pwawxdmdejk7f92bqu"],
        &["Token PQK8BDK9EEVYXQ2YYAZA"],
    ];
    for credentials in wrong {
        let answer = call_with(entry, Method::Post, &path, body(), credentials).await;
        assert_eq!(answer.map(|(status, _)| status), Some(401), "{credentials:?}");
    }
    assert!(deployment.site.history().is_empty());
    for credentials in ["Token pqk8bdk9eevyxq2yyaza", "token  x6pwawxdmdejk7f92bqu"] {
        let answer = call_with(entry, Method::Post, &path, body(), &[credentials]).await;
        assert_eq!(answer.map(|(status, _)| status), Some(200), "{credentials:?}");
    }
    wait_for_completion(entry, KEY, &path).await;
    let lines = deployment.entries[0].lines.lock().unwrap().join(" ");
    assert!(lines.contains("key_refused"), "{lines}");
    for key in [KEY, SECOND_KEY, OTHER_KEY, "nobody-has-this-key"] {
        assert!(!lines.contains(key), "the log contains the key {key}");
    }
}

/// Guards against a workspace that reads, cancels or resubmits another workspace's job.
#[async_std::test]
async fn a_job_is_accessible_only_to_its_workspace() {
    let deployment = start("owners", 2, 1).await;
    let (first, second) = (deployment.entries[0].callers, deployment.entries[1].callers);
    let path = format!("/q/{}", id(1));
    assert_eq!(submit_as(first, KEY, &path, 1, "ms=1500").await, 200);
    for entry in [first, second] {
        assert_eq!(status_as(entry, OTHER_KEY, Method::Get, &path).await, 410);
        assert_eq!(status_as(entry, OTHER_KEY, Method::Delete, &path).await, 410);
        assert_eq!(submit_as(entry, OTHER_KEY, &path, 1, "ms=50").await, 409);
        assert_eq!(status_as(entry, SECOND_KEY, Method::Get, &path).await, 200);
    }
    assert_eq!(submit_as(second, SECOND_KEY, &path, 1, "ms=1500").await, 200, "sent again");
    wait_for_completion(second, SECOND_KEY, &path).await;
    // Jobs of a public queue are accessible to all.
    let public = format!("/p/{}", id(2));
    let body = celerythread_standin::site::job(1, "ms=50");
    let answer = call_with(first, Method::Post, &public, Some(body), &[]).await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    assert_eq!(status_as(second, OTHER_KEY, Method::Get, &public).await, 200);
}

/// Guards against a workspace that cancels a job of another one before it is submitted, and against
/// running a job that its own workspace has cancelled before.
#[async_std::test]
async fn an_early_cancellation_applies_to_jobs_of_its_own_workspace() {
    let deployment = start("early", 2, 1).await;
    let (first, second) = (deployment.entries[0].callers, deployment.entries[1].callers);
    let paths = [1, 2, 3].map(|number| format!("/q/{}", id(number)));
    for (path, keys) in
        [(&paths[0], &[OTHER_KEY][..]), (&paths[1], &[SECOND_KEY]), (&paths[2], &[KEY, OTHER_KEY])]
    {
        for key in keys {
            assert_eq!(status_as(first, key, Method::Delete, path).await, 410, "{path}");
        }
        assert_eq!(submit_as(second, KEY, path, 1, "ms=50").await, 200, "{path}");
    }
    wait_for_completion(second, KEY, &paths[0]).await;
    for path in &paths[1..] {
        eventually(&format!("{path} is cancelled"), async || {
            let (_, body) = call_with(second, Method::Get, path, None, &[&token(KEY)]).await?;
            let body: Value = serde_json::from_slice(&body).ok()?;
            (body["state"] == "cancelled").then_some(())
        })
        .await;
    }
    let history = deployment.site.history();
    let mut cancelled = history.iter().filter(|run| !run.task.starts_with(&id(1)));
    assert!(cancelled.all(|run| run.ended.is_some()), "{history:?}");
}

/// Guards against a cancellation that applies to another workspace's job, or doesn't apply to its own
/// one, because the job is stored between the two calls of the cancelling entry.
#[async_std::test]
async fn a_job_that_is_stored_during_its_cancellation_is_checked_for_access() {
    let deployment = start("race", 2, 1).await;
    let (first, second) = (deployment.entries[0].callers, deployment.entries[1].callers);
    let store = &deployment.site.store;
    for (number, key, expected) in [(1, OTHER_KEY, 410), (2, SECOND_KEY, 200)] {
        let (path, cancellation) = (format!("/q/{}", id(number)), format!("cancel/{}", id(number)));
        let delay = Duration::from_secs(1);
        let deferral = Deferral { table: "jobs".into(), key_prefix: cancellation.clone(), delay };
        store.defer_transactions(Some(deferral));
        let cancelled_path = path.clone();
        let cancelling =
            task::spawn(
                async move { status_as(first, key, Method::Delete, &cancelled_path).await },
            );
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!(submit_as(second, KEY, &path, 1, "ms=2500").await, 200);
        store.defer_transactions(None);
        assert_eq!(cancelling.await, expected);
        task::sleep(delay).await;
        let is_cancelled = expected == 200;
        assert_eq!(store.count("jobs", &cancellation) == 1, is_cancelled, "{path}");
        let wanted = if is_cancelled { "cancelled" } else { "completed" };
        eventually(&format!("{path} is {wanted}"), async || {
            let (_, body) = call_with(second, Method::Get, &path, None, &[&token(KEY)]).await?;
            let body: Value = serde_json::from_slice(&body).ok()?;
            (body["state"] == wanted).then_some(())
        })
        .await;
    }
}

/// Guards against a withdrawn key that is still accepted, also after a restart of an entry, and
/// against a job that ends when its workspace's last key is withdrawn.
#[async_std::test]
async fn a_withdrawn_key_is_refused_everywhere_and_its_jobs_go_on() {
    let mut deployment = start("withdrawn", 2, 1).await;
    let path = format!("/q/{}", id(1));
    assert_eq!(submit_as(deployment.entries[0].callers, KEY, &path, 2, "ms=900").await, 200);
    let none = Workspace { keys: &[], ..TEAM };
    deployment.site.configure_workspaces(3, &[none, OTHER]);
    let began = Instant::now();
    for entry in &deployment.entries {
        wait_for_status(entry.callers, 401, &path, &[&token(KEY)]).await;
    }
    assert!(began.elapsed() < MAX_PROPAGATION_TIME, "{:?}", began.elapsed());
    deployment.entries.remove(0);
    deployment.add_entry("again").await;
    let again = deployment.entries.last().unwrap().callers;
    assert_eq!(status_as(again, KEY, Method::Get, &path).await, 401);
    // With a new key, the workspace still has access to its job.
    let back = Workspace { keys: &[SECOND_KEY], ..TEAM };
    deployment.site.configure_workspaces(4, &[back, OTHER]);
    wait_for_completion(again, SECOND_KEY, &path).await;
    assert_eq!(status_as(again, KEY, Method::Get, &path).await, 401);
}

/// Guards against an entry that keeps accepting withdrawn keys while it cannot reach the store.  It
/// must learn the new configuration from its peers.
#[async_std::test]
async fn an_entry_cut_off_from_the_store_learns_of_keys_from_its_peers() {
    let mut deployment = start("turned-away", 2, 1).await;
    let (gate, store) = deployment.site.add_store_proxy().await.unwrap();
    let machines = deployment.site.machine_address();
    let entry = Entry::start_with(store, machines, "turned-away", "gated", "").await;
    deployment.add_started(entry).await;
    let gated = deployment.entries.last().unwrap().callers;
    wait_for_status(gated, 200, "/q/", &[&token(KEY)]).await;
    gate.set_unavailable(true);
    let left = Workspace { keys: &[SECOND_KEY], ..TEAM };
    deployment.site.configure_workspaces(3, &[left, OTHER]);
    let began = Instant::now();
    wait_for_status(gated, 401, &format!("/q/{}", id(9)), &[&token(KEY)]).await;
    assert!(began.elapsed() < MAX_PROPAGATION_TIME, "{:?}", began.elapsed());
    assert!(status_as(gated, SECOND_KEY, Method::Get, &format!("/q/{}", id(9))).await != 401);
}

/// Guards against an isolated entry that accepts keys which it cannot confirm, although
/// `strict_keys` is set.  Without that setting it must continue to serve.
#[async_std::test]
async fn an_isolated_entry_refuses_keys_only_with_strict_keys() {
    for (strict, wanted) in [("strict_keys = true\ntrust_keys_for = 1500ms\n", true), ("", false)] {
        let mut site = celerythread_standin::site::Site::start(1).await.unwrap();
        site.configure_workspaces(2, &[TEAM]);
        let (gate, store) = site.add_store_proxy().await.unwrap();
        let machines = site.machine_address();
        let entry = Entry::start_with(store, machines, "cut-off", "alone", strict).await;
        wait_for_status(entry.callers, 401, "/q/", &[&token(OTHER_KEY)]).await;
        gate.set_unavailable(true);
        task::sleep(Duration::from_millis(2500)).await;
        let refused = entry.has_logged("keys_unconfirmed");
        assert!(!refused);
        let status = status_as(entry.callers, KEY, Method::Get, "/q/").await;
        assert!(status == 503 || status == 200, "{status}");
        if wanted {
            // The log line is written asynchronously and can appear after the response.
            let began = Instant::now();
            eventually("the key is refused as unconfirmed", async || {
                let status = status_as(entry.callers, KEY, Method::Get, "/q/").await;
                assert_eq!(status, 503);
                entry.has_logged("keys_unconfirmed").then_some(())
            })
            .await;
            assert!(began.elapsed() < MAX_PROPAGATION_TIME, "{:?}", began.elapsed());
        }
        assert_eq!(entry.has_logged("keys_unconfirmed"), wanted);
        // A key that is unknown to the last known configuration is refused in any case.
        assert_eq!(status_as(entry.callers, OTHER_KEY, Method::Get, "/q/").await, 401);
        gate.set_unavailable(false);
        wait_for_status(entry.callers, 200, "/q/", &[&token(KEY)]).await;
    }
}

/// Guards against shares that are computed but not enabled by their setting, and against workspaces
/// over their share that show neither in the log nor among the counters.
#[async_std::test]
async fn a_workspace_over_its_share_is_logged_and_counted() {
    let site = celerythread_standin::site::Site::start(1).await.unwrap();
    let mut deployment = Deployment { site, entries: Vec::new(), test: "pool-shares" };
    let metrics = free_address();
    let sections = format!("[metrics]\nlisten = {metrics}\n");
    let additional = AdditionalSettings {
        run: "workspace_shares = true",
        sections: &sections,
        ..AdditionalSettings::default()
    };
    let (store, machines) = (deployment.site.store_address(), deployment.site.machine_address());
    let entry = Entry::start_configured(store, machines, "pool-shares", "entry", additional).await;
    deployment.add_started(entry).await;
    eventually("the service has an owner", async || deployment.owner()).await;
    deployment.site.configure_workspaces(2, &[TEAM, OTHER]);
    let entry = &deployment.entries[0];
    wait_for_status(entry.callers, 401, "/q/", &[]).await;
    let path = |number| format!("/q/{}", id(number));
    // The pool has 16 cores.
    for number in 1..=6 {
        assert_eq!(submit_as(entry.callers, KEY, &path(number), 8, "ms=200").await, 200);
    }
    assert_eq!(submit_as(entry.callers, OTHER_KEY, &path(7), 8, "ms=200").await, 200);
    for number in 1..=6 {
        wait_for_completion(entry.callers, KEY, &path(number)).await;
    }
    wait_for_completion(entry.callers, OTHER_KEY, &path(7)).await;
    eventually("the workspace is logged", async || {
        let lines = entry.lines.lock().unwrap();
        let line = lines.iter().find(|line| line.contains("\"workspace_over_share\""))?;
        line.contains("\"team\"").then_some(())
    })
    .await;
    let page = call(metrics, Method::Get, "/metrics", None).await.unwrap().1;
    let page = String::from_utf8(page).unwrap();
    let mut values =
        page.lines().filter_map(|line| line.strip_prefix("celerythread_jobs_over_share_total "));
    let jobs: u64 = values.next().unwrap().parse().unwrap();
    assert!((1..=7).contains(&jobs), "{jobs}");
}

/// A deployment with two services, and a workspace whose limit allows `cores` tasks over both
/// services.
async fn start_limited(test: &'static str, cores: u64) -> Deployment {
    let mut deployment = Deployment::start(test, 3, 2).await;
    for number in 0..2 {
        let (id, machine) = (format!("i-hall-{number}"), format!("m-hall-{number}"));
        deployment.site.add_worker_to(SECOND_SERVICE, &id, &machine).await.unwrap();
    }
    set_limit(&deployment, 2, cores);
    for entry in &deployment.entries {
        wait_for_status(entry.callers, 200, "/h/", &[&token(KEY)]).await;
    }
    deployment
}

fn set_limit(deployment: &Deployment, version: u64, cores: u64) {
    let team = Workspace { cpu: cores * 1000, ..TEAM };
    deployment.site.configure_workspaces(version, &[team, OTHER]);
}

/// Submits jobs of two tasks to both services alternately; returns their paths.
async fn submit_all(deployment: &Deployment, count: u32, spec: &str) -> Vec<String> {
    let mut paths = Vec::new();
    for number in 0..count {
        let path = format!("/{}/{}", if number % 2 == 0 { "q" } else { "h" }, id(number));
        let entries = deployment.entries.iter().cycle().skip(number as usize).take(9);
        for entry in entries {
            if submit_as(entry.callers, KEY, &path, 2, spec).await == 200 {
                paths.push(path);
                break;
            }
            task::sleep(Duration::from_millis(100)).await;
        }
    }
    paths
}

async fn wait_for_all_completed(deployment: &Deployment, paths: &[String]) {
    for path in paths {
        wait_for_completion(deployment.entries[0].callers, KEY, path).await;
    }
}

fn assert_limited(deployment: &Deployment, max_tasks: usize) {
    let history = deployment.site.history();
    assert_eq!(check::at_most_once(&history), Vec::<String>::new());
    let at_once = check::max_concurrent(&history);
    assert!(at_once <= max_tasks, "{at_once} tasks at once, {max_tasks} allowed");
}

/// Guards against a workspace that exceeds its limit because two owners each apply it on their own,
/// or because one of them is killed.
#[async_std::test]
async fn a_limit_holds_over_services_and_killed_owners() {
    let mut deployment = start_limited("limit-killed", 5).await;
    let paths = submit_all(&deployment, 12, "ms=400").await;
    assert_eq!(paths.len(), 12);
    let owner = deployment.owner().unwrap();
    deployment.entries.remove(owner);
    wait_for_all_completed(&deployment, &paths).await;
    assert_limited(&deployment, 5);
}

/// Guards against a refused key, or a job held by a limit, that the log lines cannot explain, and
/// against shares missing from the fleet status.
#[async_std::test]
async fn keys_and_limits_are_explained() {
    let deployment = start_limited("limit-explain", 2).await;
    let entry = deployment.entries[0].callers;
    let refused = format!("/q/{}", id(1));
    assert_eq!(submit_as(entry, "nobody-has-this-key", &refused, 1, "ms=50").await, 401);
    super::explain::wait_for_cause(
        &deployment,
        &id(1),
        &["key was refused on queue", "unknown key"],
    )
    .await;
    let held = format!("/q/{}", id(2));
    assert_eq!(submit_as(entry, KEY, &format!("/q/{}", id(3)), 2, "ms=20000").await, 200);
    // If both jobs waited, the shorter one would be started first.
    eventually("the limit is in use", async || {
        (check::max_concurrent(&deployment.site.history()) == 2).then_some(())
    })
    .await;
    assert_eq!(submit_as(entry, KEY, &held, 1, "ms=50").await, 200);
    super::explain::wait_for_cause(
        &deployment,
        &id(2),
        &["limit of workspace team", "2000m/any/any"],
    )
    .await;
    let fleet = super::fleet::fleet_status(&deployment.site);
    let shares = fleet["shares"].as_array().unwrap();
    assert!(
        shares.iter().any(|share| share["workspace"] == "team" && share["cell"] == "desk"),
        "{fleet}"
    );
}

/// Guards against an owner that is suspended for longer than its term, resumes, and starts tasks
/// based on outdated shares.
#[async_std::test]
async fn a_limit_holds_when_a_paused_owner_resumes() {
    let deployment = start_limited("limit-frozen", 4).await;
    let first = submit_all(&deployment, 4, "ms=300").await;
    let owner = deployment.owner().unwrap();
    deployment.entries[owner].signal("-STOP");
    task::sleep(Duration::from_millis(2500)).await;
    deployment.entries[owner].signal("-CONT");
    wait_for_all_completed(&deployment, &first).await;
    assert_limited(&deployment, 4);
}

/// Guards against starts beyond a limit that was lowered below what is running, and against
/// stopping what is running.
#[async_std::test]
async fn a_lowered_limit_stops_nothing_and_starts_nothing_until_there_is_room() {
    let deployment = start_limited("limit-lowered", 6).await;
    let paths = submit_all(&deployment, 6, "ms=1500").await;
    eventually("six tasks run", async || {
        (check::max_concurrent(&deployment.site.history()) == 6).then_some(())
    })
    .await;
    set_limit(&deployment, 3, 2);
    let lowered = Instant::now() + MAX_PROPAGATION_TIME;
    wait_for_all_completed(&deployment, &paths).await;
    let history = deployment.site.history();
    assert!(history.iter().all(|record| record.end_reason == Some("done")));
    let late: Vec<_> = history.into_iter().filter(|record| record.began > lowered).collect();
    assert!(check::max_concurrent(&late) <= 2);
    assert_limited(&deployment, 6);
}

/// Guards against a share that is used twice because the answer to its change was lost.
#[async_std::test]
async fn a_limit_holds_while_the_store_loses_answers() {
    use celerythread_standin::site::store::FaultMode;
    let deployment = start_limited("limit-lost", 4).await;
    let paths = submit_all(&deployment, 4, "ms=300").await;
    deployment.site.store.set_fault_mode(FaultMode::LosesAnswers);
    task::sleep(Duration::from_millis(1500)).await;
    deployment.site.store.set_fault_mode(FaultMode::None);
    wait_for_all_completed(&deployment, &paths).await;
    assert_limited(&deployment, 4);
}
