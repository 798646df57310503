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
//! For that guess, the attempt that started last is the best candidate without further
//! knowledge. The time that a route's requests usually take until their first call is
//! better: with many requests running, a younger one has often not got that far. It is
//! used where retries are ranked by chain, since there a wrong guess gives all calls of
//! a chain the importance of another request.
//!
//! The result only affects the order in which calls are served, shed and retried. A
//! wrong attribution costs a position in a queue or the priority of a retry, and grants
//! no rights.

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

/// EWMA weight of the newest sample in the usual time until the first call.
const FIRST_CALL_EWMA_WEIGHT: f64 = 0.1;
/// A sample counts as at most this multiple of the usual time, so that an attempt that
/// makes no such call, but was the only candidate, hardly changes it.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Time that is added to that limit, for usual times near zero.
const MAX_SAMPLE_MARGIN: f64 = 5.0;
/// Time after the response to its last call within which a request is expected to end.
const RESPONSE_DELAY: Span = Span::from_ms(5);
/// Maximum number of pairs of routes with a known time until the first call.
const MAX_FIRST_CALLS: usize = 1024;

/// The observations that calls are attributed by.
#[derive(Clone, Debug, Default)]
pub struct CallAttribution {
    connections: BTreeMap<id::Connection, LastCall>,
    routes: BTreeMap<id::Route, RouteDeadline>,
    /// Usual time in ms from the start of a request on the first route until its first
    /// call on the second.
    first_calls: BTreeMap<(id::Route, id::Route), f64>,
}

/// The last call on a connection.
#[derive(Clone, Copy, Debug)]
struct LastCall {
    attempt: id::Request,
    answered: Option<Time>,
    /// When the first of its chain arrived: the calls that follow each other on the
    /// connection.
    chain_start: Time,
}

impl LastCall {
    /// Whether it was answered within this time.
    fn is_answered_within(&self, now: Time, limit: Span) -> bool {
        self.answered.is_some_and(|at| now.since(at) <= limit)
    }
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

/// What a call is attributed by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Evidence {
    /// It has the same deadline as the attempt.
    Deadline,
    /// The previous call of the attempt was just answered on its connection.
    Connection,
    /// The attempt is the only one that may have made it.
    Single,
    /// The attempt has run for the usual time until its first call.
    Elapsed,
    /// The attempt started last.
    Start,
}

impl Evidence {
    /// Whether the attribution is certain enough to count the progress of a chain by.
    pub fn is_certain(self) -> bool {
        matches!(self, Self::Deadline | Self::Connection)
    }
}

