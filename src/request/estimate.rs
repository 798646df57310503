//! A high estimate of how long a request takes.
//!
//! The estimate is the mean of the latencies seen plus four mean deviations, as TCP
//! computes its retransmission timeout (RFC 6298), or somewhat more than the longest of the
//! last ones if that is longer: the mean alone forgets a slow request after a few fast ones.

use crate::clock::Span;

/// Weight of the newest sample in the mean and in the mean deviation.
const WEIGHT: f64 = 1.0 / 8.0;
/// Number of mean deviations above the mean.
const DEVIATIONS: f64 = 4.0;
/// Lower bound of an estimate, for delays that the samples do not show.
const MIN_BOUND: Span = Span::from_ms(200);
/// Number of samples of which the longest is kept. It is dropped after twice as many.
const GENERATION: u32 = 64;
/// Factor on the longest sample, as a later one may be longer.
const LONGEST_MARGIN: f64 = 1.25;

/// The latency of one kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    mean_ms: f64,
    deviation_ms: f64,
    /// Samples in the present generation.
    samples: u32,
    /// Longest sample of the present generation and of the one before.
    longest: [Span; 2],
}

impl Estimate {
    /// Starts with the first sample.
    pub fn new(sample: Span) -> Self {
        let mean_ms = sample.as_ms() as f64;
        Self {
            mean_ms,
            deviation_ms: mean_ms / 2.0,
            samples: 1,
            longest: [sample, Span::ZERO],
        }
    }

    /// Adds the latency of a request.
    pub fn record(&mut self, sample: Span) {
        let error = sample.as_ms() as f64 - self.mean_ms;
        self.deviation_ms += (error.abs() - self.deviation_ms) * WEIGHT;
        self.mean_ms += error * WEIGHT;
        if self.samples == GENERATION {
            self.samples = 0;
            self.longest = [Span::ZERO, self.longest[0]];
        }
        self.samples += 1;
        self.longest[0] = self.longest[0].max(sample);
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
        let longest = self.longest[0].max(self.longest[1]).scale(LONGEST_MARGIN);
        Span::from_ms(bound_ms as u64).max(longest).max(MIN_BOUND)
    }
}
