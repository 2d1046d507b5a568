//! Crowds of connections that send nothing, or no whole head.

use crate::client::{self, Crowd};
use crate::deployment::{Deployment, Entry, Machine, eventually};
use std::net::SocketAddr;
use std::time::Duration;

/// Fewer descriptors than a crowd has connections.
const DESCRIPTORS: u64 = 300;

/// Connections of a crowd.
const CROWD: usize = 360;

/// How long a crowd stays open after it was sent.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Opens a crowd at one of the addresses of an entry; checks that a new connection is served there
/// while the crowd is open, that the callers' requests are answered, and that the log names the
/// listener and a client.
fn play(address: impl Fn(&Entry) -> SocketAddr, (listener, path): (&str, &str), message: &[u8]) {
    let machine = Machine { descriptors: DESCRIPTORS, ..Machine::default() };
    let mut deployment = Deployment::start(2, machine);
    let address = address(&deployment.entries[0]);
    let mut crowd = Crowd::connect(address, (0..CROWD).map(|_| message.to_vec()));
    crowd.send(message.len());
    crowd.receive_for(OPEN_TIME);
    eventually("a new connection is served", || (client::get(address, path)? == 200).then_some(()));
    deployment.check_ordinary_request();
    drop(crowd);
    deployment.check_ordinary_request();
    deployment.check_machines();
    deployment.check_limit_line(0, listener);
}

/// Guards against a process that runs out of descriptors because idle connections stay open.
#[test]
fn idle_connections_of_callers_leave_descriptors() {
    play(|entry| entry.callers, ("callers", "/-/ready"), b"");
}

/// Guards against the same with connections that are within a head.
#[test]
fn unfinished_heads_of_callers_leave_descriptors() {
    play(
        |entry| entry.callers,
        ("callers", "/-/ready"),
        b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nA: b",
    );
}

/// Guards against an entry that is taken out of rotation because the readiness check finds no
/// connection left.
#[test]
fn idle_connections_to_the_readiness_check_leave_descriptors() {
    play(|entry| entry.readiness, ("readiness", "/-/ready"), b"");
}

/// Guards against an entry that operators can't watch any more because the metrics find no
/// connection left.
#[test]
fn idle_connections_to_the_metrics_leave_descriptors() {
    play(|entry| entry.metrics, ("metrics", "/metrics"), b"");
}
