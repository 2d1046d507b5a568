//! A soak of real processes with minions that keep their ids; not a case.  Usage: `review-3 CASE FOLDER`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod entry;
mod http;
mod minion;
mod record;
mod soak;
mod store;

use entry::Entry;
use record::Record;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use store::Store;

/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Ends the process because the case could not run.
pub fn could_not_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    std::process::exit(2);
}

/// An address of this host that nothing listens at.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

pub fn free_port(ip: &str) -> u16 {
    free_address(ip).port()
}

/// Bounds of a small deployment, those of `SYSTEM.md` for Visita Clara.
pub fn bounds() -> Value {
    json!({
        "contactMs": 3000, "stopTimeoutMs": 900, "cancel_ms": 3000, "status_s": 120,
        "holdMaxMs": 6000, "leaseMs": 3000, "upkeepS": 2, "graceS": 6,
    })
}

/// The surroundings of a case.
pub struct Rig {
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub scratch: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    /// Whether the disruption is brought about.
    pub trouble: bool,
}

impl Rig {
    fn new(folder: &Path) -> Self {
        let scratch = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).expect("a temporary folder");
        Self {
            root: std::env::current_dir().expect("the repository"),
            scratch,
            record: Arc::new(Record::new(folder)),
            store: Store::new(),
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }

    /// Sends a client's request to an entry and records both sides.
    pub fn call(
        &self,
        entry: &Entry,
        method: &str,
        id: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Value)> {
        let path = format!("/q/{id}");
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [
            ("host", "jobs.example"),
            ("content-type", "application/json"),
            ("x-celerythread-deadline-ms", deadline.as_str()),
        ];
        let answer = http::call(entry.frontend, method, &path, &headers, body, DEADLINE);
        let text =
            answer.as_ref().map_or("none".into(), |(status, body)| format!("{status} {body}"));
        self.record.line(&format!("client {method} {path} -> {text}"));
        answer
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, entry: &Entry, id: &str, body: &Value) {
        for _ in 0..20 {
            if self.call(entry, "POST", id, Some(body)).is_some_and(|(status, _)| status == 200) {
                return;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        could_not_run("a job is not accepted");
    }

    /// The state of a job; `None` if it isn't told.
    pub fn state(&self, entry: &Entry, id: &str) -> Option<String> {
        let (status, body) = self.call(entry, "GET", id, None)?;
        (status == 200).then(|| body["state"].as_str().unwrap_or_default().to_owned())
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else { could_not_run("CASE FOLDER") };
    let rig = Rig::new(Path::new(folder));
    let broken = match case.as_str() {
        "soak" => soak::run(&rig),
        _ => could_not_run("no such case"),
    };
    rig.record.line(&format!("result {}", if broken { "broken" } else { "held" }));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&rig.scratch);
    }
    std::process::exit(i32::from(broken));
}
