//! Small stand-ins for what surrounds the system; used by tests and the quick start only.
//!
//! [`platform`] serves an in-memory platform over HTTP with faults that can be switched while
//! it runs; [`faulty`] puts the same faults between a test and the platform's traits, counting
//! the calls.  [`minion`] is an upstream that records what it ran.  [`link`] is a hop that can
//! cut, delay, silence or truncate.  [`load`] makes requests; [`history`] joins what callers
//! and minions saw and checks the promises over it.  [`fleet`] runs real daemons over these.
//! [`site`] is the users' platform, for daemons that run on it.

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
