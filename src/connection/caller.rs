//! Handles HTTP requests of callers and of the service next to the node.
//!
//! actix-http parses the heads and the body framing, so requests that it rejects
//! never get here. This module decides which parts of a request are forwarded,
//! how much of its body is buffered, and how the response is written.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use actix_http::{
    ConnectionType, HttpMessage, Payload, Request, Response, StatusCode,
    body::{
        BodySize,
        BoxBody,
        MessageBody, //
    },
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use awc::http::Version;
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::Xxh3Default;

use super::{
    body::{
        Cut,
        Inlet, //
    },
    door, header, refusal,
};
use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Span, //
    },
    code::Code,
    event::RequestName,
    frame::Head,
    id,
    memory::{
        Account,
        Owner, //
    },
    metric::Counter,
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
    record::Claim,
    task::{
        Unit,
        contain_unit, //
    },
};

/// The largest body in bytes that is buffered even without an idempotency key, so
/// that the request can be retried. Also the body limit where no route matches.
pub(crate) const DEFAULT_BUFFER_LIMIT: u64 = 64 << 10;

/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// The listener on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// The listener for callers.
    Callers,
    /// The listener for the service next to the node.
    Service,
}

/// Whether a response has announced that its connection closes.
#[derive(Clone, Default)]
pub(crate) struct CloseAnnounced(Rc<Cell<bool>>);

/// Handles one request and returns its response.
pub(crate) async fn serve(
    carrier: Rc<Carrier>,
    listener: ListenerKind,
    request: Request,
) -> Response<BoxBody> {
    if listener == ListenerKind::Service
        && let Some(response) = handle_announcement(&carrier, &request)
    {
        return response;
    }
    let close_announced = request.conn_data::<CloseAnnounced>().cloned();
    let CloseAnnounced(close_announced) = close_announced.unwrap_or_default();
    let forwarded = match close_announced.get() {
        // The HTTP library passes on what it has read, but the caller expects no
        // further response.
        true => Err(Code::Leaving),
        false => forward_contained(&carrier, listener, request).await,
    };
    let mut response = match forwarded {
        Ok(response) => response,
        Err(code) => {
            carrier.count(Counter::Refused(code));
            refusal::last(code, code.retry_after())
        }
    };
    if carrier.is_draining() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
        close_announced.set(true);
    }
    response
}

/// Handles `POST /announce` and `POST /leave`, with which the service reports that
/// it accepts requests or no longer does. Returns `None` for other requests.
fn handle_announcement(carrier: &Rc<Carrier>, request: &Request) -> Option<Response<BoxBody>> {
    let ready = match request.path() {
        "/announce" => true,
        "/leave" => false,
        _ => return None,
    };
    if request.method() != "POST" {
        return None;
    }
    carrier.announce(ready);
    Some(Response::new(StatusCode::NO_CONTENT).set_body(BoxBody::new(())))
}

/// Forwards a request. One that panics is refused, as its outcome is unknown.
async fn forward_contained(
    carrier: &Rc<Carrier>,
    listener: ListenerKind,
    request: Request,
) -> Result<Response<BoxBody>, Code> {
    let caller_id = header::caller_id(request.headers(), &carrier.interface.names);
    let forwarded = contain_unit(Unit::Request, forward(carrier, listener, request)).await;
    forwarded.unwrap_or_else(|panic| {
        let name = RequestName::new(caller_id.as_deref(), "");
        carrier.record_panic(Unit::Request, &name, &panic);
        Err(Code::NodeFault)
    })
}

