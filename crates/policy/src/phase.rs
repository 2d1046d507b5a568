//! Which outcome a failed dispatch proves, and whether the request may be resent.

use celerythread_model::request::{Idempotence, Outcome};

/// How far a dispatch to a minion had progressed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::VariantArray)]
pub enum Phase {
    /// There was no connection.
    Unconnected,
    /// Connected, and no byte was written.
    Connected,
    /// Some bytes were written.
    PartWritten,
    /// All bytes were written.
    AllWritten,
    /// The answer had begun to arrive.
    AnswerBegun,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The outcome to report to the caller if this was the last attempt.
    pub outcome: Outcome,
    /// Whether another attempt may be made.
    pub may_resend: bool,
}

/// Decides what follows from a failure in this phase.
///
/// A minion may act on a request as soon as it has read any byte, whatever the connection reports
/// afterwards, so "not run" is certain only before the first byte is written.  An answer that has
/// begun shows that the minion received the request, not that it finished.
pub fn decide(phase: Phase, idempotence: Idempotence) -> Decision {
    match phase {
        Phase::Unconnected | Phase::Connected => {
            Decision { outcome: Outcome::NotRun, may_resend: true }
        }
        Phase::PartWritten | Phase::AllWritten | Phase::AnswerBegun => Decision {
            outcome: Outcome::Unknown,
            may_resend: idempotence == Idempotence::Idempotent,
        },
    }
}

/// Combines the outcomes of several attempts: "not run" only if none was run.
pub fn combine(earlier: Option<Outcome>, later: Outcome) -> Outcome {
    match (earlier, later) {
        (None, later) => later,
        (Some(Outcome::Run), _) | (_, Outcome::Run) => Outcome::Run,
        (Some(Outcome::Unknown), _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Some(Outcome::NotRun), Outcome::NotRun) => Outcome::NotRun,
    }
}
