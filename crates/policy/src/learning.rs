//! Estimates of task sizes and run times from reported usage, because declared values are far off.
//! The reports lag behind the usage.

use celerythread_model::job::Size;
use celerythread_model::unit::{Bytes, Millicores};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest report in the moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Number of mean absolute deviations that an estimate lies above the mean.
const SAFETY_DEVIATIONS: f64 = 2.0;

/// Bounds of the correction factor, so that one odd report can't make a job unplaceable.
const MIN_FACTOR: f64 = 0.1;
const MAX_FACTOR: f64 = 10.0;

/// Reports about a kind of task before its estimates are used.
const MIN_SAMPLES: u32 = 3;

/// The moving average of actual to declared values, and of its absolute deviation.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Ratio {
    fn record(&mut self, actual: f64, declared: f64) {
        if declared <= 0.0 {
            return;
        }
        let ratio = (actual / declared).clamp(MIN_FACTOR / 10.0, MAX_FACTOR * 10.0);
        if self.samples == 0 {
            self.mean = ratio;
        }
        let difference = ratio - self.mean;
        self.mean += EWMA_WEIGHT * difference;
        self.deviation += EWMA_WEIGHT * (difference.abs() - self.deviation);
        self.samples += 1;
    }

    fn factor(&self) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 1.0;
        }
        (self.mean + SAFETY_DEVIATIONS * self.deviation).clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Ratios {
    cpu: Ratio,
    memory: Ratio,
    duration: Ratio,
}

/// Estimates by kind of task.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    kinds: HashMap<String, Ratios>,
}

impl Estimates {
    /// Records a report of a task's usage.
    pub fn record_usage(&mut self, kind: &str, declared: &Size, cpu: Millicores, memory: Bytes) {
        let ratios = self.kinds.entry(kind.into()).or_default();
        ratios.cpu.record(f64::from(cpu.0), f64::from(declared.cpu.0));
        ratios.memory.record(memory.0 as f64, declared.memory.0 as f64);
    }

    /// Records a task's run time.
    pub fn record_duration(&mut self, kind: &str, declared: Duration, actual: Duration) {
        let ratios = self.kinds.entry(kind.into()).or_default();
        ratios.duration.record(actual.as_secs_f64(), declared.as_secs_f64());
    }

    /// The estimated size.  Accelerators are whole units that the task needs, so their declared
    /// number is used.
    pub fn size(&self, kind: &str, declared: &Size) -> Size {
        let Some(ratios) = self.kinds.get(kind) else { return *declared };
        Size {
            cpu: Millicores((f64::from(declared.cpu.0) * ratios.cpu.factor()) as u32),
            memory: Bytes((declared.memory.0 as f64 * ratios.memory.factor()) as u64),
            accelerators: declared.accelerators,
        }
    }

    /// The estimated run time.
    pub fn duration(&self, kind: &str, declared: Duration) -> Duration {
        let factor = self.kinds.get(kind).map_or(1.0, |ratios| ratios.duration.factor());
        declared.mul_f64(factor)
    }
}
