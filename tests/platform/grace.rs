//! How long a stopping node may take: the platform's bound decides, unless the node has
//! a setting of its own.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use bluebellswitch::{
    clock::Span,
    platform::{
        bounds,
        interface,
        store::Client, //
    },
    server::{
        Server,
        Stop, //
    },
    settings::Settings,
    standin::{
        caller::Caller,
        upstream::{
            Act,
            Seen, //
        },
    },
    unit::Size,
};
use serde_json::json;
use tokio::sync::Notify;

use crate::site::{
    HOST,
    ID,
    KEY,
    Site,
    configuration,
    pause,
    run,
    until,
    whole, //
};

/// The part of a node's grace period in which the last bytes are flushed.
const FLUSH_TIMEOUT: Span = Span::from_ms(300);

/// The part of the platform's grace period in which nothing runs.
const RESERVE: Span = Span::from_ms(500);

/// The settings that are deployed, as the platform fills them in.
const TEMPLATE: &str = include_str!("../../deploy/node.jsonc");

fn deployed_settings(upstream: SocketAddr, store: SocketAddr, grace_s: u64) -> String {
    deployed_settings_with(upstream, store, grace_s, Some(260))
}

/// Renders the template as the platform does: a section stands for a value that is there.
fn deployed_settings_with(
    upstream: SocketAddr,
    store: SocketAddr,
    grace_s: u64,
    memory_mb: Option<u64>,
) -> String {
    let any = "127.0.0.1:0";
    let mut text = TEMPLATE.replace("{{ip}}:7000", any);
    let (before, rest) = text.split_once("{{#limits.memory_mb}}").expect("a section");
    let (section, after) = rest.split_once("{{/limits.memory_mb}}").expect("its end");
    let section = memory_mb.map_or(String::new(), |memory_mb| {
        section.replace("{{limits.memory_mb}}", &memory_mb.to_string())
    });
    text = format!("{before}{section}{after}");
    text = text.replace("{{ip}}:7001", any);
    text = text.replace("{{heartbeat_ms}}", "1500");
    for (name, value) in [
        ("node", json!("c-1")),
        ("zone", json!("c")),
        ("service", json!("front")),
        ("listen.outbound", json!(any)),
        ("listen.control", json!(any)),
        ("listen.ready", json!(any)),
        ("app_addr", json!(upstream)),
        ("platform.address", json!(store)),
        ("bounds", json!({ "grace_s": grace_s, "revoke_ms": 5000 })),
    ] {
        text = text.replace(&format!("{{{{{name}|json}}}}"), &value.to_string());
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

/// A platform that names no limit of memory would otherwise leave the node without
/// settings that it can read.
#[test]
fn memory_is_taken_from_the_platform_or_the_default() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let memory = |memory_mb| {
        let text = deployed_settings_with(address, address, 6, memory_mb);
        let settings = Settings::parse(&text).expect("good settings");
        settings.limits.memory
    };
    assert_eq!(memory(Some(300)), Size::kib(300 << 10));
    assert_eq!(memory(None), Size::kib(256 << 10));
}

async fn start(text: &str, store: SocketAddr) -> Server {
    let settings = Settings::parse(text).expect("good settings");
    let bounds = bounds::parse(&settings.bounds);
    let client = Rc::new(Client::new(store));
    let started = Server::start_in(settings, Some(client), interface(), bounds).await;
    started.expect("free ports")
}

/// Answers all requests at once, except `/view/held`.
fn hold(seen: &Seen, release: &Rc<Notify>) -> Act {
    match &seen.target[..] {
        "/view/held" => Act::Hold(release.clone(), Box::new(whole(seen, "whole"))),
        _ => whole(seen, "whole"),
    }
}

/// Starts a node with the deployed settings and this bound.
async fn start_alone(grace_s: u64) -> (Server, String) {
    let address = "127.0.0.1:1".parse().expect("an address");
    let text = deployed_settings(address, address, grace_s);
    (start(&text, address).await, text)
}

/// Reloads the settings, and returns how long the node then waits for its requests.
fn reload(node: &Server, text: &str) -> Span {
    let settings = Settings::parse(text).expect("good settings");
    let bounds = bounds::parse(&settings.bounds);
    node.handle().reload(settings, bounds);
    node.drain_limit()
}

/// Requests are owed an answer if their server is done within the first five sixths of
/// the platform's grace period.
fn least_limit(grace_s: u64) -> Span {
    Span::from_ms(grace_s * 1000 * 5 / 6)
}

/// Guards against a process that is killed because it does not end before the platform's
/// grace period.
fn the_grace_period_ends_before_the_platforms(grace_s: u64, latest_ms: u64) {
    let values = [("grace_s".to_owned(), json!(grace_s))];
    let grace = bounds::parse(&values.into()).grace.expect("a bound");
    assert!(grace > least_limit(grace_s), "{grace}");
    assert!(grace <= Span::from_ms(latest_ms), "{grace}");
}

cases! { the_grace_period_ends_before_the_platforms:
    of_6_s => (6, 5600),
    of_10_s => (10, 9400),
}

#[test]
fn without_a_bound_there_is_no_grace_period() {
    for values in [json!({}), json!({ "grace_s": "soon" })] {
        let values = serde_json::from_value(values).expect("a table");
        assert_eq!(bounds::parse(&values).grace, None);
    }
}

/// Guards against a fixed time that is too long for one deployment or too short for
/// another.
fn requests_get_five_sixths_of_the_platforms_grace_period(grace_s: u64) {
    run(async {
        let (node, _) = start_alone(grace_s).await;
        let limit = node.drain_limit();
        assert!(limit >= least_limit(grace_s), "{limit}");
        assert!(limit < Span::from_secs(grace_s) - RESERVE, "{limit}");
    });
}

cases! { requests_get_five_sixths_of_the_platforms_grace_period:
    where_it_is_6_s => (6),
    where_it_is_10_s => (10),
}

/// Guards against a reload after which the bound of the start still decides, or none.
#[test]
fn a_reload_replaces_the_grace_period() {
    run(async {
        let (node, text) = start_alone(10).await;
        let limit = node.drain_limit();
        let other = text.replace("\"connections\": 3000", "\"connections\": 2999");
        assert_ne!(other, text);
        assert_eq!(reload(&node, &other), limit);
        let shorter = reload(&node, &text.replace("\"grace_s\":10", "\"grace_s\":6"));
        assert!(shorter >= least_limit(6) && shorter < limit, "{shorter}");
    });
}

#[test]
fn the_nodes_own_grace_period_wins() {
    run(async {
        let (node, text) = start_alone(10).await;
        let own = text.replacen('{', "{ \"grace\": \"4s\",", 1);
        assert_eq!(reload(&node, &own), Span::from_secs(4) - FLUSH_TIMEOUT);
    });
}

#[test]
fn without_a_grace_period_the_drain_time_of_the_pool_holds() {
    run(async {
        let (node, text) = start_alone(10).await;
        let none = text.replace("\"grace_s\":10", "\"other\":10");
        assert_eq!(reload(&node, &none), Span::from_secs(30));
    });
}

/// Guards against a stopping node that cuts its requests seconds before the platform
/// ends it, because its grace period is not the platform's.
#[test]
fn a_request_runs_on_for_most_of_a_long_grace_period() {
    run(async {
        let release = Rc::new(Notify::new());
        let released = release.clone();
        let site = Site::start(move |seen| hold(seen, &released)).await;
        let mut document = configuration(2);
        document["resources"][0]["spec"]["timeout_ms"] = json!(20_000);
        site.store.put("op/config", &document.to_string());
        let (upstream, store) = (site.machines[0].server.address(), site.store.address());
        let node = start(&deployed_settings(upstream, store, 10), store).await;
        let caller = Caller::new(node.addresses().callers);
        let headers = [HOST, KEY, ID];
        until("the node serves by the new configuration", || async {
            let answer = caller.get("/view/x", &headers).await;
            node.version().0 == 2 && answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        let stopped = Notify::new();
        let held = async {
            tokio::select! {
                answer = caller.get("/view/held", &headers) => answer.ok(),
                () = stopped.notified() => None,
            }
        };
        let stop = async {
            let server = &site.machines[1].server;
            until("the server has the request", || async {
                server.seen().iter().any(|seen| seen.target == "/view/held")
            })
            .await;
            node.drain();
            let release_late = async {
                pause(7000).await;
                release.notify_one();
            };
            let stop = tokio::join!(node.wait(), release_late).0;
            stopped.notify_one();
            stop
        };
        let (answer, stop) = tokio::join!(held, stop);
        assert_eq!(stop, Stop::Clean);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    });
}
