//! One node with its four listeners, from its start to its stop.

use std::{
    cell::Cell,
    convert::Infallible,
    future::Future,
    net::SocketAddr,
    rc::Rc, //
};

use actix_http::{
    HttpService,
    KeepAlive,
    Request,
    Response,
    StatusCode,
    body::BoxBody, //
};
use actix_rt::task::JoinHandle;
use actix_service::{
    Service,
    ServiceFactory,
    fn_service, //
};
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    sync::Notify,
};

use crate::{
    beside,
    carrier::Carrier,
    clock::{
        Clock,
        Span,
        Time, //
    },
    connection::{
        caller::{
            self,
            Side, //
        },
        door,
    },
    directory, document,
    error::Result,
    export, id,
    interface::Interface,
    links::Links,
    member::{
        Peer,
        Status, //
    },
    message::DATAGRAM_LIMIT,
    metric::{
        Counter,
        Counts, //
    },
    node::{
        Bounds,
        Core,
        Event,
        Identity, //
    },
    policy::Policy,
    probe,
    settings::Settings,
    store::Store,
};

/// Time between two ticks while requests are under way.
const TICK: Span = Span::from_ms(10);

/// Time between two ticks while there are none.
const IDLE_TICK: Span = Span::from_ms(100);

/// Time between two looks at idle connections.
const PRUNE: Span = Span::from_secs(1);

/// Time to drain, when no configuration says it.
const DRAIN: Span = Span::from_secs(30);

/// Time for the last bytes of answers and frames to leave the node.
const LINGER: Span = Span::from_ms(500);

/// How often a call goes on to another instance because one refused it before
/// its upstream had seen it. With more, callers wait longer for a refusal that
/// nearly all instances would give.
const REROUTES: u8 = 2;

/// How often a call is sent again to an upstream that said that it has not run
/// it, once it may go to no further one. An upstream that sheds every other
/// request lets so all but one in thirty through in the end; the pool's budget
/// bounds what this costs.
const REJECTIONS: u8 = 4;

/// How long a call waits for a rate token where rates have no owner. Tokens come
/// evenly, so a team inside its rate gets one sooner, and one that is over it
/// should hear so while its callers can still come back.
const TOKEN_WAIT: Span = Span::from_ms(150);

/// How often a pair of a TCP and a UDP socket on one free number is tried for.
const BIND_TRIES: usize = 16;

/// Where a node listens, as the system gave the addresses.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the service beside the node.
    pub service: SocketAddr,
    /// For links and datagrams.
    pub links: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For announcements of the service, where they have a place of their own.
    pub announcements: Option<SocketAddr>,
    /// For the question whether callers may be sent here.
    pub ready: Option<SocketAddr>,
}

/// How a node stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Everything that ran came to its end.
    Clean,
    /// The pool's drain time was over first, and what still ran was cut.
    Cut,
}

/// Steers a node, while [`Server::wait`] holds it.
#[derive(Clone)]
pub struct Handle(Rc<Carrier>);

impl Handle {
    /// Begins to stop: takes nothing new and finishes what runs.
    pub fn drain(&self) {
        self.0.drain();
    }

    /// Goes by other settings from now on: limits, times, bounds and the
    /// operators' token. Returns the fields that have changed besides and hold
    /// only from the next start on.
    pub fn reload(&self, settings: Settings, bounds: Bounds) -> Vec<&'static str> {
        self.0.reload(settings, bounds)
    }
}

/// Open connections of callers, the service and operators.
#[derive(Default)]
struct Doors {
    open: Cell<usize>,
    closing: Cell<bool>,
    close: Notify,
    changed: Notify,
}

/// A running node.
pub struct Server {
    carrier: Rc<Carrier>,
    addresses: Addresses,
    doors: Rc<Doors>,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Opens the listeners and begins to work.
    ///
    /// Call it on an actix runtime: everything stays on the present thread.
    ///
    /// # Errors
    ///
    /// When an address cannot be listened on.
    pub async fn start(settings: Settings, store: Option<Rc<dyn Store>>) -> Result<Self> {
        Self::start_in(settings, store, Interface::own(), Bounds::default()).await
    }

