//! Datagrams, frames and lists that another writer has spoilt: each costs itself
//! alone.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use bluebellswitch::{
    backpressure::Hint,
    clock::{
        Span,
        Time, //
    },
    contact::{
        Contact,
        Limits, //
    },
    feed::{
        News,
        Reason,
        Subscriber,
        Topic, //
    },
    frame::Frame,
    freshness::{
        ConfigStatus,
        Freshness, //
    },
    id::{
        Domain,
        Incarnation,
        Instance,
        Upstream,
        Version, //
    },
    lease,
    member::{
        self,
        Agent,
        Card,
        Kind,
        Peer,
        Status,
        Table,
        Update, //
    },
    message::{
        DATAGRAM_LIMIT,
        Message, //
    },
    quota::bank,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_bytes::ByteBuf;

const NOW: Time = Time::from_ms(100_000);
const LIFE: Incarnation = Incarnation(7);

fn name(number: u8) -> Instance {
    format!("i-{number}").parse().expect("a name")
}

fn address(number: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], port))
}

fn domain() -> Domain {
    "a".parse().expect("a name")
}

fn peer(number: u8) -> Peer {
    Peer {
        instance: name(number),
        domain: domain(),
        pool: "mill".parse().expect("a name"),
        link: address(number, 8000),
        datagram: address(number, 7000),
        incarnation: LIFE,
        status: Status::Alive,
        ready: true,
    }
}

fn update(number: u8, revision: u32, port: u16) -> Update {
    Update {
        instance: name(number),
        incarnation: LIFE,
        revision,
        status: Status::Alive,
        card: Some(Card {
            domain: domain(),
            pool: "mill".parse().expect("a name"),
            link: address(number, port),
            datagram: address(number, 7000),
            ready: Some(5),
        }),
    }
}

/// A node that knows four others.
struct Node {
    agent: Agent,
    table: Table,
    rng: ChaCha8Rng,
}

impl Node {
    fn new() -> Self {
        let mut node = Self {
            agent: Agent::new(name(0)),
            table: Table::default(),
            rng: ChaCha8Rng::seed_from_u64(1),
        };
        (0..5).for_each(|number| node.table.insert(peer(number)));
        node.agent.announce(NOW, &peer(0), &mut node.table);
        node
    }

    fn receive(&mut self, kind: Kind, updates: Vec<Update>) -> Vec<member::Outgoing> {
        let mut out = Vec::new();
        let message = member::Message {
            kind,
            news: ConfigStatus::default(),
            updates,
        };
        let Self { agent, table, rng } = self;
        agent.handle_message(NOW, address(1, 7000), message, table, rng, &mut out);
        out
    }

    fn alive(&self) -> usize {
        let alive = |peer: &&Peer| peer.status == Status::Alive;
        self.table.iter().filter(alive).count()
    }
}

/// Guards against a node that cannot refute that it is dead, as no revision is higher.
#[test]
fn a_revision_that_nothing_follows_is_ignored() {
    let mut node = Node::new();
    let mut odd = update(0, u32::MAX, 8000);
    odd.status = Status::Dead;
    let told = update(2, 9, 8100);
    node.receive(Kind::Gossip, vec![odd, told]);
    assert_eq!(node.agent.take_refused_records(), 1);
    assert_eq!(node.alive(), 5);
    // What else came in the datagram counts.
    let link = node.table.get(&name(2)).map(|peer| peer.link);
    assert_eq!(link, Some(address(2, 8100)));
    // The node still refutes.
    let mut lie = update(0, 40, 8000);
    lie.status = Status::Suspect;
    node.receive(Kind::Gossip, vec![lie]);
    let own = node.table.update_for(NOW, &name(0)).expect("a record");
    assert_eq!((own.status, own.revision), (Status::Alive, 41));
}

/// Guards against a member that no node can connect to because a record names port 0.
#[test]
fn a_record_without_a_port_replaces_none() {
    let mut node = Node::new();
    node.receive(Kind::Page, vec![update(2, 9, 0), update(9, 1, 0)]);
    let link = node.table.get(&name(2)).map(|peer| peer.link);
    assert_eq!(link, Some(address(2, 8000)));
    assert_eq!(node.table.get(&name(9)), None);
}

