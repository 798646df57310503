//! Responses that an upstream sends a second time, where a later response is due.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    rc::Rc, //
};

use bluebellswitch::{
    metric::Counter,
    standin::{
        caller::Answer,
        upstream::{
            Act,
            Seen, //
        },
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::site::{
    HOST,
    KEY,
    Site,
    run,
    until,
    whole, //
};

/// Bytes of one part of an upload, which is streamed since it does not fit a buffer.
const PART: usize = 1_200_000;
/// Requests that earn a retry.
const EARNING: usize = 60;

const REQUEST_ID: &str = "bluebellswitch-request-id";

/// What the upstream beside the second node does: it rejects its first request, and sends
/// a copy of a response before the response to a later request.
struct Script {
    copy: fn(&str) -> String,
    on: On,
    /// Which request after the rejected one, of those that `on` allows, it comes before.
    before: usize,
    state: RefCell<State>,
}

/// The connections on which the copy may come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum On {
    /// That of the rejected request.
    Rejected,
    /// All that have carried a request.
    Used,
}

#[derive(Default)]
struct State {
    rejected: Option<usize>,
    used: BTreeSet<usize>,
    later: usize,
}

fn rejection(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{REQUEST_ID}: {id}\r\n\
         bluebellswitch-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
    )
}

fn without_id(_: &str) -> String {
    "HTTP/1.1 503 Service Unavailable\r\nbluebellswitch-not-executed: 1\r\n\
     content-length: 0\r\n\r\n"
        .to_owned()
}

fn response(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {id}\r\nbluebellswitch-response-seal: 3e1b.07\r\n\
         content-length: 5\r\n\r\nother"
    )
}

impl Script {
    fn act(&self, seen: &Seen) -> Act {
        let mut state = self.state.borrow_mut();
        let was_used = !state.used.insert(seen.connection);
        let Some(rejected) = state.rejected else {
            state.rejected = Some(seen.connection);
            let id = seen.header(REQUEST_ID).unwrap_or_default();
            let headers = vec![
                (REQUEST_ID, id.to_owned()),
                ("bluebellswitch-not-executed", "1".to_owned()),
            ];
            return Act::Answer(503, headers, "".into());
        };
        let is_candidate = match self.on {
            On::Rejected => rejected == seen.connection,
            On::Used => was_used,
        };
        state.later += usize::from(is_candidate);
        let act = whole(seen, "run");
        match is_candidate && state.later == self.before {
            true => Act::Before((self.copy)("first").into(), Box::new(act)),
            false => act,
        }
    }
}

async fn start(copy: fn(&str) -> String, on: On, before: usize) -> Site {
    let script = Rc::new(Script {
        copy,
        on,
        before,
        state: RefCell::default(),
    });
    let site = Site::start(move |seen| {
        // The script is asked twice, at the head and once the body has come.
        match seen.body.is_empty() {
            true => whole(seen, "stock"),
            false => script.act(seen),
        }
    })
    .await;
    for number in 0..EARNING {
        let id = format!("earlier-{number}");
        let answer = send(&site, "GET", "/view/x", &id, "").await;
        assert_eq!(answer.status, 200);
    }
    site
}

async fn send(site: &Site, method: &str, target: &str, id: &str, body: &'static str) -> Answer {
    let headers = [HOST, KEY, (REQUEST_ID, id)];
    let answer = site.front().send(method, target, &headers, body).await;
    answer.expect("an answer")
}

async fn issue(site: &Site, id: &str) -> Answer {
    send(site, "POST", "/issue/x", id, "body").await
}

/// How often requests with this id ran, beside those that were rejected.
fn runs(site: &Site, id: &str) -> usize {
    let seen = site.machines[1].server.seen();
    let issued = seen.iter().filter(|seen| seen.target == "/issue/x");
    issued
        .filter(|seen| seen.header(REQUEST_ID) == Some(id))
        .count()
}

/// Guards against a rejection that is taken for the response to the node's own retry: the
/// request would run twice.
#[test]
fn copy_of_a_rejection_before_the_response_to_the_retry() {
    run(async {
        let site = start(rejection, On::Rejected, 1).await;
        let answer = issue(&site, "first").await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"run"[..]));
        assert_eq!(runs(&site, "first"), 2, "one is rejected, one runs");
    });
}

