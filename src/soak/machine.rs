//! One machine: a node as a process of its own, and the server beside it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    fs::OpenOptions,
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    process::{
        Command,
        Stdio, //
    },
    rc::Rc,
};

use rustix::process::Signal;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use super::{
    Dialect,
    Options,
    World,
    config::SERVICES,
    judge,
    pause,
    process::Process,
    record::Rule,
    relay::Relay,
    server::Server,
    within, //
};
use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
};

/// Failure domains, which the machines take in turn.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// The third byte of the addresses of nodes, link relays, servers, and store relays.
const NODES: u8 = 0;
const LINK_RELAYS: u8 = 1;
const SERVERS: u8 = 2;
const STORE_RELAYS: u8 = 3;
/// The same of the store.
pub(super) const STORE_HOST: u8 = 4;
/// The same of the address that is held for as long as a soak uses the network.
const LOCK: u8 = 255;
const LOCK_PORT: u16 = 7999;
const LINK_PORT: u16 = 7000;
const OPERATOR_PORT: u16 = 7001;
const STORE_PORT: u16 = 7400;
const CALLER_PORT: u16 = 7100;
const ANNOUNCEMENT_PORT: u16 = 7101;
const READY_PORT: u16 = 7102;
const SERVER_PORT: u16 = 7200;
/// How often a process is looked after.
const SUPERVISION_INTERVAL: Span = Span::from_ms(20);
/// Interval of the readiness checks, and how long one may take.
const READY_CHECK_INTERVAL: Span = Span::from_ms(250);
const READY_CHECK_TIMEOUT: Span = Span::from_ms(500);

/// The loopback addresses of one soak.
pub(super) struct Network {
    second: u8,
    _lock: TcpListener,
}

impl Network {
    /// Finds addresses that no other soak uses.
    pub(super) fn find() -> Result<Self> {
        for second in 1..=254 {
            let address = Ipv4Addr::new(127, second, LOCK, 1);
            if let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) {
                return Ok(Self {
                    second,
                    _lock: lock,
                });
            }
        }
        Err(Error::new(Code::Io, "all loopback networks are in use"))
    }

    pub(super) fn address(&self, group: u8, number: usize) -> SocketAddr {
        let number = u8::try_from(number + 1).unwrap_or(u8::MAX);
        let port = match group {
            STORE_HOST | STORE_RELAYS => STORE_PORT,
            SERVERS => SERVER_PORT,
            _ => LINK_PORT,
        };
        SocketAddr::from(([127, self.second, group, number], port))
    }
}

/// The addresses of a machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    pub(crate) node: Ipv4Addr,
    pub(crate) callers: SocketAddr,
    pub(crate) links: SocketAddr,
    pub(crate) announcements: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(super) operators: SocketAddr,
    pub(crate) server: SocketAddr,
    /// The store, through the machine's relay.
    pub(crate) store: SocketAddr,
    pub(super) real_store: SocketAddr,
}

impl Addresses {
    fn new(network: &Network, number: usize) -> Self {
        let links = network.address(NODES, number);
        let with_port = |port| SocketAddr::new(links.ip(), port);
        let SocketAddr::V4(v4) = links else {
            unreachable!("loopback addresses of IPv4")
        };
        Self {
            node: *v4.ip(),
            callers: with_port(CALLER_PORT),
            links,
            announcements: with_port(ANNOUNCEMENT_PORT),
            ready: with_port(READY_PORT),
            operators: with_port(OPERATOR_PORT),
            server: network.address(SERVERS, number),
            store: network.address(STORE_RELAYS, number),
            real_store: network.address(STORE_HOST, 0),
        }
    }
}

/// The names of a machine.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) name: String,
    pub(crate) domain: &'static str,
    pub(crate) service: &'static str,
}

/// What a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Ready,
    Draining,
    /// It has left.
    Gone,
}

/// One announcement of a server.
#[derive(Debug)]
pub(crate) struct Announcement<'a> {
    pub(crate) id: &'a str,
    pub(crate) identity: &'a Identity,
    pub(crate) server: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) state: State,
    pub(crate) sequence: u64,
    pub(crate) born: u64,
}

/// Spans of time, in the order of their begin.
#[derive(Default)]
pub(super) struct Spans(RefCell<Vec<(Time, Time)>>);

impl Spans {
    /// Adds a span from now on, and returns its number.
    pub(super) fn begin(&self, length: Span) -> usize {
        let now = Clock.now();
        let mut spans = self.0.borrow_mut();
        spans.push((now, now + length));
        spans.len() - 1
    }

    /// Ends a span now, if it was to last longer.
    pub(super) fn end(&self, number: usize) {
        if let Some((_, end)) = self.0.borrow_mut().get_mut(number) {
            *end = Clock.now().min(*end);
        }
    }

    /// Whether one lies between two times, or shortly before them.
    fn overlap(&self, from: Time, to: Time) -> bool {
        judge::overlaps(&self.0.borrow(), from, to)
    }
}

