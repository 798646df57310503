//! The malformed records that were reported already.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::Revision;

/// Maximum number of records that are reported in the lifetime of a process.
const MAX_REPORTED: usize = 1024;

/// Remembers which malformed records were reported, so that each one is logged once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reported(BTreeSet<u64>);

impl Reported {
    /// Whether a record is to be reported: it was not yet, and there were fewer than
    /// [`MAX_REPORTED`]. `content` tells records apart whose key or revision is unknown.
    pub(crate) fn insert(&mut self, content: &[u8], revision: Revision) -> bool {
        self.0.len() < MAX_REPORTED && self.0.insert(xxh3_64_with_seed(content, revision.0))
    }
}
