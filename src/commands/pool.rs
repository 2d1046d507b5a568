//! `celerythread pool`: list and move.

use super::parsed;
use crate::Error;
use crate::client::Client;
use crate::output;
use serde_json::{Value, json};
use std::ffi::OsString;

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use std::net::SocketAddr;

    xflags::xflags! {
        /// Lists pools of minions and moves minions between them.
        cmd celerythread-pool {
            /// An entry to ask; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json

            /// Lists the pools with their configured and current sizes.
            ///
            /// Example: celerythread pool list
            cmd list {}
            /// Moves a minion to another pool: drains it, has it rebooted, and adds it to that pool.
            /// The system also moves minions by itself; use this for reasons that it cannot know.
            ///
            /// Example: celerythread pool move med-a-m3 bank-intake
            cmd move {
                /// The minion.
                required minion: String
                /// The pool to move it to.
                required target: String
            }
        }
    }
}

use flags::{CelerythreadPool, CelerythreadPoolCmd};

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(CelerythreadPool::from_vec(arguments))?;
    let client = Client::new(&flags.entry)?;
    match flags.subcommand {
        CelerythreadPoolCmd::List(_) => {
            let pools: Value = client.get("/v1/pools").await?;
            output::list(flags.json, &pools, &["service", "wanted", "floor", "active", "out"]);
        }
        CelerythreadPoolCmd::Move(command) => {
            let body = json!({ "minion": command.minion, "target": command.target });
            let row: Value = client.post("/v1/pools/move", &body).await?;
            output::record(flags.json, &row);
        }
    }
    Ok(())
}
