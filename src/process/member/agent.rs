//! One node's part in the membership protocol.

mod round;

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

use self::round::{
    BUDGET,
    FANOUT,
    YOUNG,
    paged, //
};
use super::{
    Kind,
    Merge,
    Peer,
    Status,
    Table,
    Update,
    exchange,
    gossip::{
        self,
        Queue, //
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

/// Time between two probes of dead members.
const KNOCK: Span = Span::from_secs(1);
/// Probes a second that one dead member gets from all others together.
const KNOCKS: usize = 4;
/// Time to refute a suspicion, per decimal digit of the fleet's size.
const REFUTE: Span = Span::from_secs(3);
/// A gap between two events that means that this node was paused.
pub const PAUSE: Span = Span::from_secs(2);

/// A message to be sent, before the news is added.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Where to.
    pub to: SocketAddr,
    /// What for.
    pub kind: Kind,
    /// Changes that ride along.
    pub updates: Vec<Update>,
}

/// The protocol's state beside the table.
#[derive(Clone, Debug)]
pub struct Agent {
    me: Instance,
    began: Option<Time>,
    last: Time,
    queue: Queue,
    prober: Prober,
    seeds: Vec<SocketAddr>,
    /// Rounds of gossip that go out even without changes.
    rounds: u32,
    next_round: Time,
    next_exchange: Time,
    exchanges: u32,
    next_knock: Time,
    /// Paused until now: ask some members at once.
    woken: bool,
}

impl Agent {
    /// The agent of this instance.
    pub fn new(me: Instance) -> Self {
        Self {
            me,
            began: None,
            last: Time::ZERO,
            queue: Queue::default(),
            prober: Prober::default(),
            seeds: Vec::new(),
            rounds: 0,
            next_round: Time::ZERO,
            next_exchange: Time::ZERO,
            exchanges: 0,
            next_knock: Time::ZERO,
            woken: false,
        }
    }

    /// Adds addresses of nodes that may be there: from the settings, or from
    /// the store. They are kept for the life of the node, so that a store
    /// outage stops no join as long as one of them answers.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Spreads this node's own state after a change of it.
    pub fn announce(&mut self, now: Time, peer: &Peer, table: &mut Table) {
        let update = table.announce(now, peer, 0);
        self.queue.push(update);
    }

    /// Sends gossip for some rounds even without changes of members, because
    /// there is other news.
    pub fn schedule_gossip(&mut self, members: usize) {
        self.rounds = gossip::transmissions(members).div_ceil(FANOUT as u32) + 1;
    }

    /// Whether everything has been spread as often as is needed.
    pub fn is_quiet(&self) -> bool {
        self.queue.is_empty() && self.rounds == 0
    }

    /// Whether this node found any other, or has tried for long enough.
    pub fn has_joined(&self, now: Time, table: &Table) -> bool {
        table.len() > 1 || self.began.is_some_and(|began| now.since(began) >= YOUNG)
    }

    /// Notes that time has passed, before any event is handled. True when the
    /// node was paused: what it knew of others is then old, and answers that
    /// it waited for may have been lost here.
    pub fn observe_time(&mut self, now: Time, table: &mut Table) -> bool {
        let paused = self.began.is_some() && now.since(self.last) >= PAUSE;
        self.began.get_or_insert(now);
        self.last = now;
        if paused {
            self.prober.reset();
            table.restart_suspicions(now);
            self.next_exchange = now;
            self.woken = true;
        }
        paused
    }

    /// Probes, spreads, exchanges and judges, whatever is due.
    pub fn tick(
        &mut self,
        now: Time,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        self.judge(now, table, rng, out);
        self.probe(now, table, rng, out);
        self.knock(now, table, rng, out);
        self.spread(now, table, rng, out);
        self.exchange(now, table, rng, out);
    }

    /// Takes one message in and answers it. True when it answers a question of
    /// this node that still waited.
    pub fn handle_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: super::Message,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) -> bool {
        let spread = message.kind != Kind::Page;
        for update in &message.updates {
            self.learn(now, update, spread, table);
        }
        match message.kind {
            Kind::Gossip | Kind::Page => {}
            Kind::Ping { number, tag } => self.ping(now, from, number, tag, table, out),
            Kind::Via {
                number,
                tag,
                target,
            } => {
                let number = self.prober.relay(now, from, number);
                self.send(target, Kind::Ping { number, tag }, table, out);
            }
            Kind::Ack { number, tag } => return self.ack(number, tag, table, out),
            Kind::Digest { buckets } => {
                let first = rng.random_range(0..64);
                let (mask, entries) = exchange::differ(table, &buckets, first);
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
                self.hurry(now, table);
                let (updates, hashes) = exchange::compare(now, table, mask, &entries);
                if !hashes.is_empty() {
                    let hashes = ByteBuf::from(hashes);
                    out.push(Outgoing {
                        to: from,
                        kind: Kind::Want { hashes },
                        updates: Vec::new(),
                    });
                }
                paged(from, updates, out);
            }
            Kind::Want { hashes } => paged(from, exchange::wanted(now, table, &hashes), out),
        }
        false
    }

    /// A link to a member broke: it gets no new work until it answers a probe.
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
        table.doubt(peer, true);
        self.ask(now, peer, table, out);
    }

    /// Tells a few members directly that this node is gone, as its last act.
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
        let gone = Update {
            status: Status::Dead,
            card: None,
            ..update
        };
        for to in self.targets(table, rng, FANOUT * 2) {
            out.push(Outgoing {
                to,
                kind: Kind::Gossip,
                updates: vec![gone.clone()],
            });
        }
    }

    fn learn(&mut self, now: Time, update: &Update, spread: bool, table: &mut Table) {
        if update.instance == self.me {
            self.refute(now, update, table);
            return;
        }
        if table.merge(now, update) == Merge::New && spread {
            self.queue.push(update.clone());
        }
    }

    /// Others believe something of this node that is not so, or remember a
    /// later announcement than its own: it announces itself above that. A
    /// record of a higher life is another node under the same name, or a
    /// restart that overtook this process; it is left to its owner.
    fn refute(&mut self, now: Time, update: &Update, table: &mut Table) {
        let Some(me) = table.get(&self.me).cloned() else {
            return;
        };
        let ours = table
            .update_for(now, &self.me)
            .map_or(0, |own| own.revision);
        let same = update.incarnation == me.incarnation;
        let wrong = update.status != me.status && update.revision >= ours;
        if same && (wrong || update.revision > ours) {
            let update = table.announce(now, &me, update.revision);
            self.queue.push(update);
        }
    }

    fn ping(
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
        let own = table::incarnation_tag(&me.instance, me.incarnation);
        let kind = Kind::Ack { number, tag: own };
        let asker = table.by_datagram_address(from);
        if own == tag && asker.is_some_and(|peer| peer.status == Status::Alive) {
            self.send(from, kind, table, out);
            return;
        }
        // The other end means a former life, or another member that had this
        // address, or is not known here: it gets the truth about this node. Or
        // it is taken for dead here, and must hear of it to be able to refute.
        let asker = asker.map(|peer| peer.instance.clone());
        let names = [Some(self.me.clone()), asker];
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

    fn ack(&mut self, number: u32, tag: u32, table: &mut Table, out: &mut Vec<Outgoing>) -> bool {
        if let Some(relay) = self.prober.relayed(number) {
            let number = relay.number;
            self.send(relay.origin, Kind::Ack { number, tag }, table, out);
            return false;
        }
        let answered = self.prober.answered(number, tag);
        if let Some(pending) = &answered {
            table.doubt(&pending.target, false);
        }
        answered.is_some()
    }

    fn judge(
        &mut self,
        now: Time,
        table: &mut Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let due = self.prober.due(now);
        for (number, pending) in due.help {
            self.help(number, &pending, table, rng, out);
        }
        for pending in due.silent {
            self.suspect(now, &pending, table);
        }
        if table.len() < 2 {
            return;
        }
        let digits = table.len().ilog10() + 1;
        let refute = Span::from_ms(REFUTE.as_ms() * u64::from(digits));
        let (dead, gone) = table.expired(now, refute);
        for update in dead {
            self.learn(now, &update, true, table);
        }
        for instance in gone {
            table.forget(now, &instance);
        }
    }

    /// Repeats a probe, and asks some members to probe on this node's behalf:
    /// it may have been one lost datagram, or the way between the two.
    fn help(
        &mut self,
        number: u32,
        pending: &probe::Pending,
        table: &Table,
        rng: &mut ChaCha8Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let there = table.get(&pending.target);
        let there = there.filter(|peer| peer.status != Status::Dead);
        let Some(target) = there.map(|peer| peer.datagram) else {
            return;
        };
        let helpers = table
            .iter()
            .filter(|peer| peer.status == Status::Alive)
            .filter(|peer| peer.instance != self.me && peer.instance != pending.target)
            .map(|peer| peer.datagram)
            .sample(rng, probe::HELPERS);
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

    fn suspect(&mut self, now: Time, pending: &probe::Pending, table: &mut Table) {
        let Some(update) = table.update_for(now, &pending.target) else {
            return;
        };
        let same = table::incarnation_tag(&update.instance, update.incarnation) == pending.tag;
        let status = match update.status {
            Status::Alive => Status::Suspect,
            // It has said that it would go, and now it is silent.
            Status::Leaving => Status::Dead,
            Status::Suspect | Status::Dead => return,
        };
        if same {
            let verdict = Update {
                status,
                card: None,
                ..update
            };
            self.learn(now, &verdict, true, table);
        }
    }

    fn probe(&mut self, now: Time, table: &Table, rng: &mut ChaCha8Rng, out: &mut Vec<Outgoing>) {
        let Some(me) = table.get(&self.me) else {
            return;
        };
        if let Some(target) = self.prober.turn(now, me, table, rng) {
            self.ask(now, &target, table, out);
        }
        if std::mem::take(&mut self.woken) {
            for address in self.targets(table, rng, FANOUT) {
                let target = table
                    .by_datagram_address(address)
                    .map(|peer| peer.instance.clone());
                target
                    .into_iter()
                    .for_each(|target| self.ask(now, &target, table, out));
            }
        }
    }

    /// Probes a dead member now and then, so that the end of a partition or of
    /// a pause is seen within seconds, by one of all who took it for dead.
    fn knock(&mut self, now: Time, table: &Table, rng: &mut ChaCha8Rng, out: &mut Vec<Outgoing>) {
        if now < self.next_knock {
            return;
        }
        self.next_knock = now + KNOCK;
        let dead = table.iter().filter(|peer| peer.status == Status::Dead);
        let dead: Vec<_> = dead.map(|peer| &peer.instance).collect();
        let share = (KNOCKS * dead.len()) as f64 / table.len().max(1) as f64;
        if let Some(target) = dead.choose(rng)
            && rng.random_bool(share.min(1.0))
        {
            self.ask(now, target, table, out);
        }
    }

    fn ask(&mut self, now: Time, target: &Instance, table: &Table, out: &mut Vec<Outgoing>) {
        let Some(peer) = table.get(target) else {
            return;
        };
        let (number, tag) = self.prober.start(now, peer);
        let mut updates = self.queue.take(BUDGET, table.len());
        // It must hear what is believed of it, to be able to refute.
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
