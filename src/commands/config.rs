//! `celerythread config`: check, apply, show, history and status.

use super::{author, new_name, parsed};
use crate::Error;
use crate::client::Client;
use crate::error::FileSnafu;
use crate::output;
use celerythread_model::config::Document;
use celerythread_model::unit::Revision;
use serde_json::{Value, json};
use snafu::ResultExt;
use std::ffi::OsString;
use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

mod flags {
    #![allow(missing_docs, unreachable_pub, reason = "generated")]

    use celerythread_model::unit::{Revision, Span};
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Checks, changes and shows the configuration.
        cmd celerythread-config {
            /// An entry to ask; may be given several times.
            repeated --entry address: SocketAddr
            /// Prints JSON.
            optional --json

            /// Checks a template with its parameters, without any entry.
            ///
            /// Example: celerythread config check fleet.ini medellin.ini
            cmd check {
                /// The template.
                required template: PathBuf
                /// The parameters.
                required parameters: PathBuf
            }
            /// Applies a template with its parameters.
            ///
            /// Example: celerythread config apply fleet.ini medellin.ini --base 4 --wait 7s
            cmd apply {
                /// The template.
                required template: PathBuf
                /// The parameters.
                required parameters: PathBuf
                /// Number of the configuration that the change is based on; defaults to the current one.
                optional --base number: Revision
                /// The change's id; repeat a change whose response was lost under the same id.
                optional --change id: String
                /// Longest time to wait until every entry uses it.
                optional --wait span: Span
            }
            /// Shows the configuration in force.
            ///
            /// Example: celerythread config show --json
            cmd show {}
            /// Lists earlier configurations.
            ///
            /// Example: celerythread config history --most 5
            cmd history {
                /// Largest number of configurations to list; 20 by default.
                optional --most number: u64
            }
            /// Shows which configuration each entry uses.
            ///
            /// Example: celerythread config status --wait 7s
            cmd status {
                /// Longest time to wait until all entries use the same one.
                optional --wait span: Span
            }
        }
    }
}

use flags::{Apply, CelerythreadConfig, CelerythreadConfigCmd, Check};

/// Time between two status requests while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) async fn run(arguments: Vec<OsString>) -> Result<(), Error> {
    let flags = parsed(CelerythreadConfig::from_vec(arguments))?;
    if let CelerythreadConfigCmd::Check(command) = &flags.subcommand {
        return check(command, flags.json);
    }
    let client = Client::new(&flags.entry)?;
    match flags.subcommand {
        CelerythreadConfigCmd::Check(_) => Ok(()),
        CelerythreadConfigCmd::Apply(command) => apply(&client, &command, flags.json).await,
        CelerythreadConfigCmd::Show(_) => show(&client, flags.json).await,
        CelerythreadConfigCmd::History(command) => {
            let most = command.most.unwrap_or(20);
            let list: Value = client.get(&format!("/v1/config/history?most={most}")).await?;
            output::list(flags.json, &list, &["number", "change", "author"]);
            Ok(())
        }
        CelerythreadConfigCmd::Status(command) => {
            let wait = command.wait.unwrap_or_default().0;
            status(&client, wait, None, flags.json).await
        }
    }
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).context(FileSnafu { path })
}

fn check(command: &Check, as_json: bool) -> Result<(), Error> {
    let (template, parameters) = (read(&command.template)?, read(&command.parameters)?);
    let document =
        Document::read(&template, &parameters).map_err(|mistakes| Error::Mistakes { mistakes })?;
    if as_json {
        output::json(&serde_json::to_value(&document).unwrap_or_default());
    } else {
        println!(
            "{}: {} zones, {} services, {} teams, {} windows",
            document.workspace,
            document.zones.len(),
            document.services.len(),
            document.teams.len(),
            document.windows.len()
        );
    }
    Ok(())
}

async fn apply(client: &Client, command: &Apply, as_json: bool) -> Result<(), Error> {
    let (template, parameters) = (read(&command.template)?, read(&command.parameters)?);
    Document::read(&template, &parameters).map_err(|mistakes| Error::Mistakes { mistakes })?;
    let base = match command.base {
        Some(base) => base,
        None => current(client).await?,
    };
    let change = command.change.clone().unwrap_or_else(|| new_name("change"));
    let body = json!({
        "change": change,
        "author": author(),
        "base": base,
        "template": template,
        "parameters": parameters,
    });
    let accepted: Value = client.post("/v1/config", &body).await?;
    if as_json {
        output::json(&accepted);
    } else {
        let number = output::cell(&accepted, "number");
        println!("configuration {number} accepted as change {change}");
    }
    match command.wait {
        Some(wait) => {
            let number = accepted.get("number").and_then(Value::as_u64).map(Revision);
            status(client, wait.0, number, as_json).await
        }
        None => Ok(()),
    }
}

async fn current(client: &Client) -> Result<Revision, Error> {
    let status: Value = client.get("/v1/status").await?;
    Ok(Revision(status.get("config").and_then(Value::as_u64).unwrap_or(0)))
}

async fn show(client: &Client, as_json: bool) -> Result<(), Error> {
    let config: Value = client.get("/v1/config").await?;
    if as_json {
        output::json(&config);
        return Ok(());
    }
    for field in ["number", "change", "author"] {
        println!("; {field}: {}", output::cell(&config, field));
    }
    println!("{}", output::cell(&config, "template"));
    println!("{}", output::cell(&config, "parameters"));
    Ok(())
}

/// Prints which configuration each entry uses; fails if an entry still uses an older one after
/// `wait`.
async fn status(
    client: &Client,
    wait: Duration,
    number: Option<Revision>,
    as_json: bool,
) -> Result<(), Error> {
    let began = Instant::now();
    loop {
        let status: Value = client.get("/v1/status").await?;
        let wanted = number.map(|n| n.0).or_else(|| status.get("config").and_then(Value::as_u64));
        let entries = status.get("entries").cloned().unwrap_or_default();
        let lagging: Vec<String> = entries
            .as_array()
            .into_iter()
            .flatten()
            .filter(|entry| entry.get("config").and_then(Value::as_u64) < wanted)
            .map(|entry| output::cell(entry, "entry"))
            .collect();
        if lagging.is_empty() || began.elapsed() >= wait {
            output::list(as_json, &entries, &["entry", "zone", "config", "answers", "silent_ms"]);
            return if lagging.is_empty() {
                if !as_json {
                    println!("in force everywhere");
                }
                Ok(())
            } else {
                Err(Error::NotInForce { text: lagging.join(", ") })
            };
        }
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}
