//! Load balancing: selects the instance of a pool for each attempt.
//!
//! Uses the power of two random choices: the less loaded of two random instances
//! gets the attempt. The load is what the inbound proxy reported with its
//! responses plus the attempts sent since, relative to the reported slots, which
//! grow slowly after a start. Failures raise the apparent utilization of an
//! instance, because one that fails fast always looks idle. A health or load
//! endpoint can only lower the apparent capacity of an instance.

pub mod share;
mod speed;
pub mod stall;
mod subset;

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use self::{
    share::{
        Crossing,
        Shares, //
    },
    speed::{
        Choices,
        References,
        Speed, //
    },
    stall::Stalls,
    subset::Subsets, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Domain,
        Incarnation,
        Instance,
        Pool,
        Route, //
    },
    member::{
        Peer,
        Status,
        Table, //
    },
    metric::Counter,
    outcome::Report,
    policy::Policy, //
};

/// Time over which the weight of a reported load decays to zero.
const LOAD_REPORT_DECAY: Span = Span::from_secs(2);
/// How long an instance counts as leaving after it reported so. Longer than the
/// members need to learn that a drain was cancelled.
const LEAVING_TIMEOUT: Span = Span::from_secs(1);
/// Weight of the latest outcome in an instance's success rate.
const SUCCESS_EWMA_WEIGHT: f64 = 0.1;
/// An instance is ejected if its success rate is below `MIN_SUCCESS_RATE` after
/// at least `MIN_OUTCOMES` outcomes.
const MIN_SUCCESS_RATE: f64 = 0.5;
const MIN_OUTCOMES: u32 = 8;
/// Duration of the first ejection, which doubles each time up to `MAX_EJECTION`.
const FIRST_EJECTION: Span = Span::from_secs(1);
const MAX_EJECTION: Span = Span::from_secs(30);
/// Time since the last outcome after which an instance's failures no longer count.
const FAILURE_DECAY: Span = Span::from_secs(5);
/// If more than this fraction of a pool is ejected, ejections are ignored: the
/// fault is probably elsewhere, and the rest could not carry the load.
const PANIC_THRESHOLD: f64 = 0.5;
/// Utilization of a local instance up to which a request certainly gets a slot
/// there, so an instance in another domain could not respond earlier.
const MAX_LOCAL_UTILIZATION: f64 = 0.85;
/// How much lower the utilization of an instance in another domain must be for it
/// to get a request. Load reports are delayed and vary randomly, so reacting to
/// every small difference would cause cross-domain traffic without shorter waits.
const MIN_CROSS_DOMAIN_GAIN: f64 = 0.2;
/// Weights of the latest report in a route's average service time, and in an
/// instance's slowness relative to that average.
const SERVICE_TIME_EWMA_WEIGHT: f64 = 0.02;
const SLOWNESS_EWMA_WEIGHT: f64 = 0.05;
/// Upper bound on an instance's relative slowness; its inverse is the lower bound.
const MAX_SLOWNESS: f64 = 4.0;
/// How long an instance whose upstream names a limit can go without a request.
/// Other instances always look less loaded, and only a response shows that the
/// limit has been lifted.
const LIMITED_PROBE_INTERVAL: Span = Span::from_secs(2);
/// Assumed slots of an instance that hasn't sent a report yet.
const DEFAULT_SLOTS: f64 = 4.0;

/// Load and health of one instance as seen by this node.
#[derive(Clone, Debug)]
struct InstanceStats {
    incarnation: Incarnation,
    outstanding: u32,
    /// When the last attempt was sent.
    last_sent: Time,
    report: Option<LoadReport>,
    /// Its service time relative to the average over all instances.
    slowness: f64,
    speed: Speed,
    success_rate: f64,
    last_observed: Time,
    outcomes: u32,
    ejected_until: Time,
    ejections: u32,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    at: Time,
    load: u32,
    slots: u32,
    outstanding: u32,
    level: u16,
    leaving: bool,
    /// Whether the upstream names a rate limit in its responses.
    limited: bool,
}

/// What the end of an attempt says about the health of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The instance works as intended; shedding load under overload counts as such.
    Healthy,
    /// The instance is at fault for the failure.
    Unhealthy,
    /// The end of the attempt says nothing about the instance.
    Neutral,
}

