//! The level below which an inbound proxy sheds requests.
//!
//! The [`Controller`] integrates the difference between the queue delay and the
//! pool's target. The integer part of the result is the number of importances
//! that are shed entirely; the fraction is the share of the next importance's
//! demand that is shed. Within that importance the teams share the remaining
//! capacity by weighted max-min fairness: a team that wants less than its fair
//! share is not shed at all, and the others get equal amounts for their weight.

use std::collections::BTreeMap;

use super::{
    RANKS_PER_IMPORTANCE,
    SHED_ALL, //
};
use crate::{
    clock::{
        Span,
        Time, //
    },
    context::Importance,
    id::Team, //
};

/// Time between two updates of the level.
const UPDATE_INTERVAL: Span = Span::from_ms(50);
/// Gains of the PI controller while the delay is too long, in importances for
/// each interval. The integral gain applies to the excess of the delay over the
/// target, in targets; the proportional gain to the change of the delay since
/// the last update, in targets.
const INTEGRAL_GAIN: f64 = 0.02;
const PROPORTIONAL_GAIN: f64 = 0.05;
/// Clamp on the excess and on the change of the delay, in targets.
const MAX_ERROR: f64 = 4.0;
/// Importances by which the level falls in one interval without delay: a fixed
/// part, and a part that is multiplied by the share of free slots. Near the
/// equilibrium almost all slots are in use and the level hardly moves, because
/// ingress nodes still shed by a slightly older level. Once the cause of the
/// overload is gone, most slots are free and the level falls quickly.
const MIN_DECAY: f64 = 0.002;
const FREE_SLOT_DECAY: f64 = 0.16;
/// Lower bound on the scale of a step; the scale is 1 when demand is at most
/// the capacity.
const MIN_STEP_SCALE: f64 = 0.05;
/// EWMA weight of the newest interval in a team's demand.
const DEMAND_EWMA_WEIGHT: f64 = 0.03;
/// Upper bound on the shed share that is used to estimate demand: when almost
/// everything is shed, the admitted requests say little about the demand.
const MAX_ESTIMATION_SHED_SHARE: f64 = 0.97;
/// Teams with fewer requests for each interval are dropped from the demand.
const MIN_DEMAND: f64 = 0.01;

/// The demand of one team at one importance, in requests for each interval.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Requests admitted since the last update.
    admitted: f64,
    /// Estimated demand, including shed requests.
    mean: f64,
    weight: f64,
    /// Share of the demand that is shed now.
    shed_share: f64,
}

/// The inputs of one controller update.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// How long a request at the end of the queue would wait.
    pub queue_delay: Span,
    /// The share of slots in use.
    pub utilization: f64,
    /// Requests that the slots can serve in one second.
    pub service_rate: f64,
}

/// Adjusts the level and divides the shedding among the teams.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    shed_importances: f64,
    /// The queue delay at the last update, in targets.
    last_delay: f64,
    next_update: Time,
    demand: BTreeMap<(Importance, Team), Demand>,
}

impl Controller {
    /// Records that a request was admitted.
    pub fn record_admitted(&mut self, importance: Importance, team: &Team, weight: u32) {
        let key = (importance, team.clone());
        let demand = self.demand.entry(key).or_default();
        demand.admitted += 1.0;
        demand.weight = f64::from(weight.max(1));
    }

    /// The level for a team.
    pub fn level(&self, team: &Team, fair: bool) -> u16 {
        let partial = self.shed_importances.floor();
        let base = partial as u16 * RANKS_PER_IMPORTANCE;
        if base >= SHED_ALL {
            return SHED_ALL;
        }
        let importance = Importance::ALL[partial as usize];
        let shed_share = match self.demand.get(&(importance, team.clone())) {
            Some(demand) if fair => demand.shed_share,
            _ => self.shed_importances - partial,
        };
        base + (shed_share * f64::from(RANKS_PER_IMPORTANCE)).round() as u16
    }

    /// Updates the level from the queue delay and the utilization, once an
    /// update interval has passed.
    pub fn tick(&mut self, now: Time, measurement: Measurement, target: Span) {
        if now < self.next_update {
            return;
        }
        self.next_update = now + UPDATE_INTERVAL;
        let target = target.as_ms().max(1) as f64;
        let delay = measurement.queue_delay.as_ms() as f64 / target;
        let change = (delay - self.last_delay).clamp(-MAX_ERROR, MAX_ERROR);
        self.last_delay = delay;
        let step = if delay > 1.0 {
            INTEGRAL_GAIN * (delay - 1.0).min(MAX_ERROR) + PROPORTIONAL_GAIN * change
        } else {
            -(MIN_DECAY + FREE_SLOT_DECAY * (1.0 - measurement.utilization).max(0.0))
                * (1.0 - delay)
        };
        let max = Importance::ALL.len() as f64;
        let scale = self.step_scale(measurement.service_rate * UPDATE_INTERVAL.as_secs_f64());
        let free = (1.0 - measurement.utilization).max(0.0);
        let step = step * (scale + (1.0 - scale) * free);
        self.skip_unused_importances(step);
        self.shed_importances = (self.shed_importances + step).clamp(0.0, max);
        let partial = self.shed_importances.floor();
        // Nothing is admitted of an importance that is shed entirely, so its
        // demand cannot be measured. Its former demand is kept as the best
        // estimate for when it is admitted again.
        let measurable = |importance: Importance| f64::from(importance as u8) >= partial;
        let demand = self.demand.iter_mut();
        demand
            .filter(|((importance, _), _)| measurable(*importance))
            .for_each(|(_, demand)| demand.update_mean());
        self.demand
            .retain(|(importance, _), d| !measurable(*importance) || d.mean > MIN_DEMAND);
        self.divide_among_teams();
    }

