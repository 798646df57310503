//! HTTP/1.1 server side of caller connections.
//!
//! Requests are decoded with actix-http's codec, but not served by its
//! dispatcher. The dispatcher handles pipelined requests one after the other, so
//! each waits for those before it, and it does not notice a disconnect while a
//! request is being handled. Here, every request is dispatched as soon as it is
//! read, responses are written in request order, and reading continues
//! meanwhile, so a disconnect is noticed at once.
//!
//! A connection that this node closes ends after the response to the last request
//! that was dispatched, and `connection: close` is sent with that response only.

mod response;

pub(crate) use self::response::write_status_line;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::VecDeque,
    rc::{
        Rc,
        Weak, //
    },
    time::Duration,
};

use actix_http::{
    BoxedPayloadStream,
    ConnectionType,
    HttpMessage,
    Request,
    error::PayloadError,
    h1, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::stream;
use rustix::net::{
    RecvFlags,
    recv, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpStream,
        tcp::ReadHalf, //
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
        MIN_SHARED_CHUNK,
        kept_capacity, //
    },
    caller,
    header, //
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
    memory::{
        Account,
        Owner, //
    },
    metric::{
        ConnectionEnd,
        Counter, //
    },
    node::{
        Call,
        Event,
        Origin, //
    },
    pending::{
        Guard,
        Pending,
        Progress,
        Reply,
        Source, //
    },
    task::{
        Unit,
        contain_unit, //
    },
};

/// Maximum number of queued requests per connection. Decoding pauses when it is
/// reached.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Bytes that are read ahead while decoding pauses. Without reading, a disconnect would
/// not be noticed.
const MAX_PAUSED_INPUT: usize = 16 << 10;
/// Read buffer space in bytes, reserved on each connection while a body is being
/// received and otherwise. Most heads fit the smaller size, and with thousands of
/// idle connections larger buffers would take most of a node's memory.
const BODY_READ_BUFFER: usize = 16 << 10;
const HEAD_READ_BUFFER: usize = 2 << 10;
/// The largest buffer in bytes that an idle connection keeps.
const MAX_IDLE_BUFFER: usize = 4 * HEAD_READ_BUFFER;
/// Bytes of a request line, and of the delimiters of the headers. An unfinished head may
/// be longer than the limit on headers by this much.
const MAX_REQUEST_LINE: u64 = 8 << 10;
/// The largest buffer in bytes that is reserved for a body which a head announces.
const MAX_EXPECTED_BODY: u64 = 64 << 10;
/// How long a closing connection is kept open for the caller to receive the last
/// response. Closing it with unread requests pending would reset the connection,
/// and the response could be lost.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A request whose response has not been written yet, queued in order of arrival.
struct Exchange {
    reply: ReplySource,
    guard: Option<Guard>,
    is_head: bool,
}

enum ReplySource {
    /// The request was dispatched to the node, which sends the reply here.
    Dispatched(oneshot::Receiver<Reply>),
    /// The request was refused by this module.
    Refused(Code),
    /// The caller waits for `100 Continue` before it sends the body.
    Continue,
}

/// State shared by the reading and the writing half of one connection.
struct ConnectionState {
    carrier: Rc<Carrier>,
    queue: RefCell<VecDeque<Exchange>>,
    /// Notified when the queue grows.
    queue_grown: Notify,
    /// Notified when the queue shrinks and when a response has been written.
    queue_shrunk: Notify,
    /// Whether a response is being written.
    writing: Cell<bool>,
    /// Whether a part of this response was passed to the socket.
    begun: Cell<bool>,
    /// Whether a request has arrived in part and was not dispatched yet.
    receiving: Cell<bool>,
    /// Whether further requests are dispatched. If not, input is discarded and the
    /// connection closes once the queue is empty.
    accepting: Cell<bool>,
    /// Whether reading has ended.
    finished: Cell<bool>,
    /// When the last response was written, initially when the connection was
    /// accepted.
    idle_since: Cell<Time>,
    progress: Rc<Progress>,
    /// Memory of the input and of the body that is being buffered.
    input: Account,
    /// Memory of the response that is being written.
    output: Account,
}

