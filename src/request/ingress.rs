//! Routing of calls, from the arrival at a node to the final response.
//!
//! The [`Router`] authenticates the team, charges its rate limit, selects an
//! instance, sends attempts and handles their outcomes. It does no I/O. A call has
//! at most one attempt at a time.

mod arrival;
mod attempt;
mod call;
mod end;
mod leaving;
mod silence;
mod unanswered;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use rand_chacha::ChaCha8Rng;

use self::call::{
    Attempt,
    Call,
    State,
    TokenQueue, //
};
use self::unanswered::Unanswered;
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
    estimate::Estimate,
    frame::Fate,
    id,
    inbound::Proxy,
    member::{
        Peer,
        Table, //
    },
    metric::{
        Counts,
        Stage, //
    },
    outcome::{
        Refusal,
        Report, //
    },
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

/// Origin of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// An external caller.
    Caller {
        /// The API key it presented, as `name.secret`.
        key: Option<String>,
    },
    /// The local service, on behalf of the attempt that its token identifies.
    Service {
        /// The attempt's context at the inbound proxy, if it is still running.
        parent: Option<Context>,
    },
}

/// A call whose request head has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies the call at this node.
    pub call: id::Call,
    /// Origin of the call.
    pub origin: Origin,
    /// Requested host.
    pub host: String,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Idempotency key and checksum of the whole request.
    pub claim: Option<Claim>,
    /// Whether the body is buffered and can be sent again.
    pub replayable: bool,
    /// Digest of the request, if its whole body is buffered.
    pub digest: Option<id::Digest>,
    /// How long the caller waits, if it specified a deadline.
    pub left: Option<Span>,
    /// Connection over which the call arrived.
    pub connection: id::Connection,
    /// Whether the configuration may be out of date. Neither a key nor a missing
    /// route can be relied on then.
    pub stale: bool,
    /// Whether this node is about to stop, so that a new request might not finish.
    pub leaving: bool,
}

/// Input of the [`Router`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A new call.
    Arrival(Box<Arrival>),
    /// The caller closed its connection.
    CallerGone(id::Call),
    /// The upstream's response has started, with this status.
    Answered(id::Instance, id::Request, u16, Report),
    /// The attempt has ended after a complete response.
    Finished(id::Instance, id::Request, Report),
    /// The attempt has ended without a response.
    Refused(id::Instance, id::Request, Code, Report),
    /// The attempt was never sent, and won't be.
    AttemptUnsent(id::Request),
    /// The link to an instance was lost, with these attempts that were sent over it, or
    /// couldn't be established.
    LinkLost(id::Instance, Vec<id::Request>),
    /// The response of this attempt could not be relayed to the caller.
    AnswerLost(id::Call, id::Request),
    /// The reply to [`Action::Revoke`].
    RevokeResult(id::Instance, id::Request, Fate),
    /// An attempt at the local upstream that made nested calls has ended.
    ParentEnded(id::Request),
    /// The state of a team's rate tokens has changed.
    TokensChanged(id::Team),
    /// The process is about to exit.
    Stop,
    /// Time has advanced.
    Tick,
}

/// Output of the [`Router`], to be carried out by the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The call that the attempt belongs to.
        call: id::Call,
        /// Identifies the attempt.
        request: id::Request,
        /// Destination instance.
        peer: id::Instance,
        /// Incarnation of that instance that may run the attempt.
        life: id::Incarnation,
        /// Route of the call.
        route: id::Route,
        /// Context propagated with the attempt.
        context: Context,
        /// Idempotency claim of the call.
        claim: Option<Claim>,
    },
    /// Tell a restarted node what its upstream had announced before.
    Hint(id::Instance, Hint),
    /// Relay the response of this attempt to the caller.
    Deliver(id::Call, id::Request),
    /// Refuse the call. After an [`Action::Deliver`], abort the response so that it can't
    /// be mistaken for a short complete one.
    Refuse(id::Call, Refusal),
    /// Tell the inbound proxy that nobody waits for the attempt any more.
    Cancel(id::Instance, id::Request),
    /// Ask the inbound proxy not to start the attempt.
    Revoke {
        /// Instance that the attempt was sent to.
        peer: id::Instance,
        /// Identifies the attempt.
        request: id::Request,
        /// Incarnation that the attempt was sent to.
        life: id::Incarnation,
        /// How long a delayed copy of the attempt must be refused.
        left: Span,
        /// Whether the attempt goes on if it has started. Otherwise it is aborted.
        unless_running: bool,
    },
}

