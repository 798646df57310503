//! Finds an upstream that does not announce itself, by its health endpoint.
//!
//! The endpoint may lag or mislead, so it never overrules what the service
//! itself said: after `/leave` it cannot bring the upstream back. Nor does an
//! ill answer take an upstream away; only an address at which nothing listens
//! any more does.

use std::rc::Rc;

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

/// Time between two probes, and the longest that one may take.
const PERIOD: Span = Span::from_secs(1);

/// Refused connections in a row after which the upstream counts as gone.
const REFUSALS: u32 = 3;

/// What came of one probe.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// It answered that it is well.
    Well,
    /// It answered something else, or not in time.
    Ill,
    /// Nothing listens at its address.
    Refused,
}

/// Probes until the node ends.
pub(crate) async fn run(carrier: Rc<Carrier>) {
    let mut refusals = 0;
    let mut found = false;
    loop {
        tokio::time::sleep(PERIOD.to_std()).await;
        let Some(path) = path(&carrier) else { continue };
        if !carrier.core_mut().try_admit_probe(Clock.now()) {
            continue;
        }
        let (finding, warmup) = probe(&carrier, path).await;
        if let Some(left) = warmup {
            carrier.on(Event::UpstreamWarmup(left));
        }
        carrier.on(Event::UpstreamHealth(finding == Finding::Well));
        refusals = match finding {
            Finding::Refused => refusals + 1,
            Finding::Well | Finding::Ill => 0,
        };
        let exists = match finding {
            Finding::Well => true,
            Finding::Ill => found,
            Finding::Refused => found && refusals < REFUSALS,
        };
        if exists != found && !carrier.is_service_leaving() {
            found = exists;
            log::info!(found = found; "the health probe looked for the upstream");
            carrier.on(Event::UpstreamReady(found));
        }
    }
}

fn path(carrier: &Carrier) -> Option<String> {
    let core = carrier.core();
    let pool = core.snapshot().tables.pool(&carrier.settings().pool)?;
    pool.health.clone()
}

/// Probes once. The answer may tell how much longer the upstream is cold.
async fn probe(carrier: &Carrier, path: String) -> (Finding, Option<Span>) {
    let head = Head {
        method: "GET".to_owned(),
        target: path,
        headers: vec![("host".to_owned(), "upstream".into())],
        length: Some(0),
        ..Head::default()
    };
    let inlet = Inlet::new(|_| {});
    inlet.end(xxhash_rust::xxh3::xxh3_64(&[]));
    let begun = Clock.now();
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
    let answer = match tokio::time::timeout(PERIOD.to_std(), exchange).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(End::Refused)) => return (Finding::Refused, None),
        _ => return (Finding::Ill, None),
    };
    if let Some(signal) = answer.signal {
        carrier.on(Event::UpstreamSignal(signal, begun));
    }
    let finding = match answer.head.status {
        200..=299 => Finding::Well,
        _ => Finding::Ill,
    };
    (finding, answer.warmup)
}
