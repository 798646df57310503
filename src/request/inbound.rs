//! The inbound proxy: the only way to the upstream beside this node.
//!
//! The [`Proxy`] knows the exact number of requests in flight, so it decides
//! admission, and it alone can state reliably that a request was not run. The
//! upstream's health and load endpoints are not used for this: they may report
//! wrong or outdated values, or hang.

mod caller;
mod memory;
mod pace;
mod running;
mod signal;
mod site;
pub mod speed;
mod waiting;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand_chacha::ChaCha8Rng;

pub use self::caller::{
    Evidence,
    Maker,
    OutgoingCall, //
};
use self::{
    caller::CallAttribution,
    memory::{
        AttemptHistory,
        Lookup, //
    },
    pace::StartLimits,
    running::Running,
    site::UpstreamState,
    waiting::Waiting, //
};
use crate::{
    admission::{
        level::Controller,
        queue::Queue,
        seen::Levels, //
    },
    allowance::Allowances,
    backpressure::{
        Hint,
        Limit as NamedLimit,
        Signal, //
    },
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Context,
    document::Snapshot,
    event::Load,
    frame::Fate,
    id,
    limit::{
        Concurrency,
        knee, //
    },
    metric::{
        Counter,
        Counts, //
    },
    outcome::Report,
    policy::Policy,
    record::Claim,
    retry::class::Progress,
    suspect::{
        self,
        Suspects,
        Work, //
    },
    warmup::{
        self,
        ColdLimiter,
        Doubt,
        Status, //
    },
};

/// How long an attempt is refused, at least, whose cancellation arrived first.
const CANCEL_RETENTION: Span = Span::from_secs(60);

/// Time without an event after which this node must have been suspended: it ticks
/// at least ten times per second.
const SUSPEND_THRESHOLD: Span = Span::from_secs(1);

/// How long after a failed call of the service its answers are attributed to that
/// failure: the service answers within milliseconds once its call has failed.
const CALL_FAILURE_WINDOW: Span = Span::from_ms(60);

/// How the upstream finished an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It sent a complete answer with this status.
    Answered(u16),
    /// No connection to it could be opened, so nothing was sent.
    Refused,
    /// It answered that it has not run the request.
    Rejected,
    /// It sent an incomplete answer, or none.
    Cut,
    /// It sent an incomplete answer, or none, and its process has ended.
    Crashed,
    /// The attempt was aborted and has stopped.
    Aborted,
}

/// An input of the inbound proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt arrived.
    Attempt {
        /// Its id.
        request: id::Request,
        /// The node that sent it.
        peer: id::Instance,
        /// The incarnation of this node that it was sent to.
        life: id::Incarnation,
        /// Its route.
        route: id::Route,
        /// Metadata that is passed along the call chain.
        context: Context,
        /// The idempotency record that guards it.
        claim: Option<Claim>,
    },
    /// The upstream has finished an attempt, which frees its slot.
    Ended(id::Request, End),
    /// The sender no longer waits for an attempt.
    Cancel(id::Instance, id::Request),
    /// An ingress asks for the state of an attempt, and that it does not start if it
    /// has not yet.
    Revoke {
        /// The attempt's id.
        request: id::Request,
        /// The node that asks.
        peer: id::Instance,
        /// The incarnation of this node that the attempt was sent to.
        life: id::Incarnation,
        /// For how long a late duplicate must still be refused.
        left: Span,
        /// Whether the attempt goes on if it has started. Otherwise it is aborted.
        unless_running: bool,
    },
    /// The link to an instance broke.
    Broken(id::Instance),
    /// Whether the upstream accepts requests.
    Ready(bool),
    /// Whether the health or load endpoint reports the upstream as healthy.
    Health(bool),
    /// The number of concurrent requests that the upstream reports as its capacity.
    Capacity(Option<u32>),
    /// How much longer the upstream reports to stay cold.
    Warmup(Span),
    /// Backpressure signals in an answer of the upstream.
    Signal {
        /// The signals.
        signal: Signal,
        /// When the answered request started.
        started: Time,
    },
    /// The upstream process that is running now.
    Upstream(id::Upstream),
    /// A hint that another node kept from an earlier incarnation of this node.
    Hint(Hint),
    /// What another proxy of the pool has learned about requests under which upstreams
    /// end.
    Suspects(suspect::Message),
    /// Whether the last announcement of the upstream says that it is leaving.
    Leaving(bool),
    /// The node was told to shut down.
    Drain,
    /// Runs the work that is due at this time.
    Tick,
}

