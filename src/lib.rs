//! Library behind the two programs of celerythread, shared with the tests.
//!
//! [`daemon`] runs `celerythreadd`.  [`commands`] holds the subcommands of `celerythread`, one file
//! each: [`client`] sends their requests to an entry that answers, and [`output`] prints tables or
//! JSON.  [`logs`] reads entries' log lines; [`explain`] reconstructs the history of one job from
//! them, and [`plot`] draws a time line.

pub mod client;
pub mod commands;
pub mod daemon;
pub mod error;
pub mod explain;
pub mod logs;
pub mod output;
pub mod plot;

pub use error::Error;
