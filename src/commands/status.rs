//! `celerythread status`: one entry's view of the entries and services.

use super::parsed;
use crate::Error;
use crate::client::Client;
use crate::output;
use serde_json::Value;
use std::ffi::OsString;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Prints one entry's view of itself, the other entries and the services.
        ///
        /// Example: celerythread status --entry 10.1.0.4:9100
        cmd celerythread-status {
            /// An entry to ask; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json
        }
    }
}

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(flags::CelerythreadStatus::from_vec(arguments))?;
    let client = Client::new(&flags.entry)?;
    let status: Value = client.get("/v1/status").await?;
    if flags.json {
        output::json(&status);
        return Ok(());
    }
    println!(
        "{} in {}, configuration {}, view {}",
        output::cell(&status, "me"),
        output::cell(&status, "workspace"),
        output::cell(&status, "config"),
        output::cell(&status, "view")
    );
    let list = |field: &str| status.get(field).cloned().unwrap_or_default();
    output::list(false, &list("entries"), &["entry", "zone", "config", "answers", "stopping"]);
    output::list(false, &list("services"), &["service", "slots", "free", "waiting"]);
    Ok(())
}
