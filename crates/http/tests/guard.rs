//! The guard around `async-h1`: each hazard that was measured in it, at both ends.

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

const WAIT: Duration = Duration::from_millis(500);

/// Answers each connection with fixed bytes, then closes it.
async fn raw_server(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = vec![0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(answer).await;
        }
    });
    address
}

async fn fetch(answer: &'static [u8]) -> Result<(u16, Vec<u8>), (Phase, Fault)> {
    let address = raw_server(answer).await;
    let request = client::request(Method::Get, address, "/").unwrap();
    match client::fetch(address, request, WAIT, 1 << 20).await {
        Ok((head, body)) => Ok((head.status().into(), body)),
        Err(failure) => Err((failure.phase, failure.fault)),
    }
}

/// A chain pays on a report of which the last pages are missing.  The minion dies within its
/// answer; async-h1 alone returns the 60 bytes it got of 100 as a success.
#[async_std::test]
async fn a_truncated_answer_is_an_error() {
    let answer = fetch(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf").await;
    assert_matches!(answer, Err((Phase::ResponseStarted, Fault::Truncated)));
}

#[async_std::test]
async fn a_chunked_answer_cut_before_its_end_is_an_error() {
    let answer = fetch(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n").await;
    assert_matches!(answer, Err((Phase::ResponseStarted, Fault::Truncated)));
}

#[async_std::test]
async fn a_chunked_answer_is_read_whole() {
    let answer = fetch(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nhalf\r\n5\r\n more\r\n0\r\nT: v\r\n\r\n",
    );
    assert_matches!(answer.await, Ok((200, body)) if body == b"half more");
}

/// An answer without a length is whole or cut: nobody can tell.  async-h1 alone returns an
/// empty body; here the caller learns that the end is the connection's, and decides.
#[async_std::test]
async fn an_answer_without_a_length_is_told_as_such() {
    let address = raw_server(b"HTTP/1.1 200 OK\r\n\r\nbody").await;
    let mut connection = Connection::open(address, WAIT).await.unwrap();
    let request = client::request(Method::Get, address, "/").unwrap();
    let answer = connection.send(request, WAIT).await.unwrap();
    assert_eq!(answer.length, Length::UntilClose);
}

/// A caller gets the answer to the request before its own.  A minion sends `100 Continue` and
/// then its answer; async-h1 alone takes the first for the answer, and the second waits on the
/// connection for the next request.
#[async_std::test]
async fn an_interim_answer_is_skipped() {
    let answer =
        fetch(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    assert_matches!(answer.await, Ok((200, body)) if body == b"body");
}

#[async_std::test]
async fn conflicting_lengths_of_an_answer_are_an_error() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
    ] {
        assert_matches!(fetch(answer).await, Err((_, Fault::ConflictingLength { .. })));
    }
}

#[async_std::test]
async fn the_phase_tells_a_closed_connection_from_a_begun_answer() {
    assert_matches!(fetch(b"").await, Err((Phase::AllWritten, _)));
    assert_matches!(fetch(b"HTTP/1.1 200 OK\r\nCont").await, Err((Phase::ResponseStarted, _)));
    let nobody: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let request = client::request(Method::Get, nobody, "/").unwrap();
    let failure = client::fetch(nobody, request, WAIT, 10).await.unwrap_err();
    assert_eq!(failure.phase, Phase::Connecting);
}

/// A connection that something in between has forgotten stays open and silent.
#[async_std::test]
async fn silence_is_found_out() {
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
    let mut connection = Connection::open(address, WAIT).await.unwrap();
    let request = client::request(Method::Get, address, "/").unwrap();
    let answer = connection.send(request, WAIT).await.unwrap();
    connection.read_body(answer.length, WAIT, 10).await.unwrap();
    assert!(connection.is_stale().await);
}

/// Echoes bodies and remembers them; `/short` answers with less than it declares.
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

struct Served {
    address: SocketAddr,
    echo: Arc<Echo>,
    closing: Option<StopSource>,
    _ended: StopSource,
}

async fn serve() -> Served {
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
    Served { address, echo, closing: Some(closing), _ended: ended }
}

/// Sends bytes and reads everything up to the end of the connection.
async fn talk(address: SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    if close {
        stream.shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut answer = Vec::new();
    let _ = async_std::future::timeout(WAIT * 2, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Half a write-down is booked.  A shop's connection breaks within its request; async-h1 alone
/// hands the five bytes that came to the handler as the whole body.
#[async_std::test]
async fn half_a_request_is_never_handled() {
    let served = serve().await;
    let request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n12345";
    let answer = talk(served.address, request, true).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.ends_with("1005"), "{answer}");
    assert!(served.echo.bodies.lock().unwrap().is_empty());
}

/// Two uploads are sent at once on one connection and one is never answered: async-h1 alone
/// reads the second with the first and drops it.
#[async_std::test]
async fn pipelined_requests_are_all_answered() {
    let served = serve().await;
    let two = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\naPOST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb";
    let answer = talk(served.address, two, false).await;
    assert_eq!(answer.matches("200 OK").count(), 2, "{answer}");
    assert_eq!(*served.echo.bodies.lock().unwrap(), [b"a".to_vec(), b"b".to_vec()]);
}

#[async_std::test]
async fn every_bad_head_gets_a_numbered_answer() {
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
        let answer = talk(served.address, request.as_bytes(), false).await;
        let start = format!("HTTP/1.1 {status}");
        assert!(answer.starts_with(&start), "{request:.60?}: {answer}");
        assert!(answer.ends_with(&code.to_string()), "{request:.60?}: {answer}");
    }
    assert!(served.echo.bodies.lock().unwrap().is_empty());
}

#[async_std::test]
async fn a_chunked_request_is_handled_whole() {
    let served = serve().await;
    let request = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let answer = talk(served.address, request, false).await;
    assert!(answer.ends_with("abc"), "{answer}");
}

#[async_std::test]
async fn continue_comes_before_the_answer() {
    let served = serve().await;
    let request = b"POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nConnection: close\r\nContent-Length: 1\r\n\r\na";
    let answer = talk(served.address, request, false).await;
    assert!(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{answer}");
}

/// A caller takes the next answer's head for the rest of a body.  A handler's body falls short;
/// async-h1 alone keeps the connection open.
#[async_std::test]
async fn a_short_answer_ends_the_connection() {
    let served = serve().await;
    let two = b"GET /short HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n";
    let answer = talk(served.address, two, false).await;
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
}

#[async_std::test]
async fn a_closing_server_says_so_on_its_answers() {
    let mut served = serve().await;
    drop(served.closing.take());
    let answer = talk(served.address, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", false).await;
    assert!(answer.contains("connection: close"), "{answer}");
}

/// A network partition holds a request up; its sender gives up and another holder takes over;
/// the partition ends, and the old request is delivered after the new holder's.  A sender that
/// resets the connection as it gives up takes the bytes back.
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

/// Lets in what names a key, and counts what it handles.
#[derive(Default)]
struct Guarded(Mutex<u32>);

#[async_trait]
impl Handler for Guarded {
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

/// Guards against a caller without a key that holds a connection with its body, and against an answer that is lost
/// because the body was left unread: the answer comes before the body, and the connection goes on.
#[async_std::test]
async fn a_request_is_refused_before_its_body() {
    let handler = Arc::new(Guarded::default());
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
    let mut answer = vec![0; 1024];
    let read = async_std::future::timeout(WAIT, stream.read(&mut answer)).await.unwrap().unwrap();
    assert!(answer[..read].starts_with(b"HTTP/1.1 401"));
    stream
        .write_all(
            b"bodyPOST / HTTP/1.1\r\nHost: a\r\nAuthorization: x\r\nContent-Length: 0\r\n\r\n",
        )
        .await
        .unwrap();
    let read = async_std::future::timeout(WAIT, stream.read(&mut answer)).await.unwrap().unwrap();
    assert!(answer[..read].starts_with(b"HTTP/1.1 200"));
    assert_eq!(*handler.0.lock().unwrap(), 1);
}
