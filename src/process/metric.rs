//! What the decisions count.
//!
//! Decisions count into a plain [`Counts`]; the server reads it out through
//! OpenTelemetry. docs/operate/ lists every name.

use std::collections::BTreeMap;

use crate::{
    code::Code,
    retry::Reason, //
};

/// What made a request that began at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A caller.
    Root,
    /// A service, for a request that it works on.
    Nested,
    /// This node, to look at the upstream's health.
    Probe,
}

/// One thing worth counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Calls that arrived from callers.
    Calls,
    /// Nested calls that arrived from the service beside the node.
    Nested,
    /// Calls answered by an upstream, whole.
    Whole,
    /// Calls that ended with this code.
    Refused(Code),
    /// Attempts that the inbound proxy refused with this code.
    Turned(Code),
    /// Attempts beyond a hop's first, by reason.
    Retried(Reason),
    /// Retries that were wanted but not allowed, by reason.
    Unretried(Reason),
    /// Requests that began at the upstream, by kind.
    Started(Kind),
    /// Attempts that began at a cold upstream.
    ColdStarted,
    /// Attempts that began at an upstream that names a limit.
    LimitedStarted,
    /// Limits of the upstream that are no rate.
    LimitUnreadable,
    /// Frames for requests that nobody waits for.
    Late,
    /// Nested calls whose token named no running attempt.
    Unattributed,
    /// Documents older than the one in force, which were ignored.
    Stale,
    /// Documents that could not be read, which were not adopted.
    Invalid,
    /// Frames or links of peers that did not know the fleet secret.
    Unauthenticated,
    /// Datagrams without the right tag, or that are no message.
    DatagramDropped,
    /// Links that were made.
    LinkOpened,
    /// Links that broke, or could not be made.
    LinkBroken,
    /// Links refused as there were too many.
    LinkLimit,
    /// Connections refused as there were too many.
    ConnectionLimit,
    /// Answers that were cut on their way to the caller.
    AnswerCut,
}

/// Counts since the node began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(BTreeMap<Counter, u64>);

impl Counts {
    /// Adds one.
    pub fn add(&mut self, counter: Counter) {
        *self.0.entry(counter).or_default() += 1;
    }

    /// Reads one counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Every counter that is not zero, in a fixed order.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.0.iter().map(|(counter, count)| (*counter, *count))
    }
}
