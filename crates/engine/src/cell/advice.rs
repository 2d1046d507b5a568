//! Tickets for starts, issued by the external advice service, which decides on which minions a step
//! of a queue with advice may run.
//!
//! The advice service takes time for each minion in a query and answers one query at a time, so a
//! query names only as many minions as the step can use now.  Its answers are cached while valid.

use crate::cell::Cell;
use crate::cell::minion::MinionId;
use crate::job::TaskName;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of minions in one query.  The objective of a job allows for one query on thirty
/// minions.
const MAX_MINIONS_PER_QUERY: usize = 30;

/// Minions queried for each one that is needed, because about half of them are expected to be
/// allowed.
const QUERIED_PER_NEEDED_MINION: usize = 2;

/// The last part of a ticket's validity, in which it is not used, since the start still has to
/// arrive at the minion.
const TICKET_EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// Delay before a query that was not answered is sent again.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Advice on one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Advice {
    /// Tickets by minion, with the end of their validity.
    tickets: BTreeMap<MinionId, (Box<str>, Time)>,
    /// Minions that may not run the step, which is final.
    denied: BTreeSet<MinionId>,
    /// Whether a query is in progress.
    is_query_pending: bool,
    /// Earliest time of the next query.
    not_before: Time,
}

/// A query to the advice service.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The step, as the name of its first task.
    pub step: TaskName,
    /// The minions asked about.
    pub minions: Vec<MinionId>,
}

fn step_key(name: &TaskName) -> TaskName {
    TaskName { index: 0, ..*name }
}

impl Cell {
    /// Whether a queue's steps need tickets.
    pub(crate) fn needs_ticket(&self, queue: &str) -> bool {
        self.policies.queue(queue).is_some_and(|queue| queue.advice.is_some())
    }

    /// Time that the advice service takes for a query about `minions`, by the slowest queue.
    pub fn query_time(&self, minions: usize) -> Duration {
        let latencies = self.policies.queues().filter_map(|queue| queue.advice);
        latencies.map(|latency| latency.of_query(minions)).max().unwrap_or_default()
    }

    /// The ticket for starting a task on a minion, if there is one.
    pub(crate) fn ticket(&self, name: &TaskName, minion: &str, now: Time) -> Option<Box<str>> {
        let (ticket, until) = self.advice.get(&step_key(name))?.tickets.get(minion)?;
        (now + TICKET_EXPIRY_MARGIN < *until).then(|| ticket.clone())
    }

    /// Minions for which a step has a ticket.
    pub(crate) fn ticketed_minions(
        &self,
        name: &TaskName,
        now: Time,
    ) -> impl Iterator<Item = &MinionId> {
        let tickets =
            self.advice.get(&step_key(name)).into_iter().flat_map(|advice| &advice.tickets);
        tickets.filter(move |(_, (_, until))| now + TICKET_EXPIRY_MARGIN < *until).map(|(id, _)| id)
    }

    /// Queues a query for tickets, for a step with waiting tasks and no minion that has both a
    /// ticket and capacity.
    pub(crate) fn request_advice(&mut self, name: &TaskName, needed: usize, now: Time) {
        let advice = self.advice.entry(step_key(name)).or_default();
        if advice.is_query_pending || now < advice.not_before {
            return;
        }
        let is_unknown = |id: &MinionId| {
            let known = advice.tickets.get(id);
            !advice.denied.contains(id)
                && known.is_none_or(|(_, until)| now + TICKET_EXPIRY_MARGIN >= *until)
        };
        let mut candidates: Vec<_> = self
            .minions
            .values()
            .filter(|minion| minion.accepts_tasks(now) && is_unknown(&minion.id))
            .map(|minion| (std::cmp::Reverse(minion.free().cpu), minion.id.clone()))
            .collect();
        candidates.sort();
        let limit = (needed * QUERIED_PER_NEEDED_MINION).clamp(1, MAX_MINIONS_PER_QUERY);
        let minions: Vec<MinionId> = candidates.into_iter().take(limit).map(|(_, id)| id).collect();
        if !minions.is_empty() {
            advice.is_query_pending = true;
            self.queries.push(Query { step: step_key(name), minions });
        }
    }

    /// Takes the queries to send.
    pub fn take_queries(&mut self) -> Vec<Query> {
        std::mem::take(&mut self.queries)
    }

    /// Records an answer: the queried minions that may run the step, with their tickets, valid
    /// until `until`.
    pub fn record_advice(
        &mut self,
        query: &Query,
        tickets: Vec<(MinionId, Box<str>)>,
        until: Time,
    ) {
        let Some(advice) = self.advice.get_mut(&query.step) else { return };
        advice.is_query_pending = false;
        advice.denied.extend(query.minions.iter().cloned());
        for (minion, ticket) in tickets {
            advice.denied.remove(&minion);
            advice.tickets.insert(minion, (ticket, until));
        }
    }

    /// Records that a query was not answered.
    pub fn record_advice_failure(&mut self, query: &Query, now: Time) {
        if let Some(advice) = self.advice.get_mut(&query.step) {
            advice.is_query_pending = false;
            advice.not_before = now + QUERY_RETRY_DELAY;
        }
    }

    /// Drops all tickets for a minion.  A ticket is valid for a single incarnation.
    pub(crate) fn drop_tickets(&mut self, minion: &str) {
        for advice in self.advice.values_mut() {
            advice.tickets.remove(minion);
        }
    }

    /// Drops a ticket that its minion refused.
    pub(crate) fn drop_ticket(&mut self, name: &TaskName, minion: &str) {
        if let Some(advice) = self.advice.get_mut(&step_key(name)) {
            advice.tickets.remove(minion);
        }
    }

    /// Drops the advice on steps of jobs that have ended.
    pub(crate) fn remove_ended_advice(&mut self) {
        let active = &self.active_jobs;
        self.advice.retain(|step, _| active.contains(&step.job));
    }
}
