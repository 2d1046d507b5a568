//! The stored form of a cancellation.

use super::{FormatError, Origin, decode_extended};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The cancellation of a job, or of an id under which no job is stored yet.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Cancellation {
    /// The layout, always 1.
    pub layout: u8,
    /// When it was accepted, in milliseconds since 1970 by the accepting entry's clock; 0 in rows of
    /// releases that didn't store it.
    pub at_ms: u64,
    /// Who cancelled the id while no job was stored under it.  Empty if a job was stored that its
    /// caller may access, and in rows of releases that stored only such cancellations.
    pub early_callers: SmallVec<[Origin; 1]>,
}

impl Cancellation {
    /// The cancellation of a stored job that its caller may access.
    pub fn of_stored_job(at_ms: u64) -> Self {
        Self { layout: 1, at_ms, early_callers: SmallVec::new() }
    }

    /// The cancellation of an id under which no job is stored, which replaces a former one.
    pub fn early(caller: &Origin, at_ms: u64, former: Option<&Self>) -> Self {
        let mut early_callers =
            former.map(|former| former.early_callers.clone()).unwrap_or_default();
        if !early_callers.contains(caller) {
            early_callers.push(caller.clone());
        }
        Self { layout: 1, at_ms, early_callers }
    }

    /// Decodes a row.  Rows of older releases end before `at_ms` or `early_callers`.
    ///
    /// # Errors
    /// Returns an error if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode_extended(bytes)
    }

    /// Whether it cancels a job that `owner` submitted.
    pub fn applies_to(&self, owner: &Origin) -> bool {
        self.early_callers.is_empty()
            || self.early_callers.iter().any(|caller| caller.may_access(owner))
    }
}
