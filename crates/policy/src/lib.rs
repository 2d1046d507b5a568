//! Every decision of the product, as pure functions and state machines.
//!
//! Time, randomness and the view of the fleet are parameters; the result is a value or a list of
//! actions that the entry crate carries out.  Nothing here reads a clock, spawns a task or performs
//! I/O, so tests and benches can run it millions of times.
//!
//! Requests: [`queue`] orders them, [`slots`] grants the minions' slots with [`health`] ejecting
//! outliers, [`phase`] decides what a failure proves, [`retry`] limits resent requests, [`claim`]
//! runs a request with an idempotency key at most once, [`quota`] limits a team.
//!
//! Fleet: [`view`] is an entry's view, [`lease`] decides who holds a duty, [`ownership`] decides
//! who hands out a minion's slots, [`pause`] detects pauses of this process, [`availability`]
//! counts the minions that a service can spare, [`wave`] plans maintenance, [`movement`] drains a
//! minion and returns it to a pool, [`sizing`] decides pool sizes.
//!
//! Jobs: [`placement`] finds a worker, [`learning`] estimates sizes and run times.

pub mod availability;
pub mod claim;
pub mod health;
pub mod learning;
pub mod lease;
pub mod movement;
pub mod ownership;
pub mod pause;
pub mod phase;
pub mod placement;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod sizing;
pub mod slots;
pub mod time;
pub mod view;
pub mod wave;
