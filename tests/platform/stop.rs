//! What a stopping node takes on, and how it answers what cannot end in time.

use std::{
    future::Future,
    ops::Range,
    rc::Rc, //
};

use bluebellswitch::{
    server::{
        Server,
        Stop, //
    },
    standin::{
        caller::{
            Answer,
            Caller, //
        },
        upstream::{
            Act,
            Seen,
            Upstream, //
        },
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Notify,
};

use crate::site::{
    HOST,
    ID,
    KEY,
    Site,
    pause,
    run,
    whole, //
};

/// Number of the refusal of a request that a stopping node does not take.
const LEAVING: u64 = 2008;
/// Numbers of the refusals of requests that have not run, and of those that may have.
const NOT_RUN: Range<u64> = 2000..3000;
const MAY_HAVE_RUN: Range<u64> = 3000..4000;
/// From this time after the start of a drain, requests of callers are refused.
const CLOSED_MS: u64 = 3100;

/// Answers reads at once, and neither orders nor those that are held.
fn answer_short(seen: &Seen) -> Act {
    let is_read = seen.target.starts_with("/view/") || seen.target.starts_with("/check/");
    let is_short = is_read && !seen.target.starts_with("/check/held/");
    match is_short {
        true => whole(seen, "whole"),
        false => Act::Hold(Rc::new(Notify::new()), Box::new(whole(seen, "whole"))),
    }
}

fn has_seen(server: &Upstream, target: &str) -> bool {
    server.seen().iter().any(|seen| seen.target == target)
}

fn result(answer: &Answer) -> (u16, Option<u64>) {
    (answer.status, answer.code())
}

async fn post(caller: &Caller, target: &str) -> Answer {
    let sent = caller.send("POST", target, &[HOST, KEY, ID], "order".to_owned());
    sent.await.expect("an answer")
}

/// Runs a task while a node stops.
async fn while_stopping<T>(node: Server, task: impl Future<Output = T>) -> (T, Stop) {
    tokio::join!(task, node.wait())
}

/// Guards against a request of a caller that is taken when nothing new can end any more,
/// because its route needs no key, and is cut while it runs.
#[test]
fn a_late_request_is_refused_also_without_a_key() {
    run(async {
        let site = Site::start(answer_short).await;
        site.machines[0].node.drain();
        pause(CLOSED_MS).await;
        for (target, headers) in [
            ("/check/late", &[HOST, ID][..]),
            ("/view/late", &[HOST, KEY, ID][..]),
        ] {
            let answer = site.front().get(target, headers).await.expect("an answer");
            assert_eq!(result(&answer), (503, Some(LEAVING)), "{target}");
            assert!(!has_seen(&site.machines[1].server, target), "{target}");
        }
    });
}

/// Guards against a request that is taken by a stopping node, although it has more time
/// than the node, and is cut while it runs.
#[test]
fn a_request_that_may_outlast_the_node_is_refused_at_once() {
    run(async {
        let mut site = Site::start(answer_short).await;
        let caller = site.front();
        let node = site.machines.remove(0).node;
        node.drain();
        let calls = async {
            pause(1000).await;
            let short = caller.get("/view/short", &[HOST, KEY, ID]).await;
            let long = post(&caller, "/issue/long").await;
            (result(&long), short.expect("an answer").status)
        };
        let ((long, short), stop) = while_stopping(node, calls).await;
        assert_eq!(long, (503, Some(LEAVING)));
        assert_eq!(short, 200);
        assert_eq!(stop, Stop::Clean);
        assert!(!has_seen(&site.machines[0].server, "/issue/long"));
    });
}

/// Guards against a request that is passed on by a stopping node when its body is
/// complete, although too little time is left by then.
#[test]
fn a_request_whose_body_ends_too_late_is_refused() {
    run(async {
        let mut site = Site::start(answer_short).await;
        let address = site.machines[0].node.addresses().callers;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let head = format!(
            "POST /issue/upload HTTP/1.1\r\nhost: {}\r\n{}: {}\r\n{}: {}\r\n\
             content-length: 5\r\n\r\norde",
            HOST.1, KEY.0, KEY.1, ID.0, ID.1
        );
        stream.write_all(head.as_bytes()).await.expect("sent");
        let node = site.machines.remove(0).node;
        node.drain();
        let upload = async {
            pause(1500).await;
            stream.write_all(b"r").await.expect("sent");
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.expect("an answer");
            String::from_utf8_lossy(&answer).into_owned()
        };
        let (status, stop) = while_stopping(node, upload).await;
        assert_eq!(status, "HTTP/1.1 503");
        assert_eq!(stop, Stop::Clean);
        assert!(!has_seen(&site.machines[0].server, "/issue/upload"));
    });
}

/// Guards against requests that never ran, but are answered as if they might have,
/// because they still wait for a slot of their server when the node stops.
#[test]
fn at_the_end_requests_that_never_ran_are_refused_as_not_run() {
    run(async {
        let mut site = Site::start(answer_short).await;
        let caller = Rc::new(site.front());
        for _ in 0..4 {
            let answer = caller.get("/check/short", &[HOST, ID]).await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
        let call = |number: usize| {
            let (caller, target) = (caller.clone(), format!("/check/held/{number}"));
            actix_rt::spawn(async move {
                let answer = caller.get(&target, &[HOST, ID]).await;
                (answer.expect("an answer").code(), target)
            })
        };
        let node = site.machines.remove(0).node;
        node.drain();
        pause(2500).await;
        let calls: Vec<_> = (0..10).map(call).collect();
        assert_eq!(node.wait().await, Stop::Cut);
        let server = &site.machines[0].server;
        let mut not_run = 0;
        for call in calls {
            let (code, target) = call.await.expect("an answer");
            let code = code.expect("a refusal");
            let has_run = has_seen(server, &target);
            assert_eq!(MAY_HAVE_RUN.contains(&code), has_run, "{target}: {code}");
            assert_eq!(NOT_RUN.contains(&code), !has_run, "{target}: {code}");
            not_run += usize::from(!has_run);
        }
        assert!((1..10).contains(&not_run), "{not_run}");
    });
}
