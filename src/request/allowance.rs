//! Retry limit shared by a root request and its whole call tree.
//!
//! The inbound proxy keeps one [`Allowance`] for each running attempt, and the
//! ingress keeps one for each root. A retry consumes one unit. A nested call
//! reserves part of its parent's allowance; the response reports how much was
//! spent, and the remainder is released. If the response is lost, the reservation
//! is not released. The sum of remaining, reserved and spent retries always
//! equals the root's allowance, so no call tree can exceed it, whatever its shape
//! and whichever messages are lost.

use std::collections::BTreeMap;

use crate::id;

/// Retries available to one attempt, or to one root, and the calls below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowance {
    granted: u8,
    remaining: u8,
    /// Set when a nested call has failed permanently, so that no hop above retries.
    pub no_retry: bool,
}

/// Allowances of all running attempts.
pub type Allowances = BTreeMap<id::Request, Allowance>;

impl Allowance {
    /// Creates an allowance of `granted` retries.
    pub fn new(granted: u8) -> Self {
        Self {
            granted,
            remaining: granted,
            no_retry: false,
        }
    }

    /// Returns the number of retries that can still be started or reserved.
    pub fn remaining(&self) -> u8 {
        self.remaining
    }

    /// Returns the number of retries spent, including open reservations.
    pub fn spent(&self) -> u8 {
        self.granted - self.remaining
    }

    /// Closes the allowance when the attempt starts to respond. The remaining
    /// retries return to the caller with the response and can't be used here any
    /// more. Open reservations were reported as spent, so they stay usable when
    /// they are released later.
    pub fn close(&mut self) {
        self.granted -= self.remaining;
        self.remaining = 0;
    }

    /// Consumes one retry. Returns false if none remains.
    pub fn try_take(&mut self) -> bool {
        let available = self.remaining > 0;
        self.remaining -= u8::from(available);
        available
    }

    /// Reserves retries for a nested call. Keeps one back if there are several,
    /// because a lost response also loses the reservation. A single retry is
    /// passed down, because a retry next to the failure repeats the least work.
    pub fn reserve(&mut self) -> u8 {
        let reserved = match self.remaining {
            0 | 1 => self.remaining,
            more => more - 1,
        };
        self.remaining -= reserved;
        reserved
    }

    /// Releases the unspent part of a reservation. Releases nothing if the peer
    /// reports more retries than were reserved.
    pub fn release(&mut self, reserved: u8, spent: u8) {
        let unspent = reserved.saturating_sub(spent);
        self.remaining = self.remaining.saturating_add(unspent).min(self.granted);
    }
}
