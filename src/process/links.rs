//! The links of one node: made when they are needed, closed when idle.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
};

use bytes::Bytes;
use tokio::{
    net::TcpStream,
    sync::mpsc, //
};

use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Time, //
    },
    connection::link::{
        self,
        HANDSHAKE_TIMEOUT,
        Queue, //
    },
    error::{
        Code as Fault,
        Error,
        Result, //
    },
    frame::Frame,
    id,
    metric::Counter,
    node::Event,
};

struct Link {
    number: u64,
    queue: Queue,
    used: Cell<Time>,
}

/// All links of a node.
#[derive(Default)]
pub(crate) struct Links {
    dialed: RefCell<HashMap<id::Instance, Link>>,
    accepted: RefCell<HashMap<id::Instance, Link>>,
    half_open: Cell<usize>,
}

impl Links {
    /// Links that this node made, and that others made to it.
    pub(crate) fn len(&self) -> (usize, usize) {
        (self.dialed.borrow().len(), self.accepted.borrow().len())
    }

    /// Sends a frame over the link that this node dials.
    pub(crate) fn dialed(carrier: &Rc<Carrier>, peer: &id::Instance, frame: &Frame) {
        let Ok(bytes) = frame.encode() else {
            return log::error!(peer:% = peer; "a frame is too large to send");
        };
        let mut links = carrier.links.dialed.borrow_mut();
        let link = links
            .entry(peer.clone())
            .or_insert_with(|| dial(carrier, peer));
        link.used.set(Clock.now());
        let _ = link.queue.send(bytes);
    }

    /// Makes the link to a peer, unless it is there.
    pub(crate) fn ensure(carrier: &Rc<Carrier>, peer: &id::Instance) {
        let mut links = carrier.links.dialed.borrow_mut();
        links
            .entry(peer.clone())
            .or_insert_with(|| dial(carrier, peer));
    }

    /// Sends a frame over the link that the peer made. Without one, nobody
    /// waits for it any more.
    pub(crate) fn accepted(&self, peer: &id::Instance, frame: &Frame) {
        if let Some(link) = self.accepted.borrow().get(peer)
            && let Ok(bytes) = frame.encode()
        {
            let _ = link.queue.send(bytes);
        }
    }

    /// Closes the links that were not used for a while. Closing the queue lets
    /// what is in it go out first.
    pub(crate) fn prune(&self, carrier: &Carrier, now: Time) {
        let idle = carrier.limits().link_idle;
        let quiet = |peer: &id::Instance, link: &Link| {
            now.since(link.used.get()) >= idle && !carrier.attempts_at(peer)
        };
        let mut links = self.dialed.borrow_mut();
        links.retain(|peer, link| !quiet(peer, link));
    }

    /// Closes every link, once what is queued has gone out.
    pub(crate) fn close(&self) {
        self.dialed.borrow_mut().clear();
        self.accepted.borrow_mut().clear();
    }

    /// Breaks every link at once. What is queued is lost.
    pub(crate) fn cut(&self, carrier: &Carrier) {
        let dialed: Vec<_> = self.dialed.borrow_mut().drain().collect();
        let accepted: Vec<_> = self.accepted.borrow_mut().drain().collect();
        dialed
            .into_iter()
            .for_each(|(peer, _)| carrier.on(Event::OutboundLinkLost(peer)));
        accepted
            .into_iter()
            .for_each(|(peer, _)| carrier.on(Event::InboundLinkLost(peer)));
    }

    /// Takes a connection that another node made.
    pub(crate) fn accept(carrier: &Rc<Carrier>, stream: TcpStream) {
        let links = &carrier.links;
        let limits = carrier.limits();
        let full = links.accepted.borrow().len() >= limits.links;
        if full || links.half_open.get() >= limits.half_open {
            return carrier.count(Counter::LinkLimit);
        }
        links.half_open.set(links.half_open.get() + 1);
        let carrier = carrier.clone();
        actix_rt::spawn(async move {
            let greeting = link::accept(stream, &carrier.me.instance, &carrier.ring);
            let greeted = tokio::time::timeout(HANDSHAKE_TIMEOUT.to_std(), greeting).await;
            let links = &carrier.links;
            links.half_open.set(links.half_open.get() - 1);
            match greeted {
                Ok(Ok((peer, socket))) => serve(carrier, peer, socket).await,
                Ok(Err(error)) => {
                    log::warn!(code = error.number(); "link refused: {}", error.reason());
                    carrier.count(Counter::Unauthenticated);
                }
                Err(_) => carrier.count(Counter::Unauthenticated),
            }
        });
    }
}

