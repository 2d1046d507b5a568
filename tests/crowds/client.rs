//! Clients that write raw bytes, and ordinary ones.

use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait of an ordinary client for each step of its request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two rounds over a crowd whose connections take no more bytes at the moment.
const ROUND_INTERVAL: Duration = Duration::from_millis(2);

/// Longest time in which a crowd sends its bytes; what isn't taken by then isn't sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest wait for the answers to a crowd.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The head of a request that submits a job.
pub(crate) fn submission_head(id: &str, framing: &str) -> String {
    format!("POST /q/{id} HTTP/1.1\r\nHost: jobs.example\r\n{framing}\r\n\r\n")
}

/// A whole request that submits a job.
pub(crate) fn submission(id: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = submission_head(id, &format!("Content-Length: {}", body.len())).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A request of an ordinary client; the status and the body, or `None` without an answer.
fn exchange(address: SocketAddr, request: &[u8]) -> Option<(u16, Vec<u8>)> {
    exchange_within(address, request, TIMEOUT)
}

/// The same with a longest wait for each step.
fn exchange_within(
    address: SocketAddr,
    request: &[u8],
    max_wait: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, max_wait).ok()?;
    stream.set_read_timeout(Some(max_wait)).ok()?;
    stream.set_write_timeout(Some(max_wait)).ok()?;
    stream.write_all(request).ok()?;
    let mut answer = Vec::new();
    let mut piece = [0; 4096];
    loop {
        if let Some(parsed) = parse(&answer) {
            return Some(parsed);
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(count) => answer.extend_from_slice(&piece[..count]),
        }
    }
}

/// The status and the body of a whole answer with a declared length.
fn parse(answer: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(Some(0), |length| length.trim().parse().ok())?;
    let body = answer.get(end..end + length)?;
    Some((status, body.to_vec()))
}

/// The status of an answer to an ordinary `GET`.
pub(crate) fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
    exchange(address, request.as_bytes()).map(|(status, _)| status)
}

/// Submits a job as an ordinary client.
pub(crate) fn submit(address: SocketAddr, id: &str, body: &[u8]) -> Option<u16> {
    exchange(address, &submission(id, body)).map(|(status, _)| status)
}

/// Submits a job as a client that waits for the answer for as long as it may.
pub(crate) fn submit_patiently(address: SocketAddr, id: &str, body: &[u8]) -> Option<u16> {
    let deadline = ANSWER_TIMEOUT.as_millis();
    let framing =
        format!("X-Celerythread-Deadline-Ms: {deadline}\r\nContent-Length: {}", body.len());
    let mut request = submission_head(id, &framing).into_bytes();
    request.extend_from_slice(body);
    exchange_within(address, &request, ANSWER_TIMEOUT).map(|(status, _)| status)
}