impl ConnectionState {
    fn push(&self, exchange: Exchange) {
        self.queue.borrow_mut().push_back(exchange);
        self.queue_grown.notify_one();
    }

    fn is_idle(&self) -> bool {
        self.queue.borrow().is_empty() && !self.writing.get()
    }

    fn is_full(&self) -> bool {
        self.queue.borrow().len() >= MAX_PIPELINED_REQUESTS
    }

    /// Decides whether the connection closes after the response that is about to be
    /// written. If it does, no further request is dispatched.
    fn close_after_response(&self) -> bool {
        let is_last = self.queue.borrow().is_empty() && !self.receiving.get();
        let wants_close = !self.accepting.get()
            || self.carrier.is_draining()
            || self.carrier.is_near_connection_limit();
        let close = is_last && wants_close;
        if close {
            self.accepting.set(false);
        }
        close
    }
}

/// Why reading from a connection ended.
enum ReadEnd {
    /// The caller disconnected, or the connection failed.
    Disconnected,
    /// The connection is idle and is to be closed.
    Idle,
}

/// Serves one connection until it closes. `closing` resolves when idle
/// connections are to be closed.
pub(crate) async fn serve(
    carrier: Rc<Carrier>,
    mut stream: TcpStream,
    closing: impl Future<Output = ()>,
) {
    let shared = ConnectionState {
        progress: Progress::new(id::Connection(carrier.next_number())),
        input: carrier.memory.open(Owner::Callers),
        output: carrier.memory.open(Owner::Upstream),
        carrier,
        queue: RefCell::default(),
        queue_grown: Notify::new(),
        queue_shrunk: Notify::new(),
        writing: Cell::new(false),
        begun: Cell::new(false),
        receiving: Cell::new(false),
        accepting: Cell::new(true),
        finished: Cell::new(false),
        idle_since: Cell::new(Clock.now()),
    };
    let (mut reader, mut writer) = stream.split();
    let end = {
        let read = std::pin::pin!(read(&shared, &mut reader, closing));
        let mut write = std::pin::pin!(response::write(&shared, &mut writer));
        let end = tokio::select! {
            ended = read => match ended {
                ReadEnd::Disconnected => ConnectionEnd::CallerGone,
                ReadEnd::Idle => {
                    shared.finished.set(true);
                    shared.queue_grown.notify_one();
                    write.as_mut().await
                }
            },
            end = &mut write => end,
        };
        shared.progress.set_end(end);
        end
    };
    // Dropping the guards cancels the requests that are still running.
    shared.queue.borrow_mut().clear();
    if end == ConnectionEnd::Closed {
        linger(stream).await;
    }
}

/// Shuts down the writing side and discards input until the caller closes the
/// connection or the timeout expires.
async fn linger(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let mut rest = [0; 4096];
    let drain = async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drain).await;
}

/// Sends the chunks of a streamed body, and `None` at its end. Dropping it earlier
/// marks the body as incomplete. Sending waits while the channel is full and fails at
/// once when the receiver has been dropped.
type BodySender = mpsc::Sender<Option<Bytes>>;

/// Capacity of a streamed body's channel, in chunks.
const BODY_CHANNEL_CAPACITY: usize = 4;

/// A request whose body is still being received.
struct Incoming {
    request: Request,
    /// The body so far, until it exceeds `buffer_limit` and is streamed.
    buffered: BytesMut,
    body_sender: Option<BodySender>,
    /// Memory of the part of a streamed body that the node has not sent on. Its receiver
    /// owns the account.
    streamed: Weak<Account>,
    buffer_limit: u64,
    body_limit: u64,
    /// Bytes of the body received so far.
    received: u64,
}

/// The outcome of decoding a part of a request.
enum Decoded {
    /// The part was processed.
    Message,
    /// More input is needed.
    Incomplete,
    /// The request cannot be accepted.
    Refused(Code),
}

