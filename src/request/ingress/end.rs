//! End of calls and attempts, and the cleanup of their state.

use super::{
    Action, Environment, Router,
    call::{
        Call,
        State, //
    },
};
use crate::{
    balance::Observation,
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict, //
    },
    comeback,
    id,
    metric::Counter,
    outcome::{
        Refusal,
        Report, //
    },
    policy::Policy, //
};

impl Router {
    /// Refuses the call, with the code of an attempt that may have run if the given one
    /// claims that none has.
    pub(super) fn fail(
        &mut self,
        now: Time,
        call_id: id::Call,
        code: Code,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        let refusal = call.exposure.refuse(code);
        if call.exposure.is_open() && code.verdict() == Verdict::NotRun {
            env.counts.add(Counter::OutcomeUnproven);
        }
        let code = refusal.code();
        if refusal.evidence().is_some()
            && let Some(grant) = call.grant.take()
        {
            env.quota.give_back(now, &call.context.team, grant);
        }
        self.forbid_parent_retry(now, call_id, env);
        env.counts.add(Counter::Refused(code));
        let wait = self.retry_after(now, call_id, code, env);
        out.push(Action::Refuse(call_id, refusal.retry_after(wait)));
        self.unanswered.remove(call_id);
        self.remove_call(now, call_id, env);
    }

    /// Returns the `Retry-After` for the caller.
    fn retry_after(
        &self,
        now: Time,
        call_id: id::Call,
        code: Code,
        env: &mut Environment<'_>,
    ) -> Option<Span> {
        let call = self.calls.get(&call_id)?;
        let usual = self
            .typical_latency
            .get(&call.route)
            .copied()
            .unwrap_or(0.0);
        let refusal = comeback::Refusal {
            code,
            waited: now.since(call.root_arrived),
            left: now.until(call.deadline),
            target: call.target,
            service_time: Span::from_ms(usual as u64),
            earliest: match code {
                Code::RateExceeded => env.quota.time_until_token(now, &call.context.team),
                _ => Span::ZERO,
            },
        };
        refusal.retry_after(env.rng)
    }

    /// Prevents hops above from retrying the parent attempt because of this call's
    /// failure, which this hop has already handled.
    pub(super) fn forbid_parent_retry(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        if call.context.key.is_none() && call.context.parent.is_none() {
            env.proxy.record_call_failure(now);
        }
        if let Some(parent) = call.context.parent
            && let Some(allowance) = env.proxy.allowances().get_mut(&parent)
        {
            allowance.no_retry = true;
        }
    }

    /// Handles an expired deadline.
    pub(super) fn deadline_passed(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        if !self.calls.contains_key(&call_id) {
            env.counts.add(Counter::CallForgotten);
            env.counts.add(Counter::Refused(Code::DeadlinePassed));
            let refusal = Refusal::uncertain(Code::DeadlinePassed);
            return out.push(Action::Refuse(call_id, refusal));
        }
        self.record_overdue(now, call_id);
        let code = match self.cancel_attempt(now, call_id, env.policy, out) {
            true => Code::DeadlinePassed,
            false => Code::DeadlineUnfit,
        };
        self.fail(now, call_id, code, env, out);
    }

    /// Raises the estimate of a route by an attempt that its deadline ends.
    fn record_overdue(&mut self, now: Time, call_id: id::Call) {
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        if let State::Sent(request) = call.state
            && let Some(attempt) = self.attempts.get(&request)
            && let Some(estimate) = self.estimates.get_mut(&call.route)
        {
            estimate.record_unfinished(now.since(attempt.sent_at));
        }
    }

    /// Refuses all calls without a response, before the process exits. The response of
    /// a call that is being relayed goes on.
    pub(super) fn stop(&mut self, now: Time, env: &mut Environment<'_>, out: &mut Vec<Action>) {
        for call in self.calls.values() {
            env.counts.add(Counter::DrainCut(self.stage(call)));
        }
        let is_delivering = |call: &Call| matches!(call.state, State::Delivering(_));
        let open = self.calls.iter().filter(|(_, call)| !is_delivering(call));
        let open: Vec<_> = open.map(|(call_id, _)| *call_id).collect();
        for call_id in open {
            let code = match self.cancel_attempt(now, call_id, env.policy, out) {
                true => Code::NodeStopped,
                false => Code::Leaving,
            };
            self.fail(now, call_id, code, env, out);
        }
    }

    /// Handles a caller that closed its connection.
    pub(super) fn caller_gone(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        self.unanswered.remove(call_id);
        self.cancel_attempt(now, call_id, env.policy, out);
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        if !call.exposure.may_have_run()
            && let Some(grant) = call.grant.take()
        {
            env.quota.give_back(now, &call.context.team, grant);
        }
        env.counts.add(Counter::Refused(Code::CallerGone));
        self.remove_call(now, call_id, env);
    }

