//! Crowds of all kinds that overlap with signals, restarts and faults of the store, by seeds.

use crate::bodies;
use crate::client::{self, Crowd};
use crate::deployment::{Deployment, Entry, Machine};
use crate::requests::scheduled_job;
use celerythread_standin::site::store::FaultMode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use strum::VariantArray;

/// Environment variable with the seeds to run, such as `1..50` or `7`.
const SEEDS_VARIABLE: &str = "CELERYTHREAD_CROWD_SEEDS";

/// Time in which events begin.
const DURATION: Duration = Duration::from_secs(20);

/// Longest time between two events.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// Longest time for which an entry is frozen or the store fails.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(2000);

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, VariantArray)]
enum Kind {
    Idle,
    IdleAtReadiness,
    UnfinishedHeads,
    UnfinishedBodies,
    BodiesInPieces,
    ChunkedBodies,
    SmallChunks,
    LongSpecs,
    EmptySteps,
    LargeJobs,
    Questions,
}

impl Kind {
    /// Where its clients connect to.
    fn address(self, entry: &Entry) -> SocketAddr {
        if self == Kind::IdleAtReadiness { entry.readiness } else { entry.callers }
    }

    /// What a client sends.
    fn message(self, number: usize) -> Vec<u8> {
        let id = format!("{number:016x}");
        match self {
            Kind::Idle | Kind::IdleAtReadiness => Vec::new(),
            Kind::UnfinishedHeads => b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nA: b".to_vec(),
            Kind::UnfinishedBodies | Kind::BodiesInPieces => bodies::with_declared_length(number),
            Kind::ChunkedBodies => bodies::chunked(number, 60_000),
            Kind::SmallChunks => bodies::chunked(number, 64),
            Kind::LongSpecs => {
                let body =
                    format!(r#"{{"steps":[{{"count":1}}],"spec":"{}"}}"#, "x".repeat(200_000));
                client::submission(&id, body.as_bytes())
            }
            Kind::EmptySteps => {
                let body = format!(r#"{{"steps":[{}]}}"#, vec!["{}"; 80_000].join(","));
                client::submission(&id, body.as_bytes())
            }
            Kind::LargeJobs => client::submission(&id, &scheduled_job(2500, "")),
            Kind::Questions => {
                format!("GET /q/{id} HTTP/1.1\r\nHost: jobs.example\r\n\r\n").into_bytes()
            }
        }
    }

    /// Bytes that each client sends in turn.
    fn piece(self) -> usize {
        if self == Kind::BodiesInPieces { 2048 } else { usize::MAX / 2 }
    }
}

/// A run with one seed.
struct Soak {
    rng: StdRng,
    deployment: Deployment,
    crowds: Vec<JoinHandle<()>>,
    clients: usize,
    is_over: Arc<AtomicBool>,
}

impl Soak {
    /// Lets clients connect to an entry, which keep their connections until the process is gone.
    fn open_crowd(&mut self) {
        let kind = Kind::VARIANTS[self.rng.random_range(0..Kind::VARIANTS.len())];
        let entry = self.rng.random_range(0..self.deployment.entries.len());
        let count = self.rng.random_range(20..100);
        let address = kind.address(&self.deployment.entries[entry]);
        let messages: Vec<Vec<u8>> =
            (0..count).map(|number| kind.message(self.clients + number)).collect();
        self.clients += count;
        println!("{count} clients with {kind:?} at entry {entry}");
        let is_over = self.is_over.clone();
        self.crowds.push(thread::spawn(move || {
            let mut crowd = Crowd::connect(address, messages.into_iter());
            crowd.hold(kind.piece(), || is_over.load(Ordering::SeqCst));
        }));
    }

    /// Ends an entry, gracefully or not, and starts it again.
    fn restart_entry(&mut self) {
        let entry = self.rng.random_range(0..self.deployment.entries.len());
        let is_graceful = self.rng.random_bool(0.5);
        println!("entry {entry} restarts, graceful: {is_graceful}");
        self.deployment.check_machine(entry);
        self.deployment.restart(entry, is_graceful);
    }

    fn freeze_entry(&mut self) {
        let entry = self.rng.random_range(0..self.deployment.entries.len());
        let duration = MAX_FAULT_DURATION.mul_f64(self.rng.random());
        println!("entry {entry} is frozen for {duration:?}");
        let process = &self.deployment.entries[entry].process;
        process.signal("-STOP");
        thread::sleep(duration);
        process.signal("-CONT");
    }

    fn disturb_store(&mut self) {
        let modes =
            [FaultMode::Refuses, FaultMode::Silent, FaultMode::LosesAnswers, FaultMode::Slow];
        let mode = modes[self.rng.random_range(0..modes.len())];
        let duration = MAX_FAULT_DURATION.mul_f64(self.rng.random());
        println!("the store for {duration:?}: {mode:?}");
        self.deployment.site.store.set_fault_mode(mode);
        // Crowds and restarts overlap with it.
        for _ in 0..2 {
            self.open_crowd();
            thread::sleep(duration / 2);
        }
        self.deployment.site.store.set_fault_mode(FaultMode::None);
    }

    fn run(mut self) {
        let began = Instant::now();
        while began.elapsed() < DURATION {
            match self.rng.random_range(0..10) {
                0..5 => self.open_crowd(),
                5..7 => self.restart_entry(),
                7 => self.freeze_entry(),
                8 => {
                    let entry = self.rng.random_range(0..self.deployment.entries.len());
                    self.deployment.entries[entry].process.signal("-HUP");
                }
                _ => self.disturb_store(),
            }
            thread::sleep(MAX_PAUSE.mul_f64(self.rng.random()));
        }
        self.deployment.check_ordinary_request();
        self.deployment.check_machines();
        self.is_over.store(true, Ordering::SeqCst);
        self.crowds.into_iter().for_each(|crowd| crowd.join().unwrap());
        self.deployment.check_ordinary_request();
        self.deployment.check_machines();
    }
}

/// The seeds to run, and the number of entries: without seeds in the environment one, with few
/// processes.
fn runs() -> Vec<(u64, usize)> {
    let Ok(seeds) = std::env::var(SEEDS_VARIABLE) else { return vec![(1, 3)] };
    let (first, last) = seeds.split_once("..").unwrap_or((&seeds, &seeds));
    let seeds = first.parse().unwrap()..=last.parse().unwrap();
    seeds.map(|seed: u64| (seed, 3 + (seed % 6) as usize)).collect()
}

/// Guards against limits that hold against each crowd alone and not while entries end, freeze and
/// take cells over.
#[test]
fn crowds_overlap_with_faults() {
    for (seed, entries) in runs() {
        println!("seed {seed}, {entries} entries");
        let deployment = Deployment::start(entries, Machine::default());
        let rng = StdRng::seed_from_u64(seed);
        Soak { rng, deployment, crowds: Vec::new(), clients: 0, is_over: Arc::default() }.run();
    }
}
