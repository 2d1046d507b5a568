//! Reconstructs the history of one request or job from the log lines of any number of entries.
//!
//! [`Trace`] selects the lines related to one id and sorts them; [`Trace::cause`] names the most
//! likely cause of a failure or delay.

mod failure;

use crate::logs::Line;
use std::collections::BTreeSet;

/// Shortest time between two lines of a job that is reported as a delay, in milliseconds.
const LONG_GAP_MS: i64 = 1000;

/// The log lines related to one job.
#[derive(Debug, Default)]
pub struct Trace {
    /// Id of the job.
    pub job: String,
    /// The lines, sorted by time.
    pub lines: Vec<Line>,
}

impl Trace {
    /// Collects the lines of a job, given its id or its request's, and those of the minions,
    /// services and stores involved at the time.
    pub fn collect(id: &str, all: &[Line]) -> Self {
        let job = all
            .iter()
            .find(|line| line.field("request") == id && !line.field("job").is_empty())
            .map_or(id, |line| line.field("job"))
            .to_owned();
        let own_lines: Vec<&Line> = all.iter().filter(|line| line.field("job") == job).collect();
        let minions: BTreeSet<&str> =
            own_lines.iter().map(|line| line.field("minion")).filter(|id| !id.is_empty()).collect();
        let services: BTreeSet<&str> = own_lines
            .iter()
            .map(|line| line.field("service"))
            .filter(|id| !id.is_empty())
            .collect();
        let sources: BTreeSet<&str> = own_lines.iter().map(|line| line.source.as_str()).collect();
        let from = own_lines.iter().map(|line| line.at_ms).min().unwrap_or(0) - 3 * LONG_GAP_MS;
        let to = own_lines.iter().map(|line| line.at_ms).max().unwrap_or(0) + LONG_GAP_MS;
        let is_related = |line: &&Line| {
            let inside = (from..=to).contains(&line.at_ms) && line.field("job").is_empty();
            line.field("job") == job
                || inside && minions.contains(line.field("minion"))
                || inside && services.contains(line.field("service"))
                || inside && services.contains(line.field("cell"))
                || inside && line.event.starts_with("store_") && sources.contains(&*line.source)
        };
        let mut lines: Vec<Line> = all.iter().filter(is_related).cloned().collect();
        lines.sort_by_key(|line| line.at_ms);
        lines.dedup_by(|a, b| a.at_ms == b.at_ms && a.event == b.event && a.fields == b.fields);
        Self { job, lines }
    }

    fn lines_of(&self, event: &str) -> impl Iterator<Item = &Line> {
        let event = event.to_owned();
        self.lines.iter().filter(move |line| line.event == event)
    }

    fn own_lines(&self) -> Vec<&Line> {
        self.lines.iter().filter(|line| line.field("job") == self.job).collect()
    }

    /// Names the most likely cause of a failure or delay, or says that there was none.
    pub fn cause(&self) -> String {
        let own_lines = self.own_lines();
        if own_lines.is_empty() {
            return format!("no entry has noted anything of {}", self.job);
        }
        let accepted = own_lines.iter().any(|line| line.event == "job_accepted");
        if let Some(line) = self.lines_of("job_rejected").next() {
            return format!("the request is wrong: {}", line.field("reason"));
        }
        if !accepted && let Some(line) = self.lines_of("key_refused").last() {
            return self.explain_key(line);
        }
        if !accepted && let Some(line) = self.lines_of("job_refused").next() {
            return self.explain_refusal(line);
        }
        if !accepted && let Some(line) = self.lines_of("job_unknown").next() {
            let store = self.store_before(line);
            return format!(
                "the store did not answer the write within the caller's time{store}; \
                 the job may have been accepted"
            );
        }
        if let Some(line) = self.lines_of("job_ended").last() {
            return match line.field("state") {
                "failed" => self.explain_failure(),
                _ => self.explain_delay(line),
            };
        }
        match self.lines_of("job_cancelled").next() {
            Some(line) if line.field("written") == "true" => "its caller cancelled it".into(),
            _ => self.explain_unfinished(),
        }
    }

