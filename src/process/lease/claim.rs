//! Taking a seat through the store.
//!
//! The seat's record is read first, then the owner's sign of life, then the
//! owner's own record, and last the seat is swapped on the revision read first.
//! The order matters: an owner that was found without a sign of life can only
//! come back by swapping the seat itself, which makes the last swap fail.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Action,
    Basis,
    Epoch,
    Held,
    NONE,
    Node,
    Party,
    Purpose,
    Record,
    Seat,
    SeatManager,
    alive_key,
    is_gone,
    node_key,
    read,
    seat_key,
    write, //
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

const SLOW: Span = Span::from_ms(1500);
/// Silence of an owner from which on its successor looks often.
const SILENT: Span = Span::from_ms(1200);
/// Seats that are looked at together, at most.
const AT_ONCE: usize = 32;
/// How long a question about a seat keeps this node interested in it.
const CONTEST: Span = Span::from_secs(1);

/// What was read of a seat that has another owner.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Found {
    seat: Seat,
    revision: Revision,
    record: Record,
    begun: Time,
}

/// A write that makes a seat this node's.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    seat: Seat,
    expect: Revision,
    epoch: Epoch,
    lease: Lease,
    number: u64,
    follows: Option<Epoch>,
    victim: Option<Party>,
}

/// One call to take a seat.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Step {
    /// Read the seat's record.
    Read(Seat),
    /// Read the owner's sign of life.
    Alive(Found),
    /// Read the owner's record.
    Node(Found),
    /// Swap the seat's record.
    Claim(Claim),
}

/// The seats that this node tries to take.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    /// Until when this life may not touch the records that name it.
    pub(super) barred: Time,
    /// Seats whose call is under way, and until when it is waited for.
    busy: BTreeMap<Seat, Time>,
    due: BTreeMap<Seat, Time>,
    /// Seats that others asked this node about, as their owner did not answer.
    contested: BTreeMap<Seat, Time>,
    /// Writes that may be under way, or may yet take effect, against these owners.
    unsure: BTreeMap<Seat, Party>,
    /// The latest write of each seat, to know it again when its answer is lost.
    sent: BTreeMap<Seat, (u64, Lease)>,
    next: u64,
}

impl Claims {
    /// Whether anybody asks about seats here.
    pub(super) fn is_contested(&self) -> bool {
        !self.contested.is_empty()
    }

    /// Whether a write against this owner may be under way.
    pub(super) fn is_against(&self, owner: &Party) -> bool {
        self.unsure.values().any(|victim| victim == owner)
    }
}

impl SeatManager {
    pub(super) fn claim_tick(
        &mut self,
        now: Time,
        members: &Table,
        wanted: &[Seat],
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.base.live(now) else {
            return;
        };
        if self.draining || self.is_frozen() {
            return;
        }
        self.claims.busy.retain(|_, until| now < *until);
        let room = AT_ONCE.saturating_sub(self.claims.busy.len());
        for seat in self.due_seats(now, lease, members, wanted, room) {
            self.claim_step(now, Step::Read(seat), out);
        }
    }

    fn due_seats(
        &mut self,
        now: Time,
        lease: Lease,
        members: &Table,
        wanted: &[Seat],
        room: usize,
    ) -> Vec<Seat> {
        let orphans = self.orphans(now);
        let mine = |seat: &Seat| {
            self.held
                .get(seat)
                .is_some_and(|held| held.basis == Basis::Short(lease) && held.cap == Time::NEVER)
        };
        let well = |seat: &Seat| {
            let owner = self.hints.get(seat);
            owner.is_some_and(|owner| *owner != self.me.instance && !is_gone(members, owner))
        };
        let due = |seat: &Seat| {
            let at = self.claims.due.get(seat).copied().unwrap_or_default();
            now >= at && !self.claims.busy.contains_key(seat)
        };
        let solo = self.held.keys().filter(|seat| !mine(seat));
        let contested = self.claims.contested.keys();
        let unsure = self.claims.unsure.keys();
        let seats = unsure.chain(orphans.iter()).chain(solo);
        let seats = seats.chain(contested).chain(wanted).filter(|seat| {
            let asked = orphans.contains(seat) || self.claims.contested.contains_key(*seat);
            let worth = asked || !well(seat);
            !mine(seat) && due(seat) && worth
        });
        let unique: BTreeSet<&Seat> = seats.collect();
        unique.into_iter().take(room).cloned().collect()
    }

