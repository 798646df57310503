//! Connections that notice when their other end is gone.
//!
//! Guards against a connection that goes silent without a reset: what was sent
//! over it would wait until its deadline, and so would everything sent after it,
//! while a new connection to the same place works. Only unanswered bytes show
//! it, so the system is asked to look for them: it probes a quiet connection and
//! gives up one whose bytes nobody acknowledges. That costs the process nothing,
//! and it holds for a peer that is busy, as its system answers for it.

use std::{
    io,
    time::Duration, //
};

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// How long a connection is quiet before it is probed.
const QUIET: Duration = Duration::from_secs(1);
/// The time between two probes, in whole seconds as the system takes it.
const INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is broken.
const PROBES: u32 = 2;
/// How long sent bytes may go without an acknowledgement, in milliseconds. On a
/// link that loses three packets in a hundred five in a row are lost once in
/// forty million times; on one that is choked packets wait about a second.
const UNANSWERED_MS: u32 = 2500;

/// Prepares a connection that carries requests.
///
/// # Errors
///
/// When the connection is broken already.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, QUIET)?;
    sockopt::set_tcp_keepintvl(stream, INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNANSWERED_MS)?;
    Ok(())
}
