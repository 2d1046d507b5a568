//! Any text is read as settings or answered with mistakes.
#![no_main]

libfuzzer_sys::fuzz_target!(|text: &str| {
    let _ = celerythread_entry::Settings::read(text);
});
