//! Trials of the load policy: one site, one policy, one seed, one fault.
//!
//! Each trial runs whole nodes in the [`Driver`] and reads its figures out of
//! the ledger. The measuring command prints them; tests hold them to bounds.

use std::collections::BTreeMap;

use super::{
    driver::{
        Driver,
        Frailty,
        Service,
        Setup, //
    },
    ledger::Flow,
    site::Site,
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    document,
    id,
    policy::Policy,
    unit::Rate, //
};

/// Tries of a caller after its first, when callers try again.
pub const RETRIES: u32 = 5;
/// The load before and after a surge, in percent of capacity.
const BASE_LOAD_PERCENT: u64 = 60;
/// How long a trial runs before its fault.
const WARM_UP_TIME: Span = Span::from_secs(10);
const SECOND_MS: u64 = 1000;

/// What a surge of demand leads to.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Whole requests, as a share of what capacity allows.
    pub goodput: f64,
    /// Critical requests answered whole.
    pub critical: f64,
    /// Slot time spent on requests that failed.
    pub wasted: f64,
    /// The share of its requests that the worst-served team got whole, over the
    /// share that all teams together got.
    pub worst: f64,
    /// Seconds after its end until goodput is what it was before; none if it
    /// does not return while it is watched.
    pub recovery: Option<u64>,
}

/// What a slow service leads to.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Whole requests while it is slow, as a share of before.
    pub during: f64,
    /// Seconds until goodput is back at 95 % of before.
    pub recovery: Option<u64>,
    /// Whole requests in the last ten seconds watched, as a share of before.
    pub after: f64,
}

/// What one greedy team leads to.
#[derive(Clone, Copy, Debug)]
pub struct Greed {
    /// The share of its requests that the worst-served other team got whole.
    pub worst: f64,
    /// The same of the greedy team.
    pub greedy: f64,
}

/// How one instance is ill.
#[derive(Clone, Copy, Debug)]
pub enum Illness {
    /// Ten times slower.
    Slow,
    /// Answering every request at once with a failure.
    Failing,
    /// Paused for three seconds with its node, links open.
    Paused,
}

/// What a failing deepest service leads to.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// The most runs at the deepest service for one root.
    pub deepest: u32,
    /// The most retries, at all levels together, for one root.
    pub retries: u32,
}

/// What the end of every upstream at once leads to.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Crashes of upstreams after they came back.
    pub crashes: u32,
    /// Seconds until goodput is back at 95 % of before.
    pub recovery: Option<u64>,
    /// Whole requests in the last ten seconds watched, as a share of before.
    pub after: f64,
}

/// What the evacuation of a failure domain leads to.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// Requests that began in the domain while it was evacuated.
    pub begun: u64,
    /// Requests answered whole meanwhile, of all that were made.
    pub during: f64,
    /// The same in the seconds after it was taken back.
    pub after: f64,
    /// Crashes of its upstreams, which come back cold.
    pub crashes: u32,
}

/// How upstreams come back in [`outage`].
const COLD_FRAILTY: Frailty = Frailty {
    bears: 27,
    time: Span::from_secs(3),
    away: Span::from_ms(1100),
};
/// The rate of a cold upstream in its pool's row.
const COLD_RATE: Rate = Rate::per_second(13);

/// Pools and paths of the levels of a tree.
const LEVELS: [(&str, &str); 4] = [
    ("level1", "/1"),
    ("level2", "/2"),
    ("level3", "/3"),
    ("level4", "/4"),
];
/// Shares that the teams of a site have together: three of four, five of one.
const PARTS: u64 = 17;

fn driver(mut setup: Setup, policy: Policy) -> Driver {
    setup.prepare = Box::new(move |core| core.set_policy(policy));
    Driver::new(setup)
}

/// Demand at three times the capacity for `span`, with callers that retry.
pub fn surge(site: &Site, policy: Policy, seed: u64, span: Span) -> Surge {
    let mut driver = driver(site.setup(seed), policy);
    let base = site.flows(BASE_LOAD_PERCENT, RETRIES);
    let high = site.flows(300, RETRIES);
    let flows: Vec<usize> = base.iter().cloned().map(|f| driver.flow(f)).collect();
    driver.run_for(WARM_UP_TIME);
    let begun = driver.now();
    rates(&mut driver, &flows, &high);
    driver.run_for(span);
    let ended = driver.now();
    let before = whole_by_second(&driver);
    rates(&mut driver, &flows, &base);
    driver.run_for(Span::from_secs(30));
    let until = driver.now();
    let series = whole_by_second(&driver);
    let served: u64 = seconds(begun, ended).map(|s| at(&before, s)).sum();
    let steady = mean(
        &series,
        begun.as_ms() / SECOND_MS - 5,
        begun.as_ms() / SECOND_MS,
    );
    Surge {
        goodput: served as f64 / (site.capacity as f64 * span.as_secs_f64()),
        critical: share(&driver, begun, ended, |f| {
            f.importance == Importance::Critical
        }),
        wasted: driver.ledger.wasted(),
        worst: worst(&driver, begun, ended, None) / share(&driver, begun, ended, |_| true),
        recovery: recovery(&series, steady, ended, until),
    }
}

