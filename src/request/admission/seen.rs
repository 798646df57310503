//! The levels that other nodes have reported to this one.
//!
//! Every answer carries the level that held for its route and team. Ingress
//! rejects by it before anything is sent, and an inbound proxy applies to a new
//! request the levels of the routes that such requests call: work that a later
//! hop would shed is not started. A reported level fades, so that a level that
//! is not confirmed lets requests pass again.

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

/// How long a level holds without confirmation, and over how long it then fades.
const HOLD_TIME: Span = Span::from_ms(500);
const FADE_TIME: Span = Span::from_ms(1000);
/// Time constant of the average over the levels that an instance reports.
const SMOOTHING_TIME: Span = Span::from_ms(100);
/// Share of a route's requests that must call another route for it to count as
/// downstream.
const MIN_CALL_SHARE: f64 = 0.3;
/// EWMA weight of the newest request in that share.
const CALL_SHARE_EWMA_WEIGHT: f64 = 0.02;
/// Maximum number of levels that are kept, over all routes, teams and
/// instances. Above it those that have faded are dropped, and if that is not
/// enough, all are.
const MAX_LEVELS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Observation {
    level: f64,
    at: Time,
}

/// Levels by route, team and instance, and which routes call which.
#[derive(Clone, Debug, Default)]
pub struct Levels {
    observed: BTreeMap<Route, BTreeMap<Team, BTreeMap<Instance, Observation>>>,
    len: usize,
    /// For each route, the share of its requests that call another route.
    call_shares: BTreeMap<Route, BTreeMap<Route, f64>>,
}

impl Levels {
    /// Records the level that an inbound proxy reported.
    pub fn observe(&mut self, now: Time, peer: &Instance, route: &Route, team: &Team, level: u16) {
        let level = f64::from(level);
        let teams = self.observed.entry(route.clone()).or_default();
        let peers = teams.entry(team.clone()).or_default();
        self.len += usize::from(!peers.contains_key(peer));
        let observation = peers
            .entry(peer.clone())
            .or_insert(Observation { level, at: now });
        let gap = now.since(observation.at);
        let weight = match gap <= HOLD_TIME {
            true => (gap.as_ms() + 1) as f64 / (gap + SMOOTHING_TIME).as_ms() as f64,
            false => 1.0,
        };
        observation.level += (level - observation.level) * weight;
        observation.at = now;
        if self.len > MAX_LEVELS {
            self.drop_faded(now);
        }
    }

    /// Drops the levels that an instance reported for a route.
    pub fn forget_peer(&mut self, route: &Route, peer: &Instance) {
        for peers in self
            .observed
            .get_mut(route)
            .into_iter()
            .flat_map(BTreeMap::values_mut)
        {
            self.len -= usize::from(peers.remove(peer).is_some());
        }
    }

    /// The level assumed for a route and team: the median over the instances
    /// that reported one, so that a single slow instance does not shed what the
    /// others would accept.
    pub fn level(&self, now: Time, route: &Route, team: &Team) -> u16 {
        let Some(peers) = self.observed.get(route).and_then(|teams| teams.get(team)) else {
            return 0;
        };
        let current = peers.values().filter(|reported| reported.is_current(now));
        let mut levels: Vec<u16> = current.map(|reported| reported.faded(now) as u16).collect();
        levels.sort_unstable();
        let median = levels.len().saturating_sub(1) / 2;
        levels.get(median).copied().unwrap_or(0)
    }

    /// Records the routes that a completed request of `route` called.
    pub fn record_calls(&mut self, route: &Route, nested: &[Route]) {
        if nested.is_empty() && !self.call_shares.contains_key(route) {
            return;
        }
        let shares = self.call_shares.entry(route.clone()).or_default();
        for called in nested {
            shares.entry(called.clone()).or_insert(1.0);
        }
        for (called, share) in shares.iter_mut() {
            let sample = f64::from(u8::from(nested.contains(called)));
            *share += (sample - *share) * CALL_SHARE_EWMA_WEIGHT;
        }
        shares.retain(|_, share| *share > CALL_SHARE_EWMA_WEIGHT / 2.0);
    }

    /// The share of a route's requests that call another route.
    pub fn call_share(&self, route: &Route, called: &Route) -> f64 {
        let shares = self.call_shares.get(route);
        let share = shares.and_then(|shares| shares.get(called));
        share.copied().unwrap_or(0.0)
    }

    /// The highest level among the routes that this one calls.
    pub fn downstream_level(&self, now: Time, route: &Route, team: &Team) -> u16 {
        let shares = self.call_shares.get(route).into_iter().flatten();
        shares
            .filter(|(_, share)| **share >= MIN_CALL_SHARE)
            .map(|(called, _)| {
                let services = self.level(now, called, &Team::services());
                self.level(now, called, team).max(services)
            })
            .max()
            .unwrap_or(0)
    }

    fn drop_faded(&mut self, now: Time) {
        for teams in self.observed.values_mut() {
            for peers in teams.values_mut() {
                peers.retain(|_, reported| reported.is_current(now));
            }
            teams.retain(|_, peers| !peers.is_empty());
        }
        self.observed.retain(|_, teams| !teams.is_empty());
        let teams = self.observed.values().flat_map(BTreeMap::values);
        self.len = teams.map(BTreeMap::len).sum();
        if self.len > MAX_LEVELS {
            self.observed.clear();
            self.len = 0;
        }
    }
}

impl Observation {
    /// Whether the level has not faded entirely.
    fn is_current(&self, now: Time) -> bool {
        now.since(self.at) <= HOLD_TIME + FADE_TIME
    }

    fn faded(&self, now: Time) -> f64 {
        let fading = now.since(self.at + HOLD_TIME).as_ms() as f64;
        let left = 1.0 - fading / FADE_TIME.as_ms() as f64;
        self.level * left.max(0.0)
    }
}
