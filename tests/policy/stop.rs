//! What a draining node takes on and sends again, and how it ends what is left.

use bluebellswitch::{
    admission::seen::Levels,
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Context,
    document::Snapshot,
    estimate::Estimate,
    frame::Fate,
    id,
    inbound::{
        self,
        Proxy, //
    },
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
        Counts,
        DrainRefusal, //
    },
    outcome::{
        Evidence,
        Refusal,
        Report, //
    },
    policy::Policy,
    quota::Holder,
    tables::Tables,
    team::Teams,
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

const START: Time = Time::from_ms(10_000);
const ROUTES: &str = r#"[
    {"name":"short","method":"GET","path":"/short","pool":"p","deadline":"4s",
     "keyless":true,"idempotent":true},
    {"name":"order","method":"POST","path":"/order","pool":"p","deadline":"4s",
     "keyless":true,"idempotent":false}]"#;

const POOLS: &str = r#"[{"name":"p","slots":4},{"name":"front","slots":4}]"#;

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

/// A node that drains, and two instances of the pool that it calls.
struct Bench {
    now: Time,
    ends_at: Time,
    snapshot: Snapshot,
    members: Table,
    router: Router,
    proxy: Proxy,
    rng: ChaCha8Rng,
    counts: Counts,
    calls: u64,
}

/// An attempt that the router has sent.
#[derive(Clone, Debug)]
struct Sent {
    request: id::Request,
    peer: id::Instance,
    left: Span,
}

impl Bench {
    fn new(left: Span) -> Self {
        let mut members = Table::default();
        for (name, pool) in [("a", "front"), ("b", "p"), ("c", "p")] {
            members.insert(peer(name, pool));
        }
        Self {
            now: START,
            ends_at: START + left,
            snapshot: Snapshot {
                callers: None,
                evacuations: std::collections::BTreeMap::new(),
                version: id::Version(1),
                tables: Tables {
                    routes: serde_json::from_str(ROUTES).expect("rows"),
                    pools: serde_json::from_str(POOLS).expect("rows"),
                },
                teams: Teams {
                    teams: Vec::new(),
                    keys: Vec::new(),
                },
            },
            members,
            router: Router::new(&peer("a", "front")),
            proxy: Proxy::new(id::Incarnation(1), "front".parse().expect("a name"), true),
            rng: ChaCha8Rng::seed_from_u64(1),
            counts: Counts::default(),
            calls: 0,
        }
    }

    /// A node whose attempts have taken this long.
    fn trained(left: Span, latency: Span) -> Self {
        let mut bench = Self::new(left);
        let ends_at = std::mem::replace(&mut bench.ends_at, Time::NEVER);
        for path in ["/short", "/order"] {
            let sent = sent(&bench.call(path, false));
            bench.now += latency;
            bench.answer(&sent);
            bench.now = START;
        }
        bench.ends_at = ends_at;
        bench
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut env = Environment {
            snapshot: &self.snapshot,
            members: &self.members,
            quota: &mut Holder::new("a".parse().expect("a name"), id::Incarnation(1)),
            records: &bluebellswitch::record::Directory::default(),
            proxy: &mut self.proxy,
            levels: &mut Levels::default(),
            policy: Policy {
                attribution: true,
                max_reroutes: 2,
                ..Policy::default()
            },
            rng: &mut self.rng,
            counts: &mut self.counts,
            ends_at: self.ends_at,
        };
        let mut out = Vec::new();
        self.router.on(self.now, event, &mut env, &mut out);
        out
    }

    fn call(&mut self, path: &str, leaving: bool) -> Vec<Action> {
        self.calls += 1;
        self.on(Event::Arrival(Box::new(Arrival {
            call: id::Call(self.calls),
            origin: Origin::Caller { key: None },
            host: "h".into(),
            method: match path {
                "/order" => "POST",
                _ => "GET",
            }
            .into(),
            path: path.into(),
            claim: None,
            replayable: true,
            digest: None,
            left: None,
            connection: id::Connection::default(),
            stale: false,
            leaving,
        })))
    }

    /// The whole answer of an attempt arrives.
    fn answer(&mut self, sent: &Sent) -> Vec<Action> {
        let (peer, request) = (sent.peer.clone(), sent.request);
        let answered = Event::Answered(peer.clone(), request, 200, Report::default());
        let actions = self.on(answered);
        if let [Action::Deliver(call, _)] = actions[..] {
            self.router.record_delivered(call);
        }
        self.on(Event::Finished(peer, request, Report::default()));
        actions
    }

    fn refuse(&mut self, sent: &Sent, code: Code) -> Vec<Action> {
        let (peer, request) = (sent.peer.clone(), sent.request);
        self.on(Event::Refused(peer, request, code, Report::default()))
    }

