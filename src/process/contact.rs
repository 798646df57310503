//! Bounds the time for which a change in the store can be unknown to this node.
//!
//! A node hears of changes through a watcher or through its own calls that wait in the
//! store. Either can fall silent without an error: a peer is suspended, a connection is
//! dead, a partition drops packets. For each topic, [`Contact`] keeps the time up to
//! which all changes are known; the time since then is the *silence*. Every timeout on
//! the way of a change is a share of the operators' bound on that way, so that a
//! sequence of failures cannot exceed it: see [`Limits`].
//!
//! When the silence reaches [`Limits::check`], the node asks the store itself. If that
//! fails, the node has lost the store as well, and further checks wait until a cheaper
//! call has succeeded. An outage of the store therefore costs one check a node.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    feed::Topic,
    store::Answer, //
};

/// Longest wait of a call in the store. Confirmations of the configuration are up to
/// twice as old, which must be well below the bound on revoked keys.
const MAX_WAIT: Span = Span::from_ms(900);
/// Shortest wait of a call in the store.
const MIN_WAIT: Span = Span::from_ms(50);
/// Shares of the bound. The rest of the bound after [`CHECK_SHARE`] is left for the check
/// itself.
const WAIT_SHARE: f64 = 0.45;
const OVERDUE_SHARE: f64 = 0.6;
const WATCHER_SHARE: f64 = 0.05;
const ANSWER_SHARE: f64 = 0.15;
const CHECK_SHARE: f64 = 0.75;
/// Upper limits of these times. Behind a silent watcher the confirmations of the
/// configuration grow old as well, however long the bound on changes is.
const MAX_OVERDUE: Span = Span::from_ms(1700);
const MAX_WATCHER_MARGIN: Span = Span::from_ms(100);
const MAX_ANSWER: Span = Span::from_ms(300);
/// Longest time that watchers have, once the store answers again, to pass on its news
/// before a node checks itself.
const MAX_RECOVERY_DELAY: Span = Span::from_ms(500);

/// Timeouts on the way of a change from the store to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a call waits in the store for changes.
    pub wait: Span,
    /// Silence after which a node that watches the store checks it.
    pub overdue: Span,
    /// Silence after which a node turns away from its watcher.
    pub watcher: Span,
    /// Time in which a watcher has to answer if the silence is longer than that.
    pub answer: Span,
    /// Silence after which any node checks the store.
    pub check: Span,
}

impl Limits {
    /// The limits with which a change is in force within `bound`.
    pub fn within(bound: Span) -> Self {
        let overdue = bound.scale(OVERDUE_SHARE).min(MAX_OVERDUE);
        Self {
            wait: bound.scale(WAIT_SHARE).min(MAX_WAIT),
            overdue,
            watcher: overdue + bound.scale(WATCHER_SHARE).min(MAX_WATCHER_MARGIN),
            answer: bound.scale(ANSWER_SHARE).min(MAX_ANSWER),
            check: bound.scale(CHECK_SHARE),
        }
    }
}

/// Returns the time up to which an answer of the store includes all changes; `None` if it
/// says nothing about that. A call that waited in vain was answered when its wait was
/// over; for all other calls only the time at which they were sent is certain.
pub fn heard_at(sent: Time, wait: Span, now: Time, answer: &Answer) -> Option<Time> {
    match answer {
        Answer::Changes { changes, .. } if changes.is_empty() && now.since(sent) >= wait => {
            Some(sent + wait)
        }
        Answer::Changes { .. } | Answer::Listing { .. } | Answer::Partial { .. } => Some(sent),
        _ => None,
    }
}

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// There were changes.
    Changed,
    /// There were none.
    Unchanged,
    /// The store has dropped its history and has to be listed.
    Compacted,
    /// The store did not answer.
    Failed,
}

impl Outcome {
    /// The result of a check with this answer.
    pub fn of(answer: &Answer) -> Self {
        match answer {
            Answer::Changes { changes, .. } if changes.is_empty() => Self::Unchanged,
            Answer::Changes { .. } | Answer::Listing { .. } | Answer::Partial { .. } => {
                Self::Changed
            }
            Answer::Compacted => Self::Compacted,
            _ => Self::Failed,
        }
    }
}

