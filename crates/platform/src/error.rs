//! Errors of calls to the platform.

use crate::message::Row;
use celerythread_model::code::Code;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A failed call, by what is known about its effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, Snafu)]
#[snafu(visibility(pub))]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// A condition did not hold; nothing was written.
    #[snafu(display("the table refused: {} rows have changed", rows.len()))]
    Conflict {
        /// The rows whose conditions failed, in their current state.
        rows: Vec<Row>,
    },
    /// The call did not take effect.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// The cause.
        reason: String,
    },
    /// The call may have taken effect; its response was lost.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    Lost {
        /// The cause.
        reason: String,
    },
    /// The platform refused the call permanently.
    #[snafu(display("the platform refused: {reason}"))]
    Refused {
        /// The cause.
        reason: String,
    },
}

impl Error {
    /// The result code reported to an operator.
    pub fn code(&self) -> Code {
        match self {
            Error::Conflict { .. } => Code::StaleBase,
            Error::Unavailable { .. } => Code::PlatformUnavailable,
            Error::Lost { .. } => Code::PlatformUnknown,
            Error::Refused { .. } => Code::BadRequest,
        }
    }
}
