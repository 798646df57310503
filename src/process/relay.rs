//! Bodies and answers on their way through a node.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::{
    Stream,
    StreamExt,
    stream, //
};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::{
    Xxh3Default,
    xxh3_64, //
};

use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Span,
        Time, //
    },
    code::Code,
    connection::{
        body::{
            CHUNK,
            Cut,
            Inlet,
            Outlet,
            WINDOW, //
        },
        header,
        upstream::Answer,
    },
    frame::{
        Frame,
        Head,
        KEPT_LIMIT,
        Side,
        Whole, //
    },
    id,
    inbound::End,
    node::Event,
    pending::Source,
};

/// Time for the rest of a rejection to come.
const REJECTION: Span = Span::from_ms(200);

/// One body on its way to a peer.
struct Sending {
    peer: id::Instance,
    request: id::Request,
    side: Side,
    outlet: Rc<Outlet>,
}

/// Why a body that was being sent will not become whole.
enum Fault {
    /// Its source was cut.
    Cut,
    /// Its source sent nothing for too long.
    Slow,
    /// It is larger than it may be.
    Large,
    /// Nobody wants it any more.
    Unwanted,
}

impl Carrier {
    /// Sends the body of a call after the head of an attempt.
    pub(crate) fn send_body(
        &self,
        call: id::Call,
        request: id::Request,
        peer: id::Instance,
        outlet: Rc<Outlet>,
    ) {
        let taken = self.with_call(call, |pending| match &mut pending.source {
            Source::Buffered(bytes) => Source::Buffered(bytes.clone()),
            Source::Stream {
                prefix,
                rest,
                limit,
            } => Source::Stream {
                prefix: std::mem::take(prefix),
                rest: rest.take(),
                limit: *limit,
            },
        });
        let sending = Sending {
            peer,
            request,
            side: Side::Request,
            outlet,
        };
        match taken {
            Some(Source::Buffered(bytes)) if bytes.len() <= WINDOW => {
                self.send_whole(&sending, bytes)
            }
            Some(Source::Buffered(bytes)) => {
                let size = bytes.len() as u64;
                self.send_stream(call, sending, size, stream::iter([Ok(bytes)]));
            }
            Some(Source::Stream {
                prefix,
                rest: Some(rest),
                limit,
            }) => {
                let rest = rest.map(|chunk| chunk.map_err(|_| Cut));
                let all = stream::iter([Ok(prefix)]).chain(rest);
                self.send_stream(call, sending, limit, all);
            }
            // A body that was streamed already cannot be sent again.
            _ => self.transmit(&sending.peer, sending.cut()),
        }
    }

    /// Sends a body that fits into the window, without waiting.
    fn send_whole(&self, sending: &Sending, bytes: Bytes) {
        let sum = xxh3_64(&bytes);
        let mut rest = bytes;
        while !rest.is_empty() {
            let size = sending.outlet.take(CHUNK.min(rest.len()));
            if size == 0 {
                return self.transmit(&sending.peer, sending.cut());
            }
            self.transmit(&sending.peer, sending.chunk(rest.split_to(size)));
        }
        self.transmit(&sending.peer, sending.end(sum));
    }

    /// Sends a caller's body as it comes in.
    fn send_stream(
        &self,
        call: id::Call,
        sending: Sending,
        limit: u64,
        source: impl Stream<Item = Result<Bytes, Cut>> + 'static,
    ) {
        let weak = self.weak();
        let patience = self.limits().body_time.to_std();
        actix_rt::spawn(async move {
            let mut source = std::pin::pin!(source);
            let mut sum = Xxh3Default::new();
            let mut sent = 0;
            let fault = loop {
                let chunk = match tokio::time::timeout(patience, source.next()).await {
                    Err(_) => break Some(Fault::Slow),
                    Ok(None) => break None,
                    Ok(Some(Err(Cut))) => break Some(Fault::Cut),
                    Ok(Some(Ok(chunk))) => chunk,
                };
                sent += chunk.len() as u64;
                if sent > limit {
                    break Some(Fault::Large);
                }
                sum.update(&chunk);
                let Some(carrier) = weak.upgrade() else {
                    return;
                };
                if carrier.send_chunk(&sending, chunk).await.is_err() {
                    break Some(Fault::Unwanted);
                }
            };
            let Some(carrier) = weak.upgrade() else {
                return;
            };
            match fault {
                None => carrier.transmit(&sending.peer, sending.end(sum.digest())),
                Some(Fault::Unwanted) => {}
                Some(fault) => {
                    carrier.transmit(&sending.peer, sending.cut());
                    carrier.give_up(call, &fault);
                }
            }
        });
    }

