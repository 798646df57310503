//! Stall detection: finds instances that have stopped answering over an open link.
//!
//! The load it addresses: a machine loses power, is paused or is cut off, and its
//! links stay open until a timeout. Attempts sent there meanwhile wait until their
//! deadline. Suspicion by the membership protocol takes a second or two.
//!
//! The silence of an instance is the time since the later of its last sign of life
//! and the sending of its oldest unanswered attempt. An instance is stalled when its
//! silence exceeds [`MIN_SILENCE`] and a multiple of what is usual for the slowest
//! route outstanding there, and it stays stalled until its next sign of life. Only
//! attempts whose body was complete when they were sent are evidence: an upstream
//! can't answer a request that is still being received.
//!
//! The point in time at which an instance becomes stalled changes only with an
//! event of that instance, so it is kept and the check for each call is a comparison.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Balancer;
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Incarnation,
        Instance,
        Pool,
        Request,
        Route, //
    },
    member::{
        Peer,
        Table, //
    },
    metric::{
        Counter,
        Counts, //
    },
    policy::Policy,
};

/// Silence up to which no instance is stalled. Garbage collection and lost packets
/// cause pauses of this length at healthy instances.
const MIN_SILENCE: Span = Span::from_ms(150);
/// Number of unanswered attempts without which an instance isn't stalled. A single
/// one may just be slow.
const MIN_UNANSWERED: usize = 2;
/// Silence of a stalled instance, in units of the usual response time of the slowest
/// route plus its average deviation.
const SILENCE_FACTOR: f64 = 3.0;
/// Responses after which the response time of a route is known. Fast responses
/// arrive first, so the average of a few is too low.
const MIN_SAMPLES: u32 = 8;
/// Weight of the latest response in a route's average response time and deviation.
const RESPONSE_TIME_EWMA_WEIGHT: f64 = 0.1;
/// Interval between two attempts that find out whether a stalled instance has
/// recovered.
const PROBE_INTERVAL: Span = Span::from_ms(500);
/// The same for calls that can't be repeated elsewhere if the probe fails. They are
/// used only if no others arrive: the outcome of a failed probe is unknown.
const UNREPEATABLE_PROBE_INTERVAL: Span = Span::from_secs(2);
/// If more than this fraction of a pool is stalled, stalls are ignored: the fault is
/// probably on the side of this node.
const PANIC_THRESHOLD: f64 = 0.5;
/// Time between two events of this node that doesn't count as silence. A node with
/// open calls handles an event at least every 10 ms unless it is paused or starved.
const MAX_EVENT_GAP: Span = Span::from_ms(50);
/// Time between two events after which all that is known about silence is reset.
const RESET_EVENT_GAP: Span = Span::from_secs(1);

/// Silence of the instances that this node sends attempts to. Holds an entry only for
/// instances that are stalled or have unanswered attempts.
#[derive(Clone, Debug)]
pub struct Stalls {
    instances: BTreeMap<Instance, Silence>,
    response_times: BTreeMap<Route, ResponseTime>,
    /// Whether any instance is marked as stalled.
    any_stalled: bool,
    /// No other instance becomes stalled before this time.
    earliest_stall: Time,
    last_event: Time,
    /// Stalls that began and ended since they were last counted.
    begun: u32,
    ended: u32,
}

/// Silence of one instance.
#[derive(Clone, Debug)]
struct Silence {
    /// Highest incarnation that an attempt was sent to.
    life: Incarnation,
    unanswered: BTreeMap<Request, Unanswered>,
    /// The last sign of life, or the end of a pause of this node.
    heard_at: Time,
    /// Silence after which the instance is stalled. An upper bound between two checks.
    threshold: Span,
    /// When the instance becomes stalled if nothing happens before.
    stalls_at: Time,
    stalled_since: Option<Time>,
}

/// An attempt whose response hasn't started.
#[derive(Clone, Debug)]
struct Unanswered {
    sent_at: Time,
    route: Route,
}

