//! A node's own two leases: the short one, which its seats depend on, and the
//! long one, which keeps all nodes but its successor from taking them over.

use super::{
    Action,
    NO_REVISION,
    NodeRecord,
    Purpose,
    SeatManager,
    alive_key,
    encode,
    node_key, //
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
    store::{
        Answer,
        Call,
        Entry, //
    },
};

/// An unanswered call blocks the next one for this long.
const CALL_TIMEOUT: Span = Span::from_ms(250);
/// The store silence that a node assumes when it resumes after a pause.
const ASSUMED_SILENCE_ON_RESUME: Span = Span::from_ms(600);
/// Bounds of the backoff after lost calls.
const INITIAL_BACKOFF: Span = Span::from_ms(250);
const MAX_BACKOFF: Span = Span::from_secs(4);

/// A store call that concerns the node's own leases.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Create the short lease.
    GrantShort,
    /// Write the liveness record under it.
    WriteAlive(Lease),
    /// Create the long lease.
    GrantLong,
    /// Write the node's record under it, naming this successor.
    WriteNode(Lease, Option<Instance>),
    /// Read back a node record whose write was not answered.
    ReadNode,
    /// Renew the short lease.
    RenewShort(Lease),
    /// Renew the long lease.
    RenewLong(Lease),
}

#[derive(Clone, Copy, Debug)]
struct LeaseTerm {
    lease: Lease,
    requested_at: Time,
    end: Time,
}

/// The state of the node's own two leases.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnLeases {
    short_lease: Option<LeaseTerm>,
    alive_written: bool,
    /// The revision of what is in place of the liveness record, if it is to be replaced.
    alive_revision: Revision,
    /// The short lease before the present one. Its liveness record may not have expired.
    former_lease: Option<Lease>,
    long_lease: Option<LeaseTerm>,
    node_record: Option<(Revision, NodeRecord)>,
    node_write_uncertain: bool,
    call_pending_until: Time,
    next_call_at: Time,
    consecutive_failures: u32,
    last_answered_call: Time,
}

impl OwnLeases {
    /// When a seat expires that was written under this short lease.
    pub(super) fn short_end(&self, lease: Lease) -> Option<Time> {
        let term = self.short_lease.filter(|term| term.lease == lease)?;
        self.alive_written.then_some(term.end)
    }

    /// The short lease, if it has not expired and the liveness record is
    /// written.
    pub(super) fn live_short_lease(&self, now: Time) -> Option<Lease> {
        let term = self.short_lease.filter(|term| now < term.end)?;
        self.alive_written.then_some(term.lease)
    }

    /// Until when nodes other than the successor may not take over.
    pub(super) fn long_end(&self) -> Time {
        match (&self.node_record, self.long_lease) {
            (Some((_, node)), Some(term)) if node.lease == term.lease => term.end,
            _ => Time::ZERO,
        }
    }

    /// The successor that the store is known to name.
    pub(super) fn named_successor(&self) -> Option<&Instance> {
        let (_, node) = self.node_record.as_ref()?;
        let is_certain = !self.node_write_uncertain
            && self.long_lease.is_some_and(|term| term.lease == node.lease);
        node.successor.as_ref().filter(|_| is_certain)
    }

    /// The revision at which what is in place of the liveness record is replaced. A
    /// record under the lease before is left to expire; no other one is this node's.
    fn replaceable_revision(&self, entry: Option<Entry>) -> Revision {
        let former = self.former_lease.map(|lease| lease.to_string());
        let others = entry.filter(|entry| Some(&entry.value) != former.as_ref());
        others.map_or(NO_REVISION, |entry| entry.revision)
    }

    /// Records that the process was paused until now.
    pub(super) fn note_resumed(&mut self, now: Time) {
        let recent = Time::from_ms(
            now.as_ms()
                .saturating_sub(ASSUMED_SILENCE_ON_RESUME.as_ms()),
        );
        self.last_answered_call = self.last_answered_call.max(recent);
    }

    /// Records that the store answered a call made at `asked`.
    pub(super) fn note_answer(&mut self, asked: Time) {
        self.last_answered_call = self.last_answered_call.max(asked);
    }

    /// Time since the last call that the store answered.
    pub(super) fn store_silence(&self, now: Time) -> Span {
        now.since(self.last_answered_call)
    }

    /// Time left on the short lease.
    pub(super) fn short_left(&self, now: Time) -> Span {
        self.short_lease
            .map_or(Span::ZERO, |term| now.until(term.end))
    }
}

