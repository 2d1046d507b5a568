//! Bounded fuzzing of the framing: any bytes give a value or an error, never a panic.

use celerythread_http::head::{Length, Request, Response};
use celerythread_http::{body, stream::Stream};
use proptest::prelude::*;
use std::time::Duration;

/// A stream of fixed bytes.
fn stream(bytes: Vec<u8>) -> Stream {
    Stream::new(async_std::io::Cursor::new(bytes))
}

proptest! {
    #[test]
    fn parsing_any_head_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = Request::parse(bytes.clone());
        let _ = Response::parse(bytes, "GET");
    }

    /// Guards against request smuggling, where two parsers disagree about the end of a body: an
    /// accepted head has either one distinct Content-Length or a transfer coding.
    #[test]
    fn an_accepted_head_has_one_length(
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
    fn reading_any_chunks_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        async_std::task::block_on(async {
            let mut reader = body::Reader::new(Length::Chunked, Duration::from_millis(50));
            let _ = reader.collect(&mut stream(bytes), 1000).await;
        });
    }

    /// A body truncated at any point is never accepted as complete.
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
