//! Takes what other nodes send: frames of requests and parts of bodies, and
//! cleans up once the decisions have seen an end.

use std::rc::Rc;

use crate::{
    carrier::{
        Attempt,
        Carrier,
        Running, //
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
    /// Takes a frame from a node, this one included.
    ///
    /// # Errors
    ///
    /// When the peer broke the protocol, so that its link has to be closed.
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
                    return Err(Error::new(Fault::Frame, "an attempt came twice"));
                }
                let head = std::mem::take(head);
                let inlet = self.inlet(peer, *request, Side::Request);
                if head.length == Some(0) {
                    inlet.end(xxhash_rust::xxh3::xxh3_64(&[]));
                }
                let running = Running {
                    peer: peer.clone(),
                    context: context.clone(),
                    claimed: claim.is_some(),
                    name: self.name_of(&head, context),
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
                    attempt.head = Some(std::mem::take(head));
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
                if let Some(outlet) = self.outlet(peer, *request, *side) {
                    outlet.grant(*bytes);
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

    fn receive_body(&self, peer: &id::Instance, frame: Frame) {
        let (Frame::Chunk { request, side, .. }
        | Frame::End { request, side, .. }
        | Frame::Cut { request, side }) = frame
        else {
            return;
        };
        let Some(inlet) = self.receiver(peer, request, side) else {
            return self.count(Counter::Late);
        };
        match frame {
            Frame::Chunk { bytes, .. } => inlet.push(bytes),
            Frame::End { sum, .. } => inlet.end(sum),
            _ => inlet.cut(),
        }
    }

    /// The receiving end of a body that the peer sends.
    fn receiver(&self, peer: &id::Instance, request: id::Request, side: Side) -> Option<Rc<Inlet>> {
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

    /// The sending end of a body that the peer receives.
    fn outlet(&self, peer: &id::Instance, request: id::Request, side: Side) -> Option<Rc<Outlet>> {
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

    /// Ends what the sockets hold for something that has ended.
    pub(crate) fn clean_up(&self, cleanup: Cleanup) {
        match cleanup {
            Cleanup::Nothing => {}
            Cleanup::Attempt(request) => self.forget_attempt(request),
            Cleanup::Cancelled(request) => {
                let waits = |running: &Running| running.abort.is_none();
                if self.running.borrow().get(&request).is_some_and(waits) {
                    self.forget_running(request);
                }
            }
            Cleanup::Ended(request) => self.forget_running(request),
            Cleanup::Broken(peer) => {
                let mut attempts = self.attempts.borrow_mut();
                let lost = attempts.extract_if(|_, attempt| attempt.peer == peer);
                let lost: Vec<_> = lost.collect();
                drop(attempts);
                lost.into_iter().for_each(|(_, attempt)| attempt.end());
            }
            Cleanup::Lost(peer) => {
                let waits = |running: &Running| running.abort.is_none() && running.peer == peer;
                let mut running = self.running.borrow_mut();
                running.retain(|_, running| !waits(running));
            }
        }
    }

    pub(crate) fn forget_attempt(&self, request: id::Request) {
        let attempt = self.attempts.borrow_mut().remove(&request);
        if let Some(attempt) = attempt {
            attempt.end();
        }
    }

    pub(crate) fn forget_running(&self, request: id::Request) {
        let running = self.running.borrow_mut().remove(&request);
        if let Some(running) = running {
            running.inlet.cut();
            running.outlet.close();
        }
    }
}

impl Attempt {
    /// Nothing more comes or goes. A body that is not whole was cut.
    pub(crate) fn end(&self) {
        self.inlet.cut();
        self.outlet.close();
    }
}

/// What is cleaned up once the decisions have seen an event.
pub(crate) enum Cleanup {
    Nothing,
    Attempt(id::Request),
    Cancelled(id::Request),
    Ended(id::Request),
    Broken(id::Instance),
    Lost(id::Instance),
}

impl Cleanup {
    pub(crate) fn after(event: &Event) -> Self {
        match event {
            Event::Frame(_, Frame::Finish { request, .. } | Frame::Refuse { request, .. }) => {
                Self::Attempt(*request)
            }
            Event::Frame(_, Frame::Cancel { request }) => Self::Cancelled(*request),
            Event::AttemptUnsent(request) => Self::Attempt(*request),
            Event::AttemptEnded(request, _) => Self::Ended(*request),
            Event::OutboundLinkLost(peer) => Self::Broken(peer.clone()),
            Event::InboundLinkLost(peer) => Self::Lost(peer.clone()),
            _ => Self::Nothing,
        }
    }
}
