//! Judges a soak by what clients and servers saw.
//!
//! Rules that bound a time hold only for machines that were undisturbed, and for a while
//! before. The rules on single requests hold always.

mod cut;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    World,
    config::{
        Kind,
        LIMIT_BURST,
        LIMIT_RATE,
        LIMITED_TEAM,
        SERVICES, //
    },
    record::{
        Got,
        Record,
        Request,
        Rule, //
    },
};
use crate::clock::{
    Span,
    Time, //
};

/// The bounds that the rules name.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) drain: Span,
    pub(crate) grace: Span,
    pub(crate) apply: Span,
    pub(crate) revoke: Span,
    /// How long after a fault a node may take until it serves.
    pub(crate) catch_up: Span,
    pub(crate) retry_ratio: f64,
    pub(crate) retry_slack: f64,
    pub(crate) retry_window: Span,
    pub(crate) quota_window: Span,
    pub(crate) quota_overshoot: f64,
    pub(crate) quota_slack: f64,
    /// Most memory that a node's process may have resident, in bytes.
    pub(crate) memory: u64,
    /// How long after its last byte a request may still cross the close of its connection.
    pub(crate) loss_slack: Span,
}

/// How long after its timeout a request may be answered.
const LATENESS: Span = Span::from_ms(500);
/// How long after its timeout a request must have an answer or the end of its connection.
const MAX_OVERRUN: Span = Span::from_ms(2000);
/// Requests of kept connections that may be lost.
const MAX_LOST: usize = 3;
/// From how many requests on lateness is judged.
const MIN_LATE: usize = 8;
/// Requests that may fail without a fault, and one more in so many.
const MAX_UNSERVED: usize = 5;
const REQUESTS_PER_UNSERVED: usize = 500;
pub(super) const MEGABYTE: u64 = 1_000_000;
/// How long a machine must have been undisturbed before a rule on time binds it.
const CONTACT: Span = Span::from_ms(3000);

/// Whether one of the disturbances lies between two times, or shortly before them.
pub(super) fn overlaps(disturbances: &[(Time, Time)], from: Time, to: Time) -> bool {
    let touches = |(start, end): &(Time, Time)| *start <= to && from <= *end + CONTACT;
    disturbances.iter().any(touches)
}

/// Returns the cases of each broken rule.
pub(super) fn findings(world: &World, record: &Record) -> BTreeMap<Rule, Vec<String>> {
    let mut findings: BTreeMap<Rule, Vec<String>> = BTreeMap::new();
    let mut add = |rule, case| findings.entry(rule).or_default().push(case);
    for (rule, case) in &record.broken {
        add(*rule, case.clone());
    }
    let judge = Judge { world, record };
    for (id, request) in &record.requests {
        for (rule, case) in judge.request(request) {
            add(rule, format!("{id} {case}"));
        }
    }
    for (rule, case) in judge.all() {
        add(rule, case);
    }
    findings
}

struct Judge<'a> {
    world: &'a World,
    record: &'a Record,
}

