//! Claims of keyed requests, committed in batches.
//!
//! The table sustains several hundred writes a second over all entries, fewer than there may be
//! keyed requests.  So claims and settlements that arrive while a transaction is in progress are
//! batched into the next one.

use crate::metrics::Counter;
use crate::node::Node;
use async_std::channel::{Receiver, Sender};
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use celerythread_model::id;
use celerythread_model::request::Outcome;
use celerythread_model::table::{Row, Space};
use celerythread_model::unit::Revision;
use celerythread_platform::Error;
use celerythread_platform::message::Transaction;
use celerythread_policy::claim::{self, Answer, Claim, Decision, Settlement, Stage};
use celerythread_policy::time::Moment;
use futures::channel::oneshot;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum number of writes in one transaction.
const MAX_BATCH_WRITES: usize = 128;

/// Maximum number of operations queued for later transactions; submitters wait beyond it.
const MAX_QUEUED_WRITES: usize = 4096;

/// Maximum number of attempts to read back a batch whose answer was lost, before its operations
/// fail.
const MAX_READ_BACK_ATTEMPTS: u32 = 3;

/// Delay before a call that failed is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Largest body stored in the claim's row; a larger one goes to the object store.
const MAX_INLINE_BODY_BYTES: usize = 8 * 1024;

/// The queue to the task that commits claims.
pub(crate) struct Claims {
    sender: Sender<Operation>,
    receiver: Receiver<Operation>,
    /// Settlements and removals not yet committed; a graceful stop waits for them.
    unsettled: AtomicUsize,
}

/// One write of a batch.
struct Operation {
    key: String,
    expected: Revision,
    claim: Option<Claim>,
    reply: oneshot::Sender<Result<Revision, WriteError>>,
}

/// Why a write failed.
#[derive(Debug)]
enum WriteError {
    /// The row's revision is not the expected one; this is the current row.
    Conflict(Row),
    /// The platform did not answer.  A claim that may have been committed all the same is removed
    /// in the background.
    Unavailable,
}

/// A claim that this process has made.
#[derive(Clone, Debug)]
pub(crate) struct OwnedClaim {
    key: String,
    revision: Revision,
    claim: Claim,
}

/// The result of claiming a key.
pub(crate) enum ClaimResult {
    /// The key is claimed: run the request, then settle the claim.
    Run(OwnedClaim),
    /// The key has a claim already, which decides the answer.
    Exists(Decision),
    /// Claims cannot be recorded now.
    Unavailable,
}

impl Claims {
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_std::channel::bounded(MAX_QUEUED_WRITES);
        Self { sender, receiver, unsettled: AtomicUsize::new(0) }
    }

    /// Settlements and removals not yet committed.
    pub(crate) fn unsettled(&self) -> usize {
        self.unsettled.load(Ordering::SeqCst)
    }

    async fn submit(
        &self,
        key: &str,
        expected: Revision,
        claim: Option<Claim>,
    ) -> Result<Revision, WriteError> {
        let (reply, answer) = oneshot::channel();
        let operation = Operation { key: key.into(), expected, claim, reply };
        if self.sender.send(operation).await.is_err() {
            return Err(WriteError::Unavailable);
        }
        answer.await.unwrap_or(Err(WriteError::Unavailable))
    }
}

