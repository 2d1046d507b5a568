//! `celerythread timeline`: the events of all entries in causal order.

use super::parsed;
use crate::Error;
use crate::client::{self, Client};
use crate::logs;
use crate::output;
use crate::plot;
use celerythread_model::event::{self, Event};
use http_types::Method;
use serde::Deserialize;
use std::ffi::OsString;
use std::net::SocketAddr;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Prints the events of all entries in causal order: an event never comes before its cause.
        ///
        /// With log files, prints the events in them that aren't about single jobs, ordered by the
        /// entries' clocks.
        ///
        /// Example: celerythread timeline --svg > night.svg
        cmd celerythread-timeline {
            /// An entry to ask for the list of entries; may be given several times.
            repeated --entry address: SocketAddr
            /// Log files of entries, read instead of asking the entries.
            repeated files: PathBuf
            /// Prints JSON.
            optional --json
            /// Prints an SVG picture.
            optional --svg
        }
    }
}

#[derive(Deserialize)]
struct Status {
    entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    operator_address: SocketAddr,
}

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(flags::CelerythreadTimeline::from_vec(arguments))?;
    if !flags.files.is_empty() {
        return from_logs(&flags);
    }
    let client = Client::new(&flags.entry)?;
    let status: Status = client.get("/v1/status").await?;
    let mut events: Vec<Event> = Vec::new();
    let mut silent = 0;
    for entry in &status.entries {
        let address = entry.operator_address;
        match client::ask_one::<Vec<Event>>(address, Method::Get, "/v1/timeline", Vec::new()).await
        {
            Ok(more) => events.extend(more),
            Err(_) => silent += 1,
        }
    }
    let events = event::merge(events);
    if flags.svg {
        let picture = plot::svg(&dots(&events)).map_err(|text| Error::Usage { text })?;
        output::text(&picture);
    } else if flags.json {
        output::json(&serde_json::to_value(&events).unwrap_or_default());
    } else {
        print(&events);
    }
    if silent > 0 {
        eprintln!("{silent} registered entries do not answer; their events are missing");
    }
    Ok(())
}

/// Prints the time line from entries' log lines, without those about single jobs or requests (see
/// `explain`).
fn from_logs(flags: &flags::CelerythreadTimeline) -> Result<(), Error> {
    let mut lines = logs::read(&flags.files)?;
    lines.retain(|line| !line.is_job_event());
    lines.sort_by_key(|line| line.at_ms);
    if flags.svg {
        let picture = plot::svg(&dots(&lines)).map_err(|text| Error::Usage { text })?;
        output::text(&picture);
    } else if flags.json {
        output::json(&serde_json::to_value(&lines).unwrap_or_default());
    } else {
        output::lines(&lines);
    }
    Ok(())
}

fn dots<'a, T>(events: &'a [T]) -> Vec<plot::Dot>
where
    plot::Dot: From<&'a T>,
{
    events.iter().map(plot::Dot::from).collect()
}

fn print(events: &[Event]) {
    let first = events.iter().map(|event| event.at).min().unwrap_or(0);
    let rows: Vec<Vec<String>> = events
        .iter()
        .map(|event| {
            let seconds = (event.at - first) as f64 / 1000.0;
            vec![
                event.clock.to_string(),
                format!("{seconds:.3}"),
                event.process.to_string(),
                event.to_string(),
            ]
        })
        .collect();
    output::table(&["CLOCK", "SECONDS", "ENTRY", "EVENT"], &rows);
}