    fn claim_step(&mut self, now: Time, step: Step, out: &mut Vec<Action>) {
        let get = |key: String| Call::Get { key };
        let call = match &step {
            Step::Read(seat) => get(seat_key(seat)),
            Step::Alive(found) => get(alive_key(&found.record.owner)),
            Step::Node(found) => get(node_key(&found.record.owner)),
            Step::Claim(claim) => Call::Swap {
                key: seat_key(&claim.seat),
                expect: claim.expect,
                value: write(&Record {
                    owner: self.me.clone(),
                    epoch: claim.epoch,
                    claim: claim.number,
                }),
                lease: None,
            },
        };
        // Once the write may have taken effect, the store lets others have the
        // seat as soon as the short lease ends: the time alone counts no more.
        // Else a node whose answer is lost would go on beside the next owner.
        if let Step::Claim(claim) = &step {
            let sent = (claim.number, claim.lease);
            self.claims.sent.insert(claim.seat.clone(), sent);
            if let Some(held) = self.held.get_mut(&claim.seat) {
                held.basis = Basis::Short(claim.lease);
            }
        }
        if let Step::Claim(claim) = &step
            && let Some(victim) = &claim.victim
        {
            self.claims
                .unsure
                .insert(claim.seat.clone(), victim.clone());
            self.ward_doubt(victim);
        }
        self.claims.busy.insert(step.seat().clone(), now + SLOW);
        self.ask(now, Purpose::Claim(step), call, out);
    }

    pub(super) fn claim_answer(
        &mut self,
        now: Time,
        step: Step,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        self.claims.busy.remove(step.seat());
        let recent = |_: &Seat, at: &mut Time| now.since(*at) < CONTEST;
        self.claims.contested.retain(recent);
        if answer == Answer::Lost {
            let seat = step.seat().clone();
            return self.later(now, seat, Span::from_ms(200), Span::from_ms(600));
        }
        match (step, answer) {
            (Step::Read(seat), Answer::Value(entry)) => self.seat_read(now, seat, entry, out),
            (Step::Alive(found), Answer::Value(entry)) => self.alive_read(now, found, entry, out),
            (Step::Node(found), Answer::Value(entry)) => self.node_found(now, found, entry, out),
            (Step::Claim(claim), Answer::Swapped(_)) => self.gained(now, claim),
            (Step::Claim(claim), Answer::Conflict(_)) => {
                self.claims.unsure.remove(&claim.seat);
                self.later(now, claim.seat, Span::from_ms(50), Span::from_ms(150));
            }
            (step, _) => {
                let seat = step.seat().clone();
                self.later(now, seat, Span::from_secs(2), Span::from_secs(4));
            }
        }
    }

    /// Notes that somebody asks this node for what the seat gives, as the owner
    /// that it knew does not answer. A look at the store follows, though not at
    /// every such question.
    pub fn note_unreachable_owner(&mut self, now: Time, seat: &Seat) {
        if !self.held.contains_key(seat) && !self.draining {
            self.claims.contested.insert(seat.clone(), now);
            if let Some(due) = self.claims.due.get_mut(seat)
                && *due > now + CONTEST + CONTEST
            {
                *due = now;
            }
        }
    }

    fn later(&mut self, now: Time, seat: Seat, low: Span, high: Span) {
        let at = now + self.jitter(low, high);
        self.claims.due.insert(seat, at);
    }

    fn seat_read(&mut self, now: Time, seat: Seat, entry: Option<Entry>, out: &mut Vec<Action>) {
        self.claims.unsure.remove(&seat);
        let Some(lease) = self.base.live(now).filter(|_| !self.draining) else {
            return;
        };
        let Some(entry) = entry else {
            let claim = Claim {
                seat,
                expect: NONE,
                epoch: Epoch(2),
                lease,
                number: self.claim_number(),
                follows: None,
                victim: None,
            };
            return self.claim_step(now, Step::Claim(claim), out);
        };
        let Some(record) = read::<Record>(&entry) else {
            return self.later(now, seat, Span::from_secs(20), Span::from_secs(30));
        };
        self.ward_forget(&seat, &record.owner);
        let found = Found {
            seat,
            revision: entry.revision,
            record,
            begun: now,
        };
        match found.record.owner == self.me {
            true => self.own_read(now, found, lease, out),
            false => self.other_read(now, found, lease, out),
        }
    }

    /// The store names this life. Either the answer to its write was lost, or
    /// its lease had ended since and it takes the seat anew.
    fn own_read(&mut self, now: Time, found: Found, lease: Lease, out: &mut Vec<Action>) {
        if now < self.claims.barred {
            return self.later(now, found.seat, Span::from_secs(5), Span::from_secs(10));
        }
        let mut claim = Claim {
            expect: found.revision,
            epoch: found.record.epoch,
            lease,
            number: found.record.claim,
            follows: None,
            victim: None,
            seat: found.seat,
        };
        if self.claims.sent.get(&claim.seat) == Some(&(claim.number, lease)) {
            return self.gained(now, claim);
        }
        // Whoever held it all the time goes on with what it counted.
        let right = self.ownership(now, &claim.seat).map(|right| right.epoch);
        claim.follows = right.filter(|epoch| *epoch == claim.epoch);
        claim.epoch = Epoch(claim.epoch.0 + 2);
        claim.number = self.claim_number();
        self.claim_step(now, Step::Claim(claim), out);
    }

