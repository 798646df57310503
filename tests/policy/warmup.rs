//! What a cold upstream gets, over every second and over all lives.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    warmup::{
        ColdLimiter,
        Doubt,
        RateLimit,
        Status,
        Tolerance, //
    },
};
use proptest::prelude::*;

const RATE: f64 = 13.0;
const TIME: Span = Span::from_secs(3);

fn terms() -> RateLimit {
    let pool = r#"{"name":"p","cold":"13/s","warmup":"3s"}"#;
    let pool = serde_json::from_str(pool).expect("a row");
    let bound = Tolerance {
        overshoot: 1.5,
        slack: 8.0,
    };
    bound.rate_limit(&pool).expect("a rate")
}

/// What may happen beside an upstream that gets as much as its meter allows.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Requests come all the time, for this many milliseconds.
    Press(u64),
    /// No request comes for this long.
    Rest(u64),
    /// The node is killed and starts again.
    NodeStarts,
    /// The upstream starts again, or turns cold, and nothing else tells of it.
    TurnsCold,
    /// The upstream turns cold, and an event raises a doubt at once.
    Doubted(Doubt),
    /// The upstream reports how long it is cold.
    Reports,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let doubts = [
        Doubt::Refused,
        Doubt::Suspended,
        Doubt::Returned,
        Doubt::Unreported,
    ];
    let step = prop_oneof![
        4 => (1_u64..1500).prop_map(Step::Press),
        1 => (1_u64..3000).prop_map(Step::Rest),
        1 => Just(Step::NodeStarts),
        1 => proptest::sample::select(doubts.to_vec()).prop_map(Step::Doubted),
        2 => Just(Step::Reports),
    ];
    proptest::collection::vec(step, 1..40)
}

/// An upstream and the meter beside it.
struct Story {
    now: Time,
    meter: ColdLimiter,
    /// Until when the upstream is cold.
    cold_until: Time,
    /// Requests that began while it was cold.
    starts: Vec<Time>,
}

impl Story {
    fn new() -> Self {
        let now = Time::from_ms(10_000);
        let mut story = Self {
            now,
            meter: ColdLimiter::default(),
            cold_until: now + TIME,
            starts: Vec::new(),
        };
        story.meter.configure(Some(terms()));
        story.meter.suspect_cold(now, Doubt::Unreported);
        story
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Press(ms) => self.press(ms),
            Step::Rest(ms) => self.now += Span::from_ms(ms),
            Step::NodeStarts => {
                self.meter = ColdLimiter::default();
                self.meter.configure(Some(terms()));
                self.meter.suspect_cold(self.now, Doubt::Unreported);
            }
            Step::TurnsCold => self.cold_until = self.now + TIME,
            Step::Doubted(doubt) => {
                self.cold_until = self.now + TIME;
                self.meter.suspect_cold(self.now, doubt);
            }
            Step::Reports => {
                let left = self.now.until(self.cold_until);
                self.meter.report(self.now, left);
            }
        }
    }

    fn press(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += Span::from_ms(1);
            self.meter.tick(self.now);
            // A warm upstream takes a few each millisecond.
            for _ in 0..3 {
                if !self.meter.allows(self.now) {
                    break;
                }
                self.meter.record_start(self.now);
                if self.now < self.cold_until {
                    self.starts.push(self.now);
                }
            }
        }
    }

    /// The most requests that a cold upstream got within one second.
    fn most(&self) -> usize {
        let second = Span::from_secs(1);
        let within = |first: &Time| {
            let later = self.starts.iter().filter(|at| **at >= *first);
            later.filter(|at| **at < *first + second).count()
        };
        self.starts.iter().map(within).max().unwrap_or(0)
    }
}

fn bound() -> usize {
    let terms = terms();
    (terms.rate + terms.burst) as usize
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a cold upstream that crashes under the load of a warm one.
    #[test]
    fn no_second_brings_more_than_the_bound(steps in steps()) {
        let mut story = Story::new();
        steps.into_iter().for_each(|step| story.step(step));
        prop_assert!(story.most() <= bound(), "{} requests, {} allowed", story.most(), bound());
    }
}

/// Shows that the check above sees an upstream that turns cold unnoticed.
#[test]
fn a_cold_upstream_that_nobody_doubts_gets_too_much() {
    let mut story = Story::new();
    let steps = [
        Step::Rest(3000),
        Step::Reports,
        Step::TurnsCold,
        Step::Press(500),
    ];
    steps.into_iter().for_each(|step| story.step(step));
    assert!(story.most() > bound());
}

/// Guards against a restart of the node that hands out the burst once more.
#[test]
fn a_node_that_starts_again_begins_with_an_empty_bucket() {
    let mut story = Story::new();
    story.step(Step::Rest(2000));
    story.cold_until = story.now + TIME;
    for _ in 0..10 {
        story.step(Step::Press(90));
        story.step(Step::NodeStarts);
    }
    assert!(story.most() <= bound(), "{}", story.most());
}

/// Guards against a cold upstream that gets less than it can take.
#[test]
fn the_rate_is_used_up() {
    let mut story = Story::new();
    story.step(Step::Press(2900));
    let expected = (RATE * 2.9) as usize;
    assert!(story.starts.len() + 1 >= expected, "{}", story.starts.len());
}

/// Guards against an upstream that stays metered for ever as it reports nothing.
#[test]
fn a_doubt_ends_when_the_upstream_would_be_warm_again() {
    let mut meter = ColdLimiter::default();
    meter.configure(Some(terms()));
    let now = Time::from_ms(500);
    meter.suspect_cold(now, Doubt::Refused);
    meter.tick(now + (TIME - Span::from_ms(1)));
    assert!(meter.is_cold());
    meter.tick(now + TIME);
    assert_eq!(meter.status(), Status::Warm);
}

/// Guards against limits on pools whose row gives no rate.
#[test]
fn without_a_rate_nothing_is_metered() {
    let mut meter = ColdLimiter::default();
    let now = Time::from_ms(500);
    meter.report(now, TIME);
    assert!(!meter.is_cold());
    assert!((0..1000).all(|_| {
        meter.record_start(now);
        meter.allows(now)
    }));
}

/// Guards against requests that wait longer than the meter lets them begin.
#[test]
fn the_wait_is_the_time_until_the_turn() {
    let mut meter = ColdLimiter::default();
    meter.configure(Some(terms()));
    let now = Time::from_ms(500);
    meter.report(now, TIME);
    let second = meter.wait(now, 1);
    for at in 0..second.as_ms() {
        let at = now + Span::from_ms(at);
        if meter.allows(at) {
            meter.record_start(at);
        }
    }
    assert!(!meter.allows(now + (second - Span::from_ms(1))));
    assert!(meter.allows(now + second));
    assert!(meter.due() <= now + second);
}
