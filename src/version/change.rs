//! One operator's change of the configuration.
//!
//! A change is one compare-and-swap of the whole document. Operators may race:
//! the loser reads again and tries again on what the winner wrote, unless both
//! touched the same row. The document's history says which rows have changed
//! since the version that the loser had read, and what they said then.

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

/// Changes that the history keeps.
const HISTORY_LIMIT: usize = 64;
/// Touched rows that the history keeps, beside those of the last change.
const TOUCHED_LIMIT: usize = 512;

/// All faults of a change that breaks the checks, or the one other error.
pub type Faults = Vec<Error>;

/// Changes single rows of a document.
pub type Edit = Box<dyn Fn(&mut Document) -> Result<()>>;

/// What an operator wants.
pub enum Wish {
    /// Both tables as in these texts, which were made from a version.
    Tables {
        /// The version that the operator read.
        since: Version,
        /// The table of routes.
        routes: String,
        /// The table of pools.
        pools: String,
    },
    /// An edit of single rows, as they are now.
    Edit(Edit),
}

/// Who wants it, for the history.
#[derive(Clone, Debug)]
pub struct Author {
    /// The operator.
    pub by: String,
    /// The command in short.
    pub what: String,
    /// The wall clock, in milliseconds since 1970.
    pub at: u64,
}

/// A document's rows of every kind by what they say.
///
/// # Errors
///
/// When a text cannot be read.
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

/// The rows that differ between two documents, with what they said before.
///
/// # Errors
///
/// When a text cannot be read.
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

/// The next document, or nothing when the wish changes nothing.
///
/// # Errors
///
/// Every fault that the change would bring, or the rows that another operator
/// has changed since the version that this one had read.
pub fn prepare(
    present: &Document,
    since: Version,
    wish: &Wish,
    author: &Author,
    change: Change,
) -> Result<Option<Document>, Faults> {
    let mut next = present.clone();
    match wish {
        Wish::Edit(edit) => edit(&mut next).map_err(one)?,
        Wish::Tables { routes, pools, .. } => {
            faulty(&Texts {
                routes,
                pools,
                ..Texts::of(present)
            })?;
            merge(&mut next, since, routes, pools).map_err(one)?;
        }
    }
    faults(&next)?;
    let rows = touched(present, &next).map_err(one)?;
    if rows.is_empty() && next == *present {
        return Ok(None);
    }
    if let Wish::Edit(_) = wish {
        disjoint(present, since, &rows).map_err(one)?;
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
    remember(&mut next.history, entry);
    next.encode().map_err(one)?;
    Ok(Some(next))
}

fn one(error: Error) -> Faults {
    vec![error]
}

fn faulty(texts: &Texts<'_>) -> Result<(), Faults> {
    let mut faults = Vec::new();
    check::tables(texts, &mut faults);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn faults(document: &Document) -> Result<(), Faults> {
    let mut faults = Vec::new();
    check::tables(&Texts::of(document), &mut faults);
    check::teams(&document.teams, &mut faults);
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn remember(history: &mut Vec<Entry>, entry: Entry) {
    history.insert(0, entry);
    history.truncate(HISTORY_LIMIT);
    let older = history[1..].iter().map(|entry| entry.rows.len());
    let sums = older.scan(0, |sum, rows| {
        *sum += rows;
        Some(*sum)
    });
    let kept = sums.take_while(|sum| *sum <= TOUCHED_LIMIT).count();
    history.truncate(1 + kept);
}

/// What every row that others touched since a version said at that version.
fn others(present: &Document, since: Version) -> Result<BTreeMap<Row, Option<u64>>> {
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
    // Newest first, so that the oldest change has the last word.
    for entry in &present.history[..missed] {
        for touched in &entry.rows {
            rows.insert(touched.row.clone(), touched.before);
        }
    }
    Ok(rows)
}

fn disjoint(present: &Document, since: Version, ours: &[Touched]) -> Result<()> {
    let others = others(present, since)?;
    let both = ours
        .iter()
        .map(|t| &t.row)
        .filter(|row| others.contains_key(*row));
    refuse(both, present.version)
}

fn refuse<'a>(rows: impl Iterator<Item = &'a Row>, version: Version) -> Result<()> {
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

/// Puts the operator's tables in force, and keeps what others have changed
/// since the version that the operator read.
fn merge(next: &mut Document, since: Version, routes: &str, pools: &str) -> Result<()> {
    if since == next.version {
        routes.clone_into(&mut next.routes);
        pools.clone_into(&mut next.pools);
        return Ok(());
    }
    let others = others(next, since)?;
    let mut both = Vec::new();
    let mut side = |text: &str, ours: &str, row: &dyn Fn(&str) -> Result<Row>| -> Result<String> {
        let (present, ours) = (edit::rows(text)?, edit::rows(ours)?);
        let mut text = text.to_owned();
        for name in differing(&present, &ours) {
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
                both.push(id);
                continue;
            }
            text = match mine {
                Some(fields) => edit::replace(&text, name, fields)?,
                None => edit::remove(&text, name)?,
            };
        }
        Ok(text)
    };
    let routes = side(&next.routes, routes, &|name| Ok(Row::Route(name.parse()?)))?;
    let pools = side(&next.pools, pools, &|name| Ok(Row::Pool(name.parse()?)))?;
    refuse(both.iter(), next.version)?;
    next.routes = routes;
    next.pools = pools;
    Ok(())
}

fn differing<'a>(one: &'a Rows, other: &'a Rows) -> impl Iterator<Item = &'a str> {
    let names: BTreeSet<_> = one.keys().chain(other.keys()).collect();
    let differ = names
        .into_iter()
        .filter(|name| one.get(*name) != other.get(*name));
    differ.map(String::as_str)
}
