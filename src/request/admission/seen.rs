//! What a node has seen of the levels at other nodes.
//!
//! Every answer tells the level that held for its route and team. Ingress
//! refuses by it before anything is sent, and an inbound proxy holds new
//! requests to the levels of the routes that such requests call: work that a
//! deeper hop would shed is not begun. What was seen fades, so that a level
//! nobody confirms lets requests pass again.

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Instance,
        Route,
        Team, //
    },
};

/// How long a level holds unconfirmed, and over how long it then fades.
const HOLD: Span = Span::from_ms(500);
const FADE: Span = Span::from_ms(1000);
/// How long a word outweighs a newer one.
const MEMORY: Span = Span::from_ms(100);
/// Nested calls for each request at which a route counts as called by another.
const OFTEN: f64 = 0.3;
/// The weight of the newest request in how often it calls.
const HABIT: f64 = 0.02;
/// Routes, teams and instances that are remembered; the longest unconfirmed goes first.
const ROOM: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Stamp {
    level: f64,
    at: Time,
}

/// Levels by route and team, and which routes call which.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    seen: BTreeMap<Route, BTreeMap<Team, BTreeMap<Instance, Stamp>>>,
    len: usize,
    calls: BTreeMap<Route, BTreeMap<Route, f64>>,
}

impl Levels {
    /// An inbound proxy told its level.
    pub fn observe(&mut self, now: Time, peer: &Instance, route: &Route, team: &Team, level: u16) {
        let level = f64::from(level);
        let teams = self.seen.entry(route.clone()).or_default();
        let peers = teams.entry(team.clone()).or_default();
        self.len += usize::from(!peers.contains_key(peer));
        let stamp = peers
            .entry(peer.clone())
            .or_insert(Stamp { level, at: now });
        let gap = now.since(stamp.at);
        let fresh = match gap <= HOLD {
            true => (gap.as_ms() + 1) as f64 / (gap + MEMORY).as_ms() as f64,
            false => 1.0,
        };
        stamp.level += (level - stamp.level) * fresh;
        stamp.at = now;
        if self.len > ROOM {
            self.forget(now);
        }
    }

    /// Forgets what an instance told of a route.
    pub fn forget_peer(&mut self, route: &Route, peer: &Instance) {
        for peers in self
            .seen
            .get_mut(route)
            .into_iter()
            .flat_map(BTreeMap::values_mut)
        {
            self.len -= usize::from(peers.remove(peer).is_some());
        }
    }

    /// The level now believed to hold: the median of the instances heard of, so
    /// that one slow instance does not shed what the others would take.
    pub fn level(&self, now: Time, route: &Route, team: &Team) -> u16 {
        let Some(peers) = self.seen.get(route).and_then(|teams| teams.get(team)) else {
            return 0;
        };
        let known = peers.values().filter(|stamp| stamp.is_known(now));
        let mut levels: Vec<u16> = known.map(|stamp| stamp.faded(now) as u16).collect();
        levels.sort_unstable();
        let median = levels.len().saturating_sub(1) / 2;
        levels.get(median).copied().unwrap_or(0)
    }

    /// A request of a route ended, having made these nested calls.
    pub fn record_calls(&mut self, route: &Route, nested: &[Route]) {
        if nested.is_empty() && !self.calls.contains_key(route) {
            return;
        }
        let habits = self.calls.entry(route.clone()).or_default();
        for called in nested {
            habits.entry(called.clone()).or_insert(1.0);
        }
        for (called, share) in habits.iter_mut() {
            let hit = f64::from(u8::from(nested.contains(called)));
            *share += (hit - *share) * HABIT;
        }
        habits.retain(|_, share| *share > HABIT / 2.0);
    }

    /// The share of a route's requests that call another one.
    pub fn call_share(&self, route: &Route, called: &Route) -> f64 {
        let habits = self.calls.get(route);
        let share = habits.and_then(|habits| habits.get(called));
        share.copied().unwrap_or(0.0)
    }

    /// The highest level among the routes that this one calls.
    pub fn downstream_level(&self, now: Time, route: &Route, team: &Team) -> u16 {
        let habits = self.calls.get(route).into_iter().flatten();
        habits
            .filter(|(_, share)| **share >= OFTEN)
            .map(|(called, _)| {
                let services = self.level(now, called, &Team::services());
                self.level(now, called, team).max(services)
            })
            .max()
            .unwrap_or(0)
    }

    fn forget(&mut self, now: Time) {
        for teams in self.seen.values_mut() {
            for peers in teams.values_mut() {
                peers.retain(|_, stamp| stamp.is_known(now));
            }
            teams.retain(|_, peers| !peers.is_empty());
        }
        self.seen.retain(|_, teams| !teams.is_empty());
        let teams = self.seen.values().flat_map(BTreeMap::values);
        self.len = teams.map(BTreeMap::len).sum();
        if self.len > ROOM {
            self.seen.clear();
            self.len = 0;
        }
    }
}

impl Stamp {
    fn is_known(&self, now: Time) -> bool {
        now.since(self.at) <= HOLD + FADE
    }

    fn faded(&self, now: Time) -> f64 {
        let over = now.since(self.at + HOLD).as_ms() as f64;
        let left = 1.0 - over / FADE.as_ms() as f64;
        self.level * left.max(0.0)
    }
}
