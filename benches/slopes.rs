//! Resource use of the daemon at three sizes of each dimension that grows:
//! `cargo bench --bench slopes`.
//!
//! Runs real daemon processes against stand-ins on loopback.  `docs/CAPACITY.md` is computed from
//! the output.

use async_std::task;
use celerythread_model::unit::Span;
use celerythread_standin::fleet::{Fleet, Shape};
use celerythread_standin::load::{self, Plan};
use std::collections::BTreeMap;
use std::fs;
use std::time::{Duration, Instant};

/// Duration of the measurement at each size.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

/// Size of a memory page on Linux, in bytes.
const PAGE_BYTES: u64 = 4096;

fn shape(entries: usize, minions: usize, listed: usize) -> Shape {
    Shape {
        daemon: env!("CARGO_BIN_EXE_celerythreadd").into(),
        name: format!("slopes-{entries}-{minions}-{listed}"),
        entries,
        minions,
        listed,
        duration: Duration::from_millis(5),
        settings: BTreeMap::from([("stop", "notice = 0ms")]),
    }
}

/// Processor seconds and resident bytes of a process.
///
/// Uses the kernel scheduler's per-thread nanoseconds.  The usual 10 ms ticks charge whichever
/// process runs at the tick, which overstates a process that timers wake.
fn usage(pid: u32) -> (f64, u64) {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let nanos: u64 = threads
        .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|text| text.split_whitespace().next()?.parse::<u64>().ok())
        .sum();
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    (nanos as f64 / 1e9, pages.unwrap_or(0) * PAGE_BYTES)
}

struct Cost {
    /// Processor use of the busiest entry, the one with the duties.
    most_percent: f64,
    core_percent: f64,
    resident_mb: f64,
    reads: f64,
    writes: f64,
}

/// Measures the daemons while `work` runs.  Values are means per daemon, except for the busiest
/// entry's processor use and the writes, which are a total.
async fn measure<T>(fleet: &Fleet, work: impl Future<Output = T>) -> (Cost, T) {
    let pids: Vec<u32> = fleet.daemons.iter().map(|daemon| daemon.child.id()).collect();
    let each = || pids.iter().map(|pid| usage(*pid).0).collect::<Vec<f64>>();
    let cpu = || each().iter().sum::<f64>();
    let table = &fleet.platform.memory.table;
    let each0 = each();
    let (cpu0, reads0, writes0, began) = (cpu(), table.reads(), table.writes(), Instant::now());
    let done = work.await;
    let seconds = began.elapsed().as_secs_f64();
    let count = pids.len() as f64;
    let resident: u64 = pids.iter().map(|pid| usage(*pid).1).sum();
    let most = each().iter().zip(&each0).map(|(now, then)| now - then).fold(0.0, f64::max);
    let cost = Cost {
        most_percent: most * 100.0 / seconds,
        core_percent: (cpu() - cpu0) * 100.0 / seconds / count,
        resident_mb: resident as f64 / 1e6 / count,
        reads: (table.reads() - reads0) as f64 / seconds / count,
        writes: (table.writes() - writes0) as f64 / seconds,
    };
    (cost, done)
}

/// Bytes received on the loopback interface, which counts each byte sent once.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find(|line| line.trim().starts_with("lo:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0)
}

fn print(name: &str, cost: &Cost, bytes: f64) {
    println!(
        "{name:34} {:6.2} % of a core (most {:.2})  {:6.1} MB  {:5.2} table reads/s an entry  {:5.2} writes/s \
         in all  {:7.0} bytes/s an entry",
        cost.core_percent, cost.most_percent, cost.resident_mb, cost.reads, cost.writes, bytes
    );
}

async fn idle(name: &str, entries: usize, minions: usize, listed: usize) {
    let fleet = match Fleet::start(shape(entries, minions, listed)).await {
        Ok(fleet) => fleet,
        Err(error) => {
            println!("{name}: not run: {error}");
            return;
        }
    };
    // Waits until the holder of the fleet lease has written the rows of the listed minions.
    task::sleep(Duration::from_millis(3000 + listed as u64 * 12)).await;
    let before = loopback_bytes();
    let (cost, ()) = measure(&fleet, task::sleep(MEASUREMENT_TIME)).await;
    // Counts each byte once, not at both ends, since one end may be the platform.
    let bytes =
        (loopback_bytes() - before) as f64 / MEASUREMENT_TIME.as_secs_f64() / entries as f64;
    print(name, &cost, bytes);
}

async fn loaded(rate: f64, once: f64, keyed: f64, name: &str) {
    let fleet = match Fleet::start(shape(3, 6, 0)).await {
        Ok(fleet) => fleet,
        Err(error) => {
            println!("{name}: not run: {error}");
            return;
        }
    };
    let plan = Plan {
        entries: fleet.daemons.iter().map(|daemon| daemon.callers).collect(),
        service: "alpha".into(),
        rate,
        count: (rate * MEASUREMENT_TIME.as_secs_f64()) as u64,
        non_idempotent_share: once,
        keyed_share: keyed,
        deadline: Span::secs(5),
        ..Plan::default()
    };
    let before = loopback_bytes();
    let (cost, report) = measure(&fleet, load::run(&plan)).await;
    let bytes = (loopback_bytes() - before) as f64 / MEASUREMENT_TIME.as_secs_f64() / 3.0;
    print(name, &cost, bytes);
    let refused = report.refusals();
    let per_request = cost.core_percent * 3.0 * 10.0 / rate;
    println!(
        "{:34} {per_request:7.3} core-ms a request, {:.3} table writes a request, refused by code {refused:?}",
        "",
        cost.writes / rate
    );
}

fn main() {
    task::block_on(async {
        println!("watched {MEASUREMENT_TIME:?} each; a shared machine, so the figures are noisy");
        println!("entries, idle, 6 minions:");
        for entries in [3, 6, 9] {
            idle(&format!("  {entries} entries"), entries, 6, 0).await;
        }
        println!("rows of minions, idle, 3 entries:");
        for listed in [100, 400, 1300] {
            idle(&format!("  {listed} listed minions"), 3, 3, listed).await;
        }
        println!("requests, 3 entries, 6 minions:");
        for rate in [100.0, 300.0, 900.0] {
            loaded(rate, 0.0, 0.0, &format!("  {rate} idempotent/s")).await;
        }
        for rate in [100.0, 300.0, 900.0] {
            loaded(rate, 1.0, 1.0, &format!("  {rate} keyed/s")).await;
        }
    });
}
