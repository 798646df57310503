//! Shares of requests that leave the failure domain.
//!
//! Addresses demand that rises in one failure domain while it falls in others, so that
//! one domain sheds load while others have free slots. Each pool has a share of requests
//! that are sent to other domains. It follows the mean utilization of the known
//! instances, because single instances differ by chance, and it rises before the local
//! instances are full. An instance is known if it has reported within the last 2 s.
//!
//! The share changes in small steps, since a change shows in the reports only after a
//! service time. All state is bounded by the number of pools and rebuilt from traffic.

use std::{
    collections::BTreeMap,
    mem, //
};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    Balancer,
    InstanceStats, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Pool,
    member::Peer,
    policy::Policy, //
};

/// Time between two changes of a share.
const UPDATE_INTERVAL: Span = Span::from_ms(100);
/// Age from which a report says nothing about the utilization any more, and time
/// without requests after which a share starts from zero.
const MAX_REPORT_AGE: Span = Span::from_secs(2);
/// Local utilization above which the share rises. Requests rarely wait below.
const RISE_UTILIZATION: f64 = 0.7;
/// Local utilization below which the share falls.
const FALL_UTILIZATION: f64 = 0.6;
/// Utilization up to which the capacity of other domains is used. Equal to the
/// utilization from which single requests leave a domain.
const MAX_UTILIZATION: f64 = 0.85;
/// How much lower the remote utilization must be for the share to rise.
const MIN_DIFFERENCE: f64 = 0.1;
/// Rise of the share in one step, relative to the difference in utilization. With 0.2
/// and reports 0.5 s old, the share swings by up to 0.16 around its mean.
const RISE_FACTOR: f64 = 0.1;
/// Part of the way to [`FALL_UTILIZATION`] that one step covers at most. Without it the
/// share overshoots where the remote instances are nearly idle.
const MAX_APPROACH: f64 = 0.25;
/// Maximum rise and constant fall of the share in one step.
const MAX_RISE: f64 = 0.1;
const FALL: f64 = 0.05;
/// Requests between two probes, so that probes are at most 5 % of a pool's requests.
const PROBE_SPACING: u32 = 20;

/// Why a request was sent to another failure domain although its own has instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Crossing {
    /// It belongs to the pool's share.
    Share,
    /// Its local instance was nearly full and one elsewhere had more free slots.
    Single,
}

/// Load and capacity of the known instances in one group of domains.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    load: f64,
    capacity: f64,
}

/// Share of one pool's requests that leave the failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    value: f64,
    updated: Option<Time>,
    /// Whether a probe is to find out the utilization of the other domains.
    probe_wanted: bool,
    since_probe: u32,
}

/// The shares of all pools.
#[derive(Clone, Debug, Default)]
pub struct Shares(BTreeMap<Pool, Share>);

impl Usage {
    /// Adds an instance with this many requests, and slots weighted by its health.
    pub fn add(&mut self, load: f64, capacity: f64) {
        self.load += load;
        self.capacity += capacity;
    }

    /// Returns the mean utilization, or `None` if no instance is known.
    pub fn utilization(&self) -> Option<f64> {
        (self.capacity > 0.0).then(|| self.load / self.capacity)
    }

    /// Returns how many more requests fit below [`MAX_UTILIZATION`].
    fn free(&self) -> f64 {
        (self.capacity * MAX_UTILIZATION - self.load).max(0.0)
    }
}

impl Share {
    /// Returns the fraction of requests that leave the domain.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns whether the last update is too old.
    pub fn is_due(&self, now: Time) -> bool {
        self.updated
            .is_none_or(|updated| now.since(updated) >= UPDATE_INTERVAL)
    }

