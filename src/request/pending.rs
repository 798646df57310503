//! State that the listeners keep for a call until its caller has the answer.

use std::{
    cell::Cell,
    rc::Rc, //
};

use actix_http::Payload;
use bytes::Bytes;
use tokio::sync::oneshot;

use crate::{
    carrier::Carrier,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    connection::{
        body::Inlet,
        header::{
            self,
            Names, //
        },
    },
    event::RequestName,
    frame::Head,
    id,
    memory::Account,
    metric::{
        ConnectionEnd,
        Counter, //
    },
    task::{
        Unit,
        contain, //
    },
};

/// The result that a caller's handler waits for.
pub(crate) enum Reply {
    /// The upstream's answer.
    Answer(Head, Rc<Inlet>),
    /// A refusal with its reason, and after how long the caller may retry.
    Refuse(Code, Option<Span>),
}

/// The source of a call's request body.
pub(crate) enum Source {
    /// The body is buffered, and can be sent more than once.
    Buffered(Bytes),
    /// The body is streamed while it is received, and can be sent only once.
    Stream {
        /// The part that was already read.
        prefix: Bytes,
        /// The rest, until it is taken.
        rest: Option<Payload>,
        /// Maximum length of the body.
        limit: u64,
    },
}

/// State of a caller connection that is shared by the requests that arrived over it.
#[derive(Debug)]
pub(crate) struct Progress {
    id: id::Connection,
    /// Number of requests that arrived.
    arrived: Cell<u64>,
    /// Number of requests whose answers were written.
    written: Cell<u64>,
    end: Cell<ConnectionEnd>,
}

impl Progress {
    pub(crate) fn new(id: id::Connection) -> Rc<Self> {
        Rc::new(Self {
            id,
            arrived: Cell::new(0),
            written: Cell::new(0),
            end: Cell::new(ConnectionEnd::Stopped),
        })
    }

    pub(crate) fn id(&self) -> id::Connection {
        self.id
    }

    /// Counts a request and returns its position.
    pub(crate) fn arrive(self: &Rc<Self>) -> Position {
        self.arrived.set(self.arrived.get() + 1);
        Position {
            progress: self.clone(),
            number: self.arrived.get(),
        }
    }

    /// Returns the number of requests that arrived.
    pub(crate) fn arrived(&self) -> u64 {
        self.arrived.get()
    }

    pub(crate) fn count_written(&self) {
        self.written.set(self.written.get() + 1);
    }

    pub(crate) fn set_end(&self, end: ConnectionEnd) {
        self.end.set(end);
    }
}

/// Position of a request among those of its connection, which are answered in order.
#[derive(Clone, Debug)]
pub(crate) struct Position {
    progress: Rc<Progress>,
    number: u64,
}

impl Position {
    pub(crate) fn connection(&self) -> id::Connection {
        self.progress.id
    }

    /// Returns the number of earlier requests whose answers were not written yet.
    pub(crate) fn ahead(&self) -> u64 {
        self.number - 1 - self.progress.written.get()
    }

    /// Returns why the connection ended.
    pub(crate) fn end(&self) -> ConnectionEnd {
        self.progress.end.get()
    }
}

/// A call whose handler has not finished yet.
pub(crate) struct Pending {
    pub(crate) reply: Option<oneshot::Sender<Reply>>,
    /// The attempt whose answer was passed to the handler.
    pub(crate) delivered: Option<id::Request>,
    pub(crate) head: Head,
    pub(crate) source: Source,
    /// The name of the call in log lines; none before it has an id.
    pub(crate) name: Option<RequestName>,
    /// When its headers had been read.
    pub(crate) started: Time,
    /// Number of attempts so far.
    pub(crate) attempts: u8,
    /// Position on the connection of its caller, if requests may be queued on it.
    pub(crate) position: Option<Position>,
    /// When the answer or refusal was passed to the handler.
    pub(crate) replied: Option<Time>,
    /// The memory of the head, and of the part of the body that was read before the call
    /// began.
    pub(crate) account: Option<Account>,
}

impl Pending {
    pub(crate) fn new(
        now: Time,
        reply: oneshot::Sender<Reply>,
        head: Head,
        source: Source,
        names: &Names,
    ) -> Self {
        let own = header::request(&head.headers, names);
        Self {
            reply: Some(reply),
            delivered: None,
            name: own.map(|own| RequestName::new(Some(&own), "")),
            started: now,
            attempts: 0,
            position: None,
            replied: None,
            account: None,
            head,
            source,
        }
    }

    /// Drops the body, as no further attempt will be sent.
    pub(crate) fn release_body(&mut self) {
        self.source = Source::Buffered(Bytes::new());
        self.account = None;
    }

    /// Passes the answer or refusal to the handler, once.
    pub(crate) fn send_reply(&mut self, now: Time, reply: Reply) {
        if let Some(sender) = self.reply.take() {
            self.replied = Some(now);
            let _ = sender.send(reply);
        }
    }

    /// The path of the request target without its query, which may be private.
    pub(crate) fn path(&self) -> &str {
        self.head.target.split('?').next().unwrap_or_default()
    }
}

/// Ends a call when it is dropped, with the handler of its caller.
pub(crate) struct Guard {
    pub(crate) carrier: Rc<Carrier>,
    pub(crate) call: id::Call,
    written: Cell<bool>,
}

impl Guard {
    pub(crate) fn new(carrier: Rc<Carrier>, call: id::Call) -> Self {
        Self {
            carrier,
            call,
            written: Cell::new(false),
        }
    }

    /// Records that the whole response was written, or passed to the HTTP library.
    pub(crate) fn set_written(&self) {
        self.written.set(true);
    }

    /// Returns the name of the call in the log.
    pub(crate) fn name(&self) -> String {
        let name = |pending: &mut Pending| pending.name.as_ref().map(ToString::to_string);
        let named = self.carrier.with_call(self.call, name).flatten();
        named.unwrap_or_else(|| self.call.to_string())
    }

    /// Counts an answer that was cut off.
    pub(crate) fn count_cut_answer(&self) {
        self.carrier.count(Counter::AnswerCut);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // A panic while another one unwinds would abort the process.
        let finished = contain(|| self.carrier.finish(self.call, self.written.get()));
        if let Err(panic) = finished {
            self.carrier.record_panic(Unit::Request, &self.call, &panic);
        }
    }
}
