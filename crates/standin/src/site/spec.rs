//! What a task does by its `spec`, a list of words.
//!
//! `ms=300` sets its duration to 300 ms, `fail` makes it fail after that, with `flaky=30` 30% of its
//! runs fail, `hang` makes it stall at half of its progress, `crash` makes its worker crash, with
//! `lasts` it runs until it is stopped, and with `stop=600` a stop takes 600 ms.  With `gang` the
//! tasks of a step fail in the same runs.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time until a long-running task reports full progress.
pub(crate) const STARTUP_DURATION: Duration = Duration::from_millis(100);

/// Duration of a run that isn't interrupted.
pub(super) fn duration(spec: &str) -> Duration {
    milliseconds(spec, "ms=").unwrap_or(Duration::from_millis(100))
}

/// Time that a stop takes.
pub(super) fn stop_duration(spec: &str) -> Duration {
    milliseconds(spec, "stop=").unwrap_or_default()
}

/// Whether a run fails, after its duration.
pub(super) fn fails(spec: &str, task: &str, run: u64) -> bool {
    let Some(percent) = number(spec, "flaky=") else { return spec.contains("fail") };
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    let mut hasher = DefaultHasher::new();
    (if spec.contains("gang") { step } else { task }, run).hash(&mut hasher);
    hasher.finish() % 100 < percent
}

/// Progress of a run after a time, in percent.
pub(super) fn percent(spec: &str, elapsed: Duration) -> u64 {
    if spec.contains("lasts") {
        return if elapsed >= STARTUP_DURATION { 100 } else { 10 };
    }
    let total = duration(spec).as_millis().max(1);
    let done = (elapsed.as_millis() * 100 / total).min(99) as u64;
    if spec.contains("hang") { done.min(50) } else { done }
}

fn milliseconds(spec: &str, prefix: &str) -> Option<Duration> {
    number(spec, prefix).map(Duration::from_millis)
}

fn number(spec: &str, prefix: &str) -> Option<u64> {
    spec.split_whitespace().find_map(|word| word.strip_prefix(prefix))?.parse().ok()
}
