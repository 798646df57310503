//! Attempts at an instance that has fallen silent.
//!
//! Guards against an instance that is stopped but still connected: no link
//! breaks, so each of its requests would hold a slot of its caller until the
//! deadline, and the callers' pools fill up behind it. Membership suspects the
//! instance within a second or two. What may run twice is then sent elsewhere;
//! anything else waits on, as only its own answer can tell what became of it.

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

/// Time between two looks at the members.
pub(super) const LOOK: Span = Span::from_ms(100);

impl Router {
    /// Sends elsewhere what waits at suspected instances and may run twice.
    pub(super) fn listen(&mut self, now: Time, world: &mut Environment<'_>, out: &mut Vec<Action>) {
        let silent = |peer: &id::Instance| {
            let status = world.members.get(peer).map(|peer| peer.status);
            matches!(status, Some(Status::Suspect | Status::Dead))
        };
        let waiting: Vec<_> = self
            .attempts
            .iter_mut()
            .filter(|(_, attempt)| !attempt.judged && silent(&attempt.peer))
            .map(|(request, attempt)| {
                // Judged once: a purse that has nothing left is not asked again.
                attempt.judged = true;
                (*request, attempt.call, attempt.peer.clone())
            })
            .collect();
        for (request, number, peer) in waiting {
            let sent = |call: &super::Call| call.state == State::Sent(request);
            if !self.calls.get(&number).is_some_and(sent) {
                continue;
            }
            let failure = Failure::Unknown(Code::LinkLost);
            if let Some(reason) = self.reason(now, number, failure, false, world) {
                self.abandon(now, request, Observation::Unhealthy);
                out.push(Action::Cancel(peer, request));
                self.retry(now, number, failure, reason, world, out);
            }
        }
    }
}
