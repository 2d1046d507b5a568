//! `celerythread fleet`: the entries' shared state, as stored on the users' platform.

use super::parsed;
use crate::Error;
use crate::output;
use celerythread_scheduler::status;
use serde_json::Value;
use std::ffi::OsString;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Prints the state in the platform's store: entries, cells and their holders, the splits of
        /// workspaces' limits, machines being emptied, maintenance waves and the pools' turns.
        ///
        /// Example: celerythread fleet --store 10.200.1.7:8621
        cmd celerythread-fleet {
            /// Address of the platform's store.
            required --store address: SocketAddr
            /// Prints JSON.
            optional --json
        }
    }
}

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(flags::CelerythreadFleet::from_vec(arguments))?;
    let read = status::read(flags.store).await;
    let status = read.map_err(|error| Error::NoEntry { reason: format!("the store: {error}") })?;
    let status = serde_json::to_value(status).expect("a status always serializes");
    if flags.json {
        output::json(&status);
        return Ok(());
    }
    let list = |field: &str, columns: &[&str]| {
        let rows = status.get(field).cloned().unwrap_or_default();
        if rows.as_array().is_some_and(|rows| !rows.is_empty()) {
            output::list(false, &rows, columns);
        }
    };
    list("entries", &["id", "peer", "power", "renewal", "term_ms", "stopping"]);
    list("cells", &["service", "holder", "holder_is_there", "generation", "token"]);
    list("shares", &["workspace", "limit", "cell", "size", "wanted", "token"]);
    list("emptying", &["machine", "minion"]);
    list("waves", &["number", "begun", "machines", "completed"]);
    let texts = |field: &str| {
        let all = status.get(field).and_then(Value::as_array).cloned().unwrap_or_default();
        all.iter().filter_map(Value::as_str).collect::<Vec<_>>().join(", ")
    };
    for (title, field) in [("turns", "turns"), ("not readable", "unreadable")] {
        let text = texts(field);
        if !text.is_empty() {
            output::lines([format!("{title}: {text}")]);
        }
    }
    Ok(())
}
