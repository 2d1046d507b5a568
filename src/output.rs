//! Prints to standard output: tables for people, JSON for programs.

use serde_json::Value;
use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

/// Prints text.
///
/// A closed pipe, as `head` leaves it, is no error; the standard macros would panic in the middle
/// of a long list.
pub fn text(text: &str) {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            eprintln!("cannot write to standard output: {error}")
        }
        _ => {}
    }
}

/// Prints a line for each item.
pub fn lines<T: Display>(items: impl IntoIterator<Item = T>) {
    let all: String = items.into_iter().map(|item| format!("{item}\n")).collect();
    text(&all);
}

/// Prints a value as one line of JSON.
pub fn json(value: &Value) {
    lines([value]);
}

/// Prints rows below a header row, each column as wide as its widest cell.
pub fn table(titles: &[&str], rows: &[Vec<String>]) {
    text(&format_table(titles, rows));
}

/// Formats a table.
pub fn format_table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let titles: Vec<String> = titles.iter().map(|title| (*title).to_owned()).collect();
    let all = || std::iter::once(&titles).chain(rows);
    let columns = titles.len();
    let width = |column: usize| {
        let cells = all().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in all() {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a field of a JSON object as a table cell; `-` if it is missing or null.
pub fn cell(value: &Value, field: &str) -> String {
    match value.get(field) {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(items)) => {
            let texts: Vec<String> = items
                .iter()
                .map(|v| v.as_str().map_or_else(|| v.to_string(), str::to_owned))
                .collect();
            texts.join(",")
        }
        Some(other) => other.to_string(),
    }
}

/// Prints a list of JSON objects, as JSON or as a table with these fields as columns.
pub fn list(as_json: bool, value: &Value, fields: &[&str]) {
    if as_json {
        return json(value);
    }
    let items = value.as_array().cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> =
        items.iter().map(|item| fields.iter().map(|field| cell(item, field)).collect()).collect();
    let titles: Vec<String> = fields.iter().map(|field| field.to_uppercase()).collect();
    let titles: Vec<&str> = titles.iter().map(String::as_str).collect();
    table(&titles, &rows);
}

/// Prints one JSON object, as JSON or one field per line.
pub fn record(as_json: bool, value: &Value) {
    if as_json {
        return json(value);
    }
    let fields = value.as_object().into_iter().flatten();
    lines(fields.map(|(field, _)| format!("{field}: {}", cell(value, field))));
}
