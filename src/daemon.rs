//! What `celerythreadd` does: read its settings, serve, and stop gracefully when told.

use crate::Error;
use crate::error::{FileSnafu, KeySnafu, StartSnafu};
use async_std::channel;
use celerythread_entry::settings::LogFormat;
use celerythread_entry::{Daemon, Settings};
use celerythread_platform::http::Client;
use celerythread_wire::Identity;
use logforth::append::Stdout;
use logforth::layout::{JsonLayout, TextLayout};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::fs;
use std::path::Path;

/// Reads and checks a settings file.
///
/// # Errors
/// `File` or `Mistakes`.
pub fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    Settings::read(&text).map_err(|mistakes| Error::Mistakes { mistakes })
}

/// Serves until SIGTERM or SIGINT, then stops gracefully.
///
/// # Errors
/// When the daemon cannot start.
pub fn run(path: &Path) -> Result<(), Error> {
    let settings = read_settings(path)?;
    start_logs(&settings);
    let identity = Identity::load(&settings.keys).context(KeySnafu)?;
    let platform = Client::new(settings.platform.clone()).platform();
    let stopped = signals()?;
    async_std::task::block_on(async {
        let daemon = Daemon::start(settings, platform, &identity).await.context(StartSnafu)?;
        // One line for whoever started the process, and needs the ports that it was given.
        println!(
            "listening callers={} operators={} peers={} entry={}",
            daemon.caller_address(),
            daemon.operator_address(),
            daemon.peer_address(),
            daemon.id()
        );
        let _ = stopped.recv().await;
        let report = daemon.stop().await;
        println!(
            "stopped unanswered={} unsettled={} left={}",
            report.unanswered, report.unsettled, report.left
        );
        Ok(())
    })
}

fn start_logs(settings: &Settings) {
    let stdout = match settings.log_format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(stdout)).apply();
    log::set_max_level(settings.log_level);
}

/// The first signal to stop.
fn signals() -> Result<channel::Receiver<()>, Error> {
    let (sender, receiver) = channel::bounded(1);
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(FileSnafu { path: "signals" })?;
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            let _ = sender.send_blocking(());
        }
    });
    Ok(receiver)
}
