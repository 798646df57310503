//! Connections of callers that close, or are about to, while a request is on its way.

use std::{
    io::Write,
    net,
    rc::Rc,
    thread,
    time::Duration, //
};

use bluebellswitch::{
    clock::Span,
    code::Code,
    metric::{
        ConnectionEnd,
        Counter, //
    },
    node::Bounds,
    server::{
        Server,
        Stop, //
    },
    settings::Settings,
    standin::upstream::{
        Act,
        Seen, //
    },
};
use serde_json::json;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Notify,
};

use crate::site::{
    CONNECTIONS,
    KEY,
    Machine,
    Site,
    configuration,
    pause,
    run,
    settings,
    until,
    whole, //
};

/// Connections that are opened at once, fewer than a node takes.
const CALLERS: usize = 8;

/// Bytes of an upload, more than a node buffers and fewer than the limit.
const UPLOAD: usize = 3_500_000;

/// Bytes of a body over the limit.
const TOO_LARGE: usize = 5_000_000;

/// Time in milliseconds for which the site stands still.
const FREEZE_MS: u64 = 700;

/// Time in milliseconds in which an idle node is ready to stop.
const READY_TO_STOP_MS: u64 = 4000;

/// Time in milliseconds from an accepted connection to its first request.
const ROUND_TRIP_MS: u64 = 20;

/// The start of an answer that another one may follow.
const FOUND: &str = "HTTP/1.1 200 OK\r\n";

fn head(method: &str, target: &str, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nhost: mill.example\r\n{}: {}\r\n\
         bluebellswitch-request-id: {target}\r\n{more}\r\n",
        KEY.0, KEY.1
    )
}

async fn connect(machine: &Machine) -> TcpStream {
    let address = machine.node.addresses().callers;
    TcpStream::connect(address).await.expect("a connection")
}

/// Connections whose requests can be written while the runtime does nothing.
fn connect_blocking(machine: &Machine, count: usize) -> Vec<net::TcpStream> {
    let address = machine.node.addresses().callers;
    let connect = |_| net::TcpStream::connect(address).expect("a connection");
    (0..count).map(connect).collect()
}

fn send_to_all(streams: &mut [net::TcpStream]) {
    for stream in streams {
        let written = stream.write_all(head("GET", "/view/x", "").as_bytes());
        written.expect("a connection that takes a request");
    }
}

fn into_async(stream: net::TcpStream) -> TcpStream {
    stream.set_nonblocking(true).expect("a socket");
    TcpStream::from_std(stream).expect("a runtime")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// Reads until the text has arrived, and returns all that was read.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut input = String::new();
    while !input.contains(text) {
        let mut bytes = [0; 4096];
        let count = stream.read(&mut bytes).await.unwrap_or(0);
        assert!(count > 0, "closed after {input:?}");
        input.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    input
}

/// Reads until the connection ends.
async fn rest(stream: &mut TcpStream) -> String {
    let mut input = Vec::new();
    let _ = stream.read_to_end(&mut input).await;
    String::from_utf8_lossy(&input).into_owned()
}

/// Reads until the connection ends or its node has stopped, as a process that ends closes
/// its connections.
async fn rest_until_stop(stream: &mut TcpStream, node: Server) -> (String, Stop) {
    let mut input = Vec::new();
    let stop = {
        let mut read = std::pin::pin!(stream.read_to_end(&mut input));
        let mut stop = std::pin::pin!(node.wait());
        tokio::select! {
            _ = &mut read => stop.await,
            stop = &mut stop => stop,
        }
    };
    (String::from_utf8_lossy(&input).into_owned(), stop)
}

/// Asserts that an answer is the only one, whole, a promise, and the last one.
fn assert_not_run(answer: &str, status: u16) {
    let start = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&start), "{answer:?}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer:?}");
    assert!(answer.contains("connection: close\r\n"), "{answer:?}");
    assert!(answer.contains("\"not-run\""), "{answer:?}");
    assert!(answer.ends_with('}'), "{answer:?}");
}

