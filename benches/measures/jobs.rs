//! Urgent and patient jobs on shared workers: start delays, idle cores and patient work done.

use crate::{SEEDS, format_mean, id};
use celerythread_model::id;
use celerythread_model::job::Size;
use celerythread_model::request::Class;
use celerythread_model::unit::{Accelerators, Bytes, Millicores};
use celerythread_policy::placement::{CandidateWorker, Need, PatientTask, Placement, place};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Simulated seconds, and the interval between two placement rounds in tenths of a second.
const JOBS_SECONDS: u64 = 900;
const ROUND_TENTHS: u64 = 5;

#[derive(Clone, Copy)]
enum JobPolicy {
    /// Patient work may use all capacity and is preempted by urgent work.
    Chosen,
    /// A fifth of each worker is reserved for urgent work.
    StaticHeadroom,
    /// No capacity is reserved and nothing is preempted.
    None,
}

#[derive(Clone)]
struct Job {
    name: id::Job,
    class: Class,
    size: Size,
    /// Remaining work and arrival time, in tenths of a second.
    remaining: u64,
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
        remaining: seconds * 10,
        arrived: now,
    }
}

/// Urgent work for a fifth of the fleet's cores on average, in bursts; unlimited patient work.
fn run_jobs(workers: usize, policy: JobPolicy, seed: u64) -> JobResult {
    let mut random = StdRng::seed_from_u64(seed);
    let total = size(16_000, 64);
    let mut rooms: Vec<CandidateWorker> = (0..workers)
        .map(|n| CandidateWorker {
            worker: id(format!("w{n}")),
            zone: id(format!("z{}", n % 7)),
            rack: id(format!("r{}", n / 4)),
            total,
            free: total,
            ejected: false,
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
        // One minute in five is a burst at 2.5 times the mean rate.
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

fn end_jobs(
    running: &mut Vec<(usize, Job)>,
    rooms: &mut [CandidateWorker],
    result: &mut JobResult,
) {
    running.retain_mut(|(worker, job)| {
        let worked = job.remaining.min(ROUND_TENTHS);
        job.remaining -= worked;
        if job.class == Class::Patient {
            result.patient_hours += f64::from(job.size.cpu.0) * worked as f64 / 36_000_000.0;
        }
        if job.remaining == 0 {
            rooms[*worker].free += job.size;
            rooms[*worker].patient.retain(|p| p.job != job.name);
        }
        job.remaining > 0
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
    rooms: &mut [CandidateWorker],
    starts: &mut Vec<f64>,
) {
    let mut waiting = VecDeque::new();
    while let Some(job) = urgent.pop_front() {
        let class = match policy {
            JobPolicy::Chosen => Class::Urgent,
            // Placed as patient, urgent work preempts nothing and uses only free capacity.
            _ => Class::Patient,
        };
        let need = Need { size: job.size, class, avoid: None };
        let worker = match place(&need, rooms, None) {
            Placement::Start(worker) => worker_index(&worker),
            Placement::Preempt(worker, preempted) => {
                let index = worker_index(&worker);
                for name in preempted {
                    preempt(&name, index, patient, running, rooms);
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

/// Preempts a job: it is requeued first and resumes with its remaining work.
fn preempt(
    name: &id::Job,
    worker: usize,
    patient: &mut VecDeque<Job>,
    running: &mut Vec<(usize, Job)>,
    rooms: &mut [CandidateWorker],
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
    rooms: &mut [CandidateWorker],
) {
    let reserved = match policy {
        JobPolicy::StaticHeadroom => size(3200, 0),
        _ => Size::default(),
    };
    let mut misses = 0;
    let mut waiting = VecDeque::new();
    while let Some(job) = patient.pop_front() {
        // After eight jobs without a place, the rest is assumed not to fit either.
        if misses >= 8 {
            waiting.push_back(job);
            continue;
        }
        let need = Need { size: job.size + reserved, class: Class::Patient, avoid: None };
        match place(&need, rooms, None) {
            Placement::Start(worker) => {
                let index = worker_index(&worker);
                rooms[index].free -= job.size;
                let entry = PatientTask { job: job.name.clone(), size: job.size };
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

pub(crate) fn print() {
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
            ("static fifth reserved", JobPolicy::StaticHeadroom),
            ("nothing reserved", JobPolicy::None),
        ] {
            let runs: Vec<JobResult> =
                seeds.clone().map(|seed| run_jobs(workers, policy, seed)).collect();
            let column =
                |f: fn(&JobResult) -> f64| format_mean(&runs.iter().map(f).collect::<Vec<_>>());
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
