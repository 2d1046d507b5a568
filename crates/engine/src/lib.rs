//! The job engine: which task runs where, when a run is abandoned, and what is stored.
//!
//! The engine does no I/O and reads no clock: time comes in as [`time::Time`], events come in as
//! method calls, and decisions are returned as values.
//!
//! [`job`] is the model of a job as submitted and stored; [`cell`] is the state of one service, the
//! unit that a single entry instance schedules; [`ownership`] decides which entry that is,
//! [`delegation`] which entries make its calls to minions, and [`termination`] which minions of the
//! former owner have terminated; [`window`] limits how many starts are unanswered; [`quota`] splits
//! a workspace's limit between the cells; [`lease`] computes when a minion's leases have expired, and
//! [`store_clock`] bounds the time on the store's clock, and [`recency`] the age of an owner's view of
//! the jobs;
//! [`absence`] decides when an element that a list lacks is gone;
//! [`maintenance`] takes machines through maintenance waves, and [`pools`] moves them between pools
//! as demand changes, and [`release`] decides who may order a machine while the store is
//! unavailable; [`timeout`] adapts timeouts to the latency of answers, [`outage`] detects that a
//! service is unavailable, [`submission`] decides when to stop retrying a caller's submission, and
//! [`cancellation`] limits the cancellations of unknown jobs; [`admission`] refuses jobs that their
//! owner has no memory for.

pub mod absence;
pub mod admission;
pub mod cancellation;
pub mod cell;
pub mod delegation;
pub mod job;
pub mod lease;
pub mod maintenance;
pub mod outage;
pub mod ownership;
pub mod pools;
pub mod quota;
pub mod recency;
pub mod release;
pub mod store_clock;
pub mod submission;
pub mod termination;
pub mod time;
pub mod timeout;
pub mod window;
