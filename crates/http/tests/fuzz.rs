//! Bounded fuzzing of the framing: any bytes are answered by a value or a fault.

use celerythread_http::head::{Length, Request, Response};
use celerythread_http::{body, stream::Stream};
use proptest::prelude::*;
use std::time::Duration;

/// A stream that gives fixed bytes.
fn stream(bytes: Vec<u8>) -> Stream {
    Stream::new(async_std::io::Cursor::new(bytes))
}

proptest! {
    #[test]
    fn any_head_is_answered(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Request::parse(bytes.clone());
        let _ = Response::parse(bytes, "GET");
    }

    /// Two readers must never disagree about where a body ends: an accepted head with a length
    /// has exactly one, and no coding.
    #[test]
    fn an_accepted_length_is_the_only_one(
        lengths in prop::collection::vec("[0-9 +x-]{0,4}", 0..3),
        chunked in any::<bool>(),
    ) {
        let mut head = String::from("POST / HTTP/1.1\r\nHost: x\r\n");
        for length in &lengths {
            head.push_str(&format!("Content-Length: {length}\r\n"));
        }
        if chunked {
            head.push_str("Transfer-Encoding: chunked\r\n");
        }
        head.push_str("\r\n");
        if let Ok(request) = Request::parse(head.into_bytes()) {
            match request.length {
                Length::Chunked => prop_assert!(chunked && lengths.is_empty()),
                Length::Exact(n) => {
                    prop_assert!(!chunked);
                    for length in &lengths {
                        prop_assert_eq!(length.trim().parse::<u64>().ok(), Some(n));
                    }
                }
                Length::UntilClose => prop_assert!(false, "a request never ends by closing"),
            }
        }
    }

    #[test]
    fn any_chunks_are_answered(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        async_std::task::block_on(async {
            let mut reader = body::Reader::new(Length::Chunked, Duration::from_millis(50));
            let _ = reader.collect(&mut stream(bytes), 1000).await;
        });
    }

    /// A body that is cut anywhere is never taken for a whole one.
    #[test]
    fn a_cut_body_is_an_error(length in 1usize..200, part in 0.0..1.0f64) {
        let cut = (length as f64 * part) as usize;
        let result = async_std::task::block_on(async {
            let exact = Length::Exact(length as u64);
            let mut reader = body::Reader::new(exact, Duration::from_millis(50));
            reader.collect(&mut stream(vec![b'x'; cut]), 1000).await
        });
        prop_assert!(result.is_err());
    }
}
