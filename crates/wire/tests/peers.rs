//! Frames and links between entries.

use assert_matches::assert_matches;
use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task;
use celerythread_engine::cell::{End, EndReason, Incarnation, Order, Report, Running};
use celerythread_engine::job::TaskName;
use celerythread_model::code::Code;
use celerythread_model::unit::Revision;
use celerythread_wire::authority::{self, Pair};
use celerythread_wire::endpoint::Settings;
use celerythread_wire::minion::{Answer, Call, Outcome, Request};
use celerythread_wire::{Endpoint, Error, Frame, Identity, codec};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn identity(authority: &Pair, name: &str) -> Identity {
    let pair = authority::issue(authority, name).unwrap();
    let (a, c, k) = (&authority.certificate, &pair.certificate, &pair.key);
    Identity::from_pem(a.as_bytes(), c.as_bytes(), k.as_bytes()).unwrap()
}

fn endpoint(authority: &Pair, name: &str) -> Arc<Endpoint> {
    let identity = identity(authority, name);
    Arc::new(Endpoint::bind(any_port(), &identity, &Settings::default()).unwrap())
}

/// Answers every exchange of every link with the frame it received.
fn echo(endpoint: Arc<Endpoint>) {
    task::spawn(async move {
        while let Some(accepted) = endpoint.accept().await {
            let Ok(link) = accepted else { continue };
            task::spawn(async move {
                while let Ok(mut channel) = link.accept().await {
                    if let Ok(frame) = channel.receive().await {
                        let _ = channel.send(&frame).await;
                        channel.finish();
                    }
                }
            });
        }
    });
}

#[async_std::test]
async fn peers_of_one_authority_exchange_frames() {
    let authority = authority::create("test").unwrap();
    let (a, b) = (endpoint(&authority, "a"), endpoint(&authority, "b"));
    echo(b.clone());
    let link = a.dial(b.local_address().unwrap()).await.unwrap();
    let mut channel = link.open().await.unwrap();
    let frame = Frame::Rows { since: Revision(7) };
    channel.send(&frame).await.unwrap();
    assert_eq!(channel.receive().await.unwrap(), frame);
}

/// Guards against disclosure of the fleet's rows to anybody on the network: a peer whose
/// certificate is not signed by the authority gets no answer.
#[async_std::test]
async fn a_peer_of_another_authority_is_refused() {
    let (ours, theirs) = (authority::create("test").unwrap(), authority::create("test").unwrap());
    let (inside, outside) = (endpoint(&ours, "a"), endpoint(&theirs, "b"));
    echo(inside.clone());
    let address = inside.local_address().unwrap();
    let got = async {
        let link = outside.dial(address).await?;
        let mut channel = link.open().await?;
        channel.send(&Frame::Rows { since: Revision(0) }).await?;
        channel.receive().await
    };
    let got = timeout(Duration::from_secs(5), got).await;
    assert_matches!(got, Err(_) | Ok(Err(Error::Unreachable { .. })));
}

/// Malformed datagrams neither crash the endpoint nor block the next peer.
#[async_std::test]
async fn garbage_datagrams_do_not_stop_the_endpoint() {
    let authority = authority::create("test").unwrap();
    let (a, b) = (endpoint(&authority, "a"), endpoint(&authority, "b"));
    echo(b.clone());
    let address = b.local_address().unwrap();
    let socket = UdpSocket::bind(any_port()).await.unwrap();
    for n in 0..200u32 {
        let bytes: Vec<u8> = (0..n * 7).map(|i| (i * n) as u8).collect();
        let _ = socket.send_to(&bytes[..bytes.len().min(1400)], address).await;
    }
    let link = a.dial(address).await.unwrap();
    let mut channel = link.open().await.unwrap();
    channel.send(&Frame::Rows { since: Revision(1) }).await.unwrap();
    assert!(channel.receive().await.is_ok());
}

#[test]
fn another_version_is_refused_with_its_code() {
    let mut header = [0; codec::HEADER_LEN];
    header[0] = codec::VERSION + 1;
    let error = codec::body_length(header).unwrap_err();
    assert_eq!(error.code(), Code::WireVersion);
    let too_long = [codec::VERSION, 0xff, 0xff, 0xff, 0xff];
    assert_eq!(codec::body_length(too_long).unwrap_err().code(), Code::WireMalformed);
}

#[test]
fn bytes_left_over_are_malformed() {
    let mut bytes = codec::encode(&Frame::Rows { since: Revision(1) });
    bytes.push(0);
    assert_matches!(codec::decode(&bytes[codec::HEADER_LEN..]), Err(Error::Malformed { .. }));
}

proptest! {
    #[test]
    fn any_body_is_decoded_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = codec::decode(&bytes);
    }

    #[test]
    fn frames_round_trip(since in any::<u64>(), text in "\\PC{0,40}") {
        let frames =
            [Frame::Rows { since: Revision(since) }, Frame::Refusal { code: Code::Ok, text }];
        for frame in frames {
            let bytes = codec::encode(&frame);
            let length = codec::body_length(bytes[..codec::HEADER_LEN].try_into().unwrap()).unwrap();
            prop_assert_eq!(length, bytes.len() - codec::HEADER_LEN);
            prop_assert_eq!(codec::decode(&bytes[codec::HEADER_LEN..]).unwrap(), frame);
        }
    }
}

/// Guards against calls and answers of another entry that lose a part on their way.
#[test]
fn delegated_calls_and_answers_round_trip() {
    let task: TaskName = "00000000000000ab.0.1.2".parse().unwrap();
    let order = Order::Start {
        minion: "i-1".into(),
        task,
        run: 3,
        first: true,
        suspected: false,
        spec: "work".into(),
        checkpoint: Some("0000000000000001".into()),
        ticket: None,
    };
    let start = Request::Start { order, deadline_ms: 4_500 };
    let hold = Request::Hold {
        acknowledged: 7,
        incarnation: Some(Incarnation(9)),
        deadline_ms: None,
        wait_ms: 1_000,
    };
    let calls = [start, hold].map(|request| Call {
        number: 1,
        minion: "i-1".into(),
        address: any_port(),
        token: 5,
        timeout_ms: 300,
        request,
    });
    let end = End { number: 8, task, run: 3, reason: EndReason::Done, checkpoint: None };
    let running = Running { task, run: 4, checkpoint: None, percent: 50, load: Some(10) };
    let report =
        Report { incarnation: Some(Incarnation(9)), running: vec![running], finished: vec![end] };
    let outcome = Outcome::Reported { report, acknowledged: 7, clock_ms: 100 };
    let frames = [
        Frame::MinionCalls(calls.into()),
        Frame::MinionAnswers(vec![Answer { number: 1, outcome }]),
    ];
    for frame in frames {
        assert_eq!(codec::decode(&codec::encode(&frame)[codec::HEADER_LEN..]).unwrap(), frame);
    }
}
