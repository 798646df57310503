//! Carries events to the decisions and their actions over the network.
//!
//! Everything of a node runs on one thread, so the decisions see one event at
//! a time. What a node sends to itself takes the same way without a socket.

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
    announce::Announcer,
    backpressure::Limit,
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
        Name,
        Recorder, //
    },
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
    message::Message,
    metric::{
        Counter,
        Counts, //
    },
    node::{
        Action,
        Bounds,
        Core,
        Event,
        LogEvent, //
    },
    pending::{
        Guard,
        Pending,
        Reply,
        //
    },
    settings::{
        Limits,
        Settings, //
    },
    store,
    warmup, //
};

/// An attempt that this node sent.
pub(crate) struct Attempt {
    pub(crate) call: id::Call,
    pub(crate) peer: id::Instance,
    pub(crate) inlet: Rc<Inlet>,
    pub(crate) outlet: Rc<Outlet>,
    pub(crate) head: Option<Head>,
}

/// An attempt that this node received.
pub(crate) struct Running {
    pub(crate) peer: id::Instance,
    pub(crate) head: Head,
    pub(crate) context: Context,
    pub(crate) claimed: bool,
    /// What its lines in the log call it.
    pub(crate) name: Name,
    pub(crate) route: id::Route,
    pub(crate) arrived: Time,
    pub(crate) started: Option<Time>,
    pub(crate) inlet: Rc<Inlet>,
    pub(crate) outlet: Rc<Outlet>,
    /// Dropping it aborts what the upstream does; absent before the start.
    pub(crate) abort: Option<oneshot::Sender<()>>,
}

/// Time between two summaries in the log.
const SUMMARY: Span = Span::from_secs(2);

/// What everybody knows where the network is trusted.
const TRUSTED: &str = "the network is trusted";

/// Bytes of the headers of IP and UDP on a datagram.
const DATAGRAM_HEADERS: usize = 28;

/// Datagrams and their bytes, with all headers.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct Datagrams {
    messages_out: u64,
    messages_in: u64,
    bytes_out: u64,
    bytes_in: u64,
}

