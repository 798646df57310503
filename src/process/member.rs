//! Who is in the fleet, and in which state.
//!
//! A SWIM-like protocol: every node probes one member a second, asks others to
//! probe on its behalf before it suspects, and a suspected member refutes by a
//! higher revision of its own record. Changes ride on probes and on short
//! rounds of gossip; a digest exchange with one random member finds what was
//! missed and heals partitions. docs/design/membership.md weighs the ways.
//!
//! The [`Agent`] decides, the [`Table`] is what it and everybody else reads.

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
        SEEDS,
        SeedClient, //
        SeedRole,
    },
    table::{
        Merge,
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

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    #[serde(rename = "a")]
    Alive,
    /// It does not answer; it gets no new work while others are there.
    #[serde(rename = "s")]
    Suspect,
    /// It takes no new work and will go.
    #[serde(rename = "l")]
    Leaving,
    /// It is gone.
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

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: Domain,
    /// The pool that its upstream belongs to.
    pub pool: Pool,
    /// Where it accepts links.
    pub link: SocketAddr,
    /// Where it accepts datagrams.
    pub datagram: SocketAddr,
    /// Its present life.
    pub incarnation: Incarnation,
    /// What is believed of it.
    pub status: Status,
    /// Whether its upstream has announced itself and takes requests.
    pub ready: bool,
}
