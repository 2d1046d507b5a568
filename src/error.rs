//! Errors that end a program, each with a numbered result code.

use celerythread_model::code::Code;
use celerythread_model::ini::Mistake;
use snafu::Snafu;
use std::path::PathBuf;

/// An error that is reported to the user.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file has mistakes.
    #[snafu(display("{} mistakes", mistakes.len()))]
    Mistakes {
        /// All mistakes found.
        mistakes: Vec<Mistake>,
    },
    /// No entry could be reached.
    #[snafu(display("no entry answers: {reason}"))]
    NoEntry {
        /// Failure of the last one tried.
        reason: String,
    },
    /// An entry refused the request.
    #[snafu(display("{detail}"))]
    Refused {
        /// Number of the result code.
        number: u16,
        /// Name of the result code.
        title: String,
        /// Why it was refused.
        detail: String,
        /// Further details as JSON: mistakes, a diff, or other data.
        extra: serde_json::Value,
    },
    /// The command line is invalid.
    #[snafu(display("{text}"))]
    Usage {
        /// What is wrong.
        text: String,
    },
    /// Some entries still use an older configuration.
    #[snafu(display("not in force everywhere: {text}"))]
    NotInForce {
        /// Ids of these entries.
        text: String,
    },
    /// A key or certificate can't be created or used.
    #[snafu(display("{source}"))]
    Key {
        /// The cause.
        source: celerythread_wire::Error,
    },
    /// The daemon could not start.
    #[snafu(display("{source}"))]
    Start {
        /// The cause.
        source: celerythread_entry::daemon::Error,
    },
    /// The daemon could not start on the users' platform.
    #[snafu(display("{source}"))]
    Scheduler {
        /// The cause.
        source: celerythread_scheduler::daemon::Error,
    },
}

impl Error {
    /// Number of the result code.
    pub fn number(&self) -> u16 {
        match self {
            Error::File { .. } => Code::UnreadableFile.number(),
            Error::Mistakes { mistakes } => {
                mistakes.first().map_or(Code::BadValue, |mistake| mistake.code).number()
            }
            Error::NoEntry { .. } => Code::NoEntry.number(),
            Error::Refused { number, .. } => *number,
            Error::Usage { .. } => Code::Usage.number(),
            Error::NotInForce { .. } => Code::NotInForce.number(),
            Error::Key { source } => source.code().number(),
            Error::Start { .. } | Error::Scheduler { .. } => Code::PeerUnreachable.number(),
        }
    }

    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        use strum::VariantArray;
        let number = self.number();
        let code = Code::VARIANTS.iter().find(|code| code.number() == number);
        code.map_or(1, |code| code.exit_code().max(1))
    }

    /// Prints the error with its details to standard error.
    pub fn print(&self) {
        match self {
            Error::Mistakes { mistakes } => {
                for mistake in mistakes {
                    eprintln!("{mistake}");
                }
            }
            Error::Refused { number, title, detail, extra } => {
                eprintln!("{number} {title}: {detail}");
                print_extra(extra);
            }
            other => eprintln!("{}: {other}", other.number()),
        }
    }
}

/// Prints mistakes one per line, a diff verbatim, and anything else as JSON.
fn print_extra(extra: &serde_json::Value) {
    if let Ok(mistakes) = serde_json::from_value::<Vec<Mistake>>(extra.clone()) {
        for mistake in mistakes {
            eprintln!("{mistake}");
        }
    } else if let Some(diff) = extra.get("diff").and_then(|diff| diff.as_str()) {
        eprintln!("{diff}");
    } else if !extra.is_null() {
        eprintln!("{extra}");
    }
}
