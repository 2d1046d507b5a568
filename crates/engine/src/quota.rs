//! What a workspace may have running over all minions and services, split between the cells.
//!
//! Cells have different owners and nothing stands above them, so each workspace has one row in the platform's
//! store, a [`Split`], which says how much of its limit each cell may use.  A cell's owner starts a task only
//! within its [`Share`], and changes the row only on condition of its version.  What runs in a cell never
//! exceeds its share, and shares are raised only while their sum stays within the limit, so neither a lost
//! answer, a transaction that is carried out late, nor two owners in doubt can bring more to run than the limit.
//!
//! [`split`] is what is kept, [`account`] what a cell's owner knows and decides of one workspace.

pub mod account;
pub mod split;

pub use account::{Account, Holder, Summary};
pub use split::{Change, Limit, Share, Split};
