//! The users' two sites, at the sizes of today.
//!
//! Services' times are chosen so that the deepest pool is the scarce one:
//! batchbook at Tuul, species-guide at Kandy. Servers, slots and domains are as
//! the users give them. Kandy's 0.5 ms between domains is rounded up to the clock's
//! 1 ms; connections and the way from clients are not modelled.

use std::{
    collections::BTreeMap,
    rc::Rc, //
};

use serde::Serialize;
use serde_json::{
    Map,
    Value, //
};

use super::{
    driver::{
        Net,
        Service,
        Setup, //
    },
    ledger::Flow,
};
use crate::{
    clock::Span,
    context::Importance,
    document::{
        Document,
        Snapshot, //
    },
    error::{
        Code,
        Error,
        Result, //
    },
    id,
    tables::{
        Pool,
        Route,
        Tables, //
    },
    team::{
        Key,
        Team,
        Teams, //
    },
    unit::{
        Rate,
        Weight, //
    },
};

/// Teams at each site.
const TEAMS: u32 = 8;
/// Teams of them that are large, and how many times larger.
const LARGE: u32 = 3;
const LARGER: u32 = 4;

/// One site: what the driver needs, and the calls its callers make.
#[derive(Clone, Debug)]
pub struct Site {
    /// The names of the failure domains.
    pub domains: Vec<&'static str>,
    /// The pools' upstreams.
    pub services: Vec<Service>,
    /// One way between failure domains.
    pub far: Span,
    /// The configuration.
    pub snapshot: Snapshot,
    /// Requests a second that the scarce pool can serve.
    pub capacity: u64,
    /// Kinds of calls: importance, method, path, share of all in percent.
    pub calls: Vec<(Importance, &'static str, &'static str, u64)>,
}

struct Line(
    &'static str,
    u32,
    u64,
    [usize; 3],
    &'static [(&'static str, &'static str)],
);

fn service(line: &Line) -> Service {
    Service {
        pool: line.0.parse().expect("a plain name"),
        instances: line.3.to_vec(),
        slots: line.1 as usize,
        work: Span::from_ms(line.2),
        nested: if line.4.is_empty() {
            vec![]
        } else {
            vec![line.4.to_vec()]
        },
    }
}

fn pool(line: &Line) -> Pool {
    let text = format!(r#"{{"name":"{}","slots":{}}}"#, line.0, line.1);
    serde_json::from_str(&text).expect("a row")
}

fn route(name: &str, method: &str, path: &str, pool: &str, importance: &str) -> Route {
    let text = format!(
        r#"{{"name":"{name}","method":"{method}","path":"{path}","pool":"{pool}",
            "importance":"{importance}","deadline":"5s"}}"#
    );
    serde_json::from_str(&text).expect("a row")
}

fn teams(rate: u64, burst: u32) -> Teams {
    let mut all = Teams::default();
    for number in 0..TEAMS {
        let name: id::Team = format!("team{number}").parse().expect("a plain name");
        let size = if number < LARGE { LARGER } else { 1 };
        all.teams.push(Team {
            name: name.clone(),
            rate: Rate::per_second(rate * u64::from(size)),
            burst: burst * size,
            weight: Weight(size),
        });
        let key: id::Key = format!("key{number}").parse().expect("a plain name");
        all.keys.push(Key::seal(key, name, "salt", "secret"));
    }
    all
}

/// Writes rows as a table: an object of objects, by name.
fn table<T: Serialize>(rows: &[T]) -> Result<String> {
    let wrong = |error: serde_json::Error| Error::new(Code::StoreData, error.to_string());
    let mut table = Map::new();
    for row in rows {
        let Value::Object(mut row) = serde_json::to_value(row).map_err(wrong)? else {
            continue;
        };
        row.retain(|_, value| !value.is_null());
        if let Some(Value::String(name)) = row.remove("name") {
            table.insert(name, Value::Object(row));
        }
    }
    serde_json::to_string(&table).map_err(wrong)
}

impl Site {
    /// Tuul Timber Assurance.
    pub fn tuul() -> Self {
        let lines = [
            Line("issuer", 50, 60, [1, 1, 1], &[("GET", "/registry/nested")]),
            Line("registry", 50, 60, [1, 1, 1], &[("GET", "/batches/nested")]),
            Line("logvault", 50, 60, [1, 1, 1], &[("GET", "/batches/nested")]),
            Line("batchbook", 25, 100, [1, 1, 1], &[]),
        ];
        let routes = vec![
            route("issue", "POST", "/certificates", "issuer", "critical"),
            route("upload", "POST", "/logs", "logvault", "high"),
            route("lookup", "GET", "/registry/*", "registry", "normal"),
            route("batches", "GET", "/batches/*", "batchbook", "low"),
        ];
        Self {
            domains: vec!["ub-north", "ub-south", "ub-west"],
            services: lines.iter().map(service).collect(),
            far: Span::from_ms(1),
            snapshot: Snapshot {
                callers: None,
                evacuations: BTreeMap::new(),
                version: id::Version(1),
                tables: Tables {
                    routes,
                    pools: lines.iter().map(pool).collect(),
                },
                teams: teams(400, 400),
            },
            capacity: 750,
            calls: vec![
                (Importance::Critical, "POST", "/certificates", 15),
                (Importance::High, "POST", "/logs", 15),
                (Importance::Normal, "GET", "/registry/1", 40),
                (Importance::Low, "GET", "/batches/1", 30),
            ],
        }
    }

