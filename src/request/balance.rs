//! Which instance of a pool gets an attempt.
//!
//! Of two instances drawn at random the less loaded one is taken. The load is
//! what an inbound proxy told with its answers, plus what was sent since; it is
//! taken relative to the slots it told, which grow slowly after a start.
//! Failures make an instance look fuller than it is, because one that fails
//! fast is always empty. What a health or load endpoint says only makes an
//! instance look smaller.

mod subset;

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use self::subset::Subsets;
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
    outcome::Report,
    policy::Policy, //
};

/// Time over which a reported load fades.
const LOAD_FADE: Span = Span::from_secs(2);
/// How long an instance counts as leaving after it reported so. Longer than a
/// cancelled drain takes to reach all members.
const LEAVING_TIMEOUT: Span = Span::from_secs(1);
/// Weight of the newest outcome in an instance's success rate.
const SUCCESS_EWMA_WEIGHT: f64 = 0.1;
/// An instance that succeeds less often is ejected, after this many outcomes.
const MIN_SUCCESS: f64 = 0.5;
const MIN_OUTCOMES: u32 = 8;
/// Length of the first ejection, doubled each time, and of the longest.
const FIRST_EJECTION: Span = Span::from_secs(1);
const MAX_EJECTION: Span = Span::from_secs(30);
/// Time after its last outcome in which an instance's failures are forgotten.
const FAILURE_FADE: Span = Span::from_secs(5);
/// When more than this share of a pool looks ill, nobody is left out: then the
/// fault is likely not theirs, and the rest could not carry it.
const PANIC_SHARE: f64 = 0.5;
/// Use of an instance of the own domain up to which a request surely finds a
/// slot there, so that one further away could not answer earlier.
const SPILL_USE: f64 = 0.85;
/// How much less an instance of another domain must be used to get a request.
/// Loads are known late and differ by chance, so following each small difference
/// would move bytes between domains without shortening any wait.
const MIN_CROSS_DOMAIN_GAIN: f64 = 0.2;
/// The weights of the newest report in a route's usual time of service, and in how
/// much slower than usual an instance is.
const USUAL_WEIGHT: f64 = 0.02;
const SLOWNESS_WEIGHT: f64 = 0.05;
/// Bound on how much slower or faster an instance may seem.
const MAX_SLOWNESS: f64 = 4.0;
/// How long an instance whose upstream names a limit may go without a request. Others
/// look emptier all the time, and only an answer tells that the limit is over.
const LIMITED_RETRY_INTERVAL: Span = Span::from_secs(2);
/// Slots of an instance that has reported none.
const DEFAULT_SLOTS: f64 = 4.0;

/// What is known of one instance.
#[derive(Clone, Debug)]
struct View {
    life: Incarnation,
    outstanding: u32,
    /// When the last attempt was sent to it.
    sent: Time,
    told: Option<LoadReport>,
    /// Its time of service, relative to that of all instances.
    slowness: f64,
    success: f64,
    marked: Time,
    outcomes: u32,
    ejected: Time,
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
    /// Its upstream names a limit.
    limited: bool,
}

/// How an attempt at an instance ended, as far as it tells of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It does its work, also when that is refusing under overload.
    Healthy,
    /// It failed by its own fault.
    Unhealthy,
    /// Nothing can be said.
    Neutral,
}

/// All instances that this node sends to.
#[derive(Clone, Debug)]
pub struct Balancer {
    domain: Domain,
    subsets: Subsets,
    views: BTreeMap<Instance, View>,
    /// The usual time of service of each route in ms, over all instances.
    usual: BTreeMap<Route, f64>,
}

impl Balancer {
    /// A balancer for this node.
    pub fn new(own: &Peer) -> Self {
        Self {
            domain: own.domain.clone(),
            subsets: Subsets::new(own),
            views: BTreeMap::new(),
            usual: BTreeMap::new(),
        }
    }

    /// Picks an instance, and its present life.
    pub fn pick(
        &mut self,
        now: Time,
        members: &Table,
        pool: &Pool,
        tried: &[Instance],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Instance, Incarnation)> {
        let subset = self.subsets.of(now, members, pool);
        let peers: Vec<&Peer> = subset.iter().filter_map(|name| members.get(name)).collect();
        let usable = self.usable(now, members, &peers, policy);
        let mut fresh: Vec<&Peer> = usable
            .iter()
            .copied()
            .filter(|peer| !tried.contains(&peer.instance))
            .collect();
        let elsewhere = |peer: &&Peer| {
            let mut used = tried.iter().filter_map(|name| members.get(name));
            !used.any(|other| other.domain == peer.domain)
        };
        if !tried.is_empty() && policy.domain && fresh.iter().any(elsewhere) {
            fresh.retain(|peer| elsewhere(peer));
        }
        let due = fresh.iter().find(|peer| self.is_due(now, peer)).copied();
        let chosen = match (due, fresh.is_empty()) {
            (Some(due), _) if tried.is_empty() => due,
            (_, true) => self.choose(now, &usable, policy, rng)?,
            (_, false) => self.choose(now, &fresh, policy, rng)?,
        };
        let life = self.life(chosen);
        Some((chosen.instance.clone(), life))
    }

