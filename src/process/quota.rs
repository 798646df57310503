//! Rate and burst of a team, summed over the fleet.
//!
//! A quota owner holds the team's token bucket. Other nodes, the holders, get
//! small grants of tokens out of it, for a short time. Bucket and outstanding
//! grants together never exceed the burst, and a token pays only for a request
//! that begins before its grant ends. docs/design/quota.md argues why no window
//! of time can therefore see more than rate and burst.

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

/// The longest life of a grant.
pub const MAX_GRANT_LIFE: Span = Span::from_ms(300);
/// The shortest life of a grant that is of use.
pub const MIN_GRANT_LIFE: Span = Span::from_ms(60);

/// What became of a wish for one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// Taken out of this grant.
    Taken(Grant),
    /// The quota owner was asked; try again when its answer is here.
    Pending,
    /// The team is over its rate.
    OverRate,
    /// No quota owner answers.
    Unavailable,
}

/// The tokens of one grant, as owner and holder name them to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BatchId {
    /// The right under which it was made.
    pub epoch: Epoch,
    /// Its place under that right.
    pub sequence: u64,
}

/// What a holder says of a batch. As it tells totals, a repeated or overtaken
/// message changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Return {
    /// The batch.
    pub batch: BatchId,
    /// Tokens given back since it was granted.
    pub unused: u32,
    /// Tokens whose requests have certainly begun.
    pub begun: u32,
}

/// A holder's wish for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who asks.
    pub from: Instance,
    /// Its life.
    pub life: Incarnation,
    /// Counts the holder's wishes; a repeat keeps its number.
    pub number: u64,
    /// For which team.
    pub team: Team,
    /// How many tokens.
    pub want: u32,
    /// What it gives back on this occasion.
    pub returns: Vec<Return>,
}

/// A quota owner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Some tokens.
    Granted {
        /// Their name.
        batch: BatchId,
        /// How many.
        tokens: u32,
        /// How long, counted by the holder from when it asked.
        life: Span,
        /// The bucket is low: tell at once of tokens whose requests have begun.
        scarce: bool,
    },
    /// The bucket is empty for this long.
    #[serde(rename = "Over")]
    OverRate(Span),
    /// This node does not own the quota; that one may.
    #[serde(rename = "Elsewhere")]
    NotOwner(Option<Instance>),
}

/// What quota owners and holders of grants tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A holder wants tokens.
    Ask(Ask),
    /// An answer.
    Reply {
        /// Who answers.
        from: Instance,
        /// For which team.
        team: Team,
        /// The wish it answers.
        number: u64,
        /// What it says.
        reply: Reply,
    },
    /// A holder gives tokens back.
    Return(Team, Vec<Return>),
    /// What a leaving owner had in its buckets, for its successor.
    #[serde(rename = "Accounts")]
    Buckets(Vec<BucketSnapshot>),
}

/// One team's bucket, as a leaving owner hands it on when nothing that it
/// granted is outstanding any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketSnapshot {
    /// The team.
    pub team: Team,
    /// The right under which it was kept.
    pub epoch: Epoch,
    /// Thousandths of a token in the bucket.
    pub millis: u64,
}
