//! Which requests an overloaded upstream takes.
//!
//! Every request has a [`Rank`], made of its root's importance and a hash of
//! its root. Under overload an inbound proxy sheds the ranks below its
//! [`level`]. A root has one rank at all hops, so a chain is not taken at three
//! hops and shed at the fourth. The level rides back on every answer, and
//! ingress refuses early by what it has [`seen`]. What is taken and finds no
//! slot waits in a short [`queue`].

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

/// Ranks of one importance.
pub const RANKS_PER_IMPORTANCE: u16 = 256;
/// The level that sheds everything.
pub const TOP: u16 = RANKS_PER_IMPORTANCE * Importance::ALL.len() as u16;
/// How much higher nested work stands within its importance: its root has
/// already been worked for, and levels of two hops differ a little in time.
const NESTED: u16 = RANKS_PER_IMPORTANCE / 8;

/// A request's place in the order of shedding; the lowest is shed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u16);

impl Rank {
    /// The rank of a request that carries this context.
    pub fn of(context: &Context, nested_first: bool) -> Self {
        let nested = nested_first && context.depth > 0;
        let bonus = if nested { NESTED } else { 0 };
        Self::new(context.importance, Self::root_offset(context.root), bonus)
    }

    /// The place of a root among those of its importance; the lowest is shed
    /// first.
    pub fn root_offset(root: id::Root) -> u16 {
        (xxh3_64(&root.0.to_le_bytes()) % u64::from(RANKS_PER_IMPORTANCE)) as u16
    }

    /// A rank by chance, for comparison with [`Rank::of`].
    pub fn random(chance: f64) -> Self {
        Self((chance * f64::from(TOP)) as u16)
    }

    /// Whether a level lets it pass.
    pub fn passes(self, level: u16) -> bool {
        self.0 >= level
    }

    fn new(importance: Importance, place: u16, bonus: u16) -> Self {
        let within = (place + bonus).min(RANKS_PER_IMPORTANCE - 1);
        Self(importance as u16 * RANKS_PER_IMPORTANCE + within)
    }
}
