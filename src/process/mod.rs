//! The long-lived components of a node: its state, tasks, listeners and clients.

pub mod announce;
pub(crate) mod beside;
pub(crate) mod carrier;
pub mod client;
pub mod contact;
pub mod directory;
pub mod event;
pub(crate) mod export;
pub mod feed;
pub(crate) mod intake;
pub mod interface;
pub mod introducer;
pub mod lease;
pub(crate) mod links;
pub mod log;
pub mod member;
pub mod metric;
pub mod node;
pub(crate) mod probe;
pub mod quota;
pub(crate) mod recorder;
pub(crate) mod relay;
pub(crate) mod reported;
pub mod server;
pub mod settings;
pub mod store;