    fn claim_number(&mut self) -> u64 {
        self.claims.next += 1;
        self.claims.next
    }

    fn other_read(&mut self, now: Time, found: Found, lease: Lease, out: &mut Vec<Action>) {
        let owner = found.record.owner.clone();
        self.hints
            .insert(found.seat.clone(), owner.instance.clone());
        let epoch = found.record.epoch;
        if !self.succeeds(now, &owner, &found.seat, epoch) {
            let free = self.is_free(now, &owner, &found.seat, epoch, found.begun);
            let step = if free { Step::Node } else { Step::Alive };
            return self.claim_step(now, step(found), out);
        }
        let own = self.held.get(&found.seat).map(|held| held.epoch);
        let epoch = own.unwrap_or(Epoch(found.record.epoch.0 + 2));
        let claim = Claim {
            seat: found.seat,
            expect: found.revision,
            epoch,
            lease,
            number: self.claim_number(),
            follows: None,
            victim: Some(owner),
        };
        self.claim_step(now, Step::Claim(claim), out);
    }

    fn alive_read(&mut self, now: Time, found: Found, entry: Option<Entry>, out: &mut Vec<Action>) {
        match entry {
            None => self.claim_step(now, Step::Node(found), out),
            Some(_) => self.spare(now, found),
        }
    }

    /// The owner lives. One look at it answers for all seats of a ward, and the
    /// longer a ward is silent though it lives, the fewer looks it is worth.
    fn spare(&mut self, now: Time, found: Found) {
        let ward = self.ward_seats(now, &found.record.owner);
        let Some((seats, silent)) = ward.filter(|(_, silent)| *silent > SILENT) else {
            let contested = self.claims.contested.contains_key(&found.seat);
            let (low, high) = if contested {
                (700, 1400)
            } else {
                (20_000, 30_000)
            };
            return self.later(now, found.seat, Span::from_ms(low), Span::from_ms(high));
        };
        let low = silent
            .scale(0.1)
            .clamp(Span::from_ms(150), Span::from_secs(4));
        let at = now + self.jitter(low, low + low);
        for seat in seats {
            self.claims.due.insert(seat, at);
        }
        self.claims.due.insert(found.seat, at);
    }

    fn node_found(&mut self, now: Time, found: Found, entry: Option<Entry>, out: &mut Vec<Action>) {
        let node = entry.as_ref().and_then(read::<Node>);
        let named = node.as_ref().and_then(|node| node.successor.as_ref());
        let mine = named == Some(&self.me.instance);
        if entry.is_some() && !mine {
            return self.later(now, found.seat, Span::from_secs(1), Span::from_secs(2));
        }
        let owner = found.record.owner.clone();
        if mine && self.is_bound(now, &owner, found.begun) {
            return self.later(now, found.seat, Span::from_ms(100), Span::from_ms(200));
        }
        let Some(lease) = self.base.live(now).filter(|_| !self.draining) else {
            return;
        };
        let claim = Claim {
            seat: found.seat,
            expect: found.revision,
            epoch: Epoch(found.record.epoch.0 + 2),
            lease,
            number: self.claim_number(),
            follows: None,
            victim: Some(owner),
        };
        self.claim_step(now, Step::Claim(claim), out);
    }

    /// A late answer to an earlier write is no news: a later one has been sent
    /// since, and has another number.
    fn gained(&mut self, now: Time, claim: Claim) {
        if self.claims.sent.get(&claim.seat) != Some(&(claim.number, claim.lease)) {
            return;
        }
        self.claims.unsure.remove(&claim.seat);
        self.claims.sent.remove(&claim.seat);
        self.claims.due.remove(&claim.seat);
        if let Some(victim) = &claim.victim {
            self.ward_lost(victim, &claim.seat);
        }
        self.hints.remove(&claim.seat);
        // The right may have ended while the write was under way.
        let still = self.ownership(now, &claim.seat).map(|right| right.epoch);
        let follows = claim.follows.filter(|_| still == claim.follows);
        let before = self.held.get(&claim.seat);
        let same = |held: &&Held| held.epoch == claim.epoch || follows.is_some();
        let since = before.filter(same).map_or(now, |held| held.since);
        let held = Held {
            epoch: claim.epoch,
            since,
            basis: Basis::Short(claim.lease),
            cap: Time::NEVER,
            follows,
        };
        self.held.insert(claim.seat, held);
    }
}

impl Step {
    fn seat(&self) -> &Seat {
        match self {
            Self::Read(seat) => seat,
            Self::Alive(found) | Self::Node(found) => &found.seat,
            Self::Claim(claim) => &claim.seat,
        }
    }
}