/// State of the node that the [`Router`] uses.
pub struct Environment<'a> {
    /// Current configuration.
    pub snapshot: &'a Snapshot,
    /// Member table.
    pub members: &'a Table,
    /// Rate tokens held by this node.
    pub quota: &'a mut Holder,
    /// Owners of the idempotency records.
    pub records: &'a Directory,
    /// Inbound proxy of this node, whose attempts make nested calls.
    pub proxy: &'a mut Proxy,
    /// Admission levels of other nodes.
    pub levels: &'a mut Levels,
    /// Enabled overload control mechanisms.
    pub policy: Policy,
    /// Seeded random number generator.
    pub rng: &'a mut ChaCha8Rng,
    /// Metric counters.
    pub counts: &'a mut Counts,
    /// From when on this node answers no caller any more, as it stops; [`Time::NEVER`]
    /// while it does not drain.
    pub ends_at: Time,
}

/// The calls of a node that have no complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCalls {
    /// Calls without an attempt under way.
    pub waiting: usize,
    /// Calls with an attempt under way.
    pub sent: usize,
    /// Calls with an attempt under way that had started at its upstream.
    pub begun: usize,
    /// Calls whose answer is being relayed.
    pub answering: usize,
}

/// State machine that handles all calls of this node until they are answered.
#[derive(Clone, Debug)]
pub struct Router {
    incarnation: id::Incarnation,
    own_pool: id::Pool,
    last_sequence: u64,
    calls: BTreeMap<id::Call, Call>,
    attempts: BTreeMap<id::Request, Attempt>,
    nested_calls: BTreeMap<id::Request, BTreeSet<id::Call>>,
    /// Calls waiting for a rate token, by team.
    token_queues: BTreeMap<id::Team, TokenQueue>,
    timers: BTreeSet<(Time, id::Call)>,
    unanswered: Unanswered,
    balancer: Balancer,
    /// Announcements of upstreams, to be passed to their restarted nodes.
    hints: Hints,
    retry_budget: Budget,
    typical_latency: BTreeMap<id::Route, f64>,
    /// High estimates of the latency of an attempt.
    estimates: BTreeMap<id::Route, Estimate>,
    last_silence_check: Time,
}

impl Router {
    /// Creates a router without calls for the node described by `own`.
    pub fn new(own: &Peer) -> Self {
        Self {
            incarnation: own.incarnation,
            own_pool: own.pool.clone(),
            last_sequence: 0,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            nested_calls: BTreeMap::new(),
            token_queues: BTreeMap::new(),
            timers: BTreeSet::new(),
            unanswered: Unanswered::default(),
            balancer: Balancer::new(own),
            hints: Hints::default(),
            retry_budget: Budget::default(),
            typical_latency: BTreeMap::new(),
            estimates: BTreeMap::new(),
            last_silence_check: Time::ZERO,
        }
    }

    /// Replaces the limits of the retry budgets.
    pub fn set_retry_limits(&mut self, limits: Limits) {
        self.retry_budget.set_limits(limits);
    }

    /// Drops the statistics of an instance that has gone.
    pub fn forget_instance(&mut self, instance: &id::Instance) {
        self.balancer.forget(instance);
    }

    /// Records that a part of a body arrived from an instance or was taken by it.
    pub fn record_body_progress(&mut self, now: Time, peer: &id::Instance) {
        self.balancer.stalls.record_sign_of_life(now, peer);
    }

    /// Returns the number of calls of each team that wait for a rate token.
    pub fn waiting_for_tokens(&self) -> BTreeMap<id::Team, WaitingCounts> {
        let teams = self.token_queues.iter();
        teams
            .map(|(team, queue)| (team.clone(), queue.waiting()))
            .collect()
    }

    /// Returns the number of calls without a complete response, by how far they got.
    pub fn open_calls(&self) -> OpenCalls {
        let mut open = OpenCalls::default();
        for call in self.calls.values() {
            match self.stage(call) {
                Stage::Waiting => open.waiting += 1,
                Stage::Sent => open.sent += 1,
                Stage::Begun => open.begun += 1,
                Stage::Answering => open.answering += 1,
            }
        }
        open
    }

