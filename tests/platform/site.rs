//! A small site on the platform: nodes in two zones, each beside a stand-in
//! server, with a stand-in store.

use std::{
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use bluebellswitch::{
    clock::Span,
    node::Bounds,
    platform::{
        interface,
        standin::Store,
        store::Client, //
    },
    server::Server,
    settings::Settings,
    standin::{
        caller::{
            Answer,
            Caller, //
        },
        upstream::{
            Act,
            Seen,
            Upstream, //
        },
    },
};
use serde_json::{
    Value,
    json, //
};

pub const KEY: (&str, &str) = ("bluebellswitch-credential", "open-sesame");
pub const ID: (&str, &str) = ("bluebellswitch-request-id", "9c41d07b");

/// Connections of callers that a node takes.
pub const CONNECTIONS: usize = 12;

/// Runs a test on a runtime of its own.
pub fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(async {
        let bound = Duration::from_secs(60);
        tokio::time::timeout(bound, test)
            .await
            .expect("the test hangs")
    })
}

/// Waits until a condition holds.
pub async fn until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    for _ in 0..4000 {
        if holds().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("never: {what}");
}

/// One machine: a node and the server beside it.
pub struct Machine {
    pub node: Server,
    pub server: Upstream,
    pub id: String,
    zone: String,
    pool: String,
}

pub struct Site {
    pub store: Store,
    pub machines: Vec<Machine>,
    pub limits: Value,
}

/// What a server answers when all is well.
pub fn whole(seen: &Seen, body: &'static str) -> Act {
    Act::Answer(200, signed(seen), body.into())
}

/// The headers with which a server answers.
pub fn signed(seen: &Seen) -> Vec<(&'static str, String)> {
    let id = seen.header("bluebellswitch-request-id").unwrap_or_default();
    vec![
        ("bluebellswitch-request-id", id.to_owned()),
        ("bluebellswitch-response-seal", "3e1b.07".to_owned()),
    ]
}

/// The configuration: two services, one tenant, routes of each kind.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, exempt: bool| {
        json!({ "type": "routes", "metadata": { "name": name }, "spec": {
            "host": "mill.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 1,
            "service": service, "max_attempts": 2, "auth_exempt": exempt } })
    };
    json!({ "version": version, "resources": [
        route("view", "safe", "registry", false),
        route("issue", "unsafe", "registry", false),
        route("upload", "upload", "registry", false),
        route("check", "safe", "registry", true),
        route("nowhere", "safe", "nobody", false),
        { "type": "tenants", "metadata": { "name": "mill" }, "spec": {
            "api_keys": [KEY.1], "priority": 1, "rate_per_s": 100_000, "burst": 100_000 } },
        { "type": "limits", "metadata": {}, "spec": {
            "max_header_bytes": 16384, "max_body_bytes": 4_000_000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000 } },
    ]})
}

/// The settings of a node.
pub fn settings(
    name: &str,
    zone: &str,
    pool: &str,
    upstream: SocketAddr,
    store: SocketAddr,
    limits: &Value,
) -> Settings {
    let any = "127.0.0.1:0";
    let text = json!({
        "instance": name, "domain": zone, "pool": pool,
        "listen": { "callers": any, "links": any, "operators": any,
                    "announcements": any, "ready": any },
        "upstream": upstream, "platform": store, "trust_network": true, "secrets": [],
        "grace": "4s", "heartbeat": "1500ms", "limits": limits,
    });
    Settings::parse(&text.to_string()).expect("good settings")
}

impl Site {
    /// A site whose servers of `registry` follow a script, one in each zone.
    pub async fn start(script: impl Fn(&Seen) -> Act + Clone + 'static) -> Self {
        Self::with_limits(json!({ "connections": CONNECTIONS }), script).await
    }

