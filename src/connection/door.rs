//! Connections of callers, read and written by this node itself.
//!
//! The heads are read by actix-http's codec. Its dispatcher does not fit: it
//! runs pipelined requests one after the other, so that each waits for the work
//! of those before it, and while one runs it does not see that the caller has
//! gone. Here every request begins as soon as it is read, the answers go out in
//! order, and reading goes on meanwhile, so that a close is seen at once.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::Rc,
    time::Duration,
};

use actix_http::{
    BoxedPayloadStream,
    ConnectionType,
    HttpMessage,
    Request,
    StatusCode,
    error::PayloadError,
    h1, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::stream;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        tcp::{
            ReadHalf,
            WriteHalf, //
        },
    },
    sync::{
        Notify,
        mpsc,
        oneshot, //
    },
};
use tokio_util::codec::Decoder;

use super::{
    body::{
        Cut,
        Inlet, //
    },
    caller,
    header,
    refusal, //
};
use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Span,
        Time, //
    },
    code::Code,
    frame::Head,
    id,
    node::{
        Call,
        Event,
        Origin, //
    },
    pending::{
        Guard,
        Pending,
        Reply,
        Source, //
    },
};

/// Requests of one connection that run side by side; reading stops there.
const PIPELINE: usize = 16;
/// Bytes read at once, and kept free on each connection: of a body, and else. Most
/// heads are shorter, and in a crowd the room of a thousand idle connections
/// would be most of a node's memory.
const READ_BODY: usize = 16 << 10;
const READ: usize = 2 << 10;
/// Bytes of an answer that are written at once.
const WRITE: usize = 64 << 10;
/// Time for a caller to take the last answer of a connection that closes.
/// Closing earlier would reset the connection when more requests are in it,
/// and the answer could be lost with them.
const LINGER: Duration = Duration::from_secs(1);

/// A request whose answer has not been written, in the order of arrival.
struct Exchange {
    reply: Wanted,
    guard: Option<Guard>,
    is_head: bool,
    close: bool,
}

enum Wanted {
    /// The decisions have it.
    Asked(oneshot::Receiver<Reply>),
    /// It was refused here.
    Refused(Code),
    /// The caller waits for leave to send its body.
    Continue,
}

/// What reading and writing one connection share.
struct Shared {
    carrier: Rc<Carrier>,
    queue: RefCell<VecDeque<Exchange>>,
    /// Told when the queue grows.
    grown: Notify,
    /// Told when the queue shrinks.
    shrunk: Notify,
    /// An answer is being written.
    writing: Cell<bool>,
    /// Nothing more is read: the connection ends with the queue.
    finishing: Cell<bool>,
    /// When the last answer was written.
    settled: Cell<Time>,
    /// The connection's number.
    number: id::Connection,
}

impl Shared {
    fn push(&self, exchange: Exchange) {
        self.queue.borrow_mut().push_back(exchange);
        self.grown.notify_one();
    }

    fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty() && !self.writing.get()
    }

    fn is_full(&self) -> bool {
        self.queue.borrow().len() >= PIPELINE
    }
}

/// Why reading a connection ended.
enum Ended {
    /// The caller is gone, or the connection is broken.
    Gone,
    /// Nothing more is read; what was read is still answered.
    Enough,
}

/// Serves one connection until its end. `closing` resolves when idle
/// connections are to be closed.
pub(crate) async fn serve(
    carrier: Rc<Carrier>,
    mut stream: TcpStream,
    closing: impl Future<Output = ()>,
) {
    let shared = Shared {
        number: id::Connection(carrier.next_number()),
        carrier,
        queue: RefCell::default(),
        grown: Notify::new(),
        shrunk: Notify::new(),
        writing: Cell::new(false),
        finishing: Cell::new(false),
        settled: Cell::new(Clock.now()),
    };
    let (mut reader, mut writer) = stream.split();
    let graceful = {
        let read = std::pin::pin!(read(&shared, &mut reader, closing));
        let mut write = std::pin::pin!(write(&shared, &mut writer));
        tokio::select! {
            ended = read => match ended {
                Ended::Gone => false,
                Ended::Enough => {
                    shared.finishing.set(true);
                    shared.grown.notify_one();
                    write.as_mut().await.is_ok()
                }
            },
            wrote = &mut write => wrote.is_ok(),
        }
    };
    // Whatever still runs is cancelled by dropping its guard.
    shared.queue.borrow_mut().clear();
    if graceful {
        linger(stream).await;
    }
}

