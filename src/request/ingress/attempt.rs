//! Attempts: sending them, and judging how they end.

use super::{
    Action, Environment, Router,
    call::{
        Attempt,
        Call,
        State, //
    },
};
use crate::{
    admission::Rank,
    balance::Observation,
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict, //
    },
    context::Context,
    frame::Fate,
    id,
    metric::Counter,
    outcome::Report,
    policy::RetryLimit,
    record::Name,
    retry::{
        self,
        Failure,
        Reason, //
    },
};

/// How long an inbound proxy is asked what became of an attempt, when its link
/// cannot be made.
const ATTEMPT_QUERY_TIMEOUT: Span = Span::from_secs(2);
/// The time between two questions.
const ATTEMPT_QUERY_INTERVAL: Span = Span::from_ms(100);
/// The weight of the newest answer in a route's usual time.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

impl Router {
    /// Sends the call's next attempt.
    pub(super) fn send(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if now >= call.deadline {
            return self.fail(now, number, Code::DeadlineUnfit, world, out);
        }
        // Once an attempt may have begun, the token is spent and binds no more.
        let paid = call.grant.filter(|_| call.tainted.is_none());
        let left = paid.map(|grant| world.quota.time_left(now, &call.context.team, grant));
        if left == Some(None) {
            return self.recharge(now, number, world, out);
        }
        let (picked, absent) = match &call.claim {
            Some(claim) => {
                // A claimed request goes to its record owner and nowhere else.
                let name = Name {
                    team: call.context.team.clone(),
                    key: claim.key.clone(),
                };
                let owner = world.records.find(&call.pool, &name, &call.tried);
                let peer = owner.and_then(|owner| world.members.get(owner));
                let picked = peer.map(|peer| (peer.instance.clone(), peer.incarnation));
                (picked, Code::RecordUnavailable)
            }
            None if call.confined => {
                let picked = self.balancer.pick_from(
                    now,
                    world.members,
                    &call.rejected,
                    world.policy,
                    world.rng,
                );
                (picked, Code::UpstreamRejected)
            }
            None => {
                let picked = self.balancer.pick(
                    now,
                    world.members,
                    &call.pool,
                    &call.tried,
                    world.policy,
                    world.rng,
                );
                let absent = match world.members.is_evacuated(&call.pool) {
                    true => Code::Evacuated,
                    false => Code::UpstreamAbsent,
                };
                (picked, absent)
            }
        };
        let Some((peer, life)) = picked else {
            return self.fail(now, number, absent, world, out);
        };
        let loan = match world.policy.retry_limit {
            RetryLimit::PerHop(_) => 0,
            RetryLimit::Allowance => call
                .purse(world.proxy.allowances())
                .map_or(0, |p| p.reserve()),
        };
        self.next += 1;
        let request = id::Request {
            incarnation: self.incarnation,
            sequence: id::Sequence(self.next),
        };
        call.state = State::Sent(request);
        call.tried.push(peer.clone());
        self.balancer.record_sent(now, &peer);
        if let Some(hint) = self.hints.pending(now, &peer, life) {
            out.push(Action::Hint(peer.clone(), hint));
        }
        out.push(Action::Send {
            call: number,
            request,
            peer: peer.clone(),
            life,
            route: call.route.clone(),
            context: Context {
                left: now.until(call.deadline),
                age: now.since(call.root),
                allowance: loan,
                begin: left
                    .flatten()
                    .map(|left| world.quota.begin_deadline(now, &peer, life, left)),
                ..call.context.clone()
            },
            claim: call.claim.clone(),
        });
        let attempt = Attempt {
            call: number,
            peer,
            life,
            loan,
            sent: now,
            mark: Observation::Healthy,
            judged: false,
        };
        self.attempts.insert(request, attempt);
        let deadline = call.deadline;
        self.wake(number, deadline);
    }

