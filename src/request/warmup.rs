//! Limits the rate at which requests start at a cold upstream.
//!
//! An upstream that has just started is slow, and it crashes at the request rate
//! that it handles once warm. Every request reaches it through the inbound proxy,
//! so a single token bucket there limits all of them: first attempts, retries,
//! nested calls and health probes.
//!
//! With a rate `r` and a burst `b`, at most `r + b` requests start in any second.
//! The bucket starts empty whenever the upstream turns cold, or may have turned
//! cold. This keeps the bound across a restart of the node: if its previous
//! incarnation ran for a part `s` of the second, it started at most `r * s + b`
//! requests, and this one starts `r * (1 - s)` in the rest.
//!
//! The upstream reports how long it stays cold, about once per heartbeat. It may
//! have restarted between two reports. Events after which that is possible raise
//! a [`Doubt`]; the upstream then counts as cold until its next report, or until
//! its full warm-up time has passed.

use crate::{
    clock::{
        Span,
        Time, //
    },
    tables::Pool, //
};

/// By how much the requests that start at a cold upstream within one second may
/// exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Requests on top of that.
    pub slack: f64,
}

/// The part of the slack that the burst uses. The rest covers requests that are
/// held in the upstream's socket buffers and arrive together.
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
    /// The rate limit of a cold upstream in this pool; none when the pool's
    /// configuration sets no rate.
    pub fn rate_limit(self, pool: &Pool) -> Option<RateLimit> {
        let rate = pool.cold?.as_f64();
        Some(RateLimit {
            rate,
            burst: rate * (self.overshoot - 1.0).max(0.0) + self.slack * SLACK_SHARE,
            warmup: pool.warmup,
        })
    }
}

/// Rate limit of a cold upstream, from the configuration of its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: f64,
    /// How long an upstream stays cold after its start.
    pub warmup: Span,
}

/// Why an upstream may be cold although it has not reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It has just become ready and has not reported yet.
    Unreported,
    /// No connection to it could be opened.
    Refused,
    /// This node was suspended.
    Suspended,
    /// The evacuation of its failure domain has just ended.
    Returned,
}

/// Whether the upstream is assumed to be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It is warm: only its slots limit it.
    Warm,
    /// It reported that it is cold until then.
    Cold(Time),
    /// It may have turned cold at this time, for this reason.
    MaybeCold(Doubt, Time),
}

/// The token bucket in front of one upstream. It is in force while the upstream
/// is, or may be, cold.
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    limit: Option<RateLimit>,
    status: Status,
    tokens: f64,
    updated: Time,
}

impl Default for ColdLimiter {
    fn default() -> Self {
        Self {
            limit: None,
            status: Status::Warm,
            tokens: 0.0,
            updated: Time::ZERO,
        }
    }
}

impl ColdLimiter {
    /// Sets the rate limit; without one nothing is limited.
    pub fn configure(&mut self, limit: Option<RateLimit>) {
        self.limit = limit.filter(|limit| limit.rate > 0.0);
    }

    /// Whether the upstream is assumed to be cold.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Whether the rate limit is in force.
    pub fn is_cold(&self) -> bool {
        self.limit.is_some() && self.status != Status::Warm
    }

    /// The upstream reported how much longer it stays cold.
    pub fn report(&mut self, now: Time, left: Span) {
        self.set_status(
            now,
            match left {
                Span::ZERO => Status::Warm,
                left => Status::Cold(now + left),
            },
        );
    }

    /// The upstream may have turned cold.
    pub fn suspect_cold(&mut self, now: Time, doubt: Doubt) {
        self.set_status(now, Status::MaybeCold(doubt, now));
    }

    /// Marks the upstream as warm once its cold period is over.
    pub fn tick(&mut self, now: Time) {
        let warmup = self.limit.map_or(Span::ZERO, |limit| limit.warmup);
        let is_over = match self.status {
            Status::Warm => false,
            Status::Cold(until) => until <= now,
            Status::MaybeCold(_, since) => since + warmup <= now,
        };
        if is_over {
            self.status = Status::Warm;
        }
    }

    /// Whether a request may start now.
    pub fn allows(&self, now: Time) -> bool {
        !self.is_cold() || self.available(now) >= 1.0
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Time) {
        if self.is_cold() {
            self.tokens = self.available(now) - 1.0;
            self.updated = now;
        }
    }

    /// The wait of a request with this many others ahead of it.
    pub fn wait(&self, now: Time, ahead: usize) -> Span {
        let Some(limit) = self.limit.filter(|_| self.is_cold()) else {
            return Span::ZERO;
        };
        let missing = (ahead as f64 + 1.0 - self.available(now)).max(0.0);
        Span::from_ms((missing / limit.rate * 1000.0).ceil() as u64)
    }

    /// When the next request may start; never while warm.
    pub fn due(&self) -> Time {
        let Some(limit) = self.limit.filter(|_| self.is_cold()) else {
            return Time::NEVER;
        };
        let missing = (1.0 - self.tokens).max(0.0);
        self.updated + Span::from_ms((missing / limit.rate * 1000.0).ceil() as u64)
    }

    /// The time between two starts in milliseconds; zero while warm.
    pub fn interval_ms(&self) -> f64 {
        let limit = self.limit.filter(|_| self.is_cold());
        limit.map_or(0.0, |limit| 1000.0 / limit.rate)
    }

    /// Requests that may start now without a wait; none while warm.
    pub fn available_starts(&self, now: Time) -> Option<u32> {
        self.is_cold()
            .then(|| self.available(now).max(0.0).floor() as u32)
    }

    fn set_status(&mut self, now: Time, status: Status) {
        if self.status == Status::Warm {
            self.tokens = 0.0;
            self.updated = now;
        }
        self.status = status;
    }

    fn available(&self, now: Time) -> f64 {
        let Some(limit) = self.limit else {
            return 0.0;
        };
        let refill = now.since(self.updated).as_secs_f64() * limit.rate;
        (self.tokens + refill).min(limit.burst.max(1.0))
    }
}
