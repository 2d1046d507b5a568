//! The numbered result codes.  `docs/RESULT-CODES.md` is generated from this table.
//!
//! 1xxx are returned to callers and 2xxx to operators; 3xxx concern settings and configuration
//! files, and 4xxx the traffic between entry instances and with the platform.

use crate::request::Outcome;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantArray};

/// A result that a caller or an operator can see.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    PartialEq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The operation succeeded.
    Ok,
    /// The request's head is not HTTP/1.1.
    MalformedHead,
    /// The request's head is larger than the limit, or has too many headers.
    HeadTooLarge,
    /// Lengths conflict, or both a length and a chunked body are given.
    ConflictingLength,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body ended before its length.
    BodyIncomplete,
    /// The client was too slow to send its request.
    RequestTimeout,
    /// No service was named, or it is not configured.
    UnknownService,
    /// The class is neither urgent nor patient.
    UnknownClass,
    /// The deadline is not a positive time.
    BadDeadline,
    /// The idempotency key is malformed.
    BadKey,
    /// The expected wait exceeds the deadline, or the queue is full.
    Overloaded,
    /// The team's quota is used up.
    QuotaExceeded,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No minion of the service can be reached.
    NoMinion,
    /// This instance is stopping.
    Stopping,
    /// Claims cannot be recorded because the platform does not answer.
    ClaimUnavailable,
    /// An earlier request with the same key is still running.
    StillRunning,
    /// The same key was used for another request.
    KeyReused,
    /// The outcome of the keyed request is not known.
    OutcomeUnknown,
    /// The minion's answer was cut off, or its completeness cannot be verified.
    AnswerBroken,
    /// The minion made no progress in time.
    MinionTimeout,
    /// The connection to the minion failed after the request may have started.
    MinionLost,
    /// The transfer coding is not supported.
    UnsupportedCoding,
    /// The stored answer for this key cannot be read now.
    AnswerUnavailable,
    /// The team's name is malformed.
    BadTeam,
    /// The operator's request is malformed.
    BadRequest,
    /// No such path or object.
    NotFound,
    /// The change is based on an older revision than the current one.
    StaleBase,
    /// The platform cannot be reached.
    PlatformUnavailable,
    /// A platform call may or may not have taken effect.
    PlatformUnknown,
    /// The maintenance cannot finish by its deadline.
    WaveTooLate,
    /// The maintenance overlaps another one.
    WaveConflict,
    /// The job can never run.
    JobImpossible,
    /// No entry instance could be reached.
    NoEntry,
    /// The command line is wrong.
    Usage,
    /// Some entries do not have the configuration in force yet.
    NotInForce,
    /// An instance is not in a state that allows the change.
    WrongState,
    /// The same change id was used for another change.
    ChangeReused,
    /// The file is not INI.
    NotIni,
    /// The section is not known.
    UnknownSection,
    /// The key is not known.
    UnknownKey,
    /// A key that must be given is missing.
    MissingKey,
    /// A value has the wrong type.
    BadValue,
    /// A value is out of its range.
    OutOfRange,
    /// Two values contradict each other.
    Contradiction,
    /// A key is given twice.
    DuplicateKey,
    /// A template names a parameter that has no value.
    MissingParameter,
    /// A file cannot be read.
    UnreadableFile,
    /// The peer speaks another version of the protocol.
    WireVersion,
    /// A frame cannot be decoded or exceeds the limit.
    WireMalformed,
    /// The peer cannot be reached.
    PeerUnreachable,
    /// The peer refused the exchange.
    PeerRefused,
}

/// What a code stands for: its number, HTTP status and the outcome reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Meaning {
    /// The stable number.
    pub number: u16,
    /// The HTTP status it is sent with.
    pub status: u16,
    /// The outcome reported to a caller, where the code alone determines it.
    pub outcome: Option<Outcome>,
}

const fn caller(number: u16, status: u16, outcome: Outcome) -> Meaning {
    Meaning { number, status, outcome: Some(outcome) }
}

