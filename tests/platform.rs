//! The users' platform through the adapter: its messages, good and malformed,
//! and nodes against stand-ins of its store and its servers.

#[macro_use]
mod support;

#[path = "platform/abandoned.rs"]
mod abandoned;
#[path = "platform/closing.rs"]
mod closing;
#[path = "platform/config.rs"]
mod config;
#[path = "platform/cut_body.rs"]
mod cut_body;
#[path = "platform/departure.rs"]
mod departure;
#[path = "platform/drain.rs"]
mod drain;
#[path = "platform/endless.rs"]
mod endless;
#[path = "platform/grace.rs"]
mod grace;
#[path = "platform/head_cut.rs"]
mod head_cut;
#[path = "platform/heartbeat.rs"]
mod heartbeat;
#[path = "platform/late_copy.rs"]
mod late_copy;
#[path = "platform/names.rs"]
mod names;
#[path = "platform/odd_head.rs"]
mod odd_head;
#[path = "platform/odd_rows.rs"]
mod odd_rows;
#[path = "platform/pages.rs"]
mod pages;
#[path = "platform/path.rs"]
mod path;
#[path = "support/received.rs"]
mod received;
#[path = "platform/site.rs"]
mod site;
#[path = "platform/stop.rs"]
mod stop;
#[path = "platform/store.rs"]
mod store;
#[path = "platform/suspect.rs"]
mod suspect;
#[path = "platform/unproven.rs"]
mod unproven;
