//! HTTP API for operators: metrics, status, rollout, health and drain.
//!
//! All endpoints except `/health` check the operators' token.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc, //
};

use actix_http::{
    HttpMessage,
    Request,
    Response,
    StatusCode,
    body::BoxBody, //
};
use opentelemetry::{
    KeyValue,
    metrics::{
        Counter as Instrument,
        Gauge,
        Meter,
        MeterProvider, //
    },
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Encoder,
    Registry,
    TextEncoder, //
};
use serde_json::json;

use crate::{
    adoption::Report,
    carrier::Carrier,
    clock::{
        Clock,
        Span, //
    },
    code::Code,
    id,
    memory::Owner,
    metric::{
        Counter,
        Counts, //
    },
    node::Event,
    unit::Rate, //
};

/// Maximum time to wait for the reports of all domains.
const ROLLOUT_TIMEOUT: Span = Span::from_ms(500);
/// Interval between two checks for reports.
const ROLLOUT_POLL_INTERVAL: Span = Span::from_ms(10);

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "bluebellswitch_";

/// State of the operators' API.
pub(crate) struct OperatorApi {
    carrier: Rc<Carrier>,
    registry: Registry,
    /// Never read; dropping the provider would stop the instruments.
    _provider: SdkMeterProvider,
    meter: Meter,
    load: Gauge<u64>,
    task_running: Gauge<u64>,
    tick_age: Gauge<u64>,
    panics: Instrument<u64>,
    /// Panics of the process that the instrument already includes.
    exported_panics: Cell<u64>,
    named_limit: Gauge<f64>,
    memory_held: Gauge<u64>,
    memory_limit: Gauge<u64>,
    counters: RefCell<HashMap<String, Instrument<u64>>>,
    /// Counter values that the instruments already include.
    exported: RefCell<HashMap<Counter, u64>>,
}

impl OperatorApi {
    pub(crate) fn new(carrier: Rc<Carrier>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .expect("a new registry has no other exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bluebellswitch");
        let load = meter.u64_gauge(format!("{METRIC_PREFIX}load")).build();
        let task_running = meter
            .u64_gauge(format!("{METRIC_PREFIX}task_running"))
            .build();
        let tick_age = meter
            .u64_gauge(format!("{METRIC_PREFIX}tick_age_ms"))
            .build();
        let panics = meter.u64_counter(format!("{METRIC_PREFIX}panics")).build();
        panics.add(0, &[]);
        let named_limit = meter
            .f64_gauge(format!("{METRIC_PREFIX}named_limit"))
            .build();
        let memory_held = meter
            .u64_gauge(format!("{METRIC_PREFIX}memory_held"))
            .build();
        let memory_limit = meter
            .u64_gauge(format!("{METRIC_PREFIX}memory_limit"))
            .build();
        let api = Self {
            carrier,
            registry,
            _provider: provider,
            meter,
            load,
            task_running,
            tick_age,
            panics,
            exported_panics: Cell::new(0),
            named_limit,
            memory_held,
            memory_limit,
            counters: RefCell::default(),
            exported: RefCell::default(),
        };
        let evictions = Owner::ALL.map(Counter::MemoryEvicted);
        evictions
            .into_iter()
            .for_each(|counter| api.add(counter, 0));
        let refusals = Code::ALL.iter().map(|code| Counter::Refused(*code));
        refusals.for_each(|counter| api.add(counter, 0));
        api
    }

    /// Adds to the instrument of a counter. Its name and its label `reason` derive from
    /// the counter's `Debug` form.
    fn add(&self, counter: Counter, count: u64) {
        let text = format!("{counter:?}");
        let (name, reason) = match text.split_once('(') {
            Some((name, reason)) => (name, Some(reason.trim_end_matches(')').to_owned())),
            None => (text.as_str(), None),
        };
        let mut labels: Vec<_> = reason
            .map(|r| KeyValue::new("reason", r))
            .into_iter()
            .collect();
        if let Counter::Refused(code) = counter {
            labels.push(KeyValue::new("code", i64::from(code as u16)));
        }
        if let Counter::MemoryEvicted(owner) = counter {
            labels = vec![KeyValue::new("owner", owner.name())];
        }
        let name = format!("{METRIC_PREFIX}{}", to_snake_case(name));
        let mut counters = self.counters.borrow_mut();
        let instrument = counters
            .entry(name.clone())
            .or_insert_with(|| self.meter.u64_counter(name).build());
        instrument.add(count, &labels);
    }

