//! The demand of a cell, used to assign machines to pools.

use crate::cell::Cell;
use crate::cell::minion::{Minion, Run};
use crate::cell::work::{Job, Phase};
use crate::job::{Resources, TaskName};
use crate::pools::{BACKLOG_HORIZON, Load};
use crate::time::Time;
use smallvec::SmallVec;
use std::collections::HashSet;
use std::time::Duration;

/// The work of late jobs is divided by this.  A late caller has lost most of the job's value
/// whether the job is a little or very late, and machines for it are taken from callers whose jobs
/// can still meet their objective.
const LATE_WORK_DIVISOR: u64 = 4;

/// [`BACKLOG_HORIZON`] in milliseconds.
const HORIZON_MS: u64 = BACKLOG_HORIZON.as_millis() as u64;

/// Sizes of a cell, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Minions.
    pub minions: usize,
    /// Minions whose last call was answered.
    pub reachable: usize,
    /// Runs on minions, including those that are being stopped.
    pub runs: usize,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs with changes that are not persisted.
    pub unpersisted: usize,
}

impl Cell {
    /// The sizes of the cell.
    pub fn counts(&self) -> Counts {
        Counts {
            minions: self.minions.len(),
            reachable: self.minions.values().filter(|minion| minion.is_reachable()).count(),
            runs: self.minions.values().map(|minion| minion.runs.len()).sum(),
            jobs: self.active_jobs.len(),
            unpersisted: self.changed_jobs.len(),
        }
    }

    /// The demand, and the minions that could be released.
    ///
    /// Tasks that may still run unknown to this owner cannot be started yet, so their demand is
    /// reported apart.  When it counted as waiting, 28 machines idled for the four seconds until the
    /// tasks could start, while the pool with the current demand peak had ten.  When it was left
    /// out, 140 machines were moved away from 1,300 jobs and back eight seconds later.
    pub fn load(&self, now: Time) -> Load {
        let mut load = Load::default();
        let takeover_complete = self.is_takeover_complete(now);
        let average = AverageMinion::of(self.minions.values());
        let mut late_jobs = HashSet::new();
        for (id, job) in self.active_jobs.iter().filter_map(|id| Some((id, self.jobs.get(id)?))) {
            load.min_minions = load.min_minions.max(min_minions(job));
            let is_late = self.rank(job, now).class > 1;
            let work = waiting_work(job, &average) / if is_late { LATE_WORK_DIVISOR } else { 1 };
            if is_late {
                late_jobs.insert(*id);
            }
            if !takeover_complete && job.inherited {
                load.inherited += work;
                load.late_inherited += if is_late { work } else { 0 };
                continue;
            }
            load.waiting += work;
            load.late_waiting += if is_late { work } else { 0 };
        }
        if let Some(expiry) = self.former_lease_expiry.filter(|_| !takeover_complete) {
            load.inherited_ms = expiry.since(now).as_millis() as u64;
        }
        for minion in self.minions.values().filter(|minion| minion.listed) {
            let mut working = 0;
            for (task, run) in &minion.runs {
                let cores = average.equivalent_cores(&run.need);
                if run.long_running {
                    load.long_running += cores;
                    continue;
                }
                working += cores;
                load.late_working += if late_jobs.contains(&task.job) { cores } else { 0 };
            }
            load.working += working;
            load.minions += 1;
            let id = || minion.id.to_string();
            if !minion.is_able(now) {
                load.unavailable.push(id());
            }
            if minion.leaving {
                if minion.answered && minion.is_empty() {
                    load.empty.push(id());
                }
            } else if minion.long_running_count == 0
                && minion.is_reachable()
                && !minion.listing.draining
            {
                load.free.push((id(), working));
                if !minion.is_empty() {
                    load.busy.push((id(), self.time_until_empty(minion, now).as_millis() as u64));
                }
            }
        }
        load.minion_cpu = average.capacity.cpu;
        load
    }