    /// A caller's body failed on the way. The attempt has begun, so its
    /// outcome is unknown; it is cancelled, and the caller told at once.
    fn give_up(&self, call: id::Call, fault: &Fault) {
        let code = match fault {
            Fault::Large => Code::BodyOverrun,
            _ => Code::BodyCut,
        };
        self.count(crate::metric::Counter::Refused(code));
        self.refuse(call, code, code.retry_after());
        self.on(Event::CallerGone(call));
    }

    /// Sends a chunk, in parts as the receiver has room.
    async fn send_chunk(&self, sending: &Sending, mut chunk: Bytes) -> Result<(), Cut> {
        while !chunk.is_empty() {
            let want = chunk.len().min(CHUNK);
            let size = sending.outlet.reserve(want).await?;
            self.transmit(&sending.peer, sending.chunk(chunk.split_to(size)));
        }
        Ok(())
    }

    /// Hands an attempt to the upstream.
    pub(crate) fn start(&self, request: id::Request, token: id::Token, deadline: Time) {
        let (abort, aborted) = oneshot::channel();
        let Some(exchange) = self.exchange(request, token, deadline, abort) else {
            return self.on(Event::AttemptEnded(request, End::Aborted));
        };
        let weak = self.weak();
        actix_rt::spawn(async move {
            let Some(carrier) = weak.upgrade() else {
                return;
            };
            // The exchange is dropped, and its connection closed, before the
            // decisions hear that the slot is free.
            let end = tokio::select! {
                _ = aborted => End::Aborted,
                end = carrier.run(exchange) => end,
            };
            carrier.attempted(end);
            carrier.record_ended(request, end);
            carrier.on(Event::AttemptEnded(request, end));
        });
    }

    fn exchange(
        &self,
        request: id::Request,
        token: id::Token,
        deadline: Time,
        abort: oneshot::Sender<()>,
    ) -> Option<Exchange> {
        let mut running = self.running.borrow_mut();
        let running = running.get_mut(&request)?;
        running.abort = Some(abort);
        let now = Clock.now();
        running.started = Some(now);
        self.record_started(now, request, running);
        let mut head = std::mem::take(&mut running.head);
        let mut context = running.context.clone();
        context.left = Clock.now().until(deadline);
        let target = self.target.borrow();
        let told = header::Told {
            context: &context,
            token,
            target: target.as_deref(),
        };
        header::add_context(&mut head, &told, &self.interface.names);
        Some(Exchange {
            head,
            inlet: running.inlet.clone(),
            claimed: running.claimed,
            sending: Sending {
                peer: running.peer.clone(),
                request,
                side: Side::Answer,
                outlet: running.outlet.clone(),
            },
        })
    }

