//! Answers those who wait for something that a panic has ended.

use crate::{
    carrier::Carrier,
    clock::Clock,
    code::Code,
    frame::Frame,
    id,
    metric::Counter,
    node::{
        Action,
        Event, //
    },
    outcome::Refusal,
    pending::Reply,
    store,
    task::contain, //
};

/// What waits for the outcome of an event or an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Affected {
    /// Nothing, or only what happens again.
    Nothing,
    /// The caller of a call.
    Call(id::Call),
    /// The caller of an attempt that this node sent.
    Sent(id::Request),
    /// The callers of attempts that were sent over one link.
    Lost(Vec<id::Request>),
    /// The node that sent an attempt to this one.
    Received(id::Request),
    /// The part of the core that called the store.
    StoreCall(u64),
}

impl Affected {
    /// Returns what a panic of the core at this event affects.
    pub(crate) fn by_event(event: &Event) -> Self {
        match event {
            Event::Call(call) => Self::Call(call.call),
            Event::AnswerLost(call, _) => Self::Call(*call),
            Event::AttemptUnsent(request) => Self::Sent(*request),
            Event::OutboundLinkLost(_, lost) => Self::Lost(lost.clone()),
            Event::AttemptEnded(request, _) => Self::Received(*request),
            Event::Frame(_, frame) => Self::by_frame(frame),
            Event::StoreAnswer(_, store::Answer::Lost) => Self::Nothing,
            Event::StoreAnswer(number, _) => Self::StoreCall(*number),
            _ => Self::Nothing,
        }
    }

    fn by_frame(frame: &Frame) -> Self {
        match frame {
            Frame::Attempt { request, .. } => Self::Received(*request),
            Frame::Answer { request, .. }
            | Frame::Finish { request, .. }
            | Frame::Refuse { request, .. }
            | Frame::Fate { request, .. } => Self::Sent(*request),
            _ => Self::Nothing,
        }
    }

    /// Returns what a panic in carrying out this action affects.
    pub(crate) fn by_action(action: &Action) -> Self {
        match action {
            Action::Send { call, .. } | Action::Deliver(call, _) | Action::Refuse(call, _) => {
                Self::Call(*call)
            }
            Action::Start { request, .. } | Action::Replay(_, request, _) => {
                Self::Received(*request)
            }
            Action::Store(number, _) => Self::StoreCall(*number),
            _ => Self::Nothing,
        }
    }
}

impl Carrier {
    /// Answers those who wait, as the core may not do so any more.
    pub(crate) fn recover(&self, affected: Affected) {
        match affected {
            Affected::Nothing => {}
            Affected::Call(call) => self.refuse_faulted(call),
            Affected::Sent(request) => self.refuse_sent(&[request]),
            Affected::Lost(requests) => self.refuse_sent(&requests),
            Affected::Received(request) => self.refuse_received(request),
            Affected::StoreCall(number) => {
                self.on(Event::StoreAnswer(number, store::Answer::Lost));
            }
        }
    }

    /// Refuses a call whose outcome a panic has made unknown, or cuts its answer.
    pub(crate) fn refuse_faulted(&self, call: id::Call) {
        let refusal = Refusal::uncertain(Code::NodeFault);
        // The log line may be what panics.
        if contain(|| self.refuse(call, refusal)).is_err() {
            let reply = Reply::Refuse(refusal.code(), refusal.wait());
            self.with_call(call, |pending| pending.send_reply(Clock.now(), reply));
        }
        self.count(Counter::Refused(Code::NodeFault));
    }

    /// Refuses the calls of attempts that this node sent.
    fn refuse_sent(&self, requests: &[id::Request]) {
        let attempts = self.attempts.borrow();
        let call_of = |request| attempts.get(request).map(|attempt| attempt.call);
        let calls: Vec<_> = requests.iter().filter_map(call_of).collect();
        drop(attempts);
        calls.into_iter().for_each(|call| self.refuse_faulted(call));
    }

    /// Refuses an attempt of another node, which must assume that it has run. The
    /// exchange with the upstream, if there is one, is aborted.
    fn refuse_received(&self, request: id::Request) {
        let running = self.running.borrow();
        let Some(peer) = running.get(&request).map(|running| running.peer.clone()) else {
            return;
        };
        drop(running);
        let report = contain(|| self.core_mut().report(Clock.now(), request));
        let frame = Frame::Refuse {
            request,
            // Older nodes close a link over which a code comes that they do not know.
            code: Code::LinkLost,
            report: report.unwrap_or_default(),
        };
        self.forget_running(request);
        self.transmit(&peer, frame);
    }
}
