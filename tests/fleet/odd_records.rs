//! Entries of other writers under the keys of members: each costs itself, and a living node
//! replaces what stands under its own name.

use std::collections::BTreeMap;

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    directory::{
        Change,
        Directory,
        Purpose,
        RECORD_PREFIX, //
    },
    id::Incarnation,
    member::{
        Peer,
        Status, //
    },
    standin::keyvalue::Map,
    store::{
        Answer,
        Call,
        Entry, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

/// An incarnation like those of nodes that start today.
const TODAY: u64 = 1_780_000_000_000 << 22;
const STEP: Span = Span::from_ms(10);

fn peer(name: &str, incarnation: u64, port: u16) -> Peer {
    let address = ([127, 0, 0, 1], port).into();
    Peer {
        instance: name.parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        pool: "mill".parse().expect("a name"),
        link: address,
        datagram: address,
        incarnation: Incarnation(incarnation),
        status: Status::Alive,
        ready: true,
    }
}

fn key(name: &str) -> String {
    format!("{RECORD_PREFIX}{name}")
}

fn text(peer: &Peer) -> String {
    serde_json::to_string(peer).expect("text")
}

/// A node, with its call of each purpose that the store holds, and its view.
struct Node {
    directory: Directory,
    held: Vec<(Purpose, Call, Time)>,
    view: BTreeMap<String, Peer>,
}

impl Node {
    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Updated(peer) => self.view.insert(peer.instance.to_string(), peer),
                Change::Removed(name) => self.view.remove(name.as_str()),
            };
        }
    }

    fn step(&mut self, now: Time, store: &mut Map) {
        if self.directory.due() <= now {
            let mut calls = Vec::new();
            let removed = self.directory.tick(now, &mut calls);
            self.apply(removed);
            for (purpose, call) in calls {
                match store.on(now, &call) {
                    Some(answer) => self.answer(now, purpose, answer),
                    None => self.held.push((purpose, call, now)),
                }
            }
        }
        for (purpose, call, since) in std::mem::take(&mut self.held) {
            let timed_out = now.since(since) >= Span::from_ms(900);
            let answer = store.waited(&call);
            match answer.or_else(|| timed_out.then(|| call.timed_out())) {
                Some(answer) => self.answer(now, purpose, answer),
                None => self.held.push((purpose, call, since)),
            }
        }
    }

    fn answer(&mut self, now: Time, purpose: Purpose, answer: Answer) {
        let changes = self.directory.handle_answer(now, purpose, answer);
        self.apply(changes);
    }
}

/// Some nodes and their store, in virtual time.
struct Site {
    now: Time,
    store: Map,
    nodes: Vec<Node>,
}

impl Site {
    fn new(peers: &[Peer]) -> Self {
        let mut site = Self {
            now: Time::from_ms(1000),
            store: Map::default(),
            nodes: Vec::new(),
        };
        peers.iter().for_each(|peer| site.add(peer.clone()));
        site.run(Span::from_secs(3));
        site
    }

    fn add(&mut self, peer: Peer) {
        self.nodes.push(Node {
            directory: Directory::new(peer),
            held: Vec::new(),
            view: BTreeMap::new(),
        });
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.store.expire(self.now);
            for node in &mut self.nodes {
                node.step(self.now, &mut self.store);
            }
        }
    }

    /// Writes as another client.
    fn put(&mut self, key: String, value: String) {
        let call = Call::Put {
            key,
            value,
            lease: None,
        };
        self.store.on(self.now, &call);
    }

    fn stored(&mut self, name: &str) -> Option<Entry> {
        match self.store.on(self.now, &Call::Get { key: key(name) }) {
            Some(Answer::Value(entry)) => entry,
            _ => None,
        }
    }

    fn writes(&self) -> u64 {
        self.store.writes_under("bluebellswitch")
    }
}

/// Guards against a node that is taken for another one, or for absent, until the run ends,
/// because of one write under its name.
fn is_replaced(odd: impl FnOnce(&Peer) -> String) {
    let good = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), good.clone()]);
    assert_eq!(site.nodes[0].view.get("b"), Some(&good));
    site.put(key("b"), odd(&good));
    site.run(Span::from_secs(3));
    assert_eq!(site.nodes[0].view.get("b"), Some(&good));
    let stored = site.stored("b").expect("a record");
    let stored: Peer = serde_json::from_str(&stored.value).expect("a record of a member");
    assert_eq!(stored, good);
    // A node that starts now sees the same.
    site.add(peer("c", TODAY, 7003));
    site.run(Span::from_secs(8));
    assert_eq!(site.nodes[0].view.get("b"), Some(&good));
    assert_eq!(site.nodes[2].view.get("b"), Some(&good));
}

