//! Encoding of frames: a version byte, a 4-byte big-endian length, then a `postcard` body.

use crate::Error;
use crate::error;
use crate::frame::Frame;

/// The protocol version, incremented with every change that an older peer would misread.
pub const VERSION: u8 = 1;

/// Length of the header, in bytes.
pub const HEADER_LEN: usize = 5;

/// Maximum length of a body, in bytes.
pub const MAX_BODY_LEN: usize = 4 << 20;

/// Encodes a frame with its header.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = postcard::to_stdvec(frame).expect("frames always serialize");
    let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// The length in bytes of the body that follows a header.
///
/// # Errors
/// `Version` for another protocol version, `Malformed` for a length over the limit.
pub fn body_length(header: [u8; HEADER_LEN]) -> Result<usize, Error> {
    let [version, length @ ..] = header;
    if version != VERSION {
        return error::VersionSnafu { version }.fail();
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_BODY_LEN {
        let reason = format!("{length} bytes are more than {MAX_BODY_LEN}");
        return error::MalformedSnafu { reason }.fail();
    }
    Ok(length)
}

/// Decodes a body.
///
/// # Errors
/// `Malformed` if it is not a frame or has trailing bytes.
pub fn decode(body: &[u8]) -> Result<Frame, Error> {
    match postcard::take_from_bytes(body) {
        Ok((frame, [])) => Ok(frame),
        Ok(_) => error::MalformedSnafu { reason: "bytes left over" }.fail(),
        Err(error) => error::MalformedSnafu { reason: error.to_string() }.fail(),
    }
}
