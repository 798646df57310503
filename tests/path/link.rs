//! Links that break, and peers that have no right to one.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use actix_rt::task::JoinHandle;
use bluebellswitch::{
    id::Version,
    metric::Counter,
    standin::upstream::Act, //
};
use futures_util::future::join_all;
use tokio::{
    io::copy_bidirectional,
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    sync::Notify,
};

use crate::bench::{
    AUTH,
    SECRET,
    Site,
    raw,
    run,
    snapshot,
    until, //
};

/// Guards against an attempt that arrives over a link which was replaced: its sender has
/// sent the request again, so that it would run twice.
#[test]
fn attempt_on_a_replaced_link_does_not_run() {
    run(async {
        let site = Site::start(|_| Act::whole("whole")).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut peer = site.inner.peer();
        peer.ready = true;
        let direct = peer.clone();
        let link = std::mem::replace(&mut peer.link, listener.local_addr().expect("an address"));
        let (stalled, goes_on) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let forwarding = actix_rt::spawn(forward(listener, link, stalled.clone(), goes_on.clone()));
        site.edge.join(peer);
        let caller = site.caller();
        caller.get("/before", &[AUTH]).await.expect("whole");
        stalled.notify_one();
        let request = caller.get("/a", &[AUTH]);
        let replaced = async {
            until("it is sent", || site.edge.load().1 == 1).await;
            site.edge.join(direct);
            site.edge.cut_links();
        };
        let (answer, ()) = tokio::join!(request, replaced);
        assert_eq!(answer.expect("an answer").status, 200);
        goes_on.notify_one();
        until("the first link has ended", || forwarding.is_finished()).await;
        caller.get("/after", &[AUTH]).await.expect("whole");
        let seen = site.upstream.seen();
        assert_eq!(seen.iter().filter(|seen| seen.target == "/a").count(), 1);
    });
}

/// Requests under way at a time, and how often their link is cut.
const CALLERS: usize = 40;
const ROUNDS: usize = 5;

/// The link breaks while a request that must not run twice is running. Its
/// outcome is unknown, and the caller is told so; it does not run again.
#[test]
fn link_cut_after_the_send_is_unknown() {
    run(async {
        let never = Rc::new(Notify::new());
        let site =
            Site::start(move |_| Act::Hold(never.clone(), Box::new(Act::whole("late")))).await;
        let caller = site.caller();
        let request = caller.send("POST", "/a", &[AUTH], "charge");
        let cut = async {
            until("it runs", || !site.upstream.seen().is_empty()).await;
            site.edge.cut_links();
        };
        let (answer, ()) = tokio::join!(request, cut);
        let answer = answer.expect("a refusal");
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(body["verdict"], "unknown", "{body}");
        until("its work is ended", || site.upstream.open() == 0).await;
        assert_eq!(site.upstream.seen().len(), 1, "it ran once");
    });
}

/// Forwards one connection until it stalls. Both ends stay open, and what is sent
/// meanwhile is forwarded when it goes on.
async fn forward(listener: TcpListener, to: SocketAddr, stalled: Rc<Notify>, goes_on: Rc<Notify>) {
    let (mut near, _) = listener.accept().await.expect("a connection");
    let mut far = TcpStream::connect(to).await.expect("a connection");
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        () = stalled.notified() => goes_on.notified().await,
    }
    let _ = copy_bidirectional(&mut near, &mut far).await;
}

/// Guards against a caller that waits until its deadline for an answer that was ready
/// and is lost with its link.
fn lost_answer_is_unknown(end: fn(&Site, &JoinHandle<()>)) {
    run(async move {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/a" => Act::Hold(held.clone(), Box::new(Act::whole("whole"))),
            _ => Act::whole("whole"),
        })
        .await;
        assert_eq!(site.edge.links().0, 0);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut peer = site.inner.peer();
        peer.ready = true;
        let link = std::mem::replace(&mut peer.link, listener.local_addr().expect("an address"));
        let stalled = Rc::new(Notify::new());
        let goes_on = Rc::new(Notify::new());
        let forwarding = actix_rt::spawn(forward(listener, link, stalled.clone(), goes_on));
        site.edge.join(peer);
        let caller = site.caller();
        let request = caller.send("POST", "/a", &[AUTH], "charge");
        let lost = async {
            until("it runs", || !site.upstream.seen().is_empty()).await;
            stalled.notify_one();
            release.notify_one();
            until("its answer is sent", || site.inner.load().2 == 0).await;
            end(&site, &forwarding);
        };
        let (answer, ()) = tokio::join!(request, lost);
        let answer = answer.expect("a refusal");
        assert_eq!(answer.status, 502, "{answer:?}");
        assert_eq!(answer.code(), Some(3001), "{answer:?}");
        assert_eq!(site.upstream.seen().len(), 1, "it ran once");
        // The next link is not forwarded. The node may still have the first.
        let mut peer = site.inner.peer();
        peer.ready = true;
        site.edge.join(peer);
        let next = caller.get("/b", &[AUTH]).await.expect("whole");
        assert_eq!(next.status, 200, "{next:?}");
        assert_eq!(site.inner.traffic().get(Counter::LinkOpened), 2);
    });
}

