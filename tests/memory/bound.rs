//! Callers and servers that fill the memory of a node.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use bluebellswitch::{
    memory::Owner,
    standin::upstream::Act, //
};
use bytes::Bytes;
use serde_json::json;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::site::{
    HOST,
    ID,
    KEY,
    Site,
    pause,
    run,
    until,
    whole, //
};

/// Connections of callers that send bodies without an end.
const UPLOADS: usize = 3000;
/// Connections of callers that read nothing of an endless answer. They leave slots of the
/// server free.
const SLOW_READERS: usize = 4;
/// Bytes of a body that one caller sends: all of them together are several times the
/// budget.
const SENT: usize = 40_000;
/// What the accounts may exceed the budget by, in percent, while one of them is being
/// given up.
const OVERSHOOT: usize = 5;

fn head(method: &str, target: &str, more: &str) -> String {
    format!(
        "{method} {target} HTTP/1.1\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n{more}\r\n",
        HOST.0, HOST.1, KEY.0, KEY.1, ID.0, ID.1
    )
}

/// Sends bytes, and returns all that comes back until the connection ends.
async fn exchange(mut stream: TcpStream, bytes: &[u8]) -> String {
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Uploads that do not end: plain, and in chunks of one byte with long extensions.
fn uploads() -> [Bytes; 2] {
    let chunk = format!("1;{}\r\nx\r\n", "p".repeat(100));
    let chunks = chunk.repeat(SENT / chunk.len());
    [
        ("content-length: 500000\r\n", "x".repeat(SENT)),
        ("transfer-encoding: chunked\r\n", chunks),
    ]
    .map(|(framing, body)| Bytes::from(head("POST", "/upload/a", framing) + &body))
}

/// Thousands of callers fill the memory of a node together with readers of endless
/// answers. Those that hold most are refused, and all other requests are served.
#[test]
fn callers_that_fill_the_memory_pay_alone() {
    run(async {
        let endless = format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\nbluebellswitch-response-seal: 3e1b.07\r\n\
             content-length: 1000000000000\r\n\r\n",
            ID.0, ID.1
        );
        let endless = Bytes::from(endless);
        let piece = Bytes::from(vec![b'x'; 64 << 10]);
        let limits = json!({ "connections": 4 * UPLOADS, "memory": "32MiB" });
        let site = Site::with_limits(limits, move |seen| match seen.target.as_str() {
            "/view/endless" => Act::Endless(endless.clone(), piece.clone()),
            _ => whole(seen, "whole"),
        })
        .await;
        let front = site.front();
        let served = Rc::new(Cell::new(0));
        let neighbour = actix_rt::spawn({
            let served = served.clone();
            async move {
                loop {
                    let answer = front.get("/view/a", &[HOST, KEY, ID]).await;
                    let answer = answer.expect("an answer");
                    assert_eq!((answer.status, &answer.body[..]), (200, &b"whole"[..]));
                    served.set(served.get() + 1);
                    pause(5).await;
                }
            }
        });
        let budgets: Vec<_> = site.machines.iter().map(|m| m.node.memory()).collect();
        let address = site.machines[0].node.addresses().callers;

        let mut slow = Vec::new();
        for _ in 0..SLOW_READERS {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let request = head("GET", "/view/endless", "");
            stream.write_all(request.as_bytes()).await.expect("written");
            slow.push(stream);
        }
        let refused = Rc::new(RefCell::new(Vec::new()));
        let kinds = uploads().into_iter().cycle();
        let mut uploads = Vec::new();
        for kind in kinds.take(UPLOADS) {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let refused = refused.clone();
            uploads.push(actix_rt::spawn(async move {
                let answer = exchange(stream, &kind).await;
                refused.borrow_mut().push(answer);
            }));
        }
        until("evictions", async || budgets[0].evicted(Owner::Callers) > 0).await;
        let before = served.get();
        until("others are served", async || {
            served.get() > before + 100 || neighbour.is_finished()
        })
        .await;
        assert!(!neighbour.is_finished(), "another caller was not served");
        neighbour.abort();
        for (node, budget) in ["ingress", "inbound"].iter().zip(&budgets) {
            let evicted = Owner::ALL.map(|owner| budget.evicted(owner));
            println!(
                "{node}: allowed {}, peak {}, held {}, evicted {evicted:?}",
                budget.allowed(),
                budget.peak(),
                budget.total()
            );
            let bound = budget.allowed() / 100 * (100 + OVERSHOOT);
            assert!(budget.peak() <= bound, "{} bytes", budget.peak());
        }
        let answers = refused.take();
        let is_not_run = |answer: &&String| answer.contains("2021");
        let not_run = answers.iter().filter(is_not_run).count();
        println!("served {}, refused {not_run}", served.get());
        assert!(not_run > 0, "{:?}", answers.first());
        uploads.iter().for_each(|upload| upload.abort());
        drop(slow);
        until("the memory is given back", async || {
            budgets.iter().all(|budget| budget.total() < 1 << 20)
        })
        .await;
    });
}

/// A head without an end is refused near the limit on headers, which is 16 KiB, and not
/// where the codec gives it up.
#[test]
fn an_unfinished_head_is_bounded() {
    run(async {
        let site = Site::start(|seen| whole(seen, "whole")).await;
        let address = site.machines[0].node.addresses().callers;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let field = format!("x: {}", "y".repeat(30_000));
        let unfinished = format!("GET /view/a HTTP/1.1\r\nhost: {}\r\n{field}", HOST.1);
        let mut answer = vec![0; 4096];
        let answered = async {
            stream
                .write_all(unfinished.as_bytes())
                .await
                .expect("written");
            stream.read(&mut answer).await.expect("an answer")
        };
        // Before the time for a head is over, which is 3 s.
        let answered = tokio::time::timeout(Duration::from_secs(2), answered).await;
        let count = answered.expect("refused in time");
        let answer = String::from_utf8_lossy(&answer[..count]);
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    });
}
