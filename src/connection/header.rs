//! Header filtering, and the names of the headers that nodes read and write.
//!
//! Hop-by-hop headers are removed, and so is every header through which a caller
//! could expose its key or pose as a node. The names are data, so that a node in
//! another environment can be given other [`Names`].

use actix_http::header::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use bytes::Bytes;

use crate::{
    backpressure::{
        Limit,
        Signal, //
    },
    clock::Span,
    context::Context,
    frame::Head,
    id, //
};

/// The names of the headers that nodes interpret, all in lower case. A header
/// whose name is `None` is not used.
#[derive(Clone, Copy, Debug)]
pub struct Names {
    /// The prefix of the system's own headers. They are removed from requests and
    /// answers, except for `request` and `seal`.
    pub prefix: &'static str,
    /// Carries a caller's key.
    pub key: &'static str,
    /// Whether `Authorization: Bearer` may carry the key too. If so,
    /// `Authorization` is never forwarded.
    pub bearer: bool,
    /// The caller's own request id. It is forwarded, and answers echo it.
    pub request: Option<&'static str>,
    /// Time left until the deadline, in milliseconds.
    pub left: &'static str,
    /// Identifies the attempt on whose behalf a service makes a nested call.
    pub token: Option<&'static str>,
    /// The root of the call chain.
    pub root: Option<&'static str>,
    /// The team whose key came with the request.
    pub team: Option<&'static str>,
    /// The pool of the instance where the request began.
    pub origin: Option<&'static str>,
    /// The only upstream that may run the request, by the id that it reports.
    pub target: Option<&'static str>,
    /// On an answer: the upstream has not run the request.
    pub rejected: Option<&'static str>,
    /// On an answer: a success without this header is not accepted as one.
    pub seal: Option<&'static str>,
    /// On a health endpoint's answer: remaining warm-up time of the upstream, in
    /// milliseconds.
    pub warmup: Option<&'static str>,
    /// On an answer: the requests per second that the upstream accepts from all
    /// nodes together, as a decimal number.
    pub limit: &'static str,
    /// On an answer: `1` if the upstream is shutting down.
    pub leaving: &'static str,
}

impl Names {
    /// The names used by the product's own HTTP interface.
    pub const fn own() -> Self {
        Self {
            prefix: "x-bluebellswitch-",
            key: "x-bluebellswitch-key",
            bearer: true,
            request: None,
            left: "x-bluebellswitch-deadline-left-ms",
            token: Some("x-bluebellswitch-token"),
            root: Some("x-bluebellswitch-root"),
            team: None,
            origin: None,
            target: None,
            rejected: None,
            seal: None,
            warmup: Some("x-bluebellswitch-warmup-ms"),
            limit: "x-bluebellswitch-limit",
            leaving: "x-bluebellswitch-leaving",
        }
    }

    /// Whether a header is forwarded although it may have the system's prefix.
    fn is_exempt(&self, name: &str) -> bool {
        let exempt = [self.request, self.seal];
        exempt.into_iter().flatten().any(|exempt| exempt == name)
    }
}

/// What the headers of a forwarded request tell the upstream about the attempt.
pub(crate) struct AttemptInfo<'a> {
    pub(crate) context: &'a Context,
    pub(crate) token: id::Token,
    /// The id that the upstream reports for itself, if any.
    pub(crate) target: Option<&'a str>,
}

const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Lowercases a name and replaces underscores by dashes. Many services treat both
/// alike, so a key or a context in the other spelling would escape the filter.
fn normalize(name: &str) -> String {
    name.to_ascii_lowercase().replace('_', "-")
}

/// The names listed in `Connection`, which are hop-by-hop headers too.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// The headers of a request or an answer that are forwarded.
///
/// `Content-Length` is removed too: the length is a field of the head from which
/// the next hop writes the header again, so that no two lengths can conflict. An
/// answer to `HEAD` keeps its length in that field.
pub(crate) fn strip(headers: &HeaderMap, names: &Names) -> Vec<(String, Bytes)> {
    let options = connection_options(headers);
    let is_forwarded = |name: &str| {
        let normalized = normalize(name);
        !HOP_BY_HOP.contains(&normalized.as_str())
            && !options.iter().any(|other| *other == name)
            && (!normalized.starts_with(names.prefix) || names.is_exempt(name))
            && normalized != "content-length"
    };
    let copy = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .map(copy)
        .collect()
}

