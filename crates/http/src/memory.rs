//! Memory for requests: reserved from one budget of the process before it is held.
//!
//! Each body has [`FREE_BODY_LEN`] bytes without a reservation, which count as part of its
//! connection, so that small bodies always find room.  What a body takes beyond that is reserved as
//! its bytes arrive: a declared length reserves nothing, since a client may never send it.  When
//! the budget is used up, the body that arrives most slowly is given up, or else the one that needs
//! the memory.  A body that was received whole is never given up.

use snafu::Snafu;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use stop_token::{StopSource, StopToken};

/// Bytes that a body may take without a reservation.
pub const FREE_BODY_LEN: usize = 4 * 1024;

/// Reservations up to this size may use the whole budget.
const SMALL_RESERVATION: u64 = 16 * 1024;

/// The part of the budget that larger reservations leave to small ones is one over this.
const SMALL_SHARE_DIVISOR: u64 = 4;

/// Age from which on a body can be given up for another one: a client whose connection loses a
/// packet may stall for a second.
const MIN_GIVE_UP_AGE: Duration = Duration::from_secs(2);

/// The error when the budget is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the memory for requests is used up"))]
pub struct Exhausted;

/// The memory that requests may take in a process.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: u64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    reserved: u64,
    next_body: u64,
    /// Bodies that are being received.
    bodies: BTreeMap<u64, Body>,
}

#[derive(Debug)]
struct Body {
    bytes: Vec<u8>,
    reserved: u64,
    began: Instant,
    /// Dropped to tell the receiver that the body is given up.
    _given_up: StopSource,
}

impl Body {
    /// Bytes received per second so far.
    fn rate(&self, now: Instant) -> f64 {
        self.bytes.len() as f64 / now.duration_since(self.began).as_secs_f64()
    }

    fn can_be_given_up(&self, now: Instant) -> bool {
        self.reserved > 0 && now.duration_since(self.began) >= MIN_GIVE_UP_AGE
    }
}

impl State {
    /// Reserves `bytes` up to `ceiling`, for the body `receiver` if it is for one.  Gives up slow
    /// bodies other than that one while the memory is used up.
    fn reserve(&mut self, bytes: u64, ceiling: u64, receiver: Option<u64>, now: Instant) -> bool {
        if bytes > ceiling {
            return false;
        }
        while self.reserved + bytes > ceiling {
            let candidates = self
                .bodies
                .iter()
                .filter(|(id, body)| Some(**id) != receiver && body.can_be_given_up(now));
            let slowest = candidates.min_by(|(_, a), (_, b)| a.rate(now).total_cmp(&b.rate(now)));
            let Some(id) = slowest.map(|(id, _)| *id) else { return false };
            self.remove(id);
        }
        self.reserved += bytes;
        true
    }

    /// Removes a body and returns its reservation.
    fn remove(&mut self, id: u64) -> Option<Body> {
        let body = self.bodies.remove(&id)?;
        self.reserved -= body.reserved;
        Some(body)
    }
}

impl Budget {
    /// A budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self(Arc::new(Shared { limit, state: Mutex::default() }))
    }

    /// A budget of which large reservations may take `limit` bytes, with room for small ones beside
    /// them.
    pub fn with_room_for_large(limit: u64) -> Self {
        Self::new(limit + limit.div_ceil(SMALL_SHARE_DIVISOR - 1))
    }

    /// The bytes that are reserved.
    pub fn reserved(&self) -> u64 {
        self.lock().reserved
    }

    /// Reserves memory for what a request needs besides its body.
    ///
    /// # Errors
    /// When the budget is used up.
    pub fn reserve(&self, bytes: u64, now: Instant) -> Result<Reservation, Exhausted> {
        let is_reserved = bytes == 0 || self.lock().reserve(bytes, self.ceiling(bytes), None, now);
        if is_reserved { Ok(Reservation { budget: self.clone(), bytes }) } else { Err(Exhausted) }
    }

    /// The reservation of an empty body.
    pub(crate) fn nothing(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Begins to receive a body of at most `limit` bytes.
    pub fn receive(&self, limit: u64, now: Instant) -> Incoming {
        let given_up = StopSource::new();
        let token = given_up.token();
        let body = Body { bytes: Vec::new(), reserved: 0, began: now, _given_up: given_up };
        let mut state = self.lock();
        let id = state.next_body;
        state.next_body += 1;
        state.bodies.insert(id, body);
        Incoming { budget: self.clone(), id, limit, given_up: token }
    }

    /// How much may be reserved in total after a reservation of `bytes`.
    fn ceiling(&self, bytes: u64) -> u64 {
        let limit = self.0.limit;
        if bytes <= SMALL_RESERVATION { limit } else { limit - limit / SMALL_SHARE_DIVISOR }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved memory, returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.lock().reserved -= self.bytes;
        }
    }
}

/// A body that is being received; its memory is returned when it is dropped.
#[derive(Debug)]
pub struct Incoming {
    budget: Budget,
    id: u64,
    limit: u64,
    given_up: StopToken,
}

impl Incoming {
    /// Signals that the body was given up.
    pub fn given_up(&self) -> StopToken {
        self.given_up.clone()
    }

    /// Appends bytes; the caller checks that the body's limit isn't exceeded.
    ///
    /// # Errors
    /// When the budget is used up, or the body was given up for another one.
    pub fn append(&mut self, piece: &[u8], now: Instant) -> Result<(), Exhausted> {
        let mut state = self.budget.lock();
        let body = state.bodies.get(&self.id).ok_or(Exhausted)?;
        let length = body.bytes.len() + piece.len();
        if length > body.bytes.capacity() {
            let doubled = (body.bytes.capacity() * 2).min(self.limit as usize);
            let capacity = doubled.max(FREE_BODY_LEN).max(length);
            let reserved = capacity.saturating_sub(FREE_BODY_LEN) as u64;
            let missing = reserved - body.reserved;
            let ceiling = self.budget.ceiling(reserved);
            if !state.reserve(missing, ceiling, Some(self.id), now) {
                return Err(Exhausted);
            }
            let body = state.bodies.get_mut(&self.id).ok_or(Exhausted)?;
            body.reserved = reserved;
            body.bytes.reserve_exact(capacity - body.bytes.len());
        }
        let body = state.bodies.get_mut(&self.id).ok_or(Exhausted)?;
        body.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Ends the reception: the body is whole, and can't be given up any more.
    ///
    /// # Errors
    /// When the body was given up before.
    pub fn finish(self) -> Result<(Vec<u8>, Reservation), Exhausted> {
        let mut state = self.budget.lock();
        let body = state.bodies.remove(&self.id).ok_or(Exhausted)?;
        drop(state);
        Ok((body.bytes, Reservation { budget: self.budget.clone(), bytes: body.reserved }))
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        self.budget.lock().remove(self.id);
    }
}
