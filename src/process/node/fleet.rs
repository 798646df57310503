//! Membership and configuration by gossip, on which all nodes converge.

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
    Core,
    Origin,
    StoreCaller, //
};
use crate::{
    adoption::{
        self,
        Adopter,
        Outcome,
        Roster,
        WATCHERS_PER_DOMAIN,
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
    metric::Counter,
    store, //
};

/// Interval between runs of the gossip tick, which need not run on every node
/// tick.
const TICK_INTERVAL: Span = Span::from_ms(50);
/// Interval at which watchers and seeds are selected again.
const SELECTION_INTERVAL: Span = Span::from_ms(500);
/// Number of members of each domain whose addresses are kept in the store as
/// seeds.
const SEEDS_PER_DOMAIN: usize = 3;
/// How long a computed freshness standing is reused.
const STANDING_CACHE_TTL: Span = Span::from_ms(100);
/// Minimum time that a leaving node keeps running, so that its announcement
/// spreads.
const MIN_LEAVING_TIME: Span = Span::from_ms(1500);
/// Rendezvous-hash seed for the selection of watchers and seeds.
pub(crate) const WATCHER_AND_SEED_SALT: u64 = 0x5ee4;

/// The component that a store call was made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Watch,
    Seed,
}

/// State of the membership protocol and of configuration distribution.
#[derive(Debug)]
pub(super) struct Gossip {
    agent: Agent,
    adopter: Adopter,
    watch: Watch,
    roster: Roster,
    seeder: SeedClient,
    freshness: Freshness,
    pending_calls: BTreeMap<u64, Purpose>,
    /// Watchers of this node's domain, highest rank first.
    watchers: Vec<Instance>,
    is_seed: bool,
    next_tick: Time,
    next_selection: Time,
    cached_standing: Option<(Time, Standing)>,
    leaving_since: Option<Time>,
    has_left: bool,
    store_calls: u64,
    /// A separate random number generator, so that gossip does not affect the
    /// random choices made for requests.
    rng: ChaCha8Rng,
}