    /// Updates the instruments from the current counts and load.
    fn refresh(&self) {
        let mut totals: HashMap<Counter, u64> = HashMap::new();
        let core = self.carrier.core();
        let traffic = self.carrier.counts();
        let upstream = self.carrier.upstream.counts();
        let sources: [&Counts; 3] = [core.counts(), &traffic, &upstream];
        for (counter, count) in sources.into_iter().flat_map(Counts::iter) {
            *totals.entry(counter).or_default() += count;
        }
        totals.insert(Counter::RowUnreadable, self.carrier.unreadable_rows());
        for owner in Owner::ALL {
            let evicted = self.carrier.memory.evicted(owner);
            totals.insert(Counter::MemoryEvicted(owner), evicted);
        }
        let mut exported = self.exported.borrow_mut();
        for (counter, count) in totals {
            let previous = exported.insert(counter, count).unwrap_or(0);
            self.add(counter, count.saturating_sub(previous));
        }
        let named_limit = core.load(Clock.now()).named_limit;
        self.named_limit
            .record(named_limit.map_or(f64::INFINITY, Rate::as_f64), &[]);
        self.refresh_tasks();
        self.refresh_memory();
        let (calls, sent, received) = self.carrier.load();
        let (dialed, accepted) = self.carrier.links.counts();
        for (kind, count) in [
            ("calls", calls),
            ("attempts_sent", sent),
            ("attempts_received", received),
            ("links_dialed", dialed),
            ("links_accepted", accepted),
        ] {
            self.load
                .record(count as u64, &[KeyValue::new("kind", kind)]);
        }
    }

    fn refresh_tasks(&self) {
        for (task, runs) in self.carrier.tasks.running() {
            let label = KeyValue::new("task", task.to_string());
            self.task_running.record(u64::from(runs), &[label]);
        }
        let tick_age = Clock.now().since(self.carrier.last_tick.get());
        self.tick_age.record(tick_age.as_ms(), &[]);
        let panics = crate::log::panics();
        let exported = self.exported_panics.replace(panics);
        self.panics.add(panics.saturating_sub(exported), &[]);
    }

    fn refresh_memory(&self) {
        let budget = &self.carrier.memory;
        for owner in Owner::ALL {
            let label = KeyValue::new("owner", owner.name());
            self.memory_held.record(budget.held(owner) as u64, &[label]);
        }
        self.memory_limit.record(budget.allowed() as u64, &[]);
    }

