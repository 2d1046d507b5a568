//! What a cell's demand is, for deciding where machines go.

use crate::cell::Cell;
use crate::cell::minion::Minion;
use crate::cell::work::{Job, Phase};
use crate::job::Resources;
use crate::pools::{BACKLOG_HORIZON, Load};
use crate::time::Time;
use smallvec::SmallVec;

/// Times longer that a late job's work may take than that of one that can meet its objective: late
/// by a little or by more, its caller has lost most of its worth, and machines that come for it are
/// taken from those whose callers have not.
const LATE: u64 = 4;

/// [`BACKLOG_HORIZON`] in milliseconds.
const HORIZON_MS: u64 = BACKLOG_HORIZON.as_millis() as u64;

impl Cell {
    /// The demand and what could be given away.
    ///
    /// Tasks that may still run where this owner doesn't see it can't be started, so they ask for
    /// nothing yet: counted, they kept 28 machines idle for the four seconds until they might,
    /// while the pool whose turn it was had ten.
    pub fn load(&self, now: Time) -> Load {
        let mut load = Load::default();
        let settled = self.is_settled(now);
        let mean = Mean::of(self.minions.values());
        for job in self.active.iter().filter_map(|id| self.jobs.get(id)) {
            load.min_minions = load.min_minions.max(spread_over(job));
            if settled || !job.inherited {
                let is_late = self.rank(job, now).class > 1;
                load.waiting += waiting(job, &mean) / if is_late { LATE } else { 1 };
            }
        }
        for minion in self.minions.values().filter(|minion| minion.listed) {
            let of = |lasting: bool| {
                let runs = minion.runs.values().filter(|run| run.lasting == lasting);
                runs.map(|run| mean.cores(&run.need)).sum::<u64>()
            };
            let (working, lasting) = (of(false), of(true));
            load.working += working;
            load.long_running += lasting;
            load.minions += 1;
            let id = || minion.id.to_string();
            if minion.leaving {
                if minion.answered && minion.is_empty() {
                    load.empty.push(id());
                }
            } else if minion.lasting == 0 && minion.is_reachable() && !minion.listing.draining {
                load.free.push((id(), working));
            }
        }
        load.minion_cpu = mean.capacity.cpu;
        load
    }
}

/// A minion of average size.
struct Mean {
    capacity: Resources,
}

impl Mean {
    fn of<'a>(minions: impl Iterator<Item = &'a Minion>) -> Self {
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

    /// The cores that a task keeps from others, in thousandths: its own, or those beside the memory
    /// or the accelerators that it takes.  By cores alone, a pool whose tasks fill the memory of its
    /// minions with half of their cores in use asked for half of the machines that it needs.
    fn cores(&self, need: &Resources) -> u64 {
        let beside = |part: u64, whole: u64| (part * self.capacity.cpu).checked_div(whole);
        let memory = beside(need.memory_mb, self.capacity.memory_mb).unwrap_or(0);
        let accelerators = beside(need.gpu, self.capacity.gpu).unwrap_or(0);
        need.cpu.max(memory).max(accelerators)
    }
}

/// Minions that a job's lasting tasks need at least.
fn spread_over(job: &Job) -> usize {
    let steps = job.accepted.definition.steps.iter().filter(|step| step.lasting);
    let needed = |step: &crate::job::Step| {
        step.per_minion.map_or(1, |limit| step.count.div_ceil(limit.max(1)) as usize)
    };
    steps.map(needed).max().unwrap_or(0)
}

/// Core-milliseconds of a job's waiting tasks that more machines could work on within the horizon.
///
/// A task uses no more than its own cores however much work it is, and steps that wait for others run
/// where those ran: only the widest of them asks for more than its job has already.  With all that
/// waits counted in full, a queue of long tasks in two steps asked for 1,400 machines where 500 of its
/// 950 idled, and the callers of the next turn had 46 machines of the 740 that they needed.
fn waiting(job: &Job, mean: &Mean) -> u64 {
    let definition = &job.accepted.definition;
    let mut running = 0;
    let mut ready = 0;
    let mut blocked: SmallVec<[u64; 8]> = SmallVec::from_elem(0, definition.steps.len());
    for (flat, task) in job.tasks.iter().enumerate() {
        if task.phase == Phase::Done {
            continue;
        }
        let (occurrence, number, _) = job.place_of(flat as u32);
        let step = &definition.steps[number as usize];
        // A lasting task needs its cores for good: as if it had work for the horizon.
        let ms = if step.lasting { HORIZON_MS } else { step.estimate_ms.min(HORIZON_MS) };
        let work = mean.cores(&step.need) * ms / 1000;
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
