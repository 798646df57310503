//! Records of idempotent requests: the same key runs once.
//!
//! A pool's keys are cut into slices, and each slice is a right that one node
//! of the pool holds, see [`crate::lease`]. That node records a key before its
//! request runs, lets repeats wait for the running attempt, and answers later
//! ones from the record. docs/design/records.md argues why no two nodes ever
//! run the same key.

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

/// Slices of a pool's keys. Every node must count alike.
pub const SLICES_PER_POOL: u64 = 4;

/// What a caller's `Idempotency-Key` amounts to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's key, under its team and pool.
    pub key: String,
    /// A checksum of the method, target and whole body.
    pub fingerprint: u64,
}

/// The name of a record within its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The team whose key it is.
    pub team: Team,
    /// The caller's key.
    pub key: String,
}

/// A record as a leaving owner hands it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredRecord {
    /// Its name.
    pub name: Name,
    /// The request that it guards.
    pub fingerprint: u64,
    /// The answer, where it ran and the answer is kept.
    pub whole: Option<Whole>,
}

/// What record owners tell others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// That node owns the slice.
    Elsewhere(Seat, Instance),
    /// All records of a slice, from the owner that leaves.
    Records(Seat, Epoch, Vec<TransferredRecord>),
}

/// The slice that a record belongs to.
pub fn seat_of(pool: &Pool, name: &Name) -> Seat {
    let text = format!("{} {}", name.team, name.key);
    slice_seat(pool, xxh3_64(text.as_bytes()) % SLICES_PER_POOL)
}

/// One slice of a pool's keys.
pub fn slice_seat(pool: &Pool, number: u64) -> Seat {
    Seat(format!("record/{pool}/{number}"))
}

/// Where an ingress looks for record owners.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    owners: BTreeMap<Seat, Instance>,
    candidates: BTreeMap<Seat, Vec<Instance>>,
}

impl Directory {
    /// Learns who owns a slice.
    pub fn set_owner(&mut self, seat: Seat, owner: Instance) {
        self.owners.insert(seat, owner);
    }

    /// Learns who may own each slice, best first.
    pub fn set_candidates(&mut self, candidates: BTreeMap<Seat, Vec<Instance>>) {
        self.candidates = candidates;
    }

    /// The node to send a claimed request to: the last known owner, else the one
    /// after the other that may own the slice.
    pub fn find(&self, pool: &Pool, name: &Name, tried: &[Instance]) -> Option<&Instance> {
        let seat = seat_of(pool, name);
        let untried = |instance: &&Instance| !tried.contains(instance);
        let known = self.owners.get(&seat);
        let candidates = self.candidates.get(&seat).into_iter().flatten();
        let mut all = known.into_iter().chain(candidates);
        all.clone().find(untried).or_else(|| all.next())
    }
}
