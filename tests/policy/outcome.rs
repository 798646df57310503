//! What callers are told about whether their requests have run.

use std::collections::BTreeMap;

use bluebellswitch::{
    admission::seen::Levels,
    clock::{
        Span,
        Time, //
    },
    code::{
        Code,
        Verdict, //
    },
    document::Snapshot,
    frame::Fate,
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
    outcome::{
        Evidence,
        Exposure,
        NotRun,
        Report, //
    },
    policy::Policy,
    quota::Holder,
    retry::Limits,
    tables::Tables,
    team::Teams, //
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const INSTANCES: [&str; 3] = ["b", "c", "d"];
/// Statuses that promise that a request has not run.
const PROMISING_STATUSES: &[u16] = &[408, 421, 429, 503];

/// Codes with which an inbound proxy refuses what it has not started.
const REFUSALS: [Code; 15] = [
    Code::KeyWithdrawn,
    Code::KeyReused,
    Code::Shed,
    Code::QueueFull,
    Code::QueueTimeout,
    Code::DeadlineUnfit,
    Code::Leaving,
    Code::UpstreamAbsent,
    Code::Revoked,
    Code::UpstreamRefused,
    Code::RecordUnavailable,
    Code::UpstreamRejected,
    Code::UpstreamCold,
    Code::Evacuated,
    Code::UpstreamLimited,
];

/// What happens next. Numbers select one of the calls or attempts so far.
#[derive(Clone, Debug)]
enum Step {
    Call {
        is_order: bool,
        replayable: bool,
    },
    Refuse {
        attempt: usize,
        code: usize,
    },
    Answer {
        attempt: usize,
        status: u16,
    },
    Finish {
        attempt: usize,
    },
    Unsent {
        attempt: usize,
    },
    LinkLost {
        attempt: usize,
    },
    Fate {
        attempt: usize,
        fate: Fate,
    },
    AnswerLost {
        attempt: usize,
    },
    HangUp {
        call: usize,
    },
    /// The instance leaves the table of members, or comes back.
    Toggle {
        instance: usize,
    },
    Wait {
        ms: u64,
    },
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let attempt = 0..64_usize;
    let fate = prop_oneof![
        Just(Fate::Revoked),
        Just(Fate::Running),
        Just(Fate::Ended),
        Just(Fate::Forgotten),
    ];
    let status = prop_oneof![Just(200_u16), Just(404), Just(429), Just(500), Just(503)];
    prop_oneof![
        4 => any::<(bool, bool)>().prop_map(|(is_order, replayable)| Step::Call {
            is_order,
            replayable
        }),
        6 => (attempt.clone(), 0..Code::ALL.len())
            .prop_map(|(attempt, code)| Step::Refuse { attempt, code }),
        3 => (attempt.clone(), status)
            .prop_map(|(attempt, status)| Step::Answer { attempt, status }),
        2 => attempt.clone().prop_map(|attempt| Step::Finish { attempt }),
        2 => attempt.clone().prop_map(|attempt| Step::Unsent { attempt }),
        3 => attempt.clone().prop_map(|attempt| Step::LinkLost { attempt }),
        3 => (attempt.clone(), fate).prop_map(|(attempt, fate)| Step::Fate { attempt, fate }),
        1 => attempt.prop_map(|attempt| Step::AnswerLost { attempt }),
        1 => (0..16_usize).prop_map(|call| Step::HangUp { call }),
        2 => (0..INSTANCES.len()).prop_map(|instance| Step::Toggle { instance }),
        4 => (1..3000_u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Stop),
    ]
}

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

/// An attempt, as this test knows it.
struct Attempt {
    call: id::Call,
    peer: id::Instance,
    request: id::Request,
    /// Status of its answer.
    status: Option<u16>,
    /// It was proved that it has not run.
    has_not_run: bool,
}

struct Play {
    now: Time,
    router: Router,
    proxy: Proxy,
    snapshot: Snapshot,
    members: Table,
    rng: ChaCha8Rng,
    orders: BTreeMap<id::Call, bool>,
    attempts: Vec<Attempt>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let rows = r#"[
            {"name":"read","method":"GET","path":"/","pool":"p","deadline":"5s","retries":2,
             "keyless":true,"idempotent":true},
            {"name":"order","method":"POST","path":"/","pool":"p","deadline":"5s","retries":2,
             "keyless":true,"idempotent":false}]"#;
        let mut members = Table::default();
        members.insert(peer("a", "front"));
        for name in INSTANCES {
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
            proxy: Proxy::new(id::Incarnation(1), "front".parse().expect("a name"), true),
            snapshot: Snapshot {
                callers: None,
                evacuations: BTreeMap::new(),
                version: id::Version(1),
                tables: Tables {
                    routes: serde_json::from_str(rows).expect("rows"),
                    pools: vec![serde_json::from_str(r#"{"name":"p"}"#).expect("a row")],
                },
                teams: Teams::default(),
            },
            members,
            rng: ChaCha8Rng::seed_from_u64(seed),
            orders: BTreeMap::new(),
            attempts: Vec::new(),
        }
    }

    fn event(&mut self, step: &Step) -> Option<Event> {
        let count = self.attempts.len().max(1);
        let report = Report::default();
        let event = match *step {
            Step::Call {
                is_order,
                replayable,
            } => return Some(self.arrival(is_order, replayable)),
            Step::Refuse { attempt, code } => {
                let code = Code::ALL[code];
                let attempt = self.attempts.get_mut(attempt % count)?;
                attempt.has_not_run |= REFUSALS.contains(&code) && attempt.status.is_none();
                Event::Refused(attempt.peer.clone(), attempt.request, code, report)
            }
            Step::Answer { attempt, status } => {
                let attempt = self.attempts.get_mut(attempt % count)?;
                if attempt.has_not_run {
                    return None;
                }
                attempt.status.get_or_insert(status);
                Event::Answered(attempt.peer.clone(), attempt.request, status, report)
            }
            Step::Finish { attempt } => {
                let attempt = self.attempts.get_mut(attempt % count)?;
                if attempt.has_not_run {
                    return None;
                }
                attempt.status.get_or_insert(200);
                Event::Finished(attempt.peer.clone(), attempt.request, report)
            }
            Step::Unsent { attempt } => {
                let attempt = self.attempts.get_mut(attempt % count)?;
                if attempt.status.is_some() {
                    return None;
                }
                attempt.has_not_run = true;
                Event::AttemptUnsent(attempt.request)
            }
            Step::LinkLost { attempt } => {
                let attempt = self.attempts.get(attempt % count)?;
                Event::LinkLost(attempt.peer.clone(), vec![attempt.request])
            }
            Step::Fate { attempt, fate } => {
                let attempt = self.attempts.get_mut(attempt % count)?;
                if fate == Fate::Revoked && attempt.status.is_some() {
                    return None;
                }
                attempt.has_not_run |= fate == Fate::Revoked;
                Event::RevokeResult(attempt.peer.clone(), attempt.request, fate)
            }
            Step::AnswerLost { attempt } => {
                let attempt = self.attempts.get(attempt % count)?;
                Event::AnswerLost(attempt.call, attempt.request)
            }
            Step::HangUp { call } => Event::CallerGone(id::Call(call as u64)),
            Step::Toggle { instance } => {
                let name = INSTANCES[instance];
                let name_id: id::Instance = name.parse().expect("a name");
                let mut peer = peer(name, "p");
                peer.ready = self.members.get(&name_id).is_none_or(|peer| !peer.ready);
                self.members.insert(peer);
                Event::Tick
            }
            Step::Wait { ms } => {
                self.now += Span::from_ms(ms);
                Event::Tick
            }
            Step::Stop => Event::Stop,
        };
        Some(event)
    }

    fn arrival(&mut self, is_order: bool, replayable: bool) -> Event {
        let call = id::Call(self.orders.len() as u64);
        self.orders.insert(call, is_order);
        Event::Arrival(Box::new(Arrival {
            call,
            origin: Origin::Caller { key: None },
            host: "h".into(),
            method: if is_order { "POST" } else { "GET" }.into(),
            path: "/".into(),
            claim: None,
            replayable,
            digest: None,
            left: None,
            connection: id::Connection::default(),
            stale: false,
            leaving: false,
        }))
    }

    fn on(&mut self, event: Event) -> Vec<Action> {
        let mut world = Environment {
            snapshot: &self.snapshot,
            members: &self.members,
            quota: &mut Holder::new("a".parse().expect("a name"), id::Incarnation(1)),
            records: &bluebellswitch::record::Directory::default(),
            proxy: &mut self.proxy,
            levels: &mut Levels::default(),
            policy: Policy {
                max_reroutes: 2,
                max_rejection_retries: 4,
                promising_statuses: PROMISING_STATUSES,
                ..Policy::default()
            },
            rng: &mut self.rng,
            counts: &mut Counts::default(),
            ends_at: Time::NEVER,
        };
        let mut out = Vec::new();
        self.router.on(self.now, event, &mut world, &mut out);
        out
    }

    fn may_have_run(&self, call: id::Call) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.call == call && !attempt.has_not_run)
    }

    /// Returns what is wrong with an action, if anything is.
    fn judge(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Send {
                call,
                request,
                peer,
                ..
            } => {
                if self.orders[&call] && self.may_have_run(call) {
                    return Err(format!("order {call} is sent again"));
                }
                self.attempts.push(Attempt {
                    call,
                    peer,
                    request,
                    status: None,
                    has_not_run: false,
                });
            }
            Action::Refuse(call, refusal) => {
                let promises = refusal.code().verdict() == Verdict::NotRun;
                if promises && self.may_have_run(call) {
                    return Err(format!("{call} is refused with {:?}", refusal.code()));
                }
                if promises != refusal.evidence().is_some() {
                    return Err(format!("{refusal:?} has the wrong evidence"));
                }
            }
            Action::Deliver(call, request) => {
                let mut attempts = self.attempts.iter();
                let attempt = attempts.find(|attempt| attempt.request == request);
                let Some(status) = attempt.and_then(|attempt| attempt.status) else {
                    return Err(format!("{call} gets an answer that never came"));
                };
                if self.orders[&call] && PROMISING_STATUSES.contains(&status) {
                    return Err(format!("order {call} gets {status}"));
                }
            }
            _ => {}
        }
        Ok(())
    }
}

