//! The scheduler daemon on the users' platform, as a library.
//!
//! Path of a job: [`front`] reads it from its caller, has [`submit`] write its row, and answers.
//! The owner of its service's cell learns of it by a message or by following the table, and
//! [`owner`] runs it with the decisions of `celerythread-engine`; [`admission`] refuses jobs that it
//! has no memory for.  At peak load [`delegate`] makes
//! calls to minions for owners on other entries.
//!
//! State shared between entries: [`membership`] renews this entry's row, follows the other members'
//! rows, and takes over and hands over cells; [`directory`] tells every entry where the holders of
//! cells are reached; [`follow`] follows the configuration, the waves and
//! the minions that the platform lists; [`in_force`] asks peers for the configuration when the
//! store doesn't provide it; [`peers`] sends questions to other entries and [`serve`] answers theirs; [`fleet`] carries out
//! maintenance waves and moves machines between pools.  [`confirm`] tells slow transactions from
//! lost ones; [`probe`] notices the begin and the end of an outage of the store; [`terms`] translates
//! the configuration's policies.  [`node`] is the state that all of them share, with the lock order;
//! [`rows`] defines the stored rows.
//!
//! [`settings`] is the validated INI file; [`daemon`] starts everything and shuts it down
//! gracefully; [`journal`] and [`metrics`] are the output for monitoring; [`status`] reads the
//! shared state for operators.

mod admission;
mod clock;
mod confirm;
pub mod daemon;
mod delegate;
mod directory;
mod fleet;
mod follow;
mod front;
mod home;
mod in_force;
pub mod journal;
mod membership;
pub mod metrics;
mod node;
mod owner;
mod peers;
mod probe;
mod rows;
mod serve;
pub mod settings;
pub mod status;
mod submit;
mod terms;

pub use daemon::Daemon;
pub use settings::Settings;
