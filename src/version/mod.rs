//! The versioned configuration: its document, how it is edited and checked, and
//! how nodes adopt it and know that it is current.

pub mod adoption;
pub mod change;
pub mod check;
pub mod commit;
pub mod document;
pub mod edit;
pub mod evacuation;
pub mod follow;
pub mod freshness;
pub mod tables;
pub mod team;

mod parse;
mod pattern;
pub(crate) mod source;