/// Puts limits in force under which connections end sooner.
async fn set_idle_timeout(site: &Site, timeout_ms: u64) {
    let mut document = configuration(2);
    for row in document["resources"].as_array_mut().expect("rows") {
        if row["type"] == "limits" {
            row["spec"]["idle_timeout_ms"] = json!(timeout_ms);
        }
    }
    site.store.put("op/config", &document.to_string());
    let node = &site.machines[0].node;
    until("the configuration is in force", || async {
        node.version().0 == 2
    })
    .await;
}

/// A site whose servers hold requests to `/view/held` and `/upload/held` until they are
/// released.
struct Held {
    site: Site,
    release: Rc<Notify>,
}

impl Held {
    async fn start() -> Self {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let site = Site::start(move |seen| match seen.target.ends_with("/held") {
            true => Act::Hold(held.clone(), Box::new(whole(seen, "stock"))),
            false => whole(seen, "stock"),
        })
        .await;
        Self { site, release }
    }

    /// Waits until so many requests are held.
    async fn running(&self, count: usize) {
        let server = &self.site.machines[1].server;
        let is_held = |seen: &&Seen| seen.target.ends_with("/held");
        until("the server holds the requests", || async {
            server.seen().iter().filter(is_held).count() == count
        })
        .await;
    }

    /// The settings of the first node with lower limits.
    fn lower_settings(&self) -> Settings {
        let upstream = self.site.machines[0].server.address();
        let store = self.site.store.address();
        let limits = &self.site.limits;
        let mut lower = settings("a-1", "a", "front", upstream, store, limits);
        lower.limits.connections = 1;
        lower.limits.head_time = Span::from_secs(1);
        lower.limits.body_time = Span::from_ms(300);
        lower.grace = Some(Span::from_secs(1));
        lower
    }

    /// Reloads the settings of the first node several times in a row.
    fn reload_lower(&self) {
        let handle = self.site.machines[0].node.handle();
        for _ in 0..3 {
            handle.reload(self.lower_settings(), Bounds::default());
        }
    }
}

/// Guards against requests that are dropped unread, because the idle timeout of their
/// connections expired while the process stood still.
#[test]
fn requests_that_arrive_while_the_node_stands_still_are_answered() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        set_idle_timeout(&site, FREEZE_MS / 2).await;
        let mut callers = connect_blocking(&site.machines[0], CALLERS);
        pause(50).await;
        let sending = thread::spawn(move || {
            thread::sleep(Duration::from_millis(FREEZE_MS / 7));
            send_to_all(&mut callers);
            callers
        });
        thread::sleep(Duration::from_millis(FREEZE_MS));
        let callers = sending.join().expect("requests that were sent");
        for (number, caller) in callers.into_iter().enumerate() {
            let answer = rest(&mut into_async(caller)).await;
            assert!(answer.starts_with("HTTP/1.1 "), "{number}: {answer:?}");
        }
    });
}

/// Guards against requests that are dropped unread, because they reach the node just
/// before it closes its idle connections.
#[test]
fn requests_that_arrive_as_a_stopping_node_closes_are_answered() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        let mut callers = connect_blocking(&site.machines[0], CALLERS);
        pause(50).await;
        let front = site.machines.remove(0);
        front.node.drain();
        pause(READY_TO_STOP_MS).await;
        send_to_all(&mut callers);
        assert_eq!(front.node.wait().await, Stop::Clean);
        for caller in callers {
            assert_not_run(&rest(&mut into_async(caller)).await, 503);
        }
    });
}

