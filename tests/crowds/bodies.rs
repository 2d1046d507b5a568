//! Crowds of bodies that stop just short of their end.

use crate::client::{Crowd, submission_head};
use crate::deployment::{Deployment, Machine};
use std::time::Duration;

/// The default of the setting `caller.body_limit`.
const BODY_LIMIT: usize = 262_144;

/// Connections of a crowd: their bodies together exceed the machine's memory.
const CROWD: usize = 220;

/// How long a crowd that has stopped sending stays open.
const OPEN_TIME: Duration = Duration::from_secs(2);

/// Bytes that each connection sends in turn, where bodies arrive in pieces.
const PIECE: usize = 32 << 10;

/// Bytes that each connection sends in turn otherwise: all of them.
const AT_ONCE: usize = usize::MAX / 2;

/// The beginning of a job's body, up to its last byte.
fn unfinished_job() -> Vec<u8> {
    let mut body = br#"{"steps":[{"count":1}],"spec":""#.to_vec();
    body.resize(BODY_LIMIT - 1, b'x');
    body
}

/// A request whose body lacks its last byte.
pub(crate) fn with_declared_length(number: usize) -> Vec<u8> {
    let framing = format!("Content-Length: {BODY_LIMIT}");
    let mut message = submission_head(&format!("{number:016x}"), &framing).into_bytes();
    message.extend(unfinished_job());
    message
}

/// The same with chunks of a length.
pub(crate) fn chunked(number: usize, chunk: usize) -> Vec<u8> {
    let head = submission_head(&format!("{number:016x}"), "Transfer-Encoding: chunked");
    let mut message = head.into_bytes();
    for chunk in unfinished_job().chunks(chunk) {
        message.extend(format!("{:x}\r\n", chunk.len()).bytes());
        message.extend_from_slice(chunk);
        message.extend(b"\r\n");
    }
    message
}

/// Sends a crowd's messages to the first of two entries and checks both.
fn play(message: impl Fn(usize) -> Vec<u8>, piece: usize) {
    let mut deployment = Deployment::start(2, Machine::default());
    let mut crowd = Crowd::connect(deployment.entries[0].callers, (0..CROWD).map(message));
    crowd.send(piece);
    crowd.receive_for(OPEN_TIME);
    deployment.check_ordinary_request();
    drop(crowd);
    deployment.check_ordinary_request();
    deployment.check_machines();
}

/// Guards against a process that runs out of memory because it holds what it has received of every
/// body.
#[test]
fn unfinished_bodies_are_held_within_the_memory() {
    play(with_declared_length, AT_ONCE);
}

/// Guards against the same where all bodies grow together.
#[test]
fn unfinished_bodies_in_pieces_are_held_within_the_memory() {
    play(with_declared_length, PIECE);
}

/// Guards against the same with bodies of unknown length.
#[test]
fn unfinished_chunked_bodies_are_held_within_the_memory() {
    play(|number| chunked(number, 60_000), AT_ONCE);
}

/// Guards against the same where the framing is a large part of what is received.
#[test]
fn unfinished_bodies_in_small_chunks_are_held_within_the_memory() {
    play(|number| chunked(number, 16), AT_ONCE);
}

/// Guards against a limit that an ordinary client meets: the largest bodies, one after the other.
#[test]
fn a_single_body_of_the_largest_size_is_read_whole() {
    let mut deployment = Deployment::start(1, Machine::default());
    let callers = deployment.entries[0].callers;
    for number in 0..4 {
        let mut body = br#"{"spec":"ms=20","steps":[{"count":1}]"#.to_vec();
        body.resize(BODY_LIMIT - 1, b' ');
        body.push(b'}');
        assert_eq!(crate::client::submit(callers, &format!("{number:016x}"), &body), Some(200));
    }
    deployment.check_machines();
}
