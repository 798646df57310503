//! Bodies that break off, of announcements and of the store's responses.

use std::net::SocketAddr;

use bluebellswitch::{
    id::Revision,
    platform::store::Client,
    store::{
        Answer,
        Call,
        Store as _, //
    },
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

use crate::site::{
    HOST,
    ID,
    KEY,
    Site,
    pause,
    run,
    whole, //
};

/// Sends a part of a request, and closes the connection in order or by a reset.
async fn send_part(address: SocketAddr, part: &str, resets: bool) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(part.as_bytes()).await.expect("written");
    pause(50).await;
    if resets {
        stream.set_zero_linger().expect("a socket option");
        return;
    }
    stream.shutdown().await.expect("closed");
    let _ = stream.read(&mut [0; 512]).await;
}

/// Guards against a deregistration that breaks off and counts as one with an empty body.
fn is_no_departure(part: &'static str, resets: bool) {
    run(async move {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let machine = &site.machines[1];
        let address = machine.node.addresses().announcements.expect("a listener");
        let head = format!(
            "POST /api/Instances.Deregister/{} HTTP/1.1\r\nhost: a\r\n",
            machine.id
        );
        send_part(address, &format!("{head}{part}"), resets).await;
        pause(100).await;
        let answer = site.front().get("/view/x", &[HOST, KEY, ID]).await;
        assert_eq!(answer.expect("an answer").status, 200);
    });
}

cases! { is_no_departure:
    closed_before_the_body => ("content-length: 24\r\n\r\n", false),
    reset_before_the_body => ("content-length: 24\r\n\r\n", true),
    closed_before_the_first_chunk => ("transfer-encoding: chunked\r\n\r\n", false),
    reset_before_the_first_chunk => ("transfer-encoding: chunked\r\n\r\n", true),
    closed_after_a_whole_object => ("content-length: 24\r\n\r\n{}", false),
    reset_after_a_whole_object => ("content-length: 24\r\n\r\n{}", true),
    malformed_chunk => ("transfer-encoding: chunked\r\n\r\nodd\r\n", false),
    malformed_chunk_after_a_whole_object =>
        ("transfer-encoding: chunked\r\n\r\n2\r\n{}\r\nodd\r\n", false),
}

/// Guards against a response of the store that breaks off and counts as whole, because the
/// part is valid JSON.
fn is_lost(head: &'static str, answer: Answer) {
    run(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let client = Client::new(listener.local_addr().expect("an address"));
        actix_rt::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let _ = stream.read(&mut [0; 4096]).await;
                let response = format!("HTTP/1.1 200 OK\r\n{head}\r\n{{\"revision\":3}}");
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
        let (key, value, lease) = ("n/0".to_owned(), "x".to_owned(), None);
        assert_eq!(client.call(Call::Put { key, value, lease }).await, answer);
    });
}

cases! { is_lost:
    short_of_its_length => ("content-length: 16\r\n", Answer::Lost),
    without_its_last_chunk => ("transfer-encoding: chunked\r\n", Answer::Lost),
    of_its_length => ("content-length: 14\r\n", Answer::Swapped(Revision(3))),
}
