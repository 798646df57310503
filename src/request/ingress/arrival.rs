//! Processing of a call before its first attempt: routing, authentication, rate
//! limiting and early shedding.

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Action, Arrival, Environment, Origin, Router,
    call::{
        Call,
        State,
        TokenQueue,
        charge_result, //
    },
    leaving::refuse_closed,
};
use crate::{
    admission::Rank,
    allowance::Allowance,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::{
        Context,
        Importance, //
    },
    id,
    inbound::OutgoingCall,
    metric::{
        Counter,
        Kind, //
    },
    outcome::{
        Exposure,
        Refusal, //
    },
    policy::{
        Admission,
        Policy,
        SheddingKey, //
    },
    tables::Route, //
};

/// Fraction of the requests below the admission level that are sent anyway, so that
/// a response either confirms the level or lowers it.
const PROBE_FRACTION: f64 = 1.0 / 64.0;

/// Maximum wait for a rate token as a fraction of the route's target.
const MAX_TOKEN_WAIT_FRACTION: f64 = 1.0 / 8.0;

impl Router {
    pub(super) fn arrival(
        &mut self,
        now: Time,
        arrival: Arrival,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let call_id = arrival.call;
        match self.admit(now, arrival, env) {
            Ok(()) => self.charge(now, call_id, env, out),
            Err(refusal) => {
                env.counts.add(Counter::Refused(refusal.code()));
                out.push(Action::Refuse(call_id, refusal));
            }
        }
    }

    fn admit(
        &mut self,
        now: Time,
        arrival: Arrival,
        env: &mut Environment<'_>,
    ) -> Result<(), Refusal> {
        let tables = &env.snapshot.tables;
        if tables.routes.is_empty() {
            return Err(Refusal::unsent(Code::ConfigAbsent));
        }
        let route = tables.route(&arrival.host, &arrival.method, &arrival.path);
        let route = match (route, arrival.stale) {
            (Some(route), _) => route,
            (None, true) => return Err(Refusal::unsent(Code::ConfigStale)),
            (None, false) => return Err(Refusal::unsent(Code::RouteUnknown)),
        };
        self.check_drain(now, &arrival, route, env)?;
        let mut attributed_to = None;
        let mut is_chain_known = true;
        let mut context = match &arrival.origin {
            Origin::Caller { .. } if route.keyless => {
                let (attempt, is_certain, context) =
                    self.keyless_context(now, &arrival, route, env);
                // Only the calls of requests that started earlier go on.
                let is_nested =
                    attempt.is_some() || !env.policy.attribution && env.proxy.is_running();
                if arrival.leaving && !is_nested {
                    return Err(refuse_closed(env));
                }
                attributed_to = attempt;
                is_chain_known = is_certain;
                context
            }
            Origin::Caller { .. } if arrival.stale => {
                return Err(Refusal::unsent(Code::ConfigStale));
            }
            Origin::Caller { key } => self
                .root_context(arrival.call, key.as_deref(), route, env)
                .map_err(Refusal::unsent)?,
            Origin::Service { parent } => {
                nested_context(parent.as_ref(), route, env).map_err(Refusal::unsent)?
            }
        };
        context.digest = arrival.digest;
        context.left = arrival
            .left
            .map_or(context.left, |left| left.min(context.left));
        if let Some(parent) = context.parent {
            env.proxy.record_call(parent, &route.name);
            self.nested_calls
                .entry(parent)
                .or_default()
                .insert(arrival.call);
        }
        if env.ends_at != Time::NEVER {
            env.counts.add(Counter::DrainTaken(kind(&context)));
        }
        let max_token_wait = token_wait_limit(route, env.policy);
        let root_arrived = Time::from_ms(now.as_ms().saturating_sub(context.age.as_ms()));
        let deadline = now + context.left;
        let call = Call {
            route: route.name.clone(),
            pool: match route.split.is_empty() {
                true => route.pool.clone(),
                false => route.select_pool(env.rng.random()).clone(),
            },
            idempotent: route.is_idempotent(&arrival.method),
            replayable: arrival.replayable,
            claim: arrival.claim,
            root_arrived,
            deadline,
            state: State::AwaitingToken(deadline.min(now + max_token_wait)),
            target: route.target,
            max_token_wait,
            timer: deadline,
            tried: Vec::new(),
            retries: 0,
            left_leaving_instance: false,
            reroutes: 0,
            allowance: Allowance::new(context.allowance),
            grant: None,
            exposure: Exposure::default(),
            attributed_to,
            is_chain_known,
            succeeded: false,
            connection: arrival.connection,
            rejected_by: Vec::new(),
            only_rejecting_instances: false,
            context,
        };
        self.timers.insert((deadline, arrival.call));
        self.unanswered.insert(arrival.call, deadline);
        self.calls.insert(arrival.call, call);
        Ok(())
    }

