//! Acquiring a seat through the store.
//!
//! Reads the seat's record first, then the owner's liveness record, then the
//! owner's node record, and finally swaps the seat at the revision that was
//! read first. The order matters: an owner without a liveness record can only
//! come back by swapping the seat itself, which makes the final swap fail.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Action,
    Basis,
    Epoch,
    HeldSeat,
    NO_REVISION,
    NodeLife,
    NodeRecord,
    Purpose,
    Seat,
    SeatManager,
    SeatRecord,
    alive_key,
    decode,
    encode,
    is_gone,
    node_key,
    seat_key, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Lease,
        Revision, //
    },
    member::Table,
    store::{
        Answer,
        Call,
        Entry, //
    },
};

/// An unanswered call blocks the next one for the same seat for this long.
const CALL_TIMEOUT: Span = Span::from_ms(1500);
/// Silence of an owner after which its successor checks the store often.
const OWNER_SILENCE_THRESHOLD: Span = Span::from_ms(1200);
/// Maximum number of seats that are being acquired at the same time.
const MAX_CONCURRENT_CLAIMS: usize = 32;
/// How long a report of an unreachable owner keeps this node trying to acquire
/// the seat.
const REPORT_TTL: Span = Span::from_secs(1);

/// What was read of a seat that has another owner.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SeatRead {
    seat: Seat,
    revision: Revision,
    record: SeatRecord,
    read_at: Time,
}

/// A write that makes this node the owner of a seat.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    seat: Seat,
    expect: Revision,
    epoch: Epoch,
    lease: Lease,
    write_id: u64,
    continued_epoch: Option<Epoch>,
    previous_owner: Option<NodeLife>,
}

/// A store call in the course of acquiring a seat.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Read the seat's record.
    ReadSeat(Seat),
    /// Read the owner's liveness record.
    ReadAlive(SeatRead),
    /// Read the owner's node record.
    ReadNode(SeatRead),
    /// Swap the seat's record.
    Write(Claim),
}

/// The seats that this node is trying to acquire.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    /// Until when this incarnation may not rewrite the records that name it.
    pub(super) own_records_barred_until: Time,
    /// Seats with a call in flight, and until when its answer is awaited.
    in_flight: BTreeMap<Seat, Time>,
    next_attempt: BTreeMap<Seat, Time>,
    /// Seats whose owner did not answer, as reported by others, and when.
    reported: BTreeMap<Seat, Time>,
    /// Seats with a write that may be in flight or may still take effect, and
    /// the owner that it would replace.
    uncertain_writes: BTreeMap<Seat, NodeLife>,
    /// The latest write of each seat, to recognize it when the answer is lost.
    last_writes: BTreeMap<Seat, (u64, Lease)>,
    last_write_id: u64,
}

impl Claims {
    /// Whether others have reported seats with an unreachable owner.
    pub(super) fn has_reports(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Whether a write that replaces this owner may be in flight.
    pub(super) fn may_write_against(&self, owner: &NodeLife) -> bool {
        self.uncertain_writes
            .values()
            .any(|previous_owner| previous_owner == owner)
    }
}

impl SeatManager {
    pub(super) fn claims_tick(
        &mut self,
        now: Time,
        members: &Table,
        wanted: &[Seat],
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.own_leases.live_short_lease(now) else {
            return;
        };
        if self.draining || self.is_frozen() {
            return;
        }
        self.claims.in_flight.retain(|_, until| now < *until);
        let capacity = MAX_CONCURRENT_CLAIMS.saturating_sub(self.claims.in_flight.len());
        for seat in self.due_seats(now, lease, members, wanted, capacity) {
            self.start_step(now, Step::ReadSeat(seat), out);
        }
    }

