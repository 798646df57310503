//! What an upstream gets that names a limit, over all windows and all lives of its
//! node.

use bluebellswitch::{
    backpressure::{
        Hint,
        Hints,
        Limit,
        Throttle, //
    },
    clock::{
        Span,
        Time, //
    },
    id,
    unit::Rate, //
};
use proptest::prelude::*;

const WINDOW: Span = Span::from_secs(4);
const UPSTREAM: id::Upstream = id::Upstream(3);

fn rate(thousandths: u64) -> Rate {
    Rate::per_second(1).scaled(thousandths)
}

/// What happens beside an upstream that gets as much as its throttle allows.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Requests come all the time, for this many milliseconds.
    Press(u64),
    /// No request comes for this long, or the node stands still.
    Rest(u64),
    /// The upstream names this many thousandths a second from now on.
    Names(u64),
    /// It names something that is no rate.
    Babbles,
    /// The node is killed and starts again; callers pass on what they know.
    Restarts,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (1_u64..3000).prop_map(Step::Press),
        1 => (1_u64..6000).prop_map(Step::Rest),
        2 => (0_u64..40_000).prop_map(Step::Names),
        1 => (0_u64..1500).prop_map(Step::Names),
        1 => Just(Step::Babbles),
        1 => Just(Step::Restarts),
    ];
    proptest::collection::vec(step, 1..30)
}

/// An upstream, the throttle beside it and what its callers know.
struct Story {
    now: Time,
    life: id::Incarnation,
    throttle: Throttle,
    hints: Hints,
    limit: Limit,
    /// Requests that it works on: when they began, when they are answered.
    open: Vec<(Time, Time)>,
    starts: Vec<Time>,
    /// What it named, since when.
    named: Vec<(Time, Rate)>,
    /// How long it works on a request.
    takes: Span,
}

impl Story {
    fn new(takes: u64) -> Self {
        let now = Time::from_ms(100_000);
        let mut story = Self {
            now,
            life: id::Incarnation(1),
            throttle: Throttle::default(),
            hints: Hints::default(),
            limit: Limit::Absent,
            open: Vec::new(),
            starts: Vec::new(),
            named: Vec::new(),
            takes: Span::from_ms(takes),
        };
        story.names(15_000);
        story.press(1000);
        // What began before the first answer is not judged.
        story.starts.clear();
        story.named[0].0 = story.now;
        story
    }

    fn names(&mut self, thousandths: u64) {
        let rate = rate(thousandths);
        self.limit = Limit::Named(rate);
        self.named.push((self.now, rate));
    }

