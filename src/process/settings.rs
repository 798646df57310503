//! The settings file of a node, in JSON with comments.

use std::{
    collections::BTreeMap,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
};

use jsonc_parser::{
    CollectOptions, CommentCollectionStrategy, parse_to_ast,
    tokens::{
        Token,
        TokenAndRange, //
    },
};
use serde::Deserialize;

pub use crate::connection::secret::Secret;
use crate::{
    clock::Span,
    error::{
        Code,
        Error,
        Result, //
    },
    id,
    policy::Scheduling,
    source::DIALECT,
    unit::Size, //
};

/// The minimum for `head_time`. The HTTP library reads the time from a clock
/// that lags by up to half a second, and a deadline that has passed before its
/// timer is set never fires: a caller that sends half a request head would keep
/// its connection.
const MIN_HEAD_TIME: Span = Span::from_secs(1);

/// The minimum for `memory`: a node without requests occupies about as much.
const MIN_MEMORY: Size = Size::kib(16 << 10);

/// The minimum length of a secret or token, in bytes.
const MIN_SECRET_LEN: usize = 16;

/// The addresses on which a node listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Requests of the service that runs on the same machine.
    #[serde(default = "Listen::default_service")]
    pub service: SocketAddr,
    /// Links (TCP) and datagrams (UDP) of other nodes, on the same port number.
    pub links: SocketAddr,
    /// Requests of operators.
    pub operators: SocketAddr,
    /// Announcements of the service, if they have a listener of their own.
    #[serde(default)]
    pub announcements: Option<SocketAddr>,
    /// Readiness checks: whether callers may be sent to this node.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
}

impl Listen {
    fn default_service() -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, 4702))
    }
}

/// Limits that a node enforces before a peer or caller is authenticated.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Total size of a request's headers.
    pub headers: Size,
    /// Time for which an idle connection of a caller is kept open.
    pub caller_idle: Span,
    /// Maximum number of connections of callers. The connections of the
    /// service have a limit of their own, of the same size.
    pub connections: usize,
    /// Maximum number of inbound links.
    pub links: usize,
    /// Maximum number of inbound links that are not authenticated yet.
    pub half_open: usize,
    /// Maximum time for the head of a request to arrive.
    pub head_time: Span,
    /// Maximum time for the next chunk of a body to arrive.
    pub body_time: Span,
    /// Time after which a link without requests is closed.
    pub link_idle: Span,
    /// Time after which an idle connection to the upstream is closed. It must be
    /// shorter than the upstream's own idle timeout.
    pub upstream_idle: Span,
    /// Memory that the process may occupy. A third of it may be held for other
    /// parties: for callers, the upstream, other nodes and the store.
    pub memory: Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            headers: Size::kib(32),
            caller_idle: Span::from_secs(75),
            connections: 4096,
            links: 1024,
            half_open: 64,
            head_time: Span::from_secs(5),
            body_time: Span::from_secs(10),
            link_idle: Span::from_secs(60),
            upstream_idle: Span::from_secs(4),
            memory: Size::kib(256 << 10),
        }
    }
}

/// The settings of a node, read when it starts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The pool that its upstream belongs to.
    pub pool: id::Pool,
    /// The addresses on which it listens.
    pub listen: Listen,
    /// The address of the upstream on the same machine.
    pub upstream: SocketAddr,
    /// The address of the platform's key-value service.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// The secret that all nodes share, or two during a rotation. Empty if
    /// `trust_network` is set.
    pub secrets: Vec<Secret>,
    /// Whether every host that can reach the node is trusted, so that
    /// other nodes are not authenticated. The network must keep others out.
    #[serde(default)]
    pub trust_network: bool,
    /// The token that operators authenticate with. Without one, only metrics and
    /// status are served.
    #[serde(default)]
    pub operators_token: Option<Secret>,
    /// Time that a shutdown may take before requests that still run are aborted.
    /// Defaults to that of the bounds, and without one to the drain time in the
    /// pool's configuration.
    #[serde(default)]
    pub grace: Option<Span>,
    /// The interval between announcements of the service.
    #[serde(default = "Settings::default_heartbeat")]
    pub heartbeat: Span,
    /// Bounds that apply to all nodes. The adapter defines and interprets their
    /// names.
    #[serde(default)]
    pub bounds: BTreeMap<String, serde_json::Value>,
    /// Limits that apply before authentication.
    #[serde(default)]
    pub limits: Limits,
    /// Mechanisms for scarce and uneven capacity; all are off by default.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Link addresses of other nodes, used to discover the members.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