    /// Explains why a key was refused, with the age of the configuration that the entry used.
    fn explain_key(&self, line: &Line) -> String {
        let (reason, source) = (line.field("reason"), &line.source);
        let (queue, age) = (line.field("queue"), line.field("configuration_age_ms"));
        format!(
            "its key was refused on {queue} by {source}, whose configuration was known to be the newest {age} ms before: {reason}"
        )
    }

    /// Whether this is the job's first start after its workspace's limit had held it.
    fn is_first_start_after_hold(&self, start: &Line) -> bool {
        let is_first = self.lines_of("start_ordered").next().is_some_and(|first| first == start);
        is_first && self.lines_of("job_held").any(|held| held.at_ms <= start.at_ms)
    }

    /// Describes the workspace's limit that held the job, if one did.
    fn explain_limit(&self) -> Option<String> {
        let line = self.lines_of("job_held").next()?;
        let field = |name| line.field(name);
        let (workspace, limit, share) = (field("workspace"), field("limit"), field("share"));
        let (used, needs, age) = (field("used"), field("needs"), field("age_ms"));
        let larger =
            if field("larger_than_limit") == "true" { ", more than the whole limit" } else { "" };
        Some(format!(
            "held by the limit of workspace {workspace}: {needs} needed{larger}, limit {limit}, this service's share {share} with {used} in use, known {age} ms before"
        ))
    }

    fn explain_refusal(&self, line: &Line) -> String {
        let (reason, store) = (line.field("reason"), self.store_before(line));
        format!("refused as not run: {reason}{store}")
    }

    /// Describes the entry's loss of the store if it lasted at this line; empty otherwise.
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

    /// Names the longest delays before the job's end, each with its cause.
    fn explain_delay(&self, end: &Line) -> String {
        let mut gaps: Vec<(i64, String)> = Vec::new();
        for pair in self.own_lines().windows(2) {
            let gap = pair[1].at_ms - pair[0].at_ms;
            if gap >= LONG_GAP_MS && pair[1].at_ms <= end.at_ms {
                gaps.push((gap, self.explain_gap(pair[0], pair[1])));
            }
        }
        gaps.sort_by_key(|gap| -gap.0);
        if gaps.is_empty() {
            return format!("{} without a pause of over {LONG_GAP_MS} ms", end.field("state"));
        }
        let causes: Vec<String> =
            gaps.iter().take(3).map(|(ms, what)| format!("{ms} ms {what}")).collect();
        format!("{}, after {}", end.field("state"), causes.join("; "))
    }

    fn explain_gap(&self, before: &Line, after: &Line) -> String {
        let between = |event: &str| {
            self.lines_of(event).find(|line| (before.at_ms..=after.at_ms).contains(&line.at_ms))
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
            "start_ordered" if self.is_first_start_after_hold(after) => {
                "waiting for its workspace's limit".into()
            }
            "start_ordered" => "waiting for room".into(),
            "run_ended" => format!("at work on {}", after.field("minion")),
            "job_ended" => "until its end was kept".into(),
            event => format!("before {event}"),
        }
    }

    fn explain_unfinished(&self) -> String {
        let Some(last) = self.own_lines().pop().cloned() else { return String::new() };
        match last.event.as_str() {
            // Lines of different entries may be out of order by some milliseconds.
            "job_accepted" | "job_known" | "job_held" => self
                .explain_limit()
                .unwrap_or_else(|| "accepted and never started: no room, or no owner".into()),
            "start_ordered" => format!("running on {} when the lines end", last.field("minion")),
            "job_failed" => format!("{}; not known to be stored", self.explain_failure()),
            event => format!("not ended; the last line is {event}"),
        }
    }
}
