//! Finds whether an upstream does more with some of its slots left free.
//!
//! Some upstreams get slower when nearly all of their slots are in use, so that
//! with the last few filled they serve less than without them. The load it
//! answers is a lasting overload, where every slot that ends is filled again.
//!
//! A [`Search`] runs such an upstream by turns with all slots and with a
//! [`margin`] free, and compares how long requests of the same route take. Turns
//! are short, so that whatever else changes the time of service changes it in
//! both. What serves more is kept, and tried again now and then. Only requests
//! that took the last slot count, so an upstream with room to spare is left alone.

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Route,
};

/// The share of slots that may be left free, rounded up.
const MARGIN_SHARE: f64 = 0.06;
/// Upstreams with fewer slots always use all of them.
const MIN_SLOTS: u32 = 6;
/// Length of one turn, at least, and in usual times of service.
const MIN_TURN: Span = Span::from_ms(300);
const TURN_SERVICES: f64 = 4.0;
/// Turns of each kind that a trial takes, at least.
const MIN_TURNS: u32 = 2;
/// Requests of each kind that a trial needs.
const MIN_SAMPLES: u32 = 100;
/// A trial that lasts longer finds nothing.
const MAX_TRIAL: Span = Span::from_secs(20);
/// Time between two trials.
const TRIAL_INTERVAL: Span = Span::from_secs(10);
/// How much more must be served to change the way.
const MIN_GAIN: f64 = 0.02;

/// How many slots are left free when a margin is.
pub fn margin(slots: u32) -> u32 {
    match slots < MIN_SLOTS {
        true => 0,
        false => (f64::from(slots) * MARGIN_SHARE).ceil() as u32,
    }
}

/// The turn in which a request took the last slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase(u64);

/// Times of service of one route.
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

/// What was measured with all slots, and with a margin.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    full: Sample,
    spared: Sample,
}

#[derive(Clone, Debug)]
struct Trial {
    begun: Time,
    /// When the present turn ends.
    until: Time,
    turns: u32,
    routes: BTreeMap<Route, Pair>,
}

/// The search beside one upstream.
#[derive(Clone, Debug, Default)]
pub struct Search {
    slots: u32,
    /// Whether a margin is left free between trials.
    spares: bool,
    /// Whether one is left free in this turn.
    spares_now: bool,
    turn: u64,
    trial: Option<Trial>,
    next: Time,
}

impl Search {
    /// Begins anew for an upstream with other slots.
    pub fn configure(&mut self, slots: u32) {
        if self.slots != slots {
            *self = Self {
                slots,
                ..Self::default()
            };
        }
    }

    /// Requests that may run at a time now.
    pub fn limit(&self) -> u32 {
        match self.spares_now {
            true => self.slots - margin(self.slots),
            false => self.slots,
        }
    }

    /// A request begins, the last of this many that run now.
    pub fn start_phase(&self, running: u32) -> Option<Phase> {
        let counts = self.trial.is_some() && running == self.limit();
        counts.then_some(Phase(self.turn))
    }

    /// A request that took the last slot in a turn was served whole.
    pub fn record_served(&mut self, turn: Phase, route: &Route, took: Span) {
        // One that runs into the next turn tells of both.
        let Some(trial) = self.trial.as_mut().filter(|_| turn.0 == self.turn) else {
            return;
        };
        let pair = trial.routes.entry(route.clone()).or_default();
        let sample = match self.spares_now {
            true => &mut pair.spared,
            false => &mut pair.full,
        };
        sample.count += 1;
        sample.total_ms += took.as_ms().max(1) as f64;
    }

    /// Begins, turns or ends a trial; `is_full` tells that requests wait for a
    /// slot, `usual_ms` how long one is in use.
    pub fn tick(&mut self, now: Time, is_full: bool, usual_ms: f64) {
        let length = MIN_TURN.max(Span::from_ms((usual_ms * TURN_SERVICES) as u64));
        let Some(trial) = &mut self.trial else {
            if is_full && now >= self.next && margin(self.slots) > 0 {
                self.trial = Some(Trial {
                    begun: now,
                    until: now + length,
                    turns: 1,
                    routes: BTreeMap::new(),
                });
                self.turn += 1;
            }
            return;
        };
        if now < trial.until {
            return;
        }
        let verdict = trial.verdict(self.slots);
        if verdict.is_some() || now.since(trial.begun) > MAX_TRIAL {
            self.spares = verdict.map_or(self.spares, |gain| match self.spares {
                true => gain > -MIN_GAIN,
                false => gain > MIN_GAIN,
            });
            self.spares_now = self.spares;
            self.trial = None;
            self.next = now + TRIAL_INTERVAL;
            return;
        }
        trial.until = now + length;
        trial.turns += 1;
        self.turn += 1;
        self.spares_now = !self.spares_now;
    }
}

impl Trial {
    /// How much more is served with a margin, once enough was measured.
    fn verdict(&self, slots: u32) -> Option<f64> {
        let pairs = || self.routes.values();
        let full: u32 = pairs().map(|pair| pair.full.count).sum();
        let spared: u32 = pairs().map(|pair| pair.spared.count).sum();
        if self.turns < MIN_TURNS * 2 || full.min(spared) < MIN_SAMPLES {
            return None;
        }
        let weight = |pair: &Pair| f64::from(pair.full.count.min(pair.spared.count));
        let slower = |pair: &Pair| pair.full.mean() / pair.spared.mean().max(f64::EPSILON);
        let both = pairs().filter(|pair| weight(pair) > 0.0);
        let (sum, weights) = both.fold((0.0, 0.0), |(sum, weights), pair| {
            (sum + slower(pair) * weight(pair), weights + weight(pair))
        });
        let slower = sum / f64::max(weights, 1.0);
        let fewer = f64::from(slots - margin(slots)) / f64::from(slots);
        Some(slower * fewer - 1.0)
    }
}
