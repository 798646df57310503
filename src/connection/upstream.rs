//! Client connections to the upstream next to the node.
//!
//! Uses the HTTP/1 codec of actix-http, but not its client, awc: awc reports a
//! body as complete when the connection closes before the end of the body, and
//! does not read a response until the request body has been sent. A truncated
//! response must never be passed on as a shorter successful one, so this module
//! drives the codec itself and treats a body as complete only when the codec
//! reports its end, or at an orderly close where the pool allows that framing. A close is
//! orderly only if nothing of the exchange has failed before: the system reports the reset
//! of a connection once, to the writer or to the reader, and the other one then finds an
//! end of file.

mod head;
mod idle;

use std::{
    cell::{
        Ref,
        RefCell, //
    },
    future::Future,
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc, //
};

use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, StatusCode,
    body::BodySize,
    h1,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Mutex, //
};
use tokio_util::codec::{
    Decoder,
    Encoder, //
};

use self::{
    head::Scanner,
    idle::{
        Connection,
        Identity,
        IdleConnections, //
    },
};
use super::{
    body::{
        Cut,
        Inlet,
        MIN_SHARED_CHUNK,
        READ_BUFFER, //
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
    inbound::End,
    memory::{
        Account,
        Budget,
        Owner, //
    },
    metric::{
        Counter,
        Counts, //
    },
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Span = Span::from_secs(1);

/// Timeout for finding out whether the upstream still listens.
const LIVENESS_TIMEOUT: Span = Span::from_ms(100);

/// How many responses to other requests are discarded while waiting for one,
/// and the largest body in bytes of such a response.
const MAX_STRAY_RESPONSES: usize = 4;
const MAX_STRAY_BODY: u64 = 1 << 20;

/// Maximum number of informational responses (1xx) before the final one.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;
/// Maximum number of bytes of chunk sizes, their extensions and trailers: so many in any
/// body, and so many more for each byte of its content. Chunks of one byte without an
/// extension have five.
const MAX_FRAMING_BYTES: u64 = 64 << 10;
const MAX_FRAMING_PER_BYTE: u64 = 16;

/// The status with which an upstream rejects a request meant for another one.
const MISDIRECTED: StatusCode = StatusCode::MISDIRECTED_REQUEST;

/// The fraction of the upstream's advertised keep-alive timeout during which an
/// idle connection is reused. The rest is a margin for requests in flight.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Bytes of a request body that are collected before a write.
const WRITE_BUFFER: usize = 64 << 10;

/// The pool of connections to one upstream.
pub(crate) struct Pool {
    address: SocketAddr,
    idle_timeout: Span,
    names: Names,
    /// Whether a response body may be delimited by the close of its connection.
    /// If not, a response without a length is rejected, since it cannot be told
    /// from a truncated one.
    allow_close_delimited: bool,
    idle: IdleConnections,
    counts: RefCell<Counts>,
    memory: Budget,
    /// Start of the last check whether the upstream had ended, and its result.
    last_check: Mutex<Option<(Time, bool)>>,
}

/// A response whose head has been read.
pub(crate) struct Answer {
    /// The response head.
    pub(crate) head: Head,
    /// The upstream reported that it did not process the request.
    pub(crate) rejected: bool,
    /// The remaining warm-up time that the upstream reported.
    pub(crate) warmup: Option<Span>,
    /// The backpressure signal from the response headers. `None` for a misdirected
    /// request, where another upstream responded.
    pub(crate) signal: Option<Signal>,
    body: Option<Body>,
}

impl Answer {
    /// Reports the capacity of the content that is kept until it is relayed.
    pub(crate) fn set_kept(&mut self, bytes: usize) {
        if let Some(body) = &mut self.body {
            body.input.kept = bytes;
            body.input.report();
        }
    }

    /// Waits until the memory for the rest of the answer runs short.
    pub(crate) async fn evicted(&self) {
        match &self.body {
            Some(body) => body.input.account.evicted().await,
            None => std::future::pending().await,
        }
    }
}

struct Body {
    connection: Connection,
    framing: Framing,
    input: Input,
    /// Bytes of the content so far.
    content_bytes: u64,
    /// Bytes of chunk sizes, their extensions and trailers so far.
    framing_bytes: u64,
    /// Whether the end of the body was read.
    is_ended: bool,
    reuse: bool,
    idle_timeout: Span,
}

/// The head of a response, with the codec that decodes its body.
struct Response {
    head: ResponseHead,
    codec: h1::ClientCodec,
    /// Whether a response to another request came first.
    is_after_stray: bool,
}

/// How the end of a response body is determined.
enum Framing {
    /// By a content length or the last chunk.
    Delimited(h1::ClientPayloadCodec),
    /// By the orderly close of the connection.
    UntilClose,
}

impl Pool {
    pub(crate) fn new(
        address: SocketAddr,
        idle_timeout: Span,
        names: Names,
        allow_close_delimited: bool,
        memory: Budget,
    ) -> Self {
        Self {
            address,
            idle_timeout,
            names,
            allow_close_delimited,
            idle: IdleConnections::default(),
            counts: RefCell::default(),
            memory,
            last_check: Mutex::default(),
        }
    }

    /// Counters of connections and responses.
    pub(crate) fn counts(&self) -> Ref<'_, Counts> {
        self.counts.borrow()
    }

    fn count(&self, counter: Counter) {
        self.counts.borrow_mut().add(counter);
    }

    /// Returns an idle connection that may carry the request, or a new one.
    async fn connect(&self, identity: &Identity) -> Option<Connection> {
        if let Ok(connection) = self.idle.take(Clock.now(), identity) {
            return Some(connection);
        }
        // A check that is in progress leaves its connection for the next request.
        drop(self.last_check.lock().await);
        let reason = match self.idle.take(Clock.now(), identity) {
            Ok(connection) => return Some(connection),
            Err(reason) => reason,
        };
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT.to_std(), connecting).await;
        let stream = stream.ok()?.ok()?;
        socket::configure(&stream).ok()?;
        self.count(Counter::UpstreamConnected(reason));
        Some(Connection::new(stream))
    }

    /// Returns whether the upstream's process has ended, after it broke off an exchange:
    /// nobody listens on its address any more. All exchanges that break off together need
    /// only one check.
    pub(crate) async fn has_ended(&self) -> bool {
        let broken_off = Clock.now();
        let mut last_check = self.last_check.lock().await;
        if let Some((_, has_ended)) = last_check.filter(|(started, _)| *started >= broken_off) {
            return has_ended;
        }
        let started = Clock.now();
        let connecting = TcpStream::connect(self.address);
        let has_ended = match tokio::time::timeout(LIVENESS_TIMEOUT.to_std(), connecting).await {
            Ok(Ok(stream)) => {
                if socket::configure(&stream).is_ok() {
                    let connection = Connection::new(stream);
                    self.idle.store(Clock.now(), connection, self.idle_timeout);
                }
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        };
        *last_check = Some((started, has_ended));
        has_ended
    }

    /// Closes connections that have exceeded their idle timeout.
    pub(crate) fn prune(&self, now: Time) {
        self.idle.prune(now);
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    ///
    /// [`End::Refused`] when nothing was sent, else [`End::Cut`].
    pub(crate) async fn send(&self, head: &Head, body: Rc<Inlet>) -> Result<Answer, End> {
        let (request, size) = request(head).ok_or(End::Refused)?;
        let identity = Identity::of(head, &self.names);
        let mut connection = self.connect(&identity).await.ok_or(End::Refused)?;
        let is_first = connection.record(&identity);
        let method = request.method.clone();
        let mut input = Input {
            bytes: BytesMut::with_capacity(READ_BUFFER),
            kept: 0,
            account: self.memory.open(Owner::Upstream),
        };
        let is_bodiless = matches!(size, BodySize::None | BodySize::Sized(0));
        let sending = (!is_bodiless).then(|| self.memory.open(Owner::Callers));
        let (mut reader, mut writer) = connection.stream.split();
        let (response, sending_end) = {
            let write = pin!(write(&mut writer, request, size, &body, sending.as_ref()));
            let matches = |head: &ResponseHead| self.matches(head, &identity, is_first);
            let read = pin!(self.read_response(&method, &mut reader, &mut input, matches));
            receive_while_sending(write, read).await?
        };
        let Response {
            head: answer,
            codec,
            is_after_stray,
        } = response;
        let rejected = self.is_rejection(&answer);
        if !rejected && !self.is_genuine(&answer) {
            return Err(End::Cut);
        }
        let framed = is_framed(&answer, &head.method);
        let allows_close = self.allow_close_delimited && sending_end != Sending::Failed;
        if !framed && !allows_close {
            return Err(End::Cut);
        }
        let empty = framed && !announces_body(&answer, &head.method);
        // The codec takes an answer that offers an upgrade for one without a body.
        if framed && !empty && codec.message_type() == h1::MessageType::None {
            return Err(End::Cut);
        }
        // A second response to `HEAD` looks as if it had a body, so that what follows it
        // could not be found.
        let sent = sending_end == Sending::Complete;
        let reuse = sent && framed && codec.keep_alive() && !is_after_stray && method != "HEAD";
        let idle_timeout = keep_alive_timeout(answer.headers())
            .map_or(self.idle_timeout, |timeout| timeout.min(self.idle_timeout));
        let length = content_length(&answer).filter(|_| framed);
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
            if reuse && input.bytes.is_empty() {
                self.idle.store(Clock.now(), connection, idle_timeout);
            }
            return Ok(answer);
        }
        let framing = match framed {
            true => Framing::Delimited(codec.into_payload_codec()),
            false => Framing::UntilClose,
        };
        answer.body = Some(Body {
            connection,
            framing,
            input: input.shrunk(),
            content_bytes: 0,
            framing_bytes: 0,
            is_ended: false,
            reuse,
            idle_timeout,
        });
        Ok(answer)
    }

    /// Whether a response belongs to this request.
    ///
    /// A late or duplicated response would otherwise be taken for the next one, and the
    /// caller would receive the response to another request. Responses that echo no id
    /// cannot be told apart, so that only the first one on a connection is accepted.
    ///
    /// # Errors
    ///
    /// Returns [`Cut`] when that cannot be determined.
    fn matches(
        &self,
        head: &ResponseHead,
        identity: &Identity,
        is_first: bool,
    ) -> Result<bool, Cut> {
        let expected = match identity {
            Identity::Order => return Ok(true),
            Identity::Id(expected) => Some(&expected[..]),
            Identity::Absent => None,
        };
        let name = self.names.request;
        let echoed = name.and_then(|name| head.headers().get(name));
        match echoed.map(HeaderValue::as_bytes) {
            None if is_first => Ok(true),
            None => {
                self.count(Counter::AnswerUnidentified);
                Err(Cut)
            }
            Some(echoed) => Ok(expected.is_none_or(|expected| expected == echoed)),
        }
    }

    /// Reads the head of the response to this request. Responses to other requests are
    /// read and discarded.
    async fn read_response(
        &self,
        method: &Method,
        reader: &mut tokio::net::tcp::ReadHalf<'_>,
        input: &mut Input,
        matches: impl Fn(&ResponseHead) -> Result<bool, Cut>,
    ) -> Result<Response, Cut> {
        for strays in 0..MAX_STRAY_RESPONSES {
            let mut codec = response_codec(method);
            let head = read_head(&mut codec, reader, input).await?;
            if matches(&head)? {
                return Ok(Response {
                    head,
                    codec,
                    is_after_stray: strays > 0,
                });
            }
            self.count(Counter::StrayAnswer);
            let length = stray_length(&head).ok_or(Cut)?;
            while input.bytes.len() < length {
                read_required(reader, input).await?;
            }
            input.bytes.advance(length);
        }
        Err(Cut)
    }

    /// Whether the upstream reports that it did not process the request.
    fn is_rejection(&self, answer: &ResponseHead) -> bool {
        let Some(rejected) = self.names.rejected else {
            return false;
        };
        answer.headers().contains_key(rejected) || answer.status == MISDIRECTED
    }

    /// Whether the response comes unchanged from the upstream. A successful
    /// response without the seal header, or with a content encoding that was not
    /// requested, was created or modified by an intermediary.
    fn is_genuine(&self, answer: &ResponseHead) -> bool {
        let Some(seal) = self.names.seal else {
            return true;
        };
        let headers = answer.headers();
        let whole = headers.contains_key(seal) && !headers.contains_key("content-encoding");
        whole || !answer.status.is_success()
    }

    /// Reads the next chunk of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Cut`] when the response was truncated.
    pub(crate) async fn next(&self, answer: &mut Answer) -> Result<Option<Bytes>, Cut> {
        let Some(body) = &mut answer.body else {
            return Ok(None);
        };
        loop {
            if let Some(chunk) = body.decode()? {
                return Ok(Some(chunk));
            }
            if body.is_ended {
                break;
            }
            if read_some(&mut body.connection.stream, &mut body.input).await? == 0 {
                body.close()?;
                break;
            }
        }
        // Dropping a response before its end closes the connection. Only a
        // connection whose response was read completely may be reused.
        if let Some(body) = answer.body.take()
            && let Framing::Delimited(codec) = &body.framing
            && body.reuse
            && codec.keep_alive()
            && body.input.bytes.is_empty()
        {
            self.idle
                .store(Clock.now(), body.connection, body.idle_timeout);
        }
        Ok(None)
    }
}

impl Body {
    /// Returns the content that has been read, if there is any: one large chunk, or all
    /// chunks up to the next large one merged into one.
    ///
    /// # Errors
    ///
    /// Returns [`Cut`] when it is malformed, or when its framing outweighs it.
    fn decode(&mut self) -> Result<Option<Bytes>, Cut> {
        let Framing::Delimited(codec) = &mut self.framing else {
            return Ok(take_all(&mut self.input.bytes));
        };
        let mut merged = Vec::new();
        while !self.is_ended {
            let unread = self.input.bytes.len();
            let decoded = codec.decode(&mut self.input.bytes).map_err(|_| Cut)?;
            self.is_ended = matches!(decoded, Some(None));
            let chunk = decoded.flatten();
            let length = chunk.as_ref().map_or(0, Bytes::len);
            self.content_bytes += length as u64;
            self.framing_bytes += (unread - self.input.bytes.len() - length) as u64;
            let max_framing = MAX_FRAMING_BYTES + self.content_bytes * MAX_FRAMING_PER_BYTE;
            if self.framing_bytes > max_framing {
                return Err(Cut);
            }
            let Some(chunk) = chunk else { break };
            if merged.is_empty() && chunk.len() >= MIN_SHARED_CHUNK {
                return Ok(Some(chunk));
            }
            merged.extend_from_slice(&chunk);
        }
        Ok((!merged.is_empty()).then(|| Bytes::from(merged)))
    }

    /// Handles the close of the connection, which is the end of some bodies.
    fn close(&mut self) -> Result<(), Cut> {
        match self.framing {
            Framing::Delimited(_) => Err(Cut),
            Framing::UntilClose => {
                self.is_ended = true;
                Ok(())
            }
        }
    }
}

/// Returns all input. A small part of the buffer is copied.
fn take_all(input: &mut BytesMut) -> Option<Bytes> {
    match input.len() {
        0 => None,
        1..MIN_SHARED_CHUNK => {
            let chunk = Bytes::copy_from_slice(input);
            input.clear();
            Some(chunk)
        }
        _ => Some(input.split().freeze()),
    }
}

/// What was read from a connection and not decoded yet.
struct Input {
    bytes: BytesMut,
    /// Capacity of the content that was decoded and is kept elsewhere.
    kept: usize,
    account: Account,
}

impl Input {
    /// Moves the input to a buffer of the usual size: that of a long head, or of
    /// responses that were discarded, would be kept by each chunk of the body.
    fn shrunk(self) -> Self {
        let mut bytes = BytesMut::with_capacity(self.bytes.len().max(READ_BUFFER));
        bytes.extend_from_slice(&self.bytes);
        let shrunk = Self { bytes, ..self };
        shrunk.report();
        shrunk
    }

    fn report(&self) {
        self.account.set(self.bytes.capacity() + self.kept);
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
        Some(0) if !requires_content_length(&head.method) => BodySize::None,
        Some(length) => BodySize::Sized(length),
        None => BodySize::Stream,
    };
    Some((request, size))
}

/// Whether requests with this method send `content-length: 0` when they have no
/// body.
fn requires_content_length(method: &str) -> bool {
    matches!(method, "POST" | "PUT" | "PATCH")
}

/// How far a request was sent when the head of its response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// The connection failed.
    Failed,
    /// The rest of the request is not sent any more.
    Unfinished,
    Complete,
}

