//! What rides with a request down the whole chain of calls.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Span,
    id::{
        Key,
        Pool,
        Request,
        Root,
        Team,
        Version, //
    },
};

/// How much a request matters. A nested call inherits it and never gains.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Shed first.
    Low,
    /// What a route has when its row does not say.
    #[default]
    Normal,
    /// Shed after all normal ones.
    High,
    /// Shed last.
    Critical,
}

impl Importance {
    /// Every importance, least first.
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

/// Until when a root may first begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartLimit {
    /// By the receiver's own clock, as it told it in a report. However long the
    /// attempt is under way, or the receiver paused, it begins no later.
    Clock(u64),
    /// Within this time of its arrival, at a receiver that has told nothing yet.
    Within(Span),
}

/// The part of a request that every hop shares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// The request as the first caller sees it.
    pub root: Root,
    /// The team whose key came with the root.
    pub team: Team,
    /// The name of that key, so that an inbound proxy can see that it was
    /// withdrawn while the request waited. Never its secret.
    pub key: Option<Key>,
    /// The root's importance.
    pub importance: Importance,
    /// Time left when this was sent. Clocks are not shared, lengths are.
    pub left: Span,
    /// Time since the root arrived, for serving older roots first.
    pub age: Span,
    /// Retries that this attempt and all below it may spend together.
    pub allowance: u8,
    /// Calls above this one.
    pub depth: u8,
    /// Until when the root may first begin, by the rate token that pays for it;
    /// at any time when absent.
    pub begin: Option<StartLimit>,
    /// The attempt that made this nested call.
    pub parent: Option<Request>,
    /// The pool of the instance where the request began.
    pub origin: Option<Pool>,
    /// The version by which the ingress let it in.
    pub version: Version,
}

impl Context {
    /// The team, where a key proved it.
    pub fn authenticated_team(&self) -> Option<&Team> {
        self.key.as_ref().map(|_| &self.team)
    }
}
