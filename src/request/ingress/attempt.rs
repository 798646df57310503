//! Sending attempts and handling their outcomes.

use std::collections::BTreeMap;

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
    allowance::Allowance,
    balance::{
        Balancer,
        Observation, //
    },
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Context,
    estimate::Estimate,
    frame::Fate,
    id,
    metric::Counter,
    outcome::{
        NotRun,
        Report, //
    },
    policy::{
        Policy,
        RetryLimit, //
    },
    record::Name,
    retry::{
        self,
        Decision,
        Failure,
        Reason,
        class::{
            Class,
            Progress, //
        }, //
    },
};

/// How long to query an inbound proxy about the outcome of an attempt while its
/// link can't be established.
const ATTEMPT_QUERY_TIMEOUT: Span = Span::from_secs(2);
/// Interval between two queries.
const ATTEMPT_QUERY_INTERVAL: Span = Span::from_ms(100);
/// The lowest HTTP status that isn't a success.
const FIRST_ERROR_STATUS: u16 = 400;
/// Weight of the latest response in a route's typical latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

impl Router {
    /// Sends the call's next attempt.
    pub(super) fn send(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        if now >= call.deadline {
            return self.fail(now, call_id, Code::DeadlineUnfit, env, out);
        }
        if !self.fits_drain(now, call_id, env) {
            return self.fail(now, call_id, Code::Leaving, env, out);
        }
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        // Once an attempt may have started, the token is spent and its expiry no
        // longer matters.
        let unspent_grant = call.grant.filter(|_| !call.exposure.may_have_run());
        let left = unspent_grant.map(|grant| env.quota.time_left(now, &call.context.team, grant));
        if left == Some(None) {
            return self.recharge(now, call_id, env, out);
        }
        let (peer, life) = match pick_instance(&mut self.balancer, now, call, env) {
            Ok(picked) => picked,
            Err(code) => return self.fail(now, call_id, code, env, out),
        };
        let reserved_retries = match env.policy.retry_limit {
            RetryLimit::PerHop(_) => 0,
            RetryLimit::Allowance => call
                .allowance(env.proxy.allowances())
                .map_or(0, |p| p.reserve()),
        };
        self.last_sequence += 1;
        let request = id::Request {
            incarnation: self.incarnation,
            sequence: id::Sequence(self.last_sequence),
        };
        call.state = State::Sent(request);
        call.tried.push(peer.clone());
        self.balancer.record_sent(now, &peer);
        if let Some(counter) = self.balancer.take_speed_choice() {
            env.counts.add(counter);
        }
        if call.replayable {
            let route = &call.route;
            self.balancer
                .stalls
                .record_sent(now, &peer, life, request, route);
        }
        let hints = self.hints.pending(now, &peer, life);
        out.extend(hints.map(|hint| Action::Hint(peer.clone(), hint)));
        out.push(Action::Send {
            call: call_id,
            request,
            peer: peer.clone(),
            life,
            route: call.route.clone(),
            context: Context {
                left: now.until(call.deadline.min(env.ends_at)),
                age: now.since(call.root_arrived),
                repeat: call.context.repeat || call.has_reached_upstream(),
                allowance: reserved_retries,
                begin: left
                    .flatten()
                    .map(|left| env.quota.begin_deadline(now, &peer, life, left)),
                ..call.context.clone()
            },
            claim: call.claim.clone(),
        });
        call.exposure.begin(request);
        let attempt = Attempt {
            call: call_id,
            peer,
            life,
            reserved_retries,
            sent_at: now,
            observation: Observation::Healthy,
            silence_handled: false,
            stall_checks: 0,
            next_stall_check: now,
            is_queried: false,
            has_started: false,
        };
        self.attempts.insert(request, attempt);
        let deadline = call.deadline;
        self.set_timer(call_id, deadline);
    }

