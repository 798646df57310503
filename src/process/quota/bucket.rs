//! A token bucket in whole thousandths.

use crate::{
    clock::Time,
    unit::Rate, //
};

/// Thousandths of a token.
pub const MILLIS_PER_TOKEN: u64 = 1000;

/// A token bucket. What its rate yields is never rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    millis: u64,
    remainder: u64,
    refilled_at: Time,
}

impl Bucket {
    /// An empty bucket that fills from `at` on.
    pub fn empty(at: Time) -> Self {
        Self {
            millis: 0,
            remainder: 0,
            refilled_at: at,
        }
    }

    /// A bucket that holds this many thousandths at `at`.
    pub fn with_millis(millis: u64, at: Time) -> Self {
        Self {
            millis,
            ..Self::empty(at)
        }
    }

    /// Fills it up to `now`, and at most to `cap` thousandths.
    pub fn refill(&mut self, now: Time, rate: Rate, cap: u64) {
        let yielded =
            u128::from(rate.as_millis()) * u128::from(now.since(self.refilled_at).as_ms());
        let yielded = u64::try_from(yielded).unwrap_or(u64::MAX / 2) + self.remainder;
        self.refilled_at = self.refilled_at.max(now);
        self.millis += yielded / 1000;
        self.remainder = yielded % 1000;
        if self.millis >= cap {
            self.millis = cap;
            self.remainder = 0;
        }
    }

    /// Whole tokens in it.
    pub fn tokens(&self) -> u64 {
        self.millis / MILLIS_PER_TOKEN
    }

    /// Thousandths of a token in it.
    pub fn millis(&self) -> u64 {
        self.millis
    }

    /// Takes whole tokens out, or nothing when there are too few.
    pub fn take(&mut self, tokens: u64) -> bool {
        let enough = self.tokens() >= tokens;
        if enough {
            self.millis -= tokens * MILLIS_PER_TOKEN;
        }
        enough
    }

    /// Takes thousandths out, or all that there are.
    pub fn remove_millis(&mut self, millis: u64) {
        self.millis = self.millis.saturating_sub(millis);
    }

    /// Raises what is in it to this many thousandths, if it holds less.
    pub fn raise_to_millis(&mut self, millis: u64) {
        self.millis = self.millis.max(millis);
    }

    /// Puts whole tokens back; the next fill cuts what exceeds the cap.
    pub fn add(&mut self, tokens: u64) {
        self.millis += tokens * MILLIS_PER_TOKEN;
    }
}
