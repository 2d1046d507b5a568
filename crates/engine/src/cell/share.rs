//! Shares of workspaces in a pool that lacks capacity.
//!
//! The capacity is divided by water-filling: each group of jobs is entitled to what it can use, up
//! to a level that is the same for all groups in relation to their weights.  A group that uses its
//! entitlement is passed over until no job of the others can start, in the same plan.  The shares
//! only change the order of jobs, so capacity is never left idle for them.
//!
//! This module has no state of a cell; [`demand`] determines what the groups of a cell ask for.

mod demand;

use crate::cell::load::AverageMinion;
use crate::cell::quota::AccountId;
use crate::job::{Id, Resources, TaskName};
use crate::time::Time;

/// Weight of a group without a configured weight and without a limit, in millicores.
pub(crate) const DEFAULT_WEIGHT: u64 = 1000;

/// What a group can use of a capacity.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// Its weight relative to the others.
    pub weight: u64,
    /// The most that it can use, in the unit of the capacity.
    pub demand: u64,
}

/// Divides a capacity between claims: the max-min fair amounts for the weights, rounded down.
///
/// No claim gets more than its demand, and what it does not ask for goes to the others.  A claim
/// without weight gets nothing.
pub fn entitlements(claims: &[Claim], capacity: u64) -> Vec<u64> {
    let mut amounts = vec![0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).filter(|i| claims[*i].weight > 0).collect();
    // The claims that are satisfied at the lowest level come first.
    order.sort_by(|a, b| {
        let (a, b) = (&claims[*a], &claims[*b]);
        let product = |demand: u64, weight: u64| u128::from(demand) * u128::from(weight);
        product(a.demand, b.weight).cmp(&product(b.demand, a.weight))
    });
    let mut capacity = u128::from(capacity);
    let mut weights: u128 = order.iter().map(|index| u128::from(claims[*index].weight)).sum();
    for index in order {
        let Claim { weight, demand } = claims[index];
        let fair = capacity * u128::from(weight) / weights;
        let amount = fair.min(u128::from(demand));
        amounts[index] = amount as u64;
        capacity -= amount;
        weights -= u128::from(weight);
    }
    amounts
}

/// Index of a group: the jobs of one workspace, or those without a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct GroupId(usize);

impl GroupId {
    /// The group of jobs with this account.
    pub(crate) fn of(account: Option<AccountId>) -> Self {
        Self(account.map_or(0, |account| account.index() + 1))
    }
}

/// A group's use of the pool in the current plan, in millicores.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    /// What its runs take.
    pub(crate) used: u64,
    pub(crate) entitlement: u64,
    /// Whether it has runs that end by themselves.
    pub(crate) has_ending_runs: bool,
    /// Without such runs, its oldest waiting job that has waited for the aging limit.
    pub(crate) oldest_starving: Option<(Time, Id)>,
    /// Number of its jobs that were passed over.
    pub(crate) deferred: usize,
}

impl Group {
    /// Whether a task of this size would exceed its entitlement.
    ///
    /// If tasks could exceed it by a part, the groups that come first would exceed theirs together
    /// by what the last one is entitled to.  A group without runs may always start a task, since its
    /// entitlement can be too small for a whole one.
    fn is_exceeded_by(&self, cores: u64) -> bool {
        self.used > 0 && self.used + cores > self.entitlement
    }
}

/// The shares of all groups during a plan.
#[derive(Debug)]
pub(crate) struct Shares {
    groups: Vec<Group>,
    average: AverageMinion,
    /// The group whose entitlement limits the job that is being started; `None` while nothing does.
    limiting: Option<GroupId>,
    /// The first task of the step at which that job was interrupted.
    interrupted_at: Option<TaskName>,
}

impl Shares {
    /// Begins the start of a job whose tasks are limited by a group's entitlement, or by none.
    pub(crate) fn begin_job(&mut self, group: Option<GroupId>) {
        self.limiting = group;
        self.interrupted_at = None;
    }

    /// Whether a waiting task of the current job must not start now, since it would exceed the
    /// entitlement, or another one of the job did.  `first` is the first task of its step.
    pub(crate) fn interrupt_at(&mut self, first: TaskName, need: &Resources) -> bool {
        let Some(group) = self.limiting else { return false };
        let cores = self.average.equivalent_cores(need);
        if self.interrupted_at.is_none() && self.groups[group.0].is_exceeded_by(cores) {
            self.interrupted_at = Some(first);
        }
        self.interrupted_at.is_some()
    }

    /// Ends the start of a job; returns the first task of the step at which it was interrupted.
    pub(crate) fn end_job(&mut self) -> Option<TaskName> {
        let at = self.interrupted_at.take();
        if let Some(group) = self.limiting.take().filter(|_| at.is_some()) {
            self.groups[group.0].deferred += 1;
        }
        at
    }

    /// Counts a run that is being started.
    pub(crate) fn count_start(&mut self, group: GroupId, need: &Resources) {
        self.groups[group.0].used += self.average.equivalent_cores(need);
    }

    /// Whether a job keeps its place because its group would otherwise never start one.
    ///
    /// If only long-running tasks use the entitlement, it never becomes free, so the oldest job that
    /// has waited for the aging limit is started beyond it.  Where other runs use it, jobs follow as
    /// these end; a backlog of old jobs must not exceed the entitlement then.
    pub(crate) fn is_starving(&self, group: GroupId, job: &Id) -> bool {
        self.groups[group.0].oldest_starving.is_some_and(|(_, oldest)| oldest == *job)
    }

    /// The group of which most jobs were passed over; `None` if none was.
    fn most_deferred(&self) -> Option<(GroupId, &Group)> {
        let groups = self.groups.iter().enumerate().filter(|(_, group)| group.deferred > 0);
        let most = groups.max_by_key(|(_, group)| group.deferred);
        most.map(|(index, group)| (GroupId(index), group))
    }
}

/// What a cell keeps about shares.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The shares during a plan for a pool that lacks capacity.
    pub(crate) current: Option<Shares>,
    /// When an event was last recorded.
    logged_at: Option<Time>,
    /// Number of jobs that were passed over for the first time, since it was last taken.
    newly_deferred: u64,
    /// Number of runs, steps and jobs that were examined so far.
    examined: u64,
}
