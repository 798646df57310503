//! `node`: one node, until it is told to stop.

use std::{
    cell::Cell,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc, //
};

use actix_rt::{
    System,
    SystemRunner, //
};
use bpaf::{
    Parser,
    construct,
    long, //
};
use tokio::sync::Mutex;

use super::{
    Failure,
    Job,
    Subcommand, //
};
use crate::{
    client::Client,
    clock::Span,
    error::{
        Code,
        Error,
        Result, //
    },
    interface::Interface,
    log as lines,
    node::Bounds,
    server::{
        Handle,
        Server,
        Stop, //
    },
    settings::Settings,
    start::{
        EarlyHangup,
        Hangup,
        Prepared,
        Signals,
        Starting,
        Terminate, //
    },
    store::Store,
    task::{
        Essential,
        contain, //
    },
};

/// The name of the subcommand.
pub(super) const COMMAND: &str = "node";

/// Time after which a call to the platform's service counts as lost.
const STORE_TIMEOUT: Span = Span::from_secs(2);

/// Time between two looks at the file of settings.
const RELOAD_INTERVAL: Span = Span::from_secs(2);

/// Time that a node waits for its settings and addresses, unless told otherwise.
/// Exceeds the drain time of a predecessor on the same addresses.
const START_TIMEOUT: Span = Span::from_secs(120);

/// A runtime on which the handlers of the signals are installed.
struct Runtime {
    system: SystemRunner,
    signals: Result<Signals>,
}

impl Runtime {
    fn new() -> Self {
        // SIGHUP first: only there does the default action differ from what is asked.
        let early = EarlyHangup::install();
        let system = System::new();
        let signals = system.block_on(async { Signals::install(early?) });
        Self { system, signals }
    }
}

/// The runtime of a node, if it was started before the command line was read.
#[derive(Clone, Default)]
pub(crate) struct Early(Rc<Cell<Option<Runtime>>>);

impl Early {
    /// Installs the handlers of the signals at once.
    pub(super) fn start() -> Self {
        Self(Rc::new(Cell::new(Some(Runtime::new()))))
    }

    fn take(&self) -> Runtime {
        self.0.take().unwrap_or_else(Runtime::new)
    }
}

/// Reads `node --settings FILE`.
pub(super) fn parser(runtime: Early) -> Subcommand {
    let file = long("settings")
        .help("The node's settings, in JSON with comments")
        .argument::<PathBuf>("FILE");
    let timeout = start_timeout();
    construct!(timeout, file)
        .map(move |(timeout, file)| -> Job {
            let runtime = runtime.clone();
            Box::new(move || run(file, timeout, &runtime))
        })
        .to_options()
        .descr("Run a node beside an upstream instance")
        .footer(
            "SIGTERM, SIGINT and an operator's drain stop it gracefully. It exits with 0 when \
             nothing was cut, and with 1 when the pool's drain time was over first",
        )
        .command(COMMAND)
        .boxed()
}

/// Reads `--start-timeout TIME`.
pub(crate) fn start_timeout() -> impl Parser<Span> {
    long("start-timeout")
        .help("How long to wait for valid settings and for addresses that are in use")
        .argument::<Span>("TIME")
        .fallback(START_TIMEOUT)
        .display_fallback()
}

fn run(file: PathBuf, timeout: Span, runtime: &Early) -> Result<(), Failure> {
    let start = Start {
        file,
        timeout,
        interface: Interface::own(),
        bounds: |_| Bounds::default(),
        store: |address| Rc::new(Client::new(address, STORE_TIMEOUT)) as Rc<dyn Store>,
    };
    serve_node(start, runtime)
}

/// What a node is started with.
pub(crate) struct Start {
    /// Where its settings are read from.
    pub(crate) file: PathBuf,
    /// How long it waits for its settings and addresses.
    pub(crate) timeout: Span,
    /// Its surroundings.
    pub(crate) interface: Interface,
    /// Reads the bounds that hold for the fleet.
    pub(crate) bounds: fn(&Settings) -> Bounds,
    /// Makes the client of the store.
    pub(crate) store: fn(SocketAddr) -> Rc<dyn Store>,
}

