//! Attempts that the upstream works on.
//!
//! A slot is free only when the upstream has really stopped: an attempt that
//! was aborted keeps its slot until its end is reported.

use rand::RngExt;

use super::{
    Action,
    End,
    Proxy,
    World,
    waiting::Waiting, //
};
use crate::{
    allowance::Allowance,
    clock::Time,
    code::Code,
    context::Context,
    id,
    limit::knee,
    metric::{
        Counter,
        Kind, //
    },
    outcome::Report,
    policy::Admission,
    record::Claim,
    warmup::Doubt, //
};

/// One attempt at the upstream.
#[derive(Clone, Debug)]
pub struct Running {
    /// Who sent it.
    pub peer: id::Instance,
    /// Its route.
    pub route: id::Route,
    /// What came along.
    pub context: Context,
    /// The idempotency record that guards it.
    pub claim: Option<Claim>,
    token: id::Token,
    begun: Time,
    deadline: Time,
    root: Time,
    /// The turn of the search for the knee in which it took the last slot.
    turn: Option<knee::Phase>,
    /// Nobody waits for it: its end is not told.
    aborted: bool,
    called: Vec<id::Route>,
}

impl Running {
    /// The context of a call that this attempt makes.
    pub fn nested(&self, now: Time, request: id::Request) -> Context {
        Context {
            left: now.until(self.deadline),
            age: now.since(self.root),
            parent: Some(request),
            ..self.context.clone()
        }
    }

    /// When it must have ended.
    pub(super) fn ends(&self) -> Time {
        self.deadline
    }

    /// When it was started.
    pub(super) fn begun(&self) -> Time {
        self.begun
    }

    /// Whether nobody waits for it any more.
    pub(super) fn is_aborted(&self) -> bool {
        self.aborted
    }

    /// Whether it has called this route.
    pub(super) fn has_called(&self, route: &id::Route) -> bool {
        self.called.contains(route)
    }

    /// Remembers that it calls this route.
    pub fn record_call(&mut self, route: &id::Route) {
        if !self.has_called(route) {
            self.called.push(route.clone());
        }
    }
}

impl Proxy {
    /// Starts what has a slot.
    pub(super) fn fill(&mut self, now: Time, world: &mut World<'_>, out: &mut Vec<Action>) {
        let most = match world.policy.admission {
            Admission::Open => usize::MAX,
            _ => self.slots(now) as usize,
        };
        let most = match self.site.is_evacuated() {
            true => 0,
            false => most,
        };
        while self.running.len() < most && self.pace.allows(now) {
            let Some((request, waiting)) = self.next(world.policy) else {
                return;
            };
            match self.fit(now, &waiting, world) {
                Ok(()) => self.start(now, request, waiting, world, out),
                Err(code) => self.refuse(now, request, waiting, code, world, out),
            }
        }
    }

    fn start(
        &mut self,
        now: Time,
        request: id::Request,
        waiting: Waiting,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let token = id::Token(world.rng.random());
        let weight = world.snapshot.teams.team(&waiting.context.team);
        let weight = weight.map_or(1, |team| team.weight.0);
        self.queue.record_start(&waiting.context.team, weight);
        self.site.started(now);
        let kind = match waiting.context.depth {
            0 => Kind::Root,
            _ => Kind::Nested,
        };
        world.counts.add(Counter::Started(kind));
        if self.pace.meter.is_cold() {
            world.counts.add(Counter::ColdStarted);
        }
        if self.pace.throttle.limit().is_some() {
            world.counts.add(Counter::LimitedStarted);
        }
        self.pace.take(now);
        self.tokens.insert(token, request);
        let purse = Allowance::new(waiting.context.allowance);
        self.purses.insert(request, purse);
        self.deadlines.insert((waiting.deadline, request));
        let deadline = waiting.deadline;
        let running = Running {
            peer: waiting.peer,
            route: waiting.route,
            context: waiting.context,
            claim: waiting.claim,
            token,
            begun: now,
            deadline,
            root: waiting.root,
            turn: self.knee.start_phase(self.running.len() as u32 + 1),
            aborted: false,
            called: Vec::new(),
        };
        self.running.insert(request, running);
        out.push(Action::Start {
            request,
            token,
            deadline,
        });
    }

    /// Nobody waits any longer: the upstream is told to stop.
    pub(super) fn abort(&mut self, request: id::Request, out: &mut Vec<Action>) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        if running.aborted {
            return;
        }
        running.aborted = true;
        self.tokens.remove(&running.token);
        self.deadlines.remove(&(running.deadline, request));
        out.push(Action::EndNestedCalls(request));
        out.push(Action::Abort(request));
    }

    /// The deadline has passed while the upstream works.
    pub(super) fn late(
        &mut self,
        now: Time,
        request: id::Request,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let report = self.report(now, request, world.levels, world.policy);
        let Some(running) = self.running.get(&request) else {
            return;
        };
        if !running.aborted {
            let peer = running.peer.clone();
            out.push(Action::Refuse(peer, request, Code::DeadlinePassed, report));
        }
        if world.policy.cancellation {
            self.abort(request, out);
        }
    }

    /// The upstream has stopped: the slot is free.
    pub(super) fn ended(
        &mut self,
        now: Time,
        request: id::Request,
        end: End,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let report = self.report(now, request, world.levels, world.policy);
        let in_flight = self.running.len() as u32;
        let Some(running) = self.running.remove(&request) else {
            return;
        };
        self.deadlines.remove(&(running.deadline, request));
        self.tokens.remove(&running.token);
        self.purses.remove(&request);
        match end {
            End::Refused | End::Rejected => {
                self.memory
                    .revoke(now, &running.peer, request, now.until(running.deadline))
            }
            _ => self.memory.end(now, &running.peer, request),
        }
        match end {
            End::Answered(_) => {
                let took = now.since(running.begun);
                self.limit.record_served(took, in_flight);
                if let Some(turn) = running.turn {
                    self.knee.record_served(turn, &running.route, took);
                }
                // A time beyond its own deadline says that this node slept, or
                // that nobody waited; it is not how long the route takes.
                if now <= running.deadline {
                    self.site.took(now, &running.route, took);
                }
                world.levels.record_calls(&running.route, &running.called);
            }
            End::Refused => {
                self.limit.record_refused();
                self.doubt(now, Doubt::Refused, out);
            }
            End::Rejected | End::Cut | End::Aborted => {}
        }
        if !running.aborted {
            out.push(Action::EndNestedCalls(request));
            out.push(told(running.peer, request, end, report));
        }
    }
}

fn told(peer: id::Instance, request: id::Request, end: End, report: Report) -> Action {
    match end {
        End::Answered(_) => Action::Finish(peer, request, report),
        End::Refused => Action::Refuse(peer, request, Code::UpstreamRefused, report),
        End::Rejected => Action::Refuse(peer, request, Code::UpstreamRejected, report),
        End::Cut | End::Aborted => Action::Refuse(peer, request, Code::UpstreamCut, report),
    }
}
