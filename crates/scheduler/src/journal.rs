//! Structured log lines with bounded volume that never block.
//!
//! Each line is an event with fields.  A budget per event and second bounds the volume under load;
//! omitted lines are counted and reported with the next line.  Lines pass through a bounded queue
//! to a writer thread, so nothing blocks when the output isn't read.

use log::Level;
use log::kv::ToValue;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines that may wait for the writer thread.  A thousand lines of some 200 bytes take 200 KB.
const QUEUE_CAPACITY: usize = 1000;

/// Maximum number of lines of one event in a second.  Thirty jobs a second with ten decisions each,
/// spread over eight entries, stay below this; a flood is truncated.
const MAX_EVENT_LINES_PER_SECOND: u32 = 60;

/// Field names and values of a line.
pub type Fields = Vec<(&'static str, String)>;

struct Line {
    level: Level,
    event: &'static str,
    fields: Fields,
}

#[derive(Default)]
struct Budget {
    used: u32,
    omitted: u64,
}

struct Window {
    began: Instant,
    budgets: HashMap<&'static str, Budget>,
}

/// Non-blocking event log with a rate limit per event.
pub struct Journal {
    sender: SyncSender<Line>,
    window: Mutex<Window>,
    dropped: AtomicU64,
}

impl Default for Journal {
    fn default() -> Self {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
        std::thread::Builder::new()
            .name("journal".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver))
            .expect("the journal thread can be started");
        let window = Window { began: Instant::now(), budgets: HashMap::new() };
        Self { sender, window: Mutex::new(window), dropped: AtomicU64::new(0) }
    }
}

impl Journal {
    /// Logs an event at level info.
    pub fn info(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Info, event, fields);
    }

    /// Logs an event that needs an operator's attention.
    pub fn warn(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Warn, event, fields);
    }

    /// Number of lines lost because the output was not read.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn write(&self, level: Level, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        if level > log::max_level() {
            return;
        }
        let Some(omitted) = self.consume_budget(event) else { return };
        let mut values: Fields =
            fields.iter().map(|(name, value)| (*name, value.to_string())).collect();
        if omitted > 0 {
            values.push(("left_out", omitted.to_string()));
        }
        match self.sender.try_send(Line { level, event, fields: values }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Consumes one line of the event's budget.  Returns how many lines were omitted before it;
    /// none if the budget is used up.
    fn consume_budget(&self, event: &'static str) -> Option<u64> {
        let mut window = self.window.lock();
        if window.began.elapsed() >= Duration::from_secs(1) {
            window.began = Instant::now();
            window.budgets.values_mut().for_each(|budget| budget.used = 0);
        }
        let budget = window.budgets.entry(event).or_default();
        if budget.used >= MAX_EVENT_LINES_PER_SECOND {
            budget.omitted += 1;
            return None;
        }
        budget.used += 1;
        Some(std::mem::take(&mut budget.omitted))
    }
}

fn write_lines(receiver: &Receiver<Line>) {
    while let Ok(line) = receiver.recv() {
        let pairs: Vec<(&str, log::kv::Value<'_>)> =
            line.fields.iter().map(|(name, text)| (*name, text.to_value())).collect();
        let pairs = pairs.as_slice();
        let mut record = log::Record::builder();
        record.level(line.level).target("celerythread").key_values(&pairs);
        log::logger().log(&record.args(format_args!("{}", line.event)).build());
    }
}
