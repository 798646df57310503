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
    interface::AnnouncementRequest,
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
    let notice = AnnouncementRequest {
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
    match carrier.heard(word) {
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
    pub(crate) fn heard(&self, word: &Announcement) -> Verdict {
        let now = Clock.now();
        let mut announcer = self.announcer.borrow_mut();
        let verdict = announcer.on(now, word);
        let ready = announcer.is_ready();
        let slots = announcer.upstream().and_then(|upstream| upstream.slots);
        let warmup = announcer.upstream().map(|upstream| upstream.warmup);
        let life = announcer.upstream().map(Upstream::id);
        let name = announcer.upstream().map(|upstream| upstream.name.clone());
        drop(announcer);
        if verdict != Verdict::Same {
            log::info!(
                upstream = word.upstream, life = word.life.unwrap_or_default(),
                sequence = word.sequence.unwrap_or_default(), ready = ready;
                "announcement {verdict:?}: {:?}", word.state
            );
        }
        if matches!(verdict, Verdict::Changed | Verdict::Same) {
            self.refusals.set(0);
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
        if self.taking.replace(ready) != ready {
            self.on(Event::UpstreamReady(ready));
        }
    }

    /// Learns from how an attempt at the service ended whether it lives.
    pub(crate) fn attempted(&self, end: End) {
        match end {
            End::Answered(_) | End::Rejected => {
                self.refusals.set(0);
                self.announcer.borrow_mut().answered(Clock.now());
            }
            End::Refused => {
                let refusals = self.refusals.get() + 1;
                self.refusals.set(refusals);
                if refusals == REFUSALS && self.settings().listen.announcements.is_some() {
                    log::warn!("the service accepts no connection; it counts as gone");
                    self.believe(false);
                }
            }
            End::Cut | End::Aborted => {}
        }
    }

    /// Looks whether the service has been silent for too long.
    pub(crate) fn listen_for_silence(&self, now: Time) {
        if self.taking.get() && self.announcer.borrow().is_silent(now) {
            log::warn!("nothing was heard of the service; it counts as gone");
            self.believe(false);
        }
    }
}
