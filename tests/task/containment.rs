//! Panics in the tasks of a running node.

use std::{
    cell::Cell,
    future::Future,
    pin::Pin,
    rc::Rc,
    time::Duration, //
};

use bluebellswitch::{
    announce::Announcement,
    code::Code,
    document::Snapshot,
    interface::{
        AnnouncementRequest,
        Interface, //
    },
    metric::Counter,
    node::Bounds,
    platform::{
        self,
        standin,
        store::Client, //
    },
    server::{
        Server,
        Stop, //
    },
    settings::Settings,
    standin::{
        caller::Caller,
        upstream::Act, //
    },
    store::{
        Answer,
        Call,
        Store, //
    },
    task::Unit,
};
use serde_json::json;
use tokio::sync::Notify;

use crate::{
    bench::{
        AUTH,
        Platform,
        SECRET,
        Site,
        TOKEN,
        node,
        run,
        settle,
        snapshot,
        text,
        until, //
    },
    site::{
        CONNECTIONS,
        HOST,
        ID,
        KEY,
        configuration, //
    },
    trap,
};

/// Bound on waits for something that must happen.
const LIMIT: Duration = Duration::from_secs(15);

/// More panics than any budget allows.
const ALWAYS: usize = usize::MAX;

async fn soon<F: Future>(what: &str, future: F) -> F::Output {
    let outcome = tokio::time::timeout(LIMIT, future).await;
    outcome.unwrap_or_else(|_| panic!("never: {what}"))
}

/// Guards against a node that no longer ticks, so that no request reaches its deadline.
#[test]
fn a_panic_in_a_tick_does_not_stop_the_ticks() {
    run(async {
        let site = Site::start(|_| Act::Silence).await;
        trap::set("summary", 2);
        until("both nodes met it", || trap::left() == 0).await;
        let caller = site.caller();
        let answer = soon("a deadline", caller.get("/brief/a", &[AUTH])).await;
        assert_eq!(answer.expect("a refusal").status, 504);
    });
}

/// Guards against a node that runs on without its ticks, and says that it is ready.
#[test]
fn a_node_whose_ticks_always_panic_ends() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        let health = Caller::new(site.edge.addresses().operators);
        trap::set("summary", ALWAYS);
        until("it drains", || site.edge.is_draining()).await;
        let answer = health.get("/health", &[]).await.expect("an answer");
        assert_eq!(answer.status, 503);
        assert_eq!(soon("an end", site.edge.wait()).await, Stop::Failed);
    });
}

/// Guards against a failed node that ends without answering what still runs.
#[test]
fn what_runs_at_a_failed_node_is_answered() {
    run(async {
        let release = Rc::new(Notify::new());
        let held = release.clone();
        let site =
            Site::start(move |_| Act::Hold(held.clone(), Box::new(Act::whole("whole")))).await;
        let caller = site.caller();
        let running = caller.send("POST", "/a", &[AUTH], "charge");
        let ending = async {
            until("it runs", || !site.upstream.seen().is_empty()).await;
            trap::set("summary", ALWAYS);
            let drains = || site.edge.is_draining() && site.inner.is_draining();
            until("both nodes drain", drains).await;
            release.notify_one();
        };
        let (answer, ()) = soon("an answer", async { tokio::join!(running, ending) }).await;
        assert_eq!(&answer.expect("an answer").body[..], b"whole");
        assert_eq!(soon("an end", site.edge.wait()).await, Stop::Failed);
        assert_eq!(soon("an end", site.inner.wait()).await, Stop::Failed);
    });
}

/// Guards against a node that runs on although none of its decisions can be carried out.
#[test]
fn a_node_whose_decisions_always_panic_ends() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        let caller = site.caller();
        trap::set("refused", ALWAYS);
        for _ in 0..40 {
            let answer = soon("an answer", caller.get("/a", &[])).await;
            assert_eq!(answer.expect("an answer").code(), Some(3013));
            if site.edge.is_draining() {
                break;
            }
        }
        assert_eq!(soon("an end", site.edge.wait()).await, Stop::Failed);
    });
}

