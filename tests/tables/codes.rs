//! docs/CODES.md lists exactly the numbers that the code has.

use bluebellswitch::{
    Category, ERRORS,
    code::{
        Code,
        Verdict, //
    },
};

const PAGE: &str = include_str!("../../docs/CODES.md");

/// The rows of the page's tables whose first cell is a number like this, as
/// far as the code decides them.
fn listed(first: char, cells: usize) -> Vec<String> {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| "));
    let rows = rows.filter(|row| row.starts_with(first));
    let cut = |row: &str| row.split(" | ").take(cells).collect::<Vec<_>>().join(" | ");
    rows.map(cut).collect()
}

fn refusal(code: &Code) -> String {
    let verdict = match code.verdict() {
        Verdict::NotRun => "not run",
        Verdict::Unknown => "unknown",
    };
    let wait = code
        .retry_after()
        .map_or("-".to_owned(), |wait| wait.to_string());
    let (number, name, status) = (*code as u16, code.name(), code.status());
    format!(
        "{number} | {name} | {status} | {verdict} | {wait} | {}",
        code.text()
    )
}

fn failure((number, name, category): &(u16, &str, Category)) -> String {
    let exit = match (*name, category) {
        ("Broken", _) => 1,
        ("Usage", _) => 2,
        (_, Category::Syntax | Category::Data) => 3,
        (_, Category::Conflict) => 4,
        (_, Category::Store) => 5,
        (_, Category::Peer) => 6,
        (_, Category::Io) => 7,
        (_, Category::Fault) => 8,
    };
    format!("{number} | {name} | {exit}")
}

#[test]
fn page_lists_every_refusal() {
    let mut page = Vec::new();
    ['1', '2', '3']
        .iter()
        .for_each(|first| page.extend(listed(*first, 6)));
    let page: Vec<_> = page.iter().map(|row| row.trim_end_matches(" |")).collect();
    let code: Vec<_> = Code::ALL.iter().map(refusal).collect();
    let all: Vec<_> = code.iter().map(|row| format!("| {row} |\n")).collect();
    assert_eq!(page, code, "the code says:\n{}", all.concat());
}

#[test]
fn page_lists_every_failure() {
    let mut page = Vec::new();
    ['4', '5', '6', '7', '8']
        .iter()
        .for_each(|first| page.extend(listed(*first, 3)));
    let code: Vec<_> = ERRORS.iter().map(failure).collect();
    assert_eq!(page, code);
}
