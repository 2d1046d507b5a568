//! Policies of queues and workspaces, by which a cell treats its jobs.
//!
//! The policy from the newest configuration that has one applies.  So a queue or a workspace that
//! was removed keeps its last policy for the jobs accepted before.
//!
//! A later owner may never see that configuration.  It knows the policies in force when each job was
//! accepted, which are stored with the job as its [`Terms`], and those that changed while jobs
//! accepted before were active, which the cell stores beside its jobs.

use crate::cell::Cell;
use crate::job::{Accepted, Origin, Queue, Terms, Workspace};
use crate::quota::Limit;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of policies of each kind that a cell stores.  Both kinds with the longest names fit
/// into a row of 64 KiB as base64.  The policies of further queues and workspaces are those that
/// their jobs were accepted with.
const MAX_STORED: usize = 100;

/// A policy and the configuration that has it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version of the configuration.
    pub configuration: u64,
    /// The policy.
    pub policy: T,
}

/// Policies that a cell stores for its later owners.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Policies of queues, by name.
    pub queues: BTreeMap<Box<str>, Versioned<Queue>>,
    /// Policies of workspaces, by name.
    pub workspaces: BTreeMap<Box<str>, Versioned<Workspace>>,
}

/// The policies that a cell's owner knows.
#[derive(Debug, Default)]
pub(crate) struct Policies {
    queues: BTreeMap<Box<str>, Versioned<Queue>>,
    workspaces: BTreeMap<Box<str>, Versioned<Workspace>>,
    stored: Stored,
    /// Whether a policy may have to be stored.
    is_changed: bool,
}

impl Policies {
    /// A queue's policy; `None` if no known configuration has the queue.
    pub(crate) fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name).map(|known| &known.policy)
    }

    /// The policies of all known queues.
    pub(crate) fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.queues.values().map(|known| &known.policy)
    }
}

/// Records a policy unless a newer one is known.  Returns whether the policy has changed.
fn record<T: PartialEq>(
    known: &mut BTreeMap<Box<str>, Versioned<T>>,
    name: Box<str>,
    new: Versioned<T>,
) -> bool {
    let current = known.get(&name);
    if current.is_some_and(|current| current.configuration > new.configuration) {
        return false;
    }
    let is_changed = current.is_none_or(|current| current.policy != new.policy);
    known.insert(name, new);
    is_changed
}

/// Policies that active jobs need from their cell, because they were accepted by other ones.
struct Needed<'a, T> {
    known: &'a BTreeMap<Box<str>, Versioned<T>>,
    /// The policies, with the newest configuration by which such a job was accepted.
    policies: BTreeMap<&'a str, (&'a Versioned<T>, u64)>,
}

impl<'a, T: Clone + PartialEq> Needed<'a, T> {
    fn new(known: &'a BTreeMap<Box<str>, Versioned<T>>) -> Self {
        Self { known, policies: BTreeMap::new() }
    }

    /// Adds what an active job needs that was accepted by this policy.
    fn add(&mut self, name: &'a str, accepted: Option<(&T, u64)>) {
        let Some(known) = self.known.get(name) else { return };
        let (policy, configuration) = accepted.unzip();
        if policy == Some(&known.policy) {
            return;
        }
        let (_, newest) = self.policies.entry(name).or_insert((known, 0));
        *newest = configuration.unwrap_or(0).max(*newest);
    }

    /// Whether a later owner that reads `stored` applies the same policies.
    fn are_in(&self, stored: &BTreeMap<Box<str>, Versioned<T>>) -> bool {
        self.policies.iter().take(MAX_STORED).all(|(name, (known, newest))| {
            let is_same = |stored: &Versioned<T>| {
                stored.policy == known.policy && stored.configuration >= *newest
            };
            stored.get(*name).is_some_and(is_same)
        })
    }

    fn to_stored(&self) -> BTreeMap<Box<str>, Versioned<T>> {
        let policies = self.policies.iter().take(MAX_STORED);
        policies.map(|(name, (known, _))| ((*name).into(), (*known).clone())).collect()
    }
}

