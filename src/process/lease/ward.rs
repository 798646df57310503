//! The successor's side of succession: promising not to take an owner's seats,
//! and taking them over once the promises and the owner's short lease have
//! expired.

use super::{
    Action,
    Basis,
    Epoch,
    Extend,
    ExtendReply,
    HeldSeat,
    Message,
    NodeLife,
    Options,
    PromiseStatus,
    Seat,
    SeatManager,
    State, //
};
use crate::clock::{
    Span,
    Time, //
};

/// Silence of an owner after which its successor checks the store.
const OWNER_SILENCE_THRESHOLD: Span = Span::from_ms(1200);

/// What a successor knows of an owner.
#[derive(Clone, Debug)]
pub(super) struct OwnerState {
    state: State,
    sequence: u64,
    last_heard: Time,
    /// When the last promise was given; `promise_end` is when it expires.
    promised_at: Option<Time>,
    promise_end: Time,
    short_lease_end: Time,
    /// Until when a takeover without the store may last.
    takeover_end: Option<Time>,
    seats: Vec<(Seat, Epoch)>,
    /// Set when an earlier incarnation of this successor may have taken over,
    /// or this one has taken seats in the store: no promise until the owner
    /// reports [`State::Normal`].
    promise_barred: bool,
    /// This node has taken over without the store.
    taken_over: bool,
}

impl OwnerState {
    fn new() -> Self {
        Self {
            state: State::Normal,
            sequence: 0,
            last_heard: Time::ZERO,
            promised_at: None,
            promise_end: Time::ZERO,
            short_lease_end: Time::ZERO,
            takeover_end: None,
            seats: Vec::new(),
            promise_barred: true,
            taken_over: false,
        }
    }

    fn update(&mut self, now: Time, extend: &Extend, clock_margin: Span, takeover_limit: Span) {
        self.sequence = extend.sequence;
        self.state = extend.state;
        self.last_heard = now;
        self.short_lease_end = now + extend.short_left + clock_margin;
        // The owner counted its long lease from when it received the clock
        // reading `echoed_clock`, so this ends no later than the lease in the
        // store, however long the message was in transit.
        let echoed = extend.echoed_clock.map(Time::from_ms);
        let echoed = echoed.filter(|at| *at <= now);
        self.takeover_end = echoed.map(|at| at + extend.long_left.min(takeover_limit));
        self.seats.clone_from(&extend.seats);
    }

    /// Whether a takeover without the store is in effect.
    fn is_takeover_active(&self, now: Time) -> bool {
        self.taken_over && self.takeover_end.is_some_and(|end| now < end)
    }

    /// Whether the owner's seats have certainly expired, given what this
    /// successor promised and was told.
    fn has_ended(&self, now: Time) -> bool {
        match self.state {
            State::Released => true,
            State::Frozen => now > self.promise_end && now > self.short_lease_end,
            State::Normal | State::Bound | State::Thawing => false,
        }
    }
}

impl SeatManager {
    pub(super) fn on_extend(&mut self, now: Time, extend: Extend, out: &mut Vec<Action>) {
        let Options {
            clock_margin,
            promise_ttl,
            takeover_limit,
            ..
        } = self.options;
        let claiming = self.claims.may_write_against(&extend.owner);
        let draining = self.draining;
        let owner_state = self
            .owners
            .entry(extend.owner.clone())
            .or_insert_with(OwnerState::new);
        if extend.sequence <= owner_state.sequence {
            return;
        }
        let mut promise_status = PromiseStatus::NoPromise;
        if owner_state.is_takeover_active(now) {
            promise_status = PromiseStatus::TakenOver;
            owner_state.sequence = extend.sequence;
            owner_state.last_heard = now;
        } else {
            owner_state.update(now, &extend, clock_margin, takeover_limit);
            // No promise while a write of this node against the owner may be in
            // flight: it could take effect afterwards.
            if !owner_state.promise_barred
                && !claiming
                && !draining
                && extend.state != State::Released
            {
                promise_status = PromiseStatus::Promise;
                owner_state.promised_at = Some(now);
                owner_state.promise_end = now + promise_ttl + clock_margin;
            }
            if extend.state == State::Normal && !claiming {
                owner_state.promise_barred = false;
            }
        }
        let reply = ExtendReply {
            from: self.local.instance.clone(),
            life: extend.owner.life,
            sequence: extend.sequence,
            state: extend.state,
            promise_status,
            clock: now.as_ms(),
        };
        out.push(Action::Send(extend.owner.instance, Message::Reply(reply)));
    }

    /// Takes over, without the store, seats that can have no other owner.
    pub(super) fn owners_tick(&mut self, now: Time) {
        if self.draining {
            return;
        }
        for (owner, owner_state) in &mut self.owners {
            let until = owner_state.takeover_end.filter(|until| now < *until);
            let (false, Some(until)) = (owner_state.taken_over, until) else {
                continue;
            };
            if owner_state.promise_barred
                || !owner_state.has_ended(now)
                || self.claims.may_write_against(owner)
            {
                continue;
            }
            owner_state.taken_over = true;
            for (seat, epoch) in &owner_state.seats {
                let Some(epoch) = epoch.after_takeover() else {
                    continue;
                };
                let held = HeldSeat {
                    epoch,
                    since: now,
                    basis: Basis::Takeover(until),
                    expiry_cap: until,
                    continued_epoch: None,
                };
                // The owner may have lost a seat to this node before.
                let newer = self.held.get(seat).is_none_or(|own| own.epoch < held.epoch);
                if newer {
                    self.held.insert(seat.clone(), held);
                }
            }
        }
        let keep = self.options.long_ttl;
        self.owners.retain(|_, owner_state| {
            !owner_state.seats.is_empty() || now.since(owner_state.last_heard) < keep.scale(0.01)
        });
    }