/// The scarce pool ten times slower for `span`, with callers that retry.
pub fn slowdown(site: &Site, policy: Policy, seed: u64, span: Span) -> Slowdown {
    let mut driver = driver(site.setup(seed), policy);
    for flow in site.flows(80, RETRIES) {
        driver.flow(flow);
    }
    driver.run_for(WARM_UP_TIME);
    let begun = driver.now();
    let deepest = site.services.last().map(|s| s.pool.as_str().to_owned());
    let slow = driver.pool(deepest.as_deref().unwrap_or_default());
    slow.iter().for_each(|n| driver.upstream(*n).slow = 10.0);
    driver.run_for(span);
    let ended = driver.now();
    slow.iter().for_each(|n| driver.upstream(*n).slow = 1.0);
    driver.run_for(Span::from_secs(60));
    let until = driver.now();
    let series = whole_by_second(&driver);
    let (first, last) = (begun.as_ms() / SECOND_MS, ended.as_ms() / SECOND_MS);
    let steady = mean(&series, first - 5, first);
    let end = until.as_ms() / SECOND_MS;
    Slowdown {
        during: mean(&series, first, last) / steady,
        recovery: recovery(&series, steady, ended, until),
        after: mean(&series, end - 10, end) / steady,
    }
}

/// Every upstream ends at once, and all come back cold. The rows of the pools say
/// what a cold upstream takes, or they do not.
pub fn outage(site: &Site, is_metered: bool, seed: u64) -> Outage {
    let mut site = site.clone();
    for pool in &mut site.snapshot.tables.pools {
        pool.cold = is_metered.then_some(COLD_RATE);
    }
    let mut driver = driver(site.setup(seed), Policy::default());
    driver.weaken(COLD_FRAILTY);
    for flow in site.flows(80, RETRIES) {
        driver.flow(flow);
    }
    driver.run_for(WARM_UP_TIME);
    let begun = driver.now();
    (0..driver.len()).for_each(|node| driver.crash(node));
    let before = driver.crashes();
    driver.run_for(COLD_FRAILTY.away);
    let ended = driver.now();
    driver.run_for(Span::from_secs(30));
    let until = driver.now();
    let series = whole_by_second(&driver);
    let first = begun.as_ms() / SECOND_MS;
    let steady = mean(&series, first - 5, first);
    let end = until.as_ms() / SECOND_MS;
    Outage {
        crashes: driver.crashes() - before,
        recovery: recovery(&series, steady, ended, until),
        after: mean(&series, end - 10, end) / steady,
    }
}

/// The first failure domain is evacuated at half of the capacity, its upstreams turn
/// cold, and it is taken back. The nodes hear of it, or they do not.
pub fn evacuation(site: &Site, is_heard: bool, seed: u64) -> Evacuation {
    let mut site = site.clone();
    for pool in &mut site.snapshot.tables.pools {
        pool.cold = Some(COLD_RATE);
    }
    let mut driver = driver(site.setup(seed), Policy::default());
    driver.weaken(COLD_FRAILTY);
    for flow in site.flows(50, 0) {
        driver.flow(flow);
    }
    driver.run_for(WARM_UP_TIME);
    let inside = driver.domain(site.domains[0]);
    if is_heard {
        order(&mut driver, &mut site, true);
    }
    let (evacuated, before) = (driver.now(), driver.begun(&inside));
    driver.run_for(Span::from_secs(10));
    let begun = driver.begun(&inside) - before;
    inside.iter().for_each(|node| driver.chill(*node));
    if is_heard {
        order(&mut driver, &mut site, false);
    }
    let returned = driver.now();
    driver.run_for(Span::from_secs(10));
    let until = driver.now();
    driver.run_for(Span::from_secs(10));
    Evacuation {
        begun,
        during: share(&driver, evacuated, returned, |_| true),
        after: share(&driver, returned, until, |_| true),
        crashes: driver.crashes(),
    }
}