    fn due_seats(
        &mut self,
        now: Time,
        lease: Lease,
        members: &Table,
        wanted: &[Seat],
        capacity: usize,
    ) -> Vec<Seat> {
        let orphaned = self.seats_of_silent_owners(now);
        let mine = |seat: &Seat| {
            self.held.get(seat).is_some_and(|held| {
                held.basis == Basis::ShortLease(lease) && held.expiry_cap == Time::NEVER
            })
        };
        let owner_reachable = |seat: &Seat| {
            let owner = self.owner_hints.get(seat);
            owner.is_some_and(|owner| *owner != self.local.instance && !is_gone(members, owner))
        };
        let due = |seat: &Seat| {
            let at = self
                .claims
                .next_attempt
                .get(seat)
                .copied()
                .unwrap_or_default();
            now >= at && !self.claims.in_flight.contains_key(seat)
        };
        let taken_over = self.held.keys().filter(|seat| !mine(seat));
        let contested = self.claims.reported.keys();
        let unsure = self.claims.uncertain_writes.keys();
        let seats = unsure.chain(orphaned.iter()).chain(taken_over);
        let seats = seats.chain(contested).chain(wanted).filter(|seat| {
            let reported = orphaned.contains(seat) || self.claims.reported.contains_key(*seat);
            let worth_reading = reported || !owner_reachable(seat);
            !mine(seat) && due(seat) && worth_reading
        });
        let unique: BTreeSet<&Seat> = seats.collect();
        unique.into_iter().take(capacity).cloned().collect()
    }

    fn start_step(&mut self, now: Time, step: Step, out: &mut Vec<Action>) {
        let get = |key: String| Call::Get { key };
        let call = match &step {
            Step::ReadSeat(seat) => get(seat_key(seat)),
            Step::ReadAlive(found) => get(alive_key(&found.record.owner)),
            Step::ReadNode(found) => get(node_key(&found.record.owner)),
            Step::Write(claim) => Call::Swap {
                key: seat_key(&claim.seat),
                expect: claim.expect,
                value: encode(&SeatRecord {
                    owner: self.local.clone(),
                    epoch: claim.epoch,
                    write_id: claim.write_id,
                }),
                lease: None,
                unless: None,
            },
        };
        // Once the write may have taken effect, the store lets others have the
        // seat as soon as the short lease expires, so the time limit of a
        // takeover no longer counts. Otherwise a node that misses the answer
        // would hold the seat beside the next owner.
        if let Step::Write(claim) = &step {
            let sent = (claim.write_id, claim.lease);
            self.claims.last_writes.insert(claim.seat.clone(), sent);
            if let Some(held) = self.held.get_mut(&claim.seat) {
                held.basis = Basis::ShortLease(claim.lease);
            }
        }
        if let Step::Write(claim) = &step
            && let Some(previous_owner) = &claim.previous_owner
        {
            self.claims
                .uncertain_writes
                .insert(claim.seat.clone(), previous_owner.clone());
            self.bar_promises(previous_owner);
        }
        self.claims
            .in_flight
            .insert(step.seat().clone(), now + CALL_TIMEOUT);
        self.call_store(now, Purpose::Claim(step), call, out);
    }

    pub(super) fn on_claim_answer(
        &mut self,
        now: Time,
        step: Step,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        self.claims.in_flight.remove(step.seat());
        let recent = |_: &Seat, at: &mut Time| now.since(*at) < REPORT_TTL;
        self.claims.reported.retain(recent);
        if answer == Answer::Lost {
            let seat = step.seat().clone();
            return self.retry_later(now, seat, Span::from_ms(200), Span::from_ms(600));
        }
        match (step, answer) {
            (Step::ReadSeat(seat), Answer::Value(entry)) => {
                self.on_seat_read(now, seat, entry, out)
            }
            (Step::ReadAlive(found), Answer::Value(entry)) => {
                self.on_alive_read(now, found, entry, out)
            }
            (Step::ReadNode(found), Answer::Value(entry)) => {
                self.on_owner_node_read(now, found, entry, out)
            }
            (Step::Write(claim), Answer::Swapped(_)) => self.on_claimed(now, claim),
            (Step::Write(claim), Answer::Conflict(_)) => {
                self.claims.uncertain_writes.remove(&claim.seat);
                self.retry_later(now, claim.seat, Span::from_ms(50), Span::from_ms(150));
            }
            (step, _) => {
                let seat = step.seat().clone();
                self.retry_later(now, seat, Span::from_secs(2), Span::from_secs(4));
            }
        }
    }

    /// Notes that another node asked this one about a seat because the owner it
    /// knew did not answer. A read of the store follows, but not for every such
    /// report.
    pub fn note_unreachable_owner(&mut self, now: Time, seat: &Seat) {
        if !self.held.contains_key(seat) && !self.draining {
            self.claims.reported.insert(seat.clone(), now);
            if let Some(due) = self.claims.next_attempt.get_mut(seat)
                && *due > now + REPORT_TTL + REPORT_TTL
            {
                *due = now;
            }
        }
    }

