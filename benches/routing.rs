//! Compares the chosen routing with two simple baselines on the same arrivals:
//! `cargo bench --bench routing`.
//!
//! Simulates nine entries and nine minions of eight slots with the policy crate's decisions.
//! Service times are 40 ms on average with a long tail, and a third of the requests is patient.
//! Deadlines are 2 s for urgent and 20 s for patient requests.

use celerythread_model::config::Ratio;
use celerythread_model::id;
use celerythread_model::request::Class;
use celerythread_model::unit::{Epoch, Slots};
use celerythread_policy::queue::{Bounds, Queue, QueuedRequest};
use celerythread_policy::slots::{DispatchResult, Grant, Holder, Ledger, Spec};
use celerythread_policy::time::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const ENTRIES: usize = 9;
const MINIONS: usize = 9;
const SLOTS: usize = 8;
const MEAN_MS: f64 = 40.0;
const PATIENT_SHARE: f64 = 0.33;
const SECONDS: u64 = 30;
/// One entry of nine gets three times its share, since a load balancer is never perfectly even.
const SKEW: f64 = 3.0;
/// Round trip to a peer, in milliseconds.
const PEER_MS: u64 = 1;

#[derive(Clone, Copy)]
struct Request {
    arrives: u64,
    class: Class,
    service_ms: u64,
    entry: usize,
}

impl Request {
    fn deadline(&self) -> u64 {
        self.arrives + if self.class == Class::Urgent { 2000 } else { 20_000 }
    }
}

/// The same arrivals for every policy.
fn arrivals(load: f64, seed: u64) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let per_ms = load * (MINIONS * SLOTS) as f64 / MEAN_MS;
    let mut now = 0.0;
    let mut requests = Vec::new();
    while now < (SECONDS * 1000) as f64 {
        now += -random.random::<f64>().max(1e-12).ln() / per_ms;
        let tail = if random.random_bool(0.05) { 6.0 } else { 0.74 };
        let draw = -random.random::<f64>().max(1e-12).ln();
        let pick = random.random::<f64>() * (ENTRIES as f64 - 1.0 + SKEW);
        requests.push(Request {
            arrives: now as u64,
            class: if random.random_bool(PATIENT_SHARE) { Class::Patient } else { Class::Urgent },
            service_ms: (draw * MEAN_MS * tail).ceil() as u64,
            entry: (pick.max(SKEW) - SKEW).ceil() as usize % ENTRIES,
        });
    }
    requests
}

/// A simulated event.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    /// A request ends on a minion; `entry` is the one that dispatched it.
    End {
        request: usize,
        minion: usize,
        entry: usize,
        grant: u64,
    },
    /// Entries exchange their free slots and queue lengths.
    Heartbeat,
}

#[derive(Default)]
struct Outcome {
    in_time: [u64; 2],
    asked: [u64; 2],
    times: [Vec<u64>; 2],
    refused: u64,
    busy_ms: u64,
    max_on_minion: usize,
}

fn index(class: Class) -> usize {
    usize::from(class == Class::Patient)
}

impl Outcome {
    fn record(&mut self, request: &Request, at: u64) {
        if at <= request.deadline() {
            self.in_time[index(request.class)] += 1;
            self.times[index(request.class)].push(at - request.arrives);
        }
    }

    fn quantile(&mut self, class: usize, quantile: f64) -> u64 {
        let times = &mut self.times[class];
        times.sort_unstable();
        let at = ((times.len() as f64 - 1.0).max(0.0) * quantile) as usize;
        times.get(at).copied().unwrap_or(0)
    }

    fn print(&mut self, name: &str) {
        let goodput = |n: u64| n as f64 / SECONDS as f64;
        let slots = (MINIONS * SLOTS) as f64 * (SECONDS * 1000) as f64;
        println!(
            "  {name:26} urgent {:7.1}/s p50 {:5} p99 {:5} ms  patient {:7.1}/s p50 {:6} p99 {:6} ms  \
             slots {:5.1}%  most on a minion {:4}  refused {}",
            goodput(self.in_time[0]),
            self.quantile(0, 0.5),
            self.quantile(0, 0.99),
            goodput(self.in_time[1]),
            self.quantile(1, 0.5),
            self.quantile(1, 0.99),
            self.busy_ms as f64 * 100.0 / slots,
            self.max_on_minion,
            self.refused,
        );
    }
}

