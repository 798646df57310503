//! What clients sent and were answered and what servers got, by request id.

use std::{
    collections::BTreeMap,
    fmt,
    fs::File,
    io::{
        self,
        BufWriter,
        Write, //
    },
    path::Path,
};

use serde_json::json;

use super::config::{
    Callers,
    Kind,
    Route, //
};
use crate::clock::{
    Span,
    Time, //
};

/// A rule that was seen broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rule {
    Twice,
    Refused,
    Mixed,
    Unasked,
    Route,
    Lost,
    /// A planned stop broke a request off.
    Cut,
    Config,
    /// A request gets neither an answer nor the end of its connection.
    Unanswered,
    Drain,
    Quota,
    Budget,
    /// A node without a fault is not ready.
    Ready,
    /// Requests are not served though there is no fault.
    Served,
    /// A process ended by itself.
    Ended,
    /// A process used more memory than it may.
    Memory,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{self:?}").to_uppercase())
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Got {
    Status(u16),
    /// The connection ended without a whole answer.
    Closed,
    /// No connection was accepted.
    Unsent,
    /// More bytes came than any answer has, and the client stopped reading.
    Oversized,
    /// No answer came before the client gave up.
    Nothing,
}

impl Got {
    /// Whether the answer promises that the request has not run and never will.
    pub(super) fn is_promise(self) -> bool {
        matches!(self, Self::Status(408 | 421 | 429 | 503))
    }
}

/// A request that reached a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) machine: usize,
    pub(super) service: &'static str,
    /// Whether the server began to work on it.
    pub(super) ran: bool,
    /// The status of the answer that the server has made.
    pub(super) status: Option<u16>,
}

/// One request of a client, or of a server's own.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) route: &'static Route,
    pub(super) target: String,
    /// The machine where it began.
    pub(super) machine: usize,
    pub(super) key: Option<String>,
    pub(super) body: u64,
    pub(super) sent: Time,
    /// When its last byte was sent.
    pub(super) written: Option<Time>,
    /// How long it may take.
    pub(super) limit: Span,
    /// Whether its connection had carried a request before.
    pub(super) kept: bool,
    /// Whether it was sent behind another one, without waiting for the answer.
    pub(super) is_behind: bool,
    pub(super) got: Option<(Time, Got)>,
    /// Whether a server made the answer.
    pub(super) sealed: bool,
    pub(super) arrivals: Vec<Arrival>,
}

impl Request {
    /// From when on its answer is due. Uploads of clients that stay pause for so long that
    /// their time runs from their last byte.
    pub(super) fn due_from(&self) -> Time {
        match (self.route.callers, self.route.kind, self.written) {
            (Callers::Stayers, Kind::Upload, Some(written)) => written,
            _ => self.sent,
        }
    }

    pub(super) fn runs(&self) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter().filter(|arrival| arrival.ran)
    }
}

/// A planned stop of a node: when its process was told to end, and when it was gone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    pub(super) machine: usize,
    pub(super) at: Time,
    pub(super) gone: Time,
}

/// All that has happened.
#[derive(Default)]
pub(super) struct Record {
    pub(super) requests: BTreeMap<String, Request>,
    /// Rules that were seen broken at once.
    pub(super) broken: Vec<(Rule, String)>,
    /// When this process got no processor time.
    pub(super) stalls: Vec<(Time, Time)>,
    pub(super) stops: Vec<Stop>,
    /// Number of faults, by name.
    pub(super) faults: BTreeMap<String, usize>,
}

impl Record {
    pub(super) fn break_rule(&mut self, rule: Rule, case: impl Into<String>) {
        self.broken.push((rule, case.into()));
    }

    /// Records an arrival and returns its position among those of the request.
    pub(super) fn arrive(&mut self, id: &str, arrival: Arrival) -> usize {
        let Some(request) = self.requests.get_mut(id) else {
            if arrival.ran {
                self.break_rule(Rule::Unasked, format!("{id}: no client sent it"));
            }
            return 0;
        };
        request.arrivals.push(arrival);
        request.arrivals.len() - 1
    }

    /// Records the answer that a server has made.
    pub(super) fn set_status(&mut self, id: &str, arrival: usize, status: u16) {
        let request = self.requests.get_mut(id);
        if let Some(arrival) = request.and_then(|request| request.arrivals.get_mut(arrival)) {
            arrival.status = Some(status);
        }
    }

    pub(super) fn set_written(&mut self, id: &str, now: Time) {
        if let Some(request) = self.requests.get_mut(id) {
            request.written = Some(now);
        }
    }

    pub(super) fn set_got(&mut self, id: &str, now: Time, got: Got) {
        if let Some(request) = self.requests.get_mut(id) {
            request.got = Some((now, got));
        }
    }

    /// Whether this process got no processor time at some moment.
    pub(super) fn is_stalled(&self, from: Time, to: Time) -> bool {
        super::judge::overlaps(&self.stalls, from, to)
    }

    /// How long this process got no processor time.
    pub(super) fn stalled(&self, from: Time, to: Time) -> Span {
        let within = |(start, end): &(Time, Time)| {
            let (start, end) = ((*start).max(from), (*end).min(to));
            start.until(end)
        };
        self.stalls
            .iter()
            .map(within)
            .fold(Span::ZERO, |sum, span| sum + span)
    }

    pub(super) fn summary(&self) -> String {
        let count =
            |is: &dyn Fn(&Request) -> bool| self.requests.values().filter(|r| is(r)).count();
        let status = |range: std::ops::Range<u16>| {
            count(&|request| matches!(request.got, Some((_, Got::Status(s))) if range.contains(&s)))
        };
        let repeats: usize = self
            .requests
            .values()
            .map(|r| r.arrivals.len().saturating_sub(1))
            .sum();
        let faults: Vec<_> = self
            .faults
            .iter()
            .map(|(name, n)| format!("{name} {n}"))
            .collect();
        let stops: Vec<_> = self
            .stops
            .iter()
            .map(|stop| stop.gone.since(stop.at).to_string())
            .collect();
        format!(
            "{} requests: {} served, {} of 429, {} of 503, {} of 502, {} of 504, {} closed, \
             {} oversized, {} given up; {repeats} repeats at servers; stalls of this process {}; faults: {}; \
             planned stops took: {}",
            self.requests.len(),
            status(200..300),
            status(429..430),
            status(503..504),
            status(502..503),
            status(504..505),
            count(&|request| matches!(request.got, Some((_, Got::Closed)))),
            count(&|request| matches!(request.got, Some((_, Got::Oversized)))),
            count(&|request| matches!(request.got, None | Some((_, Got::Nothing)))),
            self.stalls.len(),
            faults.join(", "),
            stops.join(", ")
        )
    }

    /// Writes one line for each request.
    pub(super) fn save(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for (id, request) in &self.requests {
            let arrivals = request.arrivals.iter().map(|arrival| {
                json!({ "at": arrival.at.as_ms(), "machine": arrival.machine,
                        "service": arrival.service, "ran": arrival.ran,
                        "status": arrival.status })
            });
            let line = json!({
                "id": id, "route": request.route.name, "machine": request.machine,
                "key": request.key, "sent": request.sent.as_ms(), "kept": request.kept,
                "written": request.written.map(Time::as_ms),
                "got": request.got.map(|(at, got)| (at.as_ms(), format!("{got:?}"))),
                "arrivals": arrivals.collect::<Vec<_>>(),
            });
            writeln!(file, "{line}")?;
        }
        file.flush()
    }
}
