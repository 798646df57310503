//! The learnt limit against an upstream whose true slots nobody configured.

use bluebellswitch::{
    clock::{
        Span,
        Time, //
    },
    limit::Concurrency,
};
use rand::{
    RngExt,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// True slots of the upstream.
const SLOTS: u64 = 20;

struct Bench {
    limit: Concurrency,
    now: Time,
    /// When each request in flight ends, and when it began.
    running: Vec<(Time, Time)>,
    rng: ChaCha8Rng,
}

impl Bench {
    /// Runs with more demand than any limit, and a time of service of `work`
    /// that grows when more than its slots are in use.
    fn run(&mut self, ms: u64, work: u64) {
        for _ in 0..ms {
            self.now += Span::from_ms(1);
            let now = self.now;
            let in_flight = self.running.len() as u32;
            for (_, begun) in self.running.extract_if(.., |(ends, _)| *ends <= now) {
                self.limit.record_served(now.since(begun), in_flight);
            }
            self.limit.tick(now);
            while self.running.len() < self.limit.current(now) as usize {
                let crowd = (self.running.len() as u64 + 1).max(SLOTS);
                let took = (work * crowd / SLOTS) as f64 * self.rng.random_range(0.5..1.5);
                let ends = now + Span::from_ms(took as u64);
                self.running.push((ends, now));
            }
        }
    }

    fn near(&self, least: u32, most: u32) {
        let limit = self.limit.current(self.now);
        assert!((least..=most).contains(&limit), "{limit}");
    }
}

fn bench() -> Bench {
    Bench {
        limit: Concurrency::default(),
        now: Time::from_ms(1000),
        running: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(9),
    }
}

/// Nobody knew how much the upstream can run. The limit grew for ever, or stayed
/// where it began.
#[test]
fn the_limit_is_learnt() {
    let mut bench = bench();
    bench.run(10_000, 50);
    bench.near(SLOTS as u32 * 2 / 3, SLOTS as u32 * 2);
    bench.run(60_000, 50);
    bench.near(SLOTS as u32 * 2 / 3, SLOTS as u32 * 2);
}

/// The service became ten times slower for a reason of its own. The limit fell
/// to nothing, made it slower still, and took 20 s to return when it was well.
#[test]
fn a_slow_service_keeps_its_limit() {
    let mut bench = bench();
    bench.run(10_000, 50);
    bench.run(30_000, 500);
    bench.near(SLOTS as u32 * 2 / 3, SLOTS as u32 * 2);
    bench.run(3_000, 50);
    bench.near(SLOTS as u32 * 2 / 3, SLOTS as u32 * 2);
}

/// The upstream refused connections for a second. The configured limit fell, and
/// stayed low long after.
#[test]
fn refusals_push_it_down_for_a_moment() {
    let mut bench = bench();
    bench.limit.configure(Some(100));
    for _ in 0..10 {
        bench.now += Span::from_ms(100);
        bench.limit.record_refused();
        bench.limit.tick(bench.now);
    }
    bench.near(2, 10);
    for _ in 0..40 {
        bench.now += Span::from_ms(100);
        bench.limit.tick(bench.now);
    }
    bench.near(100, 100);
}
