//! Addresses that are in use when a node starts.

use std::{
    io::Read,
    net::{
        SocketAddr,
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
};

use rustix::process::Signal;
use tokio::net::TcpSocket;

use crate::process::{
    Node,
    Site,
    free,
    last_error,
    message, //
};

/// Who has an address.
#[derive(Clone, Copy)]
enum Holder {
    Listener,
    Datagrams,
    Connection,
}

/// What holds an address.
enum Held {
    Listener(TcpListener),
    Datagrams(UdpSocket),
    Connection(TcpStream, TcpStream),
}

impl Held {
    /// Frees the address. The peer of a connection closes first: the end that does
    /// keeps its address for as long as a late segment may arrive.
    fn free(self) {
        match self {
            Self::Listener(listener) => drop(listener),
            Self::Datagrams(socket) => drop(socket),
            Self::Connection(mut stream, peer) => {
                drop(peer);
                assert_eq!(stream.read(&mut [0]).expect("closed"), 0);
            }
        }
    }
}

impl Holder {
    /// Takes an address, which becomes that of a listener in the settings.
    fn hold(self, site: &mut Site, field: &str) -> Held {
        match self {
            Self::Listener => Held::Listener(site.hold(field)),
            Self::Datagrams => Held::Datagrams(UdpSocket::bind(site.address(field)).expect("free")),
            Self::Connection => {
                let listener = free(&site.address(field).ip().to_string());
                let stream = connect(&listener);
                let (peer, _) = listener.accept().expect("accepted");
                let address = stream.local_addr().expect("an address").to_string();
                site.settings["listen"][field] = address.into();
                Held::Connection(stream, peer)
            }
        }
    }
}

/// Connects to a listener from a free port of its own address, where no other process
/// has a connection on the same port.
fn connect(listener: &TcpListener) -> TcpStream {
    let peer = listener.local_addr().expect("an address");
    let stream = actix_rt::System::new().block_on(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        let source = SocketAddr::new(peer.ip(), 0);
        socket.bind(source).expect("a free port");
        let stream = socket.connect(peer).await.expect("connected");
        stream.into_std().expect("a socket")
    });
    stream.set_nonblocking(false).expect("set");
    stream
}

/// Guards against a node that exits because an address is still in use, and against
/// an error that does not name it.
fn waits(host: &str, field: &str, holder: Holder) {
    let mut site = Site::new(&format!("address-{host}"), host);
    let held = holder.hold(&mut site, field);
    let address = site.address(field);
    let mut node = Node::start(&site.write().path);
    let line = node.logs("the node cannot start yet");
    let protocol = match holder {
        Holder::Datagrams => "UDP",
        Holder::Listener | Holder::Connection => "TCP",
    };
    let named = format!("cannot bind `{field}` to {protocol} address {address}");
    assert!(message(&line).contains(&named), "{line}");
    assert_eq!(line["code"], 7002);
    if field != "callers" {
        refuses(site.address("callers"));
    }
    held.free();
    node.logs("all addresses are bound now");
    node.logs("the node listens");
    TcpStream::connect(site.address("callers")).expect("served");
    node.signal(Signal::TERM);
    assert_eq!(node.ended().status.code(), Some(0));
}

/// A connection to a node that cannot serve it is refused, and does not wait.
fn refuses(callers: SocketAddr) {
    let error = TcpStream::connect(callers).expect_err("refused");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
}

cases! { waits:
    address_of_callers_is_waited_for => ("127.63.3.1", "callers", Holder::Listener),
    address_of_the_service_is_waited_for => ("127.63.3.2", "service", Holder::Listener),
    address_of_links_is_waited_for => ("127.63.3.3", "links", Holder::Listener),
    address_of_datagrams_is_waited_for => ("127.63.3.4", "links", Holder::Datagrams),
    address_of_operators_is_waited_for => ("127.63.3.5", "operators", Holder::Listener),
    address_of_announcements_is_waited_for => ("127.63.3.6", "announcements", Holder::Listener),
    address_of_readiness_is_waited_for => ("127.63.3.7", "ready", Holder::Listener),
    address_of_an_outgoing_connection_is_waited_for =>
        ("127.63.3.8", "callers", Holder::Connection),
}

/// Guards against an exit whose error does not name the address.
#[test]
fn address_in_use_is_an_error_in_the_end() {
    let mut site = Site::new("address-for-good", "127.63.4.1");
    let _held = site.hold("operators");
    let address = site.address("operators");
    let node = Node::start_with(&site.write().path, &["--start-timeout", "300ms"]);
    let ended = node.ended();
    assert_eq!(ended.status.code(), Some(7), "{}", ended.stderr);
    let named = format!("cannot bind `operators` to TCP address {address}");
    assert!(ended.stderr.contains(&named), "{}", ended.stderr);
    assert!(ended.stderr.contains("(code 7002)"), "{}", ended.stderr);
    assert!(message(last_error(&ended.log)).contains(&named));
}

/// Guards against a node that waits for an address which its settings no longer hold.
#[test]
fn corrected_address_ends_the_wait() {
    let mut site = Site::new("address-corrected", "127.63.4.2");
    // Not an address of this machine.
    site.settings["listen"]["operators"] = "192.0.2.1:4700".into();
    let mut node = Node::start(&site.write().path);
    let line = node.logs("the node cannot start yet");
    assert!(
        message(&line).contains("TCP address 192.0.2.1:4700"),
        "{line}"
    );
    let address = free("127.63.4.2").local_addr().expect("an address");
    site.settings["listen"]["operators"] = address.to_string().into();
    site.write();
    node.signal(Signal::HUP);
    node.logs("the node listens");
    node.signal(Signal::TERM);
    assert_eq!(node.ended().status.code(), Some(0));
}
