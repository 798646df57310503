//! `status`: what nodes say of themselves and of the fleet.

use std::net::SocketAddr;

use bpaf::{
    Parser,
    construct,
    long, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    Failure, Job, Subcommand,
    operator::{
        Nodes,
        nodes, //
    },
};
use crate::error::Error;

/// Reads `status --node ADDRESS`.
pub(super) fn parser() -> Subcommand {
    let nodes = nodes();
    let members = long("members")
        .help("Print the members that the first node knows")
        .switch();
    let json = long("json").help("Print the answers as JSON").switch();
    construct!(nodes, members, json)
        .map(|(nodes, members, json)| -> Job { Box::new(move || run(&nodes, members, json)) })
        .to_options()
        .descr("Print what nodes say of themselves: version, load, members")
        .footer("status --node 10.20.1.11:4703 --token-file token")
        .command("status")
        .boxed()
}

fn run(nodes: &Nodes, members: bool, json: bool) -> Result<(), Failure> {
    nodes.require()?;
    let operator = nodes.operator()?;
    let answers = actix_rt::System::new().block_on(async {
        let ask = nodes.nodes.iter().map(async |node| {
            let answer = operator.get(*node, "/status").await;
            (*node, answer.map(Option::unwrap_or_default))
        });
        futures_util::future::join_all(ask).await
    });
    match (json, members) {
        (true, _) => print_json(&answers),
        (false, true) => print_members(&answers),
        (false, false) => print_table(&answers),
    }
    let faults: Vec<_> = answers.into_iter().filter_map(|(_, a)| a.err()).collect();
    if faults.is_empty() {
        return Ok(());
    }
    Err(Failure(faults))
}

type Answered = (SocketAddr, Result<Value, Error>);

fn print_json(answers: &[Answered]) {
    let list = answers.iter().map(|(node, answer)| match answer {
        Ok(status) => json!({ "node": node, "status": status }),
        Err(error) => json!({ "node": node, "error": error.to_string() }),
    });
    println!("{}", Value::from_iter(list));
}

fn print_table(answers: &[Answered]) {
    println!(
        "{:<22} {:<20} {:<16} {:<16} {:>8} {:>6} {:>8} state",
        "node", "instance", "domain", "pool", "version", "calls", "members"
    );
    for (node, answer) in answers {
        let Ok(status) = answer else { continue };
        println!(
            "{:<22} {:<20} {:<16} {:<16} {:>8} {:>6} {:>8} {}",
            node.to_string(),
            word(&status["instance"]),
            word(&status["domain"]),
            word(&status["pool"]),
            word(&status["version"]),
            word(&status["calls"]),
            status["members"].as_array().map_or(0, Vec::len),
            state(status),
        );
    }
}

/// What the node's upstream gets, in one word.
fn state(status: &Value) -> &'static str {
    let evacuated = status["evacuated"].as_array();
    let mut evacuated = evacuated.into_iter().flatten();
    if status["draining"] == true {
        "draining"
    } else if evacuated.any(|domain| *domain == status["domain"]) {
        "evacuated"
    } else if status["cold"] == true {
        "cold"
    } else if status["named_limit"].is_number() {
        "limited"
    } else {
        "running"
    }
}

fn print_members(answers: &[Answered]) {
    println!(
        "{:<20} {:<16} {:<16} {:<22} {:<9} ready",
        "instance", "domain", "pool", "links", "status"
    );
    let first = answers.iter().find_map(|(_, answer)| answer.as_ref().ok());
    let members = first.and_then(|status| status["members"].as_array());
    for member in members.into_iter().flatten() {
        println!(
            "{:<20} {:<16} {:<16} {:<22} {:<9} {}",
            word(&member["instance"]),
            word(&member["domain"]),
            word(&member["pool"]),
            word(&member["links"]),
            word(&member["status"]),
            word(&member["ready"]),
        );
    }
}

fn word(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