    fn peer() -> id::Instance {
        "n1".parse().expect("a name")
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Press(ms) => self.press(ms),
            Step::Rest(ms) => self.now += Span::from_ms(ms),
            Step::Names(thousandths) => self.names(thousandths),
            Step::Babbles => {
                let named = std::mem::replace(&mut self.limit, Limit::Unreadable);
                self.press(50);
                self.limit = named;
            }
            Step::Restarts => {
                self.life.0 += 1;
                self.throttle = Throttle::default();
                self.open.clear();
            }
        }
    }

    fn press(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += Span::from_ms(1);
            self.answer();
            let mut sent = 0;
            while sent < 3 && self.attempt() {
                sent += 1;
            }
        }
    }

    fn attempt(&mut self) -> bool {
        for hint in self.hints.pending(self.now, &Self::peer(), self.life) {
            self.throttle.apply_hint(self.now, hint.limit);
        }
        if !self.throttle.allows(self.now) {
            return false;
        }
        self.throttle.record_start(self.now);
        self.starts.push(self.now);
        self.open.push((self.now, self.now + self.takes));
        true
    }

    fn answer(&mut self) {
        let now = self.now;
        let over: Vec<_> = self.open.extract_if(.., |(_, end)| *end <= now).collect();
        for (begun, _) in over {
            self.throttle.observe(now, begun, self.limit);
            let limit = self.throttle.limit();
            let hint = limit.is_some().then_some(Hint {
                upstream: UPSTREAM,
                limit,
                leaving: false,
            });
            self.hints.record(now, &Self::peer(), self.life, hint, true);
        }
    }

    /// What is allowed in a window that begins then: one and a half times what was
    /// named meanwhile, and five. A lower limit counts from when it was first heard.
    fn allowed(&self, from: Time) -> f64 {
        let until = from + WINDOW;
        let ends = self.named.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([Time::NEVER]);
        let parts = self.named.iter().zip(ends);
        let sum: f64 = parts
            .map(|((since, rate), end)| {
                let part = end.min(until).since((*since).max(from));
                part.as_secs_f64() * rate.as_f64()
            })
            .sum();
        sum * 1.5 + 5.0
    }

    fn check(&self) {
        for (first, at) in self.starts.iter().enumerate() {
            let end = *at + WINDOW;
            let within = self.starts[first..].iter().take_while(|at| **at < end);
            let count = within.count() as f64;
            assert!(
                count <= self.allowed(*at),
                "{count} in the window from {at:?}, allowed {}",
                self.allowed(*at)
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against more than one and a half times the limit, and five, in any
    /// four seconds, also beside a node that starts again.
    #[test]
    fn no_window_brings_more_than_is_named(steps in steps()) {
        let mut story = Story::new(8);
        for step in steps {
            story.step(step);
        }
        story.check();
    }
}

/// Shows that the story above sees a node that forgets the limit as it starts again.
#[test]
#[should_panic(expected = "in the window")]
fn a_restart_without_hints_is_seen() {
    let mut story = Story::new(200);
    story.step(Step::Press(5000));
    story.hints = Hints::default();
    story.step(Step::Restarts);
    story.step(Step::Press(100));
    story.check();
}

fn heard(limits: &[(u64, u64, Limit)]) -> Option<Rate> {
    let mut throttle = Throttle::default();
    for (at, begun, limit) in limits {
        throttle.observe(Time::from_ms(*at), Time::from_ms(*begun), *limit);
    }
    throttle.limit()
}

const FIFTEEN: Limit = Limit::Named(Rate::per_second(15));
const NINE: Limit = Limit::Named(Rate::per_second(9));

fn believes(limits: &[(u64, u64, Limit)], limit: Option<u64>) {
    assert_eq!(heard(limits), limit.map(Rate::per_second));
}

cases! { believes:
    the_limit_that_is_named => (&[(100, 0, FIFTEEN)], Some(15)),
    a_lower_one_at_once => (&[(100, 0, FIFTEEN), (101, 0, NINE)], Some(9)),
    a_higher_one_of_an_older_answer_not => (&[(100, 0, NINE), (101, 99, FIFTEEN)], Some(9)),
    a_higher_one_of_a_newer_answer => (&[(100, 0, NINE), (201, 101, FIFTEEN)], Some(15)),
    an_end_told_by_an_older_answer_not => (&[(100, 0, NINE), (101, 99, Limit::Absent)], Some(9)),
    an_end_told_by_a_newer_answer => (&[(100, 0, NINE), (201, 101, Limit::Absent)], None),
    nothing_of_what_is_no_rate => (&[(100, 0, NINE), (201, 101, Limit::Unreadable)], Some(9)),
    a_limit_named_again => (
        &[(100, 0, NINE), (201, 101, Limit::Absent), (202, 0, FIFTEEN)],
        Some(15),
    ),
}

/// Guards against a limit that comes late and lets what began before it go uncounted.
#[test]
fn what_began_before_the_limit_was_heard_counts() {
    let mut throttle = Throttle::default();
    let now = Time::from_ms(10_000);
    for _ in 0..30 {
        throttle.record_start(now);
    }
    throttle.observe(now, now, FIFTEEN);
    assert!(!throttle.allows(now + Span::from_ms(2000)));
    assert!(throttle.allows(now + Span::from_ms(2100)));
}

/// Guards against an upstream that names nothing at all and is never asked again.
#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let mut throttle = Throttle::default();
    let now = Time::from_ms(10_000);
    throttle.observe(now, now, Limit::Named(Rate::per_second(0)));
    assert!(!throttle.allows(now + Span::from_ms(3900)));
    assert!(throttle.allows(now + Span::from_ms(4000)));
}

/// Guards against a hint that outweighs what the upstream has answered since.
#[test]
fn an_answer_outweighs_a_hint() {
    let mut throttle = Throttle::default();
    let now = Time::from_ms(10_000);
    throttle.apply_hint(now, Some(Rate::per_second(9)));
    assert_eq!(throttle.limit(), Some(Rate::per_second(9)));
    throttle.observe(now + Span::from_ms(50), now + Span::from_ms(1), FIFTEEN);
    throttle.apply_hint(now + Span::from_ms(60), Some(Rate::per_second(9)));
    assert_eq!(throttle.limit(), Some(Rate::per_second(15)));
}

/// Guards against a later life of a node that is told what it has said itself, and
/// against a report of a former life that comes late.
#[test]
fn hints_go_to_later_lives_only() {
    let (now, peer) = (Time::from_ms(10_000), Story::peer());
    let hint = Hint {
        upstream: UPSTREAM,
        limit: Some(Rate::per_second(9)),
        leaving: false,
    };
    let life = id::Incarnation;
    let mut hints = Hints::default();
    let pending = |hints: &Hints, number| -> Vec<_> {
        let pending = hints.pending(now, &peer, life(number));
        pending.collect()
    };
    hints.record(now, &peer, life(2), Some(hint), true);
    assert_eq!(pending(&hints, 2), []);
    assert_eq!(pending(&hints, 3), [hint]);
    hints.record(now, &peer, life(1), None, true);
    assert_eq!(pending(&hints, 3), [hint], "an old report");
    hints.record(now, &peer, life(3), None, false);
    assert_eq!(pending(&hints, 4), [hint], "a refusal");
    hints.record(now, &peer, life(3), None, true);
    assert_eq!(pending(&hints, 4), [], "an answer");
}

/// Guards against a departure that is forgotten since the next life of the node, which does
/// not know of it, reports an earlier one.
#[test]
fn hints_about_an_earlier_upstream_replace_no_other() {
    let (now, peer) = (Time::from_ms(10_000), Story::peer());
    let hint = |upstream| Hint {
        upstream: id::Upstream(upstream),
        limit: None,
        leaving: true,
    };
    let life = id::Incarnation;
    let mut hints = Hints::default();
    hints.record(now, &peer, life(2), Some(hint(8)), false);
    hints.record(now, &peer, life(3), Some(hint(7)), false);
    let pending: Vec<_> = hints.pending(now, &peer, life(3)).collect();
    assert_eq!(pending, [hint(8)]);
    let pending: Vec<_> = hints.pending(now, &peer, life(4)).collect();
    assert_eq!(pending, [hint(7), hint(8)]);
    let other = "other".parse().expect("a name");
    assert_eq!(hints.pending(now, &other, life(4)).count(), 0);
}
