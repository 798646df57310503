//! Applies answers of the store to the registration of this node.

use super::{
    HOLDER_TIMEOUT,
    HeldLease,
    LEASE_OFFER_WAIT,
    MemberSince,
    OWN_LEASE_DELAY,
    OWN_LEASE_RETENTION,
    RECORD_TTL,
    RENEWAL_INTERVAL,
    Registration,
    SHARED_RENEWAL_INTERVAL,
    parse_record,
    removal_call, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Instance,
        Lease,
        Revision, //
    },
    member::Peer,
    store::{
        Answer,
        Call,
        Entry, //
    },
};

impl Registration {
    pub(super) fn has_own_lease(&self) -> bool {
        let held = self.lease.as_ref();
        held.is_some_and(|held| held.holder.is_none())
    }

    fn renewal_interval(&self) -> Span {
        match self.needs_own_lease {
            true => SHARED_RENEWAL_INTERVAL,
            false => RENEWAL_INTERVAL,
        }
    }

    /// The lease under which to write the record, if there is one that certainly lives
    /// for a while. The record has to be written again under a lease that replaces
    /// another.
    pub(super) fn select_lease(&mut self, now: Time) -> Option<Lease> {
        let is_fresh = |confirmed_at: Time| now.since(confirmed_at) < HOLDER_TIMEOUT;
        if let Some(held) = &self.lease {
            let keeps = match held.holder {
                Some(_) => !self.needs_own_lease && is_fresh(held.confirmed_at),
                None => {
                    let is_unused = now.since(held.adopted_at) >= OWN_LEASE_RETENTION;
                    self.needs_own_lease || !is_unused || !self.has_offer(now)
                }
            };
            if keeps {
                return Some(held.lease);
            }
        }
        if !self.has_offer(now) {
            return None;
        }
        let offer = self.offer.clone()?;
        self.stored = None;
        self.lease = Some(HeldLease {
            lease: offer.lease,
            holder: Some(offer.holder),
            confirmed_at: offer.confirmed_at,
            adopted_at: now,
        });
        Some(offer.lease)
    }

    /// Whether another node offers a lease that this node may use.
    fn has_offer(&self, now: Time) -> bool {
        let offer = self.offer.as_ref();
        let is_fresh = offer.is_some_and(|offer| now.since(offer.confirmed_at) < HOLDER_TIMEOUT);
        is_fresh && !self.needs_own_lease
    }

    /// The call that creates a lease, unless one may still be offered.
    pub(super) fn grant(&mut self, now: Time) -> Option<Call> {
        let grant_at = *self.grant_at.get_or_insert(now + OWN_LEASE_DELAY);
        if !self.needs_own_lease && self.lease.is_none() && now < grant_at {
            return None;
        }
        self.is_granting = true;
        Some(Call::Grant { ttl: RECORD_TTL })
    }

    /// The call that removes the record of a node that leaves. Records of other nodes
    /// may depend on its lease, so that only its own is removed.
    pub(super) fn removal(&mut self, me: &Instance) -> Option<Call> {
        if self.stored.take().is_none() {
            self.lease = None;
            return None;
        }
        Some(removal_call(me, self.stored_revision))
    }

    /// When to look for a due call again if there is none.
    pub(super) fn next_check(&self, now: Time) -> Time {
        let held = self.lease.as_ref().filter(|held| held.holder.is_some());
        let times = [
            self.first_write_at,
            self.grant_at,
            held.map(|held| held.confirmed_at + HOLDER_TIMEOUT),
        ];
        let later = times.into_iter().flatten().filter(|at| *at > now);
        later.min().unwrap_or(now + RENEWAL_INTERVAL)
    }

    pub(super) fn handle_answer(&mut self, now: Time, answer: Answer, leaving: bool) {
        let sent = self.task.sent_at;
        let pending_write = self.pending_write.take();
        let granting = std::mem::take(&mut self.is_granting);
        if leaving {
            self.lease = None;
            return self.task.succeed(now + RENEWAL_INTERVAL);
        }
        match answer {
            Answer::Leased { lease, .. } if granting => {
                self.lease = Some(HeldLease {
                    lease,
                    holder: None,
                    confirmed_at: sent,
                    adopted_at: now,
                });
                self.stored = None;
                self.task.succeed(now);
            }
            Answer::Leased { .. } => {
                let is_own = self.has_own_lease();
                if is_own && let Some(held) = &mut self.lease {
                    held.confirmed_at = sent;
                }
                match self.stored.is_some() && is_own {
                    true => {
                        self.member_since.get_or_insert(MemberSince::At(now));
                        self.confirm_membership(sent);
                        self.task.succeed(sent + self.renewal_interval());
                    }
                    false => self.task.succeed(now),
                }
            }
            Answer::Swapped(revision) => {
                if let Some(replaced) = self.expected_revision.take()
                    && replaced != Revision::default()
                {
                    self.member_since = Some(MemberSince::BeforeStart);
                }
                self.stored = pending_write;
                self.stored_revision = revision;
                self.member_since.get_or_insert(MemberSince::At(now));
                // A write does not renew the lease.
                let confirmed_at = self.lease.as_ref().map_or(sent, |held| held.confirmed_at);
                self.confirm_membership(confirmed_at);
                self.task.succeed(confirmed_at + self.renewal_interval());
            }
            Answer::Conflict(present) => {
                self.handle_conflict(pending_write.as_ref(), present);
                self.task.succeed(now);
            }
            Answer::Expired => {
                let was_own = self.has_own_lease();
                self.lease = None;
                self.offer = None;
                self.stored = None;
                self.member_since = None;
                self.grant_at = Some(match was_own {
                    true => now,
                    false => now + LEASE_OFFER_WAIT,
                });
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
