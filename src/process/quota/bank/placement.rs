//! Which nodes serve the tokens of a team.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    id::{
        Instance,
        Team, //
    },
    member::Peer,
};

/// Number of token servers of a team.
pub(super) const SERVERS_PER_TEAM: usize = 3;

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
    /// Whether these are the current nodes.
    pub(super) fn has_nodes(&self, nodes: &[&Peer]) -> bool {
        let known = self.nodes.iter().map(|node| &node.instance);
        self.nodes.len() == nodes.len() && known.eq(nodes.iter().map(|peer| &peer.instance))
    }

    /// Replaces the nodes.
    pub(super) fn set_nodes(&mut self, nodes: &[&Peer]) {
        let node = |peer: &&Peer| Node {
            hash: xxh3_64(peer.instance.as_str().as_bytes()),
            instance: peer.instance.clone(),
        };
        self.nodes = nodes.iter().map(node).collect();
    }

    /// The servers of a team, best first. Nodes with the same view choose the
    /// same servers.
    pub(super) fn servers(&self, team: &Team) -> Vec<Instance> {
        let team = xxh3_64(team.as_str().as_bytes());
        let mut ranked: Vec<(u64, &Node)> = Vec::with_capacity(SERVERS_PER_TEAM + 1);
        for node in &self.nodes {
            let weight = combine_hashes(node.hash, team);
            let rank = ranked.partition_point(|(other, _)| *other >= weight);
            if rank < SERVERS_PER_TEAM {
                ranked.insert(rank, (weight, node));
                ranked.truncate(SERVERS_PER_TEAM);
            }
        }
        let instances = ranked.into_iter().map(|(_, node)| node.instance.clone());
        instances.collect()
    }
}

fn combine_hashes(node: u64, team: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&node.to_le_bytes());
    bytes[8..].copy_from_slice(&team.to_le_bytes());
    xxh3_64(&bytes)
}
