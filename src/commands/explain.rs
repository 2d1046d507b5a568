//! `celerythread explain`: the life of one request or job, from log lines.

use super::parsed;
use crate::Error;
use crate::explain::Trace;
use crate::logs;
use crate::output;
use std::ffi::OsString;

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
    let lines = logs::read(&flags.files)?;
    let story = Trace::collect(&flags.id, &lines);
    if flags.json {
        let cause = story.cause();
        let all = serde_json::json!({ "job": story.job, "lines": story.lines, "cause": cause });
        output::json(&all);
        return Ok(());
    }
    output::lines(&story.lines);
    output::lines([format!("cause: {}", story.cause())]);
    Ok(())
}
