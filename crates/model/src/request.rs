//! The class, idempotence and outcome of a caller's request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// How urgent a request or a job is.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Served before patient work.
    #[default]
    Urgent,
    /// May wait, but must finish.
    Patient,
}

/// What is known about a request that got no answer from a minion.
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
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A minion ran it.
    Run,
    /// No minion has run it or will run it.
    NotRun,
    /// A minion may have run it.
    Unknown,
}

/// Whether running a request twice has the same effect as running it once.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Idempotence {
    /// May be retried.
    Idempotent,
    /// Must run at most once.
    NonIdempotent,
}

impl Idempotence {
    /// By the HTTP method, as RFC 9110 section 9.2.2 defines it.
    pub fn of_method(method: &str) -> Self {
        match method {
            "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" => Idempotence::Idempotent,
            _ => Idempotence::NonIdempotent,
        }
    }
}