    /// Runs one attempt at the upstream, and relays its answer.
    async fn run(&self, exchange: Exchange) -> End {
        let begun = Clock.now();
        let sent = self.upstream.send(&exchange.head, exchange.inlet).await;
        let mut answer = match sent {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        if let Some(signal) = answer.signal {
            self.on(Event::UpstreamSignal(signal, begun));
        }
        if answer.rejected {
            return self.rejected(&mut answer).await;
        }
        let status = answer.head.status;
        let first = match self.hold_answer(&mut answer).await {
            Ok(first) => first,
            Err(Cut) => return End::Cut,
        };
        let head = answer.head.clone();
        let sending = &exchange.sending;
        self.send_head(sending, head.clone());
        match self
            .relay(sending, &mut answer, first, exchange.claimed)
            .await
        {
            Ok(kept) => {
                if let Some(body) = kept {
                    let whole = Box::new(Whole { head, body });
                    self.on(Event::AnswerCaptured(sending.request, whole));
                }
                End::Answered(status)
            }
            Err(Cut) => {
                self.transmit(&sending.peer, sending.cut());
                End::Cut
            }
        }
    }

    /// Reads a rejection to its end, so that its connection can be used again.
    async fn rejected(&self, answer: &mut Answer) -> End {
        let rest = async { while let Ok(Some(_)) = self.upstream.next(answer).await {} };
        let _ = tokio::time::timeout(REJECTION.to_std(), rest).await;
        End::Rejected
    }

    /// Reads an answer to its end, or to the most that is held. One that is cut
    /// before has shown nothing of itself to anybody.
    async fn hold_answer(&self, answer: &mut Answer) -> Result<Vec<Bytes>, Cut> {
        let most = self.interface.held_answer.as_u64();
        let mut held = Vec::new();
        let mut size = 0;
        while size < most {
            let Some(chunk) = self.upstream.next(answer).await? else {
                answer.head.length = Some(size);
                break;
            };
            size += chunk.len() as u64;
            held.push(chunk);
        }
        Ok(held)
    }

    fn send_head(&self, sending: &Sending, head: Head) {
        let request = sending.request;
        let report = self.core_mut().report(Clock.now(), request);
        let frame = Frame::Answer {
            request,
            head,
            report,
        };
        self.transmit(&sending.peer, frame);
    }

    /// Relays an answer's body, and returns a copy when that is wanted and the
    /// body is small enough.
    async fn relay(
        &self,
        sending: &Sending,
        answer: &mut Answer,
        first: Vec<Bytes>,
        keep: bool,
    ) -> Result<Option<Bytes>, Cut> {
        let mut sum = Xxh3Default::new();
        let mut kept = keep.then(Vec::new);
        let mut first = first.into_iter();
        loop {
            let next = match first.next() {
                Some(chunk) => Some(chunk),
                None => self.upstream.next(answer).await?,
            };
            let Some(chunk) = next else { break };
            sum.update(&chunk);
            kept = kept.filter(|kept| kept.len() + chunk.len() <= KEPT_LIMIT);
            if let Some(kept) = &mut kept {
                kept.extend_from_slice(&chunk);
            }
            self.send_chunk(sending, chunk).await?;
        }
        self.transmit(&sending.peer, sending.end(sum.digest()));
        Ok(kept.map(Bytes::from))
    }

    /// Closes the upstream's connection of an attempt.
    pub(crate) fn abort(&self, request: id::Request) {
        let mut running = self.running.borrow_mut();
        let started = running.get_mut(&request).and_then(|r| r.abort.take());
        drop(running);
        if started.is_none() {
            self.on(Event::AttemptEnded(request, End::Aborted));
        }
    }

    /// Serves a kept answer to an attempt that is not started.
    pub(crate) fn replay(&self, peer: &id::Instance, request: id::Request, whole: Whole) {
        let outlet = Outlet::new();
        if let Some(running) = self.running.borrow_mut().get_mut(&request) {
            running.outlet = outlet.clone();
        }
        let sending = Sending {
            peer: peer.clone(),
            request,
            side: Side::Answer,
            outlet,
        };
        self.send_head(&sending, whole.head);
        self.send_whole(&sending, whole.body);
    }
}

/// What is handed to the upstream.
struct Exchange {
    head: Head,
    inlet: Rc<Inlet>,
    claimed: bool,
    sending: Sending,
}

impl Sending {
    fn chunk(&self, bytes: Bytes) -> Frame {
        Frame::Chunk {
            request: self.request,
            side: self.side,
            bytes,
        }
    }

    fn end(&self, sum: u64) -> Frame {
        Frame::End {
            request: self.request,
            side: self.side,
            sum,
        }
    }

    fn cut(&self) -> Frame {
        Frame::Cut {
            request: self.request,
            side: self.side,
        }
    }
}
