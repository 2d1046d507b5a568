//! Stand-ins for the external systems, used by tests and the quick start only.
//!
//! [`platform`] serves an in-memory platform over HTTP and injects faults; [`faulty`] injects
//! the same faults into calls of the platform's traits and counts the calls.  [`minion`] is an
//! upstream that records the requests it ran.  [`link`] is a TCP or UDP proxy that can cut,
//! delay, drop or truncate traffic.  [`load`] generates requests; [`history`] checks the
//! guarantees over the records of callers and minions.  [`fleet`] runs daemon processes over
//! these.  [`site`] stands in for the users' platform, for daemons that run on it.

pub mod fault;
pub mod faulty;
pub mod fleet;
pub mod history;
pub mod link;
pub mod load;
pub mod minion;
pub mod platform;
pub mod serve;
pub mod site;