const fn plain(number: u16, status: u16) -> Meaning {
    Meaning { number, status, outcome: None }
}

impl Code {
    /// The code's number, status and outcome.
    pub fn meaning(self) -> Meaning {
        use Outcome::{NotRun, Run, Unknown};
        match self {
            Code::Ok => plain(0, 200),
            Code::MalformedHead => caller(1001, 400, NotRun),
            Code::HeadTooLarge => caller(1002, 431, NotRun),
            Code::ConflictingLength => caller(1003, 400, NotRun),
            Code::BodyTooLarge => caller(1004, 413, NotRun),
            Code::BodyIncomplete => caller(1005, 400, NotRun),
            Code::RequestTimeout => caller(1006, 408, NotRun),
            Code::UnknownService => caller(1007, 404, NotRun),
            Code::UnknownClass => caller(1008, 400, NotRun),
            Code::BadDeadline => caller(1009, 400, NotRun),
            Code::BadKey => caller(1010, 400, NotRun),
            Code::Overloaded => caller(1011, 503, NotRun),
            Code::QuotaExceeded => caller(1012, 429, NotRun),
            Code::DeadlinePassed => caller(1013, 504, NotRun),
            Code::NoMinion => caller(1014, 503, NotRun),
            Code::Stopping => caller(1015, 503, NotRun),
            Code::ClaimUnavailable => caller(1016, 503, NotRun),
            Code::StillRunning => caller(1017, 409, Unknown),
            Code::KeyReused => caller(1018, 422, NotRun),
            Code::OutcomeUnknown => caller(1019, 502, Unknown),
            Code::AnswerBroken => caller(1020, 502, Run),
            Code::MinionTimeout => caller(1021, 504, Unknown),
            Code::MinionLost => caller(1022, 502, Unknown),
            Code::UnsupportedCoding => caller(1023, 501, NotRun),
            Code::AnswerUnavailable => caller(1024, 503, Run),
            Code::BadTeam => caller(1025, 400, NotRun),
            Code::BadRequest => plain(2001, 400),
            Code::NotFound => plain(2002, 404),
            Code::StaleBase => plain(2003, 409),
            Code::PlatformUnavailable => plain(2004, 503),
            Code::PlatformUnknown => plain(2005, 504),
            Code::WaveTooLate => plain(2006, 422),
            Code::WaveConflict => plain(2007, 409),
            Code::JobImpossible => plain(2008, 422),
            Code::NoEntry => plain(2009, 503),
            Code::Usage => plain(2010, 400),
            Code::NotInForce => plain(2011, 504),
            Code::WrongState => plain(2012, 409),
            Code::ChangeReused => plain(2013, 422),
            Code::NotIni => plain(3001, 422),
            Code::UnknownSection => plain(3002, 422),
            Code::UnknownKey => plain(3003, 422),
            Code::MissingKey => plain(3004, 422),
            Code::BadValue => plain(3005, 422),
            Code::OutOfRange => plain(3006, 422),
            Code::Contradiction => plain(3007, 422),
            Code::DuplicateKey => plain(3008, 422),
            Code::MissingParameter => plain(3009, 422),
            Code::UnreadableFile => plain(3010, 422),
            Code::WireVersion => plain(4001, 505),
            Code::WireMalformed => plain(4002, 400),
            Code::PeerUnreachable => plain(4003, 503),
            Code::PeerRefused => plain(4004, 403),
        }
    }

    /// The stable number.
    pub fn number(self) -> u16 {
        self.meaning().number
    }

    /// The exit code of the command line: 0 on success, else the thousands digit of the number.
    ///
    /// 2 is an operator's error or a refusal, 3 an invalid file, 4 an error of a peer.  5 means
    /// that the platform or every entry was unreachable, so that a script can retry.
    pub fn exit_code(self) -> u8 {
        match self {
            Code::Ok => 0,
            Code::PlatformUnavailable | Code::PlatformUnknown | Code::NoEntry => 5,
            other => (other.number() / 1000) as u8,
        }
    }
}
