//! A call before its first attempt: route, key, rate, early shedding.

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Action, Arrival, Environment, Origin, Router,
    call::{
        Call,
        Line,
        State,
        charged, //
    },
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
    metric::Counter,
    policy::{
        Admission,
        Policy,
        SheddingKey, //
    },
    tables::Route, //
};

/// The share of requests below the level that are sent all the same, so that
/// the level is confirmed or falls.
const PROBES: f64 = 1.0 / 64.0;

/// The part of a route's target that a call may wait for a rate token.
const WAITED: f64 = 1.0 / 8.0;

impl Router {
    pub(super) fn arrival(
        &mut self,
        now: Time,
        arrival: Arrival,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let number = arrival.call;
        match self.admit(now, arrival, world) {
            Ok(()) => self.charge(now, number, world, out),
            Err(code) => {
                world.counts.add(Counter::Refused(code));
                out.push(Action::Refuse(number, code, code.retry_after()));
            }
        }
    }

    fn admit(
        &mut self,
        now: Time,
        arrival: Arrival,
        world: &mut Environment<'_>,
    ) -> Result<(), Code> {
        let tables = &world.snapshot.tables;
        if tables.routes.is_empty() {
            return Err(Code::ConfigAbsent);
        }
        let route = tables.route(&arrival.host, &arrival.method, &arrival.path);
        let route = match (route, arrival.stale) {
            (Some(route), _) => route,
            (None, true) => return Err(Code::ConfigStale),
            (None, false) => return Err(Code::RouteUnknown),
        };
        // Calls of the service beside this node belong to requests that began
        // earlier, and those are to be finished.
        if arrival.leaving && !route.keyless {
            return Err(Code::Leaving);
        }
        let mut maker = None;
        let mut context = match &arrival.origin {
            Origin::Caller { .. } if route.keyless => {
                let (made_by, context) = self.keyless(now, &arrival, route, world);
                maker = made_by;
                context
            }
            Origin::Caller { .. } if arrival.stale => return Err(Code::ConfigStale),
            Origin::Caller { key } => self.root(arrival.call, key.as_deref(), route, world)?,
            Origin::Service { parent } => nested(parent.as_ref(), route, world)?,
        };
        context.left = arrival
            .left
            .map_or(context.left, |left| left.min(context.left));
        if let Some(parent) = context.parent {
            world.proxy.record_call(parent, &route.name);
            self.children
                .entry(parent)
                .or_default()
                .insert(arrival.call);
        }
        let patience = token_wait(route, world.policy);
        let root = Time::from_ms(now.as_ms().saturating_sub(context.age.as_ms()));
        let deadline = now + context.left;
        let call = Call {
            route: route.name.clone(),
            pool: match route.split.is_empty() {
                true => route.pool.clone(),
                false => route.pick(world.rng.random()).clone(),
            },
            repeatable: route.repeatable(&arrival.method),
            replayable: arrival.replayable,
            claim: arrival.claim,
            root,
            deadline,
            state: State::Charging(deadline.min(now + patience)),
            target: route.target,
            patience,
            wake: deadline,
            tried: Vec::new(),
            retries: 0,
            rerouted: false,
            reroutes: 0,
            purse: Allowance::new(context.allowance),
            grant: None,
            tainted: None,
            maker,
            connection: arrival.connection,
            rejected: Vec::new(),
            confined: false,
            context,
        };
        self.timers.insert((deadline, arrival.call));
        self.calls.insert(arrival.call, call);
        Ok(())
    }

    fn root(
        &self,
        call: id::Call,
        key: Option<&str>,
        route: &Route,
        world: &mut Environment<'_>,
    ) -> Result<Context, Code> {
        world.counts.add(Counter::Calls);
        let key = key.ok_or(Code::KeyMissing)?;
        let key = world
            .snapshot
            .teams
            .authenticate(key)
            .ok_or(Code::KeyUnknown)?;
        Ok(Context {
            team: key.team.clone(),
            key: Some(key.name.clone()),
            importance: route.importance,
            ..self.context(call, route, world)
        })
    }

    /// The context of a call on a route for calls between the services. Nothing
    /// tells which request caused it, only that work has begun for one: turning
    /// it away would waste that work. It has the importance and the place of the
    /// request that most likely made it, so that the calls of one request are
    /// served or shed together; without one it stands before all others.
    fn keyless(
        &self,
        now: Time,
        arrival: &Arrival,
        route: &Route,
        world: &mut Environment<'_>,
    ) -> (Option<id::Request>, Context) {
        world.counts.add(Counter::Nested);
        let context = Context {
            depth: 1,
            ..self.context(arrival.call, route, world)
        };
        if !world.policy.attribution {
            return (None, context);
        }
        let made = OutgoingCall {
            route: &route.name,
            left: arrival.left,
            connection: arrival.connection,
        };
        let Some((request, maker)) = world.proxy.attribute_call(now, made, world.levels) else {
            world.counts.add(Counter::Unattributed);
            return (None, context);
        };
        let context = Context {
            root: maker.root,
            importance: maker.importance,
            age: maker.age,
            ..context
        };
        (Some(request), context)
    }

