//! What nodes tell each other beside requests.
//!
//! A message that fits goes as one authenticated UDP datagram, which may be
//! lost, doubled or overtaken; every machine that sends one expects that. A
//! larger one goes over a link, inside [`crate::frame::Frame::Control`].

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    adoption,
    error::Result,
    feed,
    frame,
    lease,
    member,
    quota,
    record, //
};

/// The largest datagram, in bytes, so that no network splits it.
pub const DATAGRAM_LIMIT: usize = 1400;

/// One message of one subsystem.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Membership.
    Member(member::Message),
    /// Configuration.
    Adoption(adoption::Message),
    /// Rights that one node holds at a time.
    Lease(lease::Message),
    /// Rates.
    Quota(quota::Message),
    /// Tokens of token servers.
    Bank(quota::bank::Message),
    /// The store, as one node tells it to another.
    Feed(feed::Message),
    /// Records of idempotent requests.
    Record(record::Message),
}

impl Message {
    /// Writes the message as CBOR.
    ///
    /// # Errors
    ///
    /// When it is larger than a frame may be.
    pub fn encode(&self) -> Result<Vec<u8>> {
        frame::encode(self, frame::LIMIT)
    }

    /// Reads a message from a datagram's CBOR.
    ///
    /// # Errors
    ///
    /// When the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        frame::decode(bytes, DATAGRAM_LIMIT)
    }
}
