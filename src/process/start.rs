//! The start of a node, until it has all that it needs to serve.
//!
//! What a process finds when it starts is not its own choice: its predecessor may
//! still listen on its addresses, its settings file may be half written, and a
//! signal may arrive at any time. [`Starting`] installs the signal handlers before
//! anything else, and retries until the settings are valid and every socket is
//! bound. Only [`Prepared`], which has all of it, can serve.
//!
//! An attempt starts from the settings file and binds all sockets or none. A
//! correction of the file therefore also ends a wait for an address, and no client
//! waits on a connection to a process that cannot answer.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use signal_hook::{
    SigId,
    consts::SIGHUP,
    flag,
    low_level::unregister, //
};
use tokio::signal::unix::{
    Signal,
    SignalKind,
    signal, //
};

use crate::{
    clock::{
        Clock,
        Span,
        Time, //
    },
    error::{
        Error,
        Result, //
    },
    server::Sockets,
    settings::Settings,
};

/// Delay between the first two attempts to start.
const MIN_DELAY: Span = Span::from_ms(10);

/// Maximum delay between two attempts to start, and thus the time for which an
/// address can be free before a successor takes over.
const MAX_DELAY: Span = Span::from_ms(250);

/// Decides when to attempt something again that failed, with exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    deadline: Time,
    delay: Span,
}

impl Retry {
    /// Allows attempts from `now` on, until `limit` has passed.
    pub fn new(now: Time, limit: Span) -> Self {
        Self {
            deadline: now + limit,
            delay: MIN_DELAY,
        }
    }

    /// Returns the delay until the next attempt, or `None` if the one that failed was
    /// the last. The last attempt takes place at the end of the limit.
    pub fn failed(&mut self, now: Time) -> Option<Span> {
        let left = now.until(self.deadline);
        let delay = self.delay.min(left);
        self.delay = (self.delay + self.delay).min(MAX_DELAY);
        (left > Span::ZERO).then_some(delay)
    }
}

/// SIGTERM and SIGINT.
pub(crate) struct Terminate {
    terminate: Signal,
    interrupt: Signal,
}

impl Terminate {
    /// Waits until the process is told to stop.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// SIGHUP before there is a runtime. It would end the process while the runtime starts.
pub(crate) struct EarlyHangup {
    handler: SigId,
    is_received: Arc<AtomicBool>,
}

impl EarlyHangup {
    /// Installs the handler.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a handler.
    pub(crate) fn install() -> Result<Self> {
        let is_received = Arc::new(AtomicBool::new(false));
        let handler = flag::register(SIGHUP, is_received.clone())?;
        Ok(Self {
            handler,
            is_received,
        })
    }

    /// Passes on to a handler of the runtime.
    fn pass_on(self, signal: Signal) -> Hangup {
        unregister(self.handler);
        Hangup {
            signal,
            is_early: self.is_received.load(Ordering::Relaxed),
        }
    }
}

/// SIGHUP.
pub(crate) struct Hangup {
    signal: Signal,
    /// Whether one came before the runtime was there, and has not been reported.
    is_early: bool,
}

impl Hangup {
    /// Waits until the process is told that its settings file has changed.
    pub(crate) async fn received(&mut self) {
        if !std::mem::take(&mut self.is_early) {
            self.signal.recv().await;
        }
    }
}

/// The signals that control a process. None of them ends it by itself once the
/// handlers are installed, and one that arrives early is kept.
pub(crate) struct Signals {
    terminate: Terminate,
    hangup: Hangup,
}

impl Signals {
    /// Installs the handlers. Must be called on a runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a handler.
    pub(crate) fn install(early: EarlyHangup) -> Result<Self> {
        let hangup = early.pass_on(signal(SignalKind::hangup())?);
        let terminate = Terminate {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        };
        Ok(Self { terminate, hangup })
    }
}

/// What an attempt to start needs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Need {
    Settings,
    Sockets,
}