/// Load balancer over all instances that this node sends attempts to.
#[derive(Clone, Debug)]
pub struct Balancer {
    domain: Domain,
    subsets: Subsets,
    stats: BTreeMap<Instance, InstanceStats>,
    /// Average service time of each route over all instances, in milliseconds.
    service_times: BTreeMap<Route, f64>,
    references: References,
    choices: Choices,
    /// Instances that have stopped answering.
    pub stalls: Stalls,
    shares: Shares,
    /// Why the last request that was picked left the domain.
    crossing: Option<Crossing>,
}

impl Balancer {
    /// Creates a balancer for the node described by `own`.
    pub fn new(own: &Peer) -> Self {
        Self {
            domain: own.domain.clone(),
            subsets: Subsets::new(own),
            stats: BTreeMap::new(),
            service_times: BTreeMap::new(),
            references: References::default(),
            choices: Choices::default(),
            stalls: Stalls::default(),
            shares: Shares::default(),
            crossing: None,
        }
    }

    /// Selects an instance of a pool and returns it with its current incarnation.
    /// Prefers instances that are not in `tried`.
    pub fn pick(
        &mut self,
        now: Time,
        members: &Table,
        pool: &Pool,
        tried: &[Instance],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Instance, Incarnation)> {
        let subset = self.subsets.instances(now, members, pool);
        let peers: Vec<&Peer> = subset.iter().filter_map(|name| members.get(name)).collect();
        let candidates = self.candidates(now, members, &peers, policy);
        let mut untried: Vec<&Peer> = candidates
            .iter()
            .copied()
            .filter(|peer| !tried.contains(&peer.instance))
            .collect();
        let in_new_domain = |peer: &&Peer| {
            let mut tried_peers = tried.iter().filter_map(|name| members.get(name));
            !tried_peers.any(|other| other.domain == peer.domain)
        };
        if !tried.is_empty() && policy.prefer_local_domain && untried.iter().any(in_new_domain) {
            untried.retain(|peer| in_new_domain(peer));
        }
        let probe = untried
            .iter()
            .find(|peer| self.is_probe_due(now, peer))
            .copied();
        let leaves = tried.is_empty() && self.leaves_domain(now, pool, &candidates, policy, rng);
        let (chosen, crossing) = match (probe, untried.is_empty()) {
            (Some(probe), _) if tried.is_empty() => (probe, None),
            (_, true) => self.pick_by_domain(now, &candidates, leaves, policy, rng)?,
            (_, false) => self.pick_by_domain(now, &untried, leaves, policy, rng)?,
        };
        self.crossing = crossing;
        let incarnation = self.incarnation(chosen);
        Some((chosen.instance.clone(), incarnation))
    }

    /// Returns why the last request that was picked left the failure domain, once.
    pub fn take_crossing(&mut self) -> Option<Crossing> {
        self.crossing.take()
    }

    /// Returns whether any instance not in `tried` would admit a request of this
    /// rank, according to its last report.
    pub fn admits_elsewhere(
        &self,
        members: &Table,
        pool: &Pool,
        tried: &[Instance],
        rank: u16,
    ) -> bool {
        members
            .serving(pool)
            .filter(|peer| !tried.contains(&peer.instance))
            .any(|peer| {
                let report = self
                    .stats
                    .get(&peer.instance)
                    .and_then(|stats| stats.report);
                report.is_none_or(|report| report.level <= rank)
            })
    }

    /// Selects one of the given instances and returns it with its current incarnation.
    pub fn pick_from(
        &mut self,
        now: Time,
        members: &Table,
        names: &[Instance],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Instance, Incarnation)> {
        let peers: Vec<&Peer> = names.iter().filter_map(|name| members.get(name)).collect();
        let candidates = self.candidates(now, members, &peers, policy);
        let chosen = self.pick_of_two(now, &candidates, policy, rng)?;
        Some((chosen.instance.clone(), self.incarnation(chosen)))
    }

    /// Drops the statistics of an instance that has gone, so that one that comes back
    /// under the same name starts afresh.
    pub fn forget(&mut self, instance: &Instance) {
        self.stats.remove(instance);
        self.stalls.forget(instance);
    }