/// What arrived on a connection and was not dispatched yet.
struct Received {
    codec: h1::Codec,
    input: BytesMut,
    incoming: Option<Incoming>,
    /// When the first part of an incomplete head arrived.
    head_started: Option<Time>,
}

impl Received {
    fn new() -> Self {
        Self {
            codec: h1::Codec::default(),
            input: BytesMut::with_capacity(HEAD_READ_BUFFER),
            incoming: None,
            head_started: None,
        }
    }

    /// Whether no request has arrived in part.
    fn is_empty(&self) -> bool {
        self.head_started.is_none() && self.incoming.is_none()
    }

    /// Whether decoding pauses because too many requests are queued.
    fn is_paused(&self, shared: &ConnectionState) -> bool {
        shared.is_full() && self.incoming.is_none()
    }

    fn can_read(&self, shared: &ConnectionState) -> bool {
        !self.is_paused(shared) || self.input.len() < MAX_PAUSED_INPUT
    }

    /// Decodes the input as far as possible and dispatches the requests in it. Input of
    /// requests that are not accepted is discarded.
    async fn decode(&mut self, shared: &ConnectionState) {
        loop {
            if !shared.accepting.get() && self.incoming.is_none() {
                self.input.clear();
                self.head_started = None;
                break;
            }
            if self.is_paused(shared) {
                break;
            }
            let arrived = shared.progress.arrived();
            match contain_unit(Unit::Request, self.decode_message(shared)).await {
                Ok(Decoded::Message) => {}
                Ok(Decoded::Incomplete) => break,
                Ok(Decoded::Refused(code)) => fail_request(shared, self.incoming.take(), code),
                Err(panic) => {
                    shared.carrier.record_panic(Unit::Request, &"", &panic);
                    shared.accepting.set(false);
                    // A request that was dispatched has a response of its own.
                    if shared.progress.arrived() == arrived {
                        fail_request(shared, self.incoming.take(), Code::NodeFault);
                    }
                }
            }
        }
        if !self.input.is_empty() && self.incoming.is_none() && !self.is_paused(shared) {
            self.head_started.get_or_insert_with(|| Clock.now());
        }
        let is_undispatched = |body: &Incoming| body.body_sender.is_none();
        let is_buffering = self.incoming.as_ref().is_some_and(is_undispatched);
        shared
            .receiving
            .set(self.head_started.is_some() || is_buffering);
    }

    /// Decodes and processes the next part of a request.
    async fn decode_message(&mut self, shared: &ConnectionState) -> Decoded {
        match self.codec.decode(&mut self.input) {
            Ok(Some(message)) => {
                self.head_started = None;
                let refusal = process_message(shared, &mut self.incoming, message).await;
                refusal.map_or(Decoded::Message, Decoded::Refused)
            }
            Ok(None) if self.is_head_too_large(shared) => Decoded::Refused(Code::HeadersTooLarge),
            Ok(None) => Decoded::Incomplete,
            Err(_) => Decoded::Refused(Code::Malformed),
        }
    }

    /// When the wait for the caller times out: for the next part of a body, for the
    /// rest of a head, or on an idle connection.
    fn deadline(&self, shared: &ConnectionState) -> Option<Time> {
        let limits = shared.carrier.caller_limits();
        if self.incoming.is_some() {
            return Some(Clock.now() + limits.body);
        }
        if let Some(head_started) = self.head_started {
            return Some(head_started + limits.head);
        }
        shared
            .is_idle()
            .then(|| shared.idle_since.get() + limits.idle)
    }

    /// Whether an unfinished head is longer than one that would be accepted.
    fn is_head_too_large(&self, shared: &ConnectionState) -> bool {
        let limit = shared.carrier.caller_limits().headers.as_u64() + MAX_REQUEST_LINE;
        self.incoming.is_none() && self.input.len() as u64 > limit
    }

