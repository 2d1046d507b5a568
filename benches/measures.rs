//! The brief's three measures, buffer cost, roll-out time and moves, for the chosen policy and
//! two baselines each, over ten seeds: `cargo bench --bench measures`.
//!
//! Plain loops over the pure decisions on simulated time.  Three parts: waves, moves, jobs.

#[path = "measures/jobs.rs"]
mod jobs;
#[path = "measures/moves.rs"]
mod moves;
#[path = "measures/waves.rs"]
mod waves;

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

fn main() {
    println!("ten seeds, 1 to 10 (jobs at 1,300 workers: two); mean ± standard deviation");
    waves::print();
    moves::print();
    jobs::print();
}
