//! The cases.

use crate::Case;
use crate::map;
use crate::site::{Entry, SPARE, Site, start_entry};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What broke the rule, `None` if it held, or why the case couldn't run.
type Outcome = Result<Option<String>, String>;

pub fn run(name: &str, case: &Case) -> Outcome {
    match name {
        "new-machines" => new_machines(case),
        "whole-pool" => whole_pool(case),
        "lasting-failures" => lasting_failures(case),
        "moved-queue" => moved_queue(case),
        "large-job" => large_job(case),
        _ => Err(format!("there is no case {name}")),
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until a condition holds; false after `seconds`.
fn eventually(seconds: u64, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        if holds() {
            return true;
        }
        pause(50);
    }
    false
}

/// Starts the platform with one queue, `machines` machines and `entries` daemons.
fn deploy(case: &Case, machines: usize, entries: u8, quiet: bool) -> Result<(Arc<Site>, Vec<Entry>), String> {
    let site = Site::new(case.record.clone(), quiet);
    for number in 0..machines {
        site.add_machine(&format!("m-{number}"), "desk");
    }
    site.configure(1, &[("queue", "/q/", "desk")]);
    let entries: Vec<Entry> =
        (0..entries).map(|number| start_entry(&site, &case.root, &case.temp, number)).collect();
    if !entries.iter().all(|entry| entry.wait_ready("/q/")) {
        return Err("an entry doesn't serve".into());
    }
    Ok((site, entries))
}

fn job(count: u64, spec: &str, cpu: u64, estimate_ms: u64) -> String {
    let step = map! { "count": count, "cpu": cpu, "memMb": 16u64, "estimateMs": estimate_ms };
    map! { "spec": spec, "steps": vec![step] }.text()
}

fn submit(case: &Case, entry: &Entry, id: &str, body: &str) -> u16 {
    let (status, _) = entry.call("POST", &format!("/q/{id}"), body);
    case.record.log(format!("client: POST /q/{id} at {}: {status}", entry.name));
    status
}

fn state(entry: &Entry, id: &str) -> String {
    let (status, body) = entry.call("GET", &format!("/q/{id}"), "");
    if status == 200 { body.get("state").str().into() } else { status.to_string() }
}

/// Machines are added, and the operator orders their upkeep.
fn new_machines(case: &Case) -> Outcome {
    const WAVES: u64 = 5;
    let (site, entries) = deploy(case, 4, 3, false)?;
    // The deployment works: a job is done, and a wave over machines that were there from the start.
    let id = "00000000000000a1";
    if submit(case, &entries[0], id, &job(4, "ms=300", 1000, 300)) != 200
        || !eventually(15, || state(&entries[1], id) == "completed")
    {
        return Err("a plain job isn't done".into());
    }
    let has_begun = |machine: &str| site.upkeeps.lock().unwrap().iter().any(|one| one.machine == machine);
    site.order_wave(1, &["m-0"], 1, 20);
    if !eventually(20, || site.wave_state(1) == "completed") || !has_begun("m-0") {
        return Err("a plain wave isn't carried out".into());
    }
    let mut broken = Vec::new();
    for number in 0..WAVES {
        // Nothing else happens for a while, each time for another one.
        pause(6000 + 700 * number);
        let name = format!("n-{number}");
        let machine = if case.trouble {
            site.add_machine(&name, "desk");
            // The operator sees the new minion in the store and the machine in the list.
            pause(500);
            name
        } else {
            format!("m-{}", number % 3 + 1)
        };
        let wave = 10 + number;
        site.order_wave(wave, &[&machine], 1, 20);
        let is_over = || site.wave_state(wave) == "completed" || has_begun(&machine);
        eventually(20, is_over);
        pause(500);
        if site.wave_state(wave) == "completed" && !has_begun(&machine) {
            case.record.log(format!("operator: wave {wave} is completed, {machine} is in service"));
            broken.push((wave, machine));
        }
        if !case.trouble && number == 2 {
            break;
        }
    }
    pause(8000);
    broken.retain(|(_, machine)| !has_begun(machine));
    let lines: Vec<String> = broken
        .iter()
        .map(|(wave, machine)| format!("wave {wave} is said to be completed, {machine} hasn't begun its upkeep"))
        .collect();
    Ok((!lines.is_empty()).then(|| lines.join("; ")))
}

/// A large job beside small ones.
fn large_job(case: &Case) -> Outcome {
    let (site, entries) = deploy(case, 12, 3, true)?;
    let id = "00000000000000a1";
    if submit(case, &entries[0], id, &job(4, "ms=300", 1000, 300)) != 200
        || !eventually(15, || state(&entries[1], id) == "completed")
    {
        return Err("a plain job isn't done".into());
    }
    let tasks = if case.trouble { 40_000 } else { 1_280 };
    let large = "00000000000000b1";
    let status = submit(case, &entries[0], large, &job(tasks, "ms=20 cpu=100", 100, 20));
    if status != 200 {
        return Err(format!("the large job is answered {status}"));
    }
    let began = Instant::now();
    let mut last = String::new();
    while began.elapsed() < Duration::from_secs(45) && last != "completed" {
        last = state(&entries[1], large);
        case.record.log(format!("client: GET the large job: {last}"));
        pause(1000);
    }
    let small = "00000000000000c1";
    submit(case, &entries[0], small, &job(4, "ms=300", 1000, 300));
    let done = eventually(20, || state(&entries[1], small) == "completed");
    let shown = state(&entries[1], small);
    case.record.log(format!("client: the small job is {shown}, the large one {last}"));
    let _ = site;
    Ok((!done || last != "completed").then(|| format!("the small job is {shown}, the large one {last}")))
}

/// Half of the machines are due for upkeep, among them all of a small pool.
fn whole_pool(case: &Case) -> Outcome {
    /// Seconds from the last request until jobs are asked for, `finish_s`.
    const FINISH: u64 = 14;
    let site = Site::new(case.record.clone(), false);
    for number in 0..16 {
        site.add_machine(&format!("m-{number:02}"), if number < 2 { "desk" } else { "hall" });
    }
    site.add_machine("s-00", SPARE);
    site.add_machine("s-01", SPARE);
    site.configure(1, &[("quick", "/q/", "desk"), ("patient", "/p/", "hall")]);
    let entries: Vec<Entry> =
        (0..3).map(|number| start_entry(&site, &case.root, &case.temp, number)).collect();
    if !entries.iter().all(|entry| entry.wait_ready("/q/")) {
        return Err("an entry doesn't serve".into());
    }
    let lasting = |path: &str, id: &str, count: u64, apart: u64, cpu: u64| {
        let step = map! {
            "count": count, "cpu": cpu, "memMb": 16u64, "estimateMs": 60_000u64, "longRunning": true,
            "mayMiss": 1u64, "antiAffinity": apart,
        };
        let spec = format!("lasts cpu={cpu}");
        let (status, _) =
            entries[0].call("POST", &format!("{path}{id}"), &map! { "spec": spec, "steps": vec![step] }.text());
        case.record.log(format!("client: POST {path}{id}: {status}"));
        status == 200
    };
    if !lasting("/q/", "00000000000000a1", 4, 0, 2000) || !lasting("/p/", "00000000000000a2", 12, 1, 1000) {
        return Err("a lasting job isn't accepted".into());
    }
    let is_running = |job: &str, count: usize| {
        let running = site.minions().iter().flat_map(|minion| minion.running()).collect::<Vec<_>>();
        running.iter().filter(|task| task.starts_with(job)).count() == count
    };
    if !eventually(20, || is_running("00000000000000a1", 4) && is_running("00000000000000a2", 12)) {
        return Err("the lasting jobs don't run".into());
    }
    pause(4000);
    let (desk, hall) = (site.pool("desk"), site.pool("hall"));
    case.record.log(format!("platform: pools desk {desk:?}, hall {hall:?}"));
    if case.trouble {
        let due: Vec<&str> =
            desk.iter().chain(hall.iter().take(8usize.saturating_sub(desk.len()))).map(|name| &**name).collect();
        site.order_wave(1, &due, 3, 24);
    }
    // Clients send a small job each second for twelve seconds.
    let mut jobs = Vec::new();
    for number in 0..12 {
        let id = format!("00000000000001{number:02x}");
        if submit(case, &entries[number % 3], &id, &job(1, "ms=500 cpu=500", 500, 500)) == 200 {
            jobs.push(id);
        }
        pause(1000);
    }
    pause(FINISH * 1000);
    let shown = |id: &String| state(&entries[1], id);
    let waiting: Vec<&String> = jobs.iter().filter(|id| shown(id) != "completed").collect();
    pause(3000);
    let running: Vec<String> = site.minions().iter().flat_map(|minion| minion.running()).collect();
    let lost: Vec<&String> = waiting
        .into_iter()
        .filter(|id| shown(id) != "completed" && !running.iter().any(|task| task.starts_with(id.as_str())))
        .collect();
    for minion in site.minions().iter().filter(|minion| minion.service == "desk") {
        case.record.log(format!("minion {} (desk): runs {:?}", minion.id, minion.running()));
    }
    case.record.log(format!("operator: wave 1 is {:?}", site.wave_state(1)));
    for id in &jobs {
        case.record.log(format!("client: GET /q/{id}: {}", shown(id)));
    }
    Ok((!lost.is_empty()).then(|| {
        format!("{} of {} accepted jobs have nothing running {FINISH} s after the last request", lost.len(), jobs.len())
    }))
}

/// Tasks that last fail now and then.
fn lasting_failures(case: &Case) -> Outcome {
    /// A task that lasts is owed a run from 6 s after its last one; the rule then waits for 3 s.
    const MAX_AWAY: Duration = Duration::from_secs(9);
    let (site, entries) = deploy(case, 2, 3, false)?;
    let spec = if case.trouble { "lasts cpu=1000 fails=4000" } else { "lasts cpu=1000" };
    let jobs = ["00000000000000a1", "00000000000000b2"];
    for id in jobs {
        let step = map! {
            "count": 3u64, "cpu": 1000u64, "memMb": 16u64, "estimateMs": 60_000u64, "longRunning": true,
            "mayMiss": 1u64,
        };
        if submit(case, &entries[0], id, &map! { "spec": spec, "steps": vec![step] }.text()) != 200 {
            return Err("a lasting job isn't accepted".into());
        }
    }
    let tasks: Vec<String> =
        jobs.iter().flat_map(|job| (0..3).map(move |index| format!("{job}.0.0.{index}"))).collect();
    let running = || site.minions().iter().flat_map(|minion| minion.running()).collect::<Vec<_>>();
    if !eventually(20, || running().len() == tasks.len()) {
        return Err("the lasting jobs don't run".into());
    }
    let began = Instant::now();
    let mut seen = vec![Instant::now(); tasks.len()];
    let mut worst = (Duration::ZERO, String::new());
    while began.elapsed() < Duration::from_secs(70) {
        let now = running();
        for (task, seen) in tasks.iter().zip(&mut seen) {
            if now.contains(task) {
                *seen = Instant::now();
            } else if seen.elapsed() > worst.0 {
                worst = (seen.elapsed(), task.clone());
                if worst.0.as_millis() / 1000 != (worst.0 - Duration::from_millis(50)).as_millis() / 1000 {
                    let used = now.len();
                    case.record.log(format!(
                        "check: {task} has had no run for {:.1} s; {used} of 32 cores are in use",
                        worst.0.as_secs_f64()
                    ));
                }
            }
        }
        pause(50);
    }
    let (away, task) = worst;
    case.record.log(format!("check: longest time without a run {:.1} s, {task}", away.as_secs_f64()));
    Ok((away >= MAX_AWAY).then(|| format!("{task} had no run for {:.1} s with two sound minions", away.as_secs_f64())))
}

/// A queue is moved to another service while a job of it runs.
fn moved_queue(case: &Case) -> Outcome {
    let site = Site::new(case.record.clone(), false);
    for number in 0..8 {
        site.add_machine(&format!("m-{number}"), if number < 4 { "desk" } else { "hall" });
    }
    site.configure(1, &[("quick", "/q/", "desk"), ("other", "/o/", "hall")]);
    let entries: Vec<Entry> =
        (0..3).map(|number| start_entry(&site, &case.root, &case.temp, number)).collect();
    if !entries.iter().all(|entry| entry.wait_ready("/q/")) {
        return Err("an entry doesn't serve".into());
    }
    pause(3000);
    let id = "00000000000000a1";
    let body = job(2, "ms=30000", 1000, 30_000);
    if submit(case, &entries[0], id, &body) != 200 || !eventually(15, || state(&entries[1], id) == "running") {
        return Err("a plain job doesn't run".into());
    }
    if case.trouble {
        site.configure(3, &[("quick", "/q/", "hall"), ("other", "/o/", "hall")]);
    }
    pause(3500);
    let shown: Vec<String> = entries.iter().map(|entry| state(entry, id)).collect();
    case.record.log(format!("client: GET /q/{id} at the three entries: {shown:?}"));
    submit(case, &entries[1], id, &body);
    pause(2000);
    let runs: Vec<(String, Vec<String>)> =
        site.minions().iter().map(|minion| (minion.service.clone(), minion.running())).collect();
    let of_job = |task: &String| task.starts_with(id);
    let both: Vec<&(String, Vec<String>)> = runs.iter().filter(|(_, tasks)| tasks.iter().any(of_job)).collect();
    case.record.log(format!("check: minions with tasks of the job: {both:?}"));
    let mut tasks: Vec<&String> = runs.iter().flat_map(|(_, tasks)| tasks).filter(|task| of_job(task)).collect();
    tasks.sort();
    let count = tasks.len();
    tasks.dedup();
    let is_twice = count > tasks.len();
    Ok((is_twice || shown.iter().any(|shown| shown == "410"))
        .then(|| format!("GET is answered {shown:?}; two runs of one task at a time: {is_twice}")))
}
