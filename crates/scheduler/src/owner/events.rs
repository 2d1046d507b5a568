//! Log lines for the cell's events.

use crate::clock;
use crate::metrics::Counter;
use crate::owner::Owner;
use celerythread_engine::cell::{Cell, Circumstances, Event, StopReason};
use celerythread_engine::job::TaskName;
use std::fmt::Display;

/// Logs with how old a view of the jobs an owner plans first.
pub(super) fn log_first_plan(owner: &Owner) {
    let fields: [(&'static str, &dyn Display); 3] = [
        ("service", &owner.service),
        ("token", &owner.token),
        ("jobs_age_ms", &owner.jobs_age().as_millis()),
    ];
    owner.node.journal.info("first_plan", &fields);
}

/// Text of a value; `none` without one.
fn or_none(value: Option<impl Display>) -> String {
    value.map_or("none".into(), |value| value.to_string())
}

/// Fields that tell what is known of the loss of a minion under a run.
fn loss_fields(circumstances: &Circumstances) -> Vec<(&'static str, String)> {
    let listed_for = circumstances.listed_for.map(|time| time.as_millis());
    vec![
        ("doubt", or_none(circumstances.doubt())),
        ("certainty", circumstances.certainty.to_string()),
        ("age_ms", circumstances.age.as_millis().to_string()),
        ("listed_ms", or_none(listed_for)),
        ("confirmed", circumstances.is_start_confirmed.to_string()),
        ("adopted", circumstances.is_adopted.to_string()),
        ("silent", circumstances.was_silent.to_string()),
        ("suspects", circumstances.suspects.to_string()),
        ("other_losses", circumstances.other_losses.to_string()),
    ]
}

/// Whether a task is a member of a gang.
fn is_gang(owner: &Owner, task: &TaskName) -> bool {
    let is_gang = |cell: &mut Cell| {
        let job = cell.job(&task.job)?;
        Some(job.accepted.definition.steps.get(task.step as usize)?.gang)
    };
    owner.with(is_gang).flatten().unwrap_or(false)
}

/// Writes a line for each event that the cell has recorded since the last call, and counts the jobs
/// that were passed over.
pub(crate) fn log_events(owner: &Owner) {
    let (journal, now) = (&owner.node.journal, clock::now());
    let jobs_over_share = owner.with(|cell| cell.take_jobs_over_share()).unwrap_or_default();
    owner.node.metrics.add(Counter::JobsOverShare, jobs_over_share);
    for event in owner.with(|cell| cell.take_events()).unwrap_or_default() {
        match &event {
            Event::Ended { minion, end } => journal.info(
                "run_ended",
                &[
                    ("job", &end.task.job),
                    ("task", &end.task),
                    ("run", &end.run),
                    ("how", &end.reason),
                    ("minion", minion),
                ],
            ),
            Event::LeaseExpired { minion, task, run, at } => journal.warn(
                "run_lapsed",
                &[
                    ("job", &task.job),
                    ("task", task),
                    ("run", run),
                    ("minion", minion),
                    ("since_ms", &now.since(*at).as_millis()),
                ],
            ),
            Event::Lost { minion, task, run, age, listed, other_runs } => {
                owner.node.metrics.count(Counter::RunsLost);
                journal.warn(
                    "run_lost",
                    &[
                        ("job", &task.job),
                        ("task", task),
                        ("run", run),
                        ("minion", minion),
                        ("age_ms", &age.as_millis()),
                        ("listed", listed),
                        ("beside", other_runs),
                    ],
                );
            }
            Event::Suspected { minion, task, points, trials, given_up, circumstances } => {
                let loss = circumstances.as_ref().map(loss_fields).unwrap_or_default();
                let mut fields: Vec<(&'static str, &dyn Display)> = vec![
                    ("job", &task.job),
                    ("task", task),
                    ("minion", minion),
                    ("points", points),
                    ("crashed", &trials.crashed),
                    ("uncertain", &trials.uncertain),
                    ("given_up", given_up),
                ];
                fields.extend(loss.iter().map(|(name, text)| (*name, text as &dyn Display)));
                journal.warn("task_suspected", &fields);
            }
            Event::JobFailed { task, reason, failed, attempts, points, trials } => {
                owner.node.metrics.count_failure(*reason);
                journal.warn(
                    "job_failed",
                    &[
                        ("job", &task.job),
                        ("task", task),
                        ("reason", reason),
                        ("failed_runs", failed),
                        ("attempts", &or_none(*attempts)),
                        ("gang", &is_gang(owner, task)),
                        ("points", points),
                        ("crashed", &trials.crashed),
                        ("uncertain", &trials.uncertain),
                    ],
                );
            }
            Event::Vanished { minion, task, run, seen, acknowledged } => journal.warn(
                "run_vanished",
                &[
                    ("job", &task.job),
                    ("task", task),
                    ("run", run),
                    ("minion", minion),
                    ("seen", seen),
                    ("acknowledged", acknowledged),
                ],
            ),
            Event::Restarted { minion, former, current, runs, seen, acknowledged } => {
                owner.node.metrics.count(Counter::MinionsRestarted);
                journal.warn(
                    "minion_restarted",
                    &[
                        ("minion", minion),
                        ("former", former),
                        ("current", current),
                        ("runs", runs),
                        ("seen", seen),
                        ("acknowledged", acknowledged),
                    ],
                );
            }
            Event::Adopted { minion, task, run } => journal.info(
                "run_adopted",
                &[("job", &task.job), ("task", task), ("run", run), ("minion", minion)],
            ),
            Event::Stalled { minion, task, percent } => journal.warn(
                "run_stalled",
                &[("job", &task.job), ("task", task), ("percent", percent), ("minion", minion)],
            ),
            Event::LongRunningStopped { minion, task, run, reason, availability } => {
                let event = match reason {
                    StopReason::Evacuated => "run_evacuated",
                    _ => "long_running_stopped",
                };
                journal.info(
                    event,
                    &[
                        ("job", &task.job),
                        ("task", task),
                        ("run", run),
                        ("minion", minion),
                        ("reason", reason),
                        ("others_inactive", &availability.inactive),
                        ("allowance", &availability.allowance),
                        ("report_age_ms", &availability.report_age.as_millis()),
                    ],
                );
            }
            Event::Idle { task, placed, blockers } => {
                let blocker_texts: Vec<String> = blockers
                    .iter()
                    .map(|(minion, blocker)| format!("{minion}:{blocker}"))
                    .collect();
                let placed = placed.as_deref().unwrap_or("nowhere");
                journal.warn(
                    "job_idle",
                    &[
                        ("job", &task.job),
                        ("task", task),
                        ("placed", &placed),
                        ("guards", &blocker_texts.join(" ")),
                    ],
                );
            }
            Event::Held { task, workspace, need, is_larger, summary } => journal.info(
                "job_held",
                &[
                    ("job", &task.job),
                    ("task", task),
                    ("workspace", workspace),
                    ("needs", need),
                    ("limit", &summary.limit),
                    ("share", &summary.share),
                    ("used", &summary.used),
                    ("larger_than_limit", is_larger),
                    ("age_ms", &summary.age.unwrap_or_default().as_millis()),
                ],
            ),
            Event::WorkspaceOverShare { workspace, used, entitlement, jobs } => journal.info(
                "workspace_over_share",
                &[
                    ("service", &owner.service),
                    ("workspace", workspace),
                    ("used", &format_args!("{used}m")),
                    ("entitlement", &format_args!("{entitlement}m")),
                    ("jobs", jobs),
                ],
            ),
            Event::Quarantined { minion, jobs, until } => journal.warn(
                "minion_quarantined",
                &[("minion", minion), ("jobs", jobs), ("ms", &until.since(now).as_millis())],
            ),
            Event::NotQuarantined { minion, jobs } => {
                journal.warn("minion_not_quarantined", &[("minion", minion), ("jobs", jobs)]);
            }
            Event::QuarantineLifted { minion } => {
                journal.info("quarantine_lifted", &[("minion", minion)]);
            }
        }
    }
}
