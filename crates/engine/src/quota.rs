//! Limits on the resources that a workspace uses over all services, split between the cells.
//!
//! Cells have different owners and no common coordinator, so each workspace has one row in the
//! platform's store, a [`Split`], which states how much of its limit each cell may use.  A cell's
//! owner starts a task only within its [`Share`], and changes the row only on condition of its
//! version.  What runs in a cell never exceeds its share, and shares are raised only while their
//! sum stays within the limit.  So neither a lost answer, a transaction that is committed late, nor
//! two owners of one cell can make a workspace exceed its limit.
//!
//! [`split`] is the stored state, [`account`] what a cell's owner knows and decides about one
//! workspace.

pub mod account;
pub mod split;

pub use account::{Account, Holder, Summary};
pub use split::{Change, Limit, Share, Split};
