//! What the upstream tells in its answers, and what other nodes keep of that.

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

/// Time between two notes of a limit, at least.
const LIMIT_NOTE_INTERVAL: Span = Span::from_secs(1);

impl Proxy {
    /// Another life of the upstream knows nothing of what the former one told.
    pub(super) fn replaced(&mut self, now: Time, upstream: id::Upstream) {
        if self.upstream.0 != upstream {
            self.upstream = (upstream, now);
            self.pace.throttle.reset();
            self.site.departing = false;
            self.site.announced_leaving = false;
        }
    }

    /// Whether callers elsewhere may be told to send work here.
    pub fn is_offered(&self) -> bool {
        self.site.ready && !self.site.departing
    }

    /// The upstream leaves. Its announcement may come later, or never.
    fn depart(&mut self, now: Time, by_hint: bool, world: &mut World<'_>, out: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.site.departing, true) {
            out.push(Action::Departing { by_hint });
            self.flush(now, Code::Leaving, world, out);
        }
    }

    pub(super) fn hinted(
        &mut self,
        now: Time,
        hint: Hint,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        let is_known = hint.upstream != id::Upstream::default();
        if is_known && hint.upstream == self.upstream.0 {
            self.pace.throttle.apply_hint(now, hint.limit);
            self.note_limit(now, self.limit(), out);
            if hint.leaving {
                self.depart(now, true, world, out);
            }
        }
    }

    /// The limit in force.
    fn limit(&self) -> Limit {
        let limit = self.pace.throttle.limit();
        limit.map_or(Limit::Absent, Limit::Named)
    }

    /// What other nodes keep of the upstream.
    pub(super) fn hint(&self) -> Option<Hint> {
        let limit = self.pace.throttle.limit();
        let leaving = self.site.departing || self.site.announced_leaving;
        (leaving || limit.is_some()).then_some(Hint {
            upstream: self.upstream.0,
            limit,
            leaving,
        })
    }

    /// Takes a health probe out of what the upstream may get. Returns whether there
    /// is room for it.
    pub fn start_probe(&mut self, now: Time) -> bool {
        let is_allowed = self.pace.allows(now);
        if is_allowed {
            self.pace.take(now);
        }
        is_allowed
    }

    pub(super) fn signalled(
        &mut self,
        now: Time,
        begun: Time,
        signal: Signal,
        world: &mut World<'_>,
        out: &mut Vec<Action>,
    ) {
        // A former life of the upstream may have answered.
        if begun < self.upstream.1 {
            return;
        }
        if signal.limit == Limit::Unreadable {
            world.counts.add(Counter::LimitUnreadable);
        }
        self.pace.throttle.observe(now, begun, signal.limit);
        let news = match signal.limit {
            Limit::Unreadable => signal.limit,
            _ => self.limit(),
        };
        self.note_limit(now, news, out);
        if signal.leaving {
            self.depart(now, false, world, out);
        }
    }

    /// Notes a limit that is news, once a second at most. Each answer brings it here, so
    /// the last one is noted in the end.
    fn note_limit(&mut self, now: Time, limit: Limit, out: &mut Vec<Action>) {
        let (before, noted) = self.named;
        if limit != before && now.since(noted) >= LIMIT_NOTE_INTERVAL {
            self.named = (limit, now);
            out.push(Action::Limit(limit));
        }
    }
}