impl Gossip {
    pub(super) fn new(me: Instance, seed: u64) -> Self {
        Self {
            agent: Agent::new(me),
            adopter: Adopter::default(),
            watch: Watch::default(),
            roster: Roster::default(),
            seeder: SeedClient::default(),
            freshness: Freshness::default(),
            pending_calls: BTreeMap::new(),
            watchers: Vec::new(),
            is_seed: false,
            next_tick: Time::ZERO,
            next_selection: Time::ZERO,
            cached_standing: None,
            leaving_since: None,
            has_left: false,
            store_calls: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Core {
    pub(super) fn gossip_advance_clock(&mut self, now: Time) {
        if self.gossip.agent.observe_time(now, &mut self.members) {
            self.gossip.freshness.resumed_after_pause(now);
            self.gossip.cached_standing = None;
        }
    }

    pub(super) fn gossip_set_ready(&mut self, now: Time, ready: bool) {
        self.identity.peer.ready = ready;
        self.gossip_announce(now);
    }

    fn gossip_announce(&mut self, now: Time) {
        let peer = &self.identity.peer;
        self.gossip.agent.announce(now, peer, &mut self.members);
    }

    pub(super) fn gossip_link_lost(&mut self, now: Time, peer: &Instance, out: &mut Vec<Action>) {
        let mut sends = Vec::new();
        self.gossip
            .agent
            .link_broken(now, peer, &mut self.members, &mut sends);
        self.send_gossip(now, sends, out);
    }

    /// Returns the code with which calls must be refused now, if any.
    pub(super) fn gossip_refusal(&mut self, now: Time, origin: &Origin) -> Option<Code> {
        if self.snapshot.version == Version(0) {
            return Some(Code::ConfigAbsent);
        }
        let has_key = matches!(origin, Origin::Caller(_));
        // A configuration set directly with `Core::adopt` is never confirmed by
        // the store, so its freshness is not checked.
        if !has_key || self.gossip.adopter.document().is_none() {
            return None;
        }
        let cached = self
            .gossip
            .cached_standing
            .filter(|(at, _)| now.since(*at) < STANDING_CACHE_TTL);
        let (at, standing) = cached.unwrap_or_else(|| (now, self.standing(now)));
        self.gossip.cached_standing = Some((at, standing));
        (standing == Standing::Isolated).then_some(Code::ConfigStale)
    }

    pub(super) fn gossip_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if now < self.gossip.next_tick || self.gossip.has_left {
            return;
        }
        self.gossip.next_tick = now + TICK_INTERVAL;
        let mut sends = Vec::new();
        self.gossip
            .agent
            .tick(now, &mut self.members, &mut self.gossip.rng, &mut sends);
        self.send_gossip(now, sends, out);
        if now >= self.gossip.next_selection {
            self.gossip.next_selection = now + SELECTION_INTERVAL;
            self.select_watchers_and_seeds();
        }
        self.gossip_call_store(now, out);
        self.send_confirmations(now, out);
        let other = self.random_live_peer();
        if let Some(from) = self.gossip.adopter.tick(now, other) {
            self.request_document(now, from, out);
        }
    }

    /// Selects watchers and seeds among the live members of this node's domain.
    fn select_watchers_and_seeds(&mut self) {
        let me = &self.identity.peer;
        let is_alive = |peer: &&member::Peer| peer.status == Status::Alive;
        let local = self.members.in_domain(&me.domain).filter(is_alive);
        let best = member::rank_by_rendezvous(local, WATCHER_AND_SEED_SALT, SEEDS_PER_DOMAIN);
        self.gossip.is_seed = best.iter().any(|peer| peer.instance == me.instance);
        self.gossip.watchers = best
            .into_iter()
            .take(WATCHERS_PER_DOMAIN)
            .map(|peer| peer.instance.clone())
            .collect();
    }

    fn domain_watchers(&self, domain: &Domain) -> Vec<Instance> {
        let is_alive = |peer: &&member::Peer| peer.status == Status::Alive;
        let members = self.members.in_domain(domain).filter(is_alive);
        let best = member::rank_by_rendezvous(members, WATCHER_AND_SEED_SALT, WATCHERS_PER_DOMAIN);
        best.into_iter().map(|peer| peer.instance.clone()).collect()
    }

    /// Picks a random other live member to request the configuration from.
    fn random_live_peer(&mut self) -> Option<Instance> {
        let me = &self.identity.peer.instance;
        let members = self.members.iter();
        let others = members.filter(|p| p.status == Status::Alive && p.instance != *me);
        others
            .choose(&mut self.gossip.rng)
            .map(|peer| peer.instance.clone())
    }

    fn gossip_call_store(&mut self, now: Time, out: &mut Vec<Action>) {
        let gossip = &mut self.gossip;
        let me = self.identity.peer.instance.clone();
        let role = SeedRole {
            is_seed: gossip.is_seed && gossip.leaving_since.is_none(),
            is_reader: gossip.watchers.first() == Some(&me),
            is_alone: self.members.len() < 2,
        };
        if let Some(call) = gossip
            .seeder
            .tick(now, role, &self.identity.peer, &mut gossip.rng)
        {
            let number = self.call_store(StoreCaller::Gossip, call, out);
            self.gossip.store_calls += 1;
            self.gossip.pending_calls.insert(number, Purpose::Seed);
        }
        // A node that has just started knows no other member and would select
        // itself as a watcher. When a whole fleet restarts, all of its nodes
        // would then query the store at once.
        let gossip = &mut self.gossip;
        let has_joined = gossip.agent.has_joined(now, &self.members);
        if has_joined
            && gossip.watchers.contains(&me)
            && let Some(call) = gossip.watch.tick(now, &mut gossip.rng)
        {
            let number = self.call_store(StoreCaller::Gossip, call, out);
            self.gossip.store_calls += 1;
            self.gossip.pending_calls.insert(number, Purpose::Watch);
        }
    }

    pub(super) fn gossip_drain(&mut self, now: Time, _out: &mut Vec<Action>) {
        if self.gossip.leaving_since.is_none() {
            self.gossip.leaving_since = Some(now);
            self.identity.peer.status = Status::Leaving;
            self.gossip_announce(now);
        }
    }

    /// Returns whether this node may stop. Before it does, it announces that it
    /// has left, so that no member waits for it or suspects it.
    pub(super) fn gossip_finish_leaving(&mut self, now: Time, out: &mut Vec<Action>) -> bool {
        let Some(since) = self.gossip.leaving_since else {
            return true;
        };
        if now.since(since) < MIN_LEAVING_TIME || self.gossip.has_left {
            return self.gossip.has_left;
        }
        self.gossip.has_left = true;
        let mut sends = Vec::new();
        self.gossip.agent.announce_departure(
            now,
            &mut self.members,
            &mut self.gossip.rng,
            &mut sends,
        );
        self.send_gossip(now, sends, out);
        true
    }

    pub(super) fn gossip_store_answer(
        &mut self,
        now: Time,
        number: u64,
        answer: store::Answer,
        out: &mut Vec<Action>,
    ) {
        match self.gossip.pending_calls.remove(&number) {
            Some(Purpose::Seed) => {
                let peers = self
                    .gossip
                    .seeder
                    .handle_answer(now, answer, &mut self.gossip.rng);
                let addresses = peers.into_iter().map(|peer| peer.datagram);
                self.gossip.agent.add_listed_seeds(addresses);
            }
            Some(Purpose::Watch) => {
                let outcome = self.gossip.watch.answer(now, answer, &mut self.gossip.rng);
                self.on_watch_outcome(now, outcome, out);
            }
            None => {}
        }
    }

    fn on_watch_outcome(&mut self, now: Time, outcome: Outcome, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Nothing => {}
            Outcome::Confirmed(at) => self.gossip.freshness.confirm(at),
            Outcome::NewDocument(document, at) => {
                // An older document does not confirm a newer one.
                if document.version >= self.gossip.adopter.version() {
                    self.gossip.freshness.confirm(at);
                }
                self.offer_document(now, *document, out);
            }
            Outcome::InvalidDocument(reason) => {
                self.gossip.adopter.reject_value(reason, &mut self.counts)
            }
        }
    }

    /// Makes a document take effect if it is newer and valid.
    pub fn offer_document(&mut self, now: Time, document: Document, out: &mut Vec<Action>) {
        let snapshot = self.gossip.adopter.offer(document, &mut self.counts);
        self.adopt_snapshot(now, snapshot, out);
    }

    fn adopt_snapshot(
        &mut self,
        now: Time,
        snapshot: Option<crate::document::Shared>,
        out: &mut Vec<Action>,
    ) {
        let Some(snapshot) = snapshot else {
            return;
        };
        self.adopt(snapshot);
        self.gossip.agent.schedule_gossip(self.members.len());
        self.gossip.roster.restart_schedule(now);
        self.send_confirmations(now, out);
    }

    fn send_confirmations(&mut self, now: Time, out: &mut Vec<Action>) {
        let version = self.gossip.adopter.version();
        if version == Version(0)
            || !self
                .gossip
                .roster
                .confirmation_due(now, &self.gossip.watchers)
        {
            return;
        }
        let from = self.identity.peer.instance.clone();
        for watcher in self.gossip.watchers.clone() {
            let from = from.clone();
            let message = adoption::Message::Confirm { from, version };
            self.send_adoption_message(now, watcher, message, out);
        }
    }

    fn request_document(&mut self, now: Time, from: Instance, out: &mut Vec<Action>) {
        let message = adoption::Message::Pull {
            from: self.identity.peer.instance.clone(),
            have: self.gossip.adopter.pull_base(),
        };
        self.send_adoption_message(now, from, message, out);
    }

    pub(super) fn on_member_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: member::Message,
        out: &mut Vec<Action>,
    ) {
        let news = message.news.clone();
        let mut sends = Vec::new();
        let answered = self.gossip.agent.handle_message(
            now,
            from,
            message,
            &mut self.members,
            &mut self.gossip.rng,
            &mut sends,
        );
        for _ in 0..self.gossip.agent.take_refused_records() {
            self.counts.add(Counter::MemberRecordRefused);
        }
        self.send_gossip(now, sends, out);
        let Some(peer) = self.members.by_datagram_address(from) else {
            return;
        };
        let (instance, domain) = (peer.instance.clone(), peer.domain.clone());
        let version = self.gossip.adopter.version();
        self.gossip
            .freshness
            .record_status(now, &domain, &news, version);
        if answered {
            self.gossip.freshness.answered_after_pause();
            self.gossip.cached_standing = None;
        }
        let newer_at = self
            .gossip
            .adopter
            .record_version(now, &instance, news.version);
        if let Some(from) = newer_at {
            self.request_document(now, from, out);
        }
    }

