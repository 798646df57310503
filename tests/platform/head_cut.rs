//! Answers whose head breaks off, through two nodes.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::standin::upstream::{
    Act,
    Seen, //
};
use bytes::Bytes;

use crate::{
    received::{
        Received,
        exchange, //
    },
    site::{
        HOST,
        ID,
        KEY,
        Site,
        run,
        whole, //
    },
};

/// The headers with which a server signs its answer.
const SIGNED: &str =
    "bluebellswitch-request-id: 9c41d07b\r\nbluebellswitch-response-seal: 3e1b.07\r\n";

fn request(method: &str) -> String {
    let headers = [
        HOST,
        KEY,
        ID,
        ("connection", "close"),
        ("content-length", "0"),
    ];
    let headers = headers.map(|(name, value)| format!("{name}: {value}\r\n"));
    format!("{method} /issue/cut HTTP/1.1\r\n{}\r\n", headers.concat())
}

/// A site whose server answers with what the cell holds, and then closes the connection
/// or resets it.
async fn site(answer: Rc<Cell<Bytes>>, resets: Rc<Cell<bool>>) -> Site {
    Site::start(move |seen: &Seen| match seen.target.as_str() {
        "/issue/cut" => {
            let bytes = answer.take();
            answer.set(bytes.clone());
            match resets.get() {
                true => Act::Before(bytes, Box::new(Act::Close(true))),
                false => Act::Raw(bytes),
            }
        }
        _ => whole(seen, "stock"),
    })
    .await
}

/// Guards against a head that breaks off and reaches the client as a whole answer.
fn cut(
    method: &'static str,
    start: &'static str,
    body: &'static str,
    expected: (u16, &'static str),
) {
    run(async move {
        let head = start.replace("SIGNED", SIGNED);
        let answer: Rc<Cell<Bytes>> = Rc::default();
        let resets: Rc<Cell<bool>> = Rc::default();
        let site = site(answer.clone(), resets.clone()).await;
        let address = site.machines[0].node.addresses().callers;
        let request = request(method);
        for at in 0..head.len() {
            answer.set(Bytes::copy_from_slice(&head.as_bytes()[..at]));
            resets.set(at % 2 == 1);
            let received = exchange(address, &request, method).await;
            let status = received.map(|received| received.status);
            assert_eq!(status, Some(502), "cut after {:?}", &head[..at]);
        }
        answer.set(format!("{head}{body}").into());
        resets.set(false);
        let received = exchange(address, &request, method).await;
        let (status, body) = expected;
        let expected = Received {
            status,
            body: body.into(),
        };
        assert_eq!(received, Some(expected));
    });
}

cases! { cut:
    length => ("POST", "HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\n", "stock", (200, "stock")),
    length_first => ("POST", "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nSIGNED\r\n", "stock", (200, "stock")),
    chunks => ("POST", "HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: chunked\r\n\r\n",
        "5\r\nstock\r\n0\r\n\r\n", (200, "stock")),
    until_close => ("POST", "HTTP/1.1 200 OK\r\nSIGNED\r\n", "stock", (200, "stock")),
    no_content => ("POST", "HTTP/1.1 204 No Content\r\nSIGNED\r\n", "", (204, "")),
    not_modified => ("POST", "HTTP/1.1 304 Not Modified\r\nSIGNED\r\n", "", (304, "")),
    of_head => ("HEAD", "HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\n", "", (200, "")),
    after_a_hint => ("POST",
        "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\n",
        "stock", (200, "stock")),
    failure => ("POST", "HTTP/1.1 500 Oops\r\nSIGNEDcontent-length: 5\r\n\r\n", "stock", (500, "stock")),
}

/// Guards against an answer that loses its body, as its head announces one in a way that the
/// codec does not follow.
fn body(answer: &'static str, expected: Option<(u16, &'static str)>) {
    run(async move {
        let answer = answer.replace("SIGNED", SIGNED);
        let answer = Rc::new(Cell::new(Bytes::from(answer)));
        let site = site(answer, Rc::default()).await;
        let address = site.machines[0].node.addresses().callers;
        let received = exchange(address, &request("POST"), "POST").await;
        let received = received.expect("a whole answer");
        match expected {
            Some((status, body)) => {
                let received = (received.status, &received.body[..]);
                assert_eq!(received, (status, body));
            }
            None => assert_eq!(received.status, 502),
        }
    });
}

cases! { body:
    identity_coding => ("HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: identity\r\n\r\nstock", Some((200, "stock"))),
    identity_coding_and_length => (
        "HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: identity\r\ncontent-length: 5\r\n\r\nstock",
        Some((200, "stock"))),
    offered_upgrade => (
        "HTTP/1.1 200 OK\r\nSIGNEDupgrade: websocket\r\ncontent-length: 5\r\n\r\nstock", None),
    offered_upgrade_in_chunks => (
        "HTTP/1.1 200 OK\r\nSIGNEDupgrade: websocket\r\ntransfer-encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n",
        Some((200, "stock"))),
    offered_upgrade_until_close => (
        "HTTP/1.1 200 OK\r\nSIGNEDupgrade: websocket\r\n\r\nstock", Some((200, "stock"))),
    former_version => ("HTTP/1.0 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock", Some((200, "stock"))),
    former_version_empty => ("HTTP/1.0 200 OK\r\nSIGNEDcontent-length: 0\r\n\r\n", Some((200, ""))),
    empty => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 0\r\n\r\n", Some((200, ""))),
}
