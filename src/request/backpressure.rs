//! What an upstream tells about itself in the head of every answer.
//!
//! An upstream in need names the requests a second that it takes from all nodes
//! together, and one that leaves says so. Both hold from the answer that says it.

use crate::unit::Rate;

/// The limit in the head of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Limit {
    /// None is named.
    #[default]
    Absent,
    /// Requests a second from all nodes together.
    Named(Rate),
    /// One is named that is no rate.
    Unreadable,
}

/// What the head of one answer tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signal {
    /// The limit that the upstream names.
    pub limit: Limit,
    /// Whether it says that it leaves.
    pub leaving: bool,
}