    fn context(&self, call: id::Call, route: &Route, world: &Environment<'_>) -> Context {
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
            origin: Some(self.home.clone()),
            version: world.snapshot.version,
        }
    }

    /// Takes a rate token for a root, once, and sends the call.
    fn charge(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let State::Charging(until) = call.state else {
            return;
        };
        if call.context.key.is_some() && call.context.parent.is_none() {
            let team = call.context.team.clone();
            let importance = call.context.importance;
            let line = self.charging.get(&team);
            let others = line.map(|line| line.beside(importance, number));
            let others = others.unwrap_or_default();
            let Some(call) = self.calls.get_mut(&number) else {
                return;
            };
            match charged(
                world
                    .quota
                    .take_with_waiting(now, &team, importance, others),
            ) {
                Ok(Some(grant)) => call.grant = Some(grant),
                Ok(None) if now < until => {
                    let line = self.charging.entry(team).or_default();
                    line.insert(importance, number);
                    return self.wake(number, until);
                }
                Ok(None) => {
                    let code = match world.quota.is_over_rate(now, &call.context.team) {
                        true => Code::RateExceeded,
                        false => Code::RateUnavailable,
                    };
                    return self.fail(now, number, code, world, out);
                }
                Err(code) => return self.fail(now, number, code, world, out),
            }
        }
        self.charged(number);
        self.first(now, number, world, out);
    }

    /// The call waits for no token any more.
    pub(super) fn charged(&mut self, number: id::Call) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let team = &call.context.team;
        if let Some(line) = self.charging.get_mut(team) {
            line.remove(call.context.importance, number);
            if line.len() == 0 {
                self.charging.remove(team);
            }
        }
    }

    /// Takes another token for a root whose token ended before it began.
    pub(super) fn recharge(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.grant = None;
            call.state = State::Charging(call.deadline.min(now + call.patience));
        }
        self.charge(now, number, world, out);
    }

    /// Tries again for the calls of a team that wait for a token, in their order,
    /// until there is none left. A crowd of one team has hundreds waiting,
    /// and trying them all for each few tokens would take the node's whole time.
    pub(super) fn charge_team(
        &mut self,
        now: Time,
        team: &id::Team,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        while let Some(line) = self.charging.get(team)
            && let Some(number) = line.first()
        {
            let before = line.len();
            self.charge(now, number, world, out);
            let after = self.charging.get(team).map_or(0, Line::len);
            if after >= before {
                return;
            }
        }
    }

    /// Looks at a call whose timer has run out.
    pub(super) fn alarm(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        match call.state {
            _ if call.deadline <= now => self.late(now, number, world, out),
            State::Charging(_) => self.charge(now, number, world, out),
            State::Backoff(_) => self.send(now, number, world, out),
            State::Revoking { .. } => self.revoke_again(now, number, world, out),
            State::Sent(_) | State::Delivering(_) => self.wake(number, call.deadline),
        }
    }

    fn first(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let level = match world.policy.early_shedding && world.policy.admission == Admission::Level
        {
            true => world.levels.level(now, &call.route, &call.context.team),
            false => 0,
        };
        let rank = match world.policy.shedding_key {
            SheddingKey::Root => Rank::of(&call.context, world.policy.nested_first),
            SheddingKey::Random => Rank::random(world.rng.random()),
        };
        if !rank.passes(level) && !world.rng.random_bool(PROBES) {
            return self.fail(now, number, Code::ShedEarly, world, out);
        }
        self.budget.first(now, &call.pool);
        self.send(now, number, world, out);
    }
}

/// How long a call waits for a rate token: not so long that waiting alone would
/// use up much of the time in which its answer is of full use.
fn token_wait(route: &Route, policy: Policy) -> Span {
    let most = route.target.map(|target| target.scale(WAITED));
    most.map_or(policy.max_token_wait, |most| {
        most.min(policy.max_token_wait)
    })
}

fn nested(
    parent: Option<&Context>,
    route: &Route,
    world: &mut Environment<'_>,
) -> Result<Context, Code> {
    world.counts.add(Counter::Nested);
    let Some(parent) = parent else {
        world.counts.add(Counter::Unattributed);
        return Err(Code::TokenDead);
    };
    Ok(Context {
        left: parent.left.min(route.deadline),
        depth: parent.depth.saturating_add(1),
        allowance: 0,
        begin: None,
        ..parent.clone()
    })
}
