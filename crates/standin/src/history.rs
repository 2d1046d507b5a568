//! What callers and minions saw, joined and checked.

use crate::minion::{Answer, Run, digest};
use celerythread_model::request::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A request as its caller saw it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Asked {
    /// Its `X-Request-Id`, unique to each sending.
    pub id: String,
    /// What must run at most once: its idempotency key, or its own id.
    pub effect: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The body it carried.
    pub body: Vec<u8>,
    /// What it was told.
    pub told: Told,
}

/// What a caller was told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Told {
    /// An answer with its status and body.
    Answer(u16, Vec<u8>),
    /// A refusal with its code's number and the outcome.
    Refused(u16, Option<Outcome>),
    /// The connection broke, so that nothing was told.
    Broken,
}

/// A broken promise.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Breach {
    /// An answer was not whole, or was another request's.
    WrongAnswer(String),
    /// Something ran more than once.
    RanTwice(String),
    /// Something ran that was refused as not run.
    RanAlthoughRefused(String),
    /// A caller was told nothing.
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

/// Checks the promises to callers over a joined history.
pub fn check(asked: &[Asked], runs: &[Run]) -> Vec<Breach> {
    let mut breaches = BTreeSet::new();
    let mut ran: BTreeMap<&str, u32> = BTreeMap::new();
    for run in runs.iter().filter(|run| run.ran) {
        *ran.entry(&run.id).or_default() += 1;
    }
    let mut effects: BTreeMap<&str, u32> = BTreeMap::new();
    for request in asked {
        let times = ran.get(request.id.as_str()).copied().unwrap_or(0);
        if !request.idempotent {
            *effects.entry(&request.effect).or_default() += times;
        }
        match &request.told {
            Told::Answer(200, body) if !is_own(request, body) => {
                breaches.insert(Breach::WrongAnswer(request.id.clone()));
            }
            Told::Answer(..) => {}
            Told::Refused(_, Some(Outcome::NotRun)) if times > 0 => {
                breaches.insert(Breach::RanAlthoughRefused(request.id.clone()));
            }
            Told::Refused(..) => {}
            Told::Broken => {
                breaches.insert(Breach::NoAnswer(request.id.clone()));
            }
        }
    }
    let twice = effects.into_iter().filter(|(_, times)| *times > 1);
    breaches.extend(twice.map(|(effect, _)| Breach::RanTwice(effect.into())));
    breaches.into_iter().collect()
}

/// Whether a body is the whole answer to this request; a replayed one carries the id of the
/// first sending under the same key, but always the same digest.
fn is_own(asked: &Asked, body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else { return false };
    let own_id = answer.id == asked.id || (!asked.idempotent && asked.effect != asked.id);
    own_id && answer.digest == digest(&asked.body)
}
