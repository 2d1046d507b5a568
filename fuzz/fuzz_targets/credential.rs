//! Decoding any header value yields a caller's key or none, and its `Debug` form never contains a key
//! of 16 bytes or more.
#![no_main]

use celerythread_adapter::credential::Credential;

libfuzzer_sys::fuzz_target!(|value: &str| {
    if let Some(credential) = Credential::decode([value]) {
        let key = value.rsplit(' ').next().unwrap_or_default();
        let shown = format!("{credential:?}");
        assert!(key.len() < 16 || !shown.contains(key));
    }
});
