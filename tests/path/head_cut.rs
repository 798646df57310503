//! Answers whose head breaks off, on the product's own interface.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::standin::upstream::Act;
use bytes::Bytes;

use crate::{
    bench::{
        AUTH,
        Site,
        run, //
    },
    received::{
        Received,
        exchange, //
    },
};

fn request(method: &str) -> String {
    let (name, key) = AUTH;
    let fields = format!("host: s\r\nconnection: close\r\ncontent-length: 0\r\n{name}: {key}\r\n");
    format!("{method} /a HTTP/1.1\r\n{fields}\r\n")
}

/// Guards against a head that breaks off and reaches the caller as a whole answer.
fn cut(
    method: &'static str,
    head: &'static str,
    body: &'static str,
    expected: (u16, &'static str),
) {
    run(async move {
        let answer: Rc<Cell<&[u8]>> = Rc::default();
        let script = answer.clone();
        let site = Site::start(move |_| Act::Raw(Bytes::from_static(script.get()))).await;
        let address = site.edge.addresses().callers;
        let request = request(method);
        for at in 0..head.len() {
            answer.set(&head.as_bytes()[..at]);
            let received = exchange(address, &request, method).await;
            let status = received.map(|received| received.status);
            assert_eq!(status, Some(502), "cut after {:?}", &head[..at]);
        }
        answer.set([head, body].concat().leak().as_bytes());
        let received = exchange(address, &request, method).await;
        let (status, body) = expected;
        let body = body.into();
        assert_eq!(received, Some(Received { status, body }));
    });
}

cases! { cut:
    length => ("POST", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", "stock", (200, "stock")),
    chunks => ("POST", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "5\r\nstock\r\n0\r\n\r\n", (200, "stock")),
    no_content => ("POST", "HTTP/1.1 204 No Content\r\nx: y\r\n\r\n", "", (204, "")),
    not_modified => ("POST", "HTTP/1.1 304 Not Modified\r\nx: y\r\n\r\n", "", (304, "")),
    of_head => ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", "", (200, "")),
    after_a_hint => ("POST",
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
        "stock", (200, "stock")),
}

/// Guards against an answer that loses its body, as its head announces one in a way that the
/// codec does not follow.
fn body(answer: &'static str, expected: Option<&'static str>) {
    run(async move {
        let site = Site::start(move |_| Act::Raw(Bytes::from_static(answer.as_bytes()))).await;
        let address = site.edge.addresses().callers;
        let received = exchange(address, &request("POST"), "POST").await;
        let received = received.expect("a whole answer");
        match expected {
            Some(body) => assert_eq!((received.status, &received.body[..]), (200, body)),
            None => assert_eq!(received.status, 502),
        }
    });
}

cases! { body:
    identity_coding => ("HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nstock", None),
    offered_upgrade => ("HTTP/1.1 200 OK\r\nupgrade: websocket\r\ncontent-length: 5\r\n\r\nstock", None),
    former_version => ("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nstock", Some("stock")),
    former_version_empty => ("HTTP/1.0 200 OK\r\ncontent-length: 0\r\n\r\n", Some("")),
}
