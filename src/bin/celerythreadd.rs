//! The daemon of an entry instance.

use celerythread::daemon;
use std::process::ExitCode;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::path::PathBuf;

    xflags::xflags! {
        /// The daemon of an entry instance.
        ///
        /// Example: celerythreadd --settings entry.ini
        cmd celerythreadd {
            /// The settings, an INI file.
            required --settings path: PathBuf
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
    let done = if flags.check {
        daemon::read_settings(&flags.settings).map(|_| println!("the settings are right"))
    } else {
        daemon::run(&flags.settings)
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error.print();
            ExitCode::from(error.exit())
        }
    }
}
