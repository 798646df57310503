//! Limits on the rate at which requests start at the upstream: the rate of a cold
//! upstream, and the limit that it names.

use crate::{
    backpressure::Throttle,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    warmup::ColdLimiter, //
};

/// The two limits on the start rate.
#[derive(Clone, Debug, Default)]
pub struct StartLimits {
    /// In force while the upstream is cold.
    pub cold: ColdLimiter,
    /// In force while the upstream names a limit.
    pub throttle: Throttle,
}

impl StartLimits {
    /// Whether either limit is in force.
    pub fn is_limited(&self) -> bool {
        self.cold.is_cold() || self.throttle.limit().is_some()
    }

    /// Whether a request may start now.
    pub fn allows(&self, now: Time) -> bool {
        self.cold.allows(now) && self.throttle.allows(now)
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: Time) {
        self.cold.record_start(now);
        self.throttle.record_start(now);
    }

    /// The wait of a request with this many others ahead of it.
    pub fn wait(&self, now: Time, ahead: usize) -> Span {
        let cold = self.cold.wait(now, ahead);
        cold.max(self.named_wait(now, ahead))
    }

    /// The reason to refuse a request that, with this many ahead of it, cannot start
    /// within `left`; none when it can.
    pub fn refusal(&self, now: Time, ahead: usize, left: Span) -> Option<Code> {
        if self.cold.is_cold() && self.cold.wait(now, ahead) >= left {
            return Some(Code::UpstreamCold);
        }
        let is_late = self.throttle.limit().is_some() && self.named_wait(now, ahead) >= left;
        is_late.then_some(Code::UpstreamLimited)
    }

    /// When the next request may start; never while no limit is in force.
    pub fn due(&self) -> Time {
        match (self.cold.due(), self.throttle.due()) {
            (Time::NEVER, due) | (due, Time::NEVER) => due,
            (cold, named) => cold.max(named),
        }
    }

    /// The time between two starts in milliseconds; zero while no limit is in force.
    pub fn interval_ms(&self) -> f64 {
        self.cold.interval_ms().max(self.throttle.interval_ms())
    }

    /// Requests that may start now without a wait; none while no limit is in force.
    pub fn available_starts(&self, now: Time) -> Option<u32> {
        let starts = [
            self.cold.available_starts(now),
            self.throttle.available_starts(now),
        ];
        starts.into_iter().flatten().min()
    }

    fn named_wait(&self, now: Time, ahead: usize) -> Span {
        match self.throttle.limit() {
            Some(_) => self.throttle.wait(now, ahead),
            None => Span::ZERO,
        }
    }
}
