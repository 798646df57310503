//! The links of a node to other nodes, opened on demand and closed when idle.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    convert::Infallible,
    rc::Rc,
};

use tokio::{
    net::TcpStream,
    sync::oneshot, //
};

use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Time, //
    },
    connection::{
        link::{
            self,
            Authenticated,
            HANDSHAKE_TIMEOUT,
            Incoming, //
        },
        queue::{
            Held,
            Outgoing,
            Queue,
            Queued, //
        },
    },
    error::{
        Code as Fault,
        Error,
        Result, //
    },
    frame::{
        Frame,
        Side, //
    },
    id,
    memory::Owner,
    metric::Counter,
    node::Event,
    task::{
        Unit,
        contain_unit, //
    },
};

/// An open link, or one whose handshake is in progress.
struct Link {
    /// Distinguishes the link from earlier and later ones to the same peer.
    number: u64,
    queue: Queue,
    last_used: Cell<Time>,
    /// Fails when the link has ended.
    ended: oneshot::Receiver<Infallible>,
}

/// All links of a node, by peer.
#[derive(Default)]
pub(crate) struct Links {
    outbound: RefCell<HashMap<id::Instance, Link>>,
    inbound: RefCell<HashMap<id::Instance, Link>>,
    half_open: Cell<usize>,
}

impl Links {
    /// Returns the number of outbound and of inbound links.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.outbound.borrow().len(), self.inbound.borrow().len())
    }

    /// Sends a frame over the outbound link to a peer, which is dialed if there is
    /// none.
    pub(crate) fn send_outbound(carrier: &Rc<Carrier>, peer: &id::Instance, frame: &Frame) {
        let Ok(bytes) = frame.encode() else {
            return log::error!(peer:% = peer; "frame is too large to send");
        };
        let mut links = carrier.links.outbound.borrow_mut();
        let link = links
            .entry(peer.clone())
            .or_insert_with(|| dial(carrier, peer));
        link.last_used.set(Clock.now());
        link.queue.push(Outgoing::Frame(bytes));
    }

    /// Asks a peer for a sign of life if there is an outbound link to it.
    pub(crate) fn ping(&self, peer: &id::Instance) {
        if let Some(link) = self.outbound.borrow().get(peer) {
            link.queue.push(Outgoing::Ping);
        }
    }

    /// Dials a peer unless there is an outbound link to it, and returns the number of
    /// the link.
    pub(crate) fn ensure_outbound(carrier: &Rc<Carrier>, peer: &id::Instance) -> u64 {
        let mut links = carrier.links.outbound.borrow_mut();
        let link = links
            .entry(peer.clone())
            .or_insert_with(|| dial(carrier, peer));
        link.number
    }

    /// Sends a frame over the inbound link of a peer. Without one the frame is
    /// dropped, since the peer no longer waits for it.
    pub(crate) fn send_inbound(&self, peer: &id::Instance, frame: &Frame) {
        if let Some(link) = self.inbound.borrow().get(peer)
            && let Ok(bytes) = frame.encode()
        {
            link.queue.push(Outgoing::Frame(bytes));
        }
    }

    /// Returns what the link to a peer holds if streamed bodies have to wait for it. A
    /// request body is sent over the outbound link, an answer over the inbound one.
    pub(crate) fn crowded(&self, peer: &id::Instance, side: Side) -> Option<Rc<Held>> {
        let links = match side {
            Side::Request => self.outbound.borrow(),
            Side::Answer => self.inbound.borrow(),
        };
        let held = links.get(peer)?.queue.held();
        held.is_crowded().then(|| held.clone())
    }

    /// Whether this is the inbound link of the peer. One that is being closed is not.
    fn is_current_inbound(&self, peer: &id::Instance, number: u64) -> bool {
        let links = self.inbound.borrow();
        links.get(peer).is_some_and(|link| link.number == number)
    }

    /// Whether a later inbound link of the peer has replaced this one.
    fn is_replaced_inbound(&self, peer: &id::Instance, number: u64) -> bool {
        let links = self.inbound.borrow();
        links.get(peer).is_some_and(|link| link.number != number)
    }

    /// Closes idle outbound links. Queued frames are still sent, since a closed
    /// queue is drained first.
    pub(crate) fn prune(&self, carrier: &Carrier, now: Time) {
        let idle_timeout = carrier.limits().link_idle;
        let is_idle = |peer: &id::Instance, link: &Link| {
            now.since(link.last_used.get()) >= idle_timeout && !carrier.has_attempts_to(peer)
        };
        let mut links = self.outbound.borrow_mut();
        links.retain(|peer, link| !is_idle(peer, link));
    }

    /// Closes all links after their queued frames have been sent. The future waits
    /// until the peers have received those of the inbound links, which may belong to
    /// answers.
    pub(crate) fn close(&self) -> impl Future<Output = ()> + use<> {
        self.outbound.borrow_mut().clear();
        let inbound: Vec<_> = self.inbound.borrow_mut().drain().collect();
        // Dropping the queues closes the links.
        let ends: Vec<_> = inbound.into_iter().map(|(_, link)| link.ended).collect();
        async {
            for end in ends {
                let _ = end.await;
            }
        }
    }

    /// Simulates a network fault: drops all links and reports them as lost.
    pub(crate) fn cut_all(&self, carrier: &Carrier) {
        let outbound: Vec<_> = self.outbound.borrow_mut().drain().collect();
        let inbound: Vec<_> = self.inbound.borrow_mut().drain().collect();
        for (peer, link) in outbound {
            let lost = carrier.attempts_over(link.number);
            carrier.on(Event::OutboundLinkLost(peer, lost));
        }
        inbound
            .into_iter()
            .for_each(|(peer, _)| carrier.on(Event::InboundLinkLost(peer)));
    }

    /// Accepts a connection of another node, and serves it as an inbound link once
    /// it is authenticated.
    pub(crate) fn accept(carrier: &Rc<Carrier>, stream: TcpStream) {
        let links = &carrier.links;
        let limits = carrier.limits();
        let full = links.inbound.borrow().len() >= limits.links;
        if full || links.half_open.get() >= limits.half_open {
            return carrier.count(Counter::LinkLimit);
        }
        links.half_open.set(links.half_open.get() + 1);
        let carrier = carrier.clone();
        actix_rt::spawn(async move {
            let accepted = contain_unit(Unit::Link, handshake(&carrier, stream)).await;
            let links = &carrier.links;
            links.half_open.set(links.half_open.get() - 1);
            match accepted {
                Ok(Some((peer, connection))) => serve(carrier, peer, connection).await,
                Ok(None) => {}
                Err(panic) => carrier.record_panic(Unit::Link, &"", &panic),
            }
        });
    }
}

