//! A caller gets the whole answer to its own request, or an error.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::{
    inbound::End,
    standin::upstream::{
        Act,
        Seen, //
    },
};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::bench::{
    AUTH,
    Site,
    run,
    until, //
};

#[test]
fn whole_answer_with_its_headers() {
    run(async {
        let act = Act::Raw(Bytes::from_static(
            b"HTTP/1.1 201 Created\r\nset-cookie: a=1\r\nset-cookie: b=2\r\n\
              connection: x-hop, close\r\nx-hop: 1\r\ncontent-length: 13\r\n\r\ncertificate 7",
        ));
        let site = Site::start(move |_| act.clone()).await;
        let answer = site.caller().get("/a?b=c", &[AUTH]).await.expect("whole");
        assert_eq!(answer.status, 201);
        assert_eq!(&answer.body[..], b"certificate 7");
        let cookies = answer.headers.iter().filter(|(n, _)| n == "set-cookie");
        assert_eq!(cookies.count(), 2);
        assert_eq!(
            answer.header("x-hop"),
            None,
            "hop-by-hop headers end at a hop"
        );
        assert_eq!(site.upstream.seen()[0].target, "/a?b=c");
    });
}

/// Two callers ask at once; the upstream answers the second first. Each must
/// get its own answer, over one link.
#[test]
fn crossed_answers_reach_their_callers() {
    run(async {
        let told = Rc::new(Notify::new());
        let held = told.clone();
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/first" => Act::Hold(held.clone(), Box::new(Act::whole("first"))),
            other => Act::whole(other.to_owned()),
        })
        .await;
        let caller = site.caller();
        let first = caller.get("/first", &[AUTH]);
        let second = async {
            let answer = caller.get("/second", &[AUTH]).await.expect("whole");
            told.notify_one();
            answer
        };
        let (first, second) = tokio::join!(first, second);
        assert_eq!(&first.expect("whole").body[..], b"first");
        assert_eq!(&second.body[..], b"/second");
    });
}

/// Guards against failed reads that are not sent again, as their status never got to the router.
#[test]
fn a_failed_read_is_sent_again() {
    run(async {
        let fails_next = Cell::new(true);
        let script = move |seen: &Seen| match seen.whole && fails_next.take() {
            true => Act::Answer(500, Vec::new(), "failed".into()),
            false => Act::whole("read"),
        };
        let site = Site::start(script).await;
        let answer = site.caller().get("/a", &[AUTH]).await.expect("whole");
        assert_eq!((answer.status, &answer.body[..]), (200, &b"read"[..]));
        assert_eq!(site.upstream.seen().len(), 2);
    });
}

/// The upstream dies in the middle of an answer. The caller must see an error
/// and never a short success, whatever the framing; the cause was a client that
/// took the end of the connection for the end of the body.
fn cut(answer: &'static str) {
    run(async move {
        let site = Site::start(move |_| Act::Raw(Bytes::from_static(answer.as_bytes()))).await;
        match site.caller().get("/a", &[AUTH]).await {
            Err(End::Cut) => {}
            Ok(answer) => assert_eq!(answer.code(), Some(3003), "{answer:?}"),
            Err(other) => panic!("{other:?}"),
        }
    });
}

/// The process of the upstream ends while it runs requests. None of them may be reported
/// as an answer that broke off: only one of the two is a reason to suspect the request.
#[test]
fn upstream_that_ends_is_told_from_an_answer_that_breaks_off() {
    run(async {
        let site = Site::start(|seen| match seen.target.as_str() {
            "/fatal" => Act::Exit,
            "/waits" => Act::Hold(Rc::new(Notify::new()), Box::new(Act::whole("late"))),
            _ => Act::Raw(Bytes::from_static(b"HTTP/1.1 200 OK\r\ncontent-le")),
        })
        .await;
        let caller = site.caller();
        let cut = caller.send("POST", "/cut", &[AUTH], Bytes::new()).await;
        assert_eq!(cut.expect("a refusal").code(), Some(3003));
        let waits = caller.send("POST", "/waits", &[AUTH], Bytes::new());
        let fatal = async {
            until("it runs", || site.upstream.seen().len() == 2).await;
            caller.send("POST", "/fatal", &[AUTH], Bytes::new()).await
        };
        let (waits, fatal) = tokio::join!(waits, fatal);
        assert_eq!(waits.expect("a refusal").code(), Some(3010));
        assert_eq!(fatal.expect("a refusal").code(), Some(3010));
    });
}

