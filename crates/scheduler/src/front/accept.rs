//! Submissions of jobs: what is known not to be servable is refused before anything is stored, the
//! memory for the rest is reserved, and the job is stored.

use super::context::Context;
use super::{
    CallerHandler, READ_TIMEOUT, Target, accepted_response, service_of, status_response,
    unavailable_response,
};
use crate::admission::{self, NotAdmitted};
use crate::clock;
use crate::home;
use crate::metrics::{Counter, Timing};
use crate::rows;
use crate::submit::{self, Job, WriteOutcome};
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::Error;
use celerythread_adapter::submission::{self, Body};
use celerythread_engine::cell::footprint;
use celerythread_engine::job::{Accepted, DefinitionError, Id, encode, max_steps};
use celerythread_http::memory::Reservation;
use celerythread_wire::job::Question;
use http_types::{Response, StatusCode};
use std::fmt::Display;
use std::time::Instant;

/// Memory that a submission takes while it waits for the store, as a multiple of its row: the row,
/// the transaction in base64 and JSON, and the request with it.
const WAITING_MEMORY_FACTOR: u64 = 10;

/// A job that is ready to be stored.
pub(super) struct Prepared {
    /// Its encoded row.
    pub(super) row: Vec<u8>,
    /// Memory that its owner needs for it, in bytes.
    pub(super) footprint: u64,
    /// The memory that storing it takes.
    pub(super) memory: Reservation,
}

impl CallerHandler {
    /// Stores a job and notifies its owner.
    pub(super) async fn submit(
        &self,
        context: &Context,
        queue: &Queue,
        id: Id,
        prepared: Prepared,
    ) -> Response {
        let node = &self.node;
        let row = &prepared.row;
        let (partition, written) = match home::ensure(node, queue, context.deadline).await {
            Ok(home) => {
                let partition = home.partition;
                let job = Job { partition: &partition, id, row, deadline: context.deadline };
                let service = &queue.service;
                let bytes = prepared.footprint;
                let deadline = context.deadline;
                let written = match admission::request(node, service, id, bytes, deadline).await {
                    Ok(()) => submit::write(node, &job).await,
                    Err(reason) => self.refuse_unstored(&job, &reason).await,
                };
                (partition, written)
            }
            // Nothing was written for the job.
            Err(error) => (queue.service.clone(), WriteOutcome::Refused(error)),
        };
        if let WriteOutcome::Accepted(row) = &written
            && !self.may_access(context, id, row)
        {
            return self.reject(
                context,
                id,
                StatusCode::Conflict,
                &"the id belongs to another workspace's job",
            );
        }
        let took = clock::now().since(context.began);
        node.metrics.time(Timing::Accept, took);
        let (event, counter, response) = match &written {
            WriteOutcome::Accepted(_) => {
                ("job_accepted", Counter::JobsAccepted, accepted_response())
            }
            WriteOutcome::Refused(_) => {
                ("job_refused", Counter::JobsRefused, unavailable_response(context.remaining()))
            }
            WriteOutcome::Unknown => {
                ("job_unknown", Counter::JobsUnknown, status_response(StatusCode::GatewayTimeout))
            }
        };
        node.metrics.count(counter);
        let reason = match &written {
            WriteOutcome::Refused(error) => error.to_string(),
            _ => String::new(),
        };
        node.journal.info(
            event,
            &[
                ("job", &id),
                ("request", &context.request_id),
                ("queue", &queue.name),
                ("service", &queue.service),
                ("workspace", &context.origin),
                ("ms", &took.as_millis()),
                ("reason", &reason),
            ],
        );
        if let WriteOutcome::Accepted(row) = written {
            let service = service_of(&row, &partition);
            self.notify_owner(Question::Accepted { service, id, row }, Some(prepared.memory));
        }
        response
    }

    /// Decodes a job and encodes its row.  No form of the job other than the row outlives this, as
    /// the store may answer late.
    ///
    /// # Errors
    /// The response to a job that is not accepted.
    pub(super) fn prepare(
        &self,
        context: &Context,
        target: &Target,
        id: Id,
        (body, body_memory): (Vec<u8>, Reservation),
    ) -> Result<Prepared, Box<Response>> {
        let node = &self.node;
        let (row, footprint) = self.encode_row(context, target, id, &body)?;
        drop((body, body_memory));
        let size = row.len() as u64 * WAITING_MEMORY_FACTOR;
        let memory = node.request_memory.reserve(size, Instant::now());
        let memory = memory.map_err(|error| self.refuse(context, target, id, &error))?;
        Ok(Prepared { row, footprint, memory })
    }

    /// The row of a job, and the memory that its owner needs for it.
    fn encode_row(
        &self,
        context: &Context,
        target: &Target,
        id: Id,
        body: &[u8],
    ) -> Result<(Vec<u8>, u64), Box<Response>> {
        let node = &self.node;
        let row_bytes = node.settings.row_bytes as usize;
        let reject = |status, reason: &dyn Display| -> Box<Response> {
            self.reject(context, id, status, reason).into()
        };
        let reject_unreadable = |error: submission::Error| {
            let status = match error {
                submission::Error::Malformed { .. } => StatusCode::BadRequest,
                _ => StatusCode::PayloadTooLarge,
            };
            reject(status, &error)
        };
        let body = Body::new(body, max_steps(row_bytes)).map_err(reject_unreadable)?;
        let memory = node.request_memory.reserve(body.decoding_memory(), Instant::now());
        let _memory = memory.map_err(|error| self.refuse(context, target, id, &error))?;
        let definition = body.decode().map_err(reject_unreadable)?;
        definition.check().map_err(|problem| {
            let status = match problem {
                DefinitionError::TooLarge { .. } => StatusCode::PayloadTooLarge,
                _ => StatusCode::BadRequest,
            };
            reject(status, &problem)
        })?;
        let footprint = footprint::of(&definition);
        let row = encode(&Accepted {
            queue: target.queue.name.as_str().into(),
            at_ms: clock::wall_ms(),
            definition,
            origin: context.origin.clone(),
            terms: Some(target.terms.clone()),
            service: Some(target.queue.service.as_str().into()),
        });
        if row.len() > row_bytes {
            let reason = format!("a row of {} bytes, of at most {row_bytes}", row.len());
            return Err(reject(StatusCode::PayloadTooLarge, &reason));
        }
        Ok((row, footprint))
    }

    /// Refuses a job that its owner has no memory for, unless an earlier request has stored it.
    async fn refuse_unstored(&self, job: &Job<'_>, reason: &NotAdmitted) -> WriteOutcome {
        let node = &self.node;
        let name = rows::job(job.partition, &job.id);
        let stored = node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
        node.record_store_result(&stored);
        match stored {
            Ok(Some(row)) => WriteOutcome::Accepted(row.value),
            Ok(None) | Err(_) => {
                node.metrics.count(Counter::SubmissionsOverLimit);
                WriteOutcome::Refused(Error::Refused { reason: reason.to_string() })
            }
        }
    }

    /// Refuses a job for a limit of this entry.
    fn refuse(&self, context: &Context, target: &Target, id: Id, reason: &dyn Display) -> Response {
        self.node.metrics.count(Counter::JobsRefused);
        self.node.metrics.count(Counter::SubmissionsOverLimit);
        self.node.journal.info(
            "job_refused",
            &[
                ("job", &id),
                ("request", &context.request_id),
                ("queue", &target.queue.name),
                ("service", &target.queue.service),
                ("workspace", &context.origin),
                ("ms", &clock::now().since(context.began).as_millis()),
                ("reason", reason),
            ],
        );
        unavailable_response(context.remaining())
    }
}
