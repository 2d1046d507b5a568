//! The data model of celerythread: ids, units, states, table rows and result codes.
//!
//! Nothing here performs input or output, reads a clock or starts a task, so every other
//! crate can share these types.  [`config`] parses an operator's template and parameters into
//! a validated [`config::Document`]; [`fleet`] and [`job`] are the rows stored in the platform's
//! table; [`event`] has the events that each process records on its timeline; [`code`] numbers
//! every result that a caller or an operator can see.

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
