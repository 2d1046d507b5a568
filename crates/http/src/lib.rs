//! HTTP/1.1 for callers, upstreams, the platform and operators.
//!
//! `async-h1` parses heads and encodes messages, but by itself it lets a short body pass for a
//! whole one, drops pipelined requests and closes without an answer on a bad head (measured;
//! see `docs/design/http-guard.md`).  So every message is framed here first: [`head`] reads
//! and validates a head with `httparse`, [`body`] yields exactly the bytes that the framing
//! promises or an error, and only then does `async-h1` see the head.  [`server`] and
//! [`client`] are the two ends, [`listener`] accepts connections for the first; [`stream`] is the buffered connection that both share.

pub mod body;
pub mod client;
pub mod fault;
pub mod head;
pub mod listener;
pub mod server;
pub mod stream;

pub use fault::Fault;
