//! Parsing any bytes as an HTTP head yields a head or an error, without a panic.
#![no_main]

use celerythread_http::head::{Request, Response};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let _ = Request::parse(bytes.to_vec());
    let _ = Response::parse(bytes.to_vec(), "GET");
});
