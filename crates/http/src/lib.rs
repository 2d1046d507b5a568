//! HTTP/1.1 for callers, upstreams, the platform and operators.
//!
//! `async-h1` parses heads and encodes messages, but by itself it accepts a truncated body as
//! complete, drops pipelined requests and closes the connection without a response to a bad head
//! (see `docs/design/http-guard.md`).  So every message is framed here first: [`head`] reads
//! and validates a head with `httparse`, [`body`] yields exactly the bytes that the framing
//! declares or an error, and only then does `async-h1` see the head.  [`listener`] accepts
//! connections for [`server`]; [`server`] and [`client`] share the buffered connection of
//! [`stream`].  What clients can make the process hold is limited: [`memory`] is reserved before
//! bytes are held, and [`connections`] are closed for others.

pub mod body;
pub mod client;
pub mod connections;
pub mod fault;
pub mod head;
pub mod listener;
pub mod memory;
pub mod server;
pub mod stream;

pub use fault::{Fault, Limit};
