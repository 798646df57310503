//! Stand-ins of the platform's store, its servers and its clients, and the processes
//! under test. They need only the standard library.
//!
//! The store follows PROTOCOL.md, "The platform's metadata store"; the servers follow
//! "Servers" and "Service discovery"; settings are rendered as deploy/node.jsonc says.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

// ---- random numbers -------------------------------------------------------

/// A small seeded generator (xorshift64*).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    pub fn chance(&mut self, p: f64) -> bool {
        ((self.next() >> 11) as f64 / (1u64 << 53) as f64) < p
    }
}

// ---- the record -----------------------------------------------------------

/// Writes record.txt: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<io::BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = io::BufWriter::new(File::create(path)?);
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
        }
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        if let Ok(mut file) = self.file.lock() {
            let _ = file.flush();
        }
    }
}

// ---- HTTP/1.1 -------------------------------------------------------------

#[derive(Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message. `Ok(None)` is an orderly end before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "cut");
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { first_line: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(cut());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(cut());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| cut())?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length: usize =
        message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// Serves connections, each on a thread of its own, until the process ends.
pub fn listen(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve(stream);
            });
        }
    });
}

// ---- JSON, as far as the store needs it -------------------------------------

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Self> {
        let mut at = 0;
        let value = Self::value(text, &mut at)?;
        Some(value)
    }

    fn space(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Option<Self> {
        Self::space(text, at);
        match text.get(*at)? {
            b'{' => {
                let mut map = BTreeMap::new();
                *at += 1;
                loop {
                    Self::space(text, at);
                    match text.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Map(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(text, at)? else { return None };
                            Self::space(text, at);
                            (*text.get(*at)? == b':').then_some(())?;
                            *at += 1;
                            map.insert(key, Self::value(text, at)?);
                        }
                    }
                }
            }
            b'[' => {
                let mut list = Vec::new();
                *at += 1;
                loop {
                    Self::space(text, at);
                    match text.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(text, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut out = Vec::new();
                loop {
                    let byte = *text.get(*at)?;
                    *at += 1;
                    match byte {
                        b'"' => return String::from_utf8(out).ok().map(Self::Text),
                        b'\\' => {
                            let escaped = *text.get(*at)?;
                            *at += 1;
                            out.push(match escaped {
                                b'n' => b'\n',
                                b't' => b'\t',
                                b'r' => b'\r',
                                other => other,
                            });
                        }
                        byte => out.push(byte),
                    }
                }
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|b| !b",]} \r\n\t".contains(b)) {
                    *at += 1;
                }
                match std::str::from_utf8(&text[start..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Self::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match (bytes[at], text.get(at + 1..at + 3)) {
            (b'%', Some(digits)) => {
                out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---- the store --------------------------------------------------------------

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Tables {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item if it was written.
    log: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Tables {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((self.revision, key.to_owned(), Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
        true
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let tables = Tables { revision: 1, ..Tables::default() };
        let store = Self { tables: Arc::new((Mutex::new(tables), Condvar::new())), address };
        let server = store.clone();
        listen(listener, move |stream| server.serve(stream));
        let reaper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(20));
                reaper.change(|tables| {
                    let now = Instant::now();
                    let ended: Vec<_> = tables
                        .leases
                        .iter()
                        .filter(|(_, (_, end))| *end <= now)
                        .map(|(lease, _)| *lease)
                        .collect();
                    for lease in ended {
                        tables.end_lease(lease);
                    }
                });
            }
        });
        Ok(store)
    }

    fn change<T>(&self, apply: impl FnOnce(&mut Tables) -> T) -> T {
        let mut tables = self.tables.0.lock().expect("the store's lock");
        let before = tables.revision;
        let outcome = apply(&mut tables);
        if tables.revision != before {
            self.tables.1.notify_all();
        }
        outcome
    }

    /// What the operator does: writes an item.
    pub fn write(&self, key: &str, value: &str) {
        self.change(|tables| {
            tables.revision += 1;
            tables.put(key, base64(value.as_bytes()), 0);
        });
    }

    /// Number of items under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.change(|tables| tables.items.keys().filter(|key| key.starts_with(prefix)).count())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            writer.write_all(&response(status, &headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<_, _> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .map(|(name, value)| (name, percent_decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let shown = |key: &str, item: &Item| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
                item.value, item.revision, item.created, item.lease
            )
        };
        match (request.word(0), path) {
            ("GET", "/api/kv-key") => self.change(|tables| match tables.items.get(&text("key")) {
                Some(item) => ("200 OK", shown(&text("key"), item)),
                None => ("404 Not Found", "{}".into()),
            }),
            ("GET", "/api/kv-range") => self.change(|tables| {
                let (prefix, after) = (text("prefix"), text("after"));
                let items = tables.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(key, item)| shown(key, item)).collect();
                let at = tables.revision;
                let list = items.join(",");
                ("200 OK", format!("{{\"items\":[{list}],\"has_more\":false,\"at\":{at}}}"))
            }),
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (text("prefix"), number("after"));
                let end = Instant::now() + ms(number("wait_ms").min(30_000));
                let mut tables = self.tables.0.lock().expect("the store's lock");
                loop {
                    let events: Vec<_> = tables
                        .log
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => shown(key, item),
                            None => format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (list, at) = (events.join(","), tables.revision);
                        return ("200 OK", format!("{{\"events\":[{list}],\"at\":{at}}}"));
                    }
                    tables = self.tables.1.wait_timeout(tables, left).expect("the store's lock").0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else {
                    return ("400 Bad Request", "{}".into());
                };
                let rows = |name: &str| body.get(name).map_or(&[][..], Json::list);
                self.change(|tables| {
                    let mut present = Vec::new();
                    let mut holds = true;
                    for row in rows("expected_revision") {
                        let key = row.get("key").map_or("", Json::text);
                        let expected = row.get("revision").map_or(0, Json::number);
                        let item = tables.items.get(key);
                        holds &= item.map_or(0, |item| item.revision) == expected;
                        present.extend(item.map(|item| shown(key, item)));
                    }
                    if !holds {
                        let list = present.join(",");
                        return ("412 Precondition Failed", format!("{{\"items\":[{list}]}}"));
                    }
                    let lease = |row: &Json| row.get("lease").map_or(0, Json::number);
                    let is_dead = |row: &Json| {
                        lease(row) != 0 && !tables.leases.contains_key(&lease(row))
                    };
                    if rows("puts").iter().any(is_dead) {
                        return ("404 Not Found", "{}".into());
                    }
                    tables.revision += 1;
                    for row in rows("puts") {
                        let key = row.get("key").map_or("", Json::text);
                        let value = row.get("value").map_or("", Json::text);
                        tables.put(key, value.to_owned(), lease(row));
                    }
                    for key in rows("deletes") {
                        tables.delete(key.text());
                    }
                    ("200 OK", format!("{{\"revision\":{}}}", tables.revision))
                })
            }
            ("POST", "/api/kv-lease") => {
                let body = Json::parse(&request.body);
                let ttl = body.as_ref().and_then(|body| body.get("ttl_ms")).map_or(0, Json::number);
                let ttl = ttl.clamp(1000, 600_000);
                self.change(|tables| {
                    tables.last_lease += 1;
                    let lease = tables.last_lease;
                    tables.leases.insert(lease, (ms(ttl), Instant::now() + ms(ttl)));
                    ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
                })
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                self.change(|tables| match tables.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".into()),
                })
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.change(|tables| match tables.end_lease(lease) {
                    true => ("200 OK", "{}".into()),
                    false => ("404 Not Found", "{}".into()),
                })
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }
}

// ---- nodes ------------------------------------------------------------------

static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// A free port for TCP and UDP on the loopback address, below those that the system gives
/// to outgoing connections.
pub fn free_port() -> io::Result<u16> {
    let first = u64::from(std::process::id()) * 97 % 9_000;
    for _ in 0..1000 {
        let next = first + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + (next % 12_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

/// One process of the system, started with the command of the deploy file.
pub struct Node {
    pub name: String,
    pub callers: u16,
    pub ready: u16,
    pub control: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct NodePlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
    pub upstream: SocketAddr,
    pub store: SocketAddr,
    pub folder: &'a Path,
    pub bounds: &'a str,
}

impl Node {
    /// Renders the settings as deploy/node.jsonc does, and starts the process.
    pub fn start(plan: &NodePlan<'_>) -> io::Result<Self> {
        let (callers, links, operators) = (free_port()?, free_port()?, free_port()?);
        let (control, ready) = (free_port()?, free_port()?);
        let NodePlan { name, zone, service, upstream, store, folder, bounds } = plan;
        let settings = folder.join(format!("{name}.jsonc"));
        let text = format!(
            r#"{{
    "instance": "{name}",
    "domain": "{zone}",
    "pool": "{service}",
    "listen": {{
        "callers": "127.0.0.1:{callers}",
        "links": "127.0.0.1:{links}",
        "operators": "127.0.0.1:{operators}",
        "announcements": "127.0.0.1:{control}",
        "ready": "127.0.0.1:{ready}",
    }},
    "upstream": "{upstream}",
    "platform": "{store}",
    "trust_network": true,
    "secrets": [],
    "heartbeat": "1500ms",
    "bounds": {{{bounds}}},
    "scheduling": {{
        "chain_retries": true,
        "stall_detection": true,
        "speed_balancing": true,
        "domain_shares": true,
    }},
    "limits": {{
        "connections": 3000,
        "links": 2000,
        "half_open": 2000,
    }},
}}
"#
        );
        std::fs::write(&settings, text)?;
        let mut node = Self {
            name: (*name).to_owned(),
            callers,
            ready,
            control,
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/bluebellswitch")
            .arg("sidecar")
            .env("BLUEBELLSWITCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, by its name without SIG, to this process alone.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let kill = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(kill).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from(([127, 0, 0, 1], self.ready));
        let Ok(mut stream) = TcpStream::connect_timeout(&address, ms(500)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(500)));
        let asked = b"GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        if stream.write_all(asked).is_err() {
            return false;
        }
        let answer = read_message(&mut BufReader::new(stream));
        matches!(answer, Ok(Some(message)) if message.status() == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal("CONT");
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends the heartbeats of a server to the control address of its machine.
pub fn heartbeats(id: &str, service: &str, zone: &str, server: SocketAddr, control: u16, slots: u32) {
    let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
    let born = unix_ms();
    thread::spawn(move || {
        for sequence in 1u64.. {
            let body = format!(
                "{{\"service\":\"{service}\",\"address\":\"{server}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"capacity_slots\":{slots},\"state\":\"ready\",\
                 \"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
            );
            let sent = TcpStream::connect(("127.0.0.1", control)).and_then(|mut stream| {
                stream.set_read_timeout(Some(ms(1000)))?;
                let head = format!(
                    "POST /api/Instances.Heartbeat/{id} HTTP/1.1\r\nHost: control\r\n\
                     Content-Type: application/json\r\nConnection: close\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(head.as_bytes())?;
                read_message(&mut BufReader::new(stream))
            });
            let is_heard = matches!(sent, Ok(Some(answer)) if answer.status() == 200);
            thread::sleep(match is_heard {
                true => ms(1500),
                false => ms(200),
            });
        }
    });
}

// ---- clients ------------------------------------------------------------------

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// An id that no other request of this run has.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed) + 0x5000_0000_0000)
}

/// What a client got for one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Got {
    Answer(u16),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing within the client's deadline.
    Nothing,
}

/// A client that keeps its connection.
pub struct Client {
    port: u16,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(port: u16) -> Self {
        Self { port, connection: None }
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        host: &str,
        id: &str,
        key: &str,
        deadline: Duration,
        body: &[u8],
    ) -> Got {
        let mut reader = match self.connection.take() {
            Some(reader) => reader,
            None => {
                let address = SocketAddr::from(([127, 0, 0, 1], self.port));
                let Ok(stream) = TcpStream::connect_timeout(&address, ms(1000)) else {
                    return Got::Closed;
                };
                let _ = stream.set_nodelay(true);
                BufReader::new(stream)
            }
        };
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nBluebellswitch-Request-Id: {id}\r\n\
             Bluebellswitch-Deadline-Ms: {}\r\n",
            deadline.as_millis()
        );
        if !key.is_empty() {
            head.push_str(&format!("Bluebellswitch-Credential: {key}\r\n"));
        }
        if method != "GET" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let _ = reader.get_ref().set_read_timeout(Some(deadline));
        let _ = reader.get_ref().set_write_timeout(Some(deadline));
        if reader.get_mut().write_all(&bytes).is_err() {
            return Got::Closed;
        }
        match read_message(&mut reader) {
            Ok(Some(answer)) => {
                let closes =
                    answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                if !closes {
                    self.connection = Some(reader);
                }
                Got::Answer(answer.status())
            }
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                Got::Nothing
            }
            _ => Got::Closed,
        }
    }
}

/// A folder of this run's own, removed at its end unless KEEP is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Waits until all nodes say that they are ready, 12 s at most.
pub fn wait_ready(nodes: &[&Node]) -> bool {
    let end = Instant::now() + Duration::from_secs(12);
    while Instant::now() < end {
        if nodes.iter().all(|node| node.is_ready()) {
            return true;
        }
        thread::sleep(ms(100));
    }
    false
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
