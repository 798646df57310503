//! Which nodes should own which seats.
//!
//! A few nodes of each failure domain own the quotas of all teams, so that
//! store calls grow with domains. Who should own a seat is each node's own
//! opinion; who does own it is decided in the store.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    document::Snapshot,
    id::{
        Domain,
        Instance,
        Pool,
        Team, //
    },
    lease::Seat,
    member::{
        Peer,
        Status,
        Table, //
    },
    record, //
};

/// Seats that all teams' quotas are spread over. Every node must count alike.
const QUOTAS: u64 = 16;
/// Nodes that own quotas, at least, when there are so many.
const KEEPERS: usize = 3;

/// The seat of a team's quota.
pub(super) fn quota(team: &Team) -> Seat {
    Seat(format!(
        "quota/{}",
        xxh3_64(team.as_str().as_bytes()) % QUOTAS
    ))
}

/// One node's opinion of who should own what.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// Seats that this node should own.
    pub(super) wanted: Vec<Seat>,
    /// Whom this node should name as its successor, best first.
    pub(super) successors: Vec<Instance>,
    keepers: Vec<(Domain, Instance)>,
    pools: BTreeMap<Pool, Vec<Instance>>,
}

impl Plan {
    pub(super) fn new(me: &Peer, members: &Table, snapshot: &Snapshot) -> Self {
        let keepers = keepers(members);
        let all = (0..QUOTAS).map(|number| Seat(format!("quota/{number}")));
        let mut plan = Self {
            wanted: Vec::new(),
            successors: Vec::new(),
            keepers,
            pools: BTreeMap::new(),
        };
        for row in &snapshot.tables.pools {
            let own = pool_keepers(members, &row.name);
            plan.pools.insert(row.name.clone(), own);
        }
        plan.wanted = all
            .filter(|seat| plan.candidate(seat, 0).as_ref() == Some(&me.instance))
            .collect();
        let records = plan.records();
        let first = |(seat, ranked): (Seat, Vec<Instance>)| {
            (ranked.first() == Some(&me.instance)).then_some(seat)
        };
        plan.wanted.extend(records.into_iter().filter_map(first));
        plan.successors = plan.successors_of(me);
        plan
    }

    /// The nodes that may own each slice of records, best first.
    pub(super) fn records(&self) -> BTreeMap<Seat, Vec<Instance>> {
        let mut all = BTreeMap::new();
        for (pool, keepers) in &self.pools {
            for number in 0..record::SLICES_PER_POOL {
                let seat = record::slice_seat(pool, number);
                let mut ranked = keepers.clone();
                ranked.sort_by_key(|instance| Reverse(score(&seat.0, instance)));
                all.insert(seat, ranked);
            }
        }
        all
    }

    /// The node that should own a seat, and for higher ranks those that come
    /// after it, round and round.
    pub(super) fn candidate(&self, seat: &Seat, rank: usize) -> Option<Instance> {
        let mut ranked: Vec<&Instance> = self.keepers.iter().map(|(_, i)| i).collect();
        ranked.sort_by_key(|instance| Reverse(score(&seat.0, instance)));
        let place = rank.checked_rem(ranked.len())?;
        ranked.get(place).map(|instance| (*instance).clone())
    }

    /// In another failure domain where there is one, so that one loss does not
    /// take owner and successor together.
    fn successors_of(&self, me: &Peer) -> Vec<Instance> {
        let own = self.pools.get(&me.pool).into_iter().flatten();
        let mates = own.filter(|i| **i != me.instance).cloned();
        let others = self.keepers.iter().filter(|(_, i)| *i != me.instance);
        let mut ranked: Vec<_> = others.collect();
        ranked.sort_by_key(|(domain, instance)| {
            let salt = format!("successor of {}", me.instance);
            (*domain == me.domain, score(&salt, instance))
        });
        // A node of the same pool can go on with its records too.
        let others = ranked.into_iter().map(|(_, instance)| instance.clone());
        mates.chain(others).collect()
    }
}

fn score(salt: &str, instance: &Instance) -> u64 {
    xxh3_64(format!("{salt} {instance}").as_bytes())
}

fn keepers(members: &Table) -> Vec<(Domain, Instance)> {
    let alive = |peer: &&Peer| peer.status == Status::Alive;
    let mut ranked: Vec<&Peer> = members.iter().filter(alive).collect();
    ranked.sort_by_key(|peer| {
        let salt = format!("keeper of {}", peer.domain);
        (peer.domain.clone(), score(&salt, &peer.instance))
    });
    let domains = ranked.chunk_by(|a, b| a.domain == b.domain);
    let count = domains.clone().count().max(1);
    let each = KEEPERS.div_ceil(count);
    domains
        .flat_map(|peers| peers.iter().take(each))
        .map(|peer| (peer.domain.clone(), peer.instance.clone()))
        .collect()
}

/// Two nodes of a pool, in different failure domains where there are two, own
/// its records: store calls grow with pools, not with their nodes.
fn pool_keepers(members: &Table, pool: &Pool) -> Vec<Instance> {
    let alive = |peer: &&Peer| peer.status == Status::Alive && peer.pool == *pool;
    let mut ranked: Vec<&Peer> = members.iter().filter(alive).collect();
    ranked.sort_by_key(|peer| score(&format!("records of {pool}"), &peer.instance));
    let Some(first) = ranked.first().copied() else {
        return Vec::new();
    };
    let second = ranked
        .iter()
        .skip(1)
        .min_by_key(|peer| peer.domain == first.domain);
    let second = second.map(|peer| peer.instance.clone());
    std::iter::once(first.instance.clone())
        .chain(second)
        .collect()
}