/// Guards against callers that connect while a node closes its connections, and whose
/// requests are dropped unread although the node still runs.
#[test]
fn connections_that_are_opened_while_a_node_closes_are_answered() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        let mut idle = connect(&site.machines[0]).await;
        let front = site.machines.remove(0);
        front.node.drain();
        let address = front.node.addresses().callers;
        let calls = async {
            assert_eq!(rest(&mut idle).await, "");
            for _ in 0..CALLERS {
                let mut late = TcpStream::connect(address).await.expect("a connection");
                pause(ROUND_TRIP_MS).await;
                send(&mut late, &head("GET", "/view/x", "")).await;
                assert_not_run(&rest(&mut late).await, 503);
            }
        };
        let ((), stop) = tokio::join!(calls, front.node.wait());
        assert_eq!(stop, Stop::Clean);
    });
}

/// Guards against callers that are cut off without an answer, because the node stops
/// before it has received their requests whole.
fn a_request_in_part_is_refused_when_the_node_stops(part: &'static str) {
    run(async move {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        let mut caller = connect(&site.machines[0]).await;
        let front = site.machines.remove(0);
        front.node.drain();
        pause(READY_TO_STOP_MS).await;
        let part = part.replace("KEY", &format!("{}: {}", KEY.0, KEY.1));
        send(&mut caller, &part).await;
        pause(50).await;
        let (answer, stop) = rest_until_stop(&mut caller, front.node).await;
        assert_not_run(&answer, 503);
        assert_eq!(stop, Stop::Clean);
    });
}

cases! { a_request_in_part_is_refused_when_the_node_stops:
    a_head => ("GET /view/x HTTP/1.1\r\nhost: mill.example\r\n"),
    a_body_with_a_length => (
        "POST /issue/x HTTP/1.1\r\nhost: mill.example\r\nKEY\r\ncontent-length: 10\r\n\r\nhalf"),
    a_body_in_chunks => (
        "POST /issue/x HTTP/1.1\r\nhost: mill.example\r\nKEY\r\n\
         transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
}

/// Guards against an upload that ends without an answer, because the node stops before
/// the caller has sent all of it.
#[test]
fn an_upload_in_part_is_answered_when_the_node_stops() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        let mut caller = connect(&site.machines[0]).await;
        let length = format!("content-length: {UPLOAD}\r\n");
        send(&mut caller, &head("POST", "/upload/x", &length)).await;
        send(&mut caller, &"a".repeat(UPLOAD - 1)).await;
        let front = site.machines.remove(0);
        until("it is passed on", || async { front.node.load().0 == 1 }).await;
        front.node.drain();
        let (answer, _) = rest_until_stop(&mut caller, front.node).await;
        assert!(answer.starts_with("HTTP/1.1 5"), "{answer:?}");
        assert!(answer.ends_with('}'), "{answer:?}");
        let seen = site.machines[0].server.seen();
        assert!(!seen.iter().any(|seen| seen.target == "/upload/x"));
    });
}

/// Guards against open requests that a reload with lower limits cuts off.
#[test]
fn a_reload_with_lower_limits_cuts_no_open_request() {
    run(async {
        let held = Held::start().await;
        let front = &held.site.machines[0];
        let mut callers = Vec::new();
        for _ in 0..CALLERS / 2 {
            let mut caller = connect(front).await;
            send(&mut caller, &head("GET", "/view/held", "")).await;
            callers.push(caller);
        }
        held.running(CALLERS / 2).await;
        let mut uploading = connect(front).await;
        let length = format!("content-length: {UPLOAD}\r\n");
        send(&mut uploading, &head("POST", "/upload/x", &length)).await;
        send(&mut uploading, &"a".repeat(UPLOAD / 2)).await;
        until("the upload is passed on", || async {
            front.node.load().0 == CALLERS / 2 + 1
        })
        .await;
        held.reload_lower();
        assert_eq!(rest(&mut connect(front).await).await, "");
        send(&mut uploading, &"a".repeat(UPLOAD - UPLOAD / 2)).await;
        let answer = read_until(&mut uploading, "stock").await;
        assert!(answer.starts_with(FOUND), "{answer:?}");
        held.release.notify_waiters();
        for caller in &mut callers {
            let answer = rest(caller).await;
            assert!(answer.starts_with(FOUND), "{answer:?}");
            assert!(answer.ends_with("stock"), "{answer:?}");
        }
    });
}

