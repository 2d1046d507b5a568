//! Processor time and calls of a cell's owner at a turn's peak: `cargo bench --bench peak`.
//!
//! Runs daemons as processes on a stand-in of the platform.  Jobs are submitted at a fixed rate
//! through entries that don't own the cell.  Each entry gets `SHARE` of a core, by stopping its
//! process for the rest of each period; with a share of 1 it isn't limited.
//!
//! Usage: `cargo bench --bench peak -- [MINIONS] [ENTRIES] [JOBS_PER_SECOND] [SECONDS] [SHARE]`.

use async_std::task;
use celerythread_http::client;
use celerythread_standin::site::{Site, job};
use http_types::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Tasks of each job, their duration and what each needs of a processor.
const TASKS_PER_JOB: u32 = 13;
const TASK_SPEC: &str = "ms=640";
const TASK_MILLICORES: u32 = 2200;

/// Time within which a job is to be completed.
const TARGET: Duration = Duration::from_millis(1600);

/// Time after which a job is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(6);

/// Interval between two questions for a job's state.
const STATE_INTERVAL: Duration = Duration::from_millis(500);

/// Period over which a process gets its share of a core.
const SHARE_PERIOD: Duration = Duration::from_millis(20);

struct Entry {
    child: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

impl Entry {
    fn start(site: &Site, name: &str, cores: f64, metrics: SocketAddr) -> Self {
        let path = std::env::temp_dir().join(format!("ct-peak-{}-{name}.ini", std::process::id()));
        let text = format!(
            "[instance]\nname = {name}\nzone = zone\ncores = {cores}\n\n[caller]\nlisten = 127.0.0.1:0\n\
             [peer]\nlisten = 127.0.0.1:0\n\n[metrics]\nlisten = {metrics}\n\n\
             [platform]\nstore = {}\nmachines = {}\n",
            site.store_address(),
            site.machine_address()
        );
        fs::write(&path, text).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_celerythreadd"))
            .arg("--settings")
            .arg(&path)
            // Instances have one core.
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let (sink, output) = (lines.clone(), child.stdout.take().expect("piped"));
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                sink.lock().expect("no panic").push(line);
            }
        });
        let callers = loop {
            if let Some(found) = find_callers(&lines.lock().expect("no panic")) {
                break found;
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        Self { child, callers, metrics, settings: path, lines }
    }

    fn has_logged(&self, event: &str) -> bool {
        let event = format!("\"message\":\"{event}\"");
        self.lines.lock().expect("no panic").iter().any(|line| line.contains(&event))
    }

    /// Processor time used so far.
    fn processor_time(&self) -> Duration {
        let folder = format!("/proc/{}/task", self.child.id());
        let threads = fs::read_dir(folder).into_iter().flatten().flatten();
        let nanos = threads
            .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
            .filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok())
            .sum();
        Duration::from_nanos(nanos)
    }

    fn signal(pid: u32, signal: &str) {
        let _ = Command::new("kill").args([signal, &pid.to_string()]).status();
    }
}

fn find_callers(lines: &[String]) -> Option<SocketAddr> {
    let line = lines.iter().find(|line| line.contains("\"listening\""))?;
    let line: Value = serde_json::from_str(line).ok()?;
    line["kvs"]["callers"].as_str()?.parse().ok()
}

async fn call(
    entry: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> Option<(u16, Vec<u8>)> {
    let mut request = client::request(method, entry, path).ok()?;
    request.insert_header("host", "jobs.example");
    if let Some(body) = body {
        request.set_body(body.to_string());
    }
    let answer = client::fetch(entry, request, Duration::from_secs(4), 1 << 20).await.ok()?;
    Some((answer.0.status().into(), answer.1))
}

/// How long a job took; none if it failed, was refused or given up.
async fn run_job(entry: SocketAddr, number: u64) -> Option<Duration> {
    let began = Instant::now();
    let path = format!("/q/{number:016x}");
    let mut body = job(TASKS_PER_JOB, TASK_SPEC);
    body["steps"][0]["cpu"] = TASK_MILLICORES.into();
    body["steps"][0]["estimateMs"] = 640.into();
    let (status, _) = call(entry, Method::Post, &path, Some(body)).await?;
    if status != 200 {
        return None;
    }
    task::sleep(Duration::from_millis(700)).await;
    while began.elapsed() < GIVE_UP_AFTER {
        if let Some((200, body)) = call(entry, Method::Get, &path, None).await {
            let body: Value = serde_json::from_slice(&body).unwrap_or_default();
            match body["state"].as_str() {
                Some("completed") => return Some(began.elapsed()),
                Some("failed") => return None,
                _ => {}
            }
        }
        task::sleep(STATE_INTERVAL).await;
    }
    None
}

async fn counters(entry: SocketAddr) -> BTreeMap<String, u64> {
    let Some((_, page)) = call(entry, Method::Get, "/metrics", None).await else {
        return BTreeMap::new();
    };
    let page = String::from_utf8_lossy(&page).into_owned();
    let rows = page.lines().filter_map(|line| line.split_once(' '));
    rows.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?))).collect()
}

