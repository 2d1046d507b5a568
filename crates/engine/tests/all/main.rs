//! Tests of the engine's rules, without a network or clocks.

mod crashes;
mod delegation;
mod fixture;
mod jobs;
mod lease;
mod load;
mod maintenance;
mod matrix;
mod model;
mod outage;
mod ownership;
mod placement;
mod pools;
mod quota;
mod restarts;
mod runs;
mod sharing;
mod standby;
mod submission;
mod takeover;
mod termination;
mod timeout;
mod trials;
mod turns;
mod window;
mod zones;
