//! `domain`: failure domains, evacuated and taken back.

use std::collections::BTreeSet;

use bpaf::{
    Parser,
    construct,
    positional, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    Failure, Job, Subcommand,
    access::{
        Access,
        Manner,
        access,
        manner, //
    },
    one_of,
    operator::Nodes,
};
use crate::{
    document::Document,
    error::{
        Code,
        Error,
        Result, //
    },
    evacuation,
    id::Domain,
};

/// Reads `domain evacuate|return|list`.
pub(super) fn parser() -> Subcommand {
    one_of(vec![evacuate(), take_back(), list()])
        .to_options()
        .descr("Evacuate failure domains, take them back and list the evacuated ones")
        .fallback_to_usage()
        .command("domain")
        .boxed()
}

fn evacuate() -> Subcommand {
    let manner = manner();
    let name = positional::<Domain>("DOMAIN").help("The failure domain's name");
    construct!(manner, name)
        .map(|(manner, name)| -> Job { Box::new(move || run_evacuate(&manner, name)) })
        .to_options()
        .descr("Send nothing more to the upstreams of a failure domain")
        .footer("domain evacuate north --wait 15s --node 10.20.1.11:4703 --token-file token")
        .command("evacuate")
        .boxed()
}

fn run_evacuate(manner: &Manner, name: Domain) -> Result<(), Failure> {
    let known = known(manner.nodes())?;
    let what = format!("domain evacuate {name}");
    let edit = move |document: &mut Document| evacuation::evacuate(document, &name, &known);
    manner.edit(what, Box::new(edit)).map(drop)
}

fn take_back() -> Subcommand {
    let manner = manner();
    let name = positional::<Domain>("DOMAIN").help("The failure domain's name");
    construct!(manner, name)
        .map(|(manner, name)| -> Job {
            Box::new(move || {
                let what = format!("domain return {name}");
                let edit = move |document: &mut Document| evacuation::end(document, &name);
                manner.edit(what, Box::new(edit)).map(drop)
            })
        })
        .to_options()
        .descr("Take a failure domain back; its upstreams count as cold at first")
        .command("return")
        .boxed()
}

fn list() -> Subcommand {
    access()
        .map(|access| -> Job { Box::new(move || run_list(&access)) })
        .to_options()
        .descr("List the evacuated failure domains")
        .command("list")
        .boxed()
}

fn run_list(access: &Access) -> Result<(), Failure> {
    let evacuated = access.read()?.evacuated;
    if access.json {
        println!("{}", json!(evacuated));
        return Ok(());
    }
    evacuated.iter().for_each(|name| println!("{name}"));
    Ok(())
}

/// The failure domains that the first node which answers knows.
fn known(nodes: &Nodes) -> Result<BTreeSet<Domain>> {
    nodes.require()?;
    let operator = nodes.operator()?;
    actix_rt::System::new().block_on(async {
        let mut fault = None;
        for node in &nodes.nodes {
            match operator.get(*node, "/status").await {
                Ok(status) => return Ok(domains(&status.unwrap_or_default())),
                Err(error) => fault = Some(error),
            }
        }
        Err(fault.unwrap_or_else(|| Error::new(Code::Usage, "name a node with --node")))
    })
}

fn domains(status: &Value) -> BTreeSet<Domain> {
    let members = status["members"].as_array().into_iter().flatten();
    let names = members.map(|member| &member["domain"]);
    let names = names.chain([&status["domain"]]).filter_map(Value::as_str);
    names.filter_map(|name| name.parse().ok()).collect()
}
