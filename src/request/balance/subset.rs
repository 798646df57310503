//! Subsetting: limits the instances of a pool that this node keeps links to.
//!
//! Rendezvous hashing selects a few instances of the local domain and a few of
//! the other domains. The number of links does not grow with the square of the
//! fleet, an instance that joins or leaves changes few subsets, and the nodes
//! together still spread their load evenly.

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

/// Maximum number of instances in a subset: from the local domain, and from all
/// other domains together.
const MAX_LOCAL_INSTANCES: usize = 8;
const MAX_REMOTE_INSTANCES: usize = 8;
/// How long a subset is used before it is computed again from the member table.
const REFRESH_INTERVAL: Span = Span::from_ms(100);

#[derive(Clone, Debug, Default)]
struct Subset {
    valid_until: Time,
    instances: Vec<Instance>,
}

/// This node's subset of each pool.
#[derive(Clone, Debug)]
pub struct Subsets {
    domain: Domain,
    seed: u64,
    pools: BTreeMap<Pool, Subset>,
}

impl Subsets {
    /// Creates the subsets of the node described by `own`.
    pub fn new(own: &Peer) -> Self {
        Self {
            domain: own.domain.clone(),
            seed: hash(&own.instance, 0),
            pools: BTreeMap::new(),
        }
    }

    /// Returns the instances of a pool that this node sends attempts to.
    pub fn instances(&mut self, now: Time, members: &Table, pool: &Pool) -> &[Instance] {
        let subset = self.pools.entry(pool.clone()).or_default();
        if subset.valid_until <= now || subset.instances.is_empty() {
            subset.valid_until = now + REFRESH_INTERVAL;
            subset.instances = select(&self.domain, self.seed, members, pool);
        }
        &subset.instances
    }
}

fn select(domain: &Domain, seed: u64, members: &Table, pool: &Pool) -> Vec<Instance> {
    let eligible = |peer: &&Peer| {
        peer.pool == *pool && members.accepts_work(peer) && peer.status != Status::Dead
    };
    let (mut local, mut remote): (Vec<_>, Vec<_>) = members
        .iter()
        .filter(eligible)
        .map(|peer| (hash(&peer.instance, seed), peer))
        .partition(|(_, peer)| peer.domain == *domain);
    local.sort_by_key(|(hash, _)| *hash);
    remote.sort_by_key(|(hash, _)| *hash);
    local.truncate(MAX_LOCAL_INSTANCES);
    remote.truncate(MAX_REMOTE_INSTANCES);
    let selected = local.into_iter().chain(remote);
    selected.map(|(_, peer)| peer.instance.clone()).collect()
}

fn hash(instance: &Instance, seed: u64) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
