//! The chosen routing against two simple baselines, in one run with the same arrivals:
//! `cargo bench --bench routing`.
//!
//! A plain loop over the pure decisions, on simulated time: nine entries, nine minions of
//! eight slots, service times of 40 ms on average with a long tail, a third of the work
//! patient.  Deadlines are 2 s for urgent and 20 s for patient work.

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
const PATIENT: f64 = 0.33;
const SECONDS: u64 = 30;
/// One entry of nine gets three times its share: a balancer is never even.
const SKEW: f64 = 3.0;
/// Milliseconds of a round trip to a peer.
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
            class: if random.random_bool(PATIENT) { Class::Patient } else { Class::Urgent },
            service_ms: (draw * MEAN_MS * tail).ceil() as u64,
            entry: (pick.max(SKEW) - SKEW).ceil() as usize % ENTRIES,
        });
    }
    requests
}

/// What happens next.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    /// A request ends at a minion; by request, minion, and where it was sent from.
    End {
        request: usize,
        minion: usize,
        entry: usize,
        grant: u64,
    },
    /// Entries tell each other what they have free.
    Beat,
}

#[derive(Default)]
struct Outcome {
    in_time: [u64; 2],
    asked: [u64; 2],
    times: [Vec<u64>; 2],
    refused: u64,
    busy_ms: u64,
    most_on_a_minion: usize,
}

fn index(class: Class) -> usize {
    usize::from(class == Class::Patient)
}

impl Outcome {
    fn done(&mut self, request: &Request, at: u64) {
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
            self.most_on_a_minion,
            self.refused,
        );
    }
}

/// What a policy is asked; it answers by starting requests.
trait Policy {
    fn arrive(&mut self, now: u64, request: usize, world: &mut World);
    fn end(&mut self, now: u64, event: Event, world: &mut World);
    fn beat(&mut self, _now: u64) {}
}

struct World {
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// Requests on each minion, and behind its slots in the order of arrival.
    on: Vec<usize>,
    behind: Vec<VecDeque<(usize, usize, u64)>>,
    outcome: Outcome,
}

impl World {
    /// Sends a request to a minion; beyond its slots it waits there, whatever its class.
    fn send(&mut self, now: u64, request: usize, minion: usize, entry: usize, grant: u64) {
        self.on[minion] += 1;
        self.outcome.most_on_a_minion = self.outcome.most_on_a_minion.max(self.on[minion]);
        if self.on[minion] > SLOTS {
            self.behind[minion].push_back((request, entry, grant));
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
        self.outcome.done(&done, now);
        self.on[minion] -= 1;
        if let Some((next, entry, grant)) = self.behind[minion].pop_front() {
            self.start(now, next, minion, entry, grant);
        }
    }
}

fn run(requests: &[Request], mut policy: impl Policy) -> Outcome {
    let mut world = World {
        requests: requests.to_vec(),
        events: BinaryHeap::new(),
        on: vec![0; MINIONS],
        behind: vec![VecDeque::new(); MINIONS],
        outcome: Outcome::default(),
    };
    for (number, request) in requests.iter().enumerate() {
        world.events.push(Reverse((request.arrives, Event::Arrive(number))));
        world.outcome.asked[index(request.class)] += 1;
    }
    for second in 0..SECONDS {
        world.events.push(Reverse((second * 1000, Event::Beat)));
    }
    while let Some(Reverse((now, event))) = world.events.pop() {
        if now > SECONDS * 1000 {
            break;
        }
        match event {
            Event::Arrive(request) => policy.arrive(now, request, &mut world),
            Event::End { request, minion, .. } => {
                world.finish(now, request, minion);
                policy.end(now, event, &mut world);
            }
            Event::Beat => policy.beat(now),
        }
    }
    world.outcome
}

/// What the daemon does: whole minions owned, queues by urgency, slots lent to peers.
struct Chosen {
    ledgers: Vec<Ledger>,
    queues: Vec<Queue<usize>>,
    /// What each entry (first index) knows of each other's free slots and waiting requests: by
    /// its last beat, kept up with what this entry itself asked of it since.
    shown: Vec<Vec<u32>>,
    shown_waiting: Vec<Vec<u32>>,
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
            shown: vec![vec![SLOTS as u32; ENTRIES]; ENTRIES],
            shown_waiting: vec![vec![0; ENTRIES]; ENTRIES],
            random: StdRng::seed_from_u64(7),
        }
    }

    /// Takes a slot of `owner` for a request.
    fn take(
        &mut self,
        now: u64,
        request: usize,
        owner: usize,
        world: &mut World,
        way: u64,
    ) -> bool {
        if !self.queues[owner].is_empty() {
            return false;
        }
        let granted = self.ledgers[owner].grant(&service(), Holder::Own, None, Moment(now));
        let Some(permit) = granted else { return false };
        let minion = minion_of(&permit.minion);
        world.send(now + way, request, minion, owner, permit.grant.0);
        true
    }

    /// Looks at up to two peers that showed room.
    fn borrow(&mut self, now: u64, request: usize, entry: usize, world: &mut World) -> bool {
        let mut peers: Vec<usize> =
            (0..ENTRIES).filter(|peer| *peer != entry && self.shown[entry][*peer] > 0).collect();
        peers.sort_by_key(|peer| Reverse(self.shown[entry][*peer]));
        for peer in peers.into_iter().take(2) {
            if self.take(now, request, peer, world, PEER_MS) {
                self.shown[entry][peer] -= 1;
                return true;
            }
            self.shown[entry][peer] = 0;
        }
        false
    }

    /// Where a request waits: here, unless a peer's queue is far shorter.
    fn shortest(&self, entry: usize) -> usize {
        let own = self.queues[entry].len() as u32;
        let peers = (0..ENTRIES).filter(|peer| *peer != entry);
        let best = peers.min_by_key(|peer| self.shown_waiting[entry][*peer]).unwrap_or(entry);
        let far_shorter = (self.shown_waiting[entry][best] + 1) * 2 <= own + 1;
        if far_shorter { best } else { entry }
    }

    fn pump(&mut self, now: u64, owner: usize, world: &mut World) {
        while !self.queues[owner].is_empty()
            && self.ledgers[owner].capacity(&service(), Moment(now)).free > 0
        {
            let share = BOUNDS.patient_share;
            let Some(request) = self.queues[owner].pop(Moment(now), share) else { return };
            if world.requests[request].deadline() <= now {
                world.outcome.refused += 1;
                continue;
            }
            let granted = self.ledgers[owner].grant(&service(), Holder::Own, None, Moment(now));
            let Some(permit) = granted else { return };
            let minion = minion_of(&permit.minion);
            world.send(now, request, minion, owner, permit.grant.0);
        }
    }
}

