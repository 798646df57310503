//! The interface of the platform's key-value service.
//!
//! A call may be answered, rejected or lost. A call is lost in an outage, but
//! also if the response is lost after the write took effect: the caller must
//! read the value back to learn the outcome.

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

/// A request to the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Reads one value.
    Get {
        /// The key of the value.
        key: String,
    },
    /// Reads one value, which may be some seconds old. Cheaper than [`Call::Get`], and also
    /// answered if the revision cannot be read.
    Peek {
        /// The key of the value.
        key: String,
    },
    /// Reads all values whose key has a prefix.
    List {
        /// The prefix of the keys.
        prefix: String,
    },
    /// Writes a value if its revision is the expected one (compare-and-swap).
    Swap {
        /// The key of the value.
        key: String,
        /// The expected revision; zero if the key must not exist.
        expect: Revision,
        /// The new value, or `None` to delete the key.
        value: Option<String>,
        /// The lease with which the value expires, if any.
        lease: Option<Lease>,
        /// Another key, which must not exist. If it does, the answer is
        /// [`Answer::Conflict`] as well.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unless: Option<String>,
    },
    /// Creates a lease.
    Grant {
        /// The time after which the lease expires unless it is renewed.
        ttl: Span,
    },
    /// Renews a lease.
    Renew {
        /// The lease to renew.
        lease: Lease,
    },
    /// Ends a lease and deletes the values attached to it.
    Revoke {
        /// The lease to end.
        lease: Lease,
    },
    /// Writes a value unconditionally.
    Put {
        /// The key of the value.
        key: String,
        /// The new value.
        value: String,
        /// The lease with which the value expires, if any.
        lease: Option<Lease>,
    },
    /// Reads all values whose key has a prefix, and the revision from which to
    /// follow their changes.
    Read {
        /// The prefix of the keys.
        prefix: String,
    },
    /// Waits until a value whose key has a prefix changes after a revision.
    Follow {
        /// The prefix of the keys.
        prefix: String,
        /// The revision already known.
        after: Revision,
        /// The time after which the service answers even if nothing changed.
        wait: Span,
    },
    /// Waits until a value has a newer revision than the given one.
    Watch {
        /// The key of the value.
        key: String,
        /// The revision already known.
        after: Revision,
        /// The time after which the service answers even if nothing changed.
        wait: Span,
    },
}

impl Call {
    /// Whether the call changes values or leases.
    pub fn writes(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. }
                | Self::Peek { .. }
                | Self::List { .. }
                | Self::Watch { .. }
                | Self::Read { .. }
                | Self::Follow { .. }
        )
    }

    /// Returns the call that waits for changes after a revision, or without a
    /// revision, the call that reads all values.
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

    /// Returns the revision after which the call waits for changes, if it waits.
    pub fn after(&self) -> Option<Revision> {
        match self {
            Self::Follow { after, .. } | Self::Watch { after, .. } => Some(*after),
            _ => None,
        }
    }

    /// Returns the answer to a call that waited for changes and saw none.
    pub fn timed_out(&self) -> Answer {
        match self {
            Self::Follow { after, .. } => Answer::Changes {
                changes: Vec::new(),
                at: *after,
            },
            _ => Answer::Quiet,
        }
    }

    /// Returns the key or prefix of the call, if it has one.
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::Get { key } | Self::Peek { key } | Self::Put { key, .. } => Some(key),
            Self::Swap { key, .. } | Self::Watch { key, .. } => Some(key),
            Self::List { prefix } | Self::Read { prefix } | Self::Follow { prefix, .. } => {
                Some(prefix)
            }
            Self::Grant { .. } | Self::Renew { .. } | Self::Revoke { .. } => None,
        }
    }
}

/// A value with its key and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty if it is not valid text.
    pub value: String,
    /// The revision of the write; zero if it cannot be read. Revisions count all
    /// writes to the service.
    pub revision: Revision,
}

/// A write or deletion of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value as written, or `None` if it was deleted.
    pub entry: Option<Entry>,
}

/// A response of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// A value, or `None` if it does not exist.
    Value(Option<Entry>),
    /// Several values.
    Values(Vec<Entry>),
    /// Several values. They may include writes later than the revision `at`.
    Listing {
        /// The values.
        entries: Vec<Entry>,
        /// The revision from which to follow their changes.
        at: Revision,
    },
    /// Some of the values: others could not be read, so a value that is missing may exist.
    Partial {
        /// The values.
        entries: Vec<Entry>,
        /// The revision from which to follow their changes.
        at: Revision,
    },
    /// The changes, in order; empty if the wait timed out.
    Changes {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// The revision from which to continue.
        at: Revision,
    },
    /// The changes after the requested revision have been compacted: the caller
    /// must read all values again.
    #[serde(rename = "Forgotten")]
    Compacted,
    /// The write succeeded, at this revision.
    Swapped(Revision),
    /// The revision was not the expected one, or a key exists that must not. Holds the
    /// current value.
    Conflict(Option<Entry>),
    /// A lease was created or renewed.
    Leased {
        /// The lease.
        lease: Lease,
        /// The time to live, counted from when the call was made.
        ttl: Span,
    },
    /// The lease no longer exists.
    Expired,
    /// A watch timed out without a newer revision, or a lease was revoked.
    Quiet,
    /// The call had no effect, and what the key holds cannot be read.
    Unreadable,
    /// No valid response: a write may or may not have taken effect.
    Lost,
}

/// A client of the service.
pub trait Store {
    /// Makes a call. Every failure is reported as [`Answer::Lost`].
    fn call(&self, call: Call) -> Pin<Box<dyn Future<Output = Answer>>>;

    /// How many rows of its answers could not be read so far.
    fn unreadable_rows(&self) -> u64 {
        0
    }
}
