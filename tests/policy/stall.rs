//! Instances that stop answering over an open link.

use std::collections::BTreeMap;

use bluebellswitch::{
    admission::seen::Levels,
    allowance::Allowance,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::{
        Context,
        Importance, //
    },
    document::Snapshot,
    id,
    inbound::Proxy,
    ingress::{
        Action,
        Arrival,
        Environment,
        Event,
        Origin,
        Router, //
    },
    member::{
        Peer,
        Status,
        Table, //
    },
    metric::{
        Counter,
        Counts, //
    },
    outcome::Report,
    policy::{
        Policy,
        Scheduling, //
    },
    quota::Holder,
    record::Directory,
    retry::{
        Limits,
        Reason, //
    },
    standin::{
        site::Site,
        trial::{
            self,
            Illness, //
        },
    },
    tables::Tables,
    team::Teams, //
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const STEP: Span = Span::from_ms(10);
const START: Time = Time::from_ms(100_000);
/// Time for the response times to become known before anything happens.
const WARMUP: Span = Span::from_secs(2);

const READ: &str = r#"{"name":"read","path":"/read","pool":"p","deadline":"1s","retries":2,
    "keyless":true,"idempotent":true}"#;
const WRITE: &str = r#"{"name":"write","path":"/write","pool":"p","deadline":"1s","retries":2,
    "keyless":true,"idempotent":false}"#;
const SLOW: &str = r#"{"name":"slow","path":"/slow","pool":"p","deadline":"10s","retries":2,
    "keyless":true,"idempotent":true}"#;

fn peer(name: &str, pool: &str) -> Peer {
    Peer {
        instance: name.parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        pool: pool.parse().expect("a name"),
        link: "127.0.0.1:1".parse().expect("an address"),
        datagram: "127.0.0.1:1".parse().expect("an address"),
        incarnation: id::Incarnation(1),
        status: Status::Alive,
        ready: true,
    }
}

/// An attempt that an instance is working on.
struct Work {
    peer: id::Instance,
    request: id::Request,
    /// When the response starts, and when it ends.
    answers_at: Time,
    ends_at: Time,
    answered: bool,
}

/// A router that sends calls to simulated instances.
struct Bench {
    now: Time,
    router: Router,
    snapshot: Snapshot,
    members: Table,
    policy: Policy,
    proxy: Proxy,
    quota: Holder,
    levels: Levels,
    rng: ChaCha8Rng,
    counts: Counts,
    last_call: u64,
    /// Range of the response times in milliseconds.
    response_ms: (u64, u64),
    /// How long the body of a response takes.
    body: Span,
    /// Instances whose responses are held back, and until when.
    silent: BTreeMap<id::Instance, Time>,
    work: Vec<Work>,
    /// Attempts in the order of sending.
    sent: Vec<(Time, id::Call, id::Instance)>,
    refused: Vec<Code>,
}

