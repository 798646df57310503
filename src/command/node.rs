//! `node`: one node, until it is told to stop.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    rc::Rc,
};

use bpaf::{
    Parser,
    long, //
};
use tokio::{
    signal::unix::{
        Signal,
        SignalKind,
        signal, //
    },
    sync::Mutex,
};

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
        Error, //
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
    store::Store,
    task::{
        Essential,
        contain, //
    },
};

/// Time after which a call to the platform's service counts as lost.
const STORE_TIMEOUT: Span = Span::from_secs(2);

/// Time between two looks at the file of settings.
const RELOAD_INTERVAL: Span = Span::from_secs(2);

/// Reads `node --settings FILE`.
pub(super) fn parser() -> Subcommand {
    long("settings")
        .help("The node's settings, in JSON with comments")
        .argument::<PathBuf>("FILE")
        .map(|file| -> Job { Box::new(move || run(&file)) })
        .to_options()
        .descr("Run a node beside an upstream instance")
        .footer(
            "SIGTERM, SIGINT and an operator's drain stop it gracefully. It exits with 0 when \
             nothing was cut, and with 1 when the pool's drain time was over first",
        )
        .command("node")
        .boxed()
}

fn run(file: &Path) -> Result<(), Failure> {
    serve_node(Start {
        file: file.to_owned(),
        settings: Settings::load(file)?,
        interface: Interface::own(),
        bounds: |_| Bounds::default(),
        store: |address| Rc::new(Client::new(address, STORE_TIMEOUT)) as Rc<dyn Store>,
    })
}

/// What a node is started with.
pub(crate) struct Start {
    /// Where its settings came from.
    pub(crate) file: PathBuf,
    /// Its settings.
    pub(crate) settings: Settings,
    /// Its surroundings.
    pub(crate) interface: Interface,
    /// Reads the bounds that hold for the fleet.
    pub(crate) bounds: fn(&Settings) -> Bounds,
    /// Makes the client of the store.
    pub(crate) store: fn(SocketAddr) -> Rc<dyn Store>,
}

/// Runs a node until it is told to stop.
pub(crate) fn serve_node(start: Start) -> Result<(), Failure> {
    lines::init();
    let served = contain(|| actix_rt::System::new().block_on(serve(start)));
    let served = served.unwrap_or_else(|panic| {
        let reason = format!("the node panicked: {panic}");
        Err(Error::new(Code::Fault, reason).into())
    });
    if let Err(failure) = &served {
        failure.0.iter().for_each(|error| {
            log::error!(code = error.number(); "the node ends: {}", error.reason());
        });
    }
    lines::flush();
    served
}

async fn serve(start: Start) -> Result<(), Failure> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let store = start.settings.platform.map(start.store);
    let text = std::fs::read_to_string(&start.file).unwrap_or_default();
    let bounds = (start.bounds)(&start.settings);
    let server = Server::start_in(start.settings, store, start.interface, bounds).await?;
    log::info!(
        instance:% = server.peer().instance,
        callers:% = server.addresses().callers,
        links:% = server.addresses().links;
        "the node listens"
    );
    let handle = server.handle();
    let file = File {
        path: start.file,
        text,
        bounds: start.bounds,
    };
    let watched = Rc::new(Mutex::new((file, hangup)));
    let reloaded = handle.clone();
    handle.supervise(Essential::Settings, move || {
        reload(watched.clone(), reloaded.clone())
    });
    let signals = Rc::new(Mutex::new((terminate, interrupt)));
    let stopped = handle.clone();
    handle.supervise(Essential::Signals, move || {
        stop(signals.clone(), stopped.clone())
    });
    match server.wait().await {
        Stop::Clean => Ok(()),
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
async fn stop(signals: Rc<Mutex<(Signal, Signal)>>, handle: Handle) {
    let (terminate, interrupt) = &mut *signals.lock().await;
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
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
async fn reload(watched: Rc<Mutex<(File, Signal)>>, handle: Handle) {
    let (file, hangup) = &mut *watched.lock().await;
    loop {
        let _ = tokio::time::timeout(RELOAD_INTERVAL.to_std(), hangup.recv()).await;
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
