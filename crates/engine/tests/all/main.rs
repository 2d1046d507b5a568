//! The engine's rules, without network or clocks.

mod fixture;
mod jobs;
mod maintenance;
mod ownership;
mod patience;
mod pools;
mod runs;
mod sharing;
mod takeover;
