//! The successor's side of succession: promising to keep still, and taking
//! over when the owner can no longer live by what was promised.

use super::{
    Accord,
    Action,
    Basis,
    Epoch,
    Extend,
    Held,
    Message,
    Options,
    Party,
    Seat,
    SeatManager,
    Standing,
    State, //
};
use crate::clock::{
    Span,
    Time, //
};

/// Silence of an owner after which its successor asks the store.
const SILENCE: Span = Span::from_ms(1200);

/// What a successor knows of an owner.
#[derive(Clone, Debug)]
pub(super) struct Ward {
    state: State,
    sequence: u64,
    last: Time,
    /// When the last promise was given, and until when it lasts.
    promised: Option<Time>,
    promise_end: Time,
    short_end: Time,
    /// Until when it may go on alone.
    solo_end: Option<Time>,
    seats: Vec<(Seat, Epoch)>,
    /// An earlier life of this successor may have taken over, or this one has
    /// taken seats in the store: no promise until the owner is calm again.
    bare: bool,
    /// Taken over without the store.
    solo: bool,
}

impl Ward {
    fn new() -> Self {
        Self {
            state: State::Calm,
            sequence: 0,
            last: Time::ZERO,
            promised: None,
            promise_end: Time::ZERO,
            short_end: Time::ZERO,
            solo_end: None,
            seats: Vec::new(),
            bare: true,
            solo: false,
        }
    }

    fn hear(&mut self, now: Time, extend: &Extend, margin: Span, solo: Span) {
        self.sequence = extend.sequence;
        self.state = extend.state;
        self.last = now;
        self.short_end = now + extend.short + margin;
        // The owner counted its long lease from when it had heard this clock
        // stand at `heard`, so this never lasts longer than the store's count,
        // however long the message was under way.
        let heard = extend.heard.map(Time::from_ms);
        self.solo_end = heard.map(|at| at + extend.long.min(solo));
        self.seats.clone_from(&extend.seats);
    }

    /// Whether it has taken over without the store and its time is not over.
    fn is_alone(&self, now: Time) -> bool {
        self.solo && self.solo_end.is_some_and(|end| now < end)
    }

    /// Whether the owner's right has certainly ended, as far as this successor
    /// promised and was told.
    fn is_over(&self, now: Time) -> bool {
        match self.state {
            State::Over => true,
            State::Frozen => now > self.promise_end && now > self.short_end,
            State::Calm | State::Bound | State::Thawing => false,
        }
    }
}

impl SeatManager {
    pub(super) fn extend(&mut self, now: Time, extend: Extend, out: &mut Vec<Action>) {
        let Options {
            clock_margin: margin,
            promise_ttl: promise,
            takeover_limit: solo,
            ..
        } = self.setting;
        let claiming = self.claims.is_against(&extend.owner);
        let draining = self.draining;
        let ward = self
            .wards
            .entry(extend.owner.clone())
            .or_insert_with(Ward::new);
        if extend.sequence <= ward.sequence {
            return;
        }
        let mut standing = Standing::Bare;
        if ward.is_alone(now) {
            standing = Standing::Taken;
            ward.sequence = extend.sequence;
            ward.last = now;
        } else {
            ward.hear(now, &extend, margin, solo);
            // While an own write against this owner may be under way, there is
            // no promise: it could take effect afterwards.
            if !ward.bare && !claiming && !draining && extend.state != State::Over {
                standing = Standing::Promise;
                ward.promised = Some(now);
                ward.promise_end = now + promise + margin;
            }
            if extend.state == State::Calm && !claiming {
                ward.bare = false;
            }
        }
        let accord = Accord {
            from: self.me.instance.clone(),
            life: extend.owner.life,
            sequence: extend.sequence,
            state: extend.state,
            standing,
            clock: now.as_ms(),
        };
        out.push(Action::Send(extend.owner.instance, Message::Accord(accord)));
    }

