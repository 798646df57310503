//! Receives frames from other nodes, passes body chunks to their streams, and
//! releases the streams of a request after the core has processed its end.

use std::rc::Rc;

use crate::{
    carrier::{
        Carrier,
        ReceivedAttempt,
        SentAttempt, //
    },
    clock::Clock,
    connection::body::{
        Inlet,
        Outlet, //
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
    metric::Counter,
    node::Event,
};

impl Carrier {
    /// Processes a frame from a node, which may be this node itself.
    ///
    /// # Errors
    ///
    /// Fails if the peer violated the protocol. Its link must then be closed.
    pub(crate) fn receive(&self, peer: &id::Instance, mut frame: Frame) -> Result<()> {
        match &mut frame {
            Frame::Attempt {
                request,
                context,
                claim,
                head,
                route,
                ..
            } => {
                if self.running.borrow().contains_key(request) {
                    return Err(Error::new(Fault::Frame, "received an attempt twice"));
                }
                let head = std::mem::take(head);
                let inlet = self.inlet(peer, *request, Side::Request);
                if head.length == Some(0) {
                    inlet.end(xxhash_rust::xxh3::xxh3_64(&[]));
                }
                let running = ReceivedAttempt {
                    peer: peer.clone(),
                    context: context.clone(),
                    claimed: claim.is_some(),
                    name: self.request_name(&head, context),
                    head,
                    route: route.clone(),
                    arrived: Clock.now(),
                    started: None,
                    inlet,
                    outlet: Outlet::new(),
                    abort: None,
                };
                self.wake();
                self.running.borrow_mut().insert(*request, running);
            }
            Frame::Answer { request, head, .. } => {
                let mut attempts = self.attempts.borrow_mut();
                if let Some(attempt) = attempts.get_mut(request)
                    && attempt.peer == *peer
                {
                    let status = head.status;
                    attempt.head = Some(std::mem::take(head));
                    head.status = status;
                }
            }
            Frame::Chunk { .. } | Frame::End { .. } | Frame::Cut { .. } => {
                self.receive_body(peer, frame);
                return Ok(());
            }
            Frame::Credit {
                request,
                side,
                bytes,
            } => {
                if let Some(outlet) = self.find_outlet(peer, *request, *side) {
                    outlet.grant(*bytes);
                    if *side == Side::Request {
                        self.core_mut().record_body_progress(Clock.now(), peer);
                    }
                }
                return Ok(());
            }
            Frame::Refuse {
                request,
                code,
                report,
            } => self.record_declined(peer, *request, *code, report),
            _ => {}
        }
        self.on(Event::Frame(peer.clone(), frame));
        Ok(())
    }

    /// Passes a chunk, the end or the abort of a body to its receiving stream.
    fn receive_body(&self, peer: &id::Instance, frame: Frame) {
        let (Frame::Chunk { request, side, .. }
        | Frame::End { request, side, .. }
        | Frame::Cut { request, side }) = frame
        else {
            return;
        };
        let Some(inlet) = self.find_inlet(peer, request, side) else {
            return self.count(Counter::Late);
        };
        if side == Side::Answer {
            self.core_mut().record_body_progress(Clock.now(), peer);
        }
        match frame {
            Frame::Chunk { bytes, .. } => inlet.push(bytes),
            Frame::End { sum, .. } => inlet.end(sum),
            _ => inlet.cut(),
        }
    }

    /// Returns the receiving end of a body that the peer sends.
    fn find_inlet(
        &self,
        peer: &id::Instance,
        request: id::Request,
        side: Side,
    ) -> Option<Rc<Inlet>> {
        match side {
            Side::Request => {
                let running = self.running.borrow();
                let running = running.get(&request).filter(|r| r.peer == *peer)?;
                Some(running.inlet.clone())
            }
            Side::Answer => {
                let attempts = self.attempts.borrow();
                let attempt = attempts.get(&request).filter(|a| a.peer == *peer)?;
                Some(attempt.inlet.clone())
            }
        }
    }

    /// Returns the sending end of a body that the peer receives.
    fn find_outlet(
        &self,
        peer: &id::Instance,
        request: id::Request,
        side: Side,
    ) -> Option<Rc<Outlet>> {
        match side {
            Side::Request => {
                let attempts = self.attempts.borrow();
                let attempt = attempts.get(&request).filter(|a| a.peer == *peer)?;
                Some(attempt.outlet.clone())
            }
            Side::Answer => {
                let running = self.running.borrow();
                let running = running.get(&request).filter(|r| r.peer == *peer)?;
                Some(running.outlet.clone())
            }
        }
    }

    /// Releases the attempts and running requests that have ended, with their body
    /// streams.
    pub(crate) fn clean_up(&self, cleanup: Cleanup) {
        match cleanup {
            Cleanup::Nothing => {}
            Cleanup::Attempt(request) => self.forget_attempt(request),
            Cleanup::AttemptAt(peer, request) => {
                let is_theirs = |attempt: &SentAttempt| attempt.peer == peer;
                if self.attempts.borrow().get(&request).is_some_and(is_theirs) {
                    self.forget_attempt(request);
                }
            }
            Cleanup::CancelledRequest(request) => {
                let not_started = |running: &ReceivedAttempt| running.abort.is_none();
                if self.running.borrow().get(&request).is_some_and(not_started) {
                    self.forget_running(request);
                }
            }
            Cleanup::EndedRequest(request) => self.forget_running(request),
            Cleanup::LostAttempts(lost) => lost
                .into_iter()
                .for_each(|request| self.forget_attempt(request)),
            Cleanup::InboundLink(peer) => {
                let not_started =
                    |running: &ReceivedAttempt| running.abort.is_none() && running.peer == peer;
                let mut running = self.running.borrow_mut();
                running.retain(|_, running| !not_started(running));
            }
        }
    }

    /// Removes an attempt that this node sent and ends its bodies.
    pub(crate) fn forget_attempt(&self, request: id::Request) {
        let attempt = self.attempts.borrow_mut().remove(&request);
        if let Some(attempt) = attempt {
            attempt.close_bodies();
        }
    }

    /// Removes a request that this node runs for a peer and ends its bodies.
    pub(crate) fn forget_running(&self, request: id::Request) {
        let running = self.running.borrow_mut().remove(&request);
        if let Some(running) = running {
            running.inlet.cut();
            running.outlet.close();
        }
    }
}

impl SentAttempt {
    /// Ends both bodies. A body that is not complete counts as truncated.
    pub(crate) fn close_bodies(&self) {
        self.inlet.cut();
        self.outlet.close();
    }
}

/// The attempts and requests to release after the core has processed an event.
pub(crate) enum Cleanup {
    Nothing,
    /// The attempt that this node sent for the request.
    Attempt(id::Request),
    /// The same, if it was sent to this peer.
    AttemptAt(id::Instance, id::Request),
    /// The cancelled request, unless the upstream has begun to run it.
    CancelledRequest(id::Request),
    /// The request, which this node has finished running.
    EndedRequest(id::Request),
    /// The attempts that were sent over a lost link. One that the core sends in their
    /// place, over the next link to the same peer, is not among them.
    LostAttempts(Vec<id::Request>),
    /// All requests from the lost inbound link of a peer that have not started.
    InboundLink(id::Instance),
}

impl Cleanup {
    /// Returns what to release after an event.
    pub(crate) fn after(event: &Event) -> Self {
        match event {
            Event::Frame(peer, Frame::Finish { request, .. } | Frame::Refuse { request, .. }) => {
                Self::AttemptAt(peer.clone(), *request)
            }
            Event::Frame(_, Frame::Cancel { request }) => Self::CancelledRequest(*request),
            Event::AttemptUnsent(request) => Self::Attempt(*request),
            Event::AttemptEnded(request, _) => Self::EndedRequest(*request),
            Event::OutboundLinkLost(_, lost) => Self::LostAttempts(lost.clone()),
            Event::InboundLinkLost(peer) => Self::InboundLink(peer.clone()),
            _ => Self::Nothing,
        }
    }
}
