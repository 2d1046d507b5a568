//! A deployment of daemon processes over a platform and minions in the current process.
//!
//! For tests and measurements that need real processes.  Each process is killed through its own
//! handle when it is dropped.

use crate::minion::{Minion, Run};
use crate::platform::Platform;
use async_std::task;
use celerythread_http::client;
use celerythread_model::fleet::{self, Ownership};
use celerythread_model::job::Size;
use celerythread_model::table::Space;
use celerythread_platform::Table;
use celerythread_platform::message::{Instance, Role};
use celerythread_wire::authority::{self, Pair};
use http_types::Method;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a condition of a deployment.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a request to an operators' address.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The size and settings of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Part of the temporary folder's name.
    pub name: String,
    /// Number of entries.
    pub entries: usize,
    /// Number of minions that serve.
    pub minions: usize,
    /// Number of minions that are only listed, to increase the number of rows.
    pub listed: usize,
    /// Processing time of a request on a minion.
    pub duration: Duration,
    /// Additional lines of the settings, by section.
    pub settings: BTreeMap<&'static str, &'static str>,
}

/// A deployment.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The serving minions, by instance name.
    pub minions: BTreeMap<String, Minion>,
    /// The daemons.
    pub daemons: Vec<Process>,
    shape: Shape,
    folder: PathBuf,
    authority: Pair,
}

/// A running daemon.
pub struct Process {
    /// Handle of the process.
    pub child: Child,
    /// Name of its instance.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Id of the entry.
    pub entry: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An instance in a rack of its availability zone.
pub fn instance(name: &str, role: Role, zone: &str) -> Instance {
    Instance {
        name: name.into(),
        role,
        zone: zone.parse().expect("a zone's name"),
        rack: format!("{zone}-r1").parse().expect("a rack's name"),
        address: None,
        pool: None,
        leaving: false,
        boot: 1,
        size: Size::default(),
    }
}

/// The loopback address with a port chosen by the operating system.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a condition holds.
///
/// # Errors
/// `TimedOut` with the name `what` when the condition doesn't hold in time.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !holds().await {
        if began.elapsed() > SETTLE_TIMEOUT {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                format!("timed out waiting for: {what}"),
            ));
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Sends a GET request to an operators' address; `None` unless it succeeds with a JSON body.
pub async fn get(operators: SocketAddr, path: &str) -> Option<Value> {
    send_request(operators, Method::Get, path, String::new()).await
}

/// Sends a POST request to an operators' address; `None` unless it succeeds with a JSON body.
pub async fn post(operators: SocketAddr, path: &str, body: &Value) -> Option<Value> {
    send_request(operators, Method::Post, path, body.to_string()).await
}

async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Option<Value> {
    let mut request = client::request(method, address, path).ok()?;
    request.set_body(body);
    let (head, body) = client::fetch(address, request, REQUEST_TIMEOUT, 64 << 20).await.ok()?;
    head.status().is_success().then(|| serde_json::from_slice(&body).ok()).flatten()
}

/// Whether an entry's readiness check for the load balancer succeeds.
pub async fn is_ready(operators: SocketAddr) -> bool {
    let Ok(request) = client::request(Method::Get, operators, "/ready") else { return false };
    let fetched = client::fetch(operators, request, REQUEST_TIMEOUT, 1 << 16).await;
    fetched.is_ok_and(|(head, _)| head.status() == 200)
}

