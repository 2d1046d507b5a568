//! What a cell's demand is, for deciding where machines go.

use crate::cell::Cell;
use crate::cell::work::{Job, Phase};
use crate::pools::Load;

impl Cell {
    /// The demand and what could be given away.
    pub fn load(&self) -> Load {
        let mut load = Load::default();
        for id in &self.active {
            if let Some(job) = self.jobs.get(id) {
                load.waiting += waiting(job);
                load.least = load.least.max(spread_over(job));
            }
        }
        let mut capacity = 0;
        for minion in self.minions.values().filter(|minion| minion.listed) {
            let of = |lasting: bool| {
                let runs = minion.runs.values().filter(|run| run.lasting == lasting);
                runs.map(|run| run.need.cpu).sum::<u64>()
            };
            let (working, lasting) = (of(false), of(true));
            load.working += working;
            load.lasting += lasting;
            capacity += minion.listing.capacity.cpu;
            load.minions += 1;
            let id = || minion.id.to_string();
            if minion.leaving {
                if minion.answered && minion.is_empty() {
                    load.empty.push(id());
                }
            } else if minion.lasting == 0 && minion.reachable && !minion.listing.draining {
                load.free.push((id(), working));
            }
        }
        load.minion_cpu = capacity / (load.minions as u64).max(1);
        load
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

/// Core-milliseconds of a job's tasks that wait.
fn waiting(job: &Job) -> u64 {
    let steps = &job.accepted.definition.steps;
    let mut sum = 0;
    for (flat, task) in job.tasks.iter().enumerate() {
        if task.phase != Phase::Waiting {
            continue;
        }
        let step = &steps[job.place_of(flat as u32).1 as usize];
        // A lasting task needs its cores for good: as if it had work for a second.
        let ms = if step.lasting { 1000 } else { step.estimate_ms };
        sum += step.need.cpu * ms / 1000;
    }
    sum
}
