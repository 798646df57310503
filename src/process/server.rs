//! Runs a node: opens its listeners, starts its tasks and shuts them down.

mod listen;

pub use self::listen::Addresses;
use self::listen::Listeners;
pub(crate) use self::listen::Sockets;

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
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    beside,
    carrier::{
        Carrier,
        FLUSH_TIMEOUT, //
    },
    clock::{
        Clock,
        Span,
        Time, //
    },
    connection::{
        activity::{
            Activity,
            Watched, //
        },
        caller::{
            self,
            CloseAnnounced,
            ListenerKind, //
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
    memory::Budget,
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
    task::{
        Essential,
        Unit,
        contain_unit,
        supervise, //
    },
};

/// Maximum time between two ticks while requests are in progress.
const BUSY_TICK: Span = Span::from_ms(10);

/// Time between two ticks while the node is idle.
const IDLE_TICK: Span = Span::from_ms(100);

/// Minimum time between two rounds of maintenance, such as pruning idle
/// connections.
const MAINTENANCE_INTERVAL: Span = Span::from_secs(1);

/// Time allowed for a client to disconnect.
const DISCONNECT_TIMEOUT: Span = Span::from_ms(500);

/// Time for which an idle connection is kept open on the listeners that are not for
/// callers.
const KEEP_ALIVE: Span = Span::from_secs(75);

/// Maximum number of connections to each listener that carries no requests of callers or
/// of the service. Each connection may fill a buffer for its head.
const MAX_CONTROL_CONNECTIONS: usize = 256;

/// Maximum number of bytes on such a connection that belong to no handled request: a head,
/// and the rest of a body that was not read.
const MAX_CONTROL_BYTES: usize = 256 << 10;

/// Maximum number of times that a call moves on to another instance because one
/// refused it before its upstream saw it. A higher limit makes callers wait
/// longer for a refusal that nearly all instances would give.
const MAX_REROUTES: u8 = 2;

/// Maximum number of times that a call is resent to an upstream that reported
/// not having run it, once no other instance may be tried. If an upstream sheds
/// every other request, all but one in thirty calls succeed in the end. The
/// pool's retry budget bounds the cost.
const MAX_REJECTION_RETRIES: u8 = 4;

/// Maximum time that a call waits for a rate token where rates have no owner.
/// Tokens arrive evenly, so a team within its rate gets one sooner. A team over
/// its rate should be refused while its callers still have time to retry.
const MAX_TOKEN_WAIT: Span = Span::from_ms(150);

/// How a node stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// All requests in progress completed.
    Clean,
    /// The grace period or drain time ended first. Callers whose requests were still
    /// running were told so.
    Cut,
    /// Tasks or decisions of the node panicked too often. Callers whose requests were
    /// still running when the drain time ended were told so.
    Failed,
}

/// Controls a node while [`Server::wait`] owns the server.
#[derive(Clone)]
pub struct Handle(Rc<Carrier>);

impl Handle {
    /// Begins to drain: accepts no new requests and completes those in progress.
    pub fn drain(&self) {
        self.0.drain();
    }

    /// Applies new settings to the running node: limits, times, bounds and the
    /// operators' token. Returns the other changed fields, which take effect only
    /// after a restart.
    pub fn reload(&self, settings: Settings, bounds: Bounds) -> Vec<&'static str> {
        self.0.reload(settings, bounds)
    }

    /// Runs a task that belongs to the node, and starts it again whenever it ends.
    pub(crate) fn supervise<F, Fut>(&self, task: Essential, start: F)
    where
        F: Fn() -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        actix_rt::spawn(supervise(self.0.clone(), task, start));
    }
}

/// Tracks the open HTTP connections and tells them when to close.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    closing: Cell<bool>,
    close_requested: Notify,
    count_changed: Notify,
}

/// An open connection, counted until it is dropped.
struct OpenConnection(Rc<OpenConnections>);

impl OpenConnection {
    fn count(connections: &Rc<OpenConnections>) -> Self {
        connections.count.set(connections.count.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.count_changed.notify_waiters();
    }
}

/// A running node.
pub struct Server {
    carrier: Rc<Carrier>,
    addresses: Addresses,
    connections: Rc<OpenConnections>,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Opens the listeners and starts the tasks of the node.
    ///
    /// Must be called on an actix runtime; all tasks run on the current thread.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound.
    pub async fn start(settings: Settings, store: Option<Rc<dyn Store>>) -> Result<Self> {
        Self::start_in(settings, store, Interface::own(), Bounds::default()).await
    }