async fn forward(
    carrier: &Rc<Carrier>,
    listener: ListenerKind,
    mut request: Request,
) -> Result<Response<BoxBody>, Code> {
    let limits = carrier.limits();
    let headers = request.headers();
    if request.upgrade() || headers.contains_key("upgrade") || request.method() == "CONNECT" {
        return Err(Code::UpgradeRefused);
    }
    // In HTTP/1.0, a response of unknown length is delimited by the close of the
    // connection, so a truncated one would look complete.
    if request.version() < Version::HTTP_11 {
        return Err(Code::Malformed);
    }
    if header::size(headers) > limits.headers.as_u64() {
        return Err(Code::HeadersTooLarge);
    }
    let names = &carrier.interface.names;
    let mut forwarded_headers = header::strip(headers, names);
    let origin = match listener {
        ListenerKind::Callers => {
            Origin::Caller(header::take_key(&mut forwarded_headers, headers, names))
        }
        ListenerKind::Service => Origin::Service(header::token(headers, names)),
    };
    let host = host(&request)?;
    let path = request.path().to_owned();
    let method = request.method().to_string();
    let declared_length = declared_length(&request)?;
    let limit = carrier.body_limit(&host, &method, &path);
    if declared_length.is_some_and(|length| length > limit) {
        return Err(Code::BodyTooLarge);
    }
    let key = idempotency_key(&request)?;
    let target = request.uri().path_and_query();
    let mut head = Head {
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        method,
        headers: forwarded_headers,
        length: declared_length,
        ..Head::default()
    };
    let payload = request.take_payload();
    let buffer_limit = match key {
        Some(_) => limit,
        None => DEFAULT_BUFFER_LIMIT.min(limit),
    };
    let account = carrier.memory.open(Owner::Callers);
    let source = match declared_length {
        Some(length) if length > buffer_limit => Source::Stream {
            prefix: Bytes::new(),
            rest: Some(payload),
            limit,
        },
        _ => {
            let limits = BodyLimits {
                buffered: buffer_limit,
                total: limit,
                chunk_time: limits.body_time,
            };
            buffer_body(payload, &limits, &account).await?
        }
    };
    let buffered = match &source {
        Source::Buffered(bytes) => {
            head.length = Some(bytes.len() as u64);
            Some(bytes.clone())
        }
        Source::Stream { .. } => None,
    };
    let claim = match (key, &buffered) {
        (Some(_), None) => return Err(Code::BodyTooLarge),
        (Some(key), Some(body)) => Some(Claim {
            key,
            fingerprint: digest(&head, body).0,
        }),
        (None, _) => None,
    };
    let (reply, reply_receiver) = oneshot::channel();
    let is_head = head.method == "HEAD";
    let call = carrier.next_call();
    let event = Call {
        call,
        origin,
        host,
        method: head.method.clone(),
        path,
        claim,
        replayable: buffered.is_some(),
        digest: buffered.as_ref().map(|body| digest(&head, body)),
        left: None,
        connection: id::Connection::default(),
    };
    if !account.add(head.capacity()) {
        return Err(Code::MemoryShort);
    }
    let mut pending = Pending::new(Clock.now(), reply, head, source, names);
    carrier.refuse_on_eviction(&account, call);
    pending.account = Some(account);
    let guard = carrier.begin(call, pending);
    carrier.on(Event::Call(event));
    match reply_receiver.await {
        Ok(Reply::Answer(_, inlet)) if inlet.is_evicted() => {
            guard.set_written();
            carrier.count(Counter::Refused(Code::MemoryExceeded));
            Ok(refusal_response(
                Code::MemoryExceeded,
                None,
                buffered.is_some(),
            ))
        }
        Ok(Reply::Answer(head, inlet)) => Ok(build_response(&head, is_head, inlet, guard)),
        Ok(Reply::Refuse(code, wait)) => {
            guard.set_written();
            Ok(refusal_response(code, wait, buffered.is_some()))
        }
        Err(_) => Err(Code::LinkLost),
    }
}

/// The response for a refusal by the node, which has already counted it. The
/// connection is kept open only if the request body was read completely.
fn refusal_response(code: Code, wait: Option<Span>, body_read: bool) -> Response<BoxBody> {
    match body_read {
        true => refusal::response(code, wait),
        false => refusal::last(code, wait),
    }
}

