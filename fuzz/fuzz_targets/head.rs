//! Any bytes are a head or a fault.
#![no_main]

use celerythread_http::head::{Request, Response};

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let _ = Request::parse(bytes.to_vec());
    let _ = Response::parse(bytes.to_vec(), "GET");
});
