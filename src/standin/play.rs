//! Plays a scenario on the driver and judges its expectations.

use super::{
    driver::{
        Driver,
        Prepare, //
    },
    ledger::Item,
    promise::Promise,
    script::{
        Deed,
        Expectation,
        Relation,
        Script,
        Subject, //
    },
    site::Site,
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
    node::Core,
    unit::Rate, //
};

/// Goodput counts as recovered at this share of what it was before.
const RECOVERED_SHARE: f64 = 0.95;
/// Goodput is judged over steps of this length.
const GOODPUT_STEP: Span = Span::from_secs(1);
/// So many steps in a row must be good.
const STEADY_STEPS: u64 = 4;
/// A request counts as answered soon within this time, tries included.
const SOON_LIMIT: Span = Span::from_secs(2);

/// How long nodes that begin alone get to find each other.
const WARM_UP_TIME: Span = Span::from_secs(30);

/// How long the last requests get to end.
const COOL_DOWN_TIME: Span = Span::from_secs(10);

/// What became of one expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The expectation.
    pub expectation: Expectation,
    /// What was measured; times are in milliseconds.
    pub got: f64,
    /// Whether it holds.
    pub holds: bool,
}

/// A scenario that has been played to its end.
pub struct Play {
    /// The driver, with its ledger.
    pub driver: Driver,
    /// The site.
    pub site: Site,
    /// When it began.
    pub begun: Time,
    cold: bool,
    /// One verdict for each expectation.
    pub verdicts: Vec<Verdict>,
}

impl Play {
    /// Plays a scenario.
    ///
    /// # Errors
    ///
    /// When it names a node, pool, domain, team or code that does not exist.
    pub fn run(script: &Script) -> Result<Self> {
        Self::with(script, |_| {})
    }

    /// Plays a scenario with every core prepared, also after a restart.
    ///
    /// # Errors
    ///
    /// As [`Play::run`].
    pub fn prepared(script: &Script, prepare: impl Fn(&mut Core) + 'static) -> Result<Self> {
        Self::of(script, Box::new(prepare), |_| {})
    }

    /// Plays a scenario with something done to the driver before it begins.
    ///
    /// # Errors
    ///
    /// As [`Play::run`].
    pub fn with(script: &Script, begin: impl FnOnce(&mut Driver)) -> Result<Self> {
        Self::of(script, Box::new(|_| {}), begin)
    }

    fn of(script: &Script, prepare: Prepare, begin: impl FnOnce(&mut Driver)) -> Result<Self> {
        let mut site = match script.site.as_str() {
            "kandy" => Site::kandy(),
            _ => Site::tuul(),
        };
        if let Some((rate, burst)) = script.rates {
            site = site.with_rates(rate, burst);
        }
        let mut driver = Self::driver(script, &site, prepare)?;
        begin(&mut driver);
        let begun = driver.now();
        for mut flow in site.flows(100, script.retries) {
            flow.claims = script.claims && flow.method == "POST";
            flow.rate = Rate::per_second(0);
            driver.flow(flow);
        }
        let mut play = Self {
            cold: script.cold,
            driver,
            site,
            begun,
            verdicts: Vec::new(),
        };
        for (at, deed) in &script.deeds {
            play.driver.run(begun + *at);
            play.deed(deed)?;
        }
        play.driver.run(begun + script.length);
        // What is under way must end before it is judged; else the last moment
        // counts as failed for the time that a request takes.
        play.load(0.0, None);
        play.driver.run(begun + script.length + COOL_DOWN_TIME);
        for expectation in &script.expectations {
            let verdict = play.judge(expectation, script.length)?;
            play.verdicts.push(verdict);
        }
        Ok(play)
    }

    /// The nodes of the site, with what they begin with.
    fn driver(script: &Script, site: &Site, prepare: Prepare) -> Result<Driver> {
        let mut setup = site.setup(script.seed);
        setup.prepare = prepare;
        setup.net.cross = script.cross;
        setup.net.double = script.double;
        setup.net.silent = script.silent;
        setup.spy = script.spy;
        if script.cold {
            setup.snapshot = None;
            setup.acquainted = false;
        }
        let mut driver = Driver::new(setup);
        if script.cold {
            driver.publish(&site.document()?)?;
            driver.run_for(WARM_UP_TIME);
        }
        Ok(driver)
    }