    /// Skips importances without requests, before the level moves by `step`.
    ///
    /// Otherwise the level would move without any effect on what is admitted.
    /// On the way up through importances without requests, requests time out in
    /// the queue for seconds before anything is shed; and once the level is
    /// inside such an importance, slots stay free until it has come back down.
    /// On the way up only the importances below that of every request are
    /// skipped: the step to a higher importance still needs a lasting delay.
    fn skip_unused_importances(&mut self, step: f64) {
        let is_used = |index: f64| {
            let mut demand = self.demand.keys();
            demand.any(|(importance, _)| f64::from(*importance as u8) == index)
        };
        let partial = self.shed_importances.floor();
        if step < 0.0 && !is_used(partial) {
            self.shed_importances = partial;
        }
        let lowest = self.demand.keys().map(|(importance, _)| *importance).min();
        let lowest = lowest.map_or(0.0, |lowest| f64::from(lowest as u8));
        if step > 0.0 {
            self.shed_importances = self.shed_importances.max(lowest);
        } else if self.shed_importances <= lowest {
            self.shed_importances = 0.0;
        }
    }

    /// The number of importances that are shed entirely, plus the shed share of
    /// the next one.
    pub fn shed_importances(&self) -> f64 {
        self.shed_importances
    }

    /// Whether anything is shed.
    pub fn overloaded(&self) -> bool {
        self.shed_importances > 0.0
    }

    /// Time of the next update; relevant while there is overload or a queue.
    pub fn due(&self) -> Time {
        self.next_update
    }

    /// Scale of a step: the capacity for one interval over the demand of the
    /// importance that is shed in part. With demand of many times the capacity
    /// the steps are small, so that one step changes the admitted load by about
    /// the same amount in every importance.
    fn step_scale(&self, capacity: f64) -> f64 {
        let partial = self.shed_importances.floor();
        let is_partial = |importance: &Importance| f64::from(*importance as u8) == partial;
        let teams = self.demand.iter().filter(|((of, _), _)| is_partial(of));
        let wanted: f64 = teams.map(|(_, demand)| demand.mean).sum();
        (capacity / wanted.max(f64::EPSILON)).clamp(MIN_STEP_SCALE, 1.0)
    }

    /// Sets the shed share of each team in the importance that is shed in part.
    fn divide_among_teams(&mut self) {
        let partial = self.shed_importances.floor();
        let Some(importance) = Importance::ALL.get(partial as usize) else {
            return;
        };
        let shed_share = self.shed_importances - partial;
        let services = Team::services();
        let demand = self.demand.iter_mut();
        let demand = demand.filter(|((of, _), _)| of == importance);
        let (services, teams): (Vec<_>, Vec<_>) = demand.partition(|((_, of), _)| *of == services);
        // Calls between services are made for the requests of all teams, so
        // they are shed by the overall share. Treated as one team among many
        // they would get only that one team's share.
        services
            .into_iter()
            .for_each(|(_, demand)| demand.shed_share = shed_share);
        let mut teams: Vec<&mut Demand> = teams.into_iter().map(|(_, demand)| demand).collect();
        let wanted: f64 = teams.iter().map(|d| d.mean).sum();
        let share = fair_share(&mut teams, wanted * (1.0 - shed_share));
        for team in teams {
            let granted = (share * team.weight).min(team.mean);
            team.shed_share = 1.0 - granted / team.mean.max(f64::EPSILON);
        }
    }
}

impl Demand {
    /// Adds the interval that has passed to the mean, and starts a new one.
    fn update_mean(&mut self) {
        let wanted = self.admitted / (1.0 - self.shed_share.min(MAX_ESTIMATION_SHED_SHARE));
        self.mean += (wanted - self.mean) * DEMAND_EWMA_WEIGHT;
        self.admitted = 0.0;
        self.shed_share = 0.0;
    }
}

/// The max-min fair share for one unit of weight: the teams together get
/// `capacity`, and none gets more than its demand.
fn fair_share(teams: &mut [&mut Demand], capacity: f64) -> f64 {
    let per_weight = |demand: &Demand| demand.mean / demand.weight.max(1.0);
    teams.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut weight: f64 = teams.iter().map(|d| d.weight).sum();
    let mut remaining = capacity;
    for team in teams.iter() {
        let share = remaining / weight.max(f64::EPSILON);
        if per_weight(team) >= share {
            return share;
        }
        remaining -= team.mean;
        weight -= team.weight;
    }
    f64::INFINITY
}
