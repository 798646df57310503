//! Fleet-wide rate and burst limits per team.
//!
//! The quota owner of a team holds its token bucket. Other nodes, the holders,
//! receive small, short-lived grants of tokens from it. The bucket and all
//! outstanding grants together never exceed the burst, and a token pays only
//! for a request that begins before its grant expires. docs/design/quota.md
//! argues why no time window can therefore see more than rate and burst allow.

pub mod bank;
mod bucket;
mod holder;
mod owner;

use serde::{
    Deserialize,
    Serialize, //
};

pub use self::{
    bank::Bank,
    bucket::Bucket,
    holder::{
        Holder,
        Mode, //
    },
    owner::Owner, //
};
use crate::{
    clock::Span,
    id::{
        Grant,
        Incarnation,
        Instance,
        Team, //
    },
    lease::Epoch, //
};

/// The longest lifetime of a grant.
pub const MAX_GRANT_LIFE: Span = Span::from_ms(300);
/// The shortest lifetime at which a grant is still useful.
pub const MIN_GRANT_LIFE: Span = Span::from_ms(60);

/// The result of trying to take one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// The token was taken from this grant.
    Taken(Grant),
    /// The quota owner was asked; try again when its answer arrives.
    Pending,
    /// The team has exceeded its rate.
    OverRate,
    /// No quota owner can be reached.
    Unavailable,
}

/// Identifies the tokens of one grant in messages between owner and holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// The ownership epoch under which it was granted.
    pub epoch: Epoch,
    /// The sequence number within that epoch.
    pub sequence: u64,
}

/// A holder's report on a batch. It carries totals, so repeated or reordered
/// messages have no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The batch reported on.
    pub batch: BatchId,
    /// Tokens given back since the batch was granted.
    pub unused: u32,
    /// Tokens whose requests are known to have begun.
    pub begun: u32,
}

/// A holder's request for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The holder.
    pub from: Instance,
    /// The holder's incarnation.
    pub life: Incarnation,
    /// Counts the holder's requests; a retry keeps its number.
    pub number: u64,
    /// The team the tokens are for.
    pub team: Team,
    /// Number of tokens requested.
    pub want: u32,
    /// Reports on earlier batches, sent along.
    pub returns: Vec<Return>,
}

/// A quota owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Tokens are granted.
    Granted {
        /// Identifies the granted tokens.
        batch: BatchId,
        /// Number of tokens.
        tokens: u32,
        /// Lifetime, counted by the holder from when it sent the request.
        life: Span,
        /// The bucket is low: report immediately when requests have begun.
        scarce: bool,
    },
    /// The bucket stays empty for this long.
    #[serde(rename = "Over")]
    OverRate(Span),
    /// This node does not own the quota; the given one may.
    #[serde(rename = "Elsewhere")]
    NotOwner(Option<Instance>),
}

/// Messages between quota owners and holders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A holder requests tokens.
    Ask(Ask),
    /// An owner answers a request.
    Reply {
        /// The answering node.
        from: Instance,
        /// The team.
        team: Team,
        /// The number of the request answered.
        number: u64,
        /// The answer.
        reply: Reply,
    },
    /// A holder gives tokens back.
    Return(Team, Vec<Return>),
    /// The buckets of an owner that leaves, for its successor.
    #[serde(rename = "Accounts")]
    Buckets(Vec<BucketSnapshot>),
}

/// One team's bucket, handed over by an owner that leaves once none of its
/// grants is outstanding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSnapshot {
    /// The team.
    pub team: Team,
    /// The ownership epoch under which the bucket was kept.
    pub epoch: Epoch,
    /// Tokens in the bucket, in thousandths.
    pub millis: u64,
}
