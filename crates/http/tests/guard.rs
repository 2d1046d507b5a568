//! The framing around `async-h1`: each known defect of `async-h1`, for client and server.

use assert_matches::assert_matches;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use celerythread_http::Fault;
use celerythread_http::client::{self, Connection, Phase};
use celerythread_http::head::Length;
use celerythread_http::server::{self, Handler, Limits, Request, Stop};
use celerythread_model::code::Code;
use celerythread_model::unit::{Bytes, Span};
use http_types::{Body, Method, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use stop_token::StopSource;

const TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a server that sends fixed bytes on each connection and closes it.
async fn raw_server(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(response).await;
        }
    });
    address
}

async fn fetch(response: &'static [u8]) -> Result<(u16, Vec<u8>), (Phase, Fault)> {
    let address = raw_server(response).await;
    let request = client::request(Method::Get, address, "/").unwrap();
    match client::fetch(address, request, TIMEOUT, 1 << 20).await {
        Ok((head, body)) => Ok((head.status().into(), body)),
        Err(failure) => Err((failure.phase, failure.fault)),
    }
}

/// Guards against accepting a truncated response: a minion dies while it sends.  async-h1 alone
/// returns the bytes received so far, for example 60 of 100, as a success.
#[async_std::test]
async fn a_truncated_answer_is_an_error() {
    let response = fetch(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf").await;
    assert_matches!(response, Err((Phase::ResponseStarted, Fault::Truncated)));
}

#[async_std::test]
async fn a_chunked_answer_cut_before_its_end_is_an_error() {
    let response =
        fetch(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n").await;
    assert_matches!(response, Err((Phase::ResponseStarted, Fault::Truncated)));
}

#[async_std::test]
async fn a_chunked_answer_is_read_whole() {
    let response = fetch(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nhalf\r\n5\r\n more\r\n0\r\nT: v\r\n\r\n",
    );
    assert_matches!(response.await, Ok((200, body)) if body == b"half more");
}

/// A truncated response without a length cannot be told from a complete one.  async-h1 alone
/// returns an empty body; here `Length::UntilClose` leaves the decision to the client.
#[async_std::test]
async fn a_response_without_a_length_is_until_close() {
    let address = raw_server(b"HTTP/1.1 200 OK\r\n\r\nbody").await;
    let mut connection = Connection::open(address, TIMEOUT).await.unwrap();
    let request = client::request(Method::Get, address, "/").unwrap();
    let response = connection.send(request, TIMEOUT).await.unwrap();
    assert_eq!(response.length, Length::UntilClose);
}

/// Guards against a caller getting the response to an earlier request: a minion sends
/// `100 Continue` and then its response.  async-h1 alone returns the first as the response and
/// leaves the second on the connection for the next request.
#[async_std::test]
async fn an_interim_answer_is_skipped() {
    let response =
        fetch(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    assert_matches!(response.await, Ok((200, body)) if body == b"body");
}

#[async_std::test]
async fn conflicting_lengths_of_an_answer_are_an_error() {
    for response in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
    ] {
        assert_matches!(fetch(response).await, Err((_, Fault::ConflictingLength { .. })));
    }
}

#[async_std::test]
async fn the_phase_distinguishes_a_closed_connection_from_a_started_response() {
    assert_matches!(fetch(b"").await, Err((Phase::AllWritten, _)));
    assert_matches!(fetch(b"HTTP/1.1 200 OK\r\nCont").await, Err((Phase::ResponseStarted, _)));
    let nobody: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let request = client::request(Method::Get, nobody, "/").unwrap();
    let failure = client::fetch(nobody, request, TIMEOUT, 10).await.unwrap_err();
    assert_eq!(failure.phase, Phase::Connecting);
}

/// A connection dropped by a middlebox stays open, but no bytes arrive.
#[async_std::test]
async fn a_silent_server_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request = client::request(Method::Get, address, "/").unwrap();
    let failure = client::fetch(address, request, Duration::from_millis(50), 10).await.unwrap_err();
    assert_matches!((failure.phase, failure.fault), (Phase::AllWritten, Fault::Timeout { .. }));
}

#[async_std::test]
async fn a_connection_with_unread_bytes_is_stale() {
    let address =
        raw_server(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n").await;
    let mut connection = Connection::open(address, TIMEOUT).await.unwrap();
    let request = client::request(Method::Get, address, "/").unwrap();
    let response = connection.send(request, TIMEOUT).await.unwrap();
    connection.read_body(response.length, TIMEOUT, 10).await.unwrap();
    assert!(connection.is_stale().await);
}

/// Echoes and records bodies; the response of `/short` is shorter than declared.
#[derive(Default)]
struct Echo {
    bodies: Mutex<Vec<Vec<u8>>>,
}

#[async_trait]
impl Handler for Echo {
    async fn handle(&self, request: Request) -> Response {
        self.bodies.lock().unwrap().push(request.body.clone());
        let mut response = Response::new(StatusCode::Ok);
        if request.path() == "/short" {
            let half = async_std::io::Cursor::new(b"half".to_vec());
            response.set_body(Body::from_reader(half, Some(100)));
        } else {
            response.set_body(request.body);
        }
        response
    }

    fn error_response(&self, fault: &Fault) -> Response {
        let code: Code = fault.request_code();
        let status = StatusCode::try_from(code.meaning().status).unwrap();
        let mut response = Response::new(status);
        response.set_body(code.number().to_string());
        response
    }
}

struct TestServer {
    address: SocketAddr,
    echo: Arc<Echo>,
    closing: Option<StopSource>,
    _ended: StopSource,
}

async fn serve() -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo = Arc::new(Echo::default());
    let (closing, ended) = (StopSource::new(), StopSource::new());
    let stop = Stop { closing: closing.token(), ended: ended.token() };
    let handler = echo.clone();
    task::spawn(async move {
        let limits = Limits {
            max_body: Bytes(1000),
            head_timeout: Span::millis(300),
            progress_timeout: Span::millis(300),
            ..Limits::default()
        };
        while let Ok((stream, _)) = listener.accept().await {
            let (handler, limits, stop) = (handler.clone(), limits.clone(), stop.clone());
            task::spawn(async move { server::serve(stream, handler, &limits, &stop).await });
        }
    });
    TestServer { address, echo, closing: Some(closing), _ended: ended }
}

/// Sends bytes and reads until the connection ends or a timeout.
async fn send_raw(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if close {
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut response = Vec::new();
    let _ = async_std::future::timeout(TIMEOUT * 2, stream.read_to_end(&mut response)).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against handling a truncated request: a caller's connection breaks within its request.
/// async-h1 alone passes the five bytes received to the handler as the whole body.
#[async_std::test]
async fn half_a_request_is_never_handled() {
    let served = serve().await;
    let request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345";
    let response = send_raw(served.address, request, true).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(response.ends_with("1005"), "{response}");
    assert!(served.echo.bodies.lock().unwrap().is_empty());
}

/// Guards against losing a pipelined request: async-h1 alone reads the second request together with
/// the first and drops it.
#[async_std::test]
async fn pipelined_requests_are_all_answered() {
    let served = serve().await;
    let two = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\naPOST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb";
    let response = send_raw(served.address, two, false).await;
    assert_eq!(response.matches("200 OK").count(), 2, "{response}");
    assert_eq!(*served.echo.bodies.lock().unwrap(), [b"a".to_vec(), b"b".to_vec()]);
}

#[async_std::test]
async fn each_bad_request_gets_its_status_and_code() {
    let served = serve().await;
    let long = format!("GET / HTTP/1.1\r\nHost: x\r\nA: {}\r\n\r\n", "a".repeat(9000));
    let many = format!("GET / HTTP/1.1\r\nHost: x\r\n{}\r\n", "A: b\r\n".repeat(120));
    for (request, status, code) in [
        ("nonsense\r\n\r\n", 400, 1001),
        ("GET / HTTP/1.1\r\n\r\n", 400, 1001),
        ("GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400, 1001),
        ("GET / HTTP/1.0\r\nHost: x\r\n\r\n", 400, 1001),
        ("BREW / HTTP/1.1\r\nHost: x\r\n\r\n", 400, 1001),
        ("GET x HTTP/1.1\r\nHost: x\r\n\r\n", 400, 1001),
        (&long, 431, 1002),
        (&many, 431, 1002),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            400,
            1003,
        ),
        (
            "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            1003,
        ),
        ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n", 413, 1004),
        ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, 1001),
        ("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 501, 1023),
        // Stalled within the head, and within the body.
        ("GET / HTTP/1.1\r\nHo", 408, 1006),
        ("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", 408, 1006),
    ] {
        let response = send_raw(served.address, request.as_bytes(), false).await;
        let start = format!("HTTP/1.1 {status}");
        assert!(response.starts_with(&start), "{request:.60?}: {response}");
        assert!(response.ends_with(&code.to_string()), "{request:.60?}: {response}");
    }
    assert!(served.echo.bodies.lock().unwrap().is_empty());
}

#[async_std::test]
async fn a_chunked_request_is_handled_whole() {
    let served = serve().await;
    let request = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let response = send_raw(served.address, request, false).await;
    assert!(response.ends_with("abc"), "{response}");
}

#[async_std::test]
async fn continue_comes_before_the_answer() {
    let served = serve().await;
    let request = b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 1\r\n\r\na";
    let response = send_raw(served.address, request, false).await;
    assert!(response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{response}");
}

/// Guards against a caller reading the next response's head as the rest of a body: a handler's body
/// is shorter than declared, and async-h1 alone keeps the connection open.
#[async_std::test]
async fn a_short_answer_ends_the_connection() {
    let served = serve().await;
    let two = b"GET /short HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let response = send_raw(served.address, two, false).await;
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
}

#[async_std::test]
async fn a_closing_server_says_so_on_its_answers() {
    let mut served = serve().await;
    drop(served.closing.take());
    let response = send_raw(served.address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", false).await;
    assert!(response.contains("connection: close"), "{response}");
}

/// Guards against a delayed request of a former lease holder: a network partition delays a request,
/// its sender times out, another holder takes over, and when the partition heals the old request
/// arrives after the new holder's.  Resetting the connection discards the bytes not yet delivered.
#[async_std::test]
async fn a_connection_that_is_given_up_is_reset() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let wait = std::time::Duration::from_secs(2);
    let connection = celerythread_http::client::Connection::open_with_abortive_close(address, wait);
    let connection = connection.await.unwrap();
    let (mut accepted, _) = listener.accept().unwrap();
    drop(connection);
    let read = std::io::Read::read(&mut accepted, &mut [0; 8]);
    let error = read.expect_err("a connection that is merely closed reads as ended");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Admits requests with an `Authorization` header, and counts those that it handles.
#[derive(Default)]
struct KeyRequired(Mutex<u32>);

#[async_trait]
impl Handler for KeyRequired {
    fn admit(&self, head: &http_types::Request) -> Option<Response> {
        head.header("authorization").is_none().then(|| Response::new(StatusCode::Unauthorized))
    }

    async fn handle(&self, _: Request) -> Response {
        *self.0.lock().unwrap() += 1;
        Response::new(StatusCode::Ok)
    }

    fn error_response(&self, _: &Fault) -> Response {
        Response::new(StatusCode::BadRequest)
    }
}

/// Guards against a caller without a key that occupies a connection with its body, and against a
/// response lost because the body was left unread: the response is sent before the body is read,
/// and the connection stays usable.
#[async_std::test]
async fn a_request_is_refused_before_its_body() {
    let handler = Arc::new(KeyRequired::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = handler.clone();
    task::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let source = StopSource::new();
        let stop = Stop { closing: source.token(), ended: source.token() };
        server::serve(stream, served, &Limits::default(), &stop).await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n").await.unwrap();
    let mut response = vec![0; 1024];
    let read =
        async_std::future::timeout(TIMEOUT, stream.read(&mut response)).await.unwrap().unwrap();
    assert!(response[..read].starts_with(b"HTTP/1.1 401"));
    stream
        .write_all(
            b"bodyPOST / HTTP/1.1\r\nHost: a\r\nAuthorization: x\r\nContent-Length: 0\r\n\r\n",
        )
        .await
        .unwrap();
    let read =
        async_std::future::timeout(TIMEOUT, stream.read(&mut response)).await.unwrap().unwrap();
    assert!(response[..read].starts_with(b"HTTP/1.1 200"));
    assert_eq!(*handler.0.lock().unwrap(), 1);
}
