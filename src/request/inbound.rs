//! The only way to the upstream beside this node.
//!
//! The [`Proxy`] knows the true number of requests in flight, so it decides
//! admission, and it alone can say truthfully that a request was not run. A
//! health or load endpoint of the upstream has no part in this: it may lie, lag
//! or be stuck.

mod caller;
mod memory;
mod pace;
mod running;
mod signal;
mod site;
mod waiting;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand_chacha::ChaCha8Rng;

pub use self::caller::OutgoingCall;
use self::{
    caller::Makers,
    memory::{
        Known,
        Memory, //
    },
    pace::Pace,
    running::Running,
    site::Site,
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
    warmup::{
        self,
        ColdLimiter,
        Doubt,
        Status, //
    },
};

/// How long a cancelled attempt that has not arrived is refused at least.
const CANCELLED: Span = Span::from_secs(60);

/// Time without an event after which this node must have been suspended: it looks
/// at the time at least ten times a second.
const SUSPENDED: Span = Span::from_secs(1);

/// How long after a call of the service failed an answer is blamed on it: the
/// service answers within milliseconds once its call has failed.
const BLAMED: Span = Span::from_ms(60);

/// How the upstream's part of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It answered whole, with this status.
    Answered(u16),
    /// No connection could be made, so nothing was sent.
    Refused,
    /// It answered that it has not run the request.
    Rejected,
    /// It cut its answer, or gave none.
    Cut,
    /// The attempt was aborted, and the upstream works on it no longer.
    Aborted,
}

/// What happens at the inbound proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An attempt arrived.
    Attempt {
        /// Its number.
        request: id::Request,
        /// Who sent it.
        peer: id::Instance,
        /// The life of this node that it is for.
        life: id::Incarnation,
        /// Its route.
        route: id::Route,
        /// What rides along.
        context: Context,
        /// The idempotency record that guards it.
        claim: Option<Claim>,
    },
    /// The upstream's part has ended: its slot is free.
    Ended(id::Request, End),
    /// Nobody waits any longer.
    Cancel(id::Instance, id::Request),
    /// An ingress wants to know, and wants it not to begin.
    Revoke {
        /// The attempt's number.
        request: id::Request,
        /// Who asks.
        peer: id::Instance,
        /// The life of this node that the attempt was sent to.
        life: id::Incarnation,
        /// How long a late copy must still be refused.
        left: Span,
    },
    /// The link to an instance broke.
    Broken(id::Instance),
    /// The upstream takes requests, or leaves.
    Ready(bool),
    /// The upstream's health or load endpoint speaks well of it, or ill.
    Health(bool),
    /// The upstream told how many requests it runs at a time.
    Capacity(Option<u32>),
    /// The upstream told how much longer it is cold.
    Warmup(Span),
    /// An answer of the upstream told this.
    Signal {
        /// What it told.
        signal: Signal,
        /// When the answered request began.
        begun: Time,
    },
    /// This life of the upstream is there.
    Upstream(id::Upstream),
    /// Another node tells what the upstream told through a former life of this one.
    Hint(Hint),
    /// The upstream announced that it leaves, or that it does not.
    Leaving(bool),
    /// The node was told to stop.
    Drain,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Hand the attempt to the upstream.
    Start {
        /// Its number.
        request: id::Request,
        /// What the upstream shows to make nested calls.
        token: id::Token,
        /// When it must have ended.
        deadline: Time,
    },
    /// Close the upstream's connection and report when that is done.
    Abort(id::Request),
    /// Tell the ingress that the attempt ended without an answer.
    Refuse(id::Instance, id::Request, Code, Report),
    /// Tell the ingress that the attempt has ended.
    Finish(id::Instance, id::Request, Report),
    /// Answer a revocation.
    Fate(id::Instance, id::Request, Fate),
    /// The attempt is over for its callers: end the nested calls it made.
    EndNestedCalls(id::Request),
    /// The upstream is believed to be cold or warm from now on.
    Warmup(Status),
    /// The upstream tells another limit than before.
    Limit(NamedLimit),
    /// The upstream has said in an answer that it leaves; `by_hint` when to a former
    /// life of this node.
    Departing {
        /// Whether another node told.
        by_hint: bool,
    },
}

