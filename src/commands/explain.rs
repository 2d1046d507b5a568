//! `celerythread explain`: the history of one request or job, from log lines.

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
        /// Prints the history of one request or job and the most likely cause of a failure or delay.
        ///
        /// Example: celerythread explain 5c0e7a21d94b36f8 entry-1.log entry-2.log
        cmd celerythread-explain {
            /// The id of the job or of the request.
            required id: String
            /// Log files of entries; standard input if there are none.
            repeated files: PathBuf
            /// Prints JSON.
            optional --json
        }
    }
}

pub(crate) fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(flags::CelerythreadExplain::from_vec(arguments))?;
    let lines = logs::read(&flags.files)?;
    let trace = Trace::collect(&flags.id, &lines);
    if flags.json {
        let cause = trace.cause();
        let all = serde_json::json!({ "job": trace.job, "lines": trace.lines, "cause": cause });
        output::json(&all);
        return Ok(());
    }
    output::lines(&trace.lines);
    output::lines([format!("cause: {}", trace.cause())]);
    Ok(())
}
