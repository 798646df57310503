//! Members and configuration, passed on inside a failure domain.
//!
//! One or two nodes of each domain, the watchers, follow the store. The others ask
//! a watcher for what is new, and wait there for it as they would at the store.
//! Any node that is asked becomes a watcher for a while, so nothing is agreed
//! upon: a node asks the first of its domain by rendezvous hashing, the next one
//! when that does not answer or has no recent word itself, and the store when none
//! does.
//!
//! An answer tells how old the watcher's word is: the time since the question to
//! the store was sent that confirms it. The asker counts from when it asked its
//! own question, and adds only what the watcher measured, so no clocks are
//! compared and an answer that was held up never looks younger than it is.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    io::{
        Read,
        Write, //
    },
};

use flate2::{
    Compression,
    read::DeflateDecoder,
    write::DeflateEncoder, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_bytes::ByteBuf;

use crate::{
    clock::{
        Span,
        Time, //
    },
    error::Result,
    frame,
    id::{
        Instance,
        Revision, //
    },
    store::{
        Answer,
        Change,
        Entry, //
    },
};

/// How long a watcher holds a question for which it has nothing new.
const MAX_HOLD: Span = Span::from_ms(400);
/// Time after which an unanswered question is asked elsewhere.
const ANSWER_TIMEOUT: Span = Span::from_ms(700);
/// How long a watcher is passed over that did not answer, or had only old word.
const WATCHER_BACKOFF: Span = Span::from_secs(2);
/// Age from which a watcher's confirmation is stale.
const MAX_WATCHER_AGE: Span = Span::from_ms(2500);
/// How long a node goes on watching the store after it was last asked.
const WATCH_AFTER_QUESTION: Span = Span::from_secs(3);
/// Values of more bytes than this are packed.
const PACKED_ABOVE: usize = 4 << 10;
/// Answers of the store that a watcher keeps.
const KEPT_BATCHES: usize = 128;

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The records of members.
    Members,
    /// The operators' configuration.
    Configuration,
}

/// What nodes of one domain tell each other of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What is new after these revisions?
    Question {
        /// Who asks.
        from: Instance,
        /// Counts the questions of the asker.
        number: u64,
        /// The topics, each with the revision that is known already.
        after: BTreeMap<Topic, Option<Revision>>,
    },
    /// The answer.
    Reply {
        /// Who answers.
        from: Instance,
        /// The question.
        number: u64,
        /// How long the question was held.
        held: Span,
        /// What there is, by topic; a topic of which nothing is known is left out.
        news: BTreeMap<Topic, News>,
    },
}

/// What a watcher knows of a topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// What the store would have answered, without the values that are packed.
    pub answer: Answer,
    /// Large values, by their keys: a watcher sends a configuration of hundreds of
    /// kilobytes to all nodes of its domain at once.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub packed: BTreeMap<String, ByteBuf>,
    /// The time since the question was sent that confirms it.
    pub age: Span,
}

impl News {
    /// The answer with its large values unpacked, each of [`frame::LIMIT`] bytes at
    /// most.
    fn unpack(mut self) -> Result<Answer> {
        for (key, packed) in &self.packed {
            let mut value = String::new();
            let mut reader = DeflateDecoder::new(packed.as_slice()).take(frame::LIMIT as u64);
            reader.read_to_string(&mut value)?;
            let entries = entries_mut(&mut self.answer);
            if let Some(entry) = entries.into_iter().find(|entry| entry.key == *key) {
                entry.value = value;
            }
        }
        Ok(self.answer)
    }
}

fn entries_mut(answer: &mut Answer) -> Vec<&mut Entry> {
    match answer {
        Answer::Listing { entries, .. } => entries.iter_mut().collect(),
        Answer::Changes { changes, .. } => {
            let entries = changes.iter_mut();
            entries.filter_map(|change| change.entry.as_mut()).collect()
        }
        _ => Vec::new(),
    }
}

fn pack(value: &str) -> Option<ByteBuf> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value.as_bytes()).ok()?;
    encoder.finish().ok().map(ByteBuf::from)
}

/// One topic, as the store told it.
#[derive(Clone, Debug)]
struct Log {
    entries: BTreeMap<String, Entry>,
    /// The large values among them.
    packed: BTreeMap<String, ByteBuf>,
    /// Keys that changed, with the revision that the store had reached then.
    batches: VecDeque<(Revision, Vec<String>)>,
    /// The earliest revision from which changes are known.
    from: Revision,
    at: Revision,
    confirmed: Time,
}

impl Log {
    fn new(entries: &[Entry], at: Revision, confirmed: Time) -> Self {
        let mut log = Self {
            entries: BTreeMap::new(),
            packed: BTreeMap::new(),
            batches: VecDeque::new(),
            from: at,
            at,
            confirmed,
        };
        entries.iter().for_each(|entry| log.put(entry));
        log
    }

