//! Why jobs fail, as told by events.

use crate::cell::Event;
use strum::{Display, EnumCount, VariantArray};

/// Why a job fails.
#[derive(Clone, Copy, Debug, Display, EnumCount, Eq, PartialEq, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum FailureReason {
    /// A task or a gang has used up its attempts.
    Attempts,
    /// A minion crashed under a task.
    Crash,
    /// A former owner's trial of a task was found to have crashed its minion.
    FormerTrial,
    /// What a former owner persisted of a task is enough, and the task was found on no minion.
    Takeover,
    /// The same, of a job that no former owner can have started.
    Acceptance,
}

impl Event {
    /// Whether it tells why a job fails.  A job has few such events, since it fails once.
    pub(crate) fn explains_failure(&self) -> bool {
        matches!(self, Self::JobFailed { .. } | Self::Suspected { given_up: true, .. })
    }
}
