//! Members and configuration, as watchers pass them on.

use std::collections::BTreeMap;

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    contact::{
        Contact,
        Limits, //
    },
    feed::{
        Confirmation,
        Message,
        News,
        Subscriber,
        Topic,
        Update,
        Watcher, //
    },
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

const START: Time = Time::from_ms(50_000);
/// The timeouts for changes that have to be in force within two seconds.
fn limits() -> Limits {
    Limits::within(Span::from_secs(2))
}

fn name(name: &str) -> Instance {
    name.parse().expect("a name")
}

fn entry(key: &str, revision: u64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: format!("{key} at {revision}"),
        revision: Revision(revision),
    }
}

fn listing(keys: &[&str], at: u64) -> Answer {
    Answer::Listing {
        entries: keys.iter().map(|key| entry(key, at)).collect(),
        at: Revision(at),
    }
}

fn changed(key: &str, at: u64) -> Answer {
    let change = Change {
        key: key.to_owned(),
        entry: Some(entry(key, at)),
    };
    Answer::Changes {
        changes: vec![change],
        at: Revision(at),
    }
}

fn removed(key: &str, at: u64) -> Answer {
    let change = Change {
        key: key.to_owned(),
        entry: None,
    };
    Answer::Changes {
        changes: vec![change],
        at: Revision(at),
    }
}

fn quiet(at: u64) -> Answer {
    Answer::Changes {
        changes: Vec::new(),
        at: Revision(at),
    }
}

/// A watcher and one node that asks it, for members alone.
struct Pair {
    now: Time,
    watcher: Watcher,
    subscriber: Subscriber,
    /// What the asker knows of the store.
    contact: Contact,
}

impl Pair {
    fn new() -> Self {
        Self {
            now: START,
            watcher: Watcher::default(),
            subscriber: Subscriber::default(),
            contact: Contact::new(limits()),
        }
    }

    /// The store answers a question that the watcher sent just now.
    fn store(&mut self, after: Option<u64>, answer: &Answer) {
        let after = after.map(Revision);
        self.watcher
            .record_answer(Topic::Members, Confirmation::at(self.now), after, answer);
    }

    fn ask(&mut self, after: Option<u64>) {
        let (me, watcher) = (name("asker"), name("watcher"));
        self.subscriber.request(Topic::Members, after.map(Revision));
        if let Some(Message::Question {
            from,
            number,
            after,
            silence,
        }) = self
            .subscriber
            .next_question(self.now, &me, &watcher, &self.contact)
        {
            self.watcher
                .handle_question(self.now, from, number, after, silence);
        }
    }

    /// The watcher's reply, if it has one now.
    fn reply(&mut self) -> Option<(u64, Span, BTreeMap<Topic, News>)> {
        let wait = limits().wait;
        let mut replies = self.watcher.take_replies(self.now, wait, &name("watcher"));
        match replies.pop()? {
            (
                _,
                Message::Reply {
                    number, held, news, ..
                },
            ) => Some((number, held, news)),
            _ => None,
        }
    }

    fn hear(&mut self) -> Vec<Update> {
        let reply = self.reply();
        reply.map_or(Vec::new(), |(number, held, news)| {
            self.handle_reply(number, held, news)
        })
    }

    fn handle_reply(
        &mut self,
        number: u64,
        held: Span,
        news: BTreeMap<Topic, News>,
    ) -> Vec<Update> {
        let limit = limits().watcher;
        self.subscriber
            .handle_reply(self.now, number, held, news, limit)
    }

    fn is_chosen(&self) -> bool {
        let watchers = [name("watcher")];
        self.subscriber
            .choose_watcher(self.now, watchers.iter())
            .is_some()
    }
}

/// Guards against an asker that believes its watcher to be silent although that has heard
/// that nothing changed.
#[test]
fn a_newer_confirmation_is_passed_on_at_once() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.contact.heard(Topic::Members, START);
    pair.ask(Some(5));
    pair.now += Span::from_ms(900);
    assert!(pair.hear().is_empty(), "the store has said nothing");
    pair.store(Some(5), &quiet(5));
    let words = pair.hear();
    assert_eq!(words[0].answer, quiet(5));
    assert_eq!(words[0].confirmation.heard_at, pair.now);
}