    fn put(&mut self, entry: &Entry) {
        let packed = (entry.value.len() > PACKED_ABOVE).then(|| pack(&entry.value));
        match packed.flatten() {
            Some(packed) => self.packed.insert(entry.key.clone(), packed),
            None => self.packed.remove(&entry.key),
        };
        self.entries.insert(entry.key.clone(), entry.clone());
    }

    fn add(&mut self, changes: &[Change], at: Revision, confirmed: Time) {
        self.confirmed = self.confirmed.max(confirmed);
        if at <= self.at {
            return;
        }
        self.at = at;
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match &change.entry {
                Some(entry) => self.put(entry),
                None => {
                    self.entries.remove(&change.key);
                    self.packed.remove(&change.key);
                }
            };
        }
        let keys = changes.iter().map(|change| change.key.clone());
        self.batches.push_back((at, keys.collect()));
        if self.batches.len() > KEPT_BATCHES
            && let Some((dropped, _)) = self.batches.pop_front()
        {
            self.from = dropped;
        }
    }

    /// Whether there is something that an asker does not know.
    fn has_news(&self, after: Option<Revision>) -> bool {
        let Some(after) = after else {
            return true;
        };
        let last = self.batches.back().map_or(self.from, |(at, _)| *at);
        last > after
    }

    /// What the store would answer, each key as it is now. An asker that knows more
    /// than this log has nothing to learn from it.
    fn answer(&self, after: Option<Revision>) -> Answer {
        let Some(after) = after.filter(|after| *after >= self.from) else {
            return Answer::Listing {
                entries: self.entries.values().cloned().collect(),
                at: self.at,
            };
        };
        let newer = self.batches.iter().filter(|(at, _)| *at > after);
        let keys: BTreeSet<_> = newer.flat_map(|(_, keys)| keys).collect();
        let changes = keys.into_iter().map(|key| Change {
            key: key.clone(),
            entry: self.entries.get(key).cloned(),
        });
        Answer::Changes {
            changes: changes.collect(),
            at: self.at.max(after),
        }
    }

    /// The answer with its age, and large values packed.
    fn news(&self, now: Time, after: Option<Revision>) -> News {
        let mut answer = self.answer(after);
        let mut packed = BTreeMap::new();
        for entry in entries_mut(&mut answer) {
            if let Some(value) = self.packed.get(&entry.key) {
                entry.value.clear();
                packed.insert(entry.key.clone(), value.clone());
            }
        }
        News {
            answer,
            packed,
            age: now.since(self.confirmed),
        }
    }
}

/// A question that waits for news.
#[derive(Clone, Debug)]
struct Held {
    from: Instance,
    number: u64,
    after: BTreeMap<Topic, Option<Revision>>,
    since: Time,
}

/// The watcher's side.
#[derive(Clone, Debug, Default)]
pub struct Watcher {
    logs: BTreeMap<Topic, Log>,
    held: Vec<Held>,
    asked: Option<Time>,
}

impl Watcher {
    /// Whether others rely on this node to watch the store.
    pub fn has_recent_questions(&self, now: Time) -> bool {
        self.asked
            .is_some_and(|at| now.since(at) < WATCH_AFTER_QUESTION)
    }

    /// Whether a topic is known from the store itself.
    pub fn has_topic(&self, topic: Topic) -> bool {
        self.logs.contains_key(&topic)
    }

    /// Forgets the store's answers, which others now follow.
    pub fn clear(&mut self) {
        self.logs.clear();
    }

    /// Notes what the store answered to a question, when that was sent and after
    /// which revision it asked.
    pub fn record_answer(
        &mut self,
        topic: Topic,
        sent: Time,
        after: Option<Revision>,
        answer: &Answer,
    ) {
        match answer {
            Answer::Listing { entries, at } => {
                let known = self.logs.get(&topic);
                if known.is_none_or(|log| log.at <= *at) {
                    self.logs.insert(topic, Log::new(entries, *at, sent));
                }
            }
            Answer::Changes { changes, at } => {
                // Without a gap before it, or what came between would be missing.
                let follows = |log: &&mut Log| after.is_some_and(|after| after <= log.at);
                match self.logs.get_mut(&topic).filter(follows) {
                    Some(log) => log.add(changes, *at, sent),
                    None => {
                        self.logs.remove(&topic);
                    }
                }
            }
            // What changed in between is not known.
            Answer::Forgotten => {
                self.logs.remove(&topic);
            }
            _ => {}
        }
    }

    /// Takes a question, to be answered by [`Watcher::take_replies`].
    pub fn handle_question(
        &mut self,
        now: Time,
        from: Instance,
        number: u64,
        after: BTreeMap<Topic, Option<Revision>>,
    ) {
        self.asked = Some(now);
        self.held.retain(|held| held.from != from);
        self.held.push(Held {
            from,
            number,
            after,
            since: now,
        });
    }