cases! { lost_answer_is_unknown:
    answer_on_a_broken_link_is_unknown => (|_, forwarding| forwarding.abort()),
    answer_on_a_replaced_link_is_unknown => (|site, _| site.edge.cut_links()),
}

/// Guards against an attempt over the next link that is released with those of the lost
/// one: its answer would reach nobody, and its caller would wait for ever.
#[test]
fn attempts_over_the_next_link_are_answered() {
    run(async {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let site =
            Site::start(move |_| Act::Hold(held.clone(), Box::new(Act::whole("whole")))).await;
        let mut roomy = snapshot();
        roomy.version = Version(2);
        for pool in &mut roomy.tables.pools {
            // The ramp of a new upstream begins with a tenth.
            pool.slots = Some(10 * CALLERS as u32);
        }
        let roomy = Rc::new(roomy);
        site.edge.adopt(roomy.clone());
        site.inner.adopt(roomy);
        let mut whole = 0;
        for _ in 0..ROUNDS {
            let callers: Vec<_> = (0..CALLERS).map(|_| site.caller()).collect();
            let requests = callers.iter().map(|caller| caller.get("/a", &[AUTH]));
            let cut = async {
                until("they run", || site.inner.load().2 == CALLERS).await;
                site.edge.cut_links();
                until("they are answered", || {
                    release.notify_waiters();
                    site.edge.load() == (0, 0, 0)
                })
                .await;
            };
            let (answers, ()) = tokio::join!(join_all(requests), cut);
            for answer in answers {
                let answer = answer.expect("an answer");
                assert!([200, 502, 503].contains(&answer.status), "{answer:?}");
                whole += usize::from(answer.status == 200);
            }
        }
        assert!(whole > 0, "none was sent again");
    });
}

/// The peer cannot be reached at all. Nothing was sent, so "not run" is true.
#[test]
fn link_that_cannot_be_made_is_not_run() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        let mut peer = site.inner.peer();
        peer.ready = true;
        // A bound port that accepts nothing.
        let taken = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        peer.link = taken.local_addr().expect("an address");
        site.edge.join(peer);
        let answer = site.caller().send("POST", "/a", &[AUTH], "x").await;
        let answer = answer.expect("a refusal");
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        assert_eq!(body["verdict"], "not-run", "{body}");
        assert!(site.upstream.seen().is_empty());
    });
}

/// A node with another secret gets no link; the refusal is counted.
#[test]
fn stranger_gets_no_link() {
    run(async {
        let site = Site::with("{}", "fleet-secret-number-2", |_| Act::whole("")).await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("a refusal");
        assert_eq!(answer.status, 503, "{answer:?}");
        until("it is counted", || {
            site.inner.traffic().get(Counter::Unauthenticated) > 0
        })
        .await;
        assert!(site.upstream.seen().is_empty());
    });
}

/// A fleet changes its secret node by node, without a moment at which two
/// neighbours cannot speak to each other: first every node accepts the new one,
/// then every node shows it, then the old one goes.
fn rotation(edge: &'static str, inner: &'static str, speak: bool) {
    run(async move {
        let site = Site::secret("{}", [edge, inner], |_| Act::whole("ok")).await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("an answer");
        assert_eq!(answer.status == 200, speak, "{answer:?}");
    });
}

cases! { rotation:
    rotation_not_begun => ("old-secret-of-fleet", "old-secret-of-fleet", true),
    rotation_edge_knows_both =>
        ("old-secret-of-fleet new-secret-of-fleet", "old-secret-of-fleet", true),
    rotation_inner_knows_both =>
        ("old-secret-of-fleet", "old-secret-of-fleet new-secret-of-fleet", true),
    rotation_both_know_both =>
        ("old-secret-of-fleet new-secret-of-fleet", "new-secret-of-fleet old-secret-of-fleet", true),
    rotation_edge_has_ended =>
        ("new-secret-of-fleet", "new-secret-of-fleet old-secret-of-fleet", true),
    rotation_skipped_a_step => ("old-secret-of-fleet", "new-secret-of-fleet", false),
}

/// Something else speaks to the port of the links.
fn noise(bytes: &'static [u8]) {
    run(async move {
        let site = Site::start(|_| Act::whole("ok")).await;
        raw(site.inner.addresses().links, bytes).await;
        until("it is counted", || {
            site.inner.traffic().get(Counter::Unauthenticated) > 0
        })
        .await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("whole");
        assert_eq!(answer.status, 200);
    });
}