    pub(super) fn on_adoption_message(
        &mut self,
        now: Time,
        message: adoption::Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            adoption::Message::Pull { from, have } => {
                if let Some(answer) = self.gossip.adopter.answer_pull(have) {
                    self.send_adoption_message(now, from, answer, out);
                }
            }
            adoption::Message::Deltas(deltas) => {
                let snapshot = self.gossip.adopter.apply(deltas, &mut self.counts);
                self.adopt_snapshot(now, snapshot, out);
            }
            adoption::Message::Snapshot(document) => self.offer_document(now, *document, out),
            adoption::Message::Confirm { from, version } => {
                self.gossip.roster.confirm(from, version);
            }
            adoption::Message::Survey { from } => {
                let version = self.gossip.adopter.version();
                let age = self.gossip.freshness.age(now);
                let domain = &self.identity.peer.domain;
                let report = self
                    .gossip
                    .roster
                    .report(domain, version, age, &self.members);
                self.send_adoption_message(now, from, adoption::Message::Report(report), out);
            }
            adoption::Message::Report(report) => self.gossip.roster.record_report(report),
        }
    }

    /// Sends a message to a member, or handles it directly if it is addressed to
    /// this node.
    fn send_adoption_message(
        &mut self,
        now: Time,
        to: Instance,
        message: adoption::Message,
        out: &mut Vec<Action>,
    ) {
        match to == self.identity.peer.instance {
            true => self.on_adoption_message(now, message, out),
            false => self.send_message(&to, Message::Adoption(message), out),
        }
    }

    /// Sends messages of the membership protocol, with the configuration version
    /// and its age attached.
    fn send_gossip(&mut self, now: Time, sends: Vec<member::Outgoing>, out: &mut Vec<Action>) {
        let version = self.gossip.adopter.version();
        for send in sends {
            let with_domains = matches!(send.kind, Kind::Ping { .. } | Kind::Ack { .. });
            let message = member::Message {
                kind: send.kind,
                news: self.gossip.freshness.status(now, version, with_domains),
                updates: send.updates,
            };
            out.push(Action::Datagram(send.to, Message::Member(message)));
        }
    }
}
