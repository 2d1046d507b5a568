//! What a case has sent, what was answered and what ran.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case, in `record.txt` of its folder.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self { began: Instant::now(), file: Mutex::new(file) }
    }

    /// Writes a line with the time since the beginning in milliseconds.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>6} {text}");
    }
}