    /// Makes room for the next read. Returns whether the connection may hold so much.
    fn reserve(&mut self, shared: &ConnectionState) -> bool {
        if self.input.is_empty()
            && self.incoming.is_none()
            && self.input.capacity() > MAX_IDLE_BUFFER
        {
            self.input = BytesMut::new();
        }
        self.input.reserve(match self.incoming {
            Some(_) => BODY_READ_BUFFER,
            None => HEAD_READ_BUFFER,
        });
        let buffered = self.incoming.as_ref();
        let buffered = buffered.map_or(0, |incoming| incoming.buffered.capacity());
        shared.input.set(self.input.capacity() + buffered)
    }

    /// Refuses the request that has arrived in part, and releases what was read.
    fn give_up(&mut self, shared: &ConnectionState) {
        self.input = BytesMut::new();
        shared.accepting.set(false);
        if !self.is_empty() {
            self.head_started = None;
            fail_request(shared, self.incoming.take(), Code::MemoryShort);
        }
        shared.receiving.set(false);
        shared.input.set(0);
    }

    /// Fails the request that has arrived in part.
    fn fail(&mut self, shared: &ConnectionState, code: Code) {
        self.head_started = None;
        fail_request(shared, self.incoming.take(), code);
    }
}

/// Reads and dispatches requests until the caller disconnects or the connection is to
/// be closed while it is idle.
async fn read(
    shared: &ConnectionState,
    reader: &mut ReadHalf<'_>,
    closing: impl Future<Output = ()>,
) -> ReadEnd {
    let mut closing = std::pin::pin!(closing);
    let mut closed = false;
    let mut given_up = false;
    let mut received = Received::new();
    loop {
        received.decode(shared).await;
        // The process may end before the rest arrives.
        if closed && !received.is_empty() {
            received.fail(shared, Code::Leaving);
            continue;
        }
        let is_idle = shared.is_idle() && received.is_empty();
        if is_idle && !shared.accepting.get() {
            return ReadEnd::Idle;
        }
        if is_idle && closed && !has_unread_input(reader) {
            return ReadEnd::Idle;
        }
        let until = received.deadline(shared);
        let wait = until.map(|until| Clock.now().until(until).to_std());
        let can_read = received.can_read(shared);
        if !received.reserve(shared) && !given_up {
            given_up = true;
            received.give_up(shared);
            continue;
        }
        tokio::select! {
            () = shared.input.evicted(), if !given_up => {}
            count = reader.read_buf(&mut received.input), if can_read => match count {
                Ok(1..) => {}
                _ => return ReadEnd::Disconnected,
            },
            () = shared.queue_shrunk.notified() => {}
            () = &mut closing, if !closed => closed = true,
            () = tokio::time::sleep(wait.unwrap_or_default()), if wait.is_some() => {
                let expired = until.is_some_and(|until| Clock.now() >= until);
                match expired {
                    true if !received.is_empty() => received.fail(shared, Code::CallerSlow),
                    true if !has_unread_input(reader) => return ReadEnd::Idle,
                    _ => {}
                }
            }
        }
    }
}

/// Whether input has arrived that was not read yet. The runtime may not have reported it,
/// for example if the process has just resumed.
fn has_unread_input(reader: &ReadHalf<'_>) -> bool {
    let peeked = recv(reader.as_ref(), &mut [0; 1], RecvFlags::PEEK);
    peeked.is_ok_and(|(_, count)| count > 0)
}

/// Fails the request that is being read. The connection closes after it.
fn fail_request(shared: &ConnectionState, incoming: Option<Incoming>, code: Code) {
    shared.accepting.set(false);
    match incoming {
        // The request was already dispatched: the receiver of its body sees that
        // it is incomplete.
        Some(Incoming {
            body_sender: Some(body_sender),
            ..
        }) => drop(body_sender),
        Some(incoming) => refuse(shared, code, is_head(&incoming.request)),
        None => refuse(shared, code, false),
    }
}

