//! Applies answers of the store to the registration of this node.

use super::{
    MAX_BACKOFF,
    MemberSince,
    RENEWAL_INTERVAL,
    Registration,
    parse_record, //
};
use crate::{
    clock::Time,
    id::{
        Incarnation,
        Revision, //
    },
    member::Peer,
    store::{
        Answer,
        Entry, //
    },
};

impl Registration {
    /// Handles an answer. Returns the incarnation of a record that this node is about to
    /// replace although it is a higher one.
    pub(super) fn handle_answer(
        &mut self,
        now: Time,
        answer: Answer,
        leaving: bool,
    ) -> Option<Incarnation> {
        let sent = self.task.sent_at;
        let pending_write = self.pending_write.take();
        if leaving {
            self.lease = None;
            self.task.succeed(now + RENEWAL_INTERVAL);
            return None;
        }
        match answer {
            Answer::Leased { lease, .. } if self.lease.is_none() => {
                self.lease = Some(lease);
                self.stored = None;
                self.task.succeed(now);
            }
            Answer::Leased { .. } if self.stored.is_some() => {
                self.member_since.get_or_insert(MemberSince::At(now));
                self.confirm_membership(sent);
                self.task.succeed(sent + RENEWAL_INTERVAL);
            }
            Answer::Leased { .. } => self.task.succeed(now),
            Answer::Swapped(revision) => {
                self.stored_revision = revision;
                if let Some(replaced) = self.expected_revision.take()
                    && replaced != Revision::default()
                {
                    self.member_since = Some(MemberSince::BeforeStart);
                }
                self.stored = pending_write;
                self.member_since.get_or_insert(MemberSince::At(now));
                self.confirm_membership(sent);
                self.task.succeed(sent + RENEWAL_INTERVAL);
            }
            Answer::Conflict(present) => {
                self.task.succeed(now);
                return self.handle_conflict(pending_write.as_ref(), present);
            }
            Answer::Expired => {
                self.lease = None;
                self.stored = None;
                self.member_since = None;
                self.task.succeed(now);
            }
            // A lost write may have taken effect. Writing again is idempotent.
            _ => {
                self.task.fail(now);
                // The store may be unable to tell what it has: the next write expects nothing.
                if self.task.backoff >= MAX_BACKOFF && self.lease.is_some() {
                    self.expected_revision = None;
                }
            }
        }
        None
    }

    /// Handles a first write that met another record than it expected: that of the
    /// previous incarnation, or its own if an earlier attempt took effect and its
    /// answer was lost. What that earlier attempt replaced is unknown, so an own
    /// record proves no uninterrupted membership.
    ///
    /// Returns the incarnation of that record if it is a higher one.
    pub(super) fn handle_conflict(
        &mut self,
        pending_write: Option<&Peer>,
        present: Option<Entry>,
    ) -> Option<Incarnation> {
        let Some(present) = present else {
            self.expected_revision = Some(Revision::default());
            return None;
        };
        let found = parse_record(&present).map(|record| record.peer.incarnation);
        let own = pending_write.map(|peer| peer.incarnation);
        let is_own = found.is_some() && found == own;
        self.expected_revision = (!is_own).then_some(present.revision);
        found.filter(|found| Some(*found) > own)
    }

    pub(super) fn confirm_membership(&mut self, sent: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }
}
