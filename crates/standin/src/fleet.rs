//! A deployment of real daemons as processes, over a platform and minions in this one.
//!
//! For tests and measurements of what only processes can show.  The daemon's program is given
//! by its path; every process is ended by its own handle when the fleet is dropped.

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

/// Longest wait for a deployment to settle.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for an operator's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The daemon's program.
    pub daemon: PathBuf,
    /// Part of the scratch folder's name.
    pub name: String,
    /// Entries.
    pub entries: usize,
    /// Minions that serve.
    pub minions: usize,
    /// Minions that are only listed, for the size of the rows.
    pub listed: usize,
    /// How long a request takes.
    pub duration: Duration,
    /// More lines for the settings, by section.
    pub settings: BTreeMap<&'static str, &'static str>,
}

/// A deployment.
pub struct Fleet {
    /// Its platform.
    pub platform: Platform,
    /// Its minions.
    pub minions: BTreeMap<String, Minion>,
    /// Its daemons.
    pub daemons: Vec<Process>,
    shape: Shape,
    folder: PathBuf,
    authority: Pair,
}

/// A running daemon.
pub struct Process {
    /// Its handle.
    pub child: Child,
    /// Its instance's name.
    pub name: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Its id.
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

/// Any free port of the loopback.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Waits until a condition holds.
///
/// # Errors
/// `TimedOut` with its name when it never does.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> io::Result<()> {
    let began = Instant::now();
    while !holds().await {
        if began.elapsed() > SETTLE_TIMEOUT {
            return Err(io::Error::new(io::ErrorKind::TimedOut, format!("never: {what}")));
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Reads something from an operators' address.
pub async fn get(operators: SocketAddr, path: &str) -> Option<Value> {
    send_request(operators, Method::Get, path, String::new()).await
}

/// Asks an operators' address for something.
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

/// Whether an entry tells the balancer that it is ready.
pub async fn is_ready(operators: SocketAddr) -> bool {
    let Ok(request) = client::request(Method::Get, operators, "/ready") else { return false };
    let fetched = client::fetch(operators, request, REQUEST_TIMEOUT, 1 << 16).await;
    fetched.is_ok_and(|(head, _)| head.status() == 200)
}

impl Fleet {
    /// Starts a deployment and waits until every serving minion is owned.
    ///
    /// # Errors
    /// When something cannot be started or never settles.
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
                // An availability zone without entries: the rows are there and nobody owns them.
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
        let output = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut lines = BufReader::new(output).lines();
        let line = lines
            .find_map(|line| line.ok().filter(|line| line.starts_with("listening")))
            .ok_or_else(|| io::Error::other(format!("{name} did not start")))?;
        // The pipe must be read to its end, or the daemon stalls on its log lines.
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

    /// Who hands out a minion's slots, by the table.
    pub async fn ownership(&self, minion: &str) -> Option<Ownership> {
        let keys = [fleet::key::<Ownership>(minion)];
        let rows = self.platform.memory.table.read(Space::Fleet, &keys).await.ok()?;
        rows.first()?.decode()
    }

    /// Waits until every serving minion has an owner among the living.
    ///
    /// # Errors
    /// `TimedOut`.
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

    /// All that the minions ran.
    pub fn runs(&self) -> Vec<Run> {
        self.minions.values().flat_map(|minion| minion.record().runs).collect()
    }
}
