//! `celerythread minion`: list.

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
        /// Lists minions.
        cmd celerythread-minion {
            /// An entry to ask; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json

            /// Lists the minions with their pools, states and owners.
            ///
            /// Example: celerythread minion list --json
            cmd list {}
        }
    }
}

use flags::{CelerythreadMinion, CelerythreadMinionCmd};

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(CelerythreadMinion::from_vec(arguments))?;
    let client = Client::new(&flags.entry)?;
    match flags.subcommand {
        CelerythreadMinionCmd::List(_) => {
            let minions: Value = client.get("/v1/minions").await?;
            let fields = ["minion", "pool", "state", "epoch", "zone", "rack", "owner"];
            output::list(flags.json, &minions, &fields);
        }
    }
    Ok(())
}
