//! The two programs of celerythread, as a library that both share with the tests.
//!
//! [`daemon`] is what `celerythreadd` does; [`commands`] holds the subcommands of
//! `celerythread`, one file each, over [`client`], which finds an entry that answers, and
//! [`output`], which prints for people or for programs; [`logs`] reads log lines, of which
//! [`explain`] tells one job's life and [`plot`] draws a picture.

pub mod client;
pub mod commands;
pub mod daemon;
pub mod error;
pub mod explain;
pub mod logs;
pub mod output;
pub mod plot;

pub use error::Error;
