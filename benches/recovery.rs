//! Processor time of a cell's takeover for its new owner, at the sites' size and at ten times the
//! jobs and minions.
//!
//! Covers decoding the store's rows, adding the jobs, processing each minion's first report, and the
//! first plan.  Network time is not included; the reads, about 4 ms each, are only counted.

use celerythread_engine::cell::{
    Cell, Listing, MinionId, Permit, Queue, Report, Running, Settings,
};
use celerythread_engine::job::{
    Accepted, Definition, Id, Progress, Resources, Step, TaskName, decode, encode,
};
use celerythread_engine::time::Time;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Runs per size; the median and the slowest are printed.
const RUNS: usize = 9;

/// Jobs, a tenth of them open, and minions of a cell.  The sites store about 500 jobs.
const SIZES: [(u32, usize); 3] = [(500, 12), (5_000, 120), (20_000, 120)];

/// Rows per response of the store, and partitions over which a service's jobs are spread.
const PAGE_ROWS: usize = 500;
const PARTITIONS: usize = 32;

const NOW: Time = Time(1_000_000);

fn id(number: u32) -> Id {
    format!("{number:016x}").parse().expect("16 hexadecimal digits")
}

fn job() -> Accepted {
    let need = Resources { cpu: 900, memory_mb: 1600, gpu: 0 };
    let step = Step { count: 6, need, estimate_ms: 640, ..Step::default() };
    let steps = vec![step.clone(), Step { after: [0].into_iter().collect(), ..step }];
    Accepted {
        queue: "queue".into(),
        at_ms: 0,
        definition: Definition { spec: "x".repeat(200).into(), steps, schedule: None },
        origin: celerythread_engine::job::Origin::Public,
        terms: None,
        service: None,
    }
}

/// The stored rows; nine of ten jobs have ended.
fn rows(jobs: u32) -> Vec<(Id, Vec<u8>, Vec<u8>)> {
    let ended = Progress {
        outcome: Some(celerythread_engine::job::State::Completed),
        ..Progress::default()
    };
    let open = Progress { done: vec![0, 1], ..Progress::default() };
    let row = |number| {
        let progress = if number % 10 == 0 { &open } else { &ended };
        (id(number), encode(&job()), encode(progress))
    };
    (0..jobs).map(row).collect()
}

/// Returns the time of each phase and the number of orders in the first plan.
fn take_over(rows: &[(Id, Vec<u8>, Vec<u8>)], minions: usize) -> ([Duration; 3], usize) {
    let began = Instant::now();
    let mut cell = Cell::new(Settings::default(), 1, Some(NOW + Duration::from_secs(6)));
    cell.configure([("queue".into(), Queue::default())], 1);
    for (id, job, progress) in rows {
        let job: Accepted = decode(job).expect("just encoded");
        let progress: Progress = decode(progress).expect("just encoded");
        cell.add_job(*id, job, Some(&progress), true, Duration::ZERO, NOW);
    }
    let loaded = began.elapsed();
    for number in 0..minions {
        let minion: MinionId = format!("minion-{number}").into();
        let capacity = Resources { cpu: 16_000, memory_mb: 32_768, gpu: 0 };
        cell.inherit_minion(&minion);
        cell.update_listing(&minion, Listing { capacity, ..Listing::default() });
        let task = TaskName { job: id(10 * number as u32), occurrence: 0, step: 0, index: 3 };
        let running = vec![Running { task, run: 1, checkpoint: None, percent: 50, load: None }];
        cell.process_report(
            &minion,
            &Report { running, finished: Vec::new(), ..Report::default() },
            NOW,
            NOW,
        );
    }
    let reported = began.elapsed();
    let orders = black_box(cell.plan(NOW, NOW.0, Permit::All)).len();
    let planned = began.elapsed();
    ([loaded, reported - loaded, planned - reported], orders)
}

fn main() {
    println!("processor time of a new owner; median and slowest of {RUNS} runs");
    for (jobs, minions) in SIZES {
        let rows = rows(jobs);
        let bytes: usize = rows.iter().map(|(_, job, progress)| job.len() + progress.len()).sum();
        let reads = PARTITIONS * (jobs as usize).div_ceil(PAGE_ROWS * PARTITIONS)
            + (jobs as usize).div_ceil(PAGE_ROWS);
        let mut runs: Vec<_> = (0..RUNS).map(|_| take_over(&rows, minions)).collect();
        runs.sort_by_key(|(times, _)| times.iter().sum::<Duration>());
        let (median, orders) = runs[RUNS / 2];
        let slowest: Duration = runs[RUNS - 1].0.iter().sum();
        println!(
            "{jobs} jobs, {minions} minions: rows {:.1?}, reports {:.1?}, plan of {orders} starts \
             {:.1?}; slowest in all {slowest:.1?}; {} KB in {reads} reads",
            median[0],
            median[1],
            median[2],
            bytes / 1024
        );
    }
}
