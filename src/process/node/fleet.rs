//! Membership and configuration: what all nodes come to agree on.

mod view;

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use rand::{
    SeedableRng,
    seq::IteratorRandom, //
};
use rand_chacha::ChaCha8Rng;

use super::{
    Action,
    Asker,
    Core,
    Origin, //
};
use crate::{
    adoption::{
        self,
        Adopter,
        Outcome,
        Roster,
        WATCHERS,
        Watch, //
    },
    clock::{
        Span,
        Time, //
    },
    code::Code,
    document::Document,
    freshness::{
        Freshness,
        Standing, //
    },
    id::{
        Domain,
        Instance,
        Version, //
    },
    member::{
        self,
        Agent,
        Kind,
        SeedClient,
        SeedRole,
        Status, //
    },
    message::Message,
    store, //
};

/// Time between two rounds of what need not run on every tick.
const PERIOD: Span = Span::from_ms(50);
/// Time between two choices of watchers and seeds.
const CHOOSE: Span = Span::from_ms(500);
/// Members of each domain that the store names.
const SEEDS: usize = 3;
/// How long a judgement on freshness is used again.
const JUDGE: Span = Span::from_ms(100);
/// How long a leaving node stays, at least, so that its word gets round.
const LINGER: Span = Span::from_ms(1500);
/// Purpose of the choice of watchers and seeds.
pub(crate) const WATCHER_AND_SEED_SALT: u64 = 0x5ee4;

/// What a call to the store was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Watch,
    Seed,
}

/// This node's part in membership and configuration.
#[derive(Debug)]
pub(super) struct Fleet {
    agent: Agent,
    adopter: Adopter,
    watch: Watch,
    roster: Roster,
    seeder: SeedClient,
    freshness: Freshness,
    asked: BTreeMap<u64, Purpose>,
    /// Watchers of the own domain, best first.
    watchers: Vec<Instance>,
    seed: bool,
    next: Time,
    next_choice: Time,
    judged: Option<(Time, Standing)>,
    leaving: Option<Time>,
    gone: bool,
    calls: u64,
    /// Its own chance, so that it does not change that of requests.
    rng: ChaCha8Rng,
}

