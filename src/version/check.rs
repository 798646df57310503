//! Checks the tables row by row and against each other, and finds all faults.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    document::{
        Document,
        Evacuation,
        Snapshot, //
    },
    parse::{
        self,
        Row, //
    },
    pattern,
    source::Source,
    tables::{
        Pool,
        Route,
        Tables, //
    },
    team::Teams,
};
use crate::{
    clock::Span,
    error::{
        Code,
        Error, //
    },
    id::{
        self,
        Revision, //
    },
};

/// The file names by which faults of a stored document are told apart.
pub const ROUTES: &str = "routes.jsonc";
/// See [`ROUTES`].
pub const POOLS: &str = "pools.jsonc";

/// The texts of both tables with the names of their files.
#[derive(Clone, Copy, Debug)]
pub struct Texts<'a> {
    /// The name of the file of routes.
    pub routes_file: &'a str,
    /// The table of routes.
    pub routes: &'a str,
    /// The name of the file of pools.
    pub pools_file: &'a str,
    /// The table of pools.
    pub pools: &'a str,
}

impl<'a> Texts<'a> {
    /// The texts of a document.
    pub fn of(document: &'a Document) -> Self {
        Self {
            routes_file: ROUTES,
            routes: &document.routes,
            pools_file: POOLS,
            pools: &document.pools,
        }
    }
}

impl Snapshot {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// The first fault; [`tables`] and [`teams`] find all of them.
    pub fn parse(document: &Document) -> Result<Self, Error> {
        let mut faults = Vec::new();
        let tables = tables(&Texts::of(document), &mut faults);
        teams(&document.teams, &mut faults);
        match faults.into_iter().next() {
            Some(fault) => Err(fault),
            None => Ok(Self {
                version: document.version,
                tables,
                teams: document.teams.clone(),
                evacuations: standing(document),
                callers: None,
            }),
        }
    }
}

/// The evacuations that a document orders.
fn standing(document: &Document) -> BTreeMap<id::Domain, Evacuation> {
    let order = Evacuation {
        in_force: true,
        revision: Revision::default(),
    };
    let domains = document.evacuated.iter();
    domains.map(|domain| (domain.clone(), order)).collect()
}

/// Reads both tables and adds every fault, in the order of files and places.
///
/// The tables are of use only when no fault was added.
pub fn tables(texts: &Texts<'_>, faults: &mut Vec<Error>) -> Tables {
    let routes_source = Source {
        file: texts.routes_file,
        text: texts.routes,
    };
    let pools_source = Source {
        file: texts.pools_file,
        text: texts.pools,
    };
    let mut found = Vec::new();
    let routes = parse::routes(routes_source, &mut found);
    // Where a table cannot be read at all, its rows are unknown rather than
    // absent, and references to them say nothing.
    let routes_known = found.iter().all(|f| f.number() != Code::Syntax as u16);
    let mut pool_faults = Vec::new();
    let pools = parse::pools(pools_source, &mut pool_faults);
    let pools_known = pool_faults
        .iter()
        .all(|f| f.number() != Code::Syntax as u16);
    limits(pools_source, &pools, &mut pool_faults);
    matches(routes_source, &routes, &mut found);
    if pools_known {
        let names = parse::names(pools_source);
        references(routes_source, &routes, &pools, &names, &mut found);
    }
    if routes_known {
        let names = parse::names(routes_source);
        calls(routes_source, &routes, &names, &mut found);
    }
    sort(&mut found);
    sort(&mut pool_faults);
    faults.append(&mut found);
    faults.append(&mut pool_faults);
    Tables {
        routes: routes.into_iter().map(|row| row.row).collect(),
        pools: pools.into_iter().map(|row| row.row).collect(),
    }
}

fn sort(faults: &mut [Error]) {
    faults.sort_by_key(|fault| (fault.line(), fault.column()));
}

fn limits(source: Source<'_>, pools: &[Row<Pool>], faults: &mut Vec<Error>) {
    for Row { row, offsets, .. } in pools {
        if let (Some(slots), Some(connections)) = (row.slots, row.connections)
            && connections < slots
        {
            let reason = format!(
                "the pool `{}` cannot run {slots} requests over {connections} connections",
                row.name
            );
            faults.push(source.error(Code::Cross, offsets.of("connections"), reason));
        }
    }
}

