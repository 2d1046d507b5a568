//! Declaring, listing and cancelling maintenance waves.

use super::{bad_request, platform_problem};
use crate::drive;
use crate::node::Node;
use crate::problem::{Problem, body, json};
use celerythread_http::server::Request;
use celerythread_model::code::Code;
use celerythread_model::config::Document;
use celerythread_model::event::Kind;
use celerythread_model::fleet::{self, Minion, Progress, Wave};
use celerythread_model::id;
use celerythread_model::table::Space;
use celerythread_model::unit::{Revision, Span};
use celerythread_platform::Error;
use celerythread_platform::message::Transaction;
use celerythread_policy::availability::Availability;
use celerythread_policy::wave::{self, Forecast, Target};
use http_types::Response;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time that draining adds to each reboot in the forecast.
const DRAIN_TIME: std::time::Duration = std::time::Duration::from_secs(5);

/// The row whose revision orders declarations, so that of two concurrent ones the second is
/// checked against the first.
const DECLARATIONS_KEY: &str = "declarations";

/// Attempts of a declaration or cancellation that conflicted or whose answer was lost.
const MAX_ATTEMPTS: u32 = 5;

/// An operator's declaration of a wave; an empty list selects all.
#[derive(Deserialize)]
struct Declaration {
    wave: id::Wave,
    author: String,
    #[serde(default)]
    zones: BTreeSet<id::Zone>,
    #[serde(default)]
    racks: BTreeSet<id::Rack>,
    #[serde(default)]
    services: BTreeSet<id::Service>,
    #[serde(default)]
    minions: BTreeSet<id::Minion>,
    /// Time from now before the first minion is drained.
    after: Option<Span>,
    /// The maintenance window in which minions are drained.
    window: Option<String>,
    /// Time from now within which the wave must be done.
    within: Option<Span>,
}

impl Declaration {
    fn covers(&self, minion: &Minion) -> bool {
        fn matches<T: Ord>(set: &BTreeSet<T>, value: &T) -> bool {
            set.is_empty() || set.contains(value)
        }
        matches(&self.zones, &minion.zone)
            && matches(&self.racks, &minion.rack)
            && matches(&self.services, &minion.pool)
            && matches(&self.minions, &minion.minion)
    }
}

#[derive(Deserialize)]
struct Cancellation {
    wave: id::Wave,
}

pub(crate) fn list(node: &Node) -> Vec<Wave> {
    node.view.read().waves().values().cloned().collect()
}

/// Declares a wave, or refuses it with the reason.
pub(crate) async fn declare(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let declaration: Declaration = body(request)?;
    for _ in 0..MAX_ATTEMPTS {
        crate::follow::refresh_view(node).await.map_err(|error| platform_problem(&error))?;
        if let Some(existing) = node.view.read().waves().get(&declaration.wave) {
            // A repeated name is the same declaration, so a lost answer can be retried.
            return Ok(json(existing));
        }
        let (row, forecast) = plan_wave(node, &declaration)?;
        let transaction = declaration_transaction(node, &row);
        match node.platform.table.commit(transaction).await {
            Ok(_) => {
                let _ = crate::follow::refresh_view(node).await;
                node.record_event(Kind::Wave { wave: row.wave.clone(), progress: row.progress });
                return Ok(json(&declaration_response(&row, &forecast)));
            }
            Err(Error::Conflict { .. } | Error::Lost { .. }) => {}
            Err(error) => return Err(platform_problem(&error)),
        }
    }
    Err(Problem::new(Code::PlatformUnknown, "declare it again under the same name"))
}

fn declaration_response(wave: &Wave, forecast: &Forecast) -> serde_json::Value {
    serde_json::json!({
        "wave": wave.wave,
        "instances": wave.remaining.len(),
        "forecast": Span(forecast.duration).to_string(),
        "binding": forecast.bottleneck,
        "parallel": forecast.parallel,
    })
}

fn declaration_transaction(node: &Node, row: &Wave) -> Transaction {
    let view = node.view.read();
    let declarations_revision = view.revision(DECLARATIONS_KEY);
    Transaction::new()
        .replace(Space::Fleet, DECLARATIONS_KEY, declarations_revision, &row.wave)
        .replace(Space::Fleet, fleet::key::<Wave>(&row.wave), Revision(0), row)
}