    /// Handles the start of the upstream's response. A failure may be retried instead
    /// of relayed.
    #[expect(clippy::too_many_arguments, reason = "one frame's parts")]
    pub(super) fn answered(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        status: u16,
        report: Report,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        self.hints.record(now, peer, report.life, report.hint, true);
        let Some(call_id) = self.process_report(now, peer, request, &report, env) else {
            return;
        };
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        if call.state != State::Sent(request) {
            // The link was lost together with the response body, or the response
            // was relayed already.
            call.exposure.confirm(Code::LinkLost);
            env.counts.add(Counter::Late);
            return;
        }
        if let Some(grant) = call.grant.take() {
            env.quota.mark_begun(&call.context.team, grant);
        }
        let is_failure = env.policy.retry_failures && retry::is_failure(status);
        match is_failure {
            true => self.balancer.stalls.record_end(now, peer, request),
            false => self.balancer.stalls.record_answer(now, peer, request),
        }
        self.release_unspent(request, report.spent, env);
        if self.promises_unproven(call_id, status, env.policy) {
            // The upstream would have rejected the request if it had not run it.
            self.end_attempt(now, request, report.spent, Observation::Neutral, env);
            out.push(Action::Cancel(peer.clone(), request));
            let failure = Failure::Unknown(Code::StatusUnproven);
            return self.attempt_failed(now, call_id, failure, report.no_retry, env, out);
        }
        if is_failure {
            let observation = if report.no_retry {
                Observation::Neutral
            } else {
                Observation::Unhealthy
            };
            let reason = self.retry_reason(now, call_id, Failure::Failed, report.no_retry, env);
            if let Some(reason) = reason {
                self.end_attempt(now, request, report.spent, observation, env);
                out.push(Action::Cancel(peer.clone(), request));
                return self.retry(now, call_id, Failure::Failed, reason, env, out);
            }
            self.forbid_parent_retry(now, call_id, env);
            if let Some(attempt) = self.attempts.get_mut(&request) {
                attempt.observation = observation;
            }
        }
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.state = State::Delivering(request);
            call.succeeded = status < FIRST_ERROR_STATUS;
            call.exposure.confirm(Code::UpstreamCut);
            out.push(Action::Deliver(call_id, request));
        }
    }

    /// Whether a response of the upstream would tell the caller that its request has not
    /// run, although that is not proved and the request must not run twice.
    fn promises_unproven(&self, call_id: id::Call, status: u16, policy: Policy) -> bool {
        let call = self.calls.get(&call_id);
        call.is_some_and(|call| !call.idempotent) && policy.promising_statuses.contains(&status)
    }

    /// Handles the end of a complete response.
    pub(super) fn finished(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        report: Report,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call_id) = self.process_report(now, peer, request, &report, env) else {
            return;
        };
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        if call.state != State::Delivering(request) {
            // The request was completed, but its response was lost with the link.
            let failure = Failure::Unknown(Code::LinkLost);
            self.end_attempt(now, request, report.spent, Observation::Healthy, env);
            return self.attempt_failed(now, call_id, failure, report.no_retry, env, out);
        }
        let latency = now.since(self.attempts[&request].sent_at).as_ms() as f64;
        let typical_latency = self
            .typical_latency
            .entry(call.route.clone())
            .or_insert(latency);
        *typical_latency += (latency - *typical_latency) * LATENCY_EWMA_WEIGHT;
        let latency = Span::from_ms(latency as u64);
        self.estimates
            .entry(call.route.clone())
            .and_modify(|estimate| estimate.record(latency))
            .or_insert_with(|| Estimate::new(latency));
        env.counts.add(Counter::Whole);
        let observation = self.attempts[&request].observation;
        self.end_attempt(now, request, report.spent, observation, env);
        self.record_progress(call_id, env);
        self.remove_call(now, call_id, env);
    }

    /// Handles an attempt that ended without a response.
    #[expect(clippy::too_many_arguments, reason = "one frame's parts")]
    pub(super) fn refused(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        code: Code,
        report: Report,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call_id) = self.process_report(now, peer, request, &report, env) else {
            return;
        };
        let observation = match code {
            Code::UpstreamRefused
            | Code::UpstreamRejected
            | Code::UpstreamCut
            | Code::UpstreamEnded
            | Code::LinkAbsent => Observation::Unhealthy,
            Code::DeadlinePassed => Observation::Neutral,
            _ => Observation::Healthy,
        };
        self.end_attempt(now, request, report.spent, observation, env);
        if let Some(call) = self.calls.get_mut(&call_id) {
            match code {
                Code::UpstreamRejected => call.rejected_by.push(peer.clone()),
                Code::UpstreamEnded => {
                    call.context.crashes = call.context.crashes.saturating_add(1);
                }
                _ => {}
            }
        }
        let failure = match NotRun::refused(code) {
            Some(proof) => self.disprove(call_id, request, proof),
            None => Failure::Unknown(code),
        };
        self.attempt_failed(now, call_id, failure, report.no_retry, env, out);
    }

    /// Handles an attempt that was not sent.
    pub(super) fn attempt_unsent(
        &mut self,
        now: Time,
        request: id::Request,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call_id) = self.attempts.get(&request).map(|attempt| attempt.call) else {
            return;
        };
        self.end_attempt(now, request, 0, Observation::Unhealthy, env);
        let failure = self.disprove(call_id, request, NotRun::unsent());
        self.attempt_failed(now, call_id, failure, false, env, out);
    }

    /// Handles a lost link. Its attempts may have run: a call that may be retried is
    /// sent elsewhere at once, for any other the inbound proxy is queried.
    ///
    /// Queries about earlier attempts at the same instance are lost with any link to it.
    pub(super) fn link_lost(
        &mut self,
        now: Time,
        peer: &id::Instance,
        lost: &[id::Request],
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let is_queried = |attempt: &Attempt| {
            let call = self.calls.get(&attempt.call);
            attempt.peer == *peer
                && call.is_some_and(|call| matches!(call.state, State::Revoking { .. }))
        };
        let queried = self.attempts.iter();
        let queried = queried.filter(|(_, attempt)| is_queried(attempt));
        let lost = lost
            .iter()
            .filter_map(|request| self.attempts.get_key_value(request));
        let affected: BTreeMap<_, _> = queried
            .chain(lost)
            .map(|(request, attempt)| (*request, attempt.call))
            .collect();
        for (request, call_id) in affected {
            self.attempt_link_lost(now, request, call_id, env, out);
        }
    }

    /// Handles a response that could not be relayed to its caller.
    pub(super) fn answer_lost(
        &mut self,
        now: Time,
        call_id: id::Call,
        request: id::Request,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let is_delivering = |call: &Call| call.state == State::Delivering(request);
        if self.calls.get(&call_id).is_some_and(is_delivering) {
            self.cancel_attempt(now, call_id, env.policy, out);
            self.fail(now, call_id, Code::LinkLost, env, out);
        }
    }

    fn attempt_link_lost(
        &mut self,
        now: Time,
        request: id::Request,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&call_id) else {
            return;
        };
        match call.state {
            State::Sent(_) => {
                let failure = Failure::Unknown(Code::LinkLost);
                if let Some(reason) = self.retry_reason(now, call_id, failure, false, env) {
                    self.remove_attempt(now, request, Observation::Unhealthy);
                    return self.retry(now, call_id, failure, reason, env, out);
                }
                self.revoke(now, request, call_id, now + ATTEMPT_QUERY_TIMEOUT, out);
            }
            State::Revoking { give_up_at, .. } => {
                let next_query = (now + ATTEMPT_QUERY_INTERVAL).min(give_up_at);
                self.set_state(
                    call_id,
                    State::Revoking {
                        request,
                        next_query,
                        give_up_at,
                    },
                );
                self.set_timer(call_id, next_query);
            }
            State::Delivering(_) => {
                self.remove_attempt(now, request, Observation::Unhealthy);
                self.fail(now, call_id, Code::LinkLost, env, out);
            }
            State::AwaitingToken(_) | State::Backoff(_) => {}
        }
    }

    fn revoke(
        &mut self,
        now: Time,
        request: id::Request,
        call_id: id::Call,
        give_up_at: Time,
        out: &mut Vec<Action>,
    ) {
        let (Some(call), Some(attempt)) = (self.calls.get(&call_id), self.attempts.get(&request))
        else {
            return;
        };
        let give_up_at = give_up_at.min(call.deadline);
        let next_query = (now + ATTEMPT_QUERY_INTERVAL + ATTEMPT_QUERY_INTERVAL).min(give_up_at);
        out.push(Action::Revoke {
            peer: attempt.peer.clone(),
            request,
            life: attempt.life,
            left: now.until(call.deadline),
            unless_running: false,
        });
        self.set_state(
            call_id,
            State::Revoking {
                request,
                next_query,
                give_up_at,
            },
        );
        self.set_timer(call_id, next_query);
    }

    /// Repeats the query about an attempt's outcome, or gives up.
    pub(super) fn query_again(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(State::Revoking {
            request,
            give_up_at,
            ..
        }) = self.calls.get(&call_id).map(|c| c.state)
        else {
            return;
        };
        if now >= give_up_at {
            self.remove_attempt(now, request, Observation::Unhealthy);
            let failure = Failure::Unknown(Code::LinkLost);
            return self.attempt_failed(now, call_id, failure, false, env, out);
        }
        self.revoke(now, request, call_id, give_up_at, out);
    }

    /// Handles the inbound proxy's reply about the outcome of an attempt.
    pub(super) fn revoke_result(
        &mut self,
        now: Time,
        peer: &id::Instance,
        request: id::Request,
        fate: Fate,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let call_id = match self.attempts.get(&request) {
            Some(attempt) if attempt.peer == *peer => attempt.call,
            _ => return env.counts.add(Counter::Late),
        };
        self.balancer.stalls.record_sign_of_life(now, peer);
        let state = self.calls.get(&call_id).map(|call| call.state);
        if state == Some(State::Sent(request)) {
            return self.waiting_result(now, request, fate, env, out);
        }
        if !matches!(state, Some(State::Revoking { .. })) {
            return env.counts.add(Counter::Late);
        }
        let failure = match fate {
            Fate::Revoked => {
                // The attempt was never started, so none of its reserved retries
                // were spent.
                self.end_attempt(now, request, 0, Observation::Neutral, env);
                self.disprove(call_id, request, NotRun::revoked())
            }
            Fate::Running | Fate::Ended | Fate::Forgotten => {
                self.remove_attempt(now, request, Observation::Neutral);
                Failure::Unknown(Code::LinkLost)
            }
        };
        self.attempt_failed(now, call_id, failure, false, env, out);
    }

    /// Handles a failed attempt: retries the call or fails it.
    fn attempt_failed(
        &mut self,
        now: Time,
        call_id: id::Call,
        failure: Failure,
        no_retry: bool,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let delivering = |call: &Call| matches!(call.state, State::Delivering(_));
        let delivered = self.calls.get(&call_id).is_some_and(delivering);
        if !delivered && let Some(reason) = self.retry_reason(now, call_id, failure, no_retry, env)
        {
            return self.retry(now, call_id, failure, reason, env, out);
        }
        if !matches!(failure, Failure::NotRun(_)) {
            self.confirm(call_id, failure.code());
        }
        self.fail(now, call_id, failure.code(), env, out);
    }

    /// Records that an attempt of the call has not run, and returns how it failed: if the
    /// call must not run twice and another attempt may have run, with an unknown outcome.
    pub(super) fn disprove(
        &mut self,
        call_id: id::Call,
        request: id::Request,
        proof: NotRun,
    ) -> Failure {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return Failure::NotRun(proof);
        };
        call.exposure.disprove(request, proof);
        match call.exposure.may_have_run() && !call.idempotent {
            true => Failure::Unknown(call.exposure.refuse(proof.code()).code()),
            false => Failure::NotRun(proof),
        }
    }

    /// Records why the call's last attempt may have run.
    fn confirm(&mut self, call_id: id::Call, reason: Code) {
        if let Some(call) = self.calls.get_mut(&call_id) {
            call.exposure.confirm(reason);
        }
    }

    /// Returns the reason for a retry if the call may be retried. Consumes a retry
    /// from the allowance and the budget unless the retry is free.
    pub(super) fn retry_reason(
        &mut self,
        now: Time,
        call_id: id::Call,
        failure: Failure,
        no_retry: bool,
        env: &mut Environment<'_>,
    ) -> Option<Reason> {
        let call = self.calls.get_mut(&call_id)?;
        let reason = failure.reason(call.idempotent)?;
        // Only the record owner may run a request with an idempotency key again.
        let guarded = call.claim.is_some() && !matches!(failure, Failure::NotRun(_));
        if !call.replayable || guarded {
            return None;
        }
        if failure.is_refusal(Code::Shed) {
            let rank = Rank::of(&call.context, env.policy.nested_first).0;
            let admitted =
                self.balancer
                    .admits_elsewhere(env.members, &call.pool, &call.tried, rank);
            if !admitted {
                return None;
            }
        }
        // If every instance has refused the call already, a reroute would only
        // reach one that had no capacity a moment ago.
        let is_reroute = reason == Reason::NotRun && env.policy.max_reroutes > 0;
        if is_reroute
            && !failure.is_refusal(Code::UpstreamRejected)
            && !self
                .balancer
                .has_untried(env.members, &call.pool, &call.tried)
        {
            env.counts.add(Counter::Unretried(reason));
            return None;
        }
        let typical_latency = self
            .typical_latency
            .get(&call.route)
            .copied()
            .unwrap_or(0.0);
        let fits_deadline = now + Span::from_ms(typical_latency as u64) < call.deadline;
        let is_free = match reason {
            Reason::Leaving => {
                !call.left_leaving_instance || call.reroutes < env.policy.max_reroutes
            }
            // No upstream has seen the call, so a reroute costs nothing but time.
            Reason::NotRun => {
                !failure.is_refusal(Code::UpstreamRejected)
                    && call.reroutes < env.policy.max_reroutes
            }
            Reason::Unknown | Reason::Failed => false,
        };
        let fits = fits_deadline && self.fits_drain(now, call_id, env);
        let allowed = fits && (is_free || self.take_retry(now, call_id, failure, no_retry, env));
        if !allowed {
            env.counts.add(Counter::Unretried(reason));
        }
        allowed.then_some(reason)
    }

    /// Consumes one retry from the allowance and from the pool's budget, if both
    /// have one. After a rejection the budget alone is enough, but then the call is
    /// sent only to instances that rejected it.
    fn take_retry(
        &mut self,
        now: Time,
        call_id: id::Call,
        failure: Failure,
        no_retry: bool,
        env: &mut Environment<'_>,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return false;
        };
        let is_rejection = failure.is_refusal(Code::UpstreamRejected);
        let can_repeat =
            is_rejection && call.rejected_by.len() <= usize::from(env.policy.max_rejection_retries);
        if let RetryLimit::PerHop(max_retries) = env.policy.retry_limit {
            return call.retries < max_retries;
        }
        let Some(allowance) = call.allowance(env.proxy.allowances()) else {
            return false;
        };
        let has_allowance = allowance.remaining() > 0 && !no_retry;
        if !has_allowance && !can_repeat {
            return false;
        }
        if env.policy.retry_budget && !self.take_from_budget(now, call_id, env) {
            return false;
        }
        let Some(call) = self.calls.get_mut(&call_id) else {
            return false;
        };
        if has_allowance {
            let allowance = call.allowance(env.proxy.allowances());
            return allowance.is_some_and(Allowance::try_take);
        }
        call.only_rejecting_instances = true;
        true
    }

    /// Consumes one retry from the budget of the call's pool.
    fn take_from_budget(
        &mut self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
    ) -> bool {
        let Some(call) = self.calls.get(&call_id) else {
            return false;
        };
        let importance = call.context.importance;
        if !env.policy.scheduling.chain_retries {
            return self
                .retry_budget
                .try_take(now, &call.pool, importance, env.rng);
        }
        let maker = call.maker().filter(|_| call.is_chain_known);
        let progress = maker.map_or(Progress::New, |maker| {
            env.proxy.progress(maker, &call.route)
        });
        let class = Class {
            importance,
            progress,
        };
        let decision = self
            .retry_budget
            .try_take_class(now, &call.pool, class, env.rng);
        env.counts.add(match decision {
            Decision::Taken => Counter::ChainRetryTaken(progress),
            Decision::Exhausted => Counter::ChainRetryExhausted(progress),
            Decision::Reserved => Counter::ChainRetryReserved(progress),
        });
        decision == Decision::Taken
    }

    pub(super) fn retry(
        &mut self,
        now: Time,
        call_id: id::Call,
        failure: Failure,
        reason: Reason,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        env.counts.add(Counter::Retried(reason));
        if !matches!(failure, Failure::NotRun(_)) {
            call.exposure.confirm(failure.code());
        }
        let not_seen_upstream = !failure.is_refusal(Code::UpstreamRejected);
        let leaving = reason == Reason::Leaving && !call.left_leaving_instance;
        let is_reroute = reason == Reason::NotRun || reason == Reason::Leaving;
        if leaving || (is_reroute && not_seen_upstream && call.reroutes < env.policy.max_reroutes) {
            call.left_leaving_instance |= reason == Reason::Leaving;
            call.reroutes += 1;
            return self.send(now, call_id, env, out);
        }
        let wait = retry::backoff(call.retries, env.rng);
        call.retries += 1;
        let at = (now + wait).min(call.deadline);
        call.state = State::Backoff(at);
        match wait {
            Span::ZERO => self.send(now, call_id, env, out),
            _ => self.set_timer(call_id, at),
        }
    }
}