/// Closes the writing side and reads what still comes, for a moment.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let mut rest = [0; 4096];
    let drain = async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} };
    let _ = tokio::time::timeout(LINGER, drain).await;
}

/// Hands a body on in parts. It waits when they are not taken, and goes on
/// without waiting when nobody wants them any more.
type Feed = mpsc::Sender<Result<Bytes, PayloadError>>;

/// Parts of a body that wait to be taken.
const PARTS: usize = 4;

/// A request whose body is still coming.
struct Incoming {
    request: Request,
    /// What was read, until it is too much to be held.
    held: BytesMut,
    feed: Option<Feed>,
    hold: u64,
    limit: u64,
    length: u64,
}

async fn read(
    shared: &Shared,
    reader: &mut ReadHalf<'_>,
    closing: impl Future<Output = ()>,
) -> Ended {
    let mut closing = std::pin::pin!(closing);
    let mut closed = false;
    let mut codec = h1::Codec::default();
    let mut input = BytesMut::with_capacity(READ);
    let mut incoming: Option<Incoming> = None;
    let mut begun: Option<Time> = None;
    loop {
        loop {
            if shared.is_full() && incoming.is_none() {
                shared.shrunk.notified().await;
                continue;
            }
            let message = match codec.decode(&mut input) {
                Ok(Some(message)) => message,
                Ok(None) => break,
                Err(_) => {
                    fail(shared, incoming.take(), Code::Malformed);
                    return Ended::Enough;
                }
            };
            begun = None;
            if let Some(code) = take(shared, &mut incoming, message).await {
                fail(shared, incoming.take(), code);
                return Ended::Enough;
            }
        }
        if !input.is_empty() && incoming.is_none() {
            begun.get_or_insert_with(|| Clock.now());
        }
        if shared.is_idle() && begun.is_none() && incoming.is_none() && closed {
            return Ended::Enough;
        }
        let until = deadline(shared, begun, incoming.is_some());
        let wait = until.map(|until| Clock.now().until(until).to_std());
        input.reserve(if incoming.is_some() { READ_BODY } else { READ });
        tokio::select! {
            count = reader.read_buf(&mut input) => match count {
                Ok(1..) => {}
                _ => return Ended::Gone,
            },
            () = shared.shrunk.notified() => {}
            () = &mut closing, if !closed => closed = true,
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {
                let over = until.is_some_and(|until| Clock.now() >= until);
                if over && begun.is_none() && incoming.is_none() {
                    return Ended::Enough;
                }
                if over {
                    fail(shared, incoming.take(), Code::CallerSlow);
                    return Ended::Enough;
                }
            }
        }
    }
}

/// When the caller has taken too long.
fn deadline(shared: &Shared, begun: Option<Time>, body: bool) -> Option<Time> {
    let limits = shared.carrier.caller_limits();
    if body {
        return Some(Clock.now() + limits.body);
    }
    if let Some(begun) = begun {
        return Some(begun + limits.head);
    }
    shared.is_idle().then(|| shared.settled.get() + limits.idle)
}

/// The request that is being read fails, and with it the connection.
fn fail(shared: &Shared, incoming: Option<Incoming>, code: Code) {
    match incoming.and_then(|incoming| incoming.feed) {
        // It has begun: whoever takes its body on sees that it was cut.
        Some(feed) => {
            let _ = feed.try_send(Err(PayloadError::Incomplete(None)));
        }
        None => refuse(shared, code),
    }
}

fn refuse(shared: &Shared, code: Code) {
    shared.carrier.count(crate::metric::Counter::Refused(code));
    shared.push(Exchange {
        reply: Wanted::Refused(code),
        guard: None,
        is_head: false,
        close: true,
    });
}

