//! The vocabulary of celerythread: ids, units, states, table rows and result codes.
//!
//! Nothing here performs input or output, reads a clock or starts a task, so every other
//! crate can share these types.  [`config`] reads an operator's template and parameters into
//! a checked [`config::Document`]; [`fleet`] and [`job`] are the rows kept in the platform's
//! table; [`event`] is what each process notes on its time line; [`code`] numbers every
//! result that a caller or an operator can see.

pub mod code;
pub mod config;
pub mod event;
pub mod fleet;
pub mod id;
pub mod ini;
pub mod job;
pub mod request;
pub mod table;
pub mod unit;
