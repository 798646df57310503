//! A node as a process, its settings and its log.

use std::{
    fs,
    io::{
        BufRead,
        BufReader,
        Read, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    },
    sync::mpsc::{
        Receiver,
        channel, //
    },
    thread,
    time::Duration,
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use serde_json::{
    Value,
    json, //
};

/// Maximum time to wait for an event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Settings of a node on free ports of an address that only this test uses.
pub struct Site {
    pub path: PathBuf,
    pub settings: Value,
}

impl Site {
    /// The settings of a node on `host`. The file does not exist yet.
    pub fn new(name: &str, host: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("start-{name}.jsonc"));
        let _ = fs::remove_file(&path);
        let fields = ["callers", "service", "links", "operators", "ready"];
        let mut listen = serde_json::Map::new();
        let held: Vec<_> = fields.map(|_| free(host)).into();
        for (field, listener) in fields.iter().zip(&held) {
            let address = listener.local_addr().expect("an address").to_string();
            listen.insert((*field).to_owned(), address.into());
        }
        let settings = json!({
            "instance": "alone", "domain": "a", "pool": "registry",
            "listen": listen,
            "upstream": "127.0.0.1:1",
            "secrets": ["a secret of the fleet"],
            "operators_token": "a token of operators",
        });
        Self { path, settings }
    }

    /// Moves `field` to a free address and keeps it in use. The listener stays open from
    /// the choice of the port on: a process that another test is about to start has a
    /// copy of each socket until its program runs, so an address is not free again as
    /// soon as its listener is dropped.
    pub fn hold(&mut self, field: &str) -> TcpListener {
        let host = self.address("callers").ip().to_string();
        loop {
            let listener = free(&host);
            let address = listener.local_addr().expect("an address").to_string();
            if !self.uses(&address) {
                self.settings["listen"][field] = address.into();
                return listener;
            }
        }
    }

    fn uses(&self, address: &str) -> bool {
        let listen = self.settings["listen"].as_object().expect("an object");
        listen.values().any(|used| used == address)
    }

    pub fn text(&self) -> String {
        self.settings.to_string()
    }

    /// Writes the settings whole.
    pub fn write(&self) -> &Self {
        self.write_text(&self.text())
    }

    pub fn write_text(&self, text: &str) -> &Self {
        fs::write(&self.path, text).expect("written");
        self
    }

    pub fn address(&self, field: &str) -> SocketAddr {
        let text = self.settings["listen"][field].as_str().expect("an address");
        text.parse().expect("an address")
    }
}

/// A listener on a free port.
pub fn free(host: &str) -> TcpListener {
    TcpListener::bind((host, 0)).expect("a free port")
}

/// A process, which ends with its owner.
pub struct Node {
    child: Child,
    lines: Receiver<Value>,
}

/// How a node ended.
pub struct Ended {
    pub status: ExitStatus,
    pub log: Vec<Value>,
    pub stderr: String,
}

impl Node {
    pub fn start(settings: &Path) -> Self {
        Self::start_with(settings, &[])
    }

    pub fn start_with(settings: &Path, arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"))
            .arg("node")
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .env_remove("RUST_LOG")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let stdout = child.stdout.take().expect("piped");
        let (sender, lines) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines() {
                let line = line.expect("text");
                let value = serde_json::from_str(&line).expect("a JSON line");
                let _ = sender.send(value);
            }
        });
        Self { child, lines }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("signalled");
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Waits for a line of the log that contains `part`.
    pub fn logs(&mut self, part: &str) -> Value {
        let mut before = Vec::new();
        loop {
            let Ok(line) = self.lines.recv_timeout(EVENT_TIMEOUT) else {
                let stderr = self.stderr_if_ended();
                panic!("no line with `{part}` after {before:?}; {stderr}");
            };
            if message(&line).contains(part) {
                return line;
            }
            before.push(line);
        }
    }

    fn stderr_if_ended(&mut self) -> String {
        match self.child.try_wait().expect("a child") {
            Some(status) => format!("{status}: {}", self.stderr()),
            None => "it still runs".to_owned(),
        }
    }

    fn stderr(&mut self) -> String {
        let mut text = String::new();
        let stderr = self.child.stderr.as_mut().expect("piped");
        stderr.read_to_string(&mut text).expect("text");
        text
    }

    /// Waits until the process has ended.
    pub fn ended(mut self) -> Ended {
        let mut log = Vec::new();
        while let Ok(line) = self.lines.recv_timeout(EVENT_TIMEOUT) {
            log.push(line);
        }
        let status = self.child.try_wait().expect("a child");
        let status = status.unwrap_or_else(|| self.child.wait().expect("ended"));
        let stderr = self.stderr();
        Ended {
            status,
            log,
            stderr,
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn message(line: &Value) -> &str {
    line["message"].as_str().expect("a message")
}

/// The last line of a log, which is an error.
pub fn last_error(log: &[Value]) -> &Value {
    let last = log.last().expect("a line");
    assert_eq!(last["level"], "ERROR", "{log:?}");
    last
}
