//! What only real processes can show: kill, stop and continue, SIGTERM, idle cost.

use crate::cluster::{instance, loopback, single, until};
use async_std::task;
use celerythread::client;
use celerythread_model::fleet::{self, Ownership};
use celerythread_model::table::Space;
use celerythread_platform::Table;
use celerythread_platform::message::{Instance, Role};
use celerythread_standin::history::{self, Asked, Told};
use celerythread_standin::load;
use celerythread_standin::minion::Minion;
use celerythread_standin::platform::Platform;
use celerythread_wire::authority::{self, Pair};
use http_types::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A deployment of real daemons; the platform and the minions live in the test.
struct Fleet {
    platform: Platform,
    minions: BTreeMap<String, Minion>,
    daemons: Vec<Process>,
    folder: PathBuf,
    authority: Pair,
}

struct Process {
    child: Child,
    name: String,
    callers: SocketAddr,
    operators: SocketAddr,
    entry: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Only what this test started, by its own handle.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    async fn start(name: &str, entries: usize, minions: usize) -> Self {
        let folder =
            std::env::temp_dir().join(format!("celerythread-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let platform = Platform::start(loopback()).await.unwrap();
        let mut fleet = Self {
            platform,
            minions: BTreeMap::new(),
            daemons: Vec::new(),
            folder,
            authority: authority::create("test").unwrap(),
        };
        for n in 0..minions {
            let minion = Minion::start(loopback(), Duration::from_millis(20)).await.unwrap();
            let name = format!("m{n}");
            fleet.platform.memory.roster.put(Instance {
                address: Some(minion.server.address()),
                pool: Some("alpha".parse().unwrap()),
                ..instance(&name, Role::Minion, "z0")
            });
            fleet.minions.insert(name, minion);
        }
        for n in 0..entries {
            fleet.spawn(&format!("e{n}"));
        }
        fleet.configure(minions).await;
        fleet
    }

    fn spawn(&mut self, name: &str) {
        self.platform.memory.roster.put(instance(name, Role::Entry, "z0"));
        let pair = authority::issue(&self.authority, name).unwrap();
        let file = |ending: &str| self.folder.join(format!("{name}.{ending}"));
        fs::write(self.folder.join("authority.pem"), &self.authority.certificate).unwrap();
        fs::write(file("pem"), &pair.certificate).unwrap();
        fs::write(file("key"), &pair.key).unwrap();
        let settings = format!(
            "[instance]\nname = {name}\nzone = z0\n[caller]\nlisten = 127.0.0.1:0\n\
             [operator]\nlisten = 127.0.0.1:0\n[peer]\nlisten = 127.0.0.1:0\nbeat = 200ms\n\
             authority = {}\ncertificate = {}\nkey = {}\ntakeover_after = 1500ms\n\
             [platform]\naddresses = {}\npoll = 100ms\n[lease]\nterm = 1s\n\
             [stop]\nnotice = 200ms\nbound = 20s\n",
            self.folder.join("authority.pem").display(),
            file("pem").display(),
            file("key").display(),
            self.platform.server.address(),
        );
        fs::write(file("ini"), settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_celerythreadd"))
            .arg("--settings")
            .arg(file("ini"))
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let line = lines
            .find_map(|line| line.ok().filter(|line| line.starts_with("listening")))
            .expect("the daemon starts");
        std::thread::spawn(move || lines.for_each(drop));
        let field = |name: &str| {
            let start = format!("{name}=");
            line.split(' ').find_map(|part| part.strip_prefix(&start)).unwrap().to_owned()
        };
        self.daemons.push(Process {
            child,
            name: name.into(),
            callers: field("callers").parse().unwrap(),
            operators: field("operators").parse().unwrap(),
            entry: field("entry"),
        });
    }

    async fn configure(&self, minions: usize) {
        let operators = self.daemons[0].operators;
        until("the first daemon is registered", async || {
            let status = get(operators, "/v1/status").await;
            status.is_some_and(|s| s["entries"].as_array().is_some_and(|e| !e.is_empty()))
        })
        .await;
        let body = json!({
            "change": "first", "author": "test", "base": 0, "parameters": "",
            "template": format!(
                "[workspace]\nname = t\nreboot = 1s\nrollout_weight = 1\n[service alpha]\n\
                 minions = {minions}\nfloor = 1\nslots = 4\n"
            ),
        });
        let body = serde_json::to_vec(&body).unwrap();
        client::ask_one::<Value>(operators, Method::Post, "/v1/config", body).await.unwrap();
        for daemon in &self.daemons {
            until("ready", async || ready(daemon.operators).await).await;
        }
        self.all_owned().await;
    }

    async fn ownership(&self, minion: &str) -> Option<Ownership> {
        let keys = [fleet::key::<Ownership>(minion)];
        let rows = self.platform.memory.table.read(Space::Fleet, &keys).await.unwrap();
        rows[0].decode()
    }

    /// Waits until every minion has an owner among the living.
    async fn all_owned(&self) {
        until("every minion owned by a living entry", async || {
            for name in self.minions.keys() {
                let owner = self.ownership(name).await.and_then(|row| row.owner);
                let alive = |entry: &str| self.daemons.iter().any(|d| d.entry == entry);
                if !owner.is_some_and(|owner| alive(owner.as_str())) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    fn runs(&self) -> Vec<celerythread_standin::minion::Run> {
        self.minions.values().flat_map(|minion| minion.record().runs).collect()
    }

    fn signal(&self, index: usize, signal: &str) {
        let id = self.daemons[index].child.id().to_string();
        let done = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(done.success());
    }
}

async fn get(operators: SocketAddr, path: &str) -> Option<Value> {
    client::ask_one(operators, Method::Get, path, Vec::new()).await.ok()
}

async fn ready(operators: SocketAddr) -> bool {
    use celerythread_http::client;
    let request = client::request(Method::Get, operators, "/ready").unwrap();
    let fetched = client::fetch(operators, request, Duration::from_secs(2), 1 << 16).await;
    fetched.is_ok_and(|(head, _)| head.status() == 200)
}

/// Sends one after the other until told to stop, each to the next living entry.
async fn send_some(fleet: &Fleet, prefix: &str, count: usize, alive: &[usize]) -> Vec<Asked> {
    let mut asked = Vec::new();
    for n in 0..count {
        let mut one = single(&format!("{prefix}-{n}"), "alpha");
        one.idempotent = n % 2 == 0;
        let entry = fleet.daemons[alive[n % alive.len()]].callers;
        asked.push(load::send(entry, &one).await.asked);
    }
    asked
}

/// An instance burns.  Its callers in flight hear nothing; everybody else is served, its minions
/// get new owners, and nothing that must run at most once runs twice.
#[async_std::test]
async fn a_killed_entry_is_replaced() {
    let mut fleet = Fleet::start("kill", 3, 3).await;
    let mut asked = send_some(&fleet, "before", 30, &[0, 1, 2]).await;
    fleet.signal(0, "-KILL");
    let dead = fleet.daemons.remove(0);
    fleet.platform.memory.roster.remove(&dead.name);
    asked.extend(send_some(&fleet, "during", 60, &[0, 1]).await);
    fleet.all_owned().await;
    asked.extend(send_some(&fleet, "after", 60, &[0, 1]).await);
    let after: Vec<&Asked> = asked.iter().filter(|one| one.id.starts_with("after")).collect();
    for one in after {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    assert_eq!(history::check(&asked, &fleet.runs()), []);
    until("the dead one leaves the registry", async || {
        let status = get(fleet.daemons[0].operators, "/v1/status").await.unwrap();
        status["entries"].as_array().unwrap().len() == 2
    })
    .await;
}

/// An instance stands still past every lease and wakes up: it must neither drive the fleet with
/// an old lease nor hand out slots that were taken over, nor go back to an old configuration.
#[async_std::test]
async fn a_paused_entry_that_wakes_up_does_no_harm() {
    let fleet = Fleet::start("pause", 3, 3).await;
    let mut asked = send_some(&fleet, "before", 30, &[0, 1, 2]).await;
    fleet.signal(0, "-STOP");
    let paused = fleet.daemons[0].entry.clone();
    until("what it owned is taken over", async || {
        let mut taken = true;
        for name in fleet.minions.keys() {
            let row = fleet.ownership(name).await.unwrap();
            taken &= row.owner.is_some_and(|owner| owner.as_str() != paused);
        }
        taken
    })
    .await;
    asked.extend(send_some(&fleet, "during", 30, &[1, 2]).await);
    let body = json!({ "wave": "w", "author": "test" });
    let body = serde_json::to_vec(&body).unwrap();
    let operators = fleet.daemons[1].operators;
    client::ask_one::<Value>(operators, Method::Post, "/v1/maintenance", body).await.unwrap();
    task::sleep(Duration::from_secs(1)).await;
    fleet.signal(0, "-CONT");
    asked.extend(send_some(&fleet, "woken", 60, &[0, 1, 2]).await);
    until("the wave is done", async || {
        let waves = get(operators, "/v1/maintenance").await.unwrap_or_default();
        waves[0]["progress"] == "done"
    })
    .await;
    for one in asked.iter().filter(|one| one.id.starts_with("woken")) {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    assert_eq!(history::check(&asked, &fleet.runs()), []);
    let rows = fleet.platform.memory.roster.now();
    for minion in rows.iter().filter(|i| i.role == Role::Minion) {
        assert_eq!(minion.boot, 2, "{} booted {} times", minion.name, minion.boot);
    }
}

/// SIGTERM under load: exit 0, and not a request cut off.
#[async_std::test]
async fn sigterm_under_load_cuts_off_nothing() {
    let mut fleet = Fleet::start("term", 2, 2).await;
    let entry = fleet.daemons[0].callers;
    let sending: Vec<_> = (0..6)
        .map(|n| {
            task::spawn(async move {
                let mut one = single(&format!("flight-{n}"), "alpha");
                one.idempotent = false;
                load::send(entry, &one).await.asked
            })
        })
        .collect();
    until("some are on a minion", async || !fleet.runs().is_empty()).await;
    fleet.signal(0, "-TERM");
    let mut asked = Vec::new();
    for one in sending {
        asked.push(one.await);
    }
    let status = task::spawn_blocking({
        let mut process = fleet.daemons.remove(0);
        move || process.child.wait().unwrap()
    });
    assert!(status.await.success());
    for one in &asked {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    asked.extend(send_some(&fleet, "after", 10, &[0]).await);
    assert_eq!(history::check(&asked, &fleet.runs()), []);
    let status = get(fleet.daemons[0].operators, "/v1/status").await.unwrap();
    assert_eq!(status["entries"].as_array().unwrap().len(), 1);
}

/// The platform is down for a while: every entry goes on serving, and is well afterwards.
#[async_std::test]
async fn an_outage_of_the_platform_is_survived() {
    let fleet = Fleet::start("outage", 2, 2).await;
    fleet.platform.set_fault(celerythread_standin::fault::Fault::Hang);
    let mut asked = send_some(&fleet, "during", 60, &[0, 1]).await;
    for one in &asked {
        assert!(matches!(one.told, Told::Answer(200, _)), "{}: {:?}", one.id, one.told);
    }
    fleet.platform.set_fault(celerythread_standin::fault::Fault::None);
    asked.extend(send_some(&fleet, "after", 20, &[0, 1]).await);
    assert_eq!(history::check(&asked, &fleet.runs()), []);
}

/// Resident memory of an idle daemon, in bytes; the bound of 40 MB is the product's promise.
#[async_std::test]
async fn an_idle_daemon_is_small() {
    let fleet = Fleet::start("idle", 2, 2).await;
    task::sleep(Duration::from_secs(1)).await;
    let statm = format!("/proc/{}/statm", fleet.daemons[0].child.id());
    let pages: u64 = fs::read_to_string(statm).unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    let resident = pages * 4096;
    assert!(resident < 40_000_000, "{resident} bytes resident");
}
