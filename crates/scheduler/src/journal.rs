//! Structured log lines, bounded in number and never in the way.
//!
//! Each line is an event with fields.  A budget for each event and second keeps the volume
//! bounded under load; what was left out is counted and told with the next line.  Lines go
//! through a bounded queue to a thread of their own, so nobody waits when nobody reads them.

use log::Level;
use log::kv::ToValue;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines that may wait for the output.  A thousand lines of some 200 bytes are 200 KB.
const QUEUE_CAPACITY: usize = 1000;

/// Lines of one event in a second.  Thirty jobs a second with ten decisions each, spread over
/// eight entries, stay below; a flood does not get above.
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
    left_out: u64,
}

struct Window {
    began: Instant,
    budgets: HashMap<&'static str, Budget>,
}

/// Where events are noted.
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
            .expect("a thread can be started before anything else is");
        let window = Window { began: Instant::now(), budgets: HashMap::new() };
        Self { sender, window: Mutex::new(window), dropped: AtomicU64::new(0) }
    }
}

impl Journal {
    /// Notes an event.
    pub fn info(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Info, event, fields);
    }

    /// Notes an event that an operator should look at.
    pub fn warn(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Warn, event, fields);
    }

    /// Lines lost because the output was not read.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn write(&self, level: Level, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        if level > log::max_level() {
            return;
        }
        let Some(left_out) = self.consume_budget(event) else { return };
        let mut values: Fields =
            fields.iter().map(|(name, value)| (*name, value.to_string())).collect();
        if left_out > 0 {
            values.push(("left_out", left_out.to_string()));
        }
        match self.sender.try_send(Line { level, event, fields: values }) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    /// Takes a line from the budget; returns how many were left out before it.
    fn consume_budget(&self, event: &'static str) -> Option<u64> {
        let mut window = self.window.lock();
        if window.began.elapsed() >= Duration::from_secs(1) {
            window.began = Instant::now();
            window.budgets.values_mut().for_each(|budget| budget.used = 0);
        }
        let budget = window.budgets.entry(event).or_default();
        if budget.used >= MAX_EVENT_LINES_PER_SECOND {
            budget.left_out += 1;
            return None;
        }
        budget.used += 1;
        Some(std::mem::take(&mut budget.left_out))
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
