//! The level below which an inbound proxy sheds.
//!
//! The [`Controller`] integrates the queue's delay against the pool's target.
//! Its whole part says how many importances are shed entirely, its fraction how
//! much of the next one's demand. Inside that importance the teams share what
//! is left by weighted max-min fairness: a team that wants less than its fair
//! share is not shed at all, and the others get equal amounts for their weight.

use std::collections::BTreeMap;

use super::{
    RANKS_PER_IMPORTANCE,
    TOP, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::Team, //
};

/// How often the level moves.
const INTERVAL: Span = Span::from_ms(50);
/// Importances that the level climbs in one interval, for each target that the
/// delay is too long, and for each target that it grew.
const CLIMB: f64 = 0.02;
const LEAD: f64 = 0.05;
/// The most targets that count, either way.
const CLIP: f64 = 4.0;
/// Importances that the level falls in one interval without delay: at least,
/// and for a share of slots that is free. Around the balance nearly all slots
/// are in use and the level hardly moves, because ingress nodes still shed by
/// the level of a moment ago; when the cause of the overload has gone, most
/// slots are free and it falls fast.
const FALL: f64 = 0.002;
const FREE: f64 = 0.16;
/// The smallest step, relative to the one for a demand of one capacity.
const LEAST: f64 = 0.05;
/// The weight of the newest interval in a team's demand.
const FRESH: f64 = 0.03;
/// Demand cannot be told from what passes a cut that is nearly whole.
const DEEPEST: f64 = 0.97;
/// Requests in an interval below which a team counts as silent.
const SILENT: f64 = 0.01;

/// The demand of one team at one importance, in requests an interval.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    arrived: f64,
    mean: f64,
    weight: f64,
    cut: f64,
}

/// What the level follows.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// How long a request that came last would wait.
    pub queue_delay: Span,
    /// The share of slots in use.
    pub utilization: f64,
    /// Requests that the slots can serve in one second.
    pub service_rate: f64,
}

/// Moves the level and divides it among the teams.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    height: f64,
    delay: f64,
    next: Time,
    demand: BTreeMap<(Importance, Team), Demand>,
}

impl Controller {
    /// A request was let pass.
    pub fn record_admitted(&mut self, importance: Importance, team: &Team, weight: u32) {
        let key = (importance, team.clone());
        let demand = self.demand.entry(key).or_default();
        demand.arrived += 1.0;
        demand.weight = f64::from(weight.max(1));
    }

    /// The level that holds for a team.
    pub fn level(&self, team: &Team, fair: bool) -> u16 {
        let band = self.height.floor();
        let base = band as u16 * RANKS_PER_IMPORTANCE;
        if base >= TOP {
            return TOP;
        }
        let importance = Importance::ALL[band as usize];
        let cut = match self.demand.get(&(importance, team.clone())) {
            Some(demand) if fair => demand.cut,
            _ => self.height - band,
        };
        base + (cut * f64::from(RANKS_PER_IMPORTANCE)).round() as u16
    }

    /// Moves the level, when an interval has passed, by the queue's delay and
    /// the share of slots in use.
    pub fn tick(&mut self, now: Time, measurement: Measurement, target: Span) {
        if now < self.next {
            return;
        }
        self.next = now + INTERVAL;
        let target = target.as_ms().max(1) as f64;
        let delay = measurement.queue_delay.as_ms() as f64 / target;
        let grown = (delay - self.delay).clamp(-CLIP, CLIP);
        self.delay = delay;
        let step = if delay > 1.0 {
            CLIMB * (delay - 1.0).min(CLIP) + LEAD * grown
        } else {
            -(FALL + FREE * (1.0 - measurement.utilization).max(0.0)) * (1.0 - delay)
        };
        let top = Importance::ALL.len() as f64;
        let gain = self.gain(measurement.service_rate * INTERVAL.as_secs_f64());
        let free = (1.0 - measurement.utilization).max(0.0);
        let step = step * (gain + (1.0 - gain) * free);
        self.skip(step);
        self.height = (self.height + step).clamp(0.0, top);
        let band = self.height.floor();
        // A band that is shed whole shows no demand; what it wanted before is
        // the best guess for when it is let in again.
        let shown = |importance: Importance| f64::from(importance as u8) >= band;
        let demand = self.demand.iter_mut();
        demand
            .filter(|((importance, _), _)| shown(*importance))
            .for_each(|(_, demand)| demand.roll());
        self.demand
            .retain(|(importance, _), d| !shown(*importance) || d.mean > SILENT);
        self.divide();
    }

