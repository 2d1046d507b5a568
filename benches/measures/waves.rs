//! Duration of a maintenance wave and its cost in availability.

use crate::{SEEDS, format_mean, id};
use celerythread_model::config::Ratio;
use celerythread_model::id;
use celerythread_policy::availability::Availability;
use celerythread_policy::wave::{self, Target};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Simulation step, drain and reboot of a machine, repair of a failed machine, and the longest wave
/// that is simulated, in seconds.
const STEP_SECONDS: u64 = 10;
const MAINTENANCE_SECONDS: u64 = 130;
const REPAIR_SECONDS: u64 = 1200;
const MAX_WAVE_SECONDS: u64 = 24 * 3600;

struct Deployment {
    name: &'static str,
    pools: Vec<(u32, u32)>,
    zones: usize,
}

fn deployments() -> Vec<Deployment> {
    let initial = vec![(9, 7), (9, 7), (11, 9), (12, 10), (8, 6)];
    // 31 pools of 42 minions; six of each may be out of service.
    let target = vec![(42, 36); 31];
    vec![
        Deployment { name: "Visita Clara", pools: initial.clone(), zones: 3 },
        Deployment { name: "Hodnota Zasob", pools: initial, zones: 3 },
        Deployment { name: "target size", pools: target, zones: 7 },
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
            // Four machines per rack, so that a rack holds machines of several services.
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
    /// A fixed tenth of each service at a time, regardless of failures.
    StaticHeadroom,
    /// One whole rack at a time, regardless of the services' floors.
    RackByRack,
}

#[derive(Default)]
struct WaveResult {
    minutes: f64,
    /// Minutes below the floor, summed over the services.
    breach: f64,
    /// Capacity left in service above the floors, in percent of all minions, averaged over the wave.
    idle: f64,
}

fn standings(
    deployment: &Deployment,
    all: &[Machine],
    now: u64,
) -> BTreeMap<id::Service, Availability> {
    let mut standings: Vec<Availability> = deployment
        .pools
        .iter()
        .map(|(_, floor)| Availability { floor: *floor, ..Availability::default() })
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
    // One rack fails in the first 15 minutes; single machines fail at 20 a day per 1,300 machines.
    let rack_fails_at = random.random_range(60..900) / STEP_SECONDS * STEP_SECONDS;
    let lost_rack = all[random.random_range(0..all.len())].rack;
    let each_fails = 20.0 / 1300.0 * STEP_SECONDS as f64 / 86_400.0;
    let mut result = WaveResult::default();
    let mut now = 0;
    let mut idle_steps = 0.0;
    while now < MAX_WAVE_SECONDS {
        for machine in &mut all {
            if machine.back_at.is_some_and(|at| at <= now) {
                machine.back_at = None;
            }
            let rack_lost = now == rack_fails_at && machine.rack == lost_rack;
            if rack_lost || random.random_bool(each_fails) {
                machine.failed_until = now + REPAIR_SECONDS;
            }
        }
        let before = standings(deployment, &all, now);
        let chosen = choose(deployment, policy, &all, &remaining, &before, now);
        for n in &chosen {
            all[*n].back_at = Some(now + MAINTENANCE_SECONDS);
        }
        remaining.retain(|n| !chosen.contains(n));
        let after = standings(deployment, &all, now);
        let total: u32 = deployment.pools.iter().map(|(count, _)| count).sum();
        for standing in after.values() {
            if standing.serving < standing.floor {
                result.breach += STEP_SECONDS as f64 / 60.0;
            }
            idle_steps += f64::from(standing.spare()) / f64::from(total);
        }
        now += STEP_SECONDS;
        if remaining.is_empty() && all.iter().all(|machine| machine.back_at.is_none()) {
            break;
        }
    }
    result.minutes = now as f64 / 60.0;
    result.idle = idle_steps * 100.0 / (now / STEP_SECONDS) as f64;
    result
}

fn choose(
    deployment: &Deployment,
    policy: WavePolicy,
    all: &[Machine],
    remaining: &[usize],
    standings: &BTreeMap<id::Service, Availability>,
    now: u64,
) -> Vec<usize> {
    let here = |n: &&usize| all[**n].back_at.is_none() && all[**n].failed_until <= now;
    match policy {
        WavePolicy::Chosen(weight) => {
            let targets: Vec<Target> =
                remaining.iter().filter(here).map(|n| all[*n].target.clone()).collect();
            let out = all.iter().filter(|machine| machine.back_at.is_some());
            let begun: Vec<id::Rack> = out.map(|machine| machine.target.rack.clone()).collect();
            let next = wave::next_targets(&targets, standings, Ratio(weight), &begun);
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

pub(crate) fn print() {
    println!(
        "WAVES: everything maintained once; {MAINTENANCE_SECONDS} s a machine, a rack lost within the wave"
    );
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
                |f: fn(&WaveResult) -> f64| format_mean(&runs.iter().map(f).collect::<Vec<f64>>());
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
