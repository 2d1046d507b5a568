//! Writing of responses.

use crate::Fault;
use crate::server::Limits;
use crate::stream::Stream;
use async_std::io::ReadExt;
use http_types::{Method, Response};

/// Most bytes of a response written at once.
const MAX_WRITE_LEN: usize = 64 * 1024;

/// Length of an ordinary response's head, at most.
const HEAD_LEN: usize = 1024;

/// Writes a response.  A response whose body fails or is shorter than declared ends the connection,
/// so that the client detects the error and never reads the next head as part of the body.
pub(super) async fn write_response(
    stream: &mut Stream,
    mut response: Response,
    method: Method,
    keep_alive: bool,
    limits: &Limits,
) -> Result<(), Fault> {
    if !keep_alive {
        response.insert_header("connection", "close");
    }
    let declared = response.len().filter(|_| method != Method::Head);
    let mut encoder = async_h1::server::Encoder::new(response, method);
    let length = declared.map_or(MAX_WRITE_LEN, |length| length.saturating_add(HEAD_LEN));
    let mut piece = vec![0; length.min(MAX_WRITE_LEN)];
    let mut counter = BodyCounter::new(declared);
    loop {
        let count = encoder.read(&mut piece).await.map_err(|source| Fault::Io { source })?;
        if count == 0 {
            break;
        }
        counter.record(&piece[..count]);
        stream.write_all(&piece[..count], limits.progress_timeout.0).await?;
    }
    if counter.is_short() { Err(Fault::Truncated) } else { Ok(()) }
}

/// Counts the bytes of the body, after the head, of an encoded response.
struct BodyCounter {
    declared: Option<usize>,
    in_head: bool,
    head_bytes: Vec<u8>,
    body: usize,
}

impl BodyCounter {
    fn new(declared: Option<usize>) -> Self {
        Self { declared, in_head: true, head_bytes: Vec::new(), body: 0 }
    }

    fn record(&mut self, bytes: &[u8]) {
        if !self.in_head {
            self.body += bytes.len();
            return;
        }
        self.head_bytes.extend_from_slice(bytes);
        if let Some(at) = self.head_bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            self.in_head = false;
            self.body = self.head_bytes.len() - at - 4;
            self.head_bytes = Vec::new();
        }
    }

    fn is_short(&self) -> bool {
        self.declared.is_some_and(|declared| self.body < declared)
    }
}
