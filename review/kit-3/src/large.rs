//! Minions are lost for good, one after the other, under a job of many small tasks.

use crate::entry::Entry;
use crate::http::Server;
use crate::minion::{Machine, machines_handler};
use crate::{Rig, bounds};
use serde_json::json;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const LARGE: &str = "00c0ffee00c0ffee";

/// Tasks of the large job, and what each takes of a minion's 16,000.
const TASKS: u32 = 16_000;
const CPU: u32 = 8;

/// Most of these tasks on one minion, which leaves room for other jobs.
const PER_MINION: u32 = 1_800;

/// How many minions are lost, and the time between two losses.
const LOSSES: usize = 4;
const GAP: Duration = Duration::from_secs(2);

/// Time after the last loss before small jobs are sent.
const CALM: Duration = Duration::from_secs(12);

/// Small jobs before the losses and after them, and the time for the last ones.
const SMALL: u64 = 4;
const SMALL_TIME: Duration = Duration::from_secs(12);

pub fn run(rig: &Rig) -> bool {
    let store = Server::start("127.0.0.1:0".parse().unwrap(), rig.store.handler());
    let machines: Vec<Arc<Machine>> = (0..9)
        .map(|number| {
            let rack = format!("r1-{}", number / 4 + 1);
            let name = format!("m{number}");
            Machine::new(&name, "intake", &["a", &rack], 16000, &rig.store, &rig.record)
        })
        .collect();
    let interface =
        Server::start("127.0.0.1:0".parse().unwrap(), machines_handler(machines.clone()));
    let route = json!({
        "name": "form-check", "host": "jobs.example", "pathPrefix": "/q/", "service": "intake",
        "kind": "non_idempotent", "priority": 0, "attempts": 3, "stretch": 3.0,
        "targetLatencyMs": 600, "timeoutMs": 3000,
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

    let step = json!({ "count": TASKS, "cpu": CPU, "memMb": 1, "estimateMs": 90000, "antiAffinity": PER_MINION });
    rig.submit(&entries[0], LARGE, &json!({ "spec": "work=90000", "steps": [step] }));
    let running = || machines.iter().map(|machine| machine.run_count()).sum::<usize>();
    let began = Instant::now();
    while running() < TASKS as usize {
        if began.elapsed() > Duration::from_secs(25) {
            crate::could_not_run("the large job doesn't start");
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(3));
    rig.record.line(&format!("large job runs, {} tasks", running()));
    let early = submit_small(rig, &entries[1], 0);
    if !early.iter().all(|id| is_completed(rig, &entries[1], id)) {
        crate::could_not_run("small jobs aren't completed before the losses");
    }
    for machine in &machines[..LOSSES] {
        if rig.trouble {
            machine.crash();
        }
        thread::sleep(GAP);
    }
    thread::sleep(CALM);
    rig.record.line(&format!("calm, {} tasks of the large job run", running()));

    let late = submit_small(rig, &entries[1], SMALL);
    thread::sleep(SMALL_TIME);
    let completed = late.iter().filter(|id| is_completed(rig, &entries[1], id)).count();
    let ends: Vec<(u64, u64)> = machines.iter().map(|machine| machine.ends()).collect();
    let listed: u64 = ends.iter().map(|(listed, _)| listed).sum();
    let open: u64 = ends.iter().map(|(_, open)| open).sum();
    rig.record.line(&rig.store.refused());
    rig.record.line(&format!(
        "judged: {completed} of {SMALL} small jobs completed; of {listed} ends {open} not noted"
    ));
    // More than a fifth of the ends that minions list aren't taken note of.
    open * 5 > listed
}

/// Submits small jobs, one a second; returns their ids.
fn submit_small(rig: &Rig, entry: &Entry, first: u64) -> Vec<String> {
    let step = json!({ "count": 1, "cpu": 100, "memMb": 16, "estimateMs": 200 });
    let job = json!({ "spec": "work=200", "steps": [step] });
    let submit = |number: u64| {
        let id = format!("{:016x}", 0x5a11_0000 + number);
        rig.submit(entry, &id, &job);
        thread::sleep(Duration::from_secs(1));
        id
    };
    (first..first + SMALL).map(submit).collect()
}

fn is_completed(rig: &Rig, entry: &Entry, id: &str) -> bool {
    rig.state(entry, id).as_deref() == Some("completed")
}
