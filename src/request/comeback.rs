//! When a caller that was refused had best come back.
//!
//! Under overload, and over a rate, a share of the requests is served at any
//! moment. A caller that asks again while its answer can still be in time gets the
//! full use of it; one that is sent away for a fixed second may be served and be
//! too late all the same. So the wait is taken from the time that is left until
//! the route's target, less what serving usually takes, and spread over it: those
//! who are refused together must not come back together.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Span,
    code::Code, //
};

/// The least part of the time until the target that a caller waits. Coming back
/// at once would meet what refused it.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// Lower bound of Retry-After.
const MIN_WAIT: Span = Span::from_ms(10);
/// The part of its time that a caller waits at most.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Where the target cannot be met any more, the least part of the usual wait.
const MIN_LATE_FRACTION: f64 = 0.5;

/// A refusal, as far as it tells when to come back.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why it was refused.
    pub code: Code,
    /// Time since the request arrived.
    pub waited: Span,
    /// Time that its caller still has.
    pub left: Span,
    /// The time within which an answer is of full use, counted from the arrival.
    pub target: Option<Span>,
    /// How long serving such a request usually takes.
    pub service_time: Span,
    /// Time until what was missing is there again, as far as it is known.
    pub earliest: Span,
}

impl Refusal {
    /// How long the caller should wait; nothing where coming back makes no sense.
    pub fn retry_after(&self, rng: &mut ChaCha8Rng) -> Option<Span> {
        let default_wait = self.code.retry_after()?;
        let Some(target) = self.target.filter(|_| admits_some(self.code)) else {
            return Some(default_wait);
        };
        let max_wait = self.left.scale(MAX_WAIT_FRACTION);
        let time_to_target = (target - self.waited - self.service_time).min(max_wait);
        if time_to_target >= MIN_WAIT && time_to_target >= self.earliest {
            let min_wait = time_to_target.scale(MIN_WAIT_FRACTION).max(self.earliest);
            let jitter = (time_to_target - min_wait).scale(rng.random_range(0.0..=1.0));
            return Some(min_wait.max(MIN_WAIT) + jitter);
        }
        let wait = default_wait.max(self.earliest).min(max_wait).max(MIN_WAIT);
        let wait = wait.scale(rng.random_range(MIN_LATE_FRACTION..=1.0));
        Some(wait.max(self.earliest.min(max_wait)))
    }
}

/// Whether the cause is one that lets some requests pass at any moment. The others
/// are states that end for all at once.
const fn admits_some(code: Code) -> bool {
    matches!(
        code,
        Code::RateExceeded
            | Code::Shed
            | Code::ShedEarly
            | Code::QueueFull
            | Code::QueueTimeout
            | Code::UpstreamRejected
            | Code::UpstreamRefused
            | Code::UpstreamCold
            | Code::UpstreamLimited
            | Code::Revoked
            | Code::LinkAbsent
    )
}