/// Guards against replies back and forth without a word of the store in between.
#[test]
fn the_same_confirmation_is_passed_on_once() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.contact
        .heard(Topic::Members, Time::from_ms(START.as_ms() - 900));
    pair.now += Span::from_ms(40);
    pair.ask(Some(5));
    let words = pair.hear();
    pair.contact
        .heard(Topic::Members, words[0].confirmation.heard_at);
    pair.now += Span::from_ms(3);
    pair.ask(Some(5));
    assert!(pair.hear().is_empty());
}

/// Guards against leaving a watcher that is taking over and has heard of one topic so far.
#[test]
fn a_watcher_that_is_taking_over_is_kept() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    let configuration = listing(&["operator"], 6);
    pair.now += Span::from_secs(3);
    let now = pair.now;
    pair.watcher.record_answer(
        Topic::Configuration,
        Confirmation::at(now),
        None,
        &configuration,
    );
    pair.contact.heard(Topic::Members, START);
    pair.subscriber.request(Topic::Configuration, None);
    pair.ask(Some(5));
    assert_eq!(pair.hear().len(), 2);
    assert!(pair.is_chosen());
}

/// Guards against news that waits for the next question.
#[test]
fn a_change_is_passed_on_at_once() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.ask(Some(5));
    assert!(pair.hear().is_empty(), "there is no news");
    pair.now += Span::from_ms(100);
    pair.store(Some(5), &changed("b", 6));
    let words = pair.hear();
    assert_eq!(words[0].answer, changed("b", 6));
}

/// Guards against a reply that was long under way and makes its word look younger.
#[test]
fn a_late_reply_confirms_no_more_than_an_early_one() {
    for delay in [0, 300, 5000] {
        let mut pair = Pair::new();
        pair.store(None, &listing(&["a"], 5));
        pair.now += Span::from_ms(700);
        pair.ask(Some(5));
        pair.now += Span::from_ms(400);
        let (number, held, news) = pair.reply().expect("a reply");
        pair.now += Span::from_ms(delay);
        let words = pair.handle_reply(number, held, news);
        assert_eq!(
            words[0].confirmation,
            Confirmation::at(START),
            "after {delay} ms"
        );
    }
}

/// Guards against changes that a watcher never saw, because it began to watch
/// again later than it had stopped.
#[test]
fn a_gap_in_what_the_store_told_is_noticed() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.store(Some(8), &changed("c", 9));
    assert!(!pair.watcher.has_topic(Topic::Members));
    pair.ask(Some(5));
    pair.now += Span::from_ms(400);
    assert!(pair.hear().is_empty(), "it knows nothing certain");
}

/// Guards against an asker that misses what happened before the watcher began.
#[test]
fn an_asker_from_before_the_log_gets_the_whole_listing() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.store(Some(5), &changed("b", 7));
    pair.ask(Some(3));
    let words = pair.hear();
    let Answer::Listing { entries, at } = &words[0].answer else {
        panic!("{words:?}");
    };
    assert_eq!((entries.len(), *at), (2, Revision(7)));
}

/// Guards against an asker that knows more than its watcher and is thrown back.
#[test]
fn an_asker_that_knows_more_keeps_what_it_knows() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.ask(Some(9));
    pair.now += Span::from_ms(400);
    assert_eq!(pair.hear()[0].answer, quiet(9));
}

/// Guards against waiting for a watcher that is dead, paused or cut off.
#[test]
fn a_silent_watcher_is_passed_over_for_a_while() {
    let mut pair = Pair::new();
    pair.ask(Some(5));
    assert!(pair.is_chosen());
    pair.now += Span::from_ms(1000);
    pair.subscriber.expire_question(pair.now);
    assert!(!pair.is_chosen());
    let wanted = pair.subscriber.take_requests();
    assert_eq!(wanted[&Topic::Members], Some(Revision(5)));
    pair.now += Span::from_secs(2);
    assert!(pair.is_chosen());
}

