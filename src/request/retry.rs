//! Whether a failed attempt may be tried again.
//!
//! A request that is not idempotent is tried again only when it was certainly
//! not run. The root's [allowance](crate::allowance) bounds the retries of one
//! request, the [`Budget`] those of one pool.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Importance,
    id::Pool, //
};

/// The share of first tries that a pool's retries may amount to.
const RATIO: f64 = 0.1;
/// Retries a second that are always allowed, so that a pool with little traffic
/// can retry at all.
const FLOOR: f64 = 2.0;
/// Retries that may be saved up.
const SAVED: f64 = 20.0;
/// The time over which the rate of first tries is taken.
const LATELY: Span = Span::from_secs(2);
/// The ceiling of the first wait, doubled for each further one.
const WAIT: Span = Span::from_ms(10);
const LONGEST_WAIT: Span = Span::from_ms(500);

/// Why an attempt is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The inbound proxy said that it has not run.
    NotRun,
    /// The instance is leaving; costs nothing, once a hop.
    Leaving,
    /// The outcome is unknown and the request is idempotent.
    Unknown,
    /// The upstream answered that it failed, and the request is idempotent.
    Failed,
}

/// How an attempt ended without success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was certainly not run.
    NotRun(Code),
    /// It may have run.
    Unknown(Code),
    /// The upstream answered with a status that means failure.
    Failed,
}

impl Failure {
    /// Why the request may be tried again, if its own nature allows it.
    pub fn reason(self, repeatable: bool) -> Option<Reason> {
        match self {
            Self::NotRun(Code::Leaving) => Some(Reason::Leaving),
            Self::NotRun(code) if elsewhere(code) => Some(Reason::NotRun),
            Self::NotRun(_) => None,
            Self::Unknown(_) => repeatable.then_some(Reason::Unknown),
            Self::Failed => repeatable.then_some(Reason::Failed),
        }
    }
}

/// Whether another instance may take what this one refused.
fn elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Shed
            | Code::QueueFull
            | Code::QueueTimeout
            | Code::UpstreamAbsent
            | Code::UpstreamRefused
            | Code::UpstreamRejected
            | Code::UpstreamCold
            | Code::Evacuated
            | Code::LinkAbsent
            | Code::Revoked
    )
}

/// Whether a status tells that the upstream failed, which another try may mend.
pub fn failed(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}

/// What a pool's retries may amount to at one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The share of first tries.
    pub ratio: f64,
    /// Retries a second that are always allowed.
    pub min_rate: f64,
    /// Retries that may be saved up.
    pub burst: f64,
    /// For so much of the present first tries their share may be saved beside.
    pub burst_window: Span,
    /// The part of what may be saved that only the most important requests use.
    pub critical_reserve: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ratio: RATIO,
            min_rate: FLOOR,
            burst: SAVED,
            burst_window: Span::ZERO,
            critical_reserve: 0.0,
        }
    }
}

/// The retries of each pool, as a share of its first tries.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    terms: Limits,
    pools: BTreeMap<Pool, Saved>,
}

#[derive(Clone, Copy, Debug)]
struct Saved {
    tokens: f64,
    at: Time,
    /// First tries a second, of late.
    rate: f64,
}

impl Budget {
    /// Goes by other terms from now on.
    pub fn limit(&mut self, terms: Limits) {
        self.terms = terms;
    }

    /// Counts a first try.
    pub fn first(&mut self, now: Time, pool: &Pool) {
        let terms = self.terms;
        let saved = self.saved(now, pool);
        saved.rate += 1.0 / LATELY.as_secs_f64();
        saved.tokens = (saved.tokens + terms.ratio).min(saved.most(terms));
    }

    /// Takes one retry, if the pool has one for a request of this importance.
    pub fn take(&mut self, now: Time, pool: &Pool, importance: Importance) -> bool {
        let terms = self.terms;
        let saved = self.saved(now, pool);
        let kept = match importance {
            Importance::Critical => 0.0,
            _ => saved.most(terms) * terms.critical_reserve,
        };
        let some = saved.tokens >= 1.0 + kept;
        saved.tokens -= f64::from(u8::from(some));
        some
    }

    fn saved(&mut self, now: Time, pool: &Pool) -> &mut Saved {
        let terms = self.terms;
        let fresh = Saved {
            tokens: terms.min_rate.min(terms.burst),
            at: now,
            rate: 0.0,
        };
        let saved = self.pools.entry(pool.clone()).or_insert(fresh);
        let passed = now.since(saved.at);
        let gained = passed.as_secs_f64() * terms.min_rate;
        saved.rate *= (-passed.as_secs_f64() / LATELY.as_secs_f64()).exp();
        saved.tokens = (saved.tokens + gained).min(saved.most(terms));
        saved.at = now;
        saved
    }
}

impl Saved {
    fn most(&self, terms: Limits) -> f64 {
        terms.burst + terms.ratio * self.rate * terms.burst_window.as_secs_f64()
    }
}

/// The wait before a retry, anywhere up to a ceiling that doubles, so that
/// requests which failed together do not return together.
pub fn jitter(retries: u8, rng: &mut ChaCha8Rng) -> Span {
    let ceiling = WAIT.as_ms() << retries.min(16);
    let ceiling = ceiling.min(LONGEST_WAIT.as_ms());
    Span::from_ms(rng.random_range(0..=ceiling))
}
