//! Schedules probes and tracks the ones that wait for an answer.
//!
//! Members of this node's failure domain are probed in a random order, each once
//! per cycle. One probe in [`CROSS_DOMAIN_EVERY`] goes to another domain. These
//! probes detect the failure of a whole domain, in which no member is left to
//! report it.

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

/// Interval between probes.
pub(super) const PROBE_INTERVAL: Span = Span::from_ms(500);
/// Time to wait for a direct answer before the probe is repeated and other
/// members are asked to probe.
const DIRECT_TIMEOUT: Span = Span::from_ms(300);
/// Time to wait for any answer, direct or indirect.
const PROBE_TIMEOUT: Span = Span::from_ms(800);
/// Number of members that are asked to probe on this node's behalf.
pub(super) const INDIRECT_PROBES: usize = 3;
/// One probe in this many goes to another domain.
const CROSS_DOMAIN_EVERY: u32 = 3;

/// A probe that waits for an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) target: Instance,
    pub(super) tag: u32,
    pub(super) sent_at: Time,
    relays_requested: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedProbe {
    pub(super) origin: SocketAddr,
    pub(super) number: u32,
    expires_at: Time,
}

/// The pending probes that have reached a timeout.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeTimeouts {
    /// Probes without a direct answer, by number: other members are to be asked.
    pub(super) direct: Vec<(u32, PendingProbe)>,
    /// Probes without any answer.
    pub(super) expired: Vec<PendingProbe>,
}

/// The probe schedule and the pending probes of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Prober {
    local: Vec<Instance>,
    remote: Vec<Instance>,
    probes: u32,
    next_at: Time,
    last_number: u32,
    pending: BTreeMap<u32, PendingProbe>,
    relays: BTreeMap<u32, RelayedProbe>,
}

impl Prober {
    /// The member to probe now, if a probe is due.
    pub(super) fn next_target(
        &mut self,
        now: Time,
        me: &Peer,
        table: &Table,
        rng: &mut ChaCha8Rng,
    ) -> Option<Instance> {
        if now < self.next_at {
            return None;
        }
        // Jitter keeps nodes that started together from probing in lockstep.
        let jitter = rng.random_range(0..PROBE_INTERVAL.as_ms() / 10);
        self.next_at = now + PROBE_INTERVAL + Span::from_ms(jitter);
        self.probes = self.probes.wrapping_add(1);
        let remote_first = self.probes.is_multiple_of(CROSS_DOMAIN_EVERY);
        self.draw_target(remote_first, me, table, rng)
            .or_else(|| self.draw_target(!remote_first, me, table, rng))
    }

    fn draw_target(
        &mut self,
        remote: bool,
        me: &Peer,
        table: &Table,
        rng: &mut ChaCha8Rng,
    ) -> Option<Instance> {
        let order = match remote {
            true => &mut self.remote,
            false => &mut self.local,
        };
        if order.is_empty() {
            *order = match remote {
                true => probeable_names(table.iter().filter(|p| p.domain != me.domain)),
                false => probeable_names(
                    table
                        .in_domain(&me.domain)
                        .filter(|p| p.instance != me.instance),
                ),
            };
            order.shuffle(rng);
        }
        while let Some(name) = order.pop() {
            if table.get(&name).is_some_and(is_probeable) {
                return Some(name);
            }
        }
        None
    }

    /// Registers a probe of a member, and returns its number and the tag of the
    /// expected incarnation.
    pub(super) fn start_probe(&mut self, now: Time, peer: &Peer) -> (u32, u32) {
        self.last_number = self.last_number.wrapping_add(1);
        let tag = super::table::incarnation_tag(&peer.instance, peer.incarnation);
        let pending = PendingProbe {
            target: peer.instance.clone(),
            tag,
            sent_at: now,
            relays_requested: false,
        };
        self.pending.insert(self.last_number, pending);
        (self.last_number, tag)
    }

    /// Registers a probe on behalf of another member, and returns its number.
    pub(super) fn start_relayed_probe(
        &mut self,
        now: Time,
        origin: SocketAddr,
        number: u32,
    ) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        let expires_at = now + PROBE_TIMEOUT;
        let relay = RelayedProbe {
            origin,
            number,
            expires_at,
        };
        self.relays.insert(self.last_number, relay);
        self.last_number
    }

    /// Removes and returns the pending probe that this answers.
    pub(super) fn take_answered(&mut self, number: u32, tag: u32) -> Option<PendingProbe> {
        let matches = self.pending.get(&number).is_some_and(|p| p.tag == tag);
        matches.then(|| self.pending.remove(&number)).flatten()
    }

    /// Removes and returns the relayed probe that this answers.
    pub(super) fn take_relayed(&mut self, number: u32) -> Option<RelayedProbe> {
        self.relays.remove(&number)
    }

    /// The probes that have reached a timeout.
    pub(super) fn take_timeouts(&mut self, now: Time) -> ProbeTimeouts {
        let mut timeouts = ProbeTimeouts::default();
        self.relays.retain(|_, relay| relay.expires_at > now);
        for (number, pending) in &mut self.pending {
            if !pending.relays_requested && now.since(pending.sent_at) >= DIRECT_TIMEOUT {
                pending.relays_requested = true;
                timeouts.direct.push((*number, pending.clone()));
            }
        }
        let expired = self
            .pending
            .extract_if(.., |_, pending| now.since(pending.sent_at) >= PROBE_TIMEOUT);
        timeouts.expired = expired.map(|(_, pending)| pending).collect();
        timeouts
    }

    /// Drops all pending probes: this process was paused, so their answers may have
    /// been lost on this side.
    pub(super) fn reset(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }
}

fn probeable_names<'a>(peers: impl Iterator<Item = &'a Peer>) -> Vec<Instance> {
    peers
        .filter(|peer| is_probeable(peer))
        .map(|peer| peer.instance.clone())
        .collect()
}

fn is_probeable(peer: &Peer) -> bool {
    peer.status != Status::Dead
}
