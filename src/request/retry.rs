//! Retry decisions and budgets.
//!
//! A request that isn't idempotent is retried only if it was certainly not run.
//! The root's [allowance](crate::allowance) limits the retries of one request, the
//! [`Budget`] limits those of one pool. Where the budget is exhausted, retries of a
//! higher [`Class`] can be served first.

pub mod class;

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use self::class::{
    Class,
    Demand,
    Share, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Importance,
    id::Pool,
    outcome::NotRun, //
};

/// Default ratio of a pool's retries to its first attempts.
const DEFAULT_RATIO: f64 = 0.1;
/// Default retries per second that are always allowed, so that a pool with little
/// traffic can retry at all.
const DEFAULT_MIN_RATE: f64 = 2.0;
/// Default number of retries that can be saved up.
const DEFAULT_BURST: f64 = 20.0;
/// Time constant of the moving rate of first attempts.
const RATE_WINDOW: Span = Span::from_secs(2);
/// Upper bound of the first backoff, which doubles for each further retry up to
/// `MAX_BACKOFF`.
const INITIAL_BACKOFF: Span = Span::from_ms(10);
const MAX_BACKOFF: Span = Span::from_ms(500);

/// Why an attempt is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The inbound proxy reported that the request was not run.
    NotRun,
    /// The instance is leaving. Once per hop, such a retry isn't counted.
    Leaving,
    /// The outcome is unknown and the request is idempotent.
    Unknown,
    /// The upstream responded with a failure and the request is idempotent.
    Failed,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request was certainly not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Code),
    /// The upstream responded with a failure status.
    Failed,
}

impl Failure {
    /// Returns the reason for a retry, or `None` if the failure doesn't allow one.
    pub fn reason(self, idempotent: bool) -> Option<Reason> {
        match self {
            Self::NotRun(proof) => match proof.code() {
                Code::Leaving => Some(Reason::Leaving),
                code => may_succeed_elsewhere(code).then_some(Reason::NotRun),
            },
            // Another instance would hold it back as well.
            Self::Unknown(Code::Suspect) => None,
            Self::Unknown(_) => idempotent.then_some(Reason::Unknown),
            Self::Failed => idempotent.then_some(Reason::Failed),
        }
    }

    /// Returns the code with which the call is refused if it is not retried.
    pub fn code(self) -> Code {
        match self {
            Self::NotRun(proof) => proof.code(),
            Self::Unknown(code) => code,
            Self::Failed => Code::UpstreamFailed,
        }
    }

    /// Whether the request was refused with this code, and not run.
    pub fn is_refusal(self, code: Code) -> bool {
        matches!(self, Self::NotRun(proof) if proof.code() == code)
    }
}

/// Returns whether another instance may accept a request refused with this code.
fn may_succeed_elsewhere(code: Code) -> bool {
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

/// Returns whether a status stands for an upstream failure that a retry may avoid.
pub fn is_failure(status: u16) -> bool {
    matches!(status, 500 | 502 | 503 | 504)
}

/// Limits on a pool's retries at one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Ratio of retries to first attempts.
    pub ratio: f64,
    /// Retries per second that are always allowed.
    pub min_rate: f64,
    /// Number of retries that can be saved up.
    pub burst: f64,
    /// Additional burst: the retries that the ratio earns in this time at the current
    /// rate of first attempts.
    pub burst_window: Span,
    /// Fraction of the burst that is reserved for critical requests.
    pub critical_reserve: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            ratio: DEFAULT_RATIO,
            min_rate: DEFAULT_MIN_RATE,
            burst: DEFAULT_BURST,
            burst_window: Span::ZERO,
            critical_reserve: 0.0,
        }
    }
}

/// Retry budget of each pool, as a ratio of its first attempts.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    limits: Limits,
    pools: BTreeMap<Pool, Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    updated: Time,
    /// Recent first attempts per second.
    first_attempt_rate: f64,
    /// Recent demand by class, if retries are taken by class.
    demand: Demand,
}

/// Answer to a request for a retry by class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The retry was taken.
    Taken,
    /// The budget is exhausted.
    Exhausted,
    /// What the budget holds is reserved for higher classes.
    Reserved,
}

