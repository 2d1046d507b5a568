//! What the daemons' tasks wait with: [`Wake`], a notification that isn't lost if no task waits for
//! it yet, and of which several before a wait count as one; and [`Lookups`], calls whose outcome
//! several tasks share.

mod lookup;

pub use lookup::Lookups;

use async_std::channel::{self, Receiver, Sender};
use std::time::Duration;

/// Wakes a periodic task before its next iteration is due.
pub struct Wake {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Wake {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Wake {
    /// Wakes the waiting task; several calls before its next wait count as one.
    pub fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.sender.try_send(());
    }

    /// Waits for a call of [`Wake::wake`], at most for `max_wait`.
    pub async fn wait(&self, max_wait: Duration) {
        let _ = async_std::future::timeout(max_wait, self.receiver.recv()).await;
    }
}
