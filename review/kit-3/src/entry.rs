//! Entries as processes, started by the command of `deploy/system.toml` with settings made from the
//! project's own template, `deploy/entry.ini`.

use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

/// A running entry.
pub struct Entry {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
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
        let ip = crate::next_ip();
        let (frontend, readiness) = (crate::free_address(&ip), crate::free_address(&ip));
        let name = format!("edge-med-a-{number}");
        let fields = json!({
            "nodeName": name, "zone": "med-a", "ip": ip,
            "internalPorts": [crate::free_port(&ip)],
            "limits": { "cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100 },
            "listenAddrs": { "frontend": frontend.to_string(), "readiness": readiness.to_string() },
            "platform": { "address": store.to_string(), "rowBytes": crate::store::ROW_BYTES },
            "cloudApi": { "address": machines.to_string(), "dutyPerS": 64 },
            "bounds": bounds,
        });
        let template = fs::read_to_string(root.join("deploy/entry.ini")).expect("the template");
        let settings = folder.join(format!("{name}.ini"));
        fs::write(&settings, render(&template, &fields)).expect("the settings can be written");
        spawn(root, folder, &name);
        let entry = Self { frontend, readiness };
        entry.wait_until_ready();
        entry
    }

    fn wait_until_ready(&self) {
        for _ in 0..400 {
            let wait = Duration::from_millis(300);
            let answer =
                crate::http::call(self.readiness, "GET", "/-/ready", &[("host", "x")], None, wait);
            if answer.is_some_and(|(status, _)| status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(25));
        }
        crate::could_not_run("an entry isn't ready");
    }
}

fn spawn(root: &Path, folder: &Path, name: &str) {
    let log = File::options().create(true).append(true).open(folder.join(format!("{name}.log")));
    let child = Command::new(root.join("target/release/celerythreadd"))
        .env("CELERYTHREAD_SETTINGS", folder.join(format!("{name}.ini")))
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.expect("the log can be written")))
        .stderr(Stdio::null())
        .spawn()
        .expect("the daemon starts");
    crate::record_child(child);
}
