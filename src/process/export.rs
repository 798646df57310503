//! The operators' listener: metrics, status, health and drain.
//!
//! Everything but `/health` asks for the operators' token.

use std::{
    cell::RefCell,
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
    metric::{
        Counter,
        Counts, //
    },
    node::Event,
    unit::Rate, //
};

/// How long the domains' watchers may take to answer.
const SURVEY: Span = Span::from_ms(500);
/// Time between two looks at what has come.
const SURVEY_STEP: Span = Span::from_ms(10);

/// How every metric of this system begins.
const PREFIX: &str = "bluebellswitch_";

/// What operators can ask for.
pub(crate) struct Operator {
    carrier: Rc<Carrier>,
    registry: Registry,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
    meter: Meter,
    load: Gauge<u64>,
    limit: Gauge<f64>,
    counters: RefCell<HashMap<String, Instrument<u64>>>,
    shown: RefCell<HashMap<Counter, u64>>,
}

impl Operator {
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
        let load = meter.u64_gauge(format!("{PREFIX}load")).build();
        let limit = meter.f64_gauge(format!("{PREFIX}named_limit")).build();
        let operator = Self {
            carrier,
            registry,
            _provider: provider,
            meter,
            load,
            limit,
            counters: RefCell::default(),
            shown: RefCell::default(),
        };
        let refusals = Code::ALL.iter().map(|code| Counter::Refused(*code));
        refusals.for_each(|counter| operator.add(counter, 0));
        operator
    }

    /// Adds to the instrument of a counter, which is named after it.
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
        let name = format!("{PREFIX}{}", snake(name));
        let mut counters = self.counters.borrow_mut();
        let instrument = counters
            .entry(name.clone())
            .or_insert_with(|| self.meter.u64_counter(name).build());
        instrument.add(count, &labels);
    }

    /// Brings the instruments up to what has been counted.
    fn refresh(&self) {
        let mut total: HashMap<Counter, u64> = HashMap::new();
        let core = self.carrier.core();
        let traffic = self.carrier.counts();
        let both: [&Counts; 2] = [core.counts(), &traffic];
        for (counter, count) in both.into_iter().flat_map(Counts::iter) {
            *total.entry(counter).or_default() += count;
        }
        let mut shown = self.shown.borrow_mut();
        for (counter, count) in total {
            let before = shown.insert(counter, count).unwrap_or(0);
            self.add(counter, count.saturating_sub(before));
        }
        let named = core.load(Clock.now()).named;
        self.limit
            .record(named.map_or(f64::INFINITY, Rate::as_f64), &[]);
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

    fn metrics(&self) -> Response<BoxBody> {
        self.refresh();
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => reply(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
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
            "named_limit": load.named.map(Rate::as_f64),
            "members": members,
        });
        json_reply(StatusCode::OK, &status)
    }

    /// Asks one watcher of each domain how far its members have come.
    async fn rollout(&self) -> Response<BoxBody> {
        let carrier = &self.carrier;
        carrier.on(Event::Survey);
        let begun = Clock.now();
        let whole = || {
            let core = carrier.core();
            core.reports().count() >= core.live_domain_count()
        };
        while !whole() && Clock.now().since(begun) < SURVEY {
            tokio::time::sleep(SURVEY_STEP.to_std()).await;
        }
        let core = carrier.core();
        let domains: Vec<_> = core.reports().map(domain).collect();
        let silent = core.unreported_domains();
        let silent = silent.map(|name| json!({ "domain": name, "version": 0 }));
        let rollout = json!({
            "instance": carrier.me.instance,
            "version": core.snapshot().version,
            "domains": domains.into_iter().chain(silent).collect::<Vec<_>>(),
        });
        json_reply(StatusCode::OK, &rollout)
    }

    fn health(&self) -> Response<BoxBody> {
        match self.carrier.is_draining() {
            true => json_reply(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "status": "draining" }),
            ),
            false => json_reply(StatusCode::OK, &json!({ "status": "ok" })),
        }
    }

    fn may(&self, request: &Request) -> bool {
        let value = request.headers().get("authorization");
        let text = value.and_then(|value| value.to_str().ok());
        let token = text.and_then(|text| text.strip_prefix("Bearer "));
        match &self.carrier.settings().operators_token {
            Some(own) => token.is_some_and(|token| own.is(token)),
            // Without a token only what changes nothing is served.
            None => request.method() == "GET",
        }
    }
}

/// One domain of a rollout.
fn domain(report: &Report) -> serde_json::Value {
    json!({
        "domain": report.domain,
        "version": report.version,
        "age": report.age.map(Span::as_ms),
        "members": report.members,
        "behind": report.behind,
        "names": report.names,
    })
}

/// Answers an operator.
pub(crate) async fn serve(operator: Rc<Operator>, request: Request) -> Response<BoxBody> {
    if request.path() == "/health" {
        return operator.health();
    }
    if !operator.may(&request) {
        return empty(StatusCode::UNAUTHORIZED);
    }
    match (request.method().as_str(), request.path()) {
        ("GET", "/metrics") => operator.metrics(),
        ("GET", "/status") => operator.status(),
        ("GET", "/rollout") => operator.rollout().await,
        ("POST", "/drain") => {
            log::info!("an operator drains the node");
            operator.carrier.drain();
            json_reply(StatusCode::ACCEPTED, &json!({ "status": "draining" }))
        }
        (_, "/metrics" | "/status" | "/rollout" | "/drain") => {
            empty(StatusCode::METHOD_NOT_ALLOWED)
        }
        _ => empty(StatusCode::NOT_FOUND),
    }
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(()))
}

fn json_reply(status: StatusCode, value: &serde_json::Value) -> Response<BoxBody> {
    reply(status, "application/json", value.to_string().into_bytes())
}

fn reply(status: StatusCode, kind: &str, body: Vec<u8>) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header(("content-type", kind));
    response.body(body).map_into_boxed_body()
}

/// A type's name in the style of metrics.
fn snake(name: &str) -> String {
    let mut text = String::new();
    for c in name.chars() {
        if c.is_ascii_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.push(c.to_ascii_lowercase());
    }
    text
}
