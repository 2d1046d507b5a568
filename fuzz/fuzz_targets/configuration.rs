//! Decoding any bytes as a configuration of the users' platform yields one or an error, without a
//! panic.
#![no_main]

use celerythread_adapter::configuration::Configuration;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let _ = Configuration::decode(bytes);
});
