//! A daemon as a process, with the highest memory and descriptor usage that was seen.

use serde_json::Value;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval between two readings of a process's usage.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Environment variable with the path of another daemon, such as one of an earlier version.
const DAEMON_VARIABLE: &str = "CELERYTHREAD_DAEMON";

/// The highest usage of a process that was seen.
#[derive(Debug, Default)]
struct Peak {
    /// Anonymous resident memory, in bytes.
    memory: AtomicU64,
    /// Open descriptors.
    descriptors: AtomicU64,
    is_over: AtomicBool,
}

impl Peak {
    /// Reads the usage of a process until it is over.
    fn watch(self: Arc<Self>, process: u32) {
        while !self.is_over.load(Ordering::SeqCst) {
            if let Some(memory) = anonymous_memory(process) {
                self.memory.fetch_max(memory, Ordering::SeqCst);
            }
            if let Ok(open) = fs::read_dir(format!("/proc/{process}/fd")) {
                self.descriptors.fetch_max(open.count() as u64, Ordering::SeqCst);
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
    }
}

/// Anonymous resident memory of a process, in bytes.
fn anonymous_memory(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kibibytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kibibytes << 10)
}

/// An entry as a process, killed on drop.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
    peak: Arc<Peak>,
    lines: Arc<Mutex<Vec<Value>>>,
    /// Its lines on standard error.
    errors: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts an entry with the text of its settings file.
    pub(crate) fn start(name: &str, settings: &str) -> Self {
        let file = format!("ct-crowds-{}-{name}.ini", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, settings).unwrap();
        let given = std::env::var_os(DAEMON_VARIABLE).map(PathBuf::from);
        let daemon = given.unwrap_or_else(|| env!("CARGO_BIN_EXE_celerythreadd").into());
        let mut child = Command::new(daemon)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (peak, lines) = (Arc::<Peak>::default(), Arc::<Mutex<Vec<Value>>>::default());
        let (watched, process) = (peak.clone(), child.id());
        thread::spawn(move || watched.watch(process));
        let (sink, output) = (lines.clone(), child.stdout.take().unwrap());
        thread::spawn(move || {
            let lines = BufReader::new(output).lines().map_while(Result::ok);
            lines.filter_map(|line| serde_json::from_str(&line).ok()).for_each(|line| {
                sink.lock().unwrap().push(line);
            });
        });
        let errors = Arc::<Mutex<Vec<String>>>::default();
        let (sink, output) = (errors.clone(), child.stderr.take().unwrap());
        thread::spawn(move || {
            let lines = BufReader::new(output).lines().map_while(Result::ok);
            lines.for_each(|line| sink.lock().unwrap().push(line));
        });
        Self { child, settings: path, peak, lines, errors }
    }

    /// The address at which callers reach it, once it listens.
    pub(crate) fn callers(&self) -> Option<SocketAddr> {
        self.logged("listening", "callers")?.parse().ok()
    }

    /// Whether it owns the cell of the service, by its log.
    pub(crate) fn owns_the_cell(&self) -> bool {
        self.logged("cell_loaded", "token").is_some()
    }

    /// The field of the last line with a message.
    pub(crate) fn logged(&self, message: &str, field: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        let mut lines = lines.iter().rev();
        let line = lines.find(|line| line["message"] == message)?;
        line["kvs"][field].as_str().map(Into::into)
    }

    /// Sends it a signal, such as `-TERM`.
    pub(crate) fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Whether it still runs.
    pub(crate) fn is_alive(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// The panics of its tasks.
    pub(crate) fn panics(&self) -> Vec<String> {
        let mut errors = self.errors();
        errors.retain(|line| line.contains("panicked"));
        errors
    }

    /// Its lines on standard error.
    pub(crate) fn errors(&self) -> Vec<String> {
        self.errors.lock().unwrap().clone()
    }

    /// Highest anonymous resident memory that was seen, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        self.peak.memory.load(Ordering::SeqCst)
    }

    /// Highest number of open descriptors that was seen.
    pub(crate) fn peak_descriptors(&self) -> u64 {
        self.peak.descriptors.load(Ordering::SeqCst)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.peak.is_over.store(true, Ordering::SeqCst);
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