/// Takes one part of a request. Returns why the connection cannot go on.
async fn take(
    shared: &Shared,
    incoming: &mut Option<Incoming>,
    message: h1::Message<Request>,
) -> Option<Code> {
    match message {
        h1::Message::Item(request) => match open(shared, request) {
            Ok(Some(opened)) => *incoming = Some(opened),
            Ok(None) => {}
            Err(code) => return Some(code),
        },
        h1::Message::Chunk(Some(bytes)) => {
            let body = incoming.as_mut()?;
            body.length += bytes.len() as u64;
            if body.length > body.limit && body.feed.is_none() {
                return Some(Code::BodyTooLarge);
            }
            match &mut body.feed {
                Some(feed) => {
                    let _ = feed.send(Ok(bytes)).await;
                }
                None => body.held.extend_from_slice(&bytes),
            }
            if body.feed.is_none() && body.length > body.hold {
                let (feed, parts) = mpsc::channel(PARTS);
                body.feed = Some(feed);
                let parts = stream::unfold(parts, async |mut parts| {
                    parts.recv().await.map(|part| (part, parts))
                });
                let payload: BoxedPayloadStream = Box::pin(parts);
                let source = Source::Stream {
                    prefix: body.held.split().freeze(),
                    rest: Some(payload.into()),
                    limit: body.limit,
                };
                return begin(shared, &body.request, source).err();
            }
        }
        h1::Message::Chunk(None) => {
            let body = incoming.take()?;
            match body.feed {
                // Closing the channel is the end mark.
                Some(feed) => drop(feed),
                None => {
                    let source = Source::Buffered(body.held.freeze());
                    return begin(shared, &body.request, source).err();
                }
            }
        }
    }
    None
}

/// Looks at a head. A request without a body begins at once.
fn open(shared: &Shared, request: Request) -> Result<Option<Incoming>, Code> {
    let carrier = &shared.carrier;
    let headers = request.headers();
    if request.upgrade() || headers.contains_key("upgrade") || request.method() == "CONNECT" {
        return Err(Code::UpgradeRefused);
    }
    if request.version() < actix_http::Version::HTTP_11 {
        return Err(Code::Malformed);
    }
    if header::size(headers) > carrier.caller_limits().headers.as_u64() {
        return Err(Code::HeadersTooLarge);
    }
    let declared = caller::declared(&request)?;
    if declared == Some(0) {
        begin(shared, &request, Source::Buffered(Bytes::new()))?;
        return Ok(None);
    }
    let host = caller::host(&request)?;
    // Without a route there is no limit to go by: a node that knows no
    // configuration yet must not call a body too large. It is refused for its
    // route as soon as what is held of it is here.
    let limit = carrier.route_limit(&host, request.method().as_str(), request.path());
    let limit = limit.unwrap_or(u64::MAX);
    if declared.is_some_and(|length| length > limit) {
        return Err(Code::BodyTooLarge);
    }
    if headers.contains_key("expect") {
        shared.push(Exchange {
            reply: Wanted::Continue,
            guard: None,
            is_head: false,
            close: false,
        });
    }
    let hold = carrier.interface.max_buffered_body.as_u64().min(limit);
    Ok(Some(Incoming {
        held: BytesMut::with_capacity(declared.unwrap_or(0).min(hold) as usize),
        feed: None,
        hold,
        limit,
        length: 0,
        request,
    }))
}

/// Hands a request to the decisions.
fn begin(shared: &Shared, request: &Request, source: Source) -> Result<(), Code> {
    let carrier = &shared.carrier;
    let names = &carrier.interface.names;
    let host = caller::host(request)?;
    let mut passing = header::strip(request.headers(), names);
    let key = header::take_key(&mut passing, request.headers(), names);
    let target = request.uri().path_and_query();
    let mut head = Head {
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        method: request.method().to_string(),
        headers: passing,
        length: caller::declared(request)?,
        ..Head::default()
    };
    let held = match &source {
        Source::Buffered(bytes) => Some(bytes.len() as u64),
        Source::Stream { .. } => None,
    };
    head.length = held.or(head.length);
    let call = carrier.next_call();
    let event = Call {
        call,
        origin: Origin::Caller(key),
        host,
        method: head.method.clone(),
        path: request.path().to_owned(),
        claim: None,
        replayable: held.is_some(),
        left: header::left(request.headers(), names),
        connection: shared.number,
    };
    let is_head = head.method == "HEAD";
    let (reply, answered) = oneshot::channel();
    let pending = Pending::new(Clock.now(), reply, head, source, names);
    let guard = carrier.begin(call, pending);
    shared.push(Exchange {
        reply: Wanted::Asked(answered),
        guard: Some(guard),
        is_head,
        close: request.head().connection_type() == ConnectionType::Close,
    });
    carrier.on(Event::Call(event));
    Ok(())
}

/// Writes the answers in order. Ends when the connection has to be closed:
/// with `Ok` after a whole answer, else within one.
async fn write(shared: &Shared, writer: &mut WriteHalf<'_>) -> Result<(), Cut> {
    loop {
        let next = shared.queue.borrow_mut().pop_front();
        let Some(exchange) = next else {
            if shared.finishing.get() {
                return Ok(());
            }
            shared.grown.notified().await;
            continue;
        };
        shared.writing.set(true);
        shared.shrunk.notify_one();
        let close = answer(shared, writer, exchange).await?;
        shared.writing.set(false);
        shared.settled.set(Clock.now());
        shared.shrunk.notify_one();
        if close {
            return Ok(());
        }
    }
}

