//! Log events for decisions on individual requests.
//!
//! Every decision that affects a request is an [`Event`], which the node that
//! decides writes as one log line with the same fields. Each line holds the caller's
//! own id of the request, so one search over the logs of all nodes finds its path.
//! The [`Recorder`] limits the rate of lines. Failures have a budget of their own, so
//! successful requests can't displace them, and omitted events are counted.

use std::{
    cell::Cell,
    fmt, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict, //
    },
    context::Context,
    id,
    inbound::End,
    metric::ConnectionEnd,
    outcome::{
        Evidence,
        Refusal,
        Report, //
    },
    unit::Rate, //
};

/// Maximum number of characters of a caller's id that is logged.
const MAX_NAME_CHARS: usize = 64;

/// The messages of all events. docs/OPERATIONS.md lists them.
pub const MESSAGES: &[&str] = &[
    "refused",
    "sent",
    "declined",
    "answered",
    "written",
    "unanswered",
    "turned away",
    "started",
    "ended",
];

/// Name of a request in the log: the caller's id if there is one, else an id that the
/// nodes assign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestName(String);

impl RequestName {
    /// Uses the caller's id if there is one, truncated, and `root` otherwise.
    pub(crate) fn new(caller_id: Option<&[u8]>, root: impl fmt::Display) -> Self {
        let Some(caller_id) = caller_id else {
            return Self(root.to_string());
        };
        let caller_id = String::from_utf8_lossy(caller_id);
        Self(caller_id.chars().take(MAX_NAME_CHARS).collect())
    }
}

impl fmt::Display for RequestName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Configuration that a node had when it decided.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownConfig {
    /// Version of the configuration in force.
    pub(crate) version: id::Version,
    /// Time since the version was last known to be the newest. `None` if it never was
    /// or this is unknown.
    pub(crate) age: Option<Span>,
}

/// A decision on a request.
#[derive(Debug)]
pub(crate) enum Event<'a> {
    /// The caller was answered with one of this system's own codes.
    Refused {
        refusal: Refusal,
        path: &'a str,
        waited: Span,
        attempts: u8,
        config: KnownConfig,
    },
    /// An attempt was sent to an instance.
    Sent {
        attempt: id::Request,
        peer: &'a id::Instance,
        route: &'a id::Route,
        context: &'a Context,
        attempts: u8,
        config: KnownConfig,
    },
    /// An instance reported that an attempt ended without an answer.
    Declined {
        attempt: id::Request,
        peer: &'a id::Instance,
        code: Code,
        report: &'a Report,
    },
    /// The upstream's answer arrived at the node that was called.
    Answered {
        attempt: id::Request,
        status: u16,
        waited: Span,
        connection: id::Connection,
        ahead: u64,
    },
    /// An answer or refusal that waited for those of earlier requests was written to
    /// the caller's connection.
    Written {
        waited: Span,
        connection: id::Connection,
        queued: Span,
    },
    /// The caller's connection ended before the request was answered.
    Unanswered {
        waited: Span,
        connection: id::Connection,
        ahead: u64,
        end: ConnectionEnd,
        /// How long the answer had been ready; `None` if there was none.
        ready: Option<Span>,
    },
    /// This node refused to pass an attempt to its upstream, or ended it.
    TurnedAway {
        attempt: id::Request,
        peer: &'a id::Instance,
        route: &'a id::Route,
        context: &'a Context,
        code: Code,
        load: Load,
    },
    /// An attempt was passed to the upstream.
    Started {
        attempt: id::Request,
        peer: &'a id::Instance,
        route: &'a id::Route,
        context: &'a Context,
        waited: Span,
        load: Load,
    },
    /// The processing of an attempt by the upstream ended.
    Ended {
        attempt: id::Request,
        route: &'a id::Route,
        end: End,
        took: Span,
    },
}

/// Utilization of the upstream beside a node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) limit: u32,
    pub(crate) waiting: usize,
    /// Number of importance levels that are shed; the fraction applies to the next one.
    pub(crate) shed_level: f64,
    /// Whether requests are rate limited because the upstream is cold or may be.
    pub(crate) cold: bool,
    /// Rate limit that the upstream announces.
    pub(crate) named_limit: Option<Rate>,
}

impl Load {
    /// Returns the announced limit for the log; -1 if there is none.
    fn named_limit_or_minus_one(&self) -> f64 {
        self.named_limit.map_or(-1.0, Rate::as_f64)
    }
}

/// Token bucket that limits the rate of log lines.
#[derive(Clone, Copy, Debug)]
pub struct LogBudget {
    /// Lines per second.
    rate: f64,
    /// Maximum number of lines in a burst.
    burst: f64,
    available: f64,
    refilled_at: Time,
}

impl LogBudget {
    /// Budget for failures. A short burst of refusals is logged completely, a lasting
    /// overload is sampled. A line costs about 5 µs and 300 bytes.
    pub const FAILURES: Self = Self::new(100.0, 300.0);
    /// Budget for all other events.
    pub const ORDINARY: Self = Self::new(40.0, 120.0);

    const fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            available: burst,
            refilled_at: Time::ZERO,
        }
    }

    /// Takes one line from the budget. Returns false if none is available.
    pub fn take(&mut self, now: Time) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.available = (self.available + refill).min(self.burst);
        self.refilled_at = now;
        let allowed = self.available >= 1.0;
        self.available -= f64::from(u8::from(allowed));
        allowed
    }
}

/// Logs events within their budgets.
#[derive(Debug)]
pub(crate) struct Recorder {
    failures: Cell<LogBudget>,
    ordinary: Cell<LogBudget>,
    omitted: Cell<u64>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            failures: Cell::new(LogBudget::FAILURES),
            ordinary: Cell::new(LogBudget::ORDINARY),
            omitted: Cell::new(0),
        }
    }
}

