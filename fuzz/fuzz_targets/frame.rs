//! Decoding any bytes yields a frame or an error; a decoded frame encodes to bytes that decode again.
#![no_main]

use celerythread_wire::codec;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    if let Ok(frame) = codec::decode(bytes) {
        let encoded = codec::encode(&frame);
        assert!(codec::decode(&encoded[codec::HEADER_LEN..]).is_ok());
    }
});