/// Writes one answer, and tells whether the connection closes after it.
async fn answer(
    shared: &Shared,
    writer: &mut WriteHalf<'_>,
    exchange: Exchange,
) -> Result<bool, Cut> {
    let carrier = &shared.carrier;
    let reply = match exchange.reply {
        Wanted::Continue => {
            put(writer, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            return Ok(false);
        }
        Wanted::Refused(code) => Reply::Refuse(code, code.retry_after()),
        // The decisions always answer; if they are gone, so is the node.
        Wanted::Asked(answered) => answered
            .await
            .unwrap_or(Reply::Refuse(Code::LinkLost, None)),
    };
    let close = exchange.close || carrier.is_draining() || carrier.is_crowded();
    match reply {
        Reply::Refuse(code, wait) => {
            let mut output = BytesMut::with_capacity(512);
            let status = (carrier.interface.status)(code);
            refusal::write(&mut output, code, status, wait, close);
            put(writer, &output).await?;
        }
        Reply::Answer(head, inlet) => {
            let cut = deliver(writer, &head, &inlet, exchange.is_head, close).await;
            if let (Err(Cut), Some(guard)) = (&cut, &exchange.guard) {
                guard.count_cut_answer();
            }
            cut?;
        }
    }
    Ok(close)
}

async fn put(writer: &mut WriteHalf<'_>, bytes: &[u8]) -> Result<(), Cut> {
    writer.write_all(bytes).await.map_err(|_| Cut)
}

/// Writes an upstream's answer. One that is cut leaves its end mark out, or its
/// length short, so that it does not look whole.
async fn deliver(
    writer: &mut WriteHalf<'_>,
    head: &Head,
    inlet: &Inlet,
    is_head: bool,
    close: bool,
) -> Result<(), Cut> {
    let bodiless = is_head || matches!(head.status, 204 | 304);
    let chunked = head.length.is_none() && !bodiless;
    let mut output = BytesMut::with_capacity(1024);
    write_head(&mut output, head, chunked, close);
    // An answer without a body has nothing to wait for.
    let body = (!bodiless).then_some(inlet);
    while let Some(inlet) = body
        && let Some(chunk) = inlet.next().await
    {
        push_chunk(&mut output, &chunk?, chunked);
        while output.len() < WRITE
            && let Some(chunk) = inlet.pop()
        {
            push_chunk(&mut output, &chunk, chunked);
        }
        // What is whole already goes out in one piece with its end mark.
        if !inlet.is_whole() || output.len() >= WRITE {
            put(writer, &output).await?;
            output.clear();
        }
    }
    if chunked {
        output.extend_from_slice(b"0\r\n\r\n");
    }
    put(writer, &output).await
}

fn push_chunk(output: &mut BytesMut, chunk: &[u8], chunked: bool) {
    if chunk.is_empty() {
        return;
    }
    if chunked {
        output.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
    }
    output.extend_from_slice(chunk);
    if chunked {
        output.extend_from_slice(b"\r\n");
    }
}

/// Writes a head. The codec cannot do it: its encoder goes by the request that
/// was read last, and another may have been read since this one.
fn write_head(output: &mut BytesMut, head: &Head, chunked: bool, close: bool) {
    begin_head(output, head.status);
    for (name, value) in &head.headers {
        output.extend_from_slice(name.as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value);
        output.extend_from_slice(b"\r\n");
    }
    if chunked {
        output.extend_from_slice(b"transfer-encoding: chunked\r\n");
    }
    if let Some(length) = head.length
        && !matches!(head.status, 204 | 304)
    {
        output.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
    }
    if close {
        output.extend_from_slice(b"connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
}

/// Writes the line that begins an answer.
pub(crate) fn begin_head(output: &mut BytesMut, status: u16) {
    let reason = StatusCode::from_u16(status).ok();
    let reason = reason
        .and_then(|s| s.canonical_reason())
        .unwrap_or("Unknown");
    output.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
}

/// What callers may do on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Bytes of a request's headers.
    pub(crate) headers: crate::unit::Size,
    /// Time for a head to arrive.
    pub(crate) head: Span,
    /// Time for the next part of a body.
    pub(crate) body: Span,
    /// Time that a connection may be idle.
    pub(crate) idle: Span,
}