    fn retry_later(&mut self, now: Time, seat: Seat, low: Span, high: Span) {
        let at = now + self.jitter(low, high);
        self.claims.next_attempt.insert(seat, at);
    }

    /// Leaves a record alone from which no claim can follow. An owner that it hides
    /// may still hold the seat, so it must not be replaced.
    fn retry_unusable(&mut self, now: Time, seat: Seat) {
        self.retry_later(now, seat, Span::from_secs(20), Span::from_secs(30));
    }

    fn on_seat_read(&mut self, now: Time, seat: Seat, entry: Option<Entry>, out: &mut Vec<Action>) {
        self.claims.uncertain_writes.remove(&seat);
        let Some(lease) = self
            .own_leases
            .live_short_lease(now)
            .filter(|_| !self.draining)
        else {
            return;
        };
        let Some(entry) = entry else {
            let claim = Claim {
                seat,
                expect: NO_REVISION,
                epoch: Epoch(2),
                lease,
                write_id: self.next_write_id(),
                continued_epoch: None,
                previous_owner: None,
            };
            return self.start_step(now, Step::Write(claim), out);
        };
        let Some(record) = decode::<SeatRecord>(&entry) else {
            return self.retry_unusable(now, seat);
        };
        self.forget_seat_of_others(&seat, &record.owner);
        let found = SeatRead {
            seat,
            revision: entry.revision,
            record,
            read_at: now,
        };
        match found.record.owner == self.local {
            true => self.on_own_seat_read(now, found, lease, out),
            false => self.on_foreign_seat_read(now, found, lease, out),
        }
    }

    /// The store names this incarnation as owner. Either the answer to its
    /// write was lost, or its lease has expired since and it acquires the seat
    /// anew.
    fn on_own_seat_read(
        &mut self,
        now: Time,
        found: SeatRead,
        lease: Lease,
        out: &mut Vec<Action>,
    ) {
        if now < self.claims.own_records_barred_until {
            return self.retry_later(now, found.seat, Span::from_secs(5), Span::from_secs(10));
        }
        let mut claim = Claim {
            expect: found.revision,
            epoch: found.record.epoch,
            lease,
            write_id: found.record.write_id,
            continued_epoch: None,
            previous_owner: None,
            seat: found.seat,
        };
        if self.claims.last_writes.get(&claim.seat) == Some(&(claim.write_id, lease)) {
            return self.on_claimed(now, claim);
        }
        // An owner that held the seat without interruption keeps its state.
        let right = self.ownership(now, &claim.seat).map(|right| right.epoch);
        claim.continued_epoch = right.filter(|epoch| *epoch == claim.epoch);
        let Some(epoch) = claim.epoch.after_claim() else {
            return self.retry_unusable(now, claim.seat);
        };
        claim.epoch = epoch;
        claim.write_id = self.next_write_id();
        self.start_step(now, Step::Write(claim), out);
    }

    fn next_write_id(&mut self) -> u64 {
        self.claims.last_write_id += 1;
        self.claims.last_write_id
    }

    fn on_foreign_seat_read(
        &mut self,
        now: Time,
        found: SeatRead,
        lease: Lease,
        out: &mut Vec<Action>,
    ) {
        let owner = found.record.owner.clone();
        self.owner_hints
            .insert(found.seat.clone(), owner.instance.clone());
        let epoch = found.record.epoch;
        if !self.has_taken_over_seat(now, &owner, &found.seat, epoch) {
            let has_ended =
                self.has_bound_seat_ended(now, &owner, &found.seat, epoch, found.read_at);
            let step = if has_ended {
                Step::ReadNode
            } else {
                Step::ReadAlive
            };
            return self.start_step(now, step(found), out);
        }
        let own = self.held.get(&found.seat).map(|held| held.epoch);
        let Some(epoch) = own.or(found.record.epoch.after_claim()) else {
            return self.retry_unusable(now, found.seat);
        };
        let claim = Claim {
            seat: found.seat,
            expect: found.revision,
            epoch,
            lease,
            write_id: self.next_write_id(),
            continued_epoch: None,
            previous_owner: Some(owner),
        };
        self.start_step(now, Step::Write(claim), out);
    }

