//! The job engine: which task runs where, when a run is given up, and what is kept.
//!
//! Nothing here reads a clock or talks to a network: time comes in as [`time::Time`], what
//! happened comes in as method calls, and what to do comes out as values.
//!
//! [`job`] is the model of a job as a caller submits it and as it is kept; [`cell`] is the
//! state of one service, the unit that one entry instance schedules at a time; [`ownership`]
//! decides which entry that is, [`former`] which minions of its predecessor are over; [`quota`]
//! splits what a workspace may have running between the cells; [`lease`] computes when a
//! minion's leases have expired;
//! [`maintenance`] takes machines through maintenance waves, and [`pools`]
//! moves them to where the demand is; [`timeout`] says how long to wait for an answer, [`outage`] whether
//! there is anybody to wait for, and [`submission`] when to give a caller its time back.

pub mod cell;
pub mod former;
pub mod job;
pub mod lease;
pub mod maintenance;
pub mod outage;
pub mod ownership;
pub mod pools;
pub mod quota;
pub mod submission;
pub mod time;
pub mod timeout;
