//! Several nodes in one process and in virtual time.
//!
//! The driver hands the real [`Core`]s their events from one queue: frames,
//! datagrams, answers of the store, ends of upstream work, ticks. It models no
//! machines and no networks beyond delay, loss and cuts. What truly happened is
//! written to a [`Ledger`].

mod cold;
mod need;
mod net;
mod work;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        BinaryHeap,
        VecDeque, //
    },
    net::SocketAddr,
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

pub use self::cold::Frailty;
use super::{
    keyvalue::Map,
    ledger::{
        End,
        Flow,
        Ledger, //
    },
    promise::Promise,
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    document,
    error::Result,
    frame::{
        Frame,
        Head, //
    },
    id,
    member::{
        Peer,
        Status, //
    },
    message::Message,
    node::{
        Action,
        Core,
        Event,
        Identity, //
    },
    store, //
};

const TICK_INTERVAL: Span = Span::from_ms(10);
const CONNECT_TIMEOUT: Span = Span::from_ms(20);
const ABORT_DELAY: Span = Span::from_ms(1);
/// The secret part of every key of the sites.
const SECRET: &[u8] = b"secret";
const STORE_TIMEOUT: Span = Span::from_secs(1);

/// What the upstreams of one pool do with a request.
#[derive(Clone, Debug)]
pub struct Service {
    /// The pool.
    pub pool: id::Pool,
    /// Instances in each failure domain, by the domains' order.
    pub instances: Vec<usize>,
    /// Requests that one upstream truly runs at a time; more wait inside.
    pub slots: usize,
    /// Mean time of work of its own, which varies by half.
    pub work: Span,
    /// Methods and paths of nested calls: stages, each with calls at once.
    pub nested: Vec<Vec<(&'static str, &'static str)>>,
}

/// Delays and faults of the network.
#[derive(Clone, Debug)]
pub struct Net {
    /// One way within a failure domain.
    pub near: Span,
    /// One way between failure domains.
    pub far: Span,
    /// Up to this much is added to every delay.
    pub jitter: Span,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub double: f64,
    /// The share of frames in flight that arrive although their link was cut.
    pub cross: f64,
    /// The share of answers that arrive and are not passed on to their callers.
    pub undelivered: f64,
    /// Whether a cut link is noticed only after two seconds.
    pub silent: bool,
}

/// How a store call fares.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weather {
    /// No call reaches the store.
    pub out: bool,
    /// Time that each call takes more.
    pub slow: Span,
    /// The share of answers that are lost after the call took effect.
    pub lost: f64,
    /// Calls that wait for changes hear nothing, and are not answered when their wait is
    /// over.
    pub deaf: bool,
    /// Listed values that the store sends per millisecond to all nodes together; zero:
    /// no limit.
    pub listed_per_ms: f64,
}

/// A hook that prepares each core, also after a restart.
pub type Prepare = Box<dyn Fn(&mut Core)>;

/// What a run begins with.
pub struct Setup {
    /// The seed of all chance.
    pub seed: u64,
    /// The names of the failure domains.
    pub domains: Vec<&'static str>,
    /// The pools' upstreams.
    pub services: Vec<Service>,
    /// The configuration that every node begins with; none: from the store.
    pub snapshot: Option<document::Shared>,
    /// Whether every node begins with a table of all members.
    pub acquainted: bool,
    /// The network.
    pub net: Net,
    /// Whether every message is searched for keys; it takes time.
    pub spy: bool,
    /// Prepares each core.
    pub prepare: Prepare,
}

#[derive(Debug)]
struct Work {
    job: usize,
    begun: Time,
    stage: usize,
    pending: usize,
    status: u16,
}

/// One upstream, with its true state.
#[derive(Debug)]
pub struct Upstream {
    service: usize,
    active: BTreeMap<id::Request, Work>,
    waiting: VecDeque<(id::Request, usize)>,
    /// Factor on its time of work.
    pub slow: f64,
    /// Whether it answers every request at once with status 500.
    pub failing: bool,
    /// Whether it refuses connections.
    pub refusing: bool,
    cold: cold::Cold,
    need: need::Need,
}

