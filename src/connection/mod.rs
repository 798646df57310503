//! What lives as long as one connection.

pub(crate) mod body;
pub(crate) mod caller;
pub(crate) mod door;
pub mod frame;
pub mod header;
pub(crate) mod link;
pub mod message;
pub(crate) mod refusal;
pub(crate) mod secret;
pub mod socket;
pub(crate) mod upstream;
