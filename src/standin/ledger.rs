//! What truly happened: the record that outcomes are judged by.
//!
//! The driver writes down every start at an upstream and every final answer to
//! a caller, beside the decisions and unseen by them.

use std::{
    collections::BTreeMap,
    fmt, //
};

use super::promise::Promise;
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict, //
    },
    context::Importance,
    id,
    unit::Rate, //
};

/// Retries that a root may spend: what a route grants by default.
const MAX_RETRIES_PER_ROOT: u32 = 2;

/// Time in which a leaving upstream may still receive new work.
const LEAVING_GRACE: Span = Span::from_secs(2);

/// How one call ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// An upstream answered with this status.
    Status(u16),
    /// A node refused it.
    Code(Code),
    /// The caller had no patience left, or its node died.
    Gone,
}

/// One call: a try of a caller, or a nested call of a service.
#[derive(Clone, Debug)]
pub struct Job {
    /// The flow it belongs to, for a caller's try.
    pub flow: Option<usize>,
    /// The caller's request that it tries, for a caller's try.
    pub item: Option<usize>,
    /// The call at the root of its chain; itself for a caller's try.
    pub root: usize,
    /// The node that took it.
    pub node: usize,
    /// The team it was made for.
    pub team: id::Team,
    /// Its path.
    pub path: String,
    /// Whether a second run would do harm.
    pub once: bool,
    /// The caller's idempotency key.
    pub claim: Option<String>,
    /// When it was made.
    pub begun: Time,
    /// How and when it ended.
    pub end: Option<(Time, End)>,
    /// Starts at upstreams.
    pub runs: u32,
    /// Runs beyond the first of any call, below a root.
    pub again: u32,
    /// Slot time spent on it and everything below it.
    pub slot: Span,
    /// The attempt of the parent that made it, with the parent's node.
    pub parent: Option<(usize, id::Request)>,
}

/// One request of a caller, with all its tries.
#[derive(Clone, Debug)]
pub struct Item {
    /// The flow it belongs to.
    pub flow: usize,
    /// When it was first sent.
    pub begun: Time,
    /// Tries so far.
    pub tries: u32,
    /// When its whole answer came.
    pub whole: Option<Time>,
    /// The last refusal.
    pub refused: Option<Code>,
}

/// Everything that happened in one run.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Every call, by its number.
    pub jobs: Vec<Job>,
    /// Every request of a caller.
    pub items: Vec<Item>,
    /// The call of each attempt.
    pub attempts: BTreeMap<id::Request, usize>,
    /// When roots of a team first reached an upstream.
    pub admitted: BTreeMap<id::Team, Vec<Time>>,
    /// The last start under each key.
    pub last_run: BTreeMap<id::Team, Time>,
    /// Importance and time of every final answer to a caller, by code.
    pub refused: BTreeMap<Code, u64>,
    /// Promises that were broken, in words.
    pub broken: Vec<String>,
    /// Upstreams that ended under a fatal request, by team.
    pub ended_under: BTreeMap<id::Team, u32>,
    /// When nodes were told to finish.
    pub leaving: BTreeMap<usize, Time>,
    claims: BTreeMap<String, u32>,
}

impl Ledger {
    /// An upstream begins to work on an attempt.
    pub fn started(&mut self, now: Time, request: id::Request, team: &id::Team) {
        let Some(&number) = self.attempts.get(&request) else {
            self.breach(now, Promise::Whole, format!("{request} ran unsent"));
            return;
        };
        let job = &mut self.jobs[number];
        job.runs += 1;
        self.last_run.insert(job.team.clone(), now);
        if job.root == number && job.runs == 1 {
            let admitted = self.admitted.entry(job.team.clone()).or_default();
            admitted.push(now);
        }
        let job = job.clone();
        if job.team != *team {
            let text = format!("call {number} of {} ran for {team}", job.team);
            self.breach(now, Promise::Team, text);
        }
        if job.runs > 1 {
            self.again(now, number, &job);
        }
        if let Some((_, End::Code(code))) = job.end
            && code.verdict() == Verdict::NotRun
        {
            let text = format!("call {number} ran after {code:?} was told");
            self.breach(now, Promise::NotRun, text);
        }
        if let Some(claim) = job.claim {
            let runs = self.claims.entry(claim.clone()).or_default();
            *runs += 1;
            if *runs > 1 {
                self.breach(now, Promise::Once, format!("key {claim} ran twice"));
            }
        }
    }

