//! One node's side of the membership protocol.

mod round;

use std::{
    collections::VecDeque,
    net::SocketAddr, //
};

use rand::{
    RngExt,
    seq::{
        IndexedRandom,
        IteratorRandom, //
    },
};
use rand_chacha::ChaCha8Rng;
use serde_bytes::ByteBuf;

use self::round::{
    GOSSIP_FANOUT,
    JOIN_PERIOD,
    MAX_PIGGYBACK_LEN,
    push_pages, //
};
use super::{
    Kind,
    MergeOutcome,
    Peer,
    Status,
    Table,
    Update,
    exchange,
    gossip::{
        self,
        GossipQueue, //
    },
    probe::{
        self,
        Prober, //
    },
    table, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Instance,
};

/// Interval between probes of dead members.
const DEAD_PROBE_INTERVAL: Span = Span::from_secs(1);
/// Probes per second that one dead member gets from all other members together.
const DEAD_PROBES_PER_SECOND: usize = 4;
/// Time to refute a suspicion, per decimal digit of the fleet size.
const REFUTE_TIMEOUT_PER_DIGIT: Span = Span::from_secs(3);
/// Maximum number of seeds from the store that are kept.
const MAX_LISTED_SEEDS: usize = 128;
/// A gap of this length between two events means that this process was paused.
pub const PAUSE_THRESHOLD: Span = Span::from_secs(2);

/// A message to be sent, without the news that the caller adds.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The destination.
    pub to: SocketAddr,
    /// The kind of the message.
    pub kind: Kind,
    /// Piggybacked membership changes.
    pub updates: Vec<Update>,
}

/// The state of the protocol apart from the table.
#[derive(Clone, Debug)]
pub struct Agent {
    me: Instance,
    started_at: Option<Time>,
    last_event_at: Time,
    queue: GossipQueue,
    prober: Prober,
    seeds: Vec<SocketAddr>,
    /// Addresses from the list in the store, oldest first.
    listed_seeds: VecDeque<SocketAddr>,
    /// Records that were ignored because they are invalid.
    refused_records: usize,
    /// Remaining rounds of gossip that are sent even without changes.
    forced_rounds: u32,
    next_round_at: Time,
    next_exchange_at: Time,
    exchange_count: u32,
    next_dead_probe_at: Time,
    /// This process was paused until now: some members are to be probed at once.
    resumed: bool,
}

impl Agent {
    /// Creates the agent of an instance.
    pub fn new(me: Instance) -> Self {
        Self {
            me,
            started_at: None,
            last_event_at: Time::ZERO,
            queue: GossipQueue::default(),
            prober: Prober::default(),
            seeds: Vec::new(),
            listed_seeds: VecDeque::new(),
            refused_records: 0,
            forced_rounds: 0,
            next_round_at: Time::ZERO,
            next_exchange_at: Time::ZERO,
            exchange_count: 0,
            next_dead_probe_at: Time::ZERO,
            resumed: false,
        }
    }

