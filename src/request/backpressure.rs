//! Backpressure that an upstream signals in the headers of its answers.
//!
//! An overloaded upstream names a limit, in requests per second over all nodes,
//! and an upstream that is shutting down says that it leaves. Every request
//! reaches it through the inbound proxy, so a single token bucket there, the
//! [`Throttle`], enforces the limit for the whole fleet: first attempts, retries,
//! nested calls and health probes.
//!
//! Answers may arrive out of order. A lower limit therefore applies at once, but
//! a higher one, or none, only from an answer to a request that started after the
//! current limit was last observed: such an answer was certainly produced later.
//!
//! What an upstream signals must survive a restart of the node beside it, so it is
//! also kept elsewhere as a [`Hint`]: reports carry it to the nodes that send
//! requests, and these pass it to the node's next incarnation ahead of their first
//! attempt.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Incarnation,
        Instance,
        Upstream, //
    },
    unit::Rate, //
};

/// Lowest rate in requests per second that is enforced, also when the upstream
/// names a lower one: without any request no answer could bring another limit.
const MIN_RATE: f64 = 0.25;
/// Burst of the token bucket: the requests of this part of a second, but at least
/// [`MIN_BURST`]. It is small because started requests cannot be recalled when the
/// limit falls.
const BURST_SECONDS: f64 = 0.05;
const MIN_BURST: f64 = 3.0;
/// Upper bound on the debt for requests that started before the limit was known, as
/// the time in which the limit allows that many.
const MAX_DEBT: Span = Span::from_secs(4);
/// How long a hint is kept without confirmation. It covers a restart of the node
/// beside the upstream, and the shutdown of an upstream.
const HINT_TIMEOUT: Span = Span::from_secs(60);

/// The limit in the headers of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Limit {
    /// The answer names no limit.
    #[default]
    Absent,
    /// Requests per second over all nodes.
    Named(Rate),
    /// The answer names a limit that is not a valid rate.
    Unreadable,
}

/// The backpressure signals in the headers of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// The limit that the upstream names.
    pub limit: Limit,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
}

/// What an upstream has signalled, as kept by other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The upstream process that signalled it.
    pub upstream: Upstream,
    /// The limit that it names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Rate>,
    /// Whether it said that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Token bucket that enforces the limit that one upstream names.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    limit: Option<Rate>,
    /// Requests that may start; negative when too many had started before the limit
    /// was known.
    tokens: f64,
    updated: Time,
    /// When the limit in force was last observed.
    confirmed: Time,
    /// Requests started since the last answer.
    unanswered: u32,
    /// Whether the upstream has answered since it, or this node, started.
    answered: bool,
}

impl Throttle {
    /// The limit in force.
    pub fn limit(&self) -> Option<Rate> {
        self.limit
    }

    /// Resets all state for a new upstream process.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Processes the limit in an answer to a request that started at `started`.
    pub fn observe(&mut self, now: Time, started: Time, limit: Limit) {
        let is_later = started > self.confirmed;
        match (limit, self.limit) {
            (Limit::Unreadable, _) | (Limit::Absent, None) => {}
            (Limit::Absent, Some(_)) if is_later => self.limit = None,
            (Limit::Absent, Some(_)) => {}
            (Limit::Named(rate), current) => {
                if current.is_none_or(|current| rate <= current || is_later) {
                    self.set_limit(now, rate);
                }
            }
        }
        self.answered = true;
        self.unanswered = 0;
    }

    /// Applies a limit that another node got from an earlier incarnation of
    /// this node. It is ignored once the upstream has answered here, as that answer
    /// is newer.
    pub fn apply_hint(&mut self, now: Time, limit: Option<Rate>) {
        if let Some(rate) = limit.filter(|_| !self.answered)
            && self.limit.is_none_or(|current| rate < current)
        {
            self.set_limit(now, rate);
        }
    }

    fn set_limit(&mut self, now: Time, rate: Rate) {
        match self.limit {
            None => {
                let max_debt = enforced_rate(rate) * MAX_DEBT.as_secs_f64();
                self.tokens = -f64::from(self.unanswered).min(max_debt);
            }
            Some(previous) => {
                let scale = (enforced_rate(rate) / enforced_rate(previous)).min(1.0);
                self.tokens = self.available(now);
                if self.tokens > 0.0 {
                    self.tokens *= scale;
                }
            }
        }
        self.updated = now;
        self.confirmed = now;
        self.limit = Some(rate);
    }

