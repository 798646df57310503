//! The service times that are reported to senders that balance by speed.
//!
//! The mean of one route follows its own answers only, which are too few to show a
//! slowdown of half a second. A slowdown affects all routes of an upstream, so the
//! reported time is the usual time of the route times the recent ratio of service
//! times to usual ones, over the answers of all routes.

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id, //
};

/// Weight of the newest answer in the usual time of its route.
const USUAL_WEIGHT: f64 = 0.02;
/// Time that the recent ratio averages over.
const RATIO_PERIOD: Span = Span::from_ms(200);
/// Bounds on the weight of the newest answer in the recent ratio. The lower one
/// averages over ten answers at a high rate, the upper one over two at a low rate.
const MIN_RATIO_WEIGHT: f64 = 0.1;
const MAX_RATIO_WEIGHT: f64 = 0.5;
/// Bound on the ratio of one answer. One that took longer was held up by a pause, and
/// the answers after the pause must be able to correct the average at once.
const MAX_RATIO: f64 = 4.0;
/// How long the recent ratio is reported without a new answer.
const RATIO_TIMEOUT: Span = Span::from_ms(500);

/// Recent speed of the upstream.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    usual_ms: BTreeMap<id::Route, f64>,
    ratio: f64,
    updated: Time,
}

impl Meter {
    /// Records the service time of an answer that is no failure.
    pub fn record(&mut self, now: Time, route: &id::Route, took: Span) {
        let ms = (took.as_ms() as f64).max(1.0);
        let usual = self.usual_ms.entry(route.clone()).or_insert(ms);
        let sample = (ms / *usual).min(MAX_RATIO);
        *usual += (sample - 1.0) * *usual * USUAL_WEIGHT;
        let elapsed = now.since(self.updated).as_ms() as f64;
        let weight = elapsed / RATIO_PERIOD.as_ms() as f64;
        let weight = match self.is_current(now) {
            true => weight.clamp(MIN_RATIO_WEIGHT, MAX_RATIO_WEIGHT),
            false => 1.0,
        };
        self.ratio += (sample - self.ratio) * weight;
        self.updated = now;
    }

    /// The recent service time of a route, zero while unknown.
    pub fn service_time(&self, now: Time, route: &id::Route) -> Span {
        let usual = self
            .usual_ms
            .get(route)
            .filter(|_| self.is_current(now))
            .copied();
        Span::from_ms((usual.unwrap_or(0.0) * self.ratio).round() as u64)
    }

    fn is_current(&self, now: Time) -> bool {
        self.updated > Time::ZERO && now.since(self.updated) <= RATIO_TIMEOUT
    }
}