/// The requested host in lower case, without its port. Missing, conflicting or
/// repeated hosts are malformed.
pub(crate) fn host(request: &Request) -> Result<String, Code> {
    let mut host_headers = request.headers().get_all("host");
    let header = host_headers.next().map(HeaderValue::to_str).transpose();
    let header = header.map_err(|_| Code::Malformed)?;
    if host_headers.next().is_some() {
        return Err(Code::Malformed);
    }
    let authority = request
        .uri()
        .authority()
        .map(|authority| authority.as_str());
    match (authority, header) {
        (Some(a), Some(h)) if a != h => Err(Code::Malformed),
        (Some(host), _) | (None, Some(host)) => Ok(without_port(host).to_ascii_lowercase()),
        (None, None) => Err(Code::Malformed),
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The body length that the request declares; `None` with a transfer encoding.
/// actix-http has already rejected contradictory lengths.
pub(crate) fn declared_length(request: &Request) -> Result<Option<u64>, Code> {
    if request.headers().contains_key("transfer-encoding") {
        return Ok(None);
    }
    match request.headers().get("content-length") {
        None => Ok(Some(0)),
        Some(value) => {
            let text = value.to_str().map_err(|_| Code::Malformed)?;
            text.parse().map(Some).map_err(|_| Code::Malformed)
        }
    }
}

fn idempotency_key(request: &Request) -> Result<Option<String>, Code> {
    let mut values = request.headers().get_all("idempotency-key");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Code::Malformed)?.trim();
    let fits = !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY && values.next().is_none();
    fits.then(|| Some(text.to_owned())).ok_or(Code::Malformed)
}

/// Returns the digest of a request, by which it is compared with another one that has
/// the same idempotency key, and recognized when a caller sends it again.
pub(crate) fn digest(head: &Head, body: &[u8]) -> id::Digest {
    let mut sum = Xxh3Default::new();
    for part in [head.method.as_bytes(), head.target.as_bytes(), body] {
        sum.update(&(part.len() as u64).to_be_bytes());
        sum.update(part);
    }
    id::Digest(sum.digest())
}

/// Limits on a body.
struct BodyLimits {
    /// Maximum length of the part that is buffered.
    buffered: u64,
    /// Maximum length.
    total: u64,
    /// Maximum time for the next chunk.
    chunk_time: Span,
}

/// Reads a body until its end, or until it exceeds the limit for what is buffered. In
/// that case the rest is streamed.
async fn buffer_body(
    mut payload: Payload,
    limits: &BodyLimits,
    account: &Account,
) -> Result<Source, Code> {
    let mut buffered = BytesMut::new();
    loop {
        let chunk = tokio::select! {
            biased;
            () = account.evicted() => return Err(Code::MemoryShort),
            next = tokio::time::timeout(limits.chunk_time.to_std(), payload.next()) => {
                next.map_err(|_| Code::CallerSlow)?
            }
        };
        match chunk {
            None => return Ok(Source::Buffered(buffered.freeze())),
            Some(chunk) => buffered.extend_from_slice(&chunk.map_err(|_| Code::Malformed)?),
        }
        if buffered.len() as u64 > limits.total {
            return Err(Code::BodyTooLarge);
        }
        if !account.set(buffered.capacity()) {
            return Err(Code::MemoryShort);
        }
        if buffered.len() as u64 > limits.buffered {
            return Ok(Source::Stream {
                prefix: buffered.freeze(),
                rest: Some(payload),
                limit: limits.total,
            });
        }
    }
}

/// Converts an upstream's response into the one for the caller.
fn build_response(head: &Head, is_head: bool, inlet: Rc<Inlet>, guard: Guard) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let bodiless = matches!(head.status, 204 | 304);
    let size = match head.length {
        _ if bodiless => BodySize::None,
        Some(length) => BodySize::Sized(length),
        None if is_head => BodySize::None,
        None => BodySize::Stream,
    };
    // A response without a body is not polled for one.
    if matches!(size, BodySize::None | BodySize::Sized(0)) {
        guard.set_written();
    }
    let relayed_body = RelayedBody { inlet, size, guard };
    let mut response = Response::with_body(status, BoxBody::new(relayed_body));
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// A response body that is streamed to the caller. An error closes the connection
/// before the end of the body, so the caller sees that the response is truncated.
struct RelayedBody {
    inlet: Rc<Inlet>,
    size: BodySize,
    guard: Guard,
}

impl MessageBody for RelayedBody {
    type Error = Cut;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = self.inlet.poll(cx);
        match next {
            Poll::Ready(Some(Err(Cut))) => self.guard.count_cut_answer(),
            Poll::Ready(None) => self.guard.set_written(),
            _ => {}
        }
        next
    }
}

impl Carrier {
    /// The body limit of the matching route, or the default without one.
    fn body_limit(&self, host: &str, method: &str, path: &str) -> u64 {
        self.route_limit(host, method, path)
            .unwrap_or(DEFAULT_BUFFER_LIMIT)
    }

    /// The body limit of the matching route, if there is one.
    pub(crate) fn route_limit(&self, host: &str, method: &str, path: &str) -> Option<u64> {
        let core = self.core();
        let route = core.snapshot().tables.route(host, method, path)?;
        Some(route.body.as_u64())
    }

    /// Limits on caller connections: from the configuration if it has them, else
    /// from the node's settings.
    pub(crate) fn caller_limits(&self) -> door::Limits {
        let own = self.limits();
        let callers = self.core().snapshot().callers;
        door::Limits {
            headers: callers.map_or(own.headers, |callers| callers.headers),
            head: callers.map_or(own.head_time, |callers| callers.head_time),
            body: own.body_time,
            idle: callers.map_or(own.caller_idle, |callers| callers.idle),
        }
    }

    /// Allocates the id of the next call.
    pub(crate) fn next_call(&self) -> id::Call {
        id::Call(self.next_number())
    }
}