    /// Time until the runs of a minion should have ended.
    fn time_until_empty(&self, minion: &Minion, now: Time) -> Duration {
        let remaining = |(task, run): (&TaskName, &Run)| {
            let step =
                self.jobs.get(&task.job)?.accepted.definition.steps.get(task.step as usize)?;
            Some(run.remaining(Duration::from_millis(step.estimate_ms), now))
        };
        minion.runs.iter().filter_map(remaining).max().unwrap_or_default()
    }
}

/// A minion of average capacity.
#[derive(Debug)]
pub(crate) struct AverageMinion {
    capacity: Resources,
}

impl AverageMinion {
    /// The average of the listed minions.
    pub(crate) fn of<'a>(minions: impl Iterator<Item = &'a Minion>) -> Self {
        let listed: Vec<&Resources> =
            minions.filter(|minion| minion.listed).map(|minion| &minion.listing.capacity).collect();
        let sum = listed.iter().fold(Resources::default(), |sum, one| sum.plus(one));
        let count = (listed.len() as u64).max(1);
        let capacity = Resources {
            cpu: sum.cpu / count,
            memory_mb: sum.memory_mb / count,
            gpu: sum.gpu / count,
        };
        Self { capacity }
    }

    /// The millicores that a task takes from others: its own, or those in proportion to the memory
    /// or the accelerators that it takes.  With its own alone, a pool whose tasks fill the memory
    /// of its minions and use half of their cores asked for half of the machines that it needs.
    pub(crate) fn equivalent_cores(&self, need: &Resources) -> u64 {
        let cpu_share = |part: u64, whole: u64| (part * self.capacity.cpu).checked_div(whole);
        let memory = cpu_share(need.memory_mb, self.capacity.memory_mb).unwrap_or(0);
        let accelerators = cpu_share(need.gpu, self.capacity.gpu).unwrap_or(0);
        need.cpu.max(memory).max(accelerators)
    }
}

/// Minimum number of minions that a job's long-running tasks need.
fn min_minions(job: &Job) -> usize {
    let steps = job.accepted.definition.steps.iter().filter(|step| step.long_running);
    let needed = |step: &crate::job::Step| {
        step.max_per_minion.map_or(1, |limit| step.count.div_ceil(limit.max(1)) as usize)
    };
    steps.map(needed).max().unwrap_or(0)
}

/// Core-milliseconds of a job's waiting tasks that more machines could work on within the horizon.
///
/// A task uses no more than its own cores however much work it is, and steps that wait for others
/// run where those ran, so only the widest of them adds to what its job already has.  When all
/// waiting work counted in full, a queue of long tasks in two steps asked for 1,400 machines where
/// 500 of its 950 idled, and the pool with the next demand peak had 46 machines of the 740 that it
/// needed.
fn waiting_work(job: &Job, average: &AverageMinion) -> u64 {
    let definition = &job.accepted.definition;
    let mut running = 0;
    let mut ready = 0;
    let mut blocked: SmallVec<[u64; 8]> = SmallVec::from_elem(0, definition.steps.len());
    for (flat, task) in job.tasks.iter().enumerate() {
        if task.phase == Phase::Done {
            continue;
        }
        let (occurrence, number, _) = job.position_of(flat as u32);
        let step = &definition.steps[number as usize];
        // A long-running task needs its cores permanently, so it counts with work for the whole
        // horizon.
        let ms = if step.long_running { HORIZON_MS } else { step.estimate_ms.min(HORIZON_MS) };
        let work = average.equivalent_cores(&step.need) * ms / 1000;
        if task.phase != Phase::Waiting {
            running += work;
        } else if job.is_step_ready(occurrence, number) {
            ready += work;
        } else {
            blocked[number as usize] += work;
        }
    }
    let widest = blocked.into_iter().max().unwrap_or(0);
    ready.max(widest.saturating_sub(running))
}
