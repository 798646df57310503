//! Balancing by speed: what a sender knows of how fast each instance is now.
//!
//! Addresses pools whose instances differ in speed, or slow down for fractions of a
//! second, while slots are free. A request that finds a free slot does not wait, so
//! its time there depends on the speed of the instance alone.
//!
//! The service time of a route at an instance is modelled as the reference time of
//! the route times the slowness of the instance. Dividing a report by the slowness of
//! its instance before it enters the reference keeps the reference independent of
//! which instances get the calls.

use std::{
    cell::Cell,
    collections::BTreeMap, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Route,
    metric::Counter, //
};

/// Utilization above which requests at times find no free slot.
const FREE_UTILIZATION: f64 = 0.7;
/// Bound on slowness and its inverse.
const MAX_SLOWNESS: f64 = 16.0;
/// Least weight of the latest report in the current slowness. Reports are averages
/// already.
const CURRENT_WEIGHT: f64 = 0.3;
/// Time after which the latest report replaces the current slowness. The few reports
/// that follow a pause would otherwise hold it up for seconds.
const CURRENT_PERIOD: Span = Span::from_ms(200);
/// Weight of the latest report in the reference time of a route.
const REFERENCE_WEIGHT: f64 = 0.02;
/// Time that the lasting slowness averages over: several slowdowns of a second.
const LASTING_PERIOD: Span = Span::from_secs(5);
/// Longest time that one report stands for in the lasting slowness: the time after
/// which a probe is due.
const MAX_REPORT_SPAN: Span = PROBE_INTERVAL;
/// Bound on a report and its inverse in the lasting slowness. A pause of a second says
/// little about the seconds that follow.
const MAX_LASTING_CHANGE: f64 = 3.0;
/// Below 1, so that the slowness of all instances returns to 1 when it has drifted in
/// common with the references.
const LASTING_EXPONENT: f64 = 0.95;
/// Time without reports over which the current slowness returns to the lasting one.
const CURRENT_DECAY: Span = Span::from_ms(500);
/// Number of missing responses that doubles the slowness.
const MISSING_TO_DOUBLE: f64 = 4.0;
/// Health below which an instance does not count as faster than average: failing
/// quickly is no speed.
const MIN_FAST_HEALTH: f64 = 0.95;
/// Ratio of two expected times below which they count as equal. A slowdown by 2.5 for
/// 0.6 s raises the lasting slowness by a tenth; if the smaller time always won, the
/// instance would get little load for seconds after it.
const MIN_GAIN: f64 = 1.2;
/// How long an instance can go without a report before it is probed.
const PROBE_INTERVAL: Span = Span::from_secs(1);
/// At most one in this many choices is a probe.
const CHOICES_PER_PROBE: u32 = 16;

/// Reference service time of each route, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct References(BTreeMap<Route, f64>);

impl References {
    /// Records a reported service time and updates the speed of its instance.
    pub(super) fn record(&mut self, now: Time, route: &Route, service_ms: u32, speed: &mut Speed) {
        if service_ms == 0 {
            return;
        }
        let service = f64::from(service_ms);
        let reference = self
            .0
            .entry(route.clone())
            .or_insert(service / speed.lasting);
        let explained = service / speed.lasting;
        let target = explained.clamp(*reference / MAX_SLOWNESS, *reference * MAX_SLOWNESS);
        *reference += (target - *reference) * REFERENCE_WEIGHT;
        speed.record(now, service, service / *reference);
    }
}

/// Speed of one instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    /// Slowness over the last seconds.
    lasting: f64,
    /// Slowness according to the latest reports.
    current: f64,
    /// Number of reports, and the time of the latest.
    reports: u32,
    reported: Time,
    /// Service time in the latest reports, in milliseconds.
    service_ms: f64,
    /// Total time that attempts have been outstanding since the last response.
    unanswered_ms: f64,
    changed: Time,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            lasting: 1.0,
            current: 1.0,
            reports: 0,
            reported: Time::ZERO,
            service_ms: 0.0,
            unanswered_ms: 0.0,
            changed: Time::ZERO,
        }
    }
}

