//! The format of stored values, which is `postcard`.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Most fields appended to a stored value since its first release.
const MAX_MISSING_FIELDS: usize = 5;

/// Decodes a value whose last fields, at most five, older releases didn't write.
///
/// The appended zero bytes decode as the defaults of these fields.  After a complete value they
/// aren't read.
///
/// # Errors
/// Returns an error if the bytes are malformed.
pub fn decode_extended<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FormatError> {
    decode(&[bytes, &[0; MAX_MISSING_FIELDS]].concat())
}

/// The error for a stored value that can't be decoded.
#[derive(Debug, Snafu)]
#[snafu(display("stored value can't be read: {source}"))]
pub struct FormatError {
    source: postcard::Error,
}

/// Encodes a value for the store.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("these types always serialize")
}

/// Decodes a stored value.
///
/// # Errors
/// Returns an error if the bytes are malformed.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FormatError> {
    postcard::from_bytes(bytes).map_err(|source| FormatError { source })
}