/// The wave's row with its forecast, or why it cannot be run.
fn plan_wave(node: &Node, declaration: &Declaration) -> Result<(Wave, Forecast), Problem> {
    let view = node.view.read();
    let targets: Vec<Target> =
        view.minions().values().filter(|m| declaration.covers(m)).map(drive::target).collect();
    if targets.is_empty() {
        return Err(Problem::new(Code::NotFound, "no minion is covered"));
    }
    refuse_overlap(&view, &targets)?;
    let document = view.document();
    let availability: BTreeMap<id::Service, Availability> = document
        .services
        .values()
        .map(|service| {
            let disruption = view.disruption(&service.service);
            let minions = view.pool(&service.service);
            let availability = Availability::count(service, minions, &disruption, |_| true);
            (service.service.clone(), availability)
        })
        .collect();
    refuse_unknown_window(document, declaration)?;
    let each = document.reboot.0 + DRAIN_TIME;
    let forecast = wave::forecast(&targets, &availability, document.rollout_weight, each);
    if let Some(stuck) = &forecast.blocked_service {
        let detail = format!("{stuck} has nothing to spare above its floor");
        return Err(Problem::new(Code::WaveTooLate, detail));
    }
    refuse_late(declaration, &forecast)?;
    let now = node.clock.wall_ms();
    let row = Wave {
        wave: declaration.wave.clone(),
        author: declaration.author.clone(),
        progress: Progress::Running,
        remaining: targets.into_iter().map(|target| target.minion).collect(),
        done: Vec::new(),
        declared_at: now,
        starts_at: now + declaration.after.unwrap_or_default().0.as_millis() as u64,
        window: declaration.window.clone(),
        deadline: declaration.within.map(|within| now + within.0.as_millis() as u64),
        forecast: Span(forecast.duration),
        waiting_for: String::new(),
    };
    Ok((row, forecast))
}

fn refuse_unknown_window(document: &Document, declaration: &Declaration) -> Result<(), Problem> {
    let Some(name) = &declaration.window else { return Ok(()) };
    if document.windows.iter().any(|window| window.name == *name) {
        return Ok(());
    }
    Err(Problem::new(Code::NotFound, format!("there is no window {name}")))
}

fn refuse_late(declaration: &Declaration, forecast: &Forecast) -> Result<(), Problem> {
    let begins = declaration.after.unwrap_or_default().0;
    let late = |within: &Span| begins + forecast.duration > within.0;
    let Some(within) = declaration.within.filter(late) else {
        return Ok(());
    };
    let binding = forecast.bottleneck.as_ref().map_or("", |service| service.as_str());
    let detail = format!(
        "the forecast is {} and {within} was allowed; {binding} binds, with {} at once",
        Span(forecast.duration),
        forecast.parallel
    );
    Err(Problem::new(Code::WaveTooLate, detail))
}

/// Refuses a wave that shares a minion with an open one.
fn refuse_overlap(
    view: &celerythread_policy::view::View,
    targets: &[Target],
) -> Result<(), Problem> {
    for wave in view.waves().values().filter(|wave| drive::is_open(wave)) {
        let shared = targets.iter().find(|target| wave.remaining.contains(&target.minion));
        if let Some(target) = shared {
            let detail = format!("{} is part of wave {} already", target.minion, wave.wave);
            return Err(Problem::new(Code::WaveConflict, detail));
        }
    }
    Ok(())
}

/// Cancels a wave: no further minion is drained, and those out of service return.
pub(crate) async fn cancel(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let cancellation: Cancellation = body(request)?;
    for _ in 0..MAX_ATTEMPTS {
        crate::follow::refresh_view(node).await.map_err(|error| platform_problem(&error))?;
        let (revision, row) = {
            let view = node.view.read();
            let key = fleet::key::<Wave>(&cancellation.wave);
            let row = view.waves().get(&cancellation.wave).cloned();
            (view.revision(&key), row)
        };
        let name = &cancellation.wave;
        let row =
            row.ok_or_else(|| Problem::new(Code::NotFound, format!("there is no wave {name}")))?;
        match row.progress {
            Progress::Cancelled => return Ok(json(&row)),
            Progress::Done => {
                return Err(Problem::new(Code::WrongState, format!("wave {name} is done")));
            }
            Progress::Running | Progress::Paused => {}
        }
        let next = Wave { progress: Progress::Cancelled, ..row };
        let key = fleet::key::<Wave>(name);
        let transaction = Transaction::new().replace(Space::Fleet, key, revision, &next);
        match node.platform.table.commit(transaction).await {
            Ok(_) => {
                let _ = crate::follow::refresh_view(node).await;
                node.record_event(Kind::Wave { wave: name.clone(), progress: next.progress });
                return Ok(json(&next));
            }
            Err(Error::Conflict { .. } | Error::Lost { .. }) => {}
            Err(error) => return Err(platform_problem(&error)),
        }
    }
    Err(bad_request("the wave keeps changing; try again"))
}