    /// The upstream's answer begins. A failure may be tried again instead of
    /// being relayed.
    #[expect(clippy::too_many_arguments, reason = "one frame's parts")]
    pub(super) fn answered(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        status: u16,
        report: Report,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        self.hints.record(now, peer, report.life, report.hint, true);
        let Some(number) = self.heard(now, peer, request, &report, world) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if call.state != State::Sent(request) {
            // The link broke and the answer's body is lost with it, or the
            // answer was relayed already.
            world.counts.add(Counter::Late);
            return;
        }
        if let Some(grant) = call.grant.take() {
            world.quota.mark_begun(&call.context.team, grant);
        }
        self.repay(request, report.spent, world);
        if retry::failed(status) {
            let mark = if report.no_retry {
                Observation::Neutral
            } else {
                Observation::Unhealthy
            };
            let reason = self.reason(now, number, Failure::Failed, report.no_retry, world);
            if let Some(reason) = reason {
                self.settle(now, request, report.spent, mark, world);
                out.push(Action::Cancel(peer.clone(), request));
                return self.retry(now, number, Failure::Failed, reason, world, out);
            }
            self.last_word(now, number, world);
            if let Some(attempt) = self.attempts.get_mut(&request) {
                attempt.mark = mark;
            }
        }
        if let Some(call) = self.calls.get_mut(&number) {
            call.state = State::Delivering(request);
            call.taint(Code::UpstreamCut);
            out.push(Action::Deliver(number, request));
        }
    }

    /// The answer is whole.
    pub(super) fn finished(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        report: Report,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(number) = self.heard(now, peer, request, &report, world) else {
            return;
        };
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        if call.state != State::Delivering(request) {
            // It ran to its end, but its answer was lost with the link.
            let failure = Failure::Unknown(Code::LinkLost);
            self.settle(now, request, report.spent, Observation::Healthy, world);
            return self.failed(now, number, failure, report.no_retry, world, out);
        }
        let took = now.since(self.attempts[&request].sent).as_ms() as f64;
        let typical = self.typical.entry(call.route.clone()).or_insert(took);
        *typical += (took - *typical) * LATENCY_EWMA_WEIGHT;
        world.counts.add(Counter::Whole);
        let mark = self.attempts[&request].mark;
        self.settle(now, request, report.spent, mark, world);
        self.forget(now, number, world);
    }

    /// The attempt ended without an answer.
    #[expect(clippy::too_many_arguments, reason = "one frame's parts")]
    pub(super) fn refused(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        code: Code,
        report: Report,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(number) = self.heard(now, peer, request, &report, world) else {
            return;
        };
        let mark = match code {
            Code::UpstreamRefused
            | Code::UpstreamRejected
            | Code::UpstreamCut
            | Code::LinkAbsent => Observation::Unhealthy,
            Code::DeadlinePassed => Observation::Neutral,
            _ => Observation::Healthy,
        };
        self.settle(now, request, report.spent, mark, world);
        if code == Code::UpstreamRejected
            && let Some(call) = self.calls.get_mut(&number)
        {
            call.rejected.push(peer.clone());
        }
        let failure = match code.verdict() {
            Verdict::NotRun => Failure::NotRun(code),
            Verdict::Unknown => Failure::Unknown(code),
        };
        self.failed(now, number, failure, report.no_retry, world, out);
    }

    /// The attempt has not left this node.
    pub(super) fn unsent(
        &mut self,
        now: Time,
        request: id::Request,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(number) = self.attempts.get(&request).map(|attempt| attempt.call) else {
            return;
        };
        self.settle(now, request, 0, Observation::Unhealthy, world);
        let failure = Failure::NotRun(Code::LinkAbsent);
        self.failed(now, number, failure, false, world, out);
    }

