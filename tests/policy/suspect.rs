//! Requests under which upstreams end: what is counted, held back, tried and forgotten.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    id,
    inbound::{
        Action,
        End,
        Event, //
    },
    suspect::{
        Judgement,
        MAX_ENDS,
        MAX_ENTRIES,
        Message,
        Seen,
        Suspects,
        Work, //
    },
};
use proptest::prelude::*;

use super::inbound::Bench;

const POOL: &str = r#"{ "name": "p", "slots": 4 }"#;
/// A first attempt.
const NOTHING: Seen = Seen {
    since: Time::ZERO,
    ends: 0,
};
/// Longer than any request is held back or remembered.
const EVENTUALLY: Span = Span::from_secs(301);
/// Longer than the first hold and the spread of trials.
const FIRST_HOLD: Span = Span::from_secs(4);

fn at(ms: u64) -> Time {
    Time::from_ms(1_000_000 + ms)
}

fn work(team: &str, digest: u64) -> Work {
    Work {
        team: team.parse().expect("a name"),
        route: "view".parse().expect("a name"),
        digest: id::Digest(digest),
    }
}

/// Suspects after two ends in sequence under one request.
fn suspected(work: &Work) -> Suspects {
    let mut suspects = Suspects::new(1);
    suspects.record_end(at(10), work, at(0), NOTHING);
    suspects.record_end(at(30), work, at(20), NOTHING);
    assert_eq!(suspects.judge(at(31), work, NOTHING), Judgement::Held);
    suspects
}

/// Guards against one team's requests being refused for those of another.
#[test]
fn other_teams_are_not_suspected() {
    let suspects = suspected(&work("mill", 7));
    assert_eq!(
        suspects.judge(at(31), &work("kiln", 7), NOTHING),
        Judgement::Clear
    );
}

/// Guards against suspicion of a common request because upstreams fail together.
#[test]
fn ends_of_runs_in_parallel_count_once() {
    let common = work("mill", 7);
    let mut suspects = Suspects::new(1);
    for end in 10..20 {
        suspects.record_end(at(end), &common, at(5), NOTHING);
    }
    assert_eq!(suspects.judge(at(20), &common, NOTHING), Judgement::Clear);
}

/// Guards against a third run of a call whose own two attempts have ended upstreams, at a
/// proxy that no message has reached.
#[test]
fn ends_that_a_call_has_seen_count_at_once() {
    let suspects = Suspects::new(1);
    let seen = Seen {
        since: at(0),
        ends: MAX_ENDS,
    };
    let judgement = suspects.judge(at(0), &work("mill", 7), seen);
    assert_eq!(judgement, Judgement::Held);
}

/// Guards against a retry that passes as the second run, since the end before it was an
/// earlier call's.
#[test]
fn ends_of_an_earlier_call_are_added() {
    let fatal = work("mill", 7);
    let mut suspects = Suspects::new(1);
    suspects.record_end(at(10), &fatal, at(0), NOTHING);
    let retry = |since| Seen { since, ends: 1 };
    assert_eq!(
        suspects.judge(at(30), &fatal, retry(at(5))),
        Judgement::Clear
    );
    assert_eq!(
        suspects.judge(at(30), &fatal, retry(at(20))),
        Judgement::Held
    );
}

#[test]
fn answer_clears_a_request() {
    let cleared = work("mill", 7);
    let mut suspects = suspected(&cleared);
    assert!(
        !suspects.record_answer(&cleared, at(5)),
        "it ran before the first end"
    );
    assert!(suspects.record_answer(&cleared, at(15)));
    assert_eq!(suspects.judge(at(31), &cleared, NOTHING), Judgement::Clear);
}

/// Guards against several trials at once, and against a trial after one that ended an
/// upstream.
#[test]
fn trial_is_single_and_the_last_if_it_ends_an_upstream() {
    let fatal = work("mill", 7);
    let mut suspects = suspected(&fatal);
    let mut other = Suspects::new(2);
    let trial = at(30) + FIRST_HOLD;
    assert_eq!(suspects.judge(trial, &fatal, NOTHING), Judgement::Trial);
    let report = suspects.record_start(trial, &fatal).expect("a trial");
    other.learn(trial, &Message::Ended(vec![report]));
    for suspects in [&suspects, &other] {
        assert_eq!(suspects.judge(trial, &fatal, NOTHING), Judgement::Held);
    }
    let end = suspects.record_end(trial, &fatal, trial, NOTHING);
    other.learn(trial, &Message::Ended(vec![end.expect("an end")]));
    for suspects in [&mut suspects, &mut other] {
        for seconds in 1..300 {
            let now = trial + Span::from_secs(seconds);
            suspects.tick(now);
            assert_eq!(suspects.judge(now, &fatal, NOTHING), Judgement::Held);
        }
        let forgotten = trial + Span::from_secs(300);
        suspects.tick(forgotten);
        let judgement = suspects.judge(forgotten, &fatal, NOTHING);
        assert_eq!(judgement, Judgement::Clear);
    }
}