    /// Changes the share by one step, according to the usage of the local domain and of
    /// the other domains together.
    pub fn update(&mut self, now: Time, local: Usage, remote: Usage) {
        let is_current = |updated| now.since(updated) <= MAX_REPORT_AGE;
        if !self.updated.is_some_and(is_current) {
            self.value = 0.0;
        }
        self.updated = Some(now);
        let step = self.step(local, remote);
        self.value = (self.value + step).clamp(0.0, 1.0);
        let may_need_others = local.utilization().is_some_and(|u| u > RISE_UTILIZATION);
        self.probe_wanted = may_need_others && remote.utilization().is_none();
    }

    fn step(&self, local: Usage, remote: Usage) -> f64 {
        let (Some(here), Some(elsewhere)) = (local.utilization(), remote.utilization()) else {
            return -FALL;
        };
        let both_full = here > MAX_UTILIZATION && elsewhere > MAX_UTILIZATION;
        if here < FALL_UTILIZATION || elsewhere >= here || both_full {
            return -FALL;
        }
        let difference = here - elsewhere;
        if here <= RISE_UTILIZATION || difference < MIN_DIFFERENCE {
            return 0.0;
        }
        // The local load is what the present share leaves of the demand.
        let staying = 1.0 - self.value;
        let free = remote.free() * staying / local.load;
        let excess = (here - FALL_UTILIZATION) * staying / here;
        (difference * RISE_FACTOR)
            .min(MAX_RISE)
            .min(free)
            .min(excess * MAX_APPROACH)
    }

    /// Returns whether the next request leaves the domain.
    pub fn take(&mut self, rng: &mut ChaCha8Rng) -> bool {
        self.since_probe = self.since_probe.saturating_add(1);
        if self.since_probe >= PROBE_SPACING && mem::take(&mut self.probe_wanted) {
            self.since_probe = 0;
            return true;
        }
        self.value > 0.0 && rng.random_bool(self.value)
    }
}

impl Balancer {
    /// Returns the share of a pool's requests that leave the failure domain.
    pub fn share(&self, pool: &Pool) -> f64 {
        self.shares.0.get(pool).map_or(0.0, Share::value)
    }

    /// Returns whether the next request of a pool leaves the domain, and updates the
    /// pool's share when it is due.
    pub(super) fn leaves_domain(
        &mut self,
        now: Time,
        pool: &Pool,
        candidates: &[&Peer],
        policy: Policy,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        if !policy.scheduling.domain_shares || !policy.prefer_local_domain {
            return false;
        }
        let mut share = self.shares.0.get(pool).copied().unwrap_or_default();
        if share.is_due(now) {
            let (local, remote) = self.usages(now, candidates);
            share.update(now, local, remote);
        }
        let leaves = share.take(rng);
        match self.shares.0.get_mut(pool) {
            Some(known) => *known = share,
            None => drop(self.shares.0.insert(pool.clone(), share)),
        }
        leaves
    }

    /// Returns the usage of the local candidates and of the others.
    fn usages(&self, now: Time, candidates: &[&Peer]) -> (Usage, Usage) {
        let (mut local, mut remote) = (Usage::default(), Usage::default());
        for peer in candidates {
            let stats = self.stats.get(&peer.instance);
            let Some((load, capacity)) = stats.and_then(|stats| stats.usage(now)) else {
                continue;
            };
            match peer.domain == self.domain {
                true => local.add(load, capacity),
                false => remote.add(load, capacity),
            }
        }
        (local, remote)
    }
}

impl InstanceStats {
    /// Returns the requests and the slots, weighted by health, if they are known.
    ///
    /// The load of others counts in full until its report is too old. If it decayed as
    /// in [`Self::load`], domains that get few requests would look idle.
    fn usage(&self, now: Time) -> Option<(f64, f64)> {
        let report = self
            .report
            .filter(|report| now.since(report.at) <= MAX_REPORT_AGE)?;
        let others = report.load.saturating_sub(report.outstanding);
        let load = f64::from(self.outstanding) + f64::from(others);
        Some((
            load,
            f64::from(report.slots.max(1)) * self.capacity_factor(now),
        ))
    }
}