/// A routing policy, which reacts to events by sending requests to minions.
trait Policy {
    fn arrive(&mut self, now: u64, request: usize, simulation: &mut Simulation);
    fn end(&mut self, now: u64, event: Event, simulation: &mut Simulation);
    fn heartbeat(&mut self, _now: u64) {}
}

struct Simulation {
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Number of requests on each minion, and those waiting there for a slot in the order of arrival.
    on_minion: Vec<usize>,
    waiting_on_minion: Vec<VecDeque<(usize, usize, u64)>>,
    outcome: Outcome,
}

impl Simulation {
    /// Sends a request to a minion.  Without a free slot it waits there, whatever its class.
    fn send(&mut self, now: u64, request: usize, minion: usize, entry: usize, grant: u64) {
        self.on_minion[minion] += 1;
        self.outcome.max_on_minion = self.outcome.max_on_minion.max(self.on_minion[minion]);
        if self.on_minion[minion] > SLOTS {
            self.waiting_on_minion[minion].push_back((request, entry, grant));
        } else {
            self.start(now, request, minion, entry, grant);
        }
    }

    fn start(&mut self, now: u64, request: usize, minion: usize, entry: usize, grant: u64) {
        let ends = now + self.requests[request].service_ms;
        self.outcome.busy_ms += self.requests[request].service_ms;
        self.events.push(Reverse((ends, Event::End { request, minion, entry, grant })));
    }

    fn finish(&mut self, now: u64, request: usize, minion: usize) {
        let done = self.requests[request];
        self.outcome.record(&done, now);
        self.on_minion[minion] -= 1;
        if let Some((next, entry, grant)) = self.waiting_on_minion[minion].pop_front() {
            self.start(now, next, minion, entry, grant);
        }
    }
}

fn run(requests: &[Request], mut policy: impl Policy) -> Outcome {
    let mut simulation = Simulation {
        requests: requests.to_vec(),
        events: BinaryHeap::new(),
        on_minion: vec![0; MINIONS],
        waiting_on_minion: vec![VecDeque::new(); MINIONS],
        outcome: Outcome::default(),
    };
    for (number, request) in requests.iter().enumerate() {
        simulation.events.push(Reverse((request.arrives, Event::Arrive(number))));
        simulation.outcome.asked[index(request.class)] += 1;
    }
    for second in 0..SECONDS {
        simulation.events.push(Reverse((second * 1000, Event::Heartbeat)));
    }
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        if now > SECONDS * 1000 {
            break;
        }
        match event {
            Event::Arrive(request) => policy.arrive(now, request, &mut simulation),
            Event::End { request, minion, .. } => {
                simulation.finish(now, request, minion);
                policy.end(now, event, &mut simulation);
            }
            Event::Heartbeat => policy.heartbeat(now),
        }
    }
    simulation.outcome
}

/// The daemon's policy: each minion has one owner, queues order by urgency, and owners lend slots to
/// peers.
struct Chosen {
    ledgers: Vec<Ledger>,
    queues: Vec<Queue<usize>>,
    /// What each entry (first index) knows of each peer's free slots and waiting requests: those of
    /// the last heartbeat, adjusted by this entry's own requests to the peer since then.
    known_free: Vec<Vec<u32>>,
    known_waiting: Vec<Vec<u32>>,
    random: StdRng,
}

const BOUNDS: Bounds = Bounds { limit: 8 * SLOTS, patient_share: Ratio(0.125) };

fn service() -> id::Service {
    "s".parse().expect("a valid id")
}

impl Chosen {
    fn new() -> Self {
        let ledgers = (0..ENTRIES).map(|entry| {
            let mut ledger = Ledger::default();
            for minion in (0..MINIONS).filter(|minion| minion % ENTRIES == entry) {
                let spec = Spec {
                    service: service(),
                    slots: Slots(SLOTS as u32),
                    address: "127.0.0.1:1".parse().expect("an address"),
                    epoch: Epoch(1),
                    active: true,
                };
                ledger.upsert_minion(format!("m{minion}").parse().expect("a valid id"), spec, None);
            }
            ledger
        });
        Self {
            ledgers: ledgers.collect(),
            queues: (0..ENTRIES).map(|_| Queue::default()).collect(),
            known_free: vec![vec![SLOTS as u32; ENTRIES]; ENTRIES],
            known_waiting: vec![vec![0; ENTRIES]; ENTRIES],
            random: StdRng::seed_from_u64(7),
        }
    }

