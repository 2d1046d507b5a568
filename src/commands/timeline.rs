//! `celerythread timeline`: the events of all entries in causal order.

use super::parsed;
use crate::Error;
use crate::client::{self, Client};
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

    xflags::xflags! {
        /// The events of all entries, merged: an event never stands before its cause.
        ///
        /// Example: celerythread timeline --svg > night.svg
        cmd celerythread-timeline {
            /// An entry to ask for the others; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json
            /// Prints a picture.
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
        let picture = plot::svg(&events).map_err(|text| Error::Usage { text })?;
        print!("{picture}");
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
