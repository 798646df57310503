//! Records and messages about seats that another writer has spoilt: none ends a
//! process, keeps a node from other seats, or gives a seat a second owner.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Incarnation,
        Instance,
        Lease,
        Revision, //
    },
    lease::{
        Action,
        Epoch,
        Extend,
        Message,
        NodeLife,
        Seat,
        SeatManager,
        State, //
    },
    member::Table,
    store::{
        Answer,
        Call,
        Entry, //
    },
};
use proptest::prelude::*;

const START: Time = Time::from_ms(100_000);
const TICK: Span = Span::from_ms(50);
const LIFE: Incarnation = Incarnation(7);

fn name(text: &str) -> Instance {
    text.parse().expect("a name")
}

fn seat(text: &str) -> Seat {
    Seat(text.to_owned())
}

/// One node's seats, against a store of which only it is a client.
struct Site {
    manager: SeatManager,
    now: Time,
    values: BTreeMap<String, (String, Revision)>,
    revision: u64,
    /// The duration with which leases are granted, if not as requested.
    ttl: Option<Span>,
    grants: usize,
    written: BTreeSet<String>,
    swaps: usize,
}

impl Site {
    fn new() -> Self {
        Self {
            manager: SeatManager::new(name("me"), LIFE, 3),
            now: START,
            values: BTreeMap::new(),
            revision: 10,
            ttl: None,
            grants: 0,
            written: BTreeSet::new(),
            swaps: 0,
        }
    }

    fn put(&mut self, key: &str, value: &str) {
        self.revision += 1;
        let entry = (value.to_owned(), Revision(self.revision));
        self.values.insert(key.to_owned(), entry);
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let (value, revision) = self.values.get(key)?;
        Some(Entry {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        })
    }

    fn answer(&mut self, call: Call) -> Answer {
        match call {
            Call::Get { key } => Answer::Value(self.entry(&key)),
            Call::Swap {
                key, expect, value, ..
            } => {
                self.swaps += 1;
                let revision = self.entry(&key).map_or(Revision(0), |entry| entry.revision);
                if revision != expect {
                    return Answer::Conflict(self.entry(&key));
                }
                self.put(&key, &value.unwrap_or_default());
                self.written.insert(key);
                Answer::Swapped(Revision(self.revision))
            }
            Call::Grant { ttl } => {
                self.grants += 1;
                Answer::Leased {
                    lease: Lease(self.grants as u64),
                    ttl: self.ttl.unwrap_or(ttl),
                }
            }
            Call::Renew { lease } => Answer::Leased {
                lease,
                ttl: self.ttl.unwrap_or(Span::from_secs(15)),
            },
            _ => Answer::Quiet,
        }
    }

    fn run(&mut self, span: Span, wanted: &[Seat]) {
        let members = Table::default();
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            let mut out = Vec::new();
            self.manager.tick(self.now, &members, wanted, &[], &mut out);
            while let Some(action) = out.pop() {
                if let Action::Store(number, call) = action {
                    let answer = self.answer(call);
                    self.manager.answer(self.now, number, answer, &mut out);
                }
            }
        }
    }

    fn holds(&self, text: &str) -> bool {
        self.manager.ownership(self.now, &seat(text)).is_some()
    }
}

