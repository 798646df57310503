//! `history`: the last changes, who made them, and which rows they touched.

use bpaf::{
    Parser,
    construct,
    long, //
};
use serde_json::json;

use super::{
    Failure, Job, Subcommand,
    access::{
        Access,
        access, //
    },
};
use crate::{
    clock::Clock,
    document::Entry, //
};

/// Reads `history`.
pub(super) fn parser() -> Subcommand {
    let access = access();
    let count = long("count")
        .help("How many changes, the newest first")
        .argument::<usize>("NUMBER")
        .fallback(20)
        .display_fallback();
    construct!(access, count)
        .map(|(access, count)| -> Job { Box::new(move || run(&access, count)) })
        .to_options()
        .descr("Print the last changes; the store keeps 64 at most")
        .command("history")
        .boxed()
}

fn run(access: &Access, count: usize) -> Result<(), Failure> {
    let document = access.read()?;
    let entries = &document.history[..count.min(document.history.len())];
    if access.json {
        let list = entries.iter().map(|entry| {
            let rows: Vec<_> = entry.rows.iter().map(|t| t.row.to_string()).collect();
            json!({
                "version": entry.version, "change": entry.change.to_string(),
                "at_ms": entry.at, "by": entry.by, "what": entry.what, "rows": rows,
            })
        });
        println!("{}", serde_json::Value::from_iter(list));
        return Ok(());
    }
    let now = Clock.wall();
    println!(
        "{:<8} {:<16} {:>9} {:<12} {:<24} rows",
        "version", "change", "age", "by", "what"
    );
    for entry in entries {
        println!(
            "{:<8} {:<16} {:>9} {:<12} {:<24} {}",
            entry.version.to_string(),
            entry.change.to_string(),
            age(now, entry.at),
            entry.by,
            entry.what,
            rows(entry)
        );
    }
    Ok(())
}

/// The rows by name, and only their number when there are many.
fn rows(entry: &Entry) -> String {
    const MAX_LISTED_ROWS: usize = 6;
    if entry.rows.len() > MAX_LISTED_ROWS {
        return format!("{} rows", entry.rows.len());
    }
    let names: Vec<_> = entry.rows.iter().map(|t| t.row.to_string()).collect();
    names.join(", ")
}

fn age(now: u64, at: u64) -> String {
    match now.saturating_sub(at) / 1000 {
        seconds @ 0..120 => format!("{seconds}s"),
        seconds @ 120..7200 => format!("{}min", seconds / 60),
        seconds @ 7200..172_800 => format!("{}h", seconds / 3600),
        seconds => format!("{}d", seconds / 86_400),
    }
}
