//! Checks the history of requests as callers and minions recorded them.

use crate::minion::{Answer, Run, digest};
use celerythread_model::request::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A request and its result, as its caller recorded them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    /// The `X-Request-Id`, unique to each attempt.
    pub id: String,
    /// Id of the side effect that must happen at most once: the idempotency key, or else `id`.
    pub effect: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The request's body.
    pub body: Vec<u8>,
    /// The result that the caller got.
    pub told: Told,
}

/// The result of a request at its caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Told {
    /// An answer: status and body.
    Answer(u16, Vec<u8>),
    /// A refusal: numeric code and outcome.
    Refused(u16, Option<Outcome>),
    /// The connection broke before an answer.
    Broken,
}

/// A violation of a guarantee to callers, with the id of the request or side effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Breach {
    /// An answer was incomplete or belonged to another request.
    WrongAnswer(String),
    /// A side effect happened more than once.
    RanTwice(String),
    /// A request ran although its refusal said that it did not.
    RanAlthoughRefused(String),
    /// A caller got no answer.
    NoAnswer(String),
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::WrongAnswer(id) => write!(f, "{id}: the answer is not whole or not its own"),
            Breach::RanTwice(effect) => write!(f, "{effect}: ran more than once"),
            Breach::RanAlthoughRefused(id) => write!(f, "{id}: ran although refused as not run"),
            Breach::NoAnswer(id) => write!(f, "{id}: its caller was told nothing"),
        }
    }
}

/// Checks the guarantees to callers over the requests of callers and the runs of minions.
pub fn check(asked: &[Asked], runs: &[Run]) -> Vec<Breach> {
    let mut breaches = BTreeSet::new();
    let mut run_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.ran) {
        *run_counts.entry(&run.id).or_default() += 1;
    }
    let mut effect_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for request in asked {
        let count = run_counts.get(request.id.as_str()).copied().unwrap_or(0);
        if !request.idempotent {
            *effect_counts.entry(&request.effect).or_default() += count;
        }
        match &request.told {
            Told::Answer(200, body) if !is_own(request, body) => {
                breaches.insert(Breach::WrongAnswer(request.id.clone()));
            }
            Told::Answer(..) => {}
            Told::Refused(_, Some(Outcome::NotRun)) if count > 0 => {
                breaches.insert(Breach::RanAlthoughRefused(request.id.clone()));
            }
            Told::Refused(..) => {}
            Told::Broken => {
                breaches.insert(Breach::NoAnswer(request.id.clone()));
            }
        }
    }
    let repeated = effect_counts.into_iter().filter(|(_, count)| *count > 1);
    breaches.extend(repeated.map(|(effect, _)| Breach::RanTwice(effect.into())));
    breaches.into_iter().collect()
}

/// Whether a body is the complete answer to this request.  A replayed answer has the id of the
/// first attempt with the same idempotency key, but the same digest.
fn is_own(asked: &Asked, body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else { return false };
    let own_id = answer.id == asked.id || (!asked.idempotent && asked.effect != asked.id);
    own_id && answer.digest == digest(&asked.body)
}
