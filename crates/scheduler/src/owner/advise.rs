//! Asking the advice service for tickets.

use crate::clock;
use crate::owner::Owner;
use celerythread_engine::cell::Query;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait for advice beyond the time that the service says it takes.
const ADVICE_MARGIN: Duration = Duration::from_millis(800);

/// Asks the advice service what the plan needs, one question after the other.
pub(crate) fn ask(owner: &Arc<Owner>) {
    for query in owner.with(|cell| cell.take_queries()).unwrap_or_default() {
        async_std::task::spawn(ask_one(owner.clone(), query));
    }
}

async fn ask_one(owner: Arc<Owner>, query: Query) {
    let node = &owner.node;
    let asked = query.minions.len();
    let answer = match &node.advice {
        Some(client) => {
            let client = client.lock().await;
            Some(client.request_tickets(&query, advice_limit(&owner, asked)).await)
        }
        None => None,
    };
    let now = clock::now();
    let outcome = match answer {
        Some(Ok(tickets)) => {
            let outcome = format!("{} of {asked} may run it", tickets.by_minion.len());
            let until = now + tickets.validity;
            owner.with(|cell| cell.advised(&query, tickets.by_minion, until));
            outcome
        }
        Some(Err(failure)) => {
            owner.with(|cell| cell.advice_missed(&query, now));
            failure.to_string()
        }
        None => {
            owner.with(|cell| cell.advice_missed(&query, now));
            "no address is set".into()
        }
    };
    let step = query.step;
    node.journal.note("advice", &[("job", &step.job), ("step", &step), ("outcome", &outcome)]);
    owner.plan_wake.wake();
}

/// How long the service may take for a question, by the slowest queue of the service.
fn advice_limit(owner: &Owner, asked: usize) -> Duration {
    let configuration = owner.node.configuration();
    let queues = configuration.iter().flat_map(|configuration| configuration.queues.iter());
    let ms = queues
        .filter(|queue| queue.service == owner.service)
        .filter_map(|queue| queue.advice)
        .map(|advice| advice.decide_ms + advice.period_ms * asked as f64)
        .fold(0.0, f64::max);
    Duration::from_millis(ms as u64) + ADVICE_MARGIN
}
