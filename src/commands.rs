//! The subcommands of `celerythread`, one file each.

mod codes;
mod config;
mod explain;
mod fleet;
mod job;
mod keys;
mod maintenance;
mod minion;
mod pool;
mod status;
mod timeline;

use crate::Error;
use std::ffi::OsString;

/// Output of `celerythread --help`.
const HELP: &str = "\
celerythread: the operators' command line

  config       check, apply, show, history, status
  pool         list, move
  minion       list
  maintenance  declare, list, cancel
  job          submit, list, cancel
  status       what the entries know
  fleet        what the platform's store keeps: entries, who holds each cell, waves
  explain      the history of one request or job, from the log lines of entries
  timeline     the events of all entries, in causal order
  keys         create a certificate authority and instances' keys
  codes        print the result codes

Every command takes --help, --json, and --entry ADDRESS (several times; without it the
entries are taken from CELERYTHREAD_ENTRIES).  The exit code is 0 on success, else
the group of the result code: 1 callers, 2 operators, 3 files, 4 peers, 5 nobody answered.
";

/// Runs the subcommand that the first argument names.
///
/// # Errors
/// The failure of the subcommand, or `Usage` for an unknown one.
pub async fn run(mut arguments: Vec<OsString>) -> Result<(), Error> {
    let word = if arguments.is_empty() { OsString::new() } else { arguments.remove(0) };
    match word.to_string_lossy().as_ref() {
        "config" => config::run(arguments).await,
        "pool" => pool::run(arguments).await,
        "minion" => minion::run(arguments).await,
        "maintenance" => maintenance::run(arguments).await,
        "job" => job::run(arguments).await,
        "fleet" => fleet::run(arguments).await,
        "status" => status::run(arguments).await,
        "timeline" => timeline::run(arguments).await,
        "explain" => explain::run(arguments),
        "keys" => keys::run(arguments),
        "codes" => codes::run(arguments),
        "--help" | "-h" | "help" => {
            print!("{HELP}");
            Ok(())
        }
        "" => Err(Error::Usage { text: HELP.into() }),
        other => Err(Error::Usage { text: format!("there is no command {other:?}\n\n{HELP}") }),
    }
}

/// Unwraps parsed flags.  A request for help prints it and exits the process with code 0.
fn parsed<T>(result: xflags::Result<T>) -> Result<T, Error> {
    match result {
        Ok(flags) => Ok(flags),
        Err(error) if error.is_help() => error.exit(),
        Err(error) => Err(Error::Usage { text: error.to_string() }),
    }
}

/// Generates a unique name for an object that the operator did not name.
fn new_name(kind: &str) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = now.map_or(0, |since| since.as_nanos());
    format!("{kind}-{nanos:x}-{}", std::process::id())
}

/// Name of the operator, recorded with a change.
fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".into())
}