    /// Takes over without the store what can have no other owner.
    pub(super) fn ward_tick(&mut self, now: Time) {
        if self.draining {
            return;
        }
        for (owner, ward) in &mut self.wards {
            let until = ward.solo_end.filter(|until| now < *until);
            let (false, Some(until)) = (ward.solo, until) else {
                continue;
            };
            if ward.bare || !ward.is_over(now) || self.claims.is_against(owner) {
                continue;
            }
            ward.solo = true;
            for (seat, epoch) in &ward.seats {
                let held = Held {
                    epoch: Epoch(epoch.0 + 1),
                    since: now,
                    basis: Basis::Solo(until),
                    cap: until,
                    follows: None,
                };
                // The owner may have lost a seat to this node before.
                let newer = self.held.get(seat).is_none_or(|own| own.epoch < held.epoch);
                if newer {
                    self.held.insert(seat.clone(), held);
                }
            }
        }
        let keep = self.setting.long_ttl;
        self.wards
            .retain(|_, ward| !ward.seats.is_empty() || now.since(ward.last) < keep.scale(0.01));
    }

    /// Seats of owners that have fallen silent.
    pub(super) fn orphans(&self, now: Time) -> Vec<Seat> {
        let silent = |ward: &&Ward| now.since(ward.last) > SILENCE || ward.is_alone(now);
        let wards = self.wards.values().filter(silent);
        wards
            .flat_map(|ward| ward.seats.iter().map(|(seat, _)| seat.clone()))
            .collect()
    }

    /// Whether this successor has the owner's place without the store. Once its
    /// time alone is over, the owner may have come back through the store.
    /// What the owner wrote in the store afterwards, of other seats that it took
    /// over itself, is not meant.
    pub(super) fn succeeds(&self, now: Time, owner: &Party, seat: &Seat, epoch: Epoch) -> bool {
        let listed = |(name, number): &(Seat, Epoch)| name == seat && *number == epoch;
        let ward = self.wards.get(owner);
        ward.is_some_and(|ward| ward.is_alone(now) && ward.seats.iter().any(listed))
    }

    /// Whether a promise, or one of an earlier life, forbids to take over from
    /// this owner on what was read of it at `read`.
    pub(super) fn is_bound(&self, now: Time, owner: &Party, read: Time) -> bool {
        let Some(ward) = self.wards.get(owner) else {
            let born = self.born.unwrap_or(now);
            return now < born + self.setting.promise_ttl + self.setting.short_ttl;
        };
        let promised = ward.promised.is_some_and(|promised| promised >= read);
        promised || now <= ward.promise_end
    }

    /// Notes that a write against the owner is about to be sent. Should its
    /// answer be lost, it may take effect much later, so there is no promise
    /// until the owner has written its seats anew and says that it is calm.
    pub(super) fn ward_doubt(&mut self, owner: &Party) {
        if let Some(ward) = self.wards.get_mut(owner) {
            ward.bare = true;
        }
    }

    /// Notes that a seat of the owner is this node's now, or another's.
    pub(super) fn ward_lost(&mut self, owner: &Party, seat: &Seat) {
        if let Some(ward) = self.wards.get_mut(owner) {
            ward.bare = true;
            ward.seats.retain(|(name, _)| name != seat);
        }
    }

    /// Whether this node is the successor of the seat's owner.
    pub fn is_successor_for(&self, seat: &Seat) -> bool {
        let of = |ward: &Ward| ward.seats.iter().any(|(name, _)| name == seat);
        self.wards.values().any(of)
    }

    /// Whether the owner's seat held no longer than promises, and they are over. An
    /// owner that writes the seat anew gives it another number.
    pub(super) fn is_free(
        &self,
        now: Time,
        owner: &Party,
        seat: &Seat,
        epoch: Epoch,
        read: Time,
    ) -> bool {
        let listed = |(name, number): &(Seat, Epoch)| name == seat && *number == epoch;
        let bound = |ward: &&Ward| matches!(ward.state, State::Bound | State::Frozen);
        let ward = self.wards.get(owner).filter(bound);
        ward.is_some_and(|ward| ward.seats.iter().any(listed) && now > ward.short_end)
            && !self.is_bound(now, owner, read)
    }

    /// Seats of the owner, and how long it has been silent.
    pub(super) fn ward_seats(&self, now: Time, owner: &Party) -> Option<(Vec<Seat>, Span)> {
        let ward = self.wards.get(owner)?;
        let seats = ward.seats.iter().map(|(seat, _)| seat.clone()).collect();
        Some((seats, now.since(ward.last)))
    }

    /// Forgets a seat in wards whose owners have lost it.
    pub(super) fn ward_forget(&mut self, seat: &Seat, owner: &Party) {
        for (party, ward) in &mut self.wards {
            if party != owner {
                ward.seats.retain(|(name, _)| name != seat);
            }
        }
    }
}
