//! State that the listeners keep for a call until its caller has the answer.

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
    event::RequestName,
    frame::Head,
    id,
    metric::Counter, //
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
            head,
            source,
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
}

impl Guard {
    /// Counts an answer that was cut off.
    pub(crate) fn count_cut_answer(&self) {
        self.carrier.count(Counter::AnswerCut);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.carrier.finish(self.call);
    }
}