/// What the proxy consults.
pub struct World<'a> {
    /// The configuration in force.
    pub snapshot: &'a Snapshot,
    /// The failure domain of this node.
    pub domain: &'a id::Domain,
    /// The levels of other nodes.
    pub levels: &'a mut Levels,
    /// Which mechanisms are in force.
    pub policy: Policy,
    /// Seeded randomness.
    pub rng: &'a mut ChaCha8Rng,
    /// What is counted.
    pub counts: &'a mut Counts,
}

/// All attempts at the upstream beside this node.
#[derive(Clone, Debug)]
pub struct Proxy {
    life: id::Incarnation,
    site: Site,
    running: BTreeMap<id::Request, Running>,
    deadlines: BTreeSet<(Time, id::Request)>,
    tokens: BTreeMap<id::Token, id::Request>,
    purses: Allowances,
    waiting: BTreeMap<id::Request, Waiting>,
    queue: Queue,
    limit: Concurrency,
    knee: knee::Search,
    bound: warmup::Tolerance,
    pace: Pace,
    /// The life of the upstream, zero while it is not told apart, and since when.
    upstream: (id::Upstream, Time),
    /// When the last event came.
    seen: Time,
    controller: Controller,
    memory: Memory,
    makers: Makers,
    /// When a call of the service failed last.
    failed: Option<Time>,
    /// The limit that was told last, and when that was noted.
    named: (NamedLimit, Time),
}

impl Proxy {
    /// A proxy without requests, in this life of the node, for a pool's
    /// upstream that already takes requests or not yet.
    pub fn new(life: id::Incarnation, pool: id::Pool, ready: bool) -> Self {
        Self {
            life,
            site: Site::new(pool, ready),
            running: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            tokens: BTreeMap::new(),
            purses: Allowances::new(),
            waiting: BTreeMap::new(),
            queue: Queue::default(),
            limit: Concurrency::default(),
            knee: knee::Search::default(),
            bound: warmup::Tolerance::default(),
            pace: Pace::default(),
            upstream: (id::Upstream::default(), Time::ZERO),
            seen: Time::ZERO,
            controller: Controller::default(),
            memory: Memory::default(),
            makers: Makers::default(),
            failed: None,
            named: (NamedLimit::Absent, Time::ZERO),
        }
    }

    /// Bounds the requests at a cold upstream, over its rate.
    pub fn set_cold_tolerance(&mut self, bound: warmup::Tolerance) {
        self.bound = bound;
        self.site.forget_row();
    }

    /// Requests in flight at the upstream, and those that wait.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// How the upstream is used.
    pub(crate) fn load(&self, now: Time) -> Load {
        Load {
            running: self.running.len(),
            limit: self.slots(now),
            waiting: self.waiting.len(),
            level: self.controller.shed_importances(),
            cold: self.pace.meter.is_cold(),
            named: self.pace.throttle.limit(),
        }
    }

    /// Whether nothing is in flight or waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the attempt waits or runs here.
    pub fn holds(&self, request: id::Request) -> bool {
        self.runs(request) || self.waiting.contains_key(&request)
    }

    /// Whether the attempt runs here.
    pub fn runs(&self, request: id::Request) -> bool {
        self.running.contains_key(&request)
    }

    /// When the next tick has something to do.
    pub fn due(&self) -> Time {
        let deadline = self.deadlines.first().map_or(Time::NEVER, |(at, _)| *at);
        let queue = self.waiting.values().map(|w| w.expires).min();
        let moves = self.controller.overloaded() || !self.queue.is_empty();
        let level = if moves {
            self.controller.due()
        } else {
            Time::NEVER
        };
        let pace = match self.queue.is_empty() {
            true => Time::NEVER,
            false => self.pace.due(),
        };
        let queue = queue.unwrap_or(Time::NEVER);
        deadline.min(queue).min(level).min(pace)
    }

    /// The purses that nested calls borrow from.
    pub fn allowances(&mut self) -> &mut Allowances {
        &mut self.purses
    }

    /// The state that rides back on the head of this attempt's answer.
    pub fn answer(
        &mut self,
        now: Time,
        request: id::Request,
        levels: &Levels,
        policy: Policy,
    ) -> Report {
        if let Some(purse) = self.purses.get_mut(&request) {
            purse.close();
        }
        self.report(now, request, levels, policy)
    }

