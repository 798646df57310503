//! `measure fleet`: what the fleet's size costs one node.

use std::time::Instant;

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
    document::{
        Document,
        Snapshot, //
    },
    error::{
        Code,
        Error, //
    },
    id::Version,
    standin::crowd::{
        Cost,
        Crowd,
        Size, //
    },
    team::{
        Key,
        Team,
        Teams, //
    },
    unit::{
        Rate,
        Weight, //
    },
};

/// Teams of the configuration that is measured with, and keys of each.
const TEAMS: usize = 50;
const KEYS: usize = 4;
/// Routes for each pool.
const ROUTES: usize = 4;

/// One line of the result.
#[derive(Clone, Copy, Debug, Serialize)]
struct Line {
    /// Members of the fleet.
    members: usize,
    /// Failure domains.
    domains: usize,
    /// Pools.
    pools: usize,
    /// Whether the node is a watcher.
    watcher: bool,
    /// Datagrams out and in, a second.
    messages: f64,
    /// Bytes out and in, with headers, a second.
    bytes: f64,
    /// The highest of any ten seconds.
    peak: f64,
    /// The same in the ten seconds after a domain was lost.
    lost: f64,
    /// The largest datagram in bytes, without headers.
    largest: usize,
    /// Calls to the store, a second.
    calls: f64,
    /// Processor time in thousandths of a core.
    busy: f64,
    /// Memory that the node's decisions added to the process, in KiB.
    memory: u64,
    /// Bytes of the document.
    document: usize,
    /// Frames over links, an hour.
    frames: f64,
    /// Versions adopted.
    adopted: u64,
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    members: usize,
    domains: usize,
    pools: usize,
    watcher: bool,
    seconds: u64,
    changes: f64,
    restarts: f64,
    json: bool,
}

/// Reads `measure fleet`.
pub(super) fn parser() -> Subcommand {
    let number = |name, value: usize, help| {
        long(name)
            .help(help)
            .argument::<usize>("N")
            .fallback(value)
            .display_fallback()
    };
    let members = number("members", 1200, "Members of the fleet");
    let domains = number("domains", 19, "Failure domains");
    let pools = number("pools", 46, "Pools");
    let watcher = long("watcher").help("Measure a watcher").switch();
    let seconds = long("seconds")
        .help("Virtual seconds to run")
        .argument::<u64>("N")
        .fallback(600);
    let changes = long("changes")
        .help("Configuration changes a day")
        .argument::<f64>("N")
        .fallback(2000.0);
    let restarts = long("restarts")
        .help("Restarts and failures a day, for 1,200 members")
        .argument::<f64>("N")
        .fallback(226.0);
    let json = long("json").help("Print JSON").switch();
    construct!(Plan {
        members,
        domains,
        pools,
        watcher,
        seconds,
        changes,
        restarts,
        json
    })
    .map(|plan| -> Job { Box::new(move || run(plan)) })
    .to_options()
    .descr("One node's real decisions among played members: bytes, memory, processor time")
    .command("fleet")
    .boxed()
}

fn run(plan: Plan) -> Result<(), Failure> {
    if plan.domains == 0 || plan.pools == 0 || plan.members < plan.domains * 2 {
        let reason = "at least one pool, and two members for each domain, are needed";
        return Err(Error::new(Code::Usage, reason).into());
    }
    let line = measure(plan)?;
    match plan.json {
        true => {
            let text = serde_json::to_string(&line);
            println!("{}", text.map_err(|e| Error::new(Code::Io, e.to_string()))?);
        }
        false => print(&line),
    }
    Ok(())
}

