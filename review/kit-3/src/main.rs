//! Stand-ins and cases of the third review.  Usage: `review-3 CASE FOLDER`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod crashes;
mod entry;
mod http;
mod large;
mod minion;
mod record;
mod store;

use entry::Entry;
use record::Record;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use store::Store;

/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(112);

/// The processes that the case has started.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Records a process that the case has started.
pub fn record_child(child: Child) {
    CHILDREN.lock().expect("the list of processes").push(child);
}

/// Ends all processes that the case has started, and this one.
fn end(status: i32) -> ! {
    for mut child in CHILDREN.lock().expect("the list of processes").drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(scratch());
    }
    std::process::exit(status);
}

/// Ends the process because the case could not run.
pub fn could_not_run(reason: &str) -> ! {
    eprintln!("could not run: {reason}");
    end(2);
}

/// A temporary folder for settings and logs.
fn scratch() -> PathBuf {
    std::env::temp_dir().join(format!("review-3-{}", std::process::id()))
}

/// A loopback address that this process uses for nothing else.
pub fn next_ip() -> String {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::SeqCst) + 1;
    format!("127.{}.{}.{number}", 70 + std::process::id() / 250 % 50, std::process::id() % 250 + 1)
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
        let scratch = scratch();
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
            thread::sleep(Duration::from_millis(300));
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
    std::panic::set_hook(Box::new(|problem| {
        eprintln!("{problem}");
        end(2);
    }));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        could_not_run("it took too long");
    });
    let rig = Rig::new(Path::new(folder));
    let is_broken = match case.as_str() {
        "crashes" => crashes::run(&rig),
        "large" => large::run(&rig),
        _ => could_not_run("no such case"),
    };
    rig.record.line(if is_broken { "result: broken" } else { "result: held" });
    end(i32::from(is_broken));
}
