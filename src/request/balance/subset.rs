//! The bounded part of a pool that this node keeps links to.
//!
//! Rendezvous hashing picks it: a few instances of the own domain and a few of
//! the others. So links do not grow with the square of the fleet, an instance
//! that comes or goes moves few others, and all nodes together still spread
//! evenly.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Domain,
        Instance,
        Pool, //
    },
    member::{
        Peer,
        Status,
        Table, //
    },
};

/// Instances of the own domain, and of all others.
const NEAR: usize = 8;
const FAR: usize = 8;
/// How long a subset is kept before the members are looked at again.
const KEEP: Span = Span::from_ms(100);

#[derive(Clone, Debug, Default)]
struct Subset {
    until: Time,
    instances: Vec<Instance>,
}

/// The subsets of all pools.
#[derive(Clone, Debug)]
pub struct Subsets {
    domain: Domain,
    seed: u64,
    pools: BTreeMap<Pool, Subset>,
}

impl Subsets {
    /// The subsets of this node.
    pub fn new(own: &Peer) -> Self {
        Self {
            domain: own.domain.clone(),
            seed: hash(&own.instance, 0),
            pools: BTreeMap::new(),
        }
    }

    /// The instances of a pool that this node sends to.
    pub fn of(&mut self, now: Time, members: &Table, pool: &Pool) -> &[Instance] {
        let subset = self.pools.entry(pool.clone()).or_default();
        if subset.until <= now || subset.instances.is_empty() {
            subset.until = now + KEEP;
            subset.instances = draw(&self.domain, self.seed, members, pool);
        }
        &subset.instances
    }
}

fn draw(domain: &Domain, seed: u64, members: &Table, pool: &Pool) -> Vec<Instance> {
    let here = |peer: &&Peer| {
        peer.pool == *pool && members.accepts_work(peer) && peer.status != Status::Dead
    };
    let (mut near, mut far): (Vec<_>, Vec<_>) = members
        .iter()
        .filter(here)
        .map(|peer| (hash(&peer.instance, seed), peer))
        .partition(|(_, peer)| peer.domain == *domain);
    near.sort_by_key(|(hash, _)| *hash);
    far.sort_by_key(|(hash, _)| *hash);
    near.truncate(NEAR);
    far.truncate(FAR);
    let drawn = near.into_iter().chain(far);
    drawn.map(|(_, peer)| peer.instance.clone()).collect()
}

fn hash(instance: &Instance, seed: u64) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
