//! Frames between two nodes, encoded as CBOR in WebSocket messages.
//!
//! Every frame of a request carries its number, which is never reused. So a late
//! frame, or one that crossed another on the way, finds no waiter and is dropped.

#![warn(clippy::arithmetic_side_effects, clippy::indexing_slicing)]

use std::fmt;

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    backpressure::Hint,
    clock::Span,
    context::Context,
    error::{
        Code as Fault,
        Error,
        Result, //
    },
    id::{
        Incarnation,
        Request,
        Route, //
    },
    message::Message,
    outcome::Report,
    record::Claim, //
};

/// The largest encoded frame, in bytes. Bodies are sent in smaller chunks.
pub const LIMIT: usize = 4 << 20;

/// The head of an HTTP request or answer, without hop-by-hop headers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The method of a request; empty in an answer.
    pub method: String,
    /// The path and query of a request; empty in an answer.
    pub target: String,
    /// The status of an answer; zero in a request.
    pub status: u16,
    /// Names and values in their original order.
    pub headers: Vec<(String, Bytes)>,
    /// The body's length in bytes, if it is known in advance.
    pub length: Option<u64>,
}

impl Head {
    /// Bytes that the head occupies.
    pub(crate) fn capacity(&self) -> usize {
        let entry = size_of::<(String, Bytes)>();
        let of_header = |(name, value): &(String, Bytes)| [entry, name.len(), value.len()];
        let headers = self.headers.iter().flat_map(of_header);
        headers.chain([self.method.len(), self.target.len()]).sum()
    }
}

/// An answer with its complete body, as stored in the records of idempotent
/// requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// The HTTP head.
    pub head: Head,
    /// The body, at most [`STORED_BODY_LIMIT`] bytes.
    pub body: Bytes,
}

/// The largest body that is stored, in bytes. It fits the flow control window, so
/// that it is replayed without waiting for credit.
pub const STORED_BODY_LIMIT: usize = 256 << 10;

/// Which body a chunk belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The request body, sent towards the upstream.
    Request,
    /// The answer body, sent towards the caller.
    Answer,
}

/// What an inbound proxy knows about an attempt that the ingress wants to revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It has not started and never will: a late copy will be refused.
    Revoked,
    /// It is running. Its answer was bound to the broken link and is lost.
    Running,
    /// It has completed. Its answer is lost.
    Ended,
    /// This incarnation of the node has no information about it.
    Forgotten,
}

/// One message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Requests that the receiver runs an attempt.
    Attempt {
        /// The attempt's number.
        request: Request,
        /// The incarnation of the receiver that may run it; any other refuses it.
        life: Incarnation,
        /// The context that is passed down the call chain.
        context: Context,
        /// The route that the ingress matched.
        route: Route,
        /// The claim on its idempotency record, if it has one.
        claim: Option<Claim>,
        /// The HTTP head.
        head: Head,
    },
    /// What the receiver's upstream reported through an earlier incarnation of the
    /// receiver.
    Hint(Hint),
    /// A chunk of a body.
    Chunk {
        /// The attempt's number.
        request: Request,
        /// The body that the frame refers to.
        side: Side,
        /// The bytes.
        bytes: Bytes,
    },
    /// The end mark of a complete body.
    End {
        /// The attempt's number.
        request: Request,
        /// The body that the frame refers to.
        side: Side,
        /// The XXH3 checksum of the whole body.
        sum: u64,
    },
    /// A body was truncated and will not be completed.
    Cut {
        /// The attempt's number.
        request: Request,
        /// The body that the frame refers to.
        side: Side,
    },
    /// Flow control: the receiver of a body grants more credit.
    Credit {
        /// The attempt's number.
        request: Request,
        /// The body that the frame refers to.
        side: Side,
        /// Further bytes that may be sent.
        bytes: u32,
    },
    /// Nobody waits for the attempt any more.
    Cancel {
        /// The attempt's number.
        request: Request,
    },
    /// Asks the receiver not to start the attempt, and to report its progress.
    Revoke {
        /// The attempt's number.
        request: Request,
        /// The incarnation of the receiver that the attempt was sent to.
        life: Incarnation,
        /// How much longer a late copy must be refused.
        left: Span,
        /// Whether the attempt goes on if it has started. Otherwise it is aborted.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        unless_running: bool,
    },
    /// The answer to [`Frame::Revoke`].
    Fate {
        /// The attempt's number.
        request: Request,
        /// The progress of the attempt.
        fate: Fate,
    },
    /// The head of the upstream's answer; the body follows in chunks.
    Answer {
        /// The attempt's number.
        request: Request,
        /// The HTTP head.
        head: Head,
        /// The inbound proxy's state.
        report: Report,
    },
    /// The attempt has ended and holds no resources any more.
    Finish {
        /// The attempt's number.
        request: Request,
        /// The inbound proxy's state.
        report: Report,
    },
    /// The attempt ended without an answer from the upstream.
    Refuse {
        /// The attempt's number.
        request: Request,
        /// The reason, which also tells whether the request may have run.
        code: crate::code::Code,
        /// The inbound proxy's state.
        report: Report,
    },
    /// A control message, which belongs to no request.
    Control(Box<Message>),
}

impl Frame {
    /// Encodes the frame as CBOR.
    ///
    /// # Errors
    ///
    /// If the encoded frame exceeds [`LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self, LIMIT)
    }

    /// Decodes a frame from CBOR.
    ///
    /// # Errors
    ///
    /// If the bytes aren't exactly one frame or exceed [`LIMIT`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes, LIMIT)
    }
}

/// Encodes a value as CBOR of at most `limit` bytes.
///
/// # Errors
///
/// If the encoding is longer.
pub(crate) fn encode<T: Serialize>(value: &T, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut bytes).map_err(codec_error)?;
    if bytes.len() > limit {
        let reason = format!("a frame of {} bytes exceeds {limit}", bytes.len());
        return Err(Error::new(Fault::Frame, reason));
    }
    Ok(bytes)
}

/// Decodes exactly one value from at most `limit` bytes of CBOR.
///
/// # Errors
///
/// If the bytes are too many, malformed, or contain more than one value.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T> {
    if bytes.len() > limit {
        let reason = format!("a frame of {} bytes exceeds {limit}", bytes.len());
        return Err(Error::new(Fault::Frame, reason));
    }
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(codec_error)?;
    if !rest.is_empty() {
        return Err(Error::new(Fault::Frame, "bytes follow after the frame"));
    }
    Ok(value)
}

fn codec_error(error: impl fmt::Display) -> Error {
    Error::new(Fault::Frame, format!("the frame cannot be read: {error}"))
}
