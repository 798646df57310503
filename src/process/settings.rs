//! What a node's own file of settings says, in JSON with comments.

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
    source::DIALECT,
    unit::Size, //
};

/// The shortest time for a head. The HTTP library takes the time from a clock
/// that may be half a second old, and a deadline that has passed before its
/// timer is set never fires: a caller that sends half a head would stay.
const HEAD_TIME_MIN: Span = Span::from_secs(1);

/// The shortest secret or token, in bytes.
const SECRET_MIN: usize = 16;

/// Where a node listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the service beside the node.
    #[serde(default = "Listen::default_service")]
    pub service: SocketAddr,
    /// For links and datagrams of other nodes, on the same number.
    pub links: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For announcements of the service, where they have a place of their own.
    #[serde(default)]
    pub announcements: Option<SocketAddr>,
    /// For the question whether callers may be sent here.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
}

impl Listen {
    fn default_service() -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, 4702))
    }
}

/// What a node holds off before anything is authenticated.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of all headers of a request.
    pub headers: Size,
    /// Time that an idle connection of a caller is kept.
    pub caller_idle: Span,
    /// Connections of callers, and as many again of the service.
    pub connections: usize,
    /// Links that other nodes made.
    pub links: usize,
    /// Links that are not authenticated yet.
    pub half_open: usize,
    /// Time for the head of a request to arrive.
    pub head_time: Span,
    /// Time for the next part of a body to arrive.
    pub body_time: Span,
    /// Time after which a link without requests is closed.
    pub link_idle: Span,
    /// Time after which an unused connection to the upstream is closed. It
    /// must be shorter than the upstream's own.
    pub upstream_idle: Span,
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
        }
    }
}

/// Everything a node is told when it starts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name.
    pub instance: id::Instance,
    /// Its failure domain.
    pub domain: id::Domain,
    /// The pool that its upstream belongs to.
    pub pool: id::Pool,
    /// Where it listens.
    pub listen: Listen,
    /// The upstream beside it.
    pub upstream: SocketAddr,
    /// The platform's key-value service.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// The fleet's secret; a second one while it is changed. None where the
    /// network is trusted.
    pub secrets: Vec<Secret>,
    /// Whoever reaches the node's addresses may speak to it: the network keeps
    /// everybody else away.
    #[serde(default)]
    pub trust_network: bool,
    /// What operators show. Without one only metrics and status are served.
    #[serde(default)]
    pub operators_token: Option<Secret>,
    /// Time that a stop may take, before what still runs is cut; by the pool's
    /// row when absent.
    #[serde(default)]
    pub grace: Option<Span>,
    /// The time between two announcements of the service.
    #[serde(default = "Settings::default_heartbeat")]
    pub heartbeat: Span,
    /// Bounds that hold for the whole fleet, for the adapter that knows their
    /// names.
    #[serde(default)]
    pub bounds: BTreeMap<String, serde_json::Value>,
    /// What it holds off.
    #[serde(default)]
    pub limits: Limits,
    /// Addresses of links to ask for members.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

