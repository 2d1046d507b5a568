//! Errors of a message or its connection.

use celerythread_model::code::Code;
use snafu::Snafu;
use strum::{Display, EnumCount, VariantArray};

/// A limit of the process that clients can reach.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// Memory for requests.
    Memory,
    /// Open connections of a listener.
    Connections,
    /// Time for receiving a whole body.
    BodyTime,
    /// Time for sending a whole response.
    ResponseTime,
    /// Requests that are being processed.
    Requests,
}

/// An error of the framing or of the connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Fault {
    /// The stream ended between two messages: a normal end of a connection.
    #[snafu(display("the connection was closed between messages"))]
    Closed,
    /// The message is not valid HTTP/1.1.
    #[snafu(display("malformed head: {reason}"))]
    Malformed {
        /// What is wrong.
        reason: String,
    },
    /// The head exceeds the limits.
    #[snafu(display("the head is larger than {limit} bytes or has too many headers"))]
    HeadTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The length of the body is ambiguous.
    #[snafu(display("conflicting lengths: {reason}"))]
    ConflictingLength {
        /// What conflicts.
        reason: String,
    },
    /// A transfer coding other than chunked.
    #[snafu(display("unsupported transfer coding {coding:?}"))]
    UnsupportedCoding {
        /// The coding.
        coding: String,
    },
    /// The body exceeds the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    BodyTooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// A limit of the process was reached before the request was received whole.
    #[snafu(display("too many requests: the limit of {limit} is reached"))]
    Overloaded {
        /// The limit.
        limit: Limit,
    },
    /// The stream ended inside a message.
    #[snafu(display("the stream ended inside a message"))]
    Truncated,
    /// No progress within the time allowed.
    #[snafu(display("no progress while {operation}"))]
    Timeout {
        /// The operation that timed out.
        operation: &'static str,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// The error of the operating system.
        source: std::io::Error,
    },
}

impl Fault {
    /// The result code sent to the client whose request caused this error.
    pub fn request_code(&self) -> Code {
        match self {
            Fault::Malformed { .. } => Code::MalformedHead,
            Fault::HeadTooLarge { .. } => Code::HeadTooLarge,
            Fault::ConflictingLength { .. } => Code::ConflictingLength,
            Fault::UnsupportedCoding { .. } => Code::UnsupportedCoding,
            Fault::BodyTooLarge { .. } => Code::BodyTooLarge,
            Fault::Overloaded { .. } => Code::Overloaded,
            Fault::Timeout { .. } => Code::RequestTimeout,
            Fault::Truncated | Fault::Closed | Fault::Io { .. } => Code::BodyIncomplete,
        }
    }
}
