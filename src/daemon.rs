//! The daemon `celerythreadd`: reads its settings, serves, and stops gracefully on a signal.

use crate::Error;
use crate::error::{FileSnafu, KeySnafu, SchedulerSnafu, StartSnafu};
use async_std::channel;
use async_std::future::timeout;
use celerythread_entry::settings::LogFormat;
use celerythread_entry::{Daemon, Settings};
use celerythread_model::ini::Reader;
use celerythread_platform::http::Client;
use celerythread_scheduler as scheduler;
use celerythread_wire::Identity;
use logforth::append::Stdout;
use logforth::layout::{JsonLayout, TextLayout};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "CELERYTHREAD_SETTINGS";

/// Interval at which the settings file is read again to find changes made without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Kind of daemon that the settings select.
pub enum Role {
    /// An entry that uses the product's own platform interface.
    Entry(Box<Settings>),
    /// An entry on the users' platform (`celerythread_scheduler`).
    Scheduler(Box<scheduler::Settings>),
}

impl Role {
    /// Reads and checks a settings file.  A file that names the platform's store selects an entry
    /// on the users' platform.
    ///
    /// # Errors
    /// `File` when it can't be read, `Mistakes` when its content is invalid.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        let wrong = |mistakes| Error::Mistakes { mistakes };
        if Reader::new(&text).text("platform", "store").is_some() {
            let settings = scheduler::Settings::read(&text).map_err(wrong)?;
            return Ok(Role::Scheduler(Box::new(settings)));
        }
        Settings::read(&text).map_err(wrong).map(|settings| Role::Entry(Box::new(settings)))
    }
}

/// Path of the settings file: as given, or from the environment.
///
/// # Errors
/// `Usage` when neither names one.
pub fn settings_path(given: Option<PathBuf>) -> Result<PathBuf, Error> {
    given.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        Error::Usage { text: format!("neither --settings nor {SETTINGS_VARIABLE} is given") }
    })
}

/// Serves until SIGTERM or SIGINT, then stops gracefully.
///
/// # Errors
/// When the daemon cannot start.
pub fn run(path: &Path) -> Result<(), Error> {
    match Role::read(path)? {
        Role::Entry(settings) => run_entry(*settings),
        Role::Scheduler(settings) => run_scheduler(path, *settings),
    }
}

fn run_entry(settings: Settings) -> Result<(), Error> {
    start_logs(settings.log_format, settings.log_level);
    let identity = Identity::load(&settings.keys).context(KeySnafu)?;
    let platform = Client::new(settings.platform.clone()).platform();
    let signalled = signals()?;
    async_std::task::block_on(async {
        let daemon = Daemon::start(settings, platform, &identity).await.context(StartSnafu)?;
        // Tells the process that started this one the ports that the system assigned.
        println!(
            "listening callers={} operators={} peers={} entry={}",
            daemon.caller_address(),
            daemon.operator_address(),
            daemon.peer_address(),
            daemon.id()
        );
        while let Ok(Signal::Reload) = signalled.recv().await {}
        let report = daemon.stop().await;
        println!(
            "stopped unanswered={} unsettled={} left={}",
            report.unanswered, report.unsettled, report.deregistered
        );
        Ok(())
    })
}

fn run_scheduler(path: &Path, settings: scheduler::Settings) -> Result<(), Error> {
    start_logs(LogFormat::Json, log::LevelFilter::Info);
    let signalled = signals()?;
    async_std::task::block_on(async {
        let mut current = settings.clone();
        let daemon = scheduler::Daemon::start(settings).await.context(SchedulerSnafu)?;
        let callers = daemon.caller_address();
        daemon.journal().info("listening", &[("callers", &callers), ("entry", &daemon.id())]);
        while let Ok(Ok(Signal::Reload)) | Err(_) = timeout(RELOAD_INTERVAL, signalled.recv()).await
        {
            reload(path, &mut current, &daemon);
        }
        daemon.stop().await;
        Ok(())
    })
}

/// Reads the settings file again.  Addresses are fixed for the lifetime of a process, so a change
/// is only logged and takes effect at the next start.
fn reload(path: &Path, current: &mut scheduler::Settings, daemon: &scheduler::Daemon) {
    match Role::read(path) {
        Ok(Role::Scheduler(settings)) if *settings == *current => {}
        Ok(Role::Scheduler(settings)) => {
            *current = *settings;
            daemon.journal().info("settings_changed", &[("path", &path.display())]);
        }
        Ok(Role::Entry(_)) => {
            daemon.journal().warn("settings_refused", &[("reason", &"the store is missing")]);
        }
        Err(error) => daemon.journal().warn("settings_refused", &[("reason", &error)]),
    }
}

fn start_logs(format: LogFormat, level: log::LevelFilter) {
    let stdout = match format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(stdout)).apply();
    log::set_max_level(level);
}

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Signal {
    Stop,
    Reload,
}

fn signals() -> Result<channel::Receiver<Signal>, Error> {
    let (sender, receiver) = channel::unbounded();
    let mut signals =
        Signals::new([SIGTERM, SIGINT, SIGHUP]).context(FileSnafu { path: "signals" })?;
    std::thread::spawn(move || {
        for signal in signals.forever() {
            let meaning = if signal == SIGHUP { Signal::Reload } else { Signal::Stop };
            // Fails only when the receiver is gone because the process is ending.
            let _ = sender.send_blocking(meaning);
        }
    });
    Ok(receiver)
}
