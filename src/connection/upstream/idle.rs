//! Kept connections to the upstream, and which requests each of them may carry.
//!
//! An upstream may send a response a second time, late, where the response to a later
//! request is due. The request id that responses echo tells the two apart, unless the
//! later request has the same id, as a retry has that of the request that it repeats.
//! A connection therefore never carries two requests with one id: it remembers the
//! ids that it has carried for as long as it is open.

use std::{
    cell::RefCell,
    collections::VecDeque,
    io, //
};

use bytes::Bytes;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::{
        Span,
        Time, //
    },
    connection::header::{
        self,
        Names, //
    },
    frame::Head,
    metric::Opened, //
};

/// Maximum number of requests that one connection carries, which bounds the ids that
/// it remembers.
const MAX_EXCHANGES: usize = 1024;

/// How the response to a request is told from the other ones on its connection.
pub(super) enum Identity {
    /// By the order of the responses alone: the upstream echoes no ids.
    Order,
    /// By this id, which the upstream echoes.
    Id(Bytes),
    /// Not at all: upstreams echo ids, but the request has none.
    Absent,
}

impl Identity {
    /// Returns the identity of a request.
    pub(super) fn of(head: &Head, names: &Names) -> Self {
        match (names.request, header::request(&head.headers, names)) {
            (None, _) => Self::Order,
            (Some(_), Some(id)) => Self::Id(id),
            (Some(_), None) => Self::Absent,
        }
    }

    /// Returns what a connection remembers of the request. Two ids with the same hash
    /// only cost a connection.
    fn hash(&self) -> Option<u64> {
        match self {
            Self::Order => None,
            Self::Id(id) => Some(xxh3_64(id)),
            Self::Absent => Some(xxh3_64(&[])),
        }
    }
}

/// A connection to the upstream.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Hashes of the ids that it has carried.
    carried: Vec<u64>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            carried: Vec::new(),
        }
    }

    /// Records a request that is about to be sent. Returns whether it is the first one,
    /// so that no late response to another one can arrive.
    pub(super) fn record(&mut self, identity: &Identity) -> bool {
        let is_first = self.carried.is_empty();
        self.carried.extend(identity.hash());
        is_first
    }

    /// Whether a late response to an earlier request cannot be taken for the response
    /// to this one.
    fn may_carry(&self, identity: &Identity) -> bool {
        match identity {
            Identity::Order => true,
            Identity::Id(_) => identity.hash().is_none_or(|id| !self.carried.contains(&id)),
            Identity::Absent => self.carried.is_empty(),
        }
    }

    /// Whether it has neither unread data nor ended. A request sent on it would have an
    /// unknown outcome otherwise.
    fn is_quiet(&self) -> bool {
        let mut probe = [0; 1];
        matches!(self.stream.try_read(&mut probe),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

struct Idle {
    connection: Connection,
    until: Time,
}

/// The connections that wait for a request, by when they were last used.
#[derive(Default)]
pub(super) struct IdleConnections(RefCell<VecDeque<Idle>>);

impl IdleConnections {
    /// Takes the most recently used connection that may carry the request, or returns
    /// why a new one must be opened. Connections found closed are dropped.
    pub(super) fn take(&self, now: Time, identity: &Identity) -> Result<Connection, Opened> {
        let mut idle = self.0.borrow_mut();
        let mut reason = Opened::NoneIdle;
        for position in (0..idle.len()).rev() {
            if !idle[position].connection.may_carry(identity) {
                reason = Opened::IdRepeated;
                continue;
            }
            if let Some(Idle { connection, until }) = idle.remove(position)
                && now < until
                && connection.is_quiet()
            {
                return Ok(connection);
            }
        }
        Err(reason)
    }

    /// Keeps a connection for the next request, unless it has carried too many.
    pub(super) fn store(&self, now: Time, connection: Connection, idle_timeout: Span) {
        if connection.carried.len() < MAX_EXCHANGES {
            let until = now + idle_timeout;
            self.0.borrow_mut().push_back(Idle { connection, until });
        }
    }

    /// Closes the connections that have exceeded their idle timeout.
    pub(super) fn prune(&self, now: Time) {
        self.0.borrow_mut().retain(|idle| now < idle.until);
    }
}
