//! Finding the upstream, and bounds on connections.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::{
    clock::Span,
    metric::Counter,
    standin::{
        caller::Caller,
        upstream::Act, //
    },
    unit::Rate,
};
use bytes::Bytes;
use tokio::net::TcpStream;

use crate::bench::{
    AUTH,
    SECRET,
    Site,
    run,
    snapshot,
    until, //
};

/// The service tells its node that it leaves, and later that it is back.
#[test]
fn service_announces_itself_and_leaves() {
    run(async {
        let site = Site::start(|_| Act::whole("ok")).await;
        let service = Caller::new(site.inner.addresses().service);
        let caller = Caller::new(site.inner.addresses().callers);
        for (path, status) in [("/leave", 503), ("/announce", 200)] {
            let told = service.send("POST", path, &[], "").await.expect("whole");
            assert_eq!(told.status, 204);
            let answer = caller.get("/a", &[AUTH]).await.expect("an answer");
            assert_eq!(answer.status, status, "after {path}");
        }
    });
}

/// Guards against an attempt that ends without an answer, because its upstream keeps
/// connections open for longer than can be counted in milliseconds.
#[test]
fn an_upstream_may_keep_connections_open_for_ever() {
    run(async {
        let timeout = format!("timeout={}", u64::MAX);
        let site = Site::start(move |_| {
            let headers = vec![("keep-alive", timeout.clone())];
            Act::Answer(200, headers, Bytes::from_static(b"ok"))
        });
        let site = site.await;
        for _ in 0..2 {
            let answer = site.caller().send("POST", "/a", &[AUTH], "x").await;
            assert_eq!(answer.expect("an answer").status, 200);
        }
    });
}

/// An upstream that does not announce itself is found by its health endpoint.
/// An ill answer does not take it away, as the endpoint may mislead; and once
/// it said that it leaves, the endpoint cannot bring it back, as it may lag.
#[test]
fn health_probe_finds_the_upstream() {
    run(async {
        let healthy = Rc::new(Cell::new(true));
        let state = healthy.clone();
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/health" if !state.get() => Act::Answer(503, Vec::new(), Bytes::new()),
            _ => Act::whole("ok"),
        })
        .await;
        let caller = Caller::new(site.inner.addresses().callers);
        site.inner.announce(false);
        wait_for(&caller, 503).await;
        let mut probed = snapshot();
        probed.tables.pools[0].health = Some("/health".to_owned());
        site.inner.adopt(Rc::new(probed));
        wait_for(&caller, 200).await;
        healthy.set(false);
        more_probes(&site).await;
        wait_for(&caller, 200).await;
        healthy.set(true);
        let service = Caller::new(site.inner.addresses().service);
        service
            .send("POST", "/leave", &[], "")
            .await
            .expect("whole");
        more_probes(&site).await;
        let answer = caller.get("/a", &[AUTH]).await.expect("an answer");
        assert_eq!(answer.status, 503);
    });
}

/// Guards against a cold upstream that tells so by its health endpoint alone.
#[test]
fn health_probe_tells_that_the_upstream_is_cold() {
    run(async {
        let cold = Rc::new(Cell::new(true));
        let state = cold.clone();
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/health" if state.get() => {
                let left = ("x-bluebellswitch-warmup-ms", "60000".to_owned());
                Act::Answer(200, vec![left], Bytes::new())
            }
            "/health" => {
                let left = ("x-bluebellswitch-warmup-ms", "0".to_owned());
                Act::Answer(200, vec![left], Bytes::new())
            }
            _ => Act::whole("ok"),
        })
        .await;
        let mut probed = snapshot();
        probed.version.0 += 1;
        let pool = &mut probed.tables.pools[0];
        pool.health = Some("/health".to_owned());
        pool.cold = Some(Rate::per_second(1).scaled(100));
        pool.warmup = Span::from_secs(60);
        site.inner.adopt(Rc::new(probed));
        more_probes(&site).await;
        let caller = Caller::new(site.inner.addresses().callers);
        wait_for(&caller, 503).await;
        cold.set(false);
        wait_for(&caller, 200).await;
    });
}

/// Waits for three further probes.
async fn more_probes(site: &Site) {
    let probes = || {
        let seen = site.upstream.seen();
        seen.iter().filter(|seen| seen.target == "/health").count()
    };
    let before = probes();
    until("it is probed again", || probes() >= before + 3).await;
}

async fn wait_for(caller: &Caller, status: u16) {
    let mut last = None;
    for _ in 0..2000 {
        let answer = caller.get("/a", &[AUTH]).await.expect("an answer");
        if answer.status == status {
            return;
        }
        last = Some(answer);
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("never: status {status}, but {last:?}");
}

/// Connections over the limit are closed at once, and counted; those within it
/// go on.
#[test]
fn connections_are_bounded() {
    run(async {
        let site = Site::with(r#"{ "connections": 3 }"#, SECRET, |_| Act::whole("ok")).await;
        let caller = site.caller();
        caller.get("/a", &[AUTH]).await.expect("whole");
        let mut held = Vec::new();
        for _ in 0..5 {
            let stream = TcpStream::connect(site.edge.addresses().callers).await;
            held.push(stream.expect("connected"));
        }
        until("three are refused", || {
            site.edge.traffic().get(Counter::ConnectionLimit) == 3
        })
        .await;
        let answer = caller.get("/a", &[AUTH]).await.expect("whole");
        assert_eq!(answer.status, 200);
        assert_eq!(site.edge.traffic().get(Counter::ConnectionLimit), 3);
    });
}
