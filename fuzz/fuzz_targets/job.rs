//! Decoding any bytes as a job yields a job or an error, without a panic.
#![no_main]

use celerythread_adapter::submission::Body;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let Ok(body) = Body::new(bytes, 1000) else { return };
    let _ = body.decoding_memory();
    if let Ok(job) = body.decode() {
        let _ = (job.check(), job.core_ms(), job.critical_path_ms(|_| true), job.due_ms(u32::MAX));
    }
});
