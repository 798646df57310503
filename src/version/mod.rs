//! What lives as long as one version of the configuration.

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
