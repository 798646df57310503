//! `key`: grant keys to teams and withdraw them.

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use rand::RngExt;
use serde_json::json;

use super::{
    Failure, Job, Subcommand,
    access::{
        Access,
        Manner,
        access,
        manner, //
    },
    one_of,
};
use crate::{
    document::Document,
    error::{
        Code,
        Error,
        Result, //
    },
    id,
    team::Key,
};

/// Reads `key grant|withdraw|list`.
pub(super) fn parser() -> Subcommand {
    one_of(vec![grant(), withdraw(), list()])
        .to_options()
        .descr("Grant, withdraw and list keys")
        .fallback_to_usage()
        .command("key")
        .boxed()
}

fn grant() -> Subcommand {
    let manner = manner();
    let name = long("name")
        .help("The key's public name; made from the team's name when absent")
        .argument::<id::Key>("KEY")
        .optional();
    let team = positional::<id::Team>("TEAM").help("The team that the key speaks for");
    construct!(manner, name, team)
        .map(|(manner, name, team)| -> Job { Box::new(move || run_grant(&manner, name, team)) })
        .to_options()
        .descr("Make a random key for a team and print it, this one time")
        .footer("Only a salted hash is stored. Callers send the key as Authorization: Bearer KEY")
        .command("grant")
        .boxed()
}

fn run_grant(manner: &Manner, name: Option<id::Key>, team: id::Team) -> Result<(), Failure> {
    let mut rng = rand::rng();
    let name = match name {
        Some(name) => name,
        None => format!("{team}-{:08x}", rng.random::<u32>()).parse()?,
    };
    let (key, shown) = Key::grant(name.clone(), team, &mut rng);
    let what = format!("key grant {name}");
    let edit = move |document: &mut Document| {
        let keys = &mut document.teams.keys;
        if keys.iter().any(|other| other.name == key.name) {
            let reason = format!("there is already a key `{}`", key.name);
            return Err(Error::new(Code::Conflict, reason));
        }
        keys.push(key.clone());
        Ok(())
    };
    let done = manner.commit(what, crate::change::Proposal::Edit(Box::new(edit)))?;
    // A key of a dry run was never stored and would not work.
    if manner.is_dry() {
        manner.print(&done);
    } else if manner.access.json {
        let version = done.document.version;
        println!(
            "{}",
            json!({ "name": name, "key": shown, "version": version })
        );
    } else {
        manner.print(&done);
        println!("{shown}");
    }
    Ok(manner.wait(&done)?)
}

fn withdraw() -> Subcommand {
    let manner = manner();
    let name = positional::<id::Key>("KEY").help("The key's public name, without the secret");
    construct!(manner, name)
        .map(|(manner, name)| -> Job {
            Box::new(move || {
                let what = format!("key withdraw {name}");
                let edit = move |document: &mut Document| {
                    let keys = &mut document.teams.keys;
                    let place = keys.iter().position(|key| key.name == name);
                    keys.remove(place.ok_or_else(|| absent(&name))?);
                    Ok(())
                };
                manner.edit(what, Box::new(edit)).map(drop)
            })
        })
        .to_options()
        .descr("Withdraw a key; it stops working within seconds, on open connections too")
        .command("withdraw")
        .boxed()
}

fn absent(name: &id::Key) -> Error {
    Error::new(Code::Absent, format!("there is no key `{name}`"))
}

fn list() -> Subcommand {
    let access = access();
    let team = long("team")
        .help("Only keys of this team")
        .argument::<id::Team>("TEAM")
        .optional();
    construct!(access, team)
        .map(|(access, team)| -> Job { Box::new(move || run_list(&access, team.as_ref())) })
        .to_options()
        .descr("List the names of all keys in force")
        .command("list")
        .boxed()
}

fn run_list(access: &Access, team: Option<&id::Team>) -> Result<(), Failure> {
    let document = access.read()?;
    let keys = document.teams.keys.iter();
    let keys: Vec<_> = keys
        .filter(|key| team.is_none_or(|team| key.team == *team))
        .collect();
    if access.json {
        let list = keys
            .iter()
            .map(|key| json!({ "name": key.name, "team": key.team }));
        println!("{}", serde_json::Value::from_iter(list));
        return Ok(());
    }
    println!("{:<32} {:<24}", "key", "team");
    for key in keys {
        println!("{:<32} {:<24}", key.name, key.team);
    }
    Ok(())
}
