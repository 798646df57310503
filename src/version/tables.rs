//! The route and pool tables that operators write.

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

/// A row of the route table: which requests go to which pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The row's name.
    pub name: id::Route,
    /// The host to match; any host if absent.
    #[serde(default)]
    pub host: Option<String>,
    /// The method to match; any method if absent.
    #[serde(default)]
    pub method: Option<String>,
    /// The path pattern to match: literal segments, `{name}` for any single
    /// segment, and `*` as the last segment for any remaining path. Empty if
    /// `prefix` is set.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub path: String,
    /// The path prefix to match, byte for byte; the longest prefix wins.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// The pool that serves matching requests.
    pub pool: id::Pool,
    /// Weighted pools that requests are split among, instead of `pool`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Part>,
    /// Accepts requests without an API key, for calls between services.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keyless: bool,
    /// The response time up to which a response is of full use to the caller.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<Span>,
    /// The priority class of the requests.
    #[serde(default)]
    pub importance: Importance,
    /// Whether requests are idempotent; decided by method if absent.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// The time limit for the whole request.
    #[serde(default = "Route::default_deadline")]
    pub deadline: Span,
    /// The retry limit for the whole call chain below one root request.
    #[serde(default = "Route::default_retries")]
    pub retries: u8,
    /// The largest accepted body.
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

    /// Returns whether every request of this route is idempotent.
    pub(super) fn always_idempotent(&self) -> bool {
        let method = self.method.as_deref();
        self.idempotent
            .unwrap_or_else(|| method.is_some_and(|method| self.is_idempotent(method)))
    }

    /// Returns whether a request with this method is idempotent.
    pub fn is_idempotent(&self, method: &str) -> bool {
        let by_method = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
        );
        self.idempotent.unwrap_or(by_method)
    }
}

/// A pool's share of a route with a traffic split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The pool.
    pub pool: id::Pool,
    /// The pool's share, relative to the other weights.
    pub weight: u32,
}

impl Route {
    /// Selects the pool for one request from the split, by weight.
    ///
    /// `chance` is a random number in `[0, 1)`.
    pub fn select_pool(&self, chance: f64) -> &id::Pool {
        let total: u64 = self.split.iter().map(|part| u64::from(part.weight)).sum();
        let mut remaining = (chance * total as f64) as u64;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if remaining < weight {
                return &part.pool;
            }
            remaining -= weight;
        }
        &self.pool
    }
}

/// A row of the pool table: a group of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The row's name.
    pub name: id::Pool,
    /// Concurrent requests per upstream; estimated at run time if absent.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Connections that one upstream accepts.
    #[serde(default)]
    pub connections: Option<u32>,
    /// The queue length limit at one inbound proxy.
    #[serde(default = "Pool::default_queue")]
    pub queue: u32,
    /// The target queue delay of admission control.
    #[serde(default = "Pool::default_delay")]
    pub delay: Span,
    /// The time that running requests get to finish when an upstream leaves.
    #[serde(default = "Pool::default_drain")]
    pub drain: Span,
    /// The path of the upstream's health endpoint; not probed if absent.
    #[serde(default)]
    pub health: Option<String>,
    /// The time over which a new upstream's traffic share ramps up.
    #[serde(default = "Pool::default_ramp")]
    pub ramp: Span,
    /// The request rate limit of a cold upstream; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<Rate>,
    /// How long an upstream counts as cold after its start, unless it reports
    /// this itself.
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
    /// Routes in the operators' order, which does not affect matching.
    pub routes: Vec<Route>,
    /// Pools in the operators' order.
    pub pools: Vec<Pool>,
}

impl Tables {
    /// Finds the route of a request; the most specific match wins.
    ///
    /// Routes with a matching `prefix` take precedence: among them, a route with
    /// a host over one without, then the longest prefix, then a route with a
    /// method over one without. Among the others, a route with a host takes
    /// precedence over one without; then the paths are compared segment by
    /// segment from the left, a literal segment before `{name}` before `*`;
    /// then a route with a method takes precedence. `check` rejects routes that
    /// these rules cannot tell apart.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&Route> {
        let host = normalize_host(host);
        let matches_host_and_method = |route: &&Route| {
            let expected = route.host.as_deref();
            expected.is_none_or(|expected| expected.eq_ignore_ascii_case(host))
                && route.method.as_deref().is_none_or(|m| m == method)
        };
        let matches_prefix =
            |route: &&Route| route.prefix.as_deref().is_some_and(|p| path.starts_with(p));
        let by_prefix = self
            .routes
            .iter()
            .filter(matches_prefix)
            .filter(matches_host_and_method);
        let longest = by_prefix.max_by_key(|route| {
            let prefix = route.prefix.as_ref().map_or(0, String::len);
            (route.host.is_some(), prefix, route.method.is_some())
        });
        if longest.is_some() {
            return longest;
        }
        let path = pattern::segments(path)?;
        let candidates = self.routes.iter().filter(|route| {
            route.prefix.is_none()
                && matches_host_and_method(route)
                && pattern::matches(&route.path, &path)
        });
        candidates.max_by(|a, b| {
            let hosts = a.host.is_some().cmp(&b.host.is_some());
            let paths = || pattern::specificity(&a.path).cmp(pattern::specificity(&b.path));
            let methods = || a.method.is_some().cmp(&b.method.is_some());
            hosts.then_with(paths).then_with(methods)
        })
    }

    /// Returns the route with the given name.
    pub fn route_by_name(&self, name: &id::Route) -> Option<&Route> {
        self.routes.iter().find(|route| route.name == *name)
    }

    /// Returns the pool with the given name.
    pub fn pool(&self, name: &id::Pool) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }
}

/// Strips the port and the trailing dot of a fully qualified domain name.
fn normalize_host(host: &str) -> &str {
    let bare = match host.rsplit_once(':') {
        Some((bare, port)) if port.bytes().all(|b| b.is_ascii_digit()) => bare,
        _ => host,
    };
    bare.strip_suffix('.').unwrap_or(bare)
}
