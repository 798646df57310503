//! `diff`: what files would change in the tables in force.

use std::{
    collections::BTreeSet,
    path::PathBuf, //
};

use bpaf::{
    Parser,
    construct,
    positional, //
};
use serde::Serialize;
use serde_json::Value;

use super::{
    Failure, Job, Subcommand,
    access::{
        Access,
        access, //
    },
    place::Files,
};
use crate::{
    change,
    document::Document,
    edit::Fields,
    error::Result, //
};

/// One field that differs.
#[derive(Debug, Serialize)]
struct Difference {
    row: String,
    field: String,
    present: Option<Value>,
    file: Option<Value>,
}

/// Reads `diff PATH...`.
pub(super) fn parser() -> Subcommand {
    let access = access();
    let paths = positional::<PathBuf>("PATH")
        .help("A directory with routes.jsonc and pools.jsonc, or the two files")
        .some("name the tables to compare");
    construct!(access, paths)
        .map(|(access, paths)| -> Job { Box::new(move || run(&access, &paths)) })
        .to_options()
        .descr("Print the fields in which files differ from the tables in force")
        .footer("`-` is the value in force, `+` the value in the file")
        .command("diff")
        .boxed()
}

fn run(access: &Access, paths: &[PathBuf]) -> Result<(), Failure> {
    let files = Files::read(paths)?;
    let mut faults = Vec::new();
    crate::check::tables(&files.texts(), &mut faults);
    if !faults.is_empty() {
        return Err(Failure(faults));
    }
    let present = access.read()?;
    let wanted = Document {
        routes: files.routes.text,
        pools: files.pools.text,
        ..present.clone()
    };
    let differences = differences(&present, &wanted)?;
    if access.json {
        println!("{}", serde_json::json!(differences));
        return Ok(());
    }
    if differences.is_empty() {
        println!("no difference to version {}", present.version);
    }
    for difference in &differences {
        let Difference { row, field, .. } = difference;
        for (sign, value) in [('-', &difference.present), ('+', &difference.file)] {
            if let Some(value) = value {
                println!("{sign} {row}: {field} = {value}");
            }
        }
    }
    Ok(())
}

fn differences(present: &Document, wanted: &Document) -> Result<Vec<Difference>> {
    let (present, wanted) = (change::rows(present)?, change::rows(wanted)?);
    let nothing = Fields::new();
    let mut differences = Vec::new();
    let names: BTreeSet<_> = present.keys().chain(wanted.keys()).collect();
    for row in names {
        let old = present.get(row).unwrap_or(&nothing);
        let new = wanted.get(row).unwrap_or(&nothing);
        let fields: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        let differ = fields.into_iter().filter(|f| old.get(*f) != new.get(*f));
        differences.extend(differ.map(|field| Difference {
            row: row.to_string(),
            field: field.clone(),
            present: old.get(field).cloned(),
            file: new.get(field).cloned(),
        }));
    }
    Ok(differences)
}