/// Guards against a node that finds no member because a list that others write to has
/// filled its seeds, or grows without a bound.
#[test]
fn listed_seeds_do_not_hide_those_of_the_settings() {
    let mut node = Node::new();
    node.table = Table::default();
    node.table.insert(peer(0));
    node.agent.add_seeds([address(1, 7000)]);
    let odd = (0..20_000_u16).map(|number| SocketAddr::from(([10, 9, 9, 9], number)));
    node.agent.add_listed_seeds(odd);
    let mut asked = std::collections::BTreeSet::new();
    let mut now = NOW;
    for _ in 0..400 {
        now += Span::from_secs(2);
        let mut out = Vec::new();
        node.agent
            .tick(now, &mut node.table, &mut node.rng, &mut out);
        asked.extend(out.into_iter().map(|outgoing| outgoing.to));
    }
    assert!(asked.contains(&address(1, 7000)));
    assert!(asked.len() <= 200, "{}", asked.len());
    assert!(asked.iter().all(|address| address.port() != 0));
}

/// Guards against probes that no longer fit a datagram, at every node that heard of
/// the domains in a spoilt one.
#[test]
fn hashes_of_unknown_domains_do_not_fill_the_probes() {
    let mut freshness = Freshness::default();
    let version = Version(1);
    let own = domain();
    for round in 0..4_u16 {
        let mut domains = Vec::new();
        for hash in 0..450_u16 {
            domains.extend((round * 450 + hash).to_be_bytes());
            domains.push(0);
        }
        let odd = ConfigStatus {
            version,
            age: None,
            domains: ByteBuf::from(domains),
        };
        freshness.record_status(NOW, &own, &odd, version);
    }
    let later = NOW + Span::from_secs(1);
    freshness.record_status(later, &own, &ConfigStatus::default(), version);
    let news = freshness.status(later, version, true);
    let probe = Message::Member(member::Message {
        kind: Kind::Ping { number: 1, tag: 1 },
        news: news.clone(),
        updates: vec![update(0, 1, 8000), update(1, 1, 8000)],
    });
    let length = probe.encode().expect("bytes").len();
    assert!(length <= DATAGRAM_LIMIT, "{length}");
    // The domain heard of last is among those passed on.
    assert_eq!(news.domains.get(2), Some(&0));
    let much_later = later + Span::from_secs(60);
    freshness.record_status(much_later, &own, &ConfigStatus::default(), version);
    assert_eq!(freshness.status(much_later, version, true).domains.len(), 3);
}