impl SeatManager {
    pub(super) fn own_leases_tick(
        &mut self,
        now: Time,
        successor: Option<&Instance>,
        out: &mut Vec<Action>,
    ) {
        if now < self.own_leases.call_pending_until || now < self.own_leases.next_call_at {
            return;
        }
        let Some(step) = self.next_lease_step(now, successor) else {
            return;
        };
        let call = match &step {
            Step::GrantShort => Call::Grant {
                ttl: self.options.short_ttl,
            },
            Step::GrantLong => Call::Grant {
                ttl: self.options.long_ttl,
            },
            Step::RenewShort(lease) | Step::RenewLong(lease) => Call::Renew { lease: *lease },
            Step::WriteAlive(lease) => Call::Swap {
                key: alive_key(&self.local),
                expect: self.own_leases.alive_revision,
                value: Some(lease.to_string()),
                lease: Some(*lease),
                unless: None,
            },
            Step::WriteNode(lease, successor) => Call::Swap {
                key: node_key(&self.local),
                expect: self
                    .own_leases
                    .node_record
                    .as_ref()
                    .map_or(NO_REVISION, |(at, _)| *at),
                value: encode(&NodeRecord {
                    successor: successor.clone(),
                    lease: *lease,
                }),
                lease: Some(*lease),
                unless: None,
            },
            Step::ReadNode => Call::Get {
                key: node_key(&self.local),
            },
        };
        self.own_leases.call_pending_until = now + CALL_TIMEOUT;
        self.call_store(now, Purpose::OwnLeases(step), call, out);
    }

    fn next_lease_step(&self, now: Time, successor: Option<&Instance>) -> Option<Step> {
        let leases = &self.own_leases;
        let Some(short) = leases.short_lease.filter(|term| now < term.end) else {
            return Some(Step::GrantShort);
        };
        if !leases.alive_written {
            return Some(Step::WriteAlive(short.lease));
        }
        if now >= short.requested_at + self.options.renew_interval {
            return Some(Step::RenewShort(short.lease));
        }
        if !self.options.name_successor {
            return None;
        }
        let Some(long) = leases.long_lease.filter(|term| now < term.end) else {
            return Some(Step::GrantLong);
        };
        if leases.node_write_uncertain {
            return Some(Step::ReadNode);
        }
        let node = leases.node_record.as_ref().map(|(_, node)| node);
        let named = node.and_then(|node| node.successor.as_ref());
        let current = node.is_some_and(|node| node.lease == long.lease);
        // The successor must not be replaced while it may believe that it alone
        // decides: it would not learn of the change, and two nodes would
        // decide. The same holds for an owner that was told that its successor
        // has taken over: another node that finds itself named in the store
        // would take the same seats from there.
        let taken_over = now < self.claims.own_records_barred_until;
        let successor_fixed = self.is_frozen() || self.draining || taken_over;
        let must_rename = named != successor && !successor_fixed;
        if !current || must_rename {
            let named = if successor_fixed { named } else { successor };
            return Some(Step::WriteNode(long.lease, named.cloned()));
        }
        let due = long.requested_at + self.options.long_ttl.scale(0.02).min(Span::from_secs(120));
        (now >= due).then_some(Step::RenewLong(long.lease))
    }

    pub(super) fn on_lease_answer(&mut self, now: Time, asked: Time, step: Step, answer: Answer) {
        if answer == Answer::Lost {
            self.on_lease_call_lost(now, step);
            return;
        }
        self.own_leases.call_pending_until = Time::ZERO;
        self.own_leases.consecutive_failures = 0;
        self.own_leases.next_call_at = Time::ZERO;
        let margin = self.options.clock_margin;
        let requested = match step {
            Step::GrantLong | Step::RenewLong(_) => self.options.long_ttl,
            _ => self.options.short_ttl,
        };
        let answer = match answer {
            // A lease that ends at once is none: it would be requested again at each tick.
            Answer::Leased { ttl, .. } if ttl <= margin => Answer::Expired,
            Answer::Leased { lease, ttl } => Answer::Leased {
                lease,
                ttl: ttl.min(requested),
            },
            answer => answer,
        };
        match (step, answer) {
            (Step::GrantShort, Answer::Leased { lease, ttl }) => {
                let former = self.own_leases.short_lease.map(|term| term.lease);
                self.own_leases.former_lease = former.or(self.own_leases.former_lease);
                self.own_leases.short_lease = Some(LeaseTerm {
                    lease,
                    requested_at: asked,
                    end: asked + (ttl - margin),
                });
                self.own_leases.alive_written = false;
            }
            (Step::GrantLong, Answer::Leased { lease, ttl }) => {
                self.own_leases.long_lease = Some(LeaseTerm {
                    lease,
                    requested_at: asked,
                    end: asked + (ttl - margin),
                });
            }
            (Step::RenewShort(_), Answer::Leased { lease, ttl }) => {
                extend_term(&mut self.own_leases.short_lease, lease, asked, ttl - margin);
            }
            (Step::RenewLong(_), Answer::Leased { lease, ttl }) => {
                extend_term(&mut self.own_leases.long_lease, lease, asked, ttl - margin);
            }
            (Step::RenewShort(lease), Answer::Expired) => {
                let expired = self
                    .own_leases
                    .short_lease
                    .take_if(|term| term.lease == lease);
                if expired.is_some() {
                    self.own_leases.former_lease = Some(lease);
                }
                self.own_leases.alive_written =
                    self.own_leases.alive_written && self.own_leases.short_lease.is_some();
            }
            (Step::RenewLong(lease), Answer::Expired) => {
                self.own_leases
                    .long_lease
                    .take_if(|term| term.lease == lease);
            }
            (Step::WriteAlive(lease), answer) => self.on_alive_written(now, lease, answer),
            (Step::WriteNode(lease, successor), answer) => {
                self.on_node_written(NodeRecord { successor, lease }, answer);
            }
            (Step::ReadNode, Answer::Value(entry)) => self.on_own_node_read(entry),
            _ => self.own_leases.next_call_at = now + MAX_BACKOFF,
        }
    }

