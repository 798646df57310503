//! Validates the tables, row by row and against each other, and reports all
//! errors.

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

/// The file name reported for errors in the route table of a stored document.
pub const ROUTES_FILE: &str = "routes.jsonc";
/// The file name reported for errors in the pool table of a stored document.
pub const POOLS_FILE: &str = "pools.jsonc";

/// The source texts of both tables and their file names.
#[derive(Clone, Copy, Debug)]
pub struct Texts<'a> {
    /// The file name of the route table.
    pub routes_file: &'a str,
    /// The text of the route table.
    pub routes: &'a str,
    /// The file name of the pool table.
    pub pools_file: &'a str,
    /// The text of the pool table.
    pub pools: &'a str,
}

impl<'a> Texts<'a> {
    /// Returns the table texts of a stored document.
    pub fn of(document: &'a Document) -> Self {
        Self {
            routes_file: ROUTES_FILE,
            routes: &document.routes,
            pools_file: POOLS_FILE,
            pools: &document.pools,
        }
    }
}

impl Snapshot {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns the first error; [`tables`] and [`teams`] report all of them.
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
                evacuations: initial_evacuations(document),
                callers: None,
            }),
        }
    }
}

/// Returns the evacuations that a document lists.
fn initial_evacuations(document: &Document) -> BTreeMap<id::Domain, Evacuation> {
    let order = Evacuation {
        in_force: true,
        revision: Revision::default(),
    };
    let domains = document.evacuated.iter();
    domains.map(|domain| (domain.clone(), order)).collect()
}

/// Parses and validates both tables and adds all errors, sorted by file and
/// position.
///
/// The returned tables are usable only if no error was added.
pub fn tables(texts: &Texts<'_>, faults: &mut Vec<Error>) -> Tables {
    let routes_source = Source {
        file: texts.routes_file,
        text: texts.routes,
    };
    let pools_source = Source {
        file: texts.pools_file,
        text: texts.pools,
    };
    let mut route_faults = Vec::new();
    let routes = parse::routes(routes_source, &mut route_faults);
    // If a table has a syntax error, its rows are unknown rather than absent,
    // so references to them are not checked.
    let routes_known = route_faults
        .iter()
        .all(|f| f.number() != Code::Syntax as u16);
    let mut pool_faults = Vec::new();
    let pools = parse::pools(pools_source, &mut pool_faults);
    let pools_known = pool_faults
        .iter()
        .all(|f| f.number() != Code::Syntax as u16);
    check_pool_limits(pools_source, &pools, &mut pool_faults);
    check_duplicate_matches(routes_source, &routes, &mut route_faults);
    if pools_known {
        let names = parse::names(pools_source);
        check_pool_references(routes_source, &routes, &pools, &names, &mut route_faults);
    }
    if routes_known {
        let names = parse::names(routes_source);
        check_nested_calls(routes_source, &routes, &names, &mut route_faults);
    }
    sort_by_position(&mut route_faults);
    sort_by_position(&mut pool_faults);
    faults.append(&mut route_faults);
    faults.append(&mut pool_faults);
    Tables {
        routes: routes.into_iter().map(|row| row.row).collect(),
        pools: pools.into_iter().map(|row| row.row).collect(),
    }
}

fn sort_by_position(faults: &mut [Error]) {
    faults.sort_by_key(|fault| (fault.line(), fault.column()));
}

fn check_pool_limits(source: Source<'_>, pools: &[Row<Pool>], faults: &mut Vec<Error>) {
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

/// Rejects routes that match the same requests, because neither takes
/// precedence.
fn check_duplicate_matches(source: Source<'_>, routes: &[Row<Route>], faults: &mut Vec<Error>) {
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

fn check_pool_references(
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

/// Checks the deadline and idempotence of each route against the routes that
/// it calls.
fn check_nested_calls(
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
                Some(nested) => validate_nested_call(row, &nested.row),
            };
            faults.extend(reason.map(|reason| source.error(Code::Cross, *at, reason)));
        }
    }
}

fn validate_nested_call(outer: &Route, nested: &Route) -> Option<String> {
    // A nested call gets what is left of the outer deadline, so it can never
    // have an equal or longer one. This also rules out call cycles.
    if nested.deadline >= outer.deadline {
        return Some(format!(
            "the deadline {} of the nested route `{}` cannot fit in the deadline {} of `{}`",
            nested.deadline, nested.name, outer.deadline, outer.name
        ));
    }
    // Retrying the outer request would repeat the nested one.
    let unsafe_retry = outer.idempotent == Some(true) && !nested.always_idempotent();
    unsafe_retry.then(|| {
        format!(
            "the route `{}` says idempotent but calls `{}`, which is not",
            outer.name, nested.name
        )
    })
}

/// The largest burst, as the time in which the rate allows that many requests.
const MAX_BURST_TIME: Span = Span::from_secs(3600);

/// Validates teams and keys and adds all errors.
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
        if u64::from(team.burst) * 1000 > team.rate.millis_within(MAX_BURST_TIME).max(1000) {
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