impl Budget {
    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn record_first_attempt(&mut self, now: Time, pool: &Pool) {
        let limits = self.limits;
        let bucket = self.bucket(now, pool);
        bucket.first_attempt_rate += 1.0 / RATE_WINDOW.as_secs_f64();
        bucket.tokens = (bucket.tokens + limits.ratio).min(bucket.capacity(limits));
    }

    /// Consumes one retry if the pool's budget allows it for this importance.
    ///
    /// A node of a large fleet may hold less than one retry, however long it saves. What
    /// it holds is then the probability of a retry and is consumed in any case, so that
    /// all nodes together retry as often as their shares allow.
    pub fn try_take(
        &mut self,
        now: Time,
        pool: &Pool,
        importance: Importance,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let limits = self.limits;
        let bucket = self.bucket(now, pool);
        let reserved = bucket.critical_reserve(limits, importance);
        let capacity = bucket.capacity(limits) - reserved;
        bucket.take(capacity, reserved, rng)
    }

    /// Consumes one retry as [`Budget::try_take`] does, but only if the budget then
    /// still holds what the higher classes are expected to ask for.
    pub fn try_take_class(
        &mut self,
        now: Time,
        pool: &Pool,
        class: Class,
        rng: &mut ChaCha8Rng,
    ) -> Decision {
        let limits = self.limits;
        let bucket = self.bucket(now, pool);
        let critical = bucket.critical_reserve(limits, class.importance);
        let share = Share {
            capacity: bucket.capacity(limits) - critical,
            critical,
            income: limits.min_rate + limits.ratio * bucket.first_attempt_rate,
        };
        bucket.demand.record(now, class);
        let reserved = critical + bucket.demand.reserve(now, class, share);
        let is_exhausted = bucket.tokens - critical < share.capacity.min(1.0);
        match bucket.take(share.capacity, reserved, rng) {
            true => Decision::Taken,
            false if is_exhausted => Decision::Exhausted,
            false => Decision::Reserved,
        }
    }

    fn bucket(&mut self, now: Time, pool: &Pool) -> &mut Bucket {
        let limits = self.limits;
        let initial = Bucket {
            tokens: limits.min_rate.min(limits.burst),
            updated: now,
            first_attempt_rate: 0.0,
            demand: Demand::default(),
        };
        let bucket = self.pools.entry(pool.clone()).or_insert(initial);
        let elapsed = now.since(bucket.updated);
        let refill = elapsed.as_secs_f64() * limits.min_rate;
        bucket.first_attempt_rate *= (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        bucket.tokens = (bucket.tokens + refill).min(bucket.capacity(limits));
        bucket.updated = now;
        bucket
    }
}

impl Bucket {
    /// Consumes one retry if the bucket holds one besides the reserved tokens, or a part
    /// of one if its capacity for the class is less than one.
    fn take(&mut self, capacity: f64, reserved: f64, rng: &mut ChaCha8Rng) -> bool {
        let usable = (self.tokens - reserved).max(0.0);
        let (allowed, cost) = match capacity < 1.0 {
            true => (rng.random_bool(usable.min(1.0)), usable.min(1.0)),
            false => (usable >= 1.0, f64::from(u8::from(usable >= 1.0))),
        };
        self.tokens -= cost;
        allowed
    }

    /// Returns the number of tokens that are always reserved for critical requests.
    fn critical_reserve(&self, limits: Limits, importance: Importance) -> f64 {
        match importance {
            Importance::Critical => 0.0,
            _ => self.capacity(limits) * limits.critical_reserve,
        }
    }

    fn capacity(&self, limits: Limits) -> f64 {
        limits.burst + limits.ratio * self.first_attempt_rate * limits.burst_window.as_secs_f64()
    }
}

/// Returns the wait before a retry: random, up to a bound that doubles with each
/// retry, so that requests that failed together don't retry together.
pub fn backoff(retries: u8, rng: &mut ChaCha8Rng) -> Span {
    let ceiling = INITIAL_BACKOFF.as_ms() << retries.min(16);
    let ceiling = ceiling.min(MAX_BACKOFF.as_ms());
    Span::from_ms(rng.random_range(0..=ceiling))
}
