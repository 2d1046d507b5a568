//! Reads the log lines of entries from files or standard input.
//!
//! A log line is a JSON object.  A log collector may put a prefix such as time and host before it;
//! the last word of the prefix is then the name of the source.

use crate::Error;
use crate::error::FileSnafu;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

/// One log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Timestamp as written by the source.
    pub at: String,
    /// The same in milliseconds since the Unix epoch.
    #[serde(skip)]
    pub at_ms: i64,
    /// Name of the source: the last word before the JSON object, or else that of the file.
    pub source: String,
    /// Name of the event.
    pub event: String,
    /// Key-value pairs of the event.
    pub fields: BTreeMap<String, String>,
}

#[derive(Deserialize)]
struct Raw {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line; `None` if it isn't a log line of an entry.
    pub fn parse(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let raw: Raw = serde_json::from_str(&text[start..]).ok()?;
        let before = text[..start].split_whitespace().last();
        Some(Self {
            at_ms: raw.timestamp.parse::<jiff::Timestamp>().ok()?.as_millisecond(),
            at: raw.timestamp,
            source: before.unwrap_or(source).into(),
            event: raw.message,
            fields: raw.kvs,
        })
    }

    /// Value of a field; empty if the line has no such field.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Whether it is about a single job or request, not about the state of an entry.
    pub fn is_job_event(&self) -> bool {
        ["job", "task", "request"].iter().any(|name| self.fields.contains_key(*name))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.source, self.event)?;
        self.fields.iter().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// Reads the log lines of the files, or of standard input if there are none.  Lines that aren't log
/// lines of an entry are skipped.
///
/// # Errors
/// `File` when a file can't be read.
pub fn read(files: &[PathBuf]) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        let source = path.file_stem().map(|stem| stem.to_string_lossy()).unwrap_or_default();
        lines.extend(text.lines().filter_map(|line| Line::parse(line, &source)));
    }
    if files.is_empty() {
        let mut text = String::new();
        let path = Path::new("standard input");
        std::io::stdin().read_to_string(&mut text).context(FileSnafu { path })?;
        lines.extend(text.lines().filter_map(|line| Line::parse(line, "-")));
    }
    Ok(lines)
}