    /// The same, in other surroundings than the product's own.
    ///
    /// # Errors
    ///
    /// As [`Server::start`].
    pub async fn start_in(
        settings: Settings,
        store: Option<Rc<dyn Store>>,
        interface: Interface,
        bounds: Bounds,
    ) -> Result<Self> {
        let doors = Listeners::bind(&settings).await?;
        let (links, socket) = bind_pair(settings.listen.links).await?;
        let addresses = doors.addresses(links.local_addr()?)?;
        let mut me = identity(&settings, addresses.links);
        let mut restarted = false;
        if interface.configuration.is_some()
            && let Some(store) = &store
            && let Some(former) = directory::previous_incarnation(&**store, &me.instance).await
        {
            me.incarnation = me.incarnation.max(id::Incarnation(former.0 + 1));
            restarted = true;
        }
        let mut core = Core::new(Identity {
            peer: me.clone(),
            seed: rand::random(),
        });
        core.seed(settings.seeds.iter().copied());
        if let Some(source) = interface.configuration {
            core.enable_store_discovery(source, bounds);
            if restarted {
                core.mark_restarted();
            }
            core.set_policy(Policy {
                max_reroutes: REROUTES,
                max_rejection_retries: REJECTIONS,
                attribution: true,
                max_token_wait: TOKEN_WAIT,
                ..Policy::default()
            });
        }
        let carrier = Carrier::new(me, settings, interface, core, socket, store);
        let mut server = Self {
            carrier,
            addresses,
            doors: Rc::default(),
            tasks: Vec::new(),
        };
        server.open(doors, links).await;
        Ok(server)
    }

    async fn open(&mut self, listeners: Listeners, links: TcpListener) {
        let carrier = &self.carrier;
        let Listeners {
            callers,
            service,
            operators,
            announcements,
            ready,
        } = listeners;
        match service {
            Some(service) => {
                for (listener, side) in [(callers, Side::Callers), (service, Side::Service)] {
                    let serving = carrier.clone();
                    let answer = move |request| caller::serve(serving.clone(), side, request);
                    let task = http(carrier.clone(), self.doors.clone(), listener, answer);
                    self.tasks.push(actix_rt::spawn(task));
                }
            }
            // Where the service has no door of its own it comes in with the
            // callers.
            None => {
                let task = accept_callers(carrier.clone(), self.doors.clone(), callers);
                self.tasks.push(actix_rt::spawn(task));
            }
        }
        if let Some(listener) = announcements {
            let serving = carrier.clone();
            let answer = move |request| beside::serve(serving.clone(), request);
            let task = http(carrier.clone(), self.doors.clone(), listener, answer);
            self.tasks.push(actix_rt::spawn(task));
        }
        if let Some(listener) = ready {
            let serving = carrier.clone();
            let answer = move |request| readiness(serving.clone(), request);
            let task = http(carrier.clone(), self.doors.clone(), listener, answer);
            self.tasks.push(actix_rt::spawn(task));
        }
        let operator = Rc::new(export::Operator::new(carrier.clone()));
        let answer = move |request| export::serve(operator.clone(), request);
        let task = http(carrier.clone(), self.doors.clone(), operators, answer);
        self.tasks.push(actix_rt::spawn(task));
        for task in [
            actix_rt::spawn(accept_links(carrier.clone(), links)),
            actix_rt::spawn(receive_datagrams(carrier.clone())),
            actix_rt::spawn(tick(carrier.clone())),
            actix_rt::spawn(probe::run(carrier.clone())),
        ] {
            self.tasks.push(task);
        }
    }

    /// Where it listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The node as its peers see it.
    pub fn peer(&self) -> Peer {
        self.carrier.me.clone()
    }

    /// Puts a configuration in force, for trials and tests without a platform.
    pub fn adopt(&self, snapshot: document::Shared) {
        self.carrier.core_mut().adopt(snapshot);
    }

    /// Adds a member, for trials and tests without a platform.
    pub fn join(&self, peer: Peer) {
        self.carrier.core_mut().members().insert(peer);
    }

