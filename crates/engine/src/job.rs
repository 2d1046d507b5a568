//! Jobs: their definition, their stored form and their progress.

mod cancellation;
mod format;
mod home;
mod progress;
mod terms;

pub use cancellation::Cancellation;
pub use format::{FormatError, decode, decode_extended, encode};
pub use home::Home;
pub use progress::{Progress, TrialPlace, Trials};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use strum::{Display, EnumString};
pub use terms::{AdviceLatency, Queue, Terms, Workspace};

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// Maximum number of tasks of a job over all its occurrences; a larger definition is refused.
/// The largest known job has 1,280: eight occurrences of five steps with 32 tasks each.
pub const MAX_TASKS: u64 = 50_000;

/// Largest amount of a resource that a task may need, far above that of any minion.  Sums over all
/// jobs don't overflow.
pub const MAX_AMOUNT: u64 = 1 << 32;

/// Largest estimated work of a job in core-milliseconds; more counts as this much.
const MAX_CORE_MS: u64 = 1 << 48;

/// A job's id: 16 hexadecimal digits, chosen by its caller.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Id([u8; ID_DIGITS]);

/// The error for a text that isn't the id of a job or the name of a task.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{text:?} is not {expected}"))]
pub struct NameError {
    text: String,
    expected: &'static str,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|digit| write!(f, "{}", *digit as char))
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Id {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let error = || NameError { text: text.chars().take(40).collect(), expected: "a job's id" };
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        text.as_bytes().try_into().map(Id).map_err(|_| error())
    }
}

/// One task of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskName {
    /// The job.
    pub job: Id,
    /// The occurrence, from 0; always 0 for a job that runs once.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let error = || NameError { text: text.chars().take(60).collect(), expected: "a task" };
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(error)?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(error);
        let name = TaskName { job, occurrence: number()?, step: number()?, index: number()? };
        if parts.next().is_some() { Err(error()) } else { Ok(name) }
    }
}

/// Resources of a task or a minion.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Millicores.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}", self.cpu, self.memory_mb, self.gpu)
    }
}

impl Resources {
    /// Whether `need` fits into these resources.
    pub fn holds(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.memory_mb <= self.memory_mb && need.gpu <= self.gpu
    }

    /// The difference of each amount, saturating at zero.
    pub fn minus(&self, used: &Resources) -> Resources {
        self.zip(used, u64::saturating_sub)
    }

    /// The sum of each amount, saturating.
    pub fn plus(&self, other: &Resources) -> Resources {
        self.zip(other, u64::saturating_add)
    }

    /// The minimum of each amount.
    pub fn min(&self, other: &Resources) -> Resources {
        self.zip(other, u64::min)
    }

    /// The maximum of each amount.
    pub fn max(&self, other: &Resources) -> Resources {
        self.zip(other, u64::max)
    }

    /// Each amount multiplied by `count`, saturating.
    pub fn times(&self, count: u64) -> Resources {
        self.map(|amount| amount.saturating_mul(count))
    }

    /// Each amount divided by `count`, rounded down; a `count` of 0 divides by 1.
    pub fn divided_by(&self, count: u64) -> Resources {
        self.map(|amount| amount / count.max(1))
    }

    /// Whether every amount is zero.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }

    fn zip(&self, other: &Resources, op: impl Fn(u64, u64) -> u64) -> Resources {
        Resources {
            cpu: op(self.cpu, other.cpu),
            memory_mb: op(self.memory_mb, other.memory_mb),
            gpu: op(self.gpu, other.gpu),
        }
    }

    fn map(&self, op: impl Fn(u64) -> u64) -> Resources {
        Resources { cpu: op(self.cpu), memory_mb: op(self.memory_mb), gpu: op(self.gpu) }
    }
}

/// A step: a group of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Estimated duration of a task in milliseconds; 0 if unknown.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before this step starts.
    pub after: SmallVec<[u32; 4]>,
    /// Whether the tasks write checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which runs only as a whole.
    pub gang: bool,
    /// Whether the gang is slower when spread over several racks.
    pub same_rack: bool,
    /// Label that a minion must have to run the tasks.
    #[serde(rename = "requires")]
    pub required_label: Option<Box<str>>,
    /// Rack that holds the tasks' data.
    #[serde(rename = "near")]
    pub preferred_rack: Option<Box<str>>,
    /// Maximum number of tasks of one occurrence on the same minion; none for no limit.
    #[serde(rename = "per_minion")]
    pub max_per_minion: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Maximum number of tasks that the system itself may make unavailable at the same time; only
    /// for long-running steps.
    #[serde(rename = "may_be_away")]
    pub max_unavailable: Option<u32>,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Box<str>>,
    /// Target for the tail latency in milliseconds, for long-running tasks that serve users.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave; it isn't counted against a
    /// minion's capacity.
    #[serde(rename = "fills")]
    pub best_effort: bool,
}

impl Step {
    /// Resources that a task reserves of a minion's capacity.
    pub fn reserved_resources(&self) -> Resources {
        if self.best_effort { Resources { cpu: 0, ..self.need } } else { self.need }
    }

    /// Estimated work of the whole step in core-milliseconds.
    pub fn core_ms(&self) -> u64 {
        core_ms(self.count, self)
    }
}

/// Estimated work of some tasks of a step in core-milliseconds; the factors are as large as callers
/// choose.
pub(crate) fn core_ms(tasks: u32, step: &Step) -> u64 {
    u64::from(tasks).saturating_mul(step.need.cpu).saturating_mul(step.estimate_ms) / 1000
}