/// Usual time until the response to an attempt starts, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTime {
    samples: u32,
    mean: f64,
    deviation: f64,
}

impl Default for Stalls {
    fn default() -> Self {
        Self {
            instances: BTreeMap::new(),
            response_times: BTreeMap::new(),
            any_stalled: false,
            earliest_stall: Time::NEVER,
            last_event: Time::ZERO,
            begun: 0,
            ended: 0,
        }
    }
}

impl Stalls {
    /// Takes note of the time of an event. Time in which this node didn't run is not
    /// silence, because what arrived meanwhile is handled only later.
    pub fn observe_time(&mut self, now: Time) {
        let gap = now.since(self.last_event);
        self.last_event = now;
        if gap <= MAX_EVENT_GAP {
            return;
        }
        for silence in self.instances.values_mut() {
            match gap > RESET_EVENT_GAP {
                true => silence.reset(now),
                false => silence.heard_at = silence.start() + gap,
            }
            silence.update();
        }
        self.refresh();
    }

    /// Records an attempt that was sent with its complete body.
    pub fn record_sent(
        &mut self,
        now: Time,
        instance: &Instance,
        life: Incarnation,
        request: Request,
        route: &Route,
    ) {
        let threshold = self.threshold(route);
        let silence = self.instances.entry(instance.clone()).or_default();
        silence.life = silence.life.max(life);
        silence.threshold = match silence.unanswered.is_empty() {
            true => threshold,
            false => silence.threshold.max(threshold),
        };
        let unanswered = Unanswered {
            sent_at: now,
            route: route.clone(),
        };
        silence.unanswered.insert(request, unanswered);
        silence.update();
        self.earliest_stall = self.earliest_stall.min(silence.stalls_at);
    }

    /// Records that a response has started.
    pub fn record_answer(&mut self, now: Time, instance: &Instance, request: Request) {
        if let Some(Unanswered { sent_at, route }) = self.remove(now, instance, request) {
            let response_time = self.response_times.entry(route).or_default();
            response_time.record(now.since(sent_at));
        }
    }

    /// Records that the response to an attempt is no longer awaited.
    pub fn record_end(&mut self, now: Time, instance: &Instance, request: Request) {
        self.remove(now, instance, request);
    }

    /// Records a sign of life, which ends a stall.
    pub fn record_sign_of_life(&mut self, now: Time, instance: &Instance) {
        let Some(silence) = self.instances.get_mut(instance) else {
            return;
        };
        // A stall that nobody has noticed yet has no effect.
        self.ended += u32::from(silence.stalled_since.is_some());
        silence.reset(now);
        silence.update();
    }

    /// Drops the state of an instance that has gone.
    pub fn forget(&mut self, instance: &Instance) {
        self.instances.remove(instance);
    }

    /// Returns whether an instance is stalled.
    pub fn is_stalled(&self, now: Time, instance: &Instance) -> bool {
        self.may_be_stalled(now)
            && self
                .instances
                .get(instance)
                .is_some_and(|silence| silence.is_stalled(now))
    }