fn refuse(shared: &ConnectionState, code: Code, is_head: bool) {
    shared.carrier.count(Counter::Refused(code));
    shared.push(Exchange {
        reply: ReplySource::Refused(code),
        guard: None,
        is_head,
    });
}

fn is_head(request: &Request) -> bool {
    request.method() == "HEAD"
}

/// Processes one decoded part of a request. Returns a code if the connection
/// cannot continue.
async fn process_message(
    shared: &ConnectionState,
    incoming: &mut Option<Incoming>,
    message: h1::Message<Request>,
) -> Option<Code> {
    match message {
        h1::Message::Item(request) => {
            let is_head = is_head(&request);
            match receive_head(shared, request) {
                Ok(Some(opened)) => *incoming = Some(opened),
                Ok(None) => {}
                Err(code) => {
                    shared.accepting.set(false);
                    refuse(shared, code, is_head);
                }
            }
        }
        h1::Message::Chunk(Some(bytes)) => {
            let body = incoming.as_mut()?;
            body.received += bytes.len() as u64;
            if body.received > body.body_limit && body.body_sender.is_none() {
                return Some(Code::BodyTooLarge);
            }
            match &mut body.body_sender {
                Some(body_sender) => {
                    let bytes = match bytes.len() {
                        ..MIN_SHARED_CHUNK => Bytes::copy_from_slice(&bytes),
                        _ => bytes,
                    };
                    if let Some(account) = body.streamed.upgrade() {
                        account.add(kept_capacity(&bytes));
                    }
                    let _ = body_sender.send(Some(bytes)).await;
                }
                None => body.buffered.extend_from_slice(&bytes),
            }
            if body.body_sender.is_none() && body.received > body.buffer_limit {
                let account = Rc::new(shared.carrier.memory.open(Owner::Callers));
                let prefix = std::mem::take(&mut body.buffered);
                if !account.set(prefix.capacity()) {
                    return Some(Code::MemoryShort);
                }
                let (body_sender, chunks) = mpsc::channel(BODY_CHANNEL_CAPACITY);
                body.body_sender = Some(body_sender);
                body.streamed = Rc::downgrade(&account);
                let payload = stream_body(chunks, account.clone(), prefix.capacity());
                let source = Source::Stream {
                    prefix: prefix.freeze(),
                    rest: Some(payload.into()),
                    limit: body.body_limit,
                };
                return match dispatch(shared, &body.request, source) {
                    Ok(call) => {
                        shared.carrier.refuse_on_eviction(&account, call);
                        None
                    }
                    Err(code) => Some(code),
                };
            }
        }
        h1::Message::Chunk(None) => {
            let body = incoming.take()?;
            match body.body_sender {
                Some(body_sender) => {
                    let _ = body_sender.send(None).await;
                }
                None => {
                    let source = Source::Buffered(body.buffered.freeze());
                    return dispatch(shared, &body.request, source).err();
                }
            }
        }
    }
    None
}

/// Returns the rest of a body, whose first part is released when the rest is asked for.
fn stream_body(
    chunks: mpsc::Receiver<Option<Bytes>>,
    account: Rc<Account>,
    prefix: usize,
) -> BoxedPayloadStream {
    let first = (chunks, prefix);
    Box::pin(stream::unfold(Some(first), move |state| {
        let account = account.clone();
        async move {
            // A chunk is asked for when the one before has been sent on.
            let (mut chunks, previous) = state?;
            account.sub(previous);
            match chunks.recv().await {
                Some(Some(chunk)) => {
                    let kept = kept_capacity(&chunk);
                    Some((Ok(chunk), Some((chunks, kept))))
                }
                Some(None) => None,
                None => Some((Err(PayloadError::Incomplete(None)), None)),
            }
        }
    }))
}

