//! The state of a job that a caller asks for.

use super::context::Context;
use super::{CallerHandler, service_of, set_json, status_response, unavailable_response};
use crate::owner::load::decode_progress;
use crate::peers;
use crate::{home, rows};
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::Error;
use celerythread_adapter::submission;
use celerythread_engine::job::{Accepted, Cancellation, Id, State};
use celerythread_wire::job::{Answer, Question};
use http_types::{Response, StatusCode};

/// What the owner of a service's jobs reports of one.
#[derive(Clone, Copy)]
enum Report {
    /// Its state.
    Known(State),
    /// The owner doesn't know the job, so it has not started any task of it.
    Unknown,
    /// There is no answer, or the owner can't tell yet whether a task runs.
    None,
}

/// What is known of a job without its owner's report.
enum Stored {
    /// Its state.
    State(State),
    /// It is accepted; whether a task of it has started is known to its owner only.
    Accepted,
    /// It was never accepted, or the caller may not access it.
    None,
}

impl CallerHandler {
    pub(super) async fn state(&self, context: &Context, queue: &Queue, id: Id) -> Response {
        let stored = match self.ask_state(context, &queue.service, id).await {
            Report::Known(state) => Ok(Stored::State(state)),
            // The state cannot be determined now; the caller asks again.
            _ if self.node.is_outage_ongoing() => return unavailable_response(context.remaining()),
            // A job that the owner does not know may just have been accepted.
            report => self.read_state(context, queue, id, report).await,
        };
        match stored {
            Ok(Stored::State(state)) => {
                let mut response = status_response(StatusCode::Ok);
                set_json(&mut response, submission::state_body(state));
                response
            }
            Ok(Stored::Accepted) => {
                self.node.journal.info(
                    "state_undetermined",
                    &[("job", &id), ("request", &context.request_id), ("queue", &queue.name)],
                );
                unavailable_response(context.remaining())
            }
            Ok(Stored::None) => {
                self.node.journal.info(
                    "job_not_found",
                    &[("job", &id), ("request", &context.request_id), ("queue", &queue.name)],
                );
                status_response(StatusCode::Gone)
            }
            Err(error) => {
                self.node.journal.warn(
                    "state_unread",
                    &[("job", &id), ("request", &context.request_id), ("reason", &error)],
                );
                unavailable_response(context.remaining())
            }
        }
    }

    async fn ask_state(&self, context: &Context, service: &str, id: Id) -> Report {
        let origin = context.origin.clone();
        let question = Question::State { service: service.into(), id, origin };
        match peers::ask_current_owner(&self.node, service, question).await {
            Some(Answer::State(Some(state))) => Report::Known(state),
            Some(Answer::State(None)) => Report::Unknown,
            _ => Report::None,
        }
    }

    /// Reads a job's state from the store, after its queue's present service gave a `report`.
    async fn read_state(
        &self,
        context: &Context,
        queue: &Queue,
        id: Id,
        mut report: Report,
    ) -> Result<Stored, Error> {
        let node = &self.node;
        let partition = &home::find_or_default(node, queue).await?.partition;
        let Some(job) = self.read(&rows::job(partition, &id)).await? else {
            return Ok(Stored::None);
        };
        if !self.may_access(context, id, &job.value) {
            return Ok(Stored::None);
        }
        // The configuration may have sent the queue to another service since.
        let service = service_of(&job.value, partition);
        if service != queue.service {
            report = self.ask_state(context, &service, id).await;
        }
        if let Report::Known(state) = report {
            return Ok(Stored::State(state));
        }
        let progress = self.read(&rows::progress(&service, &id)).await?;
        let progress = progress.and_then(|row| decode_progress(node, &row));
        if let Some(outcome) = progress.as_ref().and_then(|progress| progress.outcome) {
            return Ok(Stored::State(outcome));
        }
        let cancellation = self.read(&rows::cancel(partition, &id)).await?;
        if cancellation.is_some_and(|row| self.is_cancelled(id, &job.value, &row.value)) {
            return Ok(Stored::State(State::Cancelled));
        }
        self.notify_owner(Question::Accepted { service, id, row: job.value }, None);
        Ok(match report {
            _ if progress.is_some() => Stored::State(State::Running),
            Report::Unknown => Stored::State(State::Queued),
            _ => Stored::Accepted,
        })
    }

    /// Whether the stored cancellation applies to the stored job.  An unreadable one does.
    fn is_cancelled(&self, id: Id, job: &[u8], cancellation: &[u8]) -> bool {
        let owner = Accepted::decode(job).map(|accepted| accepted.origin).unwrap_or_default();
        match Cancellation::decode(cancellation) {
            Ok(cancellation) => cancellation.applies_to(&owner),
            Err(error) => {
                let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                    [("job", &id), ("reason", &error)];
                self.node.journal.warn("cancellation_unreadable", &fields);
                true
            }
        }
    }
}
