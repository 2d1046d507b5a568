//! The log lines of entries, as files or on standard input.
//!
//! A log line is a JSON object; what stands before it on its line, as a log collector's time and
//! host, is taken for the name of its source.

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
    /// When, as the source wrote it.
    pub at: String,
    /// Milliseconds since 1970.
    #[serde(skip)]
    pub at_ms: i64,
    /// Where it comes from.
    pub source: String,
    /// What happened.
    pub event: String,
    /// The inputs and the outcome.
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
    /// Reads a line; none for one that is no log line of an entry.
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

    /// A field; empty if the line has none of this name.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Whether it is about a single job or request, not about what an entry believes.
    pub fn is_of_a_job(&self) -> bool {
        ["job", "task", "request"].iter().any(|name| self.fields.contains_key(*name))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.source, self.event)?;
        self.fields.iter().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// Reads the lines of files; without any, those of standard input.  Other lines are passed over.
///
/// # Errors
/// When a file can't be read.
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
