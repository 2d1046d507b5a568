//! What all parts of a daemon share.
//!
//! # Lock order
//!
//! `view` → `router` → `peers` → `holding` → `timeline` → `pauses`.  A lock is only taken while locks
//! before it in this list are held, and no lock is held across an await.

use crate::bounded;
use crate::claims::Claims;
use crate::clock::Clock;
use crate::connections::Connections;
use crate::metrics::{Counter, Metrics};
use crate::peers::Peers;
use crate::router::Router;
use crate::settings::Settings;
use crate::timeline::Timeline;
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
    /// What it was told.
    pub(crate) settings: Settings,
    /// Its clocks.
    pub(crate) clock: Clock,
    /// The platform, with the table's calls counted.
    pub(crate) platform: Platform,
    /// What it knows of the fleet.
    pub(crate) view: RwLock<View>,
    /// Slots and queues.
    pub(crate) router: Mutex<Router>,
    /// The other entries.
    pub(crate) peers: RwLock<Peers>,
    /// Grants of peers in use here, by their owner.
    pub(crate) grants_in_use: Mutex<HashMap<id::Entry, HashSet<u64>>>,
    /// Idle connections to minions.
    pub(crate) connections: Connections,
    /// Keyed requests.
    pub(crate) claims: Claims,
    /// Typed events.
    pub(crate) timeline: Arc<Timeline>,
    /// Counters.
    pub(crate) metrics: Arc<Metrics>,
    /// Memory for request bodies.
    pub(crate) memory: bounded::Pool,
    /// Whether the balancer may send callers here.
    pub(crate) ready: AtomicBool,
    /// Notices when this process stood still.
    pub(crate) pause_detector: Mutex<pause::Watch>,
    /// Whether no new work is taken any more.
    pub(crate) stopping: AtomicBool,
    /// Requests of callers being worked on.
    pub(crate) in_flight: AtomicUsize,
    /// Set by an operator's change, so that it is followed up at once.
    pub(crate) wake: Wake,
    /// Ends the background tasks.
    pub(crate) stop: StopToken,
}

impl Node {
    /// Notes an event on the time line.
    pub(crate) fn record_event(&self, kind: Kind) {
        self.timeline.note(self.clock.wall_ms(), kind);
    }

    /// Whether no new work is taken any more.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Sleeps; tells whether the task should go on.
    pub(crate) async fn sleep_unless_stopped(&self, time: Duration) -> bool {
        use stop_token::future::FutureExt;
        async_std::task::sleep(time).timeout_at(self.stop.clone()).await.is_ok()
    }

    /// Notes that this process runs.  After a standstill it brings the view up to date at once:
    /// what it knew may be long out of date.
    pub(crate) fn detect_pause(&self, now: Moment) {
        if self.pause_detector.lock().observe(now) {
            self.count(Counter::Pauses);
            self.wake.wake();
        }
    }

    /// For how long a peer last heard at `heard` could have been heard again and wasn't.
    pub(crate) fn silence(&self, heard: Moment, now: Moment) -> Duration {
        self.pause_detector.lock().silence(heard, now)
    }

    /// Counts one.
    pub(crate) fn count(&self, counter: Counter) {
        self.metrics.count(counter);
    }
}
