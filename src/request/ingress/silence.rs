//! Retries of attempts at unresponsive instances.
//!
//! A stopped instance can stay connected. No link is lost then, so each of its
//! requests would hold a slot of its caller until the deadline, and the callers'
//! pools would fill up. The membership protocol suspects the instance within a
//! second or two. Idempotent requests are then sent to another instance. Other
//! requests keep waiting, because only their own response tells their outcome.

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
    retry::Failure, //
};

/// Interval between checks of the member table.
pub(super) const SILENCE_CHECK_INTERVAL: Span = Span::from_ms(100);

impl Router {
    /// Retries attempts at suspected instances if they can safely run twice.
    pub(super) fn check_silent_peers(
        &mut self,
        now: Time,
        env: &mut Environment<'_>,
        out: &mut Vec<Action>,
    ) {
        let is_silent = |peer: &id::Instance| {
            let status = env.members.get(peer).map(|peer| peer.status);
            matches!(status, Some(Status::Suspect | Status::Dead))
        };
        let unanswered: Vec<_> = self
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| !attempt.silence_handled && is_silent(&attempt.peer))
            .map(|(request, attempt)| {
                // Considered only once: an exhausted allowance isn't checked again.
                attempt.silence_handled = true;
                (*request, attempt.call, attempt.peer.clone())
            })
            .collect();
        for (request, call_id, peer) in unanswered {
            let is_sent = |call: &super::Call| call.state == State::Sent(request);
            if !self.calls.get(&call_id).is_some_and(is_sent) {
                continue;
            }
            let failure = Failure::Unknown(Code::LinkLost);
            if let Some(reason) = self.retry_reason(now, call_id, failure, false, env) {
                self.remove_attempt(now, request, Observation::Unhealthy);
                out.push(Action::Cancel(peer, request));
                self.retry(now, call_id, failure, reason, env, out);
            }
        }
    }
}
