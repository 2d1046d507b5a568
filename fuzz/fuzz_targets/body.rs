//! Receiving any bytes as a body with chunks yields a body or an error, without a panic, and gives
//! back all memory.
#![no_main]

use celerythread_http::body::Reader;
use celerythread_http::head::Length;
use celerythread_http::memory::Budget;
use celerythread_http::stream::Stream;
use std::time::{Duration, Instant};

/// Largest body.
const LIMIT: u64 = 64 * 1024;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let budget = Budget::new(2 * LIMIT);
    let mut stream = Stream::new(async_std::io::Cursor::new(bytes.to_vec()));
    let mut reader = Reader::new(Length::Chunked, Duration::from_secs(1));
    let mut incoming = budget.receive(LIMIT, Instant::now());
    let received = async_std::task::block_on(reader.receive(&mut stream, &mut incoming, LIMIT));
    if received.is_ok() {
        let (body, reserved) = incoming.finish().expect("nothing else needs memory");
        assert!(body.len() <= bytes.len());
        drop(reserved);
    } else {
        drop(incoming);
    }
    assert_eq!(budget.reserved(), 0);
});