impl Settings {
    fn default_heartbeat() -> Span {
        Span::from_ms(1500)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON with comments, if a field is unknown,
    /// missing or invalid, or if fields contradict each other. The error has the
    /// line and column.
    pub fn parse(text: &str) -> Result<Self> {
        let plain = to_plain_json(text)?;
        let settings: Self = serde_json::from_str(&plain).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            Error::new(Code::Field, message_without_position(&error)).at(line, column)
        })?;
        settings.validate().map_err(|(field, reason)| {
            let (line, column) = field_position(text, field);
            Error::new(Code::Cross, reason).at(line, column)
        })?;
        Ok(settings)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and as [`Settings::parse`] does.
    pub fn load(path: &std::path::Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::from(error).within(name.clone()))?;
        Self::parse(&text).map_err(|error| error.within(name))
    }

    /// Returns the fields that differ in `newer` but cannot change while the node
    /// runs: its identity, its sockets, and the secrets of its open links.
    pub fn fixed_fields_changed(&self, newer: &Self) -> Vec<&'static str> {
        let fields = [
            ("instance", self.instance == newer.instance),
            ("domain", self.domain == newer.domain),
            ("pool", self.pool == newer.pool),
            ("listen", self.listen == newer.listen),
            ("upstream", self.upstream == newer.upstream),
            ("platform", self.platform == newer.platform),
            ("secrets", self.secrets == newer.secrets),
            ("trust_network", self.trust_network == newer.trust_network),
            ("seeds", self.seeds == newer.seeds),
        ];
        let changed = fields.into_iter().filter(|(_, same)| !same);
        changed.map(|(field, _)| field).collect()
    }

    fn validate(&self) -> Result<(), (&'static str, String)> {
        let listen = &self.listen;
        if listen.links.ip().is_unspecified() {
            let reason =
                "other nodes connect to the address in `links`: it must not be a wildcard address";
            return Err(("links", reason.to_owned()));
        }
        let required = [
            ("callers", listen.callers),
            ("service", listen.service),
            ("links", listen.links),
            ("operators", listen.operators),
        ];
        let optional = [
            ("announcements", listen.announcements),
            ("ready", listen.ready),
        ];
        let optional = optional
            .into_iter()
            .filter_map(|(field, address)| address.map(|address| (field, address)));
        let all: Vec<_> = required.into_iter().chain(optional).collect();
        for (i, (field, address)) in all.iter().enumerate() {
            let overlaps = |(_, other): &&(&str, SocketAddr)| overlap(*address, *other);
            if let Some((other, _)) = all[..i].iter().find(overlaps) {
                let reason = format!("`{field}` and `{other}` listen on the same address");
                return Err((field, reason));
            }
        }
        if self.trust_network != self.secrets.is_empty() {
            let reason = "`secrets` must hold one secret, or two during a rotation, and must \
                          be empty with `trust_network`";
            return Err(("secrets", reason.to_owned()));
        }
        if !self.trust_network && self.operators_token.is_none() {
            let reason = "`operators_token` is required without `trust_network`";
            return Err(("operators_token", reason.to_owned()));
        }
        if self.secrets.len() > 2 {
            let reason = "`secrets` must hold one secret, or two during a rotation";
            return Err(("secrets", reason.to_owned()));
        }
        if self
            .secrets
            .iter()
            .any(|secret| secret.len() < MIN_SECRET_LEN)
        {
            let reason = format!("a secret must have at least {MIN_SECRET_LEN} bytes");
            return Err(("secrets", reason));
        }
        if self.limits.head_time < MIN_HEAD_TIME {
            let reason = format!("`head_time` must be at least {MIN_HEAD_TIME}");
            return Err(("head_time", reason));
        }
        if self.limits.memory < MIN_MEMORY {
            let reason = format!("`memory` must be at least {MIN_MEMORY}");
            return Err(("memory", reason));
        }
        let token = self.operators_token.as_ref();
        if token.is_some_and(|token| token.len() < MIN_SECRET_LEN) {
            let reason = format!("`operators_token` must have at least {MIN_SECRET_LEN} bytes");
            return Err(("operators_token", reason));
        }
        Ok(())
    }
}

/// Whether two listeners cannot be bound at the same time. Port 0 stands for any
/// free port and a wildcard address overlaps every address.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let is_wildcard = |ip: IpAddr| ip.is_unspecified();
    a.port() != 0
        && a.port() == b.port()
        && (a.ip() == b.ip() || is_wildcard(a.ip()) || is_wildcard(b.ip()))
}

/// Converts JSON with comments to plain JSON. Comments and trailing commas are
/// replaced by spaces, so that every value keeps its line and column.
fn to_plain_json(text: &str) -> Result<String> {
    let collect = CollectOptions {
        comments: CommentCollectionStrategy::AsTokens,
        tokens: true,
    };
    let parsed = parse_to_ast(text, &collect, &DIALECT).map_err(|error| {
        let (line, column) = (error.line_display(), error.column_display());
        Error::new(Code::Syntax, error.kind().to_string()).at(line, column)
    })?;
    let is_comment =
        |token: &Token<'_>| matches!(token, Token::CommentLine(_) | Token::CommentBlock(_));
    let tokens = parsed.tokens.unwrap_or_default();
    let tokens: Vec<_> = tokens.iter().filter(|t| !is_comment(&t.token)).collect();
    let blank = |c: char| if c == '\n' { c } else { ' ' };
    let mut plain = String::with_capacity(text.len());
    for (i, token) in tokens.iter().enumerate() {
        let (start, end) = (token.range.start, token.range.end);
        plain.extend(text[previous_end(&tokens, i)..start].chars().map(blank));
        let next = tokens.get(i + 1).map(|next| &next.token);
        let is_trailing = matches!(next, Some(Token::CloseBrace | Token::CloseBracket));
        match token.token {
            Token::Comma if is_trailing => plain.push(' '),
            _ => plain.push_str(&text[start..end]),
        }
    }
    Ok(plain)
}

/// Returns the offset at which the token before `i` ends.
fn previous_end(tokens: &[&TokenAndRange<'_>], i: usize) -> usize {
    match i {
        0 => 0,
        _ => tokens[i - 1].range.end,
    }
}

/// Returns the message of an error without its position and code, which
/// [`Error`] holds in fields of its own.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let reason = text
        .rsplit_once(" at line ")
        .map_or(&*text, |(reason, _)| reason);
    let reason = reason
        .rsplit_once(" (code ")
        .map_or(reason, |(reason, _)| reason);
    reason.to_owned()
}

/// Returns the line and column at which a field's name first occurs, or the
/// start of the text if it does not.
fn field_position(text: &str, field: &str) -> (usize, usize) {
    let Some(at) = text.find(&format!("\"{field}\"")) else {
        return (1, 1);
    };
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
