//! The owner's side of succession: living by the successor's promises.

use std::collections::BTreeMap;

use super::{
    Accord,
    Action,
    Basis,
    Epoch,
    Extend,
    Message,
    Seat,
    SeatManager,
    Standing,
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

/// Time between wishes.
const AGAIN: Span = Span::from_ms(250);
/// Silence of the store, beyond the time between renewals, after which the owner turns to its successor.
const SILENCE: Span = Span::from_ms(1500);
/// Silence of the successor after which the owner names another.
const SHUN: Span = Span::from_ms(700);
/// How long a node that was silent is not named again.
const SHUNNED: Span = Span::from_secs(10);
/// Silence of the successor after which the owner does not turn to it.
const ABSENT: Span = Span::from_ms(1200);

/// What an owner knows of its successor.
#[derive(Clone, Debug)]
pub(super) struct Pair {
    successor: Instance,
    /// The owner lives by promises. It ends only when the successor has agreed.
    pub(super) frozen: bool,
    /// The owner's seats hold no longer than the successor's promises.
    pub(super) bound: bool,
    /// The successor has agreed that the owner's seats are free.
    pub(super) released: bool,
    lease: Option<Lease>,
    frozen_short: Time,
    pub(super) promise_end: Time,
    since: Time,
    heard: Option<(u64, Time)>,
    /// The last wish in which it was told that the owner is frozen.
    told_frozen: u64,
    /// It promised nothing when asked last.
    refused: bool,
    sequence: u64,
    sent: BTreeMap<u64, Time>,
    next_at: Time,
}

impl Pair {
    fn new(successor: Instance, sequence: u64, since: Time) -> Self {
        Self {
            successor,
            frozen: false,
            bound: false,
            released: false,
            lease: None,
            frozen_short: Time::ZERO,
            promise_end: Time::ZERO,
            since,
            heard: None,
            told_frozen: 0,
            refused: false,
            sequence,
            sent: BTreeMap::new(),
            next_at: Time::ZERO,
        }
    }

    /// Ends the bond when the last promise has: the successor may have begun to
    /// take the seats, and they have to be written anew.
    pub(super) fn lapse(&mut self, now: Time) {
        if self.bound && now >= self.promise_end {
            self.bound = false;
        }
    }

    /// Who it is.
    pub(super) fn successor(&self) -> &Instance {
        &self.successor
    }

    /// Until when a seat holds that was written under this short lease, while
    /// the owner lives by promises. Renewals count no more.
    pub(super) fn until(&self, lease: Lease, short: Time) -> Time {
        if self.lease != Some(lease) {
            return Time::ZERO;
        }
        if self.bound {
            return self.promise_end;
        }
        self.frozen_short.min(short).max(self.promise_end)
    }
}

impl SeatManager {
    pub(super) fn pair_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.pair_follow(now);
        self.bind(now);
        let Some(pair) = &self.pair else {
            return;
        };
        let silent = self.is_cut(now);
        // A silent successor would promise nothing, and could not agree to thaw.
        let there = pair.heard.is_some_and(|(_, at)| now.since(at) < ABSENT);
        if !pair.frozen && silent && there && self.has_short() && !self.draining {
            self.freeze(now);
        }
        self.outlast(now);
        let due = self.pair.as_ref().is_some_and(|pair| now >= pair.next_at);
        if due && !self.is_drained() {
            self.send_extend(now, out);
        }
    }

    /// Seats that hold in the store's name, or would hold with the next promise. One that lapsed may
    /// have another owner, so the successor must not be told of it.
    pub(super) fn lasting(&self, now: Time) -> Vec<(Seat, Epoch)> {
        let frozen = self.pair.as_ref().filter(|pair| pair.frozen);
        let lease = frozen.map_or(self.base.live(now), |pair| pair.lease);
        let basis = lease.map(Basis::Short);
        let held = self.held.iter();
        held.filter(|(_, held)| Some(held.basis) == basis && held.cap == Time::NEVER)
            .map(|(seat, held)| (seat.clone(), held.epoch))
            .collect()
    }

    /// Follows the store's record of who is the successor. A former one loses
    /// nothing that it could still use: it was never frozen, or agreed to thaw.
    fn pair_follow(&mut self, now: Time) {
        if self.is_frozen() || self.draining {
            return;
        }
        let named = self.base.successor().cloned();
        let known = self.pair.as_ref().map(|pair| &pair.successor);
        if known != named.as_ref() {
            let sequence = self.pair.as_ref().map_or(0, |pair| pair.sequence);
            self.unbind();
            self.pair = named.map(|successor| Pair::new(successor, sequence, now));
        }
    }

    /// A former successor may have read its name in the store before it was
    /// replaced, and may yet write. So the seats hold no longer than it promised,
    /// until they are written anew, which makes its write fail.
    fn unbind(&mut self) {
        let Some(end) = self
            .pair
            .as_ref()
            .filter(|p| p.bound)
            .map(|p| p.promise_end)
        else {
            return;
        };
        for held in self.held.values_mut() {
            if matches!(held.basis, Basis::Short(_)) {
                held.cap = held.cap.min(end);
            }
        }
    }

    /// From a promise on, seats hold no longer than promises do, and a successor
    /// may take over as soon as they have ended.
    fn bind(&mut self, now: Time) {
        let fresh = self.setting.promise_ttl.scale(0.5);
        if let Some(pair) = &mut self.pair
            && !pair.frozen
            && now + fresh < pair.promise_end
        {
            pair.bound = true;
        }
    }

    /// The best node to name as successor that has not been silent of late.
    pub(super) fn choose<'a>(
        &mut self,
        now: Time,
        successors: &'a [Instance],
    ) -> Option<&'a Instance> {
        if let Some(pair) = &self.pair
            && !pair.frozen
        {
            let heard = pair.heard.map_or(pair.since, |(_, at)| at);
            let bare = pair.bound && pair.refused;
            if now.since(heard) > SHUN || bare {
                self.shunned.insert(pair.successor.clone(), now + SHUNNED);
            }
        }
        self.shunned.retain(|_, until| now < *until);
        let mut others = successors.iter();
        others.find(|instance| !self.shunned.contains_key(*instance))
    }

    /// Goes back to the store alone when the successor has been silent for so
    /// long that, had it taken over, its time would be over too: it counts from
    /// the clock that it last told, which was before this owner heard it.
    fn outlast(&mut self, now: Time) {
        let over = self.setting.takeover_limit + self.setting.clock_margin;
        let live = self.base.live(now);
        let Some(pair) = &self.pair else {
            return;
        };
        let gone = pair.heard.is_none_or(|(_, at)| now.since(at) > over);
        if pair.frozen && gone && live.is_some() {
            self.thaw(live, Standing::Bare);
        }
    }

    /// Whether the store has not been heard for longer than renewals take.
    ///
    /// Guards against a thaw in the outage itself: the short lease lives on for
    /// a while after the store has fallen silent, and an owner that asked its
    /// successor to thaw on that ground lost its seats when the lease ended,
    /// without a successor that knew of it. Only word from the store thaws.
    fn is_cut(&self, now: Time) -> bool {
        self.base.silence(now) > SILENCE + self.setting.renew_interval
    }

    fn has_short(&self) -> bool {
        let short = |basis: &Basis| matches!(basis, Basis::Short(_));
        self.held.values().any(|held| short(&held.basis))
    }

    fn freeze(&mut self, now: Time) {
        let lease = self.held.values().find_map(|held| match held.basis {
            Basis::Short(lease) => Some(lease),
            Basis::Solo(_) => None,
        });
        let end = lease.and_then(|lease| self.base.short_end(lease));
        let Some(pair) = &mut self.pair else {
            return;
        };
        pair.frozen = true;
        pair.lease = lease;
        pair.frozen_short = end.unwrap_or(Time::ZERO);
        pair.next_at = now;
    }

    fn send_extend(&mut self, now: Time, out: &mut Vec<Action>) {
        let live = self.base.live(now).is_some() && !self.is_cut(now);
        let long = self.base.long_end();
        let short = self.base.short_left(now);
        let seats = match self.draining {
            true => self.released.clone(),
            false => self.lasting(now),
        };
        let (owner, draining) = (self.me.clone(), self.draining);
        let Some(pair) = &mut self.pair else {
            return;
        };
        pair.sequence += 1;
        pair.next_at = now + AGAIN;
        pair.sent.insert(pair.sequence, now);
        pair.sent
            .retain(|_, sent| now.since(*sent) < Span::from_secs(10));
        let state = match (draining, pair.frozen, live) {
            (true, _, _) => State::Over,
            (_, false, _) if pair.bound => State::Bound,
            (_, false, _) => State::Calm,
            (_, true, false) => State::Frozen,
            (_, true, true) => State::Thawing,
        };
        if state == State::Frozen {
            pair.told_frozen = pair.sequence;
        }
        let extend = Extend {
            owner,
            sequence: pair.sequence,
            state,
            short: match pair.bound {
                true => Span::ZERO,
                false => short.max(now.until(pair.frozen_short)),
            },
            long: pair.heard.map_or(Span::ZERO, |(_, at)| long.since(at)),
            heard: pair.heard.map(|(clock, _)| clock),
            seats,
        };
        out.push(Action::Send(
            pair.successor.clone(),
            Message::Extend(extend),
        ));
    }

    /// Tells the successor that all seats are free, until it has heard it.
    pub(super) fn pair_over(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.pair.is_some() {
            self.send_extend(now, out);
        }
    }

    pub(super) fn accord(&mut self, now: Time, accord: Accord) {
        let (promise, draining) = (self.setting.promise_ttl, self.draining);
        let live = self.base.live(now);
        let mine = accord.life == self.me.life;
        let Some(pair) = &mut self.pair else {
            return;
        };
        if !mine || accord.from != pair.successor {
            return;
        }
        let Some(sent) = pair.sent.remove(&accord.sequence) else {
            return;
        };
        if pair.heard.is_none_or(|(clock, _)| accord.clock > clock) {
            pair.heard = Some((accord.clock, now));
        }
        if draining {
            pair.released |= accord.state == State::Over;
            return;
        }
        pair.refused = accord.standing == Standing::Bare;
        if accord.standing == Standing::Promise {
            pair.promise_end = pair.promise_end.max(sent + promise);
        }
        match (accord.standing, accord.state) {
            (Standing::Taken, _) => self.dispossess(now),
            // An agreement to thaw that was overtaken by another "frozen" is void:
            // the successor may go alone on the later word.
            (standing, State::Thawing) if pair.frozen && accord.sequence > pair.told_frozen => {
                self.thaw(live, standing);
            }
            _ => {}
        }
    }

    /// The successor no longer believes that it alone decides. If it promised
    /// once more, nobody has taken a seat, and they go on under the new lease.
    fn thaw(&mut self, live: Option<Lease>, standing: Standing) {
        let Some(lease) = live else {
            return;
        };
        let Some(pair) = &mut self.pair else {
            return;
        };
        let old = pair.lease;
        pair.frozen = false;
        let kept = standing == Standing::Promise;
        pair.bound = kept && pair.bound;
        // The old lease may still be the new one, so without a promise the seats
        // go at once: the successor may have taken them.
        let old = old.map(Basis::Short);
        self.held.retain(|_, held| kept || old != Some(held.basis));
        for held in self.held.values_mut() {
            if old == Some(held.basis) {
                held.basis = Basis::Short(lease);
            }
        }
    }

    /// The successor has taken over without the store. This life owns nothing any
    /// more, and leaves what the store has under its name to the successor for as
    /// long as that may go on alone.
    fn dispossess(&mut self, now: Time) {
        self.held
            .retain(|_, held| matches!(held.basis, Basis::Solo(_)));
        self.claims.barred = now + self.setting.takeover_limit + self.setting.clock_margin;
        if let Some(pair) = &mut self.pair {
            pair.frozen = false;
            pair.bound = false;
        }
    }
}