    /// Leaves out importances that nobody asks for, before the level moves by
    /// `step`.
    ///
    /// Guards against a level that moves and changes nothing. On its way up
    /// through importances without requests the queue times out for seconds
    /// before anything is shed; and once it has climbed into one, the slots stand
    /// empty until it is back. On the way up only those below every request are
    /// left out: the step to a higher importance still needs a delay that lasts.
    fn skip(&mut self, step: f64) {
        let asked = |band: f64| {
            let mut demand = self.demand.keys();
            demand.any(|(importance, _)| f64::from(*importance as u8) == band)
        };
        let band = self.height.floor();
        if step < 0.0 && !asked(band) {
            self.height = band;
        }
        let lowest = self.demand.keys().map(|(importance, _)| *importance).min();
        let lowest = lowest.map_or(0.0, |lowest| f64::from(lowest as u8));
        if step > 0.0 {
            self.height = self.height.max(lowest);
        } else if self.height <= lowest {
            self.height = 0.0;
        }
    }

    /// How many importances are shed, and which part of the next.
    pub fn shed_importances(&self) -> f64 {
        self.height
    }

    /// Whether anything is shed.
    pub fn overloaded(&self) -> bool {
        self.height > 0.0
    }

    /// When the level next moves, while it has reason to.
    pub fn due(&self) -> Time {
        self.next
    }

    /// Importances for one capacity. An importance that is wanted many times over
    /// is shed in small steps, so that a step changes what passes by the same
    /// amount everywhere.
    fn gain(&self, passes: f64) -> f64 {
        let band = self.height.floor();
        let here = |importance: &Importance| f64::from(*importance as u8) == band;
        let teams = self.demand.iter().filter(|((of, _), _)| here(of));
        let wanted: f64 = teams.map(|(_, demand)| demand.mean).sum();
        (passes / wanted.max(f64::EPSILON)).clamp(LEAST, 1.0)
    }

    fn divide(&mut self) {
        let band = self.height.floor();
        let Some(importance) = Importance::ALL.get(band as usize) else {
            return;
        };
        let shed = self.height - band;
        let services = Team::services();
        let here = self.demand.iter_mut();
        let here = here.filter(|((of, _), _)| of == importance);
        let (services, teams): (Vec<_>, Vec<_>) = here.partition(|((_, of), _)| *of == services);
        // Calls between services are no team of their own: they are made for
        // requests of all teams, and are cut as much as new work on the whole.
        // As one team among many they would get one share of many.
        services
            .into_iter()
            .for_each(|(_, demand)| demand.cut = shed);
        let mut teams: Vec<&mut Demand> = teams.into_iter().map(|(_, demand)| demand).collect();
        let wanted: f64 = teams.iter().map(|d| d.mean).sum();
        let share = fair_share(&mut teams, wanted * (1.0 - shed));
        for team in teams {
            let given = (share * team.weight).min(team.mean);
            team.cut = 1.0 - given / team.mean.max(f64::EPSILON);
        }
    }
}

impl Demand {
    fn roll(&mut self) {
        let wanted = self.arrived / (1.0 - self.cut.min(DEEPEST));
        self.mean += (wanted - self.mean) * FRESH;
        self.arrived = 0.0;
        self.cut = 0.0;
    }
}

/// The share for one unit of weight at which the teams together get `capacity`
/// and none gets more than it wants.
fn fair_share(teams: &mut [&mut Demand], capacity: f64) -> f64 {
    let want = |demand: &Demand| demand.mean / demand.weight.max(1.0);
    teams.sort_by(|a, b| want(a).total_cmp(&want(b)));
    let mut weight: f64 = teams.iter().map(|d| d.weight).sum();
    let mut rest = capacity;
    for team in teams.iter() {
        let share = rest / weight.max(f64::EPSILON);
        if want(team) >= share {
            return share;
        }
        rest -= team.mean;
        weight -= team.weight;
    }
    f64::INFINITY
}
