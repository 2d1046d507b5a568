//! Rows as stored in the platform's table.

use crate::unit::Revision;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantArray};

/// A part of the table with its own feed of changes.
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
    /// The rows that make up every entry's view.
    Fleet,
    /// Leases of duties and their heartbeats, read by key.
    Lease,
    /// Claims of requests with an idempotency key, read by key.
    Claim,
    /// Jobs, followed only by the placer.
    Job,
    /// Earlier configurations.
    History,
}

/// A row as stored in the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The part of the table that it is in.
    pub space: Space,
    /// Its key.
    pub key: String,
    /// The revision of its last write.
    pub revision: Revision,
    /// Its value as JSON; none if it was deleted or never existed.
    pub value: Option<String>,
}

impl Row {
    /// The value, deserialized as a row of the model; none if it is missing or cannot be read.
    pub fn decode<T: for<'de> Deserialize<'de>>(&self) -> Option<T> {
        serde_json::from_str(self.value.as_deref()?).ok()
    }
}
