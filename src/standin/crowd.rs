//! One real node among many members that are only played.
//!
//! What depends on the size of the fleet is measured on one node's real
//! decisions, fed what the other members would send it: probes, answers,
//! exchanges, gossip of the day's restarts and of configuration changes, and,
//! to a watcher, the confirmations of its domain. A second real node holds the
//! others' common table and documents and answers exchanges and pulls.
//!
//! Every datagram is written, authenticated and read as it is on the network,
//! and counted with the tag and the headers of IP and UDP.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use hmac::{
    Hmac,
    KeyInit,
    Mac, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use sha2::Sha256;

use crate::{
    adoption,
    clock::{
        Span,
        Time, //
    },
    document::Document,
    frame::Frame,
    freshness::ConfigStatus,
    id,
    member::{
        self,
        Card,
        Kind,
        Peer,
        Status,
        Update, //
    },
    message::Message,
    node::{
        Action,
        Core,
        Event,
        Identity, //
    },
    store,
};

/// Bytes that a datagram carries beside the message: tag, UDP and IP.
pub const OVERHEAD: usize = 16 + 8 + 20;
/// Time between two ticks of the node.
const TICK_INTERVAL: Span = Span::from_ms(10);
/// One way to any other member.
const ONE_WAY_DELAY: Span = Span::from_ms(5);
/// How often gossip of one change reaches a node, per decimal digit of the
/// fleet: as often as each node sends it.
const GOSSIP_COPIES_PER_DIGIT: u32 = 4;
/// Probes of one member a second, and exchanges that reach it a second.
const PROBES_PER_S: f64 = 2.0;
const EXCHANGES_PER_S: f64 = 0.1;

/// The size of a fleet and what happens in it.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Members.
    pub members: usize,
    /// Failure domains.
    pub domains: usize,
    /// Pools.
    pub pools: usize,
    /// Restarts, replacements and failures a day.
    pub restarts: f64,
    /// Configuration changes a day.
    pub changes: f64,
    /// Whether the measured node is a watcher of its domain.
    pub watcher: bool,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Datagrams out.
    pub sent: u64,
    /// Datagrams in.
    pub received: u64,
    /// Bytes out, with all headers.
    pub sent_bytes: u64,
    /// Bytes in, with all headers.
    pub received_bytes: u64,
    /// The largest datagram, without headers.
    pub largest: usize,
    /// Frames over links.
    pub frames: u64,
    /// Their bytes.
    pub frame_bytes: u64,
    /// Calls to the store.
    pub calls: u64,
    /// Processor time of the decisions, coding and authentication.
    pub busy: Duration,
    /// Virtual time of the run.
    pub time: Span,
    /// Versions that were adopted.
    pub adopted: u64,
}

enum What {
    In(SocketAddr, Message),
    Store(u64, store::Answer),
}

/// The node, and the rest.
pub struct Crowd {
    size: Size,
    now: Time,
    core: Core,
    me: SocketAddr,
    /// Holds what all others know.
    rest: Core,
    peers: Vec<Peer>,
    home: Vec<usize>,
    revisions: Vec<u32>,
    version: u64,
    document: Document,
    queue: Vec<(Time, What)>,
    rng: ChaCha8Rng,
    /// What it cost so far.
    pub cost: Cost,
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a plain name")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number >> 8) as u8, number as u8, 1], 7000))
}

fn peer(number: usize, size: Size) -> Peer {
    Peer {
        instance: name(&format!("instance-{number:04}")),
        domain: name(&format!("region-zone-{}", number % size.domains)),
        pool: name(&format!("service-{}", number % size.pools)),
        link: address(number),
        datagram: address(number),
        incarnation: id::Incarnation(0x1234_5678_9abc_0000 + number as u64),
        status: Status::Alive,
        ready: true,
    }
}

fn update(peer: &Peer, revision: u32) -> Update {
    Update {
        instance: peer.instance.clone(),
        incarnation: peer.incarnation,
        revision,
        status: peer.status,
        card: (peer.status != Status::Dead).then(|| Card {
            domain: peer.domain.clone(),
            pool: peer.pool.clone(),
            link: peer.link,
            datagram: peer.datagram,
            ready: peer.ready.then_some(u8::MAX),
        }),
    }
}

