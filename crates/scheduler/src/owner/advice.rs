//! Queries for tickets to the advice service.

use crate::clock;
use crate::owner::Owner;
use celerythread_engine::cell::Query;
use std::sync::Arc;
use std::time::Duration;

/// Added to the time that the service is declared to take for an answer.
const ADVICE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);

/// Sends the queries that the plan needs, one after the other.
pub(crate) fn send_queries(owner: &Arc<Owner>) {
    for query in owner.with(|cell| cell.take_queries()).unwrap_or_default() {
        async_std::task::spawn(send_query(owner.clone(), query));
    }
}

async fn send_query(owner: Arc<Owner>, query: Query) {
    let node = &owner.node;
    let asked = query.minions.len();
    let answer = match &node.advice {
        Some(client) => {
            let client = client.lock().await;
            Some(client.request_tickets(&query, advice_timeout(&owner, asked)).await)
        }
        None => None,
    };
    let now = clock::now();
    let outcome = match answer {
        Some(Ok(tickets)) => {
            let outcome = format!("{} of {asked} may run it", tickets.by_minion.len());
            let until = now + tickets.validity;
            owner.with(|cell| cell.record_advice(&query, tickets.by_minion, until));
            outcome
        }
        Some(Err(failure)) => {
            owner.with(|cell| cell.record_advice_failure(&query, now));
            failure.to_string()
        }
        None => {
            owner.with(|cell| cell.record_advice_failure(&query, now));
            "no address is set".into()
        }
    };
    let step = query.step;
    node.journal.info("advice", &[("job", &step.job), ("step", &step), ("outcome", &outcome)]);
    owner.plan_wake.wake();
}

/// Timeout for a query, by the slowest queue of the service.
fn advice_timeout(owner: &Owner, asked: usize) -> Duration {
    let configuration = owner.node.configuration();
    let queues = configuration.iter().flat_map(|configuration| configuration.queues.iter());
    let ms = queues
        .filter(|queue| queue.service == owner.service)
        .filter_map(|queue| queue.advice)
        .map(|advice| advice.decide_ms + advice.period_ms * asked as f64)
        .fold(0.0, f64::max);
    Duration::from_millis(ms as u64) + ADVICE_TIMEOUT_MARGIN
}
