//! Case 3: requests that are sent again as a link breaks get no answer, ever.
#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// How long the node beside the server stands still; the site files allow 4.0 s.
const FREEZE: Duration = ms_const(3_600);
const PERIOD: Duration = ms_const(16_000);
const FREEZES: u32 = 4;
/// Photos are uploaded in bursts, one burst in each period.
const BURST_AT: Duration = ms_const(100);

const SLOTS: u32 = 209;
const WORK: Duration = ms_const(20);
const READERS: usize = 300;
const PAUSE: Duration = ms_const(300);
const UPLOADERS: usize = 30;
const UPLOAD_BYTES: usize = 300_000;
const TIMEOUT: Duration = ms_const(5_000);
const DEADLINE: Duration = ms_const(8_000);
/// After the route's timeout_ms, an answer may take this long.
const SLACK: Duration = ms_const(500);
const KEY: &str = "6wsjnbanfqasnmgkcuyj";
const BOUNDS: &str = r#""seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":50,"quota_window_s":5,"quota_overshoot":0.1,"quota_slack":20,"recovery_s":15"#;

const fn ms_const(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A sound server: one request at a time on a connection.
fn serve(record: &Record, id: &str, stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let name = request.header("Bluebellswitch-Request-Id").unwrap_or("").to_owned();
        if request.header("Bluebellswitch-Target-Instance").is_some_and(|target| target != id) {
            let headers = [("Bluebellswitch-Request-Id", &*name), ("Bluebellswitch-Instance-Id", id)];
            writer.write_all(&response("421 Misdirected Request", &headers, b""))?;
            continue;
        }
        record.line(&format!("server {id} runs {name}"));
        thread::sleep(WORK);
        let headers = [
            ("Bluebellswitch-Request-Id", &*name),
            ("Bluebellswitch-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        writer.write_all(&response("200 OK", &headers, &[b'x'; 400]))?;
        record.line(&format!("server {id} has answered {name}"));
    }
    Ok(())
}

fn start_server(record: &Record, id: &'static str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    listen(listener, move |stream| serve(&record, id, stream));
    Ok(address)
}

fn config() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"type":"services","metadata":{{"name":"{name}"}},"spec":{{"health_path":"/health","max_connections":1354,"protocol":"h1","tls":false}}}}"#
        )
    };
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32, timeout: u128| {
        format!(
            r#"{{"type":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"notes.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":1500,"priority":0,"service":"field-notes","max_attempts":{attempts},"auth_exempt":false}}}}"#
        )
    };
    format!(
        r#"{{"version":7,"base_version":5,"resources":[{},{},{},{},{{"type":"tenants","metadata":{{"name":"pulo780"}},"spec":{{"api_keys":["{KEY}"],"priority":1,"rate_per_s":0,"burst":0}}}},{{"type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#,
        route("r-read", "/roster/", "safe", 3, TIMEOUT.as_millis()),
        route("r-upload", "/upload/", "upload", 1, TIMEOUT.as_millis()),
        service("bookings"),
        service("field-notes")
    )
}

struct Call {
    id: String,
    sent: Instant,
    took: Duration,
    got: Got,
}

fn run(folder: &Path) -> io::Result<Option<bool>> {
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = has_trouble();
    let scratch = Folder::create("review-3")?;
    let store = Store::start()?;
    store.write("op/config", &config());
    let plan = |name, zone, service, upstream| NodePlan {
        name, zone, service, upstream, store: store.address, folder: &scratch.0, bounds: BOUNDS,
    };
    let bookings = start_server(&record, "i-bookings")?;
    let notes = start_server(&record, "i-notes")?;
    let a = Node::start(&plan("sidecar-kandy-1", "kandy", "bookings", bookings))?;
    let b = Node::start(&plan("sidecar-nuwara-1", "nuwara", "field-notes", notes))?;
    heartbeats("i-bookings", "bookings", "kandy", bookings, a.control, SLOTS);
    heartbeats("i-notes", "field-notes", "nuwara", notes, b.control, SLOTS);
    if !wait_ready(&[&a, &b]) {
        record.say("the nodes did not get ready");
        return Ok(None);
    }
    thread::sleep(ms(3000));

    let stop = Arc::new(AtomicBool::new(false));
    let burst = Arc::new(AtomicU32::new(0));
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..READERS + UPLOADERS {
        let (stop, calls, record, port) = (stop.clone(), calls.clone(), record.clone(), a.callers);
        let uploads = number >= READERS;
        let burst = burst.clone();
        let client = thread::Builder::new().stack_size(256 << 10).spawn(move || {
            let mut client = Client::new(port);
            let body = vec![b'p'; if uploads { UPLOAD_BYTES } else { 0 }];
            let (method, path) = match uploads {
                true => ("POST", format!("/upload/{number}")),
                false => ("GET", format!("/roster/{number}")),
            };
            thread::sleep(ms(number as u64 % 300));
            let mut uploaded = 0;
            while !stop.load(Ordering::Relaxed) {
                let bursts = burst.load(Ordering::Relaxed);
                if uploads && uploaded == bursts {
                    thread::sleep(ms(20));
                    continue;
                }
                uploaded = bursts;
                let id = new_id();
                record.line(&format!("client sends {id} {method}"));
                let sent = Instant::now();
                let got = client.call(method, &path, "notes.example", &id, KEY, DEADLINE, &body);
                let took = sent.elapsed();
                record.line(&format!("client gets {got:?} for {id} after {} ms", took.as_millis()));
                if !uploads {
                    calls.lock().expect("the calls").push(Call { id, sent, took, got });
                }
                thread::sleep(PAUSE);
            }
        })?;
        clients.push(client);
    }
    thread::sleep(ms(5000));
    for freeze in 0..FREEZES {
        let start = Instant::now();
        if trouble {
            record.line(&format!("freeze {freeze}: the node beside i-notes stands still"));
            b.signal("STOP");
        }
        thread::sleep(BURST_AT);
        burst.store(freeze + 1, Ordering::Relaxed);
        thread::sleep(FREEZE.saturating_sub(start.elapsed()));
        if trouble {
            b.signal("CONT");
            record.line(&format!("freeze {freeze}: it wakes again"));
        }
        thread::sleep(PERIOD.saturating_sub(start.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let calls = calls.lock().expect("the calls");
    let long = calls.iter().filter(|call| call.took >= TIMEOUT).count();
    let late: Vec<_> = calls.iter().filter(|call| call.took >= TIMEOUT + SLACK).collect();
    for call in &late {
        record.say(&format!(
            "CONFIG {} got {:?} after {} ms, its route's timeout_ms is {}",
            call.id, call.got, call.took.as_millis(), TIMEOUT.as_millis()
        ));
    }
    let good = calls.iter().filter(|call| call.got == Got::Answer(200)).count();
    record.say(&format!(
        "{} requests, {good} served; {long} lasted longer than timeout_ms, {} of them had no \
         answer half a second later",
        calls.len(),
        late.len()
    ));
    record.flush();
    if good * 2 < calls.len() {
        return Ok(None);
    }
    // "Of the requests that are still unanswered at their route's timeout_ms, more than half have
    // no answer half a second later": three at least are asked for here.
    let most = late.len() >= 3 && late.len() * 2 > long;
    // "Eight or more of them, and over a quarter, have no final answer".
    let many = late.len() >= 8 && late.len() * 4 > long;
    Ok(Some(most || many))
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