/// Gives each process a share of a core until `ended`.
fn limit_shares(pids: Vec<u32>, share: f64, ended: Arc<AtomicBool>) {
    for pid in pids {
        let ended = ended.clone();
        std::thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                Entry::signal(pid, "-CONT");
                std::thread::sleep(SHARE_PERIOD.mul_f64(share));
                Entry::signal(pid, "-STOP");
                std::thread::sleep(SHARE_PERIOD.mul_f64(1.0 - share));
            }
            Entry::signal(pid, "-CONT");
        });
    }
}

#[async_std::main]
async fn main() {
    let arguments: Vec<f64> =
        std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let argument = |index: usize, default: f64| arguments.get(index).copied().unwrap_or(default);
    let (minions, entries) = (argument(0, 600.0) as usize, argument(1, 4.0) as usize);
    let (rate, seconds, share) = (argument(2, 300.0), argument(3, 6.0), argument(4, 1.0));

    let mut site = Site::start(0).await.expect("the stand-in starts");
    for number in 0..minions {
        site.add_worker(&format!("i-{number}"), &format!("m-{number}")).await.expect("a port");
    }
    let base = 20_000 + (std::process::id() % 20_000) as u16;
    let fleet: Vec<Entry> = (0..entries)
        .map(|number| {
            let metrics = SocketAddr::from(([127, 0, 0, 1], base + number as u16));
            Entry::start(&site, &format!("entry-{number}"), 0.5, metrics)
        })
        .collect();
    let owner = loop {
        if let Some(owner) = fleet.iter().position(|entry| entry.has_logged("cell_loaded")) {
            break owner;
        }
        task::sleep(Duration::from_millis(50)).await;
    };
    task::sleep(Duration::from_secs(6)).await;
    println!("OWNER {} entry {owner}", fleet[owner].child.id());
    let ended = Arc::new(AtomicBool::new(false));
    if share < 1.0 {
        let pids = fleet.iter().map(|entry| entry.child.id()).collect();
        limit_shares(pids, share, ended.clone());
    }
    let fronts: Vec<SocketAddr> =
        fleet.iter().enumerate().filter(|(n, _)| *n != owner).map(|(_, e)| e.callers).collect();
    let before: Vec<Duration> = fleet.iter().map(Entry::processor_time).collect();
    let counted = counters(fleet[owner].metrics).await;
    let began = Instant::now();
    let mut jobs = Vec::new();
    let count = (rate * seconds) as u64;
    for number in 0..count {
        let due = Duration::from_secs_f64(number as f64 / rate);
        task::sleep(due.saturating_sub(began.elapsed())).await;
        jobs.push(task::spawn(run_job(fronts[number as usize % fronts.len()], number)));
    }
    let peak = began.elapsed();
    let used: Vec<Duration> =
        fleet.iter().zip(&before).map(|(e, before)| e.processor_time() - *before).collect();
    let now = counters(fleet[owner].metrics).await;
    let mut took = Vec::new();
    for job in jobs {
        took.extend(job.await);
    }
    let all: Vec<Duration> =
        fleet.iter().zip(&before).map(|(e, before)| e.processor_time() - *before).collect();
    ended.store(true, Ordering::SeqCst);
    took.sort();
    let in_time = took.iter().filter(|took| **took <= TARGET).count();
    let tasks = count * u64::from(TASKS_PER_JOB);
    println!(
        "{minions} minions, {entries} entries, {rate} jobs/s for {seconds} s, share {share}: \
         {count} jobs, {} completed, {in_time} in time; half within {:?}, 95 of 100 {:?}",
        took.len(),
        took.get(took.len() / 2),
        took.get(took.len() * 95 / 100),
    );
    for (number, (used, all)) in used.iter().zip(&all).enumerate() {
        let role = if number == owner { "owner" } else { "entry" };
        println!(
            "{role} {number}: {:.3} cores at the peak, {:.1} us a task in all",
            used.as_secs_f64() / peak.as_secs_f64(),
            all.as_secs_f64() * 1e6 / tasks as f64
        );
    }
    for (name, value) in &now {
        let before = counted.get(name).copied().unwrap_or(0);
        if *value > before && name.ends_with("_total") {
            println!("owner: {name} +{}", value - before);
        }
    }
    drop(fleet);
    std::process::exit(0);
}
