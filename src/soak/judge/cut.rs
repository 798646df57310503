//! Judges what a planned stop did to requests.

use super::{
    Judge,
    Rule, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    soak::record::{
        Got,
        Request,
        Stop, //
    },
};

/// How long after the end of a process its requests may still end.
const AFTERMATH: Span = Span::from_secs(1);
/// How long before the end of its time a request may be ended.
const TIMEOUT_SLACK: Span = Span::from_ms(100);
/// From which time on without processor time this process may have held a request up.
const MAX_STALLED: Span = Span::from_ms(500);

impl Judge<'_> {
    /// Requests that a planned stop broke off, though nothing else was wrong.
    ///
    /// No server works longer than its route's timeout, which is shorter than the grace
    /// period, so that nothing excuses the end of a request that runs. What no server has
    /// run must be refused.
    pub(super) fn cut(&self) -> Vec<(Rule, String)> {
        let mut broken = Vec::new();
        for stop in &self.record.stops {
            for (id, request) in &self.record.requests {
                let cut = self.cut_by(stop, request);
                broken.extend(cut.map(|case| (Rule::Cut, format!("{id} {case}"))));
            }
        }
        broken
    }

    /// Returns how a planned stop broke a request off, if it did.
    fn cut_by(&self, stop: &Stop, request: &Request) -> Option<String> {
        let (at, got) = request.got?;
        let has_ended_then = stop.at <= at && at <= stop.gone + AFTERMATH;
        let is_concerned = request.machine == stop.machine
            || request.runs().any(|run| run.machine == stop.machine);
        let is_broken_off = match got {
            Got::Closed => true,
            Got::Status(502 | 504) => !request.sealed,
            _ => false,
        };
        let slack = TIMEOUT_SLACK + self.record.stalled(request.sent, at);
        let has_time = at.since(request.sent) + slack < request.limit;
        if !has_ended_then || !is_concerned || !is_broken_off || !has_time {
            return None;
        }
        let runs: Vec<_> = request.runs().map(|run| run.machine.to_string()).collect();
        let fate = match runs.is_empty() {
            false => format!("while it ran at {}", runs.join(", ")),
            true if self.has_crossed(request, at, got) => return None,
            true => "and never ran".to_owned(),
        };
        self.is_calm_but_for(stop, request.sent, at).then(|| {
            let took = at.since(request.sent);
            let after = at.since(stop.at);
            let route = request.route.name;
            format!("{route} got {got:?} {took} after it was sent, {after} after SIGTERM, {fate}")
        })
    }

    /// Whether a request that no server ran may have crossed the end of its connection, or
    /// was not sent whole.
    fn has_crossed(&self, request: &Request, at: Time, got: Got) -> bool {
        let slack = self.world.dialect.bounds().loss_slack;
        match request.written {
            None => true,
            Some(written) => {
                let slack = slack + self.record.stalled(written, at);
                request.is_behind || got == Got::Closed && at.since(written) <= slack
            }
        }
    }

    /// Whether nothing but a planned stop was wrong.
    fn is_calm_but_for(&self, stop: &Stop, from: Time, to: Time) -> bool {
        let mut machines = self.world.machines.iter();
        machines.all(|machine| {
            let is_calm = match machine.number == stop.machine {
                true => machine.is_calm_but_for_shutdown(from, to),
                false => machine.is_well(from, to),
            };
            is_calm && machine.server.is_sound(from, to)
        }) && self.record.stalled(from, to) < MAX_STALLED
    }
}