/// Two rows that match the same requests: which one is meant cannot be known.
fn matches(source: Source<'_>, routes: &[Row<Route>], faults: &mut Vec<Error>) {
    let mut first = BTreeMap::new();
    for Row { row, offsets, .. } in routes {
        let path = match &row.prefix {
            Some(prefix) => prefix.clone(),
            None => pattern::normalize_parameters(&row.path),
        };
        let key = (&row.host, row.prefix.is_some(), path, &row.method);
        match first.get(&key) {
            None => {
                first.insert(key, &row.name);
            }
            Some(other) => {
                let reason = format!(
                    "the routes `{other}` and `{}` match the same requests",
                    row.name
                );
                faults.push(source.error(Code::Cross, offsets.of("path"), reason));
            }
        }
    }
}

fn references(
    source: Source<'_>,
    routes: &[Row<Route>],
    pools: &[Row<Pool>],
    names: &BTreeSet<String>,
    faults: &mut Vec<Error>,
) {
    for Row { row, offsets, .. } in routes {
        let parts = row.split.iter().map(|part| ("split", &part.pool));
        for (field, pool) in std::iter::once(("pool", &row.pool)).chain(parts) {
            if !names.contains(pool.as_str()) {
                let reason = format!("the route `{}` goes to no pool: `{pool}`", row.name);
                faults.push(source.error(Code::Cross, offsets.of(field), reason));
            }
        }
        let pool = pools.iter().find(|pool| pool.row.name == row.pool);
        if let Some(pool) = pool
            && row.deadline <= pool.row.delay
        {
            let reason = format!(
                "the deadline {} of the route `{}` cannot fit the queue delay {} of the pool `{}`",
                row.deadline, row.name, pool.row.delay, row.pool
            );
            faults.push(source.error(Code::Cross, offsets.of("deadline"), reason));
        }
    }
}

/// What a route says of nested calls must hold for the nested routes.
fn calls(
    source: Source<'_>,
    routes: &[Row<Route>],
    names: &BTreeSet<String>,
    faults: &mut Vec<Error>,
) {
    for Row { row, calls, .. } in routes {
        for (name, at) in calls {
            let nested = routes.iter().find(|other| other.row.name.as_str() == name);
            let reason = match nested {
                None if names.contains(name) => None,
                None => Some(format!("the route `{}` calls no route: `{name}`", row.name)),
                Some(nested) => call_fault(row, &nested.row),
            };
            faults.extend(reason.map(|reason| source.error(Code::Cross, *at, reason)));
        }
    }
}

fn call_fault(outer: &Route, nested: &Route) -> Option<String> {
    // A nested call gets what is left of the outer deadline, so that a longer
    // one of its own, or the same, can never be had. A cycle cannot pass.
    if nested.deadline >= outer.deadline {
        return Some(format!(
            "the deadline {} of the nested route `{}` cannot fit in the deadline {} of `{}`",
            nested.deadline, nested.name, outer.deadline, outer.name
        ));
    }
    // A retry of the outer request would run the nested one again.
    let risky = outer.idempotent == Some(true) && !nested.may_repeat();
    risky.then(|| {
        format!(
            "the route `{}` says idempotent but calls `{}`, which is not",
            outer.name, nested.name
        )
    })
}

/// The longest burst, in seconds of the rate.
const BURST_LIMIT: Span = Span::from_secs(3600);

/// Checks teams and keys and adds every fault.
pub fn teams(teams: &Teams, faults: &mut Vec<Error>) {
    let mut fault = |reason: String| faults.push(Error::new(Code::Cross, reason));
    let mut names = BTreeSet::new();
    for team in &teams.teams {
        let name = &team.name;
        if !names.insert(name) {
            fault(format!("the team `{name}` stands twice"));
        }
        if team.rate.as_millis() == 0 {
            fault(format!("the rate of the team `{name}` is zero"));
        }
        if team.burst == 0 {
            fault(format!("the burst of the team `{name}` is zero"));
        }
        if u64::from(team.burst) * 1000 > team.rate.millis_within(BURST_LIMIT).max(1000) {
            fault(format!(
                "the burst {} of the team `{name}` is more than an hour of its rate {}",
                team.burst, team.rate
            ));
        }
        if team.weight.0 == 0 {
            fault(format!("the weight of the team `{name}` is zero"));
        }
    }
    let mut keys = BTreeSet::new();
    for key in &teams.keys {
        let name = &key.name;
        if !keys.insert(name) {
            fault(format!("the key `{name}` stands twice"));
        }
        if !names.contains(&key.team) {
            fault(format!(
                "the key `{name}` speaks for no team: `{}`",
                key.team
            ));
        }
    }
}
