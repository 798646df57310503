//! `measure rates`: rates over fleets of several sizes, in virtual time.

use std::fmt;

use bpaf::{
    Parser,
    construct,
    long, //
};
use serde::Serialize;

use super::{
    Failure,
    Job,
    Subcommand, //
};
use crate::{
    clock::Span,
    error::{
        Code,
        Error, //
    },
    standin::rates::{
        Fleet,
        Size, //
    },
};

/// Nodes, teams, and nodes at which a team's clients are.
const SIZES: [(usize, usize, usize); 4] = [(12, 8, 8), (70, 78, 8), (195, 140, 8), (1171, 500, 8)];
/// The part of its rate that every team calls.
const CALM_LOAD: f64 = 0.625;
const FLOOD_LOAD: f64 = 3.0;
const SCENE_LENGTH: Span = Span::from_secs(12);

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scene {
    Calm,
    Gathered,
    Loss,
    ServersKilled,
    ServersPaused,
    ServersCut,
    StoreAway,
    Flood,
}

impl Scene {
    const ALL: [Self; 8] = [
        Self::Calm,
        Self::Gathered,
        Self::Loss,
        Self::ServersKilled,
        Self::ServersPaused,
        Self::ServersCut,
        Self::StoreAway,
        Self::Flood,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Gathered => "all clients at one node",
            Self::Loss => "2 % of messages lost",
            Self::ServersKilled => "a tenth of the nodes killed",
            Self::ServersPaused => "a tenth paused for 5 s",
            Self::ServersCut => "a tenth cut off for 5 s",
            Self::StoreAway => "a tenth without the store",
            Self::Flood => "three times the rates",
        }
    }
}

/// One line of the result.
#[derive(Clone, Debug, Serialize)]
struct Line {
    nodes: usize,
    teams: usize,
    scene: &'static str,
    /// The share of calls within their rate that were refused, in percent.
    refused_percent: f64,
    /// The same for the team that fared worst.
    worst_percent: f64,
    /// Tokens above rate and burst in the worst window.
    excess: f64,
    /// Messages of each node, a second.
    messages: f64,
}

const TABLE_HEAD: &str =
    "nodes teams  scene                        refused%  worst%   over  messages/node/s";

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>5} {:>5}  {:<28} {:>8.3} {:>7.2} {:>6.3} {:>16.2}",
            self.nodes,
            self.teams,
            self.scene,
            self.refused_percent,
            self.worst_percent,
            self.excess,
            self.messages,
        )
    }
}

/// Reads `measure rates`.
pub(super) fn parser() -> Subcommand {
    let json = long("json").help("Print one JSON object a row").switch();
    let seed = long("seed")
        .help("The seed of all chance")
        .argument("N")
        .fallback(1);
    let most = long("most")
        .help("Leave out fleets of more nodes")
        .argument("NODES")
        .fallback(usize::MAX);
    construct!(json, seed, most)
        .map(|(json, seed, most)| -> Job { Box::new(move || run(json, seed, most)) })
        .to_options()
        .descr("Measure rates over fleets of several sizes, calm and under faults")
        .footer("Exits with 1 when a team got more than its rate and burst in any window")
        .command("rates")
        .boxed()
}

fn run(json: bool, seed: u64, most: usize) -> Result<(), Failure> {
    if !json {
        println!("{TABLE_HEAD}");
    }
    let mut over = 0;
    for (nodes, teams, clients) in SIZES.into_iter().filter(|(nodes, ..)| *nodes <= most) {
        for scene in Scene::ALL {
            let line = measure(&Size::of(nodes, teams, clients), scene, seed);
            over += usize::from(line.excess > 0.0);
            match json {
                true => println!("{}", serde_json::json!(line)),
                false => println!("{line}"),
            }
        }
    }
    match over {
        0 => Ok(()),
        _ => {
            let reason = format!("in {over} runs a team got more than its rate and burst");
            Err(Error::new(Code::Broken, reason).into())
        }
    }
}

fn measure(size: &Size, scene: Scene, seed: u64) -> Line {
    let mut size = size.clone();
    if scene == Scene::Loss {
        size.loss = 0.02;
    }
    let (nodes, teams) = (size.nodes, size.teams.len());
    let mut fleet = Fleet::new(size, seed);
    if scene == Scene::Gathered {
        (0..teams).for_each(|team| fleet.gather(team, team % nodes));
    }
    fleet.run(Span::from_secs(3), CALM_LOAD);
    fleet.count_anew();
    let struck = (0..nodes).step_by(10);
    match scene {
        Scene::Calm | Scene::Gathered | Scene::Loss | Scene::Flood => {}
        Scene::ServersKilled => struck.for_each(|node| fleet.kill(node)),
        Scene::ServersPaused => struck.for_each(|node| fleet.pause(node, Span::from_secs(5))),
        Scene::ServersCut => struck.for_each(|node| fleet.cut(node, true)),
        Scene::StoreAway => struck.for_each(|node| fleet.unlist(node, true)),
    }
    let load = if scene == Scene::Flood {
        FLOOD_LOAD
    } else {
        CALM_LOAD
    };
    fleet.run(Span::from_secs(5), load);
    if matches!(scene, Scene::ServersCut | Scene::StoreAway) {
        for node in (0..nodes).step_by(10) {
            fleet.cut(node, false);
            fleet.unlist(node, false);
        }
    }
    fleet.run(SCENE_LENGTH - Span::from_secs(5), load);
    fleet.run(Span::from_ms(200), 0.0);
    Line {
        nodes,
        teams,
        scene: scene.name(),
        refused_percent: fleet.refused() * 100.0,
        worst_percent: fleet.worst() * 100.0,
        excess: fleet.excess(),
        messages: fleet.messages() as f64 / SCENE_LENGTH.as_secs_f64() / nodes as f64,
    }
}
