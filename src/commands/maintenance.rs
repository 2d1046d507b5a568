//! `celerythread maintenance`: declare, list and cancel.

use super::{author, new_name, parsed};
use crate::Error;
use crate::client::Client;
use crate::output;
use serde_json::{Value, json};
use std::ffi::OsString;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use celerythread_model::unit::Span;
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Declares, lists and cancels maintenance waves.
        cmd celerythread-maintenance {
            /// An entry to ask; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json

            /// Declares a maintenance wave; without a filter, for all minions.
            ///
            /// Example: celerythread maintenance declare --zone med-a --within 6h
            cmd declare {
                /// The wave's name; repeat a declaration whose response was lost under the same name.
                optional --wave name: String
                /// Only this availability zone; may be given several times.
                repeated --zone name: String
                /// Only this rack; may be given several times.
                repeated --rack name: String
                /// Only this service; may be given several times.
                repeated --service name: String
                /// Only this minion; may be given several times.
                repeated --minion name: String
                /// Delay before the first minion is taken out of service.
                optional --after span: Span
                /// Takes minions out of service only while this window of the configuration is open.
                optional --window name: String
                /// Longest duration from now; the wave is refused if the forecast is longer.
                optional --within span: Span
            }
            /// Lists the waves.
            ///
            /// Example: celerythread maintenance list
            cmd list {}
            /// Cancels a wave: no more minions are taken out of service, and those that are out return.
            ///
            /// Example: celerythread maintenance cancel night-kernel
            cmd cancel {
                /// The wave.
                required wave: String
            }
        }
    }
}

use flags::{CelerythreadMaintenance, CelerythreadMaintenanceCmd};

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(CelerythreadMaintenance::from_vec(arguments))?;
    let client = Client::new(&flags.entry)?;
    match flags.subcommand {
        CelerythreadMaintenanceCmd::Declare(command) => {
            let body = json!({
                "wave": command.wave.unwrap_or_else(|| new_name("wave")),
                "author": author(),
                "zones": command.zone,
                "racks": command.rack,
                "services": command.service,
                "minions": command.minion,
                "after": command.after,
                "window": command.window,
                "within": command.within,
            });
            let declared: Value = client.post("/v1/maintenance", &body).await?;
            output::record(flags.json, &declared);
        }
        CelerythreadMaintenanceCmd::List(_) => {
            let mut waves: Value = client.get("/v1/maintenance").await?;
            if !flags.json {
                waves.as_array_mut().into_iter().flatten().for_each(count_minions);
            }
            let fields = ["wave", "progress", "remaining", "done", "forecast", "waiting_for"];
            output::list(flags.json, &waves, &fields);
        }
        CelerythreadMaintenanceCmd::Cancel(command) => {
            let body = json!({ "wave": command.wave });
            let wave: Value = client.post("/v1/maintenance/cancel", &body).await?;
            output::record(flags.json, &wave);
        }
    }
    Ok(())
}

/// Replaces the lists of minions by their lengths, for a table.
fn count_minions(wave: &mut Value) {
    for field in ["remaining", "done"] {
        let count = wave.get(field).and_then(Value::as_array).map_or(0, Vec::len);
        wave[field] = json!(count);
    }
}