    /// Whether an instance not yet tried would let this rank pass.
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
                let told = self.views.get(&peer.instance).and_then(|view| view.told);
                told.is_none_or(|told| told.level <= rank)
            })
    }

    /// Picks one of these instances, and its present life.
    pub fn pick_from(
        &mut self,
        now: Time,
        members: &Table,
        names: &[Instance],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<(Instance, Incarnation)> {
        let peers: Vec<&Peer> = names.iter().filter_map(|name| members.get(name)).collect();
        let usable = self.usable(now, members, &peers, policy);
        let chosen = self.better(now, &usable, policy, rng)?;
        Some((chosen.instance.clone(), self.life(chosen)))
    }

    /// Forgets an instance that is gone. One that comes back under its name is
    /// judged anew.
    pub fn forget(&mut self, instance: &Instance) {
        self.views.remove(instance);
    }

    /// Whether there is an instance that has not been tried.
    pub fn has_untried(&self, members: &Table, pool: &Pool, tried: &[Instance]) -> bool {
        let mut there = members
            .serving(pool)
            .filter(|peer| peer.status == Status::Alive);
        there.any(|peer| !tried.contains(&peer.instance))
    }

    /// An attempt was sent.
    pub fn record_sent(&mut self, now: Time, peer: &Instance) {
        let view = self.view(peer);
        view.outstanding += 1;
        view.sent = now;
    }

    /// An inbound proxy told its state.
    pub fn record_report(&mut self, now: Time, peer: &Instance, report: &Report) {
        let view = self.view(peer);
        if report.life < view.life {
            return;
        }
        if report.life > view.life {
            view.reborn(report.life);
        }
        view.told = Some(LoadReport {
            at: now,
            load: report.load,
            slots: report.slots,
            outstanding: view.outstanding,
            level: report.level,
            leaving: report.leaving,
            limited: report.hint.is_some_and(|hint| hint.limit.is_some()),
        });
    }

    /// An instance told how long it usually serves a route.
    pub fn record_service_time(&mut self, peer: &Instance, route: &Route, service_ms: u32) {
        if service_ms == 0 {
            return;
        }
        let service = f64::from(service_ms);
        let usual = self.usual.entry(route.clone()).or_insert(service);
        *usual += (service - *usual) * USUAL_WEIGHT;
        let slower = (service / *usual).clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
        let view = self.view(peer);
        view.slowness += (slower - view.slowness) * SLOWNESS_WEIGHT;
    }

    /// An attempt has ended.
    pub fn record_end(&mut self, now: Time, peer: &Instance, mark: Observation) {
        let view = self.view(peer);
        view.outstanding = view.outstanding.saturating_sub(1);
        let success = match mark {
            Observation::Healthy => 1.0,
            Observation::Unhealthy => 0.0,
            Observation::Neutral => return,
        };
        view.success += (success - view.success) * SUCCESS_EWMA_WEIGHT;
        view.marked = now;
        view.outcomes += 1;
        if view.outcomes >= MIN_OUTCOMES && view.success < MIN_SUCCESS {
            view.eject(now);
        }
    }

    /// The life that attempts to a peer are addressed to: the newest heard of.
    fn life(&self, peer: &Peer) -> Incarnation {
        let told = self.views.get(&peer.instance).map(|view| view.life);
        told.unwrap_or_default().max(peer.incarnation)
    }

    fn view(&mut self, peer: &Instance) -> &mut View {
        self.views.entry(peer.clone()).or_default()
    }

    /// Those that may be picked. Rather one that is suspected or looks ill than
    /// none at all; one that has just told that it leaves is no choice.
    fn usable<'a>(
        &self,
        now: Time,
        members: &Table,
        peers: &[&'a Peer],
        policy: Policy,
    ) -> Vec<&'a Peer> {
        let here = |peer: &&&Peer| members.accepts_work(peer) && !self.leaving(now, peer);
        let alive: Vec<&Peer> = peers
            .iter()
            .filter(here)
            .filter(|peer| peer.status == Status::Alive)
            .copied()
            .collect();
        if alive.is_empty() {
            let suspect = peers.iter().filter(here);
            return suspect
                .filter(|peer| peer.status == Status::Suspect)
                .copied()
                .collect();
        }
        let well = |peer: &&&Peer| {
            let view = self.views.get(&peer.instance);
            view.is_none_or(|view| view.ejected <= now)
        };
        let fit: Vec<&Peer> = alive.iter().filter(well).copied().collect();
        let ejected = (alive.len() - fit.len()) as f64;
        let panic = ejected > alive.len() as f64 * PANIC_SHARE;
        match panic || !policy.ejection {
            true => alive,
            false => fit,
        }
    }

    /// Whether an instance that is limited is to be tried again, to hear whether it
    /// still is.
    fn is_due(&self, now: Time, peer: &Peer) -> bool {
        let view = self.views.get(&peer.instance);
        view.is_some_and(|view| {
            let limited = view.told.is_some_and(|told| told.limited);
            limited && view.outstanding == 0 && now.since(view.sent) >= LIMITED_RETRY_INTERVAL
        })
    }

    /// Whether an instance told of late that it leaves.
    ///
    /// Guards against a drain that is called off: the members say that the
    /// instance takes requests again, and what it told before must not outlive
    /// that. While it does leave, the members say so within this time.
    fn leaving(&self, now: Time, peer: &Peer) -> bool {
        let view = self.views.get(&peer.instance);
        view.is_some_and(|view| {
            let told = view
                .told
                .filter(|told| now.since(told.at) <= LEAVING_TIMEOUT);
            peer.incarnation <= view.life && told.is_some_and(|told| told.leaving)
        })
    }

    fn choose<'a>(
        &self,
        now: Time,
        peers: &[&'a Peer],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a Peer> {
        let (near, far): (Vec<_>, Vec<_>) = peers
            .iter()
            .copied()
            .partition(|peer| peer.domain == self.domain);
        if near.is_empty() || far.is_empty() || !policy.domain {
            return self.better(now, peers, policy, rng);
        }
        let home = self.better(now, &near, policy, rng)?;
        let used = self.used(now, home);
        if used <= SPILL_USE {
            return Some(home);
        }
        let away = self.better(now, &far, policy, rng)?;
        match self.used(now, away) + MIN_CROSS_DOMAIN_GAIN < used {
            true => Some(away),
            false => Some(home),
        }
    }

    /// The better of two.
    fn better<'a>(
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
        if peers.len() == 1 || !policy.load {
            return Some(peers[first]);
        }
        let second = (first + rng.random_range(1..peers.len())) % peers.len();
        let (a, b) = (peers[first], peers[second]);
        match self.time(now, b) < self.time(now, a) {
            true => Some(b),
            false => Some(a),
        }
    }

    /// How long a request more would take at an instance, in usual times of service.
    fn time(&self, now: Time, peer: &Peer) -> f64 {
        let slowness = self.views.get(&peer.instance).map_or(1.0, |v| v.slowness);
        self.used(now, peer) * slowness
    }

    /// How full an instance would be with one request more.
    fn used(&self, now: Time, peer: &Peer) -> f64 {
        let Some(view) = self.views.get(&peer.instance) else {
            return 1.0 / DEFAULT_SLOTS;
        };
        let slots = view
            .told
            .map_or(DEFAULT_SLOTS, |told| f64::from(told.slots.max(1)));
        let health = view.health(now).max(0.05).powi(2);
        (view.load(now) + 1.0) / (slots * health)
    }
}

