//! The configuration of the pool and the state of its upstream.

use std::collections::BTreeMap;

use super::speed::Meter;
use crate::{
    clock::{
        Span,
        Time, //
    },
    document::{
        Evacuation,
        Snapshot, //
    },
    id,
    policy::Scheduling,
    retry,
    warmup, //
};

/// EWMA weight of the newest answer in the mean service time.
const SERVICE_EWMA_WEIGHT: f64 = 0.1;

/// Divisor on the slots that are advertised for an unhealthy upstream.
const UNHEALTHY_DIVISOR: u32 = 4;

/// The pool's configuration in force, and the state of the upstream beside this
/// node.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    pool: id::Pool,
    version: Option<id::Version>,
    /// Concurrent requests of the upstream, if configured.
    pub slots: Option<u32>,
    /// Maximum length of the queue.
    pub max_queue: u32,
    /// The queue delay that the level is controlled for.
    pub target_delay: Span,
    /// Concurrent requests that the upstream reports as its capacity.
    pub reported_slots: Option<u32>,
    /// Time over which the limit of a new upstream is ramped up.
    pub ramp: Span,
    /// Rate limit of a cold upstream, if configured.
    pub cold_limit: Option<warmup::RateLimit>,
    /// The last evacuation order for the failure domain of this node.
    pub evacuation: Option<Evacuation>,
    /// The upstream accepts requests.
    pub ready: bool,
    /// An answer of the upstream said that it is leaving, which holds until another
    /// upstream process is there.
    pub departing: bool,
    /// Its last announcement said that it is leaving.
    pub announced_leaving: bool,
    /// What its health or load endpoint reports.
    pub healthy: bool,
    /// The upstream was ready at some time.
    pub was_ready: bool,
    /// The node was told to shut down.
    pub draining: bool,
    mean_service_ms: f64,
    service_times: BTreeMap<id::Route, ServiceTime>,
    speed: Meter,
    last_start: Time,
}

/// The mean service time of a route, and when it was last updated.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTime {
    mean_ms: f64,
    updated: Time,
}

/// How long a mean service time is used without an update.
const SERVICE_TIMEOUT: Span = Span::from_ms(500);

impl UpstreamState {
    /// Creates the state before any configuration is known.
    pub fn new(pool: id::Pool, ready: bool) -> Self {
        Self {
            pool,
            version: None,
            slots: None,
            reported_slots: None,
            max_queue: 0,
            target_delay: Span::ZERO,
            ramp: Span::ZERO,
            cold_limit: None,
            evacuation: None,
            ready,
            departing: false,
            announced_leaving: false,
            healthy: true,
            was_ready: ready,
            draining: false,
            mean_service_ms: 0.0,
            service_times: BTreeMap::new(),
            speed: Meter::default(),
            last_start: Time::ZERO,
        }
    }

    /// Applies the pool's configuration, if the snapshot has a new version.
    pub fn configure(&mut self, snapshot: &Snapshot, tolerance: warmup::Tolerance) {
        if self.version == Some(snapshot.version) {
            return;
        }
        self.version = Some(snapshot.version);
        if let Some(pool) = snapshot.tables.pool(&self.pool) {
            self.slots = pool.slots;
            self.max_queue = pool.queue;
            self.target_delay = pool.delay;
            self.ramp = pool.ramp;
            self.cold_limit = tolerance.rate_limit(pool);
        }
    }

    /// Makes the next event apply the pool's configuration again.
    pub fn invalidate_config(&mut self) {
        self.version = None;
    }

    /// The slots; those that the upstream reports override the configured ones.
    pub fn slots(&self) -> Option<u32> {
        self.reported_slots.or(self.slots)
    }

    /// Whether the failure domain of this node is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuation.is_some_and(|order| order.in_force)
    }

    /// Whether the upstream or the node is leaving, so that new requests must go to
    /// other instances.
    pub fn leaving(&self) -> bool {
        self.draining || self.departing || (self.was_ready && !self.ready)
    }

    /// The slots that are advertised to other nodes. A health endpoint may report
    /// wrong or outdated values, or hang, so a bad report only reduces them: the
    /// instance gets less load than healthy ones, and the same share as before if all
    /// instances look unhealthy.
    pub fn advertised_slots(&self, limit: u32) -> u32 {
        match self.healthy {
            true => limit,
            false => (limit / UNHEALTHY_DIVISOR).max(1),
        }
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, now: Time) {
        self.last_start = now;
    }

    /// Records the service time of a completed attempt.
    pub fn record_service_time(&mut self, now: Time, route: &id::Route, took: Span) {
        let ms = took.as_ms() as f64;
        self.mean_service_ms = ewma(self.mean_service_ms, ms);
        let service = self.service_times.entry(route.clone()).or_default();
        service.mean_ms = ewma(service.mean_ms, ms);
        service.updated = now;
    }

    /// The mean service time of a route, zero while unknown.
    ///
    /// It expires when it is not updated. After a pause of the upstream the mean may
    /// exceed every deadline; then no request would be admitted, and none would
    /// complete and correct the mean. Once it has expired, requests are admitted
    /// again and a new mean is measured.
    pub fn service_time(&self, now: Time, route: &id::Route) -> Span {
        let is_current = |service: &&ServiceTime| now.since(service.updated) <= SERVICE_TIMEOUT;
        let service = self.service_times.get(route).filter(is_current);
        Span::from_ms(service.map_or(0, |service| service.mean_ms as u64))
    }

    /// Records the service time of an answer for balancing by speed. Failures say
    /// nothing about it.
    pub fn record_speed(&mut self, now: Time, route: &id::Route, took: Span, status: u16) {
        if !retry::is_failure(status) {
            self.speed.record(now, route, took);
        }
    }

    /// The service time of a route that is reported to senders, zero while unknown.
    pub fn reported_service_time(
        &self,
        now: Time,
        route: &id::Route,
        scheduling: Scheduling,
    ) -> Span {
        match scheduling.speed_balancing {
            true => self.speed.service_time(now, route),
            false => self.service_time(now, route),
        }
    }

    /// The target of the queue delay, for a given time between two starts. It is at
    /// least two such intervals: with few slots and long service times a single one
    /// may exceed the configured target.
    pub fn target_delay(&self, interval_ms: f64) -> Span {
        self.target_delay
            .max(Span::from_ms((interval_ms * 2.0) as u64))
    }

    /// The time since the last start, beyond the two intervals that are normal.
    pub fn stall(&self, now: Time, interval_ms: f64) -> Span {
        let normal = Span::from_ms((interval_ms * 2.0) as u64);
        now.since(self.last_start) - normal
    }

    /// The mean service time in milliseconds over all routes.
    pub fn mean_service_ms(&self) -> f64 {
        self.mean_service_ms
    }

    /// The mean time in milliseconds between two starts with `limit` slots in use.
    pub fn start_interval_ms(&self, limit: u32) -> f64 {
        self.mean_service_ms / f64::from(limit.max(1))
    }
}

fn ewma(mean: f64, sample: f64) -> f64 {
    match mean {
        0.0 => sample,
        _ => mean + (sample - mean) * SERVICE_EWMA_WEIGHT,
    }
}
