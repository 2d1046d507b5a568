//! Lends slots to peers.

use super::{NO_MINION_RETRY_AFTER, SlotRequest, Waiter, finish_grant};
use crate::metrics::Counter;
use crate::node::Node;
use celerythread_model::code::Code;
use celerythread_policy::queue::Queue;
use celerythread_policy::slots::{DispatchResult, Holder, Permit};
use celerythread_wire::Channel;
use celerythread_wire::frame::{self, Frame};
use std::sync::Arc;
use std::time::Duration;

/// Answers a peer that asks for a slot, and keeps the grant until the peer has finished with it.
pub(crate) async fn lend(node: &Arc<Node>, ask: frame::Ask, mut channel: Channel) {
    let now = node.clock.now();
    let request = SlotRequest {
        service: ask.service,
        class: ask.class,
        deadline: now + Duration::from_millis(ask.left_ms),
        avoid: ask.avoid,
    };
    let holder = Holder::Peer(ask.entry.clone());
    let permit = match grant_to_peer(node, &request, holder, ask.wait).await {
        Ok(permit) => permit,
        Err(refusal) => {
            if channel.send(&refusal).await.is_ok() {
                channel.finish();
            }
            return;
        }
    };
    node.count(Counter::SlotsLent);
    let grant = permit.grant;
    let answer = Frame::Grant(frame::Grant {
        grant: grant.0,
        minion: permit.minion,
        address: permit.address,
        epoch: permit.epoch,
    });
    // From here on the peer may be using the slot.  If the exchange breaks, this is unknown, and
    // the grant stays counted until the peer's heartbeats no longer list it.
    if channel.send(&answer).await.is_ok()
        && let Ok(Frame::Finish { verdict, took_ms }) = channel.receive().await
    {
        let verdict = match verdict {
            frame::DispatchResult::Answered => DispatchResult::Answered,
            frame::DispatchResult::Failed => DispatchResult::Failed,
            frame::DispatchResult::Leaving => DispatchResult::Leaving,
            frame::DispatchResult::Unused => DispatchResult::Unused,
        };
        return finish_grant(node, grant, verdict, Duration::from_millis(took_ms));
    }
    node.peers.write().record_broken_grant(&ask.entry, grant, node.clock.now());
}

async fn grant_to_peer(
    node: &Arc<Node>,
    request: &SlotRequest,
    holder: Holder,
    wait: bool,
) -> Result<Permit, Frame> {
    let now = node.clock.now();
    let queued = {
        let mut router = node.router.lock();
        if let Some(permit) = router.try_grant(request, holder.clone(), now) {
            return Ok(permit);
        }
        if router.ledger.capacity(&request.service, now).slots == 0 {
            let text = "no slots of the service are handed out here".into();
            return Err(Frame::Refusal { code: Code::NoMinion, text });
        }
        let empty = Queue::<Waiter>::default();
        let queue = router.queues.get(&request.service).unwrap_or(&empty);
        if !wait {
            return Err(busy(queue.retry_after(rand::random())));
        }
        router.enqueue(request, holder, now).map_err(|refusal| busy(refusal.retry_after))?
    };
    let left = request.deadline.since(now);
    match async_std::future::timeout(left, queued).await {
        Ok(Ok(permit)) => Ok(permit),
        _ => Err(busy(NO_MINION_RETRY_AFTER)),
    }
}

fn busy(retry_after: Duration) -> Frame {
    Frame::Busy { retry_after_ms: retry_after.as_millis() as u64 }
}
