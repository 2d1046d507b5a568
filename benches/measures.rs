//! Compares the chosen policy with two baselines by the three required measures: cost of spare
//! capacity, roll-out time, and moves between pools: `cargo bench --bench measures`.
//!
//! Simulates waves, moves and jobs over ten seeds with the policy crate's decisions; nothing runs
//! in real time.

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

/// Formats mean and standard deviation.
fn format_mean(values: &[f64]) -> String {
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