/// An output of the inbound proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the attempt to the upstream.
    Start {
        /// Its id.
        request: id::Request,
        /// The token that identifies the attempt in nested calls.
        token: id::Token,
        /// Its deadline.
        deadline: Time,
    },
    /// Close the connection to the upstream, and report the end when that is done.
    Abort(id::Request),
    /// Report to the ingress that the attempt failed without an answer.
    Refuse(id::Instance, id::Request, Code, Report),
    /// Report to the ingress that the attempt has completed.
    Finish(id::Instance, id::Request, Report),
    /// Answer a revocation.
    Fate(id::Instance, id::Request, Fate),
    /// The attempt has completed or was aborted: end its nested calls.
    EndNestedCalls(id::Request),
    /// The upstream is assumed to be cold, or warm, from now on.
    Warmup(Status),
    /// The limit that the upstream names has changed.
    Limit(NamedLimit),
    /// The upstream's process ended while it ran these requests.
    Crashed(Vec<Work>),
    /// Tell the other proxies of the pool about requests under which upstreams end.
    Suspects(suspect::Message),
    /// The upstream has said in an answer that it is leaving.
    Departing {
        /// Whether it said so to an earlier incarnation of this node.
        by_hint: bool,
    },
}

/// The state outside the proxy that it reads and updates.
pub struct World<'a> {
    /// The configuration in force.
    pub snapshot: &'a Snapshot,
    /// The failure domain of this node.
    pub domain: &'a id::Domain,
    /// The levels that other nodes reported.
    pub levels: &'a mut Levels,
    /// Which mechanisms are enabled.
    pub policy: Policy,
    /// Seeded random number generator.
    pub rng: &'a mut ChaCha8Rng,
    /// Metric counters.
    pub counts: &'a mut Counts,
}

/// All attempts at the upstream beside this node.
#[derive(Clone, Debug)]
pub struct Proxy {
    life: id::Incarnation,
    upstream_state: UpstreamState,
    running: BTreeMap<id::Request, Running>,
    deadlines: BTreeSet<(Time, id::Request)>,
    tokens: BTreeMap<id::Token, id::Request>,
    allowances: Allowances,
    waiting: BTreeMap<id::Request, Waiting>,
    queue: Queue,
    limit: Concurrency,
    knee: knee::Search,
    cold_tolerance: warmup::Tolerance,
    start_limits: StartLimits,
    /// The upstream process, zero while it is unknown, and since when it is known.
    upstream: (id::Upstream, Time),
    /// Hints of departures of upstreams that were not known yet.
    early_hints: Vec<Hint>,
    /// When the last event was handled.
    last_event: Time,
    controller: Controller,
    history: AttemptHistory,
    call_attribution: CallAttribution,
    /// When a call of the service last failed.
    last_call_failure: Option<Time>,
    /// When an attempt last ended with the upstream's process.
    last_crash: Option<Time>,
    suspects: Suspects,
    /// The limit in the last [`Action::Limit`], and when it was emitted.
    reported_limit: (NamedLimit, Time),
}

impl Proxy {
    /// Creates the proxy for this incarnation of the node; `ready` tells whether the
    /// upstream of the pool already accepts requests.
    pub fn new(life: id::Incarnation, pool: id::Pool, ready: bool) -> Self {
        Self {
            life,
            upstream_state: UpstreamState::new(pool, ready),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            tokens: BTreeMap::new(),
            allowances: Allowances::new(),
            waiting: BTreeMap::new(),
            queue: Queue::default(),
            limit: Concurrency::default(),
            knee: knee::Search::default(),
            cold_tolerance: warmup::Tolerance::default(),
            start_limits: StartLimits::default(),
            upstream: (id::Upstream::default(), Time::ZERO),
            early_hints: Vec::new(),
            last_event: Time::ZERO,
            controller: Controller::default(),
            history: AttemptHistory::default(),
            call_attribution: CallAttribution::default(),
            last_call_failure: None,
            last_crash: None,
            suspects: Suspects::new(life.0),
            reported_limit: (NamedLimit::Absent, Time::ZERO),
        }
    }

    /// Sets by how much the requests at a cold upstream may exceed its rate.
    pub fn set_cold_tolerance(&mut self, tolerance: warmup::Tolerance) {
        self.cold_tolerance = tolerance;
        self.upstream_state.invalidate_config();
    }

