//! The platform's key-value service, as the rest of the program sees it.
//!
//! A call may be answered, refused, or lost. A lost call is the ordinary case
//! of an outage, and of an answer that was lost after the write took effect:
//! whoever made it must read back before concluding anything.

use std::{
    future::Future,
    pin::Pin, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Span,
    id::{
        Lease,
        Revision, //
    },
};

/// One call to the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Reads one value.
    Get {
        /// Its name.
        key: String,
    },
    /// Reads all values whose name begins so.
    List {
        /// The beginning.
        prefix: String,
    },
    /// Writes a value if its revision is still the expected one.
    Swap {
        /// Its name.
        key: String,
        /// The expected revision; zero when it must not exist.
        expect: Revision,
        /// The new value; nothing deletes it.
        value: Option<String>,
        /// The lease with which the value goes.
        lease: Option<Lease>,
    },
    /// Makes a lease.
    Grant {
        /// How long it lasts without renewal.
        ttl: Span,
    },
    /// Renews a lease.
    Renew {
        /// Which.
        lease: Lease,
    },
    /// Ends a lease, with all its values.
    Revoke {
        /// Which.
        lease: Lease,
    },
    /// Writes a value, whatever is there.
    Put {
        /// Its name.
        key: String,
        /// The new value.
        value: String,
        /// The lease with which the value goes.
        lease: Option<Lease>,
    },
    /// Reads all values whose name begins so, and the revision from which to
    /// follow them.
    Read {
        /// The beginning.
        prefix: String,
    },
    /// Waits until a value whose name begins so changes after a revision.
    Follow {
        /// The beginning.
        prefix: String,
        /// The revision already known.
        after: Revision,
        /// How long to wait before answering with no news.
        wait: Span,
    },
    /// Waits until a value is newer than a revision.
    Watch {
        /// Its name.
        key: String,
        /// The revision already known.
        after: Revision,
        /// How long to wait before answering with no news.
        wait: Span,
    },
}

impl Call {
    /// Whether the call changes something: values, or how long a lease lasts.
    pub fn writes(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. }
                | Self::List { .. }
                | Self::Watch { .. }
                | Self::Read { .. }
                | Self::Follow { .. }
        )
    }

    /// The question for what has changed since a revision; for all there is without
    /// one.
    pub fn changes(prefix: &str, after: Option<Revision>, wait: Span) -> Self {
        let prefix = prefix.to_owned();
        match after {
            None => Self::Read { prefix },
            Some(after) => Self::Follow {
                prefix,
                after,
                wait,
            },
        }
    }

    /// The revision after which the call follows changes.
    pub fn after(&self) -> Option<Revision> {
        match self {
            Self::Follow { after, .. } | Self::Watch { after, .. } => Some(*after),
            _ => None,
        }
    }

    /// The key or prefix that the call names, if it names one.
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::Get { key } | Self::Swap { key, .. } | Self::Watch { key, .. } => Some(key),
            Self::Put { key, .. } => Some(key),
            Self::List { prefix } | Self::Read { prefix } | Self::Follow { prefix, .. } => {
                Some(prefix)
            }
            Self::Grant { .. } | Self::Renew { .. } | Self::Revoke { .. } => None,
        }
    }
}

/// A value with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub key: String,
    /// Its value.
    pub value: String,
    /// When it was written, counted over the whole service.
    pub revision: Revision,
}

/// What became of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its name.
    pub key: String,
    /// The value as it was written; nothing when it was deleted.
    pub entry: Option<Entry>,
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// A value, or nothing when it does not exist.
    Value(Option<Entry>),
    /// Several values.
    Values(Vec<Entry>),
    /// Several values, as the service was at this revision or a little later.
    Listing {
        /// The values.
        entries: Vec<Entry>,
        /// From where to follow them.
        at: Revision,
    },
    /// What changed, in order; nothing when the time of waiting is over.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// From where to go on.
        at: Revision,
    },
    /// The changes after that revision are not kept any more.
    Forgotten,
    /// The write took effect, at this revision.
    Swapped(Revision),
    /// Somebody else wrote first: the value as it is now.
    Conflict(Option<Entry>),
    /// A lease was made or renewed, and lasts this long from the call on.
    Leased {
        /// Which.
        lease: Lease,
        /// How long.
        ttl: Span,
    },
    /// The lease does not exist any more.
    Expired,
    /// Nothing newer in the time of a watch, or a lease was revoked.
    Quiet,
    /// No answer: a write may or may not have taken effect.
    Lost,
}

/// A client of the service.
pub trait Store {
    /// Makes one call. A failure of any kind is [`Answer::Lost`].
    fn call(&self, call: Call) -> Pin<Box<dyn Future<Output = Answer>>>;
}