/// Guards against a node that drops what it knows, and asks the same watcher again,
/// after an answer that no watcher gives.
fn no_answer(answer: &str) {
    let mut subscriber = Subscriber::default();
    let limits = Limits::within(Span::from_secs(2));
    let contact = Contact::new(limits);
    subscriber.request(Topic::Members, None);
    let question = subscriber.next_question(NOW, &name(0), &name(1), &contact);
    assert!(question.is_some());
    let news: News =
        serde_json::from_str(&format!(r#"{{"answer":{answer},"age":"0ms"}}"#)).expect("news");
    let news = BTreeMap::from([(Topic::Members, news)]);
    let updates = subscriber.handle_reply(NOW, 1, Span::ZERO, news, Span::from_secs(2));
    assert_eq!(updates, []);
    let reasons: Vec<_> = subscriber.take_abandoned();
    assert_eq!(
        reasons.first().map(|left| left.reason),
        Some(Reason::NoData)
    );
}

cases! { no_answer:
    watcher_answers_with_a_write => (r#"{"Swapped":5}"#),
    watcher_answers_with_a_lease => (r#"{"Leased":{"lease":1,"ttl":"5s"}}"#),
    watcher_answers_that_a_lease_expired => (r#""Expired""#),
    watcher_answers_with_values => (r#"{"Values":[]}"#),
}

/// Guards against bytes at which a decoder reserves what they claim, or recurses until
/// the stack ends.
fn refused(bytes: &[u8]) {
    Frame::decode(bytes).expect_err("a frame");
    Message::decode(&bytes[..bytes.len().min(DATAGRAM_LIMIT)]).expect_err("a message");
}

/// A map with one name, and these bytes as its value.
fn named(name: &str, bytes: &[u8]) -> Vec<u8> {
    let mut text = vec![0xa1, 0x60 + name.len() as u8];
    text.extend(name.as_bytes());
    text.extend(bytes);
    text
}

cases! { refused:
    no_bytes => (&[]),
    array_of_all_there_is => (&[0x9b, 255, 255, 255, 255, 255, 255, 255, 255]),
    text_of_all_there_is => (&[0x7b, 255, 255, 255, 255, 255, 255, 255, 255]),
    bytes_of_all_there_is => (&named("Control", &[0x5b, 255, 255, 255, 255, 255, 255, 255, 255])),
    map_of_all_there_is => (&named("Member", &[0xbb, 127, 255, 255, 255, 255, 255, 255, 255])),
    deep_arrays => (&[0x81; 4 << 20]),
    deep_arrays_in_a_message => (&named("Member", &[0x81; 1300])),
    deep_maps => (&[0xa1; 100_000]),
    deep_tags => (&[0xc1; 100_000]),
    endless_arrays => (&[0x9f; 100_000]),
    endless_texts => (&[0x7f; 100_000]),
}

/// One good message of each kind that nodes exchange in datagrams.
fn messages() -> Vec<Message> {
    let gossip = |kind, updates| {
        Message::Member(member::Message {
            kind,
            news: ConfigStatus {
                version: Version(3),
                age: Some(4),
                domains: ByteBuf::from(vec![1, 2, 3]),
            },
            updates,
        })
    };
    let team: bluebellswitch::id::Team = "mills".parse().expect("a name");
    let node = lease::NodeLife {
        instance: name(1),
        life: LIFE,
    };
    vec![
        gossip(
            Kind::Ping { number: 1, tag: 2 },
            vec![update(1, 2, 8000), update(2, 2, 8000)],
        ),
        gossip(
            Kind::Digest {
                buckets: ByteBuf::from(vec![7; 256]),
            },
            Vec::new(),
        ),
        gossip(
            Kind::Differ {
                mask: 5,
                entries: ByteBuf::from(vec![9; 64]),
            },
            Vec::new(),
        ),
        gossip(
            Kind::Want {
                hashes: ByteBuf::from(vec![9; 64]),
            },
            Vec::new(),
        ),
        gossip(
            Kind::Via {
                number: 1,
                tag: 2,
                target: address(3, 7000),
            },
            vec![update(3, 1, 8000)],
        ),
        Message::Lease(lease::Message::Extend(lease::Extend {
            owner: node,
            sequence: 3,
            state: lease::State::Bound,
            short_left: Span::from_secs(4),
            long_left: Span::from_secs(400),
            echoed_clock: Some(9),
            seats: vec![(lease::Seat("quota/3".into()), lease::Epoch(4))],
        })),
        Message::Bank(bank::Message::Lend {
            team: team.clone(),
            number: 3,
            reply: bank::LendReply::default(),
        }),
        Message::Bank(bank::Message::Deposit(vec![(team, 400)])),
    ]
}

/// Changes of some bytes of a message.
fn changes() -> impl Strategy<Value = Vec<(usize, u8)>> {
    proptest::collection::vec((any::<usize>(), any::<u8>()), 0..8)
}

fn mutated(mut bytes: Vec<u8>, changes: &[(usize, u8)]) -> Vec<u8> {
    for (at, with) in changes {
        let at = at % bytes.len();
        bytes[at] = *with;
    }
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(65),
        ..ProptestConfig::default()
    })]

    /// Guards against bytes from the network that end the process.
    #[test]
    fn arbitrary_bytes_end_no_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let _ = Frame::decode(&bytes);
        let _ = Message::decode(&bytes);
    }

    /// Guards against a spoilt datagram that ends the process, and against one after
    /// which a good one is not heard.
    #[test]
    fn spoilt_datagrams_cost_themselves_alone(
        spoilt in proptest::collection::vec((any::<usize>(), changes()), 1..12),
    ) {
        let good = messages();
        let mut node = Node::new();
        for (which, changes) in spoilt {
            let bytes = good[which % good.len()].encode().expect("bytes");
            let Ok(read) = Message::decode(&mutated(bytes, &changes)) else { continue };
            read.encode().expect("what was read can be written");
            if let Message::Member(message) = read {
                node.receive(message.kind, message.updates);
            }
        }
        // A spoilt record may be a readable one of a member; later ones of its own win.
        for number in 1..5 {
            node.receive(Kind::Gossip, vec![Update {
                incarnation: Incarnation(LIFE.0 + 1),
                ..update(number, 1, 8000)
            }]);
        }
        for number in 0..5 {
            prop_assert!(node.table.get(&name(number)).is_some());
        }
    }

    /// Guards against a spoilt frame that ends the process.
    #[test]
    fn spoilt_frames_end_no_decoder(which in any::<usize>(), changes in changes()) {
        let mut frames: Vec<Frame> = messages().into_iter().map(Box::new).map(Frame::Control).collect();
        frames.push(Frame::Hint(Hint {
            upstream: Upstream(3),
            limit: Some("5/s".parse().expect("a rate")),
            leaving: true,
        }));
        let bytes = frames[which % frames.len()].encode().expect("bytes");
        let _ = Frame::decode(&mutated(bytes, &changes));
    }
}
