//! Links between nodes: WebSocket with CBOR frames, both ends authenticated.
//!
//! A node sends its attempts over the link that it dialed itself and receives
//! the answers over the same link. So two nodes that call each other have two
//! links, and when a link breaks, only the attempts sent over it have an unknown
//! outcome.
//!
//! The handshake has its own, smaller size limits. Each end sends a random
//! challenge and proves that it knows the fleet secret by an HMAC over both
//! challenges and both names. The label of the HMAC differs by role, which
//! prevents reflection attacks. The dialer sends no frame before the accepter
//! has confirmed the handshake.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use bytes::Bytes;
use futures_util::{
    SinkExt, StreamExt,
    stream::{
        FuturesUnordered,
        SplitSink,
        SplitStream, //
    },
};
use rand::Rng;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{
        self, Message,
        protocol::{
            Role,
            WebSocketConfig, //
        },
    },
};

use super::{
    queue::{
        Item,
        Metered,
        Queued, //
    },
    secret::Ring,
    socket, //
};
use crate::{
    clock::Span,
    error::{
        Code,
        Error,
        Result, //
    },
    frame,
    id, //
};

/// The largest handshake message, in bytes.
const HANDSHAKE_LIMIT: usize = 1024;

/// Size of a link's read buffer, in bytes. Every link keeps one, so with the
/// library's default of 128 KiB a hundred links would take 12 MiB.
const READ_BUFFER: usize = 16 << 10;

/// Time limit for dialing and authenticating a link.
pub(crate) const HANDSHAKE_TIMEOUT: Span = Span::from_secs(2);
/// Time limit for the peer of a closed link to receive the last frames and close its end.
const CLOSE_TIMEOUT: Span = Span::from_ms(500);
/// Time after which another connection to the same address is attempted. It exceeds a
/// round trip between distant regions.
const CONNECT_ATTEMPT_INTERVAL: Span = Span::from_ms(400);

/// Most queued frames added to a write before the socket is flushed.
const FLUSH_BATCH: usize = 64;

/// A connection during its handshake.
type Handshake = WebSocketStream<TcpStream>;
/// The connection of an authenticated link.
type Socket = WebSocketStream<Metered>;

/// An authenticated connection, over which no frame was sent yet.
pub(crate) struct Authenticated {
    stream: TcpStream,
    role: Role,
}

/// The dialer's first handshake message.
#[derive(Serialize, Deserialize)]
struct Hello {
    instance: id::Instance,
    #[serde(with = "serde_bytes")]
    challenge: Vec<u8>,
}

/// The accepter's challenge and proofs.
#[derive(Serialize, Deserialize)]
struct Reply {
    instance: id::Instance,
    #[serde(with = "serde_bytes")]
    challenge: Vec<u8>,
    proofs: Vec<Vec<u8>>,
}

/// The dialer's proofs.
#[derive(Serialize, Deserialize)]
struct Proof {
    proofs: Vec<Vec<u8>>,
}

/// The accepter's confirmation, which ends the handshake.
#[derive(Serialize, Deserialize)]
struct Welcome {}

/// The names and challenges of a handshake, over which both ends compute their
/// proofs.
struct Transcript {
    dialer: id::Instance,
    accepter: id::Instance,
    challenge: Vec<u8>,
    reply: Vec<u8>,
}

impl Transcript {
    fn parts(&self) -> [&[u8]; 4] {
        [
            self.dialer.as_str().as_bytes(),
            self.accepter.as_str().as_bytes(),
            &self.challenge,
            &self.reply,
        ]
    }
}

fn random_challenge() -> Vec<u8> {
    let mut bytes = vec![0; 32];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

fn websocket_config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER.min(limit))
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

fn unreachable_error(error: impl std::fmt::Display) -> Error {
    Error::new(Code::Unreachable, error.to_string())
}

fn authentication_error() -> Error {
    Error::new(Code::Secret, "the peer does not know the fleet secret")
}

async fn send_message<T: Serialize>(socket: &mut Handshake, value: &T) -> Result<()> {
    let bytes = frame::encode(value, HANDSHAKE_LIMIT)?;
    socket
        .send(Message::binary(bytes))
        .await
        .map_err(unreachable_error)
}

async fn receive_message<T: DeserializeOwned>(socket: &mut Handshake) -> Result<T> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => frame::decode(&bytes, HANDSHAKE_LIMIT),
        _ => Err(authentication_error()),
    }
}

impl Authenticated {
    /// Ends a handshake. No buffered bytes are lost, because its ends send only in turn.
    fn new(socket: Handshake, role: Role) -> Self {
        let stream = socket.into_inner();
        Self { stream, role }
    }

    /// Wraps the connection with the limits of an authenticated link.
    async fn open(self, queue: &Queued) -> Socket {
        let stream = Metered::new(self.stream, queue.held().clone());
        let config = websocket_config(frame::LIMIT);
        WebSocketStream::from_raw_socket(stream, self.role, Some(config)).await
    }
}

/// Connects to an address. A machine that is just starting loses the first request, which
/// the system repeats only after a second, so others are sent meanwhile.
async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        tokio::select! {
            Some(outcome) = attempts.next() => return outcome,
            () = tokio::time::sleep(CONNECT_ATTEMPT_INTERVAL.to_std()) => {}
        }
    }
}

