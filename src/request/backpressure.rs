//! What an upstream tells about itself in the head of every answer.
//!
//! An upstream in need names the requests a second that it takes from all nodes
//! together, and one that leaves says so. The inbound proxy is the only way to it,
//! so one token bucket there, the [`Throttle`], keeps the limit for the whole
//! fleet: first tries, retries, nested calls and probes.
//!
//! Answers overtake each other, so a lower limit counts at once, and a higher one,
//! or none, only from an answer to a request that began after the present limit
//! was last heard: that answer was certainly made later.
//!
//! What an upstream told outlives the node beside it in a [`Hint`]: it rides on
//! reports to the nodes that send, and these pass it to the next life of the node
//! ahead of their first attempt.

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

/// Requests a second that begin all the same at an upstream that names less:
/// without any no answer could tell of another limit.
const MIN_RATE: f64 = 0.25;
/// Requests that may begin at once: as many as come due in this part of a second, at
/// least [`MIN_BURST`]. What has begun cannot be taken back when the limit falls.
const BURST_SECONDS: f64 = 0.05;
const MIN_BURST: f64 = 3.0;
/// How long a request that began before its upstream's limit was heard counts
/// against it.
const DEBT_WINDOW: Span = Span::from_secs(4);
/// How long a hint is kept that nothing confirms. It covers a restart of the node
/// beside the upstream and the time in which an upstream leaves.
const HINT_TIMEOUT: Span = Span::from_secs(60);

/// The limit in the head of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Limit {
    /// None is named.
    #[default]
    Absent,
    /// Requests a second from all nodes together.
    Named(Rate),
    /// One is named that is no rate.
    Unreadable,
}

/// What the head of one answer tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// The limit that the upstream names.
    pub limit: Limit,
    /// Whether it says that it leaves.
    pub leaving: bool,
}

/// What is known of an upstream from its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hint {
    /// The life of the upstream that told it.
    pub upstream: Upstream,
    /// The limit that it names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<Rate>,
    /// Whether it said that it leaves.
    #[serde(default)]
    pub leaving: bool,
}

/// Keeps the limit that one upstream names.
#[derive(Clone, Debug, Default)]
pub struct Throttle {
    limit: Option<Rate>,
    /// Requests that may begin; below zero after a limit was heard late.
    tokens: f64,
    updated: Time,
    /// When the limit in force was last heard.
    confirmed: Time,
    /// Requests begun since the last answer.
    unanswered: u32,
    /// Whether the upstream has answered since it or this node began.
    answered: bool,
}

impl Throttle {
    /// The limit in force.
    pub fn limit(&self) -> Option<Rate> {
        self.limit
    }

    /// Forgets everything: another upstream is there.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// An answer to a request that began at `begun` names a limit, or none.
    pub fn observe(&mut self, now: Time, begun: Time, limit: Limit) {
        let is_later = begun > self.confirmed;
        match (limit, self.limit) {
            (Limit::Unreadable, _) | (Limit::Absent, None) => {}
            (Limit::Absent, Some(_)) if is_later => self.limit = None,
            (Limit::Absent, Some(_)) => {}
            (Limit::Named(rate), present) => {
                if present.is_none_or(|present| rate <= present || is_later) {
                    self.enter(now, rate);
                }
            }
        }
        self.answered = true;
        self.unanswered = 0;
    }

    /// Another node has heard this limit through a former life of this one. An
    /// answer heard here is newer.
    pub fn apply_hint(&mut self, now: Time, limit: Option<Rate>) {
        if let Some(rate) = limit.filter(|_| !self.answered)
            && self.limit.is_none_or(|present| rate < present)
        {
            self.enter(now, rate);
        }
    }

    fn enter(&mut self, now: Time, rate: Rate) {
        match self.limit {
            None => {
                let most = pace(rate) * DEBT_WINDOW.as_secs_f64();
                self.tokens = -f64::from(self.unanswered).min(most);
            }
            Some(before) => {
                let share = (pace(rate) / pace(before)).min(1.0);
                self.tokens = self.available(now);
                if self.tokens > 0.0 {
                    self.tokens *= share;
                }
            }
        }
        self.updated = now;
        self.confirmed = now;
        self.limit = Some(rate);
    }

    /// Whether a request may begin now.
    pub fn allows(&self, now: Time) -> bool {
        self.limit.is_none() || self.available(now) >= 1.0
    }

    /// A request begins.
    pub fn record_start(&mut self, now: Time) {
        self.unanswered = self.unanswered.saturating_add(1);
        if self.limit.is_some() {
            self.tokens = self.available(now) - 1.0;
            self.updated = now;
        }
    }

    /// How long a request waits that this many others are ahead of.
    pub fn wait(&self, now: Time, ahead: usize) -> Span {
        let missing = (ahead as f64 + 1.0 - self.available(now)).max(0.0);
        Span::from_ms((missing * self.interval_ms()).ceil() as u64)
    }

    /// When the next request may begin; never while there is no limit.
    pub fn due(&self) -> Time {
        if self.limit.is_none() {
            return Time::NEVER;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        self.updated + Span::from_ms((missing * self.interval_ms()).ceil() as u64)
    }

    /// The time between two requests in milliseconds; zero without a limit.
    pub fn interval_ms(&self) -> f64 {
        self.limit.map_or(0.0, |rate| 1000.0 / pace(rate))
    }

    /// Requests that may begin now without a wait; nothing without a limit.
    pub fn available_starts(&self, now: Time) -> Option<u32> {
        self.limit
            .map(|_| self.available(now).max(0.0).floor() as u32)
    }

    fn available(&self, now: Time) -> f64 {
        let Some(rate) = self.limit else {
            return f64::INFINITY;
        };
        let burst = (pace(rate) * BURST_SECONDS).max(MIN_BURST);
        let gained = now.since(self.updated).as_secs_f64() * pace(rate);
        (self.tokens + gained).min(burst)
    }
}

/// Requests a second that begin at an upstream that names this limit.
fn pace(limit: Rate) -> f64 {
    limit.as_f64().max(MIN_RATE)
}

/// One hint, and the life of the node that gave it.
#[derive(Clone, Copy, Debug)]
struct Kept {
    hint: Hint,
    life: Incarnation,
    at: Time,
}

/// What a sending node knows of upstreams at other nodes.
#[derive(Clone, Debug, Default)]
pub struct Hints(BTreeMap<Instance, Kept>);

impl Hints {
    /// A node reported what its upstream told, or that it told nothing. Only a
    /// report that rides on an answer proves the latter.
    pub fn record(
        &mut self,
        now: Time,
        peer: &Instance,
        life: Incarnation,
        hint: Option<Hint>,
        is_answer: bool,
    ) {
        let is_old = self.0.get(peer).is_some_and(|kept| kept.life > life);
        match hint {
            _ if is_old => {}
            Some(hint) => {
                self.0.retain(|_, kept| now.since(kept.at) <= HINT_TIMEOUT);
                let kept = Kept {
                    hint,
                    life,
                    at: now,
                };
                self.0.insert(peer.clone(), kept);
            }
            None if is_answer => {
                self.0.remove(peer);
            }
            None => {}
        }
    }

    /// What a later life of the node has to be told ahead of an attempt.
    pub fn pending(&self, now: Time, peer: &Instance, life: Incarnation) -> Option<Hint> {
        let kept = self.0.get(peer)?;
        let is_news = kept.life < life && now.since(kept.at) <= HINT_TIMEOUT;
        is_news.then_some(kept.hint)
    }
}
