//! Tests of the system as a whole: daemons in this process over an in-memory platform, with real
//! sockets between callers, entries, minions and peers, and a few tests with real processes.

mod claims;
mod cluster;
mod config;
mod faults;
mod jobs;
mod maintenance;
mod moves;
mod pages;
mod peers;
mod processes;
mod programs;
mod requests;
mod site;
mod stop;
mod timeline;
