//! Computes the `Retry-After` of a refused call.
//!
//! Under overload, or above a rate limit, some requests are served at any moment.
//! A caller that retries while its response can still meet the target gets the
//! full use of it; after a fixed wait of a second, even a successful retry may be
//! too late. The wait is therefore derived from the time left until the route's
//! target, minus the typical service time. It is randomized so that callers
//! refused together don't retry together.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Span,
    code::Code, //
};

/// Minimum wait as a fraction of the time until the target. An immediate retry
/// would meet the condition that caused the refusal.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// Lower bound of Retry-After.
const MIN_WAIT: Span = Span::from_ms(10);
/// Maximum wait as a fraction of the time until the caller's deadline.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;
/// Minimum fraction of the default wait if the target can't be met any more.
const MIN_LATE_FRACTION: f64 = 0.5;

/// The properties of a refusal that determine when to retry.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why it was refused.
    pub code: Code,
    /// Time since the request arrived.
    pub waited: Span,
    /// Time left until the caller's deadline.
    pub left: Span,
    /// Target latency of the route, counted from the arrival: a later response is of
    /// less use to the caller.
    pub target: Option<Span>,
    /// Typical time that it takes to serve such a request.
    pub service_time: Span,
    /// Time until the missing resource is available again, zero if unknown.
    pub earliest: Span,
}

impl Refusal {
    /// Returns how long the caller should wait, or `None` if a retry is pointless.
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

/// Returns whether some requests still get through under this condition. The other
/// conditions affect all requests until they end.
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