/// Dials a peer and authenticates the link.
///
/// # Errors
///
/// If the peer can't be reached, has another name or doesn't know the secret.
pub(crate) async fn dial(
    address: SocketAddr,
    me: &id::Instance,
    peer: &id::Instance,
    ring: &Ring,
) -> Result<Authenticated> {
    let stream = connect(address).await?;
    socket::configure(&stream)?;
    let url = format!("ws://{address}/link");
    let (mut socket, _) =
        client_async_with_config(url, stream, Some(websocket_config(HANDSHAKE_LIMIT)))
            .await
            .map_err(unreachable_error)?;
    let challenge = random_challenge();
    let hello = Hello {
        instance: me.clone(),
        challenge: challenge.clone(),
    };
    send_message(&mut socket, &hello).await?;
    let reply: Reply = receive_message(&mut socket).await?;
    if reply.instance != *peer {
        let reason = format!("{address} is `{}`, not `{peer}`", reply.instance);
        return Err(Error::new(Code::Unreachable, reason));
    }
    let transcript = Transcript {
        dialer: me.clone(),
        accepter: reply.instance,
        challenge,
        reply: reply.challenge,
    };
    if !ring.verify("accept", &transcript.parts(), &reply.proofs) {
        return Err(authentication_error());
    }
    let proofs = ring.prove("dial", &transcript.parts());
    send_message(&mut socket, &Proof { proofs }).await?;
    let Welcome {} = receive_message(&mut socket).await?;
    Ok(Authenticated::new(socket, Role::Client))
}

/// Accepts and authenticates a link. Returns the peer's name and the connection.
///
/// # Errors
///
/// If the peer doesn't know the secret or violates the protocol.
pub(crate) async fn accept(
    stream: TcpStream,
    me: &id::Instance,
    ring: &Ring,
) -> Result<(id::Instance, Authenticated)> {
    socket::configure(&stream)?;
    let mut socket = accept_async_with_config(stream, Some(websocket_config(HANDSHAKE_LIMIT)))
        .await
        .map_err(unreachable_error)?;
    let hello: Hello = receive_message(&mut socket).await?;
    let transcript = Transcript {
        dialer: hello.instance,
        accepter: me.clone(),
        challenge: hello.challenge,
        reply: random_challenge(),
    };
    let reply = Reply {
        instance: me.clone(),
        challenge: transcript.reply.clone(),
        proofs: ring.prove("accept", &transcript.parts()),
    };
    send_message(&mut socket, &reply).await?;
    let Proof { proofs } = receive_message(&mut socket).await?;
    if !ring.verify("dial", &transcript.parts(), &proofs) {
        return Err(authentication_error());
    }
    send_message(&mut socket, &Welcome {}).await?;
    let authenticated = Authenticated::new(socket, Role::Server);
    Ok((transcript.dialer, authenticated))
}

/// What is received over a link.
pub(crate) enum Incoming {
    /// An encoded frame.
    Frame(Bytes),
    /// The answer to [`Outgoing::Ping`](super::queue::Outgoing::Ping). The peer's process
    /// gives it, unlike the acknowledgements of its system.
    Pong,
}

/// Sends what is queued and passes on what is received, until the link breaks,
/// `on_message` fails or the queue is closed. All frames of a closed queue are sent.
pub(crate) async fn run(
    connection: Authenticated,
    queue: Queued,
    on_message: Rc<dyn Fn(Incoming) -> Result<()>>,
) {
    let held = queue.held().clone();
    let (sink, mut stream) = connection.open(&queue).await.split();
    let read = async {
        while let Some(Ok(message)) = stream.next().await {
            held.completed(&message);
            let accepted = match message {
                Message::Binary(bytes) => on_message(Incoming::Frame(bytes)).is_ok(),
                Message::Pong(_) => on_message(Incoming::Pong).is_ok(),
                Message::Close(_) => false,
                _ => true,
            };
            if !accepted {
                return;
            }
        }
    };
    let sent = tokio::select! {
        () = read => return,
        sent = write(sink, queue) => sent,
    };
    if sent.is_ok() {
        let disconnected = discard(&mut stream);
        let _ = tokio::time::timeout(CLOSE_TIMEOUT.to_std(), disconnected).await;
    }
}

/// Reads until the peer closes its end, which it does after the last frame. If the
/// socket were closed earlier, frames of the peer would be answered with a reset, and
/// the bytes that the system has not sent yet would be lost.
async fn discard(stream: &mut SplitStream<Socket>) {
    while let Some(Ok(message)) = stream.next().await
        && !message.is_close()
    {}
}

/// Sends the frames of a queue until it is closed, then closes the link.
async fn write(
    mut sink: SplitSink<Socket, Message>,
    mut queue: Queued,
) -> std::result::Result<(), tungstenite::Error> {
    while let Some(item) = queue.next().await {
        feed(&mut sink, item).await?;
        for _ in 0..FLUSH_BATCH {
            let Some(item) = queue.try_next() else {
                break;
            };
            feed(&mut sink, item).await?;
        }
        sink.flush().await?;
    }
    sink.close().await
}

/// Writes a message, which counts as queued until then.
async fn feed(
    sink: &mut SplitSink<Socket, Message>,
    item: Item,
) -> std::result::Result<(), tungstenite::Error> {
    sink.feed(item.message).await?;
    drop(item.slot);
    Ok(())
}
