//! Logs the decisions on the requests that a node handles.

use crate::{
    carrier::{
        Carrier,
        ReceivedAttempt, //
    },
    clock::{
        Clock,
        Span,
        Time, //
    },
    code::Code,
    connection::header,
    context::Context,
    event::{
        Event,
        KnownConfig,
        RequestName, //
    },
    frame::Head,
    id,
    inbound::End,
    metric::{
        ConnectionEnd,
        Counter, //
    },
    outcome::{
        Refusal,
        Report, //
    },
    pending::{
        Pending,
        Position, //
    },
};

impl Carrier {
    /// Returns the log name of a request for this node's own upstream.
    pub(crate) fn request_name(&self, head: &Head, context: &Context) -> RequestName {
        let caller_id = header::request(&head.headers, &self.interface.names);
        RequestName::new(caller_id.as_deref(), context.root)
    }

    fn known_config(&self, now: Time) -> KnownConfig {
        let core = self.core();
        KnownConfig {
            version: core.snapshot().version,
            age: core.discovered_config_age(now),
        }
    }

    /// Returns the log name of a call. A call without an id from its caller is named
    /// after this instance and its number until it has a root.
    fn call_name(&self, pending: &Pending, call: id::Call) -> RequestName {
        let numbered_name = || RequestName::new(None, format_args!("{}/{call}", self.me.instance));
        pending.name.clone().unwrap_or_else(numbered_name)
    }

    pub(crate) fn record_sent(
        &self,
        call: id::Call,
        attempt: id::Request,
        peer: &id::Instance,
        route: &id::Route,
        context: &Context,
    ) {
        let now = Clock.now();
        let config = self.known_config(now);
        self.with_call(call, |pending| {
            let event = Event::Sent {
                attempt,
                peer,
                route,
                context,
                attempts: pending.attempts,
                config,
            };
            self.recorder
                .record(now, &self.call_name(pending, call), &event);
        });
    }

    pub(crate) fn record_declined(
        &self,
        peer: &id::Instance,
        attempt: id::Request,
        code: Code,
        report: &Report,
    ) {
        let attempts = self.attempts.borrow();
        let Some(call) = attempts.get(&attempt).map(|attempt| attempt.call) else {
            return;
        };
        self.with_call(call, |pending| {
            let event = Event::Declined {
                attempt,
                peer,
                code,
                report,
            };
            let name = self.call_name(pending, call);
            self.recorder.record(Clock.now(), &name, &event);
        });
    }

    pub(crate) fn record_answered(&self, pending: &Pending, attempt: id::Request, status: u16) {
        let now = Clock.now();
        let Some(name) = &pending.name else { return };
        let position = pending.position.as_ref();
        let event = Event::Answered {
            attempt,
            status,
            waited: now.since(pending.started),
            connection: position.map(Position::connection).unwrap_or_default(),
            ahead: position.map_or(0, Position::ahead),
        };
        self.recorder.record(now, name, &event);
    }

    pub(crate) fn record_refused(&self, pending: &Pending, call: id::Call, refusal: Refusal) {
        let now = Clock.now();
        let event = Event::Refused {
            refusal,
            path: pending.path(),
            waited: now.since(pending.started),
            attempts: pending.attempts,
            config: self.known_config(now),
        };
        self.recorder
            .record(now, &self.call_name(pending, call), &event);
    }

    /// Logs an answer that was written later than it was ready.
    pub(crate) fn record_written(&self, pending: &Pending, call: id::Call) {
        let now = Clock.now();
        let queued = pending.replied.map_or(Span::ZERO, |at| now.since(at));
        let Some(position) = pending.position.as_ref().filter(|_| queued > Span::ZERO) else {
            return;
        };
        let event = Event::Written {
            waited: now.since(pending.started),
            connection: position.connection(),
            queued,
        };
        self.recorder
            .record(now, &self.call_name(pending, call), &event);
    }

    /// Logs and counts a call whose connection ended before it was answered.
    pub(crate) fn record_unanswered(&self, pending: &Pending, call: id::Call) {
        let now = Clock.now();
        let position = pending.position.as_ref();
        let end = position.map_or(ConnectionEnd::CallerGone, Position::end);
        let event = Event::Unanswered {
            waited: now.since(pending.started),
            connection: position.map(Position::connection).unwrap_or_default(),
            ahead: position.map_or(0, Position::ahead),
            end,
            ready: pending.replied.map(|at| now.since(at)),
        };
        self.recorder
            .record(now, &self.call_name(pending, call), &event);
        self.count(match pending.replied {
            Some(_) => Counter::AnswerUnsent(end),
            None => Counter::Unanswered(end),
        });
    }

    pub(crate) fn record_started(
        &self,
        now: Time,
        attempt: id::Request,
        running: &ReceivedAttempt,
    ) {
        let event = Event::Started {
            attempt,
            peer: &running.peer,
            route: &running.route,
            context: &running.context,
            waited: now.since(running.arrived),
            load: self.core().load(now),
        };
        self.recorder.record(now, &running.name, &event);
    }

    /// Logs why an attempt was not passed to the upstream. For an attempt that was
    /// passed on, [`Carrier::record_ended`] logs the outcome.
    pub(crate) fn record_turned_away(&self, attempt: id::Request, code: Code) {
        let now = Clock.now();
        let running = self.running.borrow();
        let Some(running) = running.get(&attempt).filter(|r| r.started.is_none()) else {
            return;
        };
        let event = Event::TurnedAway {
            attempt,
            peer: &running.peer,
            route: &running.route,
            context: &running.context,
            code,
            load: self.core().load(now),
        };
        self.recorder.record(now, &running.name, &event);
    }

    pub(crate) fn record_ended(&self, attempt: id::Request, end: End) {
        let now = Clock.now();
        let running = self.running.borrow();
        let Some(running) = running.get(&attempt) else {
            return;
        };
        let event = Event::Ended {
            attempt,
            route: &running.route,
            end,
            took: now.since(running.started.unwrap_or(running.arrived)),
        };
        self.recorder.record(now, &running.name, &event);
    }
}
