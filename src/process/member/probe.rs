//! Which member is probed when, and what silence means.
//!
//! Members of the own failure domain take turns in a random order, so that
//! each is probed in every turn. One probe in [`ABROAD`] crosses to another
//! domain: that finds a domain that is gone as a whole, when nobody within it
//! is left to tell.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use rand::{
    RngExt,
    seq::SliceRandom, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    Peer,
    Status,
    Table, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Instance,
};

/// Time between two probes.
pub(super) const PERIOD: Span = Span::from_ms(500);
/// Time that a direct answer gets before the probe is repeated and others are
/// asked to help.
const DIRECT: Span = Span::from_ms(300);
/// Time that any answer gets.
const WAIT: Span = Span::from_ms(800);
/// Members that are asked to probe on one's behalf.
pub(super) const HELPERS: usize = 3;
/// One probe in so many crosses to another domain.
const ABROAD: u32 = 3;

/// A probe that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) target: Instance,
    pub(super) tag: u32,
    pub(super) sent: Time,
    helped: bool,
}

/// A probe made for another member.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) origin: SocketAddr,
    pub(super) number: u32,
    until: Time,
}

/// What became of waiting probes.
#[derive(Clone, Debug, Default)]
pub(super) struct Due {
    /// Others are to be asked, under this number.
    pub(super) help: Vec<(u32, Pending)>,
    /// No answer came by any way.
    pub(super) silent: Vec<Pending>,
}

/// The probes of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Prober {
    home: Vec<Instance>,
    abroad: Vec<Instance>,
    turns: u32,
    next: Time,
    number: u32,
    pending: BTreeMap<u32, Pending>,
    relays: BTreeMap<u32, Relay>,
}

impl Prober {
    /// The member whose turn it is, once in a period.
    pub(super) fn turn(
        &mut self,
        now: Time,
        me: &Peer,
        table: &Table,
        rng: &mut ChaCha8Rng,
    ) -> Option<Instance> {
        if now < self.next {
            return None;
        }
        // A random part keeps nodes that began together from staying in step.
        let jitter = rng.random_range(0..PERIOD.as_ms() / 10);
        self.next = now + PERIOD + Span::from_ms(jitter);
        self.turns = self.turns.wrapping_add(1);
        let abroad_first = self.turns.is_multiple_of(ABROAD);
        self.draw(abroad_first, me, table, rng)
            .or_else(|| self.draw(!abroad_first, me, table, rng))
    }

    fn draw(
        &mut self,
        abroad: bool,
        me: &Peer,
        table: &Table,
        rng: &mut ChaCha8Rng,
    ) -> Option<Instance> {
        let order = match abroad {
            true => &mut self.abroad,
            false => &mut self.home,
        };
        if order.is_empty() {
            *order = match abroad {
                true => names(table.iter().filter(|p| p.domain != me.domain)),
                false => names(
                    table
                        .in_domain(&me.domain)
                        .filter(|p| p.instance != me.instance),
                ),
            };
            order.shuffle(rng);
        }
        while let Some(name) = order.pop() {
            if table.get(&name).is_some_and(probed) {
                return Some(name);
            }
        }
        None
    }

    /// Notes a probe of a member, and returns its number and mark.
    pub(super) fn start(&mut self, now: Time, peer: &Peer) -> (u32, u32) {
        self.number = self.number.wrapping_add(1);
        let tag = super::table::incarnation_tag(&peer.instance, peer.incarnation);
        let pending = Pending {
            target: peer.instance.clone(),
            tag,
            sent: now,
            helped: false,
        };
        self.pending.insert(self.number, pending);
        (self.number, tag)
    }

    /// Notes a probe that is made for another member, and returns its number.
    pub(super) fn relay(&mut self, now: Time, origin: SocketAddr, number: u32) -> u32 {
        self.number = self.number.wrapping_add(1);
        let until = now + WAIT;
        let relay = Relay {
            origin,
            number,
            until,
        };
        self.relays.insert(self.number, relay);
        self.number
    }

    /// The probe that this answers.
    pub(super) fn answered(&mut self, number: u32, tag: u32) -> Option<Pending> {
        let fits = self.pending.get(&number).is_some_and(|p| p.tag == tag);
        fits.then(|| self.pending.remove(&number)).flatten()
    }

    /// The relayed probe that this answers.
    pub(super) fn relayed(&mut self, number: u32) -> Option<Relay> {
        self.relays.remove(&number)
    }

    /// Probes that need help, and those that are over.
    pub(super) fn due(&mut self, now: Time) -> Due {
        let mut due = Due::default();
        self.relays.retain(|_, relay| relay.until > now);
        for (number, pending) in &mut self.pending {
            if !pending.helped && now.since(pending.sent) >= DIRECT {
                pending.helped = true;
                due.help.push((*number, pending.clone()));
            }
        }
        let over = self
            .pending
            .extract_if(.., |_, pending| now.since(pending.sent) >= WAIT);
        due.silent = over.map(|(_, pending)| pending).collect();
        due
    }

    /// Drops what was under way: this node was paused, so the answers may have
    /// been lost here.
    pub(super) fn reset(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }
}

fn names<'a>(peers: impl Iterator<Item = &'a Peer>) -> Vec<Instance> {
    peers
        .filter(|peer| probed(peer))
        .map(|peer| peer.instance.clone())
        .collect()
}

fn probed(peer: &Peer) -> bool {
    peer.status != Status::Dead
}
