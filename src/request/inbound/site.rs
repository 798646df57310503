//! What an inbound proxy knows of its pool and its upstream.

use std::collections::BTreeMap;

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
    warmup, //
};

/// The weight of the newest answer in the usual time of service.
const SERVICE_EWMA_WEIGHT: f64 = 0.1;

/// How much smaller an upstream looks that its endpoint speaks ill of.
const UNHEALTHY_DIVISOR: u32 = 4;

/// The pool's bounds in force, and the upstream's state.
#[derive(Clone, Debug)]
pub struct Site {
    pool: id::Pool,
    version: Option<id::Version>,
    /// Requests that the upstream runs at a time, when configured.
    pub slots: Option<u32>,
    /// Requests that may wait.
    pub queue: u32,
    /// The queue delay that is aimed at.
    pub delay: Span,
    /// Requests that the upstream says it runs at a time.
    pub told: Option<u32>,
    /// Time over which a new upstream's share grows.
    pub ramp: Span,
    /// How fast a cold upstream takes requests, when configured.
    pub cold: Option<warmup::RateLimit>,
    /// The last order on the failure domain of this node.
    pub evacuation: Option<Evacuation>,
    /// The upstream takes requests.
    pub ready: bool,
    /// An answer of the upstream said that it leaves, which holds for its life.
    pub departing: bool,
    /// Its last announcement said that it leaves.
    pub announced_leaving: bool,
    /// What its health or load endpoint says of it.
    pub well: bool,
    /// The upstream has taken requests at some time.
    pub served: bool,
    /// The node was told to stop.
    pub draining: bool,
    typical: f64,
    routes: BTreeMap<id::Route, Usual>,
    last_start: Time,
}

/// What was learnt of a route's time of service.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    ms: f64,
    at: Time,
}

/// Time for which a usual time of service counts without being confirmed.
const SERVICE_TIMEOUT: Span = Span::from_ms(500);

impl Site {
    /// A site whose row is not known yet.
    pub fn new(pool: id::Pool, ready: bool) -> Self {
        Self {
            pool,
            version: None,
            slots: None,
            told: None,
            queue: 0,
            delay: Span::ZERO,
            ramp: Span::ZERO,
            cold: None,
            evacuation: None,
            ready,
            departing: false,
            announced_leaving: false,
            well: true,
            served: ready,
            draining: false,
            typical: 0.0,
            routes: BTreeMap::new(),
            last_start: Time::ZERO,
        }
    }

    /// Reads the pool's row, when the configuration is a new one.
    pub fn configure(&mut self, snapshot: &Snapshot, bound: warmup::Tolerance) {
        if self.version == Some(snapshot.version) {
            return;
        }
        self.version = Some(snapshot.version);
        if let Some(row) = snapshot.tables.pool(&self.pool) {
            self.slots = row.slots;
            self.queue = row.queue;
            self.delay = row.delay;
            self.ramp = row.ramp;
            self.cold = bound.rate_limit(row);
        }
    }

    /// Reads the pool's row again with the next event.
    pub fn forget_row(&mut self) {
        self.version = None;
    }

    /// The slots, by the upstream's own word before the pool's row.
    pub fn slots(&self) -> Option<u32> {
        self.told.or(self.slots)
    }

    /// Whether the failure domain of this node is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.evacuation.is_some_and(|order| order.in_force)
    }

    /// Whether new work belongs elsewhere, and will not come back here.
    pub fn leaving(&self) -> bool {
        self.draining || self.departing || (self.served && !self.ready)
    }

    /// The slots that are told to others. An endpoint that speaks ill of the
    /// upstream may lag, lie or be stuck, so it only makes the instance look
    /// smaller than it is: with others there it gets less, and when all look
    /// ill, none does.
    pub fn shown(&self, limit: u32) -> u32 {
        match self.well {
            true => limit,
            false => (limit / UNHEALTHY_DIVISOR).max(1),
        }
    }

    /// An attempt was started.
    pub fn started(&mut self, now: Time) {
        self.last_start = now;
    }

    /// An attempt was served whole.
    pub fn took(&mut self, now: Time, route: &id::Route, took: Span) {
        let ms = took.as_ms() as f64;
        self.typical = blend(self.typical, ms);
        let usual = self.routes.entry(route.clone()).or_default();
        usual.ms = blend(usual.ms, ms);
        usual.at = now;
    }

    /// The usual time of service of a route, zero while unknown.
    ///
    /// Guards against a judgement that outlives its cause: after a pause all
    /// requests seem to take longer than any deadline, so none is admitted, and
    /// nothing is served that could show otherwise. What was learnt counts only
    /// while requests are still served; then some are let in and it is learnt
    /// anew.
    pub fn typical(&self, now: Time, route: &id::Route) -> Span {
        let fresh = |usual: &&Usual| now.since(usual.at) <= SERVICE_TIMEOUT;
        let usual = self.routes.get(route).filter(fresh);
        Span::from_ms(usual.map_or(0, |usual| usual.ms as u64))
    }

    /// The delay to aim at, with this time in ms between two starts. With few
    /// slots and long service that alone is longer than the row's target.
    pub fn target(&self, gap: f64) -> Span {
        self.delay.max(Span::from_ms((gap * 2.0) as u64))
    }

    /// How much longer than usual nothing was started.
    pub fn still(&self, now: Time, gap: f64) -> Span {
        let usual = Span::from_ms((gap * 2.0) as u64);
        now.since(self.last_start) - usual
    }

    /// The usual time of service in ms, over all routes.
    pub fn usual(&self) -> f64 {
        self.typical
    }

    /// The usual time in ms between two starts with `limit` slots in use.
    pub fn gap(&self, limit: u32) -> f64 {
        self.typical / f64::from(limit.max(1))
    }
}

fn blend(mean: f64, sample: f64) -> f64 {
    match mean {
        0.0 => sample,
        _ => mean + (sample - mean) * SERVICE_EWMA_WEIGHT,
    }
}