    /// Like [`Server::start`], but with the given interface to the platform and
    /// bounds instead of the defaults.
    ///
    /// # Errors
    ///
    /// Returns an error in the same cases as [`Server::start`].
    pub async fn start_in(
        settings: Settings,
        store: Option<Rc<dyn Store>>,
        interface: Interface,
        bounds: Bounds,
    ) -> Result<Self> {
        let sockets = Sockets::bind(&settings.listen).await?;
        Ok(Self::start_on(sockets, settings, store, interface, bounds).await)
    }

    /// Like [`Server::start_in`], on sockets that are bound already.
    pub(crate) async fn start_on(
        sockets: Sockets,
        settings: Settings,
        store: Option<Rc<dyn Store>>,
        interface: Interface,
        bounds: Bounds,
    ) -> Self {
        let Sockets {
            listeners,
            links,
            datagrams,
            addresses,
        } = sockets;
        let mut me = identity(&settings, addresses.links);
        if interface.configuration.is_some()
            && let Some(store) = &store
            && let Some(previous) = directory::previous_incarnation(&**store, &me.instance).await
            && let Some(next) = previous.next()
        {
            me.incarnation = me.incarnation.max(next);
        }
        let mut core = Core::new(Identity {
            peer: me.clone(),
            seed: rand::random(),
        });
        core.seed(settings.seeds.iter().copied());
        if let Some(source) = interface.configuration {
            core.enable_store_discovery(source, bounds);
            core.set_policy(Policy {
                max_reroutes: MAX_REROUTES,
                max_rejection_retries: MAX_REJECTION_RETRIES,
                attribution: true,
                max_token_wait: MAX_TOKEN_WAIT,
                retry_failures: false,
                promising_statuses: interface.promising_statuses,
                ..Policy::default()
            });
        }
        core.set_scheduling(settings.scheduling);
        let carrier = Carrier::new(me, settings, interface, core, datagrams, store);
        if carrier.inquires_departures() {
            let mut upstream_tracker = carrier.upstream_tracker.borrow_mut();
            upstream_tracker.distrust_delayed(Clock.now());
        }
        let mut server = Self {
            carrier,
            addresses,
            connections: Rc::default(),
            tasks: Vec::new(),
        };
        server.spawn_tasks(listeners, links).await;
        server
    }

    async fn spawn_tasks(&mut self, listeners: Listeners, links: TcpListener) {
        let carrier = &self.carrier;
        let mut tasks = Vec::new();
        let Listeners {
            callers,
            service,
            operators,
            announcements,
            ready,
        } = listeners;
        match service {
            Some(service) => {
                for (listener, side) in [
                    (callers, ListenerKind::Callers),
                    (service, ListenerKind::Service),
                ] {
                    let handler_carrier = carrier.clone();
                    let handler =
                        move |request| caller::serve(handler_carrier.clone(), side, request);
                    let task = match side {
                        ListenerKind::Callers => Essential::Callers,
                        ListenerKind::Service => Essential::Service,
                    };
                    tasks.push(self.serve_http(task, listener, Traffic::Requests, handler));
                }
            }
            // Without a listener of its own, the service uses that of the
            // callers.
            None => {
                let (listener, connections) = (Rc::new(callers), self.connections.clone());
                tasks.push(self.supervise(Essential::Callers, move |carrier| {
                    accept_callers(carrier, connections.clone(), listener.clone())
                }));
            }
        }
        if let Some(listener) = announcements {
            let handler_carrier = carrier.clone();
            let handler = move |request| beside::serve(handler_carrier.clone(), request);
            let (task, traffic) = (Essential::Announcements, Traffic::Control);
            tasks.push(self.serve_http(task, listener, traffic, handler));
        }
        if let Some(listener) = ready {
            let handler_carrier = carrier.clone();
            let handler = move |request| readiness(handler_carrier.clone(), request);
            let (task, traffic) = (Essential::Readiness, Traffic::Control);
            tasks.push(self.serve_http(task, listener, traffic, handler));
        }
        let operator = Rc::new(export::OperatorApi::new(carrier.clone()));
        let handler = move |request| export::serve(operator.clone(), request);
        let links = Rc::new(links);
        let findings = Rc::new(probe::Findings::default());
        tasks.extend([
            self.serve_http(Essential::Operators, operators, Traffic::Control, handler),
            self.supervise(Essential::Links, move |carrier| {
                accept_links(carrier, links.clone())
            }),
            self.supervise(Essential::Datagrams, receive_datagrams),
            self.supervise(Essential::Ticks, run_ticks),
            self.supervise(Essential::Probe, move |carrier| {
                probe::run(carrier, findings.clone())
            }),
        ]);
        self.tasks = tasks;
    }