    /// The number of running and waiting attempts.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// The current load, for the log and the metrics.
    pub(crate) fn load(&self, now: Time) -> Load {
        Load {
            running: self.running.len(),
            limit: self.slots(now),
            waiting: self.waiting.len(),
            shed_level: self.controller.shed_importances(),
            cold: self.start_limits.cold.is_cold(),
            named_limit: self.start_limits.throttle.limit(),
        }
    }

    /// Whether no attempt runs or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether any attempt runs.
    pub fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// Whether this attempt runs or waits here.
    pub fn holds(&self, request: id::Request) -> bool {
        self.runs(request) || self.waiting.contains_key(&request)
    }

    /// Whether this attempt runs here.
    pub fn runs(&self, request: id::Request) -> bool {
        self.running.contains_key(&request)
    }

    /// Time of the next tick that has work to do.
    pub fn due(&self) -> Time {
        let deadline = self.deadlines.first().map_or(Time::NEVER, |(at, _)| *at);
        let expiry = self.waiting.values().map(|w| w.expires).min();
        let is_controlled = self.controller.overloaded() || !self.queue.is_empty();
        let level = if is_controlled {
            self.controller.due()
        } else {
            Time::NEVER
        };
        let next_start = match self.queue.is_empty() {
            true => Time::NEVER,
            false => self.start_limits.due(),
        };
        let expiry = expiry.unwrap_or(Time::NEVER);
        deadline.min(expiry).min(level).min(next_start)
    }

    /// The retry allowances of running attempts, which their nested calls draw from.
    pub fn allowances(&mut self) -> &mut Allowances {
        &mut self.allowances
    }

    /// The report that is sent with the headers of this attempt's answer.
    pub fn answer(
        &mut self,
        now: Time,
        request: id::Request,
        levels: &Levels,
        policy: Policy,
    ) -> Report {
        if let Some(allowance) = self.allowances.get_mut(&request) {
            allowance.close();
        }
        self.report(now, request, levels, policy)
    }

    /// The report that is sent when this attempt ends.
    fn report(&self, now: Time, request: id::Request, levels: &Levels, policy: Policy) -> Report {
        let running = self.running.get(&request);
        let level = running.map_or(0, |r| {
            self.level(now, &r.route, &r.context.team, levels, policy)
        });
        let allowance = self.allowances.get(&request).copied().unwrap_or_default();
        let service = running.map_or(Span::ZERO, |r| {
            self.upstream_state
                .reported_service_time(now, &r.route, policy.scheduling)
        });
        Report {
            level,
            service: service.as_ms() as u32,
            spent: allowance.spent(),
            no_retry: allowance.no_retry
                || self
                    .last_call_failure
                    .is_some_and(|at| now.since(at) <= CALL_FAILURE_WINDOW),
            ..self.base_report(now)
        }
    }

    /// The context for nested calls of the running attempt with this token, or none
    /// once the attempt was aborted.
    pub fn nested_context(&self, now: Time, token: id::Token) -> Option<Context> {
        let request = self.tokens.get(&token)?;
        let running = self.running.get(request)?;
        Some(running.nested_context(now, *request))
    }

    /// Records that a running attempt calls this route.
    pub fn record_call(&mut self, parent: id::Request, route: &id::Route) {
        if let Some(running) = self.running.get_mut(&parent) {
            running.record_call(route);
        }
    }

    /// Records that a call of a running attempt on this route has succeeded.
    pub fn record_call_success(&mut self, parent: id::Request, route: &id::Route) {
        if let Some(running) = self.running.get_mut(&parent) {
            running.record_success(route);
        }
    }

    /// Returns how many calls of a running attempt on this route have succeeded.
    pub fn progress(&self, parent: id::Request, route: &id::Route) -> Progress {
        let running = self.running.get(&parent);
        running.map_or(Progress::New, |running| running.progress(route))
    }

