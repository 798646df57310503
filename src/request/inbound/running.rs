//! Attempts that run at the upstream.
//!
//! A slot is freed only when the upstream has really stopped: an aborted attempt
//! keeps its slot until its end is reported.

use std::collections::BTreeMap;

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
    clock::{
        Span,
        Time, //
    },
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
    retry::class::Progress,
    suspect::{
        self,
        Seen,
        Work, //
    },
    warmup::Doubt, //
};

/// Time within which attempts that end with the upstream end with the same process.
const CRASH_RECORD_INTERVAL: Span = Span::from_secs(1);

/// One running attempt.
#[derive(Clone, Debug)]
pub struct Running {
    /// The node that sent it.
    pub peer: id::Instance,
    /// Its route.
    pub route: id::Route,
    /// The metadata that came with it.
    pub context: Context,
    /// The idempotency record that guards it.
    pub claim: Option<Claim>,
    token: id::Token,
    started: Time,
    deadline: Time,
    root: Time,
    /// The phase of the knee search that it is a sample of, if it took the last slot.
    phase: Option<knee::Phase>,
    /// Its sender no longer waits, so its end is not reported.
    aborted: bool,
    called: Vec<id::Route>,
    /// Number of its calls that have succeeded, by route.
    succeeded: BTreeMap<id::Route, u32>,
}

impl Running {
    /// The context for nested calls of this attempt.
    pub fn nested_context(&self, now: Time, request: id::Request) -> Context {
        Context {
            left: now.until(self.deadline),
            age: now.since(self.root),
            parent: Some(request),
            ..self.context.clone()
        }
    }

    /// Its deadline.
    pub(super) fn deadline(&self) -> Time {
        self.deadline
    }

    /// The request that it runs, if it can be recognized.
    pub(super) fn work(&self) -> Option<Work> {
        Work::of(&self.route, &self.context)
    }

    /// When it was started.
    pub(super) fn started(&self) -> Time {
        self.started
    }

    /// Whether it was aborted.
    pub(super) fn is_aborted(&self) -> bool {
        self.aborted
    }

    /// Whether it has called this route.
    pub(super) fn has_called(&self, route: &id::Route) -> bool {
        self.called.contains(route)
    }

    /// The routes that it has called.
    pub(super) fn called(&self) -> &[id::Route] {
        &self.called
    }

    /// Records that it calls this route.
    pub fn record_call(&mut self, route: &id::Route) {
        if !self.has_called(route) {
            self.called.push(route.clone());
        }
    }

    /// Records that one of its calls on this route has succeeded.
    pub(super) fn record_success(&mut self, route: &id::Route) {
        *self.succeeded.entry(route.clone()).or_default() += 1;
    }

    /// Returns its progress on this route.
    pub(super) fn progress(&self, route: &id::Route) -> Progress {
        Progress::of(self.succeeded.get(route).copied().unwrap_or_default())
    }
}

