//! Attributes a service's call without a token to the running attempt that made it.
//!
//! A service that does not pass on the token still gives two indications of which
//! of its requests made a call. First, it gives the call at most the time that its
//! own request has left, so both deadlines are equal up to the transit time of the
//! call. Second, where the route of the calls has a shorter deadline, the service
//! sends the next call of a request over the connection on which the previous one
//! was just answered. Only the first call of a request on such a route has to be
//! guessed.
//!
//! The result only affects the order in which calls are served and shed. A wrong
//! attribution costs a position in a queue, and grants no rights.

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

/// Tolerance when the deadline of a call is compared with that of an attempt. Headers
/// carry whole milliseconds, so the call's may appear slightly earlier. It appears
/// later by the time that the call waited to be read, several milliseconds on a busy
/// node.
const MAX_EARLIER: Span = Span::from_ms(2);
const MAX_LATER: Span = Span::from_ms(12);
/// Time after an answer within which the next call of the same request is expected on
/// the connection.
const FOLLOW_UP_TIMEOUT: Span = Span::from_ms(10);
/// Share of running attempts with more time left than any call on a route has, from
/// which on the route counts as having a shorter deadline of its own.
const MIN_LONGER_SHARE: f64 = 0.2;
/// EWMA weight of the newest call in that share.
const LONGER_EWMA_WEIGHT: f64 = 0.05;
/// Share of a route's requests that must call another route for it to count as a
/// caller of that route.
const MIN_CALL_SHARE: f64 = 0.3;
/// Maximum number of tracked connections. Those whose last answer is too old to
/// attribute a call by are dropped first.
const MAX_CONNECTIONS: usize = 1024;

/// The observations that calls are attributed by.
#[derive(Clone, Debug, Default)]
pub struct CallAttribution {
    connections: BTreeMap<id::Connection, LastCall>,
    routes: BTreeMap<id::Route, RouteDeadline>,
}

/// The last call on a connection.
#[derive(Clone, Copy, Debug)]
struct LastCall {
    attempt: id::Request,
    answered: Option<Time>,
}

/// How the deadlines of the calls on a route compare with those of running attempts.
#[derive(Clone, Copy, Debug, Default)]
struct RouteDeadline {
    /// The longest time that a call had left.
    longest_left: Span,
    /// EWMA of the share of running attempts with more time left than that.
    longer_share: f64,
}

/// A call of the service beside this node, with what it can be attributed by.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Its route.
    pub route: &'a id::Route,
    /// The time that it has left, if it carries a deadline.
    pub left: Option<Span>,
    /// The connection that it arrived on.
    pub connection: id::Connection,
}

impl Proxy {
    /// Finds the attempt that made a call and records the call there. Returns the
    /// attempt, and the context for its nested calls.
    pub fn attribute_call(
        &mut self,
        now: Time,
        call: OutgoingCall<'_>,
        levels: &Levels,
    ) -> Option<(id::Request, Context)> {
        let has_own_deadline = self.has_own_deadline(now, call);
        let matching_deadline = || {
            let left = call.left.filter(|_| !has_own_deadline)?;
            self.by_deadline(now + left)
        };
        let request = matching_deadline()
            .or_else(|| self.by_connection(now, call.connection))
            .or_else(|| self.by_start(call.route, levels))?;
        let last_call = LastCall {
            attempt: request,
            answered: None,
        };
        self.call_attribution.track(now, call.connection, last_call);
        let running = self.running.get_mut(&request)?;
        running.record_call(call.route);
        Some((request, running.nested_context(now, request)))
    }

    /// Records that a call that was attributed to an attempt has been answered.
    pub fn record_call_answered(
        &mut self,
        now: Time,
        attempt: id::Request,
        connection: id::Connection,
    ) {
        let last_call = self.call_attribution.connections.get_mut(&connection);
        if let Some(last_call) = last_call.filter(|last_call| last_call.attempt == attempt) {
            last_call.answered = Some(now);
        }
    }

    /// Whether the route gives its calls a shorter deadline than the attempts that may
    /// have made them, so that calls can't be matched by deadline. Also true for a call
    /// without a deadline.
    fn has_own_deadline(&mut self, now: Time, call: OutgoingCall<'_>) -> bool {
        let deadline = self
            .call_attribution
            .routes
            .entry(call.route.clone())
            .or_default();
        let Some(left) = call.left else {
            return true;
        };
        deadline.longest_left = deadline.longest_left.max(left);
        let all = self.running.len().max(1) as f64;
        let longest = now + deadline.longest_left + MAX_LATER;
        let longer = self
            .running
            .values()
            .filter(|r| r.deadline() > longest)
            .count() as f64;
        deadline.longer_share += (longer / all - deadline.longer_share) * LONGER_EWMA_WEIGHT;
        deadline.longer_share >= MIN_LONGER_SHARE
    }

    /// The attempt whose deadline is nearest to that of a call, within the tolerance.
    fn by_deadline(&self, deadline: Time) -> Option<id::Request> {
        let matching = self.active().filter_map(|(request, running)| {
            let own = running.deadline();
            let matches = deadline.until(own) <= MAX_EARLIER && deadline.since(own) <= MAX_LATER;
            matches.then(|| (deadline.since(own).max(deadline.until(own)), *request))
        });
        matching.min().map(|(_, request)| request)
    }

    /// The attempt whose previous call was just answered on this connection.
    fn by_connection(&self, now: Time, connection: id::Connection) -> Option<id::Request> {
        let last_call = self.call_attribution.connections.get(&connection)?;
        let is_recent = now.since(last_call.answered?) <= FOLLOW_UP_TIMEOUT;
        let running = self.running.get(&last_call.attempt)?;
        (is_recent && !running.is_aborted()).then_some(last_call.attempt)
    }

    /// The most recently started attempt, preferring routes that are known to make such
    /// calls, and then attempts that have not called this route yet: services make
    /// their first call soon after they start.
    fn by_start(&self, route: &id::Route, levels: &Levels) -> Option<id::Request> {
        let preference = |running: &Running| {
            let is_caller = levels.call_share(&running.route, route) >= MIN_CALL_SHARE;
            (is_caller, !running.has_called(route), running.started())
        };
        let best = self.active().max_by_key(|(_, running)| preference(running));
        best.map(|(request, _)| *request)
    }

    fn active(&self) -> impl Iterator<Item = (&id::Request, &Running)> {
        let running = self.running.iter();
        running.filter(|(_, running)| !running.is_aborted())
    }
}

impl CallAttribution {
    fn track(&mut self, now: Time, connection: id::Connection, last_call: LastCall) {
        if self.connections.len() >= MAX_CONNECTIONS {
            let is_usable = |last_call: &LastCall| {
                last_call
                    .answered
                    .is_none_or(|at| now.since(at) <= FOLLOW_UP_TIMEOUT)
            };
            self.connections.retain(|_, last_call| is_usable(last_call));
        }
        if self.connections.len() < MAX_CONNECTIONS {
            self.connections.insert(connection, last_call);
        }
    }
}
