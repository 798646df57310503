//! Idempotency records: a request with an idempotency key runs at most once.
//!
//! A pool's keys are partitioned into slices, and each slice is owned by one node
//! of the pool, see [`crate::lease`]. The owner records a key before its request
//! runs, lets repeats wait for the running attempt, and answers later repeats from
//! the record. docs/design/records.md shows why two nodes never run the same key.

mod owner;
mod slice;

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

pub use self::{
    owner::{
        Arrival,
        Owner,
        Reply,
        Verdict, //
    },
    slice::Slice,
};
use crate::{
    frame::Whole,
    id::{
        Instance,
        Pool,
        Team, //
    },
    lease::{
        Epoch,
        Seat, //
    },
};

/// Number of slices of a pool's keys. Must be the same at every node.
pub const SLICES_PER_POOL: u64 = 4;

/// A caller's `Idempotency-Key` with a checksum of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's key, unique within its team and pool.
    pub key: String,
    /// Checksum of the method, target and whole body.
    pub fingerprint: u64,
}

/// Identifies a record within its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The caller's team.
    pub team: Team,
    /// The caller's key.
    pub key: String,
}

/// A record that a leaving owner transfers to its successor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Transferred {
    /// Identifies the record.
    pub name: Name,
    /// Checksum of the recorded request.
    pub fingerprint: u64,
    /// The response, if the request ran and its response is still stored.
    pub whole: Option<Whole>,
}

/// Messages between nodes about record ownership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The slice is owned by this other node.
    Elsewhere(Seat, Instance),
    /// All records of a slice, sent by an owner that is leaving.
    Records(Seat, Epoch, Vec<Transferred>),
}

/// Returns the slice that a record belongs to.
pub fn seat_of(pool: &Pool, name: &Name) -> Seat {
    let qualified_key = format!("{} {}", name.team, name.key);
    slice_seat(pool, xxh3_64(qualified_key.as_bytes()) % SLICES_PER_POOL)
}

/// Returns the lease seat of one slice of a pool's keys.
pub fn slice_seat(pool: &Pool, number: u64) -> Seat {
    Seat(format!("record/{pool}/{number}"))
}

/// Record owners as known to an ingress.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    owners: BTreeMap<Seat, Instance>,
    candidates: BTreeMap<Seat, Vec<Instance>>,
}

impl Directory {
    /// Sets the known owner of a slice.
    pub fn set_owner(&mut self, seat: Seat, owner: Instance) {
        self.owners.insert(seat, owner);
    }

    /// Sets the nodes that may own each slice, most likely first.
    pub fn set_candidates(&mut self, candidates: BTreeMap<Seat, Vec<Instance>>) {
        self.candidates = candidates;
    }

    /// Returns the node to send a request with an idempotency key to: the last known
    /// owner, then the candidates in order, skipping nodes in `tried`. If all were
    /// tried, starts again from the first.
    pub fn find(&self, pool: &Pool, name: &Name, tried: &[Instance]) -> Option<&Instance> {
        let seat = seat_of(pool, name);
        let untried = |instance: &&Instance| !tried.contains(instance);
        let owner = self.owners.get(&seat);
        let candidates = self.candidates.get(&seat).into_iter().flatten();
        let mut targets = owner.into_iter().chain(candidates);
        targets.clone().find(untried).or_else(|| targets.next())
    }
}
