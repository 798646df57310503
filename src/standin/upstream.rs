//! A stand-in for an upstream: answers by a script, and remembers what it saw.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    rc::Rc, //
};

use actix_http::{
    HttpMessage,
    Request,
    Response,
    StatusCode,
    body::BodySize,
    h1, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::future::LocalBoxFuture;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
};
use tokio_util::codec::{
    Decoder,
    Encoder, //
};

use crate::{
    clock::Span,
    error::Result, //
};

/// A request as the upstream saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Number of the connection over which it came, from 1 on.
    pub connection: usize,
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub target: String,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body, as far as it came.
    pub body: Bytes,
    /// Whether its body has come whole.
    pub whole: bool,
}

impl Seen {
    /// Whether its head announces no body.
    pub fn is_bodiless(&self) -> bool {
        self.header("transfer-encoding").is_none()
            && self
                .header("content-length")
                .is_none_or(|length| length == "0")
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What the upstream does with a request.
#[derive(Clone)]
pub enum Act {
    /// Answers whole, with this status, headers and body.
    Answer(u16, Vec<(&'static str, String)>, Bytes),
    /// Writes these bytes, then goes on with another act; before it reads the body if
    /// the script says so at the head.
    Before(Bytes, Box<Act>),
    /// Answers in chunks of unknown number: this one, so many times.
    Stream(Bytes, usize),
    /// Writes exactly these bytes, and closes the connection.
    Raw(Bytes),
    /// Waits to be told, then goes on with another act.
    Hold(Rc<Notify>, Box<Act>),
    /// Does some work, then goes on with the act that it returns.
    Work(Rc<dyn Fn() -> LocalBoxFuture<'static, Act>>),
    /// Does another act before it reads the body, and then reads on.
    Ahead(Box<Act>),
    /// Answers at once without reading the body.
    Early(u16),
    /// Writes exactly these bytes before it reads the body, and then nothing more.
    HalfClose(Bytes),
    /// Writes exactly these bytes before it reads the body, and resets the connection this
    /// much later.
    Abandon(Bytes, Span),
    /// Closes the connection, by a reset if so.
    Close(bool),
    /// Never answers, nor reads on.
    Silence,
    /// Ends the whole upstream, with all that it runs.
    Exit,
    /// Writes the first bytes, then the second ones without end, until the connection is
    /// closed.
    Endless(Bytes, Bytes),
}

impl Act {
    /// A whole answer with a body and nothing else.
    pub fn whole(body: impl Into<Bytes>) -> Self {
        Self::Answer(200, Vec::new(), body.into())
    }
}

type Script = Rc<dyn Fn(&Seen) -> Act>;

/// A running stand-in. It ends when it is dropped.
pub struct Upstream {
    address: SocketAddr,
    state: Rc<State>,
    task: actix_rt::task::JoinHandle<()>,
}

struct State {
    script: Script,
    seen: RefCell<Vec<Seen>>,
    keep: Cell<bool>,
    connections: Cell<usize>,
    open: Cell<usize>,
    written: Cell<usize>,
    changed: Notify,
    /// Whether the upstream has ended.
    ended: Cell<bool>,
    /// Whether it accepts connections.
    listens: Cell<bool>,
}

impl State {
    /// Returns once the upstream has ended.
    async fn ended(&self) {
        while !self.ended.get() {
            self.changed.notified().await;
        }
    }

    /// Returns once no connection is accepted any more.
    async fn deaf(&self) {
        while self.listens.get() {
            self.changed.notified().await;
        }
    }
}

impl Upstream {
    /// Starts on a free port.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub async fn start(script: impl Fn(&Seen) -> Act + 'static) -> Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), script).await
    }

    /// Starts at an address.
    ///
    /// # Errors
    ///
    /// When it cannot be listened on.
    pub async fn start_at(
        address: SocketAddr,
        script: impl Fn(&Seen) -> Act + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(State {
            script: Rc::new(script),
            seen: RefCell::default(),
            keep: Cell::new(true),
            connections: Cell::new(0),
            open: Cell::new(0),
            written: Cell::new(0),
            changed: Notify::new(),
            ended: Cell::new(false),
            listens: Cell::new(true),
        });
        let task = actix_rt::spawn(accept(listener, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends, as [`Act::Exit`] does.
    pub fn end(&self) {
        self.state.ended.set(true);
        self.state.changed.notify_waiters();
    }

    /// Ends, and returns once it listens no more and all connections are about to close.
    pub async fn close(self) {
        self.end();
        self.state.deaf().await;
    }

    /// Forgets what it sees from now on, for long runs.
    pub fn forget(&self) {
        self.state.keep.set(false);
        self.state.seen.borrow_mut().clear();
    }

    /// Every request so far, in the order of their heads.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.seen.borrow().clone()
    }

    /// Connections made to it so far.
    pub fn connections(&self) -> usize {
        self.state.connections.get()
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.state.open.get()
    }

    /// Bytes of streamed bodies that its sockets have taken.
    pub fn written(&self) -> usize {
        self.state.written.get()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.ended() => break,
        };
        let Ok((stream, _)) = accepted else {
            break;
        };
        state.connections.set(state.connections.get() + 1);
        let number = state.connections.get();
        state.open.set(state.open.get() + 1);
        let state = state.clone();
        actix_rt::spawn(async move {
            let _ = stream.set_nodelay(true);
            tokio::select! {
                () = serve(stream, number, &state) => {}
                () = state.deaf() => {}
            }
            state.open.set(state.open.get() - 1);
            state.changed.notify_waiters();
        });
    }
    drop(listener);
    state.listens.set(false);
    state.changed.notify_waiters();
}

/// Serves one connection until either end is done with it.
async fn serve(mut stream: TcpStream, number: usize, state: &State) {
    let mut codec = h1::Codec::default();
    let mut input = BytesMut::new();
    let mut output = BytesMut::new();
    while let Some(head) = head(&mut stream, &mut codec, &mut input).await {
        let mut seen = look(&head, number);
        match (state.script)(&seen) {
            Act::Early(status) => {
                remember(state, seen);
                let answer = Act::Answer(status, Vec::new(), Bytes::new());
                perform(&mut stream, &mut codec, &mut output, answer, state).await;
                return;
            }
            Act::HalfClose(bytes) => {
                remember(state, seen);
                let _ = stream.write_all(&bytes).await;
                let _ = stream.shutdown().await;
                let _ = body(&mut stream, &mut codec, &mut input).await;
                return;
            }
            Act::Abandon(bytes, delay) => {
                remember(state, seen);
                let _ = stream.write_all(&bytes).await;
                // Even a timer without a delay lets the node read the answer first.
                if delay > Span::ZERO {
                    tokio::time::sleep(delay.to_std()).await;
                }
                // A small body may have been read with the head.
                let _ = stream.set_zero_linger();
                return;
            }
            Act::Before(bytes, _) if !seen.is_bodiless() => {
                let _ = stream.write_all(&bytes).await;
            }
            Act::Ahead(act) => {
                let is_open = perform(&mut stream, &mut codec, &mut output, *act, state).await;
                if !is_open || body(&mut stream, &mut codec, &mut input).await.is_none() {
                    return;
                }
                remember(state, seen);
                continue;
            }
            _ => {}
        }
        let Some(body) = body(&mut stream, &mut codec, &mut input).await else {
            return;
        };
        seen.body = body;
        seen.whole = true;
        let act = (state.script)(&seen);
        remember(state, seen);
        if !perform(&mut stream, &mut codec, &mut output, act, state).await {
            return;
        }
    }
}

fn remember(state: &State, seen: Seen) {
    if state.keep.get() {
        state.seen.borrow_mut().push(seen);
    }
}

fn look(request: &Request, connection: usize) -> Seen {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = request.headers().iter();
    Seen {
        connection,
        method: request.method().to_string(),
        target: request.uri().to_string(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_owned(), text(value.as_bytes())))
            .collect(),
        body: Bytes::new(),
        whole: false,
    }
}

async fn head(
    stream: &mut TcpStream,
    codec: &mut h1::Codec,
    input: &mut BytesMut,
) -> Option<Request> {
    loop {
        match codec.decode(input).ok()? {
            Some(h1::Message::Item(request)) => return Some(request),
            Some(h1::Message::Chunk(_)) => {}
            None => {
                if stream.read_buf(input).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

async fn body(
    stream: &mut TcpStream,
    codec: &mut h1::Codec,
    input: &mut BytesMut,
) -> Option<Bytes> {
    let mut body = BytesMut::new();
    if codec.message_type() == h1::MessageType::None {
        return Some(Bytes::new());
    }
    loop {
        match codec.decode(input).ok()? {
            Some(h1::Message::Chunk(Some(chunk))) => body.extend_from_slice(&chunk),
            Some(h1::Message::Chunk(None)) => return Some(body.freeze()),
            Some(h1::Message::Item(_)) => return None,
            None => {
                if stream.read_buf(input).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

/// Returns when the peer has closed its connection, and so given up, or sends more.
async fn closed(stream: &TcpStream) {
    let mut probe = [0; 1];
    let _ = stream.peek(&mut probe).await;
}

/// Does what the script says, and tells whether the connection goes on.
async fn perform(
    stream: &mut TcpStream,
    codec: &mut h1::Codec,
    output: &mut BytesMut,
    mut act: Act,
    state: &State,
) -> bool {
    loop {
        act = match act {
            Act::Before(bytes, then) => {
                let _ = stream.write_all(&bytes).await;
                *then
            }
            Act::Hold(told, then) => {
                tokio::select! {
                    () = told.notified() => *then,
                    () = closed(stream) => return false,
                }
            }
            Act::Work(work) => {
                tokio::select! {
                    act = work() => act,
                    () = closed(stream) => return false,
                }
            }
            _ => break,
        }
    }
    match act {
        Act::Answer(status, headers, body) => {
            let size = BodySize::Sized(body.len() as u64);
            write_head(codec, output, status, &headers, size);
            if !body.is_empty() {
                let _ = codec.encode(h1::Message::Chunk(Some(body)), output);
            }
            let _ = codec.encode(h1::Message::Chunk(None), output);
            flush(stream, output).await
        }
        Act::Stream(chunk, count) => {
            write_head(codec, output, 200, &[], BodySize::Stream);
            for _ in 0..count {
                let _ = codec.encode(h1::Message::Chunk(Some(chunk.clone())), output);
                if !flush(stream, output).await {
                    return false;
                }
                state.written.set(state.written.get() + chunk.len());
            }
            let _ = codec.encode(h1::Message::Chunk(None), output);
            flush(stream, output).await
        }
        Act::Raw(bytes) => {
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
            false
        }
        Act::Close(reset) => {
            if reset {
                let _ = stream.set_zero_linger();
            }
            false
        }
        Act::Silence => {
            std::future::pending::<()>().await;
            false
        }
        Act::Exit => {
            state.ended.set(true);
            state.changed.notify_waiters();
            state.deaf().await;
            false
        }
        Act::Endless(first, then) => {
            let mut next = first;
            while stream.write_all(&next).await.is_ok() {
                state.written.set(state.written.get() + next.len());
                next = then.clone();
            }
            false
        }
        Act::Before(..)
        | Act::Hold(..)
        | Act::Early(_)
        | Act::HalfClose(_)
        | Act::Abandon(..)
        | Act::Work(_)
        | Act::Ahead(_) => false,
    }
}

fn write_head(
    codec: &mut h1::Codec,
    output: &mut BytesMut,
    status: u16,
    headers: &[(&'static str, String)],
    size: BodySize,
) {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = Response::build(status);
    for (name, value) in headers {
        response.append_header((*name, value.as_str()));
    }
    let _ = codec.encode(
        h1::Message::Item((response.finish().drop_body(), size)),
        output,
    );
}

async fn flush(stream: &mut TcpStream, output: &mut BytesMut) -> bool {
    let written = stream.write_all(output).await.is_ok();
    output.clear();
    written
}