/// Guards against a slot of an upstream that is never free again.
#[test]
fn an_attempt_whose_end_panics_is_released() {
    run(async {
        let site = Site::start(|_| Act::whole("whole")).await;
        trap::set("ended", 1);
        let caller = site.caller();
        let answer = soon("an answer", caller.get("/a", &[AUTH])).await;
        assert_eq!(&answer.expect("an answer").body[..], b"whole");
        until("the panic", || trap::left() == 0).await;
        let panicked = Counter::Panicked(Unit::Attempt);
        until("it is counted", || site.inner.traffic().get(panicked) == 1).await;
        until("it is released", || site.inner.load() == (0, 0, 0)).await;
        let again = soon("an answer", caller.get("/a", &[AUTH])).await;
        assert_eq!(again.expect("an answer").status, 200);
    });
}

/// Guards against an attempt that no node knows of, so that its call waits until its
/// deadline.
#[test]
fn an_attempt_whose_start_panics_is_answered() {
    run(async {
        let site = Site::start(|_| Act::whole("whole")).await;
        trap::set("started", 1);
        let caller = site.caller();
        let sent = caller.send("POST", "/a", &[AUTH], "charge");
        let answer = soon("an answer", sent).await.expect("an answer");
        assert_eq!((answer.status, answer.code()), (502, Some(3001)));
        assert_eq!(site.upstream.seen().len(), 0);
        until("it is released", || site.inner.load() == (0, 0, 0)).await;
        let again = soon("an answer", caller.get("/a", &[AUTH])).await;
        assert_eq!(again.expect("an answer").status, 200);
    });
}

/// Guards against a call that waits for a decision which panicked while it was carried
/// out.
#[test]
fn a_call_whose_refusal_panics_is_answered() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        trap::set("refused", 1);
        let answer = soon("an answer", site.caller().get("/a", &[])).await;
        assert_eq!(answer.expect("an answer").code(), Some(3013));
        let next = soon("an answer", site.caller().get("/a", &[AUTH])).await;
        assert_eq!(next.expect("an answer").status, 200);
    });
}

/// Guards against a link that stays in the table of links although its task has ended.
#[test]
fn a_link_whose_task_panics_is_dialed_again() {
    run(async {
        let site = Site::start(|_| Act::whole("")).await;
        trap::set("no link", 1);
        let mut gone = site.inner.peer();
        gone.instance = "gone".parse().expect("a name");
        gone.pool = "nothing".parse().expect("a name");
        gone.link = "127.0.0.1:1".parse().expect("an address");
        gone.ready = true;
        site.edge.join(gone);
        let answer = soon("an answer", site.caller().get("/nowhere/a", &[AUTH])).await;
        assert_eq!(answer.expect("a refusal").status, 503);
        assert_eq!(trap::left(), 0);
        until("it is not in the table", || site.edge.links().0 <= 1).await;
    });
}

/// Calls to the store that panic.
const CALLS: usize = 6;

/// A store whose first calls panic.
struct Faulty {
    store: Platform,
    left: Cell<usize>,
}

impl Store for Faulty {
    fn call(&self, call: Call) -> Pin<Box<dyn Future<Output = Answer>>> {
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        assert_eq!(left, 0, "a fault of the client");
        self.store.call(call)
    }
}

/// Guards against a subsystem that waits for ever for an answer of the store.
#[test]
fn a_store_call_that_panics_counts_as_lost() {
    run(async {
        let upstream = "127.0.0.1:1".parse().expect("an address");
        let settings = text("edge", "front", upstream, SECRET, "{}");
        let settings = Settings::parse(&settings).expect("good settings");
        let store = Rc::new(Faulty {
            store: Platform::default(),
            left: Cell::new(CALLS),
        });
        let edge = Server::start(settings, Some(store.clone())).await;
        let edge = edge.expect("free ports");
        edge.adopt(Rc::new(snapshot()));
        let caller = Caller::new(edge.addresses().callers);
        soon("the team's rate", settle(&caller)).await;
        let panicked = edge.traffic().get(Counter::Panicked(Unit::StoreCall));
        assert_eq!(panicked, CALLS as u64);
    });
}

/// Parses configurations, except for the second version.
fn read(text: &str) -> bluebellswitch::Result<Snapshot> {
    assert!(!text.contains("\"version\":2"), "a fault of the decoder");
    let source = platform::interface().configuration.expect("a source");
    (source.read)(text)
}

/// Parses announcements, except for a broken one.
fn announcement(request: AnnouncementRequest<'_>) -> bluebellswitch::Result<Announcement> {
    assert_ne!(request.body, b"broken", "a fault of the decoder");
    (platform::interface().announcement)(request)
}

/// Translates codes, except for that of a missing key.
fn status(code: Code) -> u16 {
    assert_ne!(code, Code::KeyMissing, "a fault of the translation");
    (platform::interface().status)(code)
}