    /// Backs off exponentially, with jitter so that the fleet does not return
    /// to the store all at once. A renewal of the short lease gets two quick
    /// retries first.
    fn on_lease_call_lost(&mut self, now: Time, step: Step) {
        let longest = MAX_BACKOFF
            .as_ms()
            .min(INITIAL_BACKOFF.as_ms() << self.own_leases.consecutive_failures.min(8));
        let renewal =
            matches!(step, Step::RenewShort(_)) && self.own_leases.consecutive_failures < 2;
        let longest = if renewal { 50 } else { longest };
        self.own_leases.consecutive_failures += 1;
        self.own_leases.next_call_at =
            now + self.jitter(Span::from_ms(longest / 2), Span::from_ms(longest));
        if matches!(step, Step::WriteNode(..)) {
            self.own_leases.node_write_uncertain = true;
        }
    }

    fn on_alive_written(&mut self, now: Time, lease: Lease, answer: Answer) {
        let current = self
            .own_leases
            .short_lease
            .is_some_and(|term| term.lease == lease);
        match answer {
            Answer::Swapped(_) if current => self.own_leases.alive_written = true,
            // The answer to an earlier write was lost; the record is there.
            Answer::Conflict(Some(entry)) if entry.value == lease.to_string() && current => {
                self.own_leases.alive_written = true;
            }
            Answer::Conflict(entry) => {
                self.own_leases.next_call_at =
                    now + self.jitter(CALL_TIMEOUT.scale(0.5), CALL_TIMEOUT);
                self.own_leases.alive_revision = self.own_leases.replaceable_revision(entry);
            }
            Answer::Expired if current => {
                self.own_leases.short_lease = None;
                self.own_leases.former_lease = Some(lease);
            }
            _ => {}
        }
    }

    fn on_node_written(&mut self, node: NodeRecord, answer: Answer) {
        match answer {
            Answer::Swapped(revision) => self.own_leases.node_record = Some((revision, node)),
            Answer::Conflict(entry) => self.on_own_node_read(entry),
            Answer::Expired => {
                self.own_leases
                    .long_lease
                    .take_if(|term| term.lease == node.lease);
            }
            _ => {}
        }
    }

    fn on_own_node_read(&mut self, entry: Option<Entry>) {
        self.own_leases.node_write_uncertain = false;
        let former = self.own_leases.node_record.take();
        let successor = former.and_then(|(_, node)| node.successor);
        // What another writer has put in place of the record is replaced at its
        // revision. The successor that was named before may rely on its name.
        let replaced = NodeRecord {
            successor,
            lease: Lease(0),
        };
        self.own_leases.node_record = entry.map(|entry| {
            let node = super::decode::<NodeRecord>(&entry);
            (entry.revision, node.unwrap_or(replaced))
        });
    }
}

/// Extends a lease, counted from when the renewal was requested: the store
/// counts from when it handled the call, which was not earlier.
fn extend_term(term: &mut Option<LeaseTerm>, lease: Lease, asked: Time, length: Span) {
    if let Some(term) = term.as_mut().filter(|term| term.lease == lease) {
        term.requested_at = term.requested_at.max(asked);
        term.end = term.end.max(asked + length);
    }
}
