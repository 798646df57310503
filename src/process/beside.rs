//! The service beside a node: what it announces, and when it counts as gone.

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
        Upstream,
        Verdict, //
    },
    carrier::Carrier,
    clock::{
        Clock,
        Span,
        Time, //
    },
    inbound::End,
    interface::Notice,
    node::Event,
};

/// The largest announcement, in bytes.
const LIMIT: usize = 64 << 10;
/// Time for an announcement to arrive.
const TIMEOUT: Span = Span::from_secs(1);
/// Refused connections in a row after which a service counts as gone until its
/// next word. One may be refused because there are too many.
const REFUSALS: u32 = 2;

/// Answers on the listener for announcements.
pub(crate) async fn serve(carrier: Rc<Carrier>, mut request: Request) -> Response<BoxBody> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let read = async {
        while let Some(Ok(chunk)) = payload.next().await {
            body.extend_from_slice(&chunk);
            if body.len() > LIMIT {
                return false;
            }
        }
        true
    };
    if !matches!(tokio::time::timeout(TIMEOUT.to_std(), read).await, Ok(true)) {
        return empty(StatusCode::BAD_REQUEST);
    }
    let notice = Notice {
        method: request.method().as_str(),
        path: request.path(),
        body: &body,
    };
    match (carrier.interface.announcement)(notice) {
        Ok(word) => judge(&carrier, &word),
        Err(error) => {
            log::warn!(path = request.path(); "announcement refused: {}", error.reason());
            empty(StatusCode::BAD_REQUEST)
        }
    }
}

fn judge(carrier: &Carrier, word: &Announcement) -> Response<BoxBody> {
    match carrier.handle_announcement(word) {
        Verdict::Foreign => empty(StatusCode::NOT_FOUND),
        Verdict::Changed | Verdict::Same | Verdict::Old => {
            let mut response = Response::build(StatusCode::OK);
            response.insert_header(("content-type", "application/json"));
            response.body("{}").map_into_boxed_body()
        }
    }
}

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(()))
}

impl Carrier {
    /// Takes a word of the service.
    pub(crate) fn handle_announcement(&self, word: &Announcement) -> Verdict {
        let now = Clock.now();
        let mut upstream_tracker = self.upstream_tracker.borrow_mut();
        let verdict = upstream_tracker.handle(now, word);
        let ready = upstream_tracker.is_ready();
        let slots = upstream_tracker
            .upstream()
            .and_then(|upstream| upstream.slots);
        let warmup = upstream_tracker.upstream().map(|upstream| upstream.warmup);
        let life = upstream_tracker.upstream().map(Upstream::id);
        let name = upstream_tracker
            .upstream()
            .map(|upstream| upstream.name.clone());
        drop(upstream_tracker);
        if verdict != Verdict::Same {
            log::info!(
                upstream = word.upstream, life = word.life.unwrap_or_default(),
                sequence = word.sequence.unwrap_or_default(), ready = ready;
                "announcement {verdict:?}: {:?}", word.state
            );
        }
        if matches!(verdict, Verdict::Changed | Verdict::Same) {
            self.connect_failures.set(0);
            *self.target.borrow_mut() = name;
            if let Some(life) = life {
                self.on(Event::UpstreamStarted(life));
            }
            self.on(Event::UpstreamLeaving(!ready));
            self.on(Event::UpstreamCapacity(slots));
            self.believe(ready);
            if let Some(left) = warmup {
                self.on(Event::UpstreamWarmup(left));
            }
        }
        verdict
    }

    /// Tells the decisions whether the service takes requests, if that is new.
    fn believe(&self, ready: bool) {
        if self.reported_ready.replace(ready) != ready {
            self.on(Event::UpstreamReady(ready));
        }
    }

    /// Learns from how an attempt at the service ended whether it lives.
    pub(crate) fn update_upstream_liveness(&self, end: End) {
        match end {
            End::Answered(_) | End::Rejected => {
                self.connect_failures.set(0);
                self.upstream_tracker
                    .borrow_mut()
                    .record_response(Clock.now());
            }
            End::Refused => {
                let refusals = self.connect_failures.get() + 1;
                self.connect_failures.set(refusals);
                if refusals == REFUSALS && self.settings().listen.announcements.is_some() {
                    log::warn!("the service accepts no connection; it counts as gone");
                    self.believe(false);
                }
            }
            End::Cut | End::Aborted => {}
        }
    }

    /// Looks whether the service has been silent for too long.
    pub(crate) fn check_upstream_silence(&self, now: Time) {
        if self.reported_ready.get() && self.upstream_tracker.borrow().is_silent(now) {
            log::warn!("nothing was heard of the service; it counts as gone");
            self.believe(false);
        }
    }
}