impl Bench {
    fn new(stall_detection: bool, instances: &[&str]) -> Self {
        let mut members = Table::default();
        members.insert(peer("a", "front"));
        for name in instances {
            members.insert(peer(name, "p"));
        }
        let rows = [READ, WRITE, SLOW];
        let routes = rows.map(|row| serde_json::from_str(row).expect("a row"));
        let mut router = Router::new(&peer("a", "front"));
        router.set_retry_limits(Limits {
            ratio: 0.2,
            ..Limits::default()
        });
        Self {
            now: START,
            router,
            snapshot: Snapshot {
                callers: None,
                evacuations: BTreeMap::new(),
                version: id::Version(1),
                tables: Tables {
                    routes: routes.into(),
                    pools: vec![serde_json::from_str(r#"{"name":"p"}"#).expect("a row")],
                },
                teams: Teams::default(),
            },
            members,
            policy: Policy {
                max_reroutes: 2,
                scheduling: Scheduling {
                    stall_detection,
                    ..Scheduling::default()
                },
                ..Policy::default()
            },
            proxy: Proxy::new(id::Incarnation(1), "front".parse().expect("a name"), true),
            quota: Holder::new("a".parse().expect("a name"), id::Incarnation(1)),
            levels: Levels::default(),
            rng: ChaCha8Rng::seed_from_u64(7),
            counts: Counts::default(),
            last_call: 0,
            response_ms: (20, 60),
            body: Span::ZERO,
            silent: BTreeMap::new(),
            work: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn on(&mut self, event: Event) {
        let mut env = Environment {
            snapshot: &self.snapshot,
            members: &self.members,
            quota: &mut self.quota,
            records: &Directory::default(),
            proxy: &mut self.proxy,
            levels: &mut self.levels,
            policy: self.policy,
            rng: &mut self.rng,
            counts: &mut self.counts,
            ends_at: Time::NEVER,
        };
        let mut out = Vec::new();
        self.router.on(self.now, event, &mut env, &mut out);
        out.into_iter().for_each(|action| self.carry_out(action));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                call,
                request,
                peer,
                ..
            } => {
                let (least, most) = self.response_ms;
                let response = Span::from_ms(self.rng.random_range(least..=most));
                self.sent.push((self.now, call, peer.clone()));
                self.work.push(Work {
                    peer,
                    request,
                    answers_at: self.now + response,
                    ends_at: self.now + response + self.body,
                    answered: false,
                });
            }
            Action::Cancel(_, request) => self.work.retain(|work| work.request != request),
            Action::Deliver(call, _) => self.router.record_delivered(call),
            Action::Refuse(_, refusal) => self.refused.push(refusal.code()),
            _ => {}
        }
    }

    fn call(&mut self, path: &str) {
        self.call_from(Origin::Caller { key: None }, path);
    }

    /// Makes a call on behalf of a running attempt that may retry twice.
    fn call_nested(&mut self, importance: Importance, path: &str) {
        let parent = id::Request {
            incarnation: id::Incarnation(9),
            sequence: id::Sequence(self.last_call + 1),
        };
        let allowances = self.proxy.allowances();
        allowances.insert(parent, Allowance::new(2));
        let context = Context {
            root: id::Root(self.last_call),
            team: id::Team::services(),
            key: None,
            importance,
            left: Span::from_secs(1),
            age: Span::ZERO,
            allowance: 2,
            depth: 1,
            begin: None,
            parent: Some(parent),
            origin: None,
            version: id::Version(1),
            digest: None,
            crashes: 0,
            repeat: false,
        };
        let origin = Origin::Service {
            parent: Some(context),
        };
        self.call_from(origin, path);
    }

    fn call_from(&mut self, origin: Origin, path: &str) {
        self.last_call += 1;
        self.on(Event::Arrival(Box::new(Arrival {
            call: id::Call(self.last_call),
            origin,
            host: "h".into(),
            method: "POST".into(),
            path: path.into(),
            claim: None,
            replayable: true,
            digest: None,
            left: None,
            connection: id::Connection::default(),
            stale: false,
            leaving: false,
        })));
    }

    /// Delivers the responses that are due.
    fn respond(&mut self) {
        let report = Report {
            slots: 16,
            life: id::Incarnation(1),
            ..Report::default()
        };
        let mut events = Vec::new();
        for work in &mut self.work {
            let until = self.silent.get(&work.peer).copied();
            if until.is_some_and(|until| self.now < until) {
                continue;
            }
            if !work.answered && work.answers_at <= self.now {
                work.answered = true;
                let (peer, request) = (work.peer.clone(), work.request);
                events.push(Event::Answered(peer, request, 200, report));
            }
            if work.ends_at <= self.now {
                events.push(Event::Finished(work.peer.clone(), work.request, report));
            }
        }
        let now = self.now;
        self.work
            .retain(|work| !work.answered || work.ends_at > now);
        events.into_iter().for_each(|event| self.on(event));
    }

    /// Runs for a while with one call each `interval`, in turn to the paths.
    fn run(&mut self, time: Span, interval: Span, paths: &[&str]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.respond();
            if self.now.as_ms().is_multiple_of(interval.as_ms()) {
                let path = paths[self.last_call as usize % paths.len()];
                self.call(path);
            }
            self.on(Event::Tick);
        }
    }

    /// Runs at 100 calls per second.
    fn run_busy(&mut self, time: Span, path: &str) {
        self.run(time, STEP, &[path]);
    }

    fn silence(&mut self, name: &str, until: Time) {
        self.silent.insert(name.parse().expect("a name"), until);
    }

    fn sent_to(&self, name: &str, from: Time, until: Time) -> usize {
        let matches = |(at, _, peer): &&(Time, id::Call, id::Instance)| {
            peer.as_str() == name && (from..until).contains(at)
        };
        self.sent.iter().filter(matches).count()
    }

    fn count_refused(&self, code: Code) -> usize {
        self.refused
            .iter()
            .filter(|refused| **refused == code)
            .count()
    }

    /// Returns the highest number of attempts of one call.
    fn most_attempts(&self) -> usize {
        let mut attempts: BTreeMap<id::Call, usize> = BTreeMap::new();
        for (_, call, _) in &self.sent {
            *attempts.entry(*call).or_default() += 1;
        }
        attempts.into_values().max().unwrap_or(0)
    }
}

/// One of three instances falls silent for three seconds. Returns the bench, the
/// number of attempts sent there after the first 300 ms, and the calls that ended
/// with `DeadlinePassed`.
fn one_of_three_is_silent(stall_detection: bool, path: &str) -> (Bench, usize, usize) {
    let mut bench = Bench::new(stall_detection, &["b", "c", "d"]);
    bench.run_busy(WARMUP, path);
    let silent_from = bench.now;
    let silent_until = silent_from + Span::from_secs(3);
    bench.silence("d", silent_until);
    bench.run_busy(Span::from_secs(3), path);
    let noticed = silent_from + Span::from_ms(300);
    let sent = bench.sent_to("d", noticed, silent_until);
    let failed = bench.count_refused(Code::DeadlinePassed);
    (bench, sent, failed)
}

/// Guards against calls that are sent to a silent instance until its links break, and
/// wait there until their deadline.
#[test]
fn a_silent_instance_gets_probes_only() {
    let (_, sent_before, failed_before) = one_of_three_is_silent(false, "/read");
    let (bench, sent, failed) = one_of_three_is_silent(true, "/read");
    assert!(sent <= 6, "{sent} attempts in 2.7 s");
    assert!(sent_before >= 2 * sent, "{sent} instead of {sent_before}");
    assert!(failed_before >= 9, "{failed_before}");
    assert_eq!(failed, 0);
    assert_eq!(bench.counts.get(Counter::StallBegun), 1);
}

/// Guards against an instance that is avoided after it has recovered, and one whose
/// attempts that were cancelled count as failures.
#[test]
fn an_instance_that_answers_again_gets_its_share() {
    let (mut bench, ..) = one_of_three_is_silent(true, "/read");
    bench.run_busy(Span::from_secs(1), "/read");
    let recovered = bench.now;
    bench.run_busy(Span::from_secs(3), "/read");
    let sent = bench.sent_to("d", recovered, bench.now);
    assert!(sent >= 75, "{sent} of 300");
    assert_eq!(bench.counts.get(Counter::StallEnded), 1);
}

/// Guards against a second execution of a request that isn't idempotent.
#[test]
fn a_non_idempotent_request_is_sent_once() {
    let (bench, sent, _) = one_of_three_is_silent(true, "/write");
    assert_eq!(bench.most_attempts(), 1);
    assert_eq!(bench.counts.get(Counter::StallRetried), 0);
    assert!(sent <= 2, "{sent} probes of unknown outcome in 2.7 s");
}

/// Guards against instances that look silent because their requests take long: the
/// response times vary between 0.1 and 1.7 s.
fn a_long_route_is_no_silence(interval: Span, paths: &[&str]) {
    let mut bench = Bench::new(true, &["b", "c", "d"]);
    bench.response_ms = (100, 1700);
    bench.run(Span::from_secs(60), interval, paths);
    assert_eq!(bench.counts.get(Counter::StallBegun), 0);
    assert_eq!(bench.most_attempts(), 1);
}

cases! { a_long_route_is_no_silence:
    at_a_low_rate => (Span::from_ms(200), &["/slow"]),
    at_a_high_rate => (Span::from_ms(20), &["/slow"]),
}

/// Guards against responses with long bodies that look like silence.
#[test]
fn a_streaming_response_is_no_silence() {
    let mut bench = Bench::new(true, &["b", "c", "d"]);
    bench.body = Span::from_secs(5);
    bench.run(WARMUP, Span::from_ms(20), &["/slow"]);
    // No new calls, so there is no other sign of life.
    bench.run(Span::from_secs(4), Span::MAX, &["/slow"]);
    assert_eq!(bench.counts.get(Counter::StallBegun), 0);
    assert!(!bench.router.is_empty());
}

/// Guards against a node that is cut off and finds all others stalled: it has nowhere
/// else to send to, and spends its retries.
#[test]
fn when_all_are_silent_none_is_stalled() {
    let mut bench = Bench::new(true, &["b", "c", "d"]);
    bench.run_busy(WARMUP, "/read");
    let silent_from = bench.now;
    for name in ["b", "c", "d"] {
        bench.silence(name, Time::NEVER);
    }
    bench.run_busy(Span::from_secs(2), "/read");
    for name in ["b", "c", "d"] {
        let sent = bench.sent_to(name, silent_from, bench.now);
        assert!(sent > 50, "{sent} of 200 to {name}");
    }
    assert_eq!(bench.counts.get(Counter::StallRetried), 0);
    assert_eq!(bench.counts.get(Counter::StallProbed), 0);
    assert!(bench.counts.get(Counter::StallsIgnored) > 0);
}

/// Guards against a node that was paused and takes its own pause for the silence of
/// others. Its timers run before it reads the responses that arrived meanwhile.
fn a_paused_node_finds_nobody_stalled(pause: Span) {
    let mut bench = Bench::new(true, &["b", "c", "d", "e", "f"]);
    bench.response_ms = (120, 120);
    bench.run_busy(WARMUP, "/slow");
    // Calls stay open at two of five, so that stalls there would not be ignored.
    for work in &mut bench.work {
        if !["e", "f"].contains(&work.peer.as_str()) {
            work.answers_at = bench.now;
            work.ends_at = bench.now;
        }
    }
    bench.run(STEP, Span::MAX, &["/slow"]);
    let open_at = |name: &str| {
        let open = bench.work.iter().filter(|work| work.peer.as_str() == name);
        open.count()
    };
    assert!(open_at("e") >= 2 || open_at("f") >= 2);
    bench.now += pause;
    bench.on(Event::Tick);
    bench.run_busy(WARMUP, "/slow");
    assert_eq!(bench.counts.get(Counter::StallBegun), 0);
    assert_eq!(bench.most_attempts(), 1);
}

cases! { a_paused_node_finds_nobody_stalled:
    paused_for_a_moment => (Span::from_ms(400)),
    paused_for_long => (Span::from_secs(3)),
}

/// Guards against a budget that is exceeded when an instance holds many attempts, and
/// against retries that are given up although the budget allows them a little later.
#[test]
fn retries_stay_within_the_budget() {
    let mut bench = Bench::new(true, &["b", "c", "d"]);
    bench.router.set_retry_limits(Limits {
        ratio: 0.0,
        min_rate: 2.0,
        burst: 1.0,
        ..Limits::default()
    });
    bench.response_ms = (250, 350);
    bench.run_busy(WARMUP, "/slow");
    bench.silence("d", Time::NEVER);
    bench.run_busy(Span::from_secs(4), "/slow");
    let retried = bench.counts.get(Counter::StallRetried);
    let unretried = bench.counts.get(Counter::Unretried(Reason::Unknown));
    assert!((2..=9).contains(&retried), "{retried}");
    assert!(unretried > 0);
}

/// Guards against a scarce budget that is spent on unimportant calls, although an
/// instance holds important ones too.
#[test]
fn the_most_important_attempts_are_retried_first() {
    let mut bench = Bench::new(true, &["b", "c", "d"]);
    bench.router.set_retry_limits(Limits {
        ratio: 0.0,
        min_rate: 2.0,
        burst: 2.0,
        ..Limits::default()
    });
    bench.run_busy(WARMUP, "/read");
    // All calls of the warm-up end before the silence.
    bench.run(Span::from_ms(100), Span::MAX, &["/read"]);
    bench.silence("d", Time::NEVER);
    let mut held = Vec::new();
    for _ in 0..40 {
        bench.now += STEP;
        bench.respond();
        for importance in [Importance::Low, Importance::High].repeat(3) {
            let sent = bench.sent.len();
            bench.call_nested(importance, "/read");
            if bench.sent[sent].2.as_str() == "d" {
                held.push((bench.sent[sent].1, importance));
            }
        }
        bench.on(Event::Tick);
    }
    let is_retried = |call| bench.sent.iter().filter(|sent| sent.1 == call).count() > 1;
    let count = |importance, retried| {
        let matches =
            |held: &&(id::Call, Importance)| held.1 == importance && is_retried(held.0) == retried;
        held.iter().filter(matches).count()
    };
    assert!(count(Importance::High, true) >= 2, "{held:?}");
    assert!(count(Importance::Low, false) >= 1, "{held:?}");
    assert_eq!(count(Importance::Low, true), 0, "{held:?}");
}

/// Guards against an instance that returns as a new process and is still avoided.
#[test]
fn a_new_incarnation_is_not_stalled() {
    let (mut bench, ..) = one_of_three_is_silent(true, "/read");
    bench.work.retain(|work| work.peer.as_str() != "d");
    let mut reborn = peer("d", "p");
    reborn.incarnation = id::Incarnation(2);
    bench.members.insert(reborn);
    bench.silence("d", START);
    let from = bench.now;
    bench.run_busy(Span::from_ms(500), "/read");
    assert!(bench.sent_to("d", from, bench.now) >= 5);
    assert_eq!(bench.counts.get(Counter::StallEnded), 0);
}

/// Returns the share of the requests of a fleet that are answered whole while one
/// instance of its deepest pool is paused for three seconds.
fn share_with_a_paused_node(stall_detection: bool, seed: u64) -> f64 {
    let scheduling = Scheduling {
        stall_detection,
        ..Scheduling::default()
    };
    let policy = Policy {
        scheduling,
        ..Policy::default()
    };
    trial::ill(&Site::kandy(), policy, seed, Illness::Paused)
}

/// Guards against stall detection that helps in the model of one sender and does harm
/// in a fleet, with membership, admission and nested calls. Single runs differ by a few
/// requests, so three are taken together.
#[test]
fn a_fleet_loses_less_with_a_paused_node() {
    let lost = |stall_detection| -> f64 {
        let shares = (1..=3).map(|seed| share_with_a_paused_node(stall_detection, seed));
        shares.map(|share| 1.0 - share).sum()
    };
    let (off, on) = (lost(false), lost(true));
    assert!(on < 0.7 * off, "{on} instead of {off}");
}