cases! { noise:
    noise_of_no_protocol => (b"\x00\x01\x02\x03\r\n\r\n"),
    noise_of_http => (b"GET / HTTP/1.1\r\nhost: s\r\n\r\n"),
    noise_of_a_socket_without_proof => (b"GET /link HTTP/1.1\r\nhost: s\r\nconnection: upgrade\r\n\
        upgrade: websocket\r\nsec-websocket-version: 13\r\n\
        sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\x82\x85\x00\x00\x00\x00hello"),
}

/// More half-open links than the limit are turned away at once, and authentic
/// ones get through when there is room.
#[test]
fn half_open_links_are_bounded() {
    run(async {
        let site = Site::with(r#"{ "half_open": 2 }"#, SECRET, |_| Act::whole("ok")).await;
        let address = site.inner.addresses().links;
        let mut held = Vec::new();
        for _ in 0..5 {
            held.push(
                tokio::net::TcpStream::connect(address)
                    .await
                    .expect("connected"),
            );
        }
        until("three are refused", || {
            site.inner.traffic().get(Counter::LinkLimit) == 3
        })
        .await;
        drop(held);
        until("there is room", || {
            site.inner.traffic().get(Counter::Unauthenticated) == 2
        })
        .await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("whole");
        assert_eq!(answer.status, 200);
    });
}

/// A datagram without the tag is dropped and counted.
#[test]
fn datagrams_without_a_tag_are_dropped() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        for bytes in [&b""[..], b"short", &[0xa1; 64], &[0; 2000]] {
            let sent = socket.send_to(bytes, site.inner.addresses().links).await;
            sent.expect("sent");
        }
        until("they are counted", || {
            site.inner.traffic().get(Counter::DatagramDropped) == 4
        })
        .await;
    });
}

/// A link without requests is closed, and made again when it is needed. That
/// puts nothing in doubt.
#[test]
fn idle_links_close_and_come_back() {
    run(async {
        let site = Site::with(r#"{ "link_idle": "50ms" }"#, SECRET, |_| Act::whole("ok")).await;
        let caller = site.caller();
        for times in 1..=2 {
            let answer = caller.get("/a", &[AUTH]).await.expect("whole");
            assert_eq!(answer.status, 200);
            let opened = || site.edge.traffic().get(Counter::LinkOpened);
            assert_eq!(opened(), times);
            until("it is closed", || site.edge.links() == (0, 0)).await;
            until("at both ends", || site.inner.links() == (0, 0)).await;
        }
        assert_eq!(site.edge.traffic().get(Counter::LinkBroken), 0);
    });
}

/// A node beside the wanted upstream serves a caller without a link.
#[test]
fn node_sends_to_itself_without_a_link() {
    run(async {
        let site = Site::start(|seen| Act::whole(seen.body.clone())).await;
        let caller = bluebellswitch::standin::caller::Caller::new(site.inner.addresses().callers);
        for size in [0, 5, 100_000, 1_000_000] {
            let body = vec![1; size];
            let answer = caller
                .send("POST", "/a", &[AUTH], body)
                .await
                .expect("whole");
            assert_eq!((answer.status, answer.body.len()), (200, size));
        }
        assert_eq!(site.inner.links(), (0, 0));
    });
}

/// A caller got the answer to another's request, or a link was closed, when two
/// nodes had begun in the same millisecond: both numbered their requests from
/// the same beginning, and the inbound proxy took one for the other.
#[test]
fn nodes_that_begin_together_have_different_lives() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        let mut lives = vec![site.edge.peer().incarnation, site.inner.peer().incarnation];
        for _ in 0..50 {
            let other = Site::start(|_| Act::whole("")).await;
            lives.push(other.edge.peer().incarnation);
            lives.push(other.inner.peer().incarnation);
        }
        let number = lives.len();
        lives.sort();
        lives.dedup();
        assert_eq!(lives.len(), number);
    });
}

/// A connection goes silent without a reset, and every request sent over it
/// waited until its deadline. The system probes it and gives it up.
#[test]
fn a_connection_is_probed_and_given_up() {
    use rustix::net::sockopt;
    actix_rt::System::new().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("a connection");
        assert!(!sockopt::socket_keepalive(&stream).expect("an option"));
        bluebellswitch::socket::configure(&stream).expect("options");
        assert!(sockopt::socket_keepalive(&stream).expect("an option"));
        let unanswered = sockopt::tcp_user_timeout(&stream).expect("an option");
        assert!((1000..5000).contains(&unanswered), "{unanswered} ms");
        let idle = sockopt::tcp_keepidle(&stream).expect("an option");
        let interval = sockopt::tcp_keepintvl(&stream).expect("an option");
        let probes = sockopt::tcp_keepcnt(&stream).expect("an option");
        assert!(idle + interval * probes <= std::time::Duration::from_secs(5));
    });
}
