//! A call from its arrival at a node until its final answer.
//!
//! The [`Router`] names the team, charges its rate, picks an instance, sends
//! attempts and judges how they end. It does no input or output. A call has at
//! most one attempt at a time.

mod arrival;
mod attempt;
mod call;
mod end;
mod silence;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand_chacha::ChaCha8Rng;

use self::call::{
    Attempt,
    Call,
    Line, //
};
use crate::{
    admission::seen::Levels,
    backpressure::{
        Hint,
        Hints, //
    },
    balance::Balancer,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Context,
    document::Snapshot,
    frame::Fate,
    id,
    inbound::Proxy,
    member::{
        Peer,
        Table, //
    },
    metric::Counts,
    outcome::Report,
    policy::Policy,
    quota::{
        Holder,
        bank::WaitingCounts, //
    },
    record::{
        Claim,
        Directory, //
    },
    retry::{
        Budget,
        Limits, //
    },
};

/// Who makes a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller outside, with the key it showed.
    Caller {
        /// The key as text, `name.secret`.
        key: Option<String>,
    },
    /// The service beside this node, for the attempt that holds this token.
    Service {
        /// The attempt as its inbound proxy knows it.
        parent: Option<Context>,
    },
}

/// A call whose head has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The node's number for it.
    pub call: id::Call,
    /// Who makes it.
    pub origin: Origin,
    /// The host it names.
    pub host: String,
    /// Its method.
    pub method: String,
    /// Its path, without the query.
    pub path: String,
    /// Its idempotency key and the checksum of the whole request.
    pub claim: Option<Claim>,
    /// Whether the body is held and can be sent again.
    pub replayable: bool,
    /// How long its caller waits, where it said so.
    pub left: Option<Span>,
    /// The connection that it came over.
    pub connection: id::Connection,
    /// The configuration may be out of date, so that neither a key nor the
    /// absence of a route proves anything.
    pub stale: bool,
    /// This node stops soon: what begins now could not be finished.
    pub leaving: bool,
}

/// What happens to calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new call.
    Arrival(Box<Arrival>),
    /// The caller hung up.
    CallerGone(id::Call),
    /// The upstream's answer begins, with this status.
    Answered(id::Instance, id::Request, u16, Report),
    /// The attempt has ended after its answer.
    Finished(id::Instance, id::Request, Report),
    /// The attempt ended without an answer.
    Refused(id::Instance, id::Request, Code, Report),
    /// The attempt never left this node, and never will.
    AttemptUnsent(id::Request),
    /// The link to an instance broke, or could not be made.
    LinkLost(id::Instance),
    /// The answer to a revocation.
    RevokeResult(id::Instance, id::Request, Fate),
    /// The attempt at the upstream beside this node that made nested calls is
    /// over.
    ParentEnded(id::Request),
    /// There is news of a team's rate tokens.
    TokensChanged(id::Team),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The call it is for.
        call: id::Call,
        /// The attempt's number.
        request: id::Request,
        /// Where to.
        peer: id::Instance,
        /// The life of that instance that may run it.
        life: id::Incarnation,
        /// The route.
        route: id::Route,
        /// What rides along.
        context: Context,
        /// The idempotency record that guards it.
        claim: Option<Claim>,
    },
    /// Tell a later life of a node what its upstream told.
    Hint(id::Instance, Hint),
    /// Relay this attempt's answer to the caller.
    Deliver(id::Call, id::Request),
    /// Answer the caller with this code, and with when to come back; after a
    /// [`Action::Deliver`], cut the answer so that it is no short success.
    Refuse(id::Call, Code, Option<Span>),
    /// Tell the inbound proxy that nobody waits any longer.
    Cancel(id::Instance, id::Request),
    /// Ask the inbound proxy not to begin.
    Revoke {
        /// Whom to ask.
        peer: id::Instance,
        /// The attempt's number.
        request: id::Request,
        /// The life that the attempt was sent to.
        life: id::Incarnation,
        /// How long a late copy must still be refused.
        left: Span,
    },
}

