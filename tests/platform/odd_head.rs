//! Heads of answers that are not HTTP/1.1, through two nodes. The cases are the table in
//! `docs/design/answers.md`.

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

fn request(method: &str, body: &str) -> String {
    let length = body.len().to_string();
    let headers = [
        HOST,
        KEY,
        ID,
        ("connection", "close"),
        ("content-length", &length),
    ];
    let headers = headers.map(|(name, value)| format!("{name}: {value}\r\n"));
    format!(
        "{method} /issue/odd HTTP/1.1\r\n{}\r\n{body}",
        headers.concat()
    )
}

/// Returns what the client gets for an order, an upload and a `HEAD` request that are
/// answered like this.
async fn received(answer: &str) -> Vec<Option<Received>> {
    let bytes = Bytes::from(answer.replace("SIGNED", SIGNED));
    let answer = Rc::new(Cell::new(bytes));
    let site = Site::start(move |seen: &Seen| match seen.target.as_str() {
        "/issue/odd" => {
            let bytes = answer.take();
            answer.set(bytes.clone());
            Act::Raw(bytes)
        }
        _ => whole(seen, "stock"),
    })
    .await;
    let address = site.machines[0].node.addresses().callers;
    let upload = "x".repeat(600_000);
    let mut received = Vec::new();
    for (method, body) in [("POST", ""), ("POST", &*upload), ("HEAD", "")] {
        received.push(exchange(address, &request(method, body), method).await);
    }
    received
}

/// Guards against an answer whose head is not HTTP and that reaches the client as a
/// server's answer.
fn refused(answer: &'static str) {
    run(async move {
        for received in received(answer).await {
            assert_eq!(received.map(|received| received.status), Some(502));
        }
    });
}

/// Guards against a head that is refused although it is HTTP, or read as another one.
fn taken(answer: &'static str, status: u16) {
    run(async move {
        let received = received(answer).await;
        for received in &received[..2] {
            let expected = Received {
                status,
                body: "stock".to_owned(),
            };
            assert_eq!(received.as_ref(), Some(&expected));
        }
        let of_head = received[2].as_ref().map(|received| received.status);
        assert_eq!(of_head, Some(status));
    });
}

