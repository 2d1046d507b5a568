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
            let query_time = owner.with(|cell| cell.query_time(asked)).unwrap_or_default();
            Some(client.request_tickets(&query, query_time + ADVICE_TIMEOUT_MARGIN).await)
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