/// One node with its sockets.
pub(crate) struct Carrier {
    weak: Weak<Self>,
    pub(crate) me: member::Peer,
    settings: RefCell<Rc<Settings>>,
    pub(crate) interface: Interface,
    pub(crate) announcer: RefCell<Announcer>,
    /// The name that the upstream gave itself.
    pub(crate) target: RefCell<Option<String>>,
    /// What the decisions were told last of the upstream.
    pub(crate) taking: Cell<bool>,
    /// Connections in a row that the upstream did not accept.
    pub(crate) refusals: Cell<u32>,
    pub(crate) ring: Ring,
    core: RefCell<Core>,
    queue: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    numbers: Cell<u64>,
    /// Open connections of callers.
    pub(crate) callers: Cell<usize>,
    counts: RefCell<Counts>,
    calls: RefCell<HashMap<id::Call, Pending>>,
    pub(crate) attempts: RefCell<HashMap<id::Request, Attempt>>,
    pub(crate) running: RefCell<HashMap<id::Request, Running>>,
    pub(crate) links: Links,
    pub(crate) upstream: upstream::Pool,
    socket: UdpSocket,
    datagrams: Cell<Datagrams>,
    store: Option<Rc<dyn store::Store>>,
    draining: Cell<bool>,
    stopped: Cell<bool>,
    left: Cell<bool>,
    /// Writes what was decided on single requests.
    pub(crate) recorder: Recorder,
    /// What the last summary in the log told, and when.
    told: RefCell<(Time, Counts)>,
    /// Told when the node begins to drain, and when it has stopped.
    changed: Notify,
    /// Told when the first request comes after a time without any.
    pub(crate) woken: Notify,
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
        Rc::new_cyclic(|weak| Self {
            weak: weak.clone(),
            me,
            announcer: RefCell::new(Announcer::new(
                settings.pool.clone(),
                settings.upstream,
                settings.heartbeat,
            )),
            target: RefCell::default(),
            taking: Cell::new(false),
            refusals: Cell::new(0),
            ring: Ring::new(ring(&settings)),
            interface,
            core: RefCell::new(core),
            queue: RefCell::default(),
            busy: Cell::new(false),
            numbers: Cell::new(0),
            callers: Cell::new(0),
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
            ),
            socket,
            datagrams: Cell::default(),
            store,
            draining: Cell::new(false),
            stopped: Cell::new(false),
            left: Cell::new(false),
            recorder: Recorder::default(),
            told: RefCell::default(),
            changed: Notify::new(),
            woken: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    pub(crate) fn limits(&self) -> Limits {
        self.settings.borrow().limits
    }

    pub(crate) fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Goes by other settings from now on. Returns the fields that have changed
    /// and hold only from the next start on; they keep their values.
    pub(crate) fn reload(&self, newer: Settings, bounds: Bounds) -> Vec<&'static str> {
        let former = self.settings();
        let lasting = former.fixed_fields_changed(&newer);
        self.announcer.borrow_mut().set_heartbeat(newer.heartbeat);
        self.core.borrow_mut().set_bounds(bounds);
        self.settings.replace(Rc::new(Settings {
            limits: newer.limits,
            grace: newer.grace,
            heartbeat: newer.heartbeat,
            bounds: newer.bounds,
            operators_token: newer.operators_token,
            ..(*former).clone()
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
        let next = self.numbers.get() + 1;
        self.numbers.set(next);
        next
    }

    pub(crate) fn count(&self, counter: Counter) {
        self.counts.borrow_mut().add(counter);
    }

    /// What the input and output counted.
    pub(crate) fn counts(&self) -> Ref<'_, Counts> {
        self.counts.borrow()
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Whether connections of callers are getting scarce.
    ///
    /// Guards against callers that open a connection for each try and leave the
    /// former ones idle: the limit is reached within seconds, and then new
    /// callers are cut without an answer. Past half of it every answer tells its
    /// caller that the connection closes.
    pub(crate) fn is_crowded(&self) -> bool {
        self.callers.get() > self.limits().connections / 2
    }

    /// Waits until the node is told to stop.
    pub(crate) async fn drained(&self) {
        while !self.draining.get() {
            self.changed.notified().await;
        }
    }

    /// Waits until the decisions have ended, and no caller waits.
    pub(crate) async fn stopped(&self) {
        while !self.stopped.get() || !self.calls.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Whether the service said that it leaves.
    pub(crate) fn has_left(&self) -> bool {
        self.left.get()
    }

    /// The service says that it takes requests, or that it leaves.
    pub(crate) fn announce(&self, ready: bool) {
        self.left.set(!ready);
        // Said again, it is no other life.
        let is_news = ready && !self.core().is_offered();
        if is_news {
            let life = self.me.incarnation.0.wrapping_add(self.next_number());
            self.on(Event::UpstreamStarted(id::Upstream(life)));
        }
        self.on(Event::UpstreamReady(ready));
    }

    /// Whether any request is under way.
    pub(crate) fn is_busy(&self) -> bool {
        !self.calls.borrow().is_empty() || !self.running.borrow().is_empty()
    }

    /// Requests under way: calls, attempts sent, attempts received.
    pub(crate) fn load(&self) -> (usize, usize, usize) {
        (
            self.calls.borrow().len(),
            self.attempts.borrow().len(),
            self.running.borrow().len(),
        )
    }

    /// Whether an attempt at the peer is under way.
    pub(crate) fn attempts_at(&self, peer: &id::Instance) -> bool {
        let attempts = self.attempts.borrow();
        attempts.values().any(|attempt| attempt.peer == *peer)
    }

    /// The attempts at the peer that are under way.
    pub(crate) fn attempts_of(&self, peer: &id::Instance) -> Vec<id::Request> {
        let attempts = self.attempts.borrow();
        let theirs = attempts.iter().filter(|(_, attempt)| attempt.peer == *peer);
        theirs.map(|(request, _)| *request).collect()
    }

    pub(crate) fn drain(&self) {
        if !self.draining.replace(true) {
            self.changed.notify_waiters();
            self.woken.notify_one();
            self.on(Event::Drain);
        }
    }

    pub(crate) fn wake(&self) {
        if !self.is_busy() {
            self.woken.notify_one();
        }
    }

    /// Registers a call.
    pub(crate) fn begin(&self, call: id::Call, pending: Pending) -> Guard {
        self.wake();
        self.calls.borrow_mut().insert(call, pending);
        let carrier = self.weak.upgrade().expect("a carrier is held by a pointer");
        Guard { carrier, call }
    }

    /// The caller of a call has its answer, or is gone.
    pub(crate) fn finish(&self, call: id::Call) {
        let ended = self.calls.borrow_mut().remove(&call);
        if let Some(pending) = ended.filter(|pending| pending.reply.is_some()) {
            self.record_gone(&pending, call);
        }
        self.on(Event::CallerGone(call));
        self.changed.notify_waiters();
    }

    /// Hands an event to the decisions and does what they say. An event that
    /// comes up meanwhile waits for its turn.
    pub(crate) fn on(&self, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else {
                break;
            };
            let cleanup = Cleanup::after(&event);
            let now = Clock.now();
            self.core.borrow_mut().on(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.clean_up(cleanup);
        }
        self.busy.set(false);
    }

    fn act(&self, action: Action) {
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
                    let name = || Name::new(None, context.root);
                    pending.name.get_or_insert_with(name);
                    pending.head.clone()
                });
                let Some(head) = head else { return };
                self.record_sent(call, request, &peer, &route, &context);
                let length = head.length;
                let outlet = self.attempt(call, request, &peer);
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
            Action::Refuse(call, code, wait) => self.refuse(call, code, wait),
            Action::Frame(peer, frame) => {
                match &frame {
                    Frame::Refuse { request, code, .. } => {
                        self.record_turned(*request, *code);
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
            Action::Store(number, call) => self.ask(number, call),
            Action::Dial(peer) => self.dial(&peer),
            Action::Log(note) => tell(&note),
            Action::Stop => {
                self.stopped.set(true);
                self.changed.notify_waiters();
            }
        }
    }

    /// Registers an attempt about to be sent.
    fn attempt(&self, call: id::Call, request: id::Request, peer: &id::Instance) -> Rc<Outlet> {
        let outlet = Outlet::new();
        let attempt = Attempt {
            call,
            peer: peer.clone(),
            inlet: self.inlet(peer, request, Side::Answer),
            outlet: outlet.clone(),
            head: None,
        };
        self.attempts.borrow_mut().insert(request, attempt);
        outlet
    }

    /// A receiving end that grants room to its peer.
    pub(crate) fn inlet(&self, peer: &id::Instance, request: id::Request, side: Side) -> Rc<Inlet> {
        let (weak, peer) = (self.weak.clone(), peer.clone());
        Inlet::new(move |bytes| {
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

    fn deliver(&self, call: id::Call, request: id::Request) {
        let mut calls = self.calls.borrow_mut();
        let mut attempts = self.attempts.borrow_mut();
        let (Some(pending), Some(attempt)) = (calls.get_mut(&call), attempts.get_mut(&request))
        else {
            return;
        };
        if let (Some(reply), Some(head)) = (pending.reply.take(), attempt.head.take()) {
            pending.delivered = Some(request);
            self.record_answered(pending, request, head.status);
            let _ = reply.send(Reply::Answer(head, attempt.inlet.clone()));
        }
    }

    /// Refuses a call. When its answer has begun already, it is cut.
    pub(crate) fn refuse(&self, call: id::Call, code: Code, wait: Option<Span>) {
        let mut calls = self.calls.borrow_mut();
        let Some(pending) = calls.get_mut(&call) else {
            return;
        };
        if let Some(reply) = pending.reply.take() {
            self.record_refused(pending, call, code, wait);
            let _ = reply.send(Reply::Refuse(code, wait));
        } else if let Some(request) = pending.delivered
            && let Some(attempt) = self.attempts.borrow().get(&request)
        {
            attempt.inlet.cut();
        }
    }

    /// Sends a frame to a node, this one included.
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

    /// Takes a datagram as it came from the network.
    pub(crate) fn receive_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        let received = self.datagrams.get();
        self.datagrams.set(Datagrams {
            messages_in: received.messages_in + 1,
            bytes_in: received.bytes_in + (bytes.len() + DATAGRAM_HEADERS) as u64,
            ..received
        });
        let message = self.ring.open(bytes).map(Message::decode);
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
            let bytes = self.ring.seal(bytes);
            let sent = self.datagrams.get();
            self.datagrams.set(Datagrams {
                messages_out: sent.messages_out + 1,
                bytes_out: sent.bytes_out + (bytes.len() + DATAGRAM_HEADERS) as u64,
                ..sent
            });
            // A datagram that the system does not take is a lost datagram.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Datagrams since the node began.
    pub(crate) fn datagrams(&self) -> Datagrams {
        self.datagrams.get()
    }

    fn dial(&self, peer: &id::Instance) {
        if let Some(carrier) = self.weak.upgrade() {
            Links::ensure_outbound(&carrier, peer);
        }
    }

    fn ask(&self, number: u64, call: store::Call) {
        let Some(store) = self.store.clone() else {
            return self.on(Event::StoreAnswer(number, store::Answer::Lost));
        };
        let weak = self.weak.clone();
        actix_rt::spawn(async move {
            let answer = store.call(call).await;
            if let Some(carrier) = weak.upgrade() {
                carrier.on(Event::StoreAnswer(number, answer));
            }
        });
    }

    /// Logs what was counted since the last summary. Single refusals may be too
    /// many for the log; their sum by reason never is.
    pub(crate) fn summarize(&self, now: Time) {
        let mut told = self.told.borrow_mut();
        if now.since(told.0) < SUMMARY {
            return;
        }
        let core = self.core();
        let counts = core.counts();
        let news: Vec<_> = counts
            .iter()
            .map(|(counter, count)| (counter, count - told.1.get(counter)))
            .filter(|(_, count)| *count > 0)
            .map(|(counter, count)| format!("{counter:?}={count}"))
            .collect();
        let load = core.load(now);
        let left_out = self.recorder.left_out();
        if !news.is_empty() {
            log::info!(
                counts = news.join(" "), running = load.running, limit = load.limit,
                waiting = load.waiting, shed_level = load.level, left_out = left_out,
                dropped = crate::log::dropped();
                "summary"
            );
        }
        *told = (now, counts.clone());
    }

    pub(crate) fn weak(&self) -> Weak<Self> {
        self.weak.clone()
    }

    /// Looks at a call that is under way.
    pub(crate) fn with_call<T>(
        &self,
        call: id::Call,
        look: impl FnOnce(&mut Pending) -> T,
    ) -> Option<T> {
        self.calls.borrow_mut().get_mut(&call).map(look)
    }
}

/// The secrets of the links. Where the network is trusted everybody knows the
/// same one, so that there is one handshake.
fn ring(settings: &Settings) -> Vec<Secret> {
    match settings.trust_network {
        true => vec![Secret::new(TRUSTED)],
        false => settings.secrets.clone(),
    }
}

fn tell(note: &LogEvent) {
    match note {
        LogEvent::ConfigAdopted(version) => {
            log::info!(version = version.0; "a configuration is in force")
        }
        LogEvent::ConfigUnusable(reason) => {
            log::warn!(reason = reason.as_str(); "a configuration is unusable")
        }
        LogEvent::ConfigStaleness { stale, age } => {
            let age = age.map(Span::as_ms);
            log::warn!(stale = *stale, age_ms = age.unwrap_or_default(); "the store's last word");
        }
        LogEvent::MemberChanged(peer) => log::info!(
            peer:% = peer.instance, pool:% = peer.pool, domain:% = peer.domain, ready = peer.ready,
            life:% = peer.incarnation, status:% = peer.status; "a member is there"
        ),
        LogEvent::MemberRemoved(name) => log::info!(peer:% = name; "a member is gone"),
        LogEvent::Warmup(status) => tell_warmup(*status),
        LogEvent::Limit(Limit::Named(rate)) => {
            log::info!(per_second = rate.as_f64(); "the upstream names a limit")
        }
        LogEvent::UpstreamLeaving { by_hint } => {
            log::info!(by_hint = *by_hint; "the upstream says in its answers that it leaves")
        }
        LogEvent::Limit(Limit::Absent) => log::info!("the upstream names no limit any more"),
        LogEvent::Limit(Limit::Unreadable) => {
            log::warn!("the upstream names a limit that is no rate; the last one stays")
        }
        LogEvent::Evacuated { domain, order, age } => log::info!(
            evacuated:% = domain, in_force = order.in_force, revision = order.revision.0,
            age_ms = age.map_or(-1, |age| age.as_ms() as i64);
            "an operator's order on a failure domain"
        ),
        LogEvent::StoreSource(Some(name)) => {
            log::info!(peer:% = name; "the store is heard from a watcher")
        }
        LogEvent::StoreSource(None) => log::info!("the store is asked directly"),
    }
}

fn tell_warmup(status: warmup::Status) {
    let now = Clock.now();
    match status {
        warmup::Status::Warm => log::info!("the upstream is warm"),
        warmup::Status::Cold(until) => {
            log::info!(left_ms = now.until(until).as_ms(); "the upstream is cold")
        }
        warmup::Status::MaybeCold(doubt, _) => {
            log::info!(doubt:? = doubt; "the upstream may be cold")
        }
    }
}

/// Frames that an ingress sends to an inbound proxy, over the link that it
/// dialed itself.
pub(crate) fn is_for_inbound(frame: &Frame) -> bool {
    match frame {
        Frame::Attempt { .. }
        | Frame::Hint(_)
        | Frame::Cancel { .. }
        | Frame::Revoke { .. }
        | Frame::Control(_) => true,
        Frame::Chunk { side, .. } | Frame::End { side, .. } | Frame::Cut { side, .. } => {
            *side == Side::Request
        }
        Frame::Credit { side, .. } => *side == Side::Answer,
        Frame::Fate { .. } | Frame::Answer { .. } | Frame::Finish { .. } | Frame::Refuse { .. } => {
            false
        }
    }
}