/// Guards against a watcher that is cut off from the store alone, on which a whole
/// domain goes on relying.
#[test]
fn a_watcher_with_old_word_is_passed_over() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.now += Span::from_secs(3);
    pair.ask(Some(5));
    pair.now += Span::from_ms(400);
    assert_eq!(pair.hear()[0].confirmation, Confirmation::at(START));
    assert!(!pair.is_chosen());
}

/// Guards against a node that goes on asking the store for others after they have
/// found another watcher.
#[test]
fn a_watcher_that_nobody_asks_rests() {
    let mut pair = Pair::new();
    pair.ask(Some(5));
    assert!(pair.watcher.has_recent_questions(pair.now));
    pair.now += Span::from_secs(3);
    assert!(!pair.watcher.has_recent_questions(pair.now));
}

/// Guards against a second topic that waits until the question for the first one
/// has been answered, and against taking its absence for ignorance.
#[test]
fn a_question_for_more_replaces_the_open_one() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.ask(Some(5));
    let configuration = listing(&["operator"], 6);
    let now = pair.now;
    pair.watcher.record_answer(
        Topic::Configuration,
        Confirmation::at(now),
        None,
        &configuration,
    );
    pair.subscriber.request(Topic::Configuration, None);
    pair.ask(Some(5));
    let topics: Vec<_> = pair.hear().into_iter().map(|word| word.topic).collect();
    assert_eq!(topics, [Topic::Members, Topic::Configuration]);
    assert!(pair.is_chosen());
}

fn encoded_bytes(news: &BTreeMap<Topic, News>) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(news, &mut bytes).expect("it can be encoded");
    bytes.len()
}

/// Guards against a listing whose bytes, times the nodes that ask for it at a start,
/// fill the watcher's link: a record of a member is some 200 bytes.
fn a_listing_is_sent_compressed(members: u64) {
    let mut pair = Pair::new();
    let record = |number: u64| Entry {
        key: format!("nodes/instance-north-{number}"),
        value: format!(
            r#"{{"instance":"instance-north-{number}","domain":"north","pool":"registry","#,
        ) + &format!(
            r#""link":"10.1.{}.{}:7000","datagram":"10.1.{}.{}:7000","incarnation":{},"#,
            number / 250,
            number % 250,
            number / 250,
            number % 250,
            1_764_000_000_000 + number * 7,
        ) + r#""status":"a","ready":true}"#,
        revision: Revision(5 + number),
    };
    let entries: Vec<_> = (0..members).map(record).collect();
    let at = Revision(5 + members);
    pair.store(None, &Answer::Listing { entries, at });
    pair.ask(None);
    let (number, held, news) = pair.reply().expect("a reply");
    let bytes = encoded_bytes(&news) as u64;
    assert!(bytes < 70 * members, "{bytes} bytes for {members} members");
    let words = pair.handle_reply(number, held, news);
    let Answer::Listing { entries, .. } = &words[0].answer else {
        panic!("no listing");
    };
    assert_eq!(entries.len() as u64, members);
}

cases! { a_listing_is_sent_compressed:
    a_listing_of_200_is_sent_compressed => (200),
    a_listing_of_2000_is_sent_compressed => (2000),
}

/// Guards against a watcher that begins with a listing after each failure of another,
/// and then sends all members to each asker.
#[test]
fn a_node_continues_where_its_watcher_left_off() {
    let mut first = Pair::new();
    first.store(None, &listing(&["a"], 5));
    first.ask(None);
    let heard = first.hear();
    let mut second = Pair::new();
    let update = &heard[0];
    second.watcher.record_answer(
        Topic::Members,
        update.confirmation,
        update.after,
        &update.answer,
    );
    second.store(Some(5), &changed("b", 6));
    second.ask(Some(5));
    assert_eq!(second.hear()[0].answer, changed("b", 6));
}