    /// Sends a request with a slot of `owner`, if `owner` has one free and an empty queue.
    fn try_send(
        &mut self,
        now: u64,
        request: usize,
        owner: usize,
        simulation: &mut Simulation,
        delay_ms: u64,
    ) -> bool {
        if !self.queues[owner].is_empty() {
            return false;
        }
        let granted = self.ledgers[owner].grant(&service(), Holder::Own, None, Moment(now));
        let Some(permit) = granted else { return false };
        let minion = minion_of(&permit.minion);
        simulation.send(now + delay_ms, request, minion, owner, permit.grant.0);
        true
    }

    /// Tries to borrow a slot from up to two peers that last reported free slots.
    fn borrow(
        &mut self,
        now: u64,
        request: usize,
        entry: usize,
        simulation: &mut Simulation,
    ) -> bool {
        let mut peers: Vec<usize> = (0..ENTRIES)
            .filter(|peer| *peer != entry && self.known_free[entry][*peer] > 0)
            .collect();
        peers.sort_by_key(|peer| Reverse(self.known_free[entry][*peer]));
        for peer in peers.into_iter().take(2) {
            if self.try_send(now, request, peer, simulation, PEER_MS) {
                self.known_free[entry][peer] -= 1;
                return true;
            }
            self.known_free[entry][peer] = 0;
        }
        false
    }

    /// Entry at which a request waits: this one, unless a peer's queue is at most half as long.
    fn shortest(&self, entry: usize) -> usize {
        let own = self.queues[entry].len() as u32;
        let peers = (0..ENTRIES).filter(|peer| *peer != entry);
        let best = peers.min_by_key(|peer| self.known_waiting[entry][*peer]).unwrap_or(entry);
        let far_shorter = (self.known_waiting[entry][best] + 1) * 2 <= own + 1;
        if far_shorter { best } else { entry }
    }

    fn serve_queue(&mut self, now: u64, owner: usize, simulation: &mut Simulation) {
        while !self.queues[owner].is_empty()
            && self.ledgers[owner].capacity(&service(), Moment(now)).free > 0
        {
            let share = BOUNDS.patient_share;
            let Some(request) = self.queues[owner].pop(Moment(now), share) else { return };
            if simulation.requests[request].deadline() <= now {
                simulation.outcome.refused += 1;
                continue;
            }
            let granted = self.ledgers[owner].grant(&service(), Holder::Own, None, Moment(now));
            let Some(permit) = granted else { return };
            let minion = minion_of(&permit.minion);
            simulation.send(now, request, minion, owner, permit.grant.0);
        }
    }
}

fn minion_of(minion: &id::Minion) -> usize {
    minion.as_str()[1..].parse().expect("a number")
}

impl Policy for Chosen {
    fn arrive(&mut self, now: u64, request: usize, simulation: &mut Simulation) {
        let Request { entry, class, .. } = simulation.requests[request];
        if self.try_send(now, request, entry, simulation, 0)
            || self.borrow(now, request, entry, simulation)
        {
            return;
        }
        let deadline = Moment(simulation.requests[request].deadline());
        let waiting = QueuedRequest { item: request, class, deadline };
        let jitter = self.random.random();
        let queue = self.shortest(entry);
        if queue != entry {
            self.known_waiting[entry][queue] += 1;
        }
        if self.queues[queue].push(waiting, Moment(now), BOUNDS, jitter).is_err() {
            simulation.outcome.refused += 1;
        } else {
            self.serve_queue(now, queue, simulation);
        }
    }

    fn end(&mut self, now: u64, event: Event, simulation: &mut Simulation) {
        let Event::End { request, entry, grant, .. } = event else { return };
        let took = Duration::from_millis(simulation.requests[request].service_ms);
        self.ledgers[entry].finish(Grant(grant), DispatchResult::Answered, took, Moment(now));
        let asker = simulation.requests[request].entry;
        if asker != entry {
            // The borrower learns of the release at once, not with the next heartbeat.
            let (free, waiting) =
                (&mut self.known_free[asker][entry], &mut self.known_waiting[asker][entry]);
            *free = (*free + 1).min(SLOTS as u32);
            *waiting = waiting.saturating_sub(1);
        }
        self.serve_queue(now, entry, simulation);
    }

