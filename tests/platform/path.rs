//! The request path on the platform, over real sockets.

use std::{
    cell::Cell,
    rc::Rc, //
};

use bluebellswitch::{
    platform::standin::Mood,
    standin::{
        caller::Caller,
        upstream::Act, //
    },
};
use serde_json::json;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
};

use crate::site::{
    CONNECTIONS,
    HOST,
    ID,
    KEY,
    Site,
    configuration,
    pause,
    run,
    signed,
    until,
    whole, //
};

/// A request as a client writes it.
fn request(target: &str) -> String {
    format!(
        "GET {target} HTTP/1.1\r\nhost: mill.example\r\n{}: {}\r\n{}: {}\r\n\r\n",
        KEY.0, KEY.1, ID.0, ID.1
    )
}

#[test]
fn the_server_sees_what_the_platform_says() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let answer = site.call("GET", "/view/2f?x=1", "").await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"stock"[..]));
        assert_eq!(
            answer.header("bluebellswitch-response-seal"),
            Some("3e1b.07")
        );
        assert_eq!(answer.header("bluebellswitch-request-id"), Some(ID.1));
        let seen = site.machines[1].server.seen();
        let seen = seen.last().expect("a request");
        assert_eq!(seen.target, "/view/2f?x=1");
        assert_eq!(seen.header("bluebellswitch-request-id"), Some(ID.1));
        assert_eq!(seen.header("bluebellswitch-tenant"), Some("mill"));
        assert_eq!(seen.header("bluebellswitch-caller-service"), Some("front"));
        assert_eq!(seen.header("bluebellswitch-target-instance"), Some("i-b-1"));
        assert_eq!(seen.header("bluebellswitch-credential"), None);
        let left = seen
            .header("bluebellswitch-deadline-ms")
            .expect("a deadline");
        assert!(left.parse::<u64>().expect("a number") <= 3000);
    });
}

/// What a client shows beside its key must not reach the server: it could name
/// another tenant, another service, or more time than the client has.
#[test]
fn a_client_cannot_speak_as_a_node() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let forged = [
            HOST,
            KEY,
            ID,
            ("bluebellswitch-tenant", "other"),
            ("bluebellswitch_tenant", "other"),
            ("bluebellswitch-caller-service", "other"),
            ("bluebellswitch-target-instance", "other"),
            ("bluebellswitch-deadline-ms", "700"),
        ];
        let answer = site
            .front()
            .get("/view/x", &forged)
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        let seen = site.machines[1].server.seen();
        let seen = seen.last().expect("a request");
        let named = |name| {
            seen.headers
                .iter()
                .filter(|(other, _)| other == name)
                .count()
        };
        assert_eq!(named("bluebellswitch-tenant"), 1);
        assert_eq!(named("bluebellswitch_tenant"), 0);
        assert_eq!(seen.header("bluebellswitch-tenant"), Some("mill"));
        assert_eq!(seen.header("bluebellswitch-caller-service"), Some("front"));
        let left = seen
            .header("bluebellswitch-deadline-ms")
            .expect("a deadline");
        assert!(left.parse::<u64>().expect("a number") <= 700);
    });
}

/// A call that is refused here has this status and never reaches a server.
fn refused(target: &'static str, headers: &'static [(&'static str, &'static str)], status: u16) {
    run(async move {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let before = site.machines[1].server.seen().len();
        let answer = site.front().get(target, headers).await.expect("an answer");
        assert_eq!(answer.status, status);
        assert_eq!(site.machines[1].server.seen().len(), before);
    });
}

cases! { refused:
    no_key => ("/view/x", &[HOST, ID], 401),
    unknown_key => ("/view/x", &[HOST, ID, ("bluebellswitch-credential", "guess")], 401),
    unknown_route => ("/other/x", &[HOST, ID, KEY], 404),
    unknown_host => ("/view/x", &[("host", "kiln.example"), ID, KEY], 404),
    no_server => ("/nowhere/x", &[HOST, ID, KEY], 503),
}

/// A route for calls between services needs no key, and the server learns of no
/// tenant.
#[test]
fn a_service_calls_without_a_key() {
    run(async {
        let site = Site::start(|seen| whole(seen, "yes")).await;
        let answer = site
            .front()
            .get("/check/x", &[HOST, ID])
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200);
        let seen = site.machines[1].server.seen();
        assert_eq!(
            seen.last().expect("a call").header("bluebellswitch-tenant"),
            None
        );
    });
}

