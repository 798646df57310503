//! A high estimate of how long a request takes.
//!
//! The estimate is the mean of the latencies seen plus four mean deviations, as TCP
//! computes its retransmission timeout (RFC 6298).

use crate::clock::Span;

/// Weight of the newest sample in the mean and in the mean deviation.
const WEIGHT: f64 = 1.0 / 8.0;
/// Number of mean deviations above the mean.
const DEVIATIONS: f64 = 4.0;
/// Lower bound of an estimate, for delays that the samples do not show.
const MIN_BOUND: Span = Span::from_ms(200);

/// The latency of one kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
}

impl Estimate {
    /// Starts with the first sample.
    pub fn new(sample: Span) -> Self {
        let mean_ms = sample.as_ms() as f64;
        Self {
            mean_ms,
            deviation_ms: mean_ms / 2.0,
        }
    }

    /// Adds the latency of a request.
    pub fn record(&mut self, sample: Span) {
        let error = sample.as_ms() as f64 - self.mean_ms;
        self.deviation_ms += (error.abs() - self.deviation_ms) * WEIGHT;
        self.mean_ms += error * WEIGHT;
    }

    /// Adds a request that has not ended after this time. Its latency is not known, so
    /// it never lowers the estimate.
    pub fn record_unfinished(&mut self, elapsed: Span) {
        if elapsed > self.bound() {
            self.record(elapsed);
        }
    }

    /// Returns the time that nearly all requests stay below.
    pub fn bound(&self) -> Span {
        let bound_ms = self.mean_ms + self.deviation_ms * DEVIATIONS;
        Span::from_ms(bound_ms as u64).max(MIN_BOUND)
    }
}
