//! The configuration as it is stored and sent: a single versioned document.

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

/// The document's key in the store.
pub const KEY: &str = "bluebellswitch/config";

/// The maximum size of an encoded document, in bytes.
pub const LIMIT: usize = 1 << 20;

/// The highest version that is adopted: the largest integer that every JSON parser
/// reads exactly. No version could follow a much higher one.
pub const MAX_VERSION: Version = Version(1 << 53);

/// The stored configuration: the operators' tables, teams and change history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Counts the accepted changes.
    pub version: Version,
    /// The id of the change that wrote this version. A writer recognizes its own
    /// write by it after a lost answer.
    pub change: Change,
    /// The table of routes, with the operators' comments.
    pub routes: String,
    /// The table of pools, with the operators' comments.
    pub pools: String,
    /// Teams and keys.
    pub teams: Teams,
    /// Evacuated failure domains, whose upstreams receive no requests.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub evacuated: BTreeSet<id::Domain>,
    /// The most recent changes, newest first, including the one that wrote this
    /// version.
    #[serde(default)]
    pub history: Vec<Entry>,
}

/// An accepted change in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The version that the change created.
    pub version: Version,
    /// The change's id.
    pub change: Change,
    /// The time of the write by the operator's clock, in milliseconds since the
    /// Unix epoch.
    pub at: u64,
    /// The operator who ran the command.
    pub by: String,
    /// A short form of the command.
    pub what: String,
    /// The rows that the change modified.
    pub rows: Vec<Touched>,
}

/// A row that a change modified.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Touched {
    /// The row's identifier.
    pub row: Row,
    /// A checksum of the row's previous fields, or `None` if the row did not
    /// exist.
    pub before: Option<u64>,
}

/// Identifies a row of any kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    /// A row of the table of routes.
    Route(id::Route),
    /// A row of the table of pools.
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
    /// Serializes the document for the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the document exceeds [`LIMIT`].
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

    /// Deserializes a document from the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid document.
    pub fn decode(text: &str) -> Result<Self> {
        let document: Self = serde_json::from_str(text).map_err(|error| {
            Error::new(Code::StoreData, error.to_string())
                .at(error.line(), error.column())
                .within(KEY)
        })?;
        check_version(document.version).map_err(|error| error.within(KEY))?;
        Ok(document)
    }

    /// Whether the history contains the change with this id.
    pub fn holds(&self, change: Change) -> bool {
        self.history.iter().any(|entry| entry.change == change)
    }
}

/// Refuses a version above [`MAX_VERSION`].
///
/// # Errors
///
/// Returns an error if the version is too high.
pub fn check_version(version: Version) -> Result<()> {
    match version <= MAX_VERSION {
        true => Ok(()),
        false => Err(Error::new(
            Code::StoreData,
            format!("version {version} is above {MAX_VERSION}"),
        )),
    }
}

/// A parsed and validated document, as used to handle requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The document's version.
    pub version: Version,
    /// The two tables.
    pub tables: Tables,
    /// Teams and keys.
    pub teams: Teams,
    /// The latest order for each failure domain that was ever evacuated, as far
    /// as this node knows.
    pub evacuations: BTreeMap<id::Domain, Evacuation>,
    /// Limits on callers, if the configuration sets them; otherwise the node's
    /// settings apply.
    pub callers: Option<Callers>,
}

/// An operator's order to stop sending requests to a failure domain's upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Whether the order is in force; `false` if it was revoked.
    pub in_force: bool,
    /// The store revision at which the order was seen; zero if it comes from the
    /// document.
    pub revision: Revision,
}

impl Snapshot {
    /// Returns the evacuated failure domains, whose upstreams receive no requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Domain> {
        let orders = self.evacuations.iter();
        let in_force = orders.filter(|(_, order)| order.in_force);
        in_force.map(|(domain, _)| domain)
    }
}

/// Limits on what callers send, from the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Maximum size of a request's headers.
    pub headers: Size,
    /// Maximum time to receive a request's headers.
    pub head_time: Span,
    /// Maximum time that a connection may be idle.
    pub idle: Span,
}

/// A shared reference to the current snapshot.
pub type Shared = Rc<Snapshot>;
