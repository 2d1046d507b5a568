//! Interfaces to the platform, which the operating companies already run.
//!
//! [`Table`], [`Objects`], [`Roster`] and [`Workers`] are the parts of it that the product uses.
//! [`memory`] implements all four in one process; [`http`] calls them over HTTP.  Both follow
//! the same contract, and the stand-in serves the in-memory platform over HTTP.  [`message`]
//! defines the bodies of requests and responses.

pub mod error;
pub mod http;
pub mod memory;
pub mod message;
pub mod traits;

pub use error::Error;
pub use traits::{Objects, Platform, Roster, Table, Workers};