    /// Tells that the upstream takes requests, or that it leaves.
    pub fn announce(&self, ready: bool) {
        self.carrier.on(Event::UpstreamReady(ready));
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> id::Version {
        self.carrier.core().snapshot().version
    }

    /// What the decisions have counted.
    pub fn counts(&self) -> Counts {
        self.carrier.core().counts().clone()
    }

    /// What the input and output have counted.
    pub fn traffic(&self) -> Counts {
        self.carrier.counts().clone()
    }

    /// Calls, attempts sent and attempts received that are under way.
    pub fn load(&self) -> (usize, usize, usize) {
        self.carrier.load()
    }

    /// Links that this node made, and that others made to it.
    pub fn links(&self) -> (usize, usize) {
        self.carrier.links.counts()
    }

    /// Whether it was told to stop.
    pub fn is_draining(&self) -> bool {
        self.carrier.is_draining()
    }

    /// Breaks every link at once, as a network fault would.
    pub fn cut_links(&self) {
        self.carrier.links.cut_all(&self.carrier);
    }

    /// Something to stop the node with, while [`Server::wait`] holds it.
    pub fn handle(&self) -> Handle {
        Handle(self.carrier.clone())
    }

    /// Begins to stop: takes nothing new and finishes what runs.
    pub fn drain(&self) {
        self.carrier.drain();
    }

    /// Waits until the node was told to stop and everything has ended, at most
    /// for the pool's drain time, and closes all sockets.
    pub async fn wait(self) -> Stop {
        self.carrier.drained().await;
        let limit = match self.carrier.settings().grace {
            // The last bytes are to leave within the same time.
            Some(grace) => grace - LINGER,
            None => self.drain_time(),
        };
        let stopped = tokio::time::timeout(limit.to_std(), self.carrier.stopped()).await;
        self.close().await;
        match stopped {
            Ok(()) => Stop::Clean,
            Err(_) => Stop::Cut,
        }
    }

    fn drain_time(&self) -> Span {
        let core = self.carrier.core();
        let pool = core.snapshot().tables.pool(&self.carrier.settings().pool);
        pool.map_or(DRAIN, |pool| pool.drain)
    }

    /// Closes idle connections and lets the last bytes out.
    async fn close(&self) {
        self.doors.closing.set(true);
        self.doors.close.notify_waiters();
        let emptied = async {
            while self.doors.open.get() > 0 {
                self.doors.changed.notified().await;
            }
        };
        let _ = tokio::time::timeout(LINGER.to_std(), emptied).await;
        self.carrier.links.close();
        // One turn lets the writers of the links see that they are closed.
        tokio::time::sleep(TICK.to_std()).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        self.carrier.links.close();
    }
}

/// The listeners of a node but for its links.
struct Listeners {
    callers: TcpListener,
    service: Option<TcpListener>,
    operators: TcpListener,
    announcements: Option<TcpListener>,
    ready: Option<TcpListener>,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        let own = listen.announcements.is_none();
        Ok(Self {
            callers: TcpListener::bind(listen.callers).await?,
            service: bind_if(own.then_some(listen.service)).await?,
            operators: TcpListener::bind(listen.operators).await?,
            announcements: bind_if(listen.announcements).await?,
            ready: bind_if(listen.ready).await?,
        })
    }

    fn addresses(&self, links: SocketAddr) -> Result<Addresses> {
        let callers = self.callers.local_addr()?;
        let service = self.service.as_ref().map(TcpListener::local_addr);
        Ok(Addresses {
            callers,
            service: service.transpose()?.unwrap_or(callers),
            links,
            operators: self.operators.local_addr()?,
            announcements: place(self.announcements.as_ref())?,
            ready: place(self.ready.as_ref())?,
        })
    }
}

fn place(listener: Option<&TcpListener>) -> Result<Option<SocketAddr>> {
    Ok(listener.map(TcpListener::local_addr).transpose()?)
}

async fn bind_if(address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    Ok(match address {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    })
}

/// Answers whether callers may be sent here.
async fn readiness(carrier: Rc<Carrier>, request: Request) -> Response<BoxBody> {
    if request.path() != carrier.interface.ready_path {
        return Response::new(StatusCode::NOT_FOUND).set_body(BoxBody::new(()));
    }
    let status = match carrier.core().is_ready(Clock.now()) {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::new(status).set_body(BoxBody::new(()))
}

/// Takes connections of callers.
async fn accept_callers(carrier: Rc<Carrier>, doors: Rc<Doors>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process has no room for more sockets just now.
            tokio::time::sleep(TICK.to_std()).await;
            continue;
        };
        if carrier.callers.get() >= carrier.limits().connections {
            carrier.count(Counter::ConnectionLimit);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (carrier, doors) = (carrier.clone(), doors.clone());
        actix_rt::spawn(async move {
            carrier.callers.set(carrier.callers.get() + 1);
            doors.open.set(doors.open.get() + 1);
            door::serve(carrier.clone(), stream, closed(doors.clone())).await;
            carrier.callers.set(carrier.callers.get() - 1);
            doors.open.set(doors.open.get() - 1);
            doors.changed.notify_waiters();
        });
    }
}

