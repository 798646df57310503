//! A node that is started while its predecessor drains.

use std::{
    collections::BTreeSet,
    fs,
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use rustix::process::Signal;

use crate::process::{
    EVENT_TIMEOUT,
    Node,
    Site,
    free,
    message, //
};

/// Time that the upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time that the upstream takes for a slow request, which the predecessor finishes.
const SLOW_SERVICE_TIME: Duration = Duration::from_secs(3);

/// Clients, each with one connection at a time.
const CLIENTS: usize = 8;

/// Time after which a client sends again that was refused.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Paths of the requests that reached the upstream.
type Seen = Arc<Mutex<BTreeSet<String>>>;

/// The head of a request or an answer.
struct Head {
    first: String,
    length: usize,
    closes: bool,
}

fn read_head(stream: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    stream.read_line(&mut first).ok().filter(|len| *len > 0)?;
    let (mut length, mut closes) = (0, false);
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|len| *len > 0)?;
        if line == "\r\n" {
            return Some(Head {
                first,
                length,
                closes,
            });
        }
        let line = line.to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        closes |= line == "connection: close\r\n";
    }
}

/// Serves the upstream's requests, and notes their paths before it answers.
fn upstream(listener: TcpListener, seen: Seen) {
    for stream in listener.incoming() {
        let (mut stream, seen) = (stream.expect("a connection"), seen.clone());
        thread::spawn(move || {
            let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
            while let Some(head) = read_head(&mut reader) {
                let path = head.first.split(' ').nth(1).expect("a path").to_owned();
                let is_slow = path.starts_with("/slow");
                if path != "/health" {
                    seen.lock().expect("unpoisoned").insert(path);
                    thread::sleep(if is_slow {
                        SLOW_SERVICE_TIME
                    } else {
                        SERVICE_TIME
                    });
                }
                let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone";
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// The end of a request.
enum End {
    /// The status, with the whole body, and whether the connection closes.
    Answered(u16, bool),
    /// The connection closed before the first byte of an answer.
    Closed,
    /// The connection closed within an answer.
    Cut,
}

fn send(stream: &mut BufReader<TcpStream>, path: &str, key: &str) -> End {
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n\r\n");
    if stream.get_mut().write_all(request.as_bytes()).is_err() {
        return End::Closed;
    }
    match stream.fill_buf() {
        Ok([_, ..]) => {}
        Ok([]) | Err(_) => return End::Closed,
    }
    let Some(head) = read_head(stream) else {
        return End::Cut;
    };
    let mut body = vec![0; head.length];
    if stream.read_exact(&mut body).is_err() {
        return End::Cut;
    }
    let status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.map_or(End::Cut, |status| End::Answered(status, head.closes))
}

/// What the clients saw.
#[derive(Debug, Default)]
struct Record {
    next: AtomicUsize,
    stop: AtomicBool,
    ok: AtomicUsize,
    refused: AtomicUsize,
    other: Mutex<Vec<u16>>,
    closed: Mutex<Vec<String>>,
    cut: Mutex<Vec<String>>,
}

impl Record {
    fn note(&self, path: String, end: &End) {
        match end {
            End::Answered(200, _) => {
                self.ok.fetch_add(1, Ordering::Relaxed);
            }
            End::Answered(503, _) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
            }
            End::Answered(status, _) => self.other.lock().expect("unpoisoned").push(*status),
            End::Closed => self.closed.lock().expect("unpoisoned").push(path),
            End::Cut => self.cut.lock().expect("unpoisoned").push(path),
        }
    }

    /// Sends on one connection until it closes, then on the next, and so on.
    fn run(&self, callers: SocketAddr, key: &str) {
        while !self.stop.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(callers) else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("set");
            let mut stream = BufReader::new(stream);
            while !self.stop.load(Ordering::Relaxed) {
                let number = self.next.fetch_add(1, Ordering::Relaxed);
                let path = format!("/r/{number}");
                let end = send(&mut stream, &path, key);
                self.note(path, &end);
                match end {
                    End::Answered(200, false) => {}
                    End::Answered(_, false) => thread::sleep(RETRY_DELAY),
                    End::Answered(_, true) | End::Closed | End::Cut => break,
                }
            }
        }
    }

    /// Waits until this many more requests have been served.
    fn serves(&self, more: usize) {
        let goal = self.ok.load(Ordering::Relaxed) + more;
        let begin = Instant::now();
        while self.ok.load(Ordering::Relaxed) < goal {
            assert!(begin.elapsed() < EVENT_TIMEOUT, "not served: {self:?}");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// The platform's stand-in as a process.
struct Platform {
    child: Child,
    address: SocketAddr,
}

impl Platform {
    /// Starts on a free port of `host`.
    fn start(host: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"))
            .args(["platform", "--listen", &format!("{host}:0")])
            .stdout(Stdio::piped())
            .spawn()
            .expect("started");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let address = line.trim_end().strip_prefix("listening on ");
        let address = address.and_then(|text| text.parse().ok());
        Self {
            address: address.unwrap_or_else(|| panic!("no address in {line:?}")),
            child,
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(platform: SocketAddr, dir: &Path, line: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"))
        .args(line.split(' '))
        .current_dir(dir)
        .env("BLUEBELLSWITCH_PLATFORM", platform.to_string())
        .env("USER", "tester")
        .output()
        .expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    assert!(output.status.success(), "{line}: {}", text(output.stderr));
    text(output.stdout)
}

/// Puts a configuration in force, and returns a key.
fn configure(platform: SocketAddr) -> String {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("start-successor");
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).expect("a directory");
    let write = |name, text| fs::write(dir.join(name), text).expect("written");
    write(
        "routes.jsonc",
        r#"{ "all": { "path": "/*", "pool": "registry", "deadline": "20s" } }"#,
    );
    write(
        "pools.jsonc",
        r#"{ "registry": { "slots": 50, "health": "/health", "drain": "30s" } }"#,
    );
    command(platform, &dir, "apply .");
    command(
        platform,
        &dir,
        "team set mill --rate 100000/s --burst 100000",
    );
    let granted = command(platform, &dir, "key grant mill");
    let key = granted.split_whitespace().find(|word| word.contains('.'));
    key.expect("a key").to_owned()
}

/// Guards against a successor that exits beside its draining predecessor, and against
/// a request that is lost while it takes over.
#[test]
fn successor_takes_over_from_a_draining_predecessor() {
    let host = "127.63.5.1";
    let seen = Seen::default();
    let listener = free(host);
    let upstream_address = listener.local_addr().expect("an address");
    let served = seen.clone();
    thread::spawn(move || upstream(listener, served));

    let platform = Platform::start(host);
    let key = configure(platform.address);

    // The rates of a fleet stay countable as long as one of its nodes runs.
    let mut edge = Site::new("successor-edge", host);
    edge.settings["instance"] = "edge".into();
    edge.settings["pool"] = "edges".into();
    edge.settings["platform"] = platform.address.to_string().into();
    let mut other = Node::start(&edge.write().path);
    other.logs("the node listens");

    let mut site = Site::new("successor", host);
    site.settings["upstream"] = upstream_address.to_string().into();
    site.settings["platform"] = platform.address.to_string().into();
    let callers = site.address("callers");
    let mut predecessor = Node::start(&site.write().path);
    predecessor.logs("the node listens");

    let record = Arc::new(Record::default());
    let clients: Vec<JoinHandle<()>> = (0..CLIENTS)
        .map(|_| {
            let (record, key) = (record.clone(), key.clone());
            thread::spawn(move || record.run(callers, &key))
        })
        .collect();
    record.serves(50);
    let slow = {
        let key = key.clone();
        thread::spawn(move || {
            let stream = TcpStream::connect(callers).expect("connected");
            send(&mut BufReader::new(stream), "/slow", &key)
        })
    };
    let begin = Instant::now();
    while !seen.lock().expect("unpoisoned").contains("/slow") {
        assert!(begin.elapsed() < EVENT_TIMEOUT, "the slow request runs");
        thread::sleep(Duration::from_millis(5));
    }

    predecessor.signal(Signal::TERM);
    predecessor.logs("the node drains");
    let mut successor = Node::start(&site.path);
    let line = successor.logs("the node cannot start yet");
    assert!(message(&line).contains("cannot bind `links`"), "{line}");
    assert!(!predecessor.has_ended());

    assert!(matches!(slow.join().expect("sent"), End::Answered(200, _)));
    assert_eq!(predecessor.ended().status.code(), Some(0));
    successor.logs("the node listens");
    record.serves(50);
    record.stop.store(true, Ordering::Relaxed);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("no panic"));
    successor.signal(Signal::TERM);
    assert_eq!(successor.ended().status.code(), Some(0));

    let seen = seen.lock().expect("unpoisoned");
    let cut = record.cut.lock().expect("unpoisoned");
    assert!(cut.is_empty(), "{cut:?}");
    let other = record.other.lock().expect("unpoisoned");
    assert!(other.is_empty(), "{other:?}");
    let closed = record.closed.lock().expect("unpoisoned");
    let lost: Vec<_> = closed.iter().filter(|path| seen.contains(*path)).collect();
    assert!(lost.is_empty(), "ran without an answer: {lost:?}");
    assert!(
        record.refused.load(Ordering::Relaxed) > 0,
        "some met the drain"
    );
}