/// Reads the key of a caller's request and removes `Authorization` from the
/// forwarded headers, in all its spellings, if it may carry the key.
///
/// It is removed whatever its scheme, because a malformed value may still contain
/// a key.
pub(crate) fn take_key(
    headers: &mut Vec<(String, Bytes)>,
    original: &HeaderMap,
    names: &Names,
) -> Option<String> {
    let dedicated = original
        .get(names.key)
        .and_then(|value| value.to_str().ok());
    if !names.bearer {
        return dedicated.map(str::to_owned);
    }
    headers.retain(|(name, _)| normalize(name) != "authorization");
    let bearer = || {
        let value = original.get("authorization")?.to_str().ok()?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    };
    dedicated.or_else(bearer).map(str::to_owned)
}

/// The attempt token that a nested call carries.
pub(crate) fn token(original: &HeaderMap, names: &Names) -> Option<id::Token> {
    original.get(names.token?)?.to_str().ok()?.parse().ok()
}

/// How long the caller waits, if the request tells.
pub(crate) fn left(original: &HeaderMap, names: &Names) -> Option<Span> {
    let text = original.get(names.left)?.to_str().ok()?;
    text.trim().parse().ok().map(Span::from_ms)
}

/// The remaining warm-up time that the upstream reports, if any.
pub(crate) fn warmup(original: &HeaderMap, names: &Names) -> Option<Span> {
    let text = original.get(names.warmup?)?.to_str().ok()?;
    text.trim().parse().ok().map(Span::from_ms)
}

/// The rate limit and the shutdown notice that an upstream's answer carries.
pub(crate) fn signal(original: &HeaderMap, names: &Names) -> Signal {
    let text = |value: &HeaderValue| value.to_str().map(str::trim).map(str::to_owned).ok();
    let limit = match original.get(names.limit) {
        None => Limit::Absent,
        Some(value) => text(value)
            .and_then(|count| format!("{count}/s").parse().ok())
            .map_or(Limit::Unreadable, Limit::Named),
    };
    let leaving = original.get(names.leaving).and_then(text);
    Signal {
        limit,
        leaving: leaving.is_some_and(|text| text == "1"),
    }
}

/// The caller's own request id.
pub(crate) fn request(headers: &[(String, Bytes)], names: &Names) -> Option<Bytes> {
    let request_name = names.request?;
    let found = headers.iter().find(|(name, _)| name == request_name);
    found.map(|(_, value)| value.clone())
}

/// The same before the headers have been converted.
pub(crate) fn caller_id(original: &HeaderMap, names: &Names) -> Option<Vec<u8>> {
    let value = original.get(names.request?)?;
    Some(value.as_bytes().to_vec())
}

/// Adds the headers that tell the upstream about the attempt and that it needs
/// for nested calls.
pub(crate) fn add_context(head: &mut Head, attempt: &AttemptInfo<'_>, names: &Names) {
    let context = attempt.context;
    let mut add = |name: Option<&str>, value: String| {
        if let Some(name) = name {
            head.headers.push((name.to_owned(), value.into()));
        }
    };
    add(names.token, attempt.token.to_string());
    add(names.root, context.root.to_string());
    add(Some(names.left), context.left.as_ms().to_string());
    if let Some(team) = &context.authenticated_team() {
        add(names.team, team.to_string());
    }
    if let Some(origin) = &context.origin {
        add(names.origin, origin.to_string());
    }
    if let Some(target) = attempt.target {
        add(names.target, target.to_owned());
    }
}

/// Size of the headers in bytes, with four for the separators of each.
pub(crate) fn size(headers: &HeaderMap) -> u64 {
    let len = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 4;
    headers.iter().map(len).sum::<usize>() as u64
}

/// Whether a body is as long as the head announces. The client of awc takes a body for
/// complete when the connection closes before its end.
pub(crate) fn is_whole(headers: &HeaderMap, length: usize) -> bool {
    let Some(announced) = headers.get("content-length") else {
        return true;
    };
    let announced = announced.to_str().ok().and_then(|text| text.parse().ok());
    announced == Some(length)
}