impl Proxy {
    /// Starts waiting attempts while there are free slots and the start limits allow it.
    pub(super) fn start_waiting(
        &mut self,
        now: Time,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let max_running = match world.policy.admission {
            Admission::Open => usize::MAX,
            _ => self.slots(now) as usize,
        };
        let max_running = match self.upstream_state.is_evacuated() {
            true => 0,
            false => max_running,
        };
        while self.running.len() < max_running && self.start_limits.allows(now) {
            let Some((request, waiting)) = self.next(world.policy) else {
                return;
            };
            match self.check_startable(now, &waiting, world) {
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
        let team = world.snapshot.teams.team(&waiting.context.team);
        let weight = team.map_or(1, |team| team.weight.0);
        self.queue.record_start(&waiting.context.team, weight);
        self.upstream_state.record_start(now);
        let kind = match waiting.context.depth {
            0 => Kind::Root,
            _ => Kind::Nested,
        };
        world.counts.add(Counter::Started(kind));
        if waiting.context.repeat {
            world.counts.add(Counter::StartedAgain(kind));
        }
        if self.start_limits.cold.is_cold() {
            world.counts.add(Counter::ColdStarted);
        }
        if self.start_limits.throttle.limit().is_some() {
            world.counts.add(Counter::LimitedStarted);
        }
        self.start_limits.record_start(now);
        if !self.suspects.is_empty()
            && let Some(work) = waiting.work()
            && let Some(report) = self.suspects.record_start(now, &work)
        {
            out.push(Action::Suspects(suspect::Message::Ended(vec![report])));
        }
        self.tokens.insert(token, request);
        let allowance = Allowance::new(waiting.context.allowance);
        self.allowances.insert(request, allowance);
        self.deadlines.insert((waiting.deadline, request));
        let deadline = waiting.deadline;
        let running = Running {
            peer: waiting.peer,
            route: waiting.route,
            context: waiting.context,
            claim: waiting.claim,
            token,
            started: now,
            deadline,
            root: waiting.root,
            phase: self.knee.start_phase(self.running.len() as u32 + 1),
            aborted: false,
            called: Vec::new(),
            succeeded: BTreeMap::new(),
        };
        self.running.insert(request, running);
        out.push(Action::Start {
            request,
            token,
            deadline,
        });
    }

    /// Aborts an attempt whose sender no longer waits.
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

    /// Handles a deadline that has passed while the attempt runs.
    pub(super) fn on_deadline(
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

    /// Handles the end of an attempt, which frees its slot.
    pub(super) fn on_ended(
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
        self.allowances.remove(&request);
        match end {
            End::Refused | End::Rejected => {
                self.history
                    .revoke(now, &running.peer, request, now.until(running.deadline))
            }
            _ => self.history.end(now, &running.peer, request),
        }
        match end {
            End::Answered(status) => {
                self.on_survived(&running, out);
                let took = now.since(running.started);
                self.limit.record_served(took, in_flight);
                if let Some(phase) = running.phase {
                    self.knee.record_served(phase, &running.route, took);
                }
                // A service time beyond the deadline means that this node was
                // suspended, or that the attempt was not cancelled; it doesn't show
                // how long the route takes.
                if now <= running.deadline {
                    self.upstream_state
                        .record_service_time(now, &running.route, took);
                    if world.policy.scheduling.speed_balancing {
                        self.upstream_state
                            .record_speed(now, &running.route, took, status);
                    }
                }
                world.levels.record_calls(&running.route, &running.called);
                if world.policy.scheduling.chain_retries {
                    self.learn_from_end(now, &running);
                }
            }
            End::Refused => {
                self.limit.record_refused();
                self.suspect_cold(now, Doubt::Refused, out);
            }
            End::Crashed => self.on_crash(now, &running, out),
            End::Rejected | End::Cut | End::Aborted => {}
        }
        if !matches!(end, End::Answered(_) | End::Crashed) {
            self.on_trial_undecided(now, &running, out);
        }
        if !running.aborted {
            out.push(Action::EndNestedCalls(request));
            out.push(end_action(running.peer, request, end, report));
        }
    }
}

impl Proxy {
    /// Handles the end of the upstream's process, which ends this attempt and all that
    /// still count as running.
    fn on_crash(&mut self, now: Time, ended: &Running, out: &mut Vec<Action>) {
        let is_recorded = self
            .last_crash
            .is_some_and(|at| ended.started <= at && now.since(at) <= CRASH_RECORD_INTERVAL);
        if is_recorded {
            return;
        }
        self.last_crash = Some(now);
        let mut held = Vec::new();
        let mut reports = Vec::new();
        for running in self.running.values().chain([ended]) {
            let Some(work) = running.work() else { continue };
            let seen = Seen {
                since: running.root,
                ends: running.context.crashes,
            };
            reports.extend(self.suspects.record_end(now, &work, running.started, seen));
            held.push(work);
        }
        out.push(Action::Crashed(held));
        if !reports.is_empty() {
            out.push(Action::Suspects(suspect::Message::Ended(reports)));
        }
    }

    /// Handles a run that shows neither that the upstream survives it nor that it doesn't.
    fn on_trial_undecided(&mut self, now: Time, running: &Running, out: &mut Vec<Action>) {
        if !self.suspects.is_empty()
            && let Some(work) = running.work()
            && let Some(report) = self.suspects.record_nothing(now, &work, running.started)
        {
            out.push(Action::Suspects(suspect::Message::Released(vec![report])));
        }
    }

    /// Handles an answer of the upstream, which it has survived.
    fn on_survived(&mut self, running: &Running, out: &mut Vec<Action>) {
        if !self.suspects.is_empty()
            && let Some(work) = running.work()
            && self.suspects.record_answer(&work, running.started)
        {
            out.push(Action::Suspects(suspect::Message::Cleared(vec![work])));
        }
    }
}

/// The action that reports the end of an attempt to its sender.
fn end_action(peer: id::Instance, request: id::Request, end: End, report: Report) -> Action {
    match end {
        End::Answered(_) => Action::Finish(peer, request, report),
        End::Refused => Action::Refuse(peer, request, Code::UpstreamRefused, report),
        End::Rejected => Action::Refuse(peer, request, Code::UpstreamRejected, report),
        End::Cut | End::Aborted => Action::Refuse(peer, request, Code::UpstreamCut, report),
        End::Crashed => Action::Refuse(peer, request, Code::UpstreamEnded, report),
    }
}
