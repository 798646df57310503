//! Frames between two nodes, as CBOR in WebSocket messages.
//!
//! Every frame names its request, by a number that is never used twice, so a
//! late or crossed frame meets no waiter and is dropped.

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

/// The largest encoded frame, in bytes. Bodies travel in smaller chunks.
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
    /// Names and values in their order.
    pub headers: Vec<(String, Bytes)>,
    /// The body's length in bytes, where it is known beforehand.
    pub length: Option<u64>,
}

/// An answer with its whole body, as the records of idempotent requests keep
/// it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    /// The HTTP head.
    pub head: Head,
    /// The body, at most [`KEPT_LIMIT`] bytes.
    pub body: Bytes,
}

/// The largest body that is kept, so that it is sent again in one go.
pub const KEPT_LIMIT: usize = 256 << 10;

/// Which body a chunk belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The caller's body, towards the upstream.
    Request,
    /// The upstream's body, towards the caller.
    Answer,
}

/// What an inbound proxy knows of an attempt that the ingress wants to revoke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It has not begun and never will: a late copy will be refused.
    Revoked,
    /// It runs. Its answer was bound to the broken link and is lost.
    Running,
    /// It ran to its end. Its answer is lost.
    Ended,
    /// This life of the node cannot tell.
    Forgotten,
}

/// One message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Run this request.
    Attempt {
        /// The attempt's number.
        request: Request,
        /// The life of the receiver that may run it; any other refuses it.
        life: Incarnation,
        /// What rides down the chain.
        context: Context,
        /// The route that the ingress matched.
        route: Route,
        /// The idempotency record that guards it.
        claim: Option<Claim>,
        /// The HTTP head.
        head: Head,
    },
    /// What the upstream beside the receiver told through a former life of it.
    Hint(Hint),
    /// A part of a body.
    Chunk {
        /// The attempt's number.
        request: Request,
        /// Which body.
        side: Side,
        /// The bytes.
        bytes: Bytes,
    },
    /// A body is whole.
    End {
        /// The attempt's number.
        request: Request,
        /// Which body.
        side: Side,
        /// The XXH3 checksum of the whole body.
        sum: u64,
    },
    /// A body was cut and will not become whole.
    Cut {
        /// The attempt's number.
        request: Request,
        /// Which body.
        side: Side,
    },
    /// The receiver of a body has room for more.
    Credit {
        /// The attempt's number.
        request: Request,
        /// Which body.
        side: Side,
        /// Further bytes that may be sent.
        bytes: u32,
    },
    /// Nobody waits for the attempt any longer.
    Cancel {
        /// The attempt's number.
        request: Request,
    },
    /// Do not begin this attempt, and say how far it came.
    Revoke {
        /// The attempt's number.
        request: Request,
        /// The life of the receiver that the attempt was sent to.
        life: Incarnation,
        /// How long a late copy must still be refused.
        left: Span,
    },
    /// The answer to [`Frame::Revoke`].
    Fate {
        /// The attempt's number.
        request: Request,
        /// How far it came.
        fate: Fate,
    },
    /// The upstream answers; the body follows in chunks.
    Answer {
        /// The attempt's number.
        request: Request,
        /// The HTTP head.
        head: Head,
        /// The inbound proxy's state.
        report: Report,
    },
    /// The attempt has ended and holds nothing any more.
    Finish {
        /// The attempt's number.
        request: Request,
        /// The inbound proxy's state.
        report: Report,
    },
    /// The attempt ended without an answer of the upstream.
    Refuse {
        /// The attempt's number.
        request: Request,
        /// Why; it also says whether the request may have run.
        code: crate::code::Code,
        /// The inbound proxy's state.
        report: Report,
    },
    /// What the nodes tell each other beside requests.
    Control(Box<Message>),
}

impl Frame {
    /// Writes the frame as CBOR.
    ///
    /// # Errors
    ///
    /// When the frame is larger than [`LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        encode(self, LIMIT)
    }

    /// Reads a frame from CBOR.
    ///
    /// # Errors
    ///
    /// When the bytes are no frame, go on after it, or exceed [`LIMIT`].
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        decode(bytes, LIMIT)
    }
}

/// Writes anything as CBOR of at most `limit` bytes.
///
/// # Errors
///
/// When the encoding is longer.
pub(crate) fn encode<T: Serialize>(value: &T, limit: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(value, &mut bytes).map_err(broken)?;
    if bytes.len() > limit {
        let reason = format!("a frame of {} bytes exceeds {limit}", bytes.len());
        return Err(Error::new(Fault::Frame, reason));
    }
    Ok(bytes)
}

/// Reads anything from exactly these bytes of CBOR, at most `limit`.
///
/// # Errors
///
/// When the bytes are too many, malformed, or more than one value.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T> {
    if bytes.len() > limit {
        let reason = format!("a frame of {} bytes exceeds {limit}", bytes.len());
        return Err(Error::new(Fault::Frame, reason));
    }
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(broken)?;
    if !rest.is_empty() {
        return Err(Error::new(Fault::Frame, "bytes follow after the frame"));
    }
    Ok(value)
}

fn broken(error: impl fmt::Display) -> Error {
    Error::new(Fault::Frame, format!("the frame cannot be read: {error}"))
}