impl Recorder {
    /// Logs an event, or counts it as omitted if its budget is used up.
    pub(crate) fn record(&self, now: Time, name: &RequestName, event: &Event<'_>) {
        let budget = match event.is_failure() {
            true => &self.failures,
            false => &self.ordinary,
        };
        let mut remaining = budget.get();
        let allowed = remaining.take(now);
        budget.set(remaining);
        match allowed {
            true => event.write(&name.0),
            false => self.omitted.set(self.omitted.get() + 1),
        }
    }

    /// Returns the number of events omitted since the last call and resets it.
    pub(crate) fn take_omitted(&self) -> u64 {
        self.omitted.take()
    }
}

impl Event<'_> {
    /// Reports whether the request failed from the point of view of its caller.
    fn is_failure(&self) -> bool {
        match self {
            Self::Refused { .. } | Self::Declined { .. } | Self::TurnedAway { .. } => true,
            Self::Answered { status, .. } => *status >= 500,
            Self::Ended { end, .. } => !matches!(end, End::Answered(0..500)),
            Self::Unanswered { end, .. } => *end != ConnectionEnd::CallerGone,
            Self::Sent { .. } | Self::Written { .. } | Self::Started { .. } => false,
        }
    }

    fn write(&self, id: &str) {
        match self {
            Self::Refused {
                refusal,
                path,
                waited,
                attempts,
                config,
            } => {
                let code = refusal.code();
                log::info!(
                    id = id, code = code as u16, reason = code.name(),
                    may_have_run = code.verdict() == Verdict::Unknown,
                    evidence = refusal.evidence().map_or("none", Evidence::name), path = path,
                    come_back_ms = refusal.wait().map_or(-1, |wait| wait.as_ms() as i64),
                    waited_ms = waited.as_ms(), attempts = attempts, version = config.version.0,
                    version_age_ms = age_ms(*config),
                    drain_left_ms = refusal.drain().map_or(-1, |it| it.left.as_ms() as i64),
                    needed_ms = refusal.drain().map_or(-1, |it| it.needed.as_ms() as i64);
                    "refused"
                );
            }
            Self::Sent {
                attempt,
                peer,
                route,
                context,
                attempts,
                config,
            } => {
                log::info!(
                    id = id, request:% = attempt, peer:% = peer, route:% = route,
                    team:% = context.team, importance:% = context.importance,
                    left_ms = context.left.as_ms(), attempts = attempts,
                    digest:% = context.digest.unwrap_or_default(),
                    version = config.version.0, version_age_ms = age_ms(*config);
                    "sent"
                );
            }
            Self::Declined {
                attempt,
                peer,
                code,
                report,
            } => {
                log::info!(
                    id = id, request:% = attempt, peer:% = peer, code = *code as u16,
                    reason = code.name(), peer_load = report.load, peer_slots = report.slots,
                    peer_level = report.level, peer_leaving = report.leaving;
                    "declined"
                );
            }
            Self::Answered {
                attempt,
                status,
                waited,
                connection,
                ahead,
            } => {
                log::info!(
                    id = id, request:% = attempt, status = status, waited_ms = waited.as_ms(),
                    connection = connection.0, ahead = ahead;
                    "answered"
                );
            }
            Self::Written {
                waited,
                connection,
                queued,
            } => {
                log::info!(
                    id = id, waited_ms = waited.as_ms(), connection = connection.0,
                    queued_ms = queued.as_ms();
                    "written"
                );
            }
            Self::Unanswered {
                waited,
                connection,
                ahead,
                end,
                ready,
            } => {
                log::info!(
                    id = id, waited_ms = waited.as_ms(), connection = connection.0,
                    ahead = ahead, end:? = end,
                    ready_ms = ready.map_or(-1, |ready| ready.as_ms() as i64);
                    "unanswered"
                );
            }
            Self::TurnedAway {
                attempt,
                peer,
                route,
                context,
                code,
                load,
            } => {
                log::info!(
                    id = id, request:% = attempt, from:% = peer, route:% = route,
                    importance:% = context.importance, nested = context.depth > 0,
                    digest:% = context.digest.unwrap_or_default(),
                    code = *code as u16, reason = code.name(), running = load.running,
                    limit = load.limit, waiting = load.waiting, shed_level = load.shed_level,
                    cold = load.cold, named_limit = load.named_limit_or_minus_one();
                    "turned away"
                );
            }
            Self::Started {
                attempt,
                peer,
                route,
                context,
                waited,
                load,
            } => {
                log::info!(
                    id = id, request:% = attempt, from:% = peer, route:% = route,
                    importance:% = context.importance, nested = context.depth > 0,
                    digest:% = context.digest.unwrap_or_default(), crashes = context.crashes,
                    repeat = context.repeat,
                    waited_ms = waited.as_ms(), running = load.running, limit = load.limit,
                    waiting = load.waiting, shed_level = load.shed_level, cold = load.cold,
                    named_limit = load.named_limit_or_minus_one();
                    "started"
                );
            }
            Self::Ended {
                attempt,
                route,
                end,
                took,
            } => {
                log::info!(
                    id = id, request:% = attempt, route:% = route, end:? = end,
                    took_ms = took.as_ms();
                    "ended"
                );
            }
        }
    }
}

/// Returns the age of a configuration for the log in milliseconds; -1 if unknown.
fn age_ms(config: KnownConfig) -> i64 {
    config.age.map_or(-1, |age| age.as_ms() as i64)
}