    /// A call runs again: harmless only when it is idempotent and its root has
    /// retries left.
    fn again(&mut self, now: Time, number: usize, job: &Job) {
        if job.once {
            self.breach(now, Promise::Once, format!("call {number} ran twice"));
        }
        let root = &mut self.jobs[job.root];
        root.again += 1;
        if root.again > MAX_RETRIES_PER_ROOT {
            let text = format!("call {} has spent {} retries", job.root, root.again);
            self.breach(now, Promise::Retries, text);
        }
    }

    /// Writes down that a promise was broken.
    pub fn breach(&mut self, now: Time, promise: Promise, text: impl fmt::Display) {
        self.broken.push(format!("{promise}: {now}: {text}"));
    }

    /// An answer is handed to a call: it must be that of its own attempt.
    pub fn delivered(&mut self, now: Time, number: usize, request: id::Request) {
        if self.attempts.get(&request) != Some(&number) {
            let text = format!("call {number} got the answer of {request}");
            self.breach(now, Promise::Whole, text);
        }
    }

    /// A node stops, as it was told to: nothing may be left on it.
    pub fn stopped(&mut self, now: Time, node: usize, running: usize) {
        let open = |job: &&Job| job.node == node && job.end.is_none();
        let open = self.jobs.iter().filter(open).count();
        if open + running > 0 {
            let text = format!("node {node} cut {open} calls and {running} attempts");
            self.breach(now, Promise::Stop, text);
        }
    }

    /// A node that was told to finish begins something new.
    pub fn begun_at(&mut self, now: Time, node: usize) {
        let late = |since: &Time| now.since(*since) > LEAVING_GRACE;
        if self.leaving.get(&node).is_some_and(late) {
            self.breach(now, Promise::Leaving, format!("node {node} began new work"));
        }
    }

    /// A caller, or a service, has its final answer.
    pub fn ended(&mut self, now: Time, number: usize, end: End) -> bool {
        let job = &mut self.jobs[number];
        if job.end.is_some() {
            return false;
        }
        job.end = Some((now, end));
        if let End::Code(code) = end {
            *self.refused.entry(code).or_default() += 1;
            if code.verdict() == Verdict::NotRun && job.runs > 0 {
                let text = format!("call {number} was told {code:?} but ran");
                self.breach(now, Promise::NotRun, text);
            }
        }
        true
    }

    /// A call has held a slot for this long; its root is charged with it.
    pub fn slot(&mut self, number: usize, spent: Span) {
        let root = self.jobs[number].root;
        self.jobs[root].slot = self.jobs[root].slot + spent;
    }

    /// The worst excess of a team over its rate and burst in any window, in
    /// requests. Exact: a full bucket is drained by every admission, and how far
    /// it goes below zero is the excess of the window that ends there.
    pub fn excess(&self, team: &id::Team, rate: Rate, burst: u32) -> f64 {
        let full = i128::from(burst) * 1_000_000;
        let mut bucket = full;
        let mut last = Time::ZERO;
        let mut worst = 0;
        for at in self.admitted.get(team).into_iter().flatten() {
            let gained = i128::from(rate.as_millis()) * i128::from(at.since(last).as_ms());
            bucket = (bucket + gained).min(full) - 1_000_000;
            last = *at;
            worst = worst.max(-bucket);
        }
        worst as f64 / 1_000_000.0
    }

    /// Requests of a flow that were first sent within a time: all, and whole.
    pub fn goodput(&self, flow: usize, from: Time, until: Time) -> (u64, u64) {
        let within = |item: &&Item| item.flow == flow && item.begun >= from && item.begun < until;
        let items = self.items.iter().filter(within);
        items.fold((0, 0), |(all, whole), item| {
            (all + 1, whole + u64::from(item.whole.is_some()))
        })
    }

    /// The share of slot time spent on callers' tries that were not whole.
    pub fn wasted(&self) -> f64 {
        let (mut all, mut lost) = (0, 0);
        for job in self.jobs.iter().filter(|job| job.flow.is_some()) {
            let whole = matches!(job.end, Some((_, End::Status(200..300))));
            all += job.slot.as_ms();
            lost += if whole { 0 } else { job.slot.as_ms() };
        }
        lost as f64 / all.max(1) as f64
    }
}

/// A stream of requests from callers of one team.
#[derive(Clone, Debug)]
pub struct Flow {
    /// The key its callers show, `name.secret`.
    pub key: String,
    /// The team of the key.
    pub team: id::Team,
    /// What its requests matter, for reports.
    pub importance: Importance,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// Requests a second.
    pub rate: Rate,
    /// Tries after the first.
    pub retries: u32,
    /// Time between tries.
    pub wait: Span,
    /// Time after which a caller hangs up a try.
    pub patience: Span,
    /// Whether each request carries an idempotency key, kept over its tries.
    pub claims: bool,
    /// Nodes that its callers call; all when empty.
    pub nodes: Vec<usize>,
}
