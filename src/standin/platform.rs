//! The platform's key-value service as a small server, for trials and tests.
//!
//! It speaks HTTP and JSON: `POST /call` takes a [`crate::store::Call`] and answers
//! with a [`crate::store::Answer`]. Everything is in memory. It counts every call, a
//! waiting watch as one (`GET /stats`), and has switches for outages, slowness
//! and answers that are lost after the call took effect (`POST /faults`).

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use actix_web::{
    App,
    HttpResponse,
    HttpServer,
    dev::ServerHandle,
    web, //
};
use bytes::Bytes;
use futures_util::stream;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::Notify,
    time, //
};

use super::keyvalue::Map;
use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::Result,
    id::Revision,
    store::{
        Answer,
        Call, //
    },
};

/// The largest value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// The largest call: a value that is all escapes, and its name.
const CALL_LIMIT: usize = 2 * VALUE_LIMIT + 4096;
/// How often a waiting watch looks for values that went with a lease.
const LEASE_POLL_INTERVAL: Span = Span::from_ms(20);
/// The longest time a watch may wait.
const WAIT_LIMIT: Span = Span::from_secs(300);

/// What goes wrong on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// No call takes effect and none is answered.
    pub out: bool,
    /// Every call takes effect this much later.
    pub slow: Span,
    /// So many next calls take effect but their answers are lost.
    pub lost: u32,
    /// So many next writes take effect but their answers are lost.
    pub lost_writes: u32,
}

/// What has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls that arrived, also those of an outage.
    pub calls: u64,
    /// Those of them that took effect and write.
    pub writes: u64,
    /// Calls whose answers were lost, by outage or on purpose.
    pub lost: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// The most calls in one second.
    pub peak: u64,
}

#[derive(Debug, Default)]
struct State {
    map: Map,
    faults: Faults,
    stats: Stats,
    second: u64,
    in_second: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    news: Notify,
}

/// A running stand-in.
#[derive(Debug)]
pub struct Service {
    address: SocketAddr,
    shared: Arc<Shared>,
    server: ServerHandle,
}

impl Service {
    /// Listens, and serves in the background of the present runtime.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
    pub fn start(listen: SocketAddr) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let data = web::Data::from(shared.clone());
        let json = web::JsonConfig::default().limit(CALL_LIMIT);
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .app_data(json.clone())
                .route("/call", web::post().to(call))
                .route("/stats", web::get().to(stats))
                .route("/faults", web::post().to(faults))
        })
        .workers(1)
        .keep_alive(std::time::Duration::from_secs(75))
        .shutdown_timeout(1)
        .disable_signals()
        .bind(listen)?;
        let address = server.addrs().first().copied().unwrap_or(listen);
        let running = server.run();
        let handle = running.handle();
        actix_rt::spawn(running);
        Ok(Self {
            address,
            shared,
            server: handle,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What has been counted.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }

    /// Sets what goes wrong from now on.
    pub fn set(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Stops at once; what waits is cut.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// How one call is to fare.
enum Fate {
    Answer,
    LoseAnswer,
    Nothing,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stats(&self) -> Stats {
        let state = self.lock();
        Stats {
            writes: state.map.writes(),
            ..state.stats
        }
    }

    /// Counts a call, and tells how long it takes and how it fares.
    fn arrive(&self, call: &Call) -> (Span, Fate) {
        let mut state = self.lock();
        state.count(Clock.now());
        let fate = state.fate(call);
        if !matches!(fate, Fate::Answer) {
            state.stats.lost += 1;
        }
        (state.faults.slow, fate)
    }

    async fn answer(&self, call: &Call) -> Answer {
        let immediate = self.lock().map.on(Clock.now(), call);
        if let Some(answer) = immediate {
            self.news.notify_waiters();
            return answer;
        }
        let (Call::Watch { after, wait, .. } | Call::Follow { after, wait, .. }) = call else {
            return Answer::Quiet;
        };
        self.lock().stats.waiting += 1;
        let _waiting = Waiting(self);
        let until = Clock.now() + (*wait).min(WAIT_LIMIT);
        loop {
            // Registered before looking, so that no write falls between.
            let written = self.news.notified();
            let now = Clock.now();
            let news = {
                let mut state = self.lock();
                state.map.expire(now);
                state.map.waited(call)
            };
            match news {
                Some(answer) => return answer,
                None if now >= until => return quiet(call, *after),
                None => {}
            }
            let pause = now.until(until).min(LEASE_POLL_INTERVAL).to_std();
            let _ = time::timeout(pause, written).await;
        }
    }
}

/// The answer to a call that waited in vain.
fn quiet(call: &Call, at: Revision) -> Answer {
    match call {
        Call::Follow { .. } => Answer::Changes {
            changes: Vec::new(),
            at,
        },
        _ => Answer::Quiet,
    }
}

/// Counts a waiting watch until it is answered or its caller hangs up.
struct Waiting<'a>(&'a Shared);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.waiting -= 1;
    }
}

impl State {
    fn count(&mut self, now: Time) {
        let second = now.as_ms() / 1000;
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.stats.calls += 1;
        self.stats.peak = self.stats.peak.max(self.in_second);
    }

    fn fate(&mut self, call: &Call) -> Fate {
        let reads = !call.writes();
        if self.faults.out {
            Fate::Nothing
        } else if self.faults.lost > 0 {
            self.faults.lost -= 1;
            Fate::LoseAnswer
        } else if self.faults.lost_writes > 0 && !reads {
            self.faults.lost_writes -= 1;
            Fate::LoseAnswer
        } else {
            Fate::Answer
        }
    }
}

async fn call(shared: web::Data<Shared>, call: web::Json<Call>) -> HttpResponse {
    if let Call::Swap {
        value: Some(value), ..
    } = &*call
        && value.len() > VALUE_LIMIT
    {
        return HttpResponse::PayloadTooLarge().finish();
    }
    let (slow, fate) = shared.arrive(&call);
    if slow > Span::ZERO {
        time::sleep(slow.to_std()).await;
    }
    match fate {
        Fate::Nothing => cut(),
        Fate::LoseAnswer => {
            shared.answer(&call).await;
            cut()
        }
        Fate::Answer => HttpResponse::Ok().json(shared.answer(&call).await),
    }
}

/// An answer that breaks off, so that the caller learns nothing.
fn cut() -> HttpResponse {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, _>(broken)]))
}

async fn stats(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.stats())
}

async fn faults(shared: web::Data<Shared>, faults: web::Json<Faults>) -> HttpResponse {
    shared.lock().faults = *faults;
    HttpResponse::NoContent().finish()
}
