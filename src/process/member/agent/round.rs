//! Messages that an agent initiates: rounds of gossip and exchanges.

use std::net::SocketAddr;

use rand::{
    RngExt,
    seq::{
        IndexedRandom,
        IteratorRandom, //
    },
};
use rand_chacha::ChaCha8Rng;
use serde_bytes::ByteBuf;

use super::{
    super::{
        Kind,
        Peer,
        Status,
        Table,
        Update,
        exchange, //
    },
    Agent,
    Outgoing, //
};
use crate::clock::{
    Span,
    Time, //
};

/// Interval between rounds of gossip while there is something to send.
const GOSSIP_INTERVAL: Span = Span::from_ms(200);
/// Number of members that get a round of gossip; all but one are in this node's
/// domain.
pub(super) const GOSSIP_FANOUT: usize = 3;
/// Maximum encoded length of the changes in one datagram, in bytes. It keeps the
/// traffic that follows the loss of a whole domain of a large fleet within the
/// budget of 12 KB per second.
pub(super) const MAX_PIGGYBACK_LEN: usize = 256;
/// Interval between exchanges while tables are equal.
const EXCHANGE_INTERVAL: Span = Span::from_secs(10);
/// Interval between exchanges while tables differ, or while no other member is
/// known.
const FAST_EXCHANGE_INTERVAL: Span = Span::from_secs(1);
/// Interval between exchanges of a node that has just joined, while tables differ.
const JOIN_EXCHANGE_INTERVAL: Span = Span::from_ms(150);
/// How long a node counts as having just joined after its start.
pub(super) const JOIN_PERIOD: Span = Span::from_secs(5);
/// One exchange in this many goes to a dead member or a seed.
const REVIVAL_EVERY: u32 = 3;
/// Number of seeds that a node without other members contacts at once.
const SEED_FANOUT: usize = 3;

impl Agent {
    pub(super) fn gossip(
        &mut self,
        now: Time,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_round_at || self.is_idle() {
            return;
        }
        self.next_round_at = now + GOSSIP_INTERVAL;
        self.forced_rounds = self.forced_rounds.saturating_sub(1);
        for to in self.gossip_targets(table, rng, GOSSIP_FANOUT) {
            self.send(to, Kind::Gossip, table, out);
        }
    }

    /// Random members to gossip to: one in another domain, the rest in this node's
    /// domain, because traffic between domains is more expensive.
    pub(super) fn gossip_targets(
        &self,
        table: &Table,
        rng: &mut ChaCha8Rng,
        count: usize,
    ) -> Vec<SocketAddr> {
        let Some(me) = table.get(&self.me) else {
            return Vec::new();
        };
        let is_candidate = |peer: &&Peer| peer.status != Status::Dead && peer.instance != self.me;
        let address = |peer: &Peer| peer.datagram;
        let local = table
            .in_domain(&me.domain)
            .filter(is_candidate)
            .map(address);
        let mut targets = local.sample(rng, count - 1);
        let remote = table.iter().filter(is_candidate);
        let remote = remote.filter(|peer| peer.domain != me.domain).map(address);
        targets.extend(remote.sample(rng, count - targets.len()));
        targets
    }

    pub(super) fn start_exchange(
        &mut self,
        now: Time,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_exchange_at {
            return;
        }
        let is_alone = table.len() < 2;
        let interval = match is_alone {
            true => FAST_EXCHANGE_INTERVAL,
            false => EXCHANGE_INTERVAL,
        };
        let jitter = rng.random_range(0..interval.as_ms() / 4);
        self.next_exchange_at = now + interval + Span::from_ms(jitter);
        self.exchange_count = self.exchange_count.wrapping_add(1);
        let targets = match is_alone || self.exchange_count.is_multiple_of(REVIVAL_EVERY) {
            true => self.revival_targets(table, rng),
            false => self.gossip_targets(table, rng, 1 + self.exchange_count as usize % 2),
        };
        let own = table.update_for(now, &self.me);
        for to in targets
            .into_iter()
            .take(if is_alone { SEED_FANOUT } else { 1 })
        {
            let buckets = ByteBuf::from(exchange::digest(table));
            out.push(Outgoing {
                to,
                kind: Kind::Digest { buckets },
                updates: own.clone().into_iter().collect(),
            });
        }
    }

    /// Datagram addresses of dead members and of seeds that are not members, or of
    /// random members if there are none. The former may be on the other side of a
    /// partition, which heals only if some node contacts them.
    fn revival_targets(&self, table: &Table, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let dead = table
            .iter()
            .filter(|peer| peer.status == Status::Dead)
            .map(|peer| peer.datagram);
        let own = table.get(&self.me).map(|me| me.datagram);
        let unknown_seeds = self.seeds.iter().chain(&self.listed_seeds).copied();
        let unknown_seeds = unknown_seeds
            .filter(|seed| table.by_datagram_address(*seed).is_none() && Some(*seed) != own);
        let addresses: Vec<_> = dead.chain(unknown_seeds).collect();
        match addresses.is_empty() {
            true => self.gossip_targets(table, rng, GOSSIP_FANOUT),
            false => addresses.sample(rng, SEED_FANOUT).copied().collect(),
        }
    }

    /// Moves the next exchange forward, because tables differed.
    pub(super) fn hasten_exchange(&mut self, now: Time, table: &Table) {
        let is_joining = self
            .started_at
            .is_none_or(|started_at| now.since(started_at) < JOIN_PERIOD);
        let interval = match is_joining && table.len() > 1 {
            true => JOIN_EXCHANGE_INTERVAL,
            false => FAST_EXCHANGE_INTERVAL,
        };
        self.next_exchange_at = self.next_exchange_at.min(now + interval);
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        table: &Table,
        out: &mut Vec<Outgoing>,
    ) {
        let updates = self.queue.take(MAX_PIGGYBACK_LEN, table.len());
        out.push(Outgoing { to, kind, updates });
    }
}

pub(super) fn push_pages(to: SocketAddr, updates: Vec<Update>, out: &mut Vec<Outgoing>) {
    for updates in exchange::pages(updates) {
        out.push(Outgoing {
            to,
            kind: Kind::Page,
            updates,
        });
    }
}
