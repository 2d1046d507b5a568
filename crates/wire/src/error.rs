//! Errors of an exchange with a peer.

use celerythread_model::code::Code;
use snafu::Snafu;

/// An error of an exchange with a peer or of an identity.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The peer uses another version of the protocol.
    #[snafu(display("the peer speaks version {version} of the protocol"))]
    Version {
        /// The peer's version.
        version: u8,
    },
    /// The bytes cannot be decoded as a frame.
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
        /// The cause.
        reason: String,
    },
    /// The peer refused the exchange.
    #[snafu(display("the peer refused with {code}: {text}"))]
    Refused {
        /// The peer's result code.
        code: Code,
        /// The peer's explanation.
        text: String,
    },
    /// A key or certificate cannot be used.
    #[snafu(display("cannot use {what}: {reason}"))]
    Key {
        /// The file, text or step concerned.
        what: String,
        /// The cause.
        reason: String,
    },
}

impl Error {
    /// The result code.
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
