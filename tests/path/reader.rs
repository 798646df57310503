//! Peers that read slowly, or stop in a frame.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bluebellswitch::{
    id::Version,
    metric::Counter,
    server::Server,
    standin::{
        caller::Caller,
        upstream::Act, //
    },
};
use bytes::Bytes;
use futures_util::future::join_all;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt,
        copy,
        copy_bidirectional, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
};

use crate::bench::{
    AUTH,
    Platform,
    SECRET,
    Site,
    node,
    run,
    settle,
    snapshot,
    text,
    until, //
};

/// The largest frame between nodes.
const FRAME: usize = 4 << 20;

/// Lets the inner node run many requests at a time, and makes it reachable through a
/// listener.
async fn through(site: &Site, slots: u32) -> (TcpListener, SocketAddr) {
    let mut roomy = snapshot();
    roomy.version = Version(2);
    for pool in &mut roomy.tables.pools {
        pool.slots = Some(slots);
    }
    let roomy = Rc::new(roomy);
    site.edge.adopt(roomy.clone());
    site.inner.adopt(roomy);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let link = site.inner.addresses().links;
    join(&site.edge, site, address);
    (listener, link)
}

/// Makes the inner node known to another one, at this address.
fn join(edge: &Server, site: &Site, link: SocketAddr) {
    let mut peer = site.inner.peer();
    peer.ready = true;
    peer.link = link;
    edge.join(peer);
}

/// Forwards a link. What the dialer sends is read slowly once told, and as usual again
/// once told a second time.
async fn slow_down(listener: TcpListener, to: SocketAddr, slow: Rc<Notify>, usual: Rc<Notify>) {
    let (mut near, _) = listener.accept().await.expect("a connection");
    let mut far = TcpStream::connect(to).await.expect("a connection");
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        () = slow.notified() => {}
    }
    let (mut near_read, mut near_write) = near.split();
    let (mut far_read, mut far_write) = far.split();
    let slowly = async {
        let mut bytes = vec![0; 1024];
        while let Ok(count @ 1..) = near_read.read(&mut bytes).await {
            if far_write.write_all(&bytes[..count]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = slowly => return,
        _ = copy(&mut far_read, &mut near_write) => return,
        () = usual.notified() => {}
    }
    let _ = copy_bidirectional(&mut near, &mut far).await;
}

/// Guards against a peer that reads slowly, for which a node queued frames without
/// bound. Its link is closed as if it had broken, and the next requests go over another.
#[test]
fn link_of_a_slow_reader_is_closed() {
    run(async {
        let site = Site::start(|_| Act::whole("whole")).await;
        let (listener, link) = through(&site, 4000).await;
        let (slow, usual) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        actix_rt::spawn(slow_down(listener, link, slow.clone(), usual));
        let caller = site.caller();
        caller.get("/before", &[AUTH]).await.expect("whole");
        slow.notify_one();
        let body = Bytes::from(vec![7; 200 << 10]);
        let keys: Vec<_> = (0..160).map(|n| format!("order-{n}")).collect();
        let requests = keys.iter().map(|key| {
            let headers = [AUTH, ("idempotency-key", key.as_str())];
            let (caller, body) = (&caller, body.clone());
            async move { caller.send("POST", "/a", &headers, body).await }
        });
        let closed = async {
            until("they are sent", || site.edge.load().1 > 0).await;
            join(&site.edge, &site, link);
            until("its link is closed", || {
                site.edge.traffic().get(Counter::LinkBroken) > 0
            })
            .await;
        };
        let (answers, ()) = tokio::join!(join_all(requests), closed);
        for answer in answers {
            let status = answer.expect("an answer").status;
            assert!([200, 502, 503].contains(&status), "{status}");
        }
        let next = caller.get("/after", &[AUTH]).await.expect("an answer");
        assert_eq!(next.status, 200);
    });
}

/// Guards against a slow link that is closed although its peer is well: bodies that are
/// streamed wait until the link has sent what it holds.
#[test]
fn streams_wait_for_a_slow_link() {
    run(async {
        let site = Site::start(|seen| Act::whole(seen.body.len().to_string())).await;
        let (listener, link) = through(&site, 4000).await;
        let (slow, usual) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        actix_rt::spawn(slow_down(listener, link, slow.clone(), usual.clone()));
        let caller = site.caller();
        caller.get("/before", &[AUTH]).await.expect("whole");
        slow.notify_one();
        let body = Bytes::from(vec![7; 600 << 10]);
        let requests = (0..100).map(|_| caller.send("POST", "/a", &[AUTH], body.clone()));
        let goes_on = async {
            until("they are sent", || site.edge.load().1 == 100).await;
            tokio::time::sleep(Duration::from_millis(500)).await;
            usual.notify_one();
        };
        let (answers, ()) = tokio::join!(join_all(requests), goes_on);
        let mut whole = 0;
        for answer in answers {
            let answer = answer.expect("an answer");
            match answer.status {
                200 => assert_eq!(&answer.body[..], b"614400"),
                status => assert_eq!(status, 503, "{answer:?}"),
            }
            whole += usize::from(answer.status == 200);
        }
        assert!(whole > 0, "none arrived");
        assert_eq!(site.edge.traffic().get(Counter::LinkBroken), 0);
    });
}

/// Forwards a link until told, then sends the listening node all but the last byte of a
/// frame of the largest size. Counts the connections that are opened and closed.
async fn stop_in_a_frame(
    listener: TcpListener,
    to: SocketAddr,
    begin: Rc<Notify>,
    [opened, closed]: [Rc<Cell<usize>>; 2],
) {
    let (mut near, _) = listener.accept().await.expect("a connection");
    opened.set(opened.get() + 1);
    let mut far = TcpStream::connect(to).await.expect("a connection");
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        () = begin.notified() => {}
    }
    // A masked binary message with a length of eight bytes.
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(FRAME as u64).to_be_bytes());
    frame.resize(frame.len() + 4 + FRAME - 1, 0);
    let _ = far.write_all(&frame).await;
    let mut bytes = [0; 1024];
    while let Ok(1..) = far.read(&mut bytes).await {}
    closed.set(closed.get() + 1);
}

