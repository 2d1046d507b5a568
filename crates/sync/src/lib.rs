//! What tasks of the daemons wake and wait with: [`Wake`], a signal that isn't lost when nobody
//! waits for it yet and counts once however often it is given.

use async_std::channel::{self, Receiver, Sender};
use std::time::Duration;

/// Wakes a loop before its next turn.
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
    /// Wakes; several calls before the next turn count as one.
    pub fn wake(&self) {
        // Full means that a wake-up is waiting already.
        let _ = self.sender.try_send(());
    }

    /// Waits for a call, at most for `max_wait`.
    pub async fn wait(&self, max_wait: Duration) {
        let _ = async_std::future::timeout(max_wait, self.receiver.recv()).await;
    }
}