fn with(good: &Peer, change: impl FnOnce(&mut Peer)) -> String {
    let mut changed = good.clone();
    change(&mut changed);
    text(&changed)
}

cases! { is_replaced:
    value_that_cannot_be_read => (|_| String::new()),
    value_that_is_no_record => (|_| "{}".to_owned()),
    nested_field => (|good| {
        let deep = "[".repeat(5000) + &"]".repeat(5000);
        text(good).replacen('{', &format!("{{\"x\":{deep},"), 1)
    }),
    number_out_of_range => (|good| text(good).replacen('{', "{\"x\":1e400,", 1)),
    incarnation_out_of_range => (|good| with(good, |peer| peer.incarnation.0 = u64::MAX)),
    incarnation_that_no_clock_reaches => (|good| {
        with(good, |peer| peer.incarnation.0 = Incarnation::MAX.0 + 1)
    }),
    incarnation_at_the_bound => (|good| with(good, |peer| peer.incarnation = Incarnation::MAX)),
    incarnation_of_next_year => (|good| with(good, |peer| peer.incarnation.0 += 1 << 57)),
    next_incarnation => (|good| with(good, |peer| peer.incarnation.0 += 1)),
    next_incarnation_elsewhere => (|good| with(good, |peer| {
        peer.incarnation.0 += 1;
        peer.link.set_port(9);
    })),
    previous_incarnation => (|good| with(good, |peer| peer.incarnation.0 -= 1)),
    port_of_zero => (|good| with(good, |peer| peer.link.set_port(0))),
    port_out_of_range => (|good| text(good).replace(":7002", ":70002")),
    another_port => (|good| with(good, |peer| peer.link.set_port(9))),
    another_pool => (|good| with(good, |peer| peer.pool = "other".parse().expect("a name"))),
    another_state => (|good| with(good, |peer| peer.ready = false)),
    state_that_no_node_writes => (|good| with(good, |peer| peer.status = Status::Dead)),
    leaving => (|good| with(good, |peer| peer.status = Status::Leaving)),
    name_of_another => (|good| with(good, |peer| peer.instance = "a".parse().expect("a name"))),
}

/// Guards against members that vanish because their records cannot be read, or because a
/// listing lacks them.
#[test]
fn unreadable_record_is_not_an_absent_one() {
    let good = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), good.clone()]);
    // It cannot replace the record.
    site.nodes.truncate(1);
    site.put(key("b"), "{}".to_owned());
    site.put(key("raw-1"), "{}".to_owned());
    let Some(Answer::Listing { entries, at }) = site.store.on(
        site.now,
        &Call::Read {
            prefix: RECORD_PREFIX.to_owned(),
        },
    ) else {
        panic!("no listing");
    };
    let now = site.now;
    let directory = &mut site.nodes[0].directory;
    directory.handle_extra(now, now, Answer::Listing { entries, at });
    let invalid = directory.take_invalid();
    let told: Vec<_> = invalid.iter().filter(|invalid| invalid.is_new).collect();
    assert_eq!(told.len(), 2);
    let entries = Vec::new();
    directory.handle_extra(now, now, Answer::Partial { entries, at });
    assert!(!directory.has_lapsed());
    site.run(Span::from_secs(20));
    assert_eq!(site.nodes[0].view.get("b"), Some(&good));
    let invalid = site.nodes[0].directory.take_invalid();
    assert!(invalid.iter().all(|invalid| !invalid.is_new));
}

/// Guards against a refuted record that is believed again when a node sees it late.
#[test]
fn refuted_record_stays_refuted() {
    let good = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), good.clone()]);
    site.put(key("b"), with(&good, |peer| peer.incarnation.0 += 1 << 57));
    let odd = site.stored("b").expect("a record");
    site.run(Span::from_secs(3));
    let now = site.now;
    let change = bluebellswitch::store::Change {
        key: odd.key.clone(),
        entry: Some(odd.clone()),
    };
    let late = Answer::Changes {
        changes: vec![change],
        at: odd.revision,
    };
    let changes = site.nodes[0].directory.handle_extra(now, now, late);
    assert_eq!(changes, []);
}

/// Guards against a late write of a node that was replaced, which the successor's record
/// must survive although the write refutes a higher incarnation.
#[test]
fn successor_outlives_a_late_refutation() {
    let old = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), old.clone()]);
    site.put(key("b"), with(&old, |peer| peer.incarnation.0 += 1 << 57));
    site.run(Span::from_secs(1));
    let late = site.stored("b").expect("a record").value;
    let new = peer("b", TODAY + 1, 7002);
    site.nodes.truncate(1);
    site.add(new.clone());
    site.run(Span::from_secs(2));
    site.put(key("b"), late);
    site.run(Span::from_secs(3));
    assert_eq!(site.nodes[0].view.get("b"), Some(&new));
}

