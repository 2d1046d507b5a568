//! Faults that can be injected into a platform call.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantArray};

/// A fault of one call.
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
    /// No fault.
    #[default]
    None,
    /// The call fails and has no effect.
    FailBefore,
    /// The call takes effect and its answer is lost.
    LoseAnswer,
    /// The call has no effect and is never answered.
    Hang,
    /// The call takes effect and is answered after [`SLOW_MS`].
    Slow,
    /// The client times out, and the call takes effect only afterwards.
    LateEffect,
    /// The client process is killed just before the call.
    KillBefore,
    /// The client process is killed just after the call took effect.
    KillAfter,
    /// The client process is paused just before the call, for longer than any lease of the tests.
    Pause,
}

/// Duration of a process pause, in milliseconds.
pub const PAUSE_MS: u64 = 2500;

/// Delay of a slow call, in milliseconds.
pub const SLOW_MS: u64 = 300;
