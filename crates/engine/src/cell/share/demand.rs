//! What the workspaces of a cell ask for and use, and the shares that follow for one plan.

use super::{Claim, DEFAULT_WEIGHT, Group, GroupId, Shares, entitlements};
use crate::cell::load::AverageMinion;
use crate::cell::ranking::{Rank, class};
use crate::cell::{Cell, Event, Job};
use crate::job::{Id, Resources, Step};
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum time between two events about workspaces over their shares.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// The name in events of the group of jobs without a workspace.  No workspace has this name, since
/// workspace names begin with a letter.
const NO_WORKSPACE: &str = "~public";

/// An amount of work: the cores that it takes from others, and what it is charged to a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    cores: u64,
    charge: Resources,
}

impl Amount {
    fn plus(&self, other: &Amount) -> Amount {
        Amount { cores: self.cores + other.cores, charge: self.charge.plus(&other.charge) }
    }

    fn minus(&self, other: &Amount) -> Amount {
        Amount {
            cores: self.cores.saturating_sub(other.cores),
            charge: self.charge.minus(&other.charge),
        }
    }

    /// The cores that fit into `room`, of the same mix of tasks.
    fn cores_within(&self, room: &Resources) -> u64 {
        let amounts = [
            (room.cpu, self.charge.cpu),
            (room.memory_mb, self.charge.memory_mb),
            (room.gpu, self.charge.gpu),
        ];
        let limiting = amounts.into_iter().filter(|(room, wanted)| wanted > room);
        limiting.fold(self.cores, |cores, (room, wanted)| {
            let part = u128::from(self.cores) * u128::from(room) / u128::from(wanted);
            cores.min(part as u64)
        })
    }
}

/// The runs of a job.
#[derive(Clone, Copy, Debug, Default)]
struct Running {
    amount: Amount,
    /// Whether any of them ends by itself.
    ends: bool,
}

/// What the groups use and ask for.
#[derive(Debug)]
struct Demands {
    groups: Vec<Group>,
    /// Tasks that may start and do not run, by group, without those of late jobs.
    waiting: Vec<Amount>,
    /// What runs, by job.
    running: BTreeMap<Id, Running>,
}

impl Cell {
    /// Number of runs, steps and jobs that plans examined for shares so far.
    pub fn examined_for_shares(&self) -> u64 {
        self.shares.examined
    }

    /// Returns the number of jobs that were passed over because of their workspace's share, each
    /// counted once, since the last call.
    pub fn take_jobs_over_share(&mut self) -> u64 {
        std::mem::take(&mut self.shares.newly_deferred)
    }

    /// Determines the shares for the current plan, if the pool has less capacity than is asked for
    /// by several groups.  `ranked` are the jobs that may be started.
    pub(crate) fn open_shares(&mut self, ranked: &[(Rank, Id)], now: Time, wall_ms: u64) {
        self.shares.current = None;
        if !self.settings.workspace_shares || !self.has_free_capacity(now) {
            return;
        }
        let average = AverageMinion::of(self.minions.values());
        let (mut demands, capacity) = self.count_running(&average, now);
        let mut examined = demands.running.len();
        for (rank, id) in ranked.iter().filter(|(rank, _)| rank.class < class::LATE) {
            let Some(job) = self.jobs.get(id) else { continue };
            let GroupId(index) = GroupId::of(job.account);
            let (asked, steps) = asked_amount(job, &average, wall_ms);
            let running = demands.running.get(id).copied().unwrap_or_default();
            let waiting = asked.minus(&running.amount);
            demands.waiting[index] = demands.waiting[index].plus(&waiting);
            examined += steps;
            let group = &mut demands.groups[index];
            let may_starve = !group.has_ending_runs && waiting.cores > 0;
            if may_starve && rank.class == class::IN_TIME && self.is_aged(job, now) {
                let this = (job.accepted_at, *id);
                let oldest = group.oldest_starving.map_or(this, |oldest| oldest.min(this));
                group.oldest_starving = Some(oldest);
            }
        }
        self.shares.examined += examined as u64;
        let claims: Vec<Claim> =
            (0..demands.groups.len()).map(|index| self.claim(index, &demands)).collect();
        let total: u64 = claims.iter().map(|claim| claim.demand).sum();
        let asking = claims.iter().filter(|claim| claim.demand > 0).count();
        if total <= capacity || asking < 2 {
            return;
        }
        for (group, amount) in demands.groups.iter_mut().zip(entitlements(&claims, capacity)) {
            group.entitlement = amount;
        }
        let groups = demands.groups;
        self.shares.current =
            Some(Shares { groups, average, limiting: None, interrupted_at: None });
    }

    /// Whether any minion has cores for a task.  Otherwise only best-effort tasks can start, and a
    /// plan need not determine shares.
    fn has_free_capacity(&self, now: Time) -> bool {
        self.minions.values().any(|minion| minion.free().cpu > 0 && minion.accepts_tasks(now))
    }