    /// Whether a request may start now.
    pub fn allows(&self, now: Time) -> bool {
        self.limit.is_none() || self.available(now) >= 1.0
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Time) {
        self.unanswered = self.unanswered.saturating_add(1);
        if self.limit.is_some() {
            self.tokens = self.available(now) - 1.0;
            self.updated = now;
        }
    }

    /// The wait of a request with this many others ahead of it.
    pub fn wait(&self, now: Time, ahead: usize) -> Span {
        let missing = (ahead as f64 + 1.0 - self.available(now)).max(0.0);
        Span::from_ms((missing * self.interval_ms()).ceil() as u64)
    }

    /// When the next request may start; never while there is no limit.
    pub fn due(&self) -> Time {
        if self.limit.is_none() {
            return Time::NEVER;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        self.updated + Span::from_ms((missing * self.interval_ms()).ceil() as u64)
    }

    /// The time between two starts in milliseconds; zero without a limit.
    pub fn interval_ms(&self) -> f64 {
        self.limit.map_or(0.0, |rate| 1000.0 / enforced_rate(rate))
    }

    /// Requests that may start now without a wait; none without a limit.
    pub fn available_starts(&self, now: Time) -> Option<u32> {
        self.limit
            .map(|_| self.available(now).max(0.0).floor() as u32)
    }

    fn available(&self, now: Time) -> f64 {
        let Some(rate) = self.limit else {
            return f64::INFINITY;
        };
        let burst = (enforced_rate(rate) * BURST_SECONDS).max(MIN_BURST);
        let refill = now.since(self.updated).as_secs_f64() * enforced_rate(rate);
        (self.tokens + refill).min(burst)
    }
}

/// The rate in requests per second that is enforced for a named limit.
fn enforced_rate(limit: Rate) -> f64 {
    limit.as_f64().max(MIN_RATE)
}

/// A hint, and the incarnation of the node that reported it.
#[derive(Clone, Copy, Debug)]
struct StoredHint {
    hint: Hint,
    incarnation: Incarnation,
    at: Time,
}

/// Hints about the upstreams at other nodes, kept by a node that sends requests. Several
/// upstreams may have run at one node in turn, and the hint of each is about itself alone.
#[derive(Clone, Debug, Default)]
pub struct Hints(BTreeMap<(Instance, Upstream), StoredHint>);

impl Hints {
    /// Records the hint, or its absence, in a report of another node. Its absence
    /// removes the stored hints only when the report came with an answer: the node
    /// has then observed the upstream's headers itself.
    pub fn record(
        &mut self,
        now: Time,
        peer: &Instance,
        incarnation: Incarnation,
        hint: Option<Hint>,
        is_answer: bool,
    ) {
        match hint {
            Some(hint) => self.insert(now, peer, incarnation, hint),
            None if is_answer => self
                .0
                .retain(|(name, _), stored| name != peer || stored.incarnation > incarnation),
            None => {}
        }
    }

    fn insert(&mut self, now: Time, peer: &Instance, incarnation: Incarnation, hint: Hint) {
        let key = (peer.clone(), hint.upstream);
        let known = self.0.get(&key);
        if known.is_some_and(|stored| stored.incarnation > incarnation) {
            return;
        }
        self.0
            .retain(|_, stored| now.since(stored.at) <= HINT_TIMEOUT);
        let stored = StoredHint {
            hint,
            incarnation,
            at: now,
        };
        self.0.insert(key, stored);
    }

    /// The hints that a new incarnation of a node must get ahead of an attempt.
    pub fn pending(
        &self,
        now: Time,
        peer: &Instance,
        incarnation: Incarnation,
    ) -> impl Iterator<Item = Hint> {
        let least = (peer.clone(), Upstream::default());
        let of_peer = self.0.range(least..).take_while({
            let peer = peer.clone();
            move |((name, _), _)| *name == peer
        });
        let is_needed = move |stored: &&StoredHint| {
            stored.incarnation < incarnation && now.since(stored.at) <= HINT_TIMEOUT
        };
        let stored = of_peer.map(|(_, stored)| stored).filter(is_needed);
        stored.map(|stored| stored.hint)
    }
}
