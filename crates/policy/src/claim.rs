//! Requests with an idempotency key: run at most once, with the same answer for every repeat.

use celerythread_model::id;
use celerythread_model::request::Outcome;
use serde::{Deserialize, Serialize};

/// A claim on a key, as stored in the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that made the claim.
    pub attempt: id::Attempt,
    /// The entry that runs the request.
    pub entry: id::Entry,
    /// A digest of the request.  A different request under the same key is refused.
    pub fingerprint: String,
    /// The claim's progress.
    pub stage: Stage,
    /// When the claim was made, in milliseconds since the Unix epoch.  Claims are deleted by age.
    pub made_at: u64,
}

/// The progress of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "stage")]
pub enum Stage {
    /// The request may be running.
    Running,
    /// The request was answered.
    Done {
        /// The answer.
        answer: Answer,
    },
    /// The request may have run; its outcome can't be determined.
    Unknown,
}

/// A stored answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are part of the answer.
    pub headers: Vec<(String, String)>,
    /// The body in base64, if it is small.
    pub body: Option<String>,
    /// The name of the object that holds the body, if it is large.
    pub object: Option<String>,
}

/// What to do with a keyed request, given the claim found under its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run the request: this attempt holds the claim.
    Run,
    /// Return the stored answer.
    Replay(Answer),
    /// Report that the request is still running.
    StillRunning,
    /// Report that the outcome is unknown.
    Unknown,
    /// Refuse: the key was used for a different request.
    KeyReused,
}

/// Decides by the claim that the table holds.
///
/// `is_registered` returns whether the claiming entry is still registered.  A dead entry's claim is
/// never released: its request may have run, so a repeat is answered with "unknown" rather than run
/// a second time.
pub fn decide(
    existing: &Claim,
    own_attempt: &id::Attempt,
    fingerprint: &str,
    is_registered: impl Fn(&id::Entry) -> bool,
) -> Decision {
    if existing.fingerprint != fingerprint {
        return Decision::KeyReused;
    }
    match &existing.stage {
        Stage::Done { answer } => Decision::Replay(answer.clone()),
        Stage::Unknown => Decision::Unknown,
        // This attempt's own claim, read back after the answer to its commit was lost.
        Stage::Running if existing.attempt == *own_attempt => Decision::Run,
        Stage::Running if is_registered(&existing.entry) => Decision::StillRunning,
        Stage::Running => Decision::Unknown,
    }
}

/// What to do with the claim's row once the dispatch has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// Store the answer.
    Store(Answer),
    /// Delete the claim: the request was not run and may be tried again.
    Release,
    /// Mark the claim's outcome as unknown.
    MarkUnknown,
}

/// Decides by the outcome.  `answer` is the minion's answer, if it was received completely.
pub fn settle(outcome: Outcome, answer: Option<Answer>) -> Settlement {
    match (outcome, answer) {
        (_, Some(answer)) => Settlement::Store(answer),
        (Outcome::NotRun, None) => Settlement::Release,
        (Outcome::Run | Outcome::Unknown, None) => Settlement::MarkUnknown,
    }
}
