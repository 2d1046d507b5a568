//! Jobs: as a caller submits them, as they are kept, and how far they have come.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use strum::{Display, EnumString};

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

/// Most tasks of a job over all its occurrences; a definition beyond it is refused as too
/// large.  The largest seen had 32 tasks a step, five steps and eight occurrences: 1,280.
pub const MAX_TASKS: u64 = 50_000;

/// A job's id: 16 hexadecimal digits that its caller chose.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Id([u8; ID_DIGITS]);

/// Why a text names no job or task.
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
        let wrong = || NameError { text: text.chars().take(40).collect(), expected: "a job's id" };
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(wrong());
        }
        text.as_bytes().try_into().map(Id).map_err(|_| wrong())
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
        let wrong = || NameError { text: text.chars().take(60).collect(), expected: "a task" };
        let mut parts = text.split('.');
        let job = parts.next().ok_or_else(wrong)?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(wrong);
        let name = TaskName { job, occurrence: number()?, step: number()?, index: number()? };
        if parts.next().is_some() { Err(wrong()) } else { Ok(name) }
    }
}

/// Resources, of a task or of a minion.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m/{}MB/{}", self.cpu, self.memory_mb, self.gpu)
    }
}

impl Resources {
    /// Whether `need` fits in.
    pub fn holds(&self, need: &Resources) -> bool {
        need.cpu <= self.cpu && need.memory_mb <= self.memory_mb && need.gpu <= self.gpu
    }

    /// What is left after `used`; nought where more is used than there is.
    pub fn minus(&self, used: &Resources) -> Resources {
        self.zip(used, u64::saturating_sub)
    }

    /// The sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        self.zip(other, u64::saturating_add)
    }

    /// The smaller amount of each.
    pub fn min(&self, other: &Resources) -> Resources {
        self.zip(other, u64::min)
    }

    /// The larger amount of each.
    pub fn max(&self, other: &Resources) -> Resources {
        self.zip(other, u64::max)
    }

    /// So many times as much.
    pub fn times(&self, count: u64) -> Resources {
        self.map(|amount| amount.saturating_mul(count))
    }

    /// A part of it, rounded down.
    pub fn divided_by(&self, count: u64) -> Resources {
        self.map(|amount| amount / count.max(1))
    }

    /// Whether it is nothing at all.
    pub fn is_zero(&self) -> bool {
        *self == Resources::default()
    }

    fn zip(&self, other: &Resources, work: impl Fn(u64, u64) -> u64) -> Resources {
        Resources {
            cpu: work(self.cpu, other.cpu),
            memory_mb: work(self.memory_mb, other.memory_mb),
            gpu: work(self.gpu, other.gpu),
        }
    }

    fn map(&self, work: impl Fn(u64) -> u64) -> Resources {
        Resources { cpu: work(self.cpu), memory_mb: work(self.memory_mb), gpu: work(self.gpu) }
    }
}

/// A step: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub count: u32,
    /// What each needs.
    pub need: Resources,
    /// How long a task roughly takes, in milliseconds; 0 when unknown.
    pub estimate_ms: u64,
    /// Steps whose tasks must all be done before.
    pub after: SmallVec<[u32; 4]>,
    /// Whether its tasks produce checkpoints.
    pub checkpointing: bool,
    /// Whether its tasks work only all together.
    pub gang: bool,
    /// Whether a gang is slower when spread over racks.
    pub same_rack: bool,
    /// A label that the minion must have.
    #[serde(rename = "requires")]
    pub required_label: Option<Box<str>>,
    /// The rack that holds the data.
    #[serde(rename = "near")]
    pub preferred_rack: Option<Box<str>>,
    /// Most tasks of an occurrence's step on one minion; none for no limit.
    #[serde(rename = "per_minion")]
    pub max_per_minion: Option<u32>,
    /// Whether copies of a task may run side by side.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Tasks that may be away at once by the system's doing; only of lasting steps.
    #[serde(rename = "may_be_away")]
    pub max_unavailable: Option<u32>,
    /// What its tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// For lasting tasks that serve users: tail of their response times in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether its tasks take only processor time that others leave, uncounted.
    #[serde(rename = "fills")]
    pub best_effort: bool,
}

impl Step {
    /// What a task takes of a minion's capacity.
    pub fn reserved_resources(&self) -> Resources {
        if self.best_effort { Resources { cpu: 0, ..self.need } } else { self.need }
    }

    /// Core-milliseconds of the whole step as estimated.
    pub fn core_ms(&self) -> u64 {
        u64::from(self.count) * self.need.cpu * self.estimate_ms / 1000
    }
}

/// When a job's occurrences are due.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many occurrences.
    pub repetitions: u32,
    /// Due time of the first, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// Milliseconds between two.
    pub interval_ms: u64,
}

/// A job as its caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Definition {
    /// Passed to the minions unread.
    #[serde(with = "arc_text")]
    pub spec: Arc<str>,
    /// The steps.
    pub steps: Vec<Step>,
    /// None for a job that runs once, at once.
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

