//! Links between nodes: WebSocket with CBOR frames, both ends authenticated.
//!
//! A node sends its attempts over the link that it dialed itself, and the
//! answers come back over that same link. So two nodes that call each other
//! have two links, and a link that breaks puts exactly the attempts in doubt
//! that went over it.
//!
//! The handshake runs under small limits of its own. Each end sends a random
//! challenge, and shows that it knows the fleet secret by an HMAC over both
//! challenges and both names, under a label that differs by role, so that no
//! proof can be turned back at its maker. The dialer sends no frame before the
//! accepter has agreed.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use bytes::Bytes;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use rand::Rng;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use tokio::{
    net::TcpStream,
    sync::mpsc, //
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{
        Message,
        protocol::{
            Role,
            WebSocketConfig, //
        },
    },
};

use super::{
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

/// The largest message of the handshake, in bytes.
const HELLO_LIMIT: usize = 1024;

/// Bytes read from a link at once. Every link keeps a buffer of this size, so
/// the library's 128 KiB would cost a node with a hundred links 12 MiB.
const READ_BUFFER: usize = 16 << 10;

/// Time for a link to be dialed and authenticated.
pub(crate) const HANDSHAKE_TIMEOUT: Span = Span::from_secs(2);

/// Frames that are written before the socket is flushed.
const BATCH: usize = 64;

type Socket = WebSocketStream<TcpStream>;

/// A dialer's first word.
#[derive(Serialize, Deserialize)]
struct Hello {
    instance: id::Instance,
    #[serde(with = "serde_bytes")]
    challenge: Vec<u8>,
}

/// The accepter's challenge, with its own proofs.
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

/// The accepter agrees.
#[derive(Serialize, Deserialize)]
struct Welcome {}

/// Who takes part in a handshake, as both ends sign it.
struct Parties {
    dialer: id::Instance,
    accepter: id::Instance,
    challenge: Vec<u8>,
    reply: Vec<u8>,
}

impl Parties {
    fn parts(&self) -> [&[u8]; 4] {
        [
            self.dialer.as_str().as_bytes(),
            self.accepter.as_str().as_bytes(),
            &self.challenge,
            &self.reply,
        ]
    }
}

fn nonce() -> Vec<u8> {
    let mut bytes = vec![0; 32];
    rand::rng().fill_bytes(&mut bytes);
    bytes
}

fn config(limit: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER.min(limit))
        .max_message_size(Some(limit))
        .max_frame_size(Some(limit))
}

fn broken(error: impl std::fmt::Display) -> Error {
    Error::new(Code::Unreachable, error.to_string())
}

fn stranger() -> Error {
    Error::new(Code::Secret, "the peer does not know the fleet secret")
}

async fn say<T: Serialize>(socket: &mut Socket, value: &T) -> Result<()> {
    let bytes = frame::encode(value, HELLO_LIMIT)?;
    socket.send(Message::binary(bytes)).await.map_err(broken)
}

async fn hear<T: DeserializeOwned>(socket: &mut Socket) -> Result<T> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => frame::decode(&bytes, HELLO_LIMIT),
        _ => Err(stranger()),
    }
}

/// Wraps the socket anew under the limits of an authenticated link. Nothing is
/// lost between, as the handshake goes in lock step.
async fn widen(socket: Socket, role: Role) -> Socket {
    WebSocketStream::from_raw_socket(socket.into_inner(), role, Some(config(frame::LIMIT))).await
}

/// Makes a link to a peer at its address.
///
/// # Errors
///
/// When it cannot be reached, is another, or does not know the secret.
pub(crate) async fn dial(
    address: SocketAddr,
    me: &id::Instance,
    peer: &id::Instance,
    ring: &Ring,
) -> Result<Socket> {
    let stream = TcpStream::connect(address).await?;
    socket::prepare(&stream)?;
    let url = format!("ws://{address}/link");
    let (mut socket, _) = client_async_with_config(url, stream, Some(config(HELLO_LIMIT)))
        .await
        .map_err(broken)?;
    let challenge = nonce();
    let hello = Hello {
        instance: me.clone(),
        challenge: challenge.clone(),
    };
    say(&mut socket, &hello).await?;
    let reply: Reply = hear(&mut socket).await?;
    if reply.instance != *peer {
        let reason = format!("{address} is `{}`, not `{peer}`", reply.instance);
        return Err(Error::new(Code::Unreachable, reason));
    }
    let parties = Parties {
        dialer: me.clone(),
        accepter: reply.instance,
        challenge,
        reply: reply.challenge,
    };
    if !ring.verify("accept", &parties.parts(), &reply.proofs) {
        return Err(stranger());
    }
    let proofs = ring.prove("dial", &parties.parts());
    say(&mut socket, &Proof { proofs }).await?;
    let Welcome {} = hear(&mut socket).await?;
    Ok(widen(socket, Role::Client).await)
}

/// Accepts a link, and tells whose it is.
///
/// # Errors
///
/// When the peer does not know the secret, or does not speak the protocol.
pub(crate) async fn accept(
    stream: TcpStream,
    me: &id::Instance,
    ring: &Ring,
) -> Result<(id::Instance, Socket)> {
    socket::prepare(&stream)?;
    let mut socket = accept_async_with_config(stream, Some(config(HELLO_LIMIT)))
        .await
        .map_err(broken)?;
    let hello: Hello = hear(&mut socket).await?;
    let parties = Parties {
        dialer: hello.instance,
        accepter: me.clone(),
        challenge: hello.challenge,
        reply: nonce(),
    };
    let reply = Reply {
        instance: me.clone(),
        challenge: parties.reply.clone(),
        proofs: ring.prove("accept", &parties.parts()),
    };
    say(&mut socket, &reply).await?;
    let Proof { proofs } = hear(&mut socket).await?;
    if !ring.verify("dial", &parties.parts(), &proofs) {
        return Err(stranger());
    }
    say(&mut socket, &Welcome {}).await?;
    Ok((parties.dialer, widen(socket, Role::Server).await))
}

/// The queue of a link's frames, already encoded.
pub(crate) type Queue = mpsc::UnboundedSender<Vec<u8>>;

/// Carries frames both ways until the link breaks, a frame is refused, or the
/// queue is closed.
pub(crate) async fn carry(
    socket: Socket,
    queue: mpsc::UnboundedReceiver<Vec<u8>>,
    take: Rc<dyn Fn(Bytes) -> Result<()>>,
) {
    let (sink, mut stream) = socket.split();
    let read = async {
        while let Some(Ok(message)) = stream.next().await {
            let taken = match message {
                Message::Binary(bytes) => take(bytes).is_ok(),
                Message::Close(_) => false,
                _ => true,
            };
            if !taken {
                return;
            }
        }
    };
    tokio::select! {
        () = read => {}
        () = write(sink, queue) => {}
    }
}

async fn write(
    mut sink: futures_util::stream::SplitSink<Socket, Message>,
    mut queue: mpsc::UnboundedReceiver<Vec<u8>>,
) {
    while let Some(bytes) = queue.recv().await {
        if sink.feed(Message::binary(bytes)).await.is_err() {
            return;
        }
        for _ in 0..BATCH {
            let Ok(bytes) = queue.try_recv() else { break };
            if sink.feed(Message::binary(bytes)).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}
