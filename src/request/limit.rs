//! Concurrency limit of an upstream.
//!
//! When the pool configures slots, the limit is their number, and only refused
//! connections reduce it. Otherwise the limit is estimated. It grows while all of it is
//! used and the mean service time stays near the best one seen. When requests become
//! slower, a trial with a lower limit finds the cause. If the throughput stays the
//! same, requests had only queued inside the upstream, and the limit stays lower. If
//! the throughput falls, the upstream is slow for another reason; a lower limit would
//! only reduce it further, so the limit is restored. The limit is adjusted all the
//! time and never frozen.

pub mod knee;

use crate::clock::{
    Span,
    Time, //
};

/// Minimum length of a measurement window.
const MIN_WINDOW: Span = Span::from_ms(100);
const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 4096.0;
/// Factor by which the limit grows in one window.
const GROWTH_FACTOR: f64 = 1.2;
/// Factor on the best mean service time above which a trial starts.
const MAX_SLOWDOWN: f64 = 1.5;
/// Factor on the limit during a trial.
const TRIAL_FACTOR: f64 = 0.6;
/// Share of the previous throughput that a trial must reach for the lower limit to
/// stay.
const MIN_THROUGHPUT_SHARE: f64 = 0.8;

/// The concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct Concurrency {
    configured: Option<u32>,
    /// The estimated limit; at most the configured slots, if there are any.
    estimate: f64,
    trial: Option<Trial>,
    window: Window,
    /// The lowest mean service time seen, in milliseconds.
    best_ms: f64,
    /// Start and length of the ramp of a new upstream.
    ramp: Option<(Time, Span)>,
}

/// A trial of a lower limit.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The limit before the trial.
    previous_limit: f64,
    /// The throughput before the trial, in requests per second.
    throughput: f64,
    /// Whether requests that started under the previous limit still run.
    mixed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    started: Time,
    ends: Time,
    served: u32,
    total_ms: f64,
    peak: u32,
    refused: bool,
}

impl Default for Concurrency {
    fn default() -> Self {
        Self {
            configured: None,
            estimate: INITIAL_LIMIT,
            trial: None,
            window: Window::default(),
            best_ms: f64::INFINITY,
            ramp: None,
        }
    }
}

impl Concurrency {
    /// Sets the slots that the pool configures, if any.
    pub fn configure(&mut self, slots: Option<u32>) {
        if self.configured == slots {
            return;
        }
        self.configured = slots;
        if let Some(slots) = slots {
            self.estimate = f64::from(slots.max(1));
        }
    }

    /// Starts a ramp: the limit of a new upstream grows to its full value over `ramp`.
    pub fn start_ramp(&mut self, now: Time, ramp: Span) {
        self.ramp = Some((now, ramp));
    }

    /// The number of requests that may run concurrently now.
    pub fn current(&self, now: Time) -> u32 {
        let max = self.configured.map_or(MAX_LIMIT, f64::from);
        let factor = self.ramp.map_or(1.0, |(since, ramp)| {
            let share = now.since(since).as_ms() as f64 / ramp.as_ms().max(1) as f64;
            share.clamp(0.1, 1.0)
        });
        (self.estimate.min(max) * factor).max(1.0) as u32
    }

    /// Records a completed attempt, and how many were in flight including it.
    pub fn record_served(&mut self, took: Span, in_flight: u32) {
        self.window.served += 1;
        self.window.total_ms += took.as_ms().max(1) as f64;
        self.window.peak = self.window.peak.max(in_flight);
    }

    /// Records that no connection to the upstream could be opened.
    pub fn record_refused(&mut self) {
        self.window.refused = true;
    }

    /// Adjusts the limit once a measurement window has passed.
    pub fn tick(&mut self, now: Time) {
        if now < self.window.ends {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let mean = window.total_ms / f64::from(window.served.max(1));
        self.window.started = now;
        self.window.ends = now + MIN_WINDOW.max(Span::from_ms((mean * 1.5) as u64));
        if window.refused {
            self.estimate = (self.estimate * 0.7).max(MIN_LIMIT);
            return;
        }
        let grown = (self.estimate * GROWTH_FACTOR + 1.0).min(MAX_LIMIT);
        match self.configured {
            Some(slots) => self.estimate = grown.min(f64::from(slots.max(1))),
            None if window.served > 0 => self.update_estimate(now, window, grown),
            None => {}
        }
    }

    /// Updates the estimated limit from the window that has passed.
    fn update_estimate(&mut self, now: Time, window: Window, grown: f64) {
        let mean = window.total_ms / f64::from(window.served);
        let throughput =
            f64::from(window.served) / now.since(window.started).as_secs_f64().max(0.001);
        let used = f64::from(window.peak) >= self.estimate * 0.8;
        match self.trial.take() {
            Some(trial) if trial.mixed => {
                let mixed = f64::from(window.peak) > self.estimate + 1.0;
                self.trial = Some(Trial { mixed, ..trial });
            }
            // There were too few requests to reach a result.
            Some(trial) if !used => self.estimate = trial.previous_limit,
            Some(trial) if throughput < trial.throughput * MIN_THROUGHPUT_SHARE => {
                self.estimate = trial.previous_limit;
                self.best_ms = mean;
            }
            Some(_) => self.best_ms = self.best_ms.min(mean),
            None if used && mean > self.best_ms * MAX_SLOWDOWN => {
                self.trial = Some(Trial {
                    previous_limit: self.estimate,
                    throughput,
                    mixed: true,
                });
                self.estimate = (self.estimate * TRIAL_FACTOR).max(MIN_LIMIT);
            }
            None => {
                self.best_ms = self.best_ms.min(mean);
                if used {
                    self.estimate = grown;
                }
            }
        }
    }
}
