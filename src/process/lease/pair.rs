//! The owner's side of succession: keeping seats on the successor's promises
//! while the store is unreachable.

use std::collections::BTreeMap;

use super::{
    Action,
    Basis,
    Epoch,
    Extend,
    ExtendReply,
    Message,
    PromiseStatus,
    Seat,
    SeatManager,
    State, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    id::{
        Instance,
        Lease, //
    },
};

/// Time between [`Extend`] messages.
const EXTEND_INTERVAL: Span = Span::from_ms(250);
/// Silence of the store, beyond the renewal interval, after which the owner
/// depends on its successor's promises.
const STORE_SILENCE_THRESHOLD: Span = Span::from_ms(1500);
/// Silence of the successor after which the owner names another.
const SUCCESSOR_SILENCE_LIMIT: Span = Span::from_ms(700);
/// How long a node that was silent is not named again.
const AVOID_DURATION: Span = Span::from_secs(10);
/// Silence of the successor after which the owner does not switch to its
/// promises.
const SUCCESSOR_PRESENT_WITHIN: Span = Span::from_ms(1200);

/// What an owner knows of its successor.
#[derive(Clone, Debug)]
pub(super) struct SuccessorState {
    instance: Instance,
    /// The seats depend on promises alone. This ends only when the successor
    /// has agreed, or can hold nothing any more.
    pub(super) frozen: bool,
    /// The owner's seats expire no later than the successor's promises.
    pub(super) bound: bool,
    /// The successor has acknowledged that the owner's seats are free.
    pub(super) release_acknowledged: bool,
    frozen_lease: Option<Lease>,
    frozen_short_end: Time,
    pub(super) promise_end: Time,
    named_at: Time,
    last_reply: Option<(u64, Time)>,
    /// Sequence number of the last message that reported [`State::Frozen`].
    last_frozen_sequence: u64,
    /// The last answer contained no promise.
    promise_refused: bool,
    sequence: u64,
    sent_at: BTreeMap<u64, Time>,
    next_send: Time,
}

impl SuccessorState {
    fn new(instance: Instance, sequence: u64, named_at: Time) -> Self {
        Self {
            instance,
            frozen: false,
            bound: false,
            release_acknowledged: false,
            frozen_lease: None,
            frozen_short_end: Time::ZERO,
            promise_end: Time::ZERO,
            named_at,
            last_reply: None,
            last_frozen_sequence: 0,
            promise_refused: false,
            sequence,
            sent_at: BTreeMap::new(),
            next_send: Time::ZERO,
        }
    }

    /// Ends the binding when the last promise has expired: the successor may
    /// have begun to take the seats, so they have to be written anew.
    pub(super) fn expire_binding(&mut self, now: Time) {
        if self.bound && now >= self.promise_end {
            self.bound = false;
        }
    }

    /// The successor's instance name.
    pub(super) fn instance(&self) -> &Instance {
        &self.instance
    }

    /// When a seat expires that was written under this short lease, while the
    /// owner is frozen. Renewals no longer count.
    pub(super) fn valid_until(&self, lease: Lease, short: Time) -> Time {
        if self.frozen_lease != Some(lease) {
            return Time::ZERO;
        }
        if self.bound {
            return self.promise_end;
        }
        self.frozen_short_end.min(short).max(self.promise_end)
    }
}