/// Guards against open requests that a reload cuts off while the node drains.
#[test]
fn reloads_while_draining_cut_no_open_request() {
    run(async {
        let mut held = Held::start().await;
        let mut caller = connect(&held.site.machines[0]).await;
        send(&mut caller, &head("GET", "/view/held", "")).await;
        held.running(1).await;
        held.site.machines[0].node.drain();
        let lower = held.lower_settings();
        let front = held.site.machines.remove(0);
        let handle = front.node.handle();
        let reload = async {
            pause(100).await;
            for _ in 0..3 {
                handle.reload(lower.clone(), Bounds::default());
            }
            pause(1000).await;
            held.release.notify_waiters();
        };
        let stopped = rest_until_stop(&mut caller, front.node);
        let ((answer, stop), ()) = tokio::join!(stopped, reload);
        assert!(answer.starts_with(FOUND), "{answer:?}");
        assert!(answer.ends_with("stock"), "{answer:?}");
        assert_eq!(stop, Stop::Clean);
    });
}

/// Guards against a caller that stops sending and gets no answer, and against one whose
/// upload has been passed on and that is told it has not run.
#[test]
fn a_caller_that_stops_sending_is_answered() {
    run(async {
        let held = Held::start().await;
        held.reload_lower();
        let length = format!("content-length: {UPLOAD}\r\n");
        let mut buffered = connect(&held.site.machines[0]).await;
        send(&mut buffered, &head("POST", "/upload/x", &length)).await;
        send(&mut buffered, "half").await;
        assert_not_run(&rest(&mut buffered).await, 408);
        drop(buffered);
        pause(50).await;
        let mut streamed = connect(&held.site.machines[0]).await;
        send(&mut streamed, &head("POST", "/upload/x", &length)).await;
        send(&mut streamed, &"a".repeat(UPLOAD - 1)).await;
        let answer = rest(&mut streamed).await;
        assert!(answer.starts_with("HTTP/1.1 50"), "{answer:?}");
        assert!(answer.contains("\"unknown\""), "{answer:?}");
        assert!(answer.ends_with('}'), "{answer:?}");
    });
}

/// Guards against an answer that is lost because what follows it on its connection cannot
/// be accepted.
fn an_answer_before_an_unacceptable_request_is_whole(next: String, status: &'static str) {
    run(async move {
        let held = Held::start().await;
        let mut caller = connect(&held.site.machines[0]).await;
        send(&mut caller, &head("GET", "/view/held", "")).await;
        let _ = caller.write_all(next.as_bytes()).await;
        held.running(1).await;
        pause(50).await;
        held.release.notify_waiters();
        let answers = rest(&mut caller).await;
        assert!(answers.starts_with(FOUND), "{answers:?}");
        let (_, refusal) = answers.split_once("stock").expect("a whole answer");
        assert!(refusal.starts_with(status), "{refusal:?}");
        assert!(refusal.contains("connection: close\r\n"), "{refusal:?}");
    });
}

cases! { an_answer_before_an_unacceptable_request_is_whole:
    malformed => ("malformed\r\n\r\n".to_owned(), "HTTP/1.1 400 "),
    header_too_large => (
        head("GET", "/view/x", &format!("x: {}\r\n", "y".repeat(20_000))), "HTTP/1.1 431 "),
    head_without_end => (format!("GET /view/x HTTP/1.1\r\nx: {}", "y".repeat(1 << 20)), "HTTP/1.1 4"),
    former_version => ("GET /view/x HTTP/1.0\r\nhost: mill.example\r\n\r\n".to_owned(),
        "HTTP/1.1 400 "),
    body_too_large => (
        head("POST", "/upload/x", &format!("content-length: {TOO_LARGE}\r\n")), "HTTP/1.1 413 "),
}

