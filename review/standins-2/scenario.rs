//! Stand-ins and scenarios of the second review. Standard library only.
//!
//! One process plays the platform's store, the servers, their heartbeats and the clients,
//! and starts the nodes as separate processes. Usage: `scenario NAME DIRECTORY`.

#![allow(dead_code, reason = "a case does not use every field of the stand-ins")]

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs,
    io::{BufRead, BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- JSON

#[derive(Clone)]
enum Json {
    Null,
    Bool,
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }
    fn space(b: &[u8], at: &mut usize) {
        while *at < b.len() && b[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::space(b, at);
        match *b.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Map(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(key) = Self::value(b, at)? else {
                                return None;
                            };
                            Self::space(b, at);
                            if *b.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            fields.push((key, Self::value(b, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::space(b, at);
                    match *b.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Self::value(b, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *b.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Str(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            let c = *b.get(*at + 1)?;
                            text.push(match c {
                                b'n' => b'\n',
                                b't' => b'\t',
                                other => other,
                            });
                            *at += 2;
                        }
                        c => {
                            text.push(c);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while *at < b.len() && !b",]} \n\r\t".contains(&b[*at]) {
                    *at += 1;
                }
                match std::str::from_utf8(&b[start..*at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool),
                    "false" => Some(Json::Bool),
                    number => number.parse().ok().map(Json::Num),
                }
            }
        }
    }
    fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Map(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }
    fn text(&self) -> String {
        match self {
            Json::Str(text) => text.clone(),
            _ => String::new(),
        }
    }
    fn number(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }
    fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
struct Request {
    method: String,
    target: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body; `None` if it ends early.
fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = header(headers, "content-length").map_or(Some(0), |v| v.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut parts = first.split(' ');
    let method = parts.next()?.to_owned();
    let target = parts.next()?.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn json_response(status: u16, body: &str) -> String {
    response(status, "content-type: application/json\r\n", body)
}

#[derive(Clone, Debug, Default)]
struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// Sends one request on a connection and reads the answer. `None`: no complete answer.
fn exchange(stream: &mut TcpStream, request: &[u8]) -> Option<Answer> {
    stream.write_all(request).ok()?;
    read_answer(&mut BufReader::new(stream))
}

fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(reader, &headers)?;
    Some(Answer {
        status,
        headers,
        body,
    })
}

fn connect(to: SocketAddr, limit: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

fn call(to: SocketAddr, text: &str, limit: Duration) -> Option<Answer> {
    exchange(&mut connect(to, limit)?, text.as_bytes())
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A port that was free just now, outside of the range from which the system takes ports.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let offset = u64::from(std::process::id()) * 37 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (offset % 18_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

// ---------------------------------------------------------------- the record

struct World {
    start: Instant,
    record: Mutex<fs::File>,
    ids: AtomicU64,
}

impl World {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    fn note(&self, line: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:9.3} {line}", self.now());
    }
    fn new_id(&self) -> String {
        let number = self.ids.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{:08x}{number:08x}", std::process::id())
    }
    fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, u64)>,
    next_lease: u64,
    events: Vec<(u64, String, Option<Item>)>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
    }
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if known && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
        known
    }
}

struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

fn query(target: &str) -> HashMap<String, String> {
    let text = target.split_once('?').map_or("", |(_, query)| query);
    let decode = |text: &str| {
        let bytes = text.as_bytes();
        let mut out = Vec::new();
        let mut i = 0;
        while i < bytes.len() {
            if bytes[i] == b'%' && i + 2 < bytes.len() {
                out.push(u8::from_str_radix(&text[i + 1..i + 3], 16).unwrap_or(b'?'));
                i += 3;
            } else {
                out.push(bytes[i]);
                i += 1;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    };
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (decode(key), decode(value)))
        .collect()
}

impl Store {
    fn start() -> Arc<Self> {
        let (listener, address) = listen();
        let store = Arc::new(Self {
            state: Mutex::new(StoreState {
                revision: 100,
                next_lease: 7000,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
            address,
        });
        let ticking = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = ticking.state.lock().unwrap();
                let now = Instant::now();
                let over: Vec<_> = state
                    .leases
                    .iter()
                    .filter(|(_, (end, _))| *end <= now)
                    .map(|(lease, _)| *lease)
                    .collect();
                for lease in over {
                    state.end_lease(lease);
                }
                ticking.changed.notify_all();
            }
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// What the operator writes; returns when it is acknowledged.
    fn operator_put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            thread::sleep(Duration::from_millis(4));
            let answer = self.answer(&request);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> String {
        let path = request.target.split('?').next().unwrap_or_default();
        let query = query(&request.target);
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let key = query.get("key").cloned().unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => {
                        let text = item_json(&key, item);
                        let at = state.revision;
                        json_response(200, &format!("{},\"at\":{at}}}", &text[..text.len() - 1]))
                    }
                    None => json_response(404, "{}"),
                }
            }
            ("GET", "/api/kv-range") => {
                let prefix = query.get("prefix").cloned().unwrap_or_default();
                let after = query.get("after").cloned().unwrap_or_default();
                let items: Vec<_> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let text = items.join(",");
                let at = state.revision;
                json_response(
                    200,
                    &format!(r#"{{"items":[{text}],"has_more":false,"at":{at}}}"#),
                )
            }
            ("GET", "/api/kv-watch") => {
                let prefix = query.get("prefix").cloned().unwrap_or_default();
                let after: u64 = query.get("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = query
                    .get("wait_ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<_> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let text = events.join(",");
                        let at = state.revision;
                        return json_response(200, &format!(r#"{{"events":[{text}],"at":{at}}}"#));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttl_ms").map_or(1000, Json::number).max(1000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (end, ttl));
                json_response(200, &format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        json_response(200, &format!(r#"{{"ttl_ms":{ttl}}}"#))
                    }
                    None => json_response(404, "{}"),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                let status = if state.end_lease(lease) { 200 } else { 404 };
                self.changed.notify_all();
                json_response(status, "{}")
            }
            ("POST", "/api/kv-txn") => {
                let expected = body.get("expected_revision").map_or(&[][..], Json::list);
                let holds = expected.iter().all(|row| {
                    let key = row.get("key").map(Json::text).unwrap_or_default();
                    let revision = row.get("revision").map_or(0, Json::number);
                    state.items.get(&key).map_or(0, |item| item.revision) == revision
                });
                if !holds {
                    let items: Vec<_> = expected
                        .iter()
                        .filter_map(|row| {
                            let key = row.get("key").map(Json::text)?;
                            Some(item_json(&key, state.items.get(&key)?))
                        })
                        .collect();
                    let text = items.join(",");
                    return json_response(412, &format!(r#"{{"items":[{text}]}}"#));
                }
                let puts = body.get("puts").map_or(&[][..], Json::list);
                let deletes = body.get("deletes").map_or(&[][..], Json::list);
                let lease_of = |put: &Json| put.get("lease").map_or(0, Json::number);
                if puts
                    .iter()
                    .map(lease_of)
                    .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
                {
                    return json_response(404, "{}");
                }
                state.revision += 1;
                for put in puts {
                    let key = put.get("key").map(Json::text).unwrap_or_default();
                    let value = put.get("value").map(Json::text).unwrap_or_default();
                    state.put(&key, value, lease_of(put));
                }
                for key in deletes {
                    state.delete(&key.text());
                }
                self.changed.notify_all();
                let revision = state.revision;
                json_response(200, &format!(r#"{{"revision":{revision}}}"#))
            }
            _ => json_response(404, "{}"),
        }
    }
}

// ---------------------------------------------------------------- nodes

#[derive(Clone, Copy, Debug)]
struct Ports {
    callers: SocketAddr,
    links: SocketAddr,
    operators: SocketAddr,
    control: SocketAddr,
    ready: SocketAddr,
    upstream: SocketAddr,
}

struct Node {
    name: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The bounds of `kft-shared`.
const BOUNDS: &str = r#"{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":50,"quota_window_s":5,"quota_overshoot":0.1,"quota_slack":20,"recovery_s":15}"#;

impl Node {
    /// Prepares a node with the settings that `deploy/node.jsonc` renders.
    fn new(dir: &Path, name: &str, zone: &str, service: &str, store: SocketAddr) -> Arc<Self> {
        let ports = Ports {
            callers: free_address(),
            links: free_address(),
            operators: free_address(),
            control: free_address(),
            ready: free_address(),
            upstream: free_address(),
        };
        let mut text = String::new();
        let _ = write!(
            text,
            r#"{{
    "instance": "{name}", "domain": "{zone}", "pool": "{service}",
    "listen": {{
        "callers": "{}", "links": "{}", "operators": "{}",
        "announcements": "{}", "ready": "{}",
    }},
    "upstream": "{}", "platform": "{store}",
    "trust_network": true, "secrets": [], "heartbeat": "1500ms",
    "bounds": {BOUNDS},
    "scheduling": {{ "chain_retries": true, "stall_detection": true,
        "speed_balancing": true, "domain_shares": true }},
    "limits": {{ "connections": 3000, "links": 2000, "half_open": 2000, "memory": "260MiB" }},
}}
"#,
            ports.callers, ports.links, ports.operators, ports.control, ports.ready, ports.upstream
        );
        let settings = dir.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("the settings are written");
        Arc::new(Self {
            name: name.to_owned(),
            ports,
            settings,
            log: dir.join(format!("{name}.log")),
            child: Mutex::new(None),
        })
    }

    fn start(&self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let other = log.try_clone().expect("a log");
        let program = std::env::var("NODE_PROGRAM")
            .unwrap_or_else(|_| "target/release/bluebellswitch".to_owned());
        let child = Command::new(program)
            .arg("sidecar")
            .env_clear()
            .env("BLUEBELLSWITCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(other)
            .spawn();
        match child {
            Ok(child) => {
                let pids = self.settings.with_file_name("pids");
                let pids = fs::OpenOptions::new().create(true).append(true).open(pids);
                let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                eprintln!("a node could not be started: {error}");
                exit(2);
            }
        }
    }

    /// SIGKILL.
    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let text = "GET /api/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call(self.ports.ready, text, Duration::from_secs(1)).is_some_and(|a| a.status == 200)
    }
}

// ---------------------------------------------------------------- servers

/// Bytes of a long answer.
const BIG_ANSWER: usize = 120_000;
/// A server that garbles breaks off one answer in so many (0.022).
const BROKEN_OFF: u64 = 46;

/// A request that a server began to run.
#[derive(Clone, Debug)]
struct Run {
    at: f64,
    server: String,
    id: String,
    method: String,
    finished: bool,
}

struct Server {
    id: String,
    service: String,
    born: u128,
    control: SocketAddr,
    address: SocketAddr,
    sequence: AtomicU64,
    beating: AtomicBool,
    ended: AtomicBool,
    /// Whether it breaks off answers, one in [`BROKEN_OFF`].
    garbles: AtomicBool,
    answers: AtomicU64,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    streams: Mutex<Vec<TcpStream>>,
    world: Arc<World>,
}

impl Server {
    fn start(
        world: &Arc<World>,
        node: &Node,
        service: &str,
        id: &str,
        work: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            born,
            control: node.ports.control,
            address: node.ports.upstream,
            sequence: AtomicU64::new(0),
            beating: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            garbles: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            work,
            runs: runs.clone(),
            streams: Mutex::default(),
            world: world.clone(),
        });
        let listener = TcpListener::bind(server.address).expect("the server's address is free");
        listener.set_nonblocking(true).expect("a listener");
        let serving = server.clone();
        thread::spawn(move || {
            while !serving.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            serving.streams.lock().unwrap().push(copy);
                        }
                        let server = serving.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(2));
                    }
                    Err(_) => {}
                }
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while beating.beating.load(Ordering::SeqCst) && !beating.ended.load(Ordering::SeqCst) {
                let text = beating.beat("ready");
                call(beating.control, &text, Duration::from_secs(1));
                thread::sleep(Duration::from_millis(1500));
            }
        });
        server
    }

    fn beat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"kandy","version":"v1","capacity_slots":20,"state":"{state}","warmup_left_ms":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        );
        self.post("Heartbeat", &body)
    }

    fn deregistration(&self) -> String {
        self.post("Deregister", "")
    }

    fn post(&self, what: &str, body: &str) -> String {
        format!(
            "POST /api/Instances.{what}/{} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            self.control,
            body.len()
        )
    }

    /// The process ends: its connections are reset or closed, its address is free.
    fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().iter() {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let id = header(&request.headers, "bluebellswitch-request-id").unwrap_or("-");
            if request.target == "/health" {
                let head = format!("bluebellswitch-instance-id: {}\r\n", self.id);
                let _ = writer.write_all(response(200, &head, "").as_bytes());
                continue;
            }
            let target = header(&request.headers, "bluebellswitch-target-instance");
            if target.is_some_and(|target| target != self.id) {
                self.world.note(&format!("server {} 421 {id}", self.id));
                let head = format!(
                    "bluebellswitch-instance-id: {}\r\nbluebellswitch-request-id: {id}\r\n",
                    self.id
                );
                let _ = writer.write_all(response(421, &head, "").as_bytes());
                continue;
            }
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    at: self.world.now(),
                    server: self.id.clone(),
                    id: id.to_owned(),
                    method: request.method.clone(),
                    finished: false,
                });
                runs.len() - 1
            };
            self.world
                .note(&format!("server {} runs {id} {}", self.id, request.method));
            thread::sleep(self.work);
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            self.runs.lock().unwrap()[number].finished = true;
            let head = format!(
                "bluebellswitch-request-id: {id}\r\nbluebellswitch-response-seal: {}.{id}\r\n",
                self.id
            );
            let mut body = format!("{} {id}", self.id);
            if request.target.starts_with("/big/") {
                body.push(' ');
                body.extend(std::iter::repeat_n('x', BIG_ANSWER));
            }
            let number = self.answers.fetch_add(1, Ordering::SeqCst);
            if self.garbles.load(Ordering::SeqCst) && number % BROKEN_OFF == 0 {
                let text = response(200, &head, &body);
                let _ = writer.write_all(&text.as_bytes()[..text.len() * 7 / 8]);
                let _ = writer.shutdown(std::net::Shutdown::Both);
                self.world
                    .note(&format!("server {} breaks off {id}", self.id));
                return;
            }
            if writer
                .write_all(response(200, &head, &body).as_bytes())
                .is_err()
            {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- clients

/// What a client saw of one attempt.
#[derive(Clone, Debug)]
struct Sent {
    at: f64,
    machine: String,
    id: String,
    method: String,
    /// Zero: no complete answer.
    status: u16,
    server: String,
}

fn request_text(id: &str, method: &str, path: &str, deadline_ms: u64, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("content-length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: hulo.example\r\nbluebellswitch-request-id: {id}\r\nbluebellswitch-deadline-ms: {deadline_ms}\r\nbluebellswitch-credential: key-one\r\n{length}\r\n{body}"
    )
}

/// Sends one request on a new connection.
fn send(world: &World, node: &Node, method: &str, path: &str, deadline_ms: u64) -> Sent {
    let id = world.new_id();
    let at = world.now();
    let text = request_text(
        &id,
        method,
        path,
        deadline_ms,
        if method == "GET" { "" } else { "order" },
    );
    let answer = call(
        node.ports.callers,
        &text,
        Duration::from_millis(deadline_ms + 500),
    );
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let body = body.filter(|_| status == 200).unwrap_or_default();
    let server = body.split(' ').next().unwrap_or_default().to_owned();
    world.note(&format!(
        "client {} sent {id} {method} at {at:.3}: {status} {server}",
        node.name
    ));
    Sent {
        at,
        machine: node.name.clone(),
        id,
        method: method.to_owned(),
        status,
        server,
    }
}

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"resources":[{{"type":"routes","metadata":{{"name":"r-read"}},"spec":{{"host":"hulo.example","prefix":"/read/","kind":"safe","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"alpha","max_attempts":2,"auth_exempt":false}}}},{{"type":"routes","metadata":{{"name":"r-order"}},"spec":{{"host":"hulo.example","prefix":"/order/","kind":"unsafe","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"alpha","max_attempts":2,"auth_exempt":false}}}},{{"type":"routes","metadata":{{"name":"r-big"}},"spec":{{"host":"hulo.example","prefix":"/big/","kind":"safe","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"alpha","max_attempts":2,"auth_exempt":false}}}},{{"type":"routes","metadata":{{"name":"r-look"}},"spec":{{"host":"hulo.example","prefix":"/look/","kind":"safe","timeout_ms":6000,"target_latency_ms":1500,"priority":2,"service":"beta","max_attempts":2,"auth_exempt":false}}}},{{"type":"services","metadata":{{"name":"alpha"}},"spec":{{"health_path":"/health","max_connections":400,"protocol":"h1","tls":false}}}},{{"type":"services","metadata":{{"name":"beta"}},"spec":{{"health_path":"/health","max_connections":400,"protocol":"h1","tls":false}}}},{{"type":"tenants","metadata":{{"name":"school"}},"spec":{{"api_keys":["key-one"],"priority":1,"rate_per_s":0,"burst":0}}}},{{"type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#
    )
}

/// Ends the nodes whatever happens.
struct Nodes(Vec<Arc<Node>>);

impl Drop for Nodes {
    fn drop(&mut self) {
        self.0.iter().for_each(|node| node.kill());
    }
}

/// Waits until all nodes are ready and each of them gets an answer. Ends with 2 if not.
fn await_service(world: &World, nodes: &[Arc<Node>], limit: f64) -> bool {
    let until = world.now() + limit;
    loop {
        let up = nodes.iter().all(|node| node.is_ready())
            && nodes
                .iter()
                .all(|node| send(world, node, "GET", "/read/warm", 2000).status == 200);
        if up {
            return true;
        }
        if world.now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(200));
    }
}

// ---------------------------------------------------------------- a small site

/// Two servers of `alpha` and one of `beta`, each with its node.
struct Site {
    nodes: Nodes,
    servers: Vec<Arc<Server>>,
    runs: Arc<Mutex<Vec<Run>>>,
    store: Arc<Store>,
    world: Arc<World>,
}

struct Clients {
    threads: Vec<thread::JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    fn join(self) -> Vec<Sent> {
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.lock().unwrap().clone()
    }
}

const DRAIN_S: f64 = 2.0;

impl Site {
    fn start(world: &Arc<World>, dir: &Path, work_ms: u64) -> Self {
        let store = Store::start();
        store.operator_put("op/config", &configuration(7));
        let specs = [
            ("a1", "kandy", "alpha"),
            ("a2", "nuwara", "alpha"),
            ("b1", "matale", "beta"),
        ];
        let nodes = specs
            .iter()
            .map(|(name, zone, service)| Node::new(dir, name, zone, service, store.address));
        let nodes = Nodes(nodes.collect());
        nodes.0.iter().for_each(|node| node.start());
        let runs = Arc::new(Mutex::new(Vec::new()));
        let work = Duration::from_millis(work_ms);
        let servers = nodes.0.iter().zip(specs);
        let servers = servers.map(|(node, (name, _, service))| {
            Server::start(world, node, service, &format!("i-{name}"), work, &runs)
        });
        let servers = servers.collect();
        Self {
            nodes,
            servers,
            runs,
            store,
            world: world.clone(),
        }
    }

    /// One client for reads and one for orders on each machine.
    fn clients(&self, begin: f64, end: f64) -> Clients {
        let sent = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for node in &self.nodes.0 {
            for method in ["GET", "POST"] {
                let (world, node, sent) = (self.world.clone(), node.clone(), sent.clone());
                threads.push(thread::spawn(move || {
                    world.sleep_until(begin);
                    while world.now() < end {
                        let path = if method == "GET" {
                            "/read/x"
                        } else {
                            "/order/x"
                        };
                        let seen = send(&world, &node, method, path, 5000);
                        sent.lock().unwrap().push(seen);
                        thread::sleep(Duration::from_millis(50));
                    }
                }));
            }
        }
        Clients { threads, sent }
    }

    /// The rule DRAIN: whether a request that was sent by one of these clients has reached a
    /// server later than `drain_ms` after its leaving was acknowledged.
    fn judge_drain(&self, world: &World, leaving: &Server, acked: f64, sent: &[Sent]) -> i32 {
        let runs = self.runs.lock().unwrap().clone();
        let sender = |run: &Run| sent.iter().find(|sent| sent.id == run.id);
        let late: Vec<_> = runs
            .iter()
            .filter(|run| run.server == leaving.id && run.at > acked + DRAIN_S)
            .filter_map(|run| Some((run, sender(run)?)))
            .collect();
        let mut by_machine: BTreeMap<&str, usize> = BTreeMap::new();
        for (_, sent) in &late {
            *by_machine.entry(&sent.machine).or_default() += 1;
        }
        let cut = late.iter().filter(|(run, _)| !run.finished);
        let lost = cut
            .clone()
            .filter(|(run, sent)| run.method == "POST" && sent.status != 200);
        let served = sent.iter().filter(|sent| sent.status == 200).count();
        let last = late
            .iter()
            .map(|(run, _)| run.at - acked)
            .fold(0.0, f64::max);
        let text = format!(
            "sent {}, answered with success {served}; reached {} later than drain_ms after the acknowledgement: {} {by_machine:?}, the last one {last:.1} s after it; cut by its exit: {}; orders lost: {}",
            sent.len(),
            leaving.id,
            late.len(),
            cut.count(),
            lost.count()
        );
        world.note(&text);
        println!("{text}");
        if served * 2 < sent.len() {
            eprintln!("too little was served");
            return 2;
        }
        i32::from(!late.is_empty())
    }
}

// ---------------------------------------------------------------- scenarios

/// A server leaves, the node beside it is killed and started again, and a heartbeat from
/// before arrives late.
fn restart_after_leave(world: &Arc<World>, dir: &Path, trouble: bool) -> i32 {
    let site = Site::start(world, dir, 300);
    if !await_service(world, &site.nodes.0, 20.0) {
        eprintln!("the site did not come up");
        return 2;
    }
    let (node, leaving) = (site.nodes.0[0].clone(), site.servers[0].clone());
    world.sleep_until(world.now() + 2.0);
    // The heartbeat that arrives late is sent before the server leaves.
    leaving.beating.store(false, Ordering::SeqCst);
    let late = leaving.beat("ready");
    world.note("server i-a1 sends a heartbeat, ready, which arrives late");
    thread::sleep(Duration::from_millis(100));
    let Some(ack) = call(
        leaving.control,
        &leaving.deregistration(),
        Duration::from_secs(1),
    ) else {
        eprintln!("the leaving was not acknowledged");
        return 2;
    };
    let acked = world.now();
    world.note(&format!(
        "server i-a1 deregisters: acknowledged with {}",
        ack.status
    ));
    if !(200..300).contains(&ack.status) {
        return 2;
    }
    if trouble {
        node.kill();
        world.note("node a1 killed");
        world.sleep_until(acked + 0.3);
        node.start();
        world.note("node a1 started again");
    }
    // The heartbeat has been under way for some two seconds.
    let (arrival, control) = (acked + 2.0, leaving.control);
    let noted = world.clone();
    thread::spawn(move || {
        noted.sleep_until(arrival);
        let answer = call(control, &late, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status);
        noted.note(&format!("the late heartbeat of i-a1 arrives: {status}"));
    });
    // The clients send from when the restarted node is in touch again.
    let leaves = acked + 10.0;
    let clients = site.clients(acked + 3.6, leaves + 1.0);
    world.sleep_until(leaves);
    leaving.end();
    world.note("server i-a1 exits");
    let sent = clients.join();
    site.judge_drain(world, &leaving, acked, &sent)
}

/// Another writer's heartbeat, without `born`, reaches a node; later the server leaves.
fn forged_heartbeat(world: &Arc<World>, dir: &Path, trouble: bool) -> i32 {
    let site = Site::start(world, dir, 300);
    if !await_service(world, &site.nodes.0, 20.0) {
        eprintln!("the site did not come up");
        return 2;
    }
    let leaving = site.servers[0].clone();
    if trouble {
        let body = format!(
            r#"{{"service":"alpha","address":"{}","zone":"kandy","version":"v1","capacity_slots":20,"state":"ready","warmup_left_ms":0,"sequence":500}}"#,
            leaving.address
        );
        let answer = call(
            leaving.control,
            &leaving.post("Heartbeat", &body),
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status);
        world.note(&format!(
            "a heartbeat of another writer, without `born`: {status}"
        ));
    }
    let begin = world.now();
    let drains = begin + 5.0;
    let end = drains + 6.0;
    let clients = site.clients(begin, end);
    world.sleep_until(drains);
    leaving.beating.store(false, Ordering::SeqCst);
    let Some(ack) = call(
        leaving.control,
        &leaving.beat("draining"),
        Duration::from_secs(1),
    ) else {
        eprintln!("the leaving was not acknowledged");
        return 2;
    };
    let acked = world.now();
    world.note(&format!(
        "server i-a1 reports draining: acknowledged with {}",
        ack.status
    ));
    if !(200..300).contains(&ack.status) {
        eprintln!("the leaving was not acknowledged");
        return 2;
    }
    for at in [1.5, 3.0] {
        world.sleep_until(acked + at);
        call(
            leaving.control,
            &leaving.beat("draining"),
            Duration::from_secs(1),
        );
    }
    world.sleep_until(acked + 3.5);
    call(
        leaving.control,
        &leaving.deregistration(),
        Duration::from_secs(1),
    );
    leaving.end();
    world.note("server i-a1 deregisters and exits");
    let sent = clients.join();
    site.judge_drain(world, &leaving, acked, &sent)
}

/// Requests that are sent together on kept connections, some of them to a server that breaks
/// off long answers.
fn cut_behind(world: &Arc<World>, dir: &Path, trouble: bool) -> i32 {
    let site = Site::start(world, dir, 20);
    if !await_service(world, &site.nodes.0, 20.0) {
        eprintln!("the site did not come up");
        return 2;
    }
    // Its own machine's server gets most of what the clients of that machine send.
    let (node, faulty) = (site.nodes.0[1].clone(), site.servers[1].clone());
    let begin = world.now() + 1.0;
    let end = begin + 44.0;
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let answered = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for _ in 0..6 {
        let (world, node) = (world.clone(), node.clone());
        let (unanswered, answered) = (unanswered.clone(), answered.clone());
        clients.push(thread::spawn(move || {
            world.sleep_until(begin);
            let mut kept: Option<TcpStream> = None;
            while world.now() < end {
                let limit = Duration::from_millis(6500);
                let Some(mut stream) = kept.take().or_else(|| connect(node.ports.callers, limit))
                else {
                    continue;
                };
                let ids: Vec<_> = (0..5).map(|_| world.new_id()).collect();
                let at = world.now();
                let texts = ids.iter().enumerate().map(|(n, id)| {
                    let path = if n == 0 { "/big/x" } else { "/look/x" };
                    request_text(id, "GET", path, 6000, "")
                });
                let sent = stream
                    .write_all(texts.collect::<String>().as_bytes())
                    .is_ok();
                let mut reader = BufReader::new(stream);
                let mut statuses = Vec::new();
                let mut closes = !sent;
                while statuses.len() < ids.len()
                    && let Some(answer) = read_answer(&mut reader)
                {
                    let connection = header(&answer.headers, "connection");
                    closes |= connection.is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    statuses.push(answer.status);
                }
                world.note(&format!(
                    "client {} sent {ids:?} at {at:.3}: {statuses:?}",
                    node.name
                ));
                answered.fetch_add(statuses.len() as u64, Ordering::Relaxed);
                if statuses.len() < ids.len() {
                    let rest = ids[statuses.len()..].iter().cloned();
                    // The first of them is the one that its server broke off, if it is long.
                    let behind = rest.skip(usize::from(statuses.is_empty()));
                    unanswered.lock().unwrap().extend(behind);
                } else if !closes {
                    kept = Some(reader.into_inner());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    // Four times, for 4.1 s each.
    for round in 0..4 {
        world.sleep_until(begin + 2.0 + 10.0 * f64::from(round));
        faulty.garbles.store(trouble, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(4100));
        faulty.garbles.store(false, Ordering::SeqCst);
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let runs = site.runs.lock().unwrap().clone();
    let unanswered = unanswered.lock().unwrap().clone();
    let passed_on = unanswered
        .iter()
        .filter(|id| {
            runs.iter()
                .any(|run| run.id == **id && run.server == "i-b1" && run.finished)
        })
        .count();
    let text = format!(
        "answers {}; requests to the sound server i-b1 that were passed on, run to their end and got no answer, as their kept connection was closed: {passed_on} (more than 3 break the rule); not passed on: {}",
        answered.load(Ordering::Relaxed),
        unanswered.len() - passed_on
    );
    world.note(&text);
    println!("{text}");
    i32::from(passed_on > 3)
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: scenario NAME DIRECTORY");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fs::File::create(PathBuf::from(&dir).join("record.txt")).expect("record.txt");
    let (work, is_given) = match std::env::var("WORK") {
        Ok(work) => (PathBuf::from(work), true),
        Err(_) => {
            let name = format!("review-2-{}", std::process::id());
            (std::env::temp_dir().join(name), false)
        }
    };
    fs::create_dir_all(&work).expect("a temporary folder");
    let world = Arc::new(World {
        start: Instant::now(),
        record: Mutex::new(record),
        ids: AtomicU64::new(0),
    });
    let code = match name.as_str() {
        "restart-after-leave" => restart_after_leave(&world, &work, trouble),
        "cut-behind" => cut_behind(&world, &work, trouble),
        "forged-heartbeat" => forged_heartbeat(&world, &work, trouble),
        _ => 2,
    };
    world.note(&format!("exit {code}"));
    if std::env::var("KEEP").is_ok() {
        println!("logs in {}", work.display());
    } else if !is_given {
        let _ = fs::remove_dir_all(&work);
    }
    exit(code);
}