/// Selects the instance for the call's next attempt, or returns the code to fail the
/// call with.
fn pick_instance(
    balancer: &mut Balancer,
    now: Time,
    call: &Call,
    env: &mut Environment<'_>,
) -> Result<(id::Instance, id::Incarnation), Code> {
    if let Some(claim) = &call.claim {
        // A request with an idempotency key is sent only to its record owner.
        let name = Name {
            team: call.context.team.clone(),
            key: claim.key.clone(),
        };
        let owner = env.records.find(&call.pool, &name, &call.tried);
        let peer = owner.and_then(|owner| env.members.get(owner));
        let picked = peer.map(|peer| (peer.instance.clone(), peer.incarnation));
        return picked.ok_or(Code::RecordUnavailable);
    }
    if call.only_rejecting_instances {
        let picked = balancer.pick_from(now, env.members, &call.rejected_by, env.policy, env.rng);
        return picked.ok_or(Code::UpstreamRejected);
    }
    let picked = pick_by_load(balancer, now, call, env);
    picked.ok_or_else(|| match env.members.is_evacuated(&call.pool) {
        true => Code::Evacuated,
        false => Code::UpstreamAbsent,
    })
}

/// Selects an instance of the call's pool, or a stalled one that is due for a probe.
fn pick_by_load(
    balancer: &mut Balancer,
    now: Time,
    call: &Call,
    env: &mut Environment<'_>,
) -> Option<(id::Instance, id::Incarnation)> {
    let (members, pool, policy) = (env.members, &call.pool, env.policy);
    if call.tried.is_empty() {
        let is_repeatable = call.is_repeatable();
        let probe = balancer.pick_probe(now, members, pool, is_repeatable, policy, env.rng);
        if probe.is_some() {
            env.counts.add(Counter::StallProbed);
            return probe;
        }
    }
    let picked = balancer.pick(now, members, pool, &call.tried, policy, env.rng);
    if let Some(crossing) = balancer.take_crossing() {
        env.counts.add(Counter::Crossed(crossing));
    }
    picked
}