/// What is wrong with a definition.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Problem {
    /// There is nothing to run.
    #[snafu(display("the job has no steps, or a step without tasks"))]
    Empty,
    /// Too many tasks.
    #[snafu(display("{tasks} tasks are more than {MAX_TASKS}"))]
    TooLarge {
        /// How many.
        tasks: u64,
    },
    /// A step waits for itself, for a later one, or for one that is not there.
    #[snafu(display("step {step} waits for step {after}, which does not come before it"))]
    Order {
        /// The step.
        step: u32,
        /// What it waits for.
        after: u32,
    },
}

impl Definition {
    /// Checks what a definition must satisfy to be run.
    ///
    /// # Errors
    /// The first problem found.
    pub fn check(&self) -> Result<(), Problem> {
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return EmptySnafu.fail();
        }
        let tasks = u64::from(self.tasks_per_occurrence()) * u64::from(self.occurrences());
        if tasks > MAX_TASKS {
            return TooLargeSnafu { tasks }.fail();
        }
        for (number, step) in self.steps.iter().enumerate() {
            let number = number as u32;
            if let Some(after) = step.after.iter().find(|after| **after >= number) {
                return OrderSnafu { step: number, after: *after }.fail();
            }
        }
        Ok(())
    }

    /// How often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.repetitions.max(1))
    }

    /// Tasks of one occurrence.
    pub fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().fold(0, |sum, step| sum.saturating_add(step.count))
    }

    /// When an occurrence is due, in milliseconds since 1970; none for at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        self.schedule
            .map(|schedule| schedule.start_at_ms + u64::from(occurrence) * schedule.interval_ms)
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Core-milliseconds of one occurrence as estimated.
    pub fn core_ms(&self) -> u64 {
        self.steps.iter().map(Step::core_ms).sum()
    }

    /// Milliseconds of the longest chain of steps that `open` lets through, as estimated.
    pub fn critical_path_ms(&self, open: impl Fn(usize) -> bool) -> u64 {
        let mut ends: SmallVec<[u64; 8]> = SmallVec::new();
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().filter_map(|after| ends.get(*after as usize)).max();
            let own = if open(number) { step.estimate_ms } else { 0 };
            ends.push(begin.copied().unwrap_or(0) + own);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}

/// On whose behalf a call is made, or a job was submitted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum Origin {
    /// Nobody knows: the job was accepted by a release that didn't keep it.
    #[default]
    Unknown,
    /// Anybody's: its queue is public.
    Public,
    /// The workspace of this name.
    Workspace(Box<str>),
}

impl Origin {
    /// Whether a caller may see, cancel and submit again a job of `owner`'s.
    ///
    /// On a public queue everybody may, and what was submitted while its queue was public stays everybody's.
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

/// A job as it is kept from its acceptance on; never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The queue that it was submitted to, by name.
    pub queue: Box<str>,
    /// When, in milliseconds since 1970 by the accepting entry's clock.
    pub at_ms: u64,
    /// What to run.
    pub definition: Definition,
    /// On whose behalf.
    pub origin: Origin,
}

impl Accepted {
    /// Decodes a job that was kept; rows of releases that kept no origin end before it.
    ///
    /// # Errors
    /// When the bytes are of another form.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode_extended(bytes)
    }
}

/// What a caller is told of a job.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// Nothing has started yet.
    Queued,
    /// Something has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl State {
    /// Whether it stays so.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}

/// How far a job has come, as it is kept.
///
/// Failures are kept by the number of the run, so that an end that is read again after a
/// change of owner isn't counted twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The final state, once there is one.
    pub outcome: Option<State>,
    /// Flat numbers of the tasks that are done.
    pub done: Vec<u32>,
    /// Flat number of a task and the runs of it that failed.
    pub failed: Vec<(u32, SmallVec<[u32; 2]>)>,
    /// Flat number of a task and its newest checkpoint.
    pub checkpoints: Vec<(u32, Box<str>)>,
    /// Flat number of a task and the points that crashes of its minions hold against it.
    pub suspicions: Vec<(u32, u8)>,
}

impl Progress {
    /// Decodes progress that was kept.
    ///
    /// Rows of releases that kept no suspicions end before them.
    ///
    /// # Errors
    /// When the bytes are of another form.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        decode_extended(bytes)
    }
}

/// Decodes a value whose last field older releases didn't write: a zero byte at the end stands for that field's
/// default, and after a whole value it is not read.
fn decode_extended<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FormatError> {
    decode(&[bytes, &[0]].concat())
}

/// Why kept bytes can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("kept bytes can't be read: {source}"))]
pub struct FormatError {
    source: postcard::Error,
}

/// Encodes a value that is kept.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("these types always serialize")
}

/// Decodes a value that is kept.
///
/// # Errors
/// When the bytes are of another form.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, FormatError> {
    postcard::from_bytes(bytes).map_err(|source| FormatError { source })
}
