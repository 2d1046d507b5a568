//! The in-memory platform, served by the stand-in and used by tests.

mod objects;
mod roster;
mod table;
mod workers;

use crate::Platform;
use std::sync::Arc;

pub use objects::Objects;
pub use roster::Roster;
pub use table::Table;
pub use workers::{Behaviour, Workers};

/// A platform in memory, with access to its parts.
#[derive(Clone, Default)]
pub struct Memory {
    /// The table.
    pub table: Arc<Table>,
    /// The object store.
    pub objects: Arc<Objects>,
    /// The list of instances.
    pub roster: Arc<Roster>,
    /// The workers.
    pub workers: Arc<Workers>,
}

impl Memory {
    /// The parts as trait objects.
    pub fn platform(&self) -> Platform {
        Platform {
            table: self.table.clone(),
            objects: self.objects.clone(),
            roster: self.roster.clone(),
            workers: self.workers.clone(),
        }
    }
}
