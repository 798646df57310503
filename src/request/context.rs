//! Request context that is propagated along the whole call chain.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Span,
    id::{
        Digest,
        Key,
        Pool,
        Request,
        Root,
        Team,
        Version, //
    },
};

/// Importance of a request. A nested call inherits it and can't raise it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Shed first.
    Low,
    /// Default of a route whose row doesn't set it.
    #[default]
    Normal,
    /// Shed after all requests of normal importance.
    High,
    /// Shed last.
    Critical,
}

impl Importance {
    /// All importance levels in ascending order.
    pub const ALL: [Self; 4] = [Self::Low, Self::Normal, Self::High, Self::Critical];
}

impl fmt::Display for Importance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Low => "low",
            Self::Normal => "normal",
            Self::High => "high",
            Self::Critical => "critical",
        })
    }
}

/// Latest time at which a root may start for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartLimit {
    /// In milliseconds of the receiver's clock, as known from its reports. The limit
    /// holds however long the attempt is in transit or the receiver is paused.
    Clock(u64),
    /// Within this time after arrival, for a receiver that hasn't reported its clock.
    Within(Span),
}

/// The part of a request that is passed on from hop to hop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// Identifies the root: the original request of an external caller.
    pub root: Root,
    /// The team that the root's API key belongs to.
    pub team: Team,
    /// Name of that key, so that an inbound proxy notices if the key is revoked
    /// while the request is queued. Never contains the secret.
    pub key: Option<Key>,
    /// Importance of the root.
    pub importance: Importance,
    /// Time left until the deadline when this was sent. A duration, because nodes
    /// don't share a clock.
    pub left: Span,
    /// Time since the root arrived, used to serve older roots first.
    pub age: Span,
    /// Number of retries that this attempt and all calls below it may spend together.
    pub allowance: u8,
    /// Number of calls above this one in the chain.
    pub depth: u8,
    /// Latest start of the root, set by the rate token that pays for it. No limit if
    /// absent.
    pub begin: Option<StartLimit>,
    /// The attempt that made this call, if it is a nested call.
    pub parent: Option<Request>,
    /// Pool of the instance at which the request entered the fleet.
    pub origin: Option<Pool>,
    /// Configuration version by which the ingress admitted the request.
    pub version: Version,
    /// Digest of the request itself, by which it is recognized under another id.
    /// Absent if its body is streamed.
    #[serde(default)]
    pub digest: Option<Digest>,
    /// Number of this call's earlier attempts under which an upstream ended.
    #[serde(default)]
    pub crashes: u8,
    /// Whether the call has reached an upstream before, or is made by a run of a request
    /// that has.
    #[serde(default)]
    pub repeat: bool,
}

impl Context {
    /// Returns the team if the request was authenticated with a key.
    pub fn authenticated_team(&self) -> Option<&Team> {
        self.key.as_ref().map(|_| &self.team)
    }
}
