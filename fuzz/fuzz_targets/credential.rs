//! Any value of the header is a caller's key or none, and a key is never shown.
#![no_main]

use celerythread_adapter::credential::Credential;

libfuzzer_sys::fuzz_target!(|value: &str| {
    if let Some(credential) = Credential::decode([value]) {
        let key = value.rsplit(' ').next().unwrap_or_default();
        let shown = format!("{credential:?}");
        assert!(key.len() < 16 || !shown.contains(key));
    }
});
