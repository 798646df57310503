//! Feeds events to the decision core and carries out the actions it returns.
//!
//! A node runs on a single thread, so the core handles one event at a time.
//! Frames and datagrams that a node sends to itself go through the same
//! handlers without a socket.

mod decision;

use std::{
    cell::{
        Cell,
        Ref,
        RefCell, //
    },
    collections::{
        HashMap,
        VecDeque, //
    },
    net::SocketAddr,
    rc::{
        Rc,
        Weak, //
    },
};

use tokio::{
    net::UdpSocket,
    sync::{
        Notify,
        oneshot, //
    },
};

use crate::{
    announce::UpstreamTracker,
    clock::{
        Clock,
        Span,
        Time, //
    },
    code::Code,
    connection::{
        body::{
            Inlet,
            Outlet, //
        },
        secret::{
            Ring,
            Secret, //
        },
        upstream,
    },
    context::Context,
    event::{
        Recorder,
        RequestName, //
    },
    feed,
    frame::{
        Frame,
        Head,
        Side, //
    },
    id,
    intake::Cleanup,
    interface::Interface,
    links::Links,
    member,
    memory::{
        Account,
        Budget,
        Owner, //
    },
    message::Message,
    metric::{
        Counter,
        Counts, //
    },
    node::{Action, Bounds, Core, Event},
    outcome::Refusal,
    pending::{
        Guard,
        Pending,
        Reply,
        //
    },
    recovery::Affected,
    settings::{
        Limits,
        Settings, //
    },
    store,
    task::{
        Panic,
        Tasks,
        Unit,
        contain,
        contain_unit, //
    },
};

/// An attempt that this node sent.
pub(crate) struct SentAttempt {
    pub(crate) call: id::Call,
    pub(crate) peer: id::Instance,
    /// Number of the link that it was sent over; `None` at this node itself.
    pub(crate) link: Option<u64>,
    pub(crate) inlet: Rc<Inlet>,
    pub(crate) outlet: Rc<Outlet>,
    pub(crate) head: Option<Head>,
}

/// An attempt that this node received.
pub(crate) struct ReceivedAttempt {
    pub(crate) peer: id::Instance,
    pub(crate) head: Head,
    pub(crate) context: Context,
    pub(crate) claimed: bool,
    /// Name of the request in its log lines.
    pub(crate) name: RequestName,
    pub(crate) route: id::Route,
    pub(crate) arrived: Time,
    pub(crate) started: Option<Time>,
    pub(crate) inlet: Rc<Inlet>,
    pub(crate) outlet: Rc<Outlet>,
    /// Aborts the exchange with the upstream when dropped; `None` before the
    /// attempt starts.
    pub(crate) abort: Option<oneshot::Sender<()>>,
}

/// Minimum time between two summaries in the log.
const SUMMARY_INTERVAL: Span = Span::from_secs(2);
/// Drain time if the configuration does not contain the pool.
const DEFAULT_DRAIN_TIME: Span = Span::from_secs(30);
/// Time allowed for the last bytes of answers and frames to be sent when the node
/// stops.
pub(crate) const FLUSH_TIMEOUT: Span = Span::from_ms(300);

/// Secret that all nodes share if the settings trust the network.
const TRUSTED_NETWORK_SECRET: &str = "the network is trusted";

/// Bytes that the IPv4 and UDP headers add to a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Counts of datagrams and of their bytes, including IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct Datagrams {
    messages_out: u64,
    messages_in: u64,
    bytes_out: u64,
    bytes_in: u64,
}