/// Guards against a rejection that is taken, after others, for the response to a caller's
/// retry with the same id.
#[test]
fn copy_of_a_rejection_many_responses_later() {
    run(async {
        let site = start(rejection, On::Rejected, 20).await;
        assert_eq!(issue(&site, "first").await.status, 200);
        for number in 0..18 {
            let answer = issue(&site, &format!("other-{number}")).await;
            assert_eq!(answer.status, 200);
        }
        let before = runs(&site, "first");
        let answer = issue(&site, "first").await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"run"[..]));
        assert_eq!(runs(&site, "first"), before + 1);
    });
}

/// Guards against a rejection without an id that is taken for the response to another
/// request: the caller would be told that its request has not run.
#[test]
fn copy_of_a_rejection_without_an_id() {
    run(async {
        let site = start(without_id, On::Used, 1).await;
        assert_eq!(issue(&site, "first").await.status, 200);
        let answer = issue(&site, "second").await;
        assert_eq!(answer.status, 502);
        assert_eq!(runs(&site, "second"), 1);
        assert_eq!(issue(&site, "third").await.status, 200);
    });
}

/// Guards against the response to another request that is taken for that to a request
/// without an id.
#[test]
fn copy_before_the_response_to_a_request_without_an_id() {
    run(async {
        let site = start(response, On::Used, 2).await;
        assert_eq!(issue(&site, "first").await.status, 200);
        let front = site.front();
        let answer = front.send("POST", "/issue/x", &[HOST, KEY], "body").await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, &answer.body[..]), (200, &b"run"[..]));
    });
}

/// The upstream of a site that sends a response to `GET` or `HEAD`, and a copy of it as soon
/// as the head of a `POST` has come on the same connection.
async fn start_copying(copy: &'static str) -> Site {
    let used = Rc::new(RefCell::new(BTreeSet::new()));
    Site::start(move |seen| {
        let was_used = !used.borrow_mut().insert(seen.connection);
        let act = whole(seen, "stock");
        match seen.method == "POST" && seen.body.is_empty() && was_used {
            true => Act::Before(copy.into(), Box::new(act)),
            false => act,
        }
    })
    .await
}

/// Guards against a request body that is encoded wrongly once a late response to another
/// request has come.
#[test]
fn copy_while_a_request_body_is_sent() {
    run(async {
        let copy = "HTTP/1.1 204 No Content\r\nbluebellswitch-request-id: earlier\r\n\r\n";
        let site = start_copying(copy).await;
        let mut stream = TcpStream::connect(site.machines[0].node.addresses().callers)
            .await
            .expect("a connection");
        let head = format!(
            "POST /upload/x HTTP/1.1\r\nhost: {}\r\n{}: {}\r\n{REQUEST_ID}: upload\r\n\
             transfer-encoding: chunked\r\nconnection: close\r\n\r\n",
            HOST.1, KEY.0, KEY.1
        );
        let part = "x".repeat(PART);
        let chunk = format!("{PART:x}\r\n{part}\r\n");
        let first = format!("{head}{chunk}");
        stream.write_all(first.as_bytes()).await.expect("written");
        until("the copy has come", || async {
            let counts = site.machines[1].node.upstream_counts();
            counts.get(Counter::StrayAnswer) == 1
        })
        .await;
        let rest = format!("{chunk}0\r\n\r\n");
        stream.write_all(rest.as_bytes()).await.expect("written");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let seen = site.machines[1].server.seen();
        let upload = seen.iter().find(|seen| seen.target == "/upload/x");
        assert_eq!(upload.expect("an upload").body.len(), 2 * PART);
    });
}

/// Guards against a late response to `HEAD` whose length is taken for that of a body: what
/// follows it would be read as that body.
#[test]
fn copy_of_a_response_to_head() {
    run(async {
        let copy = "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: head\r\n\
                    bluebellswitch-response-seal: 3e1b.07\r\ncontent-length: 5\r\n\r\n";
        let site = start_copying(copy).await;
        let headers = [HOST, KEY, (REQUEST_ID, "head")];
        let answer = site.front().send("HEAD", "/view/x", &headers, "").await;
        assert_eq!(answer.expect("an answer").status, 200);
        let answer = issue(&site, "next").await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"stock"[..]));
    });
}
