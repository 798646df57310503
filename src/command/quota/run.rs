//! One trial: a site, a way to share rates, and a scene.

use super::{
    Scene,
    Way, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    code::Code,
    context::Importance,
    id,
    quota::Bucket,
    standin::{
        driver::Driver,
        ledger::Flow,
        site::Site, //
    },
    team::Team,
    unit::Rate, //
};

/// Time for the first owners to be found and their buckets to fill.
const SETTLE_TIME: Span = Span::from_secs(15);
/// The rate of a small team, in requests a second; large ones have four times it.
const SMALL_TEAM_RATE: u64 = 16;
/// What teams call, in percent of their rates.
const USUAL_LOAD_PERCENT: u64 = 80;
/// What the one greedy team calls.
const GREEDY_LOAD_PERCENT: u64 = 300;
/// Which team that is.
const GREEDY_TEAM: usize = 7;

/// What came of a trial.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that callers made.
    pub offered: u64,
    /// Those of them that one bucket would have let through.
    pub within: u64,
    /// How many fewer than these were let through. Which requests of a team that
    /// is over its rate pass is chance, so they are counted and not compared one
    /// by one.
    pub refused: u64,
    /// The share refused of the team that fared worst, in percent.
    pub worst_percent: f64,
    /// Seconds in which at least one was refused.
    pub seconds: usize,
    /// Requests above rate and burst, over the worst window of the worst team.
    pub excess: f64,
    /// Store calls a second of the whole fleet.
    pub calls: f64,
    /// Store writes a second of the whole fleet.
    pub writes: f64,
    /// Promises of any kind that were broken.
    pub broken: Vec<String>,
}

impl Outcome {
    /// The share refused, in percent.
    pub fn refused_percent(&self) -> f64 {
        100.0 * self.refused as f64 / self.within.max(1) as f64
    }
}

/// A site under way.
pub struct Trial {
    driver: Driver,
    teams: Vec<Team>,
    domains: Vec<&'static str>,
    begun: Time,
}

impl Trial {
    /// A settled fleet with its callers.
    pub fn new(site: Site, way: &Way, seed: u64) -> Self {
        let site = site.with_rates(SMALL_TEAM_RATE, SMALL_TEAM_RATE as u32);
        let mut setup = site.setup(seed);
        setup.net.jitter = Span::from_ms(3);
        setup.net.loss = 0.02;
        setup.net.double = 0.02;
        let (mode, setting) = (way.mode, way.setting());
        setup.prepare = Box::new(move |core| core.configure(mode, setting));
        let domains = setup.domains.clone();
        let mut driver = Driver::new(setup);
        driver.run_for(SETTLE_TIME);
        let teams = site.snapshot.teams.teams.clone();
        for (number, team) in teams.iter().enumerate() {
            driver.flow(flow(&site, number, team));
        }
        // The first seconds fill the estimates of demand and are not judged.
        driver.run_for(Span::from_secs(5));
        let begun = driver.now();
        Self {
            driver,
            teams,
            domains,
            begun,
        }
    }

    /// Runs the scene and judges it.
    pub fn run(mut self, scene: Scene) -> Outcome {
        let before = (self.driver.store.calls(), self.driver.store.writes());
        self.play(scene);
        let after = (self.driver.store.calls(), self.driver.store.writes());
        let span = self.driver.now().since(self.begun).as_secs_f64();
        let mut outcome = self.judge();
        outcome.calls = (after.0 - before.0) as f64 / span;
        outcome.writes = (after.1 - before.1) as f64 / span;
        outcome
    }

    fn play(&mut self, scene: Scene) {
        let end = self.driver.now() + scene.length();
        self.driver.run_for(Span::from_secs(5));
        let (owner, successor) = self.owners();
        match scene {
            Scene::Steady => {}
            Scene::Moving => self.wander(end),
            Scene::OwnerKilled => self.driver.kill(owner),
            Scene::OwnerPaused => self.driver.pause(owner, Span::from_secs(30)),
            Scene::OwnerLeaves => self.driver.drain(owner),
            Scene::StoreOut => self.outage(None),
            Scene::StoreOutOwnerKilled => self.outage(Some(owner)),
            Scene::StoreOutSuccessorKilled => self.outage(Some(successor)),
            Scene::AnswersLost => {
                self.driver.weather.lost = 0.33;
                self.driver.run_for(Span::from_secs(10));
                self.driver.kill(owner);
            }
            Scene::DomainCutOff => {
                let group = self.driver.domain(self.domain_of(owner));
                self.driver.part(&group, true);
                self.driver.run_for(Span::from_secs(30));
                self.driver.part(&group, false);
            }
            Scene::DomainLost => {
                let group = self.driver.domain(self.domain_of(owner));
                group.into_iter().for_each(|node| self.driver.kill(node));
            }
        }
        self.driver.run(end);
    }

