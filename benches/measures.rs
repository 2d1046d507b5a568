//! The brief's three measures, buffer cost, roll-out time and moves, for the chosen policy and
//! two baselines each, over ten seeds: `cargo bench --bench measures`.
//!
//! Plain loops over the pure decisions on simulated time.  Three parts: waves, moves, jobs.

use celerythread_model::config::Ratio;
use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use celerythread_model::unit::{Accelerators, Bytes, Millicores};
use celerythread_policy::availability::Standing;
use celerythread_policy::placement::{Need, Patient, Placement, Room, place};
use celerythread_policy::sizing::{Pool, Settings, Sizer};
use celerythread_policy::time::Moment;
use celerythread_policy::wave::{self, Target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

const SEEDS: std::ops::Range<u64> = 1..11;

fn id<T: std::str::FromStr>(text: String) -> T {
    text.parse().ok().expect("a valid id")
}

/// Mean and standard deviation.
fn spread(values: &[f64]) -> String {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / n;
    format!("{mean:8.1} ±{:6.1}", variance.sqrt())
}

// ------------------------------------------------------------------------------- waves

/// Seconds of a step, of a drain with its reboot, of a failed rack's repair, and of the longest
/// wave that is watched.
const STEP: u64 = 10;
const AWAY: u64 = 130;
const REPAIR: u64 = 1200;
const LONGEST: u64 = 24 * 3600;

struct Deployment {
    name: &'static str,
    pools: Vec<(u32, u32)>,
    zones: usize,
}

fn deployments() -> Vec<Deployment> {
    let brief = vec![(9, 7), (9, 7), (11, 9), (12, 10), (8, 6)];
    // 31 pools of 42 minions, six of which may be spared.
    let target = vec![(42, 36); 31];
    vec![
        Deployment { name: "Visita Clara", pools: brief.clone(), zones: 3 },
        Deployment { name: "Hodnota Zasob", pools: brief, zones: 3 },
        Deployment { name: "the letter's size", pools: target, zones: 7 },
    ]
}

struct Machine {
    target: Target,
    pool: usize,
    rack: usize,
    back_at: Option<u64>,
    failed_until: u64,
}

fn machines(deployment: &Deployment) -> Vec<Machine> {
    let mut by_zone: Vec<Vec<usize>> = vec![Vec::new(); deployment.zones];
    for (pool, (count, _)) in deployment.pools.iter().enumerate() {
        for n in 0..*count {
            by_zone[(n as usize + pool) % deployment.zones].push(pool);
        }
    }
    let mut all = Vec::new();
    for (zone, pools) in by_zone.iter().enumerate() {
        for (n, pool) in pools.iter().enumerate() {
            // Four to a rack, of whatever services stand next to each other.
            let rack = zone * 1000 + n / 4;
            all.push(Machine {
                target: Target {
                    minion: id(format!("m{zone}-{n:04}")),
                    service: id(format!("s{pool}")),
                    zone: id(format!("z{zone}")),
                    rack: id(format!("r{rack}")),
                },
                pool: *pool,
                rack,
                back_at: None,
                failed_until: 0,
            });
        }
    }
    all
}

#[derive(Clone, Copy)]
enum WavePolicy {
    Chosen(f64),
    /// A fixed tenth of each service at once, whatever fails.
    StaticHeadroom,
    /// One whole rack after the other, whatever its services can spare.
    RackByRack,
}

#[derive(Default)]
struct WaveResult {
    minutes: f64,
    /// Service-minutes below the floor.
    breach: f64,
    /// Share of the capacity above the floors that stood idle, on average over the wave.
    idle: f64,
}

fn standings(
    deployment: &Deployment,
    all: &[Machine],
    now: u64,
) -> BTreeMap<id::Service, Standing> {
    let mut standings: Vec<Standing> = deployment
        .pools
        .iter()
        .map(|(_, floor)| Standing { floor: *floor, ..Standing::default() })
        .collect();
    for machine in all {
        let standing = &mut standings[machine.pool];
        if machine.back_at.is_some() {
            standing.out += 1;
        } else if machine.failed_until > now {
            standing.failed += 1;
        } else {
            standing.serving += 1;
            *standing.by_rack.entry(machine.target.rack.clone()).or_default() += 1;
        }
    }
    standings.into_iter().enumerate().map(|(n, s)| (id(format!("s{n}")), s)).collect()
}

fn run_wave(deployment: &Deployment, policy: WavePolicy, seed: u64) -> WaveResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut all = machines(deployment);
    let mut remaining: Vec<usize> = (0..all.len()).collect();
    // A rack is lost within the wave, and single machines at twenty a day for 1,300.
    let rack_fails_at = random.random_range(60..900) / STEP * STEP;
    let lost_rack = all[random.random_range(0..all.len())].rack;
    let each_fails = 20.0 / 1300.0 * STEP as f64 / 86_400.0;
    let mut result = WaveResult::default();
    let mut now = 0;
    let mut idle_steps = 0.0;
    while now < LONGEST {
        for machine in &mut all {
            if machine.back_at.is_some_and(|at| at <= now) {
                machine.back_at = None;
            }
            let rack_lost = now == rack_fails_at && machine.rack == lost_rack;
            if rack_lost || random.random_bool(each_fails) {
                machine.failed_until = now + REPAIR;
            }
        }
        let before = standings(deployment, &all, now);
        let chosen = choose(deployment, policy, &all, &remaining, &before, now);
        for n in &chosen {
            all[*n].back_at = Some(now + AWAY);
        }
        remaining.retain(|n| !chosen.contains(n));
        let after = standings(deployment, &all, now);
        let total: u32 = deployment.pools.iter().map(|(count, _)| count).sum();
        for standing in after.values() {
            if standing.serving < standing.floor {
                result.breach += STEP as f64 / 60.0;
            }
            idle_steps += f64::from(standing.spare()) / f64::from(total);
        }
        now += STEP;
        if remaining.is_empty() && all.iter().all(|machine| machine.back_at.is_none()) {
            break;
        }
    }
    result.minutes = now as f64 / 60.0;
    result.idle = idle_steps * 100.0 / (now / STEP) as f64;
    result
}

