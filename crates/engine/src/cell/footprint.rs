//! Memory that an owner needs for a job.
//!
//! It is known from the definition, before the job is stored, so that jobs can be refused which the
//! owner, or a later one, has no memory for.

use crate::cell::work::Task;
use crate::job::{Definition, Step};

/// Bytes of a job without steps, with its places in the cell's maps and its policies.
const JOB_LEN: u64 = 2048;

/// Bytes that a task has on the heap while it runs: its checkpoint, its run and its lease.
const TASK_HEAP_LEN: u64 = 128;

/// Bytes of a step's counters in each occurrence.
const STEP_COUNTERS_LEN: u64 = 16;

/// Forms in which a `spec` is held: the definition's, and the stored row while an owner reads it.
const SPEC_FORMS: u64 = 2;

/// Memory that an owner needs at most for a job with this definition, in bytes.
pub fn of(definition: &Definition) -> u64 {
    let occurrences = u64::from(definition.occurrences());
    let steps = definition.steps.len() as u64;
    let step_heap: u64 = definition.steps.iter().map(heap_len).sum();
    let tasks = u64::from(definition.tasks_per_occurrence()).saturating_mul(occurrences);
    let counters = steps.saturating_mul(occurrences).saturating_mul(STEP_COUNTERS_LEN);
    JOB_LEN
        .saturating_add(SPEC_FORMS * definition.spec.len() as u64)
        .saturating_add(steps * size_of::<Step>() as u64 + step_heap)
        .saturating_add(counters)
        .saturating_add(tasks.saturating_mul(size_of::<Task>() as u64 + TASK_HEAP_LEN))
}

/// Bytes that a step has on the heap.
fn heap_len(step: &Step) -> u64 {
    let texts = [&step.required_label, &step.preferred_rack, &step.image];
    let texts: usize = texts.into_iter().flatten().map(|text| text.len()).sum();
    let after = if step.after.spilled() { step.after.capacity() * size_of::<u32>() } else { 0 };
    (texts + after) as u64
}