    fn heartbeat(&mut self, now: u64) {
        for entry in 0..ENTRIES {
            let free = self.ledgers[entry].capacity(&service(), Moment(now)).free;
            let waiting = self.queues[entry].len() as u32;
            for asker in 0..ENTRIES {
                self.known_free[asker][entry] = free.saturating_sub(waiting);
                self.known_waiting[asker][entry] = waiting;
            }
        }
    }
}

/// Baseline: each entry has a fixed share of the slots, sends to the minions round-robin, and queues
/// in the order of arrival.
struct RoundRobin {
    used: Vec<usize>,
    next: Vec<usize>,
    queues: Vec<VecDeque<usize>>,
}

impl RoundRobin {
    fn new() -> Self {
        Self {
            used: vec![0; ENTRIES],
            next: (0..ENTRIES).collect(),
            queues: vec![VecDeque::new(); ENTRIES],
        }
    }

    fn serve_queue(&mut self, now: u64, entry: usize, simulation: &mut Simulation) {
        while self.used[entry] < MINIONS * SLOTS / ENTRIES {
            let Some(request) = self.queues[entry].pop_front() else { return };
            if simulation.requests[request].deadline() <= now {
                simulation.outcome.refused += 1;
                continue;
            }
            self.used[entry] += 1;
            let minion = self.next[entry] % MINIONS;
            self.next[entry] += 1;
            simulation.send(now, request, minion, entry, 0);
        }
    }
}

impl Policy for RoundRobin {
    fn arrive(&mut self, now: u64, request: usize, simulation: &mut Simulation) {
        let entry = simulation.requests[request].entry;
        self.queues[entry].push_back(request);
        self.serve_queue(now, entry, simulation);
    }

    fn end(&mut self, now: u64, event: Event, simulation: &mut Simulation) {
        let Event::End { entry, .. } = event else { return };
        self.used[entry] -= 1;
        self.serve_queue(now, entry, simulation);
    }
}

/// Baseline: of two random minions, the one with fewer outstanding requests of this entry.  Requests
/// wait on the minion.
struct RandomOfTwo {
    outstanding: Vec<[usize; MINIONS]>,
    random: StdRng,
}

impl Policy for RandomOfTwo {
    fn arrive(&mut self, now: u64, request: usize, simulation: &mut Simulation) {
        let entry = simulation.requests[request].entry;
        let (a, b) = (self.random.random_range(0..MINIONS), self.random.random_range(0..MINIONS));
        let here = &mut self.outstanding[entry];
        let minion = if here[a] <= here[b] { a } else { b };
        here[minion] += 1;
        simulation.send(now, request, minion, entry, 0);
    }

    fn end(&mut self, _: u64, event: Event, _: &mut Simulation) {
        let Event::End { minion, entry, .. } = event else { return };
        self.outstanding[entry][minion] -= 1;
    }
}

fn main() {
    println!(
        "{ENTRIES} entries, {MINIONS} minions of {SLOTS} slots, capacity {:.0}/s, {SECONDS} s \
         simulated, seed 1; one entry gets {SKEW} times its share",
        (MINIONS * SLOTS) as f64 * 1000.0 / MEAN_MS
    );
    for load in [0.5, 0.9, 2.0, 5.0] {
        let requests = arrivals(load, 1);
        let urgent = requests.iter().filter(|r| r.class == Class::Urgent).count();
        println!(
            "load {load}: offered urgent {:.1}/s, patient {:.1}/s",
            urgent as f64 / SECONDS as f64,
            (requests.len() - urgent) as f64 / SECONDS as f64
        );
        run(&requests, Chosen::new()).print("chosen");
        run(&requests, RoundRobin::new()).print("round robin, static share");
        let two = RandomOfTwo {
            outstanding: vec![[0; MINIONS]; ENTRIES],
            random: StdRng::seed_from_u64(7),
        };
        run(&requests, two).print("random of two");
    }
}