/// Carries a link that a peer made, until it breaks.
async fn serve(
    carrier: Rc<Carrier>,
    peer: id::Instance,
    socket: tokio_tungstenite::WebSocketStream<TcpStream>,
) {
    let (queue, rest) = mpsc::unbounded_channel();
    let number = carrier.next_number();
    let link = Link {
        number,
        queue,
        used: Cell::new(Clock.now()),
    };
    let former = carrier
        .links
        .accepted
        .borrow_mut()
        .insert(peer.clone(), link);
    if former.is_some() {
        // The peer gave the former link up; what came over it has no waiter,
        // and must not be mixed with what comes over this one.
        carrier.on(Event::InboundLinkLost(peer.clone()));
    }
    carrier.count(Counter::LinkOpened);
    link::run(socket, rest, taker(&carrier, &peer, true)).await;
    let mut links = carrier.links.accepted.borrow_mut();
    let current = links.get(&peer).is_some_and(|link| link.number == number);
    if current {
        links.remove(&peer);
    }
    drop(links);
    if current {
        carrier.on(Event::InboundLinkLost(peer));
    }
}

/// Begins to make a link. Frames queue until it is there.
fn dial(carrier: &Rc<Carrier>, peer: &id::Instance) -> Link {
    let (queue, rest) = mpsc::unbounded_channel();
    let number = carrier.next_number();
    let (carrier, peer) = (carrier.clone(), peer.clone());
    actix_rt::spawn(async move {
        let made = make(&carrier, &peer).await;
        let opened = made.is_ok();
        match made {
            Ok(socket) => {
                carrier.count(Counter::LinkOpened);
                carrier.on(Event::OutboundLinkOpened(peer.clone()));
                link::run(socket, rest, taker(&carrier, &peer, false)).await;
            }
            Err(error) => {
                log::warn!(peer:% = peer, code = error.number(); "no link: {}", error.reason());
            }
        }
        ended(&carrier, peer, number, opened);
    });
    Link {
        number,
        queue,
        used: Cell::new(Clock.now()),
    }
}

async fn make(
    carrier: &Rc<Carrier>,
    peer: &id::Instance,
) -> Result<tokio_tungstenite::WebSocketStream<TcpStream>> {
    let address = carrier.core_mut().members().get(peer).map(|peer| peer.link);
    let address = address.ok_or_else(|| Error::new(Fault::Unreachable, "no such member"))?;
    let dialing = link::dial(address, &carrier.me.instance, peer, &carrier.ring);
    tokio::time::timeout(HANDSHAKE_TIMEOUT.to_std(), dialing)
        .await
        .map_err(|_| Error::new(Fault::Unreachable, "the handshake took too long"))?
}

/// A link that this node made has ended. One closed for being idle is not in
/// the table any more and puts nothing in doubt.
fn ended(carrier: &Rc<Carrier>, peer: id::Instance, number: u64, opened: bool) {
    let mut links = carrier.links.dialed.borrow_mut();
    if links.get(&peer).is_none_or(|link| link.number != number) {
        return;
    }
    links.remove(&peer);
    drop(links);
    carrier.count(Counter::LinkBroken);
    // No frame has left this node over a link that was not made, so its
    // attempts were not run. They must not be told as broken afterwards: a
    // retry may be on its way to the same peer already, over the next link.
    let unsent = match opened {
        true => Vec::new(),
        false => carrier.attempts_of(&peer),
    };
    if unsent.is_empty() {
        return carrier.on(Event::OutboundLinkLost(peer));
    }
    for request in unsent {
        carrier.on(Event::AttemptUnsent(request));
    }
}

/// Decodes the frames of a link and hands them on.
fn taker(
    carrier: &Rc<Carrier>,
    peer: &id::Instance,
    accepted: bool,
) -> Rc<dyn Fn(Bytes) -> Result<()>> {
    let (carrier, peer) = (carrier.clone(), peer.clone());
    Rc::new(move |bytes| {
        let taken = Frame::decode(&bytes).and_then(|frame| {
            let wrong = crate::carrier::is_for_inbound(&frame) != accepted;
            if wrong && !matches!(frame, Frame::Control(_)) {
                return Err(Error::new(Fault::Frame, "a frame came the wrong way"));
            }
            carrier.receive(&peer, frame)
        });
        if let Err(error) = &taken {
            log::warn!(peer:% = peer, code = error.number(); "link closed: {}", error.reason());
        }
        taken
    })
}
