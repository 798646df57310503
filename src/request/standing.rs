//! How a team's priority and a route's importance make one importance.
//!
//! Operators give teams a priority and routes an importance, and the team's goes
//! first: whatever a team of lower priority asks is shed before all that a higher
//! one asks. The steps that are in use are laid out in this order, from critical
//! down; what does not fit any more is of the least importance. Where all teams
//! have one priority, a request has its route's importance.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::{
    context::Importance,
    document::Snapshot,
    id::{
        Team,
        Version, //
    },
};

/// The order of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Order {
    version: Option<Version>,
    /// How many priorities stand before a team's own.
    behind: BTreeMap<Team, usize>,
    /// The importances of the routes that need a key, the highest first.
    routes: Vec<Importance>,
}

impl Order {
    /// Reads a configuration, when it is a new one.
    pub fn read(&mut self, snapshot: &Snapshot) {
        if self.version == Some(snapshot.version) {
            return;
        }
        self.version = Some(snapshot.version);
        let teams = &snapshot.teams.teams;
        let priorities: BTreeSet<u32> = teams.iter().map(|team| team.priority).collect();
        let before = |priority: u32| priorities.range(..priority).count();
        self.behind = teams
            .iter()
            .map(|team| (team.name.clone(), before(team.priority)))
            .collect();
        let keyed = snapshot.tables.routes.iter().filter(|route| !route.keyless);
        let used: BTreeSet<Importance> = keyed.map(|route| route.importance).collect();
        self.routes = used.into_iter().rev().collect();
    }

    /// The importance of a team's request on a route of this importance.
    pub fn importance(&self, team: &Team, route: Importance) -> Importance {
        let several = self.behind.values().any(|behind| *behind > 0);
        let behind = self.behind.get(team).copied().unwrap_or(0);
        let place = self.routes.iter().position(|used| *used == route);
        match place {
            Some(place) if several => {
                let step = behind * self.routes.len() + place;
                let down = Importance::ALL.len().saturating_sub(1 + step);
                Importance::ALL[down]
            }
            _ => route,
        }
    }
}