    /// The expectations that do not hold.
    pub fn failures(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter().filter(|verdict| !verdict.holds)
    }

    fn group(&self, name: &str) -> Result<Vec<usize>> {
        let mut nodes = self.driver.pool(name);
        nodes.extend(self.driver.domain(name));
        let number = name
            .strip_prefix('n')
            .and_then(|digits| digits.parse().ok());
        nodes.extend(number.filter(|number: &usize| *number < self.driver.len()));
        match nodes.is_empty() {
            false => Ok(nodes),
            true => Err(Error::new(
                Code::Absent,
                format!("there is no node, pool or domain `{name}`"),
            )),
        }
    }

    fn load(&mut self, share: f64, team: Option<&str>) {
        let flows = self.site.flows(100, 0);
        for (number, flow) in flows.into_iter().enumerate() {
            if team.is_none_or(|team| flow.team.as_str() == team) {
                self.driver
                    .rate(number, flow.rate.scaled((share * 1000.0) as u64));
            }
        }
    }

    fn deed(&mut self, deed: &Deed) -> Result<()> {
        match deed {
            Deed::Load(share) => self.load(*share, None),
            Deed::Team(team, share) => self.load(*share, Some(team)),
            Deed::Pause(name, span) => self.each(name, |d, n| d.pause(n, *span))?,
            Deed::Kill(name) => self.each(name, Driver::kill)?,
            Deed::Restart(name) => self.each(name, Driver::restart)?,
            Deed::Drain(name) => self.each(name, Driver::drain)?,
            Deed::Part(name, cut) => {
                let group = self.group(name)?;
                self.driver.part(&group, *cut);
            }
            Deed::Sever(name) => {
                for a in self.group(name)? {
                    (0..self.driver.len())
                        .filter(|b| *b != a)
                        .for_each(|b| self.driver.sever(a, b));
                }
            }
            Deed::Slow(name, factor) => self.each(name, |d, n| d.upstream(n).slow = *factor)?,
            Deed::Fail(name, ill) => self.each(name, |d, n| d.upstream(n).failing = *ill)?,
            Deed::Refuse(name, ill) => self.each(name, |d, n| d.upstream(n).refusing = *ill)?,
            Deed::Unreached(name, true) => {
                let group = self.group(name)?;
                self.driver.unreached.extend(group);
            }
            Deed::Unreached(name, false) => {
                let group = self.group(name)?;
                self.driver.unreached.retain(|node| !group.contains(node));
            }
            Deed::Out(out) => self.driver.weather.out = *out,
            Deed::Lag(span) => self.driver.weather.slow = *span,
            Deed::Lost(share) => self.driver.weather.lost = *share,
            Deed::Loss(share) => self.driver.loss(*share),
            Deed::Withdraw(key) => self.withdraw(key)?,
        }
        Ok(())
    }

    fn each(&mut self, name: &str, act: impl Fn(&mut Driver, usize)) -> Result<()> {
        let group = self.group(name)?;
        group
            .into_iter()
            .for_each(|node| act(&mut self.driver, node));
        Ok(())
    }

    fn withdraw(&mut self, key: &str) -> Result<()> {
        let keys = &mut self.site.snapshot.teams.keys;
        let before = keys.len();
        keys.retain(|held| held.name.as_str() != key);
        if keys.len() == before {
            return Err(Error::new(Code::Absent, format!("there is no key `{key}`")));
        }
        self.site.snapshot.version.0 += 1;
        if self.driver.plant == Some(Promise::Withdrawn) {
            return Ok(());
        }
        if self.cold {
            return self.driver.publish(&self.site.document()?);
        }
        self.driver.adopt(&self.site.snapshot);
        Ok(())
    }

    fn judge(&self, expectation: &Expectation, length: Span) -> Result<Verdict> {
        let from = self.begun + expectation.from;
        let until = self.begun + expectation.until.unwrap_or(length);
        let got = self.measure(&expectation.subject, from, until)?;
        let holds = match expectation.relation {
            Relation::Equal => (got - expectation.bound).abs() < 1e-9,
            Relation::AtLeast => got >= expectation.bound - 1e-9,
            Relation::AtMost => got <= expectation.bound + 1e-9,
        };
        Ok(Verdict {
            expectation: expectation.clone(),
            got,
            holds,
        })
    }

