//! What a caller asks for, and what it can be told became of it.

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

/// What is certain about a request that got no answer from a minion.
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
    /// No minion has run it, nor will.
    NotRun,
    /// A minion may have run it.
    Unknown,
}

/// Whether running a request twice does the same as running it once.
#[derive(
    Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize, Display, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Idempotence {
    /// May be sent again.
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