/// Authenticates the peer that has opened a connection. Returns `None` if it fails to.
async fn handshake(carrier: &Carrier, stream: TcpStream) -> Option<(id::Instance, Authenticated)> {
    let handshake = link::accept(stream, &carrier.me.instance, &carrier.ring);
    let outcome = tokio::time::timeout(HANDSHAKE_TIMEOUT.to_std(), handshake).await;
    match outcome {
        Ok(Ok(accepted)) => return Some(accepted),
        Ok(Err(error)) => {
            log::warn!(code = error.number(); "link refused: {}", error.reason());
        }
        Err(_) => {}
    }
    carrier.count(Counter::Unauthenticated);
    None
}

/// Serves an inbound link until it ends.
async fn serve(carrier: Rc<Carrier>, peer: id::Instance, connection: Authenticated) {
    let (queue, queued) = Queue::new();
    let held = queue.held().clone();
    let (end, ended) = oneshot::channel();
    let number = carrier.next_number();
    let link = Link {
        number,
        queue,
        last_used: Cell::new(Clock.now()),
        ended,
    };
    let replaced = carrier
        .links
        .inbound
        .borrow_mut()
        .insert(peer.clone(), link);
    if replaced.is_some() {
        // The peer has given up the replaced link. Nothing waits for the frames
        // that came over it, and they must not be mixed with those of this one.
        carrier.on(Event::InboundLinkLost(peer.clone()));
    }
    carrier.count(Counter::LinkOpened);
    let handle = frame_handler(&carrier, &peer, true);
    let handler = {
        let (carrier, peer) = (carrier.clone(), peer.clone());
        Rc::new(move |incoming| {
            if carrier.links.is_replaced_inbound(&peer, number) {
                log::info!(peer:% = peer; "link closed: another one has replaced it");
                return Err(Error::new(Fault::Frame, "the link was replaced"));
            }
            handle(incoming)
        })
    };
    let run = link::run(connection, queued, handler);
    let ended = contain_unit(Unit::Link, run_bounded(&carrier, &peer, &held, run)).await;
    if let Err(panic) = ended {
        carrier.record_panic(Unit::Link, &peer, &panic);
    }
    drop(end);
    if carrier.links.is_current_inbound(&peer, number) {
        carrier.links.inbound.borrow_mut().remove(&peer);
        carrier.on(Event::InboundLinkLost(peer));
    }
}