    /// Records that a call of the service failed. The attempt that made the call will
    /// most likely fail because of it, and a retry would repeat all its other calls.
    pub fn record_call_failure(&mut self, now: Time) {
        self.last_call_failure = Some(now);
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn on(&mut self, now: Time, event: Event, world: &mut World<'_>, out: &mut Vec<Action>) {
        self.prepare(now, world, out);
        match event {
            Event::Attempt {
                request,
                peer,
                life,
                route,
                context,
                claim,
            } => {
                let waiting = Waiting::new(now, peer, route, context, claim);
                self.on_attempt(now, request, life, waiting, world, out);
            }
            Event::Ended(request, end) => self.on_ended(now, request, end, world, out),
            Event::Cancel(peer, request) => self.on_cancel(now, &peer, request, out),
            Event::Revoke {
                request,
                peer,
                life,
                left,
                unless_running,
            } => {
                if unless_running && self.running.contains_key(&request) {
                    return out.push(Action::Fate(peer, request, Fate::Running));
                }
                let fate = self.on_revoke(now, &peer, request, life, left, out);
                out.push(Action::Fate(peer, request, fate));
            }
            Event::Broken(peer) => self.on_link_broken(now, &peer, out),
            Event::Ready(ready) => self.on_ready(now, ready, world, out),
            Event::Health(healthy) => self.upstream_state.healthy = healthy,
            Event::Capacity(slots) => {
                self.upstream_state.reported_slots = slots;
                self.configure_slots();
            }
            Event::Warmup(left) => {
                self.update_cold_status(out, |cold| cold.report(now, left));
            }
            Event::Signal { signal, started } => self.on_signal(now, started, signal, world, out),
            Event::Upstream(upstream) => self.on_upstream(now, upstream, world, out),
            Event::Hint(hint) => self.on_hint(now, hint, world, out),
            Event::Suspects(message) => self.suspects.learn(now, &message),
            Event::Leaving(leaving) => self.upstream_state.announced_leaving = leaving,
            Event::Drain => {
                self.upstream_state.draining = true;
                self.refuse_waiting(now, Code::Leaving, world, out);
            }
            Event::Tick => self.on_tick(now, world, out),
        }
        self.start_waiting(now, world, out);
    }

    fn configure_slots(&mut self) {
        let slots = self.upstream_state.slots();
        self.limit.configure(slots);
        self.knee.configure(slots.unwrap_or(0));
    }

    /// The number of requests that may run concurrently now.
    fn slots(&self, now: Time) -> u32 {
        let limit = self.limit.current(now);
        match self.upstream_state.slots() {
            Some(_) => limit.min(self.knee.limit()),
            None => limit,
        }
    }

    /// Applies the current configuration and time, before an event is handled.
    fn prepare(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        self.upstream_state
            .configure(world.snapshot, self.cold_tolerance);
        self.configure_slots();
        self.start_limits
            .cold
            .configure(self.upstream_state.cold_limit);
        if self.last_event != Time::ZERO && now.since(self.last_event) > SUSPEND_THRESHOLD {
            self.suspect_cold(now, Doubt::Suspended, out);
        }
        self.last_event = now;
        self.update_cold_status(out, |cold| cold.tick(now));
        self.evacuate(now, world, out);
    }

    /// Applies an evacuation order, or its end, to this node's failure domain. While
    /// the domain is evacuated nothing is started; afterwards its upstreams may be
    /// cold.
    fn evacuate(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        let order = world.snapshot.evacuations.get(world.domain).copied();
        if order == self.upstream_state.evacuation {
            return;
        }
        self.upstream_state.evacuation = order;
        match self.upstream_state.is_evacuated() {
            true => self.refuse_waiting(now, Code::Evacuated, world, out),
            false => self.suspect_cold(now, Doubt::Returned, out),
        }
    }

    /// Treats the upstream as possibly cold.
    fn suspect_cold(&mut self, now: Time, doubt: Doubt, out: &mut Vec<Action>) {
        self.update_cold_status(out, |cold| cold.suspect_cold(now, doubt));
    }

    /// Changes the cold status, and reports when the kind of status is a new one.
    fn update_cold_status(&mut self, out: &mut Vec<Action>, change: impl FnOnce(&mut ColdLimiter)) {
        let before = self.start_limits.cold.status();
        change(&mut self.start_limits.cold);
        let after = self.start_limits.cold.status();
        let is_new = std::mem::discriminant(&before) != std::mem::discriminant(&after);
        if is_new && self.upstream_state.cold_limit.is_some() {
            out.push(Action::Warmup(after));
        }
    }

    /// The part of a report that does not depend on the attempt.
    fn base_report(&self, now: Time) -> Report {
        Report {
            load: self.len() as u32,
            hint: self.hint(),
            slots: match self.start_limits.available_starts(now) {
                Some(starts) => starts.max(1),
                None => self.upstream_state.advertised_slots(self.slots(now)),
            },
            leaving: self.upstream_state.leaving(),
            life: self.life,
            clock: now.as_ms(),
            ..Report::default()
        }
    }

    /// The level for a route and team: that of this proxy, and if it is higher, that
    /// of the routes that this route calls.
    fn level(
        &self,
        now: Time,
        route: &id::Route,
        team: &id::Team,
        levels: &Levels,
        policy: Policy,
    ) -> u16 {
        let own = self.controller.level(team, policy.fair_shares);
        match policy.downstream_levels {
            true => own.max(levels.downstream_level(now, route, team)),
            false => own,
        }
    }

    fn on_attempt(
        &mut self,
        now: Time,
        request: id::Request,
        life: id::Incarnation,
        waiting: Waiting,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if life != self.life {
            // The attempt was sent to an earlier incarnation of this node, which is
            // gone, or to a later one that has replaced this one. This incarnation
            // has not started it and never will; the report names this incarnation
            // for the next attempt.
            let report = self.base_report(now);
            let peer = waiting.peer;
            out.push(Action::Refuse(peer, request, Code::Leaving, report));
            return;
        }
        if self.running.contains_key(&request) || self.waiting.contains_key(&request) {
            world.counts.add(Counter::Late);
            return;
        }
        match self.history.lookup(&waiting.peer, request) {
            Lookup::Unseen => self.enqueue(now, request, waiting, world, out),
            Lookup::Revoked => self.refuse(now, request, waiting, Code::Revoked, world, out),
            // It ran and its end was reported. Another report could contradict that.
            Lookup::Ended => world.counts.add(Counter::Late),
            Lookup::Forgotten => {
                let report = self.base_report(now);
                out.push(Action::Refuse(
                    waiting.peer,
                    request,
                    Code::LinkLost,
                    report,
                ));
            }
        }
    }

    fn on_cancel(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        out: &mut Vec<Action>,
    ) {
        if self.running.contains_key(&request) {
            self.abort(request, out);
        } else if self.remove_waiting(request).is_some()
            || self.history.lookup(peer, request) == Lookup::Unseen
        {
            // The cancellation may have arrived before its attempt, which must then
            // not start: nobody would receive its answer.
            self.history.revoke(now, peer, request, CANCEL_RETENTION);
        }
    }

    fn on_revoke(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        life: id::Incarnation,
        left: Span,
        out: &mut Vec<Action>,
    ) -> Fate {
        if let Some(running) = self.running.get(&request) {
            if running.claim.is_none() {
                self.abort(request, out);
            }
            return Fate::Running;
        }
        let waiting = self.remove_waiting(request).is_some();
        let past = self.history.lookup(peer, request);
        match past {
            Lookup::Ended => Fate::Ended,
            Lookup::Forgotten => Fate::Forgotten,
            // Another incarnation may run it; this one only knows that it does not.
            Lookup::Unseen if life != self.life && !waiting => Fate::Forgotten,
            Lookup::Unseen | Lookup::Revoked => {
                self.history.revoke(now, peer, request, left);
                Fate::Revoked
            }
        }
    }

    fn on_link_broken(&mut self, now: Time, peer: &id::Instance, out: &mut Vec<Action>) {
        let of_peer = |(request, running): (&id::Request, &Running)| {
            let is_abortable = running.peer == *peer && running.claim.is_none();
            is_abortable.then_some(*request)
        };
        let running: Vec<_> = self.running.iter().filter_map(of_peer).collect();
        for request in running {
            self.abort(request, out);
        }
        let queued = |(request, w): (&id::Request, &Waiting)| (w.peer == *peer).then_some(*request);
        let queued: Vec<_> = self.waiting.iter().filter_map(queued).collect();
        for request in queued {
            self.on_cancel(now, peer, request, out);
        }
    }

    fn on_ready(&mut self, now: Time, ready: bool, world: &mut World<'_>, out: &mut Vec<Action>) {
        if ready && !self.upstream_state.ready {
            self.limit.start_ramp(now, self.upstream_state.ramp);
            self.suspect_cold(now, Doubt::Unreported, out);
        }
        self.upstream_state.ready = ready;
        self.upstream_state.was_ready |= ready;
        if !ready {
            self.refuse_waiting(now, Code::Leaving, world, out);
        }
    }

    fn on_tick(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        while let Some((at, request)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            self.on_deadline(now, request, world, out);
        }
        self.expire_waiting(now, world, out);
        self.limit.tick(now);
        let is_full = !self.queue.is_empty() && !self.start_limits.is_limited();
        self.knee
            .tick(now, is_full, self.upstream_state.mean_service_ms());
        self.update_level(now, world);
        self.history.tick(now);
        let reports = self.suspects.tick(now);
        if !reports.is_empty() {
            out.push(Action::Suspects(suspect::Message::Ended(reports)));
        }
    }
}
