//! What the demonstration saw, and which promises that breaks.

use std::collections::{
    BTreeMap,
    HashMap,
    HashSet, //
};

use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Importance,
};

/// The time after which a withdrawn key must not run anything.
pub(super) const WITHDRAWN: Span = Span::from_secs(3);
/// Requests by which the count may stand above a rate: arrivals are noted a
/// little later than they were allowed, so that a late one may meet the next.
const RATE_SLACK: f64 = 20.0;

/// One line of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Line {
    /// The team.
    pub(super) team: &'static str,
    /// The importance of the route.
    pub(super) importance: Importance,
}

/// How one request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Whole, with the answer to this very request.
    Whole,
    /// Refused by the system.
    Refused(Code),
    /// The service answered that something below it failed.
    Below,
    /// An answer that was cut, or belongs to another request.
    Wrong,
    /// No connection: the node was gone.
    Gone,
}

/// Counts of one line.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    pub(super) sent: u64,
    pub(super) whole: u64,
    pub(super) below: u64,
    pub(super) gone: u64,
    pub(super) refused: BTreeMap<&'static str, u64>,
}

/// A team's rate, as a bucket that must never run dry.
#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
    lowest: f64,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    /// Counts of the present phase.
    pub(super) phase: BTreeMap<Line, Counts>,
    runs: HashMap<u64, u32>,
    twice: u64,
    once: HashSet<u64>,
    not_run: HashSet<u64>,
    buckets: BTreeMap<String, Bucket>,
    withdrawn: Option<(String, Time)>,
    withdrawn_runs: u64,
    key_seen: u64,
    wrong: u64,
    unrated: u64,
    secrets: Vec<String>,
}

/// A promise with how often it was seen broken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise(pub(super) &'static str, pub(super) u64);

impl Ledger {
    /// Watches a team's rate.
    pub(super) fn limit(&mut self, team: &str, rate: f64, burst: u32) {
        let bucket = Bucket {
            rate,
            burst: f64::from(burst),
            level: f64::from(burst),
            at: Time::ZERO,
            lowest: f64::from(burst),
        };
        self.buckets.insert(team.to_owned(), bucket);
    }

    /// Looks out for a key in what upstreams see.
    pub(super) fn secret(&mut self, key: &str) {
        let secret = key.rsplit_once('.').map_or(key, |(_, secret)| secret);
        self.secrets.push(secret.to_owned());
    }

    /// The key of a flow is no longer in force.
    pub(super) fn withdraw(&mut self, flow: &str, now: Time) {
        self.withdrawn = Some((flow.to_owned(), now));
    }

    /// A caller sends a request.
    pub(super) fn sent(&mut self, line: Line) {
        self.phase.entry(line).or_default().sent += 1;
    }

    /// An upstream saw this text.
    pub(super) fn upstream_saw(&mut self, text: &str) {
        if self.secrets.iter().any(|secret| text.contains(secret)) {
            self.key_seen += 1;
        }
    }

    /// An upstream begins to run a root request.
    pub(super) fn ran(&mut self, now: Time, id: u64, flow: &str, team: &str, idempotent: bool) {
        let runs = self.runs.entry(id).or_default();
        *runs += 1;
        if *runs > 1 {
            self.twice += u64::from(!idempotent);
            return;
        }
        self.once.insert(id);
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.take(now);
        }
        if let Some((withdrawn, at)) = &self.withdrawn
            && withdrawn == flow
            && now.since(*at) > WITHDRAWN
        {
            self.withdrawn_runs += 1;
        }
    }

    /// A caller has its answer.
    pub(super) fn ended(&mut self, line: Line, id: u64, end: &End, not_run: bool) {
        let counts = self.phase.entry(line).or_default();
        match end {
            End::Whole => counts.whole += 1,
            End::Refused(code) => {
                self.unrated += u64::from(*code == Code::RateUnavailable);
                *counts.refused.entry(code.name()).or_default() += 1;
            }
            End::Below => counts.below += 1,
            End::Gone => counts.gone += 1,
            End::Wrong => self.wrong += 1,
        }
        if not_run {
            self.not_run.insert(id);
        }
    }

    /// Requests that are not idempotent and ran more than once.
    pub(super) fn twice(&self) -> u64 {
        self.twice
    }

    /// Calls that were refused because no node could count the team's rate.
    pub(super) fn unrated(&self) -> u64 {
        self.unrated
    }

    /// What was seen of each promise.
    pub(super) fn promises(&self) -> Vec<Promise> {
        let over = |bucket: &&Bucket| bucket.lowest < -RATE_SLACK;
        vec![
            Promise("a request that is not idempotent ran twice", self.twice),
            Promise(
                "a request that was called not run has run",
                self.not_run.intersection(&self.once).count() as u64,
            ),
            Promise("an upstream saw a key", self.key_seen),
            Promise("a withdrawn key ran after 3 s", self.withdrawn_runs),
            Promise(
                "a team got more than its rate and burst",
                self.buckets.values().filter(over).count() as u64,
            ),
            Promise("an answer was cut or another request's", self.wrong),
        ]
    }
}

impl Bucket {
    fn take(&mut self, now: Time) {
        if self.at != Time::ZERO {
            let due = self.rate * now.since(self.at).as_secs_f64();
            self.level = (self.level + due).min(self.burst);
        }
        self.at = now;
        self.level -= 1.0;
        self.lowest = self.lowest.min(self.level);
    }
}
