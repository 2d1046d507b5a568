//! Types for counts, sizes and times, each with a text form.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A text that is not a valid quantity.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is not {expected}"))]
pub struct Error {
    text: String,
    expected: &'static str,
}

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The next higher value.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let number = text.parse().ok();
                number.map(Self).ok_or(Error { text: text.into(), expected: "a whole number" })
            }
        }
    )*};
}

counts! {
    /// A revision of the table: increases with every committed transaction.
    Revision(u64);
    /// Incremented whenever an instance returns to service; fences stale holders.
    Epoch(u64);
    /// A lease's fencing token: increases with every change of holder.
    Token(u64);
    /// Requests that a minion can run concurrently.
    Slots(u32);
    /// Processor time in thousandths of a core.
    Millicores(u32);
    /// Accelerators.
    Accelerators(u32);
}

/// A size in bytes, written with a binary unit: `64KiB`, `8MiB`, `2GiB` or plain bytes.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

const BYTE_UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

impl Bytes {
    /// `n` mebibytes.
    pub const fn mebi(n: u64) -> Self {
        Self(n << 20)
    }

    /// The size as a length in memory.
    pub fn len(self) -> usize {
        self.0 as usize
    }

    /// Whether the size is 0.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fitting =
            BYTE_UNITS.iter().rev().find(|(_, n)| self.0 >= *n && self.0.is_multiple_of(*n));
        match fitting {
            Some((unit, n)) => write!(f, "{}{unit}", self.0 / n),
            None => write!(f, "{}", self.0),
        }
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let unit = BYTE_UNITS.iter().find(|(unit, _)| text.ends_with(unit));
        let (digits, factor) = match unit {
            Some((unit, n)) => (&text[..text.len() - unit.len()], *n),
            None => (text, 1),
        };
        let number: Option<u64> = digits.trim().parse().ok();
        number
            .and_then(|n| n.checked_mul(factor))
            .map(Bytes)
            .ok_or(Error { text: text.into(), expected: "a size such as 64KiB or 8MiB" })
    }
}

/// A duration, written `250ms`, `5s`, `10m` or `2h`.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Span(pub Duration);

const SPAN_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)];

impl Span {
    /// `n` milliseconds.
    pub const fn millis(n: u64) -> Self {
        Self(Duration::from_millis(n))
    }

    /// `n` seconds.
    pub const fn secs(n: u64) -> Self {
        Self(Duration::from_secs(n))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = self.0.as_millis() as u64;
        let fitting =
            SPAN_UNITS.iter().rev().find(|(_, n)| millis >= *n && millis.is_multiple_of(*n));
        let (unit, n) = fitting.unwrap_or(&SPAN_UNITS[0]);
        write!(f, "{}{unit}", millis / n)
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = SPAN_UNITS.iter().find(|(unit, _)| *unit == &text[digits.len()..]);
        let number: Option<u64> = digits.parse().ok();
        match (number, unit) {
            (Some(n), Some((_, factor))) if n.checked_mul(*factor).is_some() => {
                Ok(Span::millis(n * factor))
            }
            _ => Err(Error { text: text.into(), expected: "a time such as 250ms, 5s or 2h" }),
        }
    }
}

impl TryFrom<String> for Span {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}
