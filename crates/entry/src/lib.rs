//! The daemon of an entry instance, as a library; the program `celerythreadd` only parses its
//! arguments.
//!
//! The path of a request: [`front`] receives it whole and checks it, [`dispatch`] makes its
//! attempts, [`router`] finds a slot here or at a peer, [`claims`] ensures that a keyed request
//! runs once.  [`node`] holds the shared state and documents the lock order.
//!
//! Shared state and coordination: [`follow`] keeps the view up to date, [`membership`] keeps the
//! entry's registration, [`owner`] acquires and releases minions' slots, [`peers`] talks to the
//! other entries, [`duty`] holds leases and [`drive`] carries out the duties.
//!
//! For operators: [`operator`] is their interface, [`timeline`] records typed events, [`metrics`]
//! counts.  [`settings`] reads and checks the INI file; [`daemon`] starts all of this and stops
//! it gracefully.

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