/// I/O state of a node: its sockets, links, calls and attempts, together with
/// the decision core that it drives.
pub(crate) struct Carrier {
    weak: Weak<Self>,
    pub(crate) me: member::Peer,
    settings: RefCell<Rc<Settings>>,
    pub(crate) interface: Interface,
    pub(crate) upstream_tracker: RefCell<UpstreamTracker>,
    /// Name that the upstream announced for itself.
    pub(crate) target: RefCell<Option<String>>,
    /// Readiness of the upstream as last reported to the core.
    pub(crate) reported_ready: Cell<bool>,
    /// Consecutive connection attempts that the upstream did not accept.
    pub(crate) connect_failures: Cell<u32>,
    pub(crate) ring: Ring,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<Event>>,
    dispatching: Cell<bool>,
    last_number: Cell<u64>,
    /// Open connections of callers.
    pub(crate) caller_connections: Cell<usize>,
    counts: RefCell<Counts>,
    calls: RefCell<HashMap<id::Call, Pending>>,
    pub(crate) attempts: RefCell<HashMap<id::Request, SentAttempt>>,
    pub(crate) running: RefCell<HashMap<id::Request, ReceivedAttempt>>,
    pub(crate) links: Links,
    pub(crate) upstream: upstream::Pool,
    socket: UdpSocket,
    datagrams: Cell<Datagrams>,
    store: Option<Rc<dyn store::Store>>,
    draining: Cell<bool>,
    stopped: Cell<bool>,
    leaving: Cell<bool>,
    /// Whether the node ends because it panicked too often.
    failed: Cell<bool>,
    /// Memory held for callers, the upstream, other nodes and the store.
    pub(crate) memory: Budget,
    pub(crate) tasks: Tasks,
    /// When the core last ran its timers.
    pub(crate) last_tick: Cell<Time>,
    /// Logs the decisions made about individual requests.
    pub(crate) recorder: Recorder,
    /// Time of the last summary in the log and the counts at that time.
    last_summary: RefCell<(Time, Counts)>,
    /// Notified when the node begins to drain, when the core stops and when a
    /// call ends.
    changed: Notify,
    /// Notified when a request arrives at an idle node, and when draining begins.
    pub(crate) work_arrived: Notify,
}

impl Carrier {
    pub(crate) fn new(
        me: member::Peer,
        settings: Settings,
        interface: Interface,
        core: Core,
        socket: UdpSocket,
        store: Option<Rc<dyn store::Store>>,
    ) -> Rc<Self> {
        let memory = Budget::new(settings.limits.memory);
        Rc::new_cyclic(|weak| Self {
            weak: weak.clone(),
            me,
            upstream_tracker: RefCell::new(UpstreamTracker::new(
                settings.pool.clone(),
                settings.upstream,
                settings.heartbeat,
            )),
            target: RefCell::default(),
            reported_ready: Cell::new(false),
            connect_failures: Cell::new(0),
            ring: Ring::new(link_secrets(&settings)),
            interface,
            core: RefCell::new(core),
            queue: RefCell::default(),
            dispatching: Cell::new(false),
            last_number: Cell::new(0),
            caller_connections: Cell::new(0),
            counts: RefCell::default(),
            calls: RefCell::default(),
            attempts: RefCell::default(),
            running: RefCell::default(),
            links: Links::default(),
            upstream: upstream::Pool::new(
                settings.upstream,
                settings.limits.upstream_idle,
                interface.names,
                interface.close_delimited_answers,
                memory.clone(),
            ),
            socket,
            datagrams: Cell::default(),
            store,
            draining: Cell::new(false),
            stopped: Cell::new(false),
            leaving: Cell::new(false),
            failed: Cell::new(false),
            memory: memory.clone(),
            tasks: Tasks::default(),
            last_tick: Cell::new(Clock.now()),
            recorder: Recorder::default(),
            last_summary: RefCell::default(),
            changed: Notify::new(),
            work_arrived: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    pub(crate) fn limits(&self) -> Limits {
        self.settings.borrow().limits
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Applies new settings to the running node. Returns the changed fields that
    /// take effect only after a restart; these keep their values.
    pub(crate) fn reload(&self, newer: Settings, bounds: Bounds) -> Vec<&'static str> {
        let previous = self.settings();
        let lasting = previous.fixed_fields_changed(&newer);
        self.upstream_tracker
            .borrow_mut()
            .set_heartbeat(newer.heartbeat);
        let mut core = self.core.borrow_mut();
        core.set_bounds(bounds);
        core.set_scheduling(newer.scheduling);
        drop(core);
        self.memory.set_limit(newer.limits.memory);
        self.settings.replace(Rc::new(Settings {
            limits: newer.limits,
            grace: newer.grace,
            heartbeat: newer.heartbeat,
            bounds: newer.bounds,
            scheduling: newer.scheduling,
            operators_token: newer.operators_token,
            ..(*previous).clone()
        }));
        lasting
    }

    pub(crate) fn core(&self) -> Ref<'_, Core> {
        self.core.borrow()
    }

    pub(crate) fn core_mut(&self) -> std::cell::RefMut<'_, Core> {
        self.core.borrow_mut()
    }

    pub(crate) fn next_number(&self) -> u64 {
        let next = self.last_number.get() + 1;
        self.last_number.set(next);
        next
    }

    pub(crate) fn count(&self, counter: Counter) {
        self.counts.borrow_mut().add(counter);
    }

    /// Counters of the I/O layer, as opposed to those of the core.
    pub(crate) fn counts(&self) -> Ref<'_, Counts> {
        self.counts.borrow()
    }