impl Speed {
    fn record(&mut self, now: Time, service_ms: f64, relative: f64) {
        let relative = relative.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        let elapsed = now.since(self.reported).min(MAX_REPORT_SPAN).as_ms() as f64;
        self.reports = self.reports.saturating_add(1);
        let first = 1.0 / (f64::from(self.reports) + 1.0);
        let weight = (elapsed / LASTING_PERIOD.as_ms() as f64).max(first);
        let change = relative.powf(LASTING_EXPONENT) / self.lasting;
        let change = change.clamp(1.0 / MAX_LASTING_CHANGE, MAX_LASTING_CHANGE);
        self.lasting *= change.powf(weight);
        let weight = elapsed / CURRENT_PERIOD.as_ms() as f64;
        self.current += (relative - self.current) * weight.clamp(CURRENT_WEIGHT, 1.0);
        self.service_ms = match self.reports {
            1 => service_ms,
            _ => self.service_ms + (service_ms - self.service_ms) * CURRENT_WEIGHT,
        };
        self.reported = now;
    }

    /// Records that the number of outstanding attempts changes from `outstanding`.
    pub(super) fn record_change(&mut self, now: Time, outstanding: u32) {
        self.unanswered_ms = match outstanding {
            0 => 0.0,
            _ => self.unanswered_ms(now, outstanding),
        };
        self.changed = now;
    }

    /// Records a sign of life of the instance.
    pub(super) fn record_response(&mut self, now: Time) {
        self.unanswered_ms = 0.0;
        self.changed = now;
    }

    fn unanswered_ms(&self, now: Time, outstanding: u32) -> f64 {
        let elapsed = now.since(self.changed).as_ms() as f64;
        self.unanswered_ms + elapsed * f64::from(outstanding)
    }

    /// Estimates the present slowness. Responses that are missing raise it, because
    /// an instance that has paused sends no reports.
    pub(super) fn slowness(&self, now: Time, outstanding: u32) -> f64 {
        let age = now.since(self.reported).as_ms() as f64 / CURRENT_DECAY.as_ms() as f64;
        let reported = self.current + (self.lasting - self.current) * age.min(1.0);
        let missing = match self.service_ms {
            0.0 => 0.0,
            service_ms => self.unanswered_ms(now, outstanding) / service_ms - 1.0,
        };
        let slowness = reported * (1.0 + missing.max(0.0) / MISSING_TO_DOUBLE);
        slowness.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS)
    }

    /// Whether only a request can show how fast the instance is now.
    pub(super) fn is_probe_due(&self, now: Time, outstanding: u32) -> bool {
        outstanding == 0 && self.reports > 0 && now.since(self.reported) >= PROBE_INTERVAL
    }
}

/// Estimates how long one more request takes, in units of the reference time.
///
/// `utilization` does not include health, whose square divides the whole time, so
/// that an instance that fails fast looks slow while slots are free, too.
pub(super) fn expected_time(slowness: f64, utilization: f64, health: f64) -> f64 {
    let slowness = match health < MIN_FAST_HEALTH {
        true => slowness.max(1.0),
        false => slowness,
    };
    let queued = (utilization - FREE_UTILIZATION) / (1.0 - FREE_UTILIZATION);
    let wait = utilization * queued.clamp(0.0, 1.0);
    slowness * (1.0 + wait) / health.powi(2)
}

/// Whether a time is shorter than another by more than the error of measurement.
pub(super) fn is_shorter(time: f64, other: f64) -> bool {
    time * MIN_GAIN < other
}

/// How the latest choices were made.
#[derive(Clone, Debug, Default)]
pub(super) struct Choices {
    since_probe: Cell<u32>,
    latest: Cell<Option<Counter>>,
}

impl Choices {
    /// Counts a choice and returns whether it may be a probe.
    pub(super) fn next(&self) -> bool {
        let count = self.since_probe.get().saturating_add(1);
        self.since_probe.set(count);
        count >= CHOICES_PER_PROBE
    }

    /// Records that the choice is a probe.
    pub(super) fn record_probe(&self) {
        self.since_probe.set(0);
        self.latest.set(Some(Counter::SpeedProbed));
    }

    /// Records whether the choice differs from that by utilization.
    pub(super) fn record(&self, differs: bool) {
        self.latest.set(differs.then_some(Counter::SpeedPreferred));
    }

    /// Takes the counter of the latest choice.
    pub(super) fn take(&self) -> Option<Counter> {
        self.latest.take()
    }
}
