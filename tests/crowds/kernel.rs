//! Bytes that the kernel holds for the connections of a listener.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Interval between two readings.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The highest number of bytes that was seen.
#[derive(Debug, Default)]
struct Peak {
    bytes: AtomicU64,
    is_over: AtomicBool,
}

/// Reads what the kernel holds for the connections of a port, until it is dropped.
pub(crate) struct Watch(Arc<Peak>);

impl Watch {
    pub(crate) fn start(port: u16) -> Self {
        let peak = Arc::<Peak>::default();
        let watched = peak.clone();
        thread::spawn(move || {
            while !watched.is_over.load(Ordering::SeqCst) {
                watched.bytes.fetch_max(held_bytes(port).unwrap_or(0), Ordering::SeqCst);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self(peak)
    }

    /// The highest number of unread and unsent bytes that was seen.
    pub(crate) fn peak(&self) -> u64 {
        self.0.bytes.load(Ordering::SeqCst)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.0.is_over.store(true, Ordering::SeqCst);
    }
}

/// The bytes that were received and not read, and those that were written and not acknowledged, of
/// all connections with a local port.
fn held_bytes(port: u16) -> Option<u64> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    Some(table.lines().skip(1).filter_map(|line| row_bytes(line, port)).sum())
}

/// The bytes in both queues of a row of the table, if it has the local port; all numbers are
/// hexadecimal.
fn row_bytes(row: &str, port: u16) -> Option<u64> {
    let fields: Vec<&str> = row.split_whitespace().collect();
    let (_, local_port) = fields.get(1)?.split_once(':')?;
    if u16::from_str_radix(local_port, 16).ok()? != port {
        return None;
    }
    let (unsent, unread) = fields.get(4)?.split_once(':')?;
    Some(u64::from_str_radix(unsent, 16).ok()? + u64::from_str_radix(unread, 16).ok()?)
}
