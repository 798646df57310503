//! The queue of admitted requests that wait for a slot.
//!
//! The queue is short. Requests are ordered by importance, then nested calls
//! before new roots, then the team that was served least for its weight, then
//! the oldest root. Where the roots of nested calls are only inferred, the calls
//! are ordered by the rank of their root instead, so that all calls of one root
//! get about the same position: of four sequential calls the last is useless
//! when the third was shed. Under overload the least important requests are
//! served newest first, because the oldest ones would soon time out anyway. When
//! the queue is full, the last of the least important requests is evicted, from
//! the team with the most requests in the queue.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

use crate::{
    context::Importance,
    id::{
        Request,
        Team, //
    },
};

/// One waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its id.
    pub request: Request,
    /// The importance of its root.
    pub importance: Importance,
    /// Whether it is a nested call, so that its root already runs elsewhere.
    pub nested: bool,
    /// The team that is charged for it.
    pub team: Team,
    /// The team's weight.
    pub weight: u32,
    /// Its position within its team; the lowest is served first.
    pub order_key: u64,
    /// Whether `order_key` is made from the rank of the root, not from its age.
    pub by_rank: bool,
}

/// Importance, and whether the request is a new root that nested calls precede;
/// the lowest key is served first.
type LaneKey = (Reverse<Importance>, bool);

/// The team that a request is accounted to; none while all teams are alike.
type TeamKey = Option<Team>;

#[derive(Clone, Debug, Default)]
struct Lane {
    teams: BTreeMap<TeamKey, BTreeMap<(u64, Request), Item>>,
}

/// Which ordering rules are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// The more important first.
    pub by_importance: bool,
    /// Nested calls before new roots.
    pub nested_first: bool,
    /// The team that was served least for its weight first.
    pub fair: bool,
    /// Under overload the least important newest first.
    pub newest_first: bool,
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<LaneKey, Lane>,
    positions: BTreeMap<Request, (LaneKey, TeamKey, u64)>,
    served: ServedByTeam,
}

/// Requests started for each team, divided by its weight.
#[derive(Clone, Debug, Default)]
struct ServedByTeam {
    served: BTreeMap<Team, f64>,
    /// The count of every team that is not in the map.
    floor: f64,
}

impl Queue {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Whether this request is in the queue.
    pub fn contains(&self, request: Request) -> bool {
        self.positions.contains_key(&request)
    }

    /// The number of requests that would be served before this one.
    pub fn ahead(&self, item: &Item, order: Order) -> usize {
        let key = order.lane_key(item);
        let before = self.lanes.range(..key);
        let before: usize = before.map(|(_, lane)| lane.len()).sum();
        let lane = self.lanes.get(&key);
        before + lane.map_or(0, |lane| lane.ahead(item))
    }

    /// Adds a request.
    pub fn push(&mut self, item: Item, order: Order) {
        let lane_key = order.lane_key(&item);
        let team_key = order.team_key(&item);
        let position = (lane_key, team_key.clone(), item.order_key);
        self.positions.insert(item.request, position);
        let lane = self.lanes.entry(lane_key).or_default();
        let waiting = lane.teams.entry(team_key).or_default();
        waiting.insert((item.order_key, item.request), item);
    }

    /// Removes a request from any position.
    pub fn remove(&mut self, request: Request) -> Option<Item> {
        let (lane_key, team_key, order_key) = self.positions.remove(&request)?;
        let lane = self.lanes.get_mut(&lane_key)?;
        let waiting = lane.teams.get_mut(&team_key)?;
        let item = waiting.remove(&(order_key, request));
        if waiting.is_empty() {
            lane.teams.remove(&team_key);
        }
        if lane.teams.is_empty() {
            self.lanes.remove(&lane_key);
        }
        item
    }

    /// Removes the request that is served next.
    pub fn pop(&mut self, order: Order, overloaded: bool) -> Option<Item> {
        let (lane_key, lane) = self.lanes.first_key_value()?;
        let least_important = self.lanes.last_key_value().map(|(last, _)| last.0);
        let newest = order.newest_first && overloaded && least_important == Some(lane_key.0);
        let served = |team_key: &TeamKey| self.served.get(team_key);
        let (_, waiting) = lane
            .teams
            .iter()
            .min_by(|(a, _), (b, _)| served(a).total_cmp(&served(b)))?;
        let (first, last) = (waiting.first_key_value()?, waiting.last_key_value()?);
        let ((_, request), _) = match newest && !last.1.by_rank {
            true => last,
            false => first,
        };
        let request = *request;
        self.remove(request)
    }

    /// Records a start for a team, also of a request that did not wait.
    pub fn record_start(&mut self, team: &Team, weight: u32) {
        self.served.record_start(team, weight);
    }

    /// Removes the request that must make room for `item`; none when `item`
    /// itself would be last.
    pub fn evict(&mut self, item: &Item, order: Order) -> Option<Item> {
        let key = order.lane_key(item);
        let (last, lane) = self.lanes.last_key_value()?;
        let (team, waiting) = lane.teams.iter().max_by_key(|(_, waiting)| waiting.len())?;
        let own = lane
            .teams
            .get(&order.team_key(item))
            .map_or(0, BTreeMap::len);
        let has_more = order.fair && waiting.len() > own + 1 && *team != order.team_key(item);
        let is_evictable = *last > key || (*last == key && has_more);
        if !is_evictable {
            return None;
        }
        let request = waiting.last_key_value().map(|((_, request), _)| *request)?;
        self.remove(request)
    }

    /// All waiting requests, by id.
    pub fn iter(&self) -> impl Iterator<Item = Request> + '_ {
        self.positions.keys().copied()
    }
}

impl Lane {
    /// Upper bound on the requests of the lane that are served before this one.
    /// If it is ordered by rank, only those with a smaller or equal key count;
    /// otherwise all of them.
    fn ahead(&self, item: &Item) -> usize {
        if !item.by_rank {
            return self.len();
        }
        let teams = self.teams.values();
        let before = teams.map(|waiting| waiting.range(..=(item.order_key, item.request)).count());
        before.sum()
    }

    fn len(&self) -> usize {
        self.teams.values().map(BTreeMap::len).sum()
    }
}

impl ServedByTeam {
    fn get(&self, team_key: &TeamKey) -> f64 {
        let served = team_key.as_ref().and_then(|team| self.served.get(team));
        served.copied().unwrap_or(self.floor)
    }

    /// Adds a start. A team without recent starts begins at the floor, at most
    /// 32 starts behind the team that was served most: capacity that it did not
    /// use before gives it no claim to all slots now.
    fn record_start(&mut self, team: &Team, weight: u32) {
        let entry = self.served.entry(team.clone()).or_insert(self.floor);
        *entry = entry.max(self.floor) + 1.0 / f64::from(weight.max(1));
        let max = self.served.values().copied().fold(0.0, f64::max);
        self.floor = self.floor.max(max - 32.0);
        let floor = self.floor;
        self.served.retain(|_, served| *served > floor);
    }
}

impl Order {
    fn lane_key(self, item: &Item) -> LaneKey {
        let importance = match self.by_importance {
            true => item.importance,
            false => Importance::default(),
        };
        (Reverse(importance), self.nested_first && !item.nested)
    }

    fn team_key(self, item: &Item) -> TeamKey {
        self.fair.then(|| item.team.clone())
    }
}