/// Starts to dial a peer. Frames are queued until the link is open.
fn dial(carrier: &Rc<Carrier>, peer: &id::Instance) -> Link {
    let (queue, queued) = Queue::new();
    let held = queue.held().clone();
    let (end, ended) = oneshot::channel();
    let number = carrier.next_number();
    let (carrier, peer) = (carrier.clone(), peer.clone());
    actix_rt::spawn(async move {
        let opened = Cell::new(false);
        let run = run_outbound(&carrier, &peer, queued, &opened);
        let run = run_bounded(&carrier, &peer, &held, run);
        if let Err(panic) = contain_unit(Unit::Link, run).await {
            carrier.record_panic(Unit::Link, &peer, &panic);
        }
        handle_outbound_end(&carrier, peer, number, opened.get());
        drop(end);
    });
    Link {
        number,
        queue,
        last_used: Cell::new(Clock.now()),
        ended,
    }
}

/// Runs a link until it ends or holds too much. Then its connection is closed at once,
/// as if it had broken.
async fn run_bounded(
    carrier: &Carrier,
    peer: &id::Instance,
    held: &Held,
    run: impl Future<Output = ()>,
) {
    let account = carrier.memory.open(Owner::Links);
    tokio::select! {
        () = run => {}
        () = held.exceed(&account) => {
            carrier.count(Counter::LinkOverrun);
            log::warn!(peer:% = peer, held = account.held(); "link closed: it holds too much");
        }
    }
}

/// Opens an outbound link and runs it until it ends.
async fn run_outbound(
    carrier: &Rc<Carrier>,
    peer: &id::Instance,
    queued: Queued,
    opened: &Cell<bool>,
) {
    match connect(carrier, peer).await {
        Ok(connection) => {
            opened.set(true);
            carrier.count(Counter::LinkOpened);
            carrier.on(Event::OutboundLinkOpened(peer.clone()));
            link::run(connection, queued, frame_handler(carrier, peer, false)).await;
        }
        Err(error) => {
            log::warn!(peer:% = peer, code = error.number(); "no link: {}", error.reason());
        }
    }
}

/// Connects to a peer and performs the handshake.
async fn connect(carrier: &Rc<Carrier>, peer: &id::Instance) -> Result<Authenticated> {
    let address = carrier.core_mut().members().get(peer).map(|peer| peer.link);
    let address = address.ok_or_else(|| Error::new(Fault::Unreachable, "no such member"))?;
    let handshake = link::dial(address, &carrier.me.instance, peer, &carrier.ring);
    tokio::time::timeout(HANDSHAKE_TIMEOUT.to_std(), handshake)
        .await
        .map_err(|_| Error::new(Fault::Unreachable, "the handshake took too long"))?
}

/// Reports the end of an outbound link. A link that was closed because it was
/// idle is no longer in the table and had no attempts, so nothing is reported.
fn handle_outbound_end(carrier: &Rc<Carrier>, peer: id::Instance, number: u64, opened: bool) {
    let mut links = carrier.links.outbound.borrow_mut();
    if links.get(&peer).is_none_or(|link| link.number != number) {
        return;
    }
    links.remove(&peer);
    drop(links);
    carrier.count(Counter::LinkBroken);
    // If the link was never opened, no frame was sent over it, so its attempts
    // were not run. They must not be reported as lost later: a retry may already
    // be under way to the same peer over the next link.
    let attempts = carrier.attempts_over(number);
    if opened || attempts.is_empty() {
        return carrier.on(Event::OutboundLinkLost(peer, attempts));
    }
    for request in attempts {
        carrier.on(Event::AttemptUnsent(request));
    }
}

/// Returns the handler that decodes the frames of a link and processes them.
fn frame_handler(
    carrier: &Rc<Carrier>,
    peer: &id::Instance,
    inbound: bool,
) -> Rc<dyn Fn(Incoming) -> Result<()>> {
    let (carrier, peer) = (carrier.clone(), peer.clone());
    Rc::new(move |incoming| {
        let bytes = match incoming {
            Incoming::Frame(bytes) => bytes,
            Incoming::Pong => {
                carrier.on(Event::Pong(peer.clone()));
                return Ok(());
            }
        };
        let received = Frame::decode(&bytes).and_then(|frame| {
            let wrong_direction = crate::carrier::is_for_inbound(&frame) != inbound;
            if wrong_direction && !matches!(frame, Frame::Control(_)) {
                return Err(Error::new(
                    Fault::Frame,
                    "received a frame of the wrong direction",
                ));
            }
            carrier.receive(&peer, frame)
        });
        if let Err(error) = &received {
            log::warn!(peer:% = peer, code = error.number(); "link closed: {}", error.reason());
        }
        received
    })
}
