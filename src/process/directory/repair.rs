//! Decides when a node writes its own record again, because another writer replaced it.

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Incarnation, //
};

/// First and longest delay between two repairs.
const MIN_DELAY: Span = Span::from_ms(200);
const MAX_DELAY: Span = Span::from_secs(20);
/// After this time without a repair or contest, the delays and contests begin anew.
const CALM_TIME: Span = Span::from_secs(60);
/// How often a node contests one higher incarnation at another address within
/// [`CALM_TIME`]. A living node contests this in turn, and has to win.
const MAX_CONTESTS: u32 = 3;

/// The repairs of a record, with a delay that doubles from one to the next.
#[derive(Clone, Debug)]
pub(super) struct Repair {
    due: Option<Time>,
    last_at: Time,
    next_at: Time,
    delay: Span,
    contested: Incarnation,
    contests: u32,
    contested_at: Time,
}

impl Repair {
    pub(super) const fn new() -> Self {
        Self {
            due: None,
            last_at: Time::ZERO,
            next_at: Time::ZERO,
            delay: MIN_DELAY,
            contested: Incarnation(0),
            contests: 0,
            contested_at: Time::ZERO,
        }
    }

    /// When the next repair is due.
    pub(super) fn due(&self) -> Time {
        self.due.unwrap_or(Time::NEVER)
    }

    /// Requests a repair.
    pub(super) fn request(&mut self, now: Time) {
        self.due.get_or_insert(now.max(self.next_at));
    }

    /// Returns whether a repair is due, and begins it.
    pub(super) fn take_due(&mut self, now: Time) -> bool {
        if self.due() > now {
            return false;
        }
        if now.since(self.last_at) >= CALM_TIME {
            self.delay = MIN_DELAY;
        }
        self.due = None;
        self.last_at = now;
        self.next_at = now + self.delay;
        self.delay = self.delay.scale(2.0).min(MAX_DELAY);
        true
    }

    /// Whether a higher incarnation at another address is to be contested.
    pub(super) fn contest(&mut self, now: Time, incarnation: Incarnation) -> bool {
        if self.contested != incarnation || now.since(self.contested_at) >= CALM_TIME {
            self.contested = incarnation;
            self.contests = 0;
        }
        self.contested_at = now;
        let is_contested = self.contests < MAX_CONTESTS;
        self.contests = self.contests.saturating_add(1);
        is_contested
    }
}
