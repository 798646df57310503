//! `apply`: put both tables in force.

use std::path::PathBuf;

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};

use super::{
    Failure, Job, Subcommand,
    access::{
        Manner,
        manner, //
    },
    place::{
        self,
        Files, //
    },
};
use crate::{
    change::Proposal,
    id::Version, //
};

/// Reads `apply PATH...`.
pub(super) fn parser() -> Subcommand {
    let manner = manner();
    let read = long("read")
        .help("The version that the files were made from; else from the file VERSION beside them")
        .argument::<Version>("VERSION")
        .optional();
    let paths = positional::<PathBuf>("PATH")
        .help("A directory with routes.jsonc and pools.jsonc, or the two files")
        .some("name the tables to apply");
    construct!(manner, read, paths)
        .map(|(manner, read, paths)| -> Job { Box::new(move || run(&manner, read, &paths)) })
        .to_options()
        .descr("Put the two tables in force, all or nothing")
        .footer(
            "Rows that other operators changed in the meantime are kept; where they changed the \
             same row, nothing is changed and the rows are named (exit code 4)",
        )
        .command("apply")
        .boxed()
}

fn run(manner: &Manner, read: Option<Version>, paths: &[PathBuf]) -> Result<(), Failure> {
    let files = Files::read(paths)?;
    let since = match read {
        Some(version) => version,
        None => files.version()?,
    };
    let wish = Proposal::Tables {
        since,
        routes: files.routes.text.clone(),
        pools: files.pools.text.clone(),
    };
    let done = manner
        .commit("apply".to_owned(), wish)
        .map_err(|failure| files.rename(failure))?;
    manner.print(&done);
    let document = &done.document;
    let same = document.routes == files.routes.text && document.pools == files.pools.text;
    if manner.is_dry() {
        return Ok(());
    }
    if same {
        place::write_version(paths, document.version)?;
    } else if !manner.access.json {
        println!("merged with other operators' rows: `get` the tables before the next edit");
    }
    Ok(manner.wait(&done)?)
}
