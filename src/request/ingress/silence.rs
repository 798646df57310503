//! Retries of attempts at unresponsive instances.
//!
//! A stopped instance can stay connected. No link is lost then, so each of its
//! requests would hold a slot of its caller until the deadline, and the callers'
//! pools would fill up. The membership protocol suspects the instance within a
//! second or two, [stall detection](crate::balance::stall) notices it earlier.
//! Idempotent requests are then sent to another instance. Other requests keep
//! waiting, because only their own response tells their outcome.

use std::{
    cmp::Reverse,
    collections::BTreeSet, //
};

use super::{
    Action,
    Environment,
    Router,
    call::State, //
};
use crate::{
    balance::Observation,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    id,
    member::Status,
    metric::Counter,
    retry::Failure, //
};

/// Interval between checks of the member table.
pub(super) const SILENCE_CHECK_INTERVAL: Span = Span::from_ms(100);
/// How often a retry of an attempt at a stalled instance is considered. The budget may
/// be exhausted at first, as many attempts are retried at the same time.
const MAX_STALL_CHECKS: u8 = 4;

/// An attempt at an unresponsive instance.
struct UnansweredAttempt {
    request: id::Request,
    call: id::Call,
    peer: id::Instance,
    /// Whether the instance is stalled but not suspected.
    stalled: bool,
}

impl Router {
    /// Retries attempts at suspected, removed or stalled instances if they can safely run twice.
    pub(super) fn check_silent_peers(
        &mut self,
        now: Time,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let stalled = self
            .balancer
            .check_stalls(now, env.members, env.policy, env.counts);
        let mut unanswered = self.attempts_at_suspects(now, env);
        if !stalled.is_empty() {
            unanswered.extend(self.attempts_at_stalled(now, &stalled));
            let calls = &self.calls;
            unanswered.sort_by_key(|attempt| {
                let call = calls.get(&attempt.call);
                Reverse(call.map(|call| call.context.importance))
            });
        }
        for attempt in unanswered {
            self.retry_unanswered(now, attempt, env, out);
        }
    }

    fn attempts_at_suspects(&mut self, now: Time, env: &Environment<'_>) -> Vec<UnansweredAttempt> {
        let is_silent = |peer: &id::Instance| {
            let status = env.members.get(peer).map(|peer| peer.status);
            matches!(status, None | Some(Status::Suspect | Status::Dead))
        };
        self.attempts
            .iter_mut()
            .filter(|(_, attempt)| !attempt.silence_handled && is_silent(&attempt.peer))
            .map(|(request, attempt)| {
                // Considered only once: an exhausted allowance isn't checked again.
                attempt.silence_handled = true;
                attempt.next_stall_check = now + SILENCE_CHECK_INTERVAL;
                UnansweredAttempt {
                    request: *request,
                    call: attempt.call,
                    peer: attempt.peer.clone(),
                    stalled: false,
                }
            })
            .collect()
    }

    fn attempts_at_stalled(
        &mut self,
        now: Time,
        stalled: &BTreeSet<id::Instance>,
    ) -> Vec<UnansweredAttempt> {
        let mut unanswered = Vec::new();
        for (request, attempt) in &mut self.attempts {
            let is_due = attempt.stall_checks < MAX_STALL_CHECKS
                && now >= attempt.next_stall_check
                && stalled.contains(&attempt.peer);
            let Some(call) = self.calls.get(&attempt.call).filter(|_| is_due) else {
                continue;
            };
            let stalls = &self.balancer.stalls;
            if stalls.is_overdue(now, &attempt.peer, attempt.sent_at, &call.route) {
                // The intervals grow, so that the checks cover more than a second.
                let wait = SILENCE_CHECK_INTERVAL.as_ms() << attempt.stall_checks;
                attempt.next_stall_check = now + Span::from_ms(wait);
                attempt.stall_checks += 1;
                unanswered.push(UnansweredAttempt {
                    request: *request,
                    call: attempt.call,
                    peer: attempt.peer.clone(),
                    stalled: true,
                });
            }
        }
        unanswered
    }

    fn retry_unanswered(
        &mut self,
        now: Time,
        attempt: UnansweredAttempt,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let UnansweredAttempt {
            request,
            call: call_id,
            peer,
            stalled,
        } = attempt;
        let is_sent = |call: &super::Call| call.state == State::Sent(request);
        if !self.calls.get(&call_id).is_some_and(is_sent) {
            return;
        }
        let failure = Failure::Unknown(Code::LinkLost);
        if let Some(reason) = self.retry_reason(now, call_id, failure, false, env) {
            // The stall itself keeps attempts away from the instance. Its success rate
            // would still do so after it has recovered.
            let observation = match stalled {
                true => Observation::Neutral,
                false => Observation::Unhealthy,
            };
            if stalled {
                env.counts.add(Counter::StallRetried);
            }
            self.remove_attempt(now, request, observation);
            out.push(Action::Cancel(peer, request));
            self.retry(now, call_id, failure, reason, env, out);
        }
    }
}