struct Node {
    identity: Identity,
    core: Option<Core>,
    life: u64,
    paused: Time,
    upstream: Upstream,
    tokens: BTreeMap<id::Request, id::Token>,
    senders: BTreeMap<id::Request, id::Instance>,
    teams: BTreeMap<id::Request, id::Team>,
    status: BTreeMap<id::Request, u16>,
    version: id::Version,
}

#[derive(Debug)]
enum What {
    Node(usize, u64, Box<Event>),
    Frame {
        from: usize,
        to: usize,
        epoch: u64,
        frame: Box<Frame>,
    },
    Datagram {
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
    },
    Ask {
        node: usize,
        life: u64,
        number: u64,
        call: store::Call,
    },
    Quiet {
        node: usize,
        life: u64,
        number: u64,
    },
    Served {
        node: usize,
        request: id::Request,
    },
    Arrive {
        flow: usize,
    },
    Try {
        item: usize,
    },
    Impatient {
        job: usize,
    },
    Rise(usize),
    Tick(usize),
}

/// Nodes, callers, upstreams and the store, with one clock.
pub struct Driver {
    setup: Setup,
    now: Time,
    order: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, What>,
    nodes: Vec<Node>,
    epochs: BTreeMap<(usize, usize), u64>,
    cuts: BTreeSet<(usize, usize)>,
    last: BTreeMap<(usize, usize), Time>,
    watches: Vec<(usize, u64, u64, store::Call)>,
    /// Until when the store's link is busy with listings.
    listed_until: Time,
    flows: Vec<Flow>,
    rng: ChaCha8Rng,
    /// The store.
    pub store: Map,
    /// The store's faults.
    pub weather: Weather,
    /// Nodes whose calls do not reach the store, whatever its weather.
    pub unreached: BTreeSet<usize>,
    /// Calls that did not reach the store.
    pub lost_calls: u64,
    /// What truly happened.
    pub ledger: Ledger,
    /// The path of requests that end the upstream which runs them.
    pub fatal: Option<&'static str>,
    /// A promise that the driver breaks, to show that it would be seen.
    pub plant: Option<Promise>,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Driver {
    /// Builds all nodes, each with its upstream announced.
    pub fn new(setup: Setup) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut driver = Self {
            now: Time::from_ms(1_000_000),
            order: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            nodes: Vec::new(),
            epochs: BTreeMap::new(),
            cuts: BTreeSet::new(),
            last: BTreeMap::new(),
            watches: Vec::new(),
            listed_until: Time::ZERO,
            flows: Vec::new(),
            store: Map::default(),
            weather: Weather::default(),
            unreached: BTreeSet::new(),
            lost_calls: 0,
            ledger: Ledger::default(),
            fatal: None,
            plant: None,
            rng,
            setup,
        };
        for service in 0..driver.setup.services.len() {
            let spread = driver.setup.services[service].instances.clone();
            for (domain, count) in spread.into_iter().enumerate() {
                (0..count).for_each(|_| driver.add(service, domain));
            }
        }
        (0..driver.nodes.len()).for_each(|node| driver.boot(node));
        driver
    }

    fn add(&mut self, service: usize, domain: usize) {
        let number = self.nodes.len();
        let address = SocketAddr::from(([10, 0, domain as u8, number as u8], 7000));
        let name = |text: &str| text.parse().expect("a plain name");
        let peer = Peer {
            instance: name(&format!("n{number}")),
            domain: self.setup.domains[domain].parse().expect("a plain name"),
            pool: self.setup.services[service].pool.clone(),
            link: address,
            datagram: address,
            incarnation: id::Incarnation((number as u64 + 1) << 32 | 1),
            status: Status::Alive,
            ready: true,
        };
        let upstream = Upstream {
            service,
            active: BTreeMap::new(),
            waiting: VecDeque::new(),
            slow: 1.0,
            failing: false,
            refusing: false,
            cold: cold::Cold::default(),
            need: need::Need::default(),
        };
        self.nodes.push(Node {
            identity: Identity { peer, seed: 0 },
            core: None,
            life: 0,
            paused: Time::ZERO,
            upstream,
            tokens: BTreeMap::new(),
            senders: BTreeMap::new(),
            teams: BTreeMap::new(),
            status: BTreeMap::new(),
            version: id::Version::default(),
        });
    }

