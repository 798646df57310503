//! The start of a node as a process: what it meets before it serves, and how it
//! takes over from a predecessor.

#[path = "start/process.rs"]
mod process;
#[path = "start/signal.rs"]
mod signal;
