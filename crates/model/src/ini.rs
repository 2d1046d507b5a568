//! Reading of INI files that reports all mistakes together, each with its location and code.

use crate::code::Code;
use ini::Ini;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A mistake in a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Mistake {
    /// The kind of mistake.
    pub code: Code,
    /// The section, without brackets.
    pub section: String,
    /// The key; empty if the mistake concerns the section itself.
    pub key: String,
    /// The line, counted from 1; 0 if the section or key is missing.
    pub line: usize,
    /// What is wrong and what is expected.
    pub text: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: [{}]", self.code.number(), self.code, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if self.line > 0 {
            write!(f, " (line {})", self.line)?;
        }
        write!(f, ": {}", self.text)
    }
}

/// A parsed file that collects mistakes while its values are read.
pub struct Reader {
    ini: Ini,
    lines: Vec<(usize, String, String)>,
    known_keys: BTreeSet<(String, String)>,
    mistakes: Vec<Mistake>,
}

impl Reader {
    /// Parses `text`.  A text that is not INI results in an empty file and one mistake.
    pub fn new(text: &str) -> Self {
        let mut mistakes = Vec::new();
        let ini = Ini::load_from_str_noescape(text).unwrap_or_else(|error| {
            mistakes.push(Mistake {
                code: Code::NotIni,
                section: String::new(),
                key: String::new(),
                line: error.line,
                text: error.msg.to_string(),
            });
            Ini::new()
        });
        let lines = index_lines(text);
        let mut reader = Self { ini, lines, known_keys: BTreeSet::new(), mistakes };
        reader.add_duplicates();
        reader
    }

    fn add_duplicates(&mut self) {
        let mut seen = BTreeSet::new();
        let mut duplicates = Vec::new();
        for (line, section, key) in &self.lines {
            if !seen.insert((section.clone(), key.clone())) {
                duplicates.push((*line, section.clone(), key.clone()));
            }
        }
        for (line, section, key) in duplicates {
            let text = "given more than once".into();
            self.mistakes.push(Mistake { code: Code::DuplicateKey, section, key, line, text });
        }
    }

    /// The names of the sections, in order and without duplicates.
    pub fn sections(&self) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for name in self.ini.sections().flatten() {
            if !names.iter().any(|known| known == name) {
                names.push(name.into());
            }
        }
        names
    }

    /// The trimmed text of a key.  Marks the key as known for [`Reader::finish`].
    pub fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.known_keys.insert((section.into(), key.into()));
        self.ini.section(Some(section))?.get(key).map(|value| value.trim().into())
    }

    /// A value with a default.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T) -> T
    where
        T::Err: fmt::Display,
    {
        self.optional(section, key).unwrap_or(default)
    }

    /// An optional value.
    pub fn optional<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let text = self.text(section, key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add_mistake(Code::BadValue, section, key, error.to_string());
                None
            }
        }
    }

    /// A mandatory value; adds a mistake if it is missing.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        if self.text(section, key).is_none() {
            self.add_mistake(Code::MissingKey, section, key, "must be given".into());
            return None;
        }
        self.optional(section, key)
    }

    /// A list separated by commas; empty when the key is missing.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str) -> Vec<T>
    where
        T::Err: fmt::Display,
    {
        let text = self.text(section, key).unwrap_or_default();
        let mut values = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse::<T>() {
                Ok(value) => values.push(value),
                Err(error) => self.add_mistake(Code::BadValue, section, key, error.to_string()),
            }
        }
        values
    }

    /// A value with a default; adds a mistake if it is not between `low` and `high` (inclusive).
    pub fn ranged<T>(&mut self, section: &str, key: &str, default: T, low: T, high: T) -> T
    where
        T: FromStr + PartialOrd + fmt::Display,
        T::Err: fmt::Display,
    {
        let value = self.value(section, key, default);
        if value < low || value > high {
            let text = format!("{value} is not between {low} and {high}");
            self.add_mistake(Code::OutOfRange, section, key, text);
        }
        value
    }

    /// Adds a mistake at a key.
    pub fn add_mistake(&mut self, code: Code, section: &str, key: &str, text: String) {
        let line = self.line(section, key);
        self.mistakes.push(Mistake { code, section: section.into(), key: key.into(), line, text });
    }

    fn line(&self, section: &str, key: &str) -> usize {
        let found = self.lines.iter().find(|(_, s, k)| s == section && k == key);
        found.map_or(0, |(line, _, _)| *line)
    }

    /// Parses `text`, reads it with `read` and returns the result if there is no mistake.  Only
    /// the sections in `sections` are known.
    ///
    /// # Errors
    /// All mistakes.
    pub fn read_whole<T>(
        text: &str,
        sections: &[&str],
        read: impl FnOnce(&mut Reader) -> T,
    ) -> Result<T, Vec<Mistake>> {
        let mut reader = Reader::new(text);
        let value = read(&mut reader);
        let mistakes = reader.finish(|section| sections.contains(&section));
        if mistakes.is_empty() { Ok(value) } else { Err(mistakes) }
    }

    /// Returns all mistakes by line.  Sections that aren't known and keys that were never read are
    /// mistakes, too.
    pub fn finish(mut self, known_section: impl Fn(&str) -> bool) -> Vec<Mistake> {
        let mut unknown = Vec::new();
        for (line, section, key) in &self.lines {
            if !known_section(section) {
                if key.is_empty() {
                    unknown.push((Code::UnknownSection, *line, section, key, "is not a section"));
                }
            } else if !key.is_empty() && !self.known_keys.contains(&(section.clone(), key.clone()))
            {
                unknown.push((
                    Code::UnknownKey,
                    *line,
                    section,
                    key,
                    "is not a key of this section",
                ));
            }
        }
        let unknown: Vec<Mistake> = unknown
            .into_iter()
            .map(|(code, line, section, key, text)| {
                let (section, key, text) = (section.clone(), key.clone(), text.into());
                Mistake { code, section, key, line, text }
            })
            .collect();
        self.mistakes.extend(unknown);
        self.mistakes.sort_by_key(|mistake| mistake.line);
        self.mistakes
    }
}

/// The line, section and key of each section header (with an empty key) and of each key.
fn index_lines(text: &str) -> Vec<(usize, String, String)> {
    let mut places = Vec::new();
    let mut section = String::new();
    for (number, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            section = name.trim().into();
            places.push((number + 1, section.clone(), String::new()));
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            places.push((number + 1, section.clone(), key.trim().into()));
        }
    }
    places
}