    fn boot(&mut self, number: usize) {
        let everyone: Vec<Peer> = self
            .nodes
            .iter()
            .map(|node| node.identity.peer.clone())
            .collect();
        let seed = self.rng.random();
        self.ledger.leaving.remove(&number);
        let node = &mut self.nodes[number];
        node.life += 1;
        node.version = id::Version::default();
        node.identity.seed = seed;
        let life = (number as u64 + 1) << 32 | node.life;
        node.identity.peer.incarnation = id::Incarnation(life);
        let mut core = Core::new(node.identity.clone());
        if self.setup.acquainted {
            for peer in everyone
                .into_iter()
                .filter(|p| p.instance != node.identity.peer.instance)
            {
                core.members().insert(peer);
            }
        }
        if let Some(snapshot) = &self.setup.snapshot {
            core.adopt(snapshot.clone());
        }
        (self.setup.prepare)(&mut core);
        node.core = Some(core);
        let (life, upstream) = (node.life, node.upstream.id(number));
        for event in [Event::UpstreamStarted(upstream), Event::UpstreamReady(true)] {
            self.push(self.now, What::Node(number, life, Box::new(event)));
        }
        let first = self.now + Span::from_ms(number as u64 % TICK_INTERVAL.as_ms());
        self.push(first, What::Tick(number));
    }

