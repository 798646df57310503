//! Control messages between nodes.
//!
//! A message that fits is sent as one authenticated UDP datagram, which may be
//! lost, duplicated or reordered; every state machine that sends messages
//! tolerates that. A larger message is sent over a link, inside
//! [`crate::frame::Frame::Control`].

#![warn(clippy::arithmetic_side_effects, clippy::indexing_slicing)]

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
    node,
    quota,
    record,
    suspect, //
};

/// The largest datagram, in bytes, small enough to avoid IP fragmentation.
pub const DATAGRAM_LIMIT: usize = 1400;

/// A control message, with one variant per subsystem.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Cluster membership.
    Member(member::Message),
    /// Adoption of configuration versions.
    Adoption(adoption::Message),
    /// Leases, each held by at most one node at a time.
    Lease(lease::Message),
    /// Rate quotas.
    Quota(quota::Message),
    /// Tokens of token servers.
    Bank(quota::bank::Message),
    /// Store contents relayed from one node to another.
    Feed(feed::Message),
    /// Records of idempotent requests.
    Record(record::Message),
    /// Requests under which upstreams end.
    Suspect(suspect::Message),
    /// Acknowledged departures of upstreams.
    Departure(node::DepartureMessage),
}

impl Message {
    /// Encodes the message as CBOR.
    ///
    /// # Errors
    ///
    /// If the encoding exceeds [`frame::LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        frame::encode(self, frame::LIMIT)
    }

    /// Decodes a message from the CBOR of a datagram.
    ///
    /// # Errors
    ///
    /// If the bytes exceed [`DATAGRAM_LIMIT`] or aren't exactly one message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        frame::decode(bytes, DATAGRAM_LIMIT)
    }
}