/// What a server sends that is no whole answer of its own never becomes a
/// success.
fn spoilt(answer: fn(&str) -> String) {
    run(async move {
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/issue/spoilt" => {
                let id = seen.header("bluebellswitch-request-id").unwrap_or_default();
                Act::Raw(answer(id).into())
            }
            _ => whole(seen, "stock"),
        })
        .await;
        let answer = site.call("POST", "/issue/spoilt", "").await;
        assert_eq!(answer.status, 502);
        // The next request is not hurt by it.
        assert_eq!(site.call("POST", "/issue/x", "").await.status, 200);
    });
}

const SEAL: &str = "bluebellswitch-response-seal: s\r\n";

cases! { spoilt:
    without_its_seal => (|id| format!(
        "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: {id}\r\ncontent-length: 2\r\n\r\nab")),
    shorter_than_it_said => (|id| format!(
        "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: {id}\r\n{SEAL}content-length: 9\r\n\r\nab")),
    in_an_encoding => (|id| format!(
        "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: {id}\r\n{SEAL}content-encoding: gzip\r\n\
         content-length: 2\r\n\r\nab")),
    of_another_request => (|_| format!(
        "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: other\r\n{SEAL}content-length: 2\r\n\r\nab")),
    no_answer_at_all => (|_| "what is this\r\n\r\n".to_owned()),
    cut_chunks => (|id| format!(
        "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: {id}\r\n{SEAL}\
         transfer-encoding: chunked\r\n\r\n5\r\nab")),
}

/// An answer without a length ends with its connection, and is whole.
#[test]
fn an_answer_may_end_with_its_connection() {
    run(async {
        let site = Site::start(|seen| match seen.target.as_str() {
            "/issue/open" => Act::Raw(
                format!(
                    "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: {}\r\n{SEAL}\r\nopen end",
                    ID.1
                )
                .into(),
            ),
            _ => whole(seen, "stock"),
        })
        .await;
        let answer = site.call("POST", "/issue/open", "").await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"open end"[..]));
    });
}

/// The answer to an earlier request comes late, before the own one. It is
/// dropped by its id, and the caller gets its own.
#[test]
fn a_late_answer_is_dropped() {
    run(async {
        let site = Site::start(|seen| match seen.target.as_str() {
            "/issue/late" => Act::Raw(
                format!(
                    "HTTP/1.1 200 OK\r\nbluebellswitch-request-id: old\r\n{SEAL}content-length: 3\r\n\r\nold\
                     HTTP/1.1 200 OK\r\nbluebellswitch-request-id: {}\r\n{SEAL}content-length: 3\r\n\r\nown",
                    ID.1
                )
                .into(),
            ),
            _ => whole(seen, "stock"),
        })
        .await;
        let answer = site.call("POST", "/issue/late", "").await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"own"[..]));
    });
}

/// A server that says it has not run a request is believed: the promise goes to
/// the caller, of a request that must not run twice too.
#[test]
fn a_rejection_is_a_promise() {
    run(async {
        let site = Site::start(|seen| match seen.target.as_str() {
            "/issue/full" => {
                let mut headers = signed(seen);
                headers.push(("bluebellswitch-not-executed", "1".to_owned()));
                Act::Answer(503, headers, "full".into())
            }
            _ => whole(seen, "stock"),
        })
        .await;
        let answer = site.call("POST", "/issue/full", "").await;
        assert_eq!((answer.status, answer.code()), (503, Some(2017)));
        assert!(answer.header("retry-after").is_some());
    });
}

/// Three requests are sent at once. The first takes long; the others run
/// meanwhile, and the answers come in the order of the requests.
#[test]
fn pipelined_requests_run_side_by_side_and_answer_in_order() {
    run(async {
        let free = std::rc::Rc::new(tokio::sync::Notify::new());
        let held = free.clone();
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/view/1" => Act::Hold(held.clone(), Box::new(whole(seen, "first"))),
            "/view/2" => whole(seen, "second"),
            _ => whole(seen, "third"),
        })
        .await;
        let address = site.machines[0].node.addresses().callers;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let all: String = ["/view/1", "/view/2", "/view/3"].map(request).concat();
        stream.write_all(all.as_bytes()).await.expect("written");
        let server = &site.machines[1].server;
        until("all three run", || async {
            let seen = server.seen();
            ["/view/1", "/view/2", "/view/3"]
                .iter()
                .all(|target| seen.iter().any(|seen| seen.target == *target))
        })
        .await;
        free.notify_one();
        let mut text = String::new();
        while !text.contains("third") {
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes).await.expect("an answer");
            assert!(count > 0, "closed after {text}");
            text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        }
        let place = |word: &str| text.find(word).expect("there");
        assert!(place("first") < place("second") && place("second") < place("third"));
    });
}

