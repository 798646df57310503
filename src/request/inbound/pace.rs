//! How fast requests may begin at the upstream: by the rate of a cold one, and by
//! the limit that it names.

use crate::{
    backpressure::Throttle,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    warmup::ColdLimiter, //
};

/// The two bounds on the requests that begin in a time.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// While the upstream is cold.
    pub meter: ColdLimiter,
    /// While it names a limit.
    pub throttle: Throttle,
}

impl Pace {
    /// Whether either bound is in force.
    pub fn is_bound(&self) -> bool {
        self.meter.is_cold() || self.throttle.limit().is_some()
    }

    /// Whether a request may begin now.
    pub fn allows(&self, now: Time) -> bool {
        self.meter.allows(now) && self.throttle.allows(now)
    }

    /// A request begins.
    pub fn take(&mut self, now: Time) {
        self.meter.record_start(now);
        self.throttle.record_start(now);
    }

    /// How long a request waits that this many others are ahead of.
    pub fn wait(&self, now: Time, ahead: usize) -> Span {
        let cold = self.meter.wait(now, ahead);
        cold.max(self.named_wait(now, ahead))
    }

    /// Why a request with this many ahead of it cannot begin in time.
    pub fn refusal(&self, now: Time, ahead: usize, left: Span) -> Option<Code> {
        if self.meter.is_cold() && self.meter.wait(now, ahead) >= left {
            return Some(Code::UpstreamCold);
        }
        let is_late = self.throttle.limit().is_some() && self.named_wait(now, ahead) >= left;
        is_late.then_some(Code::UpstreamLimited)
    }

    /// When the next request may begin; never while nothing binds.
    pub fn due(&self) -> Time {
        match (self.meter.due(), self.throttle.due()) {
            (Time::NEVER, due) | (due, Time::NEVER) => due,
            (cold, named) => cold.max(named),
        }
    }

    /// The time between two requests in milliseconds; zero while nothing binds.
    pub fn gap(&self) -> f64 {
        self.meter.interval_ms().max(self.throttle.interval_ms())
    }

    /// Requests that may begin now without a wait; nothing while nothing binds.
    pub fn room(&self, now: Time) -> Option<u32> {
        let rooms = [
            self.meter.available_starts(now),
            self.throttle.available_starts(now),
        ];
        rooms.into_iter().flatten().min()
    }

    fn named_wait(&self, now: Time, ahead: usize) -> Span {
        match self.throttle.limit() {
            Some(_) => self.throttle.wait(now, ahead),
            None => Span::ZERO,
        }
    }
}
