//! `route` and `pool`: edit single rows of the two tables.

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use serde_json::Value;

use super::{
    Failure, Job, Subcommand,
    access::{
        Manner,
        manner, //
    },
    one_of,
};
use crate::{document::Document, edit};

/// One of the two tables.
#[derive(Clone, Copy, Debug)]
struct Table {
    name: &'static str,
    text: fn(&mut Document) -> &mut String,
    example: &'static str,
}

const ROUTES: Table = Table {
    name: "route",
    text: |document| &mut document.routes,
    example: "route set issue path=/certificates method=POST pool=issuer deadline=5s",
};

const POOLS: Table = Table {
    name: "pool",
    text: |document| &mut document.pools,
    example: "pool set issuer slots=50 connections=400",
};

/// Reads `route set|remove`.
pub(super) fn route() -> Subcommand {
    table(ROUTES, "Edit single rows of the table of routes")
}

/// Reads `pool set|remove`.
pub(super) fn pool() -> Subcommand {
    table(POOLS, "Edit single rows of the table of pools")
}

fn table(table: Table, about: &'static str) -> Subcommand {
    one_of(vec![set(table), remove(table)])
        .to_options()
        .descr(about)
        .fallback_to_usage()
        .command(table.name)
        .boxed()
}

fn set(table: Table) -> Subcommand {
    let manner = manner();
    let clear = long("clear")
        .help("Take a field out of the row, so that its default holds")
        .argument::<String>("FIELD")
        .many();
    let name = positional::<String>("NAME").help("The row's name");
    let fields = positional::<String>("FIELD=VALUE")
        .help("A field's new value; lists are written as in the table")
        .parse(|text| field(&text))
        .many();
    construct!(manner, clear, name, fields)
        .map(move |(manner, clear, name, fields)| -> Job {
            Box::new(move || run_set(table, &manner, &clear, name, fields))
        })
        .to_options()
        .descr("Set fields of a row, or make the row; comments are kept")
        .footer(table.example)
        .command("set")
        .boxed()
}

fn remove(table: Table) -> Subcommand {
    let manner = manner();
    let name = positional::<String>("NAME").help("The row's name");
    construct!(manner, name)
        .map(move |(manner, name)| -> Job {
            Box::new(move || {
                let what = format!("{} remove {name}", table.name);
                let edit = move |document: &mut Document| {
                    let text = (table.text)(document);
                    *text = edit::remove(text, &name)?;
                    Ok(())
                };
                manner.edit(what, Box::new(edit)).map(drop)
            })
        })
        .to_options()
        .descr("Remove a row; comments above it stay")
        .command("remove")
        .boxed()
}

fn run_set(
    table: Table,
    manner: &Manner,
    clear: &[String],
    name: String,
    fields: Vec<(String, Value)>,
) -> Result<(), Failure> {
    let set = fields
        .into_iter()
        .map(|(field, value)| (field, Some(value)));
    let clear = clear.iter().map(|field| (field.clone(), None));
    let fields: Vec<_> = set.chain(clear).collect();
    let what = format!("{} set {name}", table.name);
    let edit = move |document: &mut Document| {
        let text = (table.text)(document);
        *text = edit::set(text, &name, &fields)?;
        Ok(())
    };
    manner.edit(what, Box::new(edit)).map(drop)
}

/// Fields whose values are no texts; theirs are written as in the table.
const TYPED: [&str; 6] = [
    "slots",
    "connections",
    "queue",
    "retries",
    "idempotent",
    "calls",
];

/// Reads `field=value`.
fn field(text: &str) -> Result<(String, Value), &'static str> {
    let (field, value) = text.split_once('=').ok_or("write FIELD=VALUE")?;
    let typed = TYPED
        .contains(&field)
        .then(|| serde_json::from_str(value).ok());
    let value = typed
        .flatten()
        .unwrap_or_else(|| Value::String(value.to_owned()));
    Ok((field.to_owned(), value))
}
