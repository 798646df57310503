//! Random histories against what must always hold.
//!
//! Every history runs the real decisions of a whole site over the driver, with
//! faults at random moments. The oracle is the ledger: it knows what truly ran
//! and names the promise that was broken. `BLUEBELLSWITCH_CASES` asks for more
//! histories, `BLUEBELLSWITCH_SEED` for other ones.

use std::env;

use bluebellswitch::{
    clock::Span,
    context::Importance,
    lease::Options,
    policy::{
        Policy,
        RetryLimit,
        SheddingKey, //
    },
    quota::Mode,
    standin::{
        play::Play,
        promise::Promise,
        script::{
            Deed,
            Script, //
        },
    },
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        RngSeed,
        TestRunner, //
    },
};

const LENGTH: Span = Span::from_secs(12);
/// The key that is withdrawn, its team, and when.
const WITHDRAWN: (&str, &str, Span) = ("key3", "team3", Span::from_secs(5));
/// A withdrawn key is dead after this, with every node in reach of the store.
const SECONDS: Span = Span::from_secs(3);
/// Where a node may be cut off, it may take its own limit of freshness as well.
const CUT_OFF: Span = Span::from_secs(14);

fn group() -> impl Strategy<Value = String> {
    const POOLS: [&str; 4] = ["issuer", "registry", "logvault", "batchbook"];
    const DOMAINS: [&str; 3] = ["ub-north", "ub-south", "ub-west"];
    prop_oneof![
        4 => (0..12u32).prop_map(|n| format!("n{n}")),
        1 => prop::sample::select(&DOMAINS[..]).prop_map(str::to_owned),
        1 => prop::sample::select(&POOLS[..]).prop_map(str::to_owned),
    ]
}

fn node() -> impl Strategy<Value = String> {
    (0..12u32).prop_map(|n| format!("n{n}"))
}

/// A fault, and what ends it a while later.
fn fault() -> impl Strategy<Value = (Deed, Option<Deed>)> {
    use Deed::*;
    prop_oneof![
        group().prop_map(|g| (Sever(g), None)),
        group().prop_map(|g| (Part(g.clone(), true), Some(Part(g, false)))),
        (node(), 200..4000u64).prop_map(|(n, ms)| (Pause(n, Span::from_ms(ms)), None)),
        node().prop_map(|n| (Kill(n.clone()), Some(Restart(n)))),
        node().prop_map(|n| (Drain(n.clone()), Some(Restart(n)))),
        (group(), 2..20u32).prop_map(|(g, x)| (Slow(g.clone(), f64::from(x)), Some(Slow(g, 1.0)))),
        group().prop_map(|g| (Fail(g.clone(), true), Some(Fail(g, false)))),
        group().prop_map(|g| (Refuse(g.clone(), true), Some(Refuse(g, false)))),
        Just((Out(true), Some(Out(false)))),
        group().prop_map(|g| (Unreached(g.clone(), true), Some(Unreached(g, false)))),
        (1..9u32).prop_map(|n| (Lost(f64::from(n) / 10.0), Some(Lost(0.0)))),
        (10..900u64).prop_map(|ms| (Lag(Span::from_ms(ms)), Some(Lag(Span::ZERO)))),
        (1..30u32).prop_map(|n| (Loss(f64::from(n) / 100.0), Some(Loss(0.0)))),
        (5..40u32).prop_map(|n| (Load(f64::from(n) / 10.0), Some(Load(0.3)))),
    ]
}

prop_compose! {
    fn history()(
        seed in any::<u64>(),
        retries in 0..4u32,
        claims in any::<bool>(),
        cross in prop::sample::select(&[0.0, 0.5, 1.0][..]),
        double in prop::sample::select(&[0.0, 0.05][..]),
        silent in any::<bool>(),
        faults in prop::collection::vec((0..9000u64, 100..5000u64, fault()), 1..6),
    ) -> Script {
        let mut deeds = vec![
            (Span::ZERO, Deed::Load(0.3)),
            (WITHDRAWN.2, Deed::Withdraw(WITHDRAWN.0.to_owned())),
        ];
        for (at, lasts, (begin, end)) in faults {
            deeds.push((Span::from_ms(at), begin));
            deeds.extend(end.map(|end| (Span::from_ms(at + lasts), end)));
        }
        deeds.sort_by_key(|(at, _)| *at);
        Script {
            site: "tuul".to_owned(),
            seed,
            retries,
            claims,
            cold: true,
            spy: true,
            cross,
            double,
            silent,
            rates: Some((30, 30)),
            deeds,
            length: LENGTH,
            ..Script::default()
        }
    }
}

fn isolates(deed: &Deed) -> bool {
    use Deed::*;
    matches!(
        deed,
        Part(..) | Pause(..) | Out(true) | Unreached(..) | Lost(_) | Lag(_) | Loss(_)
    )
}

/// Whether the store said yes to the withdrawal in a quiet fleet.
fn limit(script: &Script) -> Span {
    let any = script.deeds.iter().any(|(_, deed)| isolates(deed));
    if any { CUT_OFF } else { SECONDS }
}

