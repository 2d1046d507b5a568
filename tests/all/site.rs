//! Tests with daemons as real processes on a stand-in of the users' platform.

mod cancellations;
mod capacity;
mod check;
mod delegation;
mod early_cancellations;
mod explain;
mod failures;
mod fleet;
mod idle;
mod jobs;
mod loss;
mod maintenance;
mod moved_queues;
mod moves;
mod scale;
mod soak;
mod states;
mod store;
mod workspaces;

use async_std::task;
use celerythread_http::client;
use celerythread_standin::site::Site;
use http_types::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for any expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Shorter times than in production, in the same proportions.
const SETTINGS: &str = "
[run]
lease = 2s
extend_alone = 1s

[maintenance]
lease = 300ms
duration_s = 0.4
order_alone = 10s

[stop]
bound = 3s
";

/// Environment variable with the path of another daemon, such as one of an earlier version.
const DAEMON_VARIABLE: &str = "CELERYTHREAD_DAEMON";

/// The path of the tested daemon.
fn daemon() -> PathBuf {
    let given = std::env::var_os(DAEMON_VARIABLE);
    given.map_or_else(|| env!("CARGO_BIN_EXE_celerythreadd").into(), PathBuf::from)
}

/// The settings of all entries with additional lines of the section `run`, which replace those of
/// the same keys.
fn with_run_settings(run: &str) -> String {
    let key = |line: &str| line.split_once('=').map(|(key, _)| key.trim().to_owned());
    let replaced: Vec<Option<String>> = run.lines().map(key).collect();
    let is_kept = |line: &&str| key(line).is_none() || !replaced.contains(&key(line));
    let kept: Vec<&str> = SETTINGS.lines().filter(is_kept).collect();
    kept.join("\n").replace("[run]\n", &format!("[run]\n{run}\n"))
}

/// An address that nothing listens at.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Settings of an entry besides those of all entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdditionalSettings<'a> {
    /// The availability zone.
    pub(crate) zone: &'a str,
    /// Lines of the section `instance`.
    pub(crate) instance: &'a str,
    /// Lines of the section `caller`.
    pub(crate) caller: &'a str,
    /// Lines of the section `run`, which replace those of all entries with the same keys.
    pub(crate) run: &'a str,
    /// Lines of the section `platform`.
    pub(crate) platform: &'a str,
    /// Whole sections.
    pub(crate) sections: &'a str,
}

impl Default for AdditionalSettings<'_> {
    fn default() -> Self {
        Self { zone: "zone", instance: "", caller: "", run: "", platform: "", sections: "" }
    }
}

/// An entry as a process, killed on drop.
pub(crate) struct Entry {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    settings: PathBuf,
    pub(crate) lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

impl Entry {
    pub(crate) async fn start(site: &Site, test: &str, name: &str) -> Self {
        Self::start_with(site.store_address(), site.machine_address(), test, name, "").await
    }

    /// Starts an entry with the given store address and additional settings in the section
    /// `caller`.
    pub(crate) async fn start_with(
        store: SocketAddr,
        machines: SocketAddr,
        test: &str,
        name: &str,
        caller: &str,
    ) -> Self {
        let additional = AdditionalSettings { caller, ..AdditionalSettings::default() };
        Self::start_configured(store, machines, test, name, additional).await
    }

    /// Starts an entry with the given store address and additional settings.
    pub(crate) async fn start_configured(
        store: SocketAddr,
        machines: SocketAddr,
        test: &str,
        name: &str,
        additional: AdditionalSettings<'_>,
    ) -> Self {
        let path =
            std::env::temp_dir().join(format!("ct-{}-{test}-{name}.ini", std::process::id()));
        let AdditionalSettings { zone, instance, caller, run, platform, sections } = additional;
        let settings = with_run_settings(run);
        let text = format!(
            "[instance]\nname = {name}\nzone = {zone}\n{instance}\n\n\
             [caller]\nlisten = 127.0.0.1:0\n{caller}\n\
             [peer]\nlisten = 127.0.0.1:0\nrenew = 100ms\ntakeover_after = 800ms\n\n\
             [platform]\nstore = {store}\nmachines = {machines}\n{platform}\n{settings}\n{sections}"
        );
        fs::write(&path, text).unwrap();
        let mut child = Command::new(daemon())
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (sink, output) = (lines.clone(), child.stdout.take().unwrap());
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                sink.lock().unwrap().push(line);
            }
        });
        let callers = eventually("the entry listens", async || {
            let lines = lines.lock().unwrap();
            let line = lines.iter().find(|line| line.contains("\"listening\""))?.clone();
            let line: Value = serde_json::from_str(&line).ok()?;
            line["kvs"]["callers"].as_str()?.parse().ok()
        })
        .await;
        Self { child, callers, settings: path, lines }
    }

    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Whether it has logged an event.
    pub(crate) fn has_logged(&self, event: &str) -> bool {
        self.count_logged(event) > 0
    }

    /// How often it has logged an event.
    pub(crate) fn count_logged(&self, event: &str) -> usize {
        let event = format!("\"message\":\"{event}\"");
        self.lines.lock().unwrap().iter().filter(|line| line.contains(&event)).count()
    }
}

