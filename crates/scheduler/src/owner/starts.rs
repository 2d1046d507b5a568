//! Starts that were ordered and are not answered yet.

use crate::clock;
use crate::owner::Owner;
use celerythread_engine::cell::Order;
use celerythread_engine::window::Window;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Whether a start that was ordered is still to be sent.
pub(crate) fn is_wanted(owner: &Owner, order: &Order) -> bool {
    let Order::Start { minion, task, run, .. } = order else { return false };
    owner.with(|cell| cell.is_start_wanted(minion, task, *run)) == Some(true)
}

/// The unanswered starts of a cell, and how many there may be.
#[derive(Debug, Default)]
pub(crate) struct Starts {
    window: Mutex<Window>,
    unanswered: Arc<AtomicUsize>,
    /// Whether the last plan ordered as many as it may.
    is_limited: AtomicBool,
}

/// A start that counts as unanswered until this is dropped.
#[derive(Debug)]
pub(crate) struct Unanswered(Arc<AtomicUsize>);

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Starts {
    /// Counts a start that is ordered now.
    pub(crate) fn add(&self) -> Unanswered {
        self.unanswered.fetch_add(1, Ordering::SeqCst);
        Unanswered(self.unanswered.clone())
    }

    /// Records that a start was answered or given up.  Returns whether a plan is due because the
    /// last one was limited.
    pub(crate) fn record_answer(&self, start: Option<Unanswered>) -> bool {
        drop(start);
        self.window.lock().record_answer(clock::now());
        self.is_limited.load(Ordering::SeqCst)
    }

    /// Number of unanswered starts.
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered.load(Ordering::SeqCst)
    }

    /// How many starts the next plan may order.
    pub(crate) fn available(&self) -> usize {
        let unanswered = self.unanswered();
        self.window.lock().available(unanswered, clock::now())
    }

    /// Records whether a plan ordered as many starts as it may.
    pub(crate) fn set_limited(&self, is_limited: bool) {
        self.is_limited.store(is_limited, Ordering::SeqCst);
    }
}
