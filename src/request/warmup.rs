//! Limits the requests that begin at a cold upstream.
//!
//! An upstream that has just started is slow, and crashes when it gets requests
//! at the rate that it takes once it is warm. The inbound proxy is the only way to
//! it, so one token bucket there meters all of them: first tries, retries, nested
//! calls and probes.
//!
//! With a rate `r` and a burst `b`, at most `r + b` requests begin in any second.
//! The bucket starts empty whenever the upstream turns cold, or may have: if a
//! former life of this node used a part `s` of a window, it started `r * s + b` at
//! most in it, and this life starts `r * (1 - s)` in the rest.
//!
//! The upstream reports how long it stays cold, about once a heartbeat. Between
//! two reports it may have started again. Events after which that is possible
//! raise a [`Doubt`], and an upstream in doubt counts as cold until its next
//! report, or until it would have been warm again in any case.

use crate::{
    clock::{
        Span,
        Time, //
    },
    tables::Pool, //
};

/// How far requests at a cold upstream may exceed its rate in one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Times the rate.
    pub overshoot: f64,
    /// Requests beside.
    pub slack: f64,
}

/// The part of the slack that is used. The rest covers requests that wait in the
/// upstream's sockets and arrive together.
const SLACK_SHARE: f64 = 0.5;

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            overshoot: 1.5,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// The terms for an upstream of a pool; none where its row gives no rate.
    pub fn rate_limit(self, pool: &Pool) -> Option<RateLimit> {
        let rate = pool.cold?.as_f64();
        Some(RateLimit {
            rate,
            burst: rate * (self.overshoot - 1.0).max(0.0) + self.slack * SLACK_SHARE,
            time: pool.warmup,
        })
    }
}

/// How fast a cold upstream takes requests, from its pool's row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests that may begin at once after a pause.
    pub burst: f64,
    /// How long an upstream is cold after its start.
    pub time: Span,
}

/// Why an upstream may be cold although it has not said so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It has just come up and reported nothing yet.
    Unreported,
    /// It accepted no connection.
    Refused,
    /// This node was suspended.
    Suspended,
    /// The evacuation of its failure domain has just ended.
    Returned,
}

/// What is believed of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes requests as fast as its slots allow.
    Warm,
    /// It said that it is cold until then.
    Cold(Time),
    /// It may have turned cold at this time.
    MaybeCold(Doubt, Time),
}

/// The token bucket in front of one upstream.
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    terms: Option<RateLimit>,
    status: Status,
    tokens: f64,
    updated: Time,
}

impl Default for ColdLimiter {
    fn default() -> Self {
        Self {
            terms: None,
            status: Status::Warm,
            tokens: 0.0,
            updated: Time::ZERO,
        }
    }
}

impl ColdLimiter {
    /// Goes by the pool's row; without terms nothing is metered.
    pub fn configure(&mut self, terms: Option<RateLimit>) {
        self.terms = terms.filter(|terms| terms.rate > 0.0);
    }

    /// What is believed of the upstream.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether requests are metered.
    pub fn is_cold(&self) -> bool {
        self.terms.is_some() && self.status != Status::Warm
    }

    /// The upstream reported how much longer it is cold.
    pub fn report(&mut self, now: Time, left: Span) {
        self.enter(
            now,
            match left {
                Span::ZERO => Status::Warm,
                left => Status::Cold(now + left),
            },
        );
    }

    /// The upstream may have turned cold.
    pub fn suspect_cold(&mut self, now: Time, doubt: Doubt) {
        self.enter(now, Status::MaybeCold(doubt, now));
    }

    /// Ends a cold time that is over.
    pub fn tick(&mut self, now: Time) {
        let time = self.terms.map_or(Span::ZERO, |terms| terms.time);
        let over = match self.status {
            Status::Warm => false,
            Status::Cold(until) => until <= now,
            Status::MaybeCold(_, since) => since + time <= now,
        };
        if over {
            self.status = Status::Warm;
        }
    }

    /// Whether a request may begin now.
    pub fn allows(&self, now: Time) -> bool {
        !self.is_cold() || self.available(now) >= 1.0
    }

    /// A request begins.
    pub fn record_start(&mut self, now: Time) {
        if self.is_cold() {
            self.tokens = self.available(now) - 1.0;
            self.updated = now;
        }
    }

    /// How long a request waits that this many others are ahead of.
    pub fn wait(&self, now: Time, ahead: usize) -> Span {
        let Some(terms) = self.terms.filter(|_| self.is_cold()) else {
            return Span::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - self.available(now)).max(0.0);
        Span::from_ms((missing / terms.rate * 1000.0).ceil() as u64)
    }

    /// When the next request may begin, or the cold time ends.
    pub fn due(&self) -> Time {
        let Some(terms) = self.terms.filter(|_| self.is_cold()) else {
            return Time::NEVER;
        };
        let missing = (1.0 - self.tokens).max(0.0);
        self.updated + Span::from_ms((missing / terms.rate * 1000.0).ceil() as u64)
    }

    /// The time between two requests in milliseconds; zero while warm.
    pub fn interval_ms(&self) -> f64 {
        let terms = self.terms.filter(|_| self.is_cold());
        terms.map_or(0.0, |terms| 1000.0 / terms.rate)
    }

    /// Requests that may begin now without a wait; nothing while warm.
    pub fn available_starts(&self, now: Time) -> Option<u32> {
        self.is_cold()
            .then(|| self.available(now).max(0.0).floor() as u32)
    }

    fn enter(&mut self, now: Time, status: Status) {
        if self.status == Status::Warm {
            self.tokens = 0.0;
            self.updated = now;
        }
        self.status = status;
    }

    fn available(&self, now: Time) -> f64 {
        let Some(terms) = self.terms else {
            return 0.0;
        };
        let gained = now.since(self.updated).as_secs_f64() * terms.rate;
        (self.tokens + gained).min(terms.burst.max(1.0))
    }
}
