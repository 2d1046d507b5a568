//! Any template and parameters are read or answered with mistakes.
#![no_main]

libfuzzer_sys::fuzz_target!(|texts: (String, String)| {
    let _ = celerythread_model::config::Document::read(&texts.0, &texts.1);
});
