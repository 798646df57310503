//! Which running attempt made a call that names none.
//!
//! A service that passes no token on still tells in two ways which of its
//! requests made a call. It gives the call at most the time that its own request
//! has left, so both end at the same moment, to within the time that the call
//! was on its way. And where the calls' route bounds them more tightly than that,
//! it sends the next call of a request over the connection on which the former
//! one was just answered. Only the first call of a request on such a route is
//! left to a guess.
//!
//! What is found decides in which order calls are served and shed, and nothing
//! else: a wrong guess costs a place in a queue and lets nobody act for another.

use std::collections::BTreeMap;

use super::{
    Proxy,
    running::Running, //
};
use crate::{
    admission::seen::Levels,
    clock::{
        Span,
        Time, //
    },
    context::Context,
    id, //
};

/// How much earlier or later than its request a call may seem to end. Headers
/// carry whole milliseconds, so that it may seem a little earlier; it seems
/// later by the time that the call waited to be read, on a busy node some
/// milliseconds.
const MAX_EARLIER: Span = Span::from_ms(2);
const MAX_LATER: Span = Span::from_ms(12);
/// How soon after an answer the next call of the same request follows on its
/// connection.
const FOLLOW_UP_TIMEOUT: Span = Span::from_ms(10);
/// The share of running attempts with more time left than any call on a route
/// has, from which on the route bounds its calls itself.
const MIN_BOUNDED_SHARE: f64 = 0.2;
/// The weight of the newest call in that share.
const BOUND_EWMA_WEIGHT: f64 = 0.05;
/// Calls for each request of a route from which on it is known to make them.
const MIN_CALL_SHARE: f64 = 0.3;
/// Connections that are remembered. Those on which nothing was answered of late
/// tell nothing and go first.
const MAX_CONNECTIONS: usize = 1024;

/// What tells the makers of calls.
#[derive(Clone, Debug, Default)]
pub struct Makers {
    connections: BTreeMap<id::Connection, Former>,
    routes: BTreeMap<id::Route, Bound>,
}

/// The last call on a connection.
#[derive(Clone, Copy, Debug)]
struct Former {
    maker: id::Request,
    answered: Option<Time>,
}

/// How tightly a route bounds its calls.
#[derive(Clone, Copy, Debug, Default)]
struct Bound {
    /// The most time that a call had left.
    most: Span,
    /// The share of running attempts that had more.
    more: f64,
}

/// A call of the service beside this node, as far as it tells of its maker.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Its route.
    pub route: &'a id::Route,
    /// How long its maker waits, where it said so.
    pub left: Option<Span>,
    /// The connection that it came over.
    pub connection: id::Connection,
}

impl Proxy {
    /// Finds the attempt that made a call, and gives the call to it. Returns the
    /// attempt's context as it is now.
    pub fn attribute_call(
        &mut self,
        now: Time,
        made: OutgoingCall<'_>,
        levels: &Levels,
    ) -> Option<(id::Request, Context)> {
        let bounded = self.bounded(now, made);
        let by_end = || {
            let left = made.left.filter(|_| !bounded)?;
            self.by_end(now + left)
        };
        let request = by_end()
            .or_else(|| self.by_connection(now, made.connection))
            .or_else(|| self.by_start(made.route, levels))?;
        let former = Former {
            maker: request,
            answered: None,
        };
        self.makers.remember(now, made.connection, former);
        let running = self.running.get_mut(&request)?;
        running.record_call(made.route);
        Some((request, running.nested(now, request)))
    }

    /// A call that was given to an attempt has been answered.
    pub fn record_call_answered(
        &mut self,
        now: Time,
        maker: id::Request,
        connection: id::Connection,
    ) {
        let former = self.makers.connections.get_mut(&connection);
        if let Some(former) = former.filter(|former| former.maker == maker) {
            former.answered = Some(now);
        }
    }

    /// Whether the route bounds its calls more tightly than the attempts that
    /// may make them, so that their ends tell nothing.
    fn bounded(&mut self, now: Time, made: OutgoingCall<'_>) -> bool {
        let bound = self.makers.routes.entry(made.route.clone()).or_default();
        let Some(left) = made.left else {
            return true;
        };
        bound.most = bound.most.max(left);
        let all = self.running.len().max(1) as f64;
        let longest = now + bound.most + MAX_LATER;
        let more = self.running.values().filter(|r| r.ends() > longest).count() as f64;
        bound.more += (more / all - bound.more) * BOUND_EWMA_WEIGHT;
        bound.more >= MIN_BOUNDED_SHARE
    }

    /// The attempt that ends nearest to a call.
    fn by_end(&self, end: Time) -> Option<id::Request> {
        let near = self.active().filter_map(|(request, running)| {
            let ends = running.ends();
            let fits = end.until(ends) <= MAX_EARLIER && end.since(ends) <= MAX_LATER;
            fits.then(|| (end.since(ends).max(end.until(ends)), *request))
        });
        near.min().map(|(_, request)| request)
    }

    /// The attempt whose former call was answered on this connection just now.
    fn by_connection(&self, now: Time, connection: id::Connection) -> Option<id::Request> {
        let former = self.makers.connections.get(&connection)?;
        let just = now.since(former.answered?) <= FOLLOW_UP_TIMEOUT;
        let running = self.running.get(&former.maker)?;
        (just && !running.is_aborted()).then_some(former.maker)
    }

    /// The youngest attempt that has made no call yet, of a route that is known
    /// to make such calls if any is: services make their first one soon after
    /// they begin.
    fn by_start(&self, route: &id::Route, levels: &Levels) -> Option<id::Request> {
        let fits = |running: &Running| {
            let known = levels.call_share(&running.route, route) >= MIN_CALL_SHARE;
            (known, !running.has_called(route), running.begun())
        };
        let best = self.active().max_by_key(|(_, running)| fits(running));
        best.map(|(request, _)| *request)
    }

    fn active(&self) -> impl Iterator<Item = (&id::Request, &Running)> {
        let running = self.running.iter();
        running.filter(|(_, running)| !running.is_aborted())
    }
}

impl Makers {
    fn remember(&mut self, now: Time, connection: id::Connection, former: Former) {
        if self.connections.len() >= MAX_CONNECTIONS {
            let tells = |former: &Former| {
                former
                    .answered
                    .is_none_or(|at| now.since(at) <= FOLLOW_UP_TIMEOUT)
            };
            self.connections.retain(|_, former| tells(former));
        }
        if self.connections.len() < MAX_CONNECTIONS {
            self.connections.insert(connection, former);
        }
    }
}
