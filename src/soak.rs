//! A soak: real programs as separate processes, under load and faults, with the promises
//! checked from outside.
//!
//! Nodes run as processes on loopback addresses of their own. This process plays all that
//! surrounds them: the store, the servers, the clients, and [relays](relay) on the links
//! between nodes and to the store. A seed draws the [faults](plan), which come in series
//! that overlap. What clients sent and were answered and what servers got is
//! [recorded](record) by request id and [judged](judge) at the end.
//!
//! Whatever depends on the platform's formats is behind [`Dialect`].

mod client;
pub(crate) mod config;
mod depart;
mod endless;
mod judge;
mod life;
mod machine;
mod odd;
mod plan;
mod planned;
mod process;
mod record;
mod relay;
mod server;

use std::{
    cell::{
        Cell,
        Ref,
        RefCell,
        RefMut, //
    },
    future::Future,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc, //
};

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

pub(crate) use self::{
    config::{
        Configuration,
        Kind,
        Route, //
    },
    judge::Bounds,
    machine::{
        Addresses,
        Announcement,
        Identity,
        State, //
    },
    odd::Entry,
    plan::Fault, //
};
use self::{
    machine::Machine,
    record::Record, //
};
use crate::{
    clock::{
        Clock,
        Span, //
    },
    error::{
        Error,
        Result, //
    },
    header::Names,
};

/// Time for all nodes to get ready.
const READY_TIMEOUT: Span = Span::from_secs(20);
/// Time between readiness and the first fault.
const WARM_UP: Span = Span::from_secs(2);
/// Time without new faults at the end, for what runs to end.
const COOL_DOWN: Span = Span::from_secs(4);
/// Time after that in which the nodes serve again, on top of the length of the soak.
const SETTLING: Span = Span::from_secs(8);
/// Interval of the check whether this process itself gets processor time.
const STALL_CHECK_INTERVAL: Span = Span::from_ms(20);
/// From which delay on this process counts as stalled.
const STALL_THRESHOLD: Span = Span::from_ms(80);
/// Most requests named in the summary for each rule.
const MAX_NAMED: usize = 8;

/// What speaks the platform's formats.
pub(crate) trait Dialect {
    /// The names of headers.
    fn names(&self) -> &'static Names;
    /// The bounds that hold for the fleet.
    fn bounds(&self) -> Bounds;
    /// The settings file of a machine's node.
    fn settings(&self, addresses: &Addresses, identity: &Identity) -> String;
    /// The environment variable that holds the path of the settings file.
    fn settings_variable(&self) -> &'static str;
    /// The arguments with which the program is started.
    fn arguments(&self) -> &'static [&'static str];
    /// The text of a configuration.
    fn configuration(&self, configuration: &Configuration) -> String;
    /// The target and the body of a server's announcement.
    fn announcement(&self, announcement: &Announcement<'_>) -> (String, String);
    /// The path of the readiness check.
    fn ready_path(&self) -> &'static str;
    /// Starts the store.
    fn start_store(&self, address: SocketAddr) -> Result<Rc<dyn Store>>;
}

/// The store, as its operator and its faults see it.
pub(crate) trait Store {
    /// Puts a configuration in force.
    fn configure(&self, text: &str);
    /// Replaces a node's link address by that of a relay.
    fn relay(&self, link: SocketAddr, relay: SocketAddr);
    /// Lets another writer write an entry, and returns its key. The number draws a place
    /// among the keys of nodes.
    fn write_odd(
        &self,
        identity: &Identity,
        addresses: &Addresses,
        entry: &Entry,
        number: u64,
    ) -> String;
    /// Removes an entry.
    fn remove(&self, key: &str);
    /// Sets how the store misbehaves.
    fn set(&self, mood: Mood);
}

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mood {
    Well,
    /// It answers all calls with this status.
    Refuses(u16),
    Silent,
    /// It does writes later, and answers none.
    Late(Span),
}

/// What to play.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    pub(crate) seed: u64,
    pub(crate) length: Span,
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Programs under test, which the nodes take in turn.
    pub(crate) programs: Vec<PathBuf>,
    /// The faults to play; empty for all.
    pub(crate) only: Vec<Fault>,
    /// Folder for settings, logs and the record.
    pub(crate) folder: PathBuf,
}

/// What surrounds the nodes, and all that has happened.
struct World {
    options: Options,
    dialect: Box<dyn Dialect>,
    machines: Vec<Machine>,
    store: Rc<dyn Store>,
    record: RefCell<Record>,
    configuration: RefCell<Configuration>,
    rng: RefCell<ChaCha8Rng>,
    /// Whether clients send new requests.
    open: Cell<bool>,
    last_id: Cell<u64>,
    /// Held so that no other soak uses the same addresses.
    _network: machine::Network,
}