    /// Starts an essential task.
    fn supervise<F, Fut>(&self, task: Essential, start: F) -> JoinHandle<()>
    where
        F: Fn(Rc<Carrier>) -> Fut + 'static,
        Fut: Future<Output = ()> + 'static,
    {
        let carrier = self.carrier.clone();
        let start = move || start(carrier.clone());
        actix_rt::spawn(supervise(self.carrier.clone(), task, start))
    }

    /// Starts the task that serves HTTP on a listener.
    fn serve_http<F, Fut>(
        &self,
        task: Essential,
        listener: TcpListener,
        traffic: Traffic,
        handler: F,
    ) -> JoinHandle<()>
    where
        F: Fn(Request) -> Fut + Clone + 'static,
        Fut: Future<Output = Response<BoxBody>> + 'static,
    {
        let (listener, connections) = (Rc::new(listener), self.connections.clone());
        self.supervise(task, move |carrier| {
            serve_http(
                carrier,
                connections.clone(),
                listener.clone(),
                traffic,
                handler.clone(),
            )
        })
    }

    /// Returns the addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the member entry under which peers know this node.
    pub fn peer(&self) -> Peer {
        self.carrier.me.clone()
    }

    /// Adopts a configuration, for experiments and tests without a platform.
    pub fn adopt(&self, snapshot: document::Shared) {
        self.carrier.core_mut().adopt(snapshot);
    }

    /// Adds a member, for experiments and tests without a platform.
    pub fn join(&self, peer: Peer) {
        self.carrier.core_mut().members().insert(peer);
    }

    /// Reports that the upstream is ready for requests, or that it is leaving.
    pub fn announce(&self, ready: bool) {
        self.carrier.on(Event::UpstreamReady(ready));
    }

    /// Returns the budget of the memory that is held for other parties.
    pub fn memory(&self) -> Budget {
        self.carrier.memory.clone()
    }

    /// Returns the version of the active configuration.
    pub fn version(&self) -> id::Version {
        self.carrier.core().snapshot().version
    }

    /// Returns the counters of the decision core.
    pub fn counts(&self) -> Counts {
        self.carrier.core().counts().clone()
    }

    /// Returns the counters of the I/O layer.
    pub fn traffic(&self) -> Counts {
        self.carrier.counts().clone()
    }

    /// Returns the counters of the connections to the upstream.
    pub fn upstream_counts(&self) -> Counts {
        self.carrier.upstream.counts().clone()
    }

    /// Returns the numbers of calls, sent attempts and received attempts in
    /// progress.
    pub fn load(&self) -> (usize, usize, usize) {
        self.carrier.load()
    }

    /// Returns the numbers of outgoing and incoming links.
    pub fn links(&self) -> (usize, usize) {
        self.carrier.links.counts()
    }

    /// Returns whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.carrier.is_draining()
    }

    /// Breaks all links at once, as a network fault would.
    pub fn cut_links(&self) {
        self.carrier.links.cut_all(&self.carrier);
    }

    /// Returns a handle that controls the node while [`Server::wait`] owns the
    /// server.
    pub fn handle(&self) -> Handle {
        Handle(self.carrier.clone())
    }

    /// Begins to drain: accepts no new requests and completes those in progress.
    pub fn drain(&self) {
        self.carrier.drain();
    }

    /// Waits until the node begins to drain and then until all requests have
    /// ended, but no longer than [`Server::drain_limit`]. Then refuses the remaining
    /// calls, flushes the responses and closes all sockets.
    pub async fn wait(self) -> Stop {
        self.carrier.drained().await;
        let left = Clock.now().until(self.carrier.core().ends_at());
        let stopped = tokio::time::timeout(left.to_std(), self.carrier.stopped()).await;
        self.carrier.on(Event::DrainEnded);
        self.carrier.refuse_remaining();
        self.close().await;
        match stopped {
            _ if self.carrier.has_failed() => Stop::Failed,
            Ok(()) => Stop::Clean,
            Err(_) => Stop::Cut,
        }
    }

