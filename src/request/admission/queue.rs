//! Requests that wait for a slot.
//!
//! The queue is short. It is served by importance, nested work before new
//! roots, then the team that has had least for its weight, then the oldest
//! root. Where roots are only believed to be known, their nested work goes by
//! the rank of its root, so that all calls of one root find their place alike:
//! of four calls one after the other the last is of no use when the third one
//! was shed. The least important band is served newest first under overload: its
//! oldest would be refused soon anyway. When there is no room, the last to be
//! served among the least important makes room, from the team that waits with
//! most.

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
    /// Which.
    pub request: Request,
    /// How much its root matters.
    pub importance: Importance,
    /// Whether its root already runs elsewhere.
    pub nested: bool,
    /// Whose it is.
    pub team: Team,
    /// The team's weight.
    pub weight: u32,
    /// Its turn within its team; the lowest is served first.
    pub order_key: u64,
    /// Whether that turn goes by the rank of its root and not by its age.
    pub by_rank: bool,
}

/// A lane's place; the least is served first.
type Place = (Reverse<Importance>, bool);

/// Whose share a request counts for; nobody's while all teams are alike.
type Share = Option<Team>;

#[derive(Clone, Debug, Default)]
struct Lane {
    teams: BTreeMap<Share, BTreeMap<(u64, Request), Item>>,
}

/// How a queue is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Order {
    /// By importance; else all alike.
    pub by_importance: bool,
    /// Nested work first.
    pub nested_first: bool,
    /// By the teams' shares; else all alike.
    pub fair: bool,
    /// The least important band newest first.
    pub newest_first: bool,
}

/// All waiting requests.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Place, Lane>,
    places: BTreeMap<Request, (Place, Share, u64)>,
    shares: Shares,
}

/// What each team has been served, for its weight.
#[derive(Clone, Debug, Default)]
struct Shares {
    served: BTreeMap<Team, f64>,
    floor: f64,
}

impl Queue {
    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether this request waits.
    pub fn contains(&self, request: Request) -> bool {
        self.places.contains_key(&request)
    }

    /// Requests that would be served before this one.
    pub fn ahead(&self, item: &Item, order: Order) -> usize {
        let place = order.place(item);
        let before = self.lanes.range(..place);
        let before: usize = before.map(|(_, lane)| lane.len()).sum();
        let beside = self.lanes.get(&place);
        before + beside.map_or(0, |lane| lane.ahead(item))
    }

    /// Adds one.
    pub fn push(&mut self, item: Item, order: Order) {
        let place = order.place(&item);
        let share = order.share(&item);
        let spot = (place, share.clone(), item.order_key);
        self.places.insert(item.request, spot);
        let lane = self.lanes.entry(place).or_default();
        let waiting = lane.teams.entry(share).or_default();
        waiting.insert((item.order_key, item.request), item);
    }

    /// Takes one out, wherever it stands.
    pub fn remove(&mut self, request: Request) -> Option<Item> {
        let (place, team, turn) = self.places.remove(&request)?;
        let lane = self.lanes.get_mut(&place)?;
        let waiting = lane.teams.get_mut(&team)?;
        let item = waiting.remove(&(turn, request));
        if waiting.is_empty() {
            lane.teams.remove(&team);
        }
        if lane.teams.is_empty() {
            self.lanes.remove(&place);
        }
        item
    }

    /// Takes out the one to be served next.
    pub fn pop(&mut self, order: Order, overloaded: bool) -> Option<Item> {
        let (place, lane) = self.lanes.first_key_value()?;
        let least = self.lanes.last_key_value().map(|(last, _)| last.0);
        let newest = order.newest_first && overloaded && least == Some(place.0);
        let served = |share: &Share| self.shares.of(share);
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

    /// Counts a start for its team, also of a request that did not wait.
    pub fn count(&mut self, team: &Team, weight: u32) {
        self.shares.count(team, weight);
    }

    /// Takes out the one that must go to make room for `item`, or nothing when
    /// `item` itself comes last.
    pub fn evict(&mut self, item: &Item, order: Order) -> Option<Item> {
        let place = order.place(item);
        let (last, lane) = self.lanes.last_key_value()?;
        let (team, waiting) = lane.teams.iter().max_by_key(|(_, waiting)| waiting.len())?;
        let mine = lane.teams.get(&order.share(item)).map_or(0, BTreeMap::len);
        let greedier = order.fair && waiting.len() > mine + 1 && *team != order.share(item);
        let yields = *last > place || (*last == place && greedier);
        if !yields {
            return None;
        }
        let request = waiting.last_key_value().map(|((_, request), _)| *request)?;
        self.remove(request)
    }

    /// Every waiting request.
    pub fn iter(&self) -> impl Iterator<Item = Request> + '_ {
        self.places.keys().copied()
    }
}

impl Lane {
    /// Requests of the lane that are served before this one: those with a lower
    /// rank are not, all others may be.
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

impl Shares {
    fn of(&self, share: &Share) -> f64 {
        let served = share.as_ref().and_then(|team| self.served.get(team));
        served.copied().unwrap_or(self.floor)
    }

    /// A team that comes back begins where the others are: what it did not use
    /// in the past gives no claim to all slots now.
    fn count(&mut self, team: &Team, weight: u32) {
        let entry = self.served.entry(team.clone()).or_insert(self.floor);
        *entry = entry.max(self.floor) + 1.0 / f64::from(weight.max(1));
        let most = self.served.values().copied().fold(0.0, f64::max);
        self.floor = self.floor.max(most - 32.0);
        let floor = self.floor;
        self.served.retain(|_, served| *served > floor);
    }
}

impl Order {
    fn place(self, item: &Item) -> Place {
        let importance = match self.by_importance {
            true => item.importance,
            false => Importance::default(),
        };
        (Reverse(importance), self.nested_first && !item.nested)
    }

    fn share(self, item: &Item) -> Share {
        self.fair.then(|| item.team.clone())
    }
}
