//! Message heads: read completely and validated before they are passed to `async-h1`.

use crate::Fault;
use crate::fault;
use crate::stream::Stream;
use std::time::{Duration, Instant};

/// Largest head, in bytes.  `async-h1` rejects heads of 8 KiB and more without a response; this
/// limit is lower, so that a response is always sent.
pub const MAX_HEAD_LEN: usize = 8 * 1024 - 256;

/// Most headers in a head; `async-h1` allows 128.
pub const MAX_HEADERS: usize = 100;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Length {
    /// This many bytes follow.
    Exact(u64),
    /// Chunks follow, the last one empty.
    Chunked,
    /// The body ends with the connection, so a truncated body cannot be detected.
    UntilClose,
}

/// A validated request head, with what the framing needs of it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The head as received, including the empty line.
    pub bytes: Vec<u8>,
    /// The method.
    pub method: String,
    /// The request target.
    pub target: String,
    /// How the end of the body is found.
    pub length: Length,
    /// Whether the client waits for `100 Continue`.
    pub expects_continue: bool,
    /// Whether the client will use the connection again.
    pub keep_alive: bool,
}

/// A validated response head, with what the framing needs of it.
#[derive(Clone, Debug)]
pub struct Response {
    /// The head as received, including the empty line.
    pub bytes: Vec<u8>,
    /// The status.
    pub status: u16,
    /// How the end of the body is found.
    pub length: Length,
    /// Whether the server will keep the connection open.
    pub keep_alive: bool,
}

/// Reads the bytes of one head, including the empty line.
///
/// `timeout` bounds the whole head and not each read, so a client that sends single bytes slowly
/// cannot hold a connection.
///
/// # Errors
/// `Closed` when the stream ended before the first byte, `Truncated` within the head,
/// `HeadTooLarge` and `Timeout`.
pub async fn read(stream: &mut Stream, timeout: Duration) -> Result<Vec<u8>, Fault> {
    let started = Instant::now();
    let mut searched = 0;
    loop {
        if let Some(end) = find_end(stream.buffered(), searched) {
            if end > MAX_HEAD_LEN {
                return fault::HeadTooLargeSnafu { limit: MAX_HEAD_LEN }.fail();
            }
            return Ok(stream.consume(end));
        }
        searched = stream.buffered().len();
        if searched > MAX_HEAD_LEN {
            return fault::HeadTooLargeSnafu { limit: MAX_HEAD_LEN }.fail();
        }
        let remaining = timeout.saturating_sub(started.elapsed());
        let count = stream.fill(remaining, "reading a head").await?;
        if count == 0 {
            return if searched == 0 {
                fault::ClosedSnafu.fail()
            } else {
                fault::TruncatedSnafu.fail()
            };
        }
    }
}

/// The length of the head in `bytes`, if it is complete; the first `searched` bytes hold no end.
fn find_end(bytes: &[u8], searched: usize) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    let from = searched.saturating_sub(END.len());
    let found = bytes[from..].windows(END.len()).position(|window| window == END);
    found.map(|at| from + at + END.len())
}

impl Request {
    /// Validates a request head.
    ///
    /// # Errors
    /// `Malformed`, `HeadTooLarge`, `ConflictingLength` and `UnsupportedCoding`.
    pub fn parse(bytes: Vec<u8>) -> Result<Self, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        check_complete(request.parse(&bytes))?;
        if request.version != Some(1) {
            return malformed("only HTTP/1.1 is spoken");
        }
        let method = request.method.unwrap_or_default().to_owned();
        let target = request.path.unwrap_or_default().to_owned();
        if method.parse::<http_types::Method>().is_err() {
            return malformed("the method is not known");
        }
        if !target.starts_with('/') {
            return malformed("the target does not start with a slash");
        }
        let fields = FramingFields::new(request.headers)?;
        if fields.hosts != 1 {
            return malformed("there must be exactly one Host");
        }
        let length = fields.length()?.unwrap_or(Length::Exact(0));
        let (expects_continue, keep_alive) = (fields.expects_continue, !fields.close);
        Ok(Self { bytes, method, target, length, expects_continue, keep_alive })
    }
}

