//! The start of a node as a process: what it meets before it serves, and how it
//! takes over from a predecessor.

#[macro_use]
mod support;

#[path = "start/process.rs"]
mod process;
#[path = "start/record.rs"]
mod record;
#[path = "start/retry.rs"]
mod retry;
#[path = "start/settings.rs"]
mod settings;
#[path = "start/signal.rs"]
mod signal;
#[path = "start/socket.rs"]
mod socket;
#[path = "start/successor.rs"]
mod successor;
#[path = "start/unread_log.rs"]
mod unread_log;
