//! Queries for members and configuration, to a watcher or to the store.

use super::{
    Discovery,
    PendingCall,
    WATCHER_CANDIDATES,
    WATCHER_HASH_SEED, //
};
use crate::{
    clock::Time,
    directory,
    feed::{
        self,
        Topic, //
    },
    frame::Frame,
    id::Instance,
    member::{
        self,
        Peer,
        Status, //
    },
    message::Message,
    node::{
        Action,
        Core,
        LogEvent,
        StoreCaller, //
    },
};

impl Core {
    /// Sends pending queries to a watcher of this domain, or to the store if no
    /// watcher can be asked.
    pub(super) fn query_watcher_or_store(
        &mut self,
        now: Time,
        discovery: &mut Discovery,
        out: &mut Vec<Action>,
    ) {
        let me = &self.identity.peer.instance;
        discovery.subscriber.expire_question(now);
        let watchers = discovery.watchers.iter();
        let chosen = discovery.subscriber.choose_watcher(now, watchers);
        let chosen =
            chosen.filter(|chosen| *chosen != me && !discovery.watcher.has_recent_questions(now));
        let chosen = chosen.cloned();
        if chosen != discovery.source {
            out.push(Action::Log(LogEvent::StoreSource(chosen.clone())));
            discovery.source.clone_from(&chosen);
        }
        if let Some(chosen) = chosen {
            if let Some(question) = discovery.subscriber.next_question(now, me, &chosen) {
                discovery.watcher.clear();
                out.push(control_frame(chosen, Message::Feed(question)));
            }
        } else if !discovery.awaits_first_members(now) {
            for (topic, after) in discovery.subscriber.take_requests() {
                let after = after.filter(|_| discovery.watcher.has_topic(topic));
                let call = match topic {
                    Topic::Members => directory::watch_call(after),
                    Topic::Configuration => discovery.follower.changes_call(after),
                };
                let number = self.call_store(StoreCaller::Discovery, call, out);
                let sent = now;
                let pending = PendingCall::Follow { topic, after, sent };
                discovery.pending_calls.insert(number, pending);
            }
        }
        let me = &self.identity.peer.instance;
        for (to, reply) in discovery.watcher.take_replies(now, me) {
            out.push(control_frame(to, Message::Feed(reply)));
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
            } => discovery.watcher.handle_question(now, from, number, after),
            feed::Message::Reply {
                number, held, news, ..
            } => {
                for update in discovery.subscriber.handle_reply(now, number, held, news) {
                    self.apply_watcher_update(now, update, out);
                }
            }
        }
        self.discovery_tick(now, out);
    }

    /// Applies a store update relayed by a watcher.
    fn apply_watcher_update(&mut self, now: Time, update: feed::Update, out: &mut Vec<Action>) {
        let Some(discovery) = &mut self.discovery else {
            return;
        };
        match update.topic {
            Topic::Members => {
                let changes =
                    discovery
                        .directory
                        .handle_relayed(now, update.confirmed_at, update.answer);
                self.apply_member_changes(now, changes, out);
            }
            Topic::Configuration => {
                let news =
                    discovery
                        .follower
                        .relayed_answer(now, update.confirmed_at, update.answer);
                self.handle_config_update(now, news, out);
            }
        }
    }

    /// Returns the members of this domain that watch the store, highest rank
    /// first.
    pub(super) fn rank_watchers(&self) -> Vec<Instance> {
        let own = &self.identity.peer;
        let is_candidate = |peer: &&Peer| peer.domain == own.domain && peer.status == Status::Alive;
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
