use crate::entry::Entry;
use crate::http::{self, Server};
use crate::minion::{HIST, Machine, machines_handler};
use crate::{Rig, bounds};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn run(rig: &Rig) -> bool {
    let store = Server::start("127.0.0.1:0".parse().unwrap(), rig.store.handler());
    let machines: Vec<Arc<Machine>> = (0..9)
        .map(|number| {
            Machine::new(
                &format!("m{number}"),
                "intake",
                &["a", "r1-1"],
                16000,
                &rig.store,
                &rig.record,
            )
        })
        .collect();
    let interface =
        Server::start("127.0.0.1:0".parse().unwrap(), machines_handler(machines.clone()));
    let route = json!({
        "name": "first", "host": "jobs.example", "pathPrefix": "/q/", "service": "intake",
        "kind": "non_idempotent", "priority": 0, "attempts": 3, "stretch": 3.0,
        "targetLatencyMs": 2500, "timeoutMs": 3000,
    });
    let service = json!({ "name": "intake", "admissionCheck": true, "spare": false });
    rig.store.put(
        "op",
        "config",
        &json!({ "version": 7, "routes": [route], "services": [service] }),
    );
    machines.iter().for_each(|machine| machine.start());
    let mut entries: Vec<Entry> = (0..4)
        .map(|number| {
            Entry::start(
                &rig.root,
                &rig.scratch,
                number,
                store.address,
                interface.address,
                &bounds(),
            )
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut seed: u64 =
        std::env::var("SEED").ok().and_then(|t| t.parse().ok()).unwrap_or(1) * 7919 + 13;
    let mut rnd = move |n: u64| {
        seed ^= seed << 13;
        seed ^= seed >> 7;
        seed ^= seed << 17;
        seed % n
    };
    let fronts: Vec<_> = entries.iter().map(|e| e.frontend).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let accepted: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let gone: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..10u64 {
        let (stop, accepted, gone, fronts, record) =
            (stop.clone(), accepted.clone(), gone.clone(), fronts.clone(), rig.record.clone());
        clients.push(thread::spawn(move || {
            let mut n = 0u64;
            let headers = [("host", "jobs.example"), ("x-celerythread-deadline-ms", "3000")];
            while !stop.load(Ordering::SeqCst) {
                n += 1;
                let id = format!("{:016x}", client * 1_000_000 + n);
                let lasts = n % 150 == 0;
                let count = 1 + (n % 4) as u32;
                let mut step = json!({ "count": count, "cpu": 500, "memMb": 16, "estimateMs": 150 });
                if lasts { step["longRunning"] = json!(true); step["mayMiss"] = json!(1); }
                let mut steps = vec![step.clone()];
                if !lasts && n % 3 == 0 { let mut s2 = step.clone(); s2["after"] = json!([0]); steps.push(s2); }
                let body = json!({ "spec": if lasts { "lasts".into() } else { format!("work={}", 50 + n % 300) }, "steps": steps });
                let mut ok = false;
                for attempt in 0..6u64 {
                    let front = fronts[((client + n + attempt) % 4) as usize];
                    match http::call(front, "POST", &format!("/q/{id}"), &headers, Some(&body), Duration::from_secs(3)) {
                        Some((200, _)) => { ok = true; break; }
                        Some((status, _)) => { record.line(&format!("POST {id} {status}")); thread::sleep(Duration::from_millis(100)); }
                        None => thread::sleep(Duration::from_millis(50)),
                    }
                }
                if ok { accepted.lock().unwrap().insert(id.clone(), if lasts { 0 } else { 1 }); }
                let front = fronts[((client + n + 1) % 4) as usize];
                if let Some((410, _)) = http::call(front, "GET", &format!("/q/{id}"), &headers, None, Duration::from_secs(3)) {
                    if ok { gone.lock().unwrap().push(id.clone()); }
                }
                thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    crate::minion::LATE.store(
        std::env::var("LATE").ok().and_then(|t| t.parse().ok()).unwrap_or(30),
        Ordering::SeqCst,
    );
    let began = Instant::now();
    let length: u64 = std::env::var("LEN").ok().and_then(|t| t.parse().ok()).unwrap_or(50);
    while began.elapsed() < Duration::from_secs(length) {
        thread::sleep(Duration::from_millis(400 + rnd(2200)));
        let which = rnd(4) as usize;
        let what = if rnd(2) == 0 { 7 } else { rnd(9) };
        rig.record.line(&format!("trouble {what} entry {which}"));
        match what {
            0 | 1 | 2 => {
                entries[which].signal("KILL");
                let _ = entries[which].child.wait();
                thread::sleep(Duration::from_millis(rnd(700)));
                let root = rig.root.clone();
                entries[which].restart(&root);
            }
            3 | 4 => {
                entries[which].signal("TERM");
                let _ = entries[which].child.wait();
                let root = rig.root.clone();
                entries[which].restart(&root);
            }
            5 | 6 => {
                entries[which].signal("STOP");
                thread::sleep(Duration::from_millis(300 + rnd(4000)));
                entries[which].signal("CONT");
            }
            7 => {
                let m = machines[rnd(9) as usize].clone();
                m.crash();
                thread::sleep(Duration::from_millis(30 + rnd(1200)));
                m.start();
            }
            _ => {
                for e in entries.iter_mut() {
                    e.signal("KILL");
                    let _ = e.child.wait();
                }
                thread::sleep(Duration::from_millis(rnd(900)));
                let root = rig.root.clone();
                for e in entries.iter_mut() {
                    e.restart(&root);
                }
            }
        }
    }
    crate::minion::LATE.store(0, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| {
        let _ = c.join();
    });
    let mut bad = Vec::new();
    let finish = Instant::now();
    let headers = [("host", "jobs.example"), ("x-celerythread-deadline-ms", "3000")];
    let all = accepted.lock().unwrap().clone();
    let mut open: Vec<(String, u32)> = all.into_iter().collect();
    let total = open.len();
    while finish.elapsed() < Duration::from_secs(25) && !open.is_empty() {
        open.retain(|(id, kind)| {
            let answer = http::call(
                fronts[1],
                "GET",
                &format!("/q/{id}"),
                &headers,
                None,
                Duration::from_secs(3),
            );
            let state =
                answer.as_ref().map(|(s, b)| (*s, b["state"].as_str().unwrap_or("").to_owned()));
            match state {
                Some((200, state)) => {
                    if state == "failed" || state == "cancelled" {
                        println!("WRONG {id} {state}");
                    }
                    !(state == "completed" && *kind == 1
                        || state == "running" && *kind == 0
                        || state == "failed")
                }
                Some((410, _)) => {
                    println!("GONE {id}");
                    false
                }
                _ => true,
            }
        });
    }
    for (id, kind) in &open {
        bad.push(format!("OPEN {id} {kind}"));
    }
    for id in gone.lock().unwrap().iter() {
        bad.push(format!("410 {id}"));
    }
    // Runs.
    let hist = HIST.lock().unwrap();
    let mut by: BTreeMap<&str, Vec<&crate::minion::Hist>> = BTreeMap::new();
    hist.iter().for_each(|h| by.entry(&h.task).or_default().push(h));
    for (task, runs) in &by {
        for (i, a) in runs.iter().enumerate() {
            for b in &runs[i + 1..] {
                if a.ended.is_none_or(|e| b.began < e) {
                    bad.push(format!(
                        "OVERLAP {task} {}@{} {:?} and {}@{}",
                        a.run, a.minion, a.how, b.run, b.minion
                    ));
                }
                if a.how == "done" && a.acked {
                    bad.push(format!(
                        "AFTER DONE {task} {}@{} then {}@{}",
                        a.run, a.minion, b.run, b.minion
                    ));
                }
            }
        }
    }
    println!("jobs {total} runs {} open {} bad {}", hist.len(), open.len(), bad.len());
    bad.iter().take(10).for_each(|b| println!("{b}"));
    !bad.is_empty()
}
