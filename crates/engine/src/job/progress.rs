//! What is stored of the progress of a job.

use super::State;
use super::format::{FormatError, decode_extended, encode};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// The stored progress of a job.
///
/// Tasks are identified by their flat number within the job.  Failures are stored by the number of
/// the run, so that an end that is reported again after a change of owner isn't counted twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The final state, once the job has one.
    pub outcome: Option<State>,
    /// The tasks that are done.
    pub done: Vec<u32>,
    /// Tasks and the numbers of their failed runs.
    pub failed: Vec<(u32, SmallVec<[u32; 2]>)>,
    /// Tasks and their newest checkpoints.
    pub checkpoints: Vec<(u32, Box<str>)>,
    /// Tasks and the suspicion points that they got from crashes of their minions.
    pub suspicions: Vec<(u32, u8)>,
    /// Trials of these tasks.
    pub trials: Vec<(u32, Trials)>,
    /// Where their last uncertain trials are, as far as known.
    pub trial_places: Vec<(u32, TrialPlace)>,
    /// Evidence that these tasks crash their minions.
    pub evidence: Vec<(u32, u8)>,
}

/// Starts of a task that ended with the loss of its minion, or may have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Trials {
    /// Starts whose minion certainly crashed.
    pub crashed: u8,
    /// Starts whose minion may only have been disconnected, or whose owner was lost before it
    /// learned the result.
    pub uncertain: u8,
}

/// Where a task may crash its minion.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TrialPlace {
    /// The minion.
    pub minion: Box<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it became silent after it had started the task.
    pub silent: bool,
}

impl Progress {
    /// Decodes stored progress.  Rows of releases that stored no suspicions, trials, places, evidence
    /// or set of done tasks end before that field.
    ///
    /// # Errors
    /// Returns an error if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, FormatError> {
        let (mut progress, done): (Self, TaskSet) = decode_extended(bytes)?;
        progress.done.extend(done.tasks());
        Ok(progress)
    }

    /// Encodes progress for a row of at most `max_len` bytes.
    ///
    /// Earlier releases don't know the set of done tasks, so it replaces the list only in a row that
    /// would be too long.  If it still is, checkpoints are left out: their tasks begin anew if the
    /// job's owner is lost.  Only thousands of failed or suspected tasks can exceed a row then.
    pub fn encode(&self, max_len: usize) -> Vec<u8> {
        let row = encode(self);
        if row.len() <= max_len {
            return row;
        }
        let done = TaskSet::new(&self.done);
        let mut progress = Self { done: Vec::new(), ..self.clone() };
        let row = encode(&(&progress, &done));
        let Some(excess) = row.len().checked_sub(max_len) else { return row };
        let mut removed = 0;
        while removed < excess
            && let Some(checkpoint) = progress.checkpoints.pop()
        {
            removed += encode(&checkpoint).len();
        }
        encode(&(&progress, &done))
    }
}

/// Tasks as a set of bits, by their flat numbers: the lowest bit of the first byte is task 0.
#[derive(Debug, Default, Serialize, Deserialize)]
struct TaskSet(Vec<u8>);

impl TaskSet {
    fn new(tasks: &[u32]) -> Self {
        let mut bytes = vec![0; tasks.iter().max().map_or(0, |last| *last as usize / 8 + 1)];
        for task in tasks {
            bytes[*task as usize / 8] |= 1 << (task % 8);
        }
        Self(bytes)
    }

    /// The tasks in ascending order.
    fn tasks(&self) -> impl Iterator<Item = u32> {
        let bits = self.0.iter().flat_map(|byte| (0..8).map(move |bit| byte >> bit & 1 == 1));
        (0..).zip(bits).filter_map(|(task, is_done)| is_done.then_some(task))
    }
}