impl World {
    fn record(&self) -> RefMut<'_, Record> {
        self.record.borrow_mut()
    }

    fn configuration(&self) -> Ref<'_, Configuration> {
        self.configuration.borrow()
    }

    fn chance(&self, share: f64) -> bool {
        self.rng.borrow_mut().random_bool(share.clamp(0.0, 1.0))
    }

    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    fn draw_span(&self, from_ms: u64, to_ms: u64) -> Span {
        Span::from_ms(self.draw(from_ms..to_ms))
    }

    /// Returns an id that no other request has.
    fn next_id(&self) -> String {
        self.last_id.set(self.last_id.get() + 1);
        format!(
            "{:06x}{:010x}",
            self.options.seed & 0xff_ffff,
            self.last_id.get()
        )
    }

    /// Puts the present configuration in force.
    fn publish(&self) {
        let text = self.dialect.configuration(&self.configuration());
        self.store.configure(&text);
    }

    /// Returns once all nodes are ready.
    async fn ready(&self) -> Result<()> {
        let until = Clock.now() + READY_TIMEOUT;
        for machine in &self.machines {
            while !machine.is_ready(self.dialect.ready_path()).await {
                if Clock.now() > until {
                    let name = &machine.identity.name;
                    return Err(Error::broken(format!("node {name} does not get ready")));
                }
                pause(Span::from_ms(50)).await;
            }
        }
        Ok(())
    }
}

/// Plays a soak and prints its summary.
///
/// # Errors
///
/// Fails if the processes cannot be started, or with one error for each broken rule.
pub(crate) async fn run(options: Options, dialect: Box<dyn Dialect>) -> Result<(), Vec<Error>> {
    let world = Rc::new(start(options, dialect).await.map_err(|error| vec![error])?);
    let played = tokio::select! {
        played = play(&world) => played,
        interrupted = interrupted() => interrupted,
    };
    for machine in &world.machines {
        machine.process.end();
    }
    played.map_err(|error| vec![error])?;
    let record = world.record();
    let saved = record.save(&world.options.folder.join("record.jsonl"));
    saved.map_err(|error| vec![error.into()])?;
    println!("{}; {}", record.summary(), memory(&world.machines));
    let findings = judge::findings(&world, &record);
    let mut errors = Vec::new();
    for (rule, cases) in findings {
        let named: Vec<_> = cases.iter().take(MAX_NAMED).map(String::as_str).collect();
        let count = cases.len();
        errors.push(Error::broken(format!(
            "seed {}: {rule} {count}: {}",
            world.options.seed,
            named.join("; ")
        )));
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(errors),
    }
}

/// Names the most memory that each process had resident.
fn memory(machines: &[Machine]) -> String {
    let of_machine = |machine: &Machine| {
        let peaks = machine.process.peaks().into_iter();
        let peaks: Vec<_> = peaks
            .map(|peak| (peak / judge::MEGABYTE).to_string())
            .collect();
        format!("{} {}", machine.identity.name, peaks.join(" "))
    };
    let machines: Vec<_> = machines.iter().map(of_machine).collect();
    format!("peak memory in MB: {}", machines.join(", "))
}

async fn start(options: Options, dialect: Box<dyn Dialect>) -> Result<World> {
    std::fs::create_dir_all(&options.folder)?;
    let network = machine::Network::find()?;
    let store_address = network.address(machine::STORE_HOST, 0);
    let store = dialect.start_store(store_address)?;
    let configuration = Configuration::first(Clock.now());
    store.configure(&dialect.configuration(&configuration));
    let mut machines = Vec::new();
    for number in 0..options.nodes {
        let machine = Machine::new(number, &network, &options, &*dialect)?;
        store.relay(machine.addresses.links, machine.link_relay.address());
        machines.push(machine);
    }
    Ok(World {
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(options.seed)),
        options,
        dialect,
        machines,
        store,
        record: RefCell::default(),
        configuration: RefCell::new(configuration),
        open: Cell::new(true),
        last_id: Cell::new(0),
        _network: network,
    })
}

async fn play(world: &Rc<World>) -> Result<()> {
    for machine in &world.machines {
        machine.relay().await?;
        machine.server.start(world, machine.number).await?;
        machine.ailments.begin(Span::ZERO);
        actix_rt::spawn(machine::supervise(world.clone(), machine.number));
        actix_rt::spawn(server::announce(world.clone(), machine.number));
    }
    world.ready().await?;
    actix_rt::spawn(watch_stalls(world.clone()));
    for machine in &world.machines {
        client::start(world, machine.number);
        actix_rt::spawn(machine::watch(world.clone(), machine.number));
    }
    pause(WARM_UP).await;
    plan::play(world).await;
    pause(COOL_DOWN + SETTLING).await;
    world.open.set(false);
    pause(client::LONGEST_DEADLINE + Span::from_ms(500)).await;
    Ok(())
}

/// Returns when this process is told to end.
async fn interrupted() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Err(Error::broken("the soak was interrupted"))
}

/// Records when this process gets no processor time, for which the nodes aren't blamed.
async fn watch_stalls(world: Rc<World>) {
    let mut last = Clock.now();
    loop {
        pause(STALL_CHECK_INTERVAL).await;
        let now = Clock.now();
        if now.since(last) > STALL_CHECK_INTERVAL + STALL_THRESHOLD {
            world.record().stalls.push((last, now));
        }
        last = now;
    }
}

async fn pause(span: Span) {
    tokio::time::sleep(span.to_std()).await;
}

/// Runs a future for a limited time.
async fn within<F: Future>(limit: Span, future: F) -> Option<F::Output> {
    tokio::time::timeout(limit.to_std(), future).await.ok()
}