fn sign(bytes: &[u8]) -> [u8; 16] {
    let mut mac = Hmac::<Sha256>::new_from_slice(b"fleet secret").expect("any length will do");
    mac.update(bytes);
    let full = mac.finalize().into_bytes();
    full[..16].try_into().expect("sixteen of its bytes")
}

impl Crowd {
    /// Builds the node and lets it learn all members by datagrams.
    pub fn new(size: Size, document: Document) -> Self {
        let peers: Vec<Peer> = (0..size.members).map(|n| peer(n, size)).collect();
        let own = Self::choose(&peers, size);
        let identity = |number: usize| Identity {
            peer: peers[number].clone(),
            seed: number as u64,
        };
        let other = (own + 1) % size.members;
        let home = (0..size.members).filter(|n| *n != own);
        let home = home.filter(|n| peers[*n].domain == peers[own].domain);
        let mut crowd = Self {
            size,
            now: Time::from_ms(1_000_000),
            core: Core::new(identity(own)),
            me: peers[own].datagram,
            rest: Core::new(identity(other)),
            home: home.collect(),
            revisions: vec![1; size.members],
            version: document.version.0,
            document,
            peers,
            queue: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
            cost: Cost::default(),
        };
        crowd.acquaint();
        crowd
    }

    /// A node that is a watcher, or one that is not.
    fn choose(peers: &[Peer], size: Size) -> usize {
        let domain = &peers[0].domain;
        let home = || peers.iter().filter(|peer| peer.domain == *domain);
        let ranked =
            member::rank_by_rendezvous(home(), crate::node::WATCHER_AND_SEED_SALT, usize::MAX);
        let place = match size.watcher {
            true => 0,
            false => ranked.len() - 1,
        };
        let chosen = &ranked[place].instance;
        let number = peers.iter().position(|peer| peer.instance == *chosen);
        number.unwrap_or(0)
    }

    fn acquaint(&mut self) {
        let updates: Vec<_> = self.peers.iter().map(|peer| update(peer, 1)).collect();
        for page in updates.chunks(10) {
            let message = self.member(Kind::Page, page.to_vec());
            self.deliver(self.peers[0].datagram, message.clone());
            let mut out = Vec::new();
            let event = Event::Datagram(self.me, message);
            self.rest.on(self.now, event, &mut out);
        }
        let document = self.document.clone();
        let mut out = Vec::new();
        self.core
            .offer_document(self.now, document.clone(), &mut out);
        self.rest.offer_document(self.now, document, &mut out);
    }

    /// Runs for a length of time; forgets what the time before it cost.
    pub fn run(&mut self, span: Span) -> Cost {
        self.cost = Cost::default();
        let until = self.now + span;
        while self.now < until {
            self.now += TICK_INTERVAL;
            self.others();
            let due: Vec<_> = self
                .queue
                .extract_if(.., |(at, _)| *at <= self.now)
                .collect();
            for (_, what) in due {
                match what {
                    What::In(from, message) => self.deliver(from, message),
                    What::Store(number, answer) => self.event(Event::StoreAnswer(number, answer)),
                }
            }
            self.event(Event::Tick);
        }
        self.cost.time = span;
        self.cost.adopted = self.core.snapshot().version.0;
        self.cost
    }

    /// Hands the node the news that all members of one domain are suspected,
    /// as fast as the others' gossip carries it.
    pub fn lose_domain(&mut self) {
        let domain = self.peers[self.home[0]].domain.clone();
        let lost: Vec<_> = (0..self.size.members)
            .filter(|n| self.peers[*n].domain != domain)
            .filter(|n| n % self.size.domains == (self.home[0] + 1) % self.size.domains)
            .collect();
        for (place, number) in lost.iter().enumerate() {
            let suspect = Update {
                status: Status::Suspect,
                card: None,
                ..update(&self.peers[*number], self.revisions[*number])
            };
            let at = self.now + Span::from_ms(place as u64 * 80);
            let message = self.member(Kind::Gossip, vec![suspect]);
            let from = self.anyone();
            self.queue.push((at, What::In(from, message)));
        }
    }

