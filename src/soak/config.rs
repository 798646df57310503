//! The configuration that the soak's operator writes, and its history.

use crate::clock::{
    Span,
    Time, //
};

/// Services, each with a third of the machines.
pub(crate) const SERVICES: [&str; 3] = ["front", "orders", "stock"];
/// The host of all routes.
pub(crate) const HOST: &str = "shop.example";
/// Team whose rate is limited, and its rate and burst a second.
pub(crate) const LIMITED_TEAM: &str = "small";
pub(crate) const LIMIT_RATE: u32 = 20;
pub(crate) const LIMIT_BURST: u32 = 20;
/// The teams.
pub(crate) const TEAMS: [&str; 3] = ["large", "middle", LIMITED_TEAM];
/// Longest time that routes give an answer, most of them and those of long work.
const ROUTE_TIMEOUT: Span = Span::from_ms(1500);
const LONG_TIMEOUT: Span = Span::from_ms(4000);
/// How long a request takes, in milliseconds.
const SHORT_WORK_MS: [u64; 2] = [3, 45];
const WORK_MS: [u64; 2] = [50, 1300];
const LONG_WORK_MS: [u64; 2] = [50, 3900];

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Safe,
    Unsafe,
    Upload,
}

/// Who sends requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Callers {
    Clients,
    /// Those that stay with a node until its process is gone.
    Stayers,
    /// Those that come while a server answers without end.
    Patient,
    Servers,
}

/// A route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Route {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    /// The service; the operator moves the route without one.
    pub(crate) service: Option<&'static str>,
    pub(crate) callers: Callers,
    /// Whether it is called without a key.
    pub(crate) keyless: bool,
    /// Number of servers to which one request may be sent.
    pub(crate) max_attempts: u8,
    pub(crate) timeout: Span,
    /// The shortest and the longest work, in milliseconds.
    pub(crate) work_ms: [u64; 2],
}

impl Route {
    /// The routes of these callers.
    pub(crate) fn of_callers(callers: Callers) -> Vec<&'static Self> {
        let all = ROUTES.iter();
        all.filter(|route| route.callers == callers).collect()
    }

    const fn inner(self) -> Self {
        Self {
            callers: Callers::Servers,
            keyless: true,
            ..self
        }
    }

    const fn patient(self) -> Self {
        Self {
            callers: Callers::Patient,
            timeout: LONG_TIMEOUT,
            ..self
        }
    }

    const fn staying(self, keyless: bool, timeout: Span, work_ms: [u64; 2]) -> Self {
        Self {
            callers: Callers::Stayers,
            keyless,
            timeout,
            work_ms,
            ..self
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.kind == Kind::Safe
    }

    pub(crate) fn method(&self) -> &'static str {
        match self.kind {
            Kind::Safe => "GET",
            Kind::Unsafe | Kind::Upload => "POST",
        }
    }

    /// The route of a request target.
    pub(crate) fn of(target: &str) -> Option<&'static Self> {
        let name = target.split('/').nth(1)?;
        ROUTES.iter().find(|route| route.name == name)
    }
}

const fn route(
    name: &'static str,
    kind: Kind,
    service: Option<&'static str>,
    max_attempts: u8,
) -> Route {
    Route {
        name,
        kind,
        service,
        callers: Callers::Clients,
        keyless: false,
        max_attempts,
        timeout: ROUTE_TIMEOUT,
        work_ms: SHORT_WORK_MS,
    }
}

/// All routes.
pub(crate) const ROUTES: [Route; 14] = [
    route("view", Kind::Safe, Some("front"), 3),
    route("order", Kind::Unsafe, Some("orders"), 2),
    route("ship", Kind::Unsafe, Some("front"), 3),
    route("upload", Kind::Upload, Some("orders"), 2),
    route("move", Kind::Unsafe, None, 3),
    route("check", Kind::Safe, Some("stock"), 2).inner(),
    route("reserve", Kind::Unsafe, Some("stock"), 2).inner(),
    route("build", Kind::Unsafe, Some("orders"), 2).staying(false, LONG_TIMEOUT, LONG_WORK_MS),
    route("visit", Kind::Unsafe, Some("orders"), 2).staying(true, ROUTE_TIMEOUT, WORK_MS),
    route("tour", Kind::Unsafe, Some("orders"), 2).staying(true, LONG_TIMEOUT, LONG_WORK_MS),
    route("deposit", Kind::Upload, Some("orders"), 2).staying(false, LONG_TIMEOUT, WORK_MS),
    route("browse", Kind::Safe, Some("front"), 3).patient(),
    route("quote", Kind::Unsafe, Some("orders"), 2).patient(),
    route("count", Kind::Safe, Some("stock"), 3).patient(),
];

/// Services between which the operator moves the route that has none.
const MOVED_BETWEEN: [&str; 2] = ["orders", "stock"];

/// A key, from when on it is there, and since when it is withdrawn.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub(crate) text: String,
    pub(crate) team: &'static str,
    pub(crate) removed: Option<Time>,
}

/// The configuration in force, with what was in force before.
#[derive(Clone, Debug)]
pub(crate) struct Configuration {
    pub(crate) version: u64,
    pub(crate) keys: Vec<Key>,
    /// The services of the moved route, each from this time on.
    pub(crate) moves: Vec<(Time, &'static str)>,
}

impl Configuration {
    pub(crate) fn first(now: Time) -> Self {
        let mut first = Self {
            version: 1,
            keys: Vec::new(),
            moves: vec![(now, MOVED_BETWEEN[0])],
        };
        for team in TEAMS {
            first.add_key(team);
            first.add_key(team);
        }
        first
    }

    fn add_key(&mut self, team: &'static str) {
        let text = format!("{team}-{}", self.keys.len());
        self.keys.push(Key {
            text,
            team,
            removed: None,
        });
    }

    /// Moves the movable route to another service.
    pub(crate) fn move_route(&mut self, now: Time) {
        self.version += 1;
        let next = MOVED_BETWEEN[self.moves.len() % MOVED_BETWEEN.len()];
        self.moves.push((now, next));
    }

    /// Withdraws the oldest key of a team and adds another.
    pub(crate) fn rotate_key(&mut self, now: Time, team: &'static str) {
        self.version += 1;
        self.add_key(team);
        let mut present = self.keys.iter_mut();
        let oldest = present.find(|key| key.team == team && key.removed.is_none());
        if let Some(key) = oldest {
            key.removed = Some(now);
        }
    }

    pub(crate) fn moved_to(&self) -> &'static str {
        self.moves.last().map_or(MOVED_BETWEEN[0], |(_, to)| to)
    }

    /// The keys in force, by team.
    pub(crate) fn keys_of(&self, team: &str) -> impl Iterator<Item = &Key> {
        let keys = self.keys.iter();
        keys.filter(move |key| key.team == team && key.removed.is_none())
    }

    pub(crate) fn key(&self, text: &str) -> Option<&Key> {
        self.keys.iter().find(|key| key.text == text)
    }

    /// The services that a route may lead to for a request sent at a time and run at
    /// another, where a change may take a while to be in force.
    pub(crate) fn services(
        &self,
        route: &Route,
        sent: Time,
        run: Time,
        lag: Span,
    ) -> Vec<&'static str> {
        if let Some(service) = route.service {
            return vec![service];
        }
        let ends = self.moves.iter().skip(1).map(|(at, _)| *at);
        let ends = ends.chain([Time::NEVER]);
        let in_force = self.moves.iter().zip(ends);
        in_force
            .filter(|((from, _), end)| *from <= run && sent <= *end + lag)
            .map(|((_, service), _)| *service)
            .collect()
    }
}