/// Runs a node until it is told to stop.
pub(crate) fn serve_node(start: Start, runtime: &Early) -> Result<(), Failure> {
    let Runtime { system, signals } = runtime.take();
    lines::init();
    let served = match signals {
        Ok(signals) => contain(|| system.block_on(serve(start, signals))),
        Err(error) => Ok(Err(error.into())),
    };
    let served = served.unwrap_or_else(|panic| {
        let reason = format!("the node panicked: {panic}");
        Err(Error::new(Code::Fault, reason).into())
    });
    if let Err(Failure(errors)) = &served {
        for error in errors {
            log::error!(code = error.number(); "the node ends: {error}");
        }
    }
    lines::flush();
    served
}

async fn serve(start: Start, signals: Signals) -> Result<(), Failure> {
    log::info!(file:% = start.file.display(); "the node starts");
    let starting = Starting::new(signals, start.file, start.timeout);
    let Some(prepared) = starting.prepare().await? else {
        log::info!("told to stop before the node served");
        return Ok(());
    };
    let Prepared {
        terminate,
        hangup,
        path,
        text,
        settings,
        sockets,
    } = prepared;
    let store = settings.platform.map(start.store);
    let bounds = (start.bounds)(&settings);
    let server = Server::start_on(sockets, settings, store, start.interface, bounds).await;
    log::info!(
        instance:% = server.peer().instance,
        callers:% = server.addresses().callers,
        links:% = server.addresses().links;
        "the node listens"
    );
    let handle = server.handle();
    let file = File {
        path,
        text,
        bounds: start.bounds,
    };
    let watched = Rc::new(Mutex::new((file, hangup)));
    let reloaded = handle.clone();
    handle.supervise(Essential::Settings, move || {
        reload(watched.clone(), reloaded.clone())
    });
    let terminate = Rc::new(Mutex::new(terminate));
    let stopped = handle.clone();
    handle.supervise(Essential::Signals, move || {
        stop(terminate.clone(), stopped.clone())
    });
    match server.wait().await {
        Stop::Clean => {
            log::info!("the node has stopped");
            Ok(())
        }
        Stop::Cut => {
            let reason = "the drain time was over before every request had ended";
            Err(Error::new(Code::Broken, reason).into())
        }
        Stop::Failed => {
            let reason = "tasks or decisions of the node panicked too often";
            Err(Error::new(Code::Fault, reason).into())
        }
    }
}

/// Drains the node whenever a signal tells it to stop.
async fn stop(terminate: Rc<Mutex<Terminate>>, handle: Handle) {
    let terminate = &mut *terminate.lock().await;
    loop {
        terminate.received().await;
        handle.drain();
        log::info!("told to stop; the node drains");
    }
}

/// The file of settings, as it was read last.
struct File {
    path: PathBuf,
    text: String,
    bounds: fn(&Settings) -> Bounds,
}

/// Looks at the settings when told to, and now and then without being told: the
/// file may change without a signal. A file that is wrong changes nothing.
async fn reload(watched: Rc<Mutex<(File, Hangup)>>, handle: Handle) {
    let (file, hangup) = &mut *watched.lock().await;
    loop {
        let _ = tokio::time::timeout(RELOAD_INTERVAL.to_std(), hangup.received()).await;
        let Ok(now) = std::fs::read_to_string(&file.path) else {
            continue;
        };
        if now == file.text {
            continue;
        }
        match Settings::parse(&now) {
            Ok(settings) => {
                let bounds = (file.bounds)(&settings);
                let later = handle.reload(settings, bounds).join(" ");
                log::info!(from_next_start = later; "the settings have changed");
            }
            Err(error) => log::warn!(code = error.number(); "the settings are wrong: {error}"),
        }
        file.text = now;
    }
}