    /// Answers to questions for which there is news, or that were held for long.
    pub fn take_replies(&mut self, now: Time, me: &Instance) -> Vec<(Instance, Message)> {
        let logs = &self.logs;
        let has_news = |held: &Held| {
            let mut topics = held.after.iter();
            topics.any(|(topic, after)| logs.get(topic).is_some_and(|log| log.has_news(*after)))
        };
        let is_due = |held: &mut Held| now.since(held.since) >= MAX_HOLD || has_news(held);
        let due = self.held.extract_if(.., is_due);
        let replies = due.map(|held| {
            let topics = held.after.iter();
            let news = topics.filter_map(|(topic, after)| {
                let log = logs.get(topic)?;
                Some((*topic, log.news(now, *after)))
            });
            let message = Message::Reply {
                from: me.clone(),
                number: held.number,
                held: now.since(held.since),
                news: news.collect(),
            };
            (held.from, message)
        });
        replies.collect()
    }
}

#[derive(Clone, Debug)]
struct Open {
    number: u64,
    to: Instance,
    sent: Time,
    topics: usize,
}

/// The asker's side.
#[derive(Clone, Debug, Default)]
pub struct Subscriber {
    wanted: BTreeMap<Topic, Option<Revision>>,
    open: Option<Open>,
    poor: BTreeMap<Instance, Time>,
    next_number: u64,
}

/// News with the time at which the store confirmed it.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Of what.
    pub topic: Topic,
    /// What the store would have answered.
    pub answer: Answer,
    /// By this node's clock.
    pub confirmed_at: Time,
}

impl Subscriber {
    /// Wants to know what is new after a revision.
    pub fn request(&mut self, topic: Topic, after: Option<Revision>) {
        self.wanted.insert(topic, after);
    }

    /// What was wanted and is not known yet, to be asked elsewhere.
    pub fn take_requests(&mut self) -> BTreeMap<Topic, Option<Revision>> {
        self.open = None;
        std::mem::take(&mut self.wanted)
    }

    /// When an open question is given up.
    pub fn due(&self) -> Time {
        match &self.open {
            Some(open) => open.sent + ANSWER_TIMEOUT,
            None => Time::NEVER,
        }
    }

    /// The first of these watchers that is worth asking.
    pub fn choose_watcher<'a>(
        &self,
        now: Time,
        mut watchers: impl Iterator<Item = &'a Instance>,
    ) -> Option<&'a Instance> {
        let is_poor = |name: &Instance| {
            let since = self.poor.get(name);
            since.is_some_and(|since| now.since(*since) < WATCHER_BACKOFF)
        };
        watchers.find(|name| !is_poor(name))
    }

    /// Gives up a question without an answer.
    pub fn expire_question(&mut self, now: Time) {
        let late = |open: &mut Open| now.since(open.sent) >= ANSWER_TIMEOUT;
        if let Some(open) = self.open.take_if(late) {
            self.poor.insert(open.to, now);
        }
    }

    /// A peer cannot be reached.
    pub fn peer_unreachable(&mut self, now: Time, peer: &Instance) {
        if self.open.take_if(|open| open.to == *peer).is_some() {
            self.poor.insert(peer.clone(), now);
        }
    }

    /// Asks a watcher for what is wanted. A question for more takes the place of the
    /// one that is open.
    pub fn next_question(&mut self, now: Time, me: &Instance, to: &Instance) -> Option<Message> {
        let asked = self.open.as_ref().map_or(0, |open| open.topics);
        if self.wanted.len() <= asked {
            return None;
        }
        self.next_number += 1;
        self.open = Some(Open {
            number: self.next_number,
            to: to.clone(),
            sent: now,
            topics: self.wanted.len(),
        });
        Some(Message::Question {
            from: me.clone(),
            number: self.next_number,
            after: self.wanted.clone(),
        })
    }

    /// Takes a reply.
    pub fn handle_reply(
        &mut self,
        now: Time,
        number: u64,
        held: Span,
        news: BTreeMap<Topic, News>,
    ) -> Vec<Update> {
        let Some(open) = self.open.take_if(|open| open.number == number) else {
            return Vec::new();
        };
        let mut words = Vec::new();
        let mut is_poor = news.len() < open.topics;
        for (topic, news) in news {
            is_poor |= news.age > MAX_WATCHER_AGE;
            let answered = (open.sent + held).min(now);
            let age = news.age.as_ms().min(answered.as_ms());
            let Ok(answer) = news.unpack() else {
                is_poor = true;
                continue;
            };
            if self.wanted.remove(&topic).is_some() {
                words.push(Update {
                    topic,
                    answer,
                    confirmed_at: Time::from_ms(answered.as_ms() - age),
                });
            }
        }
        if is_poor {
            self.poor.insert(open.to, now);
        }
        words
    }
}
