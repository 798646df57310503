//! Connections to the upstream beside the node.
//!
//! The HTTP codec is that of actix-http. awc, its client, does not fit here: it
//! reports a body that ends with the connection, before its end mark, as whole,
//! and it does not read an answer before the request's body is sent. A cut
//! answer must never become a short success, so this module reads the codec
//! itself: only the codec's own end mark makes a body whole.

use std::{
    cell::RefCell,
    collections::VecDeque,
    future::Future,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc, //
};

use actix_http::{
    RequestHead, RequestHeadType, ResponseHead, StatusCode,
    body::BodySize,
    h1,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use bytes::{
    Bytes,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};
use tokio_util::codec::{
    Decoder,
    Encoder, //
};

use super::{
    body::{
        Cut,
        Inlet, //
    },
    header::{
        self,
        Names, //
    },
    socket,
};
use crate::{
    backpressure::Signal,
    clock::{
        Clock,
        Span,
        Time, //
    },
    frame::Head,
    inbound::End, //
};

/// Time to open a connection.
const CONNECT_TIMEOUT: Span = Span::from_secs(1);

/// Answers to other requests that are dropped while one is awaited, and the
/// longest of them.
const STRAYS: usize = 4;
const STRAY_LIMIT: u64 = 1 << 20;

/// The status by which an upstream refuses a request for another one.
const MISDIRECTED: StatusCode = StatusCode::MISDIRECTED_REQUEST;

/// The share of an upstream's own time for idle connections for which they are
/// used.
const KEPT_SHARE: f64 = 0.6;

/// Bytes read from a connection at once.
const READ: usize = 32 << 10;

struct Idle {
    stream: TcpStream,
    until: Time,
}

/// The pool of connections to one upstream.
pub(crate) struct Pool {
    address: SocketAddr,
    keep: Span,
    names: Names,
    /// Whether an answer may end with its connection. Where it may not, one that
    /// says no length cannot be told from one that was cut.
    closes: bool,
    idle: RefCell<VecDeque<Idle>>,
}

/// An answer whose head has been read.
pub(crate) struct Answer {
    /// Its head.
    pub(crate) head: Head,
    /// The upstream said that it has not run the request.
    pub(crate) rejected: bool,
    /// How much longer the upstream says that it is cold.
    pub(crate) warmup: Option<Span>,
    /// What the upstream tells about itself; nothing where another one answered.
    pub(crate) signal: Option<Signal>,
    body: Option<Body>,
}

struct Body {
    stream: TcpStream,
    framing: Framing,
    input: BytesMut,
    reuse: bool,
    keep: Span,
}

/// How an answer tells its end.
enum Framing {
    /// By a length or an end mark.
    Marked(h1::ClientPayloadCodec),
    /// By the orderly end of its connection.
    Closed,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, keep: Span, names: Names, closes: bool) -> Self {
        Self {
            address,
            keep,
            names,
            closes,
            idle: RefCell::default(),
        }
    }

    /// The warmest connection that the upstream has not closed.
    fn warm(&self, now: Time) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        while let Some(Idle { stream, until }) = idle.pop_back() {
            let fresh = now < until;
            let mut probe = [0; 1];
            // A byte or an end on an idle connection means that it is of no
            // use; a request sent over it would have an unknown outcome.
            let quiet = matches!(stream.try_read(&mut probe),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock);
            if fresh && quiet {
                return Some(stream);
            }
        }
        None
    }

    async fn connect(&self) -> Option<TcpStream> {
        if let Some(stream) = self.warm(Clock.now()) {
            return Some(stream);
        }
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT.to_std(), connecting).await;
        let stream = stream.ok()?.ok()?;
        socket::prepare(&stream).ok()?;
        Some(stream)
    }

    fn keep(&self, stream: TcpStream, keep: Span) {
        let until = Clock.now() + keep;
        self.idle.borrow_mut().push_back(Idle { stream, until });
    }

    /// Closes connections that have been idle too long.
    pub(crate) fn prune(&self, now: Time) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|idle| now < idle.until);
    }

    /// Sends a request and reads the head of its answer.
    ///
    /// # Errors
    ///
    /// [`End::Refused`] when nothing was sent, else [`End::Cut`].
    pub(crate) async fn send(&self, head: &Head, body: Rc<Inlet>) -> Result<Answer, End> {
        let (request, size) = request(head).ok_or(End::Refused)?;
        let mut stream = self.connect().await.ok_or(End::Refused)?;
        let codec = RefCell::new(h1::ClientCodec::default());
        let mut input = BytesMut::with_capacity(READ);
        let (mut reader, mut writer) = stream.split();
        let (answer, sent) = {
            let write = pin!(write(&codec, &mut writer, request, size, &body));
            let wanted = header::request(&head.headers, &self.names);
            let read = pin!(self.read_own(&codec, &mut reader, &mut input, wanted));
            both(write, read).await?
        };
        let codec = codec.into_inner();
        let rejected = self.is_rejection(&answer);
        if !rejected && !self.is_genuine(&answer) {
            return Err(End::Cut);
        }
        let framed = is_framed(&answer, &head.method);
        if !framed && !self.closes {
            return Err(End::Cut);
        }
        let empty = framed && codec.message_type() == h1::MessageType::None;
        let reuse = sent && framed && codec.keep_alive();
        let keep = keep_time(answer.headers()).map_or(self.keep, |keep| keep.min(self.keep));
        let length = length(&answer).filter(|_| framed);
        let head = Head {
            status: answer.status.as_u16(),
            headers: header::strip(answer.headers(), &self.names),
            length,
            ..Head::default()
        };
        let mut answer = Answer {
            head,
            rejected,
            warmup: header::warmup(answer.headers(), &self.names),
            signal: (answer.status != MISDIRECTED)
                .then(|| header::signal(answer.headers(), &self.names)),
            body: None,
        };
        if empty {
            if reuse && input.is_empty() {
                self.keep(stream, keep);
            }
            return Ok(answer);
        }
        let framing = match framed {
            true => Framing::Marked(codec.into_payload_codec()),
            false => Framing::Closed,
        };
        answer.body = Some(Body {
            stream,
            framing,
            input,
            reuse,
            keep,
        });
        Ok(answer)
    }

    /// Reads the head of the answer to this request.
    ///
    /// Guards against an answer that comes late or twice, at the place of the
    /// next one: the caller would get the answer to another request. The id
    /// that the upstream echoes shows it, and it is read and dropped.
    async fn read_own(
        &self,
        codec: &RefCell<h1::ClientCodec>,
        reader: &mut tokio::net::tcp::ReadHalf<'_>,
        input: &mut BytesMut,
        wanted: Option<Bytes>,
    ) -> Result<ResponseHead, Cut> {
        let Some((wanted, name)) = wanted.zip(self.names.request) else {
            return read_head(codec, reader, input).await;
        };
        for _ in 0..STRAYS {
            let head = read_head(codec, reader, input).await?;
            let echoed = head.headers().get(name).map(HeaderValue::as_bytes);
            if echoed.is_none_or(|echoed| echoed == wanted) {
                return Ok(head);
            }
            let length = length(&head)
                .filter(|length| *length <= STRAY_LIMIT)
                .ok_or(Cut)?;
            while (input.len() as u64) < length {
                fill(reader, input).await?;
            }
            let _ = input.split_to(length as usize);
            *codec.borrow_mut() = h1::ClientCodec::default();
        }
        Err(Cut)
    }

    /// Whether the upstream says that it has not run the request.
    fn is_rejection(&self, answer: &ResponseHead) -> bool {
        let Some(rejected) = self.names.rejected else {
            return false;
        };
        answer.headers().contains_key(rejected) || answer.status == MISDIRECTED
    }

    /// Whether a success is the upstream's own. One without its seal, or in an
    /// encoding that nobody asked for, was made or changed on the way.
    fn is_genuine(&self, answer: &ResponseHead) -> bool {
        let Some(seal) = self.names.seal else {
            return true;
        };
        let headers = answer.headers();
        let whole = headers.contains_key(seal) && !headers.contains_key("content-encoding");
        whole || !answer.status.is_success()
    }

    /// Reads the next chunk of an answer, or nothing at its end mark.
    ///
    /// # Errors
    ///
    /// When the upstream cut the answer.
    pub(crate) async fn next(&self, answer: &mut Answer) -> Result<Option<Bytes>, Cut> {
        let Some(body) = &mut answer.body else {
            return Ok(None);
        };
        match &mut body.framing {
            Framing::Marked(codec) => loop {
                match codec.decode(&mut body.input).map_err(|_| Cut)? {
                    Some(Some(chunk)) => return Ok(Some(chunk)),
                    Some(None) => break,
                    None => fill(&mut body.stream, &mut body.input).await?,
                }
            },
            Framing::Closed => {
                if body.input.is_empty() && !refill(&mut body.stream, &mut body.input).await? {
                    answer.body = None;
                    return Ok(None);
                }
                return Ok(Some(body.input.split().freeze()));
            }
        }
        // Dropping an answer before its end closes the connection; only one
        // whose answer was read to the end may carry another.
        if let Some(body) = answer.body.take()
            && let Framing::Marked(codec) = &body.framing
            && body.reuse
            && codec.keep_alive()
            && body.input.is_empty()
        {
            self.keep(body.stream, body.keep);
        }
        Ok(None)
    }
}

