//! Upstreams that answer that they have not run a request.

use bluebellswitch::{
    admission::seen::Levels,
    clock::{
        Span,
        Time, //
    },
    code::Code,
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
    metric::Counts,
    outcome::Report,
    policy::Policy,
    quota::Holder,
    retry::Limits,
    tables::Tables,
    team::Teams, //
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

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

struct Bench {
    now: Time,
    router: Router,
    snapshot: Snapshot,
    members: Table,
    policy: Policy,
}

impl Bench {
    fn new(instances: &[&str]) -> Self {
        let row = r#"{"name":"read","path":"/read","pool":"p","deadline":"5s","retries":1,
            "keyless":true,"idempotent":true}"#;
        let mut members = Table::default();
        members.insert(peer("a", "front"));
        for name in instances {
            members.insert(peer(name, "p"));
        }
        let mut router = Router::new(&peer("a", "front"));
        router.set_retry_limits(Limits {
            min_rate: 100.0,
            burst: 100.0,
            ..Limits::default()
        });
        Self {
            now: Time::from_ms(1000),
            router,
            snapshot: Snapshot {
                callers: None,
                evacuations: std::collections::BTreeMap::new(),
                version: id::Version(1),
                tables: Tables {
                    routes: vec![serde_json::from_str(row).expect("a row")],
                    pools: vec![serde_json::from_str(r#"{"name":"p"}"#).expect("a row")],
                },
                teams: Teams::default(),
            },
            members,
            policy: Policy {
                max_reroutes: 2,
                max_rejection_retries: 4,
                attribution: true,
                ..Policy::default()
            },
        }
    }

    /// Takes an event and waits until a backoff is over.
    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut proxy = Proxy::new(id::Incarnation(1), "front".parse().expect("a name"), true);
        let mut world = Environment {
            snapshot: &self.snapshot,
            members: &self.members,
            quota: &mut Holder::new("a".parse().expect("a name"), id::Incarnation(1)),
            records: &bluebellswitch::record::Directory::default(),
            proxy: &mut proxy,
            levels: &mut Levels::default(),
            policy: self.policy,
            rng: &mut ChaCha8Rng::seed_from_u64(1),
            counts: &mut Counts::default(),
            ends_at: Time::NEVER,
        };
        let mut out = Vec::new();
        self.router.on(self.now, event, &mut world, &mut out);
        self.now += Span::from_ms(100);
        self.router.on(self.now, Event::Tick, &mut world, &mut out);
        out
    }

    fn call(&mut self) -> Vec<Action> {
        self.on(Event::Arrival(Box::new(Arrival {
            call: id::Call(1),
            origin: Origin::Caller { key: None },
            host: "h".into(),
            method: "GET".into(),
            path: "/read".into(),
            claim: None,
            replayable: true,
            digest: None,
            left: None,
            connection: id::Connection::default(),
            stale: false,
            leaving: false,
        })))
    }

    fn refused(&mut self, sent: &(id::Instance, id::Request), code: Code) -> Vec<Action> {
        let report = Report::default();
        self.on(Event::Refused(sent.0.clone(), sent.1, code, report))
    }
}

fn sent(actions: &[Action]) -> Option<(id::Instance, id::Request)> {
    actions.iter().find_map(|action| match action {
        Action::Send { peer, request, .. } => Some((peer.clone(), *request)),
        _ => None,
    })
}

fn refused(actions: &[Action], code: Code) -> bool {
    let mut codes = actions.iter().filter_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal.code()),
        _ => None,
    });
    codes.any(|refused| refused == code)
}

/// All servers of a service shed every other call. A call that two of them had
/// refused failed, and with it the request that had made it and three calls
/// more. It may go to no third server, but it may ask the two again.
#[test]
fn a_rejected_call_asks_the_same_servers_again() {
    let mut bench = Bench::new(&["b", "c", "d"]);
    let mut asked = Vec::new();
    let mut actions = bench.call();
    while let Some(one) = sent(&actions) {
        asked.push(one.0.clone());
        actions = bench.refused(&one, Code::UpstreamRejected);
    }
    assert_eq!(asked.len(), 5, "{asked:?}");
    assert!(asked[2..].iter().all(|name| asked[..2].contains(name)));
    assert!(refused(&actions, Code::UpstreamRejected));
}

/// One instance is left, and its queue is full. Going on to another instance
/// meant asking the same one twice more, with all three waits: the caller heard
/// after a second what was known after a third of one.
#[test]
fn a_full_queue_is_not_asked_again_at_once() {
    let mut bench = Bench::new(&["b"]);
    let one = sent(&bench.call()).expect("it is sent");
    let actions = bench.refused(&one, Code::QueueTimeout);
    assert_eq!(sent(&actions), None);
    assert!(refused(&actions, Code::QueueTimeout));
}
