//! Writes the decisions of the core to the log.

use crate::{
    backpressure::Limit,
    clock::{
        Clock,
        Span, //
    },
    id,
    node::LogEvent,
    suspect,
    warmup, //
};

/// Maximum number of requests named in one line of the log.
const MAX_LOGGED_REQUESTS: usize = 64;

/// Writes one decision.
pub(super) fn log(event: &LogEvent) {
    match event {
        LogEvent::ConfigAdopted {
            version,
            age,
            watcher,
        } => log::info!(
            version = version.0, age_ms = millis_or_minus_one(*age),
            watcher = watcher.as_ref().map_or("", id::Instance::as_str);
            "a configuration is in force"
        ),
        LogEvent::ConfigUnusable(reason) => {
            log::warn!(reason = reason.as_str(); "a configuration is unusable")
        }
        LogEvent::ConfigStaleness { stale, age } => {
            let age = age.map(Span::as_ms);
            log::warn!(stale = *stale, age_ms = age.unwrap_or_default(); "the store's last word");
        }
        LogEvent::MemberChanged(peer) => log::info!(
            peer:% = peer.instance, pool:% = peer.pool, domain:% = peer.domain, ready = peer.ready,
            life:% = peer.incarnation, status:% = peer.status; "a member is there"
        ),
        LogEvent::RecordInvalid { key, revision } => log::warn!(
            key = key.as_str(), revision = revision.0; "a member's record is not valid"
        ),
        LogEvent::MemberUnlisted(name) => {
            log::warn!(peer:% = name; "a member has no record, but answers over its link")
        }
        LogEvent::MemberRemoved(name) => log::info!(peer:% = name; "a member is gone"),
        LogEvent::Warmup(status) => log_warmup(*status),
        LogEvent::Limit(Limit::Named(rate)) => {
            log::info!(per_second = rate.as_f64(); "the upstream names a limit")
        }
        LogEvent::UpstreamLeaving { by_hint } => {
            log::info!(by_hint = *by_hint; "the upstream says in its answers that it leaves")
        }
        LogEvent::DeparturesKnown(inquiry) => log::info!(
            upstream = inquiry.departure.as_ref().map_or("", |departure| &departure.upstream),
            life = inquiry.departure.as_ref().and_then(|departure| departure.life),
            conclusive = inquiry.is_conclusive;
            "the store was asked for an earlier departure of the upstream"
        ),
        LogEvent::DepartureUnstored { upstream, nodes } => log::warn!(
            upstream:% = upstream, reported_to = *nodes; "the store does not hold a departure yet"
        ),
        LogEvent::DrainEnded(open) => log::warn!(
            waiting = open.waiting, sent = open.sent, begun = open.begun, answering = open.answering;
            "the time for draining is over"
        ),
        LogEvent::UpstreamCrashed(held) => log::warn!(
            running = held.len(), requests = list_requests(held);
            "the upstream ended while it ran requests"
        ),
        LogEvent::Suspects(message) => log_suspects(message),
        LogEvent::Limit(Limit::Absent) => log::info!("the upstream names no limit any more"),
        LogEvent::Limit(Limit::Unreadable) => {
            log::warn!("the upstream names a limit that is no rate; the last one stays")
        }
        LogEvent::Evacuated { domain, order, age } => log::info!(
            evacuated:% = domain, in_force = order.in_force, revision = order.revision.0,
            age_ms = millis_or_minus_one(*age);
            "an operator's order on a failure domain"
        ),
        LogEvent::StoreSource(Some(name)) => {
            log::info!(peer:% = name; "the store is heard from a watcher")
        }
        LogEvent::StoreSource(None) => log::info!("the store is asked directly"),
        LogEvent::WatcherAbandoned(abandonment) => log::warn!(
            peer:% = abandonment.watcher, reason:? = abandonment.reason,
            waited_ms = abandonment.waited.as_ms(),
            silence_ms = millis_or_minus_one(abandonment.silence);
            "a watcher is abandoned"
        ),
        LogEvent::WatchFailed {
            topic,
            waited,
            watching,
        } => log::warn!(
            topic:? = topic, waited_ms = waited.as_ms(), watching = *watching;
            "a watch of the store failed"
        ),
        LogEvent::StoreChecked {
            topic,
            silence,
            outcome,
        } => log::warn!(
            topic:? = topic, silence_ms = millis_or_minus_one(*silence), outcome:? = outcome;
            "the store was checked"
        ),
    }
}

fn log_suspects(message: &suspect::Message) {
    match message {
        suspect::Message::Ended(reports) => log::warn!(
            count = reports.len(), requests = list_requests(reports);
            "upstreams end under requests"
        ),
        suspect::Message::Released(reports) => log::info!(
            count = reports.len(), requests = list_requests(reports);
            "trials of suspect requests have shown nothing"
        ),
        suspect::Message::Cleared(works) => log::info!(
            count = works.len(), requests = list_requests(works);
            "suspect requests were answered"
        ),
    }
}

/// Lists requests in the log, as many as one line may name.
fn list_requests<T: ToString>(requests: &[T]) -> String {
    let listed = requests.iter().take(MAX_LOGGED_REQUESTS);
    listed.map(T::to_string).collect::<Vec<_>>().join(" ")
}

/// The value of an optional duration in the log.
fn millis_or_minus_one(span: Option<Span>) -> i64 {
    span.map_or(-1, |span| span.as_ms() as i64)
}

fn log_warmup(status: warmup::Status) {
    let now = Clock.now();
    match status {
        warmup::Status::Warm => log::info!("the upstream is warm"),
        warmup::Status::Cold(until) => {
            log::info!(left_ms = now.until(until).as_ms(); "the upstream is cold")
        }
        warmup::Status::MaybeCold(doubt, _) => {
            log::info!(doubt:? = doubt; "the upstream may be cold")
        }
    }
}