/// The attempt that most likely made a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Maker {
    /// Its id.
    pub attempt: id::Request,
    /// The context for its nested calls.
    pub context: Context,
    /// What it was found by.
    pub evidence: Evidence,
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
        let (request, _) = self
            .by_evidence(now, call)
            .or_else(|| Some((self.by_start(call.route, levels)?, Evidence::Start)))?;
        let context = self.track_call(now, call, request)?;
        Some((request, context))
    }

    /// Does the same as [`Proxy::attribute_call`], but guesses the first call of a
    /// chain by the usual time until it.
    pub fn attribute_chain_call(
        &mut self,
        now: Time,
        call: OutgoingCall<'_>,
        levels: &Levels,
    ) -> Option<Maker> {
        let (attempt, evidence) = self
            .by_evidence(now, call)
            .or_else(|| self.by_first_call(now, call, levels))?;
        let context = self.track_call(now, call, attempt)?;
        Some(Maker {
            attempt,
            context,
            evidence,
        })
    }

    /// The attempt that a call's deadline or connection points to.
    fn by_evidence(
        &mut self,
        now: Time,
        call: OutgoingCall<'_>,
    ) -> Option<(id::Request, Evidence)> {
        let has_own_deadline = self.has_own_deadline(now, call);
        let matching_deadline = || {
            let left = call.left.filter(|_| !has_own_deadline)?;
            Some((self.by_deadline(now + left)?, Evidence::Deadline))
        };
        matching_deadline().or_else(|| {
            let request = self.by_connection(now, call.connection)?;
            Some((request, Evidence::Connection))
        })
    }

    /// Records a call at the attempt that it is attributed to.
    fn track_call(
        &mut self,
        now: Time,
        call: OutgoingCall<'_>,
        request: id::Request,
    ) -> Option<Context> {
        let last_call = LastCall {
            attempt: request,
            answered: None,
            chain_start: self.call_attribution.chain_start(now, call.connection),
        };
        self.call_attribution.track(now, call.connection, last_call);
        let running = self.running.get_mut(&request)?;
        running.record_call(call.route);
        Some(running.nested_context(now, request))
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
        let best = self
            .active()
            .max_by_key(|(_, running)| (preference(running, route, levels), running.started()));
        best.map(|(request, _)| *request)
    }

    /// The attempt, among those that [`Proxy::by_start`] prefers, whose time from its
    /// start until the start of the chain is nearest to the usual time until the first
    /// call. Without a usual time, the one that started last.
    fn by_first_call(
        &mut self,
        now: Time,
        call: OutgoingCall<'_>,
        levels: &Levels,
    ) -> Option<(id::Request, Evidence)> {
        let route = call.route;
        let latest = self.by_start(route, levels)?;
        let preferred = preference(self.running.get(&latest)?, route, levels);
        // Whether an attempt has called the route may be a wrong guess as well, so a
        // sample is taken only if no other attempt can have made the call.
        let is_caller = |running: &Running| preference(running, route, levels).is_caller;
        let callers = self
            .active()
            .filter(|(_, running)| is_caller(running) >= preferred.is_caller);
        let is_single = callers.count() == 1;
        let chain_start = self.call_attribution.chain_start(now, call.connection);
        if is_single && preferred.is_first_call && chain_start == now {
            let running = self.running.get(&latest)?;
            let sample = elapsed(now, running);
            let pair = (running.route.clone(), route.clone());
            self.call_attribution.learn_first_call(pair, sample);
            return Some((latest, Evidence::Single));
        }
        let deviation = |running: &Running| {
            let usual = self.usual_first_call(&running.route, route)?;
            Some((elapsed(chain_start, running) - usual).abs())
        };
        let nearest = self
            .active()
            .filter(|(_, running)| preferred.is_first_call && running.started() <= chain_start)
            .filter(|(_, running)| preference(running, route, levels) == preferred)
            .filter_map(|(request, running)| Some((deviation(running)?, *request)))
            .min_by(|(a, _), (b, _)| a.total_cmp(b));
        Some(match nearest {
            Some((_, request)) => (request, Evidence::Elapsed),
            None => (latest, Evidence::Start),
        })
    }

    /// The usual time in ms until a request's first call.
    fn usual_first_call(&self, caller: &id::Route, called: &id::Route) -> Option<f64> {
        let first_calls = &self.call_attribution.first_calls;
        first_calls.get(&(caller.clone(), called.clone())).copied()
    }

    /// Learns the time until the first call from an attempt that has ended. A service
    /// responds as soon as it has the response to its last call, so if a single chain
    /// had one just now, it is that of the attempt.
    pub(super) fn learn_from_end(&mut self, now: Time, ended: &Running) {
        let connections = self.call_attribution.connections.values();
        let mut chains = connections.filter(|last| last.is_answered_within(now, RESPONSE_DELAY));
        let (Some(chain), None) = (chains.next(), chains.next()) else {
            return;
        };
        if chain.chain_start < ended.started() {
            return;
        }
        let sample = chain.chain_start.since(ended.started()).as_ms() as f64;
        let [called] = ended.called() else {
            return;
        };
        let pair = (ended.route.clone(), called.clone());
        self.call_attribution.learn_first_call(pair, sample);
    }

    fn active(&self) -> impl Iterator<Item = (&id::Request, &Running)> {
        let running = self.running.iter();
        running.filter(|(_, running)| !running.is_aborted())
    }
}

/// How well an attempt fits as the maker of a call on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    /// Requests on its route are known to make such calls.
    is_caller: bool,
    /// It has not called the route yet.
    is_first_call: bool,
}

fn preference(running: &Running, route: &id::Route, levels: &Levels) -> Preference {
    Preference {
        is_caller: levels.call_share(&running.route, route) >= MIN_CALL_SHARE,
        is_first_call: !running.has_called(route),
    }
}

/// The time in ms since an attempt started.
fn elapsed(now: Time, running: &Running) -> f64 {
    now.since(running.started()).as_ms() as f64
}

impl CallAttribution {
    /// Updates the usual time between the start of a request and its first call.
    fn learn_first_call(&mut self, routes: (id::Route, id::Route), sample: f64) {
        let first_calls = &mut self.first_calls;
        if first_calls.len() >= MAX_FIRST_CALLS && !first_calls.contains_key(&routes) {
            return;
        }
        let usual = first_calls.entry(routes).or_insert(sample);
        let sample = sample.min(*usual * MAX_SAMPLE_RATIO + MAX_SAMPLE_MARGIN);
        *usual += (sample - *usual) * FIRST_CALL_EWMA_WEIGHT;
    }

    /// Returns when the chain began that a call on this connection continues, or the
    /// present time if it continues none.
    fn chain_start(&self, now: Time, connection: id::Connection) -> Time {
        let last_call = self.connections.get(&connection);
        let previous = last_call.filter(|last| last.is_answered_within(now, FOLLOW_UP_TIMEOUT));
        previous.map_or(now, |last| last.chain_start)
    }

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