    /// Attempts over a broken link may have run. An idempotent call is tried
    /// elsewhere at once if it may be; any other asks what became of it.
    pub(super) fn broken(
        &mut self,
        now: Time,
        peer: &id::Instance,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let lost: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.peer == *peer)
            .map(|(request, attempt)| (*request, attempt.call))
            .collect();
        for (request, number) in lost {
            self.cut(now, request, number, world, out);
        }
    }

    fn cut(
        &mut self,
        now: Time,
        request: id::Request,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        match call.state {
            State::Sent(_) => {
                let failure = Failure::Unknown(Code::LinkLost);
                if let Some(reason) = self.reason(now, number, failure, false, world) {
                    self.abandon(now, request, Observation::Unhealthy);
                    return self.retry(now, number, failure, reason, world, out);
                }
                self.revoke(now, request, number, now + ATTEMPT_QUERY_TIMEOUT, out);
            }
            State::Revoking { until, .. } => {
                let again = (now + ATTEMPT_QUERY_INTERVAL).min(until);
                self.state(
                    number,
                    State::Revoking {
                        request,
                        again,
                        until,
                    },
                );
                self.wake(number, again);
            }
            State::Delivering(_) => {
                self.abandon(now, request, Observation::Unhealthy);
                self.fail(now, number, Code::LinkLost, world, out);
            }
            State::Charging(_) | State::Backoff(_) => {}
        }
    }

    fn revoke(
        &mut self,
        now: Time,
        request: id::Request,
        number: id::Call,
        until: Time,
        out: &mut Vec<Action>,
    ) {
        let (Some(call), Some(attempt)) = (self.calls.get(&number), self.attempts.get(&request))
        else {
            return;
        };
        let until = until.min(call.deadline);
        let again = (now + ATTEMPT_QUERY_INTERVAL + ATTEMPT_QUERY_INTERVAL).min(until);
        out.push(Action::Revoke {
            peer: attempt.peer.clone(),
            request,
            life: attempt.life,
            left: now.until(call.deadline),
        });
        self.state(
            number,
            State::Revoking {
                request,
                again,
                until,
            },
        );
        self.wake(number, again);
    }

    /// The question had no answer so far.
    pub(super) fn revoke_again(
        &mut self,
        now: Time,
        number: id::Call,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(State::Revoking { request, until, .. }) = self.calls.get(&number).map(|c| c.state)
        else {
            return;
        };
        if now >= until {
            self.abandon(now, request, Observation::Unhealthy);
            let failure = Failure::Unknown(Code::LinkLost);
            return self.failed(now, number, failure, false, world, out);
        }
        self.revoke(now, request, number, until, out);
    }

    /// The inbound proxy told what became of an attempt.
    pub(super) fn fate(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        fate: Fate,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let number = match self.attempts.get(&request) {
            Some(attempt) if attempt.peer == *peer => attempt.call,
            _ => return world.counts.add(Counter::Late),
        };
        let asked = self.calls.get(&number).map(|call| call.state);
        if !matches!(asked, Some(State::Revoking { .. })) {
            return world.counts.add(Counter::Late);
        }
        let failure = match fate {
            Fate::Revoked => {
                // Nothing was begun, so nothing of the loan was spent.
                self.settle(now, request, 0, Observation::Neutral, world);
                Failure::NotRun(Code::Revoked)
            }
            Fate::Running | Fate::Ended | Fate::Forgotten => {
                self.abandon(now, request, Observation::Neutral);
                Failure::Unknown(Code::LinkLost)
            }
        };
        self.failed(now, number, failure, false, world, out);
    }

    /// An attempt has ended badly: the call is tried again or fails.
    fn failed(
        &mut self,
        now: Time,
        number: id::Call,
        failure: Failure,
        no_retry: bool,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let delivering = |call: &Call| matches!(call.state, State::Delivering(_));
        let delivered = self.calls.get(&number).is_some_and(delivering);
        if !delivered && let Some(reason) = self.reason(now, number, failure, no_retry, world) {
            return self.retry(now, number, failure, reason, world, out);
        }
        let code = match failure {
            Failure::NotRun(code) | Failure::Unknown(code) => code,
            Failure::Failed => Code::UpstreamFailed,
        };
        self.fail(now, number, code, world, out);
    }

    /// Why the call may be tried again, if it may.
    pub(super) fn reason(
        &mut self,
        now: Time,
        number: id::Call,
        failure: Failure,
        no_retry: bool,
        world: &mut Environment<'_>,
    ) -> Option<Reason> {
        let call = self.calls.get_mut(&number)?;
        let reason = failure.reason(call.repeatable)?;
        // What an idempotency record guards is run again by nobody but its owner.
        let guarded = call.claim.is_some() && !matches!(failure, Failure::NotRun(_));
        if !call.replayable || guarded {
            return None;
        }
        if failure == Failure::NotRun(Code::Shed) {
            let rank = Rank::of(&call.context, world.policy.nested_first).0;
            let passes =
                self.balancer
                    .admits_elsewhere(world.members, &call.pool, &call.tried, rank);
            if !passes {
                return None;
            }
        }
        // Without an instance that has not refused it yet, going on would only
        // ask again where there was no room a moment ago.
        let onward = reason == Reason::NotRun && world.policy.max_reroutes > 0;
        if onward
            && failure != Failure::NotRun(Code::UpstreamRejected)
            && !self
                .balancer
                .has_untried(world.members, &call.pool, &call.tried)
        {
            world.counts.add(Counter::Unretried(reason));
            return None;
        }
        let typical = self.typical.get(&call.route).copied().unwrap_or(0.0);
        let fits = now + Span::from_ms(typical as u64) < call.deadline;
        let free = match reason {
            Reason::Leaving => !call.rerouted || call.reroutes < world.policy.max_reroutes,
            // No upstream has seen it: going on costs nothing but time.
            Reason::NotRun => {
                failure != Failure::NotRun(Code::UpstreamRejected)
                    && call.reroutes < world.policy.max_reroutes
            }
            Reason::Unknown | Reason::Failed => false,
        };
        let allowed = fits && (free || self.affordable(now, number, failure, no_retry, world));
        if !allowed {
            world.counts.add(Counter::Unretried(reason));
        }
        allowed.then_some(reason)
    }

    /// Takes one retry out of the purse and the pool's budget, if both have one.
    fn affordable(
        &mut self,
        now: Time,
        number: id::Call,
        failure: Failure,
        no_retry: bool,
        world: &mut Environment<'_>,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&number) else {
            return false;
        };
        let rejected = failure == Failure::NotRun(Code::UpstreamRejected);
        let again =
            rejected && call.rejected.len() <= usize::from(world.policy.max_rejection_retries);
        if let RetryLimit::PerHop(most) = world.policy.retry_limit {
            return call.retries < most;
        }
        let pool = call.pool.clone();
        let importance = call.context.importance;
        let Some(purse) = call.purse(world.proxy.allowances()) else {
            return false;
        };
        let further = purse.remaining() > 0 && !no_retry;
        if !further && !again {
            return false;
        }
        if world.policy.retry_budget && !self.budget.take(now, &pool, importance) {
            return false;
        }
        if further {
            return purse.try_take();
        }
        call.confined = true;
        true
    }

    pub(super) fn retry(
        &mut self,
        now: Time,
        number: id::Call,
        failure: Failure,
        reason: Reason,
        world: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        world.counts.add(Counter::Retried(reason));
        match failure {
            Failure::NotRun(_) => {}
            Failure::Unknown(code) => call.taint(code),
            Failure::Failed => call.taint(Code::UpstreamFailed),
        }
        let unseen = failure != Failure::NotRun(Code::UpstreamRejected);
        let leaving = reason == Reason::Leaving && !call.rerouted;
        let onward = reason == Reason::NotRun || reason == Reason::Leaving;
        if leaving || (onward && unseen && call.reroutes < world.policy.max_reroutes) {
            call.rerouted |= reason == Reason::Leaving;
            call.reroutes += 1;
            return self.send(now, number, world, out);
        }
        let wait = retry::jitter(call.retries, world.rng);
        call.retries += 1;
        let at = (now + wait).min(call.deadline);
        call.state = State::Backoff(at);
        match wait {
            Span::ZERO => self.send(now, number, world, out),
            _ => self.wake(number, at),
        }
    }
}
