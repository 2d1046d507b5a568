//! The life of one request or job, from the log lines of any number of entries.
//!
//! [`Trace`] picks the lines that bear on one id and puts them in order; [`Trace::cause`] names what
//! most likely went wrong.

use crate::logs::Line;
use std::collections::BTreeSet;

/// A stretch without a line of the job that is worth naming, in milliseconds.
const LONG_GAP_MS: i64 = 1000;

/// The lines that bear on one job.
#[derive(Debug, Default)]
pub struct Trace {
    /// The job.
    pub job: String,
    /// The lines, in order.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Picks the lines that bear on a job's or a request's id.
    pub fn collect(id: &str, all: &[Line]) -> Self {
        let job = all
            .iter()
            .find(|line| line.field("request") == id && !line.field("job").is_empty())
            .map_or(id, |line| line.field("job"))
            .to_owned();
        let own: Vec<&Line> = all.iter().filter(|line| line.field("job") == job).collect();
        let minions: BTreeSet<&str> =
            own.iter().map(|line| line.field("minion")).filter(|id| !id.is_empty()).collect();
        let services: BTreeSet<&str> =
            own.iter().map(|line| line.field("service")).filter(|id| !id.is_empty()).collect();
        let sources: BTreeSet<&str> = own.iter().map(|line| line.source.as_str()).collect();
        let from = own.iter().map(|line| line.at_ms).min().unwrap_or(0) - 3 * LONG_GAP_MS;
        let to = own.iter().map(|line| line.at_ms).max().unwrap_or(0) + LONG_GAP_MS;
        let bears = |line: &&Line| {
            let inside = (from..=to).contains(&line.at_ms) && line.field("job").is_empty();
            line.field("job") == job
                || inside && minions.contains(line.field("minion"))
                || inside && services.contains(line.field("service"))
                || inside && services.contains(line.field("cell"))
                || inside && line.event.starts_with("store_") && sources.contains(&*line.source)
        };
        let mut lines: Vec<Line> = all.iter().filter(bears).cloned().collect();
        lines.sort_by_key(|line| line.at_ms);
        lines.dedup_by(|a, b| a.at_ms == b.at_ms && a.event == b.event && a.fields == b.fields);
        Self { job, lines }
    }

    fn of(&self, event: &str) -> impl Iterator<Item = &Line> {
        let event = event.to_owned();
        self.lines.iter().filter(move |line| line.event == event)
    }

    fn own(&self) -> Vec<&Line> {
        self.lines.iter().filter(|line| line.field("job") == self.job).collect()
    }

    /// What most likely went wrong, or that nothing did.
    pub fn cause(&self) -> String {
        let own = self.own();
        if own.is_empty() {
            return format!("no entry has noted anything of {}", self.job);
        }
        let accepted = own.iter().any(|line| line.event == "job_accepted");
        if let Some(line) = self.of("job_rejected").next() {
            return format!("the request is wrong: {}", line.field("reason"));
        }
        if !accepted && let Some(line) = self.of("key_refused").last() {
            return self.key(line);
        }
        if !accepted && let Some(line) = self.of("job_refused").next() {
            return self.refusal(line);
        }
        if !accepted && let Some(line) = self.of("job_unknown").next() {
            let store = self.store_before(line);
            return format!(
                "the store did not answer the write within the caller's time{store}; \
                 the job may have been accepted"
            );
        }
        if let Some(line) = self.of("job_ended").last() {
            return match line.field("state") {
                "failed" => self.failure(),
                _ => self.lateness(line),
            };
        }
        match self.of("job_cancelled").next() {
            Some(line) if line.field("written") == "true" => "its caller cancelled it".into(),
            _ => self.unfinished(),
        }
    }

    /// Why a key was refused: by what the entry knew of the configuration then.
    fn key(&self, line: &Line) -> String {
        let (reason, source) = (line.field("reason"), &line.source);
        let (queue, age) = (line.field("queue"), line.field("configuration_age_ms"));
        format!(
            "its key was refused on {queue} by {source}, whose configuration was known to be the newest {age} ms before: {reason}"
        )
    }

    /// Whether a line is the first start of a job that its workspace's limit held.
    fn is_held_until(&self, start: &Line) -> bool {
        let is_first = self.of("start_ordered").next().is_some_and(|first| first == start);
        is_first && self.of("job_held").any(|held| held.at_ms <= start.at_ms)
    }

    /// What kept a job from starting, if it was its workspace's limit.
    fn limit(&self) -> Option<String> {
        let line = self.of("job_held").next()?;
        let field = |name| line.field(name);
        let (workspace, limit, share) = (field("workspace"), field("limit"), field("share"));
        let (used, needs, age) = (field("used"), field("needs"), field("age_ms"));
        let larger =
            if field("larger_than_limit") == "true" { ", more than the whole limit" } else { "" };
        Some(format!(
            "held by the limit of workspace {workspace}: {needs} needed{larger}, limit {limit}, this service's share {share} with {used} in use, known {age} ms before"
        ))
    }