    /// Returns those of the peers that aren't stalled, or all if too many are.
    pub fn without_stalled<'a>(&self, now: Time, peers: Vec<&'a Peer>) -> Vec<&'a Peer> {
        if !self.may_be_stalled(now) {
            return peers;
        }
        let answering: Vec<&Peer> = peers
            .iter()
            .filter(|peer| !self.is_stalled(now, &peer.instance))
            .copied()
            .collect();
        match is_panic(peers.len() - answering.len(), peers.len()) {
            true => peers,
            false => answering,
        }
    }

    /// Returns whether an attempt has waited for a stalled instance for too long: it
    /// was sent before the stall, or it is a probe that wasn't answered in the usual
    /// time either.
    pub fn is_overdue(&self, now: Time, instance: &Instance, sent_at: Time, route: &Route) -> bool {
        let silence = self.instances.get(instance);
        let stalled_since = silence.and_then(|silence| silence.stalled_since);
        stalled_since.is_some_and(|since| sent_at <= since)
            || now.since(sent_at) > self.threshold(route)
    }

    /// Marks the instances that have become stalled, and drops state that is no
    /// longer needed.
    fn check(&mut self, now: Time, members: &Table) {
        let response_times = &self.response_times;
        for (instance, silence) in &mut self.instances {
            let Some(peer) = members.get(instance) else {
                silence.stalled_since = None;
                continue;
            };
            if peer.incarnation > silence.life {
                silence.reset(now);
            }
            let thresholds = silence
                .unanswered
                .values()
                .map(|unanswered| threshold(response_times, &unanswered.route));
            silence.threshold = thresholds.max().unwrap_or(Span::ZERO);
            silence.update();
            self.begun += u32::from(silence.mark(now));
        }
        self.instances
            .retain(|_, silence| silence.stalled_since.is_some() || !silence.unanswered.is_empty());
        self.refresh();
    }

    fn remove(&mut self, now: Time, instance: &Instance, request: Request) -> Option<Unanswered> {
        let silence = self.instances.get_mut(instance)?;
        // Without this, an instance whose attempts all end by their deadline would
        // look recovered.
        if silence.mark(now) {
            self.begun += 1;
            self.any_stalled = true;
        }
        let removed = silence.unanswered.remove(&request);
        silence.update();
        removed
    }

    fn refresh(&mut self) {
        let silences = || self.instances.values();
        self.any_stalled = silences().any(|silence| silence.stalled_since.is_some());
        let earliest = silences().map(|silence| silence.stalls_at).min();
        self.earliest_stall = earliest.unwrap_or(Time::NEVER);
    }

    fn may_be_stalled(&self, now: Time) -> bool {
        self.any_stalled || now > self.earliest_stall
    }

    fn threshold(&self, route: &Route) -> Span {
        threshold(&self.response_times, route)
    }
}

impl Default for Silence {
    fn default() -> Self {
        Self {
            life: Incarnation(0),
            unanswered: BTreeMap::new(),
            heard_at: Time::ZERO,
            threshold: Span::ZERO,
            stalls_at: Time::NEVER,
            stalled_since: None,
        }
    }
}

impl Silence {
    fn start(&self) -> Time {
        let oldest = self.unanswered.first_key_value();
        oldest.map_or(self.heard_at, |(_, oldest)| {
            oldest.sent_at.max(self.heard_at)
        })
    }

    fn update(&mut self) {
        self.stalls_at = match self.unanswered.len() < MIN_UNANSWERED {
            true => Time::NEVER,
            false => self.start() + self.threshold,
        };
    }

    fn is_stalled(&self, now: Time) -> bool {
        self.stalled_since.is_some() || now > self.stalls_at
    }

    /// Marks the instance if it is stalled. Returns whether it wasn't marked before.
    fn mark(&mut self, now: Time) -> bool {
        let begins = self.stalled_since.is_none() && now > self.stalls_at;
        if begins {
            self.stalled_since = Some(self.stalls_at);
        }
        begins
    }

    fn reset(&mut self, now: Time) {
        self.heard_at = now;
        self.stalled_since = None;
    }
}

impl ResponseTime {
    fn record(&mut self, time: Span) {
        // Bounded, so that the late responses of a stalled instance don't make stalls
        // look usual.
        let sample = time.min(self.threshold()).as_ms() as f64;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean = sample;
            self.deviation = sample / 2.0;
            return;
        }
        let weight = RESPONSE_TIME_EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.deviation += ((sample - self.mean).abs() - self.deviation) * weight;
        self.mean += (sample - self.mean) * weight;
    }

    /// Returns the silence that is too long for this route; unbounded while its
    /// response time is unknown.
    fn threshold(&self) -> Span {
        if self.samples < MIN_SAMPLES {
            return Span::MAX;
        }
        let usual = (self.mean + self.deviation) * SILENCE_FACTOR;
        MIN_SILENCE.max(Span::from_ms(usual as u64))
    }
}

