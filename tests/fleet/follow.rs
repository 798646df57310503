//! Following the configuration in the store: newest only, never back, and how
//! sure that is.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    document::Snapshot,
    follow::{
        Follower,
        Update, //
    },
    id::{
        Revision,
        Version, //
    },
    interface::Source,
    store::{
        Answer,
        Call,
        Change,
        Entry, //
    },
};

const KEY: &str = "conf";

/// A configuration is here just the number of its version.
fn read(text: &str) -> bluebellswitch::Result<Snapshot> {
    Ok(Snapshot {
        version: text.parse::<Version>()?,
        ..Snapshot::default()
    })
}

fn entry(text: &str, revision: u64) -> Entry {
    Entry {
        key: KEY.to_owned(),
        value: text.to_owned(),
        revision: Revision(revision),
    }
}

fn listing(text: &str, revision: u64) -> Answer {
    Answer::Listing {
        entries: vec![entry(text, revision)],
        at: Revision(revision),
    }
}

fn change(text: &str, revision: u64) -> Answer {
    Answer::Changes {
        changes: vec![Change {
            key: KEY.to_owned(),
            entry: Some(entry(text, revision)),
        }],
        at: Revision(revision),
    }
}

fn quiet(at: u64) -> Answer {
    Answer::Changes {
        changes: vec![],
        at: Revision(at),
    }
}

struct Story {
    now: Time,
    follower: Follower,
}

impl Story {
    fn new() -> Self {
        Self {
            now: Time::from_ms(1000),
            follower: Follower::new(Source {
                prefix: KEY,
                key: KEY,
                evacuated: |key| key.strip_prefix("conf/evacuate/")?.parse().ok(),
                read,
            }),
        }
    }

    /// Asks, waits, and takes an answer.
    fn ask(&mut self, wait: u64, answer: Answer) -> Update {
        let due = self.follower.next_call_at().max(self.now);
        self.now = due;
        self.follower.tick(self.now).expect("a question");
        self.now += Span::from_ms(wait);
        self.follower.answer(self.now, answer)
    }

    fn age(&self) -> Option<u64> {
        self.follower.age(self.now).map(Span::as_ms)
    }
}

#[test]
fn a_newer_version_is_news_and_an_older_one_is_not() {
    let mut story = Story::new();
    assert!(matches!(story.ask(5, listing("4", 10)), Update::Newer(s) if s.version == Version(4)));
    assert!(matches!(story.ask(5, change("9", 11)), Update::Newer(s) if s.version == Version(9)));
    assert!(matches!(story.ask(5, change("7", 12)), Update::Unusable(_)));
    assert!(matches!(
        story.ask(5, change("no number", 13)),
        Update::Unusable(_)
    ));
    assert!(matches!(story.ask(5, change("9", 14)), Update::Nothing));
}

/// The answer that confirms a version may have been long under way. What it says
/// held when the question was sent at the latest, so the age counts from there:
/// else a withdrawn key would be accepted for longer than the bound.
#[test]
fn the_age_counts_from_the_question() {
    let mut story = Story::new();
    assert_eq!(story.age(), None);
    story.ask(300, listing("4", 10));
    assert_eq!(story.age(), Some(300));
    story.ask(1500, quiet(10));
    assert_eq!(story.age(), Some(1500));
}

/// The store is away. The age grows, whatever is asked; an old version that is
/// offered confirms nothing.
#[test]
fn nothing_but_the_newest_confirms() {
    let mut story = Story::new();
    story.ask(0, listing("4", 10));
    for _ in 0..10 {
        story.ask(1000, Answer::Lost);
    }
    assert!(story.age().expect("known") >= 10_000);
    let before = story.age().expect("known");
    story.ask(10, listing("3", 20));
    assert!(story.age().expect("known") >= before);
    story.ask(10, change("5", 21));
    assert_eq!(story.age(), Some(10));
}

/// The store forgets its history, or an answer is lost: what changed meanwhile
/// is found by looking afresh.
#[test]
fn after_a_gap_it_looks_afresh() {
    for gap in [Answer::Compacted, Answer::Lost] {
        let mut story = Story::new();
        story.ask(0, listing("4", 10));
        story.ask(5, gap);
        story.now = story.follower.next_call_at().max(story.now);
        let call = story.follower.tick(story.now);
        assert!(matches!(call, Some(Call::Read { .. })), "{call:?}");
    }
}

