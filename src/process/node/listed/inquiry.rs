//! Queries for members and configuration, to a watcher or to the store.

use super::{
    Discovery,
    FeedSource,
    INTRODUCER_WATCH_TIME,
    PendingCall,
    Query,
    UNLISTED_RETENTION,
    WATCHER_CANDIDATES,
    WATCHER_HASH_SEED, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    contact, directory,
    feed::{
        self,
        Topic, //
    },
    frame::Frame,
    id::{
        Instance,
        Version, //
    },
    member::{
        self,
        Peer,
        Status, //
    },
    message::Message,
    metric::Counter,
    node::{
        Action,
        Core,
        LogEvent,
        StoreCaller, //
    },
    store::{
        Answer,
        Call, //
    },
};

impl Discovery {
    /// The store call of a query.
    fn call(&self, query: Query) -> Call {
        match query.topic {
            Topic::Members => directory::watch_call(query.after, query.wait),
            Topic::Configuration => self.follower.changes_call(query.after, query.wait),
        }
    }
}

impl Core {
    /// Sends pending queries to a watcher of this domain, or to the store if no
    /// watcher can be asked.
    pub(super) fn query_watcher_or_store(
        &mut self,
        now: Time,
        discovery: &mut Discovery,
        out: &mut Vec<Action>,
    ) {
        if discovery.subscriber.expire_question(now) && !discovery.directory.has_listing() {
            discovery.introduction.introducer_failed(now);
        }
        for abandonment in discovery.subscriber.take_abandoned() {
            let reason = abandonment.reason;
            self.counts.add(Counter::WatcherAbandoned(reason));
            out.push(Action::Log(LogEvent::WatcherAbandoned(abandonment)));
        }
        let source = self.select_source(now, discovery);
        let peer = match &source {
            FeedSource::Peer(name) => Some(name.clone()),
            _ => None,
        };
        if source != discovery.source {
            if source != FeedSource::Unknown {
                out.push(Action::Log(LogEvent::StoreSource(peer.clone())));
            }
            discovery.source = source.clone();
        }
        discovery.watcher.set_source(peer);
        let me = &self.identity.peer.instance;
        match source {
            FeedSource::Unknown => {}
            FeedSource::Peer(name) => {
                discovery.current = Some(name.clone());
                let question =
                    discovery
                        .subscriber
                        .next_question(now, me, &name, &discovery.contact);
                if let Some(question) = question {
                    out.push(control_frame(name, Message::Feed(question)));
                }
            }
            FeedSource::Store => self.query_store(now, discovery, out),
        }
        let me = &self.identity.peer.instance;
        let wait = discovery.contact.limits().wait;
        for (to, reply) in discovery.watcher.take_replies(now, wait, me) {
            out.push(control_frame(to, Message::Feed(reply)));
        }
    }

    /// Chooses where to ask for members and configuration.
    fn select_source(&mut self, now: Time, discovery: &mut Discovery) -> FeedSource {
        let introducer_since = discovery.introduction.introducer_since();
        if !discovery.directory.has_listing() {
            return match discovery.introduction.introducer().cloned() {
                Some(introducer) => {
                    self.add_introducer(now, discovery, &introducer);
                    FeedSource::Peer(introducer.instance)
                }
                None if introducer_since.is_some() => FeedSource::Store,
                None => FeedSource::Unknown,
            };
        }
        let is_new = introducer_since.is_some_and(|at| now.since(at) < INTRODUCER_WATCH_TIME);
        if is_new || discovery.watcher.has_recent_questions(now) {
            return FeedSource::Store;
        }
        let is_alive = |name: &&Instance| {
            let member = self.members.get(name);
            member.is_some_and(|member| member.status == Status::Alive)
        };
        let current = discovery.current.as_ref().filter(is_alive);
        let candidates = current.into_iter().chain(&discovery.watchers);
        match discovery.subscriber.choose_watcher(now, candidates) {
            Some(chosen) if *chosen != self.identity.peer.instance => {
                FeedSource::Peer(chosen.clone())
            }
            // Without the store, a call by each node would only add to its load.
            None if discovery.contact.is_lost() => FeedSource::Unknown,
            _ => FeedSource::Store,
        }
    }

    /// Sends pending queries to the store. A node that knows the members already only
    /// asks for changes, as a listing is as large as the fleet.
    fn query_store(&mut self, now: Time, discovery: &mut Discovery, out: &mut Vec<Action>) {
        for (topic, after) in discovery.subscriber.take_requests() {
            let query = Query {
                topic,
                after: after.filter(|_| discovery.watcher.has_topic(topic)),
                sent: now,
                wait: discovery.contact.next_wait(topic, now),
            };
            let number = self.call_store(StoreCaller::Discovery, discovery.call(query), out);
            let pending = PendingCall::Follow(query);
            discovery.pending_calls.insert(number, pending);
        }
    }

    /// Asks the store about a topic if this node has not heard of it for too long.
    pub(super) fn check_store(
        &mut self,
        now: Time,
        discovery: &mut Discovery,
        out: &mut Vec<Action>,
    ) {
        let is_watching = discovery.source == FeedSource::Store;
        let Some(topic) = discovery.contact.tick(now, is_watching) else {
            return;
        };
        self.counts.add(Counter::StoreChecked(topic));
        // A store that compacts its history withholds changes from all that wait for them,
        // but not from a listing. The watchers make one, so that other nodes need not.
        let after = discovery.watcher.revision(topic);
        let query = Query {
            topic,
            after: after.filter(|_| !is_watching),
            sent: now,
            wait: Span::ZERO,
        };
        let number = self.call_store(StoreCaller::Discovery, discovery.call(query), out);
        let pending = PendingCall::Check(query);
        discovery.pending_calls.insert(number, pending);
    }