    fn root_context(
        &self,
        call: id::Call,
        key: Option<&str>,
        route: &Route,
        env: &mut Environment<'_>,
    ) -> Result<Context, Code> {
        env.counts.add(Counter::Calls);
        let key = key.ok_or(Code::KeyMissing)?;
        let key = env
            .snapshot
            .teams
            .authenticate(key)
            .ok_or(Code::KeyUnknown)?;
        Ok(Context {
            team: key.team.clone(),
            key: Some(key.name.clone()),
            importance: route.importance,
            ..self.new_context(call, route, env)
        })
    }

    /// Creates the context of a call on a keyless route, which is for calls between
    /// services. Such a call doesn't name the request that caused it, but work has
    /// started for one, and refusing the call would waste that work. It inherits
    /// root, importance and age of the request that most likely made it, so that
    /// the calls of one request are served or shed together. Without such a request
    /// it takes precedence over all other calls. Also returns whether it is certain
    /// which request made the call.
    fn keyless_context(
        &self,
        now: Time,
        arrival: &Arrival,
        route: &Route,
        env: &mut Environment<'_>,
    ) -> (Option<id::Request>, bool, Context) {
        env.counts.add(Counter::Nested);
        let context = Context {
            depth: 1,
            ..self.new_context(arrival.call, route, env)
        };
        if !env.policy.attribution {
            return (None, false, context);
        }
        let outgoing_call = OutgoingCall {
            route: &route.name,
            left: arrival.left,
            connection: arrival.connection,
        };
        let Some((request, is_certain, attributed)) = attribute(now, outgoing_call, env) else {
            env.counts.add(Counter::Unattributed);
            return (None, false, context);
        };
        let context = Context {
            root: attributed.root,
            importance: attributed.importance,
            age: attributed.age,
            repeat: attributed.repeat,
            ..context
        };
        (Some(request), is_certain, context)
    }

    fn new_context(&self, call: id::Call, route: &Route, env: &Environment<'_>) -> Context {
        let unique = [self.incarnation.0.to_le_bytes(), call.0.to_le_bytes()].concat();
        Context {
            root: id::Root(xxh3_64(&unique)),
            team: id::Team::services(),
            key: None,
            importance: Importance::Critical,
            left: route.deadline,
            age: Span::ZERO,
            allowance: route.retries,
            depth: 0,
            begin: None,
            parent: None,
            origin: Some(self.own_pool.clone()),
            version: env.snapshot.version,
            digest: None,
            crashes: 0,
            repeat: false,
        }
    }

    /// Takes a rate token if the call is a root and needs one, then sends the call.
    /// Queues the call if no token is available yet.
    fn charge(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        let State::AwaitingToken(until) = call.state else {
            return;
        };
        if call.context.key.is_some() && call.context.parent.is_none() {
            let team = call.context.team.clone();
            let importance = call.context.importance;
            let queue = self.token_queues.get(&team);
            let others = queue.map(|queue| queue.waiting_besides(importance, call_id));
            let others = others.unwrap_or_default();
            let Some(call) = self.calls.get_mut(&call_id) else {
                return;
            };
            match charge_result(env.quota.take_with_waiting(now, &team, importance, others)) {
                Ok(Some(grant)) => call.grant = Some(grant),
                Ok(None) if now < until => {
                    let queue = self.token_queues.entry(team).or_default();
                    queue.insert(importance, call_id);
                    return self.set_timer(call_id, until);
                }
                Ok(None) => {
                    let code = match env.quota.is_over_rate(now, &call.context.team) {
                        true => Code::RateExceeded,
                        false => Code::RateUnavailable,
                    };
                    return self.fail(now, call_id, code, env, out);
                }
                Err(code) => return self.fail(now, call_id, code, env, out),
            }
        }
        self.leave_token_queue(call_id);
        self.send_first(now, call_id, env, out);
    }