/// All promises that a history broke, by name.
fn judge(script: &Script, play: &mut Play) -> Vec<String> {
    let mut broken = play.driver.ledger.broken.clone();
    let now = play.driver.now();
    for team in &play.site.snapshot.teams.teams {
        let excess = play.driver.ledger.excess(&team.name, team.rate, team.burst);
        if excess > 0.0 {
            let text = format!("{}: {} got {excess} too many", Promise::Rate, team.name);
            broken.push(text);
        }
    }
    let team = WITHDRAWN.1.parse().expect("a name");
    let dead = play.begun + WITHDRAWN.2 + limit(script);
    if play
        .driver
        .ledger
        .last_run
        .get(&team)
        .is_some_and(|at| *at > dead)
    {
        broken.push(format!("{}: its last run came late", Promise::Withdrawn));
    }
    // Long after the last fault every node that lives is at the last version.
    play.driver.run(now + Span::from_secs(60));
    for number in 0..play.driver.len() {
        let core = play.driver.core(number);
        let version = core.map(|core| core.snapshot().version.0);
        if version.is_some_and(|version| version != 2) {
            let text = format!(
                "{}: node {number} is at {version:?}",
                Promise::Configuration
            );
            broken.push(text);
        }
    }
    broken
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Any history of faults, in any order and together: no promise is broken.
#[test]
fn no_history_breaks_a_promise() {
    let config = Config {
        cases: number("BLUEBELLSWITCH_CASES", 48) as u32,
        rng_seed: RngSeed::Fixed(number("BLUEBELLSWITCH_SEED", 2026)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let held = TestRunner::new(config).run(&history(), |script| {
        let mut play = Play::run(&script).expect("names that exist");
        let broken = judge(&script, &mut play);
        prop_assert!(broken.is_empty(), "{:#?}", &broken[..broken.len().min(8)]);
        Ok(())
    });
    held.unwrap_or_else(|error| panic!("{error}"));
}

/// A history in which everything happens, for the plants.
fn eventful() -> Script {
    let text = "site tuul\nseed 3\ncold\nspy\nrates 30 30\nload 60%\n\
        at 3s drain n1\nat 4s sever batchbook\nat 4500ms kill n10\nat 5s withdraw key3\n\
        at 6s fail batchbook\nat 8s mend batchbook\nrun 12s\nexpect broken = 0\n";
    Script::parse(text).expect("a scenario")
}

/// Breaks one promise on purpose, and looks whether the oracle names it.
fn planted(promise: Promise) {
    let script = eventful();
    let mut play = Play::with(&script, |driver| driver.plant = Some(promise)).expect("names");
    let broken = judge(&script, &mut play);
    let named = broken
        .iter()
        .any(|line| line.starts_with(&promise.to_string()));
    assert!(named, "{promise} was broken unseen: {broken:#?}");
}

macro_rules! plants {
    ($($name:ident => $promise:ident,)*) => {$(
        #[test]
        fn $name() {
            planted(Promise::$promise);
        }
    )*};
}

plants! {
    plant_foreign_team => Team,
    plant_key_in_a_frame => Key,
    plant_withdrawal_unheard => Withdrawn,
    plant_crossed_answer => Whole,
    plant_false_not_run => NotRun,
    plant_second_run => Once,
    plant_deaf_to_leaving => Leaving,
    plant_hard_stop => Stop,
    plant_older_version => Configuration,
}

/// Retries by every hop, as most callers of services make them: the check of
/// the whole chain must see more than one root's allowance.
#[test]
fn plant_retries_by_hop() {
    let script = eventful();
    let mut play = Play::prepared(&script, |core| {
        core.set_policy(Policy {
            retry_limit: RetryLimit::PerHop(2),
            retry_budget: false,
            ..Policy::default()
        });
    })
    .expect("names");
    let broken = judge(&script, &mut play);
    assert!(
        broken.iter().any(|line| line.starts_with("Retries")),
        "{broken:#?}"
    );
}

/// Every node takes the whole rate for itself.
#[test]
fn plant_rate_for_everyone() {
    let mut script = eventful();
    script.deeds.insert(1, (Span::from_ms(1), Deed::Load(3.0)));
    let mut play = Play::prepared(&script, |core| {
        core.configure(Mode::Slices(1), Options::default());
    })
    .expect("names");
    let broken = judge(&script, &mut play);
    assert!(
        broken.iter().any(|line| line.starts_with("Rate")),
        "{broken:#?}"
    );
}

/// The shares of critical and of low requests that were whole in a surge.
fn surge(shedding_key: Option<SheddingKey>) -> (f64, f64) {
    let text = "site tuul\nseed 5\nload 300%\nrun 12s\nexpect broken = 0\n";
    let script = Script::parse(text).expect("a scenario");
    let play = Play::prepared(&script, move |core| {
        if let Some(shedding_key) = shedding_key {
            core.set_policy(Policy {
                shedding_key,
                ..Policy::default()
            });
        }
    })
    .expect("names");
    let share = |importance| {
        let subject = bluebellswitch::standin::script::Subject::Whole(Some(importance));
        let from = play.begun + Span::from_secs(2);
        play.measure(&subject, from, play.begun + LENGTH)
            .expect("a measure")
    };
    (share(Importance::Critical), share(Importance::Low))
}

/// Under overload important requests are shed last; shed by chance, they are
/// not, and the check sees it.
#[test]
fn important_requests_are_shed_last() {
    let (critical, low) = surge(None);
    assert!(critical >= 0.99 && low < 0.9, "{critical} {low}");
    let (critical, _) = surge(Some(SheddingKey::Random));
    assert!(critical < 0.9, "chance alone kept {critical}");
}