    fn refusal(&self, line: &Line) -> String {
        let (reason, store) = (line.field("reason"), self.store_before(line));
        format!("refused as not run: {reason}{store}")
    }

    /// Whether the entry had lost the store before a line.
    fn store_before(&self, line: &Line) -> String {
        let of_entry = |other: &&Line| {
            other.source == line.source
                && other.at_ms <= line.at_ms
                && other.event.starts_with("store_")
        };
        match self.lines.iter().rev().find(of_entry) {
            Some(lost) if lost.event == "store_lost" => {
                let ago = line.at_ms - lost.at_ms;
                let reason = lost.field("reason");
                format!("; {} had lost the store {ago} ms before: {reason}", line.source)
            }
            _ => String::new(),
        }
    }

    fn failure(&self) -> String {
        let suspected: Vec<&Line> = self.of("task_suspected").collect();
        if let Some(last) = suspected.iter().find(|line| line.field("given_up") == "true") {
            let of_task = suspected.iter().filter(|line| line.field("task") == last.field("task"));
            let minions: Vec<&str> = of_task.map(|line| line.field("minion")).collect();
            let (task, count) = (last.field("task"), minions.len());
            return format!(
                "{task} was given up after {count} minions that started it were gone: {}",
                minions.join(", ")
            );
        }
        let failed: Vec<&Line> =
            self.of("run_ended").filter(|line| line.field("how") == "failed").collect();
        let minions: BTreeSet<&str> = failed.iter().map(|line| line.field("minion")).collect();
        let bad: Vec<&str> = minions
            .iter()
            .copied()
            .filter(|id| self.of("minion_quarantined").any(|line| line.field("minion") == *id))
            .collect();
        let where_ = minions.iter().copied().collect::<Vec<_>>().join(", ");
        if bad.is_empty() {
            format!(
                "its task failed {} times, on {where_}, which did not fail other jobs: the job's \
                 own fault",
                failed.len()
            )
        } else {
            format!(
                "its task failed {} times, on {where_}; {} failed other jobs, too",
                failed.len(),
                bad.join(", ")
            )
        }
    }

    /// Names the longest stretches before the end, with what ended each.
    fn lateness(&self, end: &Line) -> String {
        let mut gaps: Vec<(i64, String)> = Vec::new();
        for pair in self.own().windows(2) {
            let gap = pair[1].at_ms - pair[0].at_ms;
            if gap >= LONG_GAP_MS && pair[1].at_ms <= end.at_ms {
                gaps.push((gap, self.explain_gap(pair[0], pair[1])));
            }
        }
        gaps.sort_by_key(|gap| -gap.0);
        if gaps.is_empty() {
            return format!("{} without a pause of over {LONG_GAP_MS} ms", end.field("state"));
        }
        let told: Vec<String> =
            gaps.iter().take(3).map(|(ms, what)| format!("{ms} ms {what}")).collect();
        format!("{}, after {}", end.field("state"), told.join("; "))
    }

    fn explain_gap(&self, before: &Line, after: &Line) -> String {
        let between = |event: &str| {
            self.of(event).find(|line| (before.at_ms..=after.at_ms).contains(&line.at_ms))
        };
        if let Some(line) = between("run_lapsed") {
            let minion = line.field("minion");
            return format!("until the lease of its run on {minion}, which was silent, had lapsed");
        }
        if let Some(line) = between("run_lost") {
            let (minion, beside) = (line.field("minion"), line.field("beside"));
            return format!("until {minion} was known to be over, with {beside} other runs on it");
        }
        if let Some(line) = between("run_stalled") {
            return format!("until its run on {} was found hanging", line.field("minion"));
        }
        if let Some(line) = between("cell_loaded") {
            return format!("until {} had taken its service over", line.source);
        }
        if let Some(line) = between("minion_missed") {
            return format!("while {} did not answer", line.field("minion"));
        }
        match after.event.as_str() {
            "start_ordered" if self.is_held_until(after) => {
                "waiting for its workspace's limit".into()
            }
            "start_ordered" => "waiting for room".into(),
            "run_ended" => format!("at work on {}", after.field("minion")),
            "job_ended" => "until its end was kept".into(),
            event => format!("before {event}"),
        }
    }

    fn unfinished(&self) -> String {
        let Some(last) = self.own().pop().cloned() else { return String::new() };
        match last.event.as_str() {
            // Lines of several entries are written in any order within some milliseconds.
            "job_accepted" | "job_known" | "job_held" => self
                .limit()
                .unwrap_or_else(|| "accepted and never started: no room, or no owner".into()),
            "start_ordered" => format!("running on {} when the lines end", last.field("minion")),
            event => format!("not ended; the last line is {event}"),
        }
    }
}
