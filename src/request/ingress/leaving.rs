//! Admission while the node drains: a call is taken or sent on only if it can be
//! expected to end before the node does.

use super::{
    Action, Arrival, Environment, Origin, Router,
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
    code::Code,
    estimate::Estimate,
    frame::Fate,
    id,
    metric::{
        Counter,
        DrainRefusal, //
    },
    outcome::{
        NotRun,
        Refusal,
        Shortage, //
    },
    tables::Route,
};

/// How long before the end the inbound proxies are asked not to start the attempts that
/// still wait there.
const REVOKE_LEAD: Span = Span::from_ms(350);

impl Router {
    /// Returns by how much the remaining time of this node is too short for a call on a
    /// route that must be answered within `left`, or `None` if it is long enough.
    pub(super) fn shortage(
        &self,
        now: Time,
        route: &id::Route,
        left: Span,
        env: &Environment<'_>,
    ) -> Option<Shortage> {
        if env.ends_at == Time::NEVER {
            return None;
        }
        let estimate = self.estimates.get(route).map(Estimate::bound);
        let estimate = estimate.map(|estimate| estimate.max(self.longest_running(now, route)));
        let needed = estimate.map_or(left, |estimate| estimate.min(left));
        (now + needed > env.ends_at).then_some(Shortage {
            left: now.until(env.ends_at),
            needed,
        })
    }

    /// Returns how long the oldest attempt of a route has run without an answer. The slow
    /// requests are among these while the estimate knows only the fast ones.
    fn longest_running(&self, now: Time, route: &id::Route) -> Span {
        let elapsed = self.attempts.iter().filter_map(|(request, attempt)| {
            let call = self.calls.get(&attempt.call)?;
            let is_running = call.route == *route && call.state == State::Sent(*request);
            is_running.then(|| now.since(attempt.sent_at))
        });
        elapsed.max().unwrap_or_default()
    }

    /// Whether another attempt of a call can be expected to end before this node does.
    pub(super) fn fits_drain(
        &self,
        now: Time,
        call_id: id::Call,
        env: &mut Environment<'_>,
    ) -> bool {
        let Some(call) = self.calls.get(&call_id) else {
            return false;
        };
        let left = now.until(call.deadline);
        let fits = self.shortage(now, &call.route, left, env).is_none();
        if !fits {
            env.counts.add(Counter::DrainRefused(DrainRefusal::TooLate));
        }
        fits
    }

    /// Refuses a call that cannot be expected to end in time. One that has no claim to
    /// be finished is refused in any case once the node is about to stop.
    pub(super) fn check_drain(
        &self,
        now: Time,
        arrival: &Arrival,
        route: &Route,
        env: &mut Environment<'_>,
    ) -> Result<(), Refusal> {
        let is_nested = match &arrival.origin {
            Origin::Service { .. } => true,
            Origin::Caller { .. } => route.keyless,
        };
        if arrival.leaving && !is_nested {
            return Err(refuse_closed(env));
        }
        let left = match &arrival.origin {
            Origin::Service {
                parent: Some(parent),
            } => parent.left.min(route.deadline),
            _ => route.deadline,
        };
        let left = arrival.left.map_or(left, |own| own.min(left));
        let Some(shortage) = self.shortage(now, &route.name, left, env) else {
            return Ok(());
        };
        env.counts.add(Counter::DrainRefused(DrainRefusal::TooLate));
        Err(Refusal::unsent(Code::Leaving).shortage(Some(shortage)))
    }

    /// Asks the inbound proxies not to start the attempts that have not started. Those
    /// that run are not disturbed.
    pub(super) fn revoke_waiting(
        &mut self,
        now: Time,
        env: &Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        if now + REVOKE_LEAD < env.ends_at {
            return;
        }
        for (request, attempt) in &mut self.attempts {
            let call = self.calls.get(&attempt.call);
            let is_sent = |call: &&Call| call.state == State::Sent(*request);
            let Some(call) = call.filter(is_sent).filter(|_| !attempt.is_queried) else {
                continue;
            };
            attempt.is_queried = true;
            out.push(Action::Revoke {
                peer: attempt.peer.clone(),
                request: *request,
                life: attempt.life,
                left: now.until(call.deadline),
                unless_running: true,
            });
        }
    }

    /// Handles the reply about an attempt that its inbound proxy was asked not to start.
    /// Only an attempt that will not start ends here, any other is still answered.
    pub(super) fn waiting_result(
        &mut self,
        now: Time,
        request: id::Request,
        fate: Fate,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&request) else {
            return;
        };
        attempt.has_started |= fate == Fate::Running;
        if fate != Fate::Revoked {
            return;
        }
        let (call_id, peer) = (attempt.call, attempt.peer.clone());
        self.end_attempt(now, request, 0, Observation::Neutral, env);
        self.disprove(call_id, request, NotRun::revoked());
        out.push(Action::Cancel(peer, request));
        self.fail(now, call_id, Code::Leaving, env, out);
    }
}

/// Refuses a call because the node is about to stop.
pub(super) fn refuse_closed(env: &mut Environment<'_>) -> Refusal {
    env.counts.add(Counter::DrainRefused(DrainRefusal::Closed));
    Refusal::unsent(Code::Leaving)
}
