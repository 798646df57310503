//! How many requests an upstream runs well at a time.
//!
//! With slots in the pool's row the limit is their number; only an upstream
//! that refuses connections pushes it below. Without, the limit is learnt: it
//! grows while all of it is used and the time of service stays near the best
//! seen. When requests get slower, it is lowered once to see why. If as many are
//! served as before, they had only waited for each other inside, and it stays
//! lower. If fewer are, the service is slow for reasons of its own, a lower limit
//! would only make it slower, and it returns to what it was. Nothing freezes it.

pub mod knee;

use crate::clock::{
    Span,
    Time, //
};

const MIN_WINDOW: Span = Span::from_ms(100);
const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 4096.0;
/// How much the limit grows in a window.
const GROWTH: f64 = 1.2;
/// Slower than the best by more than this may be crowded.
const MAX_SLOWDOWN: f64 = 1.5;
/// The share of the limit with which that is tried.
const TRIAL_SHARE: f64 = 0.6;
/// The share of the rate before that a trial must keep.
const MIN_KEPT_RATE: f64 = 0.8;

/// The limit of one upstream.
#[derive(Clone, Debug)]
pub struct Concurrency {
    configured: Option<u32>,
    learnt: f64,
    trial: Option<Trial>,
    window: Window,
    best: f64,
    warm: Option<(Time, Span)>,
}

/// What it was before a trial of a lower limit.
#[derive(Clone, Copy, Debug)]
struct Trial {
    limit: f64,
    rate: f64,
    /// Requests begun under the higher limit still run.
    mixed: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    begun: Time,
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
            learnt: INITIAL_LIMIT,
            trial: None,
            window: Window::default(),
            best: f64::INFINITY,
            warm: None,
        }
    }
}

impl Concurrency {
    /// Takes the pool's row into account.
    pub fn configure(&mut self, slots: Option<u32>) {
        if self.configured == slots {
            return;
        }
        self.configured = slots;
        if let Some(slots) = slots {
            self.learnt = f64::from(slots.max(1));
        }
    }

    /// An upstream has just come up: its share grows over `ramp`.
    pub fn start_ramp(&mut self, now: Time, ramp: Span) {
        self.warm = Some((now, ramp));
    }

    /// Requests that may run at a time now.
    pub fn current(&self, now: Time) -> u32 {
        let most = self.configured.map_or(MAX_LIMIT, f64::from);
        let ramp = self.warm.map_or(1.0, |(since, ramp)| {
            let share = now.since(since).as_ms() as f64 / ramp.as_ms().max(1) as f64;
            share.clamp(0.1, 1.0)
        });
        (self.learnt.min(most) * ramp).max(1.0) as u32
    }

    /// An attempt was served whole, with this many in flight beside it.
    pub fn record_served(&mut self, took: Span, in_flight: u32) {
        self.window.served += 1;
        self.window.total_ms += took.as_ms().max(1) as f64;
        self.window.peak = self.window.peak.max(in_flight);
    }

    /// The upstream accepted no connection.
    pub fn record_refused(&mut self) {
        self.window.refused = true;
    }

    /// Judges a window that has passed.
    pub fn tick(&mut self, now: Time) {
        if now < self.window.ends {
            return;
        }
        let window = std::mem::take(&mut self.window);
        let mean = window.total_ms / f64::from(window.served.max(1));
        self.window.begun = now;
        self.window.ends = now + MIN_WINDOW.max(Span::from_ms((mean * 1.5) as u64));
        if window.refused {
            self.learnt = (self.learnt * 0.7).max(MIN_LIMIT);
            return;
        }
        let grown = (self.learnt * GROWTH + 1.0).min(MAX_LIMIT);
        match self.configured {
            Some(slots) => self.learnt = grown.min(f64::from(slots.max(1))),
            None if window.served > 0 => self.learn(now, window, grown),
            None => {}
        }
    }

    fn learn(&mut self, now: Time, window: Window, grown: f64) {
        let mean = window.total_ms / f64::from(window.served);
        let rate = f64::from(window.served) / now.since(window.begun).as_secs_f64().max(0.001);
        let used = f64::from(window.peak) >= self.learnt * 0.8;
        match self.trial.take() {
            Some(trial) if trial.mixed => {
                let mixed = f64::from(window.peak) > self.learnt + 1.0;
                self.trial = Some(Trial { mixed, ..trial });
            }
            // Too little came to tell.
            Some(trial) if !used => self.learnt = trial.limit,
            Some(trial) if rate < trial.rate * MIN_KEPT_RATE => {
                self.learnt = trial.limit;
                self.best = mean;
            }
            Some(_) => self.best = self.best.min(mean),
            None if used && mean > self.best * MAX_SLOWDOWN => {
                self.trial = Some(Trial {
                    limit: self.learnt,
                    rate,
                    mixed: true,
                });
                self.learnt = (self.learnt * TRIAL_SHARE).max(MIN_LIMIT);
            }
            None => {
                self.best = self.best.min(mean);
                if used {
                    self.learnt = grown;
                }
            }
        }
    }
}
