//! What token servers and the nodes that borrow from them tell each other.
//!
//! Names of fields are one letter on the wire: a borrowed token costs two of
//! these messages.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Span,
    context::Importance,
    id::{
        Instance,
        Team, //
    },
};

/// One message about the tokens of teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Tokens given back, in thousandths.
    Deposit(Vec<(Team, u64)>),
    /// A node lacks tokens.
    Borrow {
        /// Who asks.
        #[serde(rename = "f")]
        from: Instance,
        /// The wish.
        #[serde(rename = "w")]
        request: BorrowRequest,
    },
    /// The answer to a wish.
    Lend {
        /// For which team.
        #[serde(rename = "t")]
        team: Team,
        /// The wish.
        #[serde(rename = "n")]
        number: u64,
        /// What is lent.
        #[serde(rename = "l")]
        reply: LendReply,
    },
    /// An earlier server of these teams wants the parts of a later one.
    WantParts {
        /// Who asks.
        #[serde(rename = "f")]
        from: Instance,
        /// Counts the wishes of the asker.
        #[serde(rename = "n")]
        number: u64,
        /// The teams.
        #[serde(rename = "t")]
        teams: Vec<Team>,
    },
    /// A later server gives parts away.
    Parts {
        /// Who gives.
        #[serde(rename = "f")]
        from: Instance,
        /// The wish.
        #[serde(rename = "n")]
        number: u64,
        /// What it gives.
        #[serde(rename = "p")]
        parts: Vec<DelegatedPart>,
    },
}

/// A part of a team's rate that a server leaves to an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedPart {
    /// The team.
    #[serde(rename = "t")]
    pub team: Team,
    /// For how long, counted by the earlier server from when it asked.
    #[serde(rename = "l")]
    pub life: Span,
    /// What was in the bucket, in thousandths.
    #[serde(rename = "m")]
    pub millis: u64,
}

/// A wish for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// For which team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Counts the wishes of the asker.
    #[serde(rename = "n")]
    pub number: u64,
    /// Whole tokens.
    #[serde(rename = "w")]
    pub want: u32,
    /// The importance of the requests that they are for.
    #[serde(rename = "i")]
    pub importance: Importance,
    /// Thousandths of a token that another server had left, for this one to
    /// make up a whole token with.
    #[serde(rename = "b")]
    pub brought_millis: u64,
    /// How long what is lent may be used: by the asker from when it asked, by the
    /// server from when it lent.
    #[serde(rename = "u")]
    pub life: Span,
    /// No further server will be asked.
    #[serde(rename = "l")]
    pub last: bool,
}

/// A server's answer to a wish.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LendReply {
    /// Whole tokens.
    #[serde(rename = "k")]
    pub tokens: u32,
    /// Thousandths of a token that are left over: for the next server, where there
    /// is no whole one, or because there was no room for them.
    #[serde(rename = "f")]
    pub fraction: u64,
    /// The time until the server has a whole token for this importance.
    #[serde(rename = "w")]
    pub wait: Span,
    /// Whether the server may mint tokens of this team.
    #[serde(rename = "s")]
    pub serving: bool,
}