    /// Measures one thing over a part of the run.
    ///
    /// # Errors
    ///
    /// When the subject names a team or code that does not exist.
    pub fn measure(&self, subject: &Subject, from: Time, until: Time) -> Result<f64> {
        let ledger = &self.driver.ledger;
        let got = match subject {
            Subject::Broken => ledger.broken.len() as f64,
            Subject::Excess => self.excess(),
            Subject::Sent => self.count(from, until, |_| true).0 as f64,
            Subject::Wasted => ledger.wasted(),
            Subject::Whole(importance) => {
                let wanted = |flow: usize| {
                    importance.is_none_or(|i| self.driver.flow_at(flow).importance == i)
                };
                share(self.count(from, until, wanted))
            }
            Subject::Capacity => {
                let (_, whole) = self.count(from, until, |_| true);
                whole as f64 / (self.site.capacity as f64 * until.since(from).as_secs_f64())
            }
            Subject::Worst => self.worst(from, until),
            Subject::Refused(name) => {
                let codes = crate::code::Code::ALL;
                let code = codes
                    .iter()
                    .find(|code| code.name() == name)
                    .ok_or_else(|| {
                        Error::new(Code::Absent, format!("there is no code `{name}`"))
                    })?;
                let count = ledger.refused.get(code).copied().unwrap_or(0);
                count as f64 / ledger.jobs.len().max(1) as f64
            }
            Subject::Recovery(after) => self.recovery(self.begun + *after, until),
            Subject::LastRun(team, after) => {
                let last = ledger
                    .last_run
                    .iter()
                    .find(|(name, _)| name.as_str() == team);
                let (_, last) = last.ok_or_else(|| {
                    Error::new(Code::Absent, format!("team `{team}` ran nothing"))
                })?;
                last.since(self.begun + *after).as_ms() as f64
            }
        };
        Ok(got)
    }

    fn excess(&self) -> f64 {
        let teams = self.site.snapshot.teams.teams.iter();
        let excess = |t: &crate::team::Team| self.driver.ledger.excess(&t.name, t.rate, t.burst);
        teams.map(excess).fold(0.0, f64::max)
    }

    fn count(&self, from: Time, until: Time, wanted: impl Fn(usize) -> bool) -> (u64, u64) {
        let items = self.driver.ledger.items.iter();
        items
            .filter(|item| wanted(item.flow) && item.begun >= from && item.begun < until)
            .fold((0, 0), |(all, whole), item| {
                (all + 1, whole + u64::from(item.whole.is_some()))
            })
    }

    fn worst(&self, from: Time, until: Time) -> f64 {
        let of = |team: &crate::team::Team| {
            let counts = self.count(from, until, |flow| {
                self.driver.flow_at(flow).team == team.name
            });
            share(counts)
        };
        self.site
            .snapshot
            .teams
            .teams
            .iter()
            .map(of)
            .fold(1.0, f64::min)
    }

    /// The share of the requests that were first sent in a step and answered
    /// whole soon after.
    fn prompt(&self, at: Time) -> f64 {
        let items = self.driver.ledger.items.iter();
        let begun = items.filter(|item| item.begun >= at && item.begun < at + GOODPUT_STEP);
        let whole = |item: &Item| item.whole.is_some_and(|w| w <= item.begun + SOON_LIMIT);
        share(begun.fold((0, 0), |(all, good), i| {
            (all + 1, good + u64::from(whole(i)))
        }))
    }

    /// The time until a run of steps is as good as before.
    fn recovery(&self, after: Time, until: Time) -> f64 {
        let before = self.prompt(self.begun + GOODPUT_STEP);
        let good = |at: Time| self.prompt(at) >= before * RECOVERED_SHARE;
        let mut at = after;
        while at + GOODPUT_STEP.scale(STEADY_STEPS as f64) + SOON_LIMIT <= until {
            let steps = (0..STEADY_STEPS).map(|step| at + GOODPUT_STEP.scale(step as f64));
            if steps.into_iter().all(good) {
                return at.since(after).as_ms() as f64;
            }
            at += Span::from_ms(250);
        }
        f64::INFINITY
    }
}

fn share((all, whole): (u64, u64)) -> f64 {
    if all == 0 {
        1.0
    } else {
        whole as f64 / all as f64
    }
}