/// Guards against a request that is held back longer since its trial never ran.
#[test]
fn trial_that_shows_nothing_lets_another_begin() {
    let common = work("mill", 7);
    let mut suspects = suspected(&common);
    let now = at(30) + FIRST_HOLD;
    suspects.record_start(now, &common).expect("a trial");
    let report = suspects.record_nothing(now, &common, now);
    let mut other = suspected(&common);
    other.learn(now, &Message::Released(vec![report.expect("a release")]));
    for suspects in [suspects, other] {
        let later = now + Span::from_secs(1);
        assert_eq!(suspects.judge(later, &common, NOTHING), Judgement::Trial);
    }
}

/// Guards against a proxy that has restarted and lets a suspect run.
#[test]
fn suspects_are_repeated_for_proxies_that_start() {
    let fatal = work("mill", 7);
    let mut suspects = suspected(&fatal);
    let reports = suspects.tick(at(40));
    let mut started = Suspects::new(2);
    started.learn(at(40), &Message::Ended(reports));
    assert_eq!(started.judge(at(41), &fatal, NOTHING), Judgement::Held);
}

#[test]
fn suspects_are_forgotten_in_the_end() {
    let mut suspects = suspected(&work("mill", 7));
    suspects.tick(at(30) + EVENTUALLY);
    assert!(suspects.is_empty());
}

/// Guards against memory that grows with ever new requests, and against suspects that are
/// forgotten for them.
#[test]
fn memory_is_bounded_and_keeps_suspects() {
    let fatal = work("mill", u64::MAX);
    let mut suspects = suspected(&fatal);
    for digest in 0..2 * MAX_ENTRIES as u64 {
        suspects.record_end(at(1000 + digest), &work("kiln", digest), at(0), NOTHING);
    }
    assert_eq!(suspects.len(), MAX_ENTRIES);
    assert_eq!(suspects.judge(at(100), &fatal, NOTHING), Judgement::Held);
}

fn refusals(actions: &[Action]) -> Vec<Code> {
    let code = |action: &Action| match action {
        Action::Refuse(_, _, code, _) => Some(*code),
        _ => None,
    };
    actions.iter().filter_map(code).collect()
}

/// A request that ends its upstream runs twice, and is then refused without a run; one
/// whose body is streamed can't be recognized.
fn crashes(digest: Option<u64>, refused: Vec<Code>) {
    let mut bench = Bench::new(POOL);
    for _ in 0..MAX_ENDS {
        let (request, actions) = bench.attempt(|context| context.digest = digest.map(id::Digest));
        assert!(refusals(&actions).is_empty());
        let actions = bench.on(Event::Ended(request, End::Crashed));
        assert_eq!(refusals(&actions), [Code::UpstreamEnded]);
        bench.now += Span::from_secs(1);
    }
    let (_, actions) = bench.attempt(|context| context.digest = digest.map(id::Digest));
    assert_eq!(refusals(&actions), refused);
}

cases! { crashes:
    fatal_request_is_refused_without_a_run => (Some(7), vec![Code::Suspect]),
    streamed_request_is_not_recognized => (None, vec![]),
}

#[derive(Clone, Debug)]
enum Step {
    Run { proxy: usize, fatal: bool },
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_usize, any::<bool>()).prop_map(|(proxy, fatal)| Step::Run { proxy, fatal }),
        1 => (1..5_000_u64).prop_map(Step::Pass),
    ]
}

/// Guards against more ends under one request than the holds allow, in any order of
/// requests at the proxies of a pool whose messages arrive, and against harmless requests
/// that are held back.
fn in_any_order(steps: Vec<Step>) {
    let (fatal, harmless) = (work("mill", 1), work("mill", 2));
    let mut proxies: Vec<_> = (0..4).map(Suspects::new).collect();
    let mut now = at(0);
    let mut ends = Vec::new();
    for step in steps {
        now += Span::from_ms(1);
        let (proxy, work) = match step {
            Step::Pass(ms) => {
                now += Span::from_ms(ms);
                continue;
            }
            Step::Run { proxy, fatal: true } => (proxy, &fatal),
            Step::Run { proxy, .. } => (proxy, &harmless),
        };
        if proxies[proxy].judge(now, work, NOTHING) == Judgement::Held {
            assert_eq!(work, &fatal);
            continue;
        }
        let started = now;
        let trial = proxies[proxy].record_start(now, work);
        now += Span::from_ms(5);
        let ended = match *work == fatal {
            true => proxies[proxy].record_end(now, work, started, NOTHING),
            false => None,
        };
        ends.extend((*work == fatal).then_some(now));
        let reports: Vec<_> = trial.into_iter().chain(ended).collect();
        for (number, other) in proxies.iter_mut().enumerate() {
            if number != proxy {
                other.learn(now, &Message::Ended(reports.clone()));
            }
        }
    }
    // Two ends, and one trial.
    assert!(ends.len() <= 3, "{} ends", ends.len());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ends_are_bounded_in_any_order(steps in proptest::collection::vec(step(), 0..200)) {
        in_any_order(steps);
    }
}
