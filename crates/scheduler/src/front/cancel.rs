//! Cancellations that callers request.

use super::context::Context;
use super::{
    COMMIT_TIMEOUT, CallerHandler, READ_TIMEOUT, RETRY_DELAY, service_of, status_response,
    unavailable_response,
};
use crate::clock;
use crate::home;
use crate::metrics::Counter;
use crate::node::Node;
use crate::rows;
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::{Error, Name, Row, Transaction};
use celerythread_engine::job::{Cancellation, Home, Id, Origin, encode};
use celerythread_engine::submission::Attempt;
use celerythread_wire::job::{Answer, Question};
use http_types::{Response, StatusCode};
use std::fmt::Display;

/// A DELETE request that is carried out.
struct Request<'a> {
    context: &'a Context,
    queue: &'a Queue,
    /// Where the queue's jobs are stored.
    home: Home,
    id: Id,
    /// When it was accepted, in milliseconds since 1970.
    at_ms: u64,
}

impl Request<'_> {
    /// The service that runs the job; that of its queue if none is stored.
    fn service_of(&self, basis: &Basis) -> String {
        let job = basis.job.as_ref();
        job.map_or_else(
            || self.queue.service.clone(),
            |row| service_of(&row.value, &self.home.partition),
        )
    }
}

/// The rows on whose versions a cancellation depends, as far as they are known.
#[derive(Debug, Default)]
struct Basis {
    job: Option<Row>,
    /// The cancellation of an id under which no job is stored.
    early: Option<Row>,
}

impl Basis {
    fn job_version(&self) -> u64 {
        self.job.as_ref().map_or(0, |row| row.version)
    }
}

/// A stored cancellation.
struct Stored {
    row: Vec<u8>,
    version: u64,
}

impl CallerHandler {
    /// Cancels a job.  If none is stored under the id, its submission may still be under way, so the
    /// cancellation is stored all the same before the response says that there is no such job.
    pub(super) async fn cancel(&self, context: &Context, queue: &Queue, id: Id) -> Response {
        let (home, found) = match home::find_or_default(&self.node, queue).await {
            Ok(home) => {
                let job = self.read(&rows::job(&home.partition, &id)).await;
                (home, job)
            }
            Err(error) => (Home::new(&queue.service), Err(error)),
        };
        let request = Request { context, queue, home, id, at_ms: clock::wall_ms() };
        let mut basis = match found {
            Ok(job) => Basis { job, early: None },
            Err(error) => {
                let response = unavailable_response(context.remaining());
                return self.not_cancelled(&request, response, &error, &Basis::default(), 0);
            }
        };
        let gone = || status_response(StatusCode::Gone);
        if !self.is_accessible(&request, &basis) {
            return self.not_cancelled(&request, gone(), &"inaccessible", &basis, 0);
        }
        if basis.job.is_none() && !self.admit_early() {
            let response = unavailable_response(context.remaining());
            return self.not_cancelled(&request, response, &"too_many", &basis, 0);
        }
        let stored = self.store_cancellation(&request, &mut basis).await;
        // The job may have been stored meanwhile.
        if !self.is_accessible(&request, &basis) {
            return self.not_cancelled(&request, gone(), &"inaccessible", &basis, 0);
        }
        let Some(stored) = stored else {
            let response = status_response(StatusCode::GatewayTimeout);
            if basis.job.is_none() {
                return self.not_cancelled(&request, response, &"not_found", &basis, 0);
            }
            self.log_cancelled(&request, &basis, None);
            return response;
        };
        if basis.job.is_none() {
            let version = stored.version;
            for service in request.home.clone().with(&queue.service).services {
                self.notify_owner(early_message(&request, service, &stored), None);
            }
            return self.not_cancelled(&request, gone(), &"not_found", &basis, version);
        }
        self.log_cancelled(&request, &basis, Some(stored.version));
        self.node.metrics.count(Counter::JobsCancelled);
        let service = request.service_of(&basis);
        self.notify_owner(Question::Cancelled { service, id }, None);
        status_response(StatusCode::Ok)
    }

    /// Stores a cancellation on condition that its job's row is the known one; `None` if that isn't
    /// certain at the deadline, or if the job turns out to be inaccessible.  Updates the basis after
    /// conflicts.
    async fn store_cancellation(&self, request: &Request<'_>, basis: &mut Basis) -> Option<Stored> {
        let (node, context) = (&self.node, request.context);
        let began = clock::now();
        loop {
            let attempt = Attempt {
                elapsed: clock::now().since(began),
                remaining: context.remaining(),
                is_store_unresponsive: node.is_outage_ongoing(),
                has_peers: false,
                unanswered: true,
            };
            if attempt.should_give_up() || !self.is_accessible(request, basis) {
                return None;
            }
            if let Some(stored) = already_stored(request, basis) {
                return Some(stored);
            }
            let (change, row) = transaction(request, basis);
            let timeout = COMMIT_TIMEOUT.min(attempt.write_timeout());
            match node.commit(&change, timeout).await {
                Ok(version) => return Some(Stored { row, version }),
                Err(Error::Conflict { rows }) => {
                    if self.update(request, basis, &rows).await.is_ok() {
                        continue;
                    }
                }
                Err(_) => {}
            }
            async_std::task::sleep(RETRY_DELAY.min(context.remaining())).await;
        }
    }