impl Settings {
    fn default_heartbeat() -> Span {
        Span::from_ms(1500)
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    ///
    /// With line and column, when the text is not JSON with comments, when a
    /// field is unknown, missing or wrong, or when fields contradict each
    /// other.
    pub fn parse(text: &str) -> Result<Self> {
        let plain = plain(text)?;
        let settings: Self = serde_json::from_str(&plain).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            Error::new(Code::Field, reason(&error)).at(line, column)
        })?;
        settings.check().map_err(|(field, reason)| {
            let (line, column) = place(text, field);
            Error::new(Code::Cross, reason).at(line, column)
        })?;
        Ok(settings)
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// As [`Settings::parse`], and when the file cannot be read.
    pub fn load(path: &std::path::Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| Error::from(error).within(name.clone()))?;
        Self::parse(&text).map_err(|error| error.within(name))
    }

    /// The fields in which a newer file differs and that hold for the life of a
    /// node: its identity, its sockets, and the secrets of its open links.
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

    fn check(&self) -> Result<(), (&'static str, String)> {
        let listen = &self.listen;
        if listen.links.ip().is_unspecified() {
            let reason = "other nodes need the address in `links`: name one, not all";
            return Err(("links", reason.to_owned()));
        }
        let always = [
            ("callers", listen.callers),
            ("service", listen.service),
            ("links", listen.links),
            ("operators", listen.operators),
        ];
        let extra = [
            ("announcements", listen.announcements),
            ("ready", listen.ready),
        ];
        let extra = extra
            .into_iter()
            .filter_map(|(field, address)| address.map(|address| (field, address)));
        let all: Vec<_> = always.into_iter().chain(extra).collect();
        for (i, (field, address)) in all.iter().enumerate() {
            let clash = |(_, other): &&(&str, SocketAddr)| clash(*address, *other);
            if let Some((other, _)) = all[..i].iter().find(clash) {
                let reason = format!("`{field}` and `{other}` listen on the same address");
                return Err((field, reason));
            }
        }
        if self.trust_network != self.secrets.is_empty() {
            let reason = "`secrets` holds one secret, or two while it is changed, or none \
                          with `trust_network`";
            return Err(("secrets", reason.to_owned()));
        }
        if !self.trust_network && self.operators_token.is_none() {
            let reason = "without `trust_network` there has to be an `operators_token`";
            return Err(("operators_token", reason.to_owned()));
        }
        if self.secrets.len() > 2 {
            let reason = "`secrets` holds one secret, or two while it is changed";
            return Err(("secrets", reason.to_owned()));
        }
        if self.secrets.iter().any(|secret| secret.len() < SECRET_MIN) {
            let reason = format!("a secret has at least {SECRET_MIN} bytes");
            return Err(("secrets", reason));
        }
        if self.limits.head_time < HEAD_TIME_MIN {
            let reason = format!("`head_time` is at least {HEAD_TIME_MIN}");
            return Err(("head_time", reason));
        }
        let token = self.operators_token.as_ref();
        if token.is_some_and(|token| token.len() < SECRET_MIN) {
            let reason = format!("the operators' token has at least {SECRET_MIN} bytes");
            return Err(("operators_token", reason));
        }
        Ok(())
    }
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let any = |ip: IpAddr| ip.is_unspecified();
    a.port() != 0 && a.port() == b.port() && (a.ip() == b.ip() || any(a.ip()) || any(b.ip()))
}

/// The text as plain JSON: comments and trailing commas become blanks, so that
/// every value keeps its line and column.
fn plain(text: &str) -> Result<String> {
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
        plain.extend(text[plain_end(&tokens, i)..start].chars().map(blank));
        let next = tokens.get(i + 1).map(|next| &next.token);
        let closes = matches!(next, Some(Token::CloseBrace | Token::CloseBracket));
        match token.token {
            Token::Comma if closes => plain.push(' '),
            _ => plain.push_str(&text[start..end]),
        }
    }
    Ok(plain)
}

/// Where the token before this one ends.
fn plain_end(tokens: &[&TokenAndRange<'_>], i: usize) -> usize {
    match i {
        0 => 0,
        _ => tokens[i - 1].range.end,
    }
}

/// The reason alone: place and number are given apart.
fn reason(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let reason = text
        .rsplit_once(" at line ")
        .map_or(&*text, |(reason, _)| reason);
    let reason = reason
        .rsplit_once(" (code ")
        .map_or(reason, |(reason, _)| reason);
    reason.to_owned()
}

/// Where a field's name stands in the text, by line and column.
fn place(text: &str, field: &str) -> (usize, usize) {
    let Some(at) = text.find(&format!("\"{field}\"")) else {
        return (1, 1);
    };
    let before = &text[..at];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
