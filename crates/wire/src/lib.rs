//! The protocol between entry instances, over QUIC with mutual TLS.
//!
//! [`frame`] defines the messages and [`codec`] their encoding: a version, a length and a
//! `postcard` body.  [`identity`] loads an instance's key and the authority that must have signed
//! its peers' certificates.  [`endpoint`] accepts and dials links; each exchange is a
//! [`channel::Channel`] of its own.

pub mod authority;
pub mod channel;
pub mod codec;
pub mod endpoint;
pub mod error;
pub mod frame;
pub mod identity;
pub mod job;
pub mod minion;

pub use channel::Channel;
pub use endpoint::{Endpoint, Link};
pub use error::Error;
pub use frame::Frame;
pub use identity::Identity;
