//! Preparation of an operator's change to the configuration.
//!
//! A change is a single compare-and-swap of the whole document. When operators
//! race, the loser reads the document again and reapplies its change to what the
//! winner wrote, unless both modified the same row. The document's history lists
//! the rows modified since the version that the loser had read, with checksums
//! of their previous fields.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde_json::Value;

use super::{
    check::{
        self,
        Texts, //
    },
    document::{
        Document,
        Entry,
        Row,
        Touched, //
    },
    edit::{
        self,
        Fields,
        Rows, //
    },
};
use crate::{
    error::{
        Code,
        Error,
        Result, //
    },
    id::{
        Change,
        Version, //
    },
};

/// Maximum number of changes in the history.
const HISTORY_LIMIT: usize = 64;
/// Maximum number of modified rows in the history, not counting those of the
/// latest change.
const HISTORY_ROW_LIMIT: usize = 512;

/// All validation errors of a change, or the single error of another kind.
pub type Faults = Vec<Error>;

/// A function that modifies single rows of a document.
pub type Edit = Box<dyn Fn(&mut Document) -> Result<()>>;

/// A change that an operator requests.
pub enum Proposal {
    /// Replace both tables with these texts, which are based on a version that
    /// the operator read.
    Tables {
        /// The version that the operator read.
        since: Version,
        /// The table of routes.
        routes: String,
        /// The table of pools.
        pools: String,
    },
    /// Edit single rows of the current document.
    Edit(Edit),
}

/// The author of a change, as recorded in the history.
#[derive(Clone, Debug)]
pub struct Author {
    /// The operator.
    pub by: String,
    /// A short form of the command.
    pub what: String,
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at: u64,
}

/// Returns the fields of all rows of a document, of every kind.
///
/// # Errors
///
/// Returns an error if a table's text cannot be parsed.
pub fn rows(document: &Document) -> Result<BTreeMap<Row, Fields>> {
    let mut all = BTreeMap::new();
    for (name, fields) in edit::rows(&document.routes)? {
        all.insert(Row::Route(name.parse()?), fields);
    }
    for (name, fields) in edit::rows(&document.pools)? {
        all.insert(Row::Pool(name.parse()?), fields);
    }
    for team in &document.teams.teams {
        all.insert(Row::Team(team.name.clone()), fields(team)?);
    }
    for key in &document.teams.keys {
        all.insert(Row::Key(key.name.clone()), fields(key)?);
    }
    for domain in &document.evacuated {
        let evacuated = [("evacuated".to_owned(), Value::Bool(true))];
        all.insert(Row::Domain(domain.clone()), evacuated.into_iter().collect());
    }
    Ok(all)
}

fn fields(record: &impl serde::Serialize) -> Result<Fields> {
    match serde_json::to_value(record) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(_) => Err(Error::new(Code::StoreData, "a record is no object")),
        Err(error) => Err(Error::new(Code::StoreData, error.to_string())),
    }
}

/// Returns the rows that differ between two documents, with checksums of their
/// previous fields.
///
/// # Errors
///
/// Returns an error if a table's text cannot be parsed.
pub fn touched(before: &Document, after: &Document) -> Result<Vec<Touched>> {
    let (before, after) = (rows(before)?, rows(after)?);
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let differ = names
        .into_iter()
        .filter(|row| before.get(*row) != after.get(*row));
    let touch = |row: &Row| Touched {
        row: row.clone(),
        before: before.get(row).map(edit::checksum),
    };
    Ok(differ.map(touch).collect())
}

/// Returns the next document, or `None` if the request changes nothing.
///
/// # Errors
///
/// Returns every validation error that the change would cause, or a conflict
/// that names the rows that another operator has changed since version `since`.
pub fn prepare(
    present: &Document,
    since: Version,
    proposal: &Proposal,
    author: &Author,
    change: Change,
) -> Result<Option<Document>, Faults> {
    let mut next = present.clone();
    match proposal {
        Proposal::Edit(edit) => edit(&mut next).map_err(single)?,
        Proposal::Tables { routes, pools, .. } => {
            validate_tables(&Texts {
                routes,
                pools,
                ..Texts::of(present)
            })?;
            merge(&mut next, since, routes, pools).map_err(single)?;
        }
    }
    validate(&next)?;
    let rows = touched(present, &next).map_err(single)?;
    if rows.is_empty() && next == *present {
        return Ok(None);
    }
    if let Proposal::Edit(_) = proposal {
        check_disjoint(present, since, &rows).map_err(single)?;
    }
    next.version = Version(present.version.0 + 1);
    next.change = change;
    let entry = Entry {
        version: next.version,
        change,
        at: author.at,
        by: author.by.clone(),
        what: author.what.clone(),
        rows,
    };
    record(&mut next.history, entry);
    next.encode().map_err(single)?;
    Ok(Some(next))
}