/// The body of the answer to an ordinary question for a job's state.
pub(crate) fn state(address: SocketAddr, id: &str) -> Option<Value> {
    let request = format!("GET /q/{id} HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
    let (_, body) = exchange(address, request.as_bytes())?;
    serde_json::from_slice(&body).ok()
}

/// One connection of a crowd.
struct Member {
    stream: TcpStream,
    bytes: Vec<u8>,
    sent: usize,
    answer: Vec<u8>,
    is_closed: bool,
}

impl Member {
    /// Sends up to `count` bytes, as far as they are taken at once.
    fn send(&mut self, count: usize) {
        let end = (self.sent + count).min(self.bytes.len());
        match self.stream.write(&self.bytes[self.sent..end]) {
            Ok(count) => self.sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
    }

    fn receive(&mut self) {
        let mut piece = [0; 1024];
        match self.stream.read(&mut piece) {
            Ok(0) => self.is_closed = true,
            Ok(count) => self.answer.extend_from_slice(&piece[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
    }
}

/// Connections that stay open until they are dropped.
pub(crate) struct Crowd(Vec<Member>);

impl Crowd {
    /// Opens a connection for each message.  Those that are refused are left out.
    pub(crate) fn connect(address: SocketAddr, messages: impl Iterator<Item = Vec<u8>>) -> Self {
        Self::connect_with(address, messages, |_| Ok(()))
    }

    /// The same with receive buffers of a length, so that the crowd's kernel takes little of the
    /// answers that the crowd doesn't read.
    pub(crate) fn connect_with_buffers(
        address: SocketAddr,
        messages: impl Iterator<Item = Vec<u8>>,
        length: usize,
    ) -> Self {
        Self::connect_with(address, messages, |socket| socket.set_recv_buffer_size(length))
    }

    fn connect_with(
        address: SocketAddr,
        messages: impl Iterator<Item = Vec<u8>>,
        prepare: impl Fn(&Socket) -> io::Result<()>,
    ) -> Self {
        let connect = |bytes| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
            prepare(&socket).ok()?;
            socket.connect_timeout(&address.into(), TIMEOUT).ok()?;
            let stream = TcpStream::from(socket);
            stream.set_nonblocking(true).ok()?;
            Some(Member { stream, bytes, sent: 0, answer: Vec::new(), is_closed: false })
        };
        Self(messages.filter_map(connect).collect())
    }

    /// Sends all messages at the same time, `piece` bytes of each in turn, until all are sent or
    /// their connections are closed.
    pub(crate) fn send(&mut self, piece: usize) {
        let began = Instant::now();
        while began.elapsed() < SEND_TIMEOUT {
            let mut is_done = true;
            for member in &mut self.0 {
                if !member.is_closed && member.sent < member.bytes.len() {
                    is_done = false;
                    member.send(piece);
                    member.receive();
                }
            }
            if is_done {
                return;
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Sends all messages, `piece` bytes of each in turn, and reads nothing, until no connection has
    /// taken any bytes for a time.
    pub(crate) fn send_unread(&mut self, piece: usize, time: Duration) {
        let began = Instant::now();
        let mut last_sent = began;
        while last_sent.elapsed() < time && began.elapsed() < SEND_TIMEOUT {
            for member in self.0.iter_mut().filter(|member| !member.is_closed) {
                let sent = member.sent;
                member.send(piece);
                if member.sent > sent {
                    last_sent = Instant::now();
                }
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Sends all messages, and reads up to `piece` bytes of each connection's answers in turn, with a
    /// pause after each round, until `is_over`, or until all connections are closed.
    pub(crate) fn read_slowly(
        &mut self,
        piece: usize,
        pause: Duration,
        is_over: impl Fn() -> bool,
    ) {
        let mut buffer = vec![0; piece];
        while !is_over() && self.0.iter().any(|member| !member.is_closed) {
            for member in self.0.iter_mut().filter(|member| !member.is_closed) {
                if member.sent < member.bytes.len() {
                    member.send(usize::MAX / 2);
                }
                match member.stream.read(&mut buffer) {
                    Ok(count) => member.is_closed = count == 0,
                    Err(error) => member.is_closed = error.kind() != ErrorKind::WouldBlock,
                }
            }
            thread::sleep(pause);
        }
    }

    /// Reads what is answered during a time.
    pub(crate) fn receive_for(&mut self, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            self.0.iter_mut().filter(|member| !member.is_closed).for_each(Member::receive);
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Reads until each connection has its answer or is closed.
    pub(crate) fn receive_answers(&mut self) {
        let began = Instant::now();
        let is_waiting = |member: &Member| !member.is_closed && parse(&member.answer).is_none();
        while began.elapsed() < ANSWER_TIMEOUT && self.0.iter().any(is_waiting) {
            self.0.iter_mut().filter(|member| is_waiting(member)).for_each(Member::receive);
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Sends all messages and keeps the connections until `is_over`, or until all are closed.
    pub(crate) fn hold(&mut self, piece: usize, is_over: impl Fn() -> bool) {
        while !is_over() && self.0.iter().any(|member| !member.is_closed) {
            for member in self.0.iter_mut().filter(|member| !member.is_closed) {
                if member.sent < member.bytes.len() {
                    member.send(piece);
                }
                member.receive();
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// The statuses of the answers that were received so far.
    pub(crate) fn statuses(&self) -> Vec<u16> {
        let status = |member: &Member| parse(&member.answer).map(|(status, _)| status);
        self.0.iter().filter_map(status).collect()
    }
}
