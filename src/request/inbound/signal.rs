//! Backpressure signals of the upstream, and the hints that other nodes keep of
//! them.

use super::{
    Action,
    Proxy,
    World, //
};
use crate::{
    backpressure::{
        Hint,
        Limit,
        Signal, //
    },
    clock::{
        Span,
        Time, //
    },
    code::Code,
    id,
    metric::Counter, //
};

/// Maximum number of hints that are kept until their upstream is known.
const MAX_EARLY_HINTS: usize = 8;

/// Minimum time between two reports of a changed limit.
const LIMIT_REPORT_INTERVAL: Span = Span::from_secs(1);

impl Proxy {
    /// Drops what an earlier process of the upstream signalled when a new one is there.
    pub(super) fn on_upstream(
        &mut self,
        now: Time,
        upstream: id::Upstream,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if self.upstream.0 == upstream {
            return;
        }
        self.upstream = (upstream, now);
        self.start_limits.throttle.reset();
        self.upstream_state.departing = false;
        self.upstream_state.announced_leaving = false;
        if self
            .early_hints
            .iter()
            .any(|hint| hint.upstream == upstream)
        {
            self.set_leaving(now, true, world, out);
        }
    }

    /// Whether other nodes may be told that this upstream accepts requests.
    pub fn is_offered(&self) -> bool {
        self.upstream_state.ready && !self.upstream_state.departing
    }

    /// Marks the upstream as leaving and refuses the waiting attempts. Its announcement
    /// may follow later, or never.
    fn set_leaving(
        &mut self,
        now: Time,
        by_hint: bool,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if !std::mem::replace(&mut self.upstream_state.departing, true) {
            out.push(Action::Departing { by_hint });
            self.refuse_waiting(now, Code::Leaving, world, out);
        }
    }

    pub(super) fn on_hint(
        &mut self,
        now: Time,
        hint: Hint,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        if hint.upstream == id::Upstream::default() {
            return;
        }
        if hint.upstream != self.upstream.0 {
            self.keep_early_hint(hint);
        } else {
            self.start_limits.throttle.apply_hint(now, hint.limit);
            self.report_limit(now, self.limit(), out);
            if hint.leaving {
                self.set_leaving(now, true, world, out);
            }
        }
    }

    /// Keeps the hint of a departure. It may arrive before the delayed announcement of its
    /// upstream.
    fn keep_early_hint(&mut self, hint: Hint) {
        if !hint.leaving || self.early_hints.contains(&hint) {
            return;
        }
        if self.early_hints.len() == MAX_EARLY_HINTS {
            self.early_hints.remove(0);
        }
        self.early_hints.push(hint);
    }

    /// The limit that is enforced now.
    fn limit(&self) -> Limit {
        let limit = self.start_limits.throttle.limit();
        limit.map_or(Limit::Absent, Limit::Named)
    }

    /// The hint about this upstream that other nodes keep.
    pub(super) fn hint(&self) -> Option<Hint> {
        let limit = self.start_limits.throttle.limit();
        let leaving = self.upstream_state.departing || self.upstream_state.announced_leaving;
        (leaving || limit.is_some()).then_some(Hint {
            upstream: self.upstream.0,
            limit,
            leaving,
        })
    }

    /// Counts a health probe against the start limits, if they allow one now. Returns
    /// whether they do.
    pub fn start_probe(&mut self, now: Time) -> bool {
        let is_allowed = self.start_limits.allows(now);
        if is_allowed {
            self.start_limits.record_start(now);
        }
        is_allowed
    }

    pub(super) fn on_signal(
        &mut self,
        now: Time,
        started: Time,
        signal: Signal,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        // The answer may be from an earlier process of the upstream.
        if started < self.upstream.1 {
            return;
        }
        if signal.limit == Limit::Unreadable {
            world.counts.add(Counter::LimitUnreadable);
        }
        self.start_limits
            .throttle
            .observe(now, started, signal.limit);
        let reported = match signal.limit {
            Limit::Unreadable => signal.limit,
            _ => self.limit(),
        };
        self.report_limit(now, reported, out);
        if signal.leaving {
            self.set_leaving(now, false, world, out);
        }
    }

    /// Reports a changed limit, at most once per second. Every answer calls this, so the
    /// last change is always reported in the end.
    fn report_limit(&mut self, now: Time, limit: Limit, out: &mut Vec<Action>) {
        let (previous, reported_at) = self.reported_limit;
        if limit != previous && now.since(reported_at) >= LIMIT_REPORT_INTERVAL {
            self.reported_limit = (limit, now);
            out.push(Action::Limit(limit));
        }
    }
}