    /// The Kandy Fungi Trails Consortium.
    pub fn kandy() -> Self {
        let lines = [
            Line(
                "bookings",
                240,
                60,
                [1, 1, 1],
                &[("GET", "/courses/nested")],
            ),
            Line(
                "course-catalog",
                180,
                60,
                [2, 1, 1],
                &[("GET", "/species/nested")],
            ),
            Line(
                "field-notes",
                240,
                60,
                [1, 1, 1],
                &[("GET", "/species/nested")],
            ),
            Line("species-guide", 40, 150, [1, 1, 1], &[]),
        ];
        let routes = vec![
            route("book", "POST", "/bookings", "bookings", "critical"),
            route("print", "POST", "/prints", "field-notes", "high"),
            route("courses", "GET", "/courses/*", "course-catalog", "normal"),
            route("species", "GET", "/species/*", "species-guide", "low"),
        ];
        Self {
            domains: vec!["kandy-a", "kandy-b", "kandy-c"],
            services: lines.iter().map(service).collect(),
            far: Span::from_ms(1),
            snapshot: Snapshot {
                callers: None,
                evacuations: BTreeMap::new(),
                version: id::Version(1),
                tables: Tables {
                    routes,
                    pools: lines.iter().map(pool).collect(),
                },
                teams: teams(400, 400),
            },
            capacity: 800,
            calls: vec![
                (Importance::Critical, "POST", "/bookings", 15),
                (Importance::High, "POST", "/prints", 15),
                (Importance::Normal, "GET", "/courses/1", 40),
                (Importance::Low, "GET", "/species/1", 30),
            ],
        }
    }

    /// The configuration as an operator writes it to the store.
    ///
    /// # Errors
    ///
    /// Never for a site made here: its rows can be written.
    pub fn document(&self) -> Result<Document> {
        Ok(Document {
            version: self.snapshot.version,
            change: id::Change(self.snapshot.version.0),
            routes: table(&self.snapshot.tables.routes)?,
            pools: table(&self.snapshot.tables.pools)?,
            teams: self.snapshot.teams.clone(),
            evacuated: self.snapshot.evacuated().cloned().collect(),
            history: Vec::new(),
        })
    }

    /// Gives every team this rate and burst, times four for the large ones.
    pub fn with_rates(mut self, rate: u64, burst: u32) -> Self {
        self.snapshot.teams = teams(rate, burst);
        self
    }

    /// What the driver begins with: nodes that know each other and the
    /// configuration.
    pub fn setup(&self, seed: u64) -> Setup {
        Setup {
            seed,
            domains: self.domains.clone(),
            services: self.services.clone(),
            snapshot: Some(Rc::new(self.snapshot.clone())),
            acquainted: true,
            net: Net {
                near: Span::ZERO,
                far: self.far,
                jitter: Span::from_ms(1),
                loss: 0.0,
                double: 0.0,
                cross: 0.0,
                undelivered: 0.0,
                silent: false,
            },
            spy: false,
            prepare: Box::new(|_| {}),
        }
    }

    /// One flow for each team and kind of call, `percent` of capacity in all.
    /// Callers try again `retries` times.
    pub fn flows(&self, percent: u64, retries: u32) -> Vec<Flow> {
        let parts = u64::from(LARGE * LARGER + TEAMS - LARGE);
        let mut flows = Vec::new();
        for number in 0..TEAMS {
            let size = u64::from(if number < LARGE { LARGER } else { 1 });
            for (importance, method, path, share) in &self.calls {
                let millis = self.capacity * 1000 * percent * share * size / parts / 10_000;
                flows.push(Flow {
                    key: format!("key{number}.secret"),
                    team: self.snapshot.teams.teams[number as usize].name.clone(),
                    importance: *importance,
                    method: (*method).to_owned(),
                    path: (*path).to_owned(),
                    rate: Rate::per_second(1).scaled(millis),
                    retries,
                    wait: Span::from_ms(200),
                    patience: Span::from_secs(5),
                    claims: false,
                    nodes: Vec::new(),
                });
            }
        }
        flows
    }
}