impl Fleet {
    /// Starts a deployment and waits until every serving minion is owned.
    ///
    /// # Errors
    /// When a server or process can't be started, the configuration is refused, or the entries
    /// aren't ready in time.
    pub async fn start(shape: Shape) -> io::Result<Self> {
        let unique = format!("celerythread-{}-{}", shape.name, std::process::id());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            platform: Platform::start(loopback()).await?,
            minions: BTreeMap::new(),
            daemons: Vec::new(),
            folder,
            authority: authority::create("test").map_err(io::Error::other)?,
            shape,
        };
        fleet.list_minions().await?;
        for n in 0..fleet.shape.entries {
            fleet.spawn(&format!("e{n}"))?;
        }
        fleet.configure().await?;
        Ok(fleet)
    }

    async fn list_minions(&mut self) -> io::Result<()> {
        let roster = self.platform.memory.roster.clone();
        for n in 0..self.shape.minions {
            let minion = Minion::start(loopback(), self.shape.duration).await?;
            let name = format!("m{n}");
            roster.put(Instance {
                address: Some(minion.server.address()),
                pool: Some("alpha".parse().map_err(io::Error::other)?),
                ..instance(&name, Role::Minion, "z0")
            });
            self.minions.insert(name, minion);
        }
        for n in 0..self.shape.listed {
            roster.put(Instance {
                address: Some(SocketAddr::from(([127, 0, 0, 1], 1))),
                pool: Some("idle".parse().map_err(io::Error::other)?),
                // An availability zone without entries, so that nobody owns the rows.
                ..instance(&format!("listed{n}"), Role::Minion, "z9")
            });
        }
        Ok(())
    }

    fn spawn(&mut self, name: &str) -> io::Result<()> {
        self.platform.memory.roster.put(instance(name, Role::Entry, "z0"));
        let settings = self.write_settings(name)?;
        let mut child = Command::new(&self.shape.daemon)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the daemon's standard output is not piped"))?;
        let mut lines = BufReader::new(output).lines();
        let line = lines
            .find_map(|line| line.ok().filter(|line| line.starts_with("listening")))
            .ok_or_else(|| {
                io::Error::other(format!(
                    "{name} did not start: it printed no line that begins with `listening`"
                ))
            })?;
        // A full pipe would block the daemon's log writes.
        std::thread::spawn(move || lines.for_each(drop));
        let field = |name: &str| {
            let start = format!("{name}=");
            let found = line.split(' ').find_map(|part| part.strip_prefix(&start));
            found.unwrap_or_default().to_owned()
        };
        self.daemons.push(Process {
            child,
            name: name.into(),
            callers: field("callers").parse().map_err(io::Error::other)?,
            operators: field("operators").parse().map_err(io::Error::other)?,
            entry: field("entry"),
        });
        Ok(())
    }

    fn write_settings(&self, name: &str) -> io::Result<PathBuf> {
        let pair = authority::issue(&self.authority, name).map_err(io::Error::other)?;
        let file = |ending: &str| self.folder.join(format!("{name}.{ending}"));
        let authority = self.folder.join("authority.pem");
        fs::write(&authority, &self.authority.certificate)?;
        fs::write(file("pem"), &pair.certificate)?;
        fs::write(file("key"), &pair.key)?;
        let mut sections = BTreeMap::from([
            ("instance", format!("name = {name}\nzone = z0\n")),
            ("caller", "listen = 127.0.0.1:0\n".into()),
            ("operator", "listen = 127.0.0.1:0\n".into()),
            ("platform", format!("addresses = {}\n", self.platform.server.address())),
            (
                "peer",
                format!(
                    "listen = 127.0.0.1:0\nauthority = {}\ncertificate = {}\nkey = {}\n",
                    authority.display(),
                    file("pem").display(),
                    file("key").display()
                ),
            ),
        ]);
        for (section, lines) in &self.shape.settings {
            let text = sections.entry(section).or_default();
            text.push_str(lines);
            text.push('\n');
        }
        let text: String =
            sections.iter().map(|(section, lines)| format!("[{section}]\n{lines}")).collect();
        fs::write(file("ini"), text)?;
        Ok(file("ini"))
    }

    async fn configure(&self) -> io::Result<()> {
        let operators = self.daemons[0].operators;
        wait_until("the first daemon is registered", async || {
            let status = get(operators, "/v1/status").await;
            status.is_some_and(|s| s["entries"].as_array().is_some_and(|e| !e.is_empty()))
        })
        .await?;
        let template = format!(
            "[workspace]\nname = t\nreboot = 1s\nrollout_weight = 1\n\
             [service alpha]\nminions = {}\nfloor = 1\nslots = 4\n\
             [service idle]\nminions = {}\nfloor = 0\n",
            self.shape.minions, self.shape.listed
        );
        let body = json!({
            "change": "first", "author": "test", "base": 0, "parameters": "",
            "template": template,
        });
        post(operators, "/v1/config", &body)
            .await
            .ok_or_else(|| io::Error::other("the configuration was refused"))?;
        for daemon in &self.daemons {
            wait_until("ready", async || is_ready(daemon.operators).await).await?;
        }
        self.wait_until_owned().await
    }

    /// The table's row on who owns a minion and grants its slots.
    pub async fn ownership(&self, minion: &str) -> Option<Ownership> {
        let keys = [fleet::key::<Ownership>(minion)];
        let rows = self.platform.memory.table.read(Space::Fleet, &keys).await.ok()?;
        rows.first()?.decode()
    }

    /// Waits until every serving minion is owned by an entry of [`Fleet::daemons`].
    ///
    /// # Errors
    /// `TimedOut` when a minion stays without such an owner.
    pub async fn wait_until_owned(&self) -> io::Result<()> {
        wait_until("every minion owned by a living entry", async || {
            for name in self.minions.keys() {
                let owner = self.ownership(name).await.and_then(|row| row.owner);
                let alive = |entry: &str| self.daemons.iter().any(|d| d.entry == entry);
                if !owner.is_some_and(|owner| alive(owner.as_str())) {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// All requests that the minions recorded.
    pub fn runs(&self) -> Vec<Run> {
        self.minions.values().flat_map(|minion| minion.record().runs).collect()
    }
}
