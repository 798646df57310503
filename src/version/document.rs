//! The configuration as it is stored and sent: one document, one version.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    rc::Rc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Span,
    error::{
        Code,
        Error,
        Result, //
    },
    id::{
        self,
        Change,
        Revision,
        Version, //
    },
    tables::Tables,
    team::Teams,
    unit::Size, //
};

/// The name of the document in the store.
pub const KEY: &str = "bluebellswitch/config";

/// The largest document, in bytes.
pub const LIMIT: usize = 1 << 20;

/// The operators' texts with their version. The store keeps exactly this.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Counts the accepted changes.
    pub version: Version,
    /// The change that wrote this, to recognize one's own write after a lost
    /// answer.
    pub change: Change,
    /// The table of routes, with the operators' comments.
    pub routes: String,
    /// The table of pools, with the operators' comments.
    pub pools: String,
    /// Teams and keys.
    pub teams: Teams,
    /// Failure domains whose upstreams get nothing.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<id::Domain>,
    /// The last changes, newest first, this one included.
    #[serde(default)]
    pub history: Vec<Entry>,
}

/// One accepted change, as the history keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The version that it made.
    pub version: Version,
    /// Its id.
    pub change: Change,
    /// When the operator's machine wrote it, in milliseconds since 1970.
    pub at: u64,
    /// Who gave the command.
    pub by: String,
    /// The command in short.
    pub what: String,
    /// The rows that it touched.
    pub rows: Vec<Touched>,
}

/// A row that a change touched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Touched {
    /// Which row.
    pub row: Row,
    /// A checksum of what it said before, or nothing when it was not there.
    pub before: Option<u64>,
}

/// The name of a row over all kinds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    /// Of the table of routes.
    Route(id::Route),
    /// Of the table of pools.
    Pool(id::Pool),
    /// A team.
    Team(id::Team),
    /// A key.
    Key(id::Key),
    /// A failure domain, while it is evacuated.
    Domain(id::Domain),
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(f, "route {name}"),
            Self::Pool(name) => write!(f, "pool {name}"),
            Self::Team(name) => write!(f, "team {name}"),
            Self::Key(name) => write!(f, "key {name}"),
            Self::Domain(name) => write!(f, "domain {name}"),
        }
    }
}

impl Document {
    /// Writes the document as the store keeps it.
    ///
    /// # Errors
    ///
    /// When it is larger than the store takes.
    pub fn encode(&self) -> Result<String> {
        let text = serde_json::to_string(self)
            .map_err(|error| Error::new(Code::StoreData, error.to_string()))?;
        if text.len() <= LIMIT {
            return Ok(text);
        }
        let reason = format!(
            "the configuration has {} bytes, and {LIMIT} are the most",
            text.len()
        );
        Err(Error::new(Code::Unit, reason))
    }

    /// Reads a document as the store keeps it.
    ///
    /// # Errors
    ///
    /// When the text is no document.
    pub fn decode(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|error| {
            Error::new(Code::StoreData, error.to_string())
                .at(error.line(), error.column())
                .within(KEY)
        })
    }

    /// Whether a change of this id is among the last ones.
    pub fn holds(&self, change: Change) -> bool {
        self.history.iter().any(|entry| entry.change == change)
    }
}

/// A document read and checked, as decisions use it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The document's version.
    pub version: Version,
    /// The two tables.
    pub tables: Tables,
    /// Teams and keys.
    pub teams: Teams,
    /// The last order on each failure domain that was ever evacuated, as far as
    /// this node has heard of it.
    pub evacuations: BTreeMap<id::Domain, Evacuation>,
    /// What callers may do, where the configuration says it; else the node's
    /// settings do.
    pub callers: Option<Callers>,
}

/// An operator's order to send nothing more to the upstreams of a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// It holds; else it was taken back.
    pub in_force: bool,
    /// The revision of the store that shows it; zero where the document does.
    pub revision: Revision,
}

impl Snapshot {
    /// The failure domains whose upstreams get nothing.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Domain> {
        let orders = self.evacuations.iter();
        let in_force = orders.filter(|(_, order)| order.in_force);
        in_force.map(|(domain, _)| domain)
    }
}

/// Limits on what callers send, from the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Bytes of a request's headers.
    pub headers: Size,
    /// Time for a head to arrive.
    pub head_time: Span,
    /// Time that a connection may be idle.
    pub idle: Span,
}

/// How decisions hold the version in force.
pub type Shared = Rc<Snapshot>;
