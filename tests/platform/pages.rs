//! Listings of the store without end.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc, //
};

use bluebellswitch::{
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

use crate::site::run;

/// Bytes of a listing that may be read, with what the sockets hold.
const MAX_TAKEN: usize = 32 << 20;

/// A store whose every page is followed by another one.
#[derive(Clone, Default)]
struct Pages {
    count: Rc<Cell<usize>>,
    written: Rc<Cell<usize>>,
}

impl Pages {
    async fn start(&self, row_bytes: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let pages = self.clone();
        let value = "AAAA".repeat(row_bytes / 4);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                pages.serve(stream, &value).await;
            }
        });
        address
    }

    async fn serve(&self, mut stream: TcpStream, value: &str) {
        let mut request = vec![0; 4096];
        let _ = stream.read(&mut request).await;
        let count = self.count.get() + 1;
        self.count.set(count);
        let body = format!(
            r#"{{"items":[{{"key":"a/{count:06}","value":"{value}","revision":1}}],"has_more":true,"at":9}}"#
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let page = head + &body;
        if stream.write_all(page.as_bytes()).await.is_ok() {
            self.written.set(self.written.get() + page.len());
        }
    }
}

/// Guards against a listing that is kept while page after page comes: each page was
/// bounded, and their number, but not their sum.
#[test]
fn listing_without_end_is_given_up() {
    run(async {
        let pages = Pages::default();
        let address = pages.start(3 << 20).await;
        let call = Call::Read {
            prefix: "a/".to_owned(),
        };
        assert_eq!(Client::new(address).call(call).await, Answer::Lost);
        let (count, written) = (pages.count.get(), pages.written.get());
        assert!(written < MAX_TAKEN, "{written} bytes on {count} pages");
    });
}

/// Guards against an answer that is longer than any page.
#[test]
fn page_of_more_than_the_largest_size_is_not_read() {
    run(async {
        let pages = Pages::default();
        let address = pages.start(64 << 20).await;
        let call = Call::Read {
            prefix: "a/".to_owned(),
        };
        assert_eq!(Client::new(address).call(call).await, Answer::Lost);
        assert_eq!(pages.written.get(), 0, "the page was read to its end");
    });
}