impl SeatManager {
    pub(super) fn successor_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.sync_successor(now);
        self.bind_to_promises(now);
        let Some(successor) = &self.successor_state else {
            return;
        };
        let silent = self.is_store_silent(now);
        // A silent successor would promise nothing, and could not agree to
        // thaw.
        let is_present = successor
            .last_reply
            .is_some_and(|(_, at)| now.since(at) < SUCCESSOR_PRESENT_WITHIN);
        if !successor.frozen
            && silent
            && is_present
            && self.has_seat_under_short_lease()
            && !self.draining
        {
            self.freeze(now);
        }
        self.thaw_without_successor(now);
        let due = self
            .successor_state
            .as_ref()
            .is_some_and(|successor| now >= successor.next_send);
        if due && !self.is_drained() {
            self.send_extend(now, out);
        }
    }

    /// Seats that are valid under the short lease, or would be with the next
    /// promise. An expired seat may have another owner, so the successor must
    /// not be told of it.
    pub(super) fn renewable_seats(&self, now: Time) -> Vec<(Seat, Epoch)> {
        let frozen = self
            .successor_state
            .as_ref()
            .filter(|successor| successor.frozen);
        let lease = frozen.map_or(self.own_leases.live_short_lease(now), |successor| {
            successor.frozen_lease
        });
        let basis = lease.map(Basis::ShortLease);
        let held = self.held.iter();
        held.filter(|(_, held)| Some(held.basis) == basis && held.expiry_cap == Time::NEVER)
            .map(|(seat, held)| (seat.clone(), held.epoch))
            .collect()
    }

    /// Adopts the successor that the store names. This takes nothing from a
    /// former successor that it could still use: the owner was never frozen
    /// under it, or it agreed to thaw.
    fn sync_successor(&mut self, now: Time) {
        if self.is_frozen() || self.draining {
            return;
        }
        let named = self.own_leases.named_successor().cloned();
        let known = self
            .successor_state
            .as_ref()
            .map(|successor| &successor.instance);
        if known != named.as_ref() {
            let sequence = self
                .successor_state
                .as_ref()
                .map_or(0, |successor| successor.sequence);
            self.cap_at_last_promise();
            self.successor_state =
                named.map(|successor| SuccessorState::new(successor, sequence, now));
        }
    }

    /// Limits the seats to the last promise of a successor that is replaced. It
    /// may have read its own name in the store before and may yet write, so its
    /// write must be made to fail by writing the seats anew.
    fn cap_at_last_promise(&mut self) {
        let Some(end) = self
            .successor_state
            .as_ref()
            .filter(|p| p.bound)
            .map(|p| p.promise_end)
        else {
            return;
        };
        for held in self.held.values_mut() {
            if matches!(held.basis, Basis::ShortLease(_)) {
                held.expiry_cap = held.expiry_cap.min(end);
            }
        }
    }

    /// Once a promise is received, seats expire no later than the promises, and
    /// the successor may take over as soon as they have expired.
    fn bind_to_promises(&mut self, now: Time) {
        let half_promise = self.options.promise_ttl.scale(0.5);
        if let Some(successor) = &mut self.successor_state
            && !successor.frozen
            && now + half_promise < successor.promise_end
        {
            successor.bound = true;
        }
    }

    /// The best candidate for successor that has not been silent recently.
    pub(super) fn choose_successor<'a>(
        &mut self,
        now: Time,
        successors: &'a [Instance],
    ) -> Option<&'a Instance> {
        if let Some(successor) = &self.successor_state
            && !successor.frozen
        {
            let heard = successor
                .last_reply
                .map_or(successor.named_at, |(_, at)| at);
            let refused_while_bound = successor.bound && successor.promise_refused;
            if now.since(heard) > SUCCESSOR_SILENCE_LIMIT || refused_while_bound {
                self.avoided_successors
                    .insert(successor.instance.clone(), now + AVOID_DURATION);
            }
        }
        self.avoided_successors.retain(|_, until| now < *until);
        let mut others = successors.iter();
        others.find(|instance| !self.avoided_successors.contains_key(*instance))
    }

    /// Depends on the store alone again when the successor has been silent for
    /// so long that any takeover by it must have ended: a takeover is counted
    /// from the clock reading that it last sent, which precedes the receipt of
    /// that message.
    fn thaw_without_successor(&mut self, now: Time) {
        let takeover_end = self.options.takeover_limit + self.options.clock_margin;
        let live = self.own_leases.live_short_lease(now);
        let Some(successor) = &self.successor_state else {
            return;
        };
        let takeover_ended = successor
            .last_reply
            .is_none_or(|(_, at)| now.since(at) > takeover_end);
        if successor.frozen && takeover_ended && live.is_some() {
            self.thaw(live, PromiseStatus::NoPromise);
        }
    }

    /// Whether the store has been silent for longer than renewals explain.
    ///
    /// Prevents a thaw during a store outage: the short lease stays alive for a
    /// while after the store goes silent. An owner that took this for recovery
    /// and asked its successor to thaw lost its seats when the lease expired,
    /// without a successor that knew of it. Only an answer from the store
    /// allows a thaw.
    fn is_store_silent(&self, now: Time) -> bool {
        self.own_leases.store_silence(now) > STORE_SILENCE_THRESHOLD + self.options.renew_interval
    }

    fn has_seat_under_short_lease(&self) -> bool {
        let short = |basis: &Basis| matches!(basis, Basis::ShortLease(_));
        self.held.values().any(|held| short(&held.basis))
    }

    fn freeze(&mut self, now: Time) {
        let lease = self.held.values().find_map(|held| match held.basis {
            Basis::ShortLease(lease) => Some(lease),
            Basis::Takeover(_) => None,
        });
        let end = lease.and_then(|lease| self.own_leases.short_end(lease));
        let Some(successor) = &mut self.successor_state else {
            return;
        };
        successor.frozen = true;
        successor.frozen_lease = lease;
        successor.frozen_short_end = end.unwrap_or(Time::ZERO);
        successor.next_send = now;
    }

    fn send_extend(&mut self, now: Time, out: &mut Vec<Action>) {
        let live = self.own_leases.live_short_lease(now).is_some() && !self.is_store_silent(now);
        let long = self.own_leases.long_end();
        let short = self.own_leases.short_left(now);
        let seats = match self.draining {
            true => self.released_seats.clone(),
            false => self.renewable_seats(now),
        };
        let (owner, draining) = (self.local.clone(), self.draining);
        let Some(successor) = &mut self.successor_state else {
            return;
        };
        successor.sequence += 1;
        successor.next_send = now + EXTEND_INTERVAL;
        successor.sent_at.insert(successor.sequence, now);
        successor
            .sent_at
            .retain(|_, sent| now.since(*sent) < Span::from_secs(10));
        let state = match (draining, successor.frozen, live) {
            (true, _, _) => State::Released,
            (_, false, _) if successor.bound => State::Bound,
            (_, false, _) => State::Normal,
            (_, true, false) => State::Frozen,
            (_, true, true) => State::Thawing,
        };
        if state == State::Frozen {
            successor.last_frozen_sequence = successor.sequence;
        }
        let extend = Extend {
            owner,
            sequence: successor.sequence,
            state,
            short_left: match successor.bound {
                true => Span::ZERO,
                false => short.max(now.until(successor.frozen_short_end)),
            },
            long_left: successor
                .last_reply
                .map_or(Span::ZERO, |(_, at)| long.since(at)),
            echoed_clock: successor.last_reply.map(|(clock, _)| clock),
            seats,
        };
        out.push(Action::Send(
            successor.instance.clone(),
            Message::Extend(extend),
        ));
    }

    /// Tells the successor that all seats are free, until it acknowledges.
    pub(super) fn send_release(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.successor_state.is_some() {
            self.send_extend(now, out);
        }
    }

    pub(super) fn on_reply(&mut self, now: Time, reply: ExtendReply) {
        let (promise, draining) = (self.options.promise_ttl, self.draining);
        let live = self.own_leases.live_short_lease(now);
        let mine = reply.life == self.local.life;
        let Some(successor) = &mut self.successor_state else {
            return;
        };
        if !mine || reply.from != successor.instance {
            return;
        }
        let Some(sent) = successor.sent_at.remove(&reply.sequence) else {
            return;
        };
        if successor
            .last_reply
            .is_none_or(|(clock, _)| reply.clock > clock)
        {
            successor.last_reply = Some((reply.clock, now));
        }
        if draining {
            successor.release_acknowledged |= reply.state == State::Released;
            return;
        }
        successor.promise_refused = reply.promise_status == PromiseStatus::NoPromise;
        if reply.promise_status == PromiseStatus::Promise {
            successor.promise_end = successor.promise_end.max(sent + promise);
        }
        match (reply.promise_status, reply.state) {
            (PromiseStatus::TakenOver, _) => self.yield_to_successor(now),
            // An agreement to thaw is void if a later message said "frozen":
            // the successor may take over on the strength of the later one.
            (promise_status, State::Thawing)
                if successor.frozen && reply.sequence > successor.last_frozen_sequence =>
            {
                self.thaw(live, promise_status);
            }
            _ => {}
        }
    }

    /// Returns to the short lease once the successor no longer believes that it
    /// alone decides. If it promised once more, nobody has taken a seat, and
    /// the seats go on under the new lease.
    fn thaw(&mut self, live: Option<Lease>, promise_status: PromiseStatus) {
        let Some(lease) = live else {
            return;
        };
        let Some(successor) = &mut self.successor_state else {
            return;
        };
        let old = successor.frozen_lease;
        successor.frozen = false;
        let kept = promise_status == PromiseStatus::Promise;
        successor.bound = kept && successor.bound;
        // The old lease may still be the new one, so without a promise the
        // seats are dropped at once: the successor may have taken them.
        let old = old.map(Basis::ShortLease);
        self.held.retain(|_, held| kept || old != Some(held.basis));
        for held in self.held.values_mut() {
            if old == Some(held.basis) {
                held.basis = Basis::ShortLease(lease);
            }
        }
    }

    /// Drops all seats because the successor has taken over without the store.
    /// For as long as that takeover may last, this incarnation leaves the store
    /// records under its name to the successor.
    fn yield_to_successor(&mut self, now: Time) {
        self.held
            .retain(|_, held| matches!(held.basis, Basis::Takeover(_)));
        self.claims.own_records_barred_until =
            now + self.options.takeover_limit + self.options.clock_margin;
        if let Some(successor) = &mut self.successor_state {
            successor.frozen = false;
            successor.bound = false;
        }
    }
}