    fn push(&mut self, at: Time, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.events.insert(self.order, what);
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.now
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The numbers of the nodes beside a pool's upstreams.
    pub fn pool(&self, pool: &str) -> Vec<usize> {
        let of = |node: &Node| node.identity.peer.pool.as_str() == pool;
        (0..self.nodes.len())
            .filter(|number| of(&self.nodes[*number]))
            .collect()
    }

    /// The numbers of the nodes in a failure domain.
    pub fn domain(&self, domain: &str) -> Vec<usize> {
        let of = |node: &Node| node.identity.peer.domain.as_str() == domain;
        (0..self.nodes.len())
            .filter(|number| of(&self.nodes[*number]))
            .collect()
    }

    /// A node's decisions, while it lives.
    pub fn core(&mut self, node: usize) -> Option<&mut Core> {
        self.nodes[node].core.as_mut()
    }

    /// Puts a configuration in force in every node that began with one.
    pub fn adopt(&mut self, snapshot: &document::Snapshot) {
        let shared = document::Shared::new(snapshot.clone());
        self.nodes
            .iter_mut()
            .filter_map(|n| n.core.as_mut())
            .for_each(|c| c.adopt(shared.clone()));
        self.setup.snapshot = Some(shared);
    }

    /// Writes a configuration to the store, as an operator's command does.
    ///
    /// # Errors
    ///
    /// When the document is larger than the store takes.
    pub fn publish(&mut self, document: &document::Document) -> Result<()> {
        let key = String::from(document::KEY);
        let expect = match self
            .store
            .on(self.now, &store::Call::Get { key: key.clone() })
        {
            Some(store::Answer::Value(Some(entry))) => entry.revision,
            _ => id::Revision(0),
        };
        let value = Some(document.encode()?);
        let lease = None;
        self.store.on(
            self.now,
            &store::Call::Swap {
                key,
                expect,
                value,
                lease,
                unless: None,
            },
        );
        self.notify();
        Ok(())
    }

    /// Ends a node's process. Its upstream loses its connections.
    pub fn kill(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        node.core = None;
        node.life += 1;
        node.upstream.active.clear();
        node.upstream.waiting.clear();
        node.senders.clear();
        (0..self.nodes.len())
            .filter(|b| *b != number)
            .for_each(|b| self.sever(number, b));
        for job in 0..self.ledger.jobs.len() {
            if self.ledger.jobs[job].node == number && self.ledger.jobs[job].end.is_none() {
                self.end(job, End::Gone);
            }
        }
    }

    /// Starts a killed node again, under its old name and address.
    pub fn restart(&mut self, number: usize) {
        if self.nodes[number].core.is_none() {
            self.boot(number);
        }
    }

    /// Stops a node's time for a while. Its upstream goes on.
    pub fn pause(&mut self, number: usize, span: Span) {
        self.nodes[number].paused = self.now + span;
    }

    /// Carries out what a node's decisions added outside of an event.
    pub fn perform(&mut self, node: usize, actions: Vec<Action>) {
        actions
            .into_iter()
            .for_each(|action| self.act(node, action));
    }

    /// Tells a node to finish what runs.
    pub fn drain(&mut self, number: usize) {
        self.ledger.leaving.insert(number, self.now);
        match self.plant {
            Some(Promise::Leaving) => {}
            Some(Promise::Stop) => self.act(number, Action::Stop),
            _ => {
                let life = self.nodes[number].life;
                let drain = Event::Drain(Span::MAX);
                self.push(self.now, What::Node(number, life, Box::new(drain)));
            }
        }
    }

    /// Does what the plant of a fault asks for, as an attempt is sent.
    fn planted(&mut self, node: usize, peer: &id::Instance, frame: &Frame) {
        let mut wrong = frame.clone();
        let Frame::Attempt { request, head, .. } = &mut wrong else {
            return;
        };
        match self.plant {
            Some(Promise::Once) => {
                let job = self.ledger.attempts.get(request).copied();
                request.sequence.0 += 1 << 40;
                self.ledger.attempts.extend(job.map(|job| (*request, job)));
            }
            Some(Promise::Key) => {
                let key = bytes::Bytes::from_static(SECRET);
                head.headers.push(("x-bluebellswitch-key".to_owned(), key));
            }
            _ => return,
        }
        self.send(node, peer, wrong);
    }

    /// Looks for a key in what one node sends to another.
    fn spy(&mut self, bytes: Result<Vec<u8>>) {
        let found = |bytes: Vec<u8>| bytes.windows(SECRET.len()).any(|window| window == SECRET);
        if bytes.is_ok_and(found) {
            self.ledger
                .breach(self.now, Promise::Key, "a key left its node");
        }
    }

    /// A node's version may only grow.
    fn versions(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(core) = &mut node.core else {
            return;
        };
        if self.plant == Some(Promise::Configuration) {
            let mut older = document::Snapshot::clone(core.snapshot());
            older.version.0 = older.version.0.saturating_sub(1);
            core.adopt(older.into());
        }
        let version = core.snapshot().version;
        if version < node.version {
            let text = format!("node {number} fell from {} to {version}", node.version);
            self.ledger.breach(self.now, Promise::Configuration, text);
        }
        node.version = version;
    }

    /// Runs until a point in time.
    pub fn run(&mut self, until: Time) {
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(what) = self.events.remove(&order) {
                self.step(what);
            }
        }
        self.now = until;
    }

    /// Runs for a length of time.
    pub fn run_for(&mut self, span: Span) {
        self.run(self.now + span);
    }

    fn step(&mut self, what: What) {
        match what {
            What::Node(node, life, event) if self.nodes[node].life == life => {
                self.event(node, *event);
            }
            What::Node(..) => {}
            What::Frame {
                from,
                to,
                epoch,
                frame,
            } => self.arrived(from, to, epoch, *frame),
            What::Datagram { from, to, message } => self.datagram(from, to, *message),
            What::Ask {
                node,
                life,
                number,
                call,
            } => self.asked(node, life, number, call),
            What::Quiet { node, life, number } => {
                let is_deaf = self.weather.deaf;
                let is_over = |w: &mut (usize, u64, u64, store::Call)| {
                    !is_deaf && (w.0, w.1, w.2) == (node, life, number)
                };
                let over: Vec<_> = self.watches.extract_if(.., is_over).collect();
                for (_, _, _, call) in over {
                    let (after, answer) = match self.reaches_store(node) {
                        true => (Span::ZERO, call.timed_out()),
                        false => (STORE_TIMEOUT, store::Answer::Lost),
                    };
                    let event = Event::StoreAnswer(number, answer);
                    self.push(self.now + after, What::Node(node, life, Box::new(event)));
                }
            }
            What::Served { node, request } => self.served(node, request),
            What::Arrive { flow } => self.arrive(flow),
            What::Try { item } => self.attempt(item),
            What::Impatient { job } => self.hang_up(job),
            What::Rise(node) => self.rise(node),
            What::Tick(node) => {
                if self.nodes[node].core.is_some() {
                    self.event(node, Event::Tick);
                    self.versions(node);
                    let jump = self.now.until(self.nodes[node].paused);
                    self.push(self.now + jump + TICK_INTERVAL, What::Tick(node));
                }
            }
        }
    }

