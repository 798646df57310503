//! Upstreams that never stop sending.

use bluebellswitch::{
    inbound::End,
    standin::upstream::Act, //
};
use bytes::Bytes;

use crate::bench::{
    AUTH,
    Site,
    run,
    until, //
};

/// Bytes that an upstream may get rid of: what is read before it is given up, and what
/// the sockets in between hold.
const MAX_TAKEN: usize = 16 << 20;
/// Bytes of one write.
const PIECE: usize = 4096;

async fn start(first: &'static str, then: &str) -> Site {
    let (first, then) = (
        Bytes::from_static(first.as_bytes()),
        Bytes::from(then.repeat((PIECE / then.len()).max(1))),
    );
    Site::start(move |seen| match seen.target.as_str() {
        "/a" => Act::whole("whole"),
        _ => Act::Endless(first.clone(), then.clone()),
    })
    .await
}

/// A chunk of one byte with a chunk extension of this length.
fn extended_chunk(extension: usize) -> &'static str {
    String::leak(format!("1;{}\r\nx\r\n", "p".repeat(extension)))
}

/// The slot and the connection are free, and the next request is served.
async fn is_unharmed(site: &Site) {
    until("its connection is closed", || site.upstream.open() <= 1).await;
    until("its slot is free", || {
        site.inner.load() == (0, 0, 0) && site.edge.load() == (0, 0, 0)
    })
    .await;
    assert!(
        site.upstream.written() < MAX_TAKEN,
        "{} bytes",
        site.upstream.written()
    );
    let next = site.caller().get("/a", &[AUTH]).await.expect("an answer");
    assert_eq!((next.status, &next.body[..]), (200, &b"whole"[..]));
}

/// Bytes that are no answer are given up long before the deadline of 50 s.
fn no_answer(first: &'static str, then: &'static str) {
    run(async move {
        let site = start(first, then).await;
        let caller = site.caller();
        let answer = caller.send("POST", "/endless", &[AUTH], Bytes::new());
        match answer.await {
            Err(End::Cut) => {}
            Ok(answer) => assert_eq!(answer.code(), Some(3003), "{answer:?}"),
            Err(other) => panic!("{other:?}"),
        }
        is_unharmed(&site).await;
    });
}

cases! { no_answer:
    endless_status_line => ("", "x"),
    endless_header => ("HTTP/1.1 200 OK\r\nx: ", "x"),
    endless_headers => ("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    endless_informational_answers => ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    endless_zeros_of_a_chunk_size =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
    endless_chunk_extension =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", "x"),
    endless_chunk_extension_after_data =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n5;", "x"),
    endless_extensions_of_small_chunks =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", extended_chunk(32_000)),
    endless_short_extensions_of_small_chunks =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", extended_chunk(200)),
    endless_trailers =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "x: y\r\n"),
    endless_body_without_a_length => ("HTTP/1.1 200 OK\r\n\r\n", "x"),
}

/// A body that goes on is relayed until the deadline, and must not look complete then.
#[test]
fn endless_body_ends_incomplete_at_the_deadline() {
    run(async {
        let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let site = start(first, "4\r\nbody\r\n").await;
        let answer = site.caller().get("/brief/endless", &[AUTH]).await;
        assert_eq!(answer.err(), Some(End::Cut));
        until("its connection is closed", || site.upstream.open() <= 1).await;
        until("its slot is free", || {
            site.inner.load() == (0, 0, 0) && site.edge.load() == (0, 0, 0)
        })
        .await;
    });
}

/// Bytes after a complete answer belong to no request.
#[test]
fn endless_bytes_after_an_answer_are_not_read() {
    run(async {
        let site = start(
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\n",
        )
        .await;
        let answer = site
            .caller()
            .get("/endless", &[AUTH])
            .await
            .expect("an answer");
        assert_eq!((answer.status, &answer.body[..]), (200, &b"ok"[..]));
        is_unharmed(&site).await;
    });
}

/// Chunks of one byte have more framing than content, and are whole all the same.
#[test]
fn honest_chunks_of_one_byte_are_relayed() {
    const CHUNKS: usize = 200_000;
    run(async {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunks = "1\r\nx\r\n".repeat(CHUNKS);
        let answer = Bytes::from(format!("{head}{chunks}0\r\n\r\n"));
        let site = Site::start(move |_| Act::Raw(answer.clone())).await;
        let caller = site.caller();
        let answer = caller.get("/chunks", &[AUTH]).await.expect("an answer");
        assert_eq!((answer.status, answer.body.len()), (200, CHUNKS));
        assert!(answer.body.iter().all(|byte| *byte == b'x'));
    });
}
