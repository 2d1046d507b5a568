//! Number of minions moved between pools in a week, and the minion-hours that pools lacked.

use crate::{SEEDS, format_mean, id};
use celerythread_model::id;
use celerythread_policy::sizing::{Pool, Settings, Sizer};
use celerythread_policy::time::Moment;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Length of the simulated week, duration of a move, and interval at which the baseline that follows
/// demand adjusts the pools, in minutes.
const WEEK_MINUTES: u64 = 7 * 24 * 60;
const MOVE_MINUTES: u64 = 3;
const FOLLOW_INTERVAL_MINUTES: u64 = 15;

#[derive(Clone, Copy)]
enum MovePolicy {
    Chosen,
    /// Pool sizes follow demand every quarter of an hour.
    Follow,
    Never,
}

/// Demand of a pool in minions: a daily cycle with a peak time per pool, a step change in the middle
/// of the week for the first pool, and noise.
fn demand(pool: usize, size: f64, minute: u64, random: &mut StdRng) -> f64 {
    let day = minute as f64 / (24.0 * 60.0);
    let phase = pool as f64 / 5.0;
    let wave = 0.55 + 0.2 * (std::f64::consts::TAU * (day + phase)).sin();
    let step = if pool == 0 && day > 3.5 { 0.35 } else { 0.0 };
    (size * (wave + step) + random.random_range(-0.4..0.4)).max(0.0)
}

/// Returns the moves and the minion-hours lacking in a week.
fn run_moves(sizes: &[u32], policy: MovePolicy, seed: u64) -> (f64, f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut serving: Vec<u32> = sizes.to_vec();
    let mut moving: VecDeque<(u64, usize)> = VecDeque::new();
    let mut smoothed: Vec<f64> = vec![0.5; sizes.len()];
    let mut sizer = Sizer::default();
    let (mut moves, mut short) = (0.0, 0.0);
    for minute in 0..WEEK_MINUTES {
        while moving.front().is_some_and(|(at, _)| *at <= minute) {
            if let Some((_, pool)) = moving.pop_front() {
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
            moving.push_back((minute + MOVE_MINUTES, to));
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
            if !minute.is_multiple_of(FOLLOW_INTERVAL_MINUTES) {
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

pub(crate) fn print() {
    println!("\nMOVES: a week of demand that goes up and down, and once for good");
    println!("{:28} {:>18} {:>24}", "policy", "moves a week", "minion-hours short");
    for (name, policy) in [
        ("chosen", MovePolicy::Chosen),
        ("sizes follow demand", MovePolicy::Follow),
        ("never", MovePolicy::Never),
    ] {
        let runs: Vec<(f64, f64)> =
            SEEDS.map(|seed| run_moves(&[9, 9, 11, 12, 8], policy, seed)).collect();
        let column =
            |f: fn(&(f64, f64)) -> f64| format_mean(&runs.iter().map(f).collect::<Vec<_>>());
        println!("{name:28} {:>18} {:>24}", column(|r| r.0), column(|r| r.1));
    }
}
