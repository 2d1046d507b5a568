//! How an exchange with a peer fails.

use celerythread_model::code::Code;
use snafu::Snafu;

/// A failed exchange.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The peer speaks another version.
    #[snafu(display("the peer speaks version {version} of the protocol"))]
    Version {
        /// Its version.
        version: u8,
    },
    /// The bytes are not a frame.
    #[snafu(display("malformed frame: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The peer closed the exchange.
    #[snafu(display("the peer closed the exchange"))]
    Closed,
    /// The peer cannot be reached.
    #[snafu(display("the peer cannot be reached: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The peer refused.
    #[snafu(display("the peer refused with {code}: {text}"))]
    Refused {
        /// Its code.
        code: Code,
        /// Its words.
        text: String,
    },
    /// A key or certificate cannot be used.
    #[snafu(display("{what}: {reason}"))]
    Key {
        /// Which.
        what: String,
        /// Why.
        reason: String,
    },
}

impl Error {
    /// The numbered code.
    pub fn code(&self) -> Code {
        match self {
            Error::Version { .. } => Code::WireVersion,
            Error::Malformed { .. } => Code::WireMalformed,
            Error::Closed | Error::Unreachable { .. } => Code::PeerUnreachable,
            Error::Refused { code, .. } => *code,
            Error::Key { .. } => Code::UnreadableFile,
        }
    }
}
