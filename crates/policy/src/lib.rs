//! Every decision of the product, as pure functions and state machines.
//!
//! Time, randomness and the view are passed in; what comes out is a value or a list of
//! actions that the drivers in the entry crate carry out.  Nothing here reads a clock, starts
//! a task or performs input or output, so tests and benches drive it by the million.
//!
//! Requests: [`queue`] orders them, [`slots`] hands out minions' slots with [`health`] judging
//! the minions, [`phase`] says what a failure leaves certain, [`retry`] bounds what is sent
//! again, [`claim`] keeps keyed requests to one run, [`quota`] bounds a team.
//!
//! Fleet: [`view`] is what an entry knows, [`lease`] judges duties' holders, [`ownership`]
//! decides who hands out a minion's slots, [`pause`] notices own standstills,
//! [`availability`] counts what a service can spare,
//! [`wave`] plans and steps maintenance, [`movement`] takes a minion out of and into pools,
//! [`sizing`] decides pool sizes.
//!
//! Jobs: [`placement`] finds a worker, [`learning`] corrects declared sizes.

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