    fn revoke_result(&mut self, sent: &Sent, fate: Fate) -> Vec<Action> {
        self.on(Event::RevokeResult(sent.peer.clone(), sent.request, fate))
    }

    /// Sets the time to so long before the end.
    fn before_end(&mut self, left: Span) {
        self.now = Time::from_ms(self.ends_at.as_ms() - left.as_ms());
    }

    /// A request of another node starts at the server beside this one.
    fn run_request(&mut self) {
        on_proxy(&mut self.proxy, self.now, &self.snapshot, attempt());
    }
}

fn attempt() -> inbound::Event {
    inbound::Event::Attempt {
        request: request(1),
        peer: "b".parse().expect("a name"),
        life: id::Incarnation(1),
        route: "home".parse().expect("a name"),
        context: context(),
        claim: None,
    }
}

fn request(sequence: u64) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(9),
        sequence: id::Sequence(sequence),
    }
}

/// The context of an attempt.
fn context() -> Context {
    let mut bench = Bench::new(Span::from_secs(60));
    let actions = bench.call("/short", false);
    let context = actions.into_iter().find_map(|action| match action {
        Action::Send { context, .. } => Some(context),
        _ => None,
    });
    context.expect("an attempt")
}

fn on_proxy(
    proxy: &mut Proxy,
    now: Time,
    snapshot: &Snapshot,
    event: inbound::Event,
) -> Vec<inbound::Action> {
    let mut world = inbound::World {
        snapshot,
        domain: &"d".parse().expect("a name"),
        levels: &mut Levels::default(),
        policy: Policy::default(),
        rng: &mut ChaCha8Rng::seed_from_u64(1),
        counts: &mut Counts::default(),
    };
    let mut out = Vec::new();
    proxy.on(now, event, &mut world, &mut out);
    out
}

fn find_sent(actions: &[Action]) -> Option<Sent> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            request,
            peer,
            context,
            ..
        } => Some(Sent {
            request: *request,
            peer: peer.clone(),
            left: context.left,
        }),
        _ => None,
    })
}

fn sent(actions: &[Action]) -> Sent {
    find_sent(actions).unwrap_or_else(|| panic!("no attempt: {actions:?}"))
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(*refusal),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> (Code, Option<Evidence>) {
    assert!(find_sent(actions).is_none(), "{actions:?}");
    let refusal = refusal(actions).unwrap_or_else(|| panic!("no refusal: {actions:?}"));
    (refusal.code(), refusal.evidence())
}

const NOT_TAKEN: (Code, Option<Evidence>) = (Code::Leaving, Some(Evidence::Unsent));

/// Guards against a call that is sent although its deadline lies beyond the end of its
/// node and nothing is known of its latency.
#[test]
fn without_samples_a_call_may_take_all_of_its_time() {
    let mut bench = Bench::new(Span::from_ms(3900));
    let actions = bench.call("/order", false);
    assert_eq!(refused(&actions), NOT_TAKEN);
    let shortage = refusal(&actions).and_then(|refusal| refusal.drain());
    let shortage = shortage.expect("the reason");
    assert_eq!(shortage.left, Span::from_ms(3900));
    assert_eq!(shortage.needed, Span::from_secs(4));
    let too_late = Counter::DrainRefused(DrainRefusal::TooLate);
    assert_eq!(bench.counts.get(too_late), 1);
    sent(&Bench::new(Span::from_secs(4)).call("/order", false));
}

/// Guards against calls that are refused for their deadline although they take far less.
#[test]
fn a_call_is_taken_as_long_as_its_usual_latency_fits() {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(300));
    bench.before_end(Span::from_ms(900));
    let attempt = sent(&bench.call("/order", false));
    assert_eq!(attempt.left, Span::from_ms(900));
    bench.before_end(Span::from_ms(899));
    assert_eq!(refused(&bench.call("/order", false)), NOT_TAKEN);
}

/// Guards against a call that is taken by the latency of fast calls, while slow ones that
/// came before it have no answer yet.
#[test]
fn a_call_is_not_taken_if_earlier_ones_run_for_longer_than_fits() {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(100));
    bench.before_end(Span::from_ms(3500));
    sent(&bench.call("/order", false));
    bench.before_end(Span::from_ms(1500));
    assert_eq!(refused(&bench.call("/order", false)), NOT_TAKEN);
}

/// Sends a call, lets its attempt fail so long before the end of the node, and waits for
/// the backoff.
fn after_failure(left: Span, code: Code) -> (Option<Sent>, Option<Refusal>) {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(300));
    let attempt = sent(&bench.call("/short", false));
    bench.before_end(left);
    let mut actions = bench.refuse(&attempt, code);
    bench.now += Span::from_ms(500);
    actions.extend(bench.on(Event::Tick));
    (find_sent(&actions), refusal(&actions))
}

