//! A call until its caller has its answer, as the listeners hold it.

use std::rc::Rc;

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
    event::Name,
    frame::Head,
    id,
    metric::Counter, //
};

/// What a caller's handler waits for.
pub(crate) enum Reply {
    /// The upstream's answer.
    Answer(Head, Rc<Inlet>),
    /// No answer, for this reason, and when to come back.
    Refuse(Code, Option<Span>),
}

/// Where the body of a call comes from.
pub(crate) enum Source {
    /// It is here, and can be sent more than once.
    Buffered(Bytes),
    /// It comes in as it is sent, once.
    Stream {
        /// What was read already.
        prefix: Bytes,
        /// The rest, until it is taken.
        rest: Option<Payload>,
        /// The most that may come.
        limit: u64,
    },
}

/// A call until its handler is done with it.
pub(crate) struct Pending {
    pub(crate) reply: Option<oneshot::Sender<Reply>>,
    pub(crate) delivered: Option<id::Request>,
    pub(crate) head: Head,
    pub(crate) source: Source,
    /// What its lines in the log call it; none before it has an id.
    pub(crate) name: Option<Name>,
    /// When its head had been read.
    pub(crate) begun: Time,
    /// Attempts so far.
    pub(crate) attempts: u8,
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
            name: own.map(|own| Name::new(Some(&own), "")),
            begun: now,
            attempts: 0,
            head,
            source,
        }
    }

    /// The path that it was sent to. What follows it may be private.
    pub(crate) fn path(&self) -> &str {
        self.head.target.split('?').next().unwrap_or_default()
    }
}

/// Holds a call for as long as its caller is there.
pub(crate) struct Guard {
    pub(crate) carrier: Rc<Carrier>,
    pub(crate) call: id::Call,
}

impl Guard {
    /// The answer did not become whole.
    pub(crate) fn count_cut_answer(&self) {
        self.carrier.count(Counter::AnswerCut);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.carrier.finish(self.call);
    }
}
