//! What a cell decided or detected, for the log.

use crate::cell::{
    Availability, Blocker, Circumstances, End, FailureReason, Incarnation, MinionId, StopReason,
};
use crate::job::{Resources, TaskName, Trials};
use crate::quota::Summary;
use crate::time::Time;
use std::time::Duration;

/// Something that the cell decided or detected, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The end of a run was processed.
    Ended {
        /// The minion.
        minion: MinionId,
        /// The end.
        end: End,
    },
    /// The lease of a run must have expired, so the run counts as ended.
    LeaseExpired {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// When the lease must have expired.
        at: Time,
    },
    /// A run was lost with its minion's incarnation.
    Lost {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Time since the run was ordered.
        age: Duration,
        /// Whether its minion ever listed the run.
        listed: bool,
        /// Number of other runs lost with it.
        other_runs: usize,
    },
    /// An unplanned end of a minion, or a possible one, counts against a task that ran there.
    Suspected {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The task's total points.
        points: u8,
        /// The task's trials.
        trials: Trials,
        /// Whether the points are enough to fail its job.
        given_up: bool,
        /// What is known of the loss; `None` for that of a former owner's minion.
        circumstances: Option<Circumstances>,
    },
    /// A job fails.
    JobFailed {
        /// The task for which it fails.
        task: TaskName,
        /// Why it fails.
        reason: FailureReason,
        /// Number of failed runs that count against the task or its gang.
        failed: usize,
        /// Number of failed runs from which the job fails; `None` if it fails for crashes.
        attempts: Option<u32>,
        /// The task's suspicion points.
        points: u8,
        /// The task's trials.
        trials: Trials,
    },
    /// A minion no longer lists a run that it had.
    Vanished {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Number of the last run end processed from this minion.
        seen: u64,
        /// Number of the last run end that may be acknowledged to this minion.
        acknowledged: u64,
    },
    /// A minion answered with a different incarnation under the same id.
    Restarted {
        /// The minion.
        minion: MinionId,
        /// Incarnation last known before this answer.
        former: Incarnation,
        /// Incarnation in this answer.
        current: Incarnation,
        /// Number of runs lost with the former incarnation.
        runs: usize,
        /// Number of the last run end processed before this answer.
        seen: u64,
        /// Number of the last run end that could be acknowledged before this answer.
        acknowledged: u64,
    },
    /// A run was found on a minion and adopted.
    Adopted {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
    },
    /// A run was stopped because it makes no progress, or because it is far behind on a slow
    /// minion.
    Stalled {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// Its progress in percent.
        percent: u8,
    },
    /// A run of a long-running task is stopped.
    LongRunningStopped {
        /// The minion.
        minion: MinionId,
        /// The task.
        task: TaskName,
        /// The run's number.
        run: u32,
        /// Why it is stopped.
        reason: StopReason,
        /// What is known of the other tasks of its step.
        availability: Availability,
    },
    /// No task of a job runs although some minion has capacity for one.
    Idle {
        /// The task that could run.
        task: TaskName,
        /// The minion on which it counts as placed.
        placed: Option<MinionId>,
        /// What prevents a start on each minion.
        blockers: Vec<(MinionId, Blocker)>,
    },
    /// A task waits for its workspace's limit; recorded once for each job.
    Held {
        /// The task.
        task: TaskName,
        /// Its workspace.
        workspace: Box<str>,
        /// Resources that the task needs; for a gang, the sum over its members.
        need: Resources,
        /// Whether the need exceeds the whole limit.
        is_larger: bool,
        /// Limit, share and usage of the workspace.
        summary: Summary,
    },
    /// Jobs were passed over because their workspace uses its share of a pool that lacks capacity;
    /// recorded at most once a second, for the workspace with most such jobs.
    WorkspaceOverShare {
        /// The workspace; `~public` for jobs without one.
        workspace: Box<str>,
        /// Millicores that its runs take, at the end of the plan.
        used: u64,
        /// Millicores that it is entitled to.
        entitlement: u64,
        /// Number of its jobs that were passed over in the plan.
        jobs: usize,
    },
    /// A minion gets no tasks for some time.
    Quarantined {
        /// The minion.
        minion: MinionId,
        /// Number of jobs whose failures there are not explained otherwise.
        jobs: usize,
        /// When the quarantine ends.
        until: Time,
    },
    /// The same failures, but the minion gets tasks since too few others could.
    NotQuarantined {
        /// The minion.
        minion: MinionId,
        /// Number of jobs whose failures there are not explained otherwise.
        jobs: usize,
    },
    /// A quarantine ended early, since what failed there fails elsewhere, too.
    QuarantineLifted {
        /// The minion.
        minion: MinionId,
    },
}
