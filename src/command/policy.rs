//! `measure policy`: the load policy beside simpler ones, and without each of
//! its mechanisms.

use bpaf::{
    Parser,
    construct,
    long, //
};

use super::{
    Job,
    Subcommand, //
};
use crate::{
    clock::Span,
    policy::{
        Admission,
        Policy,
        RetryLimit,
        SheddingKey, //
    },
    standin::{
        site::Site,
        trial::{
            self,
            Illness, //
        },
    },
};

/// Reads `measure policy`.
pub(super) fn parser() -> Subcommand {
    let seed = long("seed")
        .help("Seed of all chance (1)")
        .argument::<u64>("N")
        .fallback(1);
    let span = long("for")
        .help("Length of the surge and of the flood (60s)")
        .argument::<Span>("TIME")
        .fallback(Span::from_secs(60));
    let ablations = long("ablations")
        .help("Also take each mechanism away alone")
        .switch();
    let site = long("site")
        .help("Only this site: tuul or kandy")
        .argument::<String>("SITE")
        .optional();
    construct!(seed, span, ablations, site)
        .map(|(seed, span, ablations, site)| -> Job {
            Box::new(move || {
                print(seed, span, ablations, site.as_deref());
                Ok(())
            })
        })
        .to_options()
        .descr("Goodput, recovery and fairness under overload, for both sites")
        .command("policy")
        .boxed()
}

/// Simpler policies that others use.
pub fn baselines() -> Vec<(&'static str, Policy)> {
    let full = Policy::default();
    vec![
        ("full policy", full),
        ("no control", Policy::open()),
        (
            "fixed limit",
            Policy {
                admission: Admission::Fixed,
                ..full
            },
        ),
        (
            "2 retries a hop",
            Policy {
                retry_limit: RetryLimit::PerHop(2),
                retry_budget: false,
                ..full
            },
        ),
        (
            "random shedding",
            Policy {
                shedding_key: SheddingKey::Random,
                ..full
            },
        ),
    ]
}

/// The full policy without each of its mechanisms.
pub fn ablations() -> Vec<(&'static str, Policy)> {
    let full = Policy::default();
    let without = |change: fn(&mut Policy)| {
        let mut policy = full;
        change(&mut policy);
        policy
    };
    vec![
        ("no retry ratio", without(|p| p.retry_budget = false)),
        ("no early refusal", without(|p| p.early_shedding = false)),
        ("no levels below", without(|p| p.downstream_levels = false)),
        ("no fair shares", without(|p| p.fair_shares = false)),
        ("no nested first", without(|p| p.nested_first = false)),
        ("no newest first", without(|p| p.newest_first = false)),
        ("no deadline fit", without(|p| p.deadline_check = false)),
        ("no cancellation", without(|p| p.cancellation = false)),
        ("no load balance", without(|p| p.load_balancing = false)),
        (
            "no domain first",
            without(|p| p.prefer_local_domain = false),
        ),
        ("no ejection", without(|p| p.ejection = false)),
    ]
}

fn print(seed: u64, span: Span, ablate: bool, only: Option<&str>) {
    let mut policies = baselines();
    if ablate {
        policies.extend(ablations());
    }
    for (name, site) in [("tuul", Site::tuul()), ("kandy", Site::kandy())] {
        if only.is_some_and(|only| only != name) {
            continue;
        }
        println!("{name}, seed {seed}");
        HEAD.iter().for_each(|line| println!("{line}"));
        for (label, policy) in &policies {
            println!("{}", row(label, &site, *policy, seed, span));
        }
        println!();
    }
    println!("A failing deepest service: runs there, and retries in all, for one root at most");
    for (label, policy) in &policies {
        let (chain, fan) = (trial::chain(*policy, seed), trial::fan(*policy, seed));
        println!(
            "{label:<16} | 3 in a row: {:>4} runs, {:>4} retries | 3 wide, 4 deep: {:>5} runs, {:>5} retries",
            chain.deepest, chain.retries, fan.deepest, fan.retries
        );
    }
}

const HEAD: [&str; 2] = [
    "                 | demand of three times the capacity        | deepest 10x slower 30 s | one team x5 | one instance",
    "policy           | goodput critical wasted worst recovery    | during recovery after   | rates  none | slow  fails",
];

fn row(label: &str, site: &Site, policy: Policy, seed: u64, span: Span) -> String {
    let surge = trial::surge(site, policy, seed, span);
    let slow = trial::slowdown(site, policy, seed, Span::from_secs(30));
    let greed = trial::greed(site, policy, seed, span);
    let unmetered = trial::unmetered(site, policy, seed, span);
    format!(
        "{label:<16} | {:>7} {:>8} {:>6} {:>5} {:>8}    | {:>6} {:>8} {:>5}   | {:>5} {:>5} | {:>5} {:>5}",
        percent(surge.goodput),
        percent(surge.critical),
        percent(surge.wasted),
        percent(surge.worst),
        seconds(surge.recovery),
        percent(slow.during),
        seconds(slow.recovery),
        percent(slow.after),
        percent(greed.worst),
        percent(unmetered.worst),
        percent(trial::ill(site, policy, seed, Illness::Slow)),
        percent(trial::ill(site, policy, seed, Illness::Failing)),
    )
}

fn percent(share: f64) -> String {
    format!("{:.1}", share * 100.0)
}

fn seconds(recovery: Option<u64>) -> String {
    recovery.map_or_else(|| "never".into(), |seconds| format!("{seconds} s"))
}