/// Guards against an interim answer to a request that is refused anyway, whose body the
/// caller would then send.
#[test]
fn an_expectation_of_a_refused_request_is_not_met() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let mut caller = connect(&site.machines[0]).await;
        let more = format!("content-length: {TOO_LARGE}\r\nexpect: 100-continue\r\n");
        send(&mut caller, &head("POST", "/upload/x", &more)).await;
        assert_not_run(&rest(&mut caller).await, 413);
    });
}

/// Guards against an interim answer that overtakes the answer to an earlier request.
#[test]
fn an_expectation_behind_a_running_request_waits_for_its_answer() {
    run(async {
        let held = Held::start().await;
        let mut caller = connect(&held.site.machines[0]).await;
        let more = "content-length: 4\r\nexpect: 100-continue\r\n";
        let both = [
            head("GET", "/view/held", ""),
            head("POST", "/issue/x", more),
        ];
        send(&mut caller, &both.concat()).await;
        held.running(1).await;
        pause(50).await;
        held.release.notify_waiters();
        let answers = read_until(&mut caller, "100 Continue\r\n\r\n").await;
        let (first, interim) = answers.split_once("stock").expect("the first answer");
        assert!(first.starts_with(FOUND), "{first:?}");
        assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
        send(&mut caller, "kiln").await;
        let answer = read_until(&mut caller, "stock").await;
        assert!(answer.starts_with(FOUND), "{answer:?}");
    });
}

/// Guards against a refusal that is lost because its caller goes on sending the body.
#[test]
fn a_refusal_reaches_a_caller_that_goes_on_sending() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let mut caller = connect(&site.machines[0]).await;
        let length = format!("content-length: {TOO_LARGE}\r\n");
        send(&mut caller, &head("POST", "/upload/x", &length)).await;
        // Longer than the node reads on.
        for _ in 0..30 {
            let _ = caller
                .write_all("a".repeat(TOO_LARGE / 30).as_bytes())
                .await;
            pause(50).await;
        }
        assert_not_run(&rest(&mut caller).await, 413);
    });
}

/// Guards against a request that runs on for a caller that has closed its sending side,
/// which cannot be told from one that has left.
#[test]
fn a_caller_that_closes_its_sending_side_has_left() {
    run(async {
        let held = Held::start().await;
        let mut caller = connect(&held.site.machines[0]).await;
        send(&mut caller, &head("GET", "/view/held", "")).await;
        held.running(1).await;
        let server = &held.site.machines[1].server;
        let open = server.open();
        caller.shutdown().await.expect("half a connection");
        assert_eq!(rest(&mut caller).await, "");
        until("the request is cancelled at its server", || async {
            server.open() < open
        })
        .await;
        let node = &held.site.machines[0].node;
        let unanswered = Counter::Unanswered(ConnectionEnd::CallerGone);
        assert_eq!(node.traffic().get(unanswered), 1);
    });
}

/// Guards against a caller above the limit that waits for an answer, and against one below
/// it that is cut off for its sake.
#[test]
fn a_connection_above_the_limit_ends_at_once() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let front = &site.machines[0];
        let mut first = connect(front).await;
        let mut others = Vec::new();
        for _ in 1..CONNECTIONS {
            others.push(connect(front).await);
        }
        pause(50).await;
        let mut above = connect(front).await;
        send(&mut above, &head("GET", "/view/x", "")).await;
        assert_eq!(rest(&mut above).await, "");
        assert!(front.node.traffic().get(Counter::ConnectionLimit) > 0);
        send(&mut first, &head("GET", "/view/x", "")).await;
        let answer = rest(&mut first).await;
        assert!(answer.starts_with(FOUND), "{answer:?}");
    });
}