    /// Seats of owners that are silent or have been taken over.
    pub(super) fn seats_of_silent_owners(&self, now: Time) -> Vec<Seat> {
        let silent = |owner_state: &&OwnerState| {
            now.since(owner_state.last_heard) > OWNER_SILENCE_THRESHOLD
                || owner_state.is_takeover_active(now)
        };
        let owner_states = self.owners.values().filter(silent);
        owner_states
            .flat_map(|owner_state| owner_state.seats.iter().map(|(seat, _)| seat.clone()))
            .collect()
    }

    /// Whether this node has taken over the seat without the store. Once the
    /// takeover has ended, the owner may have come back through the store. Only
    /// listed seats and epochs count, not seats that the owner itself took over
    /// and wrote to the store afterwards.
    pub(super) fn has_taken_over_seat(
        &self,
        now: Time,
        owner: &NodeLife,
        seat: &Seat,
        epoch: Epoch,
    ) -> bool {
        let listed = |(listed_seat, listed_epoch): &(Seat, Epoch)| {
            listed_seat == seat && *listed_epoch == epoch
        };
        let owner_state = self.owners.get(owner);
        owner_state.is_some_and(|owner_state| {
            owner_state.is_takeover_active(now) && owner_state.seats.iter().any(listed)
        })
    }

    /// Whether a promise, possibly one of an earlier incarnation, forbids a
    /// takeover from this owner that is based on a store read at `read_at`.
    pub(super) fn is_bound_by_promise(&self, now: Time, owner: &NodeLife, read_at: Time) -> bool {
        let Some(owner_state) = self.owners.get(owner) else {
            let started_at = self.started_at.unwrap_or(now);
            return now < started_at + self.options.promise_ttl + self.options.short_ttl;
        };
        let promised = owner_state
            .promised_at
            .is_some_and(|promised| promised >= read_at);
        promised || now <= owner_state.promise_end
    }

    /// Notes that a write against the owner is about to be sent. If its answer
    /// is lost it may take effect much later, so there is no promise until the
    /// owner has written its seats anew and reports [`State::Normal`].
    pub(super) fn bar_promises(&mut self, owner: &NodeLife) {
        if let Some(owner_state) = self.owners.get_mut(owner) {
            owner_state.promise_barred = true;
        }
    }

    /// Notes that the owner no longer has the seat.
    pub(super) fn remove_owner_seat(&mut self, owner: &NodeLife, seat: &Seat) {
        if let Some(owner_state) = self.owners.get_mut(owner) {
            owner_state.promise_barred = true;
            owner_state
                .seats
                .retain(|(listed_seat, _)| listed_seat != seat);
        }
    }

    /// Whether this node is the successor of the seat's owner.
    pub fn is_successor_for(&self, seat: &Seat) -> bool {
        let has_seat = |owner_state: &OwnerState| {
            owner_state
                .seats
                .iter()
                .any(|(listed_seat, _)| listed_seat == seat)
        };
        self.owners.values().any(has_seat)
    }

    /// Whether the owner's seat depended on promises and these have expired. An
    /// owner that writes the seat anew gives it another epoch.
    pub(super) fn has_bound_seat_ended(
        &self,
        now: Time,
        owner: &NodeLife,
        seat: &Seat,
        epoch: Epoch,
        read_at: Time,
    ) -> bool {
        let listed = |(listed_seat, listed_epoch): &(Seat, Epoch)| {
            listed_seat == seat && *listed_epoch == epoch
        };
        let depends_on_promises =
            |owner_state: &&OwnerState| matches!(owner_state.state, State::Bound | State::Frozen);
        let owner_state = self.owners.get(owner).filter(depends_on_promises);
        owner_state.is_some_and(|owner_state| {
            owner_state.seats.iter().any(listed) && now > owner_state.short_lease_end
        }) && !self.is_bound_by_promise(now, owner, read_at)
    }

    /// Seats of the owner, and how long it has been silent.
    pub(super) fn owner_seats(&self, now: Time, owner: &NodeLife) -> Option<(Vec<Seat>, Span)> {
        let owner_state = self.owners.get(owner)?;
        let seats = owner_state
            .seats
            .iter()
            .map(|(seat, _)| seat.clone())
            .collect();
        Some((seats, now.since(owner_state.last_heard)))
    }

    /// Removes the seat from all other owners, which have lost it.
    pub(super) fn forget_seat_of_others(&mut self, seat: &Seat, owner: &NodeLife) {
        for (other, owner_state) in &mut self.owners {
            if other != owner {
                owner_state
                    .seats
                    .retain(|(listed_seat, _)| listed_seat != seat);
            }
        }
    }
}