impl Default for View {
    fn default() -> Self {
        Self {
            life: Incarnation(0),
            outstanding: 0,
            sent: Time::ZERO,
            told: None,
            slowness: 1.0,
            success: 1.0,
            marked: Time::ZERO,
            outcomes: 0,
            ejected: Time::ZERO,
            ejections: 0,
        }
    }
}

impl View {
    fn load(&self, now: Time) -> f64 {
        let own = f64::from(self.outstanding);
        let Some(told) = self.told else {
            return own;
        };
        let others = told.load.saturating_sub(told.outstanding);
        let age = now.since(told.at).as_ms() as f64 / LOAD_FADE.as_ms() as f64;
        own + f64::from(others) * (1.0 - age).max(0.0)
    }

    /// The success, drawn towards one while nothing is heard: an instance that
    /// looks too ill to be tried would never be found well again.
    fn health(&self, now: Time) -> f64 {
        let quiet = now.since(self.marked).as_ms() as f64 / FAILURE_FADE.as_ms() as f64;
        self.success + (1.0 - self.success) * quiet.min(1.0)
    }

    fn eject(&mut self, now: Time) {
        let factor = 1 << self.ejections.min(5);
        let span = Span::from_ms(FIRST_EJECTION.as_ms() * factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected = now + span;
        // It comes back on probation: a few failures put it out again.
        self.outcomes = MIN_OUTCOMES / 2;
        self.success = MIN_SUCCESS;
    }

    fn reborn(&mut self, life: Incarnation) {
        *self = Self {
            life,
            outstanding: self.outstanding,
            ..Self::default()
        };
    }
}