/// Guards against a reroute or retry that is cut when its node ends.
fn a_call_is_sent_again_only_if_it_fits(code: Code, evidence: Option<Evidence>) {
    let (again, refusal) = after_failure(Span::from_ms(2000), code);
    assert!(again.is_some(), "{refusal:?}");
    let (again, refusal) = after_failure(Span::from_ms(800), code);
    assert!(again.is_none(), "{again:?}");
    let refusal = refusal.expect("a refusal");
    assert_eq!(refusal.evidence(), evidence, "{refusal:?}");
}

cases! { a_call_is_sent_again_only_if_it_fits:
    rerouted => (Code::QueueFull, Some(Evidence::NotStarted)),
    from_a_leaving_instance => (Code::Leaving, Some(Evidence::NotStarted)),
    retried => (Code::UpstreamCut, None),
}

/// Guards against a call that is sent after its backoff, when it no longer fits.
#[test]
fn a_call_that_no_longer_fits_after_its_backoff_is_not_sent() {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(300));
    let attempt = sent(&bench.call("/short", false));
    bench.before_end(Span::from_ms(950));
    let actions = bench.refuse(&attempt, Code::UpstreamCut);
    assert_eq!(refusal(&actions), None, "{actions:?}");
    bench.before_end(Span::from_ms(800));
    let (code, evidence) = refused(&bench.on(Event::Tick));
    assert_eq!((code, evidence), (Code::UpstreamCut, None));
}

/// Guards against late requests of callers that pass for calls of a running request,
/// because their route needs no key.
#[test]
fn a_late_call_without_a_key_is_taken_only_for_a_running_request() {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(50));
    bench.before_end(Span::from_secs(2));
    assert_eq!(refused(&bench.call("/short", true)), NOT_TAKEN);
    let closed = Counter::DrainRefused(DrainRefusal::Closed);
    assert_eq!(bench.counts.get(closed), 1);
    bench.run_request();
    sent(&bench.call("/short", true));
    bench.before_end(Span::from_ms(100));
    assert_eq!(refused(&bench.call("/short", true)), NOT_TAKEN);
}

/// The attempt that is asked not to start when its node is about to end.
fn queried(bench: &mut Bench) -> Sent {
    let attempt = sent(&bench.call("/order", false));
    bench.before_end(Span::from_ms(400));
    assert_eq!(bench.on(Event::Tick), []);
    bench.before_end(Span::from_ms(350));
    let actions = bench.on(Event::Tick);
    let [
        Action::Revoke {
            request,
            unless_running: true,
            ..
        },
    ] = &actions[..]
    else {
        panic!("{actions:?}")
    };
    assert_eq!(*request, attempt.request);
    assert_eq!(bench.on(Event::Tick), []);
    attempt
}

/// Guards against a call that waits for a slot until its node ends, and is then answered
/// as if it might have run.
#[test]
fn a_call_that_has_not_started_is_refused_before_the_end() {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(50));
    let attempt = queried(&mut bench);
    let actions = bench.revoke_result(&attempt, Fate::Revoked);
    let expected = (Code::Leaving, Some(Evidence::Revoked));
    assert_eq!(refused(&actions), expected);
    assert!(bench.router.is_empty());
}

/// Guards against a running call that fails because its inbound proxy was asked about it.
fn a_call_that_may_have_started_is_still_answered(fate: Fate) {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(50));
    let attempt = queried(&mut bench);
    assert_eq!(bench.revoke_result(&attempt, fate), []);
    let actions = bench.answer(&attempt);
    assert!(matches!(actions[..], [Action::Deliver(..)]), "{actions:?}");
}

cases! { a_call_that_may_have_started_is_still_answered:
    running => (Fate::Running),
    ended => (Fate::Ended),
    forgotten => (Fate::Forgotten),
}

/// Guards against a call that is refused as not run although its attempt runs.
#[test]
fn a_running_call_is_cut_at_the_end_with_an_unknown_outcome() {
    let mut bench = Bench::trained(Span::from_secs(3), Span::from_ms(50));
    let attempt = queried(&mut bench);
    bench.revoke_result(&attempt, Fate::Running);
    assert_eq!(bench.router.open_calls().begun, 1);
    bench.now = bench.ends_at;
    let actions = bench.on(Event::Stop);
    assert_eq!(refused(&actions), (Code::NodeStopped, None));
}