fn choose(
    deployment: &Deployment,
    policy: WavePolicy,
    all: &[Machine],
    remaining: &[usize],
    standings: &BTreeMap<id::Service, Standing>,
    now: u64,
) -> Vec<usize> {
    let here = |n: &&usize| all[**n].back_at.is_none() && all[**n].failed_until <= now;
    match policy {
        WavePolicy::Chosen(weight) => {
            let targets: Vec<Target> =
                remaining.iter().filter(here).map(|n| all[*n].target.clone()).collect();
            let out = all.iter().filter(|machine| machine.back_at.is_some());
            let begun: Vec<id::Rack> = out.map(|machine| machine.target.rack.clone()).collect();
            let next = wave::next(&targets, standings, Ratio(weight), &begun);
            let find = |name: &id::Minion| all.iter().position(|m| m.target.minion == *name);
            next.iter().filter_map(find).collect()
        }
        WavePolicy::StaticHeadroom => {
            let mut room: Vec<i64> =
                deployment.pools.iter().map(|(count, _)| i64::from((count / 10).max(1))).collect();
            for machine in all.iter().filter(|machine| machine.back_at.is_some()) {
                room[machine.pool] -= 1;
            }
            let mut chosen = Vec::new();
            for n in remaining.iter().filter(here) {
                if room[all[*n].pool] > 0 {
                    room[all[*n].pool] -= 1;
                    chosen.push(*n);
                }
            }
            chosen
        }
        WavePolicy::RackByRack => {
            if all.iter().any(|machine| machine.back_at.is_some()) {
                return Vec::new();
            }
            let Some(first) = remaining.iter().find(here) else { return Vec::new() };
            let rack = all[*first].rack;
            remaining.iter().filter(here).copied().filter(|n| all[*n].rack == rack).collect()
        }
    }
}

fn waves() {
    println!("WAVES: everything maintained once; {AWAY} s a machine, a rack lost within the wave");
    println!(
        "{:20} {:28} {:>18} {:>22} {:>22}",
        "", "policy", "roll-out minutes", "below floor, minutes", "idle above floors, %"
    );
    for deployment in deployments() {
        for (name, policy) in [
            ("chosen, weight 1", WavePolicy::Chosen(1.0)),
            ("chosen, weight 0.5", WavePolicy::Chosen(0.5)),
            ("chosen, weight 0", WavePolicy::Chosen(0.0)),
            ("static headroom of a tenth", WavePolicy::StaticHeadroom),
            ("one rack at a time", WavePolicy::RackByRack),
        ] {
            let runs: Vec<WaveResult> =
                SEEDS.map(|seed| run_wave(&deployment, policy, seed)).collect();
            let column =
                |f: fn(&WaveResult) -> f64| spread(&runs.iter().map(f).collect::<Vec<f64>>());
            println!(
                "{:20} {name:28} {:>18} {:>22} {:>22}",
                deployment.name,
                column(|r| r.minutes),
                column(|r| r.breach),
                column(|r| r.idle)
            );
        }
    }
}

// ------------------------------------------------------------------------------- moves