    /// Counts what runs, and the capacity that the groups share.
    ///
    /// A minion that accepts no tasks adds only what runs there.  Runs of unknown jobs, which a new
    /// owner may find before their jobs, belong to no group and reduce the capacity.
    fn count_running(&mut self, average: &AverageMinion, now: Time) -> (Demands, u64) {
        let count = self.accounts.count() + 1;
        let mut groups = vec![Group::default(); count];
        let mut running = BTreeMap::<Id, Running>::new();
        let mut last = (None, Running::default());
        let (mut capacity, mut unknown, mut examined) = (0, 0, 0);
        for minion in self.minions.values() {
            let mut used = 0;
            for (task, run) in &minion.runs {
                let cores = average.equivalent_cores(&run.need);
                used += cores;
                let charge = run.charge.map_or(run.need, |charge| charge.need);
                // The runs of a job on a minion follow each other.
                if last.0 != Some(task.job) {
                    add_running(
                        &mut running,
                        std::mem::replace(&mut last, (Some(task.job), Running::default())),
                    );
                }
                last.1.amount = last.1.amount.plus(&Amount { cores, charge });
                last.1.ends |= !run.long_running;
                examined += 1;
            }
            capacity += if minion.accepts_tasks(now) { minion.listing.capacity.cpu } else { used };
        }
        add_running(&mut running, last);
        for (id, Running { amount, ends }) in &running {
            let Some(job) = self.jobs.get(id) else {
                unknown += amount.cores;
                continue;
            };
            let group = &mut groups[GroupId::of(job.account).0];
            group.used += amount.cores;
            group.has_ending_runs |= ends;
        }
        self.shares.examined += examined;
        let demands = Demands { groups, waiting: vec![Amount::default(); count], running };
        (demands, capacity.saturating_sub(unknown))
    }

    /// What a group claims: what it uses, and what waits within its workspace's limit.
    fn claim(&self, index: usize, demands: &Demands) -> Claim {
        let (used, waiting) = (demands.groups[index].used, &demands.waiting[index]);
        let account = index.checked_sub(1).map(|index| self.accounts.by_index(index));
        let limited = account.and_then(|account| Some((account, account.limit().cpu()?)));
        let configured = index.checked_sub(1).and_then(|index| self.accounts.weight(index));
        let weight = configured
            .map(|weight| weight * DEFAULT_WEIGHT)
            .or(limited.map(|(_, cpu)| cpu))
            .unwrap_or(DEFAULT_WEIGHT);
        let waiting = match limited {
            Some((account, _)) => waiting.cores_within(&account.limit().0.minus(&account.in_use())),
            None => waiting.cores,
        };
        Claim { weight, demand: used + waiting }
    }

    /// The group whose entitlement limits a job; `None` if the job keeps its place.
    pub(crate) fn limiting_group(&mut self, rank: &Rank, id: &Id) -> Option<GroupId> {
        self.shares.examined += 1;
        let shares = self.shares.current.as_ref()?;
        let job = self.jobs.get(id)?;
        let group = GroupId::of(job.account);
        (rank.class == class::IN_TIME && !shares.is_starving(group, id)).then_some(group)
    }

    /// Counts a job that was passed over, once.
    pub(crate) fn count_deferred_job(&mut self, id: &Id) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.over_share) {
            job.over_share = true;
            self.shares.newly_deferred += 1;
        }
    }

    /// Ends the shares of the current plan, and records an event if jobs were passed over.
    pub(crate) fn close_shares(&mut self, now: Time) {
        let Some(shares) = self.shares.current.take() else { return };
        let Some((group, most)) = shares.most_deferred() else { return };
        if self.shares.logged_at.is_some_and(|at| now.since(at) < EVENT_INTERVAL) {
            return;
        }
        self.shares.logged_at = Some(now);
        let account = group.0.checked_sub(1).map(|index| self.accounts.by_index(index));
        let workspace = account.map_or(NO_WORKSPACE.into(), |account| account.workspace.clone());
        self.record_event(Event::WorkspaceOverShare {
            workspace,
            used: most.used,
            entitlement: most.entitlement,
            jobs: most.deferred,
        });
    }
}

fn add_running(running: &mut BTreeMap<Id, Running>, (job, part): (Option<Id>, Running)) {
    let Some(job) = job else { return };
    let sum = running.entry(job).or_default();
    sum.amount = sum.amount.plus(&part.amount);
    sum.ends |= part.ends;
}

/// What the open tasks of a job's ready steps take, whether they run or wait, and the number of
/// steps examined.
fn asked_amount(job: &Job, average: &AverageMinion, wall_ms: u64) -> (Amount, usize) {
    let definition = &job.accepted.definition;
    let is_due = |occurrence| definition.due_ms(occurrence).is_none_or(|at| wall_ms >= at);
    let mut asked = Amount::default();
    let mut examined = 0;
    for occurrence in (0..definition.occurrences()).filter(|occurrence| is_due(*occurrence)) {
        for (number, step) in definition.steps.iter().enumerate() {
            examined += 1;
            let open = u64::from(job.open_tasks(occurrence, number as u32));
            if open > 0 && job.is_step_ready(occurrence, number as u32) {
                asked = asked.plus(&amount_of(step, open, average));
            }
        }
    }
    (asked, examined)
}

fn amount_of(step: &Step, count: u64, average: &AverageMinion) -> Amount {
    Amount {
        cores: average.equivalent_cores(&step.reserved_resources()) * count,
        charge: step.need.times(count),
    }
}