/// Gives the order to evacuate the first failure domain, or takes it back.
fn order(driver: &mut Driver, site: &mut Site, in_force: bool) {
    let domain: id::Domain = site.domains[0].parse().expect("a plain name");
    let snapshot = &mut site.snapshot;
    snapshot.version.0 += 1;
    let order = document::Evacuation {
        in_force,
        revision: id::Revision(snapshot.version.0),
    };
    snapshot.evacuations.insert(domain, order);
    driver.adopt(snapshot);
}

/// One team at five times its rate, the others at theirs. The rates together
/// are nine tenths of the capacity.
pub fn greed(site: &Site, policy: Policy, seed: u64, span: Span) -> Greed {
    let rate = site.capacity * 9 / 10 / PARTS;
    let site = site.clone().with_rates(rate, rate as u32);
    flooded(&site, 80, policy, seed, span)
}

/// The same with rates that nobody reaches, and calls of one importance: what
/// the inbound proxies' fairness does alone.
pub fn unmetered(site: &Site, policy: Policy, seed: u64, span: Span) -> Greed {
    let mut site = site.clone();
    site.calls.retain(|call| call.0 == Importance::Normal);
    site.calls.iter_mut().for_each(|call| call.3 = 100);
    flooded(&site, 90, policy, seed, span)
}

fn flooded(site: &Site, percent: u64, policy: Policy, seed: u64, span: Span) -> Greed {
    let mut driver = driver(site.setup(seed), policy);
    let greedy = site.snapshot.teams.teams[0].name.clone();
    for mut flow in site.flows(percent, RETRIES) {
        if flow.team == greedy {
            flow.rate = flow.rate.scaled(5000);
        }
        driver.flow(flow);
    }
    driver.run_for(WARM_UP_TIME);
    let begun = driver.now();
    driver.run_for(span);
    let ended = driver.now();
    driver.run_for(Span::from_secs(10));
    Greed {
        worst: worst(&driver, begun, ended, Some(&greedy)),
        greedy: share(&driver, begun, ended, |f| f.team == greedy),
    }
}

/// One instance of the scarce pool is ill, at half of the capacity and with
/// callers that do not try again. Returns the share of requests answered whole.
pub fn ill(site: &Site, policy: Policy, seed: u64, how: Illness) -> f64 {
    let mut driver = driver(site.setup(seed), policy);
    for flow in site.flows(50, 0) {
        driver.flow(flow);
    }
    driver.run_for(WARM_UP_TIME);
    let begun = driver.now();
    let deepest = site.services.last().map(|s| s.pool.as_str().to_owned());
    let one = driver.pool(deepest.as_deref().unwrap_or_default())[0];
    let upstream = driver.upstream(one);
    match how {
        Illness::Slow => upstream.slow = 10.0,
        Illness::Failing => upstream.failing = true,
        Illness::Paused => driver.pause(one, Span::from_secs(3)),
    }
    driver.run_for(Span::from_secs(20));
    let ended = driver.now();
    driver.run_for(Span::from_secs(10));
    share(&driver, begun, ended, |_| true)
}

/// Three services in a row, the deepest failing.
pub fn chain(policy: Policy, seed: u64) -> Tree {
    failing(1, 3, policy, seed, Rate::per_second(5))
}

/// Four levels, each call making three below it, the deepest failing.
pub fn fan(policy: Policy, seed: u64) -> Tree {
    failing(3, 4, policy, seed, Rate::per_second(1))
}

fn failing(wide: usize, deep: usize, policy: Policy, seed: u64, rate: Rate) -> Tree {
    let mut driver = driver(tree(wide, deep, seed), policy);
    for node in driver.pool(LEVELS[deep - 1].0) {
        driver.upstream(node).failing = true;
    }
    let flow = driver.flow(Flow {
        key: "key0.secret".into(),
        team: "team0".parse().expect("a plain name"),
        importance: Importance::Normal,
        method: "GET".into(),
        path: LEVELS[0].1.into(),
        rate,
        retries: 0,
        wait: Span::ZERO,
        patience: Span::from_secs(30),
        claims: false,
        nodes: Vec::new(),
    });
    driver.run_for(Span::from_secs(20));
    driver.rate(flow, Rate::per_second(0));
    driver.run_for(Span::from_secs(30));
    count(&driver, deep)
}

