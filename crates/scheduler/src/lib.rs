//! The daemon on the users' platform, as a library.
//!
//! A job's way: [`front`] reads it from its caller, has [`submit`] write its row and answers; the
//! owner of its service's cell learns of it by a message or by following the table, and [`owner`]
//! takes it through its runs with the decisions of `celerythread-engine`.
//!
//! What an entry knows and agrees on: [`membership`] renews its row, follows the others' and
//! takes and gives cells; [`follow`] keeps the configuration, the waves and the minions as the
//! platform lists them, [`in_force`] asks peers for it where the store doesn't tell; [`peers`] asks other entries; [`fleet`] carries maintenance waves and
//! moves machines between pools.  [`confirm`] tells slow transactions from lost ones.  [`node`] is
//! what all of them share, with the lock order; [`rows`] are the rows kept.
//!
//! [`settings`] is the checked INI file; [`daemon`] starts it all and stops it gracefully;
//! [`journal`] and [`metrics`] are what is seen from outside, [`status`] reads what is agreed on for
//! operators.

mod clock;
mod confirm;
pub mod daemon;
mod fleet;
mod follow;
mod front;
mod in_force;
pub mod journal;
mod membership;
pub mod metrics;
mod node;
mod owner;
mod peers;
mod rows;
pub mod settings;
pub mod status;
mod submit;

pub use daemon::Daemon;
pub use settings::Settings;