/// Guards against links whose peers each stop within a frame of the largest size: what
/// is kept of all of them was bounded by their number alone.
#[test]
fn unfinished_frames_are_bounded_over_all_links() {
    const LINKS: usize = 20;
    run(async {
        let limits = r#"{ "memory": "64MiB" }"#;
        let site = Site::with(limits, SECRET, |_| Act::whole("whole")).await;
        let platform = Platform::default();
        let (opened, closed) = (Cell::new(0), Cell::new(0));
        let (opened, closed) = (Rc::new(opened), Rc::new(closed));
        let mut edges = Vec::new();
        for n in 0..LINKS {
            let settings = text(
                &format!("edge-{n}"),
                "front",
                site.upstream.address(),
                SECRET,
                "{}",
            );
            let edge = node(&settings, &platform).await;
            edge.adopt(Rc::new(snapshot()));
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let caller = Caller::new(edge.addresses().callers);
            settle(&caller).await;
            join(&edge, &site, listener.local_addr().expect("an address"));
            let begin = Rc::new(Notify::new());
            let to = site.inner.addresses().links;
            let link = stop_in_a_frame(
                listener,
                to,
                begin.clone(),
                [opened.clone(), closed.clone()],
            );
            actix_rt::spawn(link);
            let answer = caller.get("/a", &[AUTH]).await.expect("an answer");
            assert_eq!(answer.status, 200);
            edges.push((edge, begin));
        }
        assert_eq!(opened.get(), LINKS, "links that are forwarded");
        edges.iter().for_each(|(_, begin)| begin.notify_one());
        until("links are closed", || closed.get() >= LINKS / 2).await;
        assert!(site.inner.traffic().get(Counter::LinkOverrun) >= LINKS as u64 / 2);
        let next = site.caller().get("/a", &[AUTH]).await.expect("an answer");
        assert_eq!(next.status, 200);
    });
}