    fn event(&mut self, number: usize, event: Event) {
        let node = &mut self.nodes[number];
        if node.paused > self.now {
            let (at, life) = (node.paused, node.life);
            self.push(at, What::Node(number, life, Box::new(event)));
            return;
        }
        if let Event::Frame(
            from,
            Frame::Attempt {
                request, context, ..
            },
        ) = &event
        {
            node.senders.insert(*request, from.clone());
            let foreign = self.plant == Some(Promise::Team);
            let team = if foreign { "nobody".parse().ok() } else { None };
            let team = team.unwrap_or_else(|| context.team.clone());
            node.teams.insert(*request, team);
        }
        if let Event::Frame(_, Frame::Answer { request, head, .. }) = &event {
            node.status.insert(*request, head.status);
        }
        let Some(core) = &mut node.core else {
            return;
        };
        let mut actions = Vec::new();
        core.on(self.now, event, &mut actions);
        actions
            .into_iter()
            .for_each(|action| self.act(number, action));
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send {
                call,
                request,
                peer,
                life,
                route,
                context,
                claim,
            } => {
                self.ledger.attempts.insert(request, call.0 as usize);
                let frame = Frame::Attempt {
                    request,
                    life,
                    context,
                    route,
                    claim,
                    head: Head::default(),
                };
                self.planted(node, &peer, &frame);
                self.send(node, &peer, frame);
            }
            Action::Dial(_)
            | Action::Log(_)
            | Action::RestoreDeparture(_)
            | Action::DepartureStored => {}
            Action::Ping(peer) => self.ping(node, peer),
            Action::Deliver(call, request) if self.loses_answer() => {
                self.ledger.delivered(self.now, call.0 as usize, request);
            }
            Action::Deliver(call, request) => {
                if let Some(core) = &mut self.nodes[node].core {
                    core.record_delivered(call);
                }
                let wrong = u64::from(self.plant == Some(Promise::Whole));
                let call = id::Call(call.0.saturating_sub(wrong));
                self.ledger.delivered(self.now, call.0 as usize, request);
                let status = self.nodes[node].status.remove(&request).unwrap_or(0);
                self.end(call.0 as usize, End::Status(status));
            }
            Action::Refuse(call, refusal) => {
                let lie = self.plant == Some(Promise::NotRun);
                let code = if lie { Code::Shed } else { refusal.code() };
                self.end(call.0 as usize, End::Code(code));
            }
            Action::Frame(peer, frame) => self.send(node, &peer, frame),
            Action::Start { request, token, .. } => self.start(node, request, token),
            Action::Replay(peer, request, whole) => {
                let core = self.nodes[node].core.as_mut();
                let report = core.map(|core| core.report(self.now, request));
                let frame = Frame::Answer {
                    request,
                    head: whole.head,
                    report: report.unwrap_or_default(),
                };
                self.send(node, &peer, frame);
            }
            Action::Abort(request) => self.abort(node, request),
            Action::Datagram(to, message) => self.throw(node, to, Box::new(message)),
            Action::Store(number, call) => {
                let life = self.nodes[node].life;
                let at = self.now + Span::from_ms(2) + self.weather.slow;
                self.push(
                    at,
                    What::Ask {
                        node,
                        life,
                        number,
                        call,
                    },
                );
            }
            Action::Stop => {
                let upstream = &self.nodes[node].upstream;
                let running = upstream.active.len() + upstream.waiting.len();
                self.ledger.stopped(self.now, node, running);
                self.nodes[node].core = None;
                self.nodes[node].life += 1;
            }
        }
    }
}