    fn on_alive_read(
        &mut self,
        now: Time,
        found: SeatRead,
        entry: Option<Entry>,
        out: &mut Vec<Action>,
    ) {
        match entry {
            None => self.start_step(now, Step::ReadNode(found), out),
            Some(_) => self.on_owner_alive(now, found),
        }
    }

    /// The owner is alive. One check answers for all seats of an owner that
    /// this node is the successor of, and the longer such an owner is silent
    /// though alive, the less often it is checked.
    fn on_owner_alive(&mut self, now: Time, found: SeatRead) {
        let owner_state = self.owner_seats(now, &found.record.owner);
        let Some((seats, silent)) =
            owner_state.filter(|(_, silent)| *silent > OWNER_SILENCE_THRESHOLD)
        else {
            let contested = self.claims.reported.contains_key(&found.seat);
            let (low, high) = if contested {
                (700, 1400)
            } else {
                (20_000, 30_000)
            };
            return self.retry_later(now, found.seat, Span::from_ms(low), Span::from_ms(high));
        };
        let low = silent
            .scale(0.1)
            .clamp(Span::from_ms(150), Span::from_secs(4));
        let at = now + self.jitter(low, low + low);
        for seat in seats {
            self.claims.next_attempt.insert(seat, at);
        }
        self.claims.next_attempt.insert(found.seat, at);
    }

    fn on_owner_node_read(
        &mut self,
        now: Time,
        found: SeatRead,
        entry: Option<Entry>,
        out: &mut Vec<Action>,
    ) {
        let node = entry.as_ref().and_then(decode::<NodeRecord>);
        let named = node.as_ref().and_then(|node| node.successor.as_ref());
        let mine = named == Some(&self.local.instance);
        if entry.is_some() && !mine {
            return self.retry_later(now, found.seat, Span::from_secs(1), Span::from_secs(2));
        }
        let owner = found.record.owner.clone();
        if mine && self.is_bound_by_promise(now, &owner, found.read_at) {
            return self.retry_later(now, found.seat, Span::from_ms(100), Span::from_ms(200));
        }
        let Some(lease) = self
            .own_leases
            .live_short_lease(now)
            .filter(|_| !self.draining)
        else {
            return;
        };
        let Some(epoch) = found.record.epoch.after_claim() else {
            return self.retry_unusable(now, found.seat);
        };
        let claim = Claim {
            seat: found.seat,
            expect: found.revision,
            epoch,
            lease,
            write_id: self.next_write_id(),
            continued_epoch: None,
            previous_owner: Some(owner),
        };
        self.start_step(now, Step::Write(claim), out);
    }

    /// Ignores late answers to earlier writes: a later write, with another
    /// number, has been sent since.
    fn on_claimed(&mut self, now: Time, claim: Claim) {
        if self.claims.last_writes.get(&claim.seat) != Some(&(claim.write_id, claim.lease)) {
            return;
        }
        self.claims.uncertain_writes.remove(&claim.seat);
        self.claims.last_writes.remove(&claim.seat);
        self.claims.next_attempt.remove(&claim.seat);
        if let Some(previous_owner) = &claim.previous_owner {
            self.remove_owner_seat(previous_owner, &claim.seat);
        }
        self.owner_hints.remove(&claim.seat);
        // The ownership may have expired while the write was in flight.
        let still = self.ownership(now, &claim.seat).map(|right| right.epoch);
        let continued_epoch = claim
            .continued_epoch
            .filter(|_| still == claim.continued_epoch);
        let before = self.held.get(&claim.seat);
        let same = |held: &&HeldSeat| held.epoch == claim.epoch || continued_epoch.is_some();
        let since = before.filter(same).map_or(now, |held| held.since);
        let held = HeldSeat {
            epoch: claim.epoch,
            since,
            basis: Basis::ShortLease(claim.lease),
            expiry_cap: Time::NEVER,
            continued_epoch,
        };
        self.held.insert(claim.seat, held);
    }
}

impl Step {
    fn seat(&self) -> &Seat {
        match self {
            Self::ReadSeat(seat) => seat,
            Self::ReadAlive(found) | Self::ReadNode(found) => &found.seat,
            Self::Write(claim) => &claim.seat,
        }
    }
}
