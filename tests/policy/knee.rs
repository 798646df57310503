//! The search for the slots that an upstream uses best.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    limit::knee::{
        Search,
        margin, //
    },
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// An upstream under lasting overload: two short requests of three, and long ones.
struct Story {
    search: Search,
    slots: u32,
    now: Time,
    rng: ChaCha8Rng,
    running: Vec<Request>,
    served_ms: u64,
}

struct Request {
    route: &'static str,
    work: u64,
    left: f64,
    begun: Time,
    turn: Option<bluebellswitch::limit::knee::Phase>,
}

impl Story {
    fn new(slots: u32, seed: u64) -> Self {
        let mut search = Search::default();
        search.configure(slots);
        Self {
            search,
            slots,
            now: Time::from_ms(1000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            running: Vec::new(),
            served_ms: 0,
        }
    }

    /// Runs with more demand than slots, at a speed for the share of slots in use.
    fn run(&mut self, ms: u64, speed: impl Fn(f64) -> f64) {
        for _ in 0..ms {
            self.now += Span::from_ms(1);
            let used = self.running.len() as f64 / f64::from(self.slots);
            let speed = speed(used);
            self.running.iter_mut().for_each(|r| r.left -= speed);
            let over: Vec<_> = self.running.extract_if(.., |r| r.left <= 0.0).collect();
            for request in over {
                self.served_ms += request.work;
                if let Some(turn) = request.turn {
                    let route = request.route.parse().expect("a name");
                    let took = self.now.since(request.begun);
                    self.search.record_served(turn, &route, took);
                }
            }
            self.search.tick(self.now, true, 40.0);
            while (self.running.len() as u32) < self.search.limit() {
                self.begin();
            }
        }
    }

    fn begin(&mut self) {
        let (route, usual) = match self.rng.random_range(0..3) {
            0 => ("long", 120.0),
            _ => ("short", 15.0),
        };
        let work = usual * self.rng.random_range(0.4..1.6);
        self.running.push(Request {
            route,
            work: work as u64,
            left: work,
            begun: self.now,
            turn: self.search.start_phase(self.running.len() as u32 + 1),
        });
    }

    /// Work served in a second of the next ten.
    fn rate(&mut self, speed: impl Fn(f64) -> f64) -> f64 {
        let before = self.served_ms;
        self.run(10_000, speed);
        (self.served_ms - before) as f64 / 10_000.0
    }
}

/// Slower by three tenths when more than 95 % of the slots are in use.
fn knee(used: f64) -> f64 {
    match used > 0.95 {
        true => 1.0 / 1.3,
        false => 1.0,
    }
}

/// Guards against an overload in which the last slots cost more than they serve.
fn leaves_a_margin(slots: u32) {
    for seed in 0..5 {
        let mut story = Story::new(slots, seed);
        let before = story.rate(knee);
        story.run(10_000, knee);
        let after = story.rate(knee);
        let full = f64::from(slots) / 1.3;
        assert!(
            after > full * 1.1,
            "seed {seed}: {before} then {after}, {full} with all"
        );
    }
}

cases! { leaves_a_margin:
    of_one_slot => (13),
    of_two_slots => (29),
    of_nine_slots => (144),
}

/// Guards against slots left free beside an upstream that is as fast with all.
fn uses_all(slots: u32) {
    for seed in 0..5 {
        let mut story = Story::new(slots, seed);
        story.run(20_000, |_| 1.0);
        let rate = story.rate(|_| 1.0);
        let all = f64::from(slots);
        assert!(rate > all * 0.96, "seed {seed}: {rate} of {all}");
    }
}

cases! { uses_all:
    few_slots => (13),
    more_slots => (29),
    many_slots => (144),
}

/// Guards against a verdict that outlives its cause, in either direction.
#[test]
fn a_change_of_the_upstream_is_found() {
    let mut story = Story::new(20, 3);
    story.run(20_000, |_| 1.0);
    story.run(20_000, knee);
    assert!(story.rate(knee) > 20.0 / 1.3 * 1.1);
    story.run(20_000, |_| 1.0);
    assert!(story.rate(|_| 1.0) > 20.0 * 0.95);
}

/// Guards against slots that stand empty while nobody knows whether it helps.
#[test]
fn without_overload_all_slots_are_there() {
    let mut search = Search::default();
    search.configure(13);
    for ms in 0..60_000 {
        search.tick(Time::from_ms(ms), false, 40.0);
        assert_eq!(search.limit(), 13);
    }
}

/// Guards against upstreams that are too small to spare a slot.
#[test]
fn small_upstreams_use_every_slot() {
    assert_eq!((1..6).map(margin).sum::<u32>(), 0);
    assert_eq!(margin(6), 1);
}
