//! What entry instances say to each other, over QUIC with mutual TLS.
//!
//! [`frame`] is the vocabulary, [`codec`] its bytes: a version, a length and a `postcard`
//! body.  [`identity`] loads an instance's key and the authority that its peers must come
//! from.  [`endpoint`] listens and dials; each exchange is a [`channel::Channel`] of its own.

pub mod authority;
pub mod channel;
pub mod codec;
pub mod endpoint;
pub mod error;
pub mod frame;
pub mod identity;
pub mod job;

pub use channel::Channel;
pub use endpoint::{Endpoint, Link};
pub use error::Error;
pub use frame::Frame;
pub use identity::Identity;