/// Waits for the response head while the request body is still being sent.
async fn receive_while_sending<W, R>(
    mut write: std::pin::Pin<&mut W>,
    mut read: std::pin::Pin<&mut R>,
) -> Result<(Response, Sending), End>
where
    W: Future<Output = Result<(), WriteError>>,
    R: Future<Output = Result<Response, Cut>>,
{
    let mut sending = Sending::Unfinished;
    loop {
        tokio::select! {
            biased;
            result = &mut write, if sending == Sending::Unfinished => match result {
                Ok(()) => sending = Sending::Complete,
                Err(WriteError::Body) => return Err(End::Cut),
                // The upstream may have responded before it stopped reading.
                Err(WriteError::Stream) => sending = Sending::Failed,
            },
            response = &mut read => return Ok((response.map_err(|_| End::Cut)?, sending)),
        }
    }
}

enum WriteError {
    Body,
    Stream,
}

async fn write(
    writer: &mut tokio::net::tcp::WriteHalf<'_>,
    request: RequestHead,
    size: BodySize,
    body: &Inlet,
    account: Option<&Account>,
) -> Result<(), WriteError> {
    let mut output = BytesMut::with_capacity(1024);
    let mut codec = h1::ClientCodec::default();
    let mut encode = |message, output: &mut BytesMut| {
        codec.encode(message, output).map_err(|_| WriteError::Body)
    };
    let head = RequestHeadType::from(request);
    encode(h1::Message::Item((head, size)), &mut output)?;
    // Body data that is already buffered is written together with the head.
    while output.len() < WRITE_BUFFER
        && let Some(chunk) = body.pop()
    {
        encode(h1::Message::Chunk(Some(chunk)), &mut output)?;
    }
    let empty = matches!(size, BodySize::None | BodySize::Sized(0));
    while !empty && !body.is_drained() {
        write_all(writer, &output, account).await?;
        output.clear();
        match body.next().await {
            Some(Ok(chunk)) => encode(h1::Message::Chunk(Some(chunk)), &mut output)?,
            Some(Err(Cut)) => return Err(WriteError::Body),
            None => break,
        }
        while output.len() < WRITE_BUFFER
            && let Some(chunk) = body.pop()
        {
            encode(h1::Message::Chunk(Some(chunk)), &mut output)?;
        }
    }
    if !empty {
        encode(h1::Message::Chunk(None), &mut output)?;
    }
    write_all(writer, &output, account).await
}

