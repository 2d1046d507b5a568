//! Rows as the platform's table holds them.

use crate::unit::Revision;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantArray};

/// The parts of the table, each with its own feed of changes.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantArray,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Space {
    /// What every entry's view is made of.
    Fleet,
    /// Duties and their beats, read by key.
    Lease,
    /// Claims of keyed requests, read by key.
    Claim,
    /// Jobs, followed by the placer alone.
    Job,
    /// Earlier configurations.
    History,
}

/// A row as the table holds it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Where it is.
    pub space: Space,
    /// Its key.
    pub key: String,
    /// The revision of its last write.
    pub revision: Revision,
    /// Its value as JSON; none when it was deleted or never was.
    pub value: Option<String>,
}

impl Row {
    /// The value, read as a row of the model; none when there is none or it cannot be read.
    pub fn decode<T: for<'de> Deserialize<'de>>(&self) -> Option<T> {
        serde_json::from_str(self.value.as_deref()?).ok()
    }
}