/// Minutes of a week, of a move, and between two looks of the baseline that follows demand.
const WEEK: u64 = 7 * 24 * 60;
const MOVE: u64 = 3;
const FOLLOW: u64 = 15;

#[derive(Clone, Copy)]
enum MovePolicy {
    Chosen,
    /// Sizes follow demand every quarter of an hour.
    Follow,
    Never,
}

/// Demand of a pool in minions: a day's wave with its own peak, a step change in the middle of
/// the week for the first pool, and noise.
fn demand(pool: usize, size: f64, minute: u64, random: &mut StdRng) -> f64 {
    let day = minute as f64 / (24.0 * 60.0);
    let phase = pool as f64 / 5.0;
    let wave = 0.55 + 0.2 * (std::f64::consts::TAU * (day + phase)).sin();
    let step = if pool == 0 && day > 3.5 { 0.35 } else { 0.0 };
    (size * (wave + step) + random.random_range(-0.4..0.4)).max(0.0)
}

/// Moves and minion-hours short, in a week.
fn run_moves(sizes: &[u32], policy: MovePolicy, seed: u64) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut serving: Vec<u32> = sizes.to_vec();
    let mut travelling: VecDeque<(u64, usize)> = VecDeque::new();
    let mut smoothed: Vec<f64> = vec![0.5; sizes.len()];
    let mut sizer = Sizer::default();
    let (mut moves, mut short) = (0.0, 0.0);
    for minute in 0..WEEK {
        while travelling.front().is_some_and(|(at, _)| *at <= minute) {
            if let Some((_, pool)) = travelling.pop_front() {
                serving[pool] += 1;
            }
        }
        let needs: Vec<f64> = sizes
            .iter()
            .enumerate()
            .map(|(pool, size)| demand(pool, f64::from(*size), minute, &mut random))
            .collect();
        for pool in 0..sizes.len() {
            short += (needs[pool] - f64::from(serving[pool])).max(0.0) / 60.0;
            let used = needs[pool] / f64::from(serving[pool].max(1));
            smoothed[pool] += 0.1 * (used - smoothed[pool]);
        }
        for (from, to) in decide(policy, sizes, &serving, &needs, &smoothed, &mut sizer, minute) {
            serving[from] -= 1;
            travelling.push_back((minute + MOVE, to));
            moves += 1.0;
        }
    }
    (moves, short)
}

fn decide(
    policy: MovePolicy,
    sizes: &[u32],
    serving: &[u32],
    needs: &[f64],
    smoothed: &[f64],
    sizer: &mut Sizer,
    minute: u64,
) -> Vec<(usize, usize)> {
    match policy {
        MovePolicy::Never => Vec::new(),
        MovePolicy::Chosen => {
            let pools: Vec<Pool> = (0..sizes.len())
                .map(|n| Pool {
                    service: id(format!("s{n}")),
                    serving: serving[n],
                    wanted: sizes[n],
                    floor: sizes[n] - 2,
                    utilisation: smoothed[n],
                    lends: true,
                })
                .collect();
            let decided = sizer.decide(&pools, Moment(minute * 60_000), Settings::default());
            let find = |service: &id::Service| pools.iter().position(|p| p.service == *service);
            let pair = decided.and_then(|m| Some((find(&m.from)?, find(&m.to)?)));
            pair.into_iter().collect()
        }
        MovePolicy::Follow => {
            if !minute.is_multiple_of(FOLLOW) {
                return Vec::new();
            }
            let total: u32 = serving.iter().sum();
            let all: f64 = needs.iter().sum();
            let wanted: Vec<u32> =
                needs.iter().map(|need| (need / all * f64::from(total)) as u32).collect();
            let mut over: VecDeque<usize> = VecDeque::new();
            let mut under: VecDeque<usize> = VecDeque::new();
            for pool in 0..sizes.len() {
                let (has, wants) = (serving[pool], wanted[pool]);
                (wants..has).for_each(|_| over.push_back(pool));
                (has..wants).for_each(|_| under.push_back(pool));
            }
            over.into_iter().zip(under).collect()
        }
    }
}

fn moves() {
    println!("\nMOVES: a week of demand that goes up and down, and once for good");
    println!("{:28} {:>18} {:>24}", "policy", "moves a week", "minion-hours short");
    for (name, policy) in [
        ("chosen", MovePolicy::Chosen),
        ("sizes follow demand", MovePolicy::Follow),
        ("never", MovePolicy::Never),
    ] {
        let runs: Vec<(f64, f64)> =
            SEEDS.map(|seed| run_moves(&[9, 9, 11, 12, 8], policy, seed)).collect();
        let column = |f: fn(&(f64, f64)) -> f64| spread(&runs.iter().map(f).collect::<Vec<_>>());
        println!("{name:28} {:>18} {:>24}", column(|r| r.0), column(|r| r.1));
    }
}

