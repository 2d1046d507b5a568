//! Why a job failed.

use super::Trace;
use crate::logs::Line;
use std::collections::BTreeSet;

/// Number of a task's last losses of which the circumstances are given.
const MAX_DESCRIBED_LOSSES: usize = 4;

/// Fields of `task_suspected` that tell what is known of the loss.
const LOSS_FIELDS: [&str; 9] = [
    "doubt",
    "certainty",
    "age_ms",
    "listed_ms",
    "confirmed",
    "adopted",
    "silent",
    "suspects",
    "other_losses",
];

impl Trace {
    /// Explains a failure by its `job_failed` line; without one, by the lines that its causes leave.
    pub(super) fn explain_failure(&self) -> String {
        match self.lines_of("job_failed").last() {
            Some(line) if line.field("reason") == "attempts" => self.explain_attempts(line),
            Some(line) => self.explain_crashes(line),
            None => self.explain_without_reason(),
        }
    }

    /// Explains the failure of a task or a gang that has used up its attempts.
    fn explain_attempts(&self, line: &Line) -> String {
        let (task, failed, attempts) =
            (line.field("task"), line.field("failed_runs"), line.field("attempts"));
        let is_gang = line.field("gang") == "true";
        let is_counted = |run: &&Line| match is_gang {
            true => step(run.field("task")) == step(task),
            false => run.field("task") == task,
        };
        let runs: Vec<&Line> = self.failed_runs().filter(is_counted).collect();
        let what = if is_gang { "its gang with" } else { "its task" };
        let numbers: BTreeSet<&str> = runs.iter().map(|run| run.field("run")).collect();
        let missing = failed.parse().unwrap_or(0_usize).saturating_sub(numbers.len());
        let places = match missing {
            0 => self.describe_places(&runs),
            _ if runs.is_empty() => "; the lines of these runs are missing".into(),
            _ => format!(
                "{}; the lines of {missing} of these runs are missing",
                self.describe_places(&runs)
            ),
        };
        format!("{what} {task} failed {failed} times of {attempts} attempts{places}")
    }

    /// Explains the failure of a job of which a task crashes its minions.
    fn explain_crashes(&self, line: &Line) -> String {
        let task = line.field("task");
        let losses: Vec<&Line> =
            self.lines_of("task_suspected").filter(|loss| loss.field("task") == task).collect();
        let (crashed, uncertain) = (line.field("crashed"), line.field("uncertain"));
        let trials = format!("certain crashes: {crashed}, uncertain trials: {uncertain}");
        let decided = match line.field("reason") {
            "crash" => "at the last loss".into(),
            "former_trial" => {
                "when a former owner's trial was found to have crashed its minion".into()
            }
            "takeover" => format!("when {} had taken its service over", line.source),
            "acceptance" => format!("when {} learned of the job", line.source),
            reason => format!("for the reason {reason}"),
        };
        if losses.is_empty() {
            return format!(
                "{task} was given up {decided} ({trials}); the lines of the losses are missing"
            );
        }
        let recent = &losses[losses.len().saturating_sub(MAX_DESCRIBED_LOSSES)..];
        let recent: Vec<String> = recent.iter().map(|loss| describe_loss(loss)).collect();
        format!(
            "{}; decided {decided} ({trials}); last losses: {}",
            describe_given_up(task, &losses),
            recent.join("; ")
        )
    }

    /// Explains a failure of a release that logged no `job_failed`.
    fn explain_without_reason(&self) -> String {
        let suspected: Vec<&Line> = self.lines_of("task_suspected").collect();
        if let Some(last) = suspected.iter().find(|line| line.field("given_up") == "true") {
            let task = last.field("task");
            let of_task: Vec<&Line> =
                suspected.iter().copied().filter(|line| line.field("task") == task).collect();
            return describe_given_up(task, &of_task);
        }
        let failed: Vec<&Line> = self.failed_runs().collect();
        format!("its task failed {} times{}", failed.len(), self.describe_places(&failed))
    }

    /// The lines of the job's runs that ended as failed.
    fn failed_runs(&self) -> impl Iterator<Item = &Line> {
        self.lines_of("run_ended").filter(|line| line.field("how") == "failed")
    }

    /// Describes the minions of failed runs, and which of them failed other jobs.
    fn describe_places(&self, runs: &[&Line]) -> String {
        let minions: BTreeSet<&str> = runs.iter().map(|line| line.field("minion")).collect();
        let is_quarantined =
            |id: &&str| self.lines_of("minion_quarantined").any(|line| line.field("minion") == *id);
        let bad: Vec<&str> = minions.iter().copied().filter(is_quarantined).collect();
        let names = Vec::from_iter(minions).join(", ");
        if bad.is_empty() {
            return format!(", on {names}, which did not fail other jobs: the job's own fault");
        }
        format!(", on {names}; {} failed other jobs, too", bad.join(", "))
    }
}

/// A task's name without its index.
fn step(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn describe_given_up(task: &str, losses: &[&Line]) -> String {
    let minions: Vec<&str> = losses.iter().map(|loss| loss.field("minion")).collect();
    let count = minions.len();
    format!(
        "{task} was given up after {count} minions that started it were gone: {}",
        minions.join(", ")
    )
}

/// Describes what is known of a loss.
fn describe_loss(loss: &Line) -> String {
    let known = LOSS_FIELDS.iter().filter(|name| !loss.field(name).is_empty());
    let known: Vec<String> = known.map(|name| format!("{name} {}", loss.field(name))).collect();
    let minion = loss.field("minion");
    if known.is_empty() {
        return format!("{minion}, under a former owner");
    }
    format!("{minion} at {} ({})", loss.at, known.join(", "))
}
