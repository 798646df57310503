//! Requests that do not end, and answers of operators that are not read.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bluebellswitch::{
    metric::Counter,
    server::Addresses,
    standin::{
        caller::Caller,
        upstream::Act, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::bench::{
    AUTH,
    SECRET,
    Site,
    TOKEN,
    run,
    until, //
};

/// Bytes that a sender without end may get rid of, with what the sockets hold.
const MAX_TAKEN: usize = 16 << 20;
/// A request that is answered at once.
const REQUEST: &str = "GET /health HTTP/1.1\r\nhost: s\r\n\r\n";

/// Writes the first bytes, then the others until the connection ends. Returns the number
/// of bytes written.
async fn write_endlessly(address: SocketAddr, first: &str, then: &str) -> usize {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let piece = then.repeat((64 << 10) / then.len());
    let mut written = first.len();
    if stream.write_all(first.as_bytes()).await.is_err() {
        return written;
    }
    while written < 8 * MAX_TAKEN {
        let write = stream.write_all(piece.as_bytes());
        match tokio::time::timeout(Duration::from_secs(10), write).await {
            Ok(Ok(())) => written += piece.len(),
            Ok(Err(_)) => return written,
            Err(_) => panic!("the connection is open after {written} bytes"),
        }
    }
    written
}

/// Guards against operators' requests without end.
fn endless_request(first: &'static str, then: &'static str) {
    run(async move {
        let site = Site::with(r#"{ "head_time": "1s" }"#, SECRET, |_| Act::whole("ok")).await;
        let operators = site.edge.addresses().operators;
        let written = write_endlessly(operators, first, then).await;
        assert!(written < MAX_TAKEN, "{written} bytes");
        let operator = Caller::new(operators);
        let next = operator.get("/health", &[]).await.expect("an answer");
        assert_eq!(next.status, 200);
    });
}

cases! { endless_request:
    endless_operators_target => ("GET /", "x"),
    endless_operators_header => ("GET /health HTTP/1.1\r\nx: ", "x"),
    endless_operators_headers => ("GET /health HTTP/1.1\r\n", "x: y\r\n"),
    endless_operators_body =>
        ("GET /health HTTP/1.1\r\nhost: s\r\ncontent-length: 1000000000000\r\n\r\n", "x"),
    endless_operators_chunks =>
        ("POST /drain HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    endless_operators_chunk_extension =>
        ("POST /drain HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\n1;", "x"),
    endless_operators_requests => ("", "GET /health HTTP/1.1\r\nhost: s\r\n\r\n"),
}

/// Guards against a connection that is held for ever by the first bytes of a head.
fn unfinished_head(listener: fn(&Addresses) -> SocketAddr, before: &'static str) {
    run(async move {
        let site = Site::with(r#"{ "head_time": "1s" }"#, SECRET, |_| Act::whole("ok")).await;
        let address = listener(&site.edge.addresses());
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(before.as_bytes()).await.expect("written");
        let mut answer = vec![0; 4096];
        if !before.is_empty() {
            let count = stream.read(&mut answer).await.expect("an answer");
            assert!(answer[..count].starts_with(b"HTTP/1.1 "));
        }
        let trickle = async {
            while stream.write_all(b"G").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let ended = tokio::time::timeout(Duration::from_secs(10), trickle).await;
        assert!(ended.is_ok(), "the connection is open");
    });
}

cases! { unfinished_head:
    first_head_of_an_operator_in_single_bytes => (|at| at.operators, ""),
    second_head_of_an_operator_in_single_bytes => (|at| at.operators, REQUEST),
}

/// Guards against an operator who reads no answers and holds a connection for ever.
#[test]
fn operator_that_reads_nothing_is_disconnected() {
    run(async {
        let site = Site::start(|_| Act::whole("ok")).await;
        let address = site.edge.addresses().operators;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let requests = format!(
            "GET /metrics HTTP/1.1\r\nhost: s\r\nauthorization: Bearer {}\r\n\r\n",
            TOKEN
        )
        .repeat(100);
        let ask = async { while stream.write_all(requests.as_bytes()).await.is_ok() {} };
        let ended = tokio::time::timeout(Duration::from_secs(20), ask).await;
        assert!(ended.is_ok(), "the connection is open");
    });
}

/// Guards against idle connections of operators that take what callers need: they have
/// a limit of their own.
#[test]
fn connections_of_operators_are_bounded() {
    run(async {
        let site = Site::start(|_| Act::whole("ok")).await;
        let address = site.edge.addresses().operators;
        let mut idle = Vec::new();
        for _ in 0..400 {
            idle.push(TcpStream::connect(address).await.expect("a connection"));
        }
        until("the others are refused", || {
            site.edge.traffic().get(Counter::ConnectionLimit) > 0
        })
        .await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("an answer");
        assert_eq!(answer.status, 200);
    });
}
