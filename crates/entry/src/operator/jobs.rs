//! Submitting, listing and cancelling jobs.

use super::platform_problem;
use crate::node::Node;
use crate::problem::{Problem, body, json};
use celerythread_http::server::Request;
use celerythread_model::code::Code;
use celerythread_model::fleet;
use celerythread_model::id;
use celerythread_model::job::{Job, Spec, Stage};
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::{Revision, Token};
use celerythread_platform::Error;
use celerythread_platform::message::{Role, Transaction};
use http_types::Response;
use serde::Deserialize;
use std::sync::Arc;

/// Most jobs changed in one transaction.
const MAX_BATCH_JOBS: usize = 100;

/// Most attempts at one commit if its answer is lost or a cancellation conflicts.
const MAX_ATTEMPTS: u32 = 5;

#[derive(Deserialize)]
struct Cancellation {
    jobs: Vec<id::Job>,
}

pub(crate) async fn list(node: &Arc<Node>) -> Result<Response, Problem> {
    let mut jobs: Vec<Job> = Vec::new();
    let mut since = Revision(0);
    loop {
        let changes = node.platform.table.changes(Space::Job, since).await;
        let changes = changes.map_err(|error| platform_problem(&error))?;
        jobs.extend(changes.rows.iter().filter_map(Row::decode::<Job>));
        since = changes.upto;
        if !changes.more {
            return Ok(json(&jobs));
        }
    }
}

/// Queues a job.  A repeated submission of the same spec under the same name returns the existing
/// job, so a lost answer can be retried.
pub(crate) async fn submit(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let spec: Spec = body(request)?;
    refuse_impossible(node, &spec).await?;
    let job = Job {
        spec,
        stage: Stage::Queued,
        worker: None,
        attempts: 0,
        token: Token(0),
        boot: 0,
        reason: String::new(),
        submitted_at: node.clock.wall_ms(),
    };
    let key = fleet::key::<Job>(&job.spec.job);
    for _ in 0..MAX_ATTEMPTS {
        let transaction = Transaction::new().replace(Space::Job, &*key, Revision(0), &job);
        match node.platform.table.commit(transaction).await {
            Ok(_) => return Ok(json(&job)),
            Err(Error::Conflict { rows }) => return existing_job(&rows, &job),
            Err(Error::Lost { .. }) => {}
            Err(error) => return Err(platform_problem(&error)),
        }
    }
    Err(Problem::new(Code::PlatformUnknown, "submit it again under the same name"))
}

fn existing_job(rows: &[Row], job: &Job) -> Result<Response, Problem> {
    let existing = rows.first().and_then(Row::decode::<Job>);
    match existing.filter(|existing| existing.spec == job.spec) {
        Some(existing) => Ok(json(&existing)),
        None => {
            let detail = format!("there is another job {}", job.spec.job);
            Err(Problem::new(Code::ChangeReused, detail))
        }
    }
}

/// Refuses a job at once if its team is unknown, or if it exceeds the team's whole quota or the
/// size of every worker.
async fn refuse_impossible(node: &Arc<Node>, spec: &Spec) -> Result<(), Problem> {
    let impossible = |detail: String| Err(Problem::new(Code::JobImpossible, detail));
    let document = node.view.read().document().clone();
    let Some(team) = document.teams.get(&spec.team) else {
        return impossible(format!("there is no team {}", spec.team));
    };
    if spec.size.cpu > team.cpu || spec.size.accelerators.0 > team.accelerators {
        return impossible(format!("it needs more than the whole quota of {}", spec.team));
    }
    let listing = node.platform.roster.list("").await.map_err(|error| platform_problem(&error))?;
    let listing = listing.unwrap_or_default();
    let mut workers = listing.instances.iter().filter(|i| i.role == Role::Worker).peekable();
    // With no worker listed, the job controller decides once there are some.
    if workers.peek().is_some() && !workers.any(|worker| spec.size.fits(&worker.size)) {
        return impossible("no worker has all that it needs".into());
    }
    Ok(())
}

/// Cancels jobs, many in one transaction.
pub(crate) async fn cancel(node: &Arc<Node>, request: &Request) -> Result<Response, Problem> {
    let cancellation: Cancellation = body(request)?;
    let mut cancelled = Vec::new();
    for batch in cancellation.jobs.chunks(MAX_BATCH_JOBS) {
        cancelled.extend(cancel_batch(node, batch).await?);
    }
    Ok(json(&serde_json::json!({ "cancelled": cancelled })))
}

async fn cancel_batch(node: &Arc<Node>, names: &[id::Job]) -> Result<Vec<id::Job>, Problem> {
    let keys: Vec<String> = names.iter().map(fleet::key::<Job>).collect();
    for _ in 0..MAX_ATTEMPTS {
        let rows = node.platform.table.read(Space::Job, &keys).await;
        let rows = rows.map_err(|error| platform_problem(&error))?;
        let mut transaction = Transaction::new();
        let mut cancelled = Vec::new();
        for row in rows {
            let Some(job) = row.decode::<Job>() else { continue };
            if !job.stage.is_final() {
                cancelled.push(job.spec.job.clone());
                let job = Job { stage: Stage::Cancelled, reason: "cancelled".into(), ..job };
                transaction = transaction.replace(Space::Job, row.key, row.revision, &job);
            }
        }
        if cancelled.is_empty() {
            return Ok(cancelled);
        }
        match node.platform.table.commit(transaction).await {
            Ok(_) => return Ok(cancelled),
            // The job controller changed one of them, or the outcome is unknown: the next attempt
            // omits those already cancelled.
            Err(Error::Conflict { .. } | Error::Lost { .. }) => {}
            Err(error) => return Err(platform_problem(&error)),
        }
    }
    Err(Problem::new(Code::PlatformUnknown, "cancel them again"))
}