    /// What the other members send in one tick.
    fn others(&mut self) {
        let tick = TICK_INTERVAL.as_secs_f64();
        if self.rng.random_bool(PROBES_PER_S * tick) {
            let number = self.rng.random();
            let own = self.core.identity();
            let tag = member::incarnation_tag(&own.instance, own.incarnation);
            let message = self.member(Kind::Ping { number, tag }, Vec::new());
            self.arrive(message);
        }
        if self.rng.random_bool(EXCHANGES_PER_S * tick) {
            let buckets = member::digest(self.rest.members()).into();
            let message = self.member(Kind::Digest { buckets }, Vec::new());
            self.arrive(message);
        }
        if self.rng.random_bool(self.size.restarts / 86_400.0 * tick) {
            self.restart();
        }
        if self.rng.random_bool(self.size.changes / 86_400.0 * tick) {
            self.change();
        }
        if self.size.watcher {
            let steady = self.home.len() as f64 / 15.0 * tick;
            if self.rng.random_bool(steady.min(1.0)) {
                self.confirmation(Span::ZERO);
            }
        }
    }

    /// One member leaves and comes back in a new life: four changes.
    fn restart(&mut self) {
        let number = self.rng.random_range(0..self.size.members);
        if self.peers[number].datagram == self.me {
            return;
        }
        for (step, status) in [Status::Leaving, Status::Dead, Status::Alive, Status::Alive]
            .into_iter()
            .enumerate()
        {
            let peer = &mut self.peers[number];
            peer.status = status;
            peer.ready = step == 3;
            if step == 2 {
                peer.incarnation.0 += 1 << 16;
                self.revisions[number] = 0;
            }
            self.revisions[number] += 1;
            let update = update(&self.peers[number], self.revisions[number]);
            self.rumour(Span::from_secs(step as u64 * 2), vec![update]);
        }
    }

    /// One accepted change of the configuration.
    fn change(&mut self) {
        self.version += 1;
        self.document = changed(&self.document, self.version);
        let document = self.document.clone();
        self.rest
            .offer_document(self.now, document, &mut Vec::new());
        self.rumour(Span::ZERO, Vec::new());
        let have = id::Version(self.version - 1);
        let from = self.peers[self.home[0]].instance.clone();
        let pull = Message::Adoption(adoption::Message::Pull { from, have });
        let at = self.now + Span::from_ms(300);
        let asker = self.peers[self.home[0]].datagram;
        self.queue.push((at, What::In(asker, pull)));
        if self.size.watcher {
            for _ in 0..3 * self.home.len() {
                self.confirmation(Span::from_secs(2));
            }
        }
    }

    fn confirmation(&mut self, within: Span) {
        let member = self.home[self.rng.random_range(0..self.home.len())];
        let message = Message::Adoption(adoption::Message::Confirm {
            from: self.peers[member].instance.clone(),
            version: id::Version(self.version),
        });
        let wait = self.rng.random_range(0..=within.as_ms());
        let at = self.now + Span::from_ms(wait);
        self.queue
            .push((at, What::In(self.peers[member].datagram, message)));
    }

    /// Gossip that reaches the node as often as each node sends it.
    fn rumour(&mut self, after: Span, updates: Vec<Update>) {
        let digits = self.size.members.ilog10() + 1;
        for _ in 0..GOSSIP_COPIES_PER_DIGIT * digits {
            let wait = after + Span::from_ms(self.rng.random_range(0..1500));
            let message = self.member(Kind::Gossip, updates.clone());
            let from = self.anyone();
            self.queue.push((self.now + wait, What::In(from, message)));
        }
        let message = self.member(Kind::Gossip, updates);
        let event = Event::Datagram(self.me, message);
        self.rest.on(self.now, event, &mut Vec::new());
    }

    fn member(&mut self, kind: Kind, updates: Vec<Update>) -> Message {
        let domains = (0..self.size.domains).flat_map(|n| [0, n as u8, 5]);
        let with = matches!(kind, Kind::Ping { .. } | Kind::Ack { .. });
        let domains: Vec<u8> = domains.filter(|_| with).collect();
        let news = ConfigStatus {
            version: id::Version(self.version),
            age: Some(20),
            domains: domains.into(),
        };
        Message::Member(member::Message {
            kind,
            news,
            updates,
        })
    }

    fn anyone(&mut self) -> SocketAddr {
        let other = match self.rng.random_bool(2.0 / 3.0) && !self.home.is_empty() {
            true => self.home[self.rng.random_range(0..self.home.len())],
            false => self.rng.random_range(0..self.size.members),
        };
        self.peers[other].datagram
    }