/// The key of the claim's row for a caller's key.
fn row_key(service: &id::Service, key: &str) -> String {
    format!("claim/{service}/{}", hex(&Sha256::digest(key.as_bytes())))
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A digest of the request that a key is used for.
pub(crate) fn fingerprint(method: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex(&digest.finalize())
}

/// Claims a key for this process.
pub(crate) async fn claim(
    node: &Arc<Node>,
    service: &id::Service,
    key: &str,
    fingerprint: String,
) -> ClaimResult {
    let key = row_key(service, key);
    let attempt = format!("{:016x}", rand::random::<u64>());
    let claim = Claim {
        attempt: attempt.parse().expect("hexadecimal digits form a valid id"),
        entry: node.entry_id.clone(),
        fingerprint,
        stage: Stage::Running,
        made_at: node.clock.wall_ms(),
    };
    match node.claims.submit(&key, Revision(0), Some(claim.clone())).await {
        Ok(revision) => {
            node.count(Counter::Claims);
            ClaimResult::Run(OwnedClaim { key, revision, claim })
        }
        Err(WriteError::Unavailable) => ClaimResult::Unavailable,
        Err(WriteError::Conflict(row)) => {
            let Some(existing) = row.decode::<Claim>() else { return ClaimResult::Unavailable };
            let is_registered = |entry: &id::Entry| node.view.read().entries().contains_key(entry);
            let decision =
                claim::decide(&existing, &claim.attempt, &claim.fingerprint, is_registered);
            ClaimResult::Exists(decision)
        }
    }
}

/// Records the outcome of a claimed request in the background, so that the caller's answer does
/// not wait for it.  A repeat is answered "still running" until this is committed.
pub(crate) fn settle(
    node: &Arc<Node>,
    owned: OwnedClaim,
    outcome: Outcome,
    answer: Option<(Answer, Vec<u8>)>,
) {
    node.claims.unsettled.fetch_add(1, Ordering::SeqCst);
    let node = node.clone();
    async_std::task::spawn(async move {
        settle_until_done(&node, owned, outcome, answer).await;
        node.claims.unsettled.fetch_sub(1, Ordering::SeqCst);
    });
}

async fn settle_until_done(
    node: &Arc<Node>,
    owned: OwnedClaim,
    outcome: Outcome,
    answer: Option<(Answer, Vec<u8>)>,
) {
    let answer = match answer {
        Some((answer, body)) => Some(store_body(node, &owned, answer, body).await),
        None => None,
    };
    let settlement = claim::settle(outcome, answer);
    let stage = match settlement {
        Settlement::Store(answer) => Some(Stage::Done { answer }),
        Settlement::MarkUnknown => Some(Stage::Unknown),
        Settlement::Release => None,
    };
    let claim = stage.map(|stage| Claim { stage, ..owned.claim.clone() });
    loop {
        match node.claims.submit(&owned.key, owned.revision, claim.clone()).await {
            // A conflict: an earlier try was committed after all, or an operator changed the row.
            Ok(_) | Err(WriteError::Conflict(_)) => return,
            Err(WriteError::Unavailable) => {
                if !node.sleep_unless_stopped(RETRY_DELAY).await {
                    return;
                }
            }
        }
    }
}

/// Stores a body for repeats: in the answer itself, or in the object store if it is large.
async fn store_body(node: &Arc<Node>, owned: &OwnedClaim, answer: Answer, body: Vec<u8>) -> Answer {
    if body.len() <= MAX_INLINE_BODY_BYTES {
        return Answer { body: Some(BASE64_STANDARD.encode(&body)), ..answer };
    }
    let name = format!("answer-{}", owned.claim.attempt);
    while node.platform.objects.put(&name, body.clone()).await.is_err() {
        if !node.sleep_unless_stopped(RETRY_DELAY).await {
            break;
        }
    }
    Answer { object: Some(name), ..answer }
}

/// Fetches the body of a stored answer; none while the object store does not answer.
pub(crate) async fn stored_body(node: &Node, answer: &Answer) -> Option<Vec<u8>> {
    if let Some(text) = &answer.body {
        return BASE64_STANDARD.decode(text).ok();
    }
    let name = answer.object.as_ref()?;
    node.platform.objects.get(name).await.ok().flatten()
}

/// Commits submitted operations until the process ends.
///
/// Transactions begin at least `claim_interval` apart, so that all entries together stay within
/// the table's several hundred writes a second however many keyed requests there are.  The first
/// one after an idle time begins at once.
pub(crate) async fn commit_forever(node: Arc<Node>) {
    let mut backlog: VecDeque<Operation> = VecDeque::new();
    let interval = node.settings.claim_interval.0;
    let mut last: Option<Moment> = None;
    loop {
        if backlog.is_empty() {
            let Ok(first) = node.claims.receiver.recv().await else { return };
            backlog.push_back(first);
        }
        let delay = last.map(|last| interval.saturating_sub(node.clock.now().since(last)));
        if let Some(delay) = delay.filter(|delay| !delay.is_zero()) {
            async_std::task::sleep(delay).await;
        }
        last = Some(node.clock.now());
        while let Ok(next) = node.claims.receiver.try_recv() {
            backlog.push_back(next);
        }
        let batch = next_batch(&mut backlog);
        commit(&node, batch).await;
    }
}

/// Takes the next operations, at most one per key: the condition of a second one depends on the
/// revision that the first one gets.
fn next_batch(backlog: &mut VecDeque<Operation>) -> Vec<Operation> {
    let mut keys = BTreeSet::new();
    let mut batch = Vec::new();
    let mut later = VecDeque::new();
    while let Some(operation) = backlog.pop_front() {
        if batch.len() < MAX_BATCH_WRITES && keys.insert(operation.key.clone()) {
            batch.push(operation);
        } else {
            later.push_back(operation);
        }
    }
    *backlog = later;
    batch
}

async fn commit(node: &Arc<Node>, mut batch: Vec<Operation>) {
    while !batch.is_empty() {
        match node.platform.table.commit(transaction(&batch)).await {
            Ok(last) => {
                let first = last.0 + 1 - batch.len() as u64;
                for (index, operation) in batch.into_iter().enumerate() {
                    let _ = operation.reply.send(Ok(Revision(first + index as u64)));
                }
                return;
            }
            // Operations whose condition failed are answered, and the others are retried: a
            // conflict on one key must not fail the requests that share its transaction.
            Err(Error::Conflict { rows }) => batch = answer_conflicts(batch, rows),
            Err(Error::Lost { .. }) => batch = read_back(node, batch).await,
            Err(_) => {
                for operation in batch {
                    let _ = operation.reply.send(Err(WriteError::Unavailable));
                }
                return;
            }
        }
    }
}

fn transaction(batch: &[Operation]) -> Transaction {
    let mut transaction = Transaction::new();
    for operation in batch {
        transaction = transaction.check(Space::Claim, &*operation.key, operation.expected);
        transaction = match &operation.claim {
            Some(claim) => transaction.put(Space::Claim, &*operation.key, claim),
            None => transaction.delete(Space::Claim, &*operation.key),
        };
    }
    transaction
}

fn answer_conflicts(batch: Vec<Operation>, rows: Vec<Row>) -> Vec<Operation> {
    let mut rows: BTreeMap<String, Row> =
        rows.into_iter().map(|row| (row.key.clone(), row)).collect();
    let mut left = Vec::new();
    for operation in batch {
        match rows.remove(&operation.key) {
            Some(row) => {
                let _ = operation.reply.send(Err(WriteError::Conflict(row)));
            }
            None => left.push(operation),
        }
    }
    left
}

/// Finds out whether a transaction whose answer was lost was committed, and returns the
/// operations to retry.
///
/// Without this, a claim could be in the table although this process assumes that it isn't: the
/// request would be refused as not run, and every repeat would be answered "still running".
async fn read_back(node: &Arc<Node>, batch: Vec<Operation>) -> Vec<Operation> {
    let keys: Vec<String> = batch.iter().map(|operation| operation.key.clone()).collect();
    for _ in 0..MAX_READ_BACK_ATTEMPTS {
        let Ok(rows) = node.platform.table.read(Space::Claim, &keys).await else {
            node.sleep_unless_stopped(RETRY_DELAY / 5).await;
            continue;
        };
        let mut left = Vec::new();
        for (operation, row) in batch.into_iter().zip(rows) {
            let existing: Option<Claim> = row.decode();
            if existing == operation.claim {
                let _ = operation.reply.send(Ok(row.revision));
            } else {
                // Not committed.  If another process has changed the row meanwhile, the retry
                // fails on its condition.
                left.push(operation);
            }
        }
        return left;
    }
    for operation in batch {
        remove_uncertain_claim(node, &operation);
        let _ = operation.reply.send(Err(WriteError::Unavailable));
    }
    Vec::new()
}

/// Removes, once the platform answers again, a claim that may have been committed although its
/// request was refused.
fn remove_uncertain_claim(node: &Arc<Node>, operation: &Operation) {
    let Some(claim) = operation.claim.clone().filter(|claim| claim.stage == Stage::Running) else {
        return;
    };
    let node = node.clone();
    let key = operation.key.clone();
    node.claims.unsettled.fetch_add(1, Ordering::SeqCst);
    async_std::task::spawn(async move {
        while node.sleep_unless_stopped(RETRY_DELAY).await {
            let Ok(rows) = node.platform.table.read(Space::Claim, std::slice::from_ref(&key)).await
            else {
                continue;
            };
            let own_row = rows.first().filter(|row| {
                row.decode::<Claim>().is_some_and(|existing| existing.attempt == claim.attempt)
            });
            let Some(row) = own_row else { break };
            let removal = Transaction::new()
                .check(Space::Claim, &*key, row.revision)
                .delete(Space::Claim, &*key);
            if node.platform.table.commit(removal).await.is_ok() {
                break;
            }
        }
        node.claims.unsettled.fetch_sub(1, Ordering::SeqCst);
    });
}