    /// Adds datagram addresses of possible members from the settings. They are kept for
    /// the lifetime of the process, so that a node can join during a store outage as long
    /// as one of them answers.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Adds datagram addresses of possible members that the store lists. The last
    /// [`MAX_LISTED_SEEDS`] are kept, as others may write to the list, too.
    pub fn add_listed_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address.port() == 0 || self.seeds.contains(&address) {
                continue;
            }
            self.listed_seeds.retain(|known| *known != address);
            self.listed_seeds.push_back(address);
            if self.listed_seeds.len() > MAX_LISTED_SEEDS {
                self.listed_seeds.pop_front();
            }
        }
    }

    /// Returns how many records were ignored as invalid since the last call.
    pub fn take_refused_records(&mut self) -> usize {
        std::mem::take(&mut self.refused_records)
    }

    /// Updates this node's own record and queues it for gossip.
    pub fn announce(&mut self, now: Time, peer: &Peer, table: &mut Table) {
        let update = table.announce(now, peer, 0);
        self.queue.push(update);
    }

    /// Sends gossip for some rounds even without membership changes, because there is
    /// other news to distribute.
    pub fn schedule_gossip(&mut self, members: usize) {
        self.forced_rounds = gossip::transmissions(members).div_ceil(GOSSIP_FANOUT as u32) + 1;
    }

    /// Whether no gossip is left to send.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.forced_rounds == 0
    }

    /// Whether this node knows another member, or has tried to find one for
    /// [`JOIN_PERIOD`].
    pub fn has_joined(&self, now: Time, table: &Table) -> bool {
        table.len() > 1
            || self
                .started_at
                .is_some_and(|started_at| now.since(started_at) >= JOIN_PERIOD)
    }

    /// Records the time, before any event is handled. Returns true if this process
    /// was paused: its knowledge of other members is outdated then, and answers that
    /// it waited for may have been lost on this side.
    pub fn observe_time(&mut self, now: Time, table: &mut Table) -> bool {
        let paused = self.started_at.is_some() && now.since(self.last_event_at) >= PAUSE_THRESHOLD;
        self.started_at.get_or_insert(now);
        self.last_event_at = now;
        if paused {
            self.prober.reset();
            table.restart_suspicions(now);
            self.next_exchange_at = now;
            self.resumed = true;
        }
        paused
    }

    /// Handles timeouts and sends probes, gossip and exchanges that are due.
    pub fn tick(
        &mut self,
        now: Time,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        self.handle_timeouts(now, table, rng, out);
        self.run_probes(now, table, rng, out);
        self.probe_dead_member(now, table, rng, out);
        self.gossip(now, table, rng, out);
        self.start_exchange(now, table, rng, out);
    }

    /// Handles one message and answers it. Returns true if it answers a pending probe
    /// of this node.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        mut message: super::Message,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) -> bool {
        let refused = message.remove_invalid();
        self.refused_records = self.refused_records.saturating_add(refused);
        let relay = message.kind != Kind::Page;
        for update in &message.updates {
            self.apply_update(now, update, relay, table);
        }
        match message.kind {
            Kind::Gossip | Kind::Page => {}
            Kind::Ping { number, tag } => self.handle_ping(now, from, number, tag, table, out),
            Kind::Via {
                number,
                tag,
                target,
            } => {
                let number = self.prober.start_relayed_probe(now, from, number);
                self.send(target, Kind::Ping { number, tag }, table, out);
            }
            Kind::Ack { number, tag } => return self.handle_ack(number, tag, table, out),
            Kind::Digest { buckets } => {
                let first = rng.random_range(0..64);
                let (mask, entries) = exchange::differing_entries(table, &buckets, first);
                if mask != 0 {
                    let entries = ByteBuf::from(entries);
                    let kind = Kind::Differ { mask, entries };
                    let updates = table.update_for(now, &self.me).into_iter().collect();
                    out.push(Outgoing {
                        to: from,
                        kind,
                        updates,
                    });
                }
            }
            Kind::Differ { mask, entries } => {
                self.hasten_exchange(now, table);
                let (updates, hashes) = exchange::compare(now, table, mask, &entries);
                if !hashes.is_empty() {
                    let hashes = ByteBuf::from(hashes);
                    out.push(Outgoing {
                        to: from,
                        kind: Kind::Want { hashes },
                        updates: Vec::new(),
                    });
                }
                push_pages(from, updates, out);
            }
            Kind::Want { hashes } => {
                push_pages(from, exchange::requested_updates(now, table, &hashes), out)
            }
        }
        false
    }

    /// Handles a broken link to a member: it is probed, and gets no new work until it
    /// answers.
    pub fn link_broken(
        &mut self,
        now: Time,
        peer: &Instance,
        table: &mut Table,
        out: &mut Vec<Outgoing>,
    ) {
        if *peer == self.me {
            return;
        }
        table.set_link_broken(peer, true);
        self.send_probe(now, peer, table, out);
    }

    /// Tells a few members that this node is gone. This is the last message before
    /// the node exits.
    pub fn announce_departure(
        &mut self,
        now: Time,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(update) = table.update_for(now, &self.me) else {
            return;
        };
        let departure = Update {
            status: Status::Dead,
            card: None,
            ..update
        };
        for to in self.gossip_targets(table, rng, GOSSIP_FANOUT * 2) {
            out.push(Outgoing {
                to,
                kind: Kind::Gossip,
                updates: vec![departure.clone()],
            });
        }
    }

    fn apply_update(&mut self, now: Time, update: &Update, relay: bool, table: &mut Table) {
        if update.instance == self.me {
            self.refute(now, update, table);
            return;
        }
        if table.merge(now, update) == MergeOutcome::Applied && relay {
            self.queue.push(update.clone());
        }
    }

    /// Refutes a record of this node that has a wrong status, or a later revision
    /// than its own: it announces its state again with a higher revision. A record of
    /// a higher incarnation belongs to another node under the same name, or to a
    /// restart that overtook this process; it is left alone.
    fn refute(&mut self, now: Time, update: &Update, table: &mut Table) {
        let Some(me) = table.get(&self.me).cloned() else {
            return;
        };
        let ours = table
            .update_for(now, &self.me)
            .map_or(0, |own| own.revision);
        let same_incarnation = update.incarnation == me.incarnation;
        let is_wrong = update.status != me.status && update.revision >= ours;
        if same_incarnation && (is_wrong || update.revision > ours) {
            let update = table.announce(now, &me, update.revision);
            self.queue.push(update);
        }
    }

    fn handle_ping(
        &mut self,
        now: Time,
        from: SocketAddr,
        number: u32,
        tag: u32,
        table: &mut Table,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(me) = table.get(&self.me) else {
            return;
        };
        let own_tag = table::incarnation_tag(&me.instance, me.incarnation);
        let kind = Kind::Ack {
            number,
            tag: own_tag,
        };
        let sender = table.by_datagram_address(from);
        if own_tag == tag && sender.is_some_and(|peer| peer.status == Status::Alive) {
            self.send(from, kind, table, out);
            return;
        }
        // The sender expects a previous incarnation or another member that had this
        // address, or it is not known here: it gets this node's record. If it is
        // not alive in this table, it also gets its own record to be able to
        // refute.
        let sender = sender.map(|peer| peer.instance.clone());
        let names = [Some(self.me.clone()), sender];
        let updates = names.iter().flatten();
        let updates = updates
            .filter_map(|name| table.update_for(now, name))
            .collect();
        out.push(Outgoing {
            to: from,
            kind,
            updates,
        });
    }

    fn handle_ack(
        &mut self,
        number: u32,
        tag: u32,
        table: &mut Table,
        out: &mut Vec<Outgoing>,
    ) -> bool {
        if let Some(relay) = self.prober.take_relayed(number) {
            let number = relay.number;
            self.send(relay.origin, Kind::Ack { number, tag }, table, out);
            return false;
        }
        let answered = self.prober.take_answered(number, tag);
        if let Some(pending) = &answered {
            table.set_link_broken(&pending.target, false);
        }
        answered.is_some()
    }

    fn handle_timeouts(
        &mut self,
        now: Time,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let timeouts = self.prober.take_timeouts(now);
        for (number, pending) in timeouts.direct {
            self.probe_indirectly(number, &pending, table, rng, out);
        }
        for pending in timeouts.expired {
            self.suspect(now, &pending, table);
        }
        if table.len() < 2 {
            return;
        }
        let digits = table.len().ilog10() + 1;
        let refute_timeout = Span::from_ms(REFUTE_TIMEOUT_PER_DIGIT.as_ms() * u64::from(digits));
        let (failed, forgotten) = table.expired(now, refute_timeout);
        for update in failed {
            self.apply_update(now, &update, true, table);
        }
        for instance in forgotten {
            table.forget(now, &instance);
        }
    }

    /// Repeats a probe, and asks some members to probe on this node's behalf: a
    /// datagram may have been lost, or only the path between the two may be broken.
    fn probe_indirectly(
        &mut self,
        number: u32,
        pending: &probe::PendingProbe,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let peer = table.get(&pending.target);
        let target = peer.filter(|peer| peer.status != Status::Dead);
        let Some(target) = target.map(|peer| peer.datagram) else {
            return;
        };
        let helpers = table
            .iter()
            .filter(|peer| peer.status == Status::Alive)
            .filter(|peer| peer.instance != self.me && peer.instance != pending.target)
            .map(|peer| peer.datagram)
            .sample(rng, probe::INDIRECT_PROBES);
        let tag = pending.tag;
        self.send(target, Kind::Ping { number, tag }, table, out);
        for to in helpers {
            let kind = Kind::Via {
                number,
                tag: pending.tag,
                target,
            };
            out.push(Outgoing {
                to,
                kind,
                updates: Vec::new(),
            });
        }
    }

    fn suspect(&mut self, now: Time, pending: &probe::PendingProbe, table: &mut Table) {
        let Some(update) = table.update_for(now, &pending.target) else {
            return;
        };
        let same_incarnation =
            table::incarnation_tag(&update.instance, update.incarnation) == pending.tag;
        let status = match update.status {
            Status::Alive => Status::Suspect,
            // It had announced that it leaves.
            Status::Leaving => Status::Dead,
            Status::Suspect | Status::Dead => return,
        };
        if same_incarnation {
            let changed = Update {
                status,
                card: None,
                ..update
            };
            self.apply_update(now, &changed, true, table);
        }
    }

    fn run_probes(
        &mut self,
        now: Time,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(me) = table.get(&self.me) else {
            return;
        };
        if let Some(target) = self.prober.next_target(now, me, table, rng) {
            self.send_probe(now, &target, table, out);
        }
        if std::mem::take(&mut self.resumed) {
            for address in self.gossip_targets(table, rng, GOSSIP_FANOUT) {
                let target = table
                    .by_datagram_address(address)
                    .map(|peer| peer.instance.clone());
                target
                    .into_iter()
                    .for_each(|target| self.send_probe(now, &target, table, out));
            }
        }
    }

    /// Probes a dead member occasionally, so that the end of a partition or of a
    /// pause is detected within seconds by one of the members that consider it dead.
    fn probe_dead_member(
        &mut self,
        now: Time,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        if now < self.next_dead_probe_at {
            return;
        }
        self.next_dead_probe_at = now + DEAD_PROBE_INTERVAL;
        let dead = table.iter().filter(|peer| peer.status == Status::Dead);
        let dead: Vec<_> = dead.map(|peer| &peer.instance).collect();
        let probability = (DEAD_PROBES_PER_SECOND * dead.len()) as f64 / table.len().max(1) as f64;
        if let Some(target) = dead.choose(rng)
            && rng.random_bool(probability.min(1.0))
        {
            self.send_probe(now, target, table, out);
        }
    }

    fn send_probe(&mut self, now: Time, target: &Instance, table: &Table, out: &mut Vec<Outgoing>) {
        let Some(peer) = table.get(target) else {
            return;
        };
        let (number, tag) = self.prober.start_probe(now, peer);
        let mut updates = self.queue.take(MAX_PIGGYBACK_LEN, table.len());
        // The target must know its recorded status to be able to refute it.
        if matches!(peer.status, Status::Suspect | Status::Dead) {
            updates.extend(table.update_for(now, target).map(|update| Update {
                card: None,
                ..update
            }));
        }
        out.push(Outgoing {
            to: peer.datagram,
            kind: Kind::Ping { number, tag },
            updates,
        });
    }
}
