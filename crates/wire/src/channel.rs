//! One exchange with a peer: a bidirectional stream of frames.

use crate::Error;
use crate::codec;
use crate::error;
use crate::frame::Frame;
use quinn::{RecvStream, SendStream, VarInt};

/// One exchange with a peer.
pub struct Channel {
    sender: Sender,
    receiver: Receiver,
}

/// The sending direction of an exchange.
pub struct Sender(SendStream);

/// The receiving direction of an exchange.
pub struct Receiver(RecvStream);

impl Channel {
    pub(crate) fn new((send, receive): (SendStream, RecvStream)) -> Self {
        Self { sender: Sender(send), receiver: Receiver(receive) }
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// As [`Sender::send`].
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send(frame).await
    }

    /// Ends the sending direction of the stream.
    pub fn finish(&mut self) {
        // Fails only if the stream is already closed, which has the same effect.
        let _ = self.sender.0.finish();
    }

    /// Receives a frame; a refusal is returned as an error.
    ///
    /// # Errors
    /// As [`Receiver::receive`].
    pub async fn receive(&mut self) -> Result<Frame, Error> {
        self.receiver.receive().await
    }

    /// Splits the exchange into its two directions.
    pub fn split(self) -> (Sender, Receiver) {
        (self.sender, self.receiver)
    }
}

impl Sender {
    /// Sends a frame.
    ///
    /// # Errors
    /// `Unreachable` if the connection is lost.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.0.write_all(&codec::encode(frame)).await.map_err(unreachable)
    }

    /// Ends the sending direction and discards what was not delivered.
    pub fn reset(&mut self) {
        // Fails only if the stream is already closed, which has the same effect.
        let _ = self.0.reset(VarInt::from_u32(0));
    }
}

impl Receiver {
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
        match self.0.read_exact(bytes).await {
            Ok(()) => Ok(()),
            Err(quinn::ReadExactError::FinishedEarly(_)) => error::ClosedSnafu.fail(),
            Err(quinn::ReadExactError::ReadError(error)) => Err(unreachable(error)),
        }
    }
}

fn unreachable(error: impl ToString) -> Error {
    Error::Unreachable { reason: error.to_string() }
}