cases! { cut:
    cut_within_a_length => ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
    cut_within_a_chunk => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nhalf"),
    cut_between_chunks => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
    cut_before_the_body => ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
    cut_within_the_head => ("HTTP/1.1 200 OK\r\nconte"),
    cut_without_any_framing => ("HTTP/1.1 200 OK\r\n\r\nperhaps whole"),
    cut_in_the_old_version => ("HTTP/1.0 200 OK\r\n\r\nperhaps whole"),
    cut_before_anything => (""),
    cut_by_another_protocol => ("HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n"),
    cut_by_two_lengths => ("HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 9\r\n\r\nhalf"),
}

/// Answers that have no body by their status or their request's method.
fn bodiless(method: &'static str, act: Act, length: Option<&'static str>) {
    run(async move {
        let site = Site::start(move |_| act.clone()).await;
        let caller = site.caller();
        for _ in 0..2 {
            let answer = caller.send(method, "/a", &[AUTH], "").await.expect("whole");
            assert_eq!(&answer.body[..], b"");
            assert_eq!(
                answer.header("content-length"),
                None,
                "it is a field of the head"
            );
        }
        let request = format!(
            "{method} /a HTTP/1.1\r\nhost: s\r\nconnection: close\r\n{}: {}\r\n\r\n",
            AUTH.0, AUTH.1
        );
        let text = crate::bench::raw(site.edge.addresses().callers, request.as_bytes()).await;
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        assert_eq!(body, "", "{text}");
        let shown = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        assert_eq!(shown, length, "{text}");
    });
}

cases! { bodiless:
    head_keeps_the_length => ("HEAD", Act::Raw(Bytes::from_static(
        b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n")), Some("12")),
    no_content => ("GET", Act::Answer(204, Vec::new(), Bytes::new()), None),
    not_modified => ("GET", Act::Answer(304, Vec::new(), Bytes::new()), None),
    empty_answer => ("GET", Act::whole(""), Some("0")),
}

/// A caller hangs up while its request runs. The upstream's connection has to
/// close, or its slot stays taken by work that nobody waits for.
#[test]
fn hang_up_ends_the_upstreams_work() {
    run(async {
        let never = Rc::new(Notify::new());
        let site =
            Site::start(move |_| Act::Hold(never.clone(), Box::new(Act::whole("late")))).await;
        let caller = site.caller();
        let request = caller.get("/a", &[AUTH]);
        let hung_up = async {
            crate::bench::until("it runs", || !site.upstream.seen().is_empty()).await;
        };
        tokio::select! {
            answer = request => panic!("{answer:?}"),
            () = hung_up => {}
        }
        crate::bench::until("the slot is free", || {
            site.upstream.open() == 0 && site.inner.load() == (0, 0, 0)
        })
        .await;
        crate::bench::until("the ingress forgets", || site.edge.load() == (0, 0, 0)).await;
    });
}

/// Answers in a row share one connection to the upstream; after a cut one, the
/// next gets a new connection.
#[test]
fn connections_are_reused_only_after_whole_answers() {
    run(async {
        let site = Site::start(|seen| match seen.target.as_str() {
            "/cut" => Act::Raw(Bytes::from_static(
                b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf",
            )),
            _ => Act::whole("whole"),
        })
        .await;
        let caller = site.caller();
        for _ in 0..5 {
            caller.get("/a", &[AUTH]).await.expect("whole");
        }
        assert_eq!(site.upstream.connections(), 1);
        let _ = caller.get("/cut", &[AUTH]).await;
        caller.get("/a", &[AUTH]).await.expect("whole");
        assert_eq!(site.upstream.connections(), 2);
    });
}