fn tree(wide: usize, deep: usize, seed: u64) -> Setup {
    let mut site = Site::tuul();
    let levels = &LEVELS[..deep];
    let row = |(pool, path): &(&str, &str)| {
        let route =
            format!(r#"{{"name":"{pool}","path":"{path}","pool":"{pool}","deadline":"20s"}}"#);
        let pool = format!(r#"{{"name":"{pool}","slots":500,"queue":500}}"#);
        (route, pool)
    };
    let rows: Vec<_> = levels.iter().map(row).collect();
    let tables = &mut site.snapshot.tables;
    tables.routes = rows
        .iter()
        .map(|r| serde_json::from_str(&r.0).expect("a row"))
        .collect();
    tables.pools = rows
        .iter()
        .map(|r| serde_json::from_str(&r.1).expect("a row"))
        .collect();
    let mut setup = site.setup(seed);
    let below = |level: usize| {
        levels
            .get(level + 1)
            .map(|next| vec![("GET", next.1); wide])
    };
    let service = |(level, (pool, _)): (usize, &(&str, &str))| Service {
        pool: pool.parse().expect("a plain name"),
        instances: vec![1, 1, 1],
        slots: 500,
        work: Span::from_ms(5),
        nested: below(level).into_iter().collect(),
    };
    setup.services = levels.iter().enumerate().map(service).collect();
    setup
}

fn count(driver: &Driver, deep: usize) -> Tree {
    let ledger = &driver.ledger;
    let mut tries: BTreeMap<usize, u32> = BTreeMap::new();
    for job in ledger.attempts.values() {
        *tries.entry(*job).or_default() += 1;
    }
    let mut depths: Vec<usize> = Vec::new();
    let mut roots: BTreeMap<usize, (u32, u32)> = BTreeMap::new();
    for (number, job) in ledger.jobs.iter().enumerate() {
        let parent = job.parent.map(|(_, request)| ledger.attempts[&request]);
        let depth = parent.map_or(0, |parent| depths[parent] + 1);
        depths.push(depth);
        let (runs, retries) = roots.entry(job.root).or_default();
        *runs += if depth + 1 == deep { job.runs } else { 0 };
        *retries += tries.get(&number).copied().unwrap_or(1).saturating_sub(1);
    }
    Tree {
        deepest: roots.values().map(|root| root.0).max().unwrap_or(0),
        retries: roots.values().map(|root| root.1).max().unwrap_or(0),
    }
}

fn rates(driver: &mut Driver, flows: &[usize], like: &[Flow]) {
    for (number, flow) in flows.iter().zip(like) {
        driver.rate(*number, flow.rate);
    }
}

/// Requests whose whole answer came in each second.
fn whole_by_second(driver: &Driver) -> BTreeMap<u64, u64> {
    let mut series = BTreeMap::new();
    for item in &driver.ledger.items {
        if let Some(at) = item.whole {
            *series.entry(at.as_ms() / SECOND_MS).or_default() += 1;
        }
    }
    series
}

fn seconds(from: Time, until: Time) -> std::ops::Range<u64> {
    from.as_ms() / SECOND_MS..until.as_ms() / SECOND_MS
}

fn at(series: &BTreeMap<u64, u64>, second: u64) -> u64 {
    series.get(&second).copied().unwrap_or(0)
}

fn mean(series: &BTreeMap<u64, u64>, from: u64, until: u64) -> f64 {
    let total: u64 = (from..until).map(|second| at(series, second)).sum();
    total as f64 / (until - from).max(1) as f64
}

/// Seconds from `ended` until goodput is back at 95 % of `steady` and is so, in
/// the mean, for three seconds.
fn recovery(series: &BTreeMap<u64, u64>, steady: f64, ended: Time, until: Time) -> Option<u64> {
    let from = ended.as_ms() / SECOND_MS;
    let last = until.as_ms() / SECOND_MS - 3;
    (from..last)
        .find(|second| mean(series, *second, *second + 3) >= steady * 0.95)
        .map(|second| second - from)
}

/// The share of requests, first sent within a time, that were answered whole.
fn share(driver: &Driver, from: Time, until: Time, of: impl Fn(&Flow) -> bool) -> f64 {
    let items = driver.ledger.items.iter();
    let within = items.filter(|item| item.begun >= from && item.begun < until);
    let (mut all, mut whole) = (0u64, 0u64);
    for item in within.filter(|item| of(&driver.flows()[item.flow])) {
        all += 1;
        whole += u64::from(item.whole.is_some());
    }
    whole as f64 / all.max(1) as f64
}

fn worst(driver: &Driver, from: Time, until: Time, but: Option<&id::Team>) -> f64 {
    let mut teams: Vec<&id::Team> = driver.flows().iter().map(|f| &f.team).collect();
    teams.sort();
    teams.dedup();
    teams
        .into_iter()
        .filter(|team| Some(*team) != but)
        .map(|team| share(driver, from, until, |flow| flow.team == *team))
        .fold(1.0, f64::min)
}
