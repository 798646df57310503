//! Answers to `HEAD` with a body without end.

use bluebellswitch::standin::upstream::Act;
use bytes::Bytes;

use crate::bench::{
    AUTH,
    Site,
    run,
    until, //
};

/// Bytes that an upstream may get rid of, with what the sockets hold.
const MAX_TAKEN: usize = 16 << 20;

/// Guards against an answer to `HEAD` that is waited for or read although it has a body
/// without end.
fn endless_answer_to_head(head: &'static str) {
    run(async move {
        let (first, then) = (
            Bytes::from_static(head.as_bytes()),
            Bytes::from(vec![b'x'; 4096]),
        );
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/a" => Act::whole("whole"),
            _ => Act::Endless(first.clone(), then.clone()),
        })
        .await;
        let caller = site.caller();
        let answer = caller.send("HEAD", "/endless", &[AUTH], Bytes::new()).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, answer.body.len()), (200, 0));
        until("its connection is closed", || site.upstream.open() <= 1).await;
        until("its slot is free", || {
            site.inner.load() == (0, 0, 0) && site.edge.load() == (0, 0, 0)
        })
        .await;
        let written = site.upstream.written();
        assert!(written < MAX_TAKEN, "{written} bytes");
        let next = caller.get("/a", &[AUTH]).await.expect("an answer");
        assert_eq!((next.status, &next.body[..]), (200, &b"whole"[..]));
    });
}

cases! { endless_answer_to_head:
    endless_answer_to_head_with_a_length =>
        ("HTTP/1.1 200 OK\r\ncontent-length: 1000000000000\r\n\r\n"),
    endless_answer_to_head_in_chunks =>
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1000000\r\n"),
    endless_answer_to_head_without_a_length => ("HTTP/1.1 200 OK\r\n\r\n"),
}