    pub(super) fn handle_check_answer(
        &mut self,
        now: Time,
        query: Query,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let Query { topic, sent, .. } = query;
        let outcome = contact::Outcome::of(&answer);
        out.push(Action::Log(LogEvent::StoreChecked {
            topic,
            silence: discovery.contact.silence(topic, now),
            outcome,
        }));
        let is_answered = outcome != contact::Outcome::Failed;
        discovery.contact.check_ended(now, topic, is_answered);
        if !is_answered {
            return discovery.directory.probe_store(now);
        }
        discovery.record_answer(now, query, &answer);
        match topic {
            Topic::Members => {
                let changes = discovery.directory.handle_extra(now, sent, answer);
                self.apply_member_changes(now, changes, out);
            }
            Topic::Configuration => {
                let news = discovery.follower.extra_answer(sent, answer);
                self.handle_config_update(now, news, None, out);
            }
        }
    }

    /// Handles a message between a watcher and the nodes that query it.
    pub(in crate::process::node) fn on_feed_message(
        &mut self,
        now: Time,
        message: feed::Message,
        out: &mut Vec<Action>,
    ) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        match message {
            feed::Message::Question {
                from,
                number,
                after,
                silence,
            } => discovery
                .watcher
                .handle_question(now, from, number, after, silence),
            feed::Message::Reply {
                from,
                number,
                held,
                source,
                news,
            } => {
                let is_first = !discovery.directory.has_listing();
                let max_silence = discovery.contact.limits().watcher;
                let updates =
                    discovery
                        .subscriber
                        .handle_reply(now, number, held, news, max_silence);
                for update in updates {
                    self.apply_watcher_update(now, update, &from, out);
                }
                if is_first {
                    self.finish_introduction(now, source);
                }
            }
        }
        self.discovery_tick(now, out);
    }

    /// Handles the answer of the introducer, and turns to the watcher that it asks
    /// itself, if any.
    fn finish_introduction(&mut self, now: Time, source: Option<Instance>) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        if !discovery.directory.has_listing() {
            return discovery.introduction.introducer_failed(now);
        }
        if source.is_some() {
            discovery.current = source;
        }
    }

    /// Adds an introducer to the members, since links are dialed to members only.
    fn add_introducer(&mut self, now: Time, discovery: &mut Discovery, introducer: &Peer) {
        if self.members.get(&introducer.instance).is_some() {
            return;
        }
        let added = (introducer.instance.clone(), now);
        if let Some((former, _)) = discovery.unlisted_introducer.replace(added) {
            self.members.remove(&former);
        }
        self.members.insert(introducer.clone());
    }

    /// Forgets an introducer that turns out to have no record among the members.
    pub(super) fn forget_unlisted_introducer(&mut self, now: Time) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        if !discovery.directory.has_listing() {
            return;
        }
        let is_over = |added: &mut (Instance, Time)| now.since(added.1) >= UNLISTED_RETENTION;
        let Some((introducer, _)) = discovery.unlisted_introducer.take_if(is_over) else {
            return;
        };
        if !discovery.directory.has_member(&introducer) {
            self.members.remove(&introducer);
            self.update_watchers();
        }
    }

    /// Applies a store update relayed by a watcher.
    fn apply_watcher_update(
        &mut self,
        now: Time,
        update: feed::Update,
        watcher: &Instance,
        out: &mut Vec<Action>,
    ) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        let (topic, after) = (update.topic, update.after);
        let confirmation = update.confirmation;
        discovery.contact.heard(topic, confirmation.heard_at);
        let is_first = topic == Topic::Configuration && self.snapshot.version == Version(0);
        if is_first && discovery.contact.is_in_doubt(now, false) {
            // An older version may have been replaced long ago. Without any, requests are
            // refused until the check is answered.
            return discovery.subscriber.request(topic, after);
        }
        discovery
            .watcher
            .record_answer(topic, confirmation, after, &update.answer);
        let confirmed_at = confirmation.confirmed_at;
        match topic {
            Topic::Members => {
                let changes = discovery
                    .directory
                    .handle_relayed(now, confirmed_at, update.answer);
                self.apply_member_changes(now, changes, out);
            }
            Topic::Configuration => {
                let news = discovery
                    .follower
                    .relayed_answer(now, confirmed_at, update.answer);
                self.handle_config_update(now, news, Some(watcher.clone()), out);
            }
        }
    }

    /// Recomputes the watchers of this domain.
    pub(super) fn update_watchers(&mut self) {
        let watchers = self.rank_watchers();
        if let Some(discovery) = &mut self.discovery {
            discovery.watchers = watchers;
        }
    }

    /// Returns the members of this domain that watch the store, highest rank
    /// first.
    fn rank_watchers(&self) -> Vec<Instance> {
        let own = &self.identity.peer;
        // A member without a record most likely does not reach the store.
        let is_listed = |peer: &Peer| {
            let discovery = self.discovery.as_ref();
            discovery.is_none_or(|discovery| !discovery.unlisted.is_kept(&peer.instance))
        };
        let is_candidate = |peer: &&Peer| {
            peer.domain == own.domain && peer.status == Status::Alive && is_listed(peer)
        };
        let best = member::rank_by_rendezvous(
            self.members.iter().filter(is_candidate),
            WATCHER_HASH_SEED,
            WATCHER_CANDIDATES,
        );
        best.into_iter().map(|peer| peer.instance.clone()).collect()
    }
}

/// Wraps a message that must not be lost in a frame, which is sent over the link
/// instead of as a datagram.
fn control_frame(to: Instance, message: Message) -> Action {
    Action::Frame(to, Frame::Control(Box::new(message)))
}
