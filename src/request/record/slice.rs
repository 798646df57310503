//! Records of one slice under one ownership.

use std::collections::BTreeMap;

use super::Name;
use crate::{
    clock::{
        Span,
        Time, //
    },
    frame::Whole,
    id::{
        Instance,
        Request, //
    },
    lease::Epoch,
};

/// Upper bound on the difference between the clocks of callers and nodes.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// State of a recorded request.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// This attempt is running or about to run; the listed attempts wait for its
    /// response.
    Running(Request, Vec<(Instance, Request)>),
    /// The request ran and got this response.
    Done(Box<Whole>),
    /// The request may have run, or ran and its response is no longer stored.
    Unknown,
}

/// Record of one idempotency key.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) fingerprint: u64,
    pub(super) state: State,
    pub(super) updated: Time,
}

/// Records of one slice under one ownership.
#[derive(Clone, Debug)]
pub struct Slice {
    pub(super) epoch: Epoch,
    pub(super) owned_since: Time,
    /// Whether all records of the slice within the retention time are present.
    pub(super) complete: bool,
    pub(super) records: BTreeMap<Name, Record>,
}

impl Slice {
    pub(super) fn new(epoch: Epoch, owned_since: Time, complete: bool) -> Self {
        Self {
            epoch,
            owned_since,
            complete,
            records: BTreeMap::new(),
        }
    }

    /// Returns whether a key without a record has certainly not run.
    ///
    /// After an unplanned change of owner, the records of the previous owner are lost.
    /// Until all of them would have expired anyway, a key is known to be new only if
    /// its own timestamp is later than the change.
    pub(super) fn is_certainly_new(
        &self,
        now: Time,
        key: &str,
        retention: Span,
        wall_clock_ms: Option<u64>,
    ) -> bool {
        if self.complete || now.since(self.owned_since) > retention {
            return true;
        }
        let (Some(wall_clock_ms), Some(created)) = (wall_clock_ms, uuid_timestamp(key)) else {
            return false;
        };
        let takeover = wall_clock_ms.saturating_sub(now.since(self.owned_since).as_ms());
        created > takeover + MAX_CLOCK_SKEW_MS && created <= wall_clock_ms + MAX_CLOCK_SKEW_MS
    }
}

/// Returns the timestamp of a version 7 UUID, in milliseconds since 1970.
fn uuid_timestamp(key: &str) -> Option<u64> {
    let digits: String = key.split('-').collect();
    let lengths = key.split('-').map(str::len);
    let is_hex = digits.chars().all(|c| c.is_ascii_hexdigit());
    if !is_hex || !lengths.eq([8, 4, 4, 4, 12]) || digits.as_bytes()[12] != b'7' {
        return None;
    }
    u64::from_str_radix(&digits[..12], 16).ok()
}
