//! `team`: customers with their rates.

use bpaf::{
    Parser,
    construct,
    long,
    positional, //
};
use serde_json::json;

use super::{
    Failure, Job, Subcommand,
    access::{
        Access,
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
    team::Team,
    unit::{
        Rate,
        Weight, //
    },
};

/// Reads `team set|remove|list`.
pub(super) fn parser() -> Subcommand {
    one_of(vec![set(), remove(), list()])
        .to_options()
        .descr("Set, remove and list teams with their rates")
        .fallback_to_usage()
        .command("team")
        .boxed()
}

/// What `team set` changes.
#[derive(Clone, Debug)]
struct Change {
    rate: Option<Rate>,
    burst: Option<u32>,
    weight: Option<u32>,
}

fn set() -> Subcommand {
    let manner = manner();
    let rate = long("rate")
        .help("Requests a second over the whole fleet, such as 50/s or 30/min")
        .argument::<Rate>("RATE")
        .optional();
    let burst = long("burst")
        .help("Requests at once over the whole fleet")
        .argument::<u32>("COUNT")
        .optional();
    let weight = long("weight")
        .help("The share under overload, relative to other teams; 1 for a new team")
        .argument::<u32>("NUMBER")
        .optional();
    let change = construct!(Change {
        rate,
        burst,
        weight
    });
    let name = positional::<id::Team>("TEAM").help("The team's name");
    construct!(manner, change, name)
        .map(|(manner, change, name)| -> Job {
            Box::new(move || {
                let what = format!("team set {name}");
                let edit = move |document: &mut Document| change.apply(&name, document);
                manner.edit(what, Box::new(edit)).map(drop)
            })
        })
        .to_options()
        .descr("Make a team or change it; a new one needs a rate and a burst")
        .command("set")
        .boxed()
}

impl Change {
    fn apply(&self, name: &id::Team, document: &mut Document) -> Result<()> {
        let teams = &mut document.teams.teams;
        if let Some(team) = teams.iter_mut().find(|team| team.name == *name) {
            team.rate = self.rate.unwrap_or(team.rate);
            team.burst = self.burst.unwrap_or(team.burst);
            team.weight = self.weight.map_or(team.weight, Weight);
            return Ok(());
        }
        let (Some(rate), Some(burst)) = (self.rate, self.burst) else {
            let reason = format!("the team `{name}` is new and needs --rate and --burst");
            return Err(Error::new(Code::Usage, reason));
        };
        teams.push(Team {
            name: name.clone(),
            rate,
            burst,
            weight: self.weight.map_or_else(Weight::default, Weight),
        });
        Ok(())
    }
}

fn remove() -> Subcommand {
    let manner = manner();
    let name = positional::<id::Team>("TEAM").help("The team's name");
    construct!(manner, name)
        .map(|(manner, name)| -> Job {
            Box::new(move || {
                let what = format!("team remove {name}");
                let edit = move |document: &mut Document| {
                    let teams = &mut document.teams.teams;
                    let place = teams.iter().position(|team| team.name == name);
                    teams.remove(place.ok_or_else(|| absent(&name))?);
                    Ok(())
                };
                manner.edit(what, Box::new(edit)).map(drop)
            })
        })
        .to_options()
        .descr("Remove a team; its keys must have been withdrawn")
        .command("remove")
        .boxed()
}

fn absent(name: &id::Team) -> Error {
    Error::new(Code::Absent, format!("there is no team `{name}`"))
}

fn list() -> Subcommand {
    access()
        .map(|access| -> Job { Box::new(move || run_list(&access)) })
        .to_options()
        .descr("List all teams")
        .command("list")
        .boxed()
}

fn run_list(access: &Access) -> Result<(), Failure> {
    let document = access.read()?;
    let teams = &document.teams;
    let keys = |team: &Team| teams.keys.iter().filter(|k| k.team == team.name).count();
    if access.json {
        let list: Vec<_> = teams
            .teams
            .iter()
            .map(|team| {
                json!({
                    "name": team.name, "rate": team.rate, "burst": team.burst,
                    "weight": team.weight, "keys": keys(team),
                })
            })
            .collect();
        println!("{}", json!(list));
        return Ok(());
    }
    println!(
        "{:<24} {:>10} {:>8} {:>6} {:>5}",
        "team", "rate", "burst", "weight", "keys"
    );
    for team in &teams.teams {
        println!(
            "{:<24} {:>10} {:>8} {:>6} {:>5}",
            team.name,
            team.rate.to_string(),
            team.burst,
            team.weight.0,
            keys(team)
        );
    }
    Ok(())
}