impl Judge<'_> {
    fn is_calm(&self, machine: usize, from: Time, to: Time) -> bool {
        self.world.machines[machine].is_calm(from, to) && !self.record.is_stalled(from, to)
    }

    /// Judges one request by itself.
    fn request(&self, request: &Request) -> Vec<(Rule, String)> {
        let mut broken = Vec::new();
        let runs = request.runs().count();
        let got = request.got.map(|(_, got)| got);
        let places = || {
            let runs = request.runs().map(|run| run.machine.to_string());
            runs.collect::<Vec<_>>().join(", ")
        };
        if !request.route.is_idempotent() {
            if runs > 1 {
                broken.push((Rule::Twice, format!("ran at {}, got {got:?}", places())));
            }
            if runs > 0 && got.is_some_and(Got::is_promise) {
                broken.push((Rule::Refused, format!("ran at {}, got {got:?}", places())));
            }
        }
        broken.extend(self.unanswered(request));
        broken.extend(self.place(request));
        broken.extend(self.key(request));
        broken
    }

    /// Judges whether a request was answered at all.
    fn unanswered(&self, request: &Request) -> Option<(Rule, String)> {
        let (at, got) = request.got?;
        let took = at.since(request.due_from());
        let is_unanswered = got == Got::Nothing
            && took >= request.route.timeout + MAX_OVERRUN
            && !request.is_behind
            && self.is_calm(request.machine, request.sent, at);
        is_unanswered.then(|| (Rule::Unanswered, format!("no answer within {took}")))
    }

    /// Judges where a request ran.
    fn place(&self, request: &Request) -> Option<(Rule, String)> {
        let configuration = self.world.configuration();
        for run in request.runs() {
            let all = configuration.services(request.route, Time::ZERO, run.at, Span::ZERO);
            if !all.contains(&run.service) {
                return Some((Rule::Route, format!("ran at {}", run.service)));
            }
            let lag = self.world.dialect.bounds().apply;
            let allowed = configuration.services(request.route, request.sent, run.at, lag);
            if !allowed.contains(&run.service)
                && self.is_calm(request.machine, request.sent, run.at)
            {
                return Some((
                    Rule::Config,
                    format!("ran at {} by an old version", run.service),
                ));
            }
        }
        None
    }

    /// Judges the key of a request that ran.
    fn key(&self, request: &Request) -> Option<(Rule, String)> {
        let configuration = self.world.configuration();
        request.runs().next()?;
        let text = request.key.as_deref()?;
        let Some(key) = configuration.key(text) else {
            return Some((Rule::Route, "ran with an unknown key".to_owned()));
        };
        let removed = key.removed?;
        let late = request.sent.since(removed);
        let is_late = late > self.world.dialect.bounds().revoke;
        is_late.then(|| {
            (
                Rule::Config,
                format!("ran {late} after its key was withdrawn"),
            )
        })
    }

    /// Judges all requests together.
    fn all(&self) -> Vec<(Rule, String)> {
        let mut broken = Vec::new();
        broken.extend(self.lost());
        broken.extend(self.cut_short());
        broken.extend(self.broken_off());
        broken.extend(self.cut());
        broken.extend(self.late());
        broken.extend(self.unready());
        broken.extend(self.unserved());
        broken.extend(self.memory());
        broken.extend(self.quota());
        broken.extend(SERVICES.iter().filter_map(|service| self.budget(service)));
        broken
    }

    /// Requests of kept connections that a node closed while a sound server had them.
    fn lost(&self) -> Vec<(Rule, String)> {
        let is_lost = |request: &&(&String, &Request)| {
            let (_, request) = request;
            let Some((at, Got::Closed)) = request.got else {
                return false;
            };
            let is_sound = |machine: usize| {
                let server = &self.world.machines[machine].server;
                server.is_sound(request.sent, at)
            };
            request.kept
                && request.runs().any(|run| is_sound(run.machine))
                && self.is_calm(request.machine, request.sent, at)
        };
        let requests: Vec<_> = self.record.requests.iter().collect();
        let lost: Vec<_> = requests.iter().filter(is_lost).collect();
        match lost.len() > MAX_LOST {
            true => lost
                .iter()
                .map(|(id, _)| (Rule::Lost, (*id).clone()))
                .collect(),
            false => Vec::new(),
        }
    }

    /// Requests that a process told to end broke off while a sound server had them.
    fn cut_short(&self) -> Vec<(Rule, String)> {
        let is_cut_short = |request: &Request| {
            let Some((at, Got::Closed)) = request.got else {
                return false;
            };
            let is_planned = |machine: usize| {
                let machine = &self.world.machines[machine];
                machine.is_calm_but_for_shutdown(request.sent, at)
            };
            let is_sound = |machine: usize| {
                let server = &self.world.machines[machine].server;
                server.is_sound(request.sent, at) && is_planned(machine)
            };
            request.runs().any(|run| is_sound(run.machine))
                && is_planned(request.machine)
                && !self.world.machines[request.machine].is_calm(request.sent, at)
                && at.since(request.sent) < request.route.timeout
                && !self.record.is_stalled(request.sent, at)
        };
        let requests = self.record.requests.iter();
        let cut_short = requests.filter(|(_, request)| is_cut_short(request));
        cut_short
            .map(|(id, _)| (Rule::Lost, format!("{id} closed at a shutdown")))
            .collect()
    }

    /// Orders that a node broke off while a sound server worked on them.
    fn broken_off(&self) -> Vec<(Rule, String)> {
        let is_broken_off = |request: &Request| {
            let Some((at, Got::Status(502))) = request.got else {
                return false;
            };
            let is_at_work = |machine: usize| {
                let machine = &self.world.machines[machine];
                machine.server.is_sound(request.sent, at)
                    && machine.is_calm_but_for_store(request.sent, at)
            };
            let machine = &self.world.machines[request.machine];
            request.route.kind == Kind::Unsafe
                && !request.sealed
                && at.since(request.sent) < request.route.timeout
                && request.runs().any(|run| is_at_work(run.machine))
                && machine.is_calm_but_for_store(request.sent, at)
                && !self.record.is_stalled(request.sent, at)
        };
        let requests = self.record.requests.iter();
        let broken_off = requests.filter(|(_, request)| is_broken_off(request));
        broken_off
            .map(|(id, _)| (Rule::Lost, format!("{id} answered 502 while it ran")))
            .collect()
    }

    /// Whether a machine has had no fault for as long as it may need to serve again.
    fn is_recovered(&self, machine: usize, from: Time, to: Time) -> bool {
        let catch_up = self.world.dialect.bounds().catch_up;
        let from = Time::from_ms(from.as_ms().saturating_sub(catch_up.as_ms()));
        self.world.machines[machine].is_well(from, to) && !self.record.is_stalled(from, to)
    }

    /// Nodes that answer twice in a row that they are not ready.
    fn unready(&self) -> Vec<(Rule, String)> {
        let mut broken = Vec::new();
        for machine in &self.world.machines {
            let readiness = machine.readiness.borrow();
            let is_unready = |pair: &&[(Time, bool)]| {
                let [(from, false), (to, false)] = pair else {
                    return false;
                };
                self.is_recovered(machine.number, *from, *to)
            };
            let unready: Vec<_> = readiness.windows(2).filter(is_unready).collect();
            if let Some(first) = unready.first() {
                let (name, at) = (&machine.identity.name, first[0].0);
                let case = format!("{name} at {at}, {} times", unready.len());
                broken.push((Rule::Ready, case));
            }
        }
        broken
    }

    /// Requests that nodes do not serve though no machine has a fault.
    fn unserved(&self) -> Vec<(Rule, String)> {
        let machines = 0..self.world.machines.len();
        let is_judged = |request: &Request| {
            let Some((at, _)) = request.got else {
                return false;
            };
            let mut machines = machines.clone();
            machines.all(|machine| self.is_recovered(machine, request.sent, at))
        };
        let requests = self.record.requests.iter();
        let judged: Vec<_> = requests.filter(|(_, request)| is_judged(request)).collect();
        let unserved: Vec<_> = judged
            .iter()
            .filter(|(_, request)| self.is_unserved(request))
            .collect();
        let allowed = MAX_UNSERVED + judged.len() / REQUESTS_PER_UNSERVED;
        if unserved.len() <= allowed {
            return Vec::new();
        }
        let case = |(id, request): &&(&String, &Request)| {
            let got = request.got.map(|(_, got)| got);
            (Rule::Served, format!("{id} got {got:?}"))
        };
        unserved.iter().map(case).collect()
    }

    /// Whether a node, and neither the server nor the client, kept a request from success.
    fn is_unserved(&self, request: &Request) -> bool {
        let Some((at, got)) = request.got else {
            return false;
        };
        let configuration = self.world.configuration();
        let key = request
            .key
            .as_deref()
            .and_then(|key| configuration.key(key));
        let is_limited = key.is_some_and(|key| key.team == LIMITED_TEAM);
        let is_withdrawn = key.is_some_and(|key| key.removed.is_some());
        match got {
            Got::Status(429) if is_limited => false,
            Got::Status(401 | 403) if is_withdrawn => false,
            Got::Status(status) => !request.sealed && !(200..300).contains(&status),
            Got::Closed => !request.kept && !request.is_behind,
            Got::Unsent => true,
            Got::Oversized => false,
            Got::Nothing => at.since(request.sent) >= request.route.timeout && !request.is_behind,
        }
    }

    /// Requests that outlast the timeout of their route.
    fn late(&self) -> Option<(Rule, String)> {
        let mut outlasting = 0;
        let mut late = Vec::new();
        for (id, request) in &self.record.requests {
            let Some((at, got)) = request.got else {
                continue;
            };
            let took = at.since(request.sent);
            let is_answered = matches!(got, Got::Status(_));
            if took < request.route.timeout
                || !(is_answered || got == Got::Nothing)
                || !self.is_calm(request.machine, request.sent, at)
            {
                continue;
            }
            outlasting += 1;
            if took > request.route.timeout + LATENESS {
                late.push(id.as_str());
            }
        }
        let is_broken = late.len() >= MIN_LATE && 2 * late.len() > outlasting;
        is_broken.then(|| {
            let case = format!("{} of {outlasting} answered late: {}", late.len(), late[0]);
            (Rule::Config, case)
        })
    }

    /// Processes that used more memory than they may.
    fn memory(&self) -> Vec<(Rule, String)> {
        let limit = self.world.dialect.bounds().memory;
        let mut broken = Vec::new();
        for machine in &self.world.machines {
            let name = &machine.identity.name;
            let peaks = machine.process.peaks();
            for peak in peaks.into_iter().filter(|peak| *peak >= limit) {
                let case = format!("{name} had {} MB resident", peak / MEGABYTE);
                broken.push((Rule::Memory, case));
            }
        }
        broken
    }

    /// What the limited team ran in any window.
    fn quota(&self) -> Option<(Rule, String)> {
        let bounds = self.world.dialect.bounds();
        let configuration = self.world.configuration();
        let is_limited = |request: &&Request| {
            let key = request
                .key
                .as_deref()
                .and_then(|key| configuration.key(key));
            key.is_some_and(|key| key.team == LIMITED_TEAM)
        };
        let limited = self.record.requests.values().filter(is_limited);
        let mut runs: Vec<_> = limited
            .flat_map(|request| request.runs().map(|run| (run.at, request.sent)))
            .collect();
        runs.sort();
        let window = bounds.quota_window;
        let allowed = f64::from(LIMIT_RATE) * window.as_secs_f64() + f64::from(LIMIT_BURST);
        let allowed = allowed * (1.0 + bounds.quota_overshoot) + bounds.quota_slack;
        for (first, (from, _)) in runs.iter().enumerate() {
            let within = runs[first..]
                .iter()
                .take_while(|(at, _)| at.since(*from) < window);
            let count = within.filter(|(_, sent)| sent >= from).count();
            if count as f64 > allowed {
                let case =
                    format!("{count} of the limited team within {window}, {allowed} allowed");
                return Some((Rule::Quota, case));
            }
        }
        None
    }

    /// Repeats at a service, against the requests for it.
    fn budget(&self, service: &str) -> Option<(Rule, String)> {
        let bounds = self.world.dialect.bounds();
        let window = bounds.retry_window;
        let mut sent = Vec::new();
        let mut repeats = Vec::new();
        for request in self.record.requests.values() {
            let arrivals = request.arrivals.iter();
            let arrivals: Vec<_> = arrivals
                .filter(|arrival| arrival.service == service)
                .collect();
            let is_for_it = match request.route.service {
                Some(other) => other == service,
                None => !arrivals.is_empty(),
            };
            if is_for_it {
                sent.push(request.sent);
            }
            repeats.extend(arrivals.iter().skip(1).map(|arrival| arrival.at));
        }
        repeats.sort();
        let in_window = |from: u64| {
            let window = window.as_ms();
            let is_in = |at: &&Time| (from..from + window).contains(&at.as_ms());
            sent.iter().filter(is_in).count()
        };
        let starts: BTreeSet<_> = repeats.iter().map(|at| at.as_ms()).collect();
        for from in starts {
            let length = window.as_ms();
            let count = repeats
                .iter()
                .filter(|at| (from..from + length).contains(&at.as_ms()))
                .count();
            let requests = [0, length / 2, length]
                .map(|back| in_window(from.saturating_sub(back)))
                .into_iter()
                .max()
                .unwrap_or(0);
            let allowed = bounds.retry_ratio * requests as f64 + bounds.retry_slack;
            if count as f64 > allowed {
                let case =
                    format!("{count} repeats at {service} within {window}, {allowed} allowed");
                return Some((Rule::Budget, case));
            }
        }
        None
    }
}