fn request(head: &Head) -> Option<(RequestHead, BodySize)> {
    let mut request = RequestHead::default();
    request.method = head.method.parse().ok()?;
    request.uri = head.target.parse().ok()?;
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name.as_str()).ok()?;
        request
            .headers
            .append(name, HeaderValue::from_maybe_shared(value.clone()).ok()?);
    }
    let size = match head.length {
        Some(0) if !wants_length(&head.method) => BodySize::None,
        Some(length) => BodySize::Sized(length),
        None => BodySize::Stream,
    };
    Some((request, size))
}

/// Methods whose requests say that they have no body.
fn wants_length(method: &str) -> bool {
    matches!(method, "POST" | "PUT" | "PATCH")
}

/// Waits for the answer's head while the body is still being sent, and tells
/// whether all of it was.
async fn both<W, R>(
    mut write: std::pin::Pin<&mut W>,
    mut read: std::pin::Pin<&mut R>,
) -> Result<(ResponseHead, bool), End>
where
    W: Future<Output = Result<(), Broken>>,
    R: Future<Output = Result<ResponseHead, Cut>>,
{
    let mut writing = true;
    let mut sent = false;
    loop {
        tokio::select! {
            biased;
            result = &mut write, if writing => match result {
                Ok(()) => (writing, sent) = (false, true),
                Err(Broken::Body) => return Err(End::Cut),
                // It may have answered before it closed its reading side.
                Err(Broken::Stream) => writing = false,
            },
            head = &mut read => return Ok((head.map_err(|_| End::Cut)?, sent)),
        }
    }
}

