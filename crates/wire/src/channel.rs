//! One exchange with a peer: a bidirectional stream of frames.

use crate::Error;
use crate::codec;
use crate::error;
use crate::frame::Frame;
use quinn::{RecvStream, SendStream};

/// One exchange with a peer.
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
    /// `Unreachable` if the connection is lost.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send.write_all(&codec::encode(frame)).await.map_err(unreachable)
    }

    /// Ends the sending direction of the stream.
    pub fn finish(&mut self) {
        // Fails only if the stream is already closed, which has the same effect.
        let _ = self.send.finish();
    }

    /// Receives a frame; a refusal is returned as an error.
    ///
    /// # Errors
    /// `Closed` if the peer ended the exchange, `Unreachable` if the connection is lost, `Version`
    /// or `Malformed` if the frame cannot be decoded, `Refused` if the peer refused.
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
