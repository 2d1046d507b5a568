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
const SLOW_DOWN_FROM_PERCENT: u64 = 80;

/// Share of the target below which they are let go on.
const SPEED_UP_BELOW_PERCENT: u64 = 55;

/// Time between two steps down: the report's half second and the time until a pace holds.
const SLOW_DOWN_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two steps up; slower, as a target that is missed costs more than a task that
/// fills gains.
const SPEED_UP_INTERVAL: Duration = Duration::from_millis(1500);

/// Percent gained with a step up.
const SPEED_UP_STEP_PERCENT: u8 = 15;

/// What a minion's serving tasks say of the tasks beside them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Adjustment {
    /// Over the target: stop them.
    Pause,
    /// Close to the target: slow them down.
    SlowDown,
    /// Far below: let them go on.
    SpeedUp,
    /// Leave them.
    Keep,
}

/// Judges the worst tail against its target, in percent of it.
fn adjustment(worst: u64) -> Adjustment {
    match worst {
        worst if worst >= 100 => Adjustment::Pause,
        worst if worst >= SLOW_DOWN_FROM_PERCENT => Adjustment::SlowDown,
        worst if worst < SPEED_UP_BELOW_PERCENT => Adjustment::SpeedUp,
        _ => Adjustment::Keep,
    }
}

/// The next pace of a task that fills.
fn next_pace(pace: u8, verdict: Adjustment) -> u8 {
    match verdict {
        Adjustment::Pause => 0,
        Adjustment::SlowDown => pace / 2,
        Adjustment::SpeedUp => pace.saturating_add(SPEED_UP_STEP_PERCENT).min(100),
        Adjustment::Keep => pace,
    }
}

/// The worst tail of a minion's serving tasks, in percent of its target; none without any.
fn worst_tail_percent(cell: &Cell, minion: &Minion) -> Option<u64> {
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
    pub(crate) fn adjust_paces(&mut self, now: Time, orders: &mut Vec<Order>) {
        let verdicts: Vec<_> = self
            .minions
            .values()
            .filter(|minion| minion.runs.values().any(|run| run.best_effort))
            .map(|minion| {
                // Without a serving task nobody is disturbed.
                let verdict =
                    worst_tail_percent(self, minion).map_or(Adjustment::SpeedUp, adjustment);
                (minion.id.clone(), verdict)
            })
            .collect();
        for (id, verdict) in verdicts {
            let wait =
                if verdict == Adjustment::SpeedUp { SPEED_UP_INTERVAL } else { SLOW_DOWN_INTERVAL };
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            for (task, run) in &mut minion.runs {
                let due = run.best_effort
                    && run.phase == RunPhase::Active
                    && now.since(run.pace_changed_at) >= wait;
                let pace = next_pace(run.pace_percent, verdict);
                if due && pace != run.pace_percent {
                    run.pace_percent = pace;
                    run.pace_changed_at = now;
                    let (minion, task, run) = (id.clone(), *task, run.number);
                    orders.push(Order::Pace { minion, task, run, percent: pace });
                }
            }
        }
    }

    /// Takes in that a pace was not taken over, so that it is ordered again.
    pub fn record_pace_failure(&mut self, id: &str, task: &crate::job::TaskName, number: u32) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(run) = minion.runs.get_mut(task).filter(|run| run.number == number) {
            // Whatever it is, it isn't known to be slowed down.
            run.pace_percent = 100;
            run.pace_changed_at = Time(0);
            self.last_sweep = None;
        }
    }
}