fn request(sequence: u64) -> id::Request {
    id::Request {
        incarnation: id::Incarnation(1),
        sequence: id::Sequence(sequence),
    }
}

/// A sent attempt of which nothing more is known may have run.
#[test]
fn a_call_is_exposed_from_its_first_attempt_on() {
    let mut exposure = Exposure::default();
    let refusal = exposure.refuse(Code::QueueFull);
    assert_eq!(refusal.evidence(), Some(Evidence::Unsent));
    exposure.begin(request(1));
    let refusal = exposure.refuse(Code::QueueFull);
    assert_eq!((refusal.code(), refusal.evidence()), (Code::LinkLost, None));
}

/// A proof counts for its own attempt only.
#[test]
fn a_proof_of_another_attempt_proves_nothing() {
    let mut exposure = Exposure::default();
    exposure.begin(request(1));
    exposure.disprove(request(2), NotRun::unsent());
    assert!(exposure.may_have_run());
    exposure.disprove(request(1), NotRun::revoked());
    let refusal = exposure.refuse(Code::QueueFull);
    assert_eq!(refusal.evidence(), Some(Evidence::Revoked));
}

/// An attempt that is sent before the outcome of the one before is known leaves it unknown.
#[test]
fn a_later_attempt_proves_nothing_about_an_earlier_one() {
    let mut exposure = Exposure::default();
    exposure.begin(request(1));
    exposure.begin(request(2));
    exposure.disprove(request(2), NotRun::unsent());
    let refusal = exposure.refuse(Code::QueueFull);
    assert_eq!((refusal.code(), refusal.evidence()), (Code::LinkLost, None));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4096,
        rng_seed: proptest::test_runner::RngSeed::Fixed(60),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A request that may have run is never said not to have run, nor is an order sent again.
    #[test]
    fn no_refusal_claims_more_than_is_proved(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut play = Play::new(seed);
        for step in &steps {
            let Some(event) = play.event(step) else {
                continue;
            };
            for action in play.on(event) {
                let judged = play.judge(action);
                prop_assert!(judged.is_ok(), "{:?} after {:?}", judged, step);
            }
        }
    }
}
