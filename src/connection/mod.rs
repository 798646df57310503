//! Connections to callers, to upstreams and between nodes: framing, body flow
//! control, authentication and header filtering.

pub(crate) mod activity;
pub(crate) mod body;
pub(crate) mod caller;
pub(crate) mod door;
pub mod frame;
pub mod header;
pub(crate) mod link;
pub mod message;
pub(crate) mod queue;
pub(crate) mod refusal;
pub(crate) mod secret;
pub mod socket;
pub(crate) mod upstream;
