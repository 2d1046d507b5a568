//! Crowds of clients that hold what they are given: daemons as real processes on a stand-in of the
//! users' platform must live on, stay within the memory and the descriptors of their machine, and
//! answer an ordinary request afterwards.
//!
//! The machine is made small by the settings, so that small crowds suffice.  Each test has the
//! machine for itself: this is a test binary of its own, and [`deployment::Deployment::start`] holds
//! a lock until the deployment is dropped.  No test asserts a time or a share of served requests.

mod answers;
mod bodies;
mod client;
mod connections;
mod deployment;
mod jobs;
mod kernel;
mod process;
mod requests;
mod soak;
