//! Opens the sockets that a node listens on.

use std::{
    io,
    net::SocketAddr, //
};

use tokio::net::{
    TcpListener,
    UdpSocket, //
};

use crate::{
    error::{
        Code,
        Error,
        Result, //
    },
    settings::Listen,
};

/// Maximum number of attempts to bind TCP and UDP to the same free port.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Addresses that a node listens on, with the ports assigned by the system.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the local service that runs next to the node.
    pub service: SocketAddr,
    /// For links and datagrams.
    pub links: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For announcements of the service, if they have a listener of their own.
    pub announcements: Option<SocketAddr>,
    /// For readiness checks, which tell whether callers may be sent to this node.
    pub ready: Option<SocketAddr>,
}

/// The listeners of a node, except the one for links.
pub(super) struct Listeners {
    pub(super) callers: TcpListener,
    pub(super) service: Option<TcpListener>,
    pub(super) operators: TcpListener,
    pub(super) announcements: Option<TcpListener>,
    pub(super) ready: Option<TcpListener>,
}

/// Everything that a node listens on, bound but not served yet.
pub(crate) struct Sockets {
    pub(super) listeners: Listeners,
    pub(super) links: TcpListener,
    pub(super) datagrams: UdpSocket,
    pub(super) addresses: Addresses,
}

impl Sockets {
    /// Binds every socket, or none.
    ///
    /// The listener of callers comes last: while another address is in use, callers
    /// are refused a connection instead of waiting on one that nobody serves.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first listener that cannot be bound.
    pub(crate) async fn bind(listen: &Listen) -> Result<Self> {
        let (links, datagrams) = bind_pair(listen.links).await?;
        let listeners = Listeners::bind(listen).await?;
        let addresses = listeners.addresses(links.local_addr()?)?;
        Ok(Self {
            listeners,
            links,
            datagrams,
            addresses,
        })
    }
}

impl Listeners {
    async fn bind(listen: &Listen) -> Result<Self> {
        let service = listen.announcements.is_none().then_some(listen.service);
        Ok(Self {
            operators: bind_tcp("operators", listen.operators).await?,
            announcements: bind_optional("announcements", listen.announcements).await?,
            ready: bind_optional("ready", listen.ready).await?,
            service: bind_optional("service", service).await?,
            callers: bind_tcp("callers", listen.callers).await?,
        })
    }

    fn addresses(&self, links: SocketAddr) -> Result<Addresses> {
        let callers = self.callers.local_addr()?;
        let service = self.service.as_ref().map(TcpListener::local_addr);
        Ok(Addresses {
            callers,
            service: service.transpose()?.unwrap_or(callers),
            links,
            operators: self.operators.local_addr()?,
            announcements: local_addr(self.announcements.as_ref())?,
            ready: local_addr(self.ready.as_ref())?,
        })
    }
}

fn local_addr(listener: Option<&TcpListener>) -> Result<Option<SocketAddr>> {
    Ok(listener.map(TcpListener::local_addr).transpose()?)
}

async fn bind_tcp(name: &str, address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| bind_error(name, "TCP", address, &error))
}

async fn bind_optional(name: &str, address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    Ok(match address {
        Some(address) => Some(bind_tcp(name, address).await?),
        None => None,
    })
}

/// Names the listener by its field in the settings.
fn bind_error(name: &str, protocol: &str, address: SocketAddr, error: &io::Error) -> Error {
    let reason = format!("cannot bind `{name}` to {protocol} address {address}: {error}");
    Error::new(Code::Bind, reason)
}

/// Binds TCP for links and UDP for datagrams to the same port. A port that the
/// system picks for TCP may be in use for UDP, so several are tried.
async fn bind_pair(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut tries = 0;
    loop {
        tries += 1;
        let links = bind_tcp("links", address).await?;
        let bound = links.local_addr()?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((links, socket)),
            Err(error) if address.port() != 0 || tries == MAX_BIND_ATTEMPTS => {
                return Err(bind_error("links", "UDP", bound, &error));
            }
            Err(_) => {}
        }
    }
}
