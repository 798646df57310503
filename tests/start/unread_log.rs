//! A log that nobody reads.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpStream, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use crate::process::{
    EVENT_TIMEOUT,
    Site, //
};

/// Length of the path of a request, which its refusal is logged with.
const PATH_LEN: usize = 30_000;
/// Requests that are refused.
const REQUESTS: usize = 900;
/// Memory that the refusals may take, with the buffers of connections.
const MAX_GROWTH_KIB: usize = 8 << 10;

struct Unread(Child);

impl Drop for Unread {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Unread {
    fn resident_kib(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("a status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let size = line.and_then(|line| line.split_whitespace().nth(1));
        size.and_then(|size| size.parse().ok()).expect("a size")
    }
}

fn refused(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let path = "x".repeat(PATH_LEN);
    let request = format!("GET /{path} HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("written");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let _ = stream.shutdown(Shutdown::Both);
    answer.starts_with(b"HTTP/1.1 ")
}

/// Guards against lines of the log that a stalled reader leaves in memory: callers
/// without a key filled it with the paths of their requests.
#[test]
fn unread_log_is_bounded_in_bytes() {
    let site = Site::new("unread-log", "127.31.7.9");
    site.write();
    let node = Command::new(env!("CARGO_BIN_EXE_bluebellswitch"))
        .arg("node")
        .arg("--settings")
        .arg(&site.path)
        .env_remove("RUST_LOG")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn();
    let node = Unread(node.expect("started"));
    let callers = site.address("callers");
    let started = Instant::now();
    while !refused(callers) {
        assert!(started.elapsed() < EVENT_TIMEOUT, "it does not answer");
        thread::sleep(Duration::from_millis(20));
    }
    let before = node.resident_kib();
    for _ in 0..REQUESTS {
        assert!(refused(callers), "it does not answer");
        // The node logs a limited number of refusals a second.
        thread::sleep(Duration::from_millis(8));
    }
    let growth = node.resident_kib().saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
}
