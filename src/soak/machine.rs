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
    path::PathBuf,
    process::{
        Child,
        Command,
        Stdio, //
    },
    rc::Rc,
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
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
const STORE_PORT: u16 = 7400;
const CALLER_PORT: u16 = 7100;
const ANNOUNCEMENT_PORT: u16 = 7101;
const READY_PORT: u16 = 7102;
const SERVER_PORT: u16 = 7200;
/// How often a process is looked after.
const SUPERVISION_INTERVAL: Span = Span::from_ms(20);
/// How long a readiness check may take.
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

/// One machine.
pub(super) struct Machine {
    pub(super) number: usize,
    pub(super) identity: Identity,
    pub(super) addresses: Addresses,
    pub(super) link_relay: Rc<Relay>,
    pub(super) store_relay: Rc<Relay>,
    pub(super) server: Server,
    process: Process,
    /// When the machine was disrupted, until when.
    disruptions: RefCell<Vec<(Time, Time)>>,
    /// The same of its connections to the store.
    store_disruptions: RefCell<Vec<(Time, Time)>>,
}

/// The process of a node.
struct Process {
    command: RefCell<Command>,
    settings: PathBuf,
    child: RefCell<Option<Child>>,
    /// Whether the process was told to end, so that its end is no fault.
    told_to_end: Cell<bool>,
    /// When it is killed, if it still runs then.
    kill_at: Cell<Time>,
    /// When it may be started.
    start_at: Cell<Time>,
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
        std::fs::write(&settings, dialect.settings(&addresses, &identity))?;
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
            process: Process {
                command: RefCell::new(command),
                settings,
                child: RefCell::default(),
                told_to_end: Cell::new(false),
                kill_at: Cell::new(Time::NEVER),
                start_at: Cell::new(Time::ZERO),
            },
            disruptions: RefCell::default(),
            store_disruptions: RefCell::default(),
        })
    }

    /// Starts the relays of the machine.
    pub(super) async fn relay(&self) -> Result<()> {
        self.link_relay.start(self.addresses.links).await?;
        self.store_relay.start(self.addresses.real_store).await
    }

    /// Records that the machine is disrupted for some time from now on.
    pub(super) fn disrupt(&self, span: Span) {
        let now = Clock.now();
        self.disruptions.borrow_mut().push((now, now + span));
    }

    /// Records that the machine cannot use the store for some time from now on.
    pub(super) fn disrupt_store(&self, span: Span) {
        let now = Clock.now();
        self.store_disruptions.borrow_mut().push((now, now + span));
    }

    /// Whether the machine was undisturbed all the time, and some time before.
    pub(super) fn is_calm(&self, from: Time, to: Time) -> bool {
        let store_disruptions = self.store_disruptions.borrow();
        self.is_calm_but_for_store(from, to) && !judge::overlaps(&store_disruptions, from, to)
    }

    /// The same, whatever became of its connections to the store.
    pub(super) fn is_calm_but_for_store(&self, from: Time, to: Time) -> bool {
        let disruptions = self.disruptions.borrow();
        !judge::overlaps(&disruptions, from, to)
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.process.child.borrow() {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Kills the process, which starts again after some time.
    pub(super) fn kill(&self, down: Span) {
        self.process.told_to_end.set(true);
        self.process.start_at.set(Clock.now() + down);
        self.disrupt(down);
        self.signal(Signal::KILL);
    }

    /// Tells the process to end, and starts it again some time after the grace period
    /// at most.
    pub(super) fn terminate(&self, grace: Span, down: Span) {
        let now = Clock.now();
        self.process.told_to_end.set(true);
        self.process.start_at.set(now + down);
        self.process.kill_at.set(now + grace);
        self.disrupt(grace);
        self.signal(Signal::TERM);
        self.signal(Signal::CONT);
    }

    /// Changes the settings file in a way that changes nothing, and signals it.
    pub(super) fn hang_up(&self) -> Result<()> {
        let mut text = std::fs::read_to_string(&self.process.settings)?;
        text.push_str("\n// changed\n");
        std::fs::write(&self.process.settings, text)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Ends the process for good.
    pub(super) fn end(&self) {
        self.process.told_to_end.set(true);
        self.process.start_at.set(Time::NEVER);
        if let Some(mut child) = self.process.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
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

impl Process {
    /// Starts and ends the process as it is due. Returns why it ended, if by itself.
    fn look_after(&self) -> Result<Option<String>> {
        let mut child = self.child.borrow_mut();
        if let Some(running) = child.as_mut() {
            if Clock.now() >= self.kill_at.get() {
                let _ = running.kill();
            }
            let Some(status) = running.try_wait()? else {
                return Ok(None);
            };
            *child = None;
            self.kill_at.set(Time::NEVER);
            if !self.told_to_end.replace(false) {
                return Ok(Some(status.to_string()));
            }
        }
        if Clock.now() >= self.start_at.get() {
            self.told_to_end.set(false);
            self.kill_at.set(Time::NEVER);
            *child = Some(self.command.borrow_mut().spawn()?);
            self.start_at.set(Time::ZERO);
        }
        Ok(None)
    }
}

/// Keeps the process of a machine running.
pub(super) async fn supervise(world: Rc<World>, number: usize) {
    let machine = &world.machines[number];
    loop {
        let name = &machine.identity.name;
        match machine.process.look_after() {
            Ok(None) => {}
            Ok(Some(status)) => {
                let case = format!("{name} ended by itself: {status}");
                world.record().break_rule(Rule::Ended, case);
            }
            Err(error) => {
                let case = format!("{name} cannot be started: {error}");
                return world.record().break_rule(Rule::Ended, case);
            }
        }
        pause(SUPERVISION_INTERVAL).await;
    }
}
