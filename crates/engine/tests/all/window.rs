//! How many starts may be ordered and not answered.

use crate::fixture::{Harness, definition, starts, step};
use celerythread_engine::time::Time;
use celerythread_engine::window::Window;
use std::collections::VecDeque;

/// Interval between two plans.
const PLAN_INTERVAL_MS: u64 = 10;

/// Longest time for which a start may wait for its answer, in milliseconds.
const MAX_WAIT_MS: u64 = 250;

/// Orders as many starts as `demand_per_s` and the window allow for some seconds, on an owner that
/// gets `capacity_per_s` answered.  Returns the number of answers, and the longest wait of a start
/// in milliseconds.
fn play(demand_per_s: u64, capacity_per_s: u64, seconds: u64) -> (u64, u64) {
    let mut window = Window::default();
    let mut ordered: VecDeque<u64> = VecDeque::new();
    let (mut waiting, mut answered, mut longest) = (0, 0, 0);
    for ms in 0..seconds * 1000 {
        waiting += demand_per_s * (ms + 1) / 1000 - demand_per_s * ms / 1000;
        if ms % PLAN_INTERVAL_MS == 0 {
            let count = waiting.min(window.available(ordered.len(), Time(ms)) as u64);
            waiting -= count;
            ordered.extend((0..count).map(|_| ms));
        }
        for _ in capacity_per_s * ms / 1000..capacity_per_s * (ms + 1) / 1000 {
            let Some(at) = ordered.pop_front() else { break };
            window.record_answer(Time(ms));
            longest = longest.max(ms - at);
            answered += 1;
        }
    }
    (answered, longest)
}

/// Guards against starts that wait for seconds in an owner which gets fewer of them answered than
/// its minions have capacity for, while the jobs they belong to become late.
#[test]
fn starts_wait_briefly_in_an_owner_that_is_too_slow() {
    for capacity in [1_600, 3_200, 6_400] {
        let (_, longest) = play(capacity * 2, capacity, 5);
        assert!(longest <= MAX_WAIT_MS, "{longest} ms at {capacity} starts a second");
    }
}

/// Guards against a limit that keeps an owner from ordering what it can.
#[test]
fn an_owner_that_is_fast_enough_is_not_limited() {
    for demand in [500, 5_000, 10_000] {
        let (answered, _) = play(demand, demand * 11 / 10, 5);
        assert!(answered >= demand * 49 / 10, "{answered} answers at {demand} starts a second");
    }
}

/// Guards against a plan that exceeds its limit, or starts tasks of less valuable jobs first.
#[test]
fn a_limited_plan_starts_the_most_valuable_job() {
    let mut harness = Harness::new(4);
    harness.submit(1, definition(vec![step(20)]));
    harness.submit(2, definition(vec![step(3)]));
    harness.cell.limit_starts(5);
    let first = starts(&harness.plan());
    assert!(harness.cell.is_start_limited());
    assert_eq!(first.len(), 5);
    assert_eq!(first.iter().filter(|start| start.1.job == crate::fixture::id(2)).count(), 3);
    harness.cell.limit_starts(100);
    assert_eq!(starts(&harness.plan()).len(), 18);
    assert!(!harness.cell.is_start_limited());
}