    fn arrive(&mut self, message: Message) {
        let from = self.anyone();
        self.queue.push((self.now, What::In(from, message)));
    }

    /// A datagram comes in: its bytes are checked and read.
    fn deliver(&mut self, from: SocketAddr, message: Message) {
        let bytes = message.encode().expect("a message of this program");
        self.cost.received += 1;
        self.cost.received_bytes += (bytes.len() + OVERHEAD) as u64;
        let begun = Instant::now();
        let tag = sign(&bytes);
        let message = Message::decode(&bytes).expect("a message of this program");
        self.cost.busy += begun.elapsed();
        assert_ne!(tag, [0; 16]);
        self.event(Event::Datagram(from, message));
    }

    fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        let begun = Instant::now();
        self.core.on(self.now, event, &mut out);
        self.cost.busy += begun.elapsed();
        out.into_iter().for_each(|action| self.act(action));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Datagram(to, message) => {
                let begun = Instant::now();
                let bytes = message.encode().expect("a message of this program");
                let tag = sign(&bytes);
                self.cost.busy += begun.elapsed();
                assert_ne!(tag, [0; 16]);
                self.cost.sent += 1;
                self.cost.sent_bytes += (bytes.len() + OVERHEAD) as u64;
                self.cost.largest = self.cost.largest.max(bytes.len());
                self.answer(to, message);
            }
            Action::Frame(_, frame @ Frame::Control(_)) => {
                self.cost.frames += 1;
                let bytes = frame.encode().expect("a frame of this program");
                self.cost.frame_bytes += bytes.len() as u64;
                if let Frame::Control(message) = frame {
                    self.answer(self.me, *message);
                }
            }
            Action::Store(number, call) => {
                self.cost.calls += 1;
                self.store(number, call);
            }
            _ => {}
        }
    }

    /// What the others say to a datagram.
    fn answer(&mut self, to: SocketAddr, message: Message) {
        let back = match message {
            Message::Member(member::Message {
                kind: Kind::Ping { number, tag },
                ..
            }) => vec![self.member(Kind::Ack { number, tag }, Vec::new())],
            Message::Member(member::Message {
                kind: Kind::Digest { .. } | Kind::Differ { .. } | Kind::Want { .. },
                ..
            })
            | Message::Adoption(adoption::Message::Pull { .. }) => self.consult(message),
            _ => Vec::new(),
        };
        for message in back {
            self.queue.push((
                self.now + ONE_WAY_DELAY + ONE_WAY_DELAY,
                What::In(to, message),
            ));
        }
    }

    /// What the node of all others answers.
    fn consult(&mut self, message: Message) -> Vec<Message> {
        let mut out = Vec::new();
        let event = Event::Datagram(self.me, message);
        self.rest.on(self.now, event, &mut out);
        let mine = |action| match action {
            Action::Datagram(to, message) if to == self.me => Some(message),
            Action::Frame(_, Frame::Control(message)) => Some(*message),
            _ => None,
        };
        out.into_iter().filter_map(mine).collect()
    }

    fn store(&mut self, number: u64, call: store::Call) {
        let (after, answer) = match call {
            store::Call::Watch { wait, .. } => (wait, store::Answer::Quiet),
            store::Call::List { .. } => (ONE_WAY_DELAY, store::Answer::Values(Vec::new())),
            store::Call::Grant { ttl } => {
                let lease = id::Lease(1);
                (ONE_WAY_DELAY, store::Answer::Leased { lease, ttl })
            }
            store::Call::Renew { lease } => {
                let ttl = Span::from_secs(120);
                (ONE_WAY_DELAY, store::Answer::Leased { lease, ttl })
            }
            store::Call::Swap { .. } => (ONE_WAY_DELAY, store::Answer::Swapped(id::Revision(1))),
            _ => (ONE_WAY_DELAY, store::Answer::Quiet),
        };
        self.queue
            .push((self.now + after, What::Store(number, answer)));
    }
}

/// The next version: a key is withdrawn, or granted when none is left.
fn changed(document: &Document, version: u64) -> Document {
    let mut next = document.clone();
    next.version = id::Version(version);
    next.change = id::Change(version.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let keys = &mut next.teams.keys;
    let place = version as usize % keys.len().max(1);
    let mut key = keys.remove(place);
    key.name = name(&format!("granted-{version}"));
    keys.push(key);
    next
}
