//! Configuration: showing, checking and applying it, and its history.

use super::{bad_request, platform_problem};
use crate::node::Node;
use crate::problem::{Problem, body, json};
use celerythread_http::server::Request;
use celerythread_model::code::Code;
use celerythread_model::config::Document;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{self, Config};
use celerythread_model::id;
use celerythread_model::ini::Mistake;
use celerythread_model::table::Space;
use celerythread_model::unit::Revision;
use celerythread_platform::Error;
use celerythread_platform::message::Transaction;
use http_types::Response;
use serde::Deserialize;
use similar::TextDiff;
use std::sync::Arc;

/// Configurations that `history` returns by default.
const DEFAULT_HISTORY_LEN: u64 = 20;

/// Attempts of an apply that conflicted or whose answer was lost.
const MAX_ATTEMPTS: u32 = 5;

/// An operator's change of the configuration.
#[derive(Deserialize)]
struct Change {
    /// Idempotency key: a repeated id is the same change.
    change: id::Change,
    author: String,
    /// The number of the configuration that the operator changed.
    base: Revision,
    template: String,
    parameters: String,
}

#[derive(Deserialize)]
struct Files {
    template: String,
    parameters: String,
}

pub(crate) async fn show(node: &Arc<Node>) -> Result<Response, Problem> {
    let config = node.view.read().config().cloned();
    let config = config.ok_or_else(|| Problem::new(Code::NotFound, "no configuration yet"))?;
    Ok(json(config.as_ref()))
}

pub(crate) async fn history(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let max_entries = request
        .query("most")
        .map_or(Ok(DEFAULT_HISTORY_LEN), |text| text.parse())
        .map_err(bad_request)?;
    let current = node.view.read().config_number().0;
    let first = current.saturating_sub(max_entries) + 1;
    let keys: Vec<String> = (first..=current).rev().map(|n| history_key(Revision(n))).collect();
    let rows = node.platform.table.read(Space::History, &keys).await;
    let rows = rows.map_err(|error| platform_problem(&error))?;
    let configs: Vec<Config> = rows.iter().filter_map(|row| row.decode()).collect();
    Ok(json(&configs))
}

pub(crate) fn check(request: &Request) -> Result<Response, Problem> {
    let files: Files = body(request)?;
    let document = Document::read(&files.template, &files.parameters)
        .map_err(|found| mistakes_problem(&found))?;
    Ok(json(&document))
}

fn mistakes_problem(found: &[Mistake]) -> Problem {
    let code = found.first().map_or(Code::BadRequest, |mistake| mistake.code);
    let detail = format!("{} mistakes", found.len());
    let extra = serde_json::to_value(found).unwrap_or_default();
    Problem::new(code, detail).extra(extra)
}

fn history_key(number: Revision) -> String {
    format!("config/{:010}", number.0)
}

fn change_key(change: &id::Change) -> String {
    format!("change/{change}")
}

/// Applies a change.
///
/// One transaction writes the current configuration on condition of its revision, the history,
/// and the change's id on condition that it is new.  So of two concurrent changes one is refused,
/// and a change whose answer was lost is found by its id instead of being made twice.
pub(crate) async fn apply(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let change: Change = body(request)?;
    Document::read(&change.template, &change.parameters)
        .map_err(|found| mistakes_problem(&found))?;
    for _ in 0..MAX_ATTEMPTS {
        if let Some(config) = find_applied_change(node, &change).await? {
            return accepted_response(node, config).await;
        }
        crate::follow::refresh_view(node).await.map_err(|error| platform_problem(&error))?;
        let current = node.view.read().config_number();
        if current != change.base {
            return Err(stale_base(node, &change).await);
        }
        let config = Config {
            number: current.next(),
            change: change.change.clone(),
            author: change.author.clone(),
            template: change.template.clone(),
            parameters: change.parameters.clone(),
        };
        let transaction = config_transaction(node, &config);
        match node.platform.table.commit(transaction).await {
            Ok(revision) => {
                let (number, change) = (config.number, config.change.clone());
                let kind = Kind::ConfigAccepted { number, change };
                node.timeline.record_committed(node.clock.wall_ms(), revision, kind);
                return accepted_response(node, config).await;
            }
            // Another change was committed first, or the outcome is unknown: the next round shows it.
            Err(Error::Conflict { .. } | Error::Lost { .. }) => {}
            Err(error) => return Err(platform_problem(&error)),
        }
    }
    Err(Problem::new(Code::PlatformUnknown, "apply it again under the same change id"))
}

fn config_transaction(node: &Node, config: &Config) -> Transaction {
    let revision = node.view.read().revision(fleet::CONFIG_KEY);
    Transaction::new()
        .replace(Space::Fleet, fleet::CONFIG_KEY, revision, config)
        .put(Space::History, history_key(config.number), config)
        .replace(Space::History, change_key(&config.change), Revision(0), config)
}

/// The configuration that an earlier request with this change id has made.
async fn find_applied_change(node: &Arc<Node>, change: &Change) -> Result<Option<Config>, Problem> {
    let keys = [change_key(&change.change)];
    let rows = node.platform.table.read(Space::History, &keys).await;
    let rows = rows.map_err(|error| platform_problem(&error))?;
    let Some(config) = rows.first().and_then(|row| row.decode::<Config>()) else {
        return Ok(None);
    };
    let same = config.template == change.template && config.parameters == change.parameters;
    if !same {
        let detail = format!("change {} made another configuration", change.change);
        return Err(Problem::new(Code::ChangeReused, detail));
    }
    Ok(Some(config))
}

async fn accepted_response(node: &Arc<Node>, config: Config) -> Result<Response, Problem> {
    // The configuration is in force here before the operator is answered.
    let _ = crate::follow::refresh_view(node).await;
    node.wake.wake();
    Ok(json(&config))
}

/// The refusal of a change whose base is not the current configuration, with the difference
/// between the two.
async fn stale_base(node: &Arc<Node>, change: &Change) -> Problem {
    let current = node.view.read().config().cloned();
    let keys = [history_key(change.base)];
    let rows = node.platform.table.read(Space::History, &keys).await.unwrap_or_default();
    let base: Option<Config> = rows.first().and_then(|row| row.decode());
    let text = |config: Option<&Config>| {
        config.map_or_else(String::new, |c| format!("{}\n{}", c.template, c.parameters))
    };
    let (old, new) = (text(base.as_ref()), text(current.as_deref()));
    let diff = TextDiff::from_lines(&old, &new).unified_diff().to_string();
    let number = current.as_ref().map_or(Revision(0), |config| config.number);
    let author = current.as_ref().map_or("", |config| config.author.as_str());
    let detail = format!("the current configuration is {number} by {author}, not {}", change.base);
    let extra = serde_json::json!({ "current": number, "author": author, "diff": diff });
    Problem::new(Code::StaleBase, detail).extra(extra)
}
