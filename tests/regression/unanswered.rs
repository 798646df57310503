//! Guards against calls that get no answer by their deadline.

use bluebellswitch::{
    clock::Span,
    standin::{
        driver::Driver,
        site::Site, //
    },
};
use proptest::prelude::*;

/// Deadline of all routes.
const DEADLINE: Span = Span::from_secs(5);
/// How much later than its deadline a call may be answered.
const SLACK: Span = Span::from_ms(500);
/// How long callers wait, which is too long to hide a missing answer.
const PATIENCE: Span = Span::from_secs(60);

/// Something that happens to a node without callers, or to its link to one with callers.
#[derive(Clone, Debug)]
enum Fault {
    Sever(usize, usize),
    Cut(usize, usize),
    Join(usize, usize),
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Drain(usize),
    /// The upstream answers so many times slower.
    Slow(usize, u8),
    /// The configuration is replaced by one with another version.
    Reload,
    /// So many percent of the answers are not passed on to their callers.
    Lose(u8),
    /// From now on, callers give up after this time.
    HangUp(u64),
    /// From now on, callers wait for longer than any call may take.
    Wait,
}

fn fault() -> impl Strategy<Value = Fault> {
    let front = 0..FRONTS;
    let back = FRONTS..NODES;
    prop_oneof![
        4 => (front.clone(), back.clone()).prop_map(|(a, b)| Fault::Sever(a, b)),
        2 => (front.clone(), back.clone()).prop_map(|(a, b)| Fault::Cut(a, b)),
        2 => (front, back.clone()).prop_map(|(a, b)| Fault::Join(a, b)),
        1 => back.clone().prop_map(Fault::Kill),
        1 => back.clone().prop_map(Fault::Restart),
        1 => (back.clone(), 100..4000_u64).prop_map(|(node, ms)| Fault::Pause(node, ms)),
        1 => back.clone().prop_map(Fault::Drain),
        2 => (back, 1..100_u8).prop_map(|(node, times)| Fault::Slow(node, times)),
        1 => Just(Fault::Reload),
        1 => (0..50_u8).prop_map(Fault::Lose),
        1 => (100..4000_u64).prop_map(Fault::HangUp),
        2 => Just(Fault::Wait),
    ]
}

/// Nodes of the pool that callers call, which come first, and of all pools.
const FRONTS: usize = 3;
const NODES: usize = 13;

fn apply(driver: &mut Driver, site: &mut Site, fault: &Fault) {
    match *fault {
        Fault::Sever(a, b) => driver.sever(a, b),
        Fault::Cut(a, b) => driver.cut(a, b, true),
        Fault::Join(a, b) => driver.cut(a, b, false),
        Fault::Kill(node) => driver.kill(node),
        Fault::Restart(node) => driver.restart(node),
        Fault::Pause(node, ms) => driver.pause(node, Span::from_ms(ms)),
        Fault::Drain(node) => driver.drain(node),
        Fault::Slow(node, times) => driver.upstream(node).slow = f64::from(times),
        Fault::Reload => {
            site.snapshot.version.0 += 1;
            driver.adopt(&site.snapshot);
        }
        Fault::Lose(percent) => driver.lose_answers(f64::from(percent) / 100.0),
        Fault::HangUp(ms) => set_patience(driver, Span::from_ms(ms)),
        Fault::Wait => set_patience(driver, PATIENCE),
    }
}

fn set_patience(driver: &mut Driver, patience: Span) {
    for flow in driver.flows_mut() {
        flow.patience = patience;
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(57),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever happens to links, attempts and answers, a call at a sound node is answered.
    #[test]
    fn every_call_is_answered_by_its_deadline(
        seed in any::<u64>(),
        silent in any::<bool>(),
        faults in prop::collection::vec((fault(), 0..400_u64), 1..40),
    ) {
        let mut site = Site::kandy();
        let mut setup = site.setup(seed);
        setup.net.silent = silent;
        let mut driver = Driver::new(setup);
        prop_assert_eq!(driver.pool("bookings"), (0..FRONTS).collect::<Vec<_>>());
        prop_assert_eq!(driver.len(), NODES);
        for mut flow in site.flows(20, 0) {
            flow.nodes = (0..FRONTS).collect();
            flow.patience = PATIENCE;
            driver.flow(flow);
        }
        driver.run_for(Span::from_secs(2));
        for (fault, after) in &faults {
            apply(&mut driver, &mut site, fault);
            driver.run_for(Span::from_ms(*after));
        }
        driver.run_for(DEADLINE + SLACK);
        let now = driver.now();
        let roots = driver.ledger.jobs.iter().filter(|job| job.flow.is_some());
        for job in roots {
            let ended = job.end.map_or(now, |(at, _)| at);
            prop_assert!(ended.since(job.begun) <= DEADLINE + SLACK, "{:?}", job);
        }
    }
}