impl Response {
    /// Validates the head of a response to a request with `method`.
    ///
    /// # Errors
    /// `Malformed`, `HeadTooLarge`, `ConflictingLength` and `UnsupportedCoding`.
    pub fn parse(bytes: Vec<u8>, method: &str) -> Result<Self, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        check_complete(response.parse(&bytes))?;
        if response.version != Some(1) {
            return malformed("only HTTP/1.1 is spoken");
        }
        let status = response.code.unwrap_or_default();
        let fields = FramingFields::new(response.headers)?;
        let bodyless = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let length = match fields.length()? {
            _ if bodyless => Length::Exact(0),
            Some(length) => length,
            None => Length::UntilClose,
        };
        Ok(Self { bytes, status, length, keep_alive: !fields.close })
    }
}

fn check_complete(result: httparse::Result<usize>) -> Result<(), Fault> {
    match result {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        Ok(httparse::Status::Partial) => malformed("incomplete"),
        Err(httparse::Error::TooManyHeaders) => {
            fault::HeadTooLargeSnafu { limit: MAX_HEAD_LEN }.fail()
        }
        Err(error) => malformed(error),
    }
}

fn malformed<T>(reason: impl ToString) -> Result<T, Fault> {
    fault::MalformedSnafu { reason: reason.to_string() }.fail()
}

/// The header fields that decide the framing.
struct FramingFields {
    lengths: Vec<String>,
    codings: Vec<String>,
    hosts: usize,
    expects_continue: bool,
    close: bool,
}

impl FramingFields {
    fn new(headers: &[httparse::Header<'_>]) -> Result<Self, Fault> {
        let mut fields = FramingFields {
            lengths: Vec::new(),
            codings: Vec::new(),
            hosts: 0,
            expects_continue: false,
            close: false,
        };
        for header in headers {
            let Ok(value) = std::str::from_utf8(header.value) else {
                return malformed(format!("{} is not text", header.name));
            };
            fields.record(&header.name.to_ascii_lowercase(), value.trim());
        }
        Ok(fields)
    }

    fn record(&mut self, name: &str, value: &str) {
        match name {
            "content-length" => self.lengths.extend(value.split(',').map(|v| v.trim().into())),
            "transfer-encoding" => self.codings.push(value.to_ascii_lowercase()),
            "host" => self.hosts += 1,
            "expect" => self.expects_continue |= value.eq_ignore_ascii_case("100-continue"),
            "connection" => {
                self.close |= value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"));
            }
            _ => {}
        }
    }

    /// The framing, or an error where two parsers could disagree about it, which would allow
    /// request smuggling.
    fn length(&self) -> Result<Option<Length>, Fault> {
        let conflict = |reason: &str| fault::ConflictingLengthSnafu { reason }.fail();
        if !self.codings.is_empty() && !self.lengths.is_empty() {
            return conflict("both Content-Length and Transfer-Encoding");
        }
        match self.codings.as_slice() {
            [] => {}
            [coding] if coding == "chunked" => return Ok(Some(Length::Chunked)),
            [coding, ..] => return fault::UnsupportedCodingSnafu { coding }.fail(),
        }
        let Some(first) = self.lengths.first() else { return Ok(None) };
        if self.lengths.iter().any(|length| length != first) {
            return conflict("two different Content-Length");
        }
        if first.is_empty() || !first.bytes().all(|b| b.is_ascii_digit()) {
            return conflict("Content-Length is not a number");
        }
        match first.parse() {
            Ok(length) => Ok(Some(Length::Exact(length))),
            Err(_) => conflict("Content-Length is too large"),
        }
    }
}
