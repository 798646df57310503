//! Classes of retries, for a pool that rejects more calls than the budget can repeat.
//!
//! A request that makes several calls one after the other, a chain, completes only if
//! all of them succeed. Where a pool rejects half of its calls, a budget that is spread
//! evenly over all chains completes few of them. Retries are therefore ranked: first by
//! the importance of the root, then by the [`Progress`] of the chain, since a chain with
//! three of four responses needs only one more success. A class gets a retry only if
//! the budget then still holds what the higher classes are expected to ask for; their
//! [`Demand`] of the last half second shows how much that is.

use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance, //
};

/// Time over which the demand is counted. Long enough for a chain to return with its
/// next call (several usual response times), and short enough that a class that stops
/// asking soon frees its reserve.
const DEMAND_WINDOW: Span = Span::from_ms(500);
/// Length of one step of the window.
const STEP_MS: u64 = 100;
const STEPS: usize = (DEMAND_WINDOW.as_ms() / STEP_MS) as usize;
const CLASSES: usize = Importance::ALL.len() * Progress::ALL.len();

/// How many calls of the same parent attempt on the same route have succeeded already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Progress {
    /// None, or none that is known.
    #[default]
    New,
    /// One.
    One,
    /// Two.
    Two,
    /// Three or more.
    Most,
}

impl Progress {
    /// All values in ascending order.
    pub const ALL: [Self; 4] = [Self::New, Self::One, Self::Two, Self::Most];

    /// Returns the progress after this number of successful calls.
    pub fn of(succeeded: u32) -> Self {
        let index = (succeeded as usize).min(Self::ALL.len() - 1);
        Self::ALL[index]
    }
}

/// Class of a retry. A higher class is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Importance of the root.
    pub importance: Importance,
    /// Progress of the chain.
    pub progress: Progress,
}

impl Class {
    fn index(self) -> usize {
        self.importance as usize * Progress::ALL.len() + self.progress as usize
    }
}

/// Retries that each class has recently asked of one pool's budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Requests for a retry by class, in a ring of steps.
    steps: [[u32; CLASSES]; STEPS],
    /// Number of the newest step since time zero.
    newest: u64,
}

/// What a pool's bucket holds and earns, as far as one class may use it.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Capacity of the bucket without the part reserved for critical requests.
    pub capacity: f64,
    /// That part.
    pub critical: f64,
    /// Retries that the bucket earns per second.
    pub income: f64,
}

impl Demand {
    /// Records that a class asks for a retry.
    pub fn record(&mut self, now: Time, class: Class) {
        self.advance(now);
        self.steps[self.newest as usize % STEPS][class.index()] += 1;
    }

    /// Returns the number of tokens to keep for the classes above this one.
    ///
    /// The reserve covers their demand of one window. In a bucket too small for that,
    /// it is the part of the capacity that corresponds to their part of the income. A
    /// full bucket serves every class as long as the higher ones ask for less than it
    /// earns; otherwise it would overflow.
    pub fn reserve(&mut self, now: Time, class: Class, share: Share) -> f64 {
        self.advance(now);
        let critical =
            f64::from(self.above(class, |importance| importance == Importance::Critical));
        let others = f64::from(self.above(class, |importance| importance != Importance::Critical));
        let demand = (critical - share.critical).max(0.0) + others;
        let earned = share.income * DEMAND_WINDOW.as_secs_f64();
        if demand >= earned {
            return demand.min(share.capacity);
        }
        let limit = match share.capacity < 1.0 {
            true => share.capacity,
            false => share.capacity - 1.0,
        };
        demand.min(share.capacity * demand / earned).min(limit)
    }

    /// Returns the demand of the higher classes with such an importance.
    fn above(&self, class: Class, includes: impl Fn(Importance) -> bool) -> u32 {
        let importances = Importance::ALL.into_iter();
        let classes = importances.flat_map(|importance| {
            Progress::ALL.map(|progress| Class {
                importance,
                progress,
            })
        });
        classes
            .filter(|other| *other > class && includes(other.importance))
            .map(|other| self.count(other))
            .sum()
    }

    fn count(&self, class: Class) -> u32 {
        self.steps.iter().map(|step| step[class.index()]).sum()
    }

    /// Clears the steps that have left the window.
    fn advance(&mut self, now: Time) {
        let current = now.as_ms() / STEP_MS;
        let passed = current.saturating_sub(self.newest).min(STEPS as u64);
        for step in 0..passed {
            let index = current.saturating_sub(step) as usize % STEPS;
            self.steps[index] = Default::default();
        }
        self.newest = self.newest.max(current);
    }
}
