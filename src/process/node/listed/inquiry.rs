//! Whom a listed node asks for members and configuration.

use super::{
    Listed,
    Task,
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
    /// Asks a watcher of this domain for what is wanted to know, or else the store.
    pub(super) fn inquire(&mut self, now: Time, listed: &mut Listed, out: &mut Vec<Action>) {
        let me = &self.identity.peer.instance;
        listed.subscriber.expire_question(now);
        let watchers = listed.watchers.iter();
        let chosen = listed.subscriber.choose_watcher(now, watchers);
        let chosen =
            chosen.filter(|chosen| *chosen != me && !listed.watcher.has_recent_questions(now));
        let chosen = chosen.cloned();
        if chosen != listed.source {
            out.push(Action::Log(LogEvent::StoreSource(chosen.clone())));
            listed.source.clone_from(&chosen);
        }
        if let Some(chosen) = chosen {
            if let Some(question) = listed.subscriber.next_question(now, me, &chosen) {
                listed.watcher.clear();
                out.push(control(chosen, Message::Feed(question)));
            }
        } else if !listed.is_early(now) {
            for (topic, after) in listed.subscriber.take_requests() {
                let after = after.filter(|_| listed.watcher.has_topic(topic));
                let call = match topic {
                    Topic::Members => directory::watch_call(after),
                    Topic::Configuration => listed.follower.question(after),
                };
                let number = self.call_store(StoreCaller::Listed, call, out);
                let sent = now;
                let task = Task::Follow { topic, after, sent };
                listed.asked.insert(number, task);
            }
        }
        let me = &self.identity.peer.instance;
        for (to, reply) in listed.watcher.take_replies(now, me) {
            out.push(control(to, Message::Feed(reply)));
        }
    }

    /// Takes a message between a watcher and the nodes that ask it.
    pub(in crate::process::node) fn on_feed_message(
        &mut self,
        now: Time,
        message: feed::Message,
        out: &mut Vec<Action>,
    ) {
        let Some(listed) = &mut self.listed else {
            return;
        };
        match message {
            feed::Message::Question {
                from,
                number,
                after,
            } => listed.watcher.handle_question(now, from, number, after),
            feed::Message::Reply {
                number, held, news, ..
            } => {
                for word in listed.subscriber.handle_reply(now, number, held, news) {
                    self.told(now, word, out);
                }
            }
        }
        self.listed_tick(now, out);
    }

    /// Takes what a watcher says of the store.
    fn told(&mut self, now: Time, word: feed::Update, out: &mut Vec<Action>) {
        let Some(listed) = &mut self.listed else {
            return;
        };
        match word.topic {
            Topic::Members => {
                let changes = listed
                    .directory
                    .handle_relayed(now, word.confirmed_at, word.answer);
                self.listed_changes(now, changes, out);
            }
            Topic::Configuration => {
                let news = listed.follower.told(now, word.confirmed_at, word.answer);
                self.listed_news(now, news, out);
            }
        }
    }

    /// The members of this domain that watch the store, best first.
    pub(super) fn listed_watchers(&self) -> Vec<Instance> {
        let own = &self.identity.peer;
        let fit = |peer: &&Peer| peer.domain == own.domain && peer.status == Status::Alive;
        let best = member::rank_by_rendezvous(
            self.members.iter().filter(fit),
            WATCHER_HASH_SEED,
            WATCHER_CANDIDATES,
        );
        best.into_iter().map(|peer| peer.instance.clone()).collect()
    }
}

/// A message that must not be lost, over the link to a peer.
fn control(to: Instance, message: Message) -> Action {
    Action::Frame(to, Frame::Control(Box::new(message)))
}