fn threshold(response_times: &BTreeMap<Route, ResponseTime>, route: &Route) -> Span {
    let response_time = response_times.get(route);
    response_time.map_or(Span::MAX, ResponseTime::threshold)
}

fn is_panic(stalled: usize, all: usize) -> bool {
    stalled as f64 > all as f64 * PANIC_THRESHOLD
}

impl Balancer {
    /// Marks the instances that have become stalled, and returns all stalled ones
    /// whose attempts may be sent elsewhere.
    pub fn check_stalls(
        &mut self,
        now: Time,
        members: &Table,
        policy: Policy,
        counts: &mut Counts,
    ) -> BTreeSet<Instance> {
        self.stalls.check(now, members);
        let (begun, ended) = (self.stalls.begun, self.stalls.ended);
        (self.stalls.begun, self.stalls.ended) = (0, 0);
        if !policy.scheduling.stall_detection {
            return BTreeSet::new();
        }
        (0..begun).for_each(|_| counts.add(Counter::StallBegun));
        (0..ended).for_each(|_| counts.add(Counter::StallEnded));
        let mut pools: BTreeMap<&Pool, BTreeSet<Instance>> = BTreeMap::new();
        for instance in self.stalls.instances.keys() {
            if let Some(peer) = members.get(instance)
                && self.stalls.is_stalled(now, instance)
            {
                let stalled = pools.entry(&peer.pool).or_default();
                stalled.insert(instance.clone());
            }
        }
        let mut all = BTreeSet::new();
        for (pool, stalled) in pools {
            match self.ignores_stalls(now, members, pool, policy) {
                true => counts.add(Counter::StallsIgnored),
                false => all.extend(stalled),
            }
        }
        all
    }

    /// Returns a stalled instance of the pool that is due for a probe, at random, so
    /// that a node with little traffic doesn't send most of it to such instances.
    /// `repeatable` tells whether the call can be sent elsewhere if the probe fails.
    pub fn pick_probe(
        &mut self,
        now: Time,
        members: &Table,
        pool: &Pool,
        repeatable: bool,
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Instance, Incarnation)> {
        if !policy.scheduling.stall_detection || !self.stalls.may_be_stalled(now) {
            return None;
        }
        let subset = self.subsets.instances(now, members, pool);
        let peers: Vec<&Peer> = subset.iter().filter_map(|name| members.get(name)).collect();
        let usable = self.usable(now, members, &peers, policy);
        let is_stalled = |peer: &&&Peer| self.stalls.is_stalled(now, &peer.instance);
        let stalled: Vec<&Peer> = usable.iter().filter(is_stalled).copied().collect();
        if stalled.is_empty() || is_panic(stalled.len(), usable.len()) {
            return None;
        }
        let interval = match repeatable {
            true => PROBE_INTERVAL,
            false => UNREPEATABLE_PROBE_INTERVAL,
        };
        let chosen = stalled.get(rng.random_range(0..usable.len()))?;
        let last_sent = self
            .stats
            .get(&chosen.instance)
            .map_or(Time::ZERO, |stats| stats.last_sent);
        let is_due = now.since(last_sent) >= interval;
        is_due.then(|| (chosen.instance.clone(), self.incarnation(chosen)))
    }

    /// Returns whether so many candidates of a pool are stalled that stalls there are
    /// ignored. The candidates contain stalled instances only then.
    fn ignores_stalls(&mut self, now: Time, members: &Table, pool: &Pool, policy: Policy) -> bool {
        let subset = self.subsets.instances(now, members, pool);
        let peers: Vec<&Peer> = subset.iter().filter_map(|name| members.get(name)).collect();
        let candidates = self.candidates(now, members, &peers, policy);
        let mut names = candidates.iter().map(|peer| &peer.instance);
        names.any(|name| self.stalls.is_stalled(now, name))
    }
}
