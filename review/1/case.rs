//! Case 1: a second answer to a rejected request is taken for the answer to its repeat.
#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Doses of the disruptions: none exceeds those of the site files.
const SHED: f64 = 0.2;
const EXTRA: f64 = 0.03;
const SHED_TIME: Duration = ms_const(8_500);
const EXTRA_TIME: Duration = ms_const(5_000);
const PERIOD: Duration = ms_const(12_000);
const EPISODES: u32 = 7;

const SLOTS: u32 = 55;
const WORK: Duration = ms_const(20);
const CLIENTS: usize = 8;
const PAUSE: Duration = ms_const(100);
const DEADLINE: Duration = ms_const(5_000);
const KEY: &str = "6wsjnbanfqasnmgkcuyj";
const BOUNDS: &str = r#""seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":48,"quota_window_s":5,"quota_overshoot":0.1,"quota_slack":20,"recovery_s":15"#;

const fn ms_const(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// What the servers do and have done, for all of them.
struct World {
    record: Record,
    sheds: AtomicBool,
    garbles: AtomicBool,
    runs: Mutex<HashMap<String, Vec<String>>>,
    extras: AtomicU64,
    rejected: AtomicU64,
    seed: AtomicU64,
}

/// Serves one connection of a server, one request at a time.
fn serve(world: &World, id: &str, spoils: bool, stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let seed = world.seed.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
    let mut rng = Rng(seed | 1);
    // A second answer that has yet to be sent.
    let mut extra: Option<Vec<u8>> = None;
    while let Some(request) = read_message(&mut reader)? {
        let name = request.header("Bluebellswitch-Request-Id").unwrap_or("").to_owned();
        if let Some(late) = extra.take() {
            // The extra answer arrives late, where the next one is expected.
            world.record.line(&format!("server {id} sends its extra answer late, before {name}"));
            writer.write_all(&late)?;
        }
        let target = request.header("Bluebellswitch-Target-Instance").unwrap_or(id);
        if target != id {
            let headers = [("Bluebellswitch-Request-Id", &*name), ("Bluebellswitch-Instance-Id", id)];
            writer.write_all(&response("421 Misdirected Request", &headers, b""))?;
            continue;
        }
        let answer = if world.sheds.load(Ordering::Relaxed) && rng.chance(SHED) {
            world.rejected.fetch_add(1, Ordering::Relaxed);
            world.record.line(&format!("server {id} rejects {name}: not executed"));
            let headers =
                [("Bluebellswitch-Request-Id", &*name), ("Bluebellswitch-Not-Executed", "1")];
            response("503 Service Unavailable", &headers, b"")
        } else {
            world.record.line(&format!("server {id} runs {name}"));
            let mut runs = world.runs.lock().expect("the runs");
            runs.entry(name.clone()).or_default().push(id.to_owned());
            drop(runs);
            thread::sleep(WORK);
            let headers = [
                ("Bluebellswitch-Request-Id", &*name),
                ("Bluebellswitch-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            response("200 OK", &headers, &[b'x'; 400])
        };
        if spoils && world.garbles.load(Ordering::Relaxed) && rng.chance(EXTRA) {
            world.extras.fetch_add(1, Ordering::Relaxed);
            extra = Some(answer.clone());
        }
        writer.write_all(&answer)?;
    }
    Ok(())
}

fn start_server(world: &Arc<World>, id: &'static str, spoils: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let world = world.clone();
    listen(listener, move |stream| serve(&world, id, spoils, stream));
    Ok(address)
}

fn config() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_path":"/health","max_connections":430,"protocol":"h1","tls":false}}}}"#
        )
    };
    format!(
        r#"{{"version":7,"base_version":5,"resources":[{{"type":"routes","metadata":{{"name":"r-issue"}},"spec":{{"host":"certs.example","prefix":"/issue/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":2000,"priority":0,"service":"issuer","max_attempts":2,"auth_exempt":false}}}},{},{},{{"type":"tenants","metadata":{{"name":"pulo780"}},"spec":{{"api_keys":["{KEY}"],"priority":1,"rate_per_s":0,"burst":0}}}},{{"type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#,
        service("registry"),
        service("issuer")
    )
}