    /// Returns whether the pool has an alive instance that is not in `tried`.
    pub fn has_untried(&self, members: &Table, pool: &Pool, tried: &[Instance]) -> bool {
        let mut alive = members
            .serving(pool)
            .filter(|peer| peer.status == Status::Alive);
        alive.any(|peer| !tried.contains(&peer.instance))
    }

    /// Records that an attempt was sent to an instance.
    pub fn record_sent(&mut self, now: Time, peer: &Instance) {
        let stats = self.stats_mut(peer);
        stats.speed.record_change(now, stats.outstanding);
        stats.outstanding += 1;
        stats.last_sent = now;
    }

    /// Records a report from an inbound proxy.
    pub fn record_report(&mut self, now: Time, peer: &Instance, report: &Report) {
        let stats = self.stats_mut(peer);
        if report.life < stats.incarnation {
            return;
        }
        if report.life > stats.incarnation {
            stats.reset(report.life);
        }
        stats.speed.record_response(now);
        stats.report = Some(LoadReport {
            at: now,
            load: report.load,
            slots: report.slots,
            outstanding: stats.outstanding,
            level: report.level,
            leaving: report.leaving,
            limited: report.hint.is_some_and(|hint| hint.limit.is_some()),
        });
        self.stalls.record_sign_of_life(now, peer);
    }

    /// Records the average service time that an instance reports for a route.
    pub fn record_service_time(&mut self, peer: &Instance, route: &Route, service_ms: u32) {
        if service_ms == 0 {
            return;
        }
        let service = f64::from(service_ms);
        let average = self.service_times.entry(route.clone()).or_insert(service);
        *average += (service - *average) * SERVICE_TIME_EWMA_WEIGHT;
        let relative = (service / *average).clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        let stats = self.stats_mut(peer);
        stats.slowness += (relative - stats.slowness) * SLOWNESS_EWMA_WEIGHT;
    }

    /// Records a reported service time for balancing by speed.
    pub fn record_speed(&mut self, now: Time, peer: &Instance, route: &Route, service_ms: u32) {
        let stats = self.stats.entry(peer.clone()).or_default();
        self.references
            .record(now, route, service_ms, &mut stats.speed);
    }

    /// Takes the counter of the latest choice, if speed made it another one.
    pub fn take_speed_choice(&mut self) -> Option<Counter> {
        self.choices.take()
    }

    /// Records that an attempt has ended and ejects the instance if it fails too often.
    pub fn record_end(&mut self, now: Time, peer: &Instance, observation: Observation) {
        let stats = self.stats_mut(peer);
        stats.speed.record_change(now, stats.outstanding);
        stats.outstanding = stats.outstanding.saturating_sub(1);
        let success = match observation {
            Observation::Healthy => 1.0,
            Observation::Unhealthy => 0.0,
            Observation::Neutral => return,
        };
        stats.success_rate += (success - stats.success_rate) * SUCCESS_EWMA_WEIGHT;
        stats.last_observed = now;
        stats.outcomes += 1;
        if stats.outcomes >= MIN_OUTCOMES && stats.success_rate < MIN_SUCCESS_RATE {
            stats.eject(now);
        }
    }

    /// Returns the newest known incarnation of a peer, to which attempts are addressed.
    fn incarnation(&self, peer: &Peer) -> Incarnation {
        let seen = self
            .stats
            .get(&peer.instance)
            .map(|stats| stats.incarnation);
        seen.unwrap_or_default().max(peer.incarnation)
    }

    fn stats_mut(&mut self, peer: &Instance) -> &mut InstanceStats {
        self.stats.entry(peer.clone()).or_default()
    }