    /// The same, whose nodes have these limits.
    pub async fn with_limits(
        limits: Value,
        script: impl Fn(&Seen) -> Act + Clone + 'static,
    ) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration(1).to_string());
        let mut site = Self {
            store,
            machines: Vec::new(),
            limits,
        };
        site.add("a-1", "a", "front", script.clone()).await;
        site.add("b-1", "b", "registry", script).await;
        site.settle().await;
        site
    }

    /// Adds a machine, whose server says that it is ready.
    pub async fn add(
        &mut self,
        name: &str,
        zone: &str,
        pool: &str,
        script: impl Fn(&Seen) -> Act + 'static,
    ) {
        let server = Upstream::start(script).await.expect("a free port");
        let node = self.node(name, zone, pool, server.address()).await;
        let machine = Machine {
            node,
            server,
            id: format!("i-{name}"),
            zone: zone.to_owned(),
            pool: pool.to_owned(),
        };
        machine.say("ready", 1).await;
        self.machines.push(machine);
    }

    /// Stops the node of a machine, at once or in order, and starts another one beside the
    /// same server after a time.
    pub async fn restart(&mut self, machine: usize, in_order: bool, down: Span) {
        let Machine {
            node,
            server,
            id,
            zone,
            pool,
        } = self.machines.remove(machine);
        if in_order {
            node.drain();
            node.wait().await;
        } else {
            drop(node);
        }
        pause(down.as_ms()).await;
        let name = id.trim_start_matches("i-");
        let node = self.node(name, &zone, &pool, server.address()).await;
        let restarted = Machine {
            node,
            server,
            id,
            zone,
            pool,
        };
        self.machines.insert(machine, restarted);
    }

    async fn node(&self, name: &str, zone: &str, pool: &str, upstream: SocketAddr) -> Server {
        let store = self.store.address();
        let settings = settings(name, zone, pool, upstream, store, &self.limits);
        let client = Rc::new(Client::new(self.store.address()));
        let started =
            Server::start_in(settings, Some(client), interface(), Bounds::default()).await;
        started.expect("free ports")
    }

    /// Waits until all nodes are ready and the site serves.
    async fn settle(&self) {
        for machine in &self.machines {
            until("a node is ready", || async { machine.ready().await == 200 }).await;
        }
        let front = self.front();
        until("a request is served", || async {
            let answer = front.get("/view/x", &[HOST, KEY, ID]).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// A caller of the first node.
    pub fn front(&self) -> Caller {
        Caller::new(self.machines[0].node.addresses().callers)
    }

    /// Calls the first node with all that a client shows.
    pub async fn call(&self, method: &str, target: &str, body: &str) -> Answer {
        let headers = [HOST, KEY, ID];
        let answer = self
            .front()
            .send(method, target, &headers, body.to_owned())
            .await;
        answer.unwrap_or_else(|end| panic!("{target}: {end:?}"))
    }
}

pub const HOST: (&str, &str) = ("host", "mill.example");

impl Machine {
    /// Says something of the server, and returns the status of the answer.
    pub async fn say(&self, state: &str, sequence: u64) -> u16 {
        self.say_cold(state, sequence, 0).await
    }

    /// The same of a server that is cold for so many milliseconds more.
    pub async fn say_cold(&self, state: &str, sequence: u64, left_ms: u64) -> u16 {
        self.say_all(state, sequence, left_ms, 1).await
    }

    /// The same of a server that started at this time of its clock.
    pub async fn say_born(&self, state: &str, sequence: u64, born: u64) -> u16 {
        self.say_all(state, sequence, 0, born).await
    }

    async fn say_all(&self, state: &str, sequence: u64, left_ms: u64, born: u64) -> u16 {
        let body = json!({ "service": self.pool, "address": self.server.address(),
            "zone": "a", "version": "v1", "capacity_slots": 8, "state": state,
            "warmup_left_ms": left_ms, "sequence": sequence, "born": born });
        self.post("Heartbeat", &body.to_string()).await
    }

    pub async fn leave(&self) -> u16 {
        self.post("Deregister", "").await
    }

    /// Deregisters with all that a server says of itself.
    pub async fn leave_born(&self, sequence: u64, born: u64) -> u16 {
        let body = json!({ "sequence": sequence, "born": born });
        self.post("Deregister", &body.to_string()).await
    }

    async fn post(&self, call: &str, body: &str) -> u16 {
        let address = self.node.addresses().announcements.expect("a listener");
        let target = format!("/api/Instances.{call}/{}", self.id);
        let sent = Caller::new(address)
            .send("POST", &target, &[HOST], body.to_owned())
            .await;
        sent.expect("an answer").status
    }

    pub async fn ready(&self) -> u16 {
        let address = self.node.addresses().ready.expect("a listener");
        let answer = Caller::new(address).get("/api/ready", &[HOST]).await;
        answer.expect("an answer").status
    }
}

/// Time for something to happen in another task.
pub async fn pause(ms: u64) {
    tokio::time::sleep(Span::from_ms(ms).to_std()).await;
}
