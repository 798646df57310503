//! Fleet membership and failure detection.
//!
//! A SWIM-like protocol: every node probes members in turn, asks other members to
//! probe on its behalf before it suspects one, and a suspected member refutes the
//! suspicion by a higher revision of its own record. Changes are piggybacked on
//! probes and spread by short rounds of gossip. An anti-entropy exchange of
//! digests with one random member repairs what was missed and heals partitions.
//! docs/design/membership.md compares the alternatives.
//!
//! The [`Agent`] runs the protocol and updates the [`Table`], which the rest of
//! the process reads.

mod agent;
mod exchange;
mod gossip;
mod packed;
mod probe;
mod seed;
mod table;
mod wire;

use std::{
    fmt,
    net::SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    agent::{
        Agent,
        Outgoing, //
    },
    seed::{
        SEED_PREFIX,
        SeedClient,
        SeedRole, //
    },
    table::{
        MergeOutcome,
        Table,
        rank_by_rendezvous, //
    },
    wire::{
        Card,
        Kind,
        Message,
        Update, //
    },
};
pub(crate) use self::{
    exchange::digest,
    seed::backoff_with_jitter,
    table::incarnation_tag, //
};
use crate::id::{
    Domain,
    Incarnation,
    Instance,
    Pool, //
};

/// The state of a member in the view of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It answers probes.
    #[serde(rename = "a")]
    Alive,
    /// It does not answer probes. It gets new work only if no healthy member is
    /// left.
    #[serde(rename = "s")]
    Suspect,
    /// It announced that it leaves. It gets no new work.
    #[serde(rename = "l")]
    Leaving,
    /// It has left or is considered failed.
    #[serde(rename = "d")]
    Dead,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        })
    }
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The name of the instance.
    pub instance: Instance,
    /// The failure domain.
    pub domain: Domain,
    /// The pool that its upstream belongs to.
    pub pool: Pool,
    /// The address that accepts links.
    pub link: SocketAddr,
    /// The address that accepts datagrams.
    pub datagram: SocketAddr,
    /// The current incarnation of the instance.
    pub incarnation: Incarnation,
    /// The state in the view of this node.
    pub status: Status,
    /// Whether the upstream has announced itself and accepts requests.
    pub ready: bool,
}
