//! The daemon of an entry instance.

use celerythread::daemon;
use std::process::ExitCode;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs an entry instance.
        ///
        /// Example: celerythreadd --settings entry.ini
        cmd celerythreadd {
            /// The settings file, in INI format; defaults to the one that CELERYTHREAD_SETTINGS names.
            optional --settings path: PathBuf
            /// Checks the settings, prints every mistake, and exits.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = match flags::Celerythreadd::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    let done = daemon::settings_path(flags.settings).and_then(|path| {
        if flags.check {
            daemon::Role::read(&path).map(|_| println!("the settings are right"))
        } else {
            daemon::run(&path)
        }
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.print();
            ExitCode::from(error.exit_code())
        }
    }
}