impl Cell {
    /// Applies the queues of a configuration.
    pub fn configure(
        &mut self,
        queues: impl IntoIterator<Item = (Box<str>, Queue)>,
        configuration: u64,
    ) {
        for (name, policy) in queues {
            let policy = Versioned { configuration, policy };
            self.policies.is_changed |= record(&mut self.policies.queues, name, policy);
        }
    }

    /// Applies the workspaces of a configuration.
    pub fn configure_workspaces(
        &mut self,
        workspaces: impl IntoIterator<Item = (Box<str>, Workspace)>,
        configuration: u64,
        now: Time,
    ) {
        for (name, policy) in workspaces {
            let versioned = Versioned { configuration, policy };
            self.policies.is_changed |=
                record(&mut self.policies.workspaces, name.clone(), versioned);
            if self.policies.workspaces[&name] == versioned {
                self.configure_weights([(name.clone(), policy.weight)], now);
                self.configure_limits([(name, Limit(policy.limit))], configuration, now);
            }
        }
    }

    /// Applies the policies that a former owner stored.
    pub fn restore_policies(&mut self, stored: Stored, now: Time) {
        for (name, Versioned { configuration, policy }) in stored.queues.clone() {
            self.configure([(name, policy)], configuration);
        }
        for (name, Versioned { configuration, policy }) in stored.workspaces.clone() {
            self.configure_workspaces([(name, policy)], configuration, now);
        }
        self.policies.stored = stored;
    }

    /// The policies to store; `None` if a later owner applies the present ones without that.
    pub(crate) fn unstored_policies(&mut self) -> Option<Stored> {
        if !self.policies.is_changed {
            return None;
        }
        let policies = &self.policies;
        let mut queues = Needed::new(&policies.queues);
        let mut workspaces = Needed::new(&policies.workspaces);
        for job in self.active_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let terms = job.accepted.terms.as_ref();
            let queue = terms.map(|terms| (&terms.queue, terms.configuration));
            queues.add(&job.accepted.queue, queue);
            if let Origin::Workspace(name) = &job.accepted.origin {
                let workspace = terms.and_then(|terms| {
                    terms.workspace.as_ref().map(|policy| (policy, terms.configuration))
                });
                workspaces.add(name, workspace);
            }
        }
        let stored = &policies.stored;
        if queues.are_in(&stored.queues) && workspaces.are_in(&stored.workspaces) {
            self.policies.is_changed = false;
            return None;
        }
        Some(Stored { queues: queues.to_stored(), workspaces: workspaces.to_stored() })
    }

    /// Whether policies may have to be stored.
    pub(crate) fn has_unstored_policies(&self) -> bool {
        self.policies.is_changed
    }

    /// Records that policies are stored.
    pub(crate) fn record_stored_policies(&mut self, stored: &Stored) {
        self.policies.stored = stored.clone();
    }

    /// Applies the policies by which a job was accepted, if none newer are known.
    pub(crate) fn apply_terms(&mut self, accepted: &Accepted, now: Time) {
        let Some(Terms { configuration, queue, workspace }) = &accepted.terms else {
            self.policies.is_changed = true;
            return;
        };
        let is_newer = |known: Option<u64>| known.is_none_or(|known| known < *configuration);
        let known = self.policies.queues.get(&accepted.queue);
        if is_newer(known.map(|known| known.configuration)) {
            self.configure([(accepted.queue.clone(), queue.clone())], *configuration);
        } else if self.policies.queue(&accepted.queue) != Some(queue) {
            self.policies.is_changed = true;
        }
        let (Origin::Workspace(name), Some(workspace)) = (&accepted.origin, workspace) else {
            return;
        };
        let known = self.policies.workspaces.get(name);
        if is_newer(known.map(|known| known.configuration)) {
            self.configure_workspaces([(name.clone(), *workspace)], *configuration, now);
        } else if known.is_none_or(|known| known.policy != *workspace) {
            self.policies.is_changed = true;
        }
    }

    /// A queue's policy; the default if no known configuration has the queue.
    pub(crate) fn queue(&self, name: &str) -> Queue {
        self.policies.queue(name).cloned().unwrap_or_default()
    }
}