/// Writes a buffer, unless the memory for it runs short.
async fn write_all(
    writer: &mut tokio::net::tcp::WriteHalf<'_>,
    output: &BytesMut,
    account: Option<&Account>,
) -> Result<(), WriteError> {
    let evicted = async {
        match account {
            Some(account) => {
                account.set(output.capacity());
                account.evicted().await;
            }
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        () = evicted => Err(WriteError::Body),
        written = writer.write_all(output) => written.map_err(|_| WriteError::Stream),
    }
}

/// Returns a codec for the response to a request with this method.
fn response_codec(method: &Method) -> h1::ClientCodec {
    let mut codec = h1::ClientCodec::default();
    let mut request = RequestHead::default();
    request.method = method.clone();
    let request = RequestHeadType::from(request);
    let message = h1::Message::Item((request, BodySize::None));
    // Only encoding the request tells the codec its method.
    let _ = codec.encode(message, &mut BytesMut::new());
    codec
}

async fn read_head(
    codec: &mut h1::ClientCodec,
    reader: &mut tokio::net::tcp::ReadHalf<'_>,
    input: &mut Input,
) -> Result<ResponseHead, Cut> {
    for _ in 0..=MAX_INFORMATIONAL_RESPONSES {
        let mut scanner = Scanner::default();
        while !scanner.scan(&input.bytes)? {
            read_required(reader, input).await?;
        }
        let head = codec
            .decode(&mut input.bytes)
            .map_err(|_| Cut)?
            .ok_or(Cut)?;
        match head.status {
            StatusCode::SWITCHING_PROTOCOLS => return Err(Cut),
            status if status.is_informational() => {}
            _ => return Ok(head),
        }
    }
    Err(Cut)
}

/// Reads more input and returns its length, which is never zero.
async fn read_required<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    input: &mut Input,
) -> Result<usize, Cut> {
    match read_some(reader, input).await? {
        0 => Err(Cut),
        count => Ok(count),
    }
}

