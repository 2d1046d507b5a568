//! One exchange with a peer: a bidirectional stream of frames.

use crate::Error;
use crate::codec;
use crate::error;
use crate::frame::Frame;
use quinn::{RecvStream, SendStream};

/// One exchange.
pub struct Channel {
    send: SendStream,
    receive: RecvStream,
}

impl Channel {
    pub(crate) fn new((send, receive): (SendStream, RecvStream)) -> Self {
        Self { send, receive }
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// `Unreachable` when the connection is gone.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send.write_all(&codec::encode(frame)).await.map_err(unreachable)
    }

    /// Says that nothing more will be sent.
    pub fn finish(&mut self) {
        // Only fails when the stream was reset already, which is as final.
        let _ = self.send.finish();
    }

    /// Receives a frame; a refusal comes back as an error.
    ///
    /// # Errors
    /// `Closed` at the end of the exchange, `Unreachable`, `Version`, `Malformed`, `Refused`.
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        let mut header = [0; codec::HEADER_LEN];
        self.read(&mut header).await?;
        let mut body = vec![0; codec::body_length(header)?];
        self.read(&mut body).await?;
        match codec::decode(&body)? {
            Frame::Refusal { code, text } => error::RefusedSnafu { code, text }.fail(),
            frame => Ok(frame),
        }
    }

    async fn read(&mut self, bytes: &mut [u8]) -> Result<(), Error> {
        match self.receive.read_exact(bytes).await {
            Ok(()) => Ok(()),
            Err(quinn::ReadExactError::FinishedEarly(_)) => error::ClosedSnafu.fail(),
            Err(quinn::ReadExactError::ReadError(error)) => Err(unreachable(error)),
        }
    }
}

fn unreachable(error: impl ToString) -> Error {
    Error::Unreachable { reason: error.to_string() }
}
