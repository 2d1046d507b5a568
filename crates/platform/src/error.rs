//! How a call to the platform fails.

use crate::message::Row;
use celerythread_model::code::Code;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A failed call, by what is certain about it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize, Snafu)]
#[snafu(visibility(pub))]
#[serde(rename_all = "kebab-case")]
pub enum Error {
    /// A condition did not hold; nothing was written.
    #[snafu(display("the table refused: {} rows have changed", rows.len()))]
    Conflict {
        /// The rows whose condition failed, as they stand.
        rows: Vec<Row>,
    },
    /// The call did not take effect.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// What happened.
        reason: String,
    },
    /// The call may have taken effect; its answer was lost.
    #[snafu(display("the platform's answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
    /// The platform refused the call for good.
    #[snafu(display("the platform refused: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
}

impl Error {
    /// The code told to an operator.
    pub fn code(&self) -> Code {
        match self {
            Error::Conflict { .. } => Code::StaleBase,
            Error::Unavailable { .. } => Code::PlatformUnavailable,
            Error::Lost { .. } => Code::PlatformUnknown,
            Error::Refused { .. } => Code::BadRequest,
        }
    }
}
