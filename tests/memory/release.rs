//! What an evicted account holds is released, whatever its holder waits for.

use bluebellswitch::{
    memory::Owner,
    standin::upstream::Act,
    unit::Size, //
};
use bytes::Bytes;
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

/// A limit under which all accounts are evicted.
const NO_MEMORY: Size = Size::kib(2);

/// Bytes that a server sends before it falls silent.
const FIRST_BYTES: usize = 200_000;

/// The head of a server's answer with a body of this length.
fn answer_head(length: u64) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}: {}\r\nbluebellswitch-response-seal: 3e1b.07\r\n\
         content-length: {length}\r\n\r\n",
        ID.0, ID.1
    )
}

/// A site whose servers answer requests to `/view/endless` so.
async fn start(act: Act) -> Site {
    Site::start(move |seen| match seen.target.as_str() {
        "/view/endless" => act.clone(),
        _ => whole(seen, "whole"),
    })
    .await
}

async fn request(site: &Site) -> TcpStream {
    let address = site.machines[0].node.addresses().callers;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "GET /view/endless HTTP/1.1\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n\r\n",
        HOST.0, HOST.1, KEY.0, KEY.1, ID.0, ID.1
    );
    stream.write_all(request.as_bytes()).await.expect("written");
    stream
}

/// Guards against a read buffer that outlives its eviction, because the node beside the
/// server waits until it may send on.
#[test]
fn an_evicted_upstream_is_released_while_the_answer_waits_for_credit() {
    run(async {
        let piece = Bytes::from(vec![b'x'; 64 << 10]);
        let head = Bytes::from(answer_head(1_000_000_000_000));
        let site = start(Act::Endless(head, piece)).await;
        let _stream = request(&site).await;
        pause(500).await;
        let budgets = site.machines.iter().map(|machine| machine.node.memory());
        let inbound: Vec<_> = budgets
            .filter(|budget| budget.held(Owner::Callers) == 0)
            .collect();
        assert!(!inbound.is_empty());
        for budget in inbound {
            budget.set_limit(NO_MEMORY);
            until("the buffer is released", || async {
                budget.held(Owner::Upstream) == 0
            })
            .await;
        }
    });
}

/// Guards against a write buffer that outlives its eviction, because the server of the
/// answer is silent.
#[test]
fn an_evicted_response_is_released_while_the_upstream_is_silent() {
    run(async {
        let first = answer_head(1_000_000) + &"x".repeat(FIRST_BYTES);
        let site = start(Act::Before(first.into(), Box::new(Act::Silence))).await;
        let mut stream = request(&site).await;
        let mut buffer = vec![0; 64 << 10];
        let mut read = 0;
        while read < FIRST_BYTES {
            read += stream
                .read(&mut buffer)
                .await
                .expect("a part of the answer");
        }
        pause(300).await;
        let budget = site.machines[0].node.memory();
        budget.set_limit(NO_MEMORY);
        pause(1000).await;
        assert_eq!(budget.held(Owner::Upstream), 0);
    });
}
