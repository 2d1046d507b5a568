//! Keyed requests: at most one run, and the same answer for each repeat.

use celerythread_model::id;
use celerythread_model::request::Outcome;
use serde::{Deserialize, Serialize};

/// A claim's row in the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that made it.
    pub attempt: id::Attempt,
    /// The entry that carries it.
    pub entry: id::Entry,
    /// A digest of the request; another request under the same key is refused.
    pub fingerprint: String,
    /// How far it has come.
    pub stage: Stage,
    /// Milliseconds since the Unix epoch when the claim was made, for clearing old ones.
    pub made_at: u64,
}

/// How far a claim has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "stage")]
pub enum Stage {
    /// It may be running.
    Running,
    /// It was answered.
    Done {
        /// The answer.
        answer: Answer,
    },
    /// It may have run and nobody can tell.
    Unknown,
}

/// A kept answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The headers that belong to the answer.
    pub headers: Vec<(String, String)>,
    /// The body in base64, when it is small.
    pub body: Option<String>,
    /// The name of the object that holds the body, when it is not.
    pub object: Option<String>,
}

/// What to do with a keyed request, given the claim found under its key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run it: the claim is ours.
    Run,
    /// Give the kept answer.
    Replay(Answer),
    /// Say that it is still running.
    StillRunning,
    /// Say that its outcome is unknown.
    Unknown,
    /// Refuse: the key belongs to another request.
    KeyReused,
}

/// Decides by the claim that stands in the table.
///
/// `alive` tells whether the claiming entry is still registered.  A dead entry's claim never
/// comes free: its request may have run, and nobody can tell, so a repeat is told "unknown"
/// rather than run a second time.
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
        // Our own claim, read back after its answer was lost.
        Stage::Running if existing.attempt == *own_attempt => Decision::Run,
        Stage::Running if is_registered(&existing.entry) => Decision::StillRunning,
        Stage::Running => Decision::Unknown,
    }
}

/// What becomes of the claim's row once the dispatch has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// Keep the answer.
    Store(Answer),
    /// Remove the claim: the request was not run and may be tried again.
    Release,
    /// Keep the claim as one that nobody can tell about.
    MarkUnknown,
}

/// Decides by the outcome; `answer` is what the minion said, if it was received whole.
pub fn settle(outcome: Outcome, answer: Option<Answer>) -> Settlement {
    match (outcome, answer) {
        (_, Some(answer)) => Settlement::Store(answer),
        (Outcome::NotRun, None) => Settlement::Release,
        (Outcome::Run | Outcome::Unknown, None) => Settlement::MarkUnknown,
    }
}
