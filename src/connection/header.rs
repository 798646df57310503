//! Which headers pass a node, and under which names the system speaks.
//!
//! Hop-by-hop headers end here, and so does everything with which a caller
//! could show its key or pretend to be a node. The names are data: a node that
//! runs in other surroundings gets other [`Names`].

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

/// The names of the headers that mean something to the system. All are in
/// lower case; an absent one is not used.
#[derive(Clone, Copy, Debug)]
pub struct Names {
    /// How every header of the system begins. Those of a caller never pass.
    pub prefix: &'static str,
    /// Carries a caller's key.
    pub key: &'static str,
    /// Whether `Authorization: Bearer` may carry the key too. It never passes
    /// then.
    pub bearer: bool,
    /// The caller's own id of its request. It passes, and answers echo it.
    pub request: Option<&'static str>,
    /// Time that is left, in milliseconds.
    pub left: &'static str,
    /// By which a service names the attempt that it works for.
    pub token: Option<&'static str>,
    /// The root of the chain.
    pub root: Option<&'static str>,
    /// The team whose key came with the request.
    pub team: Option<&'static str>,
    /// The pool of the instance where the request began.
    pub origin: Option<&'static str>,
    /// The upstream that alone may run the request, by the id that it gave
    /// itself.
    pub target: Option<&'static str>,
    /// On an answer: the upstream has not run the request.
    pub rejected: Option<&'static str>,
    /// On an answer: without it a success is none.
    pub seal: Option<&'static str>,
    /// On a health endpoint's answer: how much longer the upstream is cold, in
    /// milliseconds.
    pub warmup: Option<&'static str>,
    /// On an answer: the requests a second that the upstream takes from all nodes
    /// together, as a decimal number.
    pub limit: &'static str,
    /// On an answer: `1` from an upstream that leaves.
    pub leaving: &'static str,
}

impl Names {
    /// The names of the product's own interface.
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

    /// Whether a header with the system's prefix passes all the same.
    fn passes(&self, name: &str) -> bool {
        let kept = [self.request, self.seal];
        kept.into_iter().flatten().any(|kept| kept == name)
    }
}

/// What the service beside the node is told of an attempt.
pub(crate) struct Told<'a> {
    pub(crate) context: &'a Context,
    pub(crate) token: id::Token,
    /// The upstream's id of itself, where it gave one.
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

/// The name with underscores read as dashes. Many services read both alike, so
/// a key or a context in the other spelling would pass unseen.
fn usual(name: &str) -> String {
    name.to_ascii_lowercase().replace('_', "-")
}

fn listed(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// The headers that pass on, of a request or an answer.
///
/// `Content-Length` goes too: the length is a field of the head, and the next
/// hop writes it anew, so that no two lengths can differ. An answer to `HEAD`
/// keeps its length in that field.
pub(crate) fn strip(headers: &HeaderMap, names: &Names) -> Vec<(String, Bytes)> {
    let listed = listed(headers);
    let passes = |name: &str| {
        let usual = usual(name);
        !HOP_BY_HOP.contains(&usual.as_str())
            && !listed.iter().any(|other| *other == name)
            && (!usual.starts_with(names.prefix) || names.passes(name))
            && usual != "content-length"
    };
    let copy = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name.as_str()))
        .map(copy)
        .collect()
}

/// Takes the key out of a caller's request, in all its spellings.
///
/// Where `Authorization` may carry it, that goes whole, whatever its scheme: a
/// key in it may be malformed and still be a key.
pub(crate) fn take_key(
    headers: &mut Vec<(String, Bytes)>,
    original: &HeaderMap,
    names: &Names,
) -> Option<String> {
    let own = original
        .get(names.key)
        .and_then(|value| value.to_str().ok());
    if !names.bearer {
        return own.map(str::to_owned);
    }
    headers.retain(|(name, _)| usual(name) != "authorization");
    let bearer = || {
        let value = original.get("authorization")?.to_str().ok()?;
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    };
    own.or_else(bearer).map(str::to_owned)
}

/// The token of a nested call.
pub(crate) fn token(original: &HeaderMap, names: &Names) -> Option<id::Token> {
    original.get(names.token?)?.to_str().ok()?.parse().ok()
}

/// How long the caller waits, where it says so.
pub(crate) fn left(original: &HeaderMap, names: &Names) -> Option<Span> {
    let text = original.get(names.left)?.to_str().ok()?;
    text.trim().parse().ok().map(Span::from_ms)
}

/// How much longer the upstream says that it is cold, where it says so.
pub(crate) fn warmup(original: &HeaderMap, names: &Names) -> Option<Span> {
    let text = original.get(names.warmup?)?.to_str().ok()?;
    text.trim().parse().ok().map(Span::from_ms)
}

/// What the upstream tells about itself.
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

/// The caller's own id of its request.
pub(crate) fn request(headers: &[(String, Bytes)], names: &Names) -> Option<Bytes> {
    let wanted = names.request?;
    let found = headers.iter().find(|(name, _)| name == wanted);
    found.map(|(_, value)| value.clone())
}

/// Adds what the service may know of the attempt, and needs for nested calls.
pub(crate) fn add_context(head: &mut Head, told: &Told<'_>, names: &Names) {
    let context = told.context;
    let mut add = |name: Option<&str>, value: String| {
        if let Some(name) = name {
            head.headers.push((name.to_owned(), value.into()));
        }
    };
    add(names.token, told.token.to_string());
    add(names.root, context.root.to_string());
    add(Some(names.left), context.left.as_ms().to_string());
    if let Some(team) = &context.authenticated_team() {
        add(names.team, team.to_string());
    }
    if let Some(origin) = &context.origin {
        add(names.origin, origin.to_string());
    }
    if let Some(target) = told.target {
        add(names.target, target.to_owned());
    }
}

/// Bytes that the headers take.
pub(crate) fn size(headers: &HeaderMap) -> u64 {
    let len = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 4;
    headers.iter().map(len).sum::<usize>() as u64
}
