//! Wire format of the membership protocol.
//!
//! Field names are one letter on the wire: at 1,200 members these messages are
//! most of the control traffic of a node.

#![warn(clippy::arithmetic_side_effects, clippy::indexing_slicing)]

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use serde_bytes::ByteBuf;

use super::{
    Status,
    packed, //
};
use crate::{
    freshness::ConfigStatus,
    id::{
        Domain,
        Incarnation,
        Instance,
        Pool, //
    },
};

/// Maximum encoded length of an update without its instance name and card, in
/// bytes.
const UPDATE_BASE_LEN: usize = 30;
/// Maximum encoded length of a card without its names, in bytes, with IPv6
/// addresses.
const CARD_BASE_LEN: usize = 56;
/// Maximum revision of a record within one incarnation. A member refutes a record
/// by a higher revision, so there must be one.
const MAX_REVISION: u32 = 1 << 31;

/// A datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The kind of the message, with its own data.
    #[serde(rename = "k")]
    pub kind: Kind,
    /// The sender's view of the configuration's freshness.
    #[serde(rename = "n")]
    pub news: ConfigStatus,
    /// Piggybacked membership changes.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
}

/// The kind of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Probes the receiver, and tells which incarnation of it the sender expects.
    #[serde(rename = "p")]
    Ping {
        /// Sequence number, repeated in the answer.
        #[serde(rename = "n")]
        number: u32,
        /// Tag of the expected incarnation.
        #[serde(rename = "t")]
        tag: u32,
    },
    /// Asks the receiver to probe another member on the sender's behalf.
    #[serde(rename = "v")]
    Via {
        /// Sequence number, repeated in the answer.
        #[serde(rename = "n")]
        number: u32,
        /// Tag of the expected incarnation.
        #[serde(rename = "t")]
        tag: u32,
        /// The datagram address of the member to probe.
        #[serde(rename = "a", with = "packed")]
        target: SocketAddr,
    },
    /// Answers a probe.
    #[serde(rename = "a")]
    Ack {
        /// The sequence number of the probe.
        #[serde(rename = "n")]
        number: u32,
        /// Tag of the answering incarnation.
        #[serde(rename = "t")]
        tag: u32,
    },
    /// Carries only the news and the changes.
    #[serde(rename = "g")]
    Gossip,
    /// Carries records that differed in an exchange. The receiver does not gossip
    /// them further: a node that has just joined would otherwise send the whole
    /// table to everyone.
    #[serde(rename = "e")]
    Page,
    /// Starts an exchange: one checksum for each bucket of the sender's table.
    #[serde(rename = "d")]
    Digest {
        /// The checksums, four bytes each.
        #[serde(rename = "b")]
        buckets: ByteBuf,
    },
    /// Answers a digest with the members of some buckets that differ.
    #[serde(rename = "f")]
    Differ {
        /// The buckets that are included, one bit each.
        #[serde(rename = "m")]
        mask: u64,
        /// For each member, the hash of its name and the checksum of its state, four
        /// bytes each.
        #[serde(rename = "e")]
        entries: ByteBuf,
    },
    /// Requests the records of some members.
    #[serde(rename = "w")]
    Want {
        /// Hashes of the members' names, four bytes each.
        #[serde(rename = "h")]
        hashes: ByteBuf,
    },
}

/// The record of one member, as it is gossiped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    #[serde(rename = "i")]
    pub instance: Instance,
    /// The incarnation that the record describes.
    #[serde(rename = "l")]
    pub incarnation: Incarnation,
    /// The revision of the member's own record within that incarnation.
    #[serde(rename = "r")]
    pub revision: u32,
    /// The state of the member.
    #[serde(rename = "s")]
    pub status: Status,
    /// The member's description of itself; omitted when a suspicion or a death is
    /// reported.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub card: Option<Card>,
}

/// A member's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// The failure domain.
    #[serde(rename = "d")]
    pub domain: Domain,
    /// The pool that the upstream belongs to.
    #[serde(rename = "p")]
    pub pool: Pool,
    /// The address that accepts links.
    #[serde(rename = "l", with = "packed")]
    pub link: SocketAddr,
    /// The address that accepts datagrams.
    #[serde(rename = "g", with = "packed")]
    pub datagram: SocketAddr,
    /// For how many seconds the upstream has accepted requests, capped at 255; absent
    /// if it accepts none.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub ready: Option<u8>,
}

impl Message {
    /// Removes the changes with an invalid number or address, and returns how many there
    /// were. The others, and the message itself, still count.
    pub fn remove_invalid(&mut self) -> usize {
        let before = self.updates.len();
        self.updates.retain(Update::is_valid);
        before.saturating_sub(self.updates.len())
    }
}

impl Update {
    fn is_valid(&self) -> bool {
        let has_ports = |card: &Card| card.link.port() != 0 && card.datagram.port() != 0;
        self.revision <= MAX_REVISION && self.card.as_ref().is_none_or(has_ports)
    }

    /// An upper bound on the encoded length, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        let card = |card: &Card| {
            let names = [card.domain.as_str(), card.pool.as_str()];
            CARD_BASE_LEN.saturating_add(names.iter().map(|name| name.len()).sum())
        };
        UPDATE_BASE_LEN
            .saturating_add(self.instance.as_str().len())
            .saturating_add(self.card.as_ref().map_or(0, card))
    }
}
