//! What an agent sends without being asked: rounds of gossip and exchanges.

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

/// Time between two rounds of gossip while there is something to spread.
const ROUND: Span = Span::from_ms(200);
/// Members that a round of gossip goes to; all but one in the own domain.
pub(super) const FANOUT: usize = 3;
/// Bytes of changes in one datagram. It keeps the loss of a whole domain of a
/// large fleet within the budget of 12 KB a second.
pub(super) const BUDGET: usize = 256;
/// Time between two exchanges while tables are equal.
const EXCHANGE: Span = Span::from_secs(10);
/// Time between two exchanges while they differ.
const HASTE: Span = Span::from_secs(1);
/// Time between two exchanges of a node that has just joined.
const JOIN: Span = Span::from_ms(150);
/// How long a node counts as having just joined.
pub(super) const YOUNG: Span = Span::from_secs(5);
/// One exchange in so many goes to a dead member or a seed.
const REVIVE: u32 = 3;
/// Seeds that a lone node asks at once.
const ASK: usize = 3;

impl Agent {
    pub(super) fn spread(
        &mut self,
        now: Time,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_round || self.is_quiet() {
            return;
        }
        self.next_round = now + ROUND;
        self.rounds = self.rounds.saturating_sub(1);
        for to in self.targets(table, rng, FANOUT) {
            self.send(to, Kind::Gossip, table, out);
        }
    }

    /// Random members to gossip to: one beyond the own domain, the rest within
    /// it, as traffic between domains is dearer.
    pub(super) fn targets(
        &self,
        table: &Table,
        rng: &mut ChaCha8Rng,
        count: usize,
    ) -> Vec<SocketAddr> {
        let Some(me) = table.get(&self.me) else {
            return Vec::new();
        };
        let there = |peer: &&Peer| peer.status != Status::Dead && peer.instance != self.me;
        let address = |peer: &Peer| peer.datagram;
        let home = table.in_domain(&me.domain).filter(there).map(address);
        let mut targets = home.sample(rng, count - 1);
        let abroad = table.iter().filter(there);
        let abroad = abroad.filter(|peer| peer.domain != me.domain).map(address);
        targets.extend(abroad.sample(rng, count - targets.len()));
        targets
    }

    pub(super) fn exchange(
        &mut self,
        now: Time,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_exchange {
            return;
        }
        let alone = table.len() < 2;
        let pause = match alone {
            true => HASTE,
            false => EXCHANGE,
        };
        let jitter = rng.random_range(0..pause.as_ms() / 4);
        self.next_exchange = now + pause + Span::from_ms(jitter);
        self.exchanges = self.exchanges.wrapping_add(1);
        let targets = match alone || self.exchanges.is_multiple_of(REVIVE) {
            true => self.lost(table, rng),
            false => self.targets(table, rng, 1 + self.exchanges as usize % 2),
        };
        let own = table.update_for(now, &self.me);
        for to in targets.into_iter().take(if alone { ASK } else { 1 }) {
            let buckets = ByteBuf::from(exchange::digest(table));
            out.push(Outgoing {
                to,
                kind: Kind::Digest { buckets },
                updates: own.clone().into_iter().collect(),
            });
        }
    }

    /// Members that were lost without a word, and seeds that are no member.
    /// They may be the other half of a partition, which ends only if somebody
    /// tries.
    fn lost(&self, table: &Table, rng: &mut ChaCha8Rng) -> Vec<SocketAddr> {
        let dead = table
            .iter()
            .filter(|peer| peer.status == Status::Dead)
            .map(|peer| peer.datagram);
        let own = table.get(&self.me).map(|me| me.datagram);
        let strangers = self.seeds.iter().copied();
        let strangers = strangers
            .filter(|seed| table.by_datagram_address(*seed).is_none() && Some(*seed) != own);
        let lost: Vec<_> = dead.chain(strangers).collect();
        match lost.is_empty() {
            true => self.targets(table, rng, FANOUT),
            false => lost.sample(rng, ASK).copied().collect(),
        }
    }

    /// Exchanges again soon, as the tables differed.
    pub(super) fn hurry(&mut self, now: Time, table: &Table) {
        let young = self.began.is_none_or(|began| now.since(began) < YOUNG);
        let pause = match young && table.len() > 1 {
            true => JOIN,
            false => HASTE,
        };
        self.next_exchange = self.next_exchange.min(now + pause);
    }

    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        kind: Kind,
        table: &Table,
        out: &mut Vec<Outgoing>,
    ) {
        let updates = self.queue.take(BUDGET, table.len());
        out.push(Outgoing { to, kind, updates });
    }
}

pub(super) fn paged(to: SocketAddr, updates: Vec<Update>, out: &mut Vec<Outgoing>) {
    for updates in exchange::pages(updates) {
        out.push(Outgoing {
            to,
            kind: Kind::Page,
            updates,
        });
    }
}