/// Guards against a refusal of HEAD that carries a body, which would stand where the next
/// answer is due.
#[test]
fn a_refusal_of_head_has_no_body() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let address = site.machines[0].node.addresses().callers;
        for refused in ["/nowhere/x", "/unknown/x"] {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            let head = request(refused).replacen("GET", "HEAD", 1);
            let all = format!("{head}{}", request("/view/x"));
            stream.write_all(all.as_bytes()).await.expect("written");
            let mut text = String::new();
            while !text.contains("stock") {
                let mut bytes = [0; 4096];
                let count = stream.read(&mut bytes).await.expect("an answer");
                assert!(count > 0, "closed after {text}");
                text.push_str(&String::from_utf8_lossy(&bytes[..count]));
            }
            let (first, rest) = text.split_once("\r\n\r\n").expect("a head");
            assert!(!first.starts_with("HTTP/1.1 200"), "{first}");
            assert!(rest.starts_with("HTTP/1.1 200"), "{rest}");
        }
    });
}

/// A client hangs up while its request runs. The server's connection is closed,
/// which is the only cancellation it knows.
#[test]
fn a_client_that_leaves_cancels_down_to_the_server() {
    run(async {
        let never = std::rc::Rc::new(tokio::sync::Notify::new());
        let site = Site::start(move |seen| match seen.target.as_str() {
            "/view/slow" => Act::Hold(never.clone(), Box::new(whole(seen, "late"))),
            _ => whole(seen, "stock"),
        })
        .await;
        let address = site.machines[0].node.addresses().callers;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream
            .write_all(request("/view/slow").as_bytes())
            .await
            .expect("written");
        let inner = &site.machines[1].node;
        until("it runs", || async { inner.load().2 == 1 }).await;
        drop(stream);
        until("it was cancelled", || async { inner.load().2 == 0 }).await;
    });
}

/// A drain that was acknowledged holds at once: not one request more reaches
/// the server, whichever word the other nodes have.
#[test]
fn a_drain_holds_from_its_acknowledgement() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let machine = &site.machines[1];
        assert_eq!(machine.say("draining", 2).await, 200);
        let before = machine.server.seen().len();
        let answer = site.call("GET", "/view/x", "").await;
        assert_eq!(answer.status, 503);
        assert_eq!(machine.server.seen().len(), before);
        // A word that was under way longer changes nothing.
        assert_eq!(machine.say("ready", 1).await, 200);
        assert_eq!(site.call("GET", "/view/x", "").await.status, 503);
        assert_eq!(machine.say("ready", 3).await, 200);
        until("it serves again", || async {
            site.call("GET", "/view/x", "").await.status == 200
        })
        .await;
        assert_eq!(machine.leave().await, 200);
        assert_eq!(site.call("GET", "/view/x", "").await.status, 503);
    });
}

/// A day's planned work in two zones: a server is added, an old one drains and
/// leaves, the configuration changes, a node stops. No request is lost, and the
/// new configuration is in force.
#[test]
fn a_day_of_planned_work_loses_nothing() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "old")).await;
        site.add("a-2", "a", "registry", |seen| whole(seen, "new"))
            .await;
        let served = async |site: &Site, count: usize| {
            for _ in 0..count {
                assert_eq!(site.call("POST", "/issue/x", "").await.status, 200);
            }
        };
        until("the new server gets work", || async {
            site.call("GET", "/view/x", "").await.body == "new"
        })
        .await;
        served(&site, 10).await;
        site.machines[1].say("draining", 2).await;
        served(&site, 20).await;
        site.machines[1].leave().await;
        served(&site, 10).await;
        let mut next = configuration(4);
        next["resources"].as_array_mut().expect("rows").remove(0);
        site.store.put("op/config", &next.to_string());
        until("the route is gone", || async {
            site.call("GET", "/view/x", "").await.status == 404
        })
        .await;
        // A version that goes back, and one that is no configuration.
        site.store.put("op/config", &configuration(2).to_string());
        site.store
            .put("op/config", "{\"version\":9,\"resources\":5}");
        pause(100).await;
        assert_eq!(site.call("GET", "/view/x", "").await.status, 404);
        served(&site, 5).await;
        let stopping = site.machines.remove(1);
        stopping.node.drain();
        assert_eq!(stopping.ready().await, 503);
        served(&site, 10).await;
        let stop = stopping.node.wait().await;
        assert_eq!(stop, bluebellswitch::server::Stop::Clean);
        let nodes = site.store.names("bluebellswitch/nodes/");
        assert!(
            !nodes.iter().any(|name| name.ends_with("/b-1")),
            "{nodes:?}"
        );
    });
}

