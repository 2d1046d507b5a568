//! Jobs, their resource needs, and the workers that run them.

use crate::fleet::Row;
use crate::id;
use crate::request::{Class, Idempotence};
use crate::unit::{Accelerators, Bytes, Millicores, Span, Token};
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, SubAssign};
use strum::{Display, EnumString, VariantArray};

/// Resources that a job needs or a worker has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Processor time.
    pub cpu: Millicores,
    /// Memory.
    pub memory: Bytes,
    /// Accelerators.
    pub accelerators: Accelerators,
}

impl Size {
    /// Whether this fits within `capacity` in every dimension.
    pub fn fits(&self, capacity: &Size) -> bool {
        self.cpu <= capacity.cpu
            && self.memory <= capacity.memory
            && self.accelerators <= capacity.accelerators
    }

    /// The difference of this and `other`, each dimension at least 0.
    pub fn minus(&self, other: &Size) -> Size {
        Size {
            cpu: Millicores(self.cpu.0.saturating_sub(other.cpu.0)),
            memory: Bytes(self.memory.0.saturating_sub(other.memory.0)),
            accelerators: Accelerators(self.accelerators.0.saturating_sub(other.accelerators.0)),
        }
    }
}

impl Add for Size {
    type Output = Size;

    fn add(self, other: Size) -> Size {
        Size {
            cpu: Millicores(self.cpu.0 + other.cpu.0),
            memory: Bytes(self.memory.0 + other.memory.0),
            accelerators: Accelerators(self.accelerators.0 + other.accelerators.0),
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Size) {
        *self = *self + other;
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Size) {
        *self = self.minus(&other);
    }
}

/// The stage of a job.
#[derive(
    Clone,
    Debug,
    Eq,
    PartialEq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantArray,
    Copy,
    Hash,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Stage {
    /// Waiting for a worker.
    Queued,
    /// Running on a worker.
    Running,
    /// Suspended with a checkpoint, waiting for a worker.
    Suspended,
    /// Finished.
    Done,
    /// Failed permanently.
    Failed,
    /// Cancelled.
    Cancelled,
    /// The outcome of a non-idempotent attempt cannot be determined; an operator decides.
    Unknown,
}

impl Stage {
    /// Whether the stage is terminal.
    pub fn is_final(self) -> bool {
        matches!(self, Stage::Done | Stage::Failed | Stage::Cancelled | Stage::Unknown)
    }
}

/// A job as submitted by an operator or a team.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The job.
    pub job: id::Job,
    /// The team whose quota it counts against.
    pub team: id::Team,
    /// Urgent or patient.
    pub class: Class,
    /// Whether an attempt may be repeated.
    pub idempotence: Idempotence,
    /// The declared size, often inaccurate.
    pub size: Size,
    /// The declared run time, often inaccurate.
    pub duration: Span,
    /// The kind of work, by which actual sizes are learnt.
    pub kind: String,
}

/// A job and its current attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted.
    pub spec: Spec,
    /// Its stage.
    pub stage: Stage,
    /// The worker of the current attempt.
    pub worker: Option<id::Worker>,
    /// Number of attempts so far; sent to the worker, which refuses lower numbers.
    pub attempts: u32,
    /// The fencing token of the placer that started the attempt.
    pub token: Token,
    /// The worker's boot count for which the attempt was ordered.
    pub boot: u64,
    /// Why it failed or waits.
    pub reason: String,
    /// Milliseconds since the Unix epoch at submission.
    pub submitted_at: u64,
}

impl Row for Job {
    const PREFIX: &'static str = "job/";
}

/// A worker as listed by the platform.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker.
    pub worker: id::Worker,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its rack.
    pub rack: id::Rack,
    /// Its total resources.
    pub size: Size,
}
