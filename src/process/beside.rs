//! The upstream beside a node: receives its announcements and detects its failure.

use std::rc::Rc;

use actix_http::{
    Request,
    Response,
    StatusCode,
    body::BoxBody, //
};
use bytes::BytesMut;
use futures_util::StreamExt;

use crate::{
    announce::{
        Announcement,
        State,
        Verdict, //
    },
    carrier::Carrier,
    clock::{
        Clock,
        Span,
        Time, //
    },
    directory::Inquiry,
    inbound::End,
    interface::AnnouncementRequest,
    metric::Counter,
    node::Event, //
};

/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;
/// Maximum time for the body of an announcement to arrive.
const READ_TIMEOUT: Span = Span::from_secs(1);
/// How long the acknowledgement of a departure waits for the store. An upstream gives up an
/// announcement after a second.
const STORE_TIMEOUT: Span = Span::from_ms(600);
/// Number of consecutive refused connections after which an upstream counts as gone
/// until its next announcement. A single one may be refused because the upstream has
/// too many connections.
const REFUSALS_UNTIL_GONE: u32 = 2;

/// Handles a request on the announcement listener.
pub(crate) async fn serve(carrier: Rc<Carrier>, mut request: Request) -> Response<BoxBody> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let read_body = async {
        while let Some(chunk) = payload.next().await {
            // A part of a body may be a valid announcement.
            let Ok(chunk) = chunk else { return false };
            body.extend_from_slice(&chunk);
            if body.len() > MAX_ANNOUNCEMENT_BYTES {
                return false;
            }
        }
        true
    };
    if !matches!(
        tokio::time::timeout(READ_TIMEOUT.to_std(), read_body).await,
        Ok(true)
    ) {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let notice = AnnouncementRequest {
        method: request.method().as_str(),
        path: request.path(),
        body: &body,
    };
    match (carrier.interface.announcement)(notice) {
        Ok(announcement) => respond(&carrier, &announcement).await,
        Err(error) => {
            carrier.count(Counter::AnnouncementRefused);
            let mut upstream_tracker = carrier.upstream_tracker.borrow_mut();
            if upstream_tracker.record_refused(request.path()) {
                log::warn!(path = request.path(); "announcement refused: {}", error.reason());
            }
            empty_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Handles and acknowledges an announcement. That of a departure is acknowledged once the
/// store holds it, or [`STORE_TIMEOUT`] later if other nodes were told. One that ends with
/// this process is not acknowledged.
async fn respond(carrier: &Carrier, announcement: &Announcement) -> Response<BoxBody> {
    match carrier.handle_announcement(announcement) {
        Verdict::Foreign => empty_response(StatusCode::NOT_FOUND),
        Verdict::Changed | Verdict::Same | Verdict::Old => {
            if announcement.state != State::Ready {
                let stored = carrier.departure_stored();
                let _ = tokio::time::timeout(STORE_TIMEOUT.to_std(), stored).await;
                if !carrier.core().holds_departure_elsewhere() {
                    return empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
            }
            let mut response = Response::build(StatusCode::OK);
            response.insert_header(("content-type", "application/json"));
            response.body("{}").map_into_boxed_body()
        }
    }
}

fn empty_response(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(()))
}

impl Carrier {
    /// Handles an announcement and forwards the resulting state to the decision logic.
    pub(crate) fn handle_announcement(&self, announcement: &Announcement) -> Verdict {
        let now = Clock.now();
        let mut upstream_tracker = self.upstream_tracker.borrow_mut();
        let verdict = upstream_tracker.handle(now, announcement);
        let ready = upstream_tracker.is_ready();
        let departure = upstream_tracker.departure();
        drop(upstream_tracker);
        if verdict != Verdict::Same {
            log::info!(
                upstream = announcement.upstream, life = announcement.life.unwrap_or_default(),
                sequence = announcement.sequence.unwrap_or_default(), ready = ready;
                "announcement {verdict:?}: {:?}", announcement.state
            );
        }
        if matches!(verdict, Verdict::Changed | Verdict::Same) {
            self.connect_failures.set(0);
            self.report_upstream();
        }
        if let Some(departure) = departure.filter(|_| announcement.state != State::Ready) {
            self.on(Event::UpstreamDeparted(departure));
        }
        verdict
    }

    /// Handles what the store says of departures that earlier processes acknowledged.
    pub(crate) fn restore_departure(&self, inquiry: Inquiry) {
        let mut upstream_tracker = self.upstream_tracker.borrow_mut();
        if let Some(departure) = inquiry.departure {
            upstream_tracker.restore(departure);
        }
        if inquiry.is_conclusive {
            upstream_tracker.trust_delayed();
        }
        drop(upstream_tracker);
        self.report_upstream();
    }

    /// Tells the decision logic what is known of the upstream, if anything is.
    fn report_upstream(&self) {
        let upstream_tracker = self.upstream_tracker.borrow();
        let Some(upstream) = upstream_tracker.upstream().cloned() else {
            return;
        };
        let ready = upstream_tracker.is_ready();
        let leaving = upstream_tracker.is_leaving();
        drop(upstream_tracker);
        *self.target.borrow_mut() = Some(upstream.name.clone());
        self.on(Event::UpstreamStarted(upstream.id()));
        self.on(Event::UpstreamLeaving(leaving));
        self.on(Event::UpstreamCapacity(upstream.slots));
        self.set_upstream_ready(ready);
        self.on(Event::UpstreamWarmup(upstream.warmup));
    }

    /// Tells the decision logic whether the upstream accepts requests, if that changed.
    fn set_upstream_ready(&self, ready: bool) {
        if self.reported_ready.replace(ready) != ready {
            self.on(Event::UpstreamReady(ready));
        }
    }

    /// Updates the liveness of the upstream from the outcome of an attempt.
    pub(crate) fn update_upstream_liveness(&self, end: End) {
        match end {
            End::Answered(_) | End::Rejected => {
                self.connect_failures.set(0);
                self.upstream_tracker
                    .borrow_mut()
                    .record_response(Clock.now());
            }
            End::Refused => {
                let refusals = self.connect_failures.get().saturating_add(1);
                self.connect_failures.set(refusals);
                if refusals == REFUSALS_UNTIL_GONE && self.settings().listen.announcements.is_some()
                {
                    log::warn!("the service accepts no connection; it counts as gone");
                    self.set_upstream_ready(false);
                }
            }
            End::Cut | End::Crashed | End::Aborted => {}
        }
    }

    /// Marks the upstream as not ready if it has been silent for too long.
    pub(crate) fn check_upstream_silence(&self, now: Time) {
        if self.reported_ready.get() && self.upstream_tracker.borrow().is_silent(now) {
            log::warn!("nothing was heard of the service; it counts as gone");
            self.set_upstream_ready(false);
        }
    }
}