fn single(error: Error) -> Faults {
    vec![error]
}

fn validate_tables(texts: &Texts<'_>) -> Result<(), Faults> {
    let mut faults = Vec::new();
    check::tables(texts, &mut faults);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn validate(document: &Document) -> Result<(), Faults> {
    let mut faults = Vec::new();
    check::tables(&Texts::of(document), &mut faults);
    check::teams(&document.teams, &mut faults);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn record(history: &mut Vec<Entry>, entry: Entry) {
    history.insert(0, entry);
    history.truncate(HISTORY_LIMIT);
    let older = history[1..].iter().map(|entry| entry.rows.len());
    let sums = older.scan(0, |sum, rows| {
        *sum += rows;
        Some(*sum)
    });
    let kept = sums.take_while(|sum| *sum <= HISTORY_ROW_LIMIT).count();
    history.truncate(1 + kept);
}

/// Returns the rows that others modified since a version, with checksums of
/// their fields at that version.
fn changes_since(present: &Document, since: Version) -> Result<BTreeMap<Row, Option<u64>>> {
    if since > present.version {
        let reason = format!(
            "the version {since} does not exist yet, the newest is {}",
            present.version
        );
        return Err(Error::new(Code::Conflict, reason));
    }
    let missed = (present.version.0 - since.0) as usize;
    if missed > present.history.len() {
        let reason = format!(
            "the version {since} is too old to merge with {}: get the tables again",
            present.version
        );
        return Err(Error::new(Code::Conflict, reason));
    }
    let mut rows = BTreeMap::new();
    // Newest first, so that the oldest change's checksum overwrites later ones.
    for entry in &present.history[..missed] {
        for touched in &entry.rows {
            rows.insert(touched.row.clone(), touched.before);
        }
    }
    Ok(rows)
}

fn check_disjoint(present: &Document, since: Version, ours: &[Touched]) -> Result<()> {
    let others = changes_since(present, since)?;
    let conflicts = ours
        .iter()
        .map(|t| &t.row)
        .filter(|row| others.contains_key(*row));
    reject_conflicts(conflicts, present.version)
}

fn reject_conflicts<'a>(rows: impl Iterator<Item = &'a Row>, version: Version) -> Result<()> {
    let names: Vec<_> = rows.map(Row::to_string).collect();
    if names.is_empty() {
        return Ok(());
    }
    let reason = format!(
        "another operator changed {} first, in version {version} or before; nothing was changed",
        names.join(", ")
    );
    Err(Error::new(Code::Conflict, reason))
}

/// Merges the operator's tables into the document, keeping what others have
/// changed since the version that the operator read.
fn merge(next: &mut Document, since: Version, routes: &str, pools: &str) -> Result<()> {
    if since == next.version {
        routes.clone_into(&mut next.routes);
        pools.clone_into(&mut next.pools);
        return Ok(());
    }
    let others = changes_since(next, since)?;
    let mut conflicts = Vec::new();
    let mut merge_table =
        |text: &str, ours: &str, row: &dyn Fn(&str) -> Result<Row>| -> Result<String> {
            let (present, ours) = (edit::rows(text)?, edit::rows(ours)?);
            let mut text = text.to_owned();
            for name in differing_rows(&present, &ours) {
                let id = row(name)?;
                let mine = ours.get(name);
                let theirs = others.get(&id);
                let base = theirs
                    .copied()
                    .unwrap_or_else(|| present.get(name).map(edit::checksum));
                if mine.map(edit::checksum) == base {
                    continue;
                }
                if theirs.is_some() {
                    conflicts.push(id);
                    continue;
                }
                text = match mine {
                    Some(fields) => edit::replace(&text, name, fields)?,
                    None => edit::remove(&text, name)?,
                };
            }
            Ok(text)
        };
    let routes = merge_table(&next.routes, routes, &|name| Ok(Row::Route(name.parse()?)))?;
    let pools = merge_table(&next.pools, pools, &|name| Ok(Row::Pool(name.parse()?)))?;
    reject_conflicts(conflicts.iter(), next.version)?;
    next.routes = routes;
    next.pools = pools;
    Ok(())
}

fn differing_rows<'a>(one: &'a Rows, other: &'a Rows) -> impl Iterator<Item = &'a str> {
    let names: BTreeSet<_> = one.keys().chain(other.keys()).collect();
    let differ = names
        .into_iter()
        .filter(|name| one.get(*name) != other.get(*name));
    differ.map(String::as_str)
}
