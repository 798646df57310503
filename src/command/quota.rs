//! `measure quota`: rates under faults, in virtual time.
//!
//! The real nodes of a whole site run over the driver, with a store, loss,
//! delay, reordering and doubled datagrams. Every team calls below its rate but
//! one, which calls at three times its rate. What the table calls refused within
//! rate are the requests that one bucket with no network around it would have
//! let through.

mod run;
mod scene;

use std::fmt;

use bpaf::{
    Parser,
    construct,
    long, //
};

pub use self::{
    run::{
        Outcome,
        Trial, //
    },
    scene::Scene,
};
use super::{
    Failure,
    Job,
    Subcommand, //
};
use crate::{
    error::{
        Code,
        Error, //
    },
    lease::Options,
    quota::Mode,
    standin::site::Site, //
};

/// A way to share rates, with its name in the table.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// Its name.
    pub name: &'static str,
    /// How tokens are shared.
    pub mode: Mode,
    /// Whether owners name a successor.
    pub succession: bool,
}

impl Way {
    /// Every way, the one in use first.
    pub fn all(nodes: u32) -> Vec<Self> {
        let way = |name, mode, succession| Self {
            name,
            mode,
            succession,
        };
        vec![
            way("grants+successor", Mode::Grants, true),
            way("grants", Mode::Grants, false),
            way(
                "standing share",
                Mode::GrantsAndFixedShares(20, nodes),
                false,
            ),
            way("central counter", Mode::Central, true),
            way("equal slices", Mode::Slices(nodes), false),
        ]
    }

    /// The times of leases that go with it.
    pub fn setting(&self) -> Options {
        Options {
            name_successor: self.succession,
            ..Options::default()
        }
    }
}

/// Reads `measure quota`.
pub(super) fn parser() -> Subcommand {
    let json = long("json").help("Print one JSON object a row").switch();
    let seed = long("seed")
        .help("The seed of all chance")
        .argument("N")
        .fallback(1);
    let scene = long("scene")
        .help("Only scenes whose names contain this")
        .argument::<String>("TEXT")
        .fallback(String::new());
    construct!(json, seed, scene)
        .map(|(json, seed, scene)| -> Job { Box::new(move || run(json, seed, &scene)) })
        .to_options()
        .descr("Measure rates summed over the fleet under faults, against other ways to share")
        .footer("Exits with 1 when a team got more than its rate and burst in any window")
        .command("quota")
        .boxed()
}

fn run(json: bool, seed: u64, scene: &str) -> Result<(), Failure> {
    let chosen = |candidate: &Scene| candidate.name().contains(scene);
    let scenes: Vec<Scene> = Scene::ALL.into_iter().filter(chosen).collect();
    if !json {
        println!("{HEAD}");
    }
    let mut over = 0;
    for site in ["tuul", "kandy"] {
        for scene in &scenes {
            for row in measure(site, seed, std::slice::from_ref(scene)) {
                over += usize::from(row.outcome.excess > 0.0 || !row.outcome.broken.is_empty());
                match json {
                    true => println!("{}", row.json()),
                    false => println!("{row}"),
                }
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

/// One row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The site.
    pub site: &'static str,
    /// What happened.
    pub scene: Scene,
    /// How rates were shared.
    pub way: &'static str,
    /// What came of it.
    pub outcome: Outcome,
}

/// Measures every scene in every way at one site.
pub fn measure(name: &'static str, seed: u64, scenes: &[Scene]) -> Vec<Row> {
    let site = || match name {
        "kandy" => Site::kandy(),
        _ => Site::tuul(),
    };
    let nodes = site()
        .services
        .iter()
        .flat_map(|service| &service.instances)
        .sum::<usize>();
    let mut rows = Vec::new();
    for scene in scenes {
        for way in Way::all(nodes as u32) {
            rows.push(Row {
                site: name,
                scene: *scene,
                way: way.name,
                outcome: Trial::new(site(), &way, seed).run(*scene),
            });
        }
    }
    rows
}

impl Row {
    /// The row as a line of JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "site": self.site,
            "scene": self.scene.name(),
            "way": self.way,
            "offered": self.outcome.offered,
            "within_rate": self.outcome.within,
            "refused_within_rate_percent": self.outcome.refused_percent(),
            "worst_team_percent": self.outcome.worst_percent,
            "seconds_with_refusals": self.outcome.seconds,
            "over_admission": self.outcome.excess,
            "store_calls_per_second": self.outcome.calls,
            "store_writes_per_second": self.outcome.writes,
        })
    }
}

/// The head of the table.
pub const HEAD: &str = "site   scene                        way               within   refused%  worst%  \
     seconds  over   calls/s";

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<6} {:<28} {:<17} {:>7} {:>9.3} {:>7.2} {:>8} {:>6.3} {:>8.1}",
            self.site,
            self.scene.name(),
            self.way,
            self.outcome.within,
            self.outcome.refused_percent(),
            self.outcome.worst_percent,
            self.outcome.seconds,
            self.outcome.excess,
            self.outcome.calls,
        )
    }
}
