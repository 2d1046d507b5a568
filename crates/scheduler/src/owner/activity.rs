//! What a cell's owner did in each second, for the log.
//!
//! An owner that gets too little processor time shows as a long lag of its own timers, and as
//! orders that wait before they are sent; a pool that is too small shows as tasks that wait while
//! neither is long.

use crate::clock;
use crate::owner::{Owner, capacity};
use celerythread_engine::time::Time;
use parking_lot::Mutex;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval of the timer whose lag is measured.
const TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// Counts and longest times since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    plans: u32,
    /// Plans that ordered as many starts as they may.
    limited_plans: u32,
    /// Time spent planning.
    planning: Duration,
    starts: u32,
    polls: u32,
    /// Longest time from a plan to the sending of one of its orders.
    order_wait: Duration,
    /// Longest time from the sending of a start to its answer.
    start_time: Duration,
    timer_lag: Duration,
}

/// Activity of an owner.
#[derive(Debug, Default)]
pub(crate) struct Activity(Mutex<Window>);

impl Activity {
    /// Records a plan that took this long.
    pub(crate) fn record_plan(&self, took: Duration) {
        let mut window = self.0.lock();
        window.plans += 1;
        window.planning += took;
    }

    /// Records whether a plan ordered as many starts as it may.
    pub(crate) fn record_limit(&self, is_limited: bool) {
        self.0.lock().limited_plans += u32::from(is_limited);
    }

    /// Records an order that is sent now and was planned at `planned`.
    pub(crate) fn record_order(&self, planned: Time) {
        let mut window = self.0.lock();
        window.order_wait = window.order_wait.max(clock::now().since(planned));
    }

    /// Records a start that was answered, or given up, after this time.
    pub(crate) fn record_start(&self, took: Duration) {
        let mut window = self.0.lock();
        window.starts += 1;
        window.start_time = window.start_time.max(took);
    }

    /// Records a poll.
    pub(crate) fn record_poll(&self) {
        self.0.lock().polls += 1;
    }

    fn record_lag(&self, lag: Duration) {
        let mut window = self.0.lock();
        window.timer_lag = window.timer_lag.max(lag);
    }

    fn take(&self) -> Window {
        std::mem::take(&mut *self.0.lock())
    }
}

/// Logs the owner's activity once a second while it starts anything, and reports its cell's
/// capacity.
pub(crate) async fn log_forever(owner: Arc<Owner>) {
    let mut logged = clock::now();
    loop {
        let began = clock::now();
        if !owner.pause(TIMER_INTERVAL).await {
            capacity::withdraw(&owner);
            return;
        }
        let now = clock::now();
        owner.activity.record_lag(now.since(began).saturating_sub(TIMER_INTERVAL));
        if now.since(logged) >= LOG_INTERVAL {
            let elapsed = now.since(logged);
            logged = now;
            log(&owner, owner.activity.take(), elapsed);
            capacity::report(&owner);
        }
    }
}

fn log(owner: &Owner, window: Window, elapsed: Duration) {
    if window.starts == 0 {
        return;
    }
    let Some(counts) = owner.with(|cell| cell.counts()) else { return };
    let unanswered = owner.starts.unanswered();
    let fields: [(&'static str, &dyn Display); 16] = [
        ("service", &owner.service),
        ("ms", &elapsed.as_millis()),
        ("plans", &window.plans),
        ("limited_plans", &window.limited_plans),
        ("planning_ms", &window.planning.as_millis()),
        ("starts", &window.starts),
        ("polls", &window.polls),
        ("unanswered", &unanswered),
        ("order_wait_ms", &window.order_wait.as_millis()),
        ("start_ms", &window.start_time.as_millis()),
        ("timer_lag_ms", &window.timer_lag.as_millis()),
        ("minions", &counts.minions),
        ("reachable", &counts.reachable),
        ("running", &counts.runs),
        ("jobs", &counts.jobs),
        ("unpersisted", &counts.unpersisted),
    ];
    owner.node.journal.info("owner_load", &fields);
}