fn minion_of(minion: &id::Minion) -> usize {
    minion.as_str()[1..].parse().expect("a number")
}

impl Policy for Chosen {
    fn arrive(&mut self, now: u64, request: usize, world: &mut World) {
        let Request { entry, class, .. } = world.requests[request];
        if self.take(now, request, entry, world, 0) || self.borrow(now, request, entry, world) {
            return;
        }
        let deadline = Moment(world.requests[request].deadline());
        let waiting = QueuedRequest { item: request, class, deadline };
        let jitter = self.random.random();
        let queue = self.shortest(entry);
        if queue != entry {
            self.shown_waiting[entry][queue] += 1;
        }
        if self.queues[queue].push(waiting, Moment(now), BOUNDS, jitter).is_err() {
            world.outcome.refused += 1;
        } else {
            self.pump(now, queue, world);
        }
    }

    fn end(&mut self, now: u64, event: Event, world: &mut World) {
        let Event::End { request, entry, grant, .. } = event else { return };
        let took = Duration::from_millis(world.requests[request].service_ms);
        self.ledgers[entry].finish(Grant(grant), DispatchResult::Answered, took, Moment(now));
        let asker = world.requests[request].entry;
        if asker != entry {
            // The borrower knows of the end of what it borrowed.
            let (free, waiting) =
                (&mut self.shown[asker][entry], &mut self.shown_waiting[asker][entry]);
            *free = (*free + 1).min(SLOTS as u32);
            *waiting = waiting.saturating_sub(1);
        }
        self.pump(now, entry, world);
    }

    fn beat(&mut self, now: u64) {
        for entry in 0..ENTRIES {
            let free = self.ledgers[entry].capacity(&service(), Moment(now)).free;
            let waiting = self.queues[entry].len() as u32;
            for asker in 0..ENTRIES {
                self.shown[asker][entry] = free.saturating_sub(waiting);
                self.shown_waiting[asker][entry] = waiting;
            }
        }
    }
}

/// Baseline: each entry has a fixed part of the slots, goes round the minions, and keeps a
/// queue in the order of arrival.
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

    fn pump(&mut self, now: u64, entry: usize, world: &mut World) {
        while self.used[entry] < MINIONS * SLOTS / ENTRIES {
            let Some(request) = self.queues[entry].pop_front() else { return };
            if world.requests[request].deadline() <= now {
                world.outcome.refused += 1;
                continue;
            }
            self.used[entry] += 1;
            let minion = self.next[entry] % MINIONS;
            self.next[entry] += 1;
            world.send(now, request, minion, entry, 0);
        }
    }
}

impl Policy for RoundRobin {
    fn arrive(&mut self, now: u64, request: usize, world: &mut World) {
        let entry = world.requests[request].entry;
        self.queues[entry].push_back(request);
        self.pump(now, entry, world);
    }

    fn end(&mut self, now: u64, event: Event, world: &mut World) {
        let Event::End { entry, .. } = event else { return };
        self.used[entry] -= 1;
        self.pump(now, entry, world);
    }
}

/// Baseline: the less busy of two random minions, by what this entry itself has there; work
/// waits in the minion.
struct RandomOfTwo {
    outstanding: Vec<[usize; MINIONS]>,
    random: StdRng,
}

impl Policy for RandomOfTwo {
    fn arrive(&mut self, now: u64, request: usize, world: &mut World) {
        let entry = world.requests[request].entry;
        let (a, b) = (self.random.random_range(0..MINIONS), self.random.random_range(0..MINIONS));
        let here = &mut self.outstanding[entry];
        let minion = if here[a] <= here[b] { a } else { b };
        here[minion] += 1;
        world.send(now, request, minion, entry, 0);
    }

    fn end(&mut self, _: u64, event: Event, _: &mut World) {
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
