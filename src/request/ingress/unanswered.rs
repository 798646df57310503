//! The calls without an answer, and the time by which each must have one.
//!
//! A call stays here until its caller has been given an answer or has left. Neither its
//! attempts nor its links nor the timers of its state take it away, so that a fault in
//! their handling delays an answer until the deadline at most.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    clock::Time,
    id::Call, //
};

/// The deadlines of all calls without an answer.
#[derive(Clone, Debug, Default)]
pub(super) struct Unanswered {
    deadlines: BTreeMap<Call, Time>,
    by_time: BTreeSet<(Time, Call)>,
}

impl Unanswered {
    /// Adds a call that must be answered by this time.
    pub(super) fn insert(&mut self, call: Call, deadline: Time) {
        self.remove(call);
        self.deadlines.insert(call, deadline);
        self.by_time.insert((deadline, call));
    }

    /// Removes a call that was answered, or whose caller has left.
    pub(super) fn remove(&mut self, call: Call) {
        if let Some(deadline) = self.deadlines.remove(&call) {
            self.by_time.remove(&(deadline, call));
        }
    }

    /// Returns the next deadline.
    pub(super) fn due(&self) -> Time {
        self.by_time.first().map_or(Time::NEVER, |(at, _)| *at)
    }

    /// Removes and returns a call whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Time) -> Option<Call> {
        let (at, call) = self.by_time.first().copied()?;
        if at > now {
            return None;
        }
        self.remove(call);
        Some(call)
    }
}