    /// How many rows of the store's answers could not be read so far.
    pub(crate) fn unreadable_rows(&self) -> u64 {
        let store = self.store.as_ref();
        store.map_or(0, |store| store.unreadable_rows())
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Whether callers hold more than half of the allowed connections.
    ///
    /// Guards against callers that open a connection for each retry and leave
    /// the previous ones idle: they reach the limit within seconds, and new
    /// callers are then disconnected without an answer. Above half of the limit
    /// every answer tells its caller that the connection will be closed.
    pub(crate) fn is_near_connection_limit(&self) -> bool {
        self.caller_connections.get() > self.limits().connections / 2
    }

    /// Waits until the node begins to drain.
    pub(crate) async fn drained(&self) {
        while !self.draining.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until the core has stopped and no call is pending.
    pub(crate) async fn stopped(&self) {
        while !self.stopped.get() || !self.calls.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Whether the store may hold departures that earlier processes acknowledged.
    pub(crate) fn inquires_departures(&self) -> bool {
        self.interface.configuration.is_some() && self.store.is_some()
    }

    /// Waits until the store holds the last departure that was recorded.
    pub(crate) async fn departure_stored(&self) {
        while !self.core().has_stored_departure() {
            self.changed.notified().await;
        }
    }

    /// Whether the service last announced that it is leaving.
    pub(crate) fn is_service_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Handles an announcement of the service that it is ready for requests, or
    /// that it is leaving.
    pub(crate) fn announce(&self, ready: bool) {
        self.leaving.set(!ready);
        // A repeated announcement does not mean that the upstream restarted.
        let is_new_start = ready && !self.core().is_offered();
        if is_new_start {
            let life = self.me.incarnation.0.wrapping_add(self.next_number());
            self.on(Event::UpstreamStarted(id::Upstream(life)));
        }
        self.on(Event::UpstreamReady(ready));
    }

    /// Whether any call or received attempt is in progress.
    pub(crate) fn is_busy(&self) -> bool {
        !self.calls.borrow().is_empty() || !self.running.borrow().is_empty()
    }

    /// Numbers of calls, sent attempts and received attempts in progress.
    pub(crate) fn load(&self) -> (usize, usize, usize) {
        (
            self.calls.borrow().len(),
            self.attempts.borrow().len(),
            self.running.borrow().len(),
        )
    }

    /// Whether an attempt sent to the peer is in progress.
    pub(crate) fn has_attempts_to(&self, peer: &id::Instance) -> bool {
        let attempts = self.attempts.borrow();
        attempts.values().any(|attempt| attempt.peer == *peer)
    }

    /// Attempts sent over an outbound link that are in progress.
    pub(crate) fn attempts_over(&self, link: u64) -> Vec<id::Request> {
        let attempts = self.attempts.borrow();
        let over_it = attempts
            .iter()
            .filter(|(_, attempt)| attempt.link == Some(link));
        over_it.map(|(request, _)| *request).collect()
    }

    /// The maximum time that a stopping node waits for the requests in progress.
    pub(crate) fn drain_limit(&self) -> Span {
        let settings = self.settings();
        let core = self.core();
        let drain_time = || {
            let pool = core.snapshot().tables.pool(&settings.pool);
            pool.map_or(DEFAULT_DRAIN_TIME, |pool| pool.drain)
        };
        match settings.grace.or_else(|| core.grace()) {
            Some(grace) => grace - FLUSH_TIMEOUT,
            None => drain_time(),
        }
    }

    pub(crate) fn drain(&self) {
        if !self.draining.replace(true) {
            self.changed.notify_waiters();
            self.work_arrived.notify_one();
            self.on(Event::Drain(self.drain_limit()));
        }
    }

    /// Drains the node, which is no longer trusted, so that its process ends.
    pub(crate) fn fail(&self, part: &'static str) {
        if self.failed.replace(true) {
            return;
        }
        let _ = contain(|| {
            log::error!(part = part; "the node panics too often; it drains and ends");
        });
        self.drain();
    }

    /// Whether the node ends because it panicked too often.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed.get()
    }

    /// Refuses the calls that the core has left without an answer.
    pub(crate) fn refuse_remaining(&self) {
        let calls = self.calls.borrow();
        let is_waiting = |pending: &Pending| pending.reply.is_some();
        let waiting: Vec<_> = calls
            .iter()
            .filter(|(_, pending)| is_waiting(pending))
            .map(|(call, _)| *call)
            .collect();
        drop(calls);
        for call in waiting {
            self.refuse_faulted(call);
        }
    }

    pub(crate) fn wake(&self) {
        if !self.is_busy() {
            self.work_arrived.notify_one();
        }
    }

    /// Registers a call. Its guard finishes the call when dropped.
    pub(crate) fn begin(&self, call: id::Call, pending: Pending) -> Guard {
        self.wake();
        self.calls.borrow_mut().insert(call, pending);
        let carrier = self.weak.upgrade().expect("the carrier is owned by an Rc");
        Guard::new(carrier, call)
    }

    /// Removes a call whose answer was written, or whose connection has ended.
    pub(crate) fn finish(&self, call: id::Call, written: bool) {
        let ended = self.calls.borrow_mut().remove(&call);
        match ended {
            Some(pending) if written => self.record_written(&pending, call),
            Some(pending) => self.record_unanswered(&pending, call),
            None => {}
        }
        self.on(Event::CallerGone(call));
        self.changed.notify_waiters();
    }

    /// Passes an event to the core and executes the resulting actions. Events
    /// raised meanwhile are queued and handled in order.
    ///
    /// A panic costs the event or the action in which it occurs: whoever waits for it is
    /// answered, and the next event is handled.
    pub(crate) fn on(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.dispatching.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            let kind = event.kind();
            let affected = Affected::by_event(&event);
            let cleanup = Cleanup::after(&event);
            let now = Clock.now();
            let decided = contain(|| self.core.borrow_mut().on(now, event, &mut actions));
            // What was decided before the panic is carried out, as the core relies on it.
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            if let Err(panic) = decided {
                self.recover_from(Unit::Event, kind, affected, &panic);
            }
            if let Err(panic) = contain(|| self.clean_up(cleanup)) {
                self.recover_from(Unit::Event, kind, Affected::Nothing, &panic);
            }
        }
        self.dispatching.set(false);
    }

    fn carry_out(&self, action: Action) {
        let kind = action.kind();
        let affected = Affected::by_action(&action);
        if let Err(panic) = contain(|| self.execute(action)) {
            self.recover_from(Unit::Action, kind, affected, &panic);
        }
    }

    fn recover_from(&self, unit: Unit, kind: &'static str, affected: Affected, panic: &Panic) {
        self.decision_panicked(unit, kind, panic);
        if let Err(panic) = contain(|| self.recover(affected)) {
            self.decision_panicked(unit, kind, &panic);
        }
    }

    fn execute(&self, action: Action) {
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
                let head = self.with_call(call, |pending| {
                    pending.attempts = pending.attempts.saturating_add(1);
                    let name = || RequestName::new(None, context.root);
                    pending.name.get_or_insert_with(name);
                    pending.head.clone()
                });
                let Some(head) = head else { return };
                self.record_sent(call, request, &peer, &route, &context);
                let length = head.length;
                let outlet = self.register_attempt(call, request, &peer);
                let frame = Frame::Attempt {
                    request,
                    life,
                    context,
                    route,
                    claim,
                    head,
                };
                self.transmit(&peer, frame);
                if length != Some(0) {
                    self.send_body(call, request, peer, outlet);
                }
            }
            Action::Deliver(call, request) => self.deliver(call, request),
            Action::Refuse(call, refusal) => self.refuse(call, refusal),
            Action::Frame(peer, frame) => {
                match &frame {
                    Frame::Refuse { request, code, .. } => {
                        self.record_turned_away(*request, *code);
                        self.forget_running(*request);
                    }
                    Frame::Finish { request, .. } => self.forget_running(*request),
                    Frame::Cancel { request } => self.forget_attempt(*request),
                    _ => {}
                }
                self.transmit(&peer, frame);
            }
            Action::Start {
                request,
                token,
                deadline,
            } => self.start_attempt(request, token, deadline),
            Action::Replay(peer, request, whole) => self.replay_answer(&peer, request, *whole),
            Action::Abort(request) => self.abort_attempt(request),
            Action::Datagram(to, message) => self.send_datagram(to, message),
            Action::Store(number, call) => self.query_store(number, call),
            Action::Dial(peer) => self.dial(&peer),
            Action::Ping(peer) => self.links.ping(&peer),
            Action::RestoreDeparture(inquiry) => self.restore_departure(inquiry),
            Action::DepartureStored => self.changed.notify_waiters(),
            Action::Log(event) => decision::log(&event),
            Action::Stop => {
                self.stopped.set(true);
                self.changed.notify_waiters();
            }
        }
    }

    /// Registers an attempt that is about to be sent.
    fn register_attempt(
        &self,
        call: id::Call,
        request: id::Request,
        peer: &id::Instance,
    ) -> Rc<Outlet> {
        let outlet = Outlet::new();
        let carrier = self.weak.upgrade().filter(|_| *peer != self.me.instance);
        let attempt = SentAttempt {
            call,
            peer: peer.clone(),
            link: carrier.map(|carrier| Links::ensure_outbound(&carrier, peer)),
            inlet: self.inlet(peer, request, Side::Answer),
            outlet: outlet.clone(),
            head: None,
        };
        self.attempts.borrow_mut().insert(request, attempt);
        outlet
    }

    /// Creates the receiving end of a body, which sends flow-control credit to the
    /// peer.
    pub(crate) fn inlet(&self, peer: &id::Instance, request: id::Request, side: Side) -> Rc<Inlet> {
        let (weak, peer) = (self.weak.clone(), peer.clone());
        let owner = match side {
            _ if peer != self.me.instance => Owner::Links,
            Side::Request => Owner::Callers,
            Side::Answer => Owner::Upstream,
        };
        Inlet::within(&self.memory, owner, move |bytes| {
            if let Some(carrier) = weak.upgrade() {
                let frame = Frame::Credit {
                    request,
                    side,
                    bytes,
                };
                carrier.transmit(&peer, frame);
            }
        })
    }

    /// Relays an answer to the handler of its caller.
    fn deliver(&self, call: id::Call, request: id::Request) {
        let mut calls = self.calls.borrow_mut();
        let waiting = |pending: &&mut Pending| pending.reply.is_some();
        let Some(pending) = calls.get_mut(&call).filter(waiting) else {
            return;
        };
        let mut attempts = self.attempts.borrow_mut();
        let attempt = attempts.get_mut(&request);
        let answer = attempt.and_then(|attempt| Some((attempt.head.take()?, &attempt.inlet)));
        let Some((head, inlet)) = answer else {
            log::error!(call = call.0, request:% = request; "an answer was lost");
            self.count(Counter::AnswerLost);
            drop((calls, attempts));
            return self.on(Event::AnswerLost(call, request));
        };
        pending.delivered = Some(request);
        pending.release_body();
        self.record_answered(pending, request, head.status);
        pending.send_reply(Clock.now(), Reply::Answer(head, inlet.clone()));
        self.core_mut().record_delivered(call);
    }

    /// Refuses a call. An answer that has already begun is cut off.
    pub(crate) fn refuse(&self, call: id::Call, refusal: Refusal) {
        let mut calls = self.calls.borrow_mut();
        let Some(pending) = calls.get_mut(&call) else {
            return;
        };
        if pending.reply.is_some() {
            self.record_refused(pending, call, refusal);
            let reply = Reply::Refuse(refusal.code(), refusal.wait());
            pending.send_reply(Clock.now(), reply);
        } else if let Some(request) = pending.delivered
            && let Some(attempt) = self.attempts.borrow().get(&request)
        {
            attempt.inlet.cut();
        }
    }

    /// Ends a call when its account is evicted.
    pub(crate) fn refuse_on_eviction(&self, account: &Account, call: id::Call) {
        let weak = self.weak();
        account.on_eviction(move || {
            // The event that exceeded the budget is handled first.
            actix_rt::spawn(async move {
                if let Some(carrier) = weak.upgrade() {
                    carrier.refuse_for_memory(call);
                }
            });
        });
    }

    fn refuse_for_memory(&self, call: id::Call) {
        let refusal = self.with_call(call, |pending| {
            pending.release_body();
            match pending.attempts {
                0 => Refusal::unsent(Code::MemoryShort),
                _ => Refusal::uncertain(Code::MemoryExceeded),
            }
        });
        let Some(refusal) = refusal else { return };
        self.count(Counter::Refused(refusal.code()));
        self.refuse(call, refusal);
        self.on(Event::CallerGone(call));
    }

    /// Sends a frame to a node, possibly this one.
    pub(crate) fn transmit(&self, peer: &id::Instance, frame: Frame) {
        if *peer == self.me.instance {
            let _ = self.receive(peer, frame);
            return;
        }
        let Some(carrier) = self.weak.upgrade() else {
            return;
        };
        if is_for_inbound(&frame) {
            Links::send_outbound(&carrier, peer, &frame);
        } else {
            self.links.send_inbound(peer, &frame);
        }
    }

    /// Authenticates, decodes and handles a datagram from the network.
    pub(crate) fn receive_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        let received = self.datagrams.get();
        self.datagrams.set(Datagrams {
            messages_in: received.messages_in + 1,
            bytes_in: received.bytes_in + (bytes.len() + DATAGRAM_HEADER_BYTES) as u64,
            ..received
        });
        let message = self.ring.strip_tag(bytes).map(Message::decode);
        match message {
            Some(Ok(message)) => self.on(Event::Datagram(from, message)),
            _ => self.count(Counter::DatagramDropped),
        }
    }

    pub(crate) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    fn send_datagram(&self, to: SocketAddr, message: Message) {
        if to == self.me.datagram {
            return self.on(Event::Datagram(to, message));
        }
        if let Ok(bytes) = message.encode() {
            let bytes = self.ring.append_tag(bytes);
            let sent = self.datagrams.get();
            self.datagrams.set(Datagrams {
                messages_out: sent.messages_out + 1,
                bytes_out: sent.bytes_out + (bytes.len() + DATAGRAM_HEADER_BYTES) as u64,
                ..sent
            });
            // Datagrams may be lost anyway, so a failed send counts as a loss.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Datagram counts since the node started.
    pub(crate) fn datagrams(&self) -> Datagrams {
        self.datagrams.get()
    }

    fn dial(&self, peer: &id::Instance) {
        if let Some(carrier) = self.weak.upgrade() {
            Links::ensure_outbound(&carrier, peer);
        }
    }

    fn query_store(&self, number: u64, call: store::Call) {
        let Some(store) = self.store.clone() else {
            return self.on(Event::StoreAnswer(number, store::Answer::Lost));
        };
        let weak = self.weak.clone();
        let key = call.key().unwrap_or_default().to_owned();
        actix_rt::spawn(async move {
            let answered = contain_unit(Unit::StoreCall, async { store.call(call).await }).await;
            let Some(carrier) = weak.upgrade() else {
                return;
            };
            let answer = answered.unwrap_or_else(|panic| {
                carrier.record_panic(Unit::StoreCall, &key, &panic);
                store::Answer::Lost
            });
            carrier.on(Event::StoreAnswer(number, answer));
        });
    }

    /// Logs how the counters changed since the last summary. Individual refusals
    /// may be too numerous to log, but their totals by reason always fit.
    pub(crate) fn summarize(&self, now: Time) {
        let mut last_summary = self.last_summary.borrow_mut();
        if now.since(last_summary.0) < SUMMARY_INTERVAL {
            return;
        }
        let core = self.core();
        let counts = core.counts();
        let changes: Vec<_> = counts
            .iter()
            .map(|(counter, count)| (counter, count - last_summary.1.get(counter)))
            .filter(|(_, count)| *count > 0)
            .map(|(counter, count)| format!("{counter:?}={count}"))
            .collect();
        let load = core.load(now);
        let left_out = self.recorder.take_omitted();
        if !changes.is_empty() {
            log::info!(
                counts = changes.join(" "), running = load.running, limit = load.limit,
                waiting = load.waiting, shed_level = load.shed_level, left_out = left_out,
                dropped = crate::log::dropped();
                "summary"
            );
        }
        *last_summary = (now, counts.clone());
    }

    pub(crate) fn weak(&self) -> Weak<Self> {
        self.weak.clone()
    }

    /// Applies a function to a call in progress; `None` if there is no such call.
    pub(crate) fn with_call<T>(
        &self,
        call: id::Call,
        apply: impl FnOnce(&mut Pending) -> T,
    ) -> Option<T> {
        self.calls.borrow_mut().get_mut(&call).map(apply)
    }
}

/// Returns the secrets that authenticate links and datagrams. On a trusted
/// network all nodes share one well-known secret, so only one handshake exists.
fn link_secrets(settings: &Settings) -> Vec<Secret> {
    match settings.trust_network {
        true => vec![Secret::new(TRUSTED_NETWORK_SECRET)],
        false => settings.secrets.clone(),
    }
}

/// Whether an ingress sends this frame to an inbound proxy, over a link that the
/// ingress dialed.
pub(crate) fn is_for_inbound(frame: &Frame) -> bool {
    match frame {
        Frame::Attempt { .. } | Frame::Hint(_) | Frame::Cancel { .. } | Frame::Revoke { .. } => {
            true
        }
        // The asker may not be a member yet, so that it cannot be dialed.
        Frame::Control(message) => !matches!(**message, Message::Feed(feed::Message::Reply { .. })),
        Frame::Chunk { side, .. } | Frame::End { side, .. } | Frame::Cut { side, .. } => {
            *side == Side::Request
        }
        Frame::Credit { side, .. } => *side == Side::Answer,
        Frame::Fate { .. } | Frame::Answer { .. } | Frame::Finish { .. } | Frame::Refuse { .. } => {
            false
        }
    }
}