    /// Returns the maximum time that a stopping node waits for the requests in
    /// progress: the grace period in the settings or else in the bounds, less the
    /// time for flushing the last bytes, or without either the pool's drain time.
    pub fn drain_limit(&self) -> Span {
        self.carrier.drain_limit()
    }

    /// Closes idle connections and flushes the last bytes.
    async fn close(&self) {
        let flush_end = Clock.now() + FLUSH_TIMEOUT;
        self.connections.closing.set(true);
        self.connections.close_requested.notify_waiters();
        let all_closed = async {
            while self.connections.count.get() > 0 {
                self.connections.count_changed.notified().await;
            }
        };
        let _ = tokio::time::timeout(FLUSH_TIMEOUT.to_std(), all_closed).await;
        // The links send their frames meanwhile, so they get only the rest of the time.
        let left = Clock.now().until(flush_end).max(BUSY_TICK);
        let _ = tokio::time::timeout(left.to_std(), self.carrier.links.close()).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        drop(self.carrier.links.close());
    }
}

/// Answers a readiness check.
async fn readiness(carrier: Rc<Carrier>, request: Request) -> Response<BoxBody> {
    if request.path() != carrier.interface.ready_path {
        return Response::new(StatusCode::NOT_FOUND).set_body(BoxBody::new(()));
    }
    let is_ready = !carrier.has_failed() && carrier.core().is_ready(Clock.now());
    let status = match is_ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    Response::new(status).set_body(BoxBody::new(()))
}

/// Accepts connections of callers.
async fn accept_callers(
    carrier: Rc<Carrier>,
    connections: Rc<OpenConnections>,
    listener: Rc<TcpListener>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Usually the process has run out of file descriptors.
            tokio::time::sleep(BUSY_TICK.to_std()).await;
            continue;
        };
        if carrier.caller_connections.get() >= carrier.limits().connections {
            carrier.count(Counter::ConnectionLimit);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (carrier, connections) = (carrier.clone(), connections.clone());
        actix_rt::spawn(async move {
            let open = &carrier.caller_connections;
            open.set(open.get() + 1);
            let counted = OpenConnection::count(&connections);
            let serve = door::serve(carrier.clone(), stream, wait_for_close(connections));
            if let Err(panic) = contain_unit(Unit::Connection, serve).await {
                carrier.record_panic(Unit::Connection, &"", &panic);
            }
            open.set(open.get() - 1);
            drop(counted);
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
        incarnation: generate_incarnation(),
        status: Status::Alive,
        ready: false,
    }
}

/// Generates an incarnation that no other node has.
///
/// Request IDs begin with the incarnation. Without the random bits, two nodes
/// that started in the same millisecond would give the same IDs to different
/// requests, and their answers would be mixed up. After a restart a node gets a
/// higher incarnation because its clock has advanced.
fn generate_incarnation() -> id::Incarnation {
    let random = rand::random::<u64>() >> (u64::BITS - id::INCARNATION_RANDOM_BITS);
    id::Incarnation(Clock.wall() << id::INCARNATION_RANDOM_BITS | random)
}

/// What a listener is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Traffic {
    /// Requests of callers or of the service.
    Requests,
    /// Announcements, readiness checks and operators, with short requests and answers.
    Control,
}

impl Traffic {
    fn max_connections(self, carrier: &Carrier) -> usize {
        let limit = carrier.limits().connections;
        match self {
            Self::Requests => limit,
            Self::Control => limit.min(MAX_CONTROL_CONNECTIONS),
        }
    }

    fn max_unhandled(self) -> usize {
        match self {
            Self::Requests => usize::MAX,
            Self::Control => MAX_CONTROL_BYTES,
        }
    }
}

