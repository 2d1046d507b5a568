//! Any bytes are a configuration on the users' platform or an error.
#![no_main]

use celerythread_adapter::configuration::Configuration;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let _ = Configuration::decode(bytes);
});
