//! How the memory and the descriptors of an instance are divided.
//!
//! An eighth of the memory is for requests, a quarter each for connections and for jobs.  The rest
//! is for what does not depend on clients: the views of the deployment, connections to minions and
//! to the platform, and what the allocator keeps.

use super::Settings;
use celerythread_model::code::Code;
use celerythread_model::ini::Reader;
use celerythread_model::unit::{Bytes, Span};

/// Memory of a connection with its buffers, the free part of its body and its task, in bytes.
const CONNECTION_MEMORY: u64 = 20 * 1024;

/// Descriptors that are not for sockets.
const FILE_DESCRIPTORS: u64 = 200;

/// Connections at the readiness check, and as many at the metrics.
const MONITORING_CONNECTIONS: usize = 32;

/// Least memory and descriptors of an instance.
const MIN_MEMORY: Bytes = Bytes::mebi(32);
const MIN_DESCRIPTORS: u64 = 280;

impl Settings {
    /// Memory for the requests that are being received or processed, in bytes.
    pub fn request_memory(&self) -> u64 {
        self.memory.0 / 8
    }

    /// Memory for the jobs of the cells that the entry owns, in bytes.
    pub fn job_memory(&self) -> u64 {
        self.memory.0 / 4
    }

    /// Maximum number of open connections of callers.  A quarter of the sockets are left for the
    /// entry's own connections to minions, peers and the platform.
    pub fn max_caller_connections(&self) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_memory = self.memory.0 / 4 / CONNECTION_MEMORY;
        (sockets * 3 / 4).min(by_memory) as usize
    }

    /// Maximum number of open connections at each of the readiness check and the metrics, if they
    /// have addresses of their own.
    pub fn max_monitoring_connections(&self) -> usize {
        MONITORING_CONNECTIONS.min(self.max_caller_connections())
    }

    /// Maximum number of callers' requests that are processed at the same time; each may have a
    /// connection to the store.
    pub fn max_requests(&self) -> u64 {
        self.descriptors.saturating_sub(FILE_DESCRIPTORS) / 8
    }

    /// Reports limits that no ordinary client could keep to.
    pub(super) fn check_machine(&self, reader: &mut Reader) {
        if self.memory < MIN_MEMORY {
            let text = format!("memory {} is less than {MIN_MEMORY}", self.memory);
            reader.add_mistake(Code::OutOfRange, "instance", "memory", text);
        }
        if self.descriptors < MIN_DESCRIPTORS {
            let text = format!("descriptors {} are less than {MIN_DESCRIPTORS}", self.descriptors);
            reader.add_mistake(Code::OutOfRange, "instance", "descriptors", text);
        }
        if self.body_timeout < Span::secs(1) {
            let text = format!("body_timeout {} is less than 1s", self.body_timeout);
            reader.add_mistake(Code::OutOfRange, "caller", "body_timeout", text);
        }
        if self.row_bytes < 1024 {
            let text = format!("row_bytes {} are less than 1024", self.row_bytes);
            reader.add_mistake(Code::OutOfRange, "platform", "row_bytes", text);
        }
        if self.body_limit > self.request_memory() / 2 {
            let text = format!(
                "body_limit {} is more than half of the memory for requests, {}, an eighth of \
                 instance.memory",
                self.body_limit,
                self.request_memory()
            );
            reader.add_mistake(Code::Contradiction, "caller", "body_limit", text);
        }
    }
}
