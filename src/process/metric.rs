//! Event counters.
//!
//! The decision logic increments counters in a plain [`Counts`] value; the server
//! exports them through OpenTelemetry. docs/operate/ lists every metric name.

use std::collections::BTreeMap;

use crate::{
    balance::share::Crossing,
    code::Code,
    feed,
    inbound::Evidence,
    memory::Owner,
    retry::{
        Reason,
        class::Progress, //
    },
    task::{
        Essential,
        Unit, //
    },
};

/// Origin of a request that was started at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A request from an external caller.
    Root,
    /// A request that a service makes while it handles another one.
    Nested,
    /// A health probe of this node.
    Probe,
}

/// How far a call had got when its node stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No attempt was under way.
    Waiting,
    /// An attempt was under way.
    Sent,
    /// An attempt was under way and had started at its upstream.
    Begun,
    /// An answer was being relayed.
    Answering,
}

/// Why a draining node does not take on a call or send it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainRefusal {
    /// The node is about to stop, and no request that it finishes needs the call.
    Closed,
    /// The call may take longer than the node has left.
    TooLate,
}

/// Why the connection of a caller ended before a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionEnd {
    /// The caller disconnected.
    CallerGone,
    /// This node closed the connection after an earlier answer.
    Closed,
    /// An answer broke off, so that nothing could be written after it.
    Cut,
    /// The node stopped.
    Stopped,
}

/// Why a connection to the upstream was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Opened {
    /// No connection was idle.
    NoneIdle,
    /// All idle connections had carried a request with the same id before.
    IdRepeated,
}

/// A counter. The metric name and its labels derive from the `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Calls that arrived from callers.
    Calls,
    /// Nested calls that arrived from the service beside the node.
    Nested,
    /// Calls for which the complete answer of an upstream was received.
    Whole,
    /// Calls that ended with this code instead of an answer.
    Refused(Code),
    /// Attempts that the inbound proxy refused with this code.
    Turned(Code),
    /// Retries, that is, attempts after the first one of a hop, by reason.
    Retried(Reason),
    /// Retries that were wanted but not allowed, by reason.
    Unretried(Reason),
    /// Retries taken from a pool's budget by class, by progress of the chain.
    ChainRetryTaken(Progress),
    /// Retries refused because a pool's budget is exhausted, by progress of the chain.
    ChainRetryExhausted(Progress),
    /// Retries refused because what a pool's budget holds is reserved for higher
    /// classes, by progress of the chain.
    ChainRetryReserved(Progress),
    /// Calls without a token that were attributed to a running attempt while retries
    /// are taken by class, by evidence.
    Attributed(Evidence),
    /// Attempts sent to another instance than by utilization, because it is faster.
    SpeedPreferred,
    /// Attempts sent to learn how fast an instance is now.
    SpeedProbed,
    /// Times that an instance was found stalled.
    StallBegun,
    /// Stalls that ended with a sign of life.
    StallEnded,
    /// Attempts sent to a stalled instance to find out whether it has recovered.
    StallProbed,
    /// Attempts at a stalled instance that were retried elsewhere.
    StallRetried,
    /// Checks of a pool in which so many instances were stalled that it was ignored.
    StallsIgnored,
    /// Requests sent to another failure domain although their own has instances, by
    /// reason.
    Crossed(Crossing),
    /// Requests that were started at the upstream, by origin.
    Started(Kind),
    /// Attempts that started at the upstream and are repeats: their call has reached an
    /// upstream before, or the run that made it is a repeat.
    StartedAgain(Kind),
    /// Attempts that were started at a cold upstream.
    ColdStarted,
    /// Attempts that were started at an upstream that announces a rate limit.
    LimitedStarted,
    /// Rate limits announced by the upstream that could not be parsed.
    LimitUnreadable,
    /// Frames that refer to a request that has ended or is unknown, or that repeat
    /// a request already received.
    Late,
    /// Nested calls whose token named no running attempt.
    Unattributed,
    /// Configuration documents ignored because a newer one is in force.
    Stale,
    /// Configuration documents rejected because they could not be read.
    Invalid,
    /// Watchers that this node turned away from, by reason.
    WatcherAbandoned(feed::Reason),
    /// Calls to the store for members or configuration that failed.
    WatchFailed(feed::Topic),
    /// Rows in responses of the store that could not be read.
    RowUnreadable,
    /// Records of members in the store that were not accepted.
    RecordInvalid,
    /// Checks of the store, by topic, after it had not been heard of for too long.
    StoreChecked(feed::Topic),
    /// Frames or links of peers that failed to authenticate with the fleet secret.
    Unauthenticated,
    /// Datagrams dropped because of a wrong authentication tag or malformed content.
    DatagramDropped,
    /// Announcements of upstreams that could not be read.
    AnnouncementRefused,
    /// Gossiped member records that were ignored because of an invalid number or address.
    MemberRecordRefused,
    /// Refusals that would have said that a request was not run while the outcome of its
    /// attempt was not known.
    OutcomeUnproven,
    /// Connections to the upstream that were opened for a request, by reason.
    UpstreamConnected(Opened),
    /// Responses of the upstream that belonged to an earlier request.
    StrayAnswer,
    /// Responses of the upstream without a request id, on a connection that had carried
    /// other requests.
    AnswerUnidentified,
    /// Links that were established.
    LinkOpened,
    /// Links that broke or could not be established.
    LinkBroken,
    /// Links closed because they held too much memory.
    LinkOverrun,
    /// Links refused because the maximum number was reached.
    LinkLimit,
    /// Connections refused because the maximum number was reached.
    ConnectionLimit,
    /// Calls that were refused at their deadline although nothing was known of them any
    /// more.
    CallForgotten,
    /// Answers that arrived but could not be relayed, as their attempt was released.
    AnswerLost,
    /// Answers that were cut off before the caller had received them completely.
    AnswerCut,
    /// Requests of callers whose connection ended before there was an answer.
    Unanswered(ConnectionEnd),
    /// Buffers that were given up because the memory held for other parties exceeded its
    /// budget, by the party that filled them.
    MemoryEvicted(Owner),
    /// Calls that a draining node took on, by origin.
    DrainTaken(Kind),
    /// Calls that a draining node refused, or did not send again, by reason.
    DrainRefused(DrainRefusal),
    /// Calls without a complete answer when the time for draining was over, by how far
    /// they had got.
    DrainCut(Stage),
    /// Panics that ended a unit of work, by its kind.
    Panicked(Unit),
    /// Ends of tasks without which the node does not work; they are started again.
    TaskEnded(Essential),
    /// Answers that were ready when the connection of their caller ended, but not
    /// written.
    AnswerUnsent(ConnectionEnd),
}

/// Counter values since the node started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(BTreeMap<Counter, u64>);

impl Counts {
    /// Increments a counter by one.
    pub fn add(&mut self, counter: Counter) {
        *self.0.entry(counter).or_default() += 1;
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.0.get(&counter).copied().unwrap_or(0)
    }

    /// Iterates over all non-zero counters in the order of [`Counter`].
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> + '_ {
        self.0.iter().map(|(counter, count)| (*counter, *count))
    }
}
