//! The own record: what the answers of the store say of it.

use super::{
    Counted,
    RENEWAL,
    Registration,
    peer, //
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
        let sent = self.task.sent;
        let writing = self.writing.take();
        if leaving {
            self.lease = None;
            return self.task.succeed(now + RENEWAL);
        }
        match answer {
            Answer::Leased { lease, .. } if self.lease.is_none() => {
                self.lease = Some(lease);
                self.written = None;
                self.task.succeed(now);
            }
            Answer::Leased { .. } if self.written.is_some() => {
                self.counted.get_or_insert(Counted::Since(now));
                self.confirm(sent);
                self.task.succeed(sent + RENEWAL);
            }
            Answer::Leased { .. } => self.task.succeed(now),
            Answer::Swapped(_) => {
                if let Some(former) = self.former.take()
                    && former != Revision::default()
                {
                    self.counted = Some(Counted::Always);
                }
                self.written = writing;
                self.counted.get_or_insert(Counted::Since(now));
                self.confirm(sent);
                self.task.succeed(sent + RENEWAL);
            }
            Answer::Conflict(present) => {
                self.conflict(writing.as_ref(), present);
                self.task.succeed(now);
            }
            Answer::Expired => {
                self.lease = None;
                self.written = None;
                self.counted = None;
                self.task.succeed(now);
            }
            // A write that was lost may have taken effect; it is written again,
            // which does no harm.
            _ => self.task.fail(now),
        }
    }

    /// The first write found another record than it expected: that of the life
    /// before, or its own, if an earlier try took effect without an answer.
    /// Which of the two was replaced then is not known, so it proves nothing.
    pub(super) fn conflict(&mut self, writing: Option<&Peer>, present: Option<Entry>) {
        let Some(present) = present else {
            self.former = Some(Revision::default());
            return;
        };
        let record = peer(&present.key, &present.value);
        let own = record.is_some_and(|record| {
            writing.is_some_and(|writing| record.incarnation == writing.incarnation)
        });
        self.former = (!own).then_some(present.revision);
    }

    pub(super) fn confirm(&mut self, sent: Time) {
        self.confirmed = self.confirmed.max(Some(sent));
    }
}