/// Accepts and serves HTTP connections on a listener.
async fn serve_http<F, Fut>(
    carrier: Rc<Carrier>,
    connections: Rc<OpenConnections>,
    listener: Rc<TcpListener>,
    traffic: Traffic,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<BoxBody>> + 'static,
{
    let closing = connections.clone();
    let handler_carrier = carrier.clone();
    let limits = carrier.limits();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE.to_std()))
        .client_request_timeout(limits.head_time.to_std())
        .client_disconnect_timeout(DISCONNECT_TIMEOUT.to_std())
        .h1_allow_half_closed(false)
        .on_connect_ext(|connection: &Watched, data| {
            data.insert(connection.activity().clone());
            data.insert(CloseAnnounced::default());
        })
        .graceful_shutdown_signal(move || wait_for_input_and_close(closing.clone()))
        .h1(fn_service(move |request| {
            let response = respond(handler_carrier.clone(), handler.clone(), request);
            async move { Ok::<_, Infallible>(response.await) }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Usually the process has run out of file descriptors.
            tokio::time::sleep(BUSY_TICK.to_std()).await;
            continue;
        };
        if open.get() >= traffic.max_connections(&carrier) {
            carrier.count(Counter::ConnectionLimit);
            continue;
        }
        let _ = stream.set_nodelay(true);
        let peer = stream.peer_addr().ok();
        let (carrier, service, open) = (carrier.clone(), service.clone(), open.clone());
        let counted = OpenConnection::count(&connections);
        actix_rt::spawn(async move {
            open.set(open.get() + 1);
            let stream = Watched::new(stream, traffic.max_unhandled());
            let activity = stream.activity().clone();
            let limit = carrier.limits().head_time;
            let serve = async {
                let served = service.call((stream, peer));
                match traffic {
                    Traffic::Requests => drop(served.await),
                    Traffic::Control => tokio::select! {
                        _ = served => {}
                        () = activity.overdue(limit, KEEP_ALIVE + limit) => {}
                    },
                }
            };
            if let Err(panic) = contain_unit(Unit::Connection, serve).await {
                carrier.record_panic(Unit::Connection, &"", &panic);
            }
            open.set(open.get() - 1);
            drop(counted);
        });
    }
}

/// Handles one request. A handler that panics is answered for.
async fn respond<F, Fut>(carrier: Rc<Carrier>, handler: F, request: Request) -> Response<BoxBody>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response<BoxBody>>,
{
    let path = request.path().to_owned();
    let activity = request.conn_data::<Rc<Activity>>().cloned();
    let _handling = activity.map(Activity::handle);
    let handle = async move { handler(request).await };
    match contain_unit(Unit::Request, handle).await {
        Ok(response) => response,
        Err(panic) => {
            carrier.record_panic(Unit::Request, &path, &panic);
            Response::new(StatusCode::INTERNAL_SERVER_ERROR).set_body(BoxBody::new(()))
        }
    }
}

/// Waits until the server closes its connections. One that was accepted later stays open
/// for its first request, which is refused and told that the connection closes.
async fn wait_for_close(connections: Rc<OpenConnections>) {
    if connections.closing.get() {
        return std::future::pending().await;
    }
    while !connections.closing.get() {
        connections.close_requested.notified().await;
    }
}

/// Like [`wait_for_close`], but leaves time to read what has arrived on a connection by
/// then. The HTTP library closes an idle connection without looking for input.
async fn wait_for_input_and_close(connections: Rc<OpenConnections>) {
    wait_for_close(connections).await;
    tokio::time::sleep(BUSY_TICK.to_std()).await;
}

async fn accept_links(carrier: Rc<Carrier>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => Links::accept(&carrier, stream),
            Err(_) => tokio::time::sleep(BUSY_TICK.to_std()).await,
        }
    }
}

async fn receive_datagrams(carrier: Rc<Carrier>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT * 2];
    loop {
        // An error here reports that an earlier datagram was undeliverable.
        if let Ok((len, from)) = carrier.socket().recv_from(&mut buffer).await {
            carrier.receive_datagram(from, &buffer[..len]);
        }
    }
}

async fn run_ticks(carrier: Rc<Carrier>) {
    let mut last_maintenance = Time::ZERO;
    loop {
        if carrier.is_busy() {
            let due = Clock.now().until(carrier.core().due());
            let wait = due.max(Span::from_ms(1)).min(BUSY_TICK);
            tokio::time::sleep(wait.to_std()).await;
        } else {
            let idle_tick = tokio::time::sleep(IDLE_TICK.to_std());
            tokio::select! {
                () = idle_tick => {}
                () = carrier.work_arrived.notified() => {}
            }
        }
        carrier.on(Event::Tick);
        let now = Clock.now();
        carrier.last_tick.set(now);
        if now.since(last_maintenance) >= MAINTENANCE_INTERVAL {
            last_maintenance = now;
            carrier.core_mut().set_wall_clock(now, Clock.wall());
            carrier.upstream.prune(now);
            carrier.links.prune(&carrier, now);
            carrier.check_upstream_silence(now);
            carrier.summarize(now);
        }
    }
}