/// Guards against an inbound proxy that aborts a running attempt because a stopping node
/// asks about it.
#[test]
fn an_attempt_that_runs_goes_on_when_it_is_asked_about() {
    let mut bench = Bench::new(Span::from_secs(5));
    bench.run_request();
    let ask = |unless_running| inbound::Event::Revoke {
        request: request(1),
        peer: "b".parse().expect("a name"),
        life: id::Incarnation(1),
        left: Span::from_secs(1),
        unless_running,
    };
    let fate = || {
        let peer = "b".parse().expect("a name");
        inbound::Action::Fate(peer, request(1), Fate::Running)
    };
    let actions = on_proxy(&mut bench.proxy, bench.now, &bench.snapshot, ask(true));
    assert_eq!(actions, [fate()]);
    let actions = on_proxy(&mut bench.proxy, bench.now, &bench.snapshot, ask(false));
    assert!(
        actions.contains(&inbound::Action::Abort(request(1))),
        "{actions:?}"
    );
}

/// Returns the share of latencies between the bounds that an estimate covers, which has
/// seen as many before.
fn share_covered(seed: u64, least_ms: u64, most_ms: u64) -> f64 {
    const SAMPLES: usize = 10_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut estimate = Estimate::new(Span::from_ms(least_ms));
    let mut covered = 0;
    for _ in 0..SAMPLES {
        let sample = Span::from_ms(rng.random_range(least_ms..most_ms));
        covered += usize::from(sample <= estimate.bound());
        estimate.record(sample);
    }
    covered as f64 / SAMPLES as f64
}

/// Guards against an estimate below which many requests do not end.
fn an_estimate_covers_nearly_all_latencies(least_ms: u64, most_ms: u64) {
    for seed in 1..=4 {
        let covered = share_covered(seed, least_ms, most_ms);
        assert!(covered >= 0.99, "{covered}");
    }
}

cases! { an_estimate_covers_nearly_all_latencies:
    alike => (90, 110),
    short_and_medium => (50, 1300),
    short_and_long => (50, 3900),
}

/// Guards against an estimate that forgets a slow request after some fast ones.
#[test]
fn an_estimate_covers_the_slow_ones_of_many_requests() {
    let slow = Span::from_ms(3800);
    let mut estimate = Estimate::new(slow);
    for _ in 0..60 {
        estimate.record(Span::from_ms(50));
    }
    assert!(estimate.bound() >= slow, "{}", estimate.bound());
    for _ in 0..70 {
        estimate.record(Span::from_ms(50));
    }
    assert!(
        estimate.bound() < Span::from_ms(300),
        "{}",
        estimate.bound()
    );
}

#[test]
fn an_estimate_has_a_lower_bound() {
    let mut estimate = Estimate::new(Span::from_ms(1));
    for _ in 0..100 {
        estimate.record(Span::from_ms(1));
    }
    assert_eq!(estimate.bound(), Span::from_ms(200));
}

/// Guards against an estimate that stays low because the slow requests never end.
#[test]
fn requests_that_do_not_end_raise_an_estimate_and_never_lower_it() {
    let mut estimate = Estimate::new(Span::from_secs(1));
    let before = estimate;
    estimate.record_unfinished(Span::from_secs(2));
    assert_eq!(estimate, before);
    estimate.record_unfinished(Span::from_secs(4));
    assert!(estimate.bound() > before.bound());
}

/// Guards against an estimate that forgets rare long requests between them.
#[test]
fn an_estimate_covers_one_long_request_in_twenty() {
    let mut estimate = Estimate::new(Span::from_ms(50));
    let mut over = 0;
    for number in 0..2000 {
        let sample = Span::from_ms(if number % 20 == 0 { 3900 } else { 50 });
        if number > 100 && sample > estimate.bound() {
            over += 1;
        }
        estimate.record(sample);
    }
    assert!(over < 19, "{over} of 1900 exceed the bound");
}

/// Guards against a late request of a caller that passes for a call of an unrelated
/// running request, is sent, and is cut at the end while it runs.
#[test]
fn a_late_request_that_may_be_long_is_not_taken_for_an_unrelated_one() {
    let mut bench = Bench::new(Span::from_secs(3));
    let ends_at = std::mem::replace(&mut bench.ends_at, Time::NEVER);
    for number in 0..100 {
        let latency = Span::from_ms(if number % 20 == 0 { 3900 } else { 50 });
        let attempt = sent(&bench.call("/order", false));
        bench.now += latency;
        bench.answer(&attempt);
    }
    bench.now = START;
    bench.ends_at = ends_at;
    bench.run_request();
    bench.before_end(Span::from_ms(1500));
    let taken = find_sent(&bench.call("/order", true));
    bench.now = bench.ends_at;
    let cut = refusal(&bench.on(Event::Stop));
    assert!(taken.is_none(), "taken {taken:?}, then {cut:?}");
}
