//! Connections of callers that close, or are about to, while a request is on its way.

use std::{
    io::Write,
    net::TcpStream as BlockingStream,
    rc::Rc, //
};

use bluebellswitch::{
    server::{
        Server,
        Stop, //
    },
    standin::upstream::Act,
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Notify,
    time::{
        Duration,
        sleep, //
    },
};

use crate::bench::{
    AUTH,
    SECRET,
    Site,
    run,
    until, //
};

/// Time in which an idle node is ready to stop.
const READY_TO_STOP: Duration = Duration::from_secs(3);

/// Time from an accepted connection to its first request.
const ROUND_TRIP: Duration = Duration::from_millis(20);

/// Bytes of a body over the limit of every route, more than sockets hold.
const TOO_LARGE: usize = 16 << 20;

fn head(method: &str, target: &str, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\nhost: s\r\n{}: {}\r\n{more}\r\n",
        AUTH.0, AUTH.1
    )
}

async fn connect(node: &Server) -> TcpStream {
    let address = node.addresses().callers;
    TcpStream::connect(address).await.expect("a connection")
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("written");
}

/// Reads until the connection ends.
async fn rest(stream: &mut TcpStream) -> String {
    let mut input = Vec::new();
    let _ = stream.read_to_end(&mut input).await;
    String::from_utf8_lossy(&input).into_owned()
}

/// Asserts that an answer is the only one, whole and a promise.
fn assert_not_run(answer: &str, status: u16) {
    let start = format!("HTTP/1.1 {status} ");
    assert!(answer.starts_with(&start), "{answer:?}");
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer:?}");
    assert!(answer.contains("\"not-run\""), "{answer:?}");
    assert!(answer.ends_with('}'), "{answer:?}");
}

/// Guards against requests that are dropped unread, because they reach the node just
/// before it closes its idle connections.
#[test]
fn a_request_that_arrives_as_a_stopping_node_closes_is_answered() {
    run(async {
        let site = Site::start(|_| Act::whole("whole")).await;
        let address = site.edge.addresses().callers;
        let mut caller = BlockingStream::connect(address).expect("a connection");
        sleep(ROUND_TRIP).await;
        let Site { edge, .. } = site;
        edge.drain();
        sleep(READY_TO_STOP).await;
        let request = head("GET", "/a", "");
        caller.write_all(request.as_bytes()).expect("written");
        assert_eq!(edge.wait().await, Stop::Clean);
        caller.set_nonblocking(true).expect("a socket");
        let mut caller = TcpStream::from_std(caller).expect("a runtime");
        assert_not_run(&rest(&mut caller).await, 503);
    });
}

/// Guards against a refusal that is lost because its caller goes on sending the body.
#[test]
fn a_refusal_reaches_a_caller_that_goes_on_sending() {
    run(async {
        let site = Site::start(|_| Act::whole("whole")).await;
        let mut caller = connect(&site.edge).await;
        let length = format!("content-length: {TOO_LARGE}\r\n");
        send(&mut caller, &head("POST", "/a", &length)).await;
        let _ = caller.write_all("a".repeat(TOO_LARGE).as_bytes()).await;
        assert_not_run(&rest(&mut caller).await, 413);
    });
}

/// Asserts that the answer to a request is whole, and that what follows it on its
/// connection is refused.
fn assert_answered_before(next: String) {
    run(async move {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let site =
            Site::start(move |_| Act::Hold(held.clone(), Box::new(Act::whole("whole")))).await;
        let mut caller = connect(&site.edge).await;
        send(&mut caller, &head("GET", "/a", "")).await;
        let _ = caller.write_all(next.as_bytes()).await;
        release.notify_one();
        let answers = rest(&mut caller).await;
        assert!(answers.starts_with("HTTP/1.1 200 OK\r\n"), "{answers:?}");
        let (_, refusal) = answers.split_once("whole").expect("a whole answer");
        assert!(refusal.contains(" 4"), "{refusal:?}");
    });
}

/// Guards against an answer that is lost because a malformed request follows it.
#[test]
fn an_answer_before_malformed_input_is_whole() {
    assert_answered_before("malformed\r\n\r\n".to_owned());
}

/// Guards against an answer that is lost because a request follows it that is too large.
fn an_answer_before_a_large_request_is_whole(next: String) {
    assert_answered_before(next);
}

cases! { an_answer_before_a_large_request_is_whole:
    header_too_large => (head("GET", "/b", &format!("x: {}\r\n", "y".repeat(40_000)))),
    body_too_large => (head("POST", "/b", &format!("content-length: {TOO_LARGE}\r\n"))),
}

/// Guards against a request that runs on for a caller that has closed its sending side,
/// which cannot be told from one that has left.
#[test]
fn a_caller_that_closes_its_sending_side_has_left() {
    run(async {
        let site = Site::with("{}", SECRET, |_| Act::Silence).await;
        let mut caller = connect(&site.edge).await;
        send(&mut caller, &head("GET", "/a", "")).await;
        until("it runs", || !site.upstream.seen().is_empty()).await;
        caller.shutdown().await.expect("half a connection");
        assert_eq!(rest(&mut caller).await, "");
        until("nothing is left", || site.edge.load() == (0, 0, 0)).await;
    });
}
