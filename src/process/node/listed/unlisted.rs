//! Members whose record in the store has vanished.
//!
//! A record vanishes when its lease is not renewed in time. That alone does not show
//! that the member has stopped: the store may turn it away while it serves its upstream,
//! and while requests run there over links that work. Such a member is asked for a sign
//! of life over its link, and stays a member for as long as it answers. A member to
//! which no link is open is not asked, as nothing runs there for this node.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Instance, //
};

/// Interval between two signs of life that are asked for.
const PING_INTERVAL: Span = Span::from_secs(1);
/// How long a member without a record is kept after its last sign of life. It exceeds
/// the time after which the system ends a connection to a machine that is gone.
const SILENCE_LIMIT: Span = Span::from_secs(4);

/// Members without a record, and their signs of life.
#[derive(Debug, Default)]
pub(super) struct Unlisted {
    /// Last sign of life of each member without a record.
    heard_at: BTreeMap<Instance, Time>,
    /// Those of them that are members although their grace period is over.
    kept: BTreeSet<Instance>,
    next_ping: Time,
}

impl Unlisted {
    /// Returns when pings are next due, while some members have no record.
    pub(super) fn due(&self, has_lapsed: bool) -> Time {
        match has_lapsed || !self.kept.is_empty() {
            true => self.next_ping,
            false => Time::NEVER,
        }
    }

    /// Returns the members to ask for a sign of life now: those kept, and those whose
    /// record has vanished.
    pub(super) fn due_pings<'a>(
        &mut self,
        now: Time,
        lapsed: impl Iterator<Item = &'a Instance>,
    ) -> Vec<Instance> {
        if now < self.next_ping {
            return Vec::new();
        }
        self.next_ping = now + PING_INTERVAL;
        self.kept.iter().cloned().chain(lapsed.cloned()).collect()
    }

    /// Records a sign of life.
    pub(super) fn record_answer(&mut self, now: Time, member: &Instance) {
        self.heard_at.insert(member.clone(), now);
    }

    /// Handles the end of a member's grace period. Returns whether it has answered
    /// recently, so that it stays a member.
    pub(super) fn keep(&mut self, now: Time, member: &Instance) -> bool {
        let answers = self
            .heard_at
            .get(member)
            .is_some_and(|at| now.since(*at) < SILENCE_LIMIT);
        if answers {
            self.kept.insert(member.clone());
        }
        answers
    }

    /// Forgets a member that has a record again, or is removed.
    pub(super) fn forget(&mut self, member: &Instance) {
        self.heard_at.remove(member);
        self.kept.remove(member);
    }

    /// Whether a member is kept without a record.
    pub(super) fn is_kept(&self, member: &Instance) -> bool {
        self.kept.contains(member)
    }

    /// Removes and returns the kept members that have been silent for too long.
    pub(super) fn take_silent(&mut self, now: Time) -> Vec<Instance> {
        let is_silent =
            |heard_at: Option<&Time>| heard_at.is_none_or(|at| now.since(*at) >= SILENCE_LIMIT);
        let silent = self
            .kept
            .extract_if(.., |member| is_silent(self.heard_at.get(member)));
        let silent: Vec<_> = silent.collect();
        for member in &silent {
            self.heard_at.remove(member);
        }
        silent
    }
}