impl Need {
    const fn met(self) -> &'static str {
        match self {
            Self::Settings => "the settings are valid now",
            Self::Sockets => "all addresses are bound now",
        }
    }
}

/// What the node waits for.
struct Wait {
    need: Need,
    reason: String,
    since: Time,
}

/// A process that does not serve yet.
pub(crate) struct Starting {
    signals: Signals,
    path: PathBuf,
    retry: Retry,
    wait: Option<Wait>,
}

/// A process that has all that it needs to serve.
pub(crate) struct Prepared {
    /// The signals to stop, one of which may have arrived already.
    pub(crate) terminate: Terminate,
    /// The signal to read the settings again, which may have arrived already.
    pub(crate) hangup: Hangup,
    /// The path of the settings file.
    pub(crate) path: PathBuf,
    /// The text from which the settings were read.
    pub(crate) text: String,
    /// The settings.
    pub(crate) settings: Settings,
    /// The sockets, bound to the addresses in the settings.
    pub(crate) sockets: Sockets,
}

impl Starting {
    /// Starts with the given settings file, for which and for whose addresses the
    /// process waits no longer than `limit`.
    pub(crate) fn new(signals: Signals, path: PathBuf, limit: Span) -> Self {
        Self {
            signals,
            path,
            retry: Retry::new(Clock.now(), limit),
            wait: None,
        }
    }

    /// Attempts to start until it succeeds. Returns `None` if the process was told to
    /// stop first.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt if none succeeded in time.
    pub(crate) async fn prepare(mut self) -> Result<Option<Prepared>> {
        loop {
            let error = match self.attempt().await {
                Ok((text, settings, sockets)) => {
                    return Ok(Some(Prepared {
                        terminate: self.signals.terminate,
                        hangup: self.signals.hangup,
                        path: self.path,
                        text,
                        settings,
                        sockets,
                    }));
                }
                Err(error) => error,
            };
            let Some(delay) = self.retry.failed(Clock.now()) else {
                return Err(error);
            };
            tokio::select! {
                biased;
                () = self.signals.terminate.received() => return Ok(None),
                () = self.signals.hangup.received() => {}
                () = tokio::time::sleep(delay.to_std()) => {}
            }
        }
    }

    async fn attempt(&mut self) -> Result<(String, Settings, Sockets)> {
        let (text, settings) = read(&self.path).map_err(|e| self.lacks(Need::Settings, e))?;
        self.has(Need::Settings);
        let bound = Sockets::bind(&settings.listen).await;
        let sockets = bound.map_err(|e| self.lacks(Need::Sockets, e))?;
        self.has(Need::Sockets);
        Ok((text, settings, sockets))
    }

    /// Logs what the process waits for, once for each reason.
    fn lacks(&mut self, need: Need, error: Error) -> Error {
        let reason = error.to_string();
        let now = Clock.now();
        let old = self.wait.take();
        if old.as_ref().is_none_or(|wait| wait.reason != reason) {
            let left_ms = now.until(self.retry.deadline).as_ms();
            log::warn!(code = error.number(), left_ms; "the node cannot start yet: {reason}");
        }
        let same = old.filter(|wait| wait.need == need);
        let since = same.map_or(now, |wait| wait.since);
        self.wait = Some(Wait {
            need,
            reason,
            since,
        });
        error
    }

    /// Logs the end of a wait.
    fn has(&mut self, need: Need) {
        if let Some(wait) = self.wait.take_if(|wait| wait.need == need) {
            let waited_ms = Clock.now().since(wait.since).as_ms();
            log::info!(waited_ms; "{}", need.met());
        }
    }
}

/// Reads and validates the settings, together with the text that they came from.
fn read(path: &Path) -> Result<(String, Settings)> {
    let within = |error: Error| error.within(path.display().to_string());
    let text = std::fs::read_to_string(path).map_err(|error| within(error.into()))?;
    let settings = Settings::parse(&text).map_err(within)?;
    Ok((text, settings))
}