    /// Returns the peers that can be selected, without stalled ones.
    fn candidates<'a>(
        &self,
        now: Time,
        members: &Table,
        peers: &[&'a Peer],
        policy: Policy,
    ) -> Vec<&'a Peer> {
        let usable = self.usable(now, members, peers, policy);
        match policy.scheduling.stall_detection {
            true => self.stalls.without_stalled(now, usable),
            false => usable,
        }
    }

    /// Returns the peers that accept work. Falls back to suspected or ejected
    /// peers if there are no others, but never to one that has just reported that it
    /// is leaving.
    fn usable<'a>(
        &self,
        now: Time,
        members: &Table,
        peers: &[&'a Peer],
        policy: Policy,
    ) -> Vec<&'a Peer> {
        let accepts_work =
            |peer: &&&Peer| members.accepts_work(peer) && !self.is_leaving(now, peer);
        let alive: Vec<&Peer> = peers
            .iter()
            .filter(accepts_work)
            .filter(|peer| peer.status == Status::Alive)
            .copied()
            .collect();
        if alive.is_empty() {
            let suspects = peers.iter().filter(accepts_work);
            return suspects
                .filter(|peer| peer.status == Status::Suspect)
                .copied()
                .collect();
        }
        let not_ejected = |peer: &&&Peer| {
            let stats = self.stats.get(&peer.instance);
            stats.is_none_or(|stats| stats.ejected_until <= now)
        };
        let healthy: Vec<&Peer> = alive.iter().filter(not_ejected).copied().collect();
        let ejected = (alive.len() - healthy.len()) as f64;
        let panic = ejected > alive.len() as f64 * PANIC_THRESHOLD;
        match panic || !policy.ejection {
            true => alive,
            false => healthy,
        }
    }

    /// Returns whether a rate-limited instance is due for a request that finds out
    /// whether the limit still applies.
    fn is_probe_due(&self, now: Time, peer: &Peer) -> bool {
        let stats = self.stats.get(&peer.instance);
        stats.is_some_and(|stats| {
            let limited = stats.report.is_some_and(|report| report.limited);
            limited
                && stats.outstanding == 0
                && now.since(stats.last_sent) >= LIMITED_PROBE_INTERVAL
        })
    }

    /// Returns whether an instance has recently reported that it is leaving.
    ///
    /// The report expires after [`LEAVING_TIMEOUT`]: if a drain is cancelled, the
    /// member table says that the instance takes requests again, and an earlier
    /// report must not override that. If the instance does leave, the member table
    /// says so within the same time.
    fn is_leaving(&self, now: Time, peer: &Peer) -> bool {
        let stats = self.stats.get(&peer.instance);
        stats.is_some_and(|stats| {
            let report = stats
                .report
                .filter(|report| now.since(report.at) <= LEAVING_TIMEOUT);
            peer.incarnation <= stats.incarnation && report.is_some_and(|report| report.leaving)
        })
    }

    /// Selects a local peer, or one of another domain if the request `leaves` as part of
    /// the share or the local one is nearly full.
    fn pick_by_domain<'a>(
        &self,
        now: Time,
        peers: &[&'a Peer],
        leaves: bool,
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<(&'a Peer, Option<Crossing>)> {
        let (local_peers, remote_peers): (Vec<_>, Vec<_>) = peers
            .iter()
            .copied()
            .partition(|peer| peer.domain == self.domain);
        if local_peers.is_empty() || remote_peers.is_empty() || !policy.prefer_local_domain {
            let chosen = self.pick_of_two(now, peers, policy, rng)?;
            return Some((chosen, None));
        }
        if leaves {
            let remote = self.pick_of_two(now, &remote_peers, policy, rng)?;
            // Another domain may be full although the mean of all is not.
            if self.utilization(now, remote) <= 1.0 {
                return Some((remote, Some(Crossing::Share)));
            }
        }
        let local = self.pick_of_two(now, &local_peers, policy, rng)?;
        let local_utilization = self.utilization(now, local);
        if local_utilization <= MAX_LOCAL_UTILIZATION {
            return Some((local, None));
        }
        let remote = self.pick_of_two(now, &remote_peers, policy, rng)?;
        match self.utilization(now, remote) + MIN_CROSS_DOMAIN_GAIN < local_utilization {
            true => Some((remote, Some(Crossing::Single))),
            false => Some((local, None)),
        }
    }

    /// Returns the one with the shorter expected time of two random peers.
    fn pick_of_two<'a>(
        &self,
        now: Time,
        peers: &[&'a Peer],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a Peer> {
        if peers.is_empty() {
            return None;
        }
        let first = rng.random_range(0..peers.len());
        if peers.len() == 1 || !policy.load_balancing {
            return Some(peers[first]);
        }
        let second = (first + rng.random_range(1..peers.len())) % peers.len();
        let (a, b) = (peers[first], peers[second]);
        if policy.scheduling.speed_balancing {
            return Some(self.pick_by_speed(now, a, b));
        }
        match self.expected_time(now, b) < self.expected_time(now, a) {
            true => Some(b),
            false => Some(a),
        }
    }

    /// Returns the peer that takes less time at its present speed, or one whose speed
    /// is no longer known.
    fn pick_by_speed<'a>(&self, now: Time, a: &'a Peer, b: &'a Peer) -> &'a Peer {
        let may_probe = self.choices.next();
        let is_due = |peer: &&Peer| {
            let stats = self.stats.get(&peer.instance);
            stats.is_some_and(|stats| stats.speed.is_probe_due(now, stats.outstanding))
        };
        if let Some(probe) = [a, b].into_iter().find(is_due).filter(|_| may_probe) {
            self.choices.record_probe();
            return probe;
        }
        let (time_a, time_b) = (self.time_by_speed(now, a), self.time_by_speed(now, b));
        let is_b_by_load = self.expected_time(now, b) < self.expected_time(now, a);
        let is_b =
            speed::is_shorter(time_b, time_a) || is_b_by_load && !speed::is_shorter(time_a, time_b);
        self.choices.record(is_b != is_b_by_load);
        match is_b {
            true => b,
            false => a,
        }
    }

    /// Estimates how long one more request would take at the present speed.
    fn time_by_speed(&self, now: Time, peer: &Peer) -> f64 {
        let Some(stats) = self.stats.get(&peer.instance) else {
            return 1.0;
        };
        let slowness = stats.speed.slowness(now, stats.outstanding);
        let health = stats.health(now).max(0.05);
        let utilization = (stats.load(now) + 1.0) / stats.slots();
        speed::expected_time(slowness, utilization, health)
    }

    /// Estimates how long one more request would take at an instance, in units of the
    /// average service time.
    fn expected_time(&self, now: Time, peer: &Peer) -> f64 {
        let slowness = self
            .stats
            .get(&peer.instance)
            .map_or(1.0, |stats| stats.slowness);
        self.utilization(now, peer) * slowness
    }

    /// Estimates the utilization of an instance with one more request. Poor health
    /// raises it.
    fn utilization(&self, now: Time, peer: &Peer) -> f64 {
        let Some(stats) = self.stats.get(&peer.instance) else {
            return 1.0 / DEFAULT_SLOTS;
        };
        (stats.load(now) + 1.0) / (stats.slots() * stats.capacity_factor(now))
    }
}

