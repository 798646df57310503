//! What was decided on single requests, as lines of the log.
//!
//! Every decision that touches a request is one [`Event`]: a typed value here, a
//! line with the same fields there, at whichever node it was made. The caller's
//! own id of the request is in all of them, so that one search over the logs of
//! all nodes gathers its way. The [`Recorder`] bounds them: under load failures
//! go before what went well, and what is left out is counted.

use std::cell::Cell;

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
    outcome::Report,
    unit::Rate, //
};

/// Letters of a caller's id that lines show.
const LONGEST_NAME: usize = 64;

/// The message of every event, as docs/OPERATIONS.md lists them.
pub const MESSAGES: &[&str] = &[
    "refused",
    "sent",
    "declined",
    "answered",
    "caller gone",
    "turned away",
    "started",
    "ended",
];

/// A request as its caller names it, else as its nodes do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestName(String);

impl RequestName {
    /// The name of a request whose caller gave it this id, or none.
    pub(crate) fn new(own: Option<&[u8]>, root: impl std::fmt::Display) -> Self {
        let Some(own) = own else {
            return Self(root.to_string());
        };
        let own = String::from_utf8_lossy(own);
        Self(own.chars().take(LONGEST_NAME).collect())
    }
}

/// What a node knew when it decided.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownConfig {
    /// The version of the configuration in force.
    pub(crate) version: id::Version,
    /// The time since that was certainly the newest; none where it never was, or
    /// where nothing tells.
    pub(crate) age: Option<Span>,
}

/// One decision.
#[derive(Debug)]
pub(crate) enum Event<'a> {
    /// The caller was answered with a code of this system's own.
    Refused {
        code: Code,
        /// When it was told to come back.
        wait: Option<Span>,
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
    /// An instance told that an attempt ended without an answer.
    Declined {
        attempt: id::Request,
        peer: &'a id::Instance,
        code: Code,
        report: &'a Report,
    },
    /// The upstream's answer went to the caller.
    Answered {
        attempt: id::Request,
        status: u16,
        waited: Span,
    },
    /// The caller left before it had its answer.
    CallerGone { waited: Span },
    /// This node would not hand an attempt to its upstream, or ended it.
    TurnedAway {
        attempt: id::Request,
        peer: &'a id::Instance,
        route: &'a id::Route,
        context: &'a Context,
        code: Code,
        load: Load,
    },
    /// An attempt was handed to the upstream.
    Started {
        attempt: id::Request,
        peer: &'a id::Instance,
        route: &'a id::Route,
        context: &'a Context,
        waited: Span,
        load: Load,
    },
    /// The upstream's part of an attempt ended.
    Ended {
        attempt: id::Request,
        route: &'a id::Route,
        end: End,
        took: Span,
    },
}

/// How the upstream beside a node is used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) limit: u32,
    pub(crate) waiting: usize,
    /// Importances that are shed, and which part of the next.
    pub(crate) shed_level: f64,
    /// Requests are metered as the upstream is cold, or may be.
    pub(crate) cold: bool,
    /// The limit that the upstream names.
    pub(crate) named_limit: Option<Rate>,
}

impl Load {
    /// The named limit for a line; minus one where there is none.
    fn named_limit_or_minus_one(&self) -> f64 {
        self.named_limit.map_or(-1.0, Rate::as_f64)
    }
}

/// How many lines may be written.
#[derive(Clone, Copy, Debug)]
pub struct LogBudget {
    /// Lines a second.
    rate: f64,
    /// Lines that may be saved up.
    most: f64,
    saved: f64,
    at: Time,
}

impl LogBudget {
    /// For lines on failures: a burst of refusals shows whole, a lasting overload
    /// by samples. A line costs about five microseconds and 300 bytes.
    pub const FAILURES: Self = Self::new(100.0, 300.0);
    /// For all others.
    pub const ORDINARY: Self = Self::new(40.0, 120.0);

    const fn new(rate: f64, most: f64) -> Self {
        Self {
            rate,
            most,
            saved: most,
            at: Time::ZERO,
        }
    }

    /// Takes one line, if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.saved = (self.saved + gained).min(self.most);
        self.at = now;
        let some = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(some));
        some
    }
}

/// Writes events within what is allowed.
#[derive(Debug)]
pub(crate) struct Recorder {
    failures: Cell<LogBudget>,
    ordinary: Cell<LogBudget>,
    left_out: Cell<u64>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            failures: Cell::new(LogBudget::FAILURES),
            ordinary: Cell::new(LogBudget::ORDINARY),
            left_out: Cell::new(0),
        }
    }
}

impl Recorder {
    /// Writes an event, or counts it.
    pub(crate) fn record(&self, now: Time, name: &RequestName, event: &Event<'_>) {
        let budget = match event.is_failure() {
            true => &self.failures,
            false => &self.ordinary,
        };
        let mut left = budget.get();
        let some = left.take(now);
        budget.set(left);
        match some {
            true => event.write(&name.0),
            false => self.left_out.set(self.left_out.get() + 1),
        }
    }

    /// Events that were not written since this was last asked.
    pub(crate) fn left_out(&self) -> u64 {
        self.left_out.take()
    }
}

impl Event<'_> {
    /// Whether a request did not get what its caller wanted.
    fn is_failure(&self) -> bool {
        match self {
            Self::Refused { .. } | Self::Declined { .. } | Self::TurnedAway { .. } => true,
            Self::Answered { status, .. } => *status >= 500,
            Self::Ended { end, .. } => !matches!(end, End::Answered(0..500)),
            Self::Sent { .. } | Self::CallerGone { .. } | Self::Started { .. } => false,
        }
    }

    fn write(&self, id: &str) {
        match self {
            Self::Refused {
                code,
                wait,
                path,
                waited,
                attempts,
                config,
            } => {
                log::info!(
                    id = id, code = *code as u16, reason = code.name(),
                    may_have_run = code.verdict() == Verdict::Unknown, path = path,
                    come_back_ms = wait.map_or(-1, |wait| wait.as_ms() as i64),
                    waited_ms = waited.as_ms(), attempts = attempts, version = config.version.0,
                    version_age_ms = age(*config);
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
                    version = config.version.0, version_age_ms = age(*config);
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
            } => {
                log::info!(
                    id = id, request:% = attempt, status = status, waited_ms = waited.as_ms();
                    "answered"
                );
            }
            Self::CallerGone { waited } => {
                log::info!(id = id, waited_ms = waited.as_ms(); "caller gone");
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

/// The age of a version for a line; minus one where there is none.
fn age(config: KnownConfig) -> i64 {
    config.age.map_or(-1, |age| age.as_ms() as i64)
}