// -------------------------------------------------------------------------------- jobs

/// Seconds simulated, and between two rounds of the placer in tenths.
const JOBS_SECONDS: u64 = 900;
const ROUND_TENTHS: u64 = 5;

#[derive(Clone, Copy)]
enum JobPolicy {
    /// Patient work fills everything and is put aside for urgent work.
    Chosen,
    /// A fifth of each worker is kept free of patient work.
    StaticHeadroom,
    /// Nothing is kept and nothing put aside.
    None,
}

#[derive(Clone)]
struct Job {
    name: id::Job,
    class: Class,
    size: Size,
    /// Tenths of seconds of work left, and when it arrived.
    left: u64,
    arrived: u64,
}

#[derive(Default)]
struct JobResult {
    idle: f64,
    start_p50: f64,
    start_p99: f64,
    start_max: f64,
    unstarted: f64,
    patient_hours: f64,
}

fn size(cpu: u32, gib: u64) -> Size {
    Size { cpu: Millicores(cpu), memory: Bytes::mebi(gib * 1024), accelerators: Accelerators(0) }
}

fn new_job(number: u64, class: Class, now: u64, random: &mut StdRng) -> Job {
    let seconds = match class {
        Class::Urgent => random.random_range(10..50),
        Class::Patient => random.random_range(120..1200),
    };
    let cpu = random.random_range(1..=4) * 1000;
    Job {
        name: id(format!("j{number}")),
        class,
        size: size(cpu, u64::from(cpu) / 500),
        left: seconds * 10,
        arrived: now,
    }
}

/// Urgent work for a fifth of the fleet's cores on average, in bursts; patient work without end.
fn run_jobs(workers: usize, policy: JobPolicy, seed: u64) -> JobResult {
    let mut random = StdRng::seed_from_u64(seed);
    let total = size(16_000, 64);
    let mut rooms: Vec<Room> = (0..workers)
        .map(|n| Room {
            worker: id(format!("w{n}")),
            zone: id(format!("z{}", n % 7)),
            rack: id(format!("r{}", n / 4)),
            total,
            free: total,
            resting: false,
            patient: Default::default(),
        })
        .collect();
    let per_second = workers as f64 * 16.0 * 0.2 / (2.5 * 30.0);
    let mut running: Vec<(usize, Job)> = Vec::new();
    let mut urgent: VecDeque<Job> = VecDeque::new();
    let mut patient: VecDeque<Job> = VecDeque::new();
    let mut starts: Vec<f64> = Vec::new();
    let mut result = JobResult::default();
    let mut number = 0;
    let mut idle = 0.0;
    let mut rounds = 0.0;
    for now in (0..JOBS_SECONDS * 10).step_by(ROUND_TENTHS as usize) {
        // A burst of three times the rate for one minute in five.
        let rate = if (now / 600) % 5 == 4 { per_second * 2.5 } else { per_second * 0.625 };
        let expected = rate * ROUND_TENTHS as f64 / 10.0;
        let count = expected as u64 + u64::from(random.random_bool(expected.fract()));
        for _ in 0..count {
            number += 1;
            urgent.push_back(new_job(number, Class::Urgent, now, &mut random));
        }
        while patient.len() < workers {
            number += 1;
            patient.push_back(new_job(number, Class::Patient, now, &mut random));
        }
        end_jobs(&mut running, &mut rooms, &mut result);
        place_urgent(policy, now, &mut urgent, &mut patient, &mut running, &mut rooms, &mut starts);
        place_patient(policy, &mut patient, &mut running, &mut rooms);
        let free: u32 = rooms.iter().map(|room| room.free.cpu.0).sum();
        idle += f64::from(free) / (workers as f64 * 16_000.0);
        rounds += 1.0;
    }
    starts.sort_by(f64::total_cmp);
    let at = |q: f64| starts[((starts.len() - 1) as f64 * q) as usize];
    result.idle = idle * 100.0 / rounds;
    (result.start_p50, result.start_p99, result.start_max) = (at(0.5), at(0.99), at(1.0));
    let late = |job: &&Job| JOBS_SECONDS * 10 - job.arrived > 52;
    result.unstarted = urgent.iter().filter(late).count() as f64;
    result
}

