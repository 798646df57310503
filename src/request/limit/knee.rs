//! Finds whether an upstream serves more when some of its slots stay free.
//!
//! Some upstreams become slower when almost all of their slots are in use, so that
//! they serve less with the last few slots filled than without. This matters under
//! sustained overload, when every slot that becomes free is filled again at once.
//!
//! A [`Search`] alternates between phases with all slots in use and phases with a
//! [`margin`] of free slots, and compares the service times of the same routes. The
//! phases are short, so that other changes of the service time affect both kinds
//! alike. The setting that serves more is kept, and tested again at intervals. Only
//! requests that took the last slot count, so an upstream that is not fully used is
//! left alone.

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Route,
};

/// Share of the slots in the margin, rounded up.
const MARGIN_SHARE: f64 = 0.06;
/// Upstreams with fewer slots have no margin.
const MIN_SLOTS: u32 = 6;
/// Length of one phase: a minimum, and a multiple of the mean service time.
const MIN_PHASE: Span = Span::from_ms(300);
const PHASE_SERVICE_TIMES: f64 = 4.0;
/// Minimum number of phases of each kind in a trial.
const MIN_PHASES: u32 = 2;
/// Minimum number of samples of each kind in a trial.
const MIN_SAMPLES: u32 = 100;
/// A trial that lasts longer ends without a result.
const MAX_TRIAL: Span = Span::from_secs(20);
/// Time between two trials.
const TRIAL_INTERVAL: Span = Span::from_secs(10);
/// Relative gain of throughput that is needed to change the setting.
const MIN_GAIN: f64 = 0.02;

/// The number of slots in the margin.
pub fn margin(slots: u32) -> u32 {
    match slots < MIN_SLOTS {
        true => 0,
        false => (f64::from(slots) * MARGIN_SHARE).ceil() as u32,
    }
}

/// The phase in which a request took the last slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase(u64);

/// Service times of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    count: u32,
    total_ms: f64,
}

impl Sample {
    fn mean(self) -> f64 {
        self.total_ms / f64::from(self.count.max(1))
    }
}

/// Service times of one route with all slots in use, and with the margin free.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    full: Sample,
    with_margin: Sample,
}

#[derive(Clone, Debug)]
struct Trial {
    started: Time,
    /// When the current phase ends.
    phase_ends: Time,
    phases: u32,
    routes: BTreeMap<Route, Pair>,
}

/// The search for one upstream.
#[derive(Clone, Debug, Default)]
pub struct Search {
    slots: u32,
    /// Whether the margin stays free between trials.
    use_margin: bool,
    /// Whether the margin stays free in the current phase.
    use_margin_now: bool,
    phase: u64,
    trial: Option<Trial>,
    next: Time,
}

impl Search {
    /// Sets the slots, and restarts the search when they have changed.
    pub fn configure(&mut self, slots: u32) {
        if self.slots != slots {
            *self = Self {
                slots,
                ..Self::default()
            };
        }
    }

    /// The number of requests that may run concurrently now.
    pub fn limit(&self) -> u32 {
        match self.use_margin_now {
            true => self.slots - margin(self.slots),
            false => self.slots,
        }
    }

    /// Returns the current phase when a request that starts now, as the last of
    /// `running`, takes the last slot during a trial.
    pub fn start_phase(&self, running: u32) -> Option<Phase> {
        let is_sample = self.trial.is_some() && running == self.limit();
        is_sample.then_some(Phase(self.phase))
    }

    /// Records the service time of a request that took the last slot in a phase.
    pub fn record_served(&mut self, phase: Phase, route: &Route, took: Span) {
        // A request that ran into the next phase is affected by both.
        let Some(trial) = self.trial.as_mut().filter(|_| phase.0 == self.phase) else {
            return;
        };
        let pair = trial.routes.entry(route.clone()).or_default();
        let sample = match self.use_margin_now {
            true => &mut pair.with_margin,
            false => &mut pair.full,
        };
        sample.count += 1;
        sample.total_ms += took.as_ms().max(1) as f64;
    }

    /// Starts a trial, switches its phase or ends it. `is_full` tells whether requests
    /// wait for a slot, `service_ms` is the mean service time.
    pub fn tick(&mut self, now: Time, is_full: bool, service_ms: f64) {
        let length = MIN_PHASE.max(Span::from_ms((service_ms * PHASE_SERVICE_TIMES) as u64));
        let Some(trial) = &mut self.trial else {
            if is_full && now >= self.next && margin(self.slots) > 0 {
                self.trial = Some(Trial {
                    started: now,
                    phase_ends: now + length,
                    phases: 1,
                    routes: BTreeMap::new(),
                });
                self.phase += 1;
            }
            return;
        };
        if now < trial.phase_ends {
            return;
        }
        let gain = trial.gain(self.slots);
        if gain.is_some() || now.since(trial.started) > MAX_TRIAL {
            self.use_margin = gain.map_or(self.use_margin, |gain| match self.use_margin {
                true => gain > -MIN_GAIN,
                false => gain > MIN_GAIN,
            });
            self.use_margin_now = self.use_margin;
            self.trial = None;
            self.next = now + TRIAL_INTERVAL;
            return;
        }
        trial.phase_ends = now + length;
        trial.phases += 1;
        self.phase += 1;
        self.use_margin_now = !self.use_margin_now;
    }
}

impl Trial {
    /// The relative gain of throughput with the margin, or none while there are too few
    /// samples.
    fn gain(&self, slots: u32) -> Option<f64> {
        let pairs = || self.routes.values();
        let full: u32 = pairs().map(|pair| pair.full.count).sum();
        let with_margin: u32 = pairs().map(|pair| pair.with_margin.count).sum();
        if self.phases < MIN_PHASES * 2 || full.min(with_margin) < MIN_SAMPLES {
            return None;
        }
        let weight = |pair: &Pair| f64::from(pair.full.count.min(pair.with_margin.count));
        let speedup = |pair: &Pair| pair.full.mean() / pair.with_margin.mean().max(f64::EPSILON);
        let compared = pairs().filter(|pair| weight(pair) > 0.0);
        let (sum, weights) = compared.fold((0.0, 0.0), |(sum, weights), pair| {
            (sum + speedup(pair) * weight(pair), weights + weight(pair))
        });
        let speedup = sum / f64::max(weights, 1.0);
        let slot_share = f64::from(slots - margin(slots)) / f64::from(slots);
        Some(speedup * slot_share - 1.0)
    }
}
