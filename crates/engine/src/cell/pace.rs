//! Throttling of best-effort tasks that disturb serving tasks.
//!
//! Tasks on one minion share more than its capacity shows.  Best-effort tasks lengthen the response
//! times of serving tasks by amounts that differ by image and change within seconds, so nothing is
//! computed in advance.  Instead, the tail latency that a serving task reports is compared with its
//! target; the best-effort tasks on its minion are slowed down at once and sped up gradually.

use crate::cell::minion::{Minion, RunPhase};
use crate::cell::{Cell, Order};
use crate::time::Time;
use std::time::Duration;

/// Share of the target, in percent, from which best-effort tasks are slowed down.  The report is a
/// rough figure for the last half second, so some margin to the target is kept.
const SLOW_DOWN_FROM_PERCENT: u64 = 80;

/// Share of the target, in percent, below which best-effort tasks are sped up.
const SPEED_UP_BELOW_PERCENT: u64 = 55;

/// Time between two slowdowns: the half second covered by a report, and the time until a pace takes
/// effect.
const SLOW_DOWN_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two increases.  It is longer than [`SLOW_DOWN_INTERVAL`], since missing a target
/// costs more than a best-effort task gains.
const SPEED_UP_INTERVAL: Duration = Duration::from_millis(1500);

/// Percentage points added by one increase.
const SPEED_UP_STEP_PERCENT: u8 = 15;

/// How to change the pace of best-effort tasks on a minion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Adjustment {
    /// Over the target: pause them.
    Pause,
    /// Close to the target: slow them down.
    SlowDown,
    /// Far below the target: speed them up.
    SpeedUp,
    /// Keep their pace.
    Keep,
}

/// The adjustment for the worst tail latency, in percent of its target.
fn adjustment(worst: u64) -> Adjustment {
    match worst {
        worst if worst >= 100 => Adjustment::Pause,
        worst if worst >= SLOW_DOWN_FROM_PERCENT => Adjustment::SlowDown,
        worst if worst < SPEED_UP_BELOW_PERCENT => Adjustment::SpeedUp,
        _ => Adjustment::Keep,
    }
}

/// The next pace of a best-effort task, in percent.
fn next_pace(pace: u8, adjustment: Adjustment) -> u8 {
    match adjustment {
        Adjustment::Pause => 0,
        Adjustment::SlowDown => pace / 2,
        Adjustment::SpeedUp => pace.saturating_add(SPEED_UP_STEP_PERCENT).min(100),
        Adjustment::Keep => pace,
    }
}

/// The worst tail latency of a minion's serving tasks, in percent of its target; `None` if it runs
/// none with a target.
fn worst_tail_percent(cell: &Cell, minion: &Minion) -> Option<u64> {
    let tail_percent = |(task, run): (&crate::job::TaskName, &crate::cell::minion::Run)| {
        let job = cell.jobs.get(&task.job)?;
        let step = &job.accepted.definition.steps[task.step as usize];
        let target = step.tail_target_ms?;
        Some(run.load? * 100 / target.max(1))
    };
    minion.runs.iter().filter_map(tail_percent).max()
}

impl Cell {
    /// Adjusts the pace of best-effort tasks.
    pub(crate) fn adjust_paces(&mut self, now: Time, orders: &mut Vec<Order>) {
        let adjustments: Vec<_> = self
            .minions
            .values()
            .filter(|minion| minion.runs.values().any(|run| run.best_effort))
            .map(|minion| {
                // Without a serving task, nothing is disturbed.
                let adjustment =
                    worst_tail_percent(self, minion).map_or(Adjustment::SpeedUp, adjustment);
                (minion.id.clone(), adjustment)
            })
            .collect();
        for (id, adjustment) in adjustments {
            let wait = if adjustment == Adjustment::SpeedUp {
                SPEED_UP_INTERVAL
            } else {
                SLOW_DOWN_INTERVAL
            };
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            for (task, run) in &mut minion.runs {
                let due = run.best_effort
                    && run.phase == RunPhase::Active
                    && now.since(run.pace_changed_at) >= wait;
                let pace = next_pace(run.pace_percent, adjustment);
                if due && pace != run.pace_percent {
                    run.pace_percent = pace;
                    run.pace_changed_at = now;
                    let (minion, task, run) = (id.clone(), *task, run.number);
                    orders.push(Order::Pace { minion, task, run, percent: pace });
                }
            }
        }
    }

    /// Records that a pace was not applied, so that it is ordered again.
    pub fn record_pace_failure(&mut self, id: &str, task: &crate::job::TaskName, number: u32) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(run) = minion.runs.get_mut(task).filter(|run| run.number == number) {
            // The actual pace is unknown, so it is assumed not to be slowed down.
            run.pace_percent = 100;
            run.pace_changed_at = Time(0);
            self.last_sweep = None;
        }
    }
}
