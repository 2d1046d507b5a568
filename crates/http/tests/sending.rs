//! Memory of requests that are sent to servers which don't read them.

use celerythread_http::client::{self, Connection, SharedBody};
use futures::future::join_all;
use http_types::Method;
use std::fs;
use std::net::TcpListener;
use std::time::Duration;

/// Requests that are sent at the same time.
const REQUESTS: usize = 32;

/// Length of the body that they share.
const BODY_LEN: usize = 8 << 20;

/// How long each request waits for its server.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Anonymous resident memory of this process at its peak so far, in bytes.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let value = |name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() << 10
    };
    // Pages of the program itself aren't counted.
    value("VmHWM:").saturating_sub(value("RssFile:"))
}

/// Guards against a process that runs out of memory because each request to a slow server holds its
/// body again, encoded.
#[async_std::test]
async fn requests_to_silent_servers_share_their_body() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let body = SharedBody::from(vec![b'x'; BODY_LEN]);
    let before = peak_memory();
    let sent = join_all((0..REQUESTS).map(async |_| {
        let mut connection = Connection::open(address, MAX_WAIT).await.unwrap();
        let mut request = client::request(Method::Post, address, "/").unwrap();
        request.set_body(body.to_body());
        connection.send(request, MAX_WAIT).await.unwrap_err().phase
    }))
    .await;
    assert_eq!(sent, [client::Phase::PartWritten; REQUESTS]);
    let held = peak_memory().saturating_sub(before);
    assert!(held <= BODY_LEN as u64, "{} KiB for the copies of {BODY_LEN} bytes", held >> 10);
}
