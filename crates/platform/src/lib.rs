//! The borders to the platform, which the firms run already.
//!
//! [`Table`], [`Objects`], [`Roster`] and [`Workers`] are what the product needs of it.
//! [`memory`] keeps all four in one process; [`http`] reaches them over HTTP.  Both forms obey
//! the same contract, and the stand-in serves the first through the second.  [`message`]
//! holds the bodies that travel.

pub mod error;
pub mod http;
pub mod memory;
pub mod message;
pub mod traits;

pub use error::Error;
pub use traits::{Objects, Platform, Roster, Table, Workers};