    /// The state that rides back when this attempt ends.
    fn report(&self, now: Time, request: id::Request, levels: &Levels, policy: Policy) -> Report {
        let running = self.running.get(&request);
        let level = running.map_or(0, |r| {
            self.level(now, &r.route, &r.context.team, levels, policy)
        });
        let purse = self.purses.get(&request).copied().unwrap_or_default();
        let usual = running.map_or(Span::ZERO, |r| self.site.typical(now, &r.route));
        Report {
            level,
            service: usual.as_ms() as u32,
            spent: purse.spent(),
            no_retry: purse.no_retry || self.failed.is_some_and(|at| now.since(at) <= BLAMED),
            ..self.state(now)
        }
    }

    /// The context of the running attempt that holds this token, with the time
    /// it has left. None once nobody waits for the attempt.
    pub fn nested_context(&self, now: Time, token: id::Token) -> Option<Context> {
        let request = self.tokens.get(&token)?;
        let running = self.running.get(request)?;
        Some(running.nested(now, *request))
    }

    /// Remembers that the running attempt calls this route.
    pub fn record_call(&mut self, parent: id::Request, route: &id::Route) {
        if let Some(running) = self.running.get_mut(&parent) {
            running.record_call(route);
        }
    }

    /// Remembers that a call of the service failed. The attempt that made it
    /// will most likely fail for that, and trying it again would repeat all its
    /// other calls.
    pub fn record_call_failure(&mut self, now: Time) {
        self.failed = Some(now);
    }

