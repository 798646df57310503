//! The retries that one root may cause, counted across its whole tree.
//!
//! Each running attempt has one [`Purse`] at the inbound proxy that runs it,
//! and each root has one at its ingress. A retry takes one out. A call that is
//! sent on carries a loan out of the purse, and its answer says how much of the
//! loan was spent; the rest returns. A loan whose answer never comes does not
//! return. What lies in all purses, is on loan and was spent together is always
//! the root's allowance, so no tree retries more often, however it branches and
//! whatever is lost.

use std::collections::BTreeMap;

use crate::id;

/// What one attempt, or one root, has left for retries below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    granted: u8,
    remaining: u8,
    /// A call below has failed for good: nobody above tries again.
    pub no_retry: bool,
}

/// The purses of all running attempts.
pub type Allowances = BTreeMap<id::Request, Allowance>;

impl Allowance {
    /// A purse with this much in it.
    pub fn new(granted: u8) -> Self {
        Self {
            granted,
            remaining: granted,
            no_retry: false,
        }
    }

    /// Retries that may still be begun from here.
    pub fn remaining(&self) -> u8 {
        self.remaining
    }

    /// What was spent, counting open loans as spent.
    pub fn spent(&self) -> u8 {
        self.granted - self.remaining
    }

    /// Closes the purse when the attempt begins to answer: what is left returns
    /// with the answer and is not spent here any more. Loans that return later
    /// were counted as spent, and may be.
    pub fn close(&mut self) {
        self.granted -= self.remaining;
        self.remaining = 0;
    }

    /// Takes one retry out, if there is one.
    pub fn try_take(&mut self) -> bool {
        let available = self.remaining > 0;
        self.remaining -= u8::from(available);
        available
    }

    /// Lends to a call. One retry stays here when there are several, because a
    /// loan is lost with its answer; a single one goes down, because a retry
    /// next to the failure repeats the least work.
    pub fn reserve(&mut self) -> u8 {
        let reserved = match self.remaining {
            0 | 1 => self.remaining,
            more => more - 1,
        };
        self.remaining -= reserved;
        reserved
    }

    /// Takes back what a call did not spend of its loan. A peer that claims to
    /// have spent more than it got changes nothing.
    pub fn release(&mut self, reserved: u8, spent: u8) {
        let unspent = reserved.saturating_sub(spent);
        self.remaining = self.remaining.saturating_add(unspent).min(self.granted);
    }
}
