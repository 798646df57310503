//! Detects an upstream that does not announce itself, by its health endpoint.
//!
//! The endpoint may be late or wrong, so it never overrides what the service
//! itself announced: after `/leave` it cannot bring the upstream back. An
//! unhealthy answer does not remove an upstream either; only refused connections
//! do.

use std::{
    cell::Cell,
    rc::Rc, //
};

use crate::{
    carrier::Carrier,
    clock::{
        Clock,
        Span, //
    },
    connection::body::Inlet,
    frame::Head,
    inbound::End,
    node::Event, //
};

/// The interval between probes, and the timeout of each.
const PROBE_PERIOD: Span = Span::from_secs(1);

/// The number of consecutive refused connections after which the upstream is
/// considered gone.
const MAX_REFUSALS: u32 = 3;

/// The result of a probe.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// It answered with a success status.
    Healthy,
    /// It answered with another status, or failed to answer in time.
    Unhealthy,
    /// The connection was refused: nothing listens at the address.
    Refused,
}

/// What the probes have shown so far.
#[derive(Default)]
pub(crate) struct Findings {
    /// Consecutive refused connections.
    refusals: Cell<u32>,
    /// Whether the upstream was detected.
    detected: Cell<bool>,
}

/// Runs probes until the node stops.
pub(crate) async fn run(carrier: Rc<Carrier>, findings: Rc<Findings>) {
    let Findings { refusals, detected } = &*findings;
    loop {
        tokio::time::sleep(PROBE_PERIOD.to_std()).await;
        let Some(path) = health_path(&carrier) else {
            continue;
        };
        if !carrier.core_mut().try_admit_probe(Clock.now()) {
            continue;
        }
        let (result, warmup) = probe(&carrier, path).await;
        if let Some(left) = warmup {
            carrier.on(Event::UpstreamWarmup(left));
        }
        carrier.on(Event::UpstreamHealth(result == ProbeResult::Healthy));
        refusals.set(match result {
            ProbeResult::Refused => refusals.get().saturating_add(1),
            ProbeResult::Healthy | ProbeResult::Unhealthy => 0,
        });
        let exists = match result {
            ProbeResult::Healthy => true,
            ProbeResult::Unhealthy => detected.get(),
            ProbeResult::Refused => detected.get() && refusals.get() < MAX_REFUSALS,
        };
        if exists != detected.get() && !carrier.is_service_leaving() {
            detected.set(exists);
            carrier.on(Event::UpstreamReady(exists));
            log::info!(found = exists; "the health probe detected a change of the upstream");
        }
    }
}

/// Returns the path of the health endpoint, if the pool has one.
fn health_path(carrier: &Carrier) -> Option<String> {
    let core = carrier.core();
    let pool = core.snapshot().tables.pool(&carrier.settings().pool)?;
    pool.health.clone()
}

/// Runs one probe. The answer may also report the remaining warm-up time of the
/// upstream.
async fn probe(carrier: &Carrier, path: String) -> (ProbeResult, Option<Span>) {
    let head = Head {
        method: "GET".to_owned(),
        target: path,
        headers: vec![("host".to_owned(), "upstream".into())],
        length: Some(0),
        ..Head::default()
    };
    let inlet = Inlet::new(|_| {});
    inlet.end(xxhash_rust::xxh3::xxh3_64(&[]));
    let started = Clock.now();
    let exchange = async {
        let mut answer = carrier.upstream.send(&head, inlet).await?;
        while carrier
            .upstream
            .next(&mut answer)
            .await
            .map_err(|_| End::Cut)?
            .is_some()
        {}
        Ok(answer)
    };
    let answer = match tokio::time::timeout(PROBE_PERIOD.to_std(), exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(End::Refused)) => return (ProbeResult::Refused, None),
        _ => return (ProbeResult::Unhealthy, None),
    };
    if let Some(signal) = answer.signal {
        carrier.on(Event::UpstreamSignal(signal, started));
    }
    let result = match answer.head.status {
        200..=299 => ProbeResult::Healthy,
        _ => ProbeResult::Unhealthy,
    };
    (result, answer.warmup)
}
