//! Uploads that their server answers and does not read, through two nodes.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::{
    clock::Span,
    standin::upstream::{
        Act,
        Seen, //
    },
};
use bytes::Bytes;

use crate::{
    received::exchange,
    site::{
        HOST,
        ID,
        KEY,
        Site,
        run,
        whole, //
    },
};

/// Uploads of one case. The reset meets the writer of the upload in some of them.
const UPLOADS: u64 = 60;
/// Delays of the reset after the answer, in milliseconds.
const DELAYS: [u64; 4] = [0, 5, 20, 60];

const SIGNED: &str =
    "bluebellswitch-request-id: 9c41d07b\r\nbluebellswitch-response-seal: 3e1b.07\r\n";

fn upload(bytes: usize) -> String {
    let length = bytes.to_string();
    let headers = [
        HOST,
        KEY,
        ID,
        ("connection", "close"),
        ("content-length", &length),
    ];
    let headers = headers.map(|(name, value)| format!("{name}: {value}\r\n"));
    let body = "x".repeat(bytes);
    format!(
        "POST /upload/cut HTTP/1.1\r\n{}\r\n{body}",
        headers.concat()
    )
}

/// Guards against a part of an answer that the client gets as whole, as the connection
/// was reset while the upload was being sent.
fn is_not_whole(bytes: usize, head: &'static str) {
    run(async move {
        let number = Cell::new(0);
        let answer = format!("HTTP/1.1 200 OK\r\n{SIGNED}{head}\r\n{}", "a".repeat(200));
        let site = Site::start(move |seen: &Seen| match seen.target.as_str() {
            "/upload/cut" => {
                let delay = DELAYS[number.get() % DELAYS.len()];
                number.set(number.get() + 1);
                Act::Abandon(Bytes::from(answer.clone()), Span::from_ms(delay))
            }
            _ => whole(seen, "stock"),
        })
        .await;
        let address = site.machines[0].node.addresses().callers;
        let request = upload(bytes);
        for _ in 0..UPLOADS {
            let received = exchange(address, &request, "POST").await;
            let is_whole = received.is_some_and(|received| received.status == 200);
            assert!(!is_whole, "a part of an answer is taken as whole");
        }
    });
}

cases! { is_not_whole:
    large_upload_without_a_length => (1_500_000, ""),
    small_upload_without_a_length => (180_000, ""),
    large_upload_with_a_length => (1_500_000, "content-length: 400\r\n"),
    large_upload_in_the_former_version => (1_500_000, "connection: close\r\n"),
}

/// Guards against an answer without a length that counts as cut, as it ended before the
/// server had read the upload.
#[test]
fn an_answer_before_the_end_of_the_upload_is_whole() {
    run(async {
        let answer = Rc::new(format!("HTTP/1.1 200 OK\r\n{SIGNED}\r\nstock"));
        let site = Site::start(move |seen: &Seen| match seen.target.as_str() {
            "/upload/cut" => Act::HalfClose(Bytes::from(answer.to_string())),
            _ => whole(seen, "stock"),
        })
        .await;
        let address = site.machines[0].node.addresses().callers;
        for bytes in [40_000, 180_000] {
            let received = exchange(address, &upload(bytes), "POST").await;
            let body = received.map(|received| (received.status, received.body));
            assert_eq!(body, Some((200, "stock".to_owned())), "{bytes} bytes");
        }
    });
}