/// How recently this node has heard from the store.
#[derive(Clone, Debug)]
pub struct Contact {
    limits: Limits,
    heard_at: BTreeMap<Topic, Time>,
    /// The topics about which a check is under way.
    checking: BTreeSet<Topic>,
    /// Since when calls to the store fail.
    lost_since: Option<Time>,
    /// No check is made before this time.
    next_check: Time,
}

impl Contact {
    /// Creates the state of a node that has heard nothing yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            heard_at: BTreeMap::new(),
            checking: BTreeSet::new(),
            lost_since: None,
            next_check: Time::ZERO,
        }
    }

    /// The timeouts.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Replaces the timeouts.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Records that all changes of a topic up to a time are known.
    pub fn heard(&mut self, topic: Topic, at: Time) {
        let known = self.heard_at.entry(topic).or_insert(at);
        *known = (*known).max(at);
    }

    /// Stops checking a topic until it is heard of again.
    pub fn forget(&mut self, topic: Topic) {
        self.heard_at.remove(&topic);
    }

    /// Time for which changes of a topic may be unknown; `None` if nothing is known.
    pub fn silence(&self, topic: Topic, now: Time) -> Option<Span> {
        self.heard_at.get(&topic).map(|at| now.since(*at))
    }

    /// When the silence on one of the topics has lasted for `limit`; `None` if nothing is
    /// known of any of them.
    pub fn silent_at<'a>(
        &self,
        topics: impl IntoIterator<Item = &'a Topic>,
        limit: Span,
    ) -> Option<Time> {
        let heard = topics
            .into_iter()
            .filter_map(|topic| self.heard_at.get(topic));
        heard.min().map(|at| *at + limit)
    }

    /// The wait of the next call about a topic. It may be shorter after a call that was
    /// answered early, so that the silence of both together is not taken for a loss.
    pub fn next_wait(&self, topic: Topic, now: Time) -> Span {
        let limits = &self.limits;
        let silence = self.silence(topic, now).unwrap_or(Span::ZERO);
        let left = limits.overdue - limits.answer - silence;
        left.max(MIN_WAIT).min(limits.wait)
    }

    /// Whether the store is known not to answer this node.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that a call to the store was answered.
    pub fn store_answered(&mut self, now: Time) {
        if let Some(since) = self.lost_since.take() {
            self.next_check = now + now.since(since).min(MAX_RECOVERY_DELAY);
        }
    }

    /// Records that a call to the store was not answered.
    pub fn store_lost(&mut self, now: Time) {
        self.lost_since.get_or_insert(now);
    }

    /// When the next check is due.
    pub fn due(&self, is_watching: bool) -> Time {
        if self.is_lost() || !self.checking.is_empty() {
            return Time::NEVER;
        }
        let silent_at = self.silent_at(self.heard_at.keys(), self.check_limit(is_watching));
        silent_at.map_or(Time::NEVER, |at| at.max(self.next_check))
    }

    /// Whether a check is due or under way.
    pub fn is_in_doubt(&self, now: Time, is_watching: bool) -> bool {
        !self.checking.is_empty() || self.due(is_watching) <= now
    }

    /// Returns the topic to check now, if any. `is_watching` tells whether this node asks
    /// the store for changes anyway. Topics are checked one after the other, so that a
    /// lost store costs one call.
    pub fn tick(&mut self, now: Time, is_watching: bool) -> Option<Topic> {
        if self.due(is_watching) > now {
            return None;
        }
        let limit = self.check_limit(is_watching);
        let is_silent = |(_, at): &(&Topic, &Time)| now.since(**at) >= limit;
        let topic = *self.heard_at.iter().rev().find(is_silent)?.0;
        self.checking.insert(topic);
        Some(topic)
    }

    /// Ends a check. Without an answer the store counts as lost.
    pub fn check_ended(&mut self, now: Time, topic: Topic, answered: bool) {
        self.checking.remove(&topic);
        match answered {
            true => self.store_answered(now),
            false => self.store_lost(now),
        }
    }

    fn check_limit(&self, is_watching: bool) -> Span {
        match is_watching {
            true => self.limits.overdue.min(self.limits.check),
            false => self.limits.check,
        }
    }
}