    /// Removes the call from the token queue of its team.
    pub(super) fn leave_token_queue(&mut self, call_id: id::Call) {
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        let team = &call.context.team;
        if let Some(queue) = self.token_queues.get_mut(team) {
            queue.remove(call.context.importance, call_id);
            if queue.len() == 0 {
                self.token_queues.remove(team);
            }
        }
    }

    /// Takes another token for a root whose token expired before the root started.
    pub(super) fn recharge(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.grant = None;
            call.state = State::AwaitingToken(call.deadline.min(now + call.max_token_wait));
        }
        self.charge(now, call_id, env, out);
    }

    /// Retries the charge for a team's queued calls, in order, until no tokens are
    /// left. Stops at the first call that stays queued: a team can have hundreds of
    /// queued calls, and trying all of them for every few tokens would use up the
    /// node's CPU time.
    pub(super) fn charge_team(
        &mut self,
        now: Time,
        team: &id::Team,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        while let Some(queue) = self.token_queues.get(team)
            && let Some(call_id) = queue.first()
        {
            let before = queue.len();
            self.charge(now, call_id, env, out);
            let after = self.token_queues.get(team).map_or(0, TokenQueue::len);
            if after >= before {
                return;
            }
        }
    }

    /// Handles the expired timer of a call.
    pub(super) fn on_timer(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        match call.state {
            _ if call.deadline <= now => self.deadline_passed(now, call_id, env, out),
            State::AwaitingToken(_) => self.charge(now, call_id, env, out),
            State::Backoff(_) => self.send(now, call_id, env, out),
            State::Revoking { .. } => self.query_again(now, call_id, env, out),
            State::Sent(_) | State::Delivering(_) => self.set_timer(call_id, call.deadline),
        }
    }

    fn send_first(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        let level = match env.policy.early_shedding && env.policy.admission == Admission::Level {
            true => env.levels.level(now, &call.route, &call.context.team),
            false => 0,
        };
        let rank = match env.policy.shedding_key {
            SheddingKey::Root => Rank::of(&call.context, env.policy.nested_first),
            SheddingKey::Random => Rank::random(env.rng.random()),
        };
        if !rank.passes(level) && !env.rng.random_bool(PROBE_FRACTION) {
            return self.fail(now, call_id, Code::ShedEarly, env, out);
        }
        self.retry_budget.record_first_attempt(now, &call.pool);
        self.send(now, call_id, env, out);
    }
}

/// Returns how long a call waits for a rate token. Bounded so that the wait alone
/// doesn't use up much of the route's target latency.
fn token_wait_limit(route: &Route, policy: Policy) -> Span {
    let limit = route
        .target
        .map(|target| target.scale(MAX_TOKEN_WAIT_FRACTION));
    limit.map_or(policy.max_token_wait, |limit| {
        limit.min(policy.max_token_wait)
    })
}

/// Attributes a call to the attempt that most likely made it. Returns the attempt,
/// whether it is certain, and the context for its nested calls.
fn attribute(
    now: Time,
    call: OutgoingCall<'_>,
    env: &mut Environment<'_>,
) -> Option<(id::Request, bool, Context)> {
    if !env.policy.scheduling.chain_retries {
        let (attempt, context) = env.proxy.attribute_call(now, call, env.levels)?;
        return Some((attempt, false, context));
    }
    let maker = env.proxy.attribute_chain_call(now, call, env.levels)?;
    env.counts.add(Counter::Attributed(maker.evidence));
    Some((maker.attempt, maker.evidence.is_certain(), maker.context))
}

fn kind(context: &Context) -> Kind {
    match context.depth {
        0 => Kind::Root,
        _ => Kind::Nested,
    }
}

fn nested_context(
    parent: Option<&Context>,
    route: &Route,
    env: &mut Environment<'_>,
) -> Result<Context, Code> {
    env.counts.add(Counter::Nested);
    let Some(parent) = parent else {
        env.counts.add(Counter::Unattributed);
        return Err(Code::TokenDead);
    };
    Ok(Context {
        left: parent.left.min(route.deadline),
        depth: parent.depth.saturating_add(1),
        allowance: 0,
        begin: None,
        crashes: 0,
        ..parent.clone()
    })
}
