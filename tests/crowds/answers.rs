//! Crowds that send many requests and read their answers slowly or not at all.

use crate::client::{self, Crowd};
use crate::deployment::{Deployment, Machine, eventually};
use crate::kernel;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Connections of a crowd.
const CROWD: usize = 600;

/// Requests of each connection: their answers together exceed the machine's memory, beside what the
/// clients' own kernel buffers take.
const REQUESTS: usize = 2000;

/// How long a crowd stays open after it was sent.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// Bytes that each connection sends in turn.
const PIECE: usize = 4 << 10;

const REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: jobs.example\r\n\r\n";

/// Guards against a process whose kernel buffers hold all answers that its clients don't read.
#[test]
fn answers_that_nobody_reads_are_held_within_the_memory() {
    let mut deployment = Deployment::start(2, Machine::default());
    let address = deployment.entries[0].callers;
    let watch = kernel::Watch::start(address.port());
    let messages = (0..CROWD).map(|_| REQUEST.repeat(REQUESTS).into_bytes());
    let mut crowd = Crowd::connect(address, messages);
    crowd.send_unread(PIECE, OPEN_TIME);
    let held = watch.peak();
    deployment.check_ordinary_request();
    drop(crowd);
    deployment.check_ordinary_request();
    deployment.check_machines();
    deployment.check_memory(0, held);
}

/// More connections than the metrics have places.
const SLOW_CROWD: usize = 40;

/// Requests of each slow connection: their answers outlast the test.
const SLOW_REQUESTS: usize = 100;

/// Length of the receive buffer of a slow connection, in bytes.
const SLOW_BUFFER: usize = 4 << 10;

/// Bytes of an answer that each slow connection reads in turn, and the pause between two turns: some
/// 5 KB a second, so that an answer takes several seconds.
const SLOW_PIECE: usize = 512;
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// Guards against connections that are kept forever because their clients read a few bytes of an
/// answer from time to time.
#[test]
fn slow_readers_of_the_metrics_leave_connections() {
    let mut deployment = Deployment::start(1, Machine::default());
    let address = deployment.entries[0].metrics;
    let request = "GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n".repeat(SLOW_REQUESTS);
    let messages = (0..SLOW_CROWD).map(|_| request.clone().into_bytes());
    let mut crowd = Crowd::connect_with_buffers(address, messages, SLOW_BUFFER);
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        scope
            .spawn(|| crowd.read_slowly(SLOW_PIECE, SLOW_PAUSE, || is_over.load(Ordering::SeqCst)));
        thread::sleep(OPEN_TIME);
        let is_served = || (client::get(address, "/metrics")? == 200).then_some(());
        let _over = OnDrop(&is_over);
        eventually("a new connection is served", is_served);
    });
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Sets a flag when it is dropped, also by a failed assertion.
struct OnDrop<'a>(&'a AtomicBool);

impl Drop for OnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}
