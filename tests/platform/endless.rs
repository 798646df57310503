//! Servers that never stop sending, where answers echo ids and may end with their
//! connection.

use bluebellswitch::standin::upstream::Act;
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
    run,
    until,
    whole, //
};

/// Bytes that a server may get rid of before it is given up, with what sockets hold.
const MAX_TAKEN: usize = 16 << 20;
/// How long the client waits, in milliseconds.
const DEADLINE_MS: u64 = 500;

/// All bytes that a client of the first node gets until its connection ends. The request
/// asks for the connection to close.
async fn raw(site: &Site) -> String {
    let address = site.machines[0].node.addresses().callers;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = format!(
        "GET /view/endless HTTP/1.1\r\nhost: {}\r\n{}: {}\r\n{}: {}\r\nconnection: close\r\n\
         bluebellswitch-deadline-ms: {DEADLINE_MS}\r\n\r\n",
        HOST.1, KEY.0, KEY.1, ID.0, ID.1
    );
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut answer = String::new();
    let mut bytes = vec![0; 64 << 10];
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        if answer.len() < bytes.len() {
            answer.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
    }
    answer
}

/// The client hears this status, from a node that gives the server up in time. A relayed
/// answer has no end.
fn endless(first: &'static str, then: &'static str, status: &'static str, is_bounded: bool) {
    run(async move {
        let (first, piece) = (
            Bytes::from_static(first.as_bytes()),
            Bytes::from(then.repeat(64)),
        );
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/view/endless" => Act::Endless(first.clone(), piece.clone()),
            _ => whole(seen, "whole"),
        })
        .await;
        let answer = raw(&site).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer:.200}"
        );
        assert!(
            status != "200" || !answer.contains("\r\n0\r\n"),
            "the answer looks complete"
        );
        let server = &site.machines[1].server;
        until("its connections are closed", async || server.open() <= 1).await;
        assert!(
            !is_bounded || server.written() < MAX_TAKEN,
            "{} bytes",
            server.written()
        );
        let next = site.call("GET", "/view/a", "").await;
        assert_eq!((next.status, &next.body[..]), (200, &b"whole"[..]));
    });
}

const STRAY: &str = "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: another\r\n\
    bluebellswitch-response-seal: 3e1b.07\r\ncontent-length: 2\r\n\r\nno";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: 9c41d07b\r\n\
    bluebellswitch-response-seal: 3e1b.07\r\n\r\n";
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    bluebellswitch-request-id: 9c41d07b\r\nbluebellswitch-not-executed: 1\r\n\
    transfer-encoding: chunked\r\n\r\n";
const REJECTION_UNTIL_CLOSE: &str = "HTTP/1.1 503 Service Unavailable\r\n\
    bluebellswitch-request-id: 9c41d07b\r\nbluebellswitch-not-executed: 1\r\n\r\n";

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: 9c41d07b\r\n\
    bluebellswitch-response-seal: 3e1b.07\r\ntransfer-encoding: chunked\r\n\r\n";

/// A chunk of one byte with a chunk extension of this length.
fn extended_chunk(extension: usize) -> &'static str {
    String::leak(format!("1;{}\r\nx\r\n", "p".repeat(extension)))
}

cases! { endless:
    endless_extensions_of_small_chunks => (CHUNKED, extended_chunk(32_000), "502", true),
    endless_short_extensions_of_small_chunks => (CHUNKED, extended_chunk(200), "502", true),
    endless_extensions_of_a_rejection => (REJECTION, extended_chunk(32_000), "503", true),
    endless_answers_to_other_requests => ("", STRAY, "502", true),
    endless_body_without_a_length => (UNTIL_CLOSE, "more", "200", false),
    endless_rejection => (REJECTION, "4\r\nmore\r\n", "503", false),
    endless_rejection_without_a_length => (REJECTION_UNTIL_CLOSE, "more", "503", false),
    endless_chunk_size_of_a_rejection => (REJECTION, "0", "503", false),
}