    /// How far a call has got.
    fn stage(&self, call: &Call) -> Stage {
        match call.state {
            State::AwaitingToken(_) | State::Backoff(_) => Stage::Waiting,
            State::Sent(request) | State::Revoking { request, .. } => {
                let attempt = self.attempts.get(&request);
                match attempt.is_some_and(|attempt| attempt.has_started) {
                    true => Stage::Begun,
                    false => Stage::Sent,
                }
            }
            State::Delivering(_) => Stage::Answering,
        }
    }

    /// Returns the number of calls without a complete response.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether every call has been answered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the attempts at an instance that have not ended.
    pub fn attempts_at(&self, peer: &id::Instance) -> Vec<id::Request> {
        let attempts = self.attempts.iter();
        let theirs = attempts.filter(|(_, attempt)| attempt.peer == *peer);
        theirs.map(|(request, _)| *request).collect()
    }

    /// Records a hint that another node sent by itself, without a report on an attempt.
    pub fn record_hint(
        &mut self,
        now: Time,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        hint: Hint,
    ) {
        self.hints.record(now, peer, incarnation, Some(hint), false);
    }

    /// Tells a node of departures that only its earlier incarnations may know.
    pub fn pass_on_departures(
        &self,
        now: Time,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        out: &mut Vec<Action>,
    ) {
        let hints = self.hints.pending(now, peer, incarnation);
        let departures = hints.filter(|hint| hint.leaving);
        out.extend(departures.map(|hint| Action::Hint(peer.clone(), hint)));
    }

    /// Records that the caller was given the head of its response.
    pub fn record_delivered(&mut self, call: id::Call) {
        self.unanswered.remove(call);
    }

    /// Returns when the next timer expires.
    pub fn due(&self) -> Time {
        let timer = self.timers.first().map_or(Time::NEVER, |(at, _)| *at);
        timer.min(self.unanswered.due())
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn on(
        &mut self,
        now: Time,
        event: Event,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        self.balancer.stalls.observe_time(now);
        match event {
            Event::Arrival(arrival) => self.arrival(now, *arrival, env, out),
            Event::CallerGone(call) => self.caller_gone(now, call, env, out),
            Event::Answered(peer, request, status, report) => {
                self.answered(now, &peer, request, status, report, env, out);
            }
            Event::Finished(peer, request, report) => {
                self.finished(now, &peer, request, report, env, out);
            }
            Event::Refused(peer, request, code, report) => {
                // A node that has restarted refuses what is meant for its former life.
                self.pass_on_departures(now, &peer, report.life, out);
                self.refused(now, &peer, request, code, report, env, out);
            }
            Event::AttemptUnsent(request) => self.attempt_unsent(now, request, env, out),
            Event::LinkLost(peer, lost) => self.link_lost(now, &peer, &lost, env, out),
            Event::AnswerLost(call, request) => self.answer_lost(now, call, request, env, out),
            Event::RevokeResult(peer, request, fate) => {
                self.revoke_result(now, &peer, request, fate, env, out);
            }
            Event::ParentEnded(request) => self.parent_ended(now, request, env, out),
            Event::TokensChanged(team) => self.charge_team(now, &team, env, out),
            Event::Stop => self.stop(now, env, out),
            Event::Tick => self.tick(now, env, out),
        }
    }

    /// Sets the timer of a call. Each call has only one.
    fn set_timer(&mut self, call_id: id::Call, at: Time) {
        if let Some(call) = self.calls.get_mut(&call_id) {
            self.timers.remove(&(call.timer, call_id));
            call.timer = at;
            self.timers.insert((at, call_id));
        }
    }

    fn tick(&mut self, now: Time, env: &mut Environment<'_>, out: &mut Vec<Action>) {
        if now.since(self.last_silence_check) >= silence::SILENCE_CHECK_INTERVAL {
            self.last_silence_check = now;
            self.check_silent_peers(now, env, out);
        }
        self.revoke_waiting(now, env, out);
        while let Some(call_id) = self.unanswered.take_expired(now) {
            self.deadline_passed(now, call_id, env, out);
        }
        while let Some((at, call_id)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.pop_first();
            self.on_timer(now, call_id, env, out);
        }
    }
}