fn identity(settings: &Settings, links: SocketAddr) -> Peer {
    Peer {
        instance: settings.instance.clone(),
        domain: settings.domain.clone(),
        pool: settings.pool.clone(),
        link: links,
        datagram: links,
        incarnation: incarnation(),
        status: Status::Alive,
        ready: false,
    }
}

/// Bits of an incarnation that tell nodes apart that began at the same time.
const RANDOM_BITS: u32 = 22;

/// A life that no other node has: numbers of requests begin with it, so two
/// nodes that began in the same millisecond would else give the same numbers
/// to different requests, and answers would cross. A later life of the same
/// node is higher, as its clock went on meanwhile.
fn incarnation() -> id::Incarnation {
    let random = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
    id::Incarnation(Clock.wall() << RANDOM_BITS | random)
}

/// Binds links and datagrams to the same number. When the system picks it, the
/// other protocol's may be taken, so a few are tried.
async fn bind_pair(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        tries += 1;
        let links = TcpListener::bind(address).await?;
        match UdpSocket::bind(links.local_addr()?).await {
            Ok(socket) => return Ok((links, socket)),
            Err(error) if address.port() != 0 || tries == BIND_TRIES => return Err(error.into()),
            Err(_) => {}
        }
    }
}

/// Serves HTTP on a listener.
async fn http<F, Fut>(carrier: Rc<Carrier>, doors: Rc<Doors>, listener: TcpListener, answer: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let closing = doors.clone();
    let limits = carrier.limits();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(std::time::Duration::from_secs(75)))
        .client_request_timeout(limits.head_time.to_std())
        .client_disconnect_timeout(LINGER.to_std())
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closed(closing.clone()))
        .h1(fn_service(move |request| {
            let answering = answer(request);
            async move { Ok::<_, Infallible>(answering.await) }
        }))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // The process has no room for more sockets just now.
            tokio::time::sleep(TICK.to_std()).await;
            continue;
        };
        if open.get() >= carrier.limits().connections {
            carrier.count(Counter::ConnectionLimit);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (service, open, doors) = (service.clone(), open.clone(), doors.clone());
        actix_rt::spawn(async move {
            open.set(open.get() + 1);
            doors.open.set(doors.open.get() + 1);
            let _ = service.call(stream).await;
            open.set(open.get() - 1);
            doors.open.set(doors.open.get() - 1);
            doors.changed.notify_waiters();
        });
    }
}

/// Waits until connections are to be closed.
async fn closed(doors: Rc<Doors>) {
    while !doors.closing.get() {
        doors.close.notified().await;
    }
}

async fn accept_links(carrier: Rc<Carrier>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => Links::accept(&carrier, stream),
            Err(_) => tokio::time::sleep(TICK.to_std()).await,
        }
    }
}

async fn receive_datagrams(carrier: Rc<Carrier>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT * 2];
    loop {
        // An error here belongs to an earlier datagram that found nobody.
        if let Ok((len, from)) = carrier.socket().recv_from(&mut buffer).await {
            carrier.receive_datagram(from, &buffer[..len]);
        }
    }
}

async fn tick(carrier: Rc<Carrier>) {
    let mut pruned = Time::ZERO;
    loop {
        if carrier.is_busy() {
            let due = Clock.now().until(carrier.core().due());
            let wait = due.max(Span::from_ms(1)).min(TICK);
            tokio::time::sleep(wait.to_std()).await;
        } else {
            let idle = tokio::time::sleep(IDLE_TICK.to_std());
            tokio::select! {
                () = idle => {}
                () = carrier.woken.notified() => {}
            }
        }
        carrier.on(Event::Tick);
        let now = Clock.now();
        if now.since(pruned) >= PRUNE {
            pruned = now;
            carrier.core_mut().set_wall_clock(now, Clock.wall());
            carrier.upstream.prune(now);
            carrier.links.prune(&carrier, now);
            carrier.listen_for_silence(now);
            carrier.summarize(now);
        }
    }
}