fn record(epoch: &str) -> String {
    format!(r#"{{"owner":{{"instance":"gone","life":3}},"epoch":{epoch},"claim":1}}"#)
}

/// Guards against a node that ends, or takes a seat under a number that wraps, at a
/// record that it cannot follow. The owner that the record hides may still hold the
/// seat, so nobody replaces the record.
fn left_alone(record: &str) {
    let mut site = Site::new();
    site.put("right/seat/odd", record);
    site.put("right/seat/gone", &self::record("4"));
    site.run(
        Span::from_secs(60),
        &[seat("odd"), seat("gone"), seat("new")],
    );
    assert!(!site.written.contains("right/seat/odd"));
    assert!(!site.holds("odd"));
    assert!(site.holds("gone") && site.holds("new"));
}

cases! { left_alone:
    epoch_that_nothing_follows => (&record("18446744073709551615")),
    epoch_that_one_follows => (&record("18446744073709551614")),
    highest_epoch => (&record(&Epoch::MAX.0.to_string())),
    epoch_above_64_bits => (&record("36893488147419103232")),
    epoch_out_of_range => (&record("1e400")),
    negative_epoch => (&record("-1")),
    deep_epoch => (&record(&format!("{}{}", "[".repeat(5000), "]".repeat(5000)))),
    empty_record => (""),
    null_record => ("null"),
}

/// Guards against a node that requests a lease at each tick because each ends at once.
#[test]
fn a_lease_without_a_duration_is_requested_rarely() {
    let mut site = Site::new();
    site.ttl = Some(Span::ZERO);
    site.run(Span::from_secs(20), &[seat("a")]);
    assert!((1..=6).contains(&site.grants), "{}", site.grants);
    assert!(!site.holds("a"));
    site.ttl = None;
    site.run(Span::from_secs(20), &[seat("a")]);
    assert!(site.holds("a"));
}

/// Guards against a node that holds a seat for as long as an odd answer says.
#[test]
fn a_lease_lasts_no_longer_than_requested() {
    let mut site = Site::new();
    site.ttl = Some(Span::MAX);
    site.run(Span::from_secs(5), &[seat("a")]);
    let right = site.manager.ownership(site.now, &seat("a"));
    let right = right.expect("a right");
    assert!(right.until <= site.now + Span::from_secs(15));
}

/// Guards against a node that owns nothing, or writes at each tick, because another
/// writer has put something in place of its own records.
fn replaced(key: &str, value: &str) {
    let mut site = Site::new();
    site.put(key, value);
    site.run(Span::from_secs(10), &[seat("a")]);
    assert!(site.holds("a"));
    assert!(site.written.contains(key));
    let stored = site.entry(key).map(|entry| entry.value);
    assert_ne!(stored.as_deref(), Some(value));
    assert!(site.swaps <= 12, "{} swaps", site.swaps);
}

const ALIVE: &str = "right/alive/me/0000000000000007";
const NODE: &str = "right/node/me/0000000000000007";

cases! { replaced:
    odd_liveness_record => (ALIVE, "[[[["),
    empty_liveness_record => (ALIVE, ""),
    liveness_record_with_another_lease => (ALIVE, "18446744073709551615"),
    odd_node_record => (NODE, "[[[["),
    node_record_with_a_lease_out_of_range => (NODE, r#"{"successor":null,"lease":1e400}"#),
    node_record_with_another_lease => (NODE, r#"{"successor":"x","lease":77}"#),
}

fn extend(sequence: u64, state: State, echoed: Option<u64>, epoch: u64) -> Message {
    Message::Extend(Extend {
        owner: NodeLife {
            instance: name("owner"),
            life: LIFE,
        },
        sequence,
        state,
        short_left: Span::ZERO,
        long_left: Span::from_secs(600),
        echoed_clock: echoed,
        seats: vec![(seat("a"), Epoch(epoch))],
    })
}

/// Guards against a successor that ends, or holds a seat forever, after a message with
/// a clock reading that it never sent or an epoch that nothing follows.
fn taken_over(echoed: u64, epoch: u64, expected: bool) {
    let mut site = Site::new();
    let mut out = Vec::new();
    let messages = [
        extend(1, State::Normal, None, epoch),
        extend(2, State::Frozen, Some(echoed), epoch),
    ];
    for message in messages {
        site.manager.message(site.now, message, &mut out);
    }
    site.now += Span::from_secs(3);
    site.manager
        .tick(site.now, &Table::default(), &[], &[], &mut out);
    assert_eq!(site.holds("a"), expected);
}

cases! { taken_over:
    takeover_of_a_sane_owner => (START.as_ms(), 4, true),
    takeover_with_a_clock_of_the_future => (u64::MAX, 4, false),
    takeover_with_a_clock_of_tomorrow => (START.as_ms() + 86_400_000, 4, false),
    takeover_with_an_epoch_that_nothing_follows => (START.as_ms(), u64::MAX, false),
}

/// Guards against epochs that are believed in a message though nothing follows them.
#[test]
fn an_epoch_that_nothing_follows_is_not_read() {
    for number in [Epoch::MAX.0 + 1, u64::MAX] {
        let mut bytes = Vec::new();
        ciborium::into_writer(&number, &mut bytes).expect("bytes");
        ciborium::from_reader::<Epoch, _>(&bytes[..]).expect_err("refused");
        serde_json::from_str::<Epoch>(&number.to_string()).expect_err("refused");
    }
    assert!(!Epoch(4).directly_follows(Epoch(u64::MAX)));
    assert!(Epoch(u64::MAX).directly_follows(Epoch(u64::MAX - 1)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(66),
        ..ProptestConfig::default()
    })]

    /// Guards against records of arbitrary text that keep a node from the seats whose
    /// records are sane.
    #[test]
    fn odd_seat_records_cost_their_seats_alone(
        records in proptest::collection::vec(
            prop_oneof![
                any::<String>(),
                any::<u64>().prop_map(|epoch| record(&epoch.to_string())),
                (any::<usize>(), any::<char>()).prop_map(|(at, with)| {
                    let mut text: Vec<char> = record("4").chars().collect();
                    let at = at % text.len();
                    text[at] = with;
                    text.into_iter().collect()
                }),
            ],
            1..8,
        ),
    ) {
        let mut site = Site::new();
        let mut wanted = vec![seat("gone"), seat("new")];
        for (number, record) in records.iter().enumerate() {
            site.put(&format!("right/seat/{number}"), record);
            wanted.push(seat(&number.to_string()));
        }
        site.put("right/seat/gone", &record("4"));
        site.run(Span::from_secs(20), &wanted);
        prop_assert!(site.holds("gone") && site.holds("new"));
    }
}
