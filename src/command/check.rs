//! `check`: find every fault of the two tables, without applying them.

use std::{
    collections::BTreeMap,
    path::PathBuf, //
};

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use serde::Serialize;

use super::{
    Failure,
    Job,
    Subcommand,
    place::Files, //
};
use crate::{
    check::{
        self,
        Texts, //
    },
    error::{
        Code,
        Error, //
    },
    settings::Settings,
    tables::Pool,
};

#[derive(Serialize)]
struct Fault<'a> {
    code: u16,
    file: Option<&'a str>,
    line: usize,
    column: usize,
    reason: &'a str,
}

/// Reads `check PATH...`.
pub(super) fn parser() -> Subcommand {
    let json = long("json")
        .help("Print the faults as a JSON list on standard output")
        .switch();
    let settings = long("settings")
        .help("A node's settings to check; may be repeated")
        .argument::<PathBuf>("FILE")
        .many();
    let paths = positional::<PathBuf>("PATH")
        .help("A directory with routes.jsonc and pools.jsonc, or the two files")
        .many();
    construct!(json, settings, paths)
        .map(|(json, settings, paths)| -> Job { Box::new(move || run(json, &settings, &paths)) })
        .to_options()
        .descr("Check the two tables, also against each other, and print every fault")
        .footer("Exits with 3 when there is a fault")
        .command("check")
        .boxed()
}

fn run(json: bool, settings: &[PathBuf], paths: &[PathBuf]) -> Result<(), Failure> {
    if settings.is_empty() && paths.is_empty() {
        let reason = "name the tables to check, or settings with --settings";
        return Err(Error::new(Code::Usage, reason).into());
    }
    let mut faults = Vec::new();
    let mut good = Vec::new();
    let mut pools = None;
    if !paths.is_empty() {
        let files = Files::read(paths)?;
        let tables = check::tables(&files.texts(), &mut faults);
        good.push(format!("{} routes", tables.routes.len()));
        good.push(format!("{} pools", tables.pools.len()));
        pools = faults.is_empty().then_some(tables.pools);
    }
    if !settings.is_empty() {
        let nodes = check_settings(settings, pools.as_deref(), &mut faults);
        good.push(format!("{nodes} nodes"));
    }
    if json {
        print_json(&faults);
    }
    if !faults.is_empty() {
        return Err(Failure(faults));
    }
    if !json {
        println!("good: {}", good.join(", "));
    }
    Ok(())
}

/// Checks settings, also against each other and the table of pools, and
/// returns how many nodes there are.
fn check_settings(files: &[PathBuf], pools: Option<&[Pool]>, faults: &mut Vec<Error>) -> usize {
    let mut names = BTreeMap::new();
    for file in files {
        let name = file.display().to_string();
        let settings = match Settings::load(file) {
            Ok(settings) => settings,
            Err(error) => {
                faults.push(error);
                continue;
            }
        };
        let mut fault =
            |reason: String| faults.push(Error::new(Code::Cross, reason).within(name.clone()));
        if pools.is_some_and(|pools| pools.iter().all(|pool| pool.name != settings.pool)) {
            fault(format!("there is no pool `{}`", settings.pool));
        }
        if let Some(other) = names.insert(settings.instance.clone(), name.clone()) {
            let instance = &settings.instance;
            fault(format!("the instance `{instance}` stands in {other} too"));
        }
    }
    files.len()
}

fn print_json(faults: &[Error]) {
    let list: Vec<_> = faults
        .iter()
        .map(|fault| Fault {
            code: fault.number(),
            file: fault.file(),
            line: fault.line(),
            column: fault.column(),
            reason: fault.reason(),
        })
        .collect();
    println!("{}", serde_json::json!(list));
}

impl Files {
    /// The texts, for checks.
    pub(super) fn texts(&self) -> Texts<'_> {
        Texts {
            routes_file: &self.routes.name,
            routes: &self.routes.text,
            pools_file: &self.pools.name,
            pools: &self.pools.text,
        }
    }
}