fn faulty_interface() -> Interface {
    let interface = platform::interface();
    let configuration = interface.configuration.map(|mut source| {
        source.read = read;
        source
    });
    Interface {
        configuration,
        announcement,
        status,
        ..interface
    }
}

/// Starts a node on the platform that has its configuration.
async fn start_on_platform(store: &standin::Store) -> Server {
    store.put("op/config", &configuration(1).to_string());
    let any = "127.0.0.1:0";
    let settings = json!({
        "instance": "a-1", "domain": "a", "pool": "front",
        "listen": { "callers": any, "links": any, "operators": any,
                    "announcements": any, "ready": any },
        "upstream": "127.0.0.1:1", "platform": store.address(), "trust_network": true,
        "secrets": [], "grace": "4s", "heartbeat": "1500ms",
        "limits": { "connections": CONNECTIONS },
    });
    let settings = Settings::parse(&settings.to_string()).expect("good settings");
    let client = Rc::new(Client::new(store.address()));
    let bounds = Bounds::default();
    let started = Server::start_in(settings, Some(client), faulty_interface(), bounds).await;
    let node = started.expect("free ports");
    until("a configuration", || node.version().0 == 1).await;
    node
}

/// Guards against a node that handles no event any more after one that panics.
#[test]
fn a_node_decides_after_a_panic_in_a_decision() {
    run(async {
        let store = standin::Store::start();
        let node = start_on_platform(&store).await;
        store.put("op/config", &configuration(2).to_string());
        tokio::time::sleep(Duration::from_millis(500)).await;
        let caller = Caller::new(node.addresses().callers);
        let headers = [HOST, KEY, ID];
        let answer = soon("an answer", caller.get("/nowhere/x", &headers)).await;
        assert_eq!(answer.expect("a refusal").status, 503);
        store.put("op/config", &configuration(3).to_string());
        until("a later configuration", || node.version().0 == 3).await;
    });
}

/// Guards against connections of callers that end without an answer, and stay counted
/// among the open ones.
#[test]
fn requests_whose_refusal_panics_are_answered() {
    run(async {
        let store = standin::Store::start();
        let node = start_on_platform(&store).await;
        for _ in 0..CONNECTIONS * 2 {
            let caller = Caller::new(node.addresses().callers);
            let answer = soon("an answer", caller.get("/view/x", &[HOST, ID])).await;
            let answer = answer.expect("an answer");
            assert_eq!((answer.status, answer.code()), (502, Some(3013)));
        }
    });
}

/// Guards against announcements that end without an answer.
#[test]
fn an_announcement_that_panics_is_answered() {
    run(async {
        let store = standin::Store::start();
        let node = start_on_platform(&store).await;
        let listener = node.addresses().announcements.expect("a listener");
        for _ in 0..CONNECTIONS * 2 {
            let service = Caller::new(listener);
            let answer = soon("an answer", service.send("POST", "/ready", &[], "broken")).await;
            assert_eq!(answer.expect("an answer").status, 500);
        }
    });
}

/// Guards against panics that only standard error tells of.
#[test]
fn metrics_count_panics_and_show_the_tasks() {
    run(async {
        let edge = text(
            "edge",
            "front",
            "127.0.0.1:1".parse().expect("an address"),
            SECRET,
            "{}",
        );
        let edge = node(&edge, &Platform::default()).await;
        edge.adopt(Rc::new(snapshot()));
        let caller = Caller::new(edge.addresses().callers);
        settle(&caller).await;
        trap::set("summary", 1);
        until("a panic", || trap::left() == 0).await;
        let operator = Caller::new(edge.addresses().operators);
        let bearer = format!("Bearer {TOKEN}");
        let mut seen = String::new();
        for _ in 0..1000 {
            let answer = operator
                .get("/metrics", &[("authorization", &bearer)])
                .await;
            let body = answer.expect("an answer").body;
            seen = String::from_utf8(body.to_vec()).expect("text");
            if seen.contains("bluebellswitch_task_running{task=\"Ticks\"} 1") {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        for line in [
            "bluebellswitch_task_ended_total{reason=\"Ticks\"} 1",
            "bluebellswitch_task_running{task=\"Ticks\"} 1",
            "bluebellswitch_task_running{task=\"Callers\"} 1",
        ] {
            assert!(seen.contains(line), "{line}: {seen}");
        }
    });
}