/// Guards against an upload whose rest is taken for the next request, because its answer
/// came before its end.
#[test]
fn an_answer_ahead_of_the_end_of_an_upload_leaves_the_connection_usable() {
    run(async {
        let site = Site::start(|seen| match &seen.target[..] {
            "/upload/ahead" => Act::Ahead(Box::new(whole(seen, "stock"))),
            _ => whole(seen, "kiln"),
        })
        .await;
        let mut caller = connect(&site.machines[0]).await;
        let length = format!("content-length: {UPLOAD}\r\n");
        send(&mut caller, &head("POST", "/upload/ahead", &length)).await;
        send(&mut caller, &"a".repeat(UPLOAD - 1000)).await;
        let answer = read_until(&mut caller, "stock").await;
        assert!(answer.starts_with(FOUND), "{answer:?}");
        send(&mut caller, &"a".repeat(1000)).await;
        send(&mut caller, &head("GET", "/view/x", "")).await;
        let answer = read_until(&mut caller, "kiln").await;
        assert!(answer.starts_with(FOUND), "{answer:?}");
    });
}

/// Guards against an upload without an answer, because its server closed in the middle.
#[test]
fn an_upload_whose_server_closes_in_the_middle_is_answered() {
    run(async {
        let site = Site::start(|seen| match &seen.target[..] {
            "/upload/cut" => Act::Ahead(Box::new(Act::Close(true))),
            _ => whole(seen, "stock"),
        })
        .await;
        let mut caller = connect(&site.machines[0]).await;
        let length = format!("content-length: {UPLOAD}\r\n");
        send(&mut caller, &head("POST", "/upload/cut", &length)).await;
        send(&mut caller, &"a".repeat(UPLOAD)).await;
        let answer = read_until(&mut caller, "}").await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer:?}");
        let refused = site.machines[0].node.counts();
        assert_eq!(refused.get(Counter::Refused(Code::Leaving)), 0);
    });
}

/// Guards against connections that stay open, or end, against the word of their caller.
fn the_caller_decides_whether_its_connection_stays(more: &'static str, stays: bool) {
    run(async move {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let mut caller = connect(&site.machines[0]).await;
        send(&mut caller, &head("GET", "/view/x", more)).await;
        let answer = read_until(&mut caller, "stock").await;
        assert!(answer.starts_with(FOUND), "{answer:?}");
        assert_eq!(answer.contains("connection: close"), !stays, "{answer:?}");
        match stays {
            true => {
                send(&mut caller, &head("GET", "/view/x", "")).await;
                read_until(&mut caller, "stock").await;
            }
            false => assert_eq!(rest(&mut caller).await, ""),
        }
    });
}

cases! { the_caller_decides_whether_its_connection_stays:
    by_default => ("", true),
    closes => ("connection: close\r\n", false),
    closes_in_capitals => ("CONNECTION: CLOSE\r\n", false),
    keeps_alive => ("Connection: Keep-Alive\r\n", true),
}

/// Guards against an answer without a body whose length is taken for one, so that the next
/// answer is lost in it.
fn an_answer_without_a_body_is_followed_by_the_next(method: &'static str, line: &'static str) {
    run(async move {
        let site = Site::start(move |seen| match &seen.target[..] {
            "/view/empty" => Act::Raw(
                format!(
                    "HTTP/1.1 {line}\r\nbluebellswitch-request-id: /view/empty\r\n\
                     bluebellswitch-response-seal: s\r\ncontent-length: 5\r\n\r\n"
                )
                .into(),
            ),
            _ => whole(seen, "stock"),
        })
        .await;
        let mut caller = connect(&site.machines[0]).await;
        let both = [head(method, "/view/empty", ""), head("GET", "/view/x", "")];
        send(&mut caller, &both.concat()).await;
        let answers = read_until(&mut caller, "stock").await;
        let (empty, next) = answers.split_once("\r\n\r\n").expect("a head");
        assert!(empty.starts_with(&format!("HTTP/1.1 {line}")), "{empty:?}");
        assert!(next.starts_with(FOUND), "{next:?}");
    });
}

cases! { an_answer_without_a_body_is_followed_by_the_next:
    of_head => ("HEAD", "200 OK"),
    no_content => ("GET", "204 No Content"),
    not_modified => ("GET", "304 Not Modified"),
}
