//! Ids of entries, minions, services, jobs and so on.  All are short, lower-case and safe in a
//! path.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The longest id, in bytes.
pub const MAX_LEN: usize = 64;

/// A text that is not a valid id.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "{text:?} is not an id: 1 to {MAX_LEN} of a-z, 0-9, '-', '.', '_', starting with a letter or digit"
))]
pub struct Error {
    text: String,
}

fn check(text: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    let has_valid_start = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    if has_valid_start && text.len() <= MAX_LEN && text.chars().all(allowed) {
        Ok(())
    } else {
        Err(Error { text: text.chars().take(MAX_LEN).collect() })
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().into()
            }
        }
    )*};
}

ids! {
    /// An entry instance: one run of a `celerythreadd` process, never reused after a restart.
    Entry;
    /// A minion: an instance behind a service.
    Minion;
    /// A service, which is also the name of its pool.
    Service;
    /// An availability zone.
    Zone;
    /// A rack within an availability zone.
    Rack;
    /// A team with a quota.
    Team;
    /// A job.
    Job;
    /// A worker, which runs jobs.
    Worker;
    /// A maintenance wave.
    Wave;
    /// A change requested by an operator; a repeated id is the same change.
    Change;
    /// One attempt at a request with an idempotency key or at a job.
    Attempt;
}
