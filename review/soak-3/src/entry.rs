//! Entries as processes, started by the command of `deploy/system.toml` with settings made from the
//! project's own template, `deploy/entry.ini`.

use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running entry, killed when it is dropped.
pub struct Entry {
    pub child: Child,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    folder: PathBuf,
    name: String,
}

/// Fills in the template, as `DEPLOY.md` tells it: values, and sections that are there or not.
fn render(template: &str, fields: &Value) -> String {
    let find = |path: &str| {
        let mut value = fields;
        for name in path.split('.') {
            value = match value {
                Value::Array(list) => list.get(name.parse::<usize>().ok()?)?,
                _ => value.get(name)?,
            };
        }
        Some(match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        })
    };
    let mut out = String::new();
    for line in template.lines() {
        let mut line = line.to_owned();
        if let Some(start) = line.find("{{#") {
            let end = line[start..].find("}}").unwrap() + start;
            let name = line[start + 3..end].to_owned();
            let close = format!("{{{{/{name}}}}}");
            let inner = line[end + 2..line.find(&close).unwrap()].to_owned();
            line = match find(&name).filter(|value| value != "false") {
                Some(value) => inner.replace("{{.}}", &value),
                None => String::new(),
            };
        }
        while let Some(start) = line.find("{{") {
            let end = line[start..].find("}}").unwrap() + start;
            let value = find(&line[start + 2..end]).unwrap_or_default();
            line.replace_range(start..end + 2, &value);
        }
        out.push_str(&line);
        out.push('\n');
    }
    out
}

impl Entry {
    /// Starts an entry with an address of its own.
    pub fn start(
        root: &Path,
        folder: &Path,
        number: usize,
        store: SocketAddr,
        machines: SocketAddr,
        bounds: &Value,
    ) -> Self {
        let ip = format!("127.77.{}.{}", std::process::id() % 250 + 1, number + 1);
        let (frontend, readiness) = (crate::free_address(&ip), crate::free_address(&ip));
        let name = format!("edge-med-a-{number}");
        let fields = json!({
            "nodeName": name, "zone": "med-a", "ip": ip,
            "internalPorts": [crate::free_port(&ip)],
            "limits": { "cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100 },
            "listenAddrs": { "frontend": frontend.to_string(), "readiness": readiness.to_string() },
            "platform": { "address": store.to_string(), "rowBytes": 65536 },
            "cloudApi": { "address": machines.to_string(), "dutyPerS": 64 },
            "bounds": bounds,
        });
        let template = fs::read_to_string(root.join("deploy/entry.ini")).expect("the template");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, render(&template, &fields)).expect("the settings can be written");
        let mut entry = Self {
            child: spawn(root, folder, &name),
            frontend,
            readiness,
            folder: folder.to_owned(),
            name,
        };
        entry.wait_until_ready();
        entry
    }

    /// Starts it again after its end.
    pub fn restart(&mut self, root: &Path) {
        self.child = spawn(root, &self.folder, &self.name);
    }

    /// Sends it a signal, by the name that `kill` takes.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", signal, &id]).status();
    }

    fn wait_until_ready(&mut self) {
        for _ in 0..400 {
            let wait = std::time::Duration::from_millis(300);
            let answer =
                crate::http::call(self.readiness, "GET", "/-/ready", &[("host", "x")], None, wait);
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(25));
        }
        crate::could_not_run("an entry isn't ready");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(root: &Path, folder: &Path, name: &str) -> Child {
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
    Command::new(root.join("target/release/celerythreadd"))
        .env("CELERYTHREAD_SETTINGS", folder.join(format!("{name}.ini")))
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.expect("the log can be written")))
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon starts")
}