impl Fleet {
    pub(super) fn new(me: Instance, seed: u64) -> Self {
        Self {
            agent: Agent::new(me),
            adopter: Adopter::default(),
            watch: Watch::default(),
            roster: Roster::default(),
            seeder: SeedClient::default(),
            freshness: Freshness::default(),
            asked: BTreeMap::new(),
            watchers: Vec::new(),
            seed: false,
            next: Time::ZERO,
            next_choice: Time::ZERO,
            judged: None,
            leaving: None,
            gone: false,
            calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Core {
    pub(super) fn fleet_pass(&mut self, now: Time) {
        if self.fleet.agent.observe_time(now, &mut self.members) {
            self.fleet.freshness.woke(now);
            self.fleet.judged = None;
        }
    }

    pub(super) fn fleet_ready(&mut self, now: Time, ready: bool) {
        self.identity.peer.ready = ready;
        self.fleet_announce(now);
    }

    fn fleet_announce(&mut self, now: Time) {
        let peer = &self.identity.peer;
        self.fleet.agent.announce(now, peer, &mut self.members);
    }

    pub(super) fn fleet_broken(&mut self, now: Time, peer: &Instance, out: &mut Vec<Action>) {
        let mut sends = Vec::new();
        self.fleet
            .agent
            .link_broken(now, peer, &mut self.members, &mut sends);
        self.post(now, sends, out);
    }

    /// Why no call can be taken now, if so.
    pub(super) fn fleet_refusal(&mut self, now: Time, origin: &Origin) -> Option<Code> {
        if self.snapshot.version == Version(0) {
            return Some(Code::ConfigAbsent);
        }
        let keyed = matches!(origin, Origin::Caller(_));
        // A configuration that was put in force by hand has no confirmations.
        if !keyed || self.fleet.adopter.document().is_none() {
            return None;
        }
        let kept = self.fleet.judged.filter(|(at, _)| now.since(*at) < JUDGE);
        let (at, standing) = kept.unwrap_or_else(|| (now, self.standing(now)));
        self.fleet.judged = Some((at, standing));
        (standing == Standing::Isolated).then_some(Code::ConfigStale)
    }

    pub(super) fn fleet_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.fleet.next || self.fleet.gone {
            return;
        }
        self.fleet.next = now + PERIOD;
        let mut sends = Vec::new();
        self.fleet
            .agent
            .tick(now, &mut self.members, &mut self.fleet.rng, &mut sends);
        self.post(now, sends, out);
        if now >= self.fleet.next_choice {
            self.fleet.next_choice = now + CHOOSE;
            self.choose();
        }
        self.fleet_ask(now, out);
        self.confirm(now, out);
        let other = self.other();
        if let Some(from) = self.fleet.adopter.tick(now, other) {
            self.pull(now, from, out);
        }
    }

    /// Chooses watchers and seeds among those who are there.
    fn choose(&mut self) {
        let me = &self.identity.peer;
        let there = |peer: &&member::Peer| peer.status == Status::Alive;
        let home = self.members.in_domain(&me.domain).filter(there);
        let best = member::rank_by_rendezvous(home, WATCHER_AND_SEED_SALT, SEEDS);
        self.fleet.seed = best.iter().any(|peer| peer.instance == me.instance);
        self.fleet.watchers = best
            .into_iter()
            .take(WATCHERS)
            .map(|peer| peer.instance.clone())
            .collect();
    }

    fn watchers(&self, domain: &Domain) -> Vec<Instance> {
        let there = |peer: &&member::Peer| peer.status == Status::Alive;
        let members = self.members.in_domain(domain).filter(there);
        let best = member::rank_by_rendezvous(members, WATCHER_AND_SEED_SALT, WATCHERS);
        best.into_iter().map(|peer| peer.instance.clone()).collect()
    }

    /// Any other member that answers, to pull from.
    fn other(&mut self) -> Option<Instance> {
        let me = &self.identity.peer.instance;
        let others = self.members.iter();
        let others = others.filter(|p| p.status == Status::Alive && p.instance != *me);
        others
            .choose(&mut self.fleet.rng)
            .map(|peer| peer.instance.clone())
    }

    fn fleet_ask(&mut self, now: Time, out: &mut Vec<Action>) {
        let fleet = &mut self.fleet;
        let me = self.identity.peer.instance.clone();
        let role = SeedRole {
            is_seed: fleet.seed && fleet.leaving.is_none(),
            is_reader: fleet.watchers.first() == Some(&me),
            is_alone: self.members.len() < 2,
        };
        if let Some(call) = fleet
            .seeder
            .tick(now, role, &self.identity.peer, &mut fleet.rng)
        {
            let number = self.ask(Asker::Fleet, call, out);
            self.fleet.calls += 1;
            self.fleet.asked.insert(number, Purpose::Seed);
        }
        // A node that has just begun knows nobody, so it would take itself for
        // a watcher: a whole fleet that restarts would fall on the store.
        let fleet = &mut self.fleet;
        let joined = fleet.agent.has_joined(now, &self.members);
        if joined
            && fleet.watchers.contains(&me)
            && let Some(call) = fleet.watch.tick(now, &mut fleet.rng)
        {
            let number = self.ask(Asker::Fleet, call, out);
            self.fleet.calls += 1;
            self.fleet.asked.insert(number, Purpose::Watch);
        }
    }

    pub(super) fn fleet_drain(&mut self, now: Time, _out: &mut Vec<Action>) {
        if self.fleet.leaving.is_none() {
            self.fleet.leaving = Some(now);
            self.identity.peer.status = Status::Leaving;
            self.fleet_announce(now);
        }
    }

    /// Whether this node may go. The last thing it says is that it is gone, so
    /// that nobody waits for it or suspects it.
    pub(super) fn fleet_left(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(since) = self.fleet.leaving else {
            return true;
        };
        if now.since(since) < LINGER || self.fleet.gone {
            return self.fleet.gone;
        }
        self.fleet.gone = true;
        let mut sends = Vec::new();
        self.fleet.agent.announce_departure(
            now,
            &mut self.members,
            &mut self.fleet.rng,
            &mut sends,
        );
        self.post(now, sends, out);
        true
    }

    pub(super) fn fleet_store(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        match self.fleet.asked.remove(&number) {
            Some(Purpose::Seed) => {
                let peers = self
                    .fleet
                    .seeder
                    .handle_answer(now, answer, &mut self.fleet.rng);
                let addresses = peers.into_iter().map(|peer| peer.datagram);
                self.fleet.agent.add_seeds(addresses);
            }
            Some(Purpose::Watch) => {
                let outcome = self.fleet.watch.answer(now, answer, &mut self.fleet.rng);
                self.watched(now, outcome, out);
            }
            None => {}
        }
    }

    fn watched(&mut self, now: Time, outcome: Outcome, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Nothing => {}
            Outcome::Confirmed(at) => self.fleet.freshness.confirm(at),
            Outcome::News(document, at) => {
                // An older document is no confirmation of a newer one.
                if document.version >= self.fleet.adopter.version() {
                    self.fleet.freshness.confirm(at);
                }
                self.offer_document(now, *document, out);
            }
            Outcome::Broken(reason) => self.fleet.adopter.refuse(reason, &mut self.counts),
        }
    }

    /// Puts a document in force if it is newer and can be read.
    pub fn offer_document(&mut self, now: Time, document: Document, out: &mut Vec<Action>) {
        let snapshot = self.fleet.adopter.offer(document, &mut self.counts);
        self.adopted(now, snapshot, out);
    }

    fn adopted(
        &mut self,
        now: Time,
        snapshot: Option<crate::document::Shared>,
        out: &mut Vec<Action>,
    ) {
        let Some(snapshot) = snapshot else {
            return;
        };
        self.adopt(snapshot);
        self.fleet.agent.schedule_gossip(self.members.len());
        self.fleet.roster.adopted(now);
        self.confirm(now, out);
    }

    fn confirm(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.fleet.adopter.version();
        if version == Version(0) || !self.fleet.roster.due(now, &self.fleet.watchers) {
            return;
        }
        let from = self.identity.peer.instance.clone();
        for watcher in self.fleet.watchers.clone() {
            let from = from.clone();
            let message = adoption::Message::Confirm { from, version };
            self.pass(now, watcher, message, out);
        }
    }

    fn pull(&mut self, now: Time, from: Instance, out: &mut Vec<Action>) {
        let message = adoption::Message::Pull {
            from: self.identity.peer.instance.clone(),
            have: self.fleet.adopter.have(),
        };
        self.pass(now, from, message, out);
    }

    pub(super) fn member(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: member::Message,
        out: &mut Vec<Action>,
    ) {
        let news = message.news.clone();
        let mut sends = Vec::new();
        let answered = self.fleet.agent.handle_message(
            now,
            from,
            message,
            &mut self.members,
            &mut self.fleet.rng,
            &mut sends,
        );
        self.post(now, sends, out);
        let Some(peer) = self.members.by_datagram_address(from) else {
            return;
        };
        let (instance, domain) = (peer.instance.clone(), peer.domain.clone());
        let version = self.fleet.adopter.version();
        self.fleet.freshness.hear(now, &domain, &news, version);
        if answered {
            self.fleet.freshness.proved();
            self.fleet.judged = None;
        }
        let pull = self.fleet.adopter.hear(now, &instance, news.version);
        if let Some(from) = pull {
            self.pull(now, from, out);
        }
    }

    pub(super) fn adoption(
        &mut self,
        now: Time,
        message: adoption::Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            adoption::Message::Pull { from, have } => {
                if let Some(answer) = self.fleet.adopter.answer(have) {
                    self.pass(now, from, answer, out);
                }
            }
            adoption::Message::Deltas(deltas) => {
                let snapshot = self.fleet.adopter.apply(deltas, &mut self.counts);
                self.adopted(now, snapshot, out);
            }
            adoption::Message::Snapshot(document) => self.offer_document(now, *document, out),
            adoption::Message::Confirm { from, version } => {
                self.fleet.roster.confirm(from, version);
            }
            adoption::Message::Survey { from } => {
                let version = self.fleet.adopter.version();
                let age = self.fleet.freshness.age(now);
                let domain = &self.identity.peer.domain;
                let report = self
                    .fleet
                    .roster
                    .report(domain, version, age, &self.members);
                self.pass(now, from, adoption::Message::Report(report), out);
            }
            adoption::Message::Report(report) => self.fleet.roster.reported(report),
        }
    }

    /// Sends to a member, or hands a message to this node itself.
    fn pass(&mut self, now: Time, to: Instance, message: adoption::Message, out: &mut Vec<Action>) {
        match to == self.identity.peer.instance {
            true => self.adoption(now, message, out),
            false => self.tell(&to, Message::Adoption(message), out),
        }
    }

    /// Adds the news to messages of the membership protocol.
    fn post(&mut self, now: Time, sends: Vec<member::Outgoing>, out: &mut Vec<Action>) {
        let version = self.fleet.adopter.version();
        for send in sends {
            let domains = matches!(send.kind, Kind::Ping { .. } | Kind::Ack { .. });
            let message = member::Message {
                kind: send.kind,
                news: self.fleet.freshness.news(now, version, domains),
                updates: send.updates,
            };
            out.push(Action::Datagram(send.to, Message::Member(message)));
        }
    }
}