/// Estimated work of a job, from that of its steps.
pub(crate) fn total_core_ms(steps: impl Iterator<Item = u64>) -> u64 {
    steps.fold(0, u64::saturating_add).min(MAX_CORE_MS)
}

/// When a job's occurrences are due.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub repetitions: u32,
    /// Due time of the first occurrence in milliseconds since 1970.
    pub start_at_ms: u64,
    /// Milliseconds between two occurrences.
    pub interval_ms: u64,
}

/// Number of steps above which a job's row is certainly longer than `row_bytes`.
pub fn max_steps(row_bytes: usize) -> usize {
    row_bytes / encode(&Step::default()).len()
}

/// The definition of a job, as its caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Definition {
    /// Passed to the minions as it is.
    #[serde(with = "arc_text")]
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the job runs; none for once, immediately.
    pub schedule: Option<Schedule>,
}

mod arc_text {
    use serde::{Deserialize, Deserializer, Serializer};
    use std::sync::Arc;

    pub(super) fn serialize<S: Serializer>(text: &Arc<str>, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(text)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<str>, D::Error> {
        String::deserialize(from).map(Into::into)
    }
}

/// The error for an invalid definition.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum DefinitionError {
    /// The job has no steps, or a step has no tasks.
    #[snafu(display("the job has no steps, or a step without tasks"))]
    Empty,
    /// The job has more than [`MAX_TASKS`] tasks.
    #[snafu(display("{tasks} tasks are more than {MAX_TASKS}"))]
    TooLarge {
        /// Number of tasks over all occurrences.
        tasks: u64,
    },
    /// A step depends on itself, on a later step or on one that doesn't exist.
    #[snafu(display("step {step} waits for step {after}, which does not come before it"))]
    Order {
        /// The step.
        step: u32,
        /// The step that it depends on.
        after: u32,
    },
    /// A task needs more than [`MAX_AMOUNT`] of a resource.
    #[snafu(display("a task of step {step} needs {need}, more than {MAX_AMOUNT} of a resource"))]
    OutOfRange {
        /// The step.
        step: u32,
        /// What each of its tasks needs.
        need: Resources,
    },
}

impl Definition {
    /// Validates the definition.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), DefinitionError> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return EmptySnafu.fail();
        }
        let tasks = u64::from(self.tasks_per_occurrence()) * u64::from(self.occurrences());
        if tasks > MAX_TASKS {
            return TooLargeSnafu { tasks }.fail();
        }
        for (number, step) in self.steps.iter().enumerate() {
            let (number, need) = (number as u32, step.need);
            if need.cpu.max(need.memory_mb).max(need.gpu) > MAX_AMOUNT {
                return OutOfRangeSnafu { step: number, need }.fail();
            }
            if let Some(after) = step.after.iter().find(|after| **after >= number) {
                return OrderSnafu { step: number, after: *after }.fail();
            }
        }
        Ok(())
    }

    /// Number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repetitions.max(1))
    }

    /// Number of tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().fold(0, |sum, step| sum.saturating_add(step.count))
    }

    /// Due time of an occurrence in milliseconds since 1970; none for immediately.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let interval = u64::from(occurrence).saturating_mul(schedule.interval_ms);
        Some(schedule.start_at_ms.saturating_add(interval))
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Estimated work of one occurrence in core-milliseconds.
    pub fn core_ms(&self) -> u64 {
        total_core_ms(self.steps.iter().map(Step::core_ms))
    }

    /// Estimated duration in milliseconds of the critical path; steps for which `open` returns
    /// false take no time.
    pub fn critical_path_ms(&self, open: impl Fn(usize) -> bool) -> u64 {
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
            let own = if open(number) { step.estimate_ms } else { 0 };
            ends.push(begin.copied().unwrap_or(0).saturating_add(own));
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// The workspace that makes a call or submitted a job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum Origin {
    /// Unknown: the job was accepted by a release that didn't store its origin.
    #[default]
    Unknown,
    /// Anybody: the queue is public.
    Public,
    /// The workspace of this name.
    Workspace(Box<str>),
}

impl Origin {
    /// Whether this caller may see, cancel and resubmit a job of `owner`.
    ///
    /// On a public queue everybody may.  A job that was submitted while its queue was public stays
    /// accessible to everybody.
    pub fn may_access(&self, owner: &Origin) -> bool {
        let is_open = matches!(self, Origin::Public) || !matches!(owner, Origin::Workspace(_));
        is_open || self == owner
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Origin::Unknown => "unknown",
            Origin::Public => "public",
            Origin::Workspace(name) => name,
        })
    }
}

/// The stored form of an accepted job; it never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Name of the queue that the job was submitted to.
    pub queue: Box<str>,
    /// Time of acceptance in milliseconds since 1970, by the accepting entry's clock.
    pub at_ms: u64,
    /// The definition as submitted.
    pub definition: Definition,
    /// Who submitted the job.
    pub origin: Origin,
    /// The policies in force at its acceptance; `None` if the accepting release didn't store them.
    pub terms: Option<Terms>,
    /// The service that it was accepted for; `None` if the accepting release didn't store it.
    pub service: Option<Box<str>>,
}

impl Accepted {
    /// Decodes a stored job.  Rows of releases that stored no origin, no terms or no service end
    /// before that field.
    ///
    /// # Errors
    /// Returns an error if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode_extended(bytes)
    }
}

/// The state of a job as reported to callers.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// No task has started yet.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up the attempts that its queue allows, or has crashed too many minions.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl State {
    /// Whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}