fn run(folder: &Path) -> io::Result<Option<bool>> {
    let record = Record::create(&Path::new(folder).join("record.txt"))?;
    let trouble = has_trouble();
    let scratch = Folder::create("review-1")?;
    let world = Arc::new(World {
        record: record.clone(),
        sheds: AtomicBool::new(false),
        garbles: AtomicBool::new(false),
        runs: Mutex::default(),
        extras: AtomicU64::new(0),
        rejected: AtomicU64::new(0),
        seed: AtomicU64::new(unix_ms()),
    });
    let store = Store::start()?;
    store.write("op/config", &config());
    let plan = |name, zone, service, upstream| NodePlan {
        name, zone, service, upstream, store: store.address, folder: &scratch.0, bounds: BOUNDS,
    };
    let front = start_server(&world, "i-front", false)?;
    let issuer = start_server(&world, "i-issuer", true)?;
    let a = Node::start(&plan("sidecar-ub-a-1", "ub-a", "registry", front))?;
    let b = Node::start(&plan("sidecar-ub-b-1", "ub-b", "issuer", issuer))?;
    heartbeats("i-front", "registry", "ub-a", front, a.control, SLOTS);
    heartbeats("i-issuer", "issuer", "ub-b", issuer, b.control, SLOTS);
    if !wait_ready(&[&a, &b]) {
        record.say("the nodes did not get ready");
        return Ok(None);
    }
    thread::sleep(ms(3000));

    let stop = Arc::new(AtomicBool::new(false));
    let got: Arc<Mutex<HashMap<String, Got>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (stop, got, record, port) = (stop.clone(), got.clone(), record.clone(), a.callers);
            thread::spawn(move || {
                let mut client = Client::new(port);
                thread::sleep(ms(number as u64 * 5));
                while !stop.load(Ordering::Relaxed) {
                    let id = new_id();
                    record.line(&format!("client sends {id}"));
                    let path = format!("/issue/{number}");
                    let outcome =
                        client.call("POST", &path, "certs.example", &id, KEY, DEADLINE, b"{}");
                    record.line(&format!("client gets {outcome:?} for {id}"));
                    got.lock().expect("the answers").insert(id, outcome);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    for episode in 0..EPISODES {
        let start = Instant::now();
        if trouble {
            record.line(&format!("episode {episode}: the issuer sheds and garbles"));
            world.sheds.store(true, Ordering::Relaxed);
            world.garbles.store(true, Ordering::Relaxed);
        }
        thread::sleep(EXTRA_TIME);
        world.garbles.store(false, Ordering::Relaxed);
        thread::sleep(SHED_TIME - EXTRA_TIME);
        world.sheds.store(false, Ordering::Relaxed);
        thread::sleep(PERIOD.saturating_sub(start.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(1000));

    let got = got.lock().expect("the answers");
    let runs = world.runs.lock().expect("the runs");
    let ran = |id: &String| runs.get(id).map_or(0, Vec::len);
    let mut twice = 0;
    let mut refused = 0;
    for (id, outcome) in got.iter() {
        if ran(id) > 1 {
            twice += 1;
            record.say(&format!("TWICE {id} ran at {:?}; the client got {outcome:?}", runs[id]));
        }
        if matches!(outcome, Got::Answer(408 | 421 | 429 | 503)) && ran(id) > 0 {
            refused += 1;
            record.say(&format!("REFUSED {id} ran at {:?}; the client got {outcome:?}", runs[id]));
        }
    }
    let good = got.values().filter(|got| **got == Got::Answer(200)).count();
    record.say(&format!(
        "{} requests, {good} served, {} rejections and {} extra answers by servers; \
         TWICE {twice}, REFUSED {refused}",
        got.len(),
        world.rejected.load(Ordering::Relaxed),
        world.extras.load(Ordering::Relaxed)
    ));
    record.flush();
    if good * 10 < got.len() {
        return Ok(None);
    }
    Ok(Some(twice + refused > 0))
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    match run(Path::new(&folder)) {
        Ok(Some(true)) => ExitCode::from(1),
        Ok(Some(false)) => ExitCode::SUCCESS,
        Ok(None) => ExitCode::from(2),
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
