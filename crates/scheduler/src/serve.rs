//! Answers to other entries' questions, and exchanges in which this entry is a delegate.

use crate::clock;
use crate::delegate;
use crate::in_force;
use crate::node::Node;
use crate::submit::{self, WriteOutcome};
use celerythread_engine::job::Id;
use celerythread_wire::job::{Answer, Question, Submission};
use celerythread_wire::{Channel, Endpoint, Frame, Link};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for writing a job on behalf of a peer, within the peer's wait for the answer.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Writes a job on behalf of an entry whose requests the store refuses.
async fn submit_for_peer(node: &Node, partition: &str, id: Id, row: &[u8]) -> Answer {
    if node.is_outage_suspected() {
        return Answer::Submitted(Submission::Refused);
    }
    let deadline = clock::now() + SUBMIT_TIMEOUT;
    let job = submit::Job { partition, id, row, deadline };
    Answer::Submitted(match submit::write_directly(node, &job, SUBMIT_TIMEOUT).await {
        WriteOutcome::Accepted(row) => Submission::Accepted { row },
        WriteOutcome::Refused(_) => Submission::Refused,
        WriteOutcome::Unknown => Submission::Unknown,
    })
}

/// Answers peers until the endpoint is closed.
pub(crate) async fn accept_forever(node: Arc<Node>, endpoint: Arc<Endpoint>) {
    while let Some(accepted) = endpoint.accept().await {
        match accepted {
            Ok(link) => {
                async_std::task::spawn(serve_link(node.clone(), link));
            }
            Err(error) => node.journal.warn("peer_refused", &[("reason", &error)]),
        }
    }
}

async fn serve_link(node: Arc<Node>, link: Link) {
    while let Ok(channel) = link.accept().await {
        async_std::task::spawn(serve_channel(node.clone(), channel));
    }
}

async fn serve_channel(node: Arc<Node>, mut channel: Channel) {
    let question = match channel.receive().await {
        Ok(Frame::JobQuestion(question)) => question,
        Ok(Frame::MinionCalls(calls)) => return delegate::serve(node, channel, calls).await,
        _ => return,
    };
    let answer = match &question {
        Question::Submit { service, id, row } => submit_for_peer(&node, service, *id, row).await,
        Question::Configuration { version } => in_force::answer_peer(&node, *version),
        _ => node
            .owner(question.service())
            .and_then(|owner| owner.answer(&question))
            .unwrap_or(Answer::NotOwner),
    };
    // A peer that has disconnected waits for no answer.
    let _ = channel.send(&Frame::JobAnswer(answer)).await;
    channel.finish();
}