    /// Handles the end of an attempt that made nested calls: cancels those that are
    /// still open, because nobody waits for their responses.
    pub(super) fn parent_ended(
        &mut self,
        now: Time,
        parent: id::Request,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        if !env.policy.cancellation {
            return;
        }
        for call_id in self.nested_calls.remove(&parent).unwrap_or_default() {
            let code = match self.cancel_attempt(now, call_id, env.policy, out) {
                true => Code::DeadlinePassed,
                false => Code::ParentGone,
            };
            self.fail(now, call_id, code, env, out);
        }
    }

    /// Cancels the call's attempt. Returns whether there was one.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Time,
        call_id: id::Call,
        policy: Policy,
        out: &mut Vec<Action>,
    ) -> bool {
        let request = match self.calls.get(&call_id).map(|call| call.state) {
            Some(State::Sent(request) | State::Delivering(request)) => request,
            Some(State::Revoking { request, .. }) => request,
            _ => return false,
        };
        if let Some(attempt) = self.attempts.get(&request)
            && policy.cancellation
        {
            out.push(Action::Cancel(attempt.peer.clone(), request));
        }
        self.remove_attempt(now, request, Observation::Neutral);
        true
    }

    /// Processes a report. Returns the call if the attempt is still open and the
    /// report comes from the instance that it was sent to.
    pub(super) fn process_report(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        report: &Report,
        env: &mut Environment<'_>,
    ) -> Option<id::Call> {
        self.hints
            .record(now, peer, report.life, report.hint, false);
        self.balancer.record_report(now, peer, report);
        env.quota
            .record_peer_clock(now, peer, report.life, report.clock);
        let attempt = self.attempts.get(&request);
        let Some(attempt) = attempt.filter(|attempt| attempt.peer == *peer) else {
            env.counts.add(Counter::Late);
            return None;
        };
        if let Some(call) = self.calls.get(&attempt.call) {
            self.balancer
                .record_service_time(peer, &call.route, report.service);
            if env.policy.scheduling.speed_balancing {
                self.balancer
                    .record_speed(now, peer, &call.route, report.service);
            }
            let team = &call.context.team;
            // A leaving instance sheds nothing, because it accepts nothing. Its
            // level would hide the overload of the remaining instances.
            match report.leaving {
                true => env.levels.forget_peer(&call.route, peer),
                false => env
                    .levels
                    .observe(now, peer, &call.route, team, report.level),
            }
        }
        Some(attempt.call)
    }

    /// Ends an attempt whose response reports how many reserved retries it spent.
    pub(super) fn end_attempt(
        &mut self,
        now: Time,
        request: id::Request,
        spent: u8,
        observation: Observation,
        env: &mut Environment<'_>,
    ) {
        self.release_unspent(request, spent, env);
        self.remove_attempt(now, request, observation);
    }

    /// Releases the retries that an attempt reserved but didn't spend. Has an effect
    /// only once per attempt.
    pub(super) fn release_unspent(
        &mut self,
        request: id::Request,
        spent: u8,
        env: &mut Environment<'_>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        let reserved_retries = std::mem::take(&mut attempt.reserved_retries);
        let call = self.calls.get_mut(&attempt.call);
        if let Some(allowance) = call.and_then(|call| call.allowance(env.proxy.allowances())) {
            allowance.release(reserved_retries, spent);
        }
    }

    /// Removes an attempt. Retries that are still reserved for it are lost.
    pub(super) fn remove_attempt(
        &mut self,
        now: Time,
        request: id::Request,
        observation: Observation,
    ) {
        if let Some(attempt) = self.attempts.remove(&request) {
            self.balancer.record_end(now, &attempt.peer, observation);
            self.balancer.stalls.record_end(now, &attempt.peer, request);
        }
    }

    pub(super) fn set_state(&mut self, call_id: id::Call, state: State) {
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.state = state;
        }
    }

    /// Counts a call that has succeeded at the attempt that made it.
    pub(super) fn record_progress(&mut self, call_id: id::Call, env: &mut Environment<'_>) {
        if !env.policy.scheduling.chain_retries {
            return;
        }
        let call = self.calls.get(&call_id).filter(|call| call.succeeded);
        if let Some((call, maker)) = call.and_then(|call| Some((call, call.maker()?))) {
            env.proxy.record_call_success(maker, &call.route);
        }
    }

    pub(super) fn remove_call(&mut self, now: Time, call_id: id::Call, env: &mut Environment<'_>) {
        self.leave_token_queue(call_id);
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        if let Some(attributed_to) = call.attributed_to {
            env.proxy
                .record_call_answered(now, attributed_to, call.connection);
        }
        self.timers.remove(&(call.timer, call_id));
        if let Some(parent) = call.context.parent
            && let Some(siblings) = self.nested_calls.get_mut(&parent)
        {
            siblings.remove(&call_id);
            if siblings.is_empty() {
                self.nested_calls.remove(&parent);
            }
        }
    }
}
