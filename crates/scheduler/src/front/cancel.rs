//! Cancellations that callers request.

use super::context::Context;
use super::{
    COMMIT_TIMEOUT, CallerHandler, READ_TIMEOUT, RETRY_DELAY, status_response, unavailable_response,
};
use crate::clock;
use crate::metrics::Counter;
use crate::node::Node;
use crate::rows;
use celerythread_adapter::configuration::Queue;
use celerythread_adapter::store::Transaction;
use celerythread_engine::job::{Id, encode};
use celerythread_engine::submission::Attempt;
use celerythread_wire::job::{Answer, Question};
use http_types::{Response, StatusCode};

impl CallerHandler {
    pub(super) async fn cancel(&self, context: &Context, queue: &Queue, id: Id) -> Response {
        let node = &self.node;
        let service = &queue.service;
        let name = rows::job(service, &id);
        let row = node.store.get(&name.table, &name.part, &name.key, READ_TIMEOUT).await;
        node.record_store_result(&row);
        let job_version = row.as_ref().ok().and_then(Option::as_ref).map_or(0, |row| row.version);
        let finding = match &row {
            Ok(Some(row)) if self.may_access(context, id, &row.value) => None,
            Ok(Some(_)) => Some("inaccessible".to_owned()),
            Ok(None) => Some("not_found".to_owned()),
            Err(error) => Some(error.to_string()),
        };
        if let Some(finding) = finding {
            let response = match row {
                Ok(_) => status_response(StatusCode::Gone),
                Err(_) => unavailable_response(context.remaining()),
            };
            node.journal.info(
                "job_not_cancelled",
                &[
                    ("job", &id),
                    ("request", &context.request_id),
                    ("queue", &queue.name),
                    ("service", service),
                    ("status", &response.status()),
                    ("reason", &finding),
                    ("job_version", &job_version),
                ],
            );
            return response;
        }
        let cancellation = rows::Cancellation { layout: 1, at_ms: clock::wall_ms() };
        let change = Transaction {
            writes: vec![(rows::cancel(service, &id), encode(&cancellation))],
            ..Transaction::default()
        };
        let began = clock::now();
        let written = loop {
            let attempt = Attempt {
                elapsed: clock::now().since(began),
                remaining: context.remaining(),
                is_store_unresponsive: node.is_outage_ongoing(),
                has_peers: false,
                unanswered: true,
            };
            if attempt.should_give_up() {
                break None;
            }
            let timeout = COMMIT_TIMEOUT.min(attempt.write_timeout());
            if let Ok(version) = node.commit(&change, timeout).await {
                break Some(version);
            }
            async_std::task::sleep(RETRY_DELAY.min(context.remaining())).await;
        };
        node.journal.info(
            "job_cancelled",
            &[
                ("job", &id),
                ("request", &context.request_id),
                ("service", service),
                ("written", &written.is_some()),
                ("job_version", &job_version),
                ("version", &written.unwrap_or_default()),
            ],
        );
        if written.is_none() {
            return status_response(StatusCode::GatewayTimeout);
        }
        node.metrics.count(Counter::JobsCancelled);
        self.notify_owner(Question::Cancelled { service: service.clone(), id });
        status_response(StatusCode::Ok)
    }
}

/// Logs that no owner has answered the message about a cancellation, so that it learns of it from the
/// table of jobs.
pub(super) fn log_unheard(node: &Node, question: &Question, answer: Option<&Answer>) {
    if let (Question::Cancelled { service, id }, None) = (question, answer) {
        node.journal.info("cancellation_unheard", &[("job", id), ("service", service)]);
    }
}
