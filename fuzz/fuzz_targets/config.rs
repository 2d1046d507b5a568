//! Reading any template and parameters yields a document or mistakes, without a panic.
#![no_main]

libfuzzer_sys::fuzz_target!(|texts: (String, String)| {
    let _ = celerythread_model::config::Document::read(&texts.0, &texts.1);
});
