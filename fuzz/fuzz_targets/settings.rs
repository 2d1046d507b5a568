//! Reading any text as settings yields settings or mistakes, without a panic.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    let _ = celerythread_entry::Settings::read(text);
});