fn end_jobs(running: &mut Vec<(usize, Job)>, rooms: &mut [Room], result: &mut JobResult) {
    running.retain_mut(|(worker, job)| {
        let worked = job.left.min(ROUND_TENTHS);
        job.left -= worked;
        if job.class == Class::Patient {
            result.patient_hours += f64::from(job.size.cpu.0) * worked as f64 / 36_000_000.0;
        }
        if job.left == 0 {
            rooms[*worker].free += job.size;
            rooms[*worker].patient.retain(|p| p.job != job.name);
        }
        job.left > 0
    });
}

fn worker_index(worker: &id::Worker) -> usize {
    worker.as_str()[1..].parse().expect("a number")
}

fn place_urgent(
    policy: JobPolicy,
    now: u64,
    urgent: &mut VecDeque<Job>,
    patient: &mut VecDeque<Job>,
    running: &mut Vec<(usize, Job)>,
    rooms: &mut [Room],
    starts: &mut Vec<f64>,
) {
    let mut waiting = VecDeque::new();
    while let Some(job) = urgent.pop_front() {
        let class = match policy {
            JobPolicy::Chosen => Class::Urgent,
            // Without putting aside, urgent work only finds what is free.
            _ => Class::Patient,
        };
        let need = Need { size: job.size, class, avoid: None };
        let worker = match place(&need, rooms, None) {
            Placement::Start(worker) => worker_index(&worker),
            Placement::PutAside(worker, aside) => {
                let index = worker_index(&worker);
                for name in aside {
                    put_aside(&name, index, patient, running, rooms);
                }
                index
            }
            _ => {
                waiting.push_back(job);
                continue;
            }
        };
        rooms[worker].free -= job.size;
        starts.push((now - job.arrived) as f64 / 10.0);
        running.push((worker, job));
    }
    *urgent = waiting;
}

/// A job that is put aside goes on later with what was left.
fn put_aside(
    name: &id::Job,
    worker: usize,
    patient: &mut VecDeque<Job>,
    running: &mut Vec<(usize, Job)>,
    rooms: &mut [Room],
) {
    if let Some(at) = running.iter().position(|(_, job)| job.name == *name) {
        let (_, job) = running.swap_remove(at);
        rooms[worker].free += job.size;
        rooms[worker].patient.retain(|p| p.job != *name);
        patient.push_front(job);
    }
}

fn place_patient(
    policy: JobPolicy,
    patient: &mut VecDeque<Job>,
    running: &mut Vec<(usize, Job)>,
    rooms: &mut [Room],
) {
    let kept = match policy {
        JobPolicy::StaticHeadroom => size(3200, 0),
        _ => Size::default(),
    };
    let mut misses = 0;
    let mut waiting = VecDeque::new();
    while let Some(job) = patient.pop_front() {
        // What several could not get, the next will not get either.
        if misses >= 8 {
            waiting.push_back(job);
            continue;
        }
        let need = Need { size: job.size + kept, class: Class::Patient, avoid: None };
        match place(&need, rooms, None) {
            Placement::Start(worker) => {
                let index = worker_index(&worker);
                rooms[index].free -= job.size;
                let entry = Patient { job: job.name.clone(), size: job.size };
                rooms[index].patient.insert(0, entry);
                running.push((index, job));
            }
            _ => {
                misses += 1;
                waiting.push_back(job);
            }
        }
    }
    *patient = waiting;
}

fn jobs() {
    println!("\nJOBS: urgent work for a fifth of the cores in bursts, patient work without end");
    println!(
        "{:8} {:22} {:>18} {:>18} {:>18} {:>18} {:>14} {:>22}",
        "workers",
        "policy",
        "idle cores, %",
        "start p50, s",
        "start p99, s",
        "start max, s",
        "late, waiting",
        "patient core-hours"
    );
    for (workers, seeds) in [(50, SEEDS), (1300, 1..3)] {
        for (name, policy) in [
            ("chosen", JobPolicy::Chosen),
            ("static fifth kept", JobPolicy::StaticHeadroom),
            ("nothing kept", JobPolicy::None),
        ] {
            let runs: Vec<JobResult> =
                seeds.clone().map(|seed| run_jobs(workers, policy, seed)).collect();
            let column = |f: fn(&JobResult) -> f64| spread(&runs.iter().map(f).collect::<Vec<_>>());
            println!(
                "{workers:<8} {name:22} {:>18} {:>18} {:>18} {:>18} {:>14} {:>22}",
                column(|r| r.idle),
                column(|r| r.start_p50),
                column(|r| r.start_p99),
                column(|r| r.start_max),
                column(|r| r.unstarted),
                column(|r| r.patient_hours)
            );
        }
    }
}

fn main() {
    println!("ten seeds, 1 to 10 (jobs at 1,300 workers: two); mean ± standard deviation");
    waves();
    moves();
    jobs();
}