    fn domain_of(&self, node: usize) -> &'static str {
        let within = |domain: &&&str| self.driver.domain(domain).contains(&node);
        self.domains.iter().find(within).copied().unwrap_or("")
    }

    /// The node that owns most quotas, and the one after it.
    fn owners(&mut self) -> (usize, usize) {
        let now = self.driver.now();
        let count = self.driver.len();
        let mut seats = |node: usize| {
            let core = self.driver.core(node);
            core.map_or(0, |core| core.seat_manager().seats(now).len())
        };
        let mut ranked: Vec<(usize, usize)> = (0..count).map(|node| (seats(node), node)).collect();
        ranked.sort_by(|a, b| b.cmp(a));
        (ranked[0].1, ranked[1].1)
    }

    fn outage(&mut self, victim: Option<usize>) {
        self.driver.weather.out = true;
        self.driver.run_for(Span::from_secs(60));
        if let Some(victim) = victim {
            self.driver.kill(victim);
        }
        self.driver.run_for(Span::from_secs(540));
        self.driver.weather.out = false;
    }

    fn wander(&mut self, end: Time) {
        let count = self.driver.len();
        let mut node = 0;
        while self.driver.now() < end {
            node = (node + 5) % count;
            for flow in self.driver.flows_mut() {
                flow.nodes = vec![node];
            }
            self.driver.run_for(Span::from_secs(5));
        }
    }

    fn judge(&self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut seconds = std::collections::BTreeSet::new();
        for (number, team) in self.teams.iter().enumerate() {
            let (within, refused) = self.judge_team(number, team, &mut outcome, &mut seconds);
            let percent = 100.0 * refused as f64 / within.max(1) as f64;
            outcome.worst_percent = outcome.worst_percent.max(percent);
            outcome.within += within;
            outcome.refused += refused;
            let excess = self.driver.ledger.excess(&team.name, team.rate, team.burst);
            outcome.excess = outcome.excess.max(excess);
        }
        outcome.seconds = seconds.len();
        outcome.broken.clone_from(&self.driver.ledger.broken);
        outcome
    }

    fn judge_team(
        &self,
        number: usize,
        team: &Team,
        outcome: &mut Outcome,
        seconds: &mut std::collections::BTreeSet<u64>,
    ) -> (u64, u64) {
        let cap = u64::from(team.burst) * 1000;
        let mut ideal = Bucket::with_millis(cap, Time::ZERO);
        let (mut within, mut admitted) = (0u64, 0);
        let items = self.driver.ledger.items.iter();
        for item in items.filter(|item| item.flow == number) {
            ideal.refill(item.begun, team.rate, cap);
            let fits = ideal.take(1);
            if item.begun < self.begun {
                continue;
            }
            outcome.offered += 1;
            let rated = matches!(
                item.refused,
                Some(Code::RateExceeded | Code::RateUnavailable)
            );
            within += u64::from(fits);
            admitted += u64::from(!rated);
            if fits && rated && number != GREEDY_TEAM {
                seconds.insert(item.begun.as_ms() / 1000);
            }
        }
        (within, within.saturating_sub(admitted))
    }
}

fn flow(site: &Site, number: usize, team: &Team) -> Flow {
    let percent = if number == GREEDY_TEAM {
        GREEDY_LOAD_PERCENT
    } else {
        USUAL_LOAD_PERCENT
    };
    let key: id::Key = format!("key{number}").parse().expect("a plain name");
    let leaf = site.calls.last().map_or("/", |call| call.2);
    Flow {
        key: format!("{key}.secret"),
        team: team.name.clone(),
        importance: Importance::Normal,
        method: "GET".into(),
        path: leaf.into(),
        rate: Rate::per_second(1).scaled(team.rate.as_millis() * percent / 100),
        retries: 0,
        wait: Span::ZERO,
        patience: Span::from_secs(5),
        claims: false,
        nodes: Vec::new(),
    }
}