/// What the router consults.
pub struct Environment<'a> {
    /// The configuration in force.
    pub snapshot: &'a Snapshot,
    /// The members.
    pub members: &'a Table,
    /// The rate tokens held here.
    pub quota: &'a mut Holder,
    /// Where the records of idempotent requests are.
    pub records: &'a Directory,
    /// The inbound proxy of this node, whose attempts make nested calls.
    pub proxy: &'a mut Proxy,
    /// The levels of other nodes.
    pub levels: &'a mut Levels,
    /// Which mechanisms are in force.
    pub policy: Policy,
    /// Seeded randomness.
    pub rng: &'a mut ChaCha8Rng,
    /// What is counted.
    pub counts: &'a mut Counts,
}

/// All calls that this node has not yet answered.
#[derive(Clone, Debug)]
pub struct Router {
    incarnation: id::Incarnation,
    home: id::Pool,
    next: u64,
    calls: BTreeMap<id::Call, Call>,
    attempts: BTreeMap<id::Request, Attempt>,
    children: BTreeMap<id::Request, BTreeSet<id::Call>>,
    /// Calls that wait for a rate token, by team.
    charging: BTreeMap<id::Team, Line>,
    timers: BTreeSet<(Time, id::Call)>,
    balancer: Balancer,
    /// What upstreams told through their nodes.
    hints: Hints,
    budget: Budget,
    typical: BTreeMap<id::Route, f64>,
    looked: Time,
}

impl Router {
    /// A router without calls, in this life of the node.
    pub fn new(own: &Peer) -> Self {
        Self {
            incarnation: own.incarnation,
            home: own.pool.clone(),
            next: 0,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            children: BTreeMap::new(),
            charging: BTreeMap::new(),
            timers: BTreeSet::new(),
            balancer: Balancer::new(own),
            hints: Hints::default(),
            budget: Budget::default(),
            typical: BTreeMap::new(),
            looked: Time::ZERO,
        }
    }

    /// Goes by other terms for retries from now on.
    pub fn set_retry_limits(&mut self, terms: Limits) {
        self.budget.limit(terms);
    }

    /// Forgets what is known of an instance that is gone.
    pub fn forget_instance(&mut self, instance: &id::Instance) {
        self.balancer.forget(instance);
    }

    /// How many calls of each team wait for a rate token.
    pub fn waiting_for_tokens(&self) -> BTreeMap<id::Team, WaitingCounts> {
        let teams = self.charging.iter();
        teams
            .map(|(team, line)| (team.clone(), line.waiting()))
            .collect()
    }

    /// Calls that have not been answered whole.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether every call has been answered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// When the next tick has something to do.
    pub fn due(&self) -> Time {
        self.timers.first().map_or(Time::NEVER, |(at, _)| *at)
    }

    /// Takes one event and adds what is to be done.
    pub fn on(
        &mut self,
        now: Time,
        event: Event,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        match event {
            Event::Arrival(arrival) => self.arrival(now, *arrival, world, out),
            Event::CallerGone(call) => self.gone(now, call, world, out),
            Event::Answered(peer, request, status, report) => {
                self.answered(now, &peer, request, status, report, world, out);
            }
            Event::Finished(peer, request, report) => {
                self.finished(now, &peer, request, report, world, out);
            }
            Event::Refused(peer, request, code, report) => {
                self.refused(now, &peer, request, code, report, world, out);
            }
            Event::AttemptUnsent(request) => self.unsent(now, request, world, out),
            Event::LinkLost(peer) => self.broken(now, &peer, world, out),
            Event::RevokeResult(peer, request, fate) => {
                self.fate(now, &peer, request, fate, world, out);
            }
            Event::ParentEnded(request) => self.orphan(now, request, world, out),
            Event::TokensChanged(team) => self.charge_team(now, &team, world, out),
            Event::Tick => self.tick(now, world, out),
        }
    }

    /// Sets the one timer of a call.
    fn wake(&mut self, number: id::Call, at: Time) {
        if let Some(call) = self.calls.get_mut(&number) {
            self.timers.remove(&(call.wake, number));
            call.wake = at;
            self.timers.insert((at, number));
        }
    }

    fn tick(&mut self, now: Time, world: &mut Environment<'_>, out: &mut Vec<Action>) {
        if now.since(self.looked) >= silence::LOOK {
            self.looked = now;
            self.listen(now, world, out);
        }
        while let Some((at, number)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.alarm(now, number, world, out);
        }
    }
}
