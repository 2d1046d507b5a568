//! `celerythread explain`: the life of one request or job, from log lines.

use super::parsed;
use crate::Error;
use crate::error::FileSnafu;
use crate::explain::{Line, Story};
use snafu::ResultExt;
use std::ffi::OsString;
use std::fs;
use std::io::Read;
use std::path::Path;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// The life of one request or job, in order, and what most likely went wrong.
        ///
        /// Example: celerythread explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
        cmd celerythread-explain {
            /// The id of the job or of the request.
            required id: String
            /// Log files of entries; without any, standard input.
            repeated files: PathBuf
            /// Prints JSON.
            optional --json
        }
    }
}

pub(crate) fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(flags::CelerythreadExplain::from_vec(arguments))?;
    let mut lines = Vec::new();
    for path in &flags.files {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        let source = path.file_stem().map(|stem| stem.to_string_lossy()).unwrap_or_default();
        lines.extend(text.lines().filter_map(|line| Line::parse(line, &source)));
    }
    if flags.files.is_empty() {
        let mut text = String::new();
        let path = Path::new("standard input");
        std::io::stdin().read_to_string(&mut text).context(FileSnafu { path })?;
        lines.extend(text.lines().filter_map(|line| Line::parse(line, "-")));
    }
    let story = Story::tell(&flags.id, &lines);
    if flags.json {
        let cause = story.cause();
        let all = serde_json::json!({ "job": story.job, "lines": story.lines, "cause": cause });
        println!("{all}");
        return Ok(());
    }
    for line in &story.lines {
        let fields: Vec<String> =
            line.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
        println!("{} {} {} {}", line.at, line.source, line.event, fields.join(" "));
    }
    println!("cause: {}", story.cause());
    Ok(())
}
