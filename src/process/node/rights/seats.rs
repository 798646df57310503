//! Placement of seats on nodes.
//!
//! A few nodes of each failure domain own the quotas of all teams, so that the
//! number of store calls grows with the number of domains. Each node computes on
//! its own who should own a seat; the store decides who does.

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

/// Number of seats over which the quotas of all teams are distributed. All nodes
/// must use the same number.
const QUOTA_SEATS: u64 = 16;
/// Minimum number of nodes that own quotas, if the fleet has as many.
const MIN_QUOTA_OWNERS: usize = 3;

/// Returns the seat of a team's quota.
pub(super) fn quota_seat(team: &Team) -> Seat {
    Seat(format!(
        "quota/{}",
        xxh3_64(team.as_str().as_bytes()) % QUOTA_SEATS
    ))
}

/// The placement of seats as computed by one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Plan {
    /// Seats that this node should own.
    pub(super) wanted: Vec<Seat>,
    /// Candidates for the successor of this node, highest rank first.
    pub(super) successors: Vec<Instance>,
    quota_owners: Vec<(Domain, Instance)>,
    record_owners: BTreeMap<Pool, Vec<Instance>>,
}

impl Plan {
    pub(super) fn new(me: &Peer, members: &Table, snapshot: &Snapshot) -> Self {
        let quota_owners = select_quota_owners(members);
        let all = (0..QUOTA_SEATS).map(|number| Seat(format!("quota/{number}")));
        let mut plan = Self {
            wanted: Vec::new(),
            successors: Vec::new(),
            quota_owners,
            record_owners: BTreeMap::new(),
        };
        for row in &snapshot.tables.pools {
            let owners = select_record_owners(members, &row.name);
            plan.record_owners.insert(row.name.clone(), owners);
        }
        plan.wanted = all
            .filter(|seat| plan.candidate(seat, 0).as_ref() == Some(&me.instance))
            .collect();
        let records = plan.record_seats();
        let first = |(seat, ranked): (Seat, Vec<Instance>)| {
            (ranked.first() == Some(&me.instance)).then_some(seat)
        };
        plan.wanted.extend(records.into_iter().filter_map(first));
        plan.successors = plan.successors_of(me);
        plan
    }

    /// Returns the candidate owners of each slice of records, highest rank first.
    pub(super) fn record_seats(&self) -> BTreeMap<Seat, Vec<Instance>> {
        let mut all = BTreeMap::new();
        for (pool, owners) in &self.record_owners {
            for number in 0..record::SLICES_PER_POOL {
                let seat = record::slice_seat(pool, number);
                let mut ranked = owners.clone();
                ranked.sort_by_key(|instance| Reverse(rendezvous_score(&seat.0, instance)));
                all.insert(seat, ranked);
            }
        }
        all
    }

    /// Returns the candidate owner of a seat at this rank. Rank 0 is the node that
    /// should own the seat; ranks beyond the last candidate wrap around.
    pub(super) fn candidate(&self, seat: &Seat, rank: usize) -> Option<Instance> {
        let mut ranked: Vec<&Instance> = self.quota_owners.iter().map(|(_, i)| i).collect();
        ranked.sort_by_key(|instance| Reverse(rendezvous_score(&seat.0, instance)));
        let index = rank.checked_rem(ranked.len())?;
        ranked.get(index).map(|instance| (*instance).clone())
    }

    /// Returns candidates for the successor of a node. Quota owners in other
    /// failure domains come before those in its own, so that the loss of one
    /// domain does not take both owner and successor.
    fn successors_of(&self, me: &Peer) -> Vec<Instance> {
        let own = self.record_owners.get(&me.pool).into_iter().flatten();
        let pool_peers = own.filter(|i| **i != me.instance).cloned();
        let others = self.quota_owners.iter().filter(|(_, i)| *i != me.instance);
        let mut ranked: Vec<_> = others.collect();
        ranked.sort_by_key(|(domain, instance)| {
            let salt = format!("successor of {}", me.instance);
            (*domain == me.domain, rendezvous_score(&salt, instance))
        });
        // Record owners of the same pool come first, because they can take over
        // the records as well.
        let others = ranked.into_iter().map(|(_, instance)| instance.clone());
        pool_peers.chain(others).collect()
    }
}

fn rendezvous_score(salt: &str, instance: &Instance) -> u64 {
    xxh3_64(format!("{salt} {instance}").as_bytes())
}

fn select_quota_owners(members: &Table) -> Vec<(Domain, Instance)> {
    let alive = |peer: &&Peer| peer.status == Status::Alive;
    let mut ranked: Vec<&Peer> = members.iter().filter(alive).collect();
    ranked.sort_by_key(|peer| {
        let salt = format!("keeper of {}", peer.domain);
        (peer.domain.clone(), rendezvous_score(&salt, &peer.instance))
    });
    let domains = ranked.chunk_by(|a, b| a.domain == b.domain);
    let count = domains.clone().count().max(1);
    let each = MIN_QUOTA_OWNERS.div_ceil(count);
    domains
        .flat_map(|peers| peers.iter().take(each))
        .map(|peer| (peer.domain.clone(), peer.instance.clone()))
        .collect()
}

/// Selects the two nodes that own the records of a pool, in different failure
/// domains if possible. With a fixed number of owners, store calls grow with the
/// number of pools instead of the number of nodes.
fn select_record_owners(members: &Table, pool: &Pool) -> Vec<Instance> {
    let alive = |peer: &&Peer| peer.status == Status::Alive && peer.pool == *pool;
    let mut ranked: Vec<&Peer> = members.iter().filter(alive).collect();
    ranked.sort_by_key(|peer| rendezvous_score(&format!("records of {pool}"), &peer.instance));
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