/// Reads more input and returns its length. Zero is an orderly end of file; a reset
/// connection is an error, and so is a shortage of memory.
async fn read_some<R: AsyncReadExt + Unpin>(
    reader: &mut R,
    input: &mut Input,
) -> Result<usize, Cut> {
    input.bytes.reserve(READ_BUFFER);
    input.report();
    tokio::select! {
        biased;
        () = input.account.evicted() => Err(Cut),
        count = reader.read_buf(&mut input.bytes) => count.map_err(|_| Cut),
    }
}

/// How long an idle connection may be reused: the upstream's keep-alive timeout
/// less a margin, so that a request in flight does not meet the close.
fn keep_alive_timeout(headers: &actix_http::header::HeaderMap) -> Option<Span> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parts = text.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    let seconds: u64 = seconds.trim().parse().ok()?;
    Some(Span::from_secs(seconds).scale(KEEP_ALIVE_FRACTION))
}

/// Whether the response head determines where the body ends. Otherwise the close
/// of the connection does.
fn is_framed(head: &ResponseHead, method: &str) -> bool {
    is_bodiless(head, method) || head.headers().contains_key("content-length") || is_chunked(head)
}

/// Whether the response has no body, whatever its head announces.
fn is_bodiless(head: &ResponseHead, method: &str) -> bool {
    method == "HEAD" || matches!(head.status.as_u16(), 204 | 304)
}

/// Whether a body that is not empty follows the response head.
fn announces_body(head: &ResponseHead, method: &str) -> bool {
    let has_length = content_length(head).is_some_and(|length| length > 0);
    !is_bodiless(head, method) && (has_length || is_chunked(head))
}

fn is_chunked(head: &ResponseHead) -> bool {
    let coding = head.headers().get("transfer-encoding");
    coding.is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Returns the length of the body of a response that is discarded, if it is known and
/// not too long.
fn stray_length(head: &ResponseHead) -> Option<usize> {
    if matches!(head.status.as_u16(), 204 | 304) {
        return Some(0);
    }
    let length = content_length(head).filter(|length| *length <= MAX_STRAY_BODY)?;
    usize::try_from(length).ok()
}

fn content_length(head: &ResponseHead) -> Option<u64> {
    head.headers()
        .get("content-length")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
