//! Requests of callers and of the service beside the node, as they arrive.
//!
//! actix-http reads the heads and frames the bodies, so what it does not
//! understand never gets here. This module decides what of a request passes
//! on, how much of its body is held, and how the answer is written.

use std::{
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
    frame::Head,
    id,
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
};

/// The largest body that is held without need, so that it can be sent again.
pub(crate) const HELD_LIMIT: u64 = 64 << 10;

/// The longest `Idempotency-Key`, in bytes.
const CLAIM_LIMIT: usize = 256;

/// Which listener a request came in by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// For callers.
    Callers,
    /// For the service beside the node.
    Service,
}

/// Answers one request.
pub(crate) async fn serve(
    carrier: Rc<Carrier>,
    side: ListenerKind,
    request: Request,
) -> Response<BoxBody> {
    if side == ListenerKind::Service
        && let Some(response) = announcement(&carrier, &request)
    {
        return response;
    }
    let mut response = match run(&carrier, side, request).await {
        Ok(response) => response,
        Err(code) => {
            carrier.count(Counter::Refused(code));
            refusal::last(code, code.retry_after())
        }
    };
    if carrier.is_draining() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

/// The service tells that it takes requests, or that it leaves.
fn announcement(carrier: &Rc<Carrier>, request: &Request) -> Option<Response<BoxBody>> {
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

async fn run(
    carrier: &Rc<Carrier>,
    side: ListenerKind,
    mut request: Request,
) -> Result<Response<BoxBody>, Code> {
    let limits = carrier.limits();
    let headers = request.headers();
    if request.upgrade() || headers.contains_key("upgrade") || request.method() == "CONNECT" {
        return Err(Code::UpgradeRefused);
    }
    // To the old version, an answer of unknown length ends with its connection,
    // so a cut one would look whole.
    if request.version() < Version::HTTP_11 {
        return Err(Code::Malformed);
    }
    if header::size(headers) > limits.headers.as_u64() {
        return Err(Code::HeadersTooLarge);
    }
    let names = &carrier.interface.names;
    let mut passing = header::strip(headers, names);
    let origin = match side {
        ListenerKind::Callers => Origin::Caller(header::take_key(&mut passing, headers, names)),
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
    let key = claim_key(&request)?;
    let target = request.uri().path_and_query();
    let mut head = Head {
        target: target.map_or("/", |target| target.as_str()).to_owned(),
        method,
        headers: passing,
        length: declared_length,
        ..Head::default()
    };
    let payload = request.take_payload();
    let hold = match key {
        Some(_) => limit,
        None => HELD_LIMIT.min(limit),
    };
    let source = match declared_length {
        Some(length) if length > hold => Source::Stream {
            prefix: Bytes::new(),
            rest: Some(payload),
            limit,
        },
        _ => hold_body(payload, hold, limit, limits.body_time).await?,
    };
    let held = match &source {
        Source::Buffered(bytes) => {
            head.length = Some(bytes.len() as u64);
            Some(bytes.clone())
        }
        Source::Stream { .. } => None,
    };
    let claim = match (key, &held) {
        (Some(_), None) => return Err(Code::BodyTooLarge),
        (Some(key), Some(body)) => Some(Claim {
            key,
            fingerprint: fingerprint(&head, body),
        }),
        (None, _) => None,
    };
    let (reply, answered) = oneshot::channel();
    let is_head = head.method == "HEAD";
    let call = carrier.next_call();
    let event = Call {
        call,
        origin,
        host,
        method: head.method.clone(),
        path,
        claim,
        replayable: held.is_some(),
        left: None,
        connection: id::Connection::default(),
    };
    let pending = Pending::new(Clock.now(), reply, head, source, names);
    let guard = carrier.begin(call, pending);
    carrier.on(Event::Call(event));
    match answered.await {
        Ok(Reply::Answer(head, inlet)) => Ok(answer(&head, is_head, inlet, guard)),
        Ok(Reply::Refuse(code, wait)) => Ok(refused(code, wait, held.is_some())),
        Err(_) => Err(Code::LinkLost),
    }
}

/// A refusal that the decisions made, which they counted. Its connection goes
/// on only when nothing of the request's body is left in it.
fn refused(code: Code, wait: Option<Span>, read: bool) -> Response<BoxBody> {
    match read {
        true => refusal::response(code, wait),
        false => refusal::last(code, wait),
    }
}

/// The host that the request names, which has to be one only.
pub(crate) fn host(request: &Request) -> Result<String, Code> {
    let mut named = request.headers().get_all("host");
    let header = named.next().map(HeaderValue::to_str).transpose();
    let header = header.map_err(|_| Code::Malformed)?;
    if named.next().is_some() {
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

/// The body's length, where the request tells it. The library has refused
/// lengths that contradict each other.
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

fn claim_key(request: &Request) -> Result<Option<String>, Code> {
    let mut values = request.headers().get_all("idempotency-key");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Code::Malformed)?.trim();
    let fits = !text.is_empty() && text.len() <= CLAIM_LIMIT && values.next().is_none();
    fits.then(|| Some(text.to_owned())).ok_or(Code::Malformed)
}

/// A checksum of everything that makes two requests the same.
fn fingerprint(head: &Head, body: &[u8]) -> u64 {
    let mut sum = Xxh3Default::new();
    for part in [head.method.as_bytes(), head.target.as_bytes(), body] {
        sum.update(&(part.len() as u64).to_be_bytes());
        sum.update(part);
    }
    sum.digest()
}

/// Reads a body until its end, or until it is larger than is held.
async fn hold_body(
    mut payload: Payload,
    hold: u64,
    limit: u64,
    patience: Span,
) -> Result<Source, Code> {
    let mut held = BytesMut::new();
    loop {
        let next = tokio::time::timeout(patience.to_std(), payload.next());
        match next.await.map_err(|_| Code::CallerSlow)? {
            None => return Ok(Source::Buffered(held.freeze())),
            Some(chunk) => held.extend_from_slice(&chunk.map_err(|_| Code::Malformed)?),
        }
        if held.len() as u64 > limit {
            return Err(Code::BodyTooLarge);
        }
        if held.len() as u64 > hold {
            return Ok(Source::Stream {
                prefix: held.freeze(),
                rest: Some(payload),
                limit,
            });
        }
    }
}

/// The answer of an upstream, as it is written to the caller.
fn answer(head: &Head, is_head: bool, inlet: Rc<Inlet>, guard: Guard) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let bodiless = matches!(head.status, 204 | 304);
    let size = match head.length {
        _ if bodiless => BodySize::None,
        Some(length) => BodySize::Sized(length),
        None if is_head => BodySize::None,
        None => BodySize::Stream,
    };
    let relay = Relay { inlet, size, guard };
    let mut response = Response::with_body(status, BoxBody::new(relay));
    for (name, value) in &head.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// An answer's body on its way to the caller. An error closes the connection
/// before the end mark, so the caller sees that the answer is not whole.
struct Relay {
    inlet: Rc<Inlet>,
    size: BodySize,
    guard: Guard,
}

impl MessageBody for Relay {
    type Error = Cut;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = self.inlet.poll(cx);
        if let Poll::Ready(Some(Err(Cut))) = next {
            self.guard.count_cut_answer();
        }
        next
    }
}

impl Carrier {
    /// The largest body of the route that matches.
    fn body_limit(&self, host: &str, method: &str, path: &str) -> u64 {
        self.route_limit(host, method, path).unwrap_or(HELD_LIMIT)
    }

    /// The same, if there is such a route.
    pub(crate) fn route_limit(&self, host: &str, method: &str, path: &str) -> Option<u64> {
        let core = self.core();
        let route = core.snapshot().tables.route(host, method, path)?;
        Some(route.body.as_u64())
    }

    /// What callers may do: as the configuration says, else the settings.
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

    /// A number for the next call.
    pub(crate) fn next_call(&self) -> id::Call {
        id::Call(self.next_number())
    }
}