    /// Whether the job is accessible, if one is stored.
    fn is_accessible(&self, request: &Request<'_>, basis: &Basis) -> bool {
        let job = basis.job.as_ref();
        job.is_none_or(|row| self.may_access(request.context, request.id, &row.value))
    }

    fn admit_early(&self) -> bool {
        let retention = self.node.settings.retention.0;
        self.early_cancellations.lock().admit(retention, clock::now())
    }

    /// Updates the basis by the rows that a conflict returned.
    async fn update(
        &self,
        request: &Request<'_>,
        basis: &mut Basis,
        rows: &[Row],
    ) -> Result<(), Error> {
        let partition = &request.home.partition;
        let job = rows::job(partition, &request.id);
        basis.job = self.current(&job, basis.job.take(), rows).await?;
        let early = rows::cancel(partition, &request.id);
        basis.early = self.current(&early, basis.early.take(), rows).await?;
        Ok(())
    }

    /// A row after a conflict, which need not return rows that don't exist or have the expected
    /// version.
    async fn current(
        &self,
        name: &Name,
        expected: Option<Row>,
        rows: &[Row],
    ) -> Result<Option<Row>, Error> {
        match rows.iter().find(|row| row.key == name.key) {
            Some(row) => Ok((row.version > 0 && !row.deleted).then(|| row.clone())),
            None if expected.is_none() => Ok(None),
            None => self.read(name).await,
        }
    }

    pub(super) async fn read(&self, name: &Name) -> Result<Option<Row>, Error> {
        let row = self.node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
        self.node.record_store_result(&row);
        row
    }

    /// Logs why no job was cancelled; returns the response.
    fn not_cancelled(
        &self,
        request: &Request<'_>,
        response: Response,
        reason: &dyn Display,
        basis: &Basis,
        version: u64,
    ) -> Response {
        self.node.journal.info(
            "job_not_cancelled",
            &[
                ("job", &request.id),
                ("request", &request.context.request_id),
                ("queue", &request.queue.name),
                ("service", &request.queue.service),
                ("status", &response.status()),
                ("reason", reason),
                ("job_version", &basis.job_version()),
                ("version", &version),
            ],
        );
        response
    }

    fn log_cancelled(&self, request: &Request<'_>, basis: &Basis, version: Option<u64>) {
        self.node.journal.info(
            "job_cancelled",
            &[
                ("job", &request.id),
                ("request", &request.context.request_id),
                ("service", &request.service_of(basis)),
                ("written", &version.is_some()),
                ("job_version", &basis.job_version()),
                ("version", &version.unwrap_or_default()),
            ],
        );
    }
}

/// The cancellation that an earlier attempt of the same request has stored without an answer.
fn already_stored(request: &Request<'_>, basis: &Basis) -> Option<Stored> {
    let row = basis.early.as_ref().filter(|_| basis.job.is_none())?;
    let stored = Cancellation::decode(&row.value).ok()?;
    let is_same =
        stored.at_ms == request.at_ms && stored.early_callers.contains(&request.context.origin);
    is_same.then(|| Stored { row: row.value.clone(), version: row.version })
}

/// The transaction that stores a cancellation, and the row that it writes.
fn transaction(request: &Request<'_>, basis: &Basis) -> (Transaction, Vec<u8>) {
    let (partition, id) = (&request.home.partition, &request.id);
    let name = rows::cancel(partition, id);
    let mut conditions = vec![(rows::job(partition, id), basis.job_version())];
    let cancellation = if basis.job.is_some() {
        Cancellation::of_stored_job(request.at_ms)
    } else {
        let early = basis.early.as_ref();
        conditions.push((name.clone(), early.map_or(0, |row| row.version)));
        let former = early.and_then(|row| Cancellation::decode(&row.value).ok());
        Cancellation::early(&request.context.origin, request.at_ms, former.as_ref())
    };
    let row = encode(&cancellation);
    let writes = vec![(name, row.clone())];
    (Transaction { conditions, writes, ..Transaction::default() }, row)
}

/// The message about a cancellation of an id under which no job is stored.
fn early_message(request: &Request<'_>, service: String, stored: &Stored) -> Question {
    let (id, row) = (request.id, stored.row.clone());
    match request.context.origin {
        // It applies to any job, and owners of all releases understand this message.
        Origin::Public => Question::Cancelled { service, id },
        _ => Question::CancelledEarly { service, id, row, version: stored.version },
    }
}

/// Logs that no owner has noted a cancellation, so that it learns of it from the table of jobs.
pub(super) fn log_unheard(node: &Node, question: &Question, answer: Option<&Answer>) {
    let (Question::Cancelled { service, id } | Question::CancelledEarly { service, id, .. }) =
        question
    else {
        return;
    };
    if !matches!(answer, Some(Answer::Noted)) {
        node.journal.info("cancellation_unheard", &[("job", id), ("service", service)]);
    }
}