/// One machine.
pub(super) struct Machine {
    pub(super) number: usize,
    pub(super) identity: Identity,
    pub(super) addresses: Addresses,
    pub(super) link_relay: Rc<Relay>,
    pub(super) store_relay: Rc<Relay>,
    pub(super) server: Server,
    pub(super) process: Process,
    /// Whether a fault plays with the start of the process.
    is_changing: Cell<bool>,
    /// When the machine was disrupted.
    pub(super) disruptions: Spans,
    /// When its connections to the store were.
    pub(super) store_disruptions: Spans,
    /// When its process was told to end.
    pub(super) shutdowns: Spans,
    /// When a fault was played at the machine or its server.
    pub(super) ailments: Spans,
    /// Answers to whether the node is ready, each with the time of the question.
    pub(super) readiness: RefCell<Vec<(Time, bool)>>,
}

impl Machine {
    pub(super) fn new(
        number: usize,
        network: &Network,
        options: &Options,
        dialect: &dyn Dialect,
    ) -> Result<Self> {
        let addresses = Addresses::new(network, number);
        let service = SERVICES[number % SERVICES.len()];
        let domain = DOMAINS[number / SERVICES.len() % DOMAINS.len()];
        let identity = Identity {
            name: format!("{service}-{domain}-{number}"),
            domain,
            service,
        };
        let settings = options.folder.join(format!("{}.jsonc", identity.name));
        let text = dialect.settings(&addresses, &identity);
        let log = options.folder.join(format!("{}.log", identity.name));
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(&options.programs[number % options.programs.len()]);
        command
            .args(dialect.arguments())
            .env(dialect.settings_variable(), &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        Ok(Self {
            number,
            server: Server::new(number, addresses.server, service),
            identity,
            link_relay: Relay::new(network.address(LINK_RELAYS, number)),
            store_relay: Relay::new(addresses.store),
            addresses,
            process: Process::new(command, settings, text)?,
            is_changing: Cell::new(false),
            disruptions: Spans::default(),
            store_disruptions: Spans::default(),
            shutdowns: Spans::default(),
            ailments: Spans::default(),
            readiness: RefCell::default(),
        })
    }

    /// Starts the relays of the machine.
    pub(super) async fn relay(&self) -> Result<()> {
        self.link_relay.start(self.addresses.links).await?;
        self.store_relay.start(self.addresses.real_store).await
    }

    /// Whether the machine was undisturbed all the time, and some time before.
    pub(super) fn is_calm(&self, from: Time, to: Time) -> bool {
        self.is_calm_but_for_store(from, to) && !self.store_disruptions.overlap(from, to)
    }

    /// The same, whatever became of its connections to the store.
    pub(super) fn is_calm_but_for_store(&self, from: Time, to: Time) -> bool {
        !self.disruptions.overlap(from, to) && !self.shutdowns.overlap(from, to)
    }

    /// The same, though it may have been told to end.
    pub(super) fn is_calm_but_for_shutdown(&self, from: Time, to: Time) -> bool {
        !self.disruptions.overlap(from, to) && !self.store_disruptions.overlap(from, to)
    }

    /// Whether neither the machine nor its server had a fault all the time.
    pub(super) fn is_well(&self, from: Time, to: Time) -> bool {
        self.is_calm(from, to) && !self.ailments.overlap(from, to)
    }

    /// Kills the process, which starts again after some time.
    pub(super) fn kill(&self, down: Span) {
        self.disruptions.begin(down);
        self.process.kill(Clock.now() + down);
    }

    /// Tells the process to end, and starts it again some time after the grace period
    /// at most.
    pub(super) fn terminate(&self, grace: Span, down: Span) {
        self.shutdowns.begin(grace);
        self.process.terminate(grace, Clock.now() + down);
    }

    /// Changes the settings file in a way that changes nothing, and signals it.
    pub(super) fn hang_up(&self) -> Result<()> {
        self.process.touch()?;
        self.process.signal(Signal::HUP);
        Ok(())
    }

    /// Claims the right to play with the start of the process. Returns whether no other
    /// fault has it.
    pub(super) fn begin_change(&self) -> bool {
        !self.is_changing.replace(true)
    }

    pub(super) fn end_change(&self) {
        self.is_changing.set(false);
    }

    pub(super) async fn is_ready(&self, path: &str) -> bool {
        let request = format!("GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n");
        let answer = async {
            let mut stream = TcpStream::connect(self.addresses.ready).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).await.ok()?;
            Some(head.ends_with(b" 200"))
        };
        within(READY_CHECK_TIMEOUT, answer).await.flatten() == Some(true)
    }
}

/// Asks the node of a machine again and again whether it is ready.
pub(super) async fn watch(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    loop {
        let asked = Clock.now();
        let is_ready = machine.is_ready(world.dialect.ready_path()).await;
        machine.readiness.borrow_mut().push((asked, is_ready));
        pause(READY_CHECK_INTERVAL).await;
    }
}

/// Keeps the process of a machine running.
pub(super) async fn supervise(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    loop {
        let name = &machine.identity.name;
        machine.process.measure();
        match machine.process.look_after() {
            Ok(ends) => {
                for status in ends {
                    let case = format!("{name} ended by itself: {status}");
                    world.record().break_rule(Rule::Ended, case);
                }
            }
            Err(error) => {
                let case = format!("{name} cannot be started: {error}");
                return world.record().break_rule(Rule::Ended, case);
            }
        }
        pause(SUPERVISION_INTERVAL).await;
    }
}
