//! The state shared by all parts of a daemon.
//!
//! # Lock order
//!
//! `view` → `router` → `peers` → `grants_in_use` → `timeline` → `pause_detector`.  A lock is only
//! taken while locks before it in this list are held, and no lock is held across an await.

use crate::claims::Claims;
use crate::clock::Clock;
use crate::connections::Connections;
use crate::metrics::{Counter, Metrics};
use crate::peers::Peers;
use crate::router::Router;
use crate::settings::Settings;
use crate::timeline::Timeline;
use celerythread_http::memory::Budget;
use celerythread_model::event::Kind;
use celerythread_model::id;
use celerythread_platform::Platform;
use celerythread_policy::pause;
use celerythread_policy::time::Moment;
use celerythread_policy::view::View;
use celerythread_sync::Wake;
use parking_lot::{Mutex, RwLock};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use stop_token::StopToken;

/// The shared parts of a daemon.
pub(crate) struct Node {
    /// This process's id, new with every start.
    pub(crate) entry_id: id::Entry,
    /// Its settings.
    pub(crate) settings: Settings,
    /// Its clocks.
    pub(crate) clock: Clock,
    /// The platform; calls of the table are counted.
    pub(crate) platform: Platform,
    /// Its copy of the fleet's rows.
    pub(crate) view: RwLock<View>,
    /// Slots and queues.
    pub(crate) router: Mutex<Router>,
    /// The other entries.
    pub(crate) peers: RwLock<Peers>,
    /// Grants from peers in use here, by their owner.
    pub(crate) grants_in_use: Mutex<HashMap<id::Entry, HashSet<u64>>>,
    /// Idle connections to minions.
    pub(crate) connections: Connections,
    /// Keyed requests.
    pub(crate) claims: Claims,
    /// Typed events.
    pub(crate) timeline: Arc<Timeline>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Memory budget for request bodies.
    pub(crate) memory: Budget,
    /// Whether the load balancer may send callers here.
    pub(crate) ready: AtomicBool,
    /// Detects pauses of this process.
    pub(crate) pause_detector: Mutex<pause::Detector>,
    /// Whether new work is refused, for a graceful stop.
    pub(crate) stopping: AtomicBool,
    /// Callers' requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// Wakes the reader of the table at once, for example after an operator's change.
    pub(crate) wake: Wake,
    /// Ends the background tasks.
    pub(crate) stop: StopToken,
}

impl Node {
    /// Records an event on the timeline.
    pub(crate) fn record_event(&self, kind: Kind) {
        self.timeline.record(self.clock.wall_ms(), kind);
    }

    /// Whether new work is refused, for a graceful stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Sleeps.  Returns false as soon as the node is stopped.
    pub(crate) async fn sleep_unless_stopped(&self, time: Duration) -> bool {
        use stop_token::future::FutureExt;
        async_std::task::sleep(time).timeout_at(self.stop.clone()).await.is_ok()
    }

    /// Reports to the pause detector that this process runs.  After a pause the view is refreshed
    /// at once, as it may be long out of date.
    pub(crate) fn detect_pause(&self, now: Moment) {
        if self.pause_detector.lock().observe(now) {
            self.count(Counter::Pauses);
            self.wake.wake();
        }
    }

    /// How long a peer has been silent since `heard`, or since this process last resumed from a
    /// pause if that was later.
    pub(crate) fn silence(&self, heard: Moment, now: Moment) -> Duration {
        self.pause_detector.lock().silence(heard, now)
    }

    /// Counts one.
    pub(crate) fn count(&self, counter: Counter) {
        self.metrics.count(counter);
    }
}
