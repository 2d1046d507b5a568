//! A machine crashes twice when a task begins there, and is sound afterwards.

use crate::entry::Entry;
use crate::http::Server;
use crate::minion::{Machine, machines_handler};
use crate::{Rig, bounds};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const JOB: &str = "00c0ffee00c0ffee";

/// The same job under another id, submitted when the machine is sound.
const TWIN: &str = "00c0ffee00c0fff0";

/// How often the machine crashes, how long after the beginning of the task, and for how long it is
/// down each time.
const CRASHES: u32 = 2;
const AFTER: Duration = Duration::from_millis(20);
const DOWN: Duration = Duration::from_millis(1500);

/// How long the machine is sound before the state is judged: longer than the 6 s after which a task
/// that lasts has to run again.
const CALM: Duration = Duration::from_secs(12);

pub fn run(rig: &Rig) -> bool {
    let store = Server::start("127.0.0.1:0".parse().unwrap(), rig.store.handler());
    let machines: Vec<Arc<Machine>> = (0..9)
        .map(|number| {
            // One machine is of the kind that the job needs.
            let kind = if number == 0 { "g" } else { "a" };
            let name = format!("m{number}");
            Machine::new(&name, "intake", &[kind, "r1-1"], 16000, &rig.store, &rig.record)
        })
        .collect();
    let interface =
        Server::start("127.0.0.1:0".parse().unwrap(), machines_handler(machines.clone()));
    let route = json!({
        "name": "photo-archive", "host": "jobs.example", "pathPrefix": "/q/", "service": "intake",
        "kind": "non_idempotent", "priority": 0, "attempts": 3, "stretch": 3.0,
        "targetLatencyMs": 2500, "timeoutMs": 3000,
    });
    let service = json!({ "name": "intake", "admissionCheck": true, "spare": false });
    let configuration = json!({ "version": 7, "routes": [route], "services": [service] });
    rig.store.put("op", "config", &configuration);
    machines.iter().for_each(|machine| machine.start());
    let entries: Vec<Entry> = (0..3)
        .map(|number| {
            let (store, interface) = (store.address, interface.address);
            Entry::start(&rig.root, &rig.scratch, number, store, interface, &bounds())
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    let crashes = Arc::new(AtomicU32::new(if rig.trouble { CRASHES } else { 0 }));
    let (left, machine) = (crashes.clone(), Arc::downgrade(&machines[0]));
    machines[0].on_begin(move |_| {
        let is_due =
            left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        let Some(machine) = machine.upgrade().filter(|_| is_due.is_ok()) else { return };
        thread::spawn(move || {
            thread::sleep(AFTER);
            machine.crash();
            thread::sleep(DOWN);
            machine.start();
        });
    });
    let job = json!({
        "spec": "lasts",
        "steps": [{
            "count": 1, "cpu": 2000, "memMb": 512, "estimateMs": 1000, "longRunning": true,
            "requires": "g", "image": "archive", "mayMiss": 1,
        }],
    });
    rig.submit(&entries[0], JOB, &job);
    let began = Instant::now();
    let mut calm_since = None;
    loop {
        thread::sleep(Duration::from_millis(500));
        let state = rig.state(&entries[1], JOB);
        if crashes.load(Ordering::SeqCst) == 0 {
            calm_since.get_or_insert_with(Instant::now);
        }
        let calm = calm_since.is_some_and(|since| since.elapsed() > CALM);
        if calm || began.elapsed() > Duration::from_secs(80) {
            let runs = |task: &str| machines.iter().any(|machine| machine.runs(task));
            rig.submit(&entries[0], TWIN, &job);
            thread::sleep(Duration::from_secs(3));
            let (runs, twin) = (runs(&format!("{JOB}.0.0.0")), runs(&format!("{TWIN}.0.0.0")));
            rig.record
                .line(&format!("judged state={state:?} runs={runs} twin_runs={twin} calm={calm}"));
            if !calm || !twin {
                crate::could_not_run("the crashes did not happen");
            }
            // No run has ended `failed`, and a task that lasts has to be restarted however it ends.
            return state.as_deref() == Some("failed");
        }
    }
}