enum Broken {
    Body,
    Stream,
}

async fn write(
    codec: &RefCell<h1::ClientCodec>,
    writer: &mut tokio::net::tcp::WriteHalf<'_>,
    request: RequestHead,
    size: BodySize,
    body: &Inlet,
) -> Result<(), Broken> {
    let mut output = BytesMut::with_capacity(1024);
    let encode = |message, output: &mut BytesMut| {
        codec
            .borrow_mut()
            .encode(message, output)
            .map_err(|_| Broken::Body)
    };
    let head = RequestHeadType::from(request);
    encode(h1::Message::Item((head, size)), &mut output)?;
    // What is here already goes out with the head, in one packet.
    while let Some(chunk) = body.pop() {
        encode(h1::Message::Chunk(Some(chunk)), &mut output)?;
    }
    let empty = matches!(size, BodySize::None | BodySize::Sized(0));
    while !empty && !body.is_whole() {
        writer
            .write_all(&output)
            .await
            .map_err(|_| Broken::Stream)?;
        output.clear();
        match body.next().await {
            Some(Ok(chunk)) => encode(h1::Message::Chunk(Some(chunk)), &mut output)?,
            Some(Err(Cut)) => return Err(Broken::Body),
            None => break,
        }
        while let Some(chunk) = body.pop() {
            encode(h1::Message::Chunk(Some(chunk)), &mut output)?;
        }
    }
    if !empty {
        encode(h1::Message::Chunk(None), &mut output)?;
    }
    writer.write_all(&output).await.map_err(|_| Broken::Stream)
}

async fn read_head(
    codec: &RefCell<h1::ClientCodec>,
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut BytesMut,
) -> Result<ResponseHead, Cut> {
    loop {
        let head = codec.borrow_mut().decode(input).map_err(|_| Cut)?;
        match head {
            Some(head) if head.status.as_u16() == 101 => return Err(Cut),
            Some(head) if head.status.is_informational() => {}
            Some(head) => return Ok(head),
            None => fill(reader, input).await?,
        }
    }
}

async fn fill<R: AsyncReadExt + Unpin>(reader: &mut R, input: &mut BytesMut) -> Result<(), Cut> {
    match refill(reader, input).await? {
        true => Ok(()),
        false => Err(Cut),
    }
}

/// Reads on. Returns whether there was anything before the orderly end; a
/// connection that was reset is cut.
async fn refill<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    input: &mut BytesMut,
) -> Result<bool, Cut> {
    input.reserve(READ);
    let read = reader.read_buf(input).await.map_err(|_| Cut)?;
    Ok(read > 0)
}

/// How long the upstream keeps an idle connection, less a margin in which a
/// request that is on its way would meet the close.
fn keep_time(headers: &actix_http::header::HeaderMap) -> Option<Span> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Span::from_secs(seconds).scale(KEPT_SHARE))
}

/// Whether the answer says where it ends; else its connection's end does.
fn is_framed(head: &ResponseHead, method: &str) -> bool {
    let headers = head.headers();
    method == "HEAD"
        || matches!(head.status.as_u16(), 204 | 304)
        || headers.contains_key("content-length")
        || headers.contains_key("transfer-encoding")
}

fn length(head: &ResponseHead) -> Option<u64> {
    head.headers()
        .get("content-length")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
