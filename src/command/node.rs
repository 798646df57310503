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
use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
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
        Server,
        Stop, //
    },
    settings::Settings,
    store::Store,
};

/// Time after which a call to the platform's service counts as lost.
const STORE_TIMEOUT: Span = Span::from_secs(2);

/// Time between two looks at the file of settings.
const RELOAD: Span = Span::from_secs(2);

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
        bounds: Bounds::default(),
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
    /// The bounds that hold for the fleet.
    pub(crate) bounds: Bounds,
    /// Makes the client of the store.
    pub(crate) store: fn(SocketAddr) -> Rc<dyn Store>,
}

/// Runs a node until it is told to stop.
pub(crate) fn serve_node(start: Start) -> Result<(), Failure> {
    lines::init();
    let served = actix_rt::System::new().block_on(serve(start));
    lines::flush();
    served
}

async fn serve(start: Start) -> Result<(), Failure> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let store = start.settings.platform.map(start.store);
    let text = std::fs::read_to_string(&start.file).unwrap_or_default();
    let server = Server::start_in(start.settings, store, start.interface, start.bounds).await?;
    log::info!(
        instance:% = server.peer().instance,
        callers:% = server.addresses().callers,
        links:% = server.addresses().links;
        "the node listens"
    );
    let handle = server.handle();
    actix_rt::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("told to stop; the node drains");
        handle.drain();
    });
    actix_rt::spawn(reload(start.file, text, hangup));
    match server.wait().await {
        Stop::Clean => Ok(()),
        Stop::Cut => {
            let reason = "the drain time was over before every request had ended";
            Err(Error::new(Code::Broken, reason).into())
        }
    }
}

/// Looks at the settings when told to, and now and then without being told: the
/// file may change without a signal. Addresses and limits hold for the life of
/// a node, so a change is checked and told, and takes effect at the next start.
async fn reload(file: PathBuf, mut text: String, mut hangup: Signal) {
    loop {
        let _ = tokio::time::timeout(RELOAD.to_std(), hangup.recv()).await;
        let Ok(now) = std::fs::read_to_string(&file) else {
            continue;
        };
        if now == text {
            continue;
        }
        match Settings::parse(&now) {
            Ok(_) => log::info!("the settings have changed; they hold from the next start"),
            Err(error) => log::warn!(code = error.number(); "the settings are wrong: {error}"),
        }
        text = now;
    }
}
