//! Which nodes serve the tokens of a team.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{
        Instance,
        Team, //
    },
    member::Peer,
};

/// Token servers of a team.
pub(super) const SERVERS: usize = 3;

#[derive(Clone, Debug)]
struct Node {
    hash: u64,
    instance: Instance,
}

/// The nodes among which servers are chosen, by rendezvous hashing.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    nodes: Vec<Node>,
}

impl Placement {
    /// Whether these are the nodes known already.
    pub(super) fn has(&self, nodes: &[&Peer]) -> bool {
        let known = self.nodes.iter().map(|node| &node.instance);
        self.nodes.len() == nodes.len() && known.eq(nodes.iter().map(|peer| &peer.instance))
    }

    /// Goes by these nodes from now on.
    pub(super) fn adopt(&mut self, nodes: &[&Peer]) {
        let node = |peer: &&Peer| Node {
            hash: xxh3_64(peer.instance.as_str().as_bytes()),
            instance: peer.instance.clone(),
        };
        self.nodes = nodes.iter().map(node).collect();
    }

    /// The servers of a team, best first. All nodes that know the same nodes choose
    /// the same.
    pub(super) fn servers(&self, team: &Team) -> Vec<Instance> {
        let team = xxh3_64(team.as_str().as_bytes());
        let mut best: Vec<(u64, &Node)> = Vec::with_capacity(SERVERS + 1);
        for node in &self.nodes {
            let weight = mix(node.hash, team);
            let place = best.partition_point(|(other, _)| *other >= weight);
            if place < SERVERS {
                best.insert(place, (weight, node));
                best.truncate(SERVERS);
            }
        }
        let names = best.into_iter().map(|(_, node)| node.instance.clone());
        names.collect()
    }
}

fn mix(one: u64, other: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&one.to_le_bytes());
    bytes[8..].copy_from_slice(&other.to_le_bytes());
    xxh3_64(&bytes)
}
