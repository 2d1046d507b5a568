//! Where the jobs of a queue are stored.
//!
//! The configuration may send a queue to another service at any time, and entries learn of that one
//! after the other.  So the partition of a queue's jobs never changes, and each stored job names
//! the service that it was accepted for.  A repeated submission then meets the stored job whatever
//! configuration the entry has that receives it.

use super::{Accepted, FormatError, decode};
use serde::{Deserialize, Serialize};

/// The storage of a queue's jobs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Home {
    /// The service that names the partitions with the queue's jobs.
    pub partition: String,
    /// The services that jobs of the queue may have been accepted for.
    pub services: Vec<String>,
}

impl Home {
    /// The home of a queue that a service is the first to run jobs of.
    pub fn new(service: &str) -> Self {
        Self { partition: service.into(), services: vec![service.into()] }
    }

    /// Decodes a stored home.
    ///
    /// # Errors
    /// Returns an error if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode(bytes)
    }

    /// Whether jobs of the queue may be accepted for a service.
    pub fn includes(&self, service: &str) -> bool {
        self.services.iter().any(|known| known == service)
    }

    /// The same home, with one more service that jobs may be accepted for.
    pub fn with(mut self, service: &str) -> Self {
        if !self.includes(service) {
            self.services.push(service.into());
        }
        self
    }

    /// Whether a service has jobs in partitions of another service.
    pub fn is_foreign_to(&self, service: &str) -> bool {
        self.partition != service && self.includes(service)
    }
}

impl Accepted {
    /// The service that runs the job, which is stored in this service's partitions.
    ///
    /// Releases that stored no service stored each job in the partitions of its own.
    pub fn service<'a>(&'a self, partition: &'a str) -> &'a str {
        self.service.as_deref().unwrap_or(partition)
    }
}