/// A deployment: the platform and running entries.
pub(crate) struct Deployment {
    pub(crate) site: Site,
    pub(crate) entries: Vec<Entry>,
    pub(crate) test: &'static str,
}

impl Deployment {
    pub(crate) async fn start(test: &'static str, entries: usize, workers: usize) -> Self {
        let site = Site::start(workers).await.unwrap();
        let mut deployment = Self { site, entries: Vec::new(), test };
        for number in 0..entries {
            deployment.add_entry(&format!("entry-{number}")).await;
        }
        eventually("the service has an owner", async || deployment.owner()).await;
        deployment
    }

    pub(crate) async fn add_entry(&mut self, name: &str) {
        let entry = Entry::start(&self.site, self.test, name).await;
        self.add_started(entry).await;
    }

    pub(crate) async fn add_started(&mut self, entry: Entry) {
        let callers = entry.callers;
        eventually("the entry is ready", async || {
            let (status, _) = call(callers, Method::Get, "/-/ready", None).await?;
            (status == 200).then_some(())
        })
        .await;
        self.entries.push(entry);
    }

    /// The entry that most recently loaded the service's cell.
    pub(crate) fn owner(&self) -> Option<usize> {
        let token = |entry: &Entry| {
            let lines = entry.lines.lock().unwrap();
            let taken = lines.iter().filter(|line| line.contains("\"cell_loaded\""));
            let tokens = taken.filter_map(|line| {
                let line: Value = serde_json::from_str(line).ok()?;
                line["kvs"]["token"].as_str()?.parse::<u64>().ok()
            });
            tokens.max()
        };
        let held = |(index, entry)| Some((token(entry)?, index));
        self.entries.iter().enumerate().filter_map(held).max().map(|(_, index)| index)
    }

    /// Submits a job of one step; returns the HTTP status, 0 without an answer.
    pub(crate) async fn submit(&self, entry: usize, id: &str, tasks: u32, spec: &str) -> u16 {
        submit(self.entries[entry].callers, id, tasks, spec).await.unwrap_or(0)
    }

    pub(crate) async fn state(&self, entry: usize, id: &str) -> Option<String> {
        state(self.entries[entry].callers, id).await
    }

    /// Waits until a job has a state.
    pub(crate) async fn wait_for_state(&self, entry: usize, id: &str, wanted: &str) {
        let what = format!("job {id} is {wanted}");
        eventually(&what, async || (self.state(entry, id).await? == wanted).then_some(())).await;
    }
}

pub(crate) async fn submit(entry: SocketAddr, id: &str, tasks: u32, spec: &str) -> Option<u16> {
    let body = celerythread_standin::site::job(tasks, spec);
    let answer = call(entry, Method::Post, &format!("/q/{id}"), Some(body)).await;
    answer.map(|(status, _)| status)
}

pub(crate) async fn state(entry: SocketAddr, id: &str) -> Option<String> {
    let (status, body) = call(entry, Method::Get, &format!("/q/{id}"), None).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    Some(body["state"].as_str().map_or(status.to_string(), Into::into))
}

/// A caller's request; none without an answer.
pub(crate) async fn call(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> Option<(u16, Vec<u8>)> {
    call_with(entry, method, path, body, &[]).await
}

/// The same with values of the `authorization` header.
pub(crate) async fn call_with(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
    credentials: &[&str],
) -> Option<(u16, Vec<u8>)> {
    let mut request = client::request(method, entry, path).unwrap();
    request.insert_header("host", "jobs.example");
    credentials.iter().for_each(|value| request.append_header("authorization", *value));
    if let Some(body) = body {
        request.set_body(body.to_string());
    }
    let answer = client::fetch(entry, request, Duration::from_secs(4), 1 << 20).await.ok()?;
    Some((answer.0.status().into(), answer.1))
}

/// Polls until a value is returned; fails after [`WAIT_TIMEOUT`].
pub(crate) async fn eventually<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = poll().await {
            return found;
        }
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {what}"
        );
        task::sleep(Duration::from_millis(20)).await;
    }
}

/// The job id of a number.
pub(crate) fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// Jobs whose submission was answered with 200, with their number of tasks.
pub(crate) fn accepted(answers: &BTreeMap<String, u16>, tasks: u32) -> Vec<(String, u32)> {
    answers
        .iter()
        .filter(|(_, status)| **status == 200)
        .map(|(id, _)| (id.clone(), tasks))
        .collect()
}