/// The store turns the nodes away while an operator may withdraw a key. Past the
/// bound nobody is let in by a key, and nobody is told that a key is unknown;
/// calls between services go on. When the store is back, so are the callers.
#[test]
fn without_the_store_keys_are_not_accepted_for_long() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        site.store.set(Mood::Refuses(503));
        until("keys are refused", || async {
            // Tokens may end earlier than the bound on keys.
            site.call("GET", "/view/x", "").await.code() == Some(2011)
        })
        .await;
        let wrong = [HOST, ID, ("bluebellswitch-credential", "guess")];
        let answer = site
            .front()
            .get("/view/x", &wrong)
            .await
            .expect("an answer");
        assert_eq!(answer.code(), Some(2011));
        let answer = site.front().get("/other/x", &[HOST, KEY, ID]).await;
        assert_eq!(answer.expect("an answer").status, 503);
        let answer = site.front().get("/check/x", &[HOST, ID]).await;
        assert_eq!(answer.expect("an answer").status, 200);
        assert_eq!(site.machines[0].ready().await, 503);
        site.store.set(Mood::Well);
        until("keys are accepted", || async {
            site.call("GET", "/view/x", "").await.status == 200
        })
        .await;
    });
}

/// A node that has no configuration knows neither keys nor routes nor limits:
/// whatever comes, large uploads too, only 503 is true.
#[test]
fn without_a_configuration_everything_waits() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        site.store.set(Mood::Refuses(503));
        site.add("c-1", "a", "registry", |seen| whole(seen, "stock"))
            .await;
        let caller =
            bluebellswitch::standin::caller::Caller::new(site.machines[2].node.addresses().callers);
        let large = "x".repeat(300_000);
        for (method, target, body) in [("POST", "/upload/x", &*large), ("GET", "/other/x", "")] {
            let answer = caller
                .send(method, target, &[HOST, ID], body.to_owned())
                .await;
            assert_eq!(answer.expect("an answer").status, 503, "{target}");
        }
        assert_eq!(site.machines[2].ready().await, 503);
    });
}

/// Callers open a connection for each try and leave the former ones idle. At the
/// limit new callers were cut without an answer. Past half of the limit an
/// answer tells that its connection closes, so that there is room again.
#[test]
fn connections_that_get_scarce_are_closed_with_their_answers() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let address = site.machines[0].node.addresses().callers;
        let mut idle = Vec::new();
        let mut closes = async || {
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            stream
                .write_all(request("/view/x").as_bytes())
                .await
                .expect("written");
            let mut bytes = [0; 4096];
            let count = stream.read(&mut bytes).await.expect("an answer");
            idle.push(stream);
            String::from_utf8_lossy(&bytes[..count]).contains("connection: close")
        };
        let mut answers = Vec::new();
        for _ in 0..CONNECTIONS {
            answers.push(closes().await);
        }
        assert!(!answers[0], "the first connection stays");
        assert!(answers[CONNECTIONS - 1], "the last one closes: {answers:?}");
    });
}

/// A node's clock was two seconds ahead when it began, was put right, and the
/// node was killed and came back. Its new life was the lower one, so the others
/// went on addressing the old one, and the server got no request any more.
#[test]
fn a_life_after_a_clock_that_went_back_is_the_later_one() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let ahead = site.machines[1].node.peer().incarnation.0 + (1 << 40);
        let mut record = site.machines[1].node.peer();
        record.instance = "c-1".parse().expect("a name");
        record.incarnation = bluebellswitch::id::Incarnation(ahead);
        let text = serde_json::to_string(&record).expect("text");
        site.store.put("bluebellswitch/nodes/c-1", &text);
        let mut site = site;
        site.add("c-1", "c", "registry", |seen| whole(seen, "stock"))
            .await;
        assert_eq!(site.machines[2].node.peer().incarnation.0, ahead + 1);
    });
}

