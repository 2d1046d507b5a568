//! The daemon of an entry instance, as a library: `celerythreadd` only reads its arguments.
//!
//! A request's way: [`front`] receives it whole and checks it, [`dispatch`] carries its
//! attempts, [`router`] finds a slot here or at a peer, [`claims`] keeps keyed requests to one
//! run.  [`node`] is what all of them share, with the lock order.
//!
//! What an entry knows and agrees on: [`follow`] keeps the view, [`membership`] registers it
//! and clears away the dead, [`owner`] takes and gives back minions' slots, [`peers`] talks to
//! the other entries, [`duty`] holds leases and [`drive`] carries the duties out.
//!
//! What operators see: [`operator`] is their interface, [`timeline`] the typed events,
//! [`metrics`] the counters.  [`settings`] is the checked INI file; [`daemon`] starts it all
//! and stops it gracefully.

mod bounded;
mod claims;
mod clock;
mod connections;
pub mod daemon;
mod dispatch;
mod drive;
mod duty;
mod follow;
mod front;
mod membership;
pub mod metrics;
mod node;
mod operator;
mod owner;
mod peers;
mod problem;
mod router;
pub mod settings;
mod table;
pub mod timeline;

pub use daemon::Daemon;
pub use settings::Settings;
pub use timeline::Timeline;