cases! { refused:
    status_000 => ("HTTP/1.1 000 Odd\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_099 => ("HTTP/1.1 099 Odd\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_600 => ("HTTP/1.1 600 Odd\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_999 => ("HTTP/1.1 999 Odd\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_of_two_digits => ("HTTP/1.1 20 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_of_four_digits => ("HTTP/1.1 2000 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_with_a_sign => ("HTTP/1.1 +20 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    status_with_a_letter => ("HTTP/1.1 2x0 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    blanks_before_the_status => ("HTTP/1.1  200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    tab_in_the_status_line => ("HTTP/1.1\t200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    control_byte_in_the_reason => ("HTTP/1.1 200 O\u{1}K\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    version_2 => ("HTTP/2.0 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    version_in_lower_case => ("http/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    blank_in_a_name => ("HTTP/1.1 200 OK\r\nSIGNEDX Odd: a\r\ncontent-length: 5\r\n\r\nstock"),
    tab_in_a_name => ("HTTP/1.1 200 OK\r\nSIGNEDX\tOdd: a\r\ncontent-length: 5\r\n\r\nstock"),
    control_byte_in_a_name => ("HTTP/1.1 200 OK\r\nSIGNEDX\u{1}Odd: a\r\ncontent-length: 5\r\n\r\nstock"),
    byte_above_ascii_in_a_name => ("HTTP/1.1 200 OK\r\nSIGNEDXé: a\r\ncontent-length: 5\r\n\r\nstock"),
    blank_before_the_colon => ("HTTP/1.1 200 OK\r\nSIGNEDX-Odd : a\r\ncontent-length: 5\r\n\r\nstock"),
    blank_before_the_colon_of_a_length => ("HTTP/1.1 200 OK\r\nSIGNEDContent-Length : 5\r\n\r\nstock"),
    blank_in_the_name_of_a_length => ("HTTP/1.1 200 OK\r\nSIGNEDContent Length: 5\r\n\r\nstock"),
    blank_in_the_name_of_a_coding =>
        ("HTTP/1.1 200 OK\r\nSIGNEDTransfer Encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n"),
    empty_name => ("HTTP/1.1 200 OK\r\nSIGNED: a\r\ncontent-length: 5\r\n\r\nstock"),
    no_colon => ("HTTP/1.1 200 OK\r\nSIGNEDodd\r\ncontent-length: 5\r\n\r\nstock"),
    folded_field => ("HTTP/1.1 200 OK\r\nSIGNEDx-odd: a\r\n b\r\ncontent-length: 5\r\n\r\nstock"),
    blank_before_the_first_field => ("HTTP/1.1 200 OK\r\n x-odd: a\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    nul_in_a_value => ("HTTP/1.1 200 OK\r\nSIGNEDx-odd: a\0b\r\ncontent-length: 5\r\n\r\nstock"),
    carriage_return_in_a_value => ("HTTP/1.1 200 OK\r\nSIGNEDx-odd: a\rb\r\ncontent-length: 5\r\n\r\nstock"),
    control_byte_in_a_value => ("HTTP/1.1 200 OK\r\nSIGNEDx-odd: a\u{7f}b\r\ncontent-length: 5\r\n\r\nstock"),
    two_lengths => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\ncontent-length: 5\r\n\r\nstock"),
    two_different_lengths => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\ncontent-length: 3\r\n\r\nstock"),
    length_with_a_sign => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: +5\r\n\r\nstock"),
    negative_length => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: -5\r\n\r\nstock"),
    list_of_lengths => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5, 5\r\n\r\nstock"),
    length_in_hex => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 0x5\r\n\r\nstock"),
    length_without_a_number => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length:\r\n\r\nstock"),
    length_beside_chunks =>
        ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n"),
    chunks_beside_a_length =>
        ("HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n5\r\nstock\r\n0\r\n\r\n"),
    two_codings =>
        ("HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n"),
    list_of_codings =>
        ("HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: gzip, chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n"),
    unknown_coding => ("HTTP/1.1 200 OK\r\nSIGNEDtransfer-encoding: odd\r\n\r\nstock"),
    chunks_in_the_former_version =>
        ("HTTP/1.0 200 OK\r\nSIGNEDtransfer-encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n"),
    empty_line_first => ("\r\nHTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    bare_line_feed => ("HTTP/1.1 200 OK\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    bare_line_feeds => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\n\nstock"),
    switched_protocols => ("HTTP/1.1 101 Switching Protocols\r\nSIGNED\r\nstock"),
    odd_name_in_a_hint =>
        ("HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    length_in_a_hint =>
        ("HTTP/1.1 102 Processing\r\ncontent-length: 5\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    chunks_in_a_hint =>
        ("HTTP/1.1 103 Early Hints\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock"),
    no_head => ("stock and nothing else\r\n\r\n"),
}

cases! { taken:
    usual => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock", 200),
    highest_status => ("HTTP/1.1 599 Odd\r\nSIGNEDcontent-length: 5\r\n\r\nstock", 599),
    unknown_success => ("HTTP/1.1 299 Odd\r\nSIGNEDcontent-length: 5\r\n\r\nstock", 299),
    no_reason => ("HTTP/1.1 200 \r\nSIGNEDcontent-length: 5\r\n\r\nstock", 200),
    no_reason_nor_blank => ("HTTP/1.1 200\r\nSIGNEDcontent-length: 5\r\n\r\nstock", 200),
    blanks_around_a_value => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length: \t5 \r\n\r\nstock", 200),
    no_blank_before_a_value => ("HTTP/1.1 200 OK\r\nSIGNEDcontent-length:5\r\n\r\nstock", 200),
    empty_value => ("HTTP/1.1 200 OK\r\nSIGNEDx-odd:\r\ncontent-length: 5\r\n\r\nstock", 200),
    byte_above_ascii_in_a_value => ("HTTP/1.1 200 OK\r\nSIGNEDx-odd: é\r\ncontent-length: 5\r\n\r\nstock", 200),
    signs_in_a_name => ("HTTP/1.1 200 OK\r\nSIGNEDx!#$%&'*+-.^_`|~9: a\r\ncontent-length: 5\r\n\r\nstock", 200),
    until_close => ("HTTP/1.1 200 OK\r\nSIGNED\r\nstock", 200),
    former_version_until_close => ("HTTP/1.0 200 OK\r\nSIGNED\r\nstock", 200),
    chunks_in_capitals =>
        ("HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: CHUNKED\r\n\r\n5\r\nstock\r\n0\r\n\r\n", 200),
    hints_first =>
        ("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nSIGNEDcontent-length: 5\r\n\r\nstock", 200),
}