    fn metrics(&self) -> Response<BoxBody> {
        self.refresh();
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => build_response(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    fn status(&self) -> Response<BoxBody> {
        let carrier = &self.carrier;
        let (calls, sent, received) = carrier.load();
        let (dialed, accepted) = carrier.links.counts();
        let report = carrier
            .core_mut()
            .report(Clock.now(), id::Request::default());
        let version = carrier.core().snapshot().version;
        let now = Clock.now();
        let snapshot = carrier.core().snapshot().clone();
        let evacuated: Vec<_> = snapshot.evacuated().collect();
        let load = carrier.core().load(now);
        let mut core = carrier.core_mut();
        let (age, standing) = (core.config_age(now), format!("{:?}", core.standing(now)));
        let fault = core.config_fault().map(|fault| fault.reason.clone());
        let fleet_calls = core.membership_store_calls();
        let members: Vec<_> = core
            .members()
            .iter()
            .map(|peer| {
                json!({
                    "instance": peer.instance,
                    "domain": peer.domain,
                    "pool": peer.pool,
                    "links": peer.link,
                    "status": peer.status.to_string(),
                    "ready": peer.ready,
                })
            })
            .collect();
        let status = json!({
            "instance": carrier.me.instance,
            "domain": carrier.me.domain,
            "pool": carrier.me.pool,
            "incarnation": carrier.me.incarnation.to_string(),
            "version": version,
            "age": age.map(Span::as_ms),
            "standing": standing,
            "fault": fault,
            "fleet_calls": fleet_calls,
            "datagrams": carrier.datagrams(),
            "draining": carrier.is_draining(),
            "calls": calls,
            "attempts_sent": sent,
            "attempts_received": received,
            "links_dialed": dialed,
            "links_accepted": accepted,
            "report": report,
            "evacuated": evacuated,
            "cold": load.cold,
            "named_limit": load.named_limit.map(Rate::as_f64),
            "members": members,
        });
        json_response(StatusCode::OK, &status)
    }

    /// Asks one watcher of each domain which configuration version its members have, and
    /// waits for the reports. Domains without a report are listed with version 0.
    async fn rollout(&self) -> Response<BoxBody> {
        let carrier = &self.carrier;
        carrier.on(Event::Survey);
        let started = Clock.now();
        let all_reported = || {
            let core = carrier.core();
            core.reports().count() >= core.live_domain_count()
        };
        while !all_reported() && Clock.now().since(started) < ROLLOUT_TIMEOUT {
            tokio::time::sleep(ROLLOUT_POLL_INTERVAL.to_std()).await;
        }
        let core = carrier.core();
        let domains: Vec<_> = core.reports().map(domain_json).collect();
        let unreported = core.unreported_domains();
        let unreported = unreported.map(|name| json!({ "domain": name, "version": 0 }));
        let rollout = json!({
            "instance": carrier.me.instance,
            "version": core.snapshot().version,
            "domains": domains.into_iter().chain(unreported).collect::<Vec<_>>(),
        });
        json_response(StatusCode::OK, &rollout)
    }

    fn health(&self) -> Response<BoxBody> {
        match self.carrier.is_draining() {
            true => json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "status": "draining" }),
            ),
            false => json_response(StatusCode::OK, &json!({ "status": "ok" })),
        }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        let value = request.headers().get("authorization");
        let text = value.and_then(|value| value.to_str().ok());
        let token = text.and_then(|text| text.strip_prefix("Bearer "));
        match &self.carrier.settings().operators_token {
            Some(expected) => token.is_some_and(|token| expected.is(token)),
            // If no token is configured, only read-only requests are allowed.
            None => request.method() == "GET",
        }
    }
}

/// Returns the rollout state of a domain as JSON.
fn domain_json(report: &Report) -> serde_json::Value {
    json!({
        "domain": report.domain,
        "version": report.version,
        "age": report.age.map(Span::as_ms),
        "members": report.members,
        "behind": report.behind,
        "names": report.names,
    })
}

/// Handles a request of an operator.
pub(crate) async fn serve(api: Rc<OperatorApi>, request: Request) -> Response<BoxBody> {
    if request.path() == "/health" {
        return api.health();
    }
    if !api.is_authorized(&request) {
        return empty_response(StatusCode::UNAUTHORIZED);
    }
    match (request.method().as_str(), request.path()) {
        ("GET", "/metrics") => api.metrics(),
        ("GET", "/status") => api.status(),
        ("GET", "/rollout") => api.rollout().await,
        ("POST", "/drain") => {
            log::info!("draining: requested by an operator");
            api.carrier.drain();
            json_response(StatusCode::ACCEPTED, &json!({ "status": "draining" }))
        }
        (_, "/metrics" | "/status" | "/rollout" | "/drain") => {
            empty_response(StatusCode::METHOD_NOT_ALLOWED)
        }
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(()))
}

fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<BoxBody> {
    build_response(status, "application/json", value.to_string().into_bytes())
}

fn build_response(status: StatusCode, content_type: &str, body: Vec<u8>) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header(("content-type", content_type));
    response.body(body).map_into_boxed_body()
}

/// Converts a type name in camel case to snake case for metric names.
fn to_snake_case(name: &str) -> String {
    let mut text = String::new();
    for c in name.chars() {
        if c.is_ascii_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.push(c.to_ascii_lowercase());
    }
    text
}
