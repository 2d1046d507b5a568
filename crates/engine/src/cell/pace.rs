//! Keeping tasks that fill out of the way of tasks that serve.
//!
//! The pattern it answers: tasks of one minion share more than its room indicates, and those that
//! fill lengthen the response times of those that serve by amounts that differ by image and
//! change within seconds.  So nothing is computed ahead: the tail that a serving task reports is
//! compared with its target, the tasks beside it are slowed down at once, and let go on slowly.

use crate::cell::minion::{Minion, RunPhase};
use crate::cell::{Cell, Order};
use crate::time::Time;
use std::time::Duration;

/// Share of the target, in percent, from which on the tasks beside are slowed down.  The report
/// is a rough figure for the last half second, so some room to the target is kept.
const SLOW_FROM: u64 = 80;

/// Share of the target below which they are let go on.
const EASE_BELOW: u64 = 55;

/// Time between two steps down: the report's half second and the time until a pace holds.
const STEP_DOWN: Duration = Duration::from_millis(600);

/// Time between two steps up; slower, as a target that is missed costs more than a task that
/// fills gains.
const STEP_UP: Duration = Duration::from_millis(1500);

/// Percent gained with a step up.
const GAIN: u8 = 15;

/// What a minion's serving tasks say of the tasks beside them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    /// Over the target: stop them.
    Stop,
    /// Close to the target: slow them down.
    Slow,
    /// Far below: let them go on.
    Ease,
    /// Leave them.
    Keep,
}

/// Judges the worst tail against its target, in percent of it.
fn judge(worst: u64) -> Verdict {
    match worst {
        worst if worst >= 100 => Verdict::Stop,
        worst if worst >= SLOW_FROM => Verdict::Slow,
        worst if worst < EASE_BELOW => Verdict::Ease,
        _ => Verdict::Keep,
    }
}

/// The next pace of a task that fills.
fn next(pace: u8, verdict: Verdict) -> u8 {
    match verdict {
        Verdict::Stop => 0,
        Verdict::Slow => pace / 2,
        Verdict::Ease => pace.saturating_add(GAIN).min(100),
        Verdict::Keep => pace,
    }
}

/// The worst tail of a minion's serving tasks, in percent of its target; none without any.
fn worst_tail(cell: &Cell, minion: &Minion) -> Option<u64> {
    let share = |(task, run): (&crate::job::TaskName, &crate::cell::minion::Run)| {
        let job = cell.jobs.get(&task.job)?;
        let step = &job.accepted.definition.steps[task.step as usize];
        let target = step.tail_target_ms?;
        Some(run.load? * 100 / target.max(1))
    };
    minion.runs.iter().filter_map(share).max()
}

impl Cell {
    /// Decides the pace of the tasks that fill.
    pub(crate) fn pace(&mut self, now: Time, orders: &mut Vec<Order>) {
        let verdicts: Vec<_> = self
            .minions
            .values()
            .filter(|minion| minion.runs.values().any(|run| run.fills))
            .map(|minion| {
                // Without a serving task nobody is disturbed.
                let verdict = worst_tail(self, minion).map_or(Verdict::Ease, judge);
                (minion.id.clone(), verdict)
            })
            .collect();
        for (id, verdict) in verdicts {
            let wait = if verdict == Verdict::Ease { STEP_UP } else { STEP_DOWN };
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            for (task, run) in &mut minion.runs {
                let due =
                    run.fills && run.phase == RunPhase::Active && now.since(run.paced) >= wait;
                let pace = next(run.pace, verdict);
                if due && pace != run.pace {
                    run.pace = pace;
                    run.paced = now;
                    let (minion, task, run) = (id.clone(), *task, run.number);
                    orders.push(Order::Pace { minion, task, run, percent: pace });
                }
            }
        }
    }

    /// Takes in that a pace was not taken over, so that it is ordered again.
    pub fn pace_missed(&mut self, id: &str, task: &crate::job::TaskName, number: u32) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(run) = minion.runs.get_mut(task).filter(|run| run.number == number) {
            // Whatever it is, it isn't known to be slowed down.
            run.pace = 100;
            run.paced = Time(0);
            self.swept = None;
        }
    }
}
