//! Sizes and run times learnt from lagged usage, because declared ones are far off.

use celerythread_model::job::Size;
use celerythread_model::unit::{Bytes, Millicores};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of the newest task in what is learnt of its kind.
const WEIGHT: f64 = 0.2;

/// Deviations kept above the mean.
const SAFETY: f64 = 2.0;

/// Bounds of the correction, so that one odd report cannot make a job unplaceable.
const LOWEST: f64 = 0.1;
const HIGHEST: f64 = 10.0;

/// Tasks of a kind before what is learnt is used.
const ENOUGH: u32 = 3;

/// A smoothed ratio with its deviation.
#[derive(Clone, Copy, Debug, Default)]
struct Ratio {
    mean: f64,
    deviation: f64,
    seen: u32,
}

impl Ratio {
    fn learn(&mut self, real: f64, declared: f64) {
        if declared <= 0.0 {
            return;
        }
        let ratio = (real / declared).clamp(LOWEST / 10.0, HIGHEST * 10.0);
        if self.seen == 0 {
            self.mean = ratio;
        }
        let off = ratio - self.mean;
        self.mean += WEIGHT * off;
        self.deviation += WEIGHT * (off.abs() - self.deviation);
        self.seen += 1;
    }

    fn factor(&self) -> f64 {
        if self.seen < ENOUGH {
            return 1.0;
        }
        (self.mean + SAFETY * self.deviation).clamp(LOWEST, HIGHEST)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    cpu: Ratio,
    memory: Ratio,
    duration: Ratio,
}

/// What is learnt, by kind of work.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    kinds: HashMap<String, Kind>,
}

impl Estimates {
    /// Learns from a report of a task's use.
    pub fn learn_use(&mut self, kind: &str, declared: &Size, cpu: Millicores, memory: Bytes) {
        let known = self.kinds.entry(kind.into()).or_default();
        known.cpu.learn(f64::from(cpu.0), f64::from(declared.cpu.0));
        known.memory.learn(memory.0 as f64, declared.memory.0 as f64);
    }

    /// Learns from a task's run time.
    pub fn learn_duration(&mut self, kind: &str, declared: Duration, real: Duration) {
        let known = self.kinds.entry(kind.into()).or_default();
        known.duration.learn(real.as_secs_f64(), declared.as_secs_f64());
    }

    /// The size to reckon with.  Accelerators are whole and declared by need, so they stand.
    pub fn size(&self, kind: &str, declared: &Size) -> Size {
        let Some(known) = self.kinds.get(kind) else { return *declared };
        Size {
            cpu: Millicores((f64::from(declared.cpu.0) * known.cpu.factor()) as u32),
            memory: Bytes((declared.memory.0 as f64 * known.memory.factor()) as u64),
            accelerators: declared.accelerators,
        }
    }

    /// The run time to reckon with.
    pub fn duration(&self, kind: &str, declared: Duration) -> Duration {
        let factor = self.kinds.get(kind).map_or(1.0, |known| known.duration.factor());
        declared.mul_f64(factor)
    }
}
