//! Policies of the configuration, as the engine applies them.

use celerythread_adapter::configuration::{Advice, Configuration, Queue};
use celerythread_engine::job::{self, AdviceLatency, Origin, Terms};
use std::time::Duration;

/// The terms on which a job is accepted.
pub(crate) fn of_job(configuration: &Configuration, queue: &Queue, origin: &Origin) -> Terms {
    let workspace = match origin {
        Origin::Workspace(name) => {
            workspaces(configuration).find(|(known, _)| known == name).map(|(_, policy)| policy)
        }
        Origin::Unknown | Origin::Public => None,
    };
    Terms {
        configuration: configuration.version,
        workspace,
        queue: queue_policy(configuration, queue),
    }
}

/// The policies of a service's queues, by name.
pub(crate) fn queues<'a>(
    configuration: &'a Configuration,
    service: &'a str,
) -> impl Iterator<Item = (Box<str>, job::Queue)> + 'a {
    let queues = configuration.queues.iter().filter(move |queue| queue.service == service);
    queues.map(|queue| (queue.name.as_str().into(), queue_policy(configuration, queue)))
}

/// The policies of the workspaces, by name.
pub(crate) fn workspaces(
    configuration: &Configuration,
) -> impl Iterator<Item = (Box<str>, job::Workspace)> + '_ {
    configuration.workspaces.iter().map(|workspace| {
        let policy = job::Workspace { limit: workspace.limit.0, weight: workspace.weight };
        (workspace.name.as_str().into(), policy)
    })
}

fn queue_policy(configuration: &Configuration, queue: &Queue) -> job::Queue {
    job::Queue {
        priority: queue.priority,
        attempts: queue.attempts,
        stretch: queue.stretch,
        target_ms: queue.target_ms,
        public: configuration.is_public(queue),
        advice: queue.advice.as_ref().map(advice_latency),
    }
}

fn advice_latency(advice: &Advice) -> AdviceLatency {
    let duration = |ms: f64| Duration::from_micros((ms * 1000.0) as u64);
    AdviceLatency { per_query: duration(advice.decide_ms), per_minion: duration(advice.period_ms) }
}
