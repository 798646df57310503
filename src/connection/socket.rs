//! TCP options that detect a dead peer.
//!
//! A connection can go silent without a reset. Requests on it, and all later
//! ones, would then wait until their deadlines although a new connection to the
//! same address works. Only unacknowledged bytes reveal this, so detection is
//! left to the kernel: keepalive probes idle connections, and the user timeout
//! closes those whose data stays unacknowledged. This costs the process nothing
//! and doesn't misjudge a busy peer, because the peer's kernel acknowledges.

use std::{
    io,
    time::Duration, //
};

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between keepalive probes. The kernel takes whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;
/// How long sent data may stay unacknowledged, in milliseconds. At 3 % packet
/// loss, five losses in a row occur once in forty million times; on a congested
/// link packets are delayed by about a second.
const USER_TIMEOUT_MS: u32 = 2500;

/// Sets `TCP_NODELAY`, keepalive and the user timeout on a connection that
/// carries requests.
///
/// # Errors
///
/// If an option can't be set, for example because the connection is closed.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}
