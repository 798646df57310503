//! A token bucket that counts in thousandths of a token, without rounding
//! errors.

use crate::{
    clock::Time,
    unit::Rate, //
};

/// The unit in which buckets count.
pub const MILLIS_PER_TOKEN: u64 = 1000;

/// A token bucket. The amount that its rate yields is never rounded up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bucket {
    millis: u64,
    remainder: u64,
    refilled_at: Time,
}

impl Bucket {
    /// An empty bucket that starts filling at `at`.
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

    /// Adds what the rate has yielded up to `now`, limited to `cap`
    /// thousandths.
    pub fn refill(&mut self, now: Time, rate: Rate, cap: u64) {
        let yielded =
            u128::from(rate.as_millis()) * u128::from(now.since(self.refilled_at).as_ms());
        let yielded = u64::try_from(yielded)
            .unwrap_or(u64::MAX / 2)
            .saturating_add(self.remainder);
        self.refilled_at = self.refilled_at.max(now);
        self.millis = self.millis.saturating_add(yielded / 1000);
        self.remainder = yielded % 1000;
        if self.millis >= cap {
            self.millis = cap;
            self.remainder = 0;
        }
    }

    /// Whole tokens in the bucket.
    pub fn tokens(&self) -> u64 {
        self.millis / MILLIS_PER_TOKEN
    }

    /// Thousandths of a token in the bucket.
    pub fn millis(&self) -> u64 {
        self.millis
    }

    /// Takes whole tokens out, or nothing and returns false if there are too
    /// few.
    pub fn take(&mut self, tokens: u64) -> bool {
        let enough = self.tokens() >= tokens;
        if enough {
            self.millis -= tokens * MILLIS_PER_TOKEN;
        }
        enough
    }

    /// Removes thousandths, or everything if the bucket holds less.
    pub fn remove_millis(&mut self, millis: u64) {
        self.millis = self.millis.saturating_sub(millis);
    }

    /// Raises the content to this many thousandths if it holds less.
    pub fn raise_to_millis(&mut self, millis: u64) {
        self.millis = self.millis.max(millis);
    }

    /// Adds whole tokens; the next refill cuts what exceeds the cap.
    pub fn add(&mut self, tokens: u64) {
        self.millis += tokens * MILLIS_PER_TOKEN;
    }
}