/// Guards against a node that drains and replaces the record of its successor.
#[test]
fn leaving_node_replaces_nothing() {
    let old = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), old.clone()]);
    let mut leaving = old.clone();
    leaving.status = Status::Leaving;
    let now = site.now;
    site.nodes[1].directory.announce(now, leaving);
    site.run(Span::from_secs(1));
    let new = peer("b", TODAY + 1, 7002);
    site.add(new.clone());
    site.run(Span::from_secs(2));
    let before = site.writes();
    site.run(Span::from_secs(30));
    assert_eq!(site.nodes[0].view.get("b"), Some(&new));
    // Three nodes renew their leases every two seconds.
    assert!(
        site.writes() - before <= 3 * 16,
        "{}",
        site.writes() - before
    );
}

/// Guards against two nodes of one name that replace each other's records forever.
#[test]
fn the_later_of_two_nodes_of_one_name_wins() {
    let old = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), old]);
    let new = peer("b", TODAY + 1, 7003);
    site.add(new.clone());
    site.run(Span::from_secs(30));
    assert_eq!(site.nodes[0].view.get("b"), Some(&new));
    let before = site.writes();
    site.run(Span::from_secs(300));
    assert_eq!(site.nodes[0].view.get("b"), Some(&new));
    // Three nodes renew their leases every two seconds.
    assert!(
        site.writes() - before <= 3 * 151,
        "{}",
        site.writes() - before
    );
}

/// Guards against a writer that makes a node write as often as itself.
#[test]
fn repairs_of_a_record_are_rare() {
    let good = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), good]);
    let before = site.writes();
    let mut others = 0;
    for _ in 0..240 {
        site.put(key("b"), "{}".to_owned());
        others += 1;
        site.run(Span::from_ms(250));
    }
    let own = site.writes() - before - others;
    // Two nodes renew their leases 31 times; delays between repairs double up to 20 s.
    assert!(own <= 2 * 31 + 10, "{own}");
    assert!(site.nodes[0].view.contains_key("b"));
}

/// Guards against a node that is taken for gone because another writer repeats a record
/// that names an address where no node lives.
#[test]
fn a_repeated_record_of_nobody_is_replaced() {
    let good = peer("b", TODAY, 7002);
    let mut site = Site::new(&[peer("a", TODAY, 7001), good.clone()]);
    let odd = with(&good, |peer| {
        peer.incarnation.0 += 1;
        peer.link.set_port(9);
        peer.datagram.set_port(9);
    });
    for round in 1..=5 {
        site.put(key("b"), odd.clone());
        site.run(Span::from_secs(120));
        assert_eq!(site.nodes[0].view.get("b"), Some(&good), "write {round}");
    }
}

/// A write below the prefix of the members: the key's name and the value.
fn odd_write() -> impl Strategy<Value = (String, String)> {
    let name = proptest::sample::select(vec!["a", "b", "c", "raw-1", "raw/2", ""]);
    let mutated = (any::<proptest::sample::Index>(), any::<char>()).prop_map(|(index, by)| {
        let mut chars: Vec<_> = text(&peer("b", TODAY, 7002)).chars().collect();
        let index = index.index(chars.len());
        chars[index] = by;
        chars.into_iter().collect::<String>()
    });
    let ahead = (any::<u64>(), proptest::sample::select(vec!["a", "b", "c"]))
        .prop_map(|(incarnation, name)| text(&peer(name, incarnation, 7002)));
    (
        name.prop_map(str::to_owned),
        prop_oneof![mutated, ahead, ".{0,40}"],
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(64),
        ..ProptestConfig::default()
    })]

    /// Guards against any entries of another writer after which members are missing or wrong.
    #[test]
    fn members_are_known_among_any_entries(
        odd in proptest::collection::vec(odd_write(), 1..8),
    ) {
        let good = [
            peer("a", TODAY, 7001),
            peer("b", TODAY + 1, 7002),
            peer("c", TODAY + 2, 7003),
        ];
        let mut site = Site::new(&good);
        for (name, value) in odd {
            site.put(key(&name), value);
            site.run(Span::from_ms(400));
        }
        site.run(Span::from_secs(25));
        for (number, node) in site.nodes.iter().enumerate() {
            for other in good.iter().filter(|other| **other != good[number]) {
                prop_assert_eq!(node.view.get(other.instance.as_str()), Some(other));
            }
        }
    }
}