/// Guards against a full listing to every asker after the store has compacted its
/// history and the watcher had to list it again.
#[test]
fn a_second_listing_is_passed_on_as_changes() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a", "b"], 5));
    pair.store(Some(5), &Answer::Compacted);
    assert!(!pair.watcher.has_topic(Topic::Members));
    let mut entries = vec![entry("b", 5), entry("c", 8)];
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    pair.store(
        None,
        &Answer::Listing {
            entries,
            at: Revision(9),
        },
    );
    pair.ask(Some(5));
    let words = pair.hear();
    let Answer::Changes { changes, at } = &words[0].answer else {
        panic!("{words:?}");
    };
    let keys: Vec<_> = changes
        .iter()
        .map(|c| (c.key.as_str(), c.entry.is_some()))
        .collect();
    assert_eq!((keys, *at), (vec![("a", false), ("c", true)], Revision(9)));
}

/// Guards against a newcomer that makes the node which it asks first watch the store,
/// beside the watcher of the domain.
#[test]
fn a_first_question_makes_nobody_watch() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.ask(None);
    assert_eq!(pair.hear()[0].answer, listing(&["a"], 5));
    assert!(!pair.watcher.has_recent_questions(pair.now));
    pair.ask(Some(5));
    assert!(pair.watcher.has_recent_questions(pair.now));
}

/// Guards against a configuration of hundreds of kilobytes that fills the watcher's
/// link when it goes to all nodes of its domain, once for each version on its way.
#[test]
fn a_large_value_travels_packed_and_once() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&[], 5));
    let large = |revision: u64| Entry {
        key: "operator".to_owned(),
        value: format!("{{\"version\": {revision}}} ").repeat(20_000),
        revision: Revision(revision),
    };
    for revision in 6..9 {
        let change = Change {
            key: "operator".to_owned(),
            entry: Some(large(revision)),
        };
        let answer = Answer::Changes {
            changes: vec![change],
            at: Revision(revision),
        };
        pair.store(Some(revision - 1), &answer);
    }
    pair.ask(Some(5));
    let (number, held, news) = pair.reply().expect("a reply");
    let bytes = encoded_bytes(&news);
    assert!(bytes < 20_000, "{bytes} bytes");
    let words = pair.handle_reply(number, held, news);
    let Answer::Changes { changes, at } = &words[0].answer else {
        panic!("no changes");
    };
    assert_eq!((changes.len(), *at), (1, Revision(8)));
    assert_eq!(changes[0].entry, Some(large(8)));
}

/// Guards against an order that begins and ends while a node has no watcher: what it
/// concerned may be cold all the same.
#[test]
fn an_order_taken_back_between_two_questions_is_passed_on() {
    let mut pair = Pair::new();
    pair.store(None, &listing(&["a"], 5));
    pair.store(Some(5), &changed("evacuate/north", 6));
    pair.store(Some(6), &removed("evacuate/north", 7));
    pair.ask(Some(5));
    let heard = pair.hear();
    assert_eq!(heard[0].answer, removed("evacuate/north", 7));
}

/// Guards against members that vanish at the nodes which ask a watcher, because its own
/// listing lacked rows that could not be read.
#[test]
fn a_partial_listing_is_not_passed_on_as_a_whole_one() {
    let mut pair = Pair::new();
    let partial = Answer::Partial {
        entries: vec![entry("a", 5)],
        at: Revision(5),
    };
    pair.store(None, &partial);
    pair.ask(None);
    let updates = pair.hear();
    let is_whole = |update: &Update| matches!(update.answer, Answer::Listing { .. });
    assert!(!updates.iter().any(is_whole), "{updates:?}");
}

/// Guards against an answer of a few kilobytes that takes all memory once decompressed.
#[test]
fn decompressed_answer_is_bounded() {
    let mut pair = Pair::new();
    let huge = Entry {
        key: "a".to_owned(),
        value: "0".repeat(64 << 20),
        revision: Revision(5),
    };
    let answer = Answer::Listing {
        entries: vec![huge],
        at: Revision(5),
    };
    pair.store(None, &answer);
    pair.ask(None);
    let (number, held, news) = pair.reply().expect("a reply");
    let size = news[&Topic::Members]
        .compressed
        .as_ref()
        .map(|bytes| bytes.len());
    assert!(size.is_some_and(|size| size < 1 << 20), "{size:?}");
    assert!(pair.handle_reply(number, held, news).is_empty());
    assert!(!pair.is_chosen(), "a watcher without readable data");
}