fn measure(plan: Plan) -> Result<Line, Error> {
    let size = Size {
        members: plan.members,
        domains: plan.domains,
        pools: plan.pools,
        restarts: plan.restarts * plan.members as f64 / 1200.0,
        changes: plan.changes,
        watcher: plan.watcher,
    };
    let document = document(plan.pools);
    Snapshot::parse(&document)?;
    let bytes = serde_json::to_vec(&document).map_or(0, |text| text.len());
    let before = resident();
    let mut crowd = Crowd::new(size, document);
    // Half of what was added belongs to the second node, which plays the rest.
    let memory = (resident() - before) / 2;
    crowd.run(Span::from_secs(30));
    let mut total = Cost::default();
    let mut peak: f64 = 0.0;
    let begun = Instant::now();
    for round in 0..plan.seconds.div_ceil(10) {
        let cost = crowd.run(Span::from_secs(10));
        peak = peak.max(rate(&cost));
        add(&mut total, &cost);
        if round % 30 == 29 {
            eprintln!(
                "{} s of {} in {:?}",
                round * 10 + 10,
                plan.seconds,
                begun.elapsed()
            );
        }
    }
    crowd.lose_domain();
    let lost = rate(&crowd.run(Span::from_secs(10)));
    let seconds = total.time.as_secs_f64();
    Ok(Line {
        members: plan.members,
        domains: plan.domains,
        pools: plan.pools,
        watcher: plan.watcher,
        messages: (total.sent + total.received) as f64 / seconds,
        bytes: rate(&total),
        peak,
        lost,
        largest: total.largest,
        calls: total.calls as f64 / seconds,
        busy: total.busy.as_secs_f64() / seconds * 1000.0,
        memory,
        document: bytes,
        frames: total.frames as f64 / seconds * 3600.0,
        adopted: total.adopted,
    })
}

fn rate(cost: &Cost) -> f64 {
    let bytes = cost.sent_bytes + cost.received_bytes + cost.frame_bytes;
    bytes as f64 / cost.time.as_secs_f64()
}

fn add(total: &mut Cost, cost: &Cost) {
    total.sent += cost.sent;
    total.received += cost.received;
    total.sent_bytes += cost.sent_bytes;
    total.received_bytes += cost.received_bytes;
    total.largest = total.largest.max(cost.largest);
    total.frames += cost.frames;
    total.frame_bytes += cost.frame_bytes;
    total.calls += cost.calls;
    total.busy += cost.busy;
    total.time = total.time + cost.time;
    total.adopted = cost.adopted;
}

/// Resident memory of this process, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// A configuration of this many pools, with routes, teams and keys.
fn document(pools: usize) -> Document {
    let name = |text: String| text.parse().expect("a plain name");
    let routes = (0..pools * ROUTES).map(|n| {
        let (pool, kind) = (n % pools, n / pools);
        format!(
            r#"  "route-{n}": {{ "method": "GET", "path": "/service-{pool}/kind-{kind}/*", "pool": "service-{pool}", "importance": "normal", "deadline": "5s" }}"#
        )
    });
    let rows = |lines: Vec<String>| format!("{{\n{}\n}}\n", lines.join(",\n"));
    let routes = rows(routes.collect());
    let pool = |n| format!(r#"  "service-{n}": {{ "slots": 50, "connections": 400 }}"#);
    let teams = (0..TEAMS).map(|n| Team {
        name: name(format!("team-{n}")),
        rate: Rate::per_second(2000),
        burst: 4000,
        weight: Weight(1),
    });
    let keys = (0..TEAMS * KEYS).map(|n| {
        let (key, team) = (format!("key-{n}"), format!("team-{}", n % TEAMS));
        let salt = format!("{:032x}", n as u128 * 0x9e37_79b9_7f4a_7c15);
        Key::seal(
            key.parse().expect("a plain name"),
            team.parse().expect("a plain name"),
            &salt,
            "secret",
        )
    });
    Document {
        version: Version(1),
        routes,
        pools: rows((0..pools).map(pool).collect()),
        teams: Teams {
            teams: teams.collect(),
            keys: keys.collect(),
        },
        ..Document::default()
    }
}

fn print(line: &Line) {
    println!("members      {:>10}", line.members);
    println!("domains      {:>10}", line.domains);
    println!("pools        {:>10}", line.pools);
    println!("watcher      {:>10}", line.watcher);
    println!("messages/s   {:>10.1}  out and in", line.messages);
    println!(
        "bytes/s      {:>10.0}  out and in, with headers",
        line.bytes
    );
    println!("  peak       {:>10.0}  of any 10 s", line.peak);
    println!(
        "  lost       {:>10.0}  10 s after a domain is lost",
        line.lost
    );
    println!("largest      {:>10}  bytes in a datagram", line.largest);
    println!("store        {:>10.2}  calls/s", line.calls);
    println!("processor    {:>10.2}  thousandths of a core", line.busy);
    println!("memory       {:>10}  KiB", line.memory);
    println!("document     {:>10}  bytes", line.document);
    println!("frames/h     {:>10.1}", line.frames);
    println!("adopted      {:>10}", line.adopted);
}