impl Default for InstanceStats {
    fn default() -> Self {
        Self {
            incarnation: Incarnation(0),
            outstanding: 0,
            last_sent: Time::ZERO,
            report: None,
            slowness: 1.0,
            speed: Speed::default(),
            success_rate: 1.0,
            last_observed: Time::ZERO,
            outcomes: 0,
            ejected_until: Time::ZERO,
            ejections: 0,
        }
    }
}

impl InstanceStats {
    fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding);
        let Some(report) = self.report else {
            return own;
        };
        let others = report.load.saturating_sub(report.outstanding);
        let age = now.since(report.at).as_ms() as f64 / LOAD_REPORT_DECAY.as_ms() as f64;
        own + f64::from(others) * (1.0 - age).max(0.0)
    }

    fn slots(&self) -> f64 {
        self.report
            .map_or(DEFAULT_SLOTS, |report| f64::from(report.slots.max(1)))
    }

    /// Returns the success rate, which recovers towards 1 while there are no new
    /// outcomes. Otherwise an instance that looks too unhealthy to be selected could
    /// never be found healthy again.
    fn health(&self, now: Time) -> f64 {
        let elapsed = now.since(self.last_observed).as_ms() as f64 / FAILURE_DECAY.as_ms() as f64;
        self.success_rate + (1.0 - self.success_rate) * elapsed.min(1.0)
    }

    /// Returns the factor by which poor health lowers the apparent capacity.
    fn capacity_factor(&self, now: Time) -> f64 {
        self.health(now).max(0.05).powi(2)
    }

    fn eject(&mut self, now: Time) {
        let factor = 1 << self.ejections.min(5);
        let duration = Span::from_ms(FIRST_EJECTION.as_ms() * factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = now + duration;
        // After the ejection, a few failures are enough to eject it again.
        self.outcomes = MIN_OUTCOMES / 2;
        self.success_rate = MIN_SUCCESS_RATE;
    }

    fn reset(&mut self, incarnation: Incarnation) {
        *self = Self {
            incarnation,
            outstanding: self.outstanding,
            ..Self::default()
        };
    }
}
