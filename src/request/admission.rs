//! Admission control: which requests an overloaded upstream accepts.
//!
//! Every request has a [`Rank`], computed from the importance and a hash of its
//! root request. Under overload an inbound proxy sheds every request whose rank
//! is below the current [`level`]. A root has the same rank at every hop, so a
//! call chain is not accepted at three hops and then shed at the fourth. Each
//! answer carries the level back, and ingress rejects early by the levels it has
//! [`seen`]. An accepted request that finds no free slot waits in a short
//! [`queue`].

pub mod level;
pub mod queue;
pub mod seen;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    context::{
        Context,
        Importance, //
    },
    id, //
};

/// Number of ranks within one importance.
pub const RANKS_PER_IMPORTANCE: u16 = 256;
/// The level that sheds every request.
pub const SHED_ALL: u16 = RANKS_PER_IMPORTANCE * Importance::ALL.len() as u16;
/// Rank bonus of nested calls within their importance. Work was already spent
/// on their root, and the levels of two hops are never exactly in step.
const NESTED_BONUS: u16 = RANKS_PER_IMPORTANCE / 8;

/// Shedding priority of a request; the lowest rank is shed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u16);

impl Rank {
    /// The rank of a request with this context.
    pub fn of(context: &Context, nested_first: bool) -> Self {
        let nested = nested_first && context.depth > 0;
        let bonus = if nested { NESTED_BONUS } else { 0 };
        Self::new(context.importance, Self::root_offset(context.root), bonus)
    }

    /// The hash of a root, as an offset among the ranks of its importance.
    pub fn root_offset(root: id::Root) -> u16 {
        (xxh3_64(&root.0.to_le_bytes()) % u64::from(RANKS_PER_IMPORTANCE)) as u16
    }

    /// A rank from a random number in `0.0..1.0`, as a baseline to compare
    /// [`Rank::of`] with.
    pub fn random(sample: f64) -> Self {
        Self((sample * f64::from(SHED_ALL)) as u16)
    }

    /// Whether a request of this rank is admitted at this level.
    pub fn passes(self, level: u16) -> bool {
        self.0 >= level
    }

    fn new(importance: Importance, offset: u16, bonus: u16) -> Self {
        let offset = (offset + bonus).min(RANKS_PER_IMPORTANCE - 1);
        Self(importance as u16 * RANKS_PER_IMPORTANCE + offset)
    }
}