/// Validates a request head. A request without a body is dispatched at once; for
/// any other, returns the state for receiving its body.
fn receive_head(shared: &ConnectionState, request: Request) -> Result<Option<Incoming>, Code> {
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
    let declared_length = caller::declared_length(&request)?;
    if declared_length == Some(0) {
        dispatch(shared, &request, Source::Buffered(Bytes::new()))?;
        return Ok(None);
    }
    let host = caller::host(&request)?;
    // Without a route there is no body limit: a node without a configuration must
    // not report a body as too large. Such a request is refused for its missing
    // route once it is dispatched, after the buffered part of its body.
    let body_limit = carrier.route_limit(&host, request.method().as_str(), request.path());
    let body_limit = body_limit.unwrap_or(u64::MAX);
    if declared_length.is_some_and(|length| length > body_limit) {
        return Err(Code::BodyTooLarge);
    }
    if headers.contains_key("expect") {
        shared.push(Exchange {
            reply: ReplySource::Continue,
            guard: None,
            is_head: false,
        });
    }
    let buffer_limit = carrier.interface.max_buffered_body.as_u64().min(body_limit);
    let expected = declared_length.unwrap_or(0).min(buffer_limit);
    let expected = expected.min(MAX_EXPECTED_BODY);
    Ok(Some(Incoming {
        buffered: BytesMut::with_capacity(expected as usize),
        body_sender: None,
        streamed: Weak::new(),
        buffer_limit,
        body_limit,
        received: 0,
        request,
    }))
}

/// Registers a request and passes it to the node.
fn dispatch(shared: &ConnectionState, request: &Request, source: Source) -> Result<id::Call, Code> {
    let carrier = &shared.carrier;
    let names = &carrier.interface.names;
    let host = caller::host(request)?;
    let mut forwarded_headers = header::strip(request.headers(), names);
    let key = header::take_key(&mut forwarded_headers, request.headers(), names);
    let target = request.uri().path_and_query();
    let mut head = Head {
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        method: request.method().to_string(),
        headers: forwarded_headers,
        length: caller::declared_length(request)?,
        ..Head::default()
    };
    let buffered = match &source {
        Source::Buffered(bytes) => Some(bytes),
        Source::Stream { .. } => None,
    };
    let buffered_length = buffered.map(|bytes| bytes.len() as u64);
    head.length = buffered_length.or(head.length);
    let call = carrier.next_call();
    let account = open_account(carrier, call, &head, &source)?;
    let event = Call {
        call,
        origin: Origin::Caller(key),
        host,
        method: head.method.clone(),
        path: request.path().to_owned(),
        claim: None,
        replayable: buffered.is_some(),
        digest: buffered.map(|body| caller::digest(&head, body)),
        left: header::left(request.headers(), names),
        connection: shared.progress.id(),
    };
    let is_head = head.method == "HEAD";
    let (reply, reply_receiver) = oneshot::channel();
    let mut pending = Pending::new(Clock.now(), reply, head, source, names);
    pending.position = Some(shared.progress.arrive());
    pending.account = Some(account);
    let guard = carrier.begin(call, pending);
    shared.push(Exchange {
        reply: ReplySource::Dispatched(reply_receiver),
        guard: Some(guard),
        is_head,
    });
    if request.head().connection_type() == ConnectionType::Close {
        shared.accepting.set(false);
    }
    carrier.on(Event::Call(event));
    Ok(call)
}

/// Opens an account for the head and a buffered body, which are kept for retries.
fn open_account(
    carrier: &Carrier,
    call: id::Call,
    head: &Head,
    source: &Source,
) -> Result<Account, Code> {
    let body = match source {
        Source::Buffered(body) => body.len(),
        Source::Stream { .. } => 0,
    };
    let account = carrier.memory.open(Owner::Callers);
    if !account.set(head.capacity() + body) {
        return Err(Code::MemoryShort);
    }
    carrier.refuse_on_eviction(&account, call);
    Ok(account)
}

/// Limits on caller connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum size of a request's headers.
    pub(crate) headers: crate::unit::Size,
    /// Timeout for receiving a complete head.
    pub(crate) head: Span,
    /// Timeout for the next part of a body.
    pub(crate) body: Span,
    /// How long a connection may be idle.
    pub(crate) idle: Span,
}