fn unreadable_age(answer: Answer) -> u64 {
    let mut story = Story::new();
    story.ask(0, listing("4", 10));
    story.now += Span::from_ms(3000);
    story.ask(0, answer);
    story.age().expect("known")
}

/// Guards against a listing that lacks the configuration and counts as its confirmation.
#[test]
fn a_partial_listing_without_the_value_confirms_nothing() {
    let partial = Answer::Partial {
        entries: vec![],
        at: Revision(11),
    };
    assert!(unreadable_age(partial) >= 3000);
}

/// Guards against a row of the configuration that cannot be read and counts as its
/// confirmation.
#[test]
fn an_unreadable_row_confirms_nothing() {
    assert!(unreadable_age(listing("", 0)) >= 3000);
    assert!(unreadable_age(change("", 0)) >= 3000);
}

/// Guards against a node that waits for a change although it has not read any version yet.
#[test]
fn an_unreadable_first_row_is_read_again() {
    let mut story = Story::new();
    let unreadable = Answer::Listing {
        entries: vec![entry("", 0)],
        at: Revision(10),
    };
    story.ask(0, unreadable);
    story.now = story.follower.next_call_at().max(story.now);
    let call = story.follower.tick(story.now);
    assert!(matches!(call, Some(Call::Read { .. })), "{call:?}");
}

/// Names of evacuated domains, as the news has them.
fn evacuated(news: &Update) -> Vec<String> {
    let Update::Newer(snapshot) = news else {
        panic!("no news: {news:?}");
    };
    snapshot.evacuated().map(ToString::to_string).collect()
}

fn order(domain: &str, revision: u64) -> Entry {
    Entry {
        key: format!("conf/evacuate/{domain}"),
        value: "{}".to_owned(),
        revision: Revision(revision),
    }
}

fn orders(changes: &[(&str, bool)], at: u64) -> Answer {
    let changes = changes.iter().map(|(domain, ordered)| Change {
        key: order(domain, at).key,
        entry: ordered.then(|| order(domain, at)),
    });
    Answer::Changes {
        changes: changes.collect(),
        at: Revision(at),
    }
}

/// Guards against a node that starts during an evacuation and does not know of it.
#[test]
fn the_first_answer_tells_of_evacuations() {
    let mut story = Story::new();
    let first = Answer::Listing {
        entries: vec![entry("4", 9), order("north", 8), order("south", 10)],
        at: Revision(10),
    };
    assert_eq!(evacuated(&story.ask(5, first)), ["north", "south"]);
}

/// Guards against orders that are heard late, doubled or not at all.
#[test]
fn an_evacuation_holds_until_it_is_taken_back() {
    let mut story = Story::new();
    story.ask(5, listing("4", 10));
    let news = story.ask(5, orders(&[("north", true)], 11));
    assert_eq!(evacuated(&news), ["north"]);
    assert!(matches!(
        story.ask(5, orders(&[("north", true)], 11)),
        Update::Nothing
    ));
    assert_eq!(evacuated(&story.ask(5, change("5", 12))), ["north"]);
    story.ask(5, Answer::Lost);
    let news = story.ask(5, orders(&[("north", false), ("south", true)], 14));
    assert_eq!(evacuated(&news), ["south"]);
}

/// Guards against a listing from before the order, passed on by a slow watcher.
#[test]
fn an_older_listing_takes_nothing_back() {
    let mut story = Story::new();
    story.ask(5, listing("4", 10));
    story.ask(5, orders(&[("north", true)], 20));
    let older = Answer::Listing {
        entries: vec![entry("4", 10)],
        at: Revision(15),
    };
    assert!(matches!(story.ask(5, older), Update::Nothing));
    let newer = Answer::Listing {
        entries: vec![entry("4", 10)],
        at: Revision(21),
    };
    assert_eq!(evacuated(&story.ask(5, newer)), Vec::<String>::new());
}

/// Guards against an evacuation that begins and ends between two questions: its
/// upstreams may be cold all the same.
#[test]
fn an_evacuation_that_was_over_at_once_is_news() {
    let mut story = Story::new();
    story.ask(5, listing("4", 10));
    let news = story.ask(5, orders(&[("north", true), ("north", false)], 12));
    assert_eq!(evacuated(&news), Vec::<String>::new());
    let Update::Newer(snapshot) = news else {
        panic!("no news");
    };
    let north = "north".parse().expect("a name");
    assert!(!snapshot.evacuations[&north].in_force);
}
