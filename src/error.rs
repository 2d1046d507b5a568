//! What can end a program, each with a numbered code.

use celerythread_model::code::Code;
use celerythread_model::ini::Mistake;
use snafu::Snafu;
use std::path::PathBuf;

/// A failure that the user is told.
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
        /// All of them.
        mistakes: Vec<Mistake>,
    },
    /// No entry could be reached.
    #[snafu(display("no entry answers: {reason}"))]
    NoEntry {
        /// What happened with the last one.
        reason: String,
    },
    /// An entry refused.
    #[snafu(display("{detail}"))]
    Refused {
        /// The code's number.
        number: u16,
        /// Its name.
        title: String,
        /// What happened.
        detail: String,
        /// More, for people and programs.
        extra: serde_json::Value,
    },
    /// The command line is wrong.
    #[snafu(display("{text}"))]
    Usage {
        /// What is wrong.
        text: String,
    },
    /// Some entries lag behind.
    #[snafu(display("not in force everywhere: {text}"))]
    NotInForce {
        /// Which.
        text: String,
    },
    /// A key cannot be made or used.
    #[snafu(display("{source}"))]
    Key {
        /// Why.
        source: celerythread_wire::Error,
    },
    /// The daemon could not start.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: celerythread_entry::daemon::Error,
    },
    /// The daemon could not start on the users' platform.
    #[snafu(display("{source}"))]
    Scheduler {
        /// Why.
        source: celerythread_scheduler::daemon::Error,
    },
}

impl Error {
    /// The code's number.
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

    /// The process's exit code.
    pub fn exit(&self) -> u8 {
        use strum::VariantArray;
        let number = self.number();
        let code = Code::VARIANTS.iter().find(|code| code.number() == number);
        code.map_or(1, |code| code.exit_code().max(1))
    }

    /// Prints the error with everything that helps to mend its cause.
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

/// Mistakes as lines, a diff as it is, and anything else as JSON.
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
