//! Faults of a platform call.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantArray};

/// What goes wrong with a call.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
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
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It fails and has no effect.
    FailBefore,
    /// It takes effect and its answer is lost.
    LoseAnswer,
    /// It has no effect and is never answered.
    Hang,
    /// It takes effect after a while.
    Slow,
    /// It is given up on by the caller, and takes effect only afterwards.
    LateEffect,
    /// The process is killed just before it.
    KillBefore,
    /// The process is killed just after it took effect.
    KillAfter,
    /// The process is paused just before it, for longer than any lease of the tests.
    Pause,
}

/// How long a paused process stands still, in milliseconds.
pub const PAUSE_MS: u64 = 2500;

/// How long a slow call takes, in milliseconds.
pub const SLOW_MS: u64 = 300;
