//! The two tables that operators write: routes and pools.

use serde::{
    Deserialize,
    Serialize, //
};

use super::pattern;
use crate::{
    clock::Span,
    context::Importance,
    id,
    unit::{
        Rate,
        Size, //
    },
};

/// One row of the table of routes: which requests go where.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The row's name.
    pub name: id::Route,
    /// The host to match; any when absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The method to match; any when absent.
    #[serde(default)]
    pub method: Option<String>,
    /// The path to match: exact segments, `{name}` for any one segment, and
    /// `*` as the last segment for all below. Empty when `prefix` is there.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub path: String,
    /// The beginning of the path to match, byte for byte; the longest wins.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// The pool that serves it.
    pub pool: id::Pool,
    /// Pools among which the requests are divided, in place of `pool`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Part>,
    /// Requests need no key: the route is for calls between the services.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keyless: bool,
    /// The time within which an answer is of full use to the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Span>,
    /// How much the requests matter.
    #[serde(default)]
    pub importance: Importance,
    /// Whether running a request twice does no harm; by method when absent.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Time for the whole request.
    #[serde(default = "Route::default_deadline")]
    pub deadline: Span,
    /// Retries for the whole chain below one root.
    #[serde(default = "Route::default_retries")]
    pub retries: u8,
    /// The largest body.
    #[serde(default = "Route::default_body")]
    pub body: Size,
}

impl Route {
    pub(super) fn default_deadline() -> Span {
        Span::from_secs(10)
    }

    pub(super) fn default_retries() -> u8 {
        2
    }

    pub(super) fn default_body() -> Size {
        Size::kib(1024)
    }

    /// Whether every request of this route may run twice.
    pub(super) fn may_repeat(&self) -> bool {
        let method = self.method.as_deref();
        self.idempotent
            .unwrap_or_else(|| method.is_some_and(|method| self.is_idempotent(method)))
    }

    /// Whether a request by this method may run twice.
    pub fn is_idempotent(&self, method: &str) -> bool {
        let by_method = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        );
        self.idempotent.unwrap_or(by_method)
    }
}

/// A pool's part of a divided route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The pool.
    pub pool: id::Pool,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

impl Route {
    /// The pool for one request: `chance`, from zero to below one, picks among
    /// the parts by their weights.
    pub fn select_pool(&self, chance: f64) -> &id::Pool {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = (chance * total as f64) as u64;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return &part.pool;
            }
            left -= weight;
        }
        &self.pool
    }
}

/// One row of the table of pools: a group of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The row's name.
    pub name: id::Pool,
    /// Requests that one upstream runs at a time; learnt when absent.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Connections that one upstream accepts.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Requests that may wait at one inbound proxy.
    #[serde(default = "Pool::default_queue")]
    pub queue: u32,
    /// Queue delay that the admission aims at.
    #[serde(default = "Pool::default_delay")]
    pub delay: Span,
    /// Time that running requests get when an upstream leaves.
    #[serde(default = "Pool::default_drain")]
    pub drain: Span,
    /// Path of the upstream's health endpoint; not probed when absent.
    #[serde(default)]
    pub health: Option<String>,
    /// Time over which a new upstream's share grows.
    #[serde(default = "Pool::default_ramp")]
    pub ramp: Span,
    /// Requests a second that a cold upstream takes; not limited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Rate>,
    /// How long an upstream is cold after its start, unless it says so itself.
    #[serde(default = "Pool::default_warmup")]
    pub warmup: Span,
}

impl Pool {
    pub(super) fn default_queue() -> u32 {
        64
    }

    pub(super) fn default_delay() -> Span {
        Span::from_ms(20)
    }

    pub(super) fn default_drain() -> Span {
        Span::from_secs(30)
    }

    pub(super) fn default_ramp() -> Span {
        Span::from_secs(5)
    }

    pub(super) fn default_warmup() -> Span {
        Span::from_secs(3)
    }
}

/// Both tables, checked against each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tables {
    /// Rows in the operators' order; the most specific match wins.
    pub routes: Vec<Route>,
    /// Rows in the operators' order.
    pub pools: Vec<Pool>,
}

impl Tables {
    /// Finds the route of a request; the most specific match wins.
    ///
    /// Rows with a `prefix` go first, the longest of them first. Among the others
    /// a row with a host goes before one without; then the path decides, part
    /// by part from the left, an exact part before `{name}` before `/*`; then
    /// a row with a method goes before one without. `check` refuses rows
    /// between which this does not decide.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
        let host = bare_host(host);
        let of_host = |route: &&Route| {
            let wanted = route.host.as_deref();
            wanted.is_none_or(|wanted| wanted.eq_ignore_ascii_case(host))
                && route.method.as_deref().is_none_or(|m| m == method)
        };
        let begins = |route: &&Route| route.prefix.as_deref().is_some_and(|p| path.starts_with(p));
        let by_prefix = self.routes.iter().filter(begins).filter(of_host);
        let longest = by_prefix.max_by_key(|route| {
            let prefix = route.prefix.as_ref().map_or(0, String::len);
            (route.host.is_some(), prefix, route.method.is_some())
        });
        if longest.is_some() {
            return longest;
        }
        let path = pattern::segments(path)?;
        let candidates = self.routes.iter().filter(|route| {
            route.prefix.is_none() && of_host(route) && pattern::matches(&route.path, &path)
        });
        candidates.max_by(|a, b| {
            let hosts = a.host.is_some().cmp(&b.host.is_some());
            let paths = || pattern::specificity(&a.path).cmp(pattern::specificity(&b.path));
            let methods = || a.method.is_some().cmp(&b.method.is_some());
            hosts.then_with(paths).then_with(methods)
        })
    }

    /// Finds a route by its name.
    pub fn named(&self, name: &id::Route) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == *name)
    }

    /// Finds a pool by its name.
    pub fn pool(&self, name: &id::Pool) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }
}

/// The host without its port and without the dot of a full domain name.
fn bare_host(host: &str) -> &str {
    let bare = match host.rsplit_once(':') {
        Some((bare, port)) if port.bytes().all(|b| b.is_ascii_digit()) => bare,
        _ => host,
    };
    bare.strip_suffix('.').unwrap_or(bare)
}