    /// Takes one event and adds what is to be done.
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
                self.attempt(now, request, life, waiting, world, out);
            }
            Event::Ended(request, end) => self.ended(now, request, end, world, out),
            Event::Cancel(peer, request) => self.cancel(now, &peer, request, out),
            Event::Revoke {
                request,
                peer,
                life,
                left,
            } => {
                let fate = self.revoke(now, &peer, request, life, left, out);
                out.push(Action::Fate(peer, request, fate));
            }
            Event::Broken(peer) => self.broken(now, &peer, out),
            Event::Ready(ready) => self.ready(now, ready, world, out),
            Event::Health(well) => self.site.well = well,
            Event::Capacity(slots) => {
                self.site.told = slots;
                self.count_slots();
            }
            Event::Warmup(left) => {
                self.believe(out, |meter| meter.report(now, left));
            }
            Event::Signal { signal, begun } => self.signalled(now, begun, signal, world, out),
            Event::Upstream(upstream) => self.replaced(now, upstream),
            Event::Hint(hint) => self.hinted(now, hint, world, out),
            Event::Leaving(leaving) => self.site.announced_leaving = leaving,
            Event::Drain => {
                self.site.draining = true;
                self.flush(now, Code::Leaving, world, out);
            }
            Event::Tick => self.tick(now, world, out),
        }
        self.fill(now, world, out);
    }

    fn count_slots(&mut self) {
        let slots = self.site.slots();
        self.limit.configure(slots);
        self.knee.configure(slots.unwrap_or(0));
    }

    /// Requests that may run at a time now.
    fn slots(&self, now: Time) -> u32 {
        let limit = self.limit.current(now);
        match self.site.slots() {
            Some(_) => limit.min(self.knee.limit()),
            None => limit,
        }
    }

    /// Takes the configuration and the time that has passed into account.
    fn prepare(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        self.site.configure(world.snapshot, self.bound);
        self.count_slots();
        self.pace.meter.configure(self.site.cold);
        if self.seen != Time::ZERO && now.since(self.seen) > SUSPENDED {
            self.doubt(now, Doubt::Suspended, out);
        }
        self.seen = now;
        self.believe(out, |meter| meter.tick(now));
        self.evacuate(now, world, out);
    }

    /// Begins nothing more while the failure domain is evacuated. Its upstreams may
    /// come back cold.
    fn evacuate(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        let order = world.snapshot.evacuations.get(world.domain).copied();
        if order == self.site.evacuation {
            return;
        }
        self.site.evacuation = order;
        match self.site.is_evacuated() {
            true => self.flush(now, Code::Evacuated, world, out),
            false => self.doubt(now, Doubt::Returned, out),
        }
    }

    /// The upstream may be cold.
    fn doubt(&mut self, now: Time, doubt: Doubt, out: &mut Vec<Action>) {
        self.believe(out, |meter| meter.suspect_cold(now, doubt));
    }

    fn believe(&mut self, out: &mut Vec<Action>, change: impl FnOnce(&mut ColdLimiter)) {
        let before = self.pace.meter.status();
        change(&mut self.pace.meter);
        let after = self.pace.meter.status();
        let is_new = std::mem::discriminant(&before) != std::mem::discriminant(&after);
        if is_new && self.site.cold.is_some() {
            out.push(Action::Warmup(after));
        }
    }

    fn state(&self, now: Time) -> Report {
        Report {
            load: self.len() as u32,
            hint: self.hint(),
            slots: match self.pace.room(now) {
                Some(room) => room.max(1),
                None => self.site.shown(self.slots(now)),
            },
            leaving: self.site.leaving(),
            life: self.life,
            clock: now.as_ms(),
            ..Report::default()
        }
    }

    /// The level that holds for a route and team here: this proxy's own, and
    /// for new work also those of the routes that it will call.
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

    fn attempt(
        &mut self,
        now: Time,
        request: id::Request,
        life: id::Incarnation,
        waiting: Waiting,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if life != self.life {
            // The attempt is for an earlier life of this node, which has left,
            // or a later one that has replaced it. This life has not begun it
            // and will not; the report names this life for the next attempt.
            let report = self.state(now);
            let peer = waiting.peer;
            out.push(Action::Refuse(peer, request, Code::Leaving, report));
            return;
        }
        if self.running.contains_key(&request) || self.waiting.contains_key(&request) {
            world.counts.add(Counter::Late);
            return;
        }
        match self.memory.look(&waiting.peer, request) {
            Known::Unseen => self.arrived(now, request, waiting, world, out),
            Known::Revoked => self.refuse(now, request, waiting, Code::Revoked, world, out),
            // It ran. Saying anything now could contradict what was said.
            Known::Ended => world.counts.add(Counter::Late),
            Known::Forgotten => {
                let report = self.state(now);
                out.push(Action::Refuse(
                    waiting.peer,
                    request,
                    Code::LinkLost,
                    report,
                ));
            }
        }
    }

    fn cancel(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        out: &mut Vec<Action>,
    ) {
        if self.running.contains_key(&request) {
            self.abort(request, out);
        } else if self.unqueue(request).is_some()
            || self.memory.look(peer, request) == Known::Unseen
        {
            // The cancellation may have overtaken its attempt, which must then
            // not begin: nobody would take its answer.
            self.memory.revoke(now, peer, request, CANCELLED);
        }
    }

    fn revoke(
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
        let waiting = self.unqueue(request).is_some();
        let known = self.memory.look(peer, request);
        match known {
            Known::Ended => Fate::Ended,
            Known::Forgotten => Fate::Forgotten,
            // Another life may run it; this one only knows that it does not.
            Known::Unseen if life != self.life && !waiting => Fate::Forgotten,
            Known::Unseen | Known::Revoked => {
                self.memory.revoke(now, peer, request, left);
                Fate::Revoked
            }
        }
    }

    fn broken(&mut self, now: Time, peer: &id::Instance, out: &mut Vec<Action>) {
        let lost = |(request, running): (&id::Request, &Running)| {
            let theirs = running.peer == *peer && running.claim.is_none();
            theirs.then_some(*request)
        };
        let running: Vec<_> = self.running.iter().filter_map(lost).collect();
        for request in running {
            self.abort(request, out);
        }
        let queued = |(request, w): (&id::Request, &Waiting)| (w.peer == *peer).then_some(*request);
        let queued: Vec<_> = self.waiting.iter().filter_map(queued).collect();
        for request in queued {
            self.cancel(now, peer, request, out);
        }
    }

    fn ready(&mut self, now: Time, ready: bool, world: &mut World<'_>, out: &mut Vec<Action>) {
        if ready && !self.site.ready {
            self.limit.start_ramp(now, self.site.ramp);
            self.doubt(now, Doubt::Unreported, out);
        }
        self.site.ready = ready;
        self.site.served |= ready;
        if !ready {
            self.flush(now, Code::Leaving, world, out);
        }
    }

    fn tick(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        while let Some((at, request)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            self.late(now, request, world, out);
        }
        self.expire(now, world, out);
        self.limit.tick(now);
        let is_full = !self.queue.is_empty() && !self.pace.is_bound();
        self.knee.tick(now, is_full, self.site.usual());
        self.control(now, world);
        self.memory.tick(now);
    }
}