/// Guards against requests at the servers of a zone that is evacuated, also by a node
/// that starts meanwhile.
#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    run(async {
        let mut site = Site::start(|seen| whole(seen, "stock")).await;
        site.store.put("op/evacuate/b", "{}");
        until("the order is heard", || async {
            site.call("GET", "/view/x", "").await.code() == Some(2019)
        })
        .await;
        let before = site.machines[1].server.seen().len();
        site.add("c-1", "c", "front", |seen| whole(seen, "stock"))
            .await;
        let newcomer = &site.machines[2];
        until("the newcomer is ready", || async {
            newcomer.ready().await == 200
        })
        .await;
        let late = Caller::new(newcomer.node.addresses().callers);
        let answer = late.get("/view/x", &[HOST, KEY, ID]).await;
        assert_eq!(answer.expect("an answer").status, 503);
        assert_eq!(site.machines[1].server.seen().len(), before);
        site.store.remove("op/evacuate/b");
        until("it serves again", || async {
            site.call("GET", "/view/x", "").await.status == 200
        })
        .await;
    });
}

/// Guards against a cold server that gets as many requests as a warm one.
#[test]
fn a_cold_server_gets_its_rate() {
    run(async {
        let site = Site::start(|seen| whole(seen, "stock")).await;
        let mut document = configuration(2);
        let rows = document["resources"].as_array_mut().expect("rows");
        rows.push(
            json!({ "type": "services", "metadata": { "name": "registry" }, "spec": {
            "health_path": "/health", "warmup_s": 30.0, "warmup_per_s": 0.5 } }),
        );
        site.store.put("op/config", &document.to_string());
        let machine = &site.machines[1];
        until("the configuration is in force", || async {
            machine.node.version().0 == 2
        })
        .await;
        assert_eq!(machine.say_cold("ready", 2, 30_000).await, 200);
        let before = machine.server.seen().len();
        for _ in 0..20 {
            let answer = site.call("GET", "/view/x", "").await;
            assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
        }
        let while_cold = machine.server.seen().len() - before;
        assert!(while_cold <= 3, "{while_cold} requests");
        assert_eq!(machine.say("ready", 3).await, 200);
        assert_eq!(site.call("GET", "/view/x", "").await.status, 200);
    });
}

/// Guards against a server that gets more than the limit in its answers, and against a
/// limit that clients do not see.
#[test]
fn a_server_gets_what_it_names() {
    run(async {
        let limit = Rc::new(Cell::new(None));
        let named = limit.clone();
        let site = Site::start(move |seen| {
            let mut headers = signed(seen);
            headers.extend(
                named
                    .get()
                    .map(|limit: &str| ("server-limit", limit.to_owned())),
            );
            Act::Answer(200, headers, "stock".into())
        })
        .await;
        limit.set(Some("0"));
        let answer = site.call("GET", "/view/x", "").await;
        assert_eq!(answer.header("server-limit"), Some("0"));
        let server = &site.machines[1].server;
        let before = server.seen().len();
        for _ in 0..20 {
            let answer = site.call("GET", "/view/x", "").await;
            assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
            if answer.status == 503 {
                assert_eq!(answer.code(), Some(2020));
                assert!(answer.header("retry-after").is_some());
            }
        }
        let got = server.seen().len() - before;
        assert!(got <= 3, "{got} requests");
        limit.set(None);
        let sequence = Cell::new(1);
        until("it is served again", || async {
            pause(50).await;
            sequence.set(sequence.get() + 1);
            site.machines[1].say("ready", sequence.get()).await;
            site.call("GET", "/view/x", "").await.status == 200
        })
        .await;
        for _ in 0..20 {
            assert_eq!(site.call("GET", "/view/x", "").await.status, 200);
        }
    });
}

/// Guards against requests for a server whose answers say that it leaves, whatever its
/// heartbeats say.
#[test]
fn a_server_that_says_so_in_answers_gets_no_more() {
    run(async {
        let leaving = Rc::new(Cell::new(false));
        let said = leaving.clone();
        let site = Site::start(move |seen| {
            let mut headers = signed(seen);
            if said.get() {
                headers.push(("server-leaving", "1".to_owned()));
            }
            Act::Answer(200, headers, "stock".into())
        })
        .await;
        leaving.set(true);
        let answer = site.call("GET", "/view/x", "").await;
        assert_eq!(answer.header("server-leaving"), Some("1"));
        let machine = &site.machines[1];
        let before = machine.server.seen().len();
        for sequence in 2..12 {
            assert_eq!(machine.say("ready", sequence).await, 200);
            assert_eq!(site.call("GET", "/view/x", "").await.status, 503);
        }
        assert_eq!(machine.server.seen().len(), before);
        leaving.set(false);
        assert_eq!(machine.say_born("ready", 1, 2).await, 200);
        until("another life of it is served", || async {
            site.call("GET", "/view/x", "").await.status == 200
        })
        .await;
    });
}
