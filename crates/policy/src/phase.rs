//! What a failed dispatch leaves certain, and whether it may be sent again.

use celerythread_model::request::{Idempotence, Outcome};

/// How far a dispatch to a minion had come.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, strum::VariantArray)]
pub enum Phase {
    /// There was no connection.
    Unconnected,
    /// Connected, and not a byte was written.
    Connected,
    /// Some bytes were written.
    PartWritten,
    /// All bytes were written.
    AllWritten,
    /// The answer had begun.
    AnswerBegun,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Decision {
    /// What the caller may be told, if this was the last attempt.
    pub outcome: Outcome,
    /// Whether another attempt may be made.
    pub may_resend: bool,
}

/// Judges a failure.
///
/// A minion may act on a request of which it has read any byte, whatever the connection said
/// afterwards; so "not run" is only certain before the first byte was written.  An answer that
/// had begun shows that the minion took the request, not that it finished.
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

/// The outcome after several attempts: only if all of them were not run, none was.
pub fn combine(earlier: Option<Outcome>, later: Outcome) -> Outcome {
    match (earlier, later) {
        (None, later) => later,
        (Some(Outcome::Run), _) | (_, Outcome::Run) => Outcome::Run,
        (Some(Outcome::Unknown), _) | (_, Outcome::Unknown) => Outcome::Unknown,
        (Some(Outcome::NotRun), Outcome::NotRun) => Outcome::NotRun,
    }
}
