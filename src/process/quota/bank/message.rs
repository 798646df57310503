//! Messages between token servers and the nodes that borrow from them.
//!
//! Field names are one letter on the wire, because a borrowed token costs two
//! of these messages.

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

/// A message about the tokens of teams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Tokens given back, in thousandths.
    Deposit(Vec<(Team, u64)>),
    /// A node requests tokens.
    Borrow {
        /// The borrower.
        #[serde(rename = "f")]
        from: Instance,
        /// The request.
        #[serde(rename = "w")]
        request: BorrowRequest,
    },
    /// The answer to a [`Message::Borrow`].
    Lend {
        /// The team.
        #[serde(rename = "t")]
        team: Team,
        /// The number of the request answered.
        #[serde(rename = "n")]
        number: u64,
        /// The answer.
        #[serde(rename = "l")]
        reply: LendReply,
    },
    /// An earlier server asks a later one for its parts of these teams' rates.
    WantParts {
        /// The earlier server.
        #[serde(rename = "f")]
        from: Instance,
        /// Counts the requests of the sender.
        #[serde(rename = "n")]
        number: u64,
        /// The teams.
        #[serde(rename = "t")]
        teams: Vec<Team>,
    },
    /// A later server delegates parts.
    Parts {
        /// The later server.
        #[serde(rename = "f")]
        from: Instance,
        /// The number of the request answered.
        #[serde(rename = "n")]
        number: u64,
        /// The parts.
        #[serde(rename = "p")]
        parts: Vec<DelegatedPart>,
    },
}

/// A part of a team's rate that a server delegates to an earlier one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DelegatedPart {
    /// The team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Duration, counted by the earlier server from when it asked.
    #[serde(rename = "l")]
    pub life: Span,
    /// The content of the bucket, in thousandths of a token.
    #[serde(rename = "m")]
    pub millis: u64,
}

/// A request for tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BorrowRequest {
    /// The team.
    #[serde(rename = "t")]
    pub team: Team,
    /// Counts the requests of the sender.
    #[serde(rename = "n")]
    pub number: u64,
    /// The number of whole tokens.
    #[serde(rename = "w")]
    pub want: u32,
    /// The importance of the calls that the tokens are for.
    #[serde(rename = "i")]
    pub importance: Importance,
    /// Thousandths of a token left over at another server, which this one may
    /// complete to a whole token.
    #[serde(rename = "b")]
    pub brought_millis: u64,
    /// Lifetime of the loan: counted by the borrower from when it asked, by the
    /// server from when it lent.
    #[serde(rename = "u")]
    pub life: Span,
    /// No further server will be asked.
    #[serde(rename = "l")]
    pub last: bool,
}

/// A server's answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LendReply {
    /// The number of whole tokens.
    #[serde(rename = "k")]
    pub tokens: u32,
    /// Thousandths of a token left over: to be offered to the next server where
    /// there is no whole token, or because the bucket had no room for them.
    #[serde(rename = "f")]
    pub fraction: u64,
    /// The time until the server has a whole token for this importance.
    #[serde(rename = "w")]
    pub wait: Span,
    /// Whether the server may mint tokens of this team.
    #[serde(rename = "s")]
    pub serving: bool,
}
