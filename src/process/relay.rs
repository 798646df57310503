//! Transfer of request bodies and answers through a node.

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
            Chunks,
            Cut,
            Inlet,
            MAX_CHUNK,
            Outlet,
            WINDOW, //
        },
        header,
        upstream::Answer,
    },
    frame::{
        Frame,
        Head,
        STORED_BODY_LIMIT,
        Side,
        Whole, //
    },
    id,
    inbound::End,
    node::Event,
    outcome::Refusal,
    pending::Source,
    task::{
        Unit,
        contain_unit, //
    },
};

/// How long the rest of a rejection is read before its connection is given up.
const REJECTION_DRAIN_TIMEOUT: Span = Span::from_ms(200);

/// Sends one body to a peer.
struct BodySender {
    peer: id::Instance,
    request: id::Request,
    side: Side,
    outlet: Rc<Outlet>,
}

/// The reason why a body cannot be sent completely.
enum BodyError {
    /// The source ended before the body was complete.
    SourceCut,
    /// The source sent no data for too long.
    Timeout,
    /// The body exceeds its size limit.
    TooLarge,
    /// The receiver no longer needs the body.
    Unwanted,
    /// The transfer panicked.
    Fault,
}

impl Carrier {
    /// Sends the body of a call. The head of the attempt was sent before.
    pub(crate) fn send_body(
        &self,
        call: id::Call,
        request: id::Request,
        peer: id::Instance,
        outlet: Rc<Outlet>,
    ) {
        let body = self.with_call(call, |pending| match &mut pending.source {
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
        let sender = BodySender {
            peer,
            request,
            side: Side::Request,
            outlet,
        };
        match body {
            Some(Source::Buffered(bytes)) if bytes.len() <= WINDOW => {
                self.send_whole(&sender, bytes)
            }
            Some(Source::Buffered(bytes)) => {
                let size = bytes.len() as u64;
                self.send_stream(call, sender, size, stream::iter([Ok(bytes)]));
            }
            Some(Source::Stream {
                prefix,
                rest: Some(rest),
                limit,
            }) => {
                let rest = rest.map(|chunk| chunk.map_err(|_| Cut));
                let all = stream::iter([Ok(prefix)]).chain(rest);
                self.send_stream(call, sender, limit, all);
            }
            // The body was streamed to an earlier attempt and cannot be sent again.
            _ => self.transmit(&sender.peer, sender.cut()),
        }
    }

    /// Sends a body that fits into the flow-control window, without waiting.
    fn send_whole(&self, sender: &BodySender, bytes: Bytes) {
        let sum = xxh3_64(&bytes);
        let mut rest = bytes;
        while !rest.is_empty() {
            let size = sender.outlet.take(MAX_CHUNK.min(rest.len()));
            if size == 0 {
                return self.transmit(&sender.peer, sender.cut());
            }
            self.transmit(&sender.peer, sender.chunk(rest.split_to(size)));
        }
        self.transmit(&sender.peer, sender.end(sum));
    }

    /// Sends a caller's body while it is being received.
    fn send_stream(
        &self,
        call: id::Call,
        sender: BodySender,
        limit: u64,
        source: impl Stream<Item = Result<Bytes, Cut>> + 'static,
    ) {
        let weak = self.weak();
        let chunk_timeout = self.limits().body_time.to_std();
        actix_rt::spawn(async move {
            let transfer = async {
                let mut source = std::pin::pin!(source);
                let mut sum = Xxh3Default::new();
                let mut sent_bytes = 0;
                loop {
                    let chunk = match tokio::time::timeout(chunk_timeout, source.next()).await {
                        Err(_) => return Err(BodyError::Timeout),
                        Ok(None) => return Ok(sum.digest()),
                        Ok(Some(Err(Cut))) => return Err(BodyError::SourceCut),
                        Ok(Some(Ok(chunk))) => chunk,
                    };
                    sent_bytes += chunk.len() as u64;
                    if sent_bytes > limit {
                        return Err(BodyError::TooLarge);
                    }
                    sum.update(&chunk);
                    let carrier = weak.upgrade().ok_or(BodyError::Unwanted)?;
                    let sent = carrier.send_chunk(&sender, chunk).await;
                    sent.map_err(|Cut| BodyError::Unwanted)?;
                }
            };
            let transferred = contain_unit(Unit::Body, transfer).await;
            let Some(carrier) = weak.upgrade() else {
                return;
            };
            let transferred = transferred.unwrap_or_else(|panic| {
                carrier.record_panic(Unit::Body, &sender.request, &panic);
                Err(BodyError::Fault)
            });
            match transferred {
                Ok(sum) => carrier.transmit(&sender.peer, sender.end(sum)),
                Err(BodyError::Unwanted) => {}
                Err(error) => {
                    carrier.transmit(&sender.peer, sender.cut());
                    carrier.fail_call(call, &error);
                }
            }
        });
    }

    /// Refuses a call whose body failed during the transfer. The attempt has
    /// started, so its outcome is unknown; it is cancelled, and the caller is
    /// answered immediately.
    fn fail_call(&self, call: id::Call, error: &BodyError) {
        // A body also ends early because its call has been answered.
        if self.with_call(call, |_| ()).is_none() {
            return;
        }
        let code = match error {
            BodyError::TooLarge => Code::BodyOverrun,
            BodyError::Fault => Code::NodeFault,
            _ => Code::BodyCut,
        };
        self.count(crate::metric::Counter::Refused(code));
        self.refuse(call, Refusal::uncertain(code));
        self.on(Event::CallerGone(call));
    }

    /// Sends a chunk, split into parts for which the receiver has granted credit.
    async fn send_chunk(&self, sender: &BodySender, mut chunk: Bytes) -> Result<(), Cut> {
        while !chunk.is_empty() {
            let requested = chunk.len().min(MAX_CHUNK);
            let size = self.reserve(sender, requested).await?;
            self.transmit(&sender.peer, sender.chunk(chunk.split_to(size)));
        }
        Ok(())
    }

    /// Waits until up to `limit` bytes may be sent: for credit of the receiver, and until
    /// the link to it has sent what it holds.
    async fn reserve(&self, sender: &BodySender, limit: usize) -> Result<usize, Cut> {
        loop {
            let size = sender.outlet.reserve(limit).await?;
            let Some(held) = self.links.crowded(&sender.peer, sender.side) else {
                return Ok(size);
            };
            sender.outlet.grant(size as u32);
            held.room().await;
        }
    }

    /// Sends an attempt to the upstream.
    pub(crate) fn start_attempt(&self, request: id::Request, token: id::Token, deadline: Time) {
        let (abort, aborted) = oneshot::channel();
        let Some(exchange) = self.prepare_exchange(request, token, deadline, abort) else {
            return self.on(Event::AttemptEnded(request, End::Aborted));
        };
        // Nothing of the request is sent, so that another attempt may be.
        if exchange.inlet.is_evicted() {
            return self.on(Event::AttemptEnded(request, End::Rejected));
        }
        let weak = self.weak();
        actix_rt::spawn(async move {
            let Some(carrier) = weak.upgrade() else {
                return;
            };
            // The exchange is dropped, and with it the connection closed, before the
            // core learns that the slot is free.
            let peer = exchange.sender.peer.clone();
            let run = async {
                let end = tokio::select! {
                    _ = aborted => End::Aborted,
                    end = carrier.run_and_classify(exchange) => end,
                };
                carrier.update_upstream_liveness(end);
                carrier.record_ended(request, end);
                end
            };
            let ended = contain_unit(Unit::Attempt, run).await;
            let end = ended.unwrap_or_else(|panic| {
                carrier.record_panic(Unit::Attempt, &request, &panic);
                let side = Side::Answer;
                carrier.transmit(&peer, Frame::Cut { request, side });
                End::Cut
            });
            carrier.on(Event::AttemptEnded(request, end));
        });
    }

    fn prepare_exchange(
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
        let injected = header::AttemptInfo {
            context: &context,
            token,
            target: target.as_deref(),
        };
        header::add_context(&mut head, &injected, &self.interface.names);
        Some(Exchange {
            head,
            inlet: running.inlet.clone(),
            claimed: running.claimed,
            sender: BodySender {
                peer: running.peer.clone(),
                request,
                side: Side::Answer,
                outlet: running.outlet.clone(),
            },
        })
    }

    /// Runs one attempt at the upstream, and finds out whether the upstream has ended
    /// if it has broken off the answer.
    async fn run_and_classify(&self, exchange: Exchange) -> End {
        match self.run_exchange(exchange).await {
            End::Cut if self.upstream.has_ended().await => End::Crashed,
            end => end,
        }
    }

    /// Runs one attempt at the upstream and relays its answer.
    async fn run_exchange(&self, exchange: Exchange) -> End {
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
            return self.drain_rejection(&mut answer).await;
        }
        let status = answer.head.status;
        let buffered = match self.buffer_answer(&mut answer).await {
            Ok(buffered) => buffered,
            Err(Cut) => return End::Cut,
        };
        let head = answer.head.clone();
        let sender = &exchange.sender;
        self.send_head(sender, head.clone());
        match self
            .relay_body(sender, &mut answer, buffered, exchange.claimed)
            .await
        {
            Ok(captured) => {
                if let Some(body) = captured {
                    let whole = Box::new(Whole { head, body });
                    self.on(Event::AnswerCaptured(sender.request, whole));
                }
                End::Answered(status)
            }
            Err(Cut) => {
                self.transmit(&sender.peer, sender.cut());
                End::Cut
            }
        }
    }

    /// Reads a rejection to its end, so that its connection can be reused.
    async fn drain_rejection(&self, answer: &mut Answer) -> End {
        let rest = async { while let Ok(Some(_)) = self.upstream.next(answer).await {} };
        let _ = tokio::time::timeout(REJECTION_DRAIN_TIMEOUT.to_std(), rest).await;
        End::Rejected
    }

    /// Buffers an answer up to its end or the buffer limit. If the answer is cut
    /// off before that, no part of it has been relayed.
    async fn buffer_answer(&self, answer: &mut Answer) -> Result<Chunks, Cut> {
        let limit = self.interface.max_buffered_answer.as_u64();
        let mut chunks = Chunks::default();
        while (chunks.len() as u64) < limit {
            let Some(chunk) = self.upstream.next(answer).await? else {
                answer.head.length = Some(chunks.len() as u64);
                break;
            };
            chunks.push(chunk);
            answer.set_kept(chunks.capacity());
        }
        Ok(chunks)
    }

    fn send_head(&self, sender: &BodySender, head: Head) {
        let request = sender.request;
        let report = self.core_mut().report(Clock.now(), request);
        let frame = Frame::Answer {
            request,
            head,
            report,
        };
        self.transmit(&sender.peer, frame);
    }

    /// Relays the body of an answer. Returns a copy of it if `capture` is set and
    /// the body is at most [`STORED_BODY_LIMIT`] bytes long.
    async fn relay_body(
        &self,
        sender: &BodySender,
        answer: &mut Answer,
        mut buffered: Chunks,
        capture: bool,
    ) -> Result<Option<Bytes>, Cut> {
        let mut sum = Xxh3Default::new();
        let mut captured = capture.then(Vec::new);
        loop {
            answer.set_kept(buffered.capacity());
            let next = match buffered.pop() {
                Some(chunk) => Some(chunk),
                None => self.upstream.next(answer).await?,
            };
            let Some(chunk) = next else { break };
            sum.update(&chunk);
            captured =
                captured.filter(|captured| captured.len() + chunk.len() <= STORED_BODY_LIMIT);
            if let Some(captured) = &mut captured {
                captured.extend_from_slice(&chunk);
            }
            tokio::select! {
                biased;
                () = answer.evicted() => return Err(Cut),
                sent = self.send_chunk(sender, chunk) => sent?,
            }
        }
        self.transmit(&sender.peer, sender.end(sum.digest()));
        Ok(captured.map(Bytes::from))
    }

    /// Closes the upstream connection of an attempt.
    pub(crate) fn abort_attempt(&self, request: id::Request) {
        let mut running = self.running.borrow_mut();
        let started = running.get_mut(&request).and_then(|r| r.abort.take());
        drop(running);
        if started.is_none() {
            self.on(Event::AttemptEnded(request, End::Aborted));
        }
    }

    /// Serves a stored answer to an attempt that is not started.
    pub(crate) fn replay_answer(&self, peer: &id::Instance, request: id::Request, whole: Whole) {
        let outlet = Outlet::new();
        if let Some(running) = self.running.borrow_mut().get_mut(&request) {
            running.outlet = outlet.clone();
        }
        let sender = BodySender {
            peer: peer.clone(),
            request,
            side: Side::Answer,
            outlet,
        };
        self.send_head(&sender, whole.head);
        self.send_whole(&sender, whole.body);
    }
}

/// An attempt prepared for the upstream.
struct Exchange {
    head: Head,
    inlet: Rc<Inlet>,
    claimed: bool,
    sender: BodySender,
}

impl BodySender {
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
