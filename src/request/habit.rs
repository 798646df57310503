//! Which calls the requests of a route make, where nothing tells which request
//! made a call.
//!
//! The node beside a service sees which requests run there and which calls come
//! out. What it cannot see is which request made which call. Over time it can
//! tell all the same: the calls of a moment are a sum over the requests that run
//! in it, so many for each route, and as the mix changes the parts come apart. A
//! least-squares fit with no negative parts, over the last half minute, finds
//! them.

use std::collections::BTreeMap;

use crate::{
    clock::{
        Span,
        Time, //
    },
    id::Route,
};

/// The time between two samples of what runs.
const SAMPLE: Span = Span::from_ms(50);
/// Samples that make one observation: long enough that the calls of a request
/// mostly fall into the same one as its run.
const SAMPLES: u32 = 10;
/// What an observation counts for after one more; the fit looks back over some
/// sixty of them, half a minute.
const KEPT: f64 = 0.985;
/// Draws parts that the observations hardly show towards none.
const RIDGE: f64 = 2.0;
/// Passes over all parts in one fit.
const PASSES: usize = 8;
/// Observations before the fit says anything.
const LEAST: f64 = 6.0;

/// What was observed together.
#[derive(Clone, Debug, Default)]
struct Sums {
    /// Products of what ran, for each pair of routes.
    together: BTreeMap<(Route, Route), f64>,
    /// Products of what ran and what was called.
    calls: BTreeMap<(Route, Route), f64>,
    count: f64,
}

/// Learns which routes call which.
#[derive(Clone, Debug, Default)]
pub struct Habits {
    next: Time,
    samples: u32,
    ran: BTreeMap<Route, f64>,
    called: BTreeMap<Route, f64>,
    sums: Sums,
    /// Calls in one sample for each request that runs.
    parts: BTreeMap<(Route, Route), f64>,
}

impl Habits {
    /// A call came out of the service.
    pub fn called(&mut self, route: &Route) {
        *self.called.entry(route.clone()).or_default() += 1.0;
    }

    /// Looks at what runs, when it is time. Says whether the fit is new.
    pub fn look<'a>(&mut self, now: Time, running: impl Iterator<Item = &'a Route>) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + SAMPLE;
        for route in running {
            *self.ran.entry(route.clone()).or_default() += 1.0;
        }
        self.samples += 1;
        if self.samples < SAMPLES {
            return false;
        }
        self.samples = 0;
        let ran = std::mem::take(&mut self.ran);
        let called = std::mem::take(&mut self.called);
        if ran.is_empty() && called.is_empty() {
            return false;
        }
        self.sums.add(&ran, &called);
        self.fit();
        true
    }

    /// Calls on a route for each request of another that takes this long.
    pub fn share(&self, route: &Route, called: &Route, took: Span) -> f64 {
        if self.sums.count < LEAST {
            return 0.0;
        }
        let part = self.parts.get(&(route.clone(), called.clone()));
        part.map_or(0.0, |part| {
            part * took.as_ms() as f64 / SAMPLE.as_ms() as f64
        })
    }

    /// All pairs of a route and one that it may call.
    pub fn pairs(&self) -> impl Iterator<Item = &(Route, Route)> {
        self.parts.keys()
    }

    /// Coordinate descent: each part in turn takes what the others leave.
    fn fit(&mut self) {
        let runs: Vec<Route> = self.sums.routes();
        let outs: Vec<Route> = self.sums.outs();
        for out in &outs {
            for _ in 0..PASSES {
                for run in &runs {
                    let key = (run.clone(), out.clone());
                    let others: f64 = runs
                        .iter()
                        .filter(|other| *other != run)
                        .map(|other| {
                            let part = self.parts.get(&(other.clone(), out.clone()));
                            part.copied().unwrap_or(0.0) * self.sums.both(run, other)
                        })
                        .sum();
                    let seen = self.sums.calls.get(&key).copied().unwrap_or(0.0);
                    let own = self.sums.both(run, run) + RIDGE;
                    self.parts.insert(key, ((seen - others) / own).max(0.0));
                }
            }
        }
        self.parts
            .retain(|(run, out), _| runs.contains(run) && outs.contains(out));
    }
}

impl Sums {
    fn add(&mut self, ran: &BTreeMap<Route, f64>, called: &BTreeMap<Route, f64>) {
        let fade = |sums: &mut BTreeMap<(Route, Route), f64>| {
            sums.values_mut().for_each(|sum| *sum *= KEPT);
            sums.retain(|_, sum| *sum > 1e-3);
        };
        fade(&mut self.together);
        fade(&mut self.calls);
        self.count = self.count * KEPT + 1.0;
        for (route, count) in ran {
            for (other, times) in ran {
                let key = (route.clone(), other.clone());
                *self.together.entry(key).or_default() += count * times;
            }
            for (out, times) in called {
                let key = (route.clone(), out.clone());
                *self.calls.entry(key).or_default() += count * times;
            }
        }
    }

    fn both(&self, a: &Route, b: &Route) -> f64 {
        let key = (a.clone(), b.clone());
        self.together.get(&key).copied().unwrap_or(0.0)
    }

    fn routes(&self) -> Vec<Route> {
        let own = self.together.keys().filter(|(a, b)| a == b);
        own.map(|(route, _)| route.clone()).collect()
    }

    fn outs(&self) -> Vec<Route> {
        let mut outs: Vec<_> = self.calls.keys().map(|(_, out)| out.clone()).collect();
        outs.sort();
        outs.dedup();
        outs
    }
}
