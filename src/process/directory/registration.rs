//! Applies answers of the store to the registration of this node.

use super::{
    MemberSince,
    RENEWAL_INTERVAL,
    Registration,
    parse_record, //
};
use crate::{
    clock::Time,
    id::Revision,
    member::Peer,
    store::{
        Answer,
        Entry, //
    },
};

impl Registration {
    pub(super) fn handle_answer(&mut self, now: Time, answer: Answer, leaving: bool) {
        let sent = self.task.sent_at;
        let pending_write = self.pending_write.take();
        if leaving {
            self.lease = None;
            return self.task.succeed(now + RENEWAL_INTERVAL);
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
            Answer::Swapped(_) => {
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
                self.handle_conflict(pending_write.as_ref(), present);
                self.task.succeed(now);
            }
            Answer::Expired => {
                self.lease = None;
                self.stored = None;
                self.member_since = None;
                self.task.succeed(now);
            }
            // A lost write may have taken effect. Writing again is idempotent.
            _ => self.task.fail(now),
        }
    }

    /// Handles a first write that met another record than it expected: that of the
    /// previous incarnation, or its own if an earlier attempt took effect and its
    /// answer was lost. What that earlier attempt replaced is unknown, so an own
    /// record proves no uninterrupted membership.
    pub(super) fn handle_conflict(&mut self, pending_write: Option<&Peer>, present: Option<Entry>) {
        let Some(present) = present else {
            self.expected_revision = Some(Revision::default());
            return;
        };
        let record = parse_record(&present.key, &present.value);
        let is_own = record.is_some_and(|record| {
            pending_write
                .is_some_and(|pending_write| record.incarnation == pending_write.incarnation)
        });
        self.expected_revision = (!is_own).then_some(present.revision);
    }

    pub(super) fn confirm_membership(&mut self, sent: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }
}
